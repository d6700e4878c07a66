//! The wait that one more job would have.

use {
    super::{Kind, Pressure, QueuePressure},
    std::sync::Arc,
};

/// Queues whose waiting work takes less than this, in milliseconds, are left out: nobody is refused
/// for it, and the figures of a cell with free capacity would change all the time.
const MIN_DRAIN: u64 = 100;

/// The waiting work of a queue and kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backlog {
    /// The queue.
    pub queue: Arc<str>,
    /// The kind of job.
    pub kind: Kind,
    /// The pool whose workers run it.
    pub pool: Arc<str>,
    /// The priority; 0 goes first.
    pub priority: u32,
    /// The work of all jobs that are not late, in CPU times milliseconds.
    pub in_time: u64,
    /// The work of jobs that are late and whose result still has some worth. Jobs without come
    /// after all others and are in nobody's way.
    pub late: u64,
    /// The CPU that arriving work takes.
    pub inflow: u64,
    /// The run time of tasks as a percentage of the callers' estimates, as learned.
    pub run_percent: u32,
}

/// The capacity of a pool for batch or best-effort work: the CPU that runs it now, and the CPU that
/// is free for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Room {
    /// The pool.
    pub pool: Arc<str>,
    /// The kind of job.
    pub kind: Kind,
    /// The CPU.
    pub cpu: u64,
}

/// What goes before one more job of a queue.
#[derive(Debug, Default)]
struct Ahead {
    /// The waiting work of jobs in time.
    in_time: u64,
    /// That of jobs that are late.
    late: u64,
    /// The CPU that arriving work of a higher priority takes. It overtakes a job in time; arriving
    /// work of the same priority has a later objective as a rule.
    above: u64,
    /// The CPU that arriving work of the same or a higher priority takes. It overtakes a late job.
    inflow: u64,
}

impl Ahead {
    fn of(own: &Backlog, backlogs: &[Backlog]) -> Self {
        let mut ahead = Ahead::default();
        for other in backlogs {
            if other.pool != own.pool || other.kind != own.kind || other.priority > own.priority {
                continue;
            }
            ahead.in_time = ahead.in_time.saturating_add(other.in_time);
            ahead.late = ahead.late.saturating_add(other.late);
            ahead.inflow = ahead.inflow.saturating_add(other.inflow);
            if other.priority < own.priority {
                ahead.above = ahead.above.saturating_add(other.inflow);
            }
        }
        ahead
    }
}

/// Estimates the pressure on each queue. Queues of pools whose capacity is not known are left out,
/// and so are long-running jobs, which are not refused for want of room.
pub fn estimate(backlogs: &[Backlog], rooms: &[Room]) -> Pressure {
    let mut queues = Vec::new();
    for own in backlogs {
        let is_own = |room: &&Room| room.pool == own.pool && room.kind == own.kind;
        let Some(room) = rooms.iter().find(is_own) else {
            continue;
        };
        if own.kind == Kind::LongRunning {
            continue;
        }
        let ahead = Ahead::of(own, backlogs);
        let all = ahead.in_time.saturating_add(ahead.late);
        let drain = time(all, room.cpu.saturating_sub(ahead.inflow));
        if drain < MIN_DRAIN {
            continue;
        }
        queues.push(QueuePressure {
            queue: own.queue.clone(),
            kind: own.kind,
            wait: time(ahead.in_time, room.cpu.saturating_sub(ahead.above)),
            drain,
            run_percent: own.run_percent,
        });
    }
    Pressure { queues }
}

/// Returns how long the work takes, in milliseconds; `u64::MAX` if it never ends.
const fn time(work: u64, cpu: u64) -> u64 {
    if work == 0 {
        return 0;
    }
    match work.checked_div(cpu) {
        Some(time) => time,
        None => u64::MAX,
    }
}
