//! Preemption: stops tasks with a checkpoint to free capacity for a task of higher priority.

use {
    crate::{cell::Cell, job, placement::Demand},
    infra::{
        Size,
        worker::{StopMode, Task},
    },
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    table::Kind,
};

/// Minimum run time before a task is evicted, so that tasks are not moved back and forth.
const MIN_RUN_TIME: Duration = Duration::from_secs(2);

/// Maximum number of workers considered for one task.
const MAX_CANDIDATES: usize = 64;

/// By worker index: capacity reserved in this pass, free or being freed.
pub type ReservedCapacity = HashMap<usize, Size>;

/// Stops tasks of lower priority so that the next task of a class fits on some worker. Returns the
/// worker's index, once for each task that is ordered to stop.
pub fn preempt(
    cell: &mut Cell,
    class: &Arc<str>,
    reserved: &mut ReservedCapacity,
    now: Instant,
) -> Vec<usize> {
    let Some(id) = cell.queues.class_mut(class).jobs.front() else {
        return Vec::new();
    };
    let Some(size) = cell.jobs.get(id).map(|job| job.record.spec.size) else {
        return Vec::new();
    };
    let Some(row) = cell.limits.row(class) else {
        return Vec::new();
    };
    let demand = Demand { size, row, now };
    let mut best: Option<(usize, Vec<Task>)> = None;
    for worker_index in candidates(cell, &demand) {
        let worker = cell.fleet.worker(worker_index);
        let taken = reserved.get(&worker_index).copied().unwrap_or_default();
        let available = worker.free.plus(worker.freeing).minus(taken);
        if size.fits(available) {
            // Enough capacity is free or being freed here: it is reserved, and no task is stopped.
            reserved.insert(worker_index, taken.plus(size));
            return Vec::new();
        }
        let Some(victims) = victims(cell, worker_index, size, available, row.priority, now) else {
            continue;
        };
        if best
            .as_ref()
            .is_none_or(|(_, tasks)| victims.len() < tasks.len())
        {
            best = Some((worker_index, victims));
        }
    }
    let Some((worker_index, tasks)) = best else {
        return Vec::new();
    };
    for task in &tasks {
        cell.stop(task, StopMode::Checkpoint);
        cell.counts.evictions += 1;
    }
    let taken = reserved.entry(worker_index).or_default();
    *taken = taken.plus(size);
    vec![worker_index; tasks.len()]
}

/// Returns schedulable workers on which the task could run if they were idle.
fn candidates(cell: &Cell, demand: &Demand<'_>) -> Vec<usize> {
    let is_candidate = |worker_index: &usize| {
        let worker = cell.fleet.worker(*worker_index);
        demand.size.fits(worker.size)
            && demand.row.admits(&worker.generation)
            && worker.is_schedulable(demand.now)
    };
    cell.fleet
        .by_most_free(0)
        .filter(is_candidate)
        .take(MAX_CANDIDATES)
        .collect()
}

/// Selects tasks of lower priority whose end frees enough capacity; `None` if there are not enough.
/// Lowest priority first, then most recently started, since those lose the least work.
fn victims(
    cell: &Cell,
    worker_index: usize,
    size: Size,
    available: Size,
    priority: u8,
    now: Instant,
) -> Option<Vec<Task>> {
    let mut evictable = Vec::new();
    for task in &cell.fleet.worker(worker_index).tasks {
        let Some(run) = cell.running.get(task) else {
            continue;
        };
        let Some(row) = cell.limits.row(&run.class) else {
            continue;
        };
        let once = cell
            .jobs
            .get(&task.job)
            .is_none_or(|job: &job::Job| job.record.spec.once);
        let recent = now.saturating_duration_since(run.since) < MIN_RUN_TIME;
        if run.stopping || once || recent || row.kind == Kind::Service || row.priority >= priority {
            continue;
        }
        evictable.push((row.priority, run.since, run.size, task));
    }
    evictable.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
    let mut sum = available;
    let mut chosen = Vec::new();
    for (_, _, freed, task) in evictable {
        if size.fits(sum) {
            break;
        }
        sum = sum.plus(freed);
        chosen.push(task.clone());
    }
    size.fits(sum).then_some(chosen)
}
