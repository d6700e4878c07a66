//! The report on service-level burn: asks every gate and adds up.

mod cli;

use {
    burn::report::{self, Sample},
    infra::{boxes::Boxes, boxes::Kind},
    kernel::{Client, Failure, client::Timeout, daemon, wall_clock},
    std::{process, sync::Arc, time::Duration},
};

/// The time for one gate's answer, which grows with the table.
const TIME: Timeout = Timeout::single(Duration::from_secs(2)).streaming();

/// Exit code when the list of boxes cannot be read.
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
    let mut silent: Vec<Arc<str>> = Vec::new();
    for item in list.of_kind(Kind::Entry) {
        let Some(url) = item.url("gate-ops") else {
            continue;
        };
        let sample: Result<Sample, Failure> = client.post(&format!("{url}/burn"), &(), TIME);
        match sample {
            Ok(sample) => samples.push(sample),
            Err(_) => silent.push(item.name.clone()),
        }
    }
    let report = report::build(&samples, silent, settings.objective, wall_clock::seconds());
    if settings.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print!("{}", report::render(&report));
    }
}
