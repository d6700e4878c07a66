//! What of a cell waits to be written down.

use {
    crate::record::MAX_RECORD,
    infra::{budget::Rank, worker::Task},
    kernel::{Failure, verdict::Cause},
    std::sync::Arc,
};

/// How many submissions may wait to be written down.
const MAX_STAGED: usize = 10_000;

/// Answers whoever waits for the write.
pub type WriteCallback = Box<dyn FnOnce(Result<(), Failure>) + Send>;

/// What happens once the book is written.
pub enum AfterWrite {
    /// A job may begin.
    ActivateJob(Arc<str>),
    /// A worker's ledger may forget a task.
    Forget(usize, Task, u64),
    /// Someone is answered.
    Respond(WriteCallback),
}

/// What waits to be written down.
pub struct WriteQueue {
    pub(crate) store_version: u64,
    pub(crate) write_number: u64,
    pub(crate) dirty: bool,
    pub(crate) priority: Rank,
    pub(crate) staged: Vec<AfterWrite>,
    pub(crate) in_flight: Vec<AfterWrite>,
    pub(crate) writing: bool,
    pub(crate) record_bytes: usize,
    /// Workers that operators drain.
    pub drained: Vec<Arc<str>>,
}

impl WriteQueue {
    /// A journal on a claimed book.
    pub fn new(version: u64, write: u64, drained: Vec<Arc<str>>) -> Self {
        WriteQueue {
            store_version: version,
            write_number: write,
            dirty: false,
            priority: Rank::Read,
            staged: Vec::new(),
            in_flight: Vec::new(),
            writing: false,
            record_bytes: 0,
            drained,
        }
    }

    /// Something changed that must be written.
    pub fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// True when a write is due.
    pub fn is_dirty(&self) -> bool {
        self.dirty || !self.staged.is_empty()
    }

    /// Makes the next write at least this urgent.
    pub fn raise_priority(&mut self, rank: Rank) {
        self.priority = self.priority.min(rank);
    }

    /// How urgent the next write is; `None` when none is due.
    pub fn due_priority(&self) -> Option<Rank> {
        (self.is_dirty() && !self.writing).then_some(self.priority)
    }

    /// True while a batch is on its way.
    pub fn is_writing(&self) -> bool {
        self.writing
    }

    /// Lets something happen after the next write.
    pub fn stage(&mut self, effect: AfterWrite) {
        self.staged.push(effect);
    }

    /// Tells whether there is room for another job.
    ///
    /// # Errors
    ///
    /// `Busy` when the book is full or too many submissions wait for the store.
    pub fn check_capacity(&self) -> Result<(), Failure> {
        if self.record_bytes > MAX_RECORD / 10 * 9 {
            return Err(Failure::not_run(
                Cause::Busy,
                "the cell's book is full; try later",
            ));
        }
        if self.staged.len() > MAX_STAGED {
            return Err(Failure::not_run(
                Cause::Busy,
                "too many wait for the store; try later",
            ));
        }
        Ok(())
    }
}
