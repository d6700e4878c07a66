//! The `worker` commands: lists and drains workers.

use {
    crate::{
        cli::{WorkerCommand, WorkerDrain, WorkerList},
        context::Context,
        exit::Error,
        show,
    },
    sched::message::{Drain, ListQuery, Worker},
    std::sync::Arc,
};

/// Runs a `worker` command.
pub fn run(context: &Context, command: WorkerCommand) -> Result<(), Error> {
    match command {
        WorkerCommand::List(command) => list(context, &command),
        WorkerCommand::Drain(command) => drain(context, &command),
    }
}

fn list(context: &Context, command: &WorkerList) -> Result<(), Error> {
    let mut workers: Vec<Worker> = context.sched("/workers/list", &ListQuery { all: true })?;
    workers.sort_by(|a, b| a.name.cmp(&b.name));
    if command.json {
        show::json(&workers);
        return Ok(());
    }
    let row = |worker: &Worker| {
        [
            worker.name.to_string(),
            worker.cell.to_string(),
            worker.generation.to_string(),
            worker.state.to_string(),
            show::thousandths(worker.free.cpu),
            show::thousandths(worker.size.cpu),
            worker.tasks.to_string(),
        ]
    };
    let header = [
        "WORKER",
        "CELL",
        "GENERATION",
        "STATE",
        "FREE",
        "TOTAL",
        "TASKS",
    ];
    show::columns(header, &workers.iter().map(row).collect::<Vec<_>>());
    Ok(())
}

fn drain(context: &Context, command: &WorkerDrain) -> Result<(), Error> {
    let worker = Arc::from(command.worker.as_str());
    let message = Drain {
        worker,
        drained: !command.undo,
        passed: false,
    };
    let drained: bool = context.sched("/workers/drain", &message)?;
    if command.json {
        show::json(&drained);
    } else if command.undo {
        show::out(&format!("{} accepts work again", command.worker));
    } else {
        show::out(&format!("{} gets no new work", command.worker));
    }
    Ok(())
}
