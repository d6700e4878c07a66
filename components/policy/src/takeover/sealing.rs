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
    /// Since when it has been unreachable, in milliseconds of the owner's clock.
    pub unreachable_since: Option<u64>,
}

/// How long a worker must be unreachable before it is sealed, in milliseconds. A lost connection
/// is replaced sooner.
const MIN_UNREACHABLE: u64 = 1_000;

/// True if a worker is to be sealed. Ends that are not persisted must come first: the tasks are no
/// longer held, but a new owner would not know that they are done.
pub fn may_seal(worker: Condition, now: u64) -> bool {
    let is_lost = worker
        .unreachable_since
        .is_some_and(|since| now >= since + MIN_UNREACHABLE);
    worker.reported && !worker.ends_pending && (worker.leaving || is_lost)
}
