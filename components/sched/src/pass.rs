//! A scheduling pass over a cell: places waiting tasks by priority and weighted fair share.

use {
    crate::{
        cell::{Cell, Run, Stage},
        evict, job, persistence,
        placement::Demand,
    },
    infra::{
        Size,
        worker::{Start, Task},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeSet, BinaryHeap},
        sync::Arc,
        time::{Duration, Instant},
    },
    table::Row,
};

/// The result of a pass.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct PassResult {
    /// Number of placed tasks.
    pub placed: usize,
    /// Number of tasks ordered to stop for tasks of higher priority.
    pub evicted: usize,
    /// True when the pass ended at its task limit and more tasks may fit.
    pub more: bool,
    /// Indexes of the workers with new instructions.
    pub notified: BTreeSet<usize>,
}

/// Allowance added to the declared length of a task for the delivery of its start.
const START_ALLOWANCE: Duration = Duration::from_millis(20);

/// Units of a whole share; fine enough to be divided by weights.
const SHARE_PARTS: u64 = 1_000_000_000;

/// Sort key of a class: higher priority first, then smaller weighted share, then name.
type SortKey = (u8, Reverse<u64>, Reverse<Arc<str>>);

/// Why no further task of a class is placed in this pass.
enum Blocked {
    /// No task is ready.
    Empty,
    /// A limit is reached, or a prerequisite is missing.
    Reason(&'static str),
    /// No worker has enough free capacity; preemption may free some.
    NoCapacity,
}

/// Places up to `max_tasks` tasks.
pub fn run(cell: &mut Cell, max_tasks: usize, now: Instant) -> PassResult {
    let mut result = PassResult::default();
    if !cell.is_active() {
        return result;
    }
    let mut heap = BinaryHeap::new();
    let classes: Vec<Arc<str>> = cell.queues.classes().keys().cloned().collect();
    for class in classes {
        heap.extend(class_order(cell, &class));
    }
    let mut reserved = evict::ReservedCapacity::new();
    while let Some((_, _, Reverse(class))) = heap.pop() {
        if result.placed >= max_tasks {
            result.more = true;
            break;
        }
        match place_next(cell, &class, now) {
            Ok(worker_index) => {
                result.placed += 1;
                result.notified.insert(worker_index);
                heap.extend(class_order(cell, &class));
            }
            Err(Blocked::Empty) => {}
            Err(Blocked::Reason(reason)) => set_blocked(cell, &class, Some(reason)),
            Err(Blocked::NoCapacity) => {
                set_blocked(cell, &class, Some("no worker has room now"));
                let evicted = evict::preempt(cell, &class, &mut reserved, now);
                result.evicted += evicted.len();
                result.notified.extend(evicted);
            }
        }
    }
    result
}

/// Returns the sort key of a class; `None` when no job of it is queued or the class has no row.
fn class_order(cell: &mut Cell, class: &Arc<str>) -> Option<SortKey> {
    let total = cell.fleet.total();
    let row = cell.limits.row(class)?;
    let (priority, weight) = (row.priority, u64::from(row.weight.max(1)));
    let queue = cell.queues.class_mut(class);
    if queue.jobs.is_empty() {
        return None;
    }
    let share = queue.used.share(total, SHARE_PARTS) / weight;
    Some((priority, Reverse(share), Reverse(class.clone())))
}

/// Sets the reason why the first job of a class waits, shown in its status.
fn set_blocked(cell: &mut Cell, class: &Arc<str>, reason: Option<&'static str>) {
    let Some(id) = cell.queues.class_mut(class).jobs.front().cloned() else {
        return;
    };
    if let Some(job) = cell.jobs.get_mut(&id) {
        job.blocked = reason;
    }
}

/// Returns the first ready task of a class. Jobs without ready tasks are removed from the queue.
fn next_task(cell: &mut Cell, class: &Arc<str>) -> Option<(Arc<str>, u32)> {
    loop {
        let id = cell.queues.class_mut(class).jobs.front()?.clone();
        let Some(job) = cell.jobs.get_mut(&id) else {
            cell.queues.class_mut(class).jobs.pop_front();
            continue;
        };
        match job::first_of(&job.ready) {
            Some(index) => return Some((id, index)),
            None => {
                job.queued = false;
                job.blocked = None;
                cell.queues.class_mut(class).jobs.pop_front();
            }
        }
    }
}

/// Places the next task of a class. Returns the index of the worker.
fn place_next(cell: &mut Cell, class: &Arc<str>, now: Instant) -> Result<usize, Blocked> {
    let Some((id, index)) = next_task(cell, class) else {
        return Err(Blocked::Empty);
    };
    let Some(job) = cell.jobs.get(&id) else {
        return Err(Blocked::Empty);
    };
    if index >= job.reserved {
        return Err(Blocked::Reason("waits for the store"));
    }
    let size = job.record.spec.size;
    let Some(row) = cell.limits.row(class) else {
        return Err(Blocked::Reason("the class has no row in the table"));
    };
    check_limits(cell, row, size)?;
    let demand = Demand { size, row, now };
    let Some(worker_index) = cell.placement.choose(&demand, &cell.fleet) else {
        return Err(Blocked::NoCapacity);
    };
    let team = row.team.clone();
    start(cell, &id, index, worker_index, &team, now);
    Ok(worker_index)
}

/// Checks that the ceilings of a class and the quota of its team admit one more task.
fn check_limits(cell: &Cell, row: &Row, size: Size) -> Result<(), Blocked> {
    let Some(limit) = cell.limits.limit(&row.class) else {
        return Err(Blocked::Reason("the class has no row in the table"));
    };
    let Some(queue) = cell.queues.classes().get(&row.class) else {
        return Ok(());
    };
    if queue.running >= limit.running {
        return Err(Blocked::Reason("max_running of the class is reached"));
    }
    match queue.used.plus(size).shortage(limit.ceiling) {
        Some("processors") => {
            return Err(Blocked::Reason("max_processors of the class is reached"));
        }
        Some("memory") => return Err(Blocked::Reason("max_memory_gb of the class is reached")),
        Some(_) => return Err(Blocked::Reason("max_accelerators of the class is reached")),
        None => {}
    }
    if cell.queues.team_usage(&row.team).plus(size).cpu > limit.quota {
        return Err(Blocked::Reason("team_processors of the team is reached"));
    }
    Ok(())
}

/// Returns when a task should end by its declared length; `None` if it has no declared length.
fn expected_end(start: &Start, now: Instant) -> Option<Instant> {
    let remaining = Duration::from_millis(start.length.saturating_sub(start.resume));
    (start.length > 0).then_some(now + remaining + START_ALLOWANCE)
}

/// Allocates capacity to a task and orders its start.
fn start(
    cell: &mut Cell,
    id: &Arc<str>,
    index: u32,
    worker_index: usize,
    team: &Arc<str>,
    now: Instant,
) {
    let Some(Stage::Active(ownership)) = &mut cell.stage else {
        return;
    };
    let attempt = ownership.next_attempt();
    let Some(job) = cell.jobs.get_mut(id) else {
        return;
    };
    job::remove(&mut job.ready, index);
    job.running.insert(index);
    job.started = job.started.max(index + 1);
    job.blocked = None;
    if persistence::needs_reservation(job) {
        cell.write_queue.mark_dirty();
    }
    let spec = &job.record.spec;
    let (class, size) = (spec.class.clone(), spec.size);
    let task = Task {
        job: id.clone(),
        index,
    };
    let resume = job.record.resume.get(&index).copied().unwrap_or(0);
    let start = Start {
        task,
        attempt,
        class,
        size,
        length: spec.length,
        resume,
    };
    cell.queues.add_running(&start.class, Some(team), size);
    cell.fleet.allocate(worker_index, &start.task, size);
    cell.counts.starts += 1;
    let class = start.class.clone();
    let run = Run {
        worker: worker_index,
        attempt,
        class,
        size,
        since: now,
        expected_end: expected_end(&start, now),
        stopping: false,
    };
    cell.running.insert(start.task.clone(), run);
    cell.fleet
        .worker_mut(worker_index)
        .outbox
        .starts
        .push(start);
}
