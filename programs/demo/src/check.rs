//! What must hold at the end.

use {
    crate::world::World,
    kernel::{Failure, sync::lock},
    sched::{Status, message::JobQuery},
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    trial::fleet::TIMEOUT,
};

/// How long jobs may take to end after the load.
const END_MOST: Duration = Duration::from_secs(180);

/// How often jobs are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(300);

/// Waits until every acknowledged job with an end has ended, each task of it exactly once.
pub fn jobs_ended(world: &World) {
    let end = Instant::now() + END_MOST;
    let ids: Vec<Arc<str>> = lock(&world.jobs).keys().cloned().collect();
    let mut open = ids;
    while !open.is_empty() && Instant::now() < end {
        open.retain(|id| !is_over(world, id));
        thread::sleep(LOOK_EVERY);
    }
    for id in open {
        let known = lock(&world.jobs).get(&id).cloned().unwrap_or_default();
        world.breach(&format!("an acknowledged job did not end: {known:?}"));
    }
}

/// Asks for a job. True when nothing more is to be awaited of it.
fn is_over(world: &World, id: &Arc<str>) -> bool {
    let url = format!("{}/jobs/show", world.fleet.any_sched());
    let named = JobQuery {
        id: id.clone(),
        passed: false,
    };
    let shown: Result<Status, Failure> = world.fleet.client.post(&url, &named, TIMEOUT);
    let Ok(status) = shown else { return false };
    let mut jobs = lock(&world.jobs);
    let Some(known) = jobs.get_mut(id) else {
        return true;
    };
    let cancelled = known.cancelled;
    *known = status.clone();
    if cancelled && !status.cancelled && !status.ended {
        drop(jobs);
        world.breach("a cancelled job was revived");
        return true;
    }
    drop(jobs);
    judge(world, &status)
}

/// True when a job is where it may be left; tells of tasks that did not finish.
fn judge(world: &World, status: &Status) -> bool {
    let class = &*status.class;
    if class == world.fleet.deploy.service || class == "watcher" || class == "route" {
        return status.running == status.count;
    }
    if !status.ended {
        return false;
    }
    let settled = status.finished + status.failed + status.unknown;
    if !status.cancelled && settled != status.count {
        world.breach(&format!("a job ended without all of its tasks: {status:?}"));
    }
    let once = class == "submission" || class == "dispatch";
    if status.unknown > 0 && !once {
        world.breach("a task that may be repeated was given up as unknown");
    }
    true
}

/// Looks at what the stand-ins saw.
pub fn totals(world: &World) {
    let totals = world.fleet.platform.auditor.totals();
    let counts = [
        (totals.concurrent_runs, "a task ran in two places at once"),
        (
            totals.repeated_tasks,
            "a task ran again after it had finished",
        ),
        (
            totals.overcommits,
            "a worker was committed beyond what it has",
        ),
        (
            totals.repeated_requests,
            "a request that must not be repeated ran again",
        ),
        (
            totals.slot_overruns,
            "a backend server got more requests than it has slots",
        ),
    ];
    for (count, text) in counts {
        if count > 0 {
            world.breach(&format!("{text} ({count} times)"));
        }
    }
}
