//! Subcommand `boxes`: the list of boxes. `POST /admin/put` adds boxes given as JSON,
//! `/admin/leave?name=` and `/admin/remove?name=` change them.

use {crate::cli, kernel::daemon, standin::Registry, std::time::Duration};

/// Serves the list until the process is asked to stop.
pub fn run(command: &cli::Boxes) {
    let registry = Registry::new(Duration::from_millis(command.lag_ms));
    println!(
        "boxes {}",
        daemon::started_or_exit(registry.open(command.listen))
    );
    daemon::wait_for_shutdown();
}
