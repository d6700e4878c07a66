//! Measures the calls to the store against the rate of task starts, at a constant rate of jobs.

use {
    crate::fit::{self, Fit, Point},
    infra::Size,
    kernel::Failure,
    sched::{Spec, Status, job, message::Submit},
    standin::Deploy,
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    trial::{Fleet, fleet::TIMEOUT},
};

/// Number of tasks per job.
const TASKS: [u32; 4] = [1, 10, 50, 200];

/// The interval between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(500);

/// Duration of the load at each rate.
const LOAD_TIME: Duration = Duration::from_secs(12);

/// Runs jobs of growing size on the Fiscalis deployment.
pub fn run() -> Vec<Fit> {
    let Some(deploy) = Deploy::named("fiscalis") else {
        return Vec::new();
    };
    let Ok(fleet) = Fleet::start(deploy, 1) else {
        return Vec::new();
    };
    if fleet.wait_ready().is_err() {
        return Vec::new();
    }
    let mut writes = Vec::new();
    let mut reads = Vec::new();
    for tasks in TASKS {
        let (starts, swaps, gets) = rates(&fleet, tasks);
        writes.push(Point {
            size: starts,
            cost: swaps,
        });
        reads.push(Point {
            size: starts,
            cost: gets,
        });
    }
    vec![
        fit::line(
            "writes of the store a second, 4 cells, 2 jobs a second",
            "starts a second",
            writes,
        ),
        fit::line(
            "reads of the store a second, watches counted in",
            "starts a second",
            reads,
        ),
    ]
}

/// Returns starts, writes and reads per second with jobs of this size.
fn rates(fleet: &Fleet, tasks: u32) -> (f64, f64, f64) {
    let counts = || fleet.platform.store.core().counts();
    let starts = || fleet.platform.auditor.totals().starts;
    let (before, first) = (counts(), starts());
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < LOAD_TIME {
        submit(fleet, tasks, number);
        number += 1;
        let due = started + JOB_INTERVAL * number;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = counts();
    let reads = after.get + after.watch - before.get - before.watch;
    (
        (starts() - first) as f64 / seconds,
        (after.swap - before.swap) as f64 / seconds,
        reads as f64 / seconds,
    )
}

fn submit(fleet: &Fleet, tasks: u32, number: u32) {
    let hall = fleet.deploy.hall(number as usize);
    let key = u64::from(tasks) << 32 | u64::from(number);
    let spec = Spec {
        class: Arc::from("reconciliation"),
        count: tasks,
        size: Size::new(500, 500, 0),
        length: 1000,
        once: false,
        hall: Some(hall.clone()),
    };
    let id = Some(job::id(&hall, key));
    let message = Submit {
        id,
        key,
        spec,
        passed: false,
    };
    let url = format!("{}/jobs/submit", fleet.any_sched());
    // A refused job shows in the rate of starts.
    let _: Result<Status, Failure> = fleet.client.post(&url, &message, TIMEOUT);
}
