//! Reports how fast the services burn their error budgets, from the samples of all gates.

mod cli;

use {
    burn::report::{self, Sample},
    infra::{boxes::Boxes, boxes::Kind},
    kernel::{Client, Failure, client::Timeout, daemon, wall_clock},
    std::{process, sync::Arc, time::Duration},
};

/// Time-out of a request to one gate. The body is streamed without this limit, because its size
/// grows with the table.
const GATE_TIMEOUT: Timeout = Timeout::single(Duration::from_secs(2)).streaming();

/// Exit code if the list of boxes cannot be read.
const EXIT_NO_LIST: i32 = 1;

fn main() {
    let arguments: cli::Arguments = daemon::parse_arguments();
    let check = arguments.check;
    let settings = kernel::settings::unwrap_or_exit(cli::read(arguments), check);
    let list = match settings.boxes.list(0) {
        Ok(list) => list.unwrap_or_default(),
        Err(failure) => {
            eprintln!("the list of boxes cannot be read: {failure}");
            process::exit(EXIT_NO_LIST)
        }
    };
    let client = Client::new(settings.token);
    let mut samples = Vec::new();
    let mut unreachable: Vec<Arc<str>> = Vec::new();
    for item in list.of_kind(Kind::Entry) {
        let Some(url) = item.url("gate-ops") else {
            continue;
        };
        let sample: Result<Sample, Failure> =
            client.post(&format!("{url}/burn"), &(), GATE_TIMEOUT);
        match sample {
            Ok(sample) => samples.push(sample),
            Err(_) => unreachable.push(item.name.clone()),
        }
    }
    let report = report::build(
        &samples,
        unreachable,
        settings.objective,
        wall_clock::seconds(),
    );
    if settings.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print!("{}", report::render(&report));
    }
}
