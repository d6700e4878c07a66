//! One box of magpiesaddle on the users' platform.

mod cli;
mod ports;
mod signals;

use {
    kernel::{Client, client::Limits, daemon, traffic},
    std::time::Duration,
};

/// Connections kept to each receiver: two tasks of a worker, and the tasks that call the store.
const KEPT: usize = 10;
/// Connections kept in all, for some hundreds of workers.
const KEPT_ALL: usize = 1_200;
/// How long an unused connection is kept; a new one costs more than an idle one.
const KEPT_FOR: Duration = Duration::from_secs(120);

fn main() {
    let arguments: cli::Arguments = daemon::arguments();
    let check = arguments.check;
    let setup = kernel::settings::settle(cli::read(arguments), check);
    daemon::begin_json(setup.level);
    let limits = Limits {
        idle: KEPT_ALL,
        host: KEPT,
        age: KEPT_FOR,
    };
    let client = Client::with_limits(None, limits);
    let outside = platform::adapters(&client, setup.store, setup.advisor, setup.machines);
    let running = daemon::started(node::core::start(setup.node.clone(), outside, client));
    daemon::started(traffic::tell());
    let ports = daemon::started(ports::open(&setup, &running.node));
    log::info!(target: "box", name = &*setup.node.name, hall = &*setup.node.hall, callers:% = setup.callers, inside:% = setup.inside; "The box runs.");
    let signal = daemon::started(signals::wait());
    log::info!(target: "box", signal; "The box is asked to stop.");
    signals::stop(&running.node, &ports, setup.grace);
    log::info!(target: "box", "The box has stopped.");
    log::logger().flush();
}
