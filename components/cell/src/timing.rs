//! Bounds of time that the cell keeps to, all in milliseconds.

/// The longest lease that is asked for. It has to outlive a takeover (2 to 3.5 s from the death of
/// an owner to the new one's polls); what ran on a worker that died is started elsewhere after it,
/// which has to be within 6 s for lasting tasks.
pub const LEASE: u64 = 4_500;

/// Times that depend on the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The longest lease that a worker grants.
    pub lease: u64,
    /// How long a worker may take to stop a task.
    pub stop: u64,
    /// From an order to slow a task down until it shows.
    pub pace: u64,
}

/// The time within which an ordered start must reach its worker. Long enough for a worker behind
/// a slow link (tenths of a second), short enough that a lost order frees its task soon.
pub const START_WINDOW: u64 = 1_500;
/// A worker's clock may run this many parts in a thousand slow (the workers' interface says 2%).
pub const CLOCK_DRIFT: u64 = 21;
/// Added to every bound on a lease: timers fire late on boxes with a small share of a core.
pub const LEASE_SLACK: u64 = 300;
/// How long a poll of a worker is held when nothing has to be watched closely: the most that the
/// workers' interface allows.
pub const POLL_WAIT: u64 = 2_000;
/// How long a poll is held on a worker that has not answered an order to start: its next report tells
/// whether the run is there.
pub const POLL_DOUBT: u64 = 100;
/// How long a poll is held on a worker with tasks that serve users: their figures are over the
/// last half second, and filling tasks may be placed beside them meanwhile.
pub const POLL_SHARED: u64 = 500;

/// The answer to a poll is overdue this long after its wait: 0.8 s after which whoever polls gives it up, and the way over a
/// relay and back.
pub const POLL_LATE: u64 = 1_000;
/// A worker that has answered within this time is reached: the wait of a poll of a worker with serving tasks, and how long
/// its answer may take.
pub const HEARD_WITHIN: u64 = POLL_SHARED + POLL_LATE;
/// The time until a lease of this length on a worker's clock is over on ours.
pub const fn until_over(length: u64) -> u64 {
    length + length * CLOCK_DRIFT / 1_000 + LEASE_SLACK
}
