//! Experiments that measure how a cost grows with a size.

mod book;
mod decide;
mod exchange;
mod limits;
mod list;
mod memory;
mod messages;
mod owner;
mod pick;
mod rig;
mod spread;
mod summaries;
mod writes;

use {
    crate::{cli, fit::Fit},
    kernel::settings,
    std::process,
};

/// One experiment.
struct Experiment {
    name: &'static str,
    run: fn() -> Vec<Fit>,
}

/// All experiments. Memory runs first, before other experiments leave memory allocated.
const EXPERIMENTS: [Experiment; 12] = [
    Experiment {
        name: "memory",
        run: memory::run,
    },
    Experiment {
        name: "decide",
        run: decide::run,
    },
    Experiment {
        name: "book",
        run: book::run,
    },
    Experiment {
        name: "messages",
        run: messages::run,
    },
    Experiment {
        name: "exchange",
        run: exchange::run,
    },
    Experiment {
        name: "list",
        run: list::run,
    },
    Experiment {
        name: "limits",
        run: limits::run,
    },
    Experiment {
        name: "owner",
        run: owner::run,
    },
    Experiment {
        name: "pick",
        run: pick::run,
    },
    Experiment {
        name: "spread",
        run: spread::run,
    },
    Experiment {
        name: "summaries",
        run: summaries::run,
    },
    Experiment {
        name: "writes",
        run: writes::run,
    },
];

/// Runs the selected experiments, or all.
pub fn run(command: &cli::Slope) {
    for name in &command.what {
        if !EXPERIMENTS.iter().any(|experiment| experiment.name == name) {
            let names: Vec<&str> = EXPERIMENTS.iter().map(|e| e.name).collect();
            eprintln!("'{name}' is invalid; expected one of {}", names.join(", "));
            process::exit(settings::EXIT_SETTINGS)
        }
    }
    let mut fits = Vec::new();
    for experiment in &EXPERIMENTS {
        let is_selected =
            command.what.is_empty() || command.what.iter().any(|w| w == experiment.name);
        if !is_selected {
            continue;
        }
        for fit in (experiment.run)() {
            if !command.json {
                fit.print();
            }
            fits.push(fit);
        }
    }
    if command.json {
        println!("{}", serde_json::to_string(&fits).unwrap_or_default());
    }
}
