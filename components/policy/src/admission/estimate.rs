//! The wait that one more job would have.

use {
    super::{Kind, Pressure, QueuePressure},
    std::sync::Arc,
};

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
    /// The work of jobs that are late.
    pub late: u64,
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

/// Estimates the pressure on each queue with waiting work.
pub fn estimate(backlogs: &[Backlog], rooms: &[Room]) -> Pressure {
    let mut queues = Vec::new();
    for own in backlogs {
        let room = rooms
            .iter()
            .find(|room| room.pool == own.pool && room.kind == own.kind);
        let cpu = room.map_or(0, |room| room.cpu).max(1);
        let (mut ahead, mut all) = (0, 0);
        for other in backlogs {
            if other.pool != own.pool || other.kind != own.kind || other.priority > own.priority {
                continue;
            }
            ahead += other.in_time;
            all += other.in_time + other.late;
        }
        if all == 0 {
            continue;
        }
        queues.push(QueuePressure {
            queue: own.queue.clone(),
            kind: own.kind,
            wait: ahead / cpu,
            drain: all / cpu,
            run_percent: own.run_percent,
        });
    }
    Pressure { queues }
}
