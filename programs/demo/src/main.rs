//! All of magpiesaddle in one process over loopback: a newcomer's first minute, and a check of
//! what must always hold.

mod callers;
mod check;
mod cli;
mod edits;
mod jobs;
mod outcome;
mod trouble;
mod world;

use {
    kernel::{daemon, logs, settings, task},
    standin::Deploy,
    std::{
        process,
        sync::Arc,
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    world::World,
};

/// Exit code when something that must hold was broken.
const EXIT_BREACH: i32 = 1;

fn main() {
    let arguments: cli::Arguments = daemon::parse_arguments();
    let Some(deploy) = Deploy::named(&arguments.deploy) else {
        let text = &arguments.deploy;
        eprintln!("--deploy: '{text}' is wrong; right is fiscalis or sabarmati");
        process::exit(settings::EXIT_SETTINGS)
    };
    let level = if arguments.verbose {
        log::LevelFilter::Info
    } else {
        log::LevelFilter::Off
    };
    daemon::started_or_exit(logs::start(level));
    say(
        &arguments,
        &format!("Starting {}.", world::describe(&deploy)),
    );
    let world = Arc::new(daemon::started_or_exit(World::start(
        deploy,
        arguments.seed,
    )));
    daemon::started_or_exit(world.fleet.wait_ready());
    jobs::start(&world, arguments.seed);
    let time = Duration::from_secs(arguments.seconds.max(1));
    say(&arguments, &format!("Running for {} s.", time.as_secs()));
    let outcome = run(&world, &arguments, time);
    world.stop();
    if arguments.json {
        println!("{}", serde_json::to_string(&outcome).unwrap_or_default());
    } else {
        outcome.print();
    }
    if outcome.breaches > 0 {
        process::exit(EXIT_BREACH)
    }
}

/// Runs load and trouble for a time, lets the jobs end, and checks what came of it.
fn run(world: &Arc<World>, arguments: &cli::Arguments, time: Duration) -> outcome::Outcome {
    let started = Instant::now();
    let before = world.fleet.platform.store.core().counts();
    let end = started + time;
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let mut start = |name: &str, run: Box<dyn FnOnce() + Send>| {
        threads.push(daemon::started_or_exit(task::spawn(name, run)));
    };
    for number in 0..callers::THREADS {
        let (world, seed) = (world.clone(), arguments.seed ^ (number as u64) << 32);
        start("callers", Box::new(move || callers::run(&world, seed, end)));
    }
    for number in 0..jobs::SUBMITTERS {
        let (theirs, seed) = (world.clone(), arguments.seed ^ (u64::from(number) << 40));
        start("jobs", Box::new(move || jobs::run(&theirs, seed, end)));
    }
    let (theirs, seed) = (world.clone(), arguments.seed);
    start("edits", Box::new(move || edits::run(&theirs, seed, end)));
    let theirs = world.clone();
    start(
        "versions",
        Box::new(move || edits::watch_versions(&theirs, end)),
    );
    if !arguments.calm {
        let (theirs, json) = (world.clone(), arguments.json);
        start(
            "trouble",
            Box::new(move || trouble::run(&theirs, started, time, json)),
        );
    }
    for thread in threads {
        if thread.join().is_err() {
            world.breach("a part of the demo itself failed");
        }
    }
    let after = world.fleet.platform.store.core().counts();
    let took = started.elapsed();
    say(arguments, "Letting the jobs end.");
    check::jobs_ended(world);
    check::totals(world);
    outcome::build(world, (before, after), took)
}

fn say(arguments: &cli::Arguments, text: &str) {
    if !arguments.json {
        println!("{text}");
    }
}
