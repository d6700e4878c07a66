//! Changes of a cell that are not persisted yet, and actions that follow once they are.

use {
    crate::record::MAX_RECORD,
    infra::{budget::Priority, worker::Task},
    kernel::{Failure, verdict::Cause},
    std::sync::Arc,
};

/// Maximum number of actions staged for a write; submissions are refused above it.
const MAX_STAGED: usize = 10_000;

/// Receives the outcome of a write.
pub type WriteCallback = Box<dyn FnOnce(Result<(), Failure>) + Send>;

/// An action that runs once the cell's record is written.
pub enum AfterWrite {
    /// Activates a job, so that its tasks may be started.
    ActivateJob(Arc<str>),
    /// Lets the worker with this index remove this start of a task from its ledger.
    Forget(usize, Task, u64),
    /// Reports the outcome to a caller.
    Respond(WriteCallback),
}

/// The unpersisted changes of a cell.
pub struct WriteQueue {
    pub(crate) store_version: u64,
    pub(crate) write_number: u64,
    pub(crate) dirty: bool,
    pub(crate) priority: Priority,
    pub(crate) staged: Vec<AfterWrite>,
    pub(crate) in_flight: Vec<AfterWrite>,
    pub(crate) writing: bool,
    pub(crate) record_bytes: usize,
    /// Workers drained by operators.
    pub drained: Vec<Arc<str>>,
}

impl WriteQueue {
    /// Creates the queue for a claimed record: its store version, its last write number, and the
    /// drained workers.
    pub fn new(version: u64, write: u64, drained: Vec<Arc<str>>) -> Self {
        WriteQueue {
            store_version: version,
            write_number: write,
            dirty: false,
            priority: Priority::Read,
            staged: Vec::new(),
            in_flight: Vec::new(),
            writing: false,
            record_bytes: 0,
            drained,
        }
    }

    /// Makes a write due.
    pub fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Returns true when a write is due.
    pub fn is_dirty(&self) -> bool {
        self.dirty || !self.staged.is_empty()
    }

    /// Raises the priority of the next write to at least this one.
    pub fn raise_priority(&mut self, priority: Priority) {
        self.priority = self.priority.min(priority);
    }

    /// Returns the priority of the next write; `None` when no write is due or one is in flight.
    pub fn due_priority(&self) -> Option<Priority> {
        (self.is_dirty() && !self.writing).then_some(self.priority)
    }

    /// Returns true while a write is in flight.
    pub fn is_writing(&self) -> bool {
        self.writing
    }

    /// Stages an action to run after the next write.
    pub fn stage(&mut self, effect: AfterWrite) {
        self.staged.push(effect);
    }

    /// Checks that another job can be accepted.
    ///
    /// # Errors
    ///
    /// Returns `Busy` when the record is nearly full or too many actions wait for a write.
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
