//! The scheduler: schedules jobs on the workers of the cells that it owns.

mod cli;

use {kernel::daemon, log::info, sched::Service};

fn main() {
    let arguments: cli::Arguments = daemon::parse_arguments();
    let check = arguments.check;
    let (settings, level) = kernel::settings::unwrap_or_exit(cli::read(arguments), check);
    daemon::init_telemetry(level);
    let mut service = daemon::started_or_exit(Service::start(settings));
    info!(target: "sched", "The scheduler has started. url={}", service.url());
    daemon::wait_for_shutdown();
    service.stop();
    info!(target: "sched", "The scheduler has stopped.");
}
