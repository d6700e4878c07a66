//! The books of the cells owned here, on their way to the store.

use {
    super::Scheduler,
    crate::commit::Batch,
    infra::budget::Rank,
    kernel::{Failure, stakker::CX, verdict::Cause},
    std::sync::Arc,
};

impl Scheduler {
    /// How urgent the next write of a cell's book is; `None` when none is due.
    ///
    /// # Errors
    ///
    /// The cell is not owned here any more, as `Stopping`.
    pub fn write_due(&mut self, cell: &str, epoch: u64) -> Result<Option<Rank>, Failure> {
        let gone = || Failure::not_run(Cause::Stopping, "the cell is not owned here any more");
        Ok(self.owned(cell, epoch).ok_or_else(gone)?.cell.journal.due())
    }

    /// The next batch of a cell's book; `None` when none is due.
    ///
    /// # Errors
    ///
    /// The cell is not owned here any more, as `Stopping`; or its book is too large.
    pub fn take_batch(&mut self, cell: &str, epoch: u64) -> Result<Option<Batch>, Failure> {
        let gone = || Failure::not_run(Cause::Stopping, "the cell is not owned here any more");
        self.owned(cell, epoch).ok_or_else(gone)?.cell.take_batch()
    }

    /// A batch was written, as this version.
    pub fn committed(&mut self, cx: CX![], cell: &Arc<str>, epoch: u64, version: u64) {
        let Some(owned) = self.owned(cell, epoch) else {
            return;
        };
        owned.cell.committed(version);
        self.pass_soon(cx, cell);
    }

    /// A batch was surely not written.
    pub fn not_committed(&mut self, cell: &str, epoch: u64) {
        if let Some(owned) = self.owned(cell, epoch) {
            owned.cell.not_committed();
        }
    }

    /// True when nothing waits to be written down.
    pub fn is_flushed(&self) -> bool {
        self.cells.values().all(|owned| owned.cell.is_flushed())
    }
}
