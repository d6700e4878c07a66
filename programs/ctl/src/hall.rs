//! The `hall` commands: lists closed data halls on the users' platform.

use {
    crate::{cli::HallCommand, context::Context, exit::Error, show},
    chrono::SecondsFormat,
    kernel::wall_clock,
    node::{
        message::{ClosedHall, PeerRequest, PeerResponse},
        peer,
    },
};

/// Runs a `hall` command.
pub fn run(context: &Context, command: HallCommand) -> Result<(), Error> {
    let HallCommand::List(command) = command;
    let response: PeerResponse =
        context.entry_box(peer::PATH, &PeerRequest::Halls { passed: false })?;
    let PeerResponse::Halls(Some(halls)) = response else {
        return Err(Error::Ended("no owner of the cell responded".to_owned()));
    };
    if command.json {
        show::json(&halls);
        return Ok(());
    }
    let row = |closed: &ClosedHall| {
        [
            closed.hall.to_string(),
            format_time(closed.since),
            closed.by.as_deref().unwrap_or("-").to_owned(),
        ]
    };
    let header = ["SHUT HALL", "KNOWN SINCE", "BY"];
    show::columns(header, &halls.iter().map(row).collect::<Vec<_>>());
    Ok(())
}

/// Formats a time in milliseconds since 1970 as UTC; the plain number if it is out of range.
fn format_time(millis: u64) -> String {
    wall_clock::utc(millis, SecondsFormat::Secs).unwrap_or_else(|| millis.to_string())
}
