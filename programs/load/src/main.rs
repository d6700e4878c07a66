//! Performance experiments on the components of the real programs.

mod added;
mod cli;
mod fit;
mod machine;
mod slope;
mod takeover;
mod watch;

use {cli::Command, kernel::daemon};

fn main() {
    let arguments: cli::Arguments = daemon::parse_arguments();
    match arguments.command {
        Command::Slope(command) => slope::run(&command),
        Command::Added(command) => added::run(&command),
        Command::Watch(command) => watch::run(&command),
        Command::Takeover(command) => takeover::run(&command),
    }
}
