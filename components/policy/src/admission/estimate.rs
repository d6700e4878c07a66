//! The wait that one more job would have.

use {
    super::{Kind, Pressure, QueuePressure},
    crate::durations::Profile,
    std::sync::Arc,
};

/// Queues whose waiting work takes less than this, in milliseconds, are left out: nobody is refused
/// for it, and the figures of a cell with free capacity would change all the time.
const MIN_DRAIN: u64 = 100;

/// The waiting work of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// The time until its objective; 0 if that has passed.
    pub until: u64,
    /// Its work, in CPU times milliseconds.
    pub work: u64,
}

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
    /// The jobs that are not late.
    pub in_time: Vec<Due>,
    /// The work of jobs that are late and whose result still has some worth, in CPU times
    /// milliseconds. Jobs without come after all others and are in nobody's way.
    pub late: u64,
    /// The CPU that arriving work takes.
    pub inflow: u64,
    /// The usual time from the acceptance of a job to its objective.
    pub span: u64,
    /// How the run time of a job is predicted from its estimated critical path.
    pub run: Profile,
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
    /// The work that goes before a job in time: of a higher priority, or with an earlier objective.
    earlier: u64,
    /// All work that goes before a late job.
    all: u64,
    /// The CPU that arriving work of a higher priority takes.
    above: u64,
    /// The CPU that arriving work of the same or a higher priority takes. It overtakes a late job.
    inflow: u64,
}

impl Ahead {
    fn of(own: &Backlog, backlogs: &[Backlog]) -> Self {
        let mut ahead = Ahead::default();
        for other in before(own, backlogs) {
            let is_above = other.priority < own.priority;
            for due in &other.in_time {
                ahead.all = ahead.all.saturating_add(due.work);
                if is_above || due.until <= own.span {
                    ahead.earlier = ahead.earlier.saturating_add(due.work);
                }
            }
            ahead.all = ahead.all.saturating_add(other.late);
            ahead.inflow = ahead.inflow.saturating_add(other.inflow);
            if is_above {
                ahead.above = ahead.above.saturating_add(other.inflow);
            }
        }
        ahead
    }

    /// Returns how long a job in time waits if this much CPU works off what is ahead. Jobs of the
    /// same priority that arrive meanwhile overtake it as long as their objective is earlier.
    fn wait(&self, own: &Backlog, backlogs: &[Backlog], cpu: u64) -> u64 {
        let cpu = cpu.saturating_sub(self.above);
        let wait = time(self.earlier, cpu);
        let mut work = self.earlier;
        for other in before(own, backlogs) {
            let overtaking = own.span.saturating_sub(other.span).min(wait);
            if other.priority == own.priority {
                work = work.saturating_add(other.inflow.saturating_mul(overtaking));
            }
        }
        time(work, cpu)
    }
}

/// Returns the queues whose work uses the same capacity and may go before that of this one.
fn before<'a>(own: &Backlog, backlogs: &'a [Backlog]) -> impl Iterator<Item = &'a Backlog> {
    backlogs.iter().filter(|other| {
        other.pool == own.pool && other.kind == own.kind && other.priority <= own.priority
    })
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
        let drain = time(ahead.all, room.cpu.saturating_sub(ahead.inflow));
        if drain < MIN_DRAIN {
            continue;
        }
        queues.push(QueuePressure {
            queue: own.queue.clone(),
            kind: own.kind,
            wait: ahead.wait(own, backlogs, room.cpu),
            drain,
            run: own.run,
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
