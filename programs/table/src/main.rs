//! The table process: accepts operators' edits of the table and replicates them.

mod cli;

use {kernel::daemon, log::info, table::service::Service};

fn main() {
    let arguments: cli::Arguments = daemon::parse_arguments();
    let check = arguments.check;
    let (settings, level) = kernel::settings::unwrap_or_exit(cli::read(arguments), check);
    daemon::init_telemetry(level);
    let mut service = daemon::started_or_exit(Service::start(settings));
    info!(target: "table", "The table has started. url={}", service.url());
    daemon::wait_for_shutdown();
    service.stop();
    info!(target: "table", "The table has stopped.");
}
