//! One box of magpiesaddle on the users' platform.

mod cli;
mod ports;
mod signals;

use {
    kernel::{Client, client::PoolLimits, daemon, traffic},
    std::time::Duration,
};

/// Connections kept to each receiver: two tasks of a worker, and the tasks that call the store.
const KEPT: usize = 10;
/// Connections kept in all, for some hundreds of workers.
const KEPT_ALL: usize = 1_200;
/// How long an unused connection is kept; a new one costs more than an idle one.
const KEPT_FOR: Duration = Duration::from_secs(120);

fn main() {
    let arguments: cli::Arguments = daemon::parse_arguments();
    let check = arguments.check;
    let setup = kernel::settings::unwrap_or_exit(cli::read(arguments), check);
    daemon::init_telemetry_json(setup.level);
    let limits = PoolLimits {
        max_idle: KEPT_ALL,
        per_host: KEPT,
        idle_timeout: KEPT_FOR,
    };
    let client = Client::with_limits(None, limits);
    let outside = platform::adapters(&client, setup.store, setup.advisor, setup.machines);
    let running = daemon::started_or_exit(node::core::start(setup.node.clone(), outside, client));
    daemon::started_or_exit(traffic::start_logging());
    let ports = daemon::started_or_exit(ports::open(&setup, &running.node));
    log::info!(target: "box", name = &*setup.node.name, hall = &*setup.node.hall, callers:% = setup.callers, inside:% = setup.inside; "The box runs.");
    let signal = daemon::started_or_exit(signals::wait());
    log::info!(target: "box", signal; "The box is asked to stop.");
    signals::stop(&running.node, &ports, setup.grace);
    log::info!(target: "box", "The box has stopped.");
    log::logger().flush();
}
