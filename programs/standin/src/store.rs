//! Subcommand `store`: the key-value store.

use {
    crate::cli,
    kernel::daemon,
    standin::{
        Store,
        clock::Clock,
        store::{Rates, Server},
    },
    std::sync::Arc,
};

/// Serves the store until the process is asked to stop.
pub fn run(command: &cli::Store) {
    let core = Arc::new(Store::new(Rates::default(), Clock::real()));
    let port = daemon::started_or_exit(Server::open(command.listen, core));
    println!("store {}", port.url());
    daemon::wait_for_shutdown();
}
