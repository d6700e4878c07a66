//! Runs stand-ins for the platform as separate processes, for tests on one machine.

mod backend;
mod boxes;
mod cli;
mod platform;
mod store;
mod worker;

use {cli::Command, kernel::daemon};

fn main() {
    let arguments: cli::Arguments = daemon::parse_arguments();
    daemon::init_telemetry(log::LevelFilter::Info);
    match arguments.command {
        Command::Platform(command) => platform::run(&command),
        Command::Store(command) => store::run(&command),
        Command::Boxes(command) => boxes::run(&command),
        Command::Worker(command) => worker::run(&command),
        Command::Backend(command) => backend::run(&command),
    }
}
