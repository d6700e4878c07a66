//! Invariants that are checked after the load has ended.

use {
    crate::context::Context,
    kernel::{Failure, sync::lock},
    sched::{Status, message::JobQuery},
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    trial::fleet::TIMEOUT,
};

/// Time limit for jobs to end after the load.
const END_TIMEOUT: Duration = Duration::from_secs(180);

/// Interval between two checks of the jobs.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Waits until every acknowledged job that can end has ended, each of its tasks exactly once.
pub fn jobs_ended(context: &Context) {
    let end = Instant::now() + END_TIMEOUT;
    let ids: Vec<Arc<str>> = lock(&context.jobs).keys().cloned().collect();
    let mut open = ids;
    while !open.is_empty() && Instant::now() < end {
        open.retain(|id| !is_checked(context, id));
        thread::sleep(POLL_INTERVAL);
    }
    for id in open {
        let known = lock(&context.jobs).get(&id).cloned().unwrap_or_default();
        context.breach(&format!("an acknowledged job did not end: {known:?}"));
    }
}

/// Queries a job. Returns true if it needs no further checks.
fn is_checked(context: &Context, id: &Arc<str>) -> bool {
    let url = format!("{}/jobs/show", context.fleet.any_sched());
    let query = JobQuery {
        id: id.clone(),
        passed: false,
    };
    let shown: Result<Status, Failure> = context.fleet.client.post(&url, &query, TIMEOUT);
    let Ok(status) = shown else { return false };
    let mut jobs = lock(&context.jobs);
    let Some(known) = jobs.get_mut(id) else {
        return true;
    };
    let cancelled = known.cancelled;
    *known = status.clone();
    if cancelled && !status.cancelled && !status.ended {
        drop(jobs);
        context.breach("a cancelled job is shown as not cancelled");
        return true;
    }
    drop(jobs);
    check_status(context, &status)
}

/// Returns true if a job has reached its expected final state, and reports tasks that did not
/// finish.
fn check_status(context: &Context, status: &Status) -> bool {
    let class = &*status.class;
    if class == context.fleet.deploy.service || class == "watcher" || class == "route" {
        return status.running == status.count;
    }
    if !status.ended {
        return false;
    }
    let ended_tasks = status.finished + status.failed + status.unknown;
    if !status.cancelled && ended_tasks != status.count {
        context.breach(&format!("a job ended before all of its tasks: {status:?}"));
    }
    let once = class == "submission" || class == "dispatch";
    if status.unknown > 0 && !once {
        context.breach("a repeatable task ended with an unknown outcome");
    }
    true
}

/// Reports the invariant violations counted by the auditor.
pub fn totals(context: &Context) {
    let totals = context.fleet.platform.auditor.totals();
    let counts = [
        (totals.concurrent_runs, "a task ran in two places at once"),
        (
            totals.repeated_tasks,
            "a task ran again after it had finished",
        ),
        (
            totals.overcommits,
            "a worker was allocated beyond its capacity",
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
            context.breach(&format!("{text} ({count} times)"));
        }
    }
}
