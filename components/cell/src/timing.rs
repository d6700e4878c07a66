//! Time limits of the cell, all in milliseconds.

/// The longest lease that is requested. It must outlive a takeover, which takes 2 to 3.5 s from the
/// failure of an owner to the polls of the new one. Tasks of a worker that has failed are restarted
/// elsewhere once the lease has expired, which must happen within 6 s for long-running tasks.
pub const MAX_LEASE: u64 = 4_500;

/// Times that depend on the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The longest lease that a worker grants.
    pub lease: u64,
    /// How long a worker may take to stop a task.
    pub stop: u64,
    /// The time until an order to throttle a task takes effect.
    pub pace: u64,
}

/// The time within which an order to start must reach its worker. It is long enough for a worker
/// behind a slow link (tenths of a second), and short enough that the task of a lost order is
/// requeued soon.
pub const START_WINDOW: u64 = 1_500;
/// A worker's clock may run slow by this many parts in a thousand (the worker API specifies 2%).
pub const CLOCK_DRIFT: u64 = 21;
/// Added to every lease duration, since timers fire late on boxes with a small share of a core.
pub const LEASE_SLACK: u64 = 300;
/// How long a poll of a worker may be held if it needs no close monitoring: the maximum of the
/// worker API.
pub const POLL_WAIT: u64 = 2_000;
/// How long a poll may be held on a worker that has not answered an order to start. Its next report
/// shows whether the run exists.
pub const POLL_UNANSWERED: u64 = 100;
/// How long a poll may be held on a worker that tries a suspected task, or is about to.
pub const POLL_TRIAL: u64 = 100;
/// How long a poll may be held on a worker with serving tasks. Its figures cover the last half
/// second, and best-effort tasks may be placed beside these tasks meanwhile.
pub const POLL_SERVING: u64 = 500;
/// How long a poll may be held while the store does not confirm the ownership. Leases are shorter by
/// the time since the polls that confirm it were sent.
pub const POLL_CONFIRMING: u64 = 1_000;

/// The answer to a poll is overdue this long after its wait: the client times out after 0.8 s, and
/// the rest is the round trip through a relay.
pub const POLL_GRACE: u64 = 1_000;
/// The answer to a poll takes this long after its wait, unless the link is slow.
const ANSWER_TIME: u64 = 300;
/// A worker that has answered within this time counts as reachable. It is the wait of a poll of a
/// worker with serving tasks plus the time that its answer may take.
pub const REACHABLE_WITHIN: u64 = POLL_SERVING + POLL_GRACE;
/// A worker that has not answered for longer than this is given no work, whether its poll has
/// failed or not: the poll may be lost, or the worker may have no connection. A start until then
/// ends before the longest lease, so that it does not postpone the end of all leases.
pub const HEARD_WITHIN: u64 = MAX_LEASE - START_WINDOW;

/// When an answer that is overdue at this time would have been expected.
pub const fn expected_answer(due: u64) -> u64 {
    due - POLL_GRACE + ANSWER_TIME
}

/// The time on the owner's clock after which a lease of this length on a worker's clock has surely
/// expired.
pub const fn max_lease_duration(length: u64) -> u64 {
    length + length * CLOCK_DRIFT / 1_000 + LEASE_SLACK
}
