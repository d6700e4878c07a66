//! The `queue` commands: show what waits in the queues of the users' platform.

use {
    crate::{cli::QueueCommand, context::Context, exit::Error, show},
    node::{
        admission::kind_label,
        message::{PeerRequest, PeerResponse, QueueStatus},
        peer,
    },
};

/// Runs a `queue` command.
pub fn run(context: &Context, command: QueueCommand) -> Result<(), Error> {
    let QueueCommand::Pressure(command) = command;
    let response: PeerResponse =
        context.entry_box(peer::PATH, &PeerRequest::Pressure { passed: false })?;
    let PeerResponse::Pressure(Some(statuses)) = response else {
        return Err(Error::Ended("no owner of the cell responded".to_owned()));
    };
    if command.json {
        show::json(&statuses);
        return Ok(());
    }
    let row = |status: &QueueStatus| {
        [
            status.queue.to_string(),
            status.kind.map_or("-", kind_label).to_owned(),
            status.waiting.to_string(),
            wait(status.wait),
            wait(status.drain),
            status.pool.to_string(),
            status.workers.to_string(),
            thousandths(status.largest.cpu),
            status.refused.to_string(),
        ]
    };
    let header = [
        "QUEUE", "KIND", "JOBS", "WAIT S", "LATE S", "POOL", "WORKERS", "LARGEST", "REFUSED",
    ];
    show::columns(header, &statuses.iter().map(row).collect::<Vec<_>>());
    Ok(())
}

/// Formats a wait in seconds.
fn wait(millis: u64) -> String {
    match millis {
        u64::MAX => "forever".to_owned(),
        millis => thousandths(millis),
    }
}

/// Formats thousandths with one decimal.
fn thousandths(amount: u64) -> String {
    format!("{:.1}", amount as f64 / 1e3)
}
