//! Provides the records of the owned cells to the writer tasks.

use {
    super::Scheduler,
    crate::{
        claim::{CellOwner, Claimed},
        persistence::WriteBatch,
    },
    infra::budget::Priority,
    kernel::{Failure, stakker::CX, verdict::Cause},
    std::{sync::Arc, time::Instant},
};

impl CellOwner for Scheduler {
    fn begin_ownership(&mut self, cx: CX![], cell: Arc<str>, claimed: Claimed) {
        self.install(cx, cell, claimed);
    }

    fn yield_cell(&mut self, cell: &str, reason: &str, now: Instant) {
        self.yielded.insert(Arc::from(cell), now);
        self.end_ownership(cell, reason);
    }

    fn due_priority(&mut self, cell: &str, epoch: u64) -> Result<Option<Priority>, Failure> {
        Ok(self
            .owned(cell, epoch)
            .ok_or_else(not_owned)?
            .cell
            .write_queue
            .due_priority())
    }

    fn take_batch(&mut self, cell: &str, epoch: u64) -> Result<Option<WriteBatch>, Failure> {
        self.owned(cell, epoch)
            .ok_or_else(not_owned)?
            .cell
            .take_batch()
    }

    fn batch_written(&mut self, cx: CX![], cell: &Arc<str>, epoch: u64, version: u64) {
        let Some(owned) = self.owned(cell, epoch) else {
            return;
        };
        owned.cell.batch_written(version);
        self.schedule_pass(cx, cell);
    }

    fn batch_failed(&mut self, cell: &str, epoch: u64) {
        if let Some(owned) = self.owned(cell, epoch) {
            owned.cell.batch_failed();
        }
    }
}

impl Scheduler {
    /// Returns true when no owned cell has unpersisted changes.
    pub fn is_flushed(&self) -> bool {
        self.cells.values().all(|owned| owned.cell.is_flushed())
    }
}

fn not_owned() -> Failure {
    Failure::not_run(Cause::Stopping, "the cell is not owned here any more")
}
