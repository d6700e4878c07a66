//! Runs real boxes under seeded external faults, and checks what callers and workers observe.

mod callers;
mod check;
mod cli;
mod closing;
mod fault;
mod guard;
mod history;
mod idle;
mod plan;
mod process;
mod report;
mod settle;
mod versions;
mod waves;
mod worker;
mod world;

use {
    anyhow::{Context, Result, ensure},
    callers::Caller,
    closing::Closing,
    fault::Player,
    guard::Guard,
    kernel::{sync::lock, task::Signal},
    plan::Event,
    process::Program,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{
        env, fs,
        path::PathBuf,
        process as system,
        sync::Arc,
        thread::{self, ScopedJoinHandle},
        time::{Duration, Instant},
    },
    waves::draw,
    world::World,
};

/// Exit code when a rule was broken.
const EXIT_BREACH: i32 = 1;
/// Exit code when the soak itself failed.
const EXIT_FAILED: i32 = 2;
/// Exit code after a signal.
const EXIT_SIGNAL: i32 = 130;
/// Number of concurrent callers.
const CALLERS: u64 = 4;
/// The interval between two samples of jobs of which nothing runs.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Workers that an owner polls directly, with even and with odd seeds: all, or so few that relays
/// poll the others.
const DIRECT_WORKERS: [usize; 2] = [70, 2];
/// Maximum number of boxes and of workers.
const MAX_COUNT: usize = 200;

fn main() {
    let arguments: cli::Arguments = argh::from_env();
    if arguments.guard {
        guard::run(&arguments.program.unwrap_or_default());
        return;
    }
    match run_seed(&arguments) {
        Ok(0) => {}
        Ok(_) => system::exit(EXIT_BREACH),
        Err(error) => {
            eprintln!("magpie-soak: {error:#}");
            system::exit(EXIT_FAILED)
        }
    }
}

/// Runs one seed. Returns the number of breaches.
fn run_seed(arguments: &cli::Arguments) -> Result<usize> {
    let sizes = [arguments.boxes, arguments.workers];
    let is_valid = sizes.iter().all(|size| (1..=MAX_COUNT).contains(size));
    ensure!(
        is_valid,
        "boxes or workers invalid; expected 1 to {MAX_COUNT}"
    );
    check_waves(arguments)?;
    let time = Duration::from_secs(arguments.seconds);
    let wave_plan = draw::draw(arguments.seed, time, arguments.waves, arguments.workers);
    let mut plan = plan::draw(
        arguments.seed,
        time,
        arguments.boxes,
        arguments.workers,
        arguments.reborn,
    );
    plan.extend(wave_plan.events);
    plan.sort_by_key(|event| event.at);
    let final_plan = closing::draw(
        arguments.closing,
        arguments.seed,
        arguments.boxes,
        arguments.workers,
    );
    if arguments.plan {
        plan.iter().for_each(|event| println!("{event}"));
        final_plan
            .iter()
            .for_each(|event| println!("after the load: {event}"));
        return Ok(0);
    }
    let program = program(arguments)?;
    let world = World::open(&program, arguments, wave_plan.requests)?;
    let stalls = run_world(&world, arguments, &plan, &final_plan)?;
    world.check();
    let breaches = world.breaches();
    for breach in &breaches {
        report::print_breach(&world, breach);
    }
    report::print_summary(&world, arguments.seed, stalls, &program.logs);
    drop(world);
    if breaches.is_empty() && !arguments.keep {
        fs::remove_dir_all(&program.logs)?;
    }
    Ok(breaches.len())
}

/// Checks that the other arguments allow maintenance waves.
fn check_waves(arguments: &cli::Arguments) -> Result<()> {
    if arguments.waves == 0 {
        return Ok(());
    }
    ensure!(
        arguments.workers >= draw::MIN_WORKERS,
        "waves need at least {} workers",
        draw::MIN_WORKERS
    );
    // The final loss of power would end the maintenance of machines, or take them away.
    ensure!(
        arguments.closing != Some(Closing::PowerLoss),
        "waves cannot be combined with a power loss at the end"
    );
    Ok(())
}

/// Finds the box executable and creates the directory for the logs.
fn program(arguments: &cli::Arguments) -> Result<Program> {
    let default_path = || Ok::<_, anyhow::Error>(env::current_exe()?.with_file_name("magpie-box"));
    let path = match &arguments.program {
        Some(path) => path.clone(),
        None => default_path()?,
    };
    ensure!(path.is_file(), "{} does not exist", path.display());
    let name = format!("magpie-soak-{}-{}", arguments.seed, system::id());
    let parent = arguments.logs.clone().unwrap_or_else(env::temp_dir);
    let logs: PathBuf = parent.join(name);
    fs::create_dir_all(&logs).with_context(|| logs.display().to_string())?;
    let guard = Arc::new(Guard::start(&path)?);
    let direct_workers = DIRECT_WORKERS[(arguments.seed % 2) as usize];
    Ok(Program {
        path,
        logs,
        direct_workers: arguments.own_workers.unwrap_or(direct_workers),
        link: arguments.link,
        machines: None,
        guard,
    })
}

/// Runs boxes, callers, faults and checks. Returns how often the soak process itself stalled.
fn run_world(
    world: &World,
    arguments: &cli::Arguments,
    plan: &[Event],
    final_plan: &[Event],
) -> Result<u32> {
    let (seed, closing) = (arguments.seed, arguments.closing);
    let time = Duration::from_secs(arguments.seconds);
    let (load, background) = (Signal::new(), Signal::new());
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let handle = signals.handle();
    let stalls = thread::scope(|scope| {
        scope.spawn(|| exit_on_signal(world, &mut signals));
        scope.spawn(|| fault::watch_ready(world, &background));
        scope.spawn(|| check_until(world, &background));
        scope.spawn(|| watch_idle(world, &load, &background));
        let idle = Signal::new();
        let other = idle.clone();
        let starter = scope.spawn(move || Player::new(world, &[]).run(Instant::now(), &other));
        settle::wait_ready(world);
        idle.stop();
        let started = starter.join();
        let started_at = Instant::now();
        let faults = Signal::new();
        let until = faults.clone();
        let first = scope.spawn(move || {
            let mut player = Player::new(world, plan);
            player.run(started_at, &until).map(|()| player.stalls)
        });
        let call = |number| {
            let until = load.clone();
            scope.spawn(move || Caller::new(world, seed, number).run(&until))
        };
        let callers: Vec<_> = (0..CALLERS).map(call).collect();
        run_load(&load, time);
        for caller in callers {
            if caller.join().is_err() {
                world.report_breach("soak", "caller", "the caller panicked".to_owned());
            }
        }
        let mut players = vec![first];
        if closing.is_some() && settle::wait_ready(world) {
            faults.stop();
            // Otherwise it could restart a box without power.
            while !players[0].is_finished() {
                thread::sleep(SAMPLE_INTERVAL);
            }
            let until = background.clone();
            let player = closing::run(world, seed, final_plan);
            players.push(scope.spawn(move || {
                let mut player = player?;
                player.run(Instant::now(), &until).map(|()| player.stalls)
            }));
        }
        settle::run(world, closing.map(|_| seed));
        faults.stop();
        background.stop();
        handle.close();
        let mut all = vec![started.map(|started| started.map(|()| 0))];
        all.extend(players.into_iter().map(ScopedJoinHandle::join));
        all
    });
    let mut sum = 0;
    for own in stalls {
        sum += own.map_err(|_| anyhow::anyhow!("a thread of the soak panicked"))??;
    }
    Ok(sum)
}

/// Keeps the load on for `time`, then stops it.
fn run_load(load: &Signal, time: Duration) {
    thread::sleep(time);
    load.stop();
}

/// Checks the rules until the signal is set.
fn check_until(world: &World, until: &Signal) {
    while !until.is_stopped() {
        world.check();
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Watches for jobs of which nothing runs until the signal is set.
fn watch_idle(world: &World, load: &Signal, until: &Signal) {
    while !until.is_stopped() {
        world.watch_idle(load.is_stopped());
        thread::sleep(SAMPLE_INTERVAL);
    }
}

/// Kills all boxes and exits on SIGINT or SIGTERM.
fn exit_on_signal(world: &World, signals: &mut Signals) {
    if signals.forever().next().is_none() {
        return;
    }
    // The locks are held until the exit, so that no box is restarted.
    let mut boxes: Vec<_> = world.boxes.iter().map(|process| lock(process)).collect();
    for process in &mut boxes {
        process.kill();
    }
    system::exit(EXIT_SIGNAL)
}
