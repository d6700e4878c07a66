//! When the tasks of a worker are recorded as all that may run there.
//!
//! A worker that gets no work for now, because it leaves or cannot be reached, is sealed: the owner
//! records the tasks that may run there, and starts nothing on it until that record is withdrawn.
//! If the owner fails, its successor waits for such a worker only with the recorded tasks.

/// What is known of a worker.
#[derive(Debug, Clone, Copy)]
pub struct Condition {
    /// It has reported all its runs to this owner.
    pub reported: bool,
    /// It has listed run ends that are not persisted yet, or whose processing is deferred.
    pub ends_pending: bool,
    /// It leaves, or its entry has disappeared from the listing.
    pub leaving: bool,
    /// It knows the fence of this owner, and the listing has a valid entry for it.
    pub available: bool,
    /// Since when it has been unreachable, in milliseconds of the owner's clock.
    pub unreachable_since: Option<u64>,
}

/// How long a worker must be unreachable before it is sealed, in milliseconds. A lost connection
/// is replaced sooner.
const MIN_UNREACHABLE: u64 = 1_000;

/// The maximum number of tasks that are recorded, over all workers. At some 60 bytes each they stay
/// well below the size limit of a stored value.
pub const MAX_RECORDED: usize = 2_000;

/// A record is written again at most this often, in milliseconds, if nothing but the tasks of
/// sealed workers has changed. A record with tasks that have ended only delays their next start.
pub const REWRITE_INTERVAL: u64 = 500;

/// True if a worker is to be sealed. Ends that are not persisted must come first: the tasks are no
/// longer held, but a new owner would not know that they are done.
pub fn may_seal(worker: Condition, now: u64) -> bool {
    let is_lost = worker
        .unreachable_since
        .is_some_and(|since| now >= since + MIN_UNREACHABLE);
    may_replace_tasks(worker) && (worker.leaving || is_lost)
}

/// True if the seal of a worker is to be withdrawn, since the worker can be given work again.
pub fn must_withdraw(worker: Condition) -> bool {
    worker.available && !worker.leaving && worker.unreachable_since.is_none()
}

/// True if the recorded tasks of a sealed worker may be replaced by the tasks that it holds now.
/// Before that, recorded tasks that are no longer held may have ended without a record of it.
pub fn may_replace_tasks(worker: Condition) -> bool {
    worker.reported && !worker.ends_pending
}
