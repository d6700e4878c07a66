//! The gate: takes callers' requests to backend servers and answers with a verdict.

mod cli;

use {gate::Service, kernel::daemon, log::info};

fn main() {
    let arguments: cli::Arguments = daemon::parse_arguments();
    let check = arguments.check;
    let (settings, common) = kernel::settings::unwrap_or_exit(cli::read(arguments), check);
    daemon::init_telemetry(common.level);
    let mut service = daemon::started_or_exit(Service::start(settings));
    info!(target: "gate", "The gate is open. callers={} ops={}", service.url(), service.ops_url());
    daemon::wait_for_shutdown();
    let whole = service.stop(common.linger, common.stop);
    info!(target: "gate", "The gate is closed. cut_off={}", !whole);
}
