//! Demo of magpiesaddle: the complete system in one process over loopback, with load, injected
//! faults and invariant checks.

mod callers;
mod check;
mod cli;
mod context;
mod edits;
mod faults;
mod jobs;
mod outcome;

use {
    context::Context,
    kernel::{daemon, logs, settings, task},
    standin::Deploy,
    std::{
        process,
        sync::Arc,
        thread::JoinHandle,
        time::{Duration, Instant},
    },
};

/// Exit code when an invariant was breached.
const EXIT_BREACH: i32 = 1;

fn main() {
    let arguments: cli::Arguments = daemon::parse_arguments();
    let Some(deploy) = Deploy::named(&arguments.deploy) else {
        let text = &arguments.deploy;
        eprintln!("--deploy: '{text}' is invalid; expected fiscalis or sabarmati");
        process::exit(settings::EXIT_SETTINGS)
    };
    let level = if arguments.verbose {
        log::LevelFilter::Info
    } else {
        log::LevelFilter::Off
    };
    daemon::started_or_exit(logs::start(level));
    print_status(
        &arguments,
        &format!("Starting {}.", context::describe(&deploy)),
    );
    let context = Arc::new(daemon::started_or_exit(Context::start(
        deploy,
        arguments.seed,
    )));
    daemon::started_or_exit(context.fleet.wait_ready());
    jobs::start(&context, arguments.seed);
    let time = Duration::from_secs(arguments.seconds.max(1));
    print_status(&arguments, &format!("Running for {} s.", time.as_secs()));
    let outcome = run(&context, &arguments, time);
    context.stop();
    if arguments.json {
        println!("{}", serde_json::to_string(&outcome).unwrap_or_default());
    } else {
        outcome.print();
    }
    if outcome.breaches > 0 {
        process::exit(EXIT_BREACH)
    }
}

/// Runs load and faults for `time`, waits for the jobs to end, and checks the invariants.
fn run(context: &Arc<Context>, arguments: &cli::Arguments, time: Duration) -> outcome::Outcome {
    let started = Instant::now();
    let before = context.fleet.platform.store.core().counts();
    let end = started + time;
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let mut start = |name: &str, run: Box<dyn FnOnce() + Send>| {
        threads.push(daemon::started_or_exit(task::spawn(name, run)));
    };
    for number in 0..callers::THREADS {
        let (context, seed) = (context.clone(), arguments.seed ^ (number as u64) << 32);
        start(
            "callers",
            Box::new(move || callers::run(&context, seed, end)),
        );
    }
    for number in 0..jobs::SUBMITTERS {
        let (shared, seed) = (context.clone(), arguments.seed ^ (u64::from(number) << 40));
        start("jobs", Box::new(move || jobs::run(&shared, seed, end)));
    }
    let (shared, seed) = (context.clone(), arguments.seed);
    start("edits", Box::new(move || edits::run(&shared, seed, end)));
    let shared = context.clone();
    start(
        "versions",
        Box::new(move || edits::watch_versions(&shared, end)),
    );
    if !arguments.calm {
        let (shared, json) = (context.clone(), arguments.json);
        start(
            "trouble",
            Box::new(move || faults::run(&shared, started, time, json)),
        );
    }
    for thread in threads {
        if thread.join().is_err() {
            context.breach("a thread of the demo panicked");
        }
    }
    let after = context.fleet.platform.store.core().counts();
    let elapsed = started.elapsed();
    print_status(arguments, "Waiting for the jobs to end.");
    check::jobs_ended(context);
    check::totals(context);
    outcome::build(context, (before, after), elapsed)
}

fn print_status(arguments: &cli::Arguments, text: &str) {
    if !arguments.json {
        println!("{text}");
    }
}
