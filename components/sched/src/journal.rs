//! What of a cell waits to be written down.

use {
    crate::book::MAX_BOOK,
    infra::{budget::Priority, worker::Task},
    kernel::{Failure, verdict::Cause},
    std::sync::Arc,
};

/// How many submissions may wait to be written down.
const MAX_STAGED: usize = 10_000;

/// Answers whoever waits for the write.
pub type Done = Box<dyn FnOnce(Result<(), Failure>) + Send>;

/// What happens once the book is written.
pub enum Effect {
    /// A job may begin.
    Begin(Arc<str>),
    /// A worker's ledger may forget a task.
    Forget(usize, Task, u64),
    /// Someone is answered.
    Answer(Done),
}

/// What waits to be written down.
pub struct Journal {
    pub(crate) version: u64,
    pub(crate) write: u64,
    pub(crate) dirty: bool,
    pub(crate) rank: Priority,
    pub(crate) staged: Vec<Effect>,
    pub(crate) sent: Vec<Effect>,
    pub(crate) sending: bool,
    pub(crate) bytes: usize,
    /// Workers that operators drain.
    pub drained: Vec<Arc<str>>,
}

impl Journal {
    /// A journal on a claimed book.
    pub fn new(version: u64, write: u64, drained: Vec<Arc<str>>) -> Self {
        Journal {
            version,
            write,
            dirty: false,
            rank: Priority::Read,
            staged: Vec::new(),
            sent: Vec::new(),
            sending: false,
            bytes: 0,
            drained,
        }
    }

    /// Something changed that must be written.
    pub fn touch(&mut self) {
        self.dirty = true;
    }

    /// True when a write is due.
    pub fn is_dirty(&self) -> bool {
        self.dirty || !self.staged.is_empty()
    }

    /// Makes the next write at least this urgent.
    pub fn hurry(&mut self, rank: Priority) {
        self.rank = self.rank.min(rank);
    }

    /// How urgent the next write is; `None` when none is due.
    pub fn due(&self) -> Option<Priority> {
        (self.is_dirty() && !self.sending).then_some(self.rank)
    }

    /// True while a batch is on its way.
    pub fn is_sending(&self) -> bool {
        self.sending
    }

    /// Lets something happen after the next write.
    pub fn stage(&mut self, effect: Effect) {
        self.staged.push(effect);
    }

    /// Tells whether there is room for another job.
    ///
    /// # Errors
    ///
    /// `Busy` when the book is full or too many submissions wait for the store.
    pub fn admit(&self) -> Result<(), Failure> {
        if self.bytes > MAX_BOOK / 10 * 9 {
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
