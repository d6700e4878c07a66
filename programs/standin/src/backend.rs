//! Subcommand `backend`: one backend server. `POST /admin/faults` sets its faults.

use {
    crate::cli,
    kernel::daemon,
    standin::{Auditor, Backend},
    std::time::Duration,
};

/// Serves requests until the process is asked to stop.
pub fn run(command: &cli::Backend) {
    let mean = Duration::from_millis(command.mean_ms);
    let backend = Backend::open(command.listen, mean, command.seed, Auditor::new());
    println!("backend {}", daemon::started_or_exit(backend).url());
    daemon::wait_for_shutdown();
}
