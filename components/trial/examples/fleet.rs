//! Starts a complete fleet in this process: `cargo run -p magpie-trial --example fleet`.

use {magpie_trial::Fleet, standin::Deploy};

fn main() -> Result<(), String> {
    let deploy = Deploy::named("fiscalis").ok_or("no such user")?;
    let fleet = Fleet::start(deploy, 1).map_err(|error| error.to_string())?;
    fleet.wait_ready()?;
    for entry in fleet.entries().iter() {
        println!(
            "{} has the table's versions {:?}",
            entry.name,
            entry.versions()
        );
    }
    Ok(())
}
