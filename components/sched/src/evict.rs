//! Making room for more urgent work, by checkpoint and stop.

use {
    crate::{cell::Cell, job, placement::Demand},
    infra::{
        Size,
        worker::{Manner, Task},
    },
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    table::Kind,
};

/// A task is not stopped before it ran this long, so that work is not moved to and fro.
const MIN_RUN_TIME: Duration = Duration::from_secs(2);

/// Workers that are looked at for one task.
const MAX_CANDIDATES: usize = 64;

/// Room that is being freed and was promised in this pass, by worker.
pub type ReservedCapacity = HashMap<usize, Size>;

/// Stops tasks of lower priority so that the next task of a class fits on some worker. Returns
/// the worker's place once for each task that is told to stop.
pub fn preempt(
    cell: &mut Cell,
    class: &Arc<str>,
    promised: &mut ReservedCapacity,
    now: Instant,
) -> Vec<usize> {
    let Some(id) = cell.queues.class_mut(class).jobs.front() else {
        return Vec::new();
    };
    let Some(size) = cell.jobs.get(id).map(|job| job.entry.spec.size) else {
        return Vec::new();
    };
    let Some(row) = cell.limits.row(class) else {
        return Vec::new();
    };
    let need = Demand { size, row, now };
    let mut best: Option<(usize, Vec<Task>)> = None;
    for at in candidates(cell, &need) {
        let slot = cell.fleet.worker(at);
        let taken = promised.get(&at).copied().unwrap_or_default();
        let coming = slot.free.plus(slot.freeing).minus(taken);
        if size.fits(coming) {
            // Room is on its way here: it is promised, and nothing more is stopped for it.
            promised.insert(at, taken.plus(size));
            return Vec::new();
        }
        let Some(victims) = victims(cell, at, size, coming, row.priority, now) else {
            continue;
        };
        if best
            .as_ref()
            .is_none_or(|(_, tasks)| victims.len() < tasks.len())
        {
            best = Some((at, victims));
        }
    }
    let Some((at, tasks)) = best else {
        return Vec::new();
    };
    for task in &tasks {
        cell.stop(task, Manner::Checkpoint);
        cell.counts.evictions += 1;
    }
    let taken = promised.entry(at).or_default();
    *taken = taken.plus(size);
    vec![at; tasks.len()]
}

/// Workers on which the task could run if they were empty.
fn candidates(cell: &Cell, need: &Demand<'_>) -> Vec<usize> {
    let suits = |at: &usize| {
        let slot = cell.fleet.worker(*at);
        need.size.fits(slot.size)
            && need.row.admits(&slot.generation)
            && slot.is_schedulable(need.now)
    };
    cell.fleet
        .by_most_free(0)
        .filter(suits)
        .take(MAX_CANDIDATES)
        .collect()
}

/// The fewest tasks of lower priority whose end makes enough room; the youngest go first, since
/// they lose the least.
fn victims(
    cell: &Cell,
    at: usize,
    need: Size,
    room: Size,
    priority: u8,
    now: Instant,
) -> Option<Vec<Task>> {
    let mut movable = Vec::new();
    for task in &cell.fleet.worker(at).tasks {
        let Some(run) = cell.running.get(task) else {
            continue;
        };
        let Some(row) = cell.limits.row(&run.class) else {
            continue;
        };
        let once = cell
            .jobs
            .get(&task.job)
            .is_none_or(|job: &job::Job| job.entry.spec.once);
        let settled = now.saturating_duration_since(run.since) < MIN_RUN_TIME;
        if run.stopping || once || settled || row.kind == Kind::Service || row.priority >= priority
        {
            continue;
        }
        movable.push((row.priority, run.since, run.size, task));
    }
    movable.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
    let mut sum = room;
    let mut chosen = Vec::new();
    for (_, _, size, task) in movable {
        if need.fits(sum) {
            break;
        }
        sum = sum.plus(size);
        chosen.push(task.clone());
    }
    need.fits(sum).then_some(chosen)
}
