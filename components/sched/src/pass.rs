//! One pass of placement over a cell.

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

/// What one pass did.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct PassResult {
    /// Tasks placed.
    pub placed: usize,
    /// Tasks told to stop for more urgent ones.
    pub evicted: usize,
    /// True when the pass ended at its bound and more may fit.
    pub more: bool,
    /// Workers that have something new to be told.
    pub notified: BTreeSet<usize>,
}

/// How much later than declared a task is expected to end: the way of its start.
const START_ALLOWANCE: Duration = Duration::from_millis(20);

/// The parts in which shares are counted; fine enough to be divided by weights.
const SHARE_PARTS: u64 = 1_000_000_000;

/// The place of a class in the order: priority first, then the smaller weighted share.
type Rank = (u8, Reverse<u64>, Reverse<Arc<str>>);

/// Why a class gets no further task in this pass.
enum Blocked {
    /// Nothing waits.
    Empty,
    /// A limit or the room, as a reason.
    Reason(&'static str),
    /// No room now, but more urgent work may make some.
    Room,
}

/// Places up to `most` tasks.
pub fn run(cell: &mut Cell, most: usize, now: Instant) -> PassResult {
    let mut passed = PassResult::default();
    if !cell.is_active() {
        return passed;
    }
    let mut heap = BinaryHeap::new();
    let classes: Vec<Arc<str>> = cell.queues.classes().keys().cloned().collect();
    for class in classes {
        heap.extend(class_order(cell, &class));
    }
    let mut promised = evict::ReservedCapacity::new();
    while let Some((_, _, Reverse(class))) = heap.pop() {
        if passed.placed >= most {
            passed.more = true;
            break;
        }
        match place_next(cell, &class, now) {
            Ok(at) => {
                passed.placed += 1;
                passed.notified.insert(at);
                heap.extend(class_order(cell, &class));
            }
            Err(Blocked::Empty) => {}
            Err(Blocked::Reason(reason)) => set_blocked(cell, &class, Some(reason)),
            Err(Blocked::Room) => {
                set_blocked(cell, &class, Some("no worker has room now"));
                let evicted = evict::preempt(cell, &class, &mut promised, now);
                passed.evicted += evicted.len();
                passed.notified.extend(evicted);
            }
        }
    }
    passed
}

/// Where a class stands in the order; `None` when nothing of it waits.
fn class_order(cell: &mut Cell, class: &Arc<str>) -> Option<Rank> {
    let total = cell.fleet.total();
    let row = cell.limits.row(class)?;
    let (priority, weight) = (row.priority, u64::from(row.weight.max(1)));
    let line = cell.queues.class_mut(class);
    if line.jobs.is_empty() {
        return None;
    }
    let share = line.used.share(total, SHARE_PARTS) / weight;
    Some((priority, Reverse(share), Reverse(class.clone())))
}

/// Notes for those who ask why the first job of a class waits.
fn set_blocked(cell: &mut Cell, class: &Arc<str>, reason: Option<&'static str>) {
    let Some(id) = cell.queues.class_mut(class).jobs.front().cloned() else {
        return;
    };
    if let Some(job) = cell.jobs.get_mut(&id) {
        job.blocked = reason;
    }
}

/// The first job of a class with a task that may be started; others leave the line.
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

/// Places the next task of a class. Returns the worker's place.
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
    let size = job.entry.spec.size;
    let Some(row) = cell.limits.row(class) else {
        return Err(Blocked::Reason("the class has no row in the table"));
    };
    check_limits(cell, row, size)?;
    let need = Demand { size, row, now };
    let Some(at) = cell.placement.choose(&need, &cell.fleet) else {
        return Err(Blocked::Room);
    };
    let team = row.team.clone();
    start(cell, &id, index, at, &team, now);
    Ok(at)
}

/// Tells whether a class's ceilings and its team's quota admit one more task.
fn check_limits(cell: &Cell, row: &Row, size: Size) -> Result<(), Blocked> {
    let Some(limit) = cell.limits.limit(&row.class) else {
        return Err(Blocked::Reason("the class has no row in the table"));
    };
    let Some(line) = cell.queues.classes().get(&row.class) else {
        return Ok(());
    };
    if line.running >= limit.running {
        return Err(Blocked::Reason("max_running of the class is reached"));
    }
    match line.used.plus(size).lacks(limit.ceiling) {
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

/// When a task should end by its declared length.
fn due(start: &Start, now: Instant) -> Option<Instant> {
    let left = Duration::from_millis(start.length.saturating_sub(start.resume));
    (start.length > 0).then_some(now + left + START_ALLOWANCE)
}

/// Commits room to a task and orders its start.
fn start(cell: &mut Cell, id: &Arc<str>, index: u32, at: usize, team: &Arc<str>, now: Instant) {
    let Some(Stage::Active(tenure)) = &mut cell.stage else {
        return;
    };
    let attempt = tenure.attempt();
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
    let spec = &job.entry.spec;
    let (class, size) = (spec.class.clone(), spec.size);
    let task = Task {
        job: id.clone(),
        index,
    };
    let resume = job.entry.resume.get(&index).copied().unwrap_or(0);
    let start = Start {
        task,
        attempt,
        class,
        size,
        length: spec.length,
        resume,
    };
    cell.queues.add_running(&start.class, Some(team), size);
    cell.fleet.allocate(at, &start.task, size);
    cell.counts.starts += 1;
    let class = start.class.clone();
    let run = Run {
        worker: at,
        attempt,
        class,
        size,
        since: now,
        expected_end: due(&start, now),
        stopping: false,
    };
    cell.running.insert(start.task.clone(), run);
    cell.fleet.worker_mut(at).outbox.starts.push(start);
}
