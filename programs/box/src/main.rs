//! Entry point of `magpie-box`: one scheduler process on the users' platform.

mod cli;
mod ports;
mod signals;

use {
    kernel::{Client, client::PoolLimits, daemon, traffic},
    std::time::Duration,
};

/// Maximum number of idle connections to each server: two tasks call each worker, and more tasks
/// call the store.
const MAX_IDLE_PER_HOST: usize = 10;
/// Maximum number of idle connections in total, enough for some hundreds of workers.
const MAX_IDLE: usize = 1_200;
/// How long an idle connection is kept. Opening a new one costs more than keeping it.
const MAX_IDLE_AGE: Duration = Duration::from_secs(120);

fn main() {
    let arguments: cli::Arguments = daemon::parse_arguments();
    let check = arguments.check;
    let setup = kernel::settings::unwrap_or_exit(cli::read(arguments), check);
    daemon::init_telemetry_json(setup.level);
    let limits = PoolLimits {
        max_idle: MAX_IDLE,
        per_host: MAX_IDLE_PER_HOST,
        idle_timeout: MAX_IDLE_AGE,
    };
    let client = Client::with_limits(None, limits);
    let adapters = platform::adapters(&client, setup.store, setup.advisor, setup.machines);
    let running = daemon::started_or_exit(node::core::start(setup.node.clone(), adapters, client));
    daemon::started_or_exit(traffic::start_logging());
    let ports = daemon::started_or_exit(ports::open(&setup, &running.node));
    log::info!(target: "box", name = &*setup.node.name, hall = &*setup.node.hall, callers:% = setup.callers, inside:% = setup.inside; "The box runs.");
    let signal = daemon::started_or_exit(signals::wait());
    log::info!(target: "box", signal; "The box received a signal to stop.");
    signals::stop(&running.node, &ports, setup.grace);
    log::info!(target: "box", "The box has stopped.");
    log::logger().flush();
}
