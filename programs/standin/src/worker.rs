//! Workers alone, each under a path of its own. `POST /w/NAME/faults` switches faults,
//! `POST /w/NAME/reboot` restarts one.

use {
    crate::cli,
    infra::Size,
    kernel::daemon,
    standin::{Farm, Witness, clock::Clock},
    std::sync::Arc,
};

/// Serves the workers until the process is asked to stop.
pub fn run(command: &cli::Worker) {
    let farm = Farm::new(Clock::real(), Witness::new());
    let size = Size::new(
        command.processors.saturating_mul(1000),
        command.memory_gb.saturating_mul(1000),
        command.accelerators,
    );
    let port = daemon::started_or_exit(farm.open(command.listen));
    for number in 0..command.count {
        let name = format!("{}{number:03}", command.prefix);
        farm.add(&Arc::from(name.as_str()), size);
        println!("worker {}", port.url(&name));
    }
    daemon::wait_for_shutdown();
}
