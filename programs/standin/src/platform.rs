//! Subcommand `platform`: a complete platform with the deployment sizes of a user.

use {
    crate::cli,
    infra::boxes::Item,
    kernel::{daemon, settings},
    standin::{
        Deploy,
        deploy::{Addresses, Platform, entry_item},
    },
    std::process,
};

/// Services of an entry box, in the order of their ports in the argument.
const SERVICES: [&str; 4] = ["gate", "gate-ops", "sched", "table"];

/// Serves the platform until the process is asked to stop.
pub fn run(command: &cli::Platform) {
    let Some(mut deploy) = Deploy::named(&command.deploy) else {
        eprintln!(
            "--deploy: '{}' is invalid; expected fiscalis or sabarmati",
            command.deploy
        );
        process::exit(settings::EXIT_SETTINGS)
    };
    deploy.workers = command.workers.unwrap_or(deploy.workers);
    deploy.halls = command.halls.unwrap_or(deploy.halls).max(1);
    let mut entries = Vec::new();
    for text in &command.entry {
        let Some(item) = parse_entry(text) else {
            eprintln!("--entry: '{text}' is invalid; expected NAME,HALL and four ports");
            process::exit(settings::EXIT_SETTINGS)
        };
        entries.push(item);
    }
    let addresses = Addresses {
        store: command.store,
        boxes: command.boxes,
    };
    let platform = daemon::started_or_exit(Platform::start(&deploy, addresses, 1));
    for item in entries {
        platform.registry.put(item);
    }
    println!(
        "store {} boxes {}",
        platform.store.url(),
        platform.boxes.clone()
    );
    daemon::wait_for_shutdown();
}

/// Parses the `--entry` argument; `None` if it is invalid.
fn parse_entry(text: &str) -> Option<Item> {
    let parts: Vec<&str> = text.split(',').collect();
    let (names, ports) = parts.split_at_checked(2)?;
    if ports.len() != SERVICES.len() || !names.iter().all(|name| settings::is_name(name)) {
        return None;
    }
    let mut services = Vec::new();
    for (service, port) in SERVICES.iter().zip(ports) {
        let port: u16 = port.parse().ok()?;
        services.push((*service, format!("http://127.0.0.1:{port}")));
    }
    Some(entry_item(names[0], names[1], &services))
}
