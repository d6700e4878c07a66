//! Measures the time from an owner's death to the start of urgent work in its cell.

use {
    crate::cli,
    infra::Size,
    kernel::{Failure, daemon, settings},
    sched::{Spec, Status, job, message::Submit},
    serde::Serialize,
    standin::Deploy,
    std::{
        process,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    trial::{
        Fleet,
        fleet::{TIMEOUT, wait_until},
    },
};

/// The interval between two attempts to submit.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum duration of one round.
const MAX_ROUND: Duration = Duration::from_secs(60);

/// Time for which new work runs before the next owner is killed, so that all boxes know of it.
const SETTLE: Duration = Duration::from_secs(3);

/// The measured times.
#[derive(Debug, Serialize)]
struct Outcome {
    deploy: &'static str,
    running: usize,
    rounds: Vec<f64>,
    p50_ms: f64,
    most_ms: f64,
    double_runs: u64,
    stops: u64,
}

/// Runs the measurement and prints the outcome.
pub fn run(command: &cli::Takeover) {
    let Some(deploy) = Deploy::named(&command.deploy) else {
        eprintln!(
            "--deploy: '{}' is invalid; expected fiscalis or sabarmati",
            command.deploy
        );
        process::exit(settings::EXIT_SETTINGS)
    };
    let outcome = daemon::started_or_exit(measure(deploy, command.rounds.max(1)));
    if command.json {
        println!("{}", serde_json::to_string(&outcome).unwrap_or_default());
        return;
    }
    println!(
        "urgent work after an owner's death: half in {:.0} ms, the last in {:.0} ms; {} tasks ran \
         on, {} stopped, {} ran twice",
        outcome.p50_ms, outcome.most_ms, outcome.running, outcome.stops, outcome.double_runs
    );
}

fn spec(class: &str, cell: &Arc<str>, count: u32, length: u64) -> Spec {
    Spec {
        class: Arc::from(class),
        count,
        size: Size::new(500, 500, 0),
        length,
        once: false,
        hall: Some(cell.clone()),
    }
}

fn submit(fleet: &Fleet, spec: &Spec, key: u64) -> Result<Arc<str>, String> {
    let Some(hall) = &spec.hall else {
        return Err("a job of the experiment has no hall".to_owned());
    };
    let id = job::id(hall, key);
    let message = Submit {
        id: Some(id.clone()),
        key,
        spec: spec.clone(),
        passed: false,
    };
    let end = Instant::now() + MAX_ROUND;
    loop {
        let url = format!("{}/jobs/submit", fleet.any_sched());
        let sent: Result<Status, Failure> = fleet.client.post(&url, &message, TIMEOUT);
        match sent {
            Ok(_) => return Ok(id),
            Err(failure) if Instant::now() > end => return Err(failure.to_string()),
            Err(_) => thread::sleep(RETRY_INTERVAL),
        }
    }
}

fn measure(deploy: Deploy, rounds: u32) -> Result<Outcome, String> {
    let name = deploy.name;
    let batch = if name == "fiscalis" {
        "reconciliation"
    } else {
        "manifest"
    };
    let fleet = Fleet::start(deploy, 1).map_err(|error| error.to_string())?;
    fleet.wait_ready()?;
    let cell = fleet.deploy.hall(0);
    let tasks = (fleet.deploy.workers / fleet.deploy.halls * 16) as u32;
    submit(&fleet, &spec(batch, &cell, tasks, 3_600_000), 1)?;
    let all_running = || fleet.platform.auditor.running() == tasks as usize;
    wait_until(
        Instant::now() + MAX_ROUND,
        "the batch tasks did not all start",
        all_running,
    )?;
    let mut times = Vec::new();
    for round in 0..rounds {
        times.push(run_round(&fleet, &cell, round)?);
    }
    let mut sorted = times.clone();
    sorted.sort_by(f64::total_cmp);
    let totals = fleet.platform.auditor.totals();
    Ok(Outcome {
        deploy: name,
        running: tasks as usize,
        p50_ms: sorted[(sorted.len() - 1) / 2],
        most_ms: sorted[sorted.len() - 1],
        rounds: times,
        double_runs: totals.concurrent_runs + totals.repeated_tasks,
        stops: totals.stops,
    })
}

/// Kills the cell's owner and adds a replacement box. Returns the time until urgent work started,
/// in milliseconds.
fn run_round(fleet: &Fleet, cell: &Arc<str>, round: u32) -> Result<f64, String> {
    thread::sleep(SETTLE);
    let Some(mut owner) = fleet.take_owner(cell) else {
        return Err("the cell has no owner".to_owned());
    };
    let killed = Instant::now();
    owner.kill();
    let id = submit(fleet, &spec("urgent", cell, 1, 100), u64::from(round) + 100)?;
    let begun = || fleet.platform.auditor.first_start(&id);
    wait_until(
        Instant::now() + MAX_ROUND,
        "urgent work did not start",
        || begun().is_some(),
    )?;
    let seconds = begun().map_or(0.0, |at| at.saturating_duration_since(killed).as_secs_f64());
    fleet.platform.registry.remove(&owner.name);
    let name = format!("n{round}");
    fleet
        .add(&name, owner.hall.clone())
        .map_err(|error| error.to_string())?;
    Ok(seconds * 1e3)
}
