//! magpiectl, the operators' command line: manages the table, jobs, workers, cells and halls, and
//! shows queues.

mod cell;
mod cli;
mod context;
mod exit;
mod hall;
mod job;
mod queue;
mod show;
mod table;
mod worker;

use {cli::Command, kernel::daemon, std::process};

fn main() {
    let arguments: cli::Arguments = daemon::parse_arguments();
    let context = context::read(
        arguments.sched,
        arguments.table,
        arguments.entry_box,
        arguments.token_file,
    );
    let result = match arguments.command {
        Command::Table(command) => table::run(&context, command.command),
        Command::Job(command) => job::run(&context, command.command),
        Command::Worker(command) => worker::run(&context, command.command),
        Command::Cell(command) => cell::run(&context, command.command),
        Command::Hall(command) => hall::run(&context, command.command),
        Command::Queue(command) => queue::run(&context, command.command),
    };
    if let Err(error) = result {
        eprintln!("{error}");
        process::exit(error.code());
    }
}
