//! The gate: forwards callers' requests to backend servers and returns a verdict with each
//! response.

mod cli;

use {gate::Service, kernel::daemon, log::info};

fn main() {
    let arguments: cli::Arguments = daemon::parse_arguments();
    let check = arguments.check;
    let (settings, process) = kernel::settings::unwrap_or_exit(cli::read(arguments), check);
    daemon::init_telemetry(process.level);
    let mut service = daemon::started_or_exit(Service::start(settings));
    info!(target: "gate", "The gate has started. callers={} ops={}", service.url(), service.ops_url());
    daemon::wait_for_shutdown();
    let completed = service.stop(process.linger, process.stop);
    info!(target: "gate", "The gate has stopped. cut_off={}", !completed);
}
