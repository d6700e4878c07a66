//! Data halls on the users' platform.

use {
    crate::{cli::HallCommand, context::Context, exit::Error, show},
    chrono::SecondsFormat,
    kernel::wall_clock,
    node::{
        message::{ClosedHall, PeerRequest, PeerResponse},
        peer,
    },
};

/// Runs a command on data halls.
pub fn run(context: &Context, command: HallCommand) -> Result<(), Error> {
    let HallCommand::List(command) = command;
    let told: PeerResponse =
        context.entry_box(peer::PATH, &PeerRequest::Halls { passed: false })?;
    let PeerResponse::Halls(Some(halls)) = told else {
        return Err(Error::Ended("no owner of the cell answers".to_owned()));
    };
    if command.json {
        show::json(&halls);
        return Ok(());
    }
    let row = |shut: &ClosedHall| {
        [
            shut.hall.to_string(),
            time(shut.since),
            shut.by.as_deref().unwrap_or("-").to_owned(),
        ]
    };
    let header = ["SHUT HALL", "KNOWN SINCE", "BY"];
    show::columns(header, &halls.iter().map(row).collect::<Vec<_>>());
    Ok(())
}

/// A time in milliseconds since 1970, for people.
fn time(millis: u64) -> String {
    wall_clock::utc(millis, SecondsFormat::Secs).unwrap_or_else(|| millis.to_string())
}
