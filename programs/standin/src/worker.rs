//! Subcommand `worker`: workers, each under its own path. `POST /w/NAME/faults` sets faults,
//! `POST /w/NAME/reboot` restarts a worker.

use {
    crate::cli,
    infra::Size,
    kernel::daemon,
    standin::{Auditor, WorkerSet, clock::Clock},
    std::sync::Arc,
};

/// Serves the workers until the process is asked to stop.
pub fn run(command: &cli::Worker) {
    let worker_set = WorkerSet::new(Clock::real(), Auditor::new());
    let size = Size::new(
        command.processors.saturating_mul(1000),
        command.memory_gb.saturating_mul(1000),
        command.accelerators,
    );
    let port = daemon::started_or_exit(worker_set.open(command.listen));
    for number in 0..command.count {
        let name = format!("{}{number:03}", command.prefix);
        worker_set.add(&Arc::from(name.as_str()), size);
        println!("worker {}", port.url(&name));
    }
    daemon::wait_for_shutdown();
}
