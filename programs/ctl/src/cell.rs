//! The `cell` commands: lists cells of workers and their owners.

use {
    crate::{cli::CellCommand, context::Context, exit::Error, show},
    sched::{directory::Summary, message::ListQuery},
};

/// Runs a `cell` command.
pub fn run(context: &Context, command: CellCommand) -> Result<(), Error> {
    let CellCommand::List(command) = command;
    let cells: Vec<Summary> = context.sched("/cells/list", &ListQuery { all: true })?;
    if command.json {
        show::json(&cells);
        return Ok(());
    }
    let row = |cell: &Summary| {
        [
            cell.cell.to_string(),
            cell.owner.to_string(),
            cell.epoch.to_string(),
            if cell.holding { "holding" } else { "fencing" }.to_owned(),
            format!(
                "{}/{}",
                cell.workers - cell.aside.min(cell.workers),
                cell.workers
            ),
            show::thousandths(cell.free.cpu),
            show::thousandths(cell.total.cpu),
            cell.queued.to_string(),
            cell.running.to_string(),
        ]
    };
    let header = [
        "CELL", "OWNER", "EPOCH", "STAGE", "USABLE", "FREE", "TOTAL", "QUEUED", "RUNNING",
    ];
    show::columns(header, &cells.iter().map(row).collect::<Vec<_>>());
    Ok(())
}
