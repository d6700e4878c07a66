//! The books of the cells owned here, on their way to the store.

use {
    super::Scheduler,
    crate::{
        claim::{Cells, Claimed},
        commit::Batch,
    },
    infra::budget::Priority,
    kernel::{Failure, stakker::CX, verdict::Cause},
    std::{sync::Arc, time::Instant},
};

impl Cells for Scheduler {
    fn own(&mut self, cx: CX![], cell: Arc<str>, claimed: Claimed) {
        self.begin(cx, cell, claimed);
    }

    fn give_way(&mut self, cell: &str, reason: &str, now: Instant) {
        self.yielded.insert(Arc::from(cell), now);
        self.disown(cell, reason);
    }

    fn write_due(&mut self, cell: &str, epoch: u64) -> Result<Option<Priority>, Failure> {
        Ok(self.owned(cell, epoch).ok_or_else(gone)?.cell.journal.due())
    }

    fn take_batch(&mut self, cell: &str, epoch: u64) -> Result<Option<Batch>, Failure> {
        self.owned(cell, epoch).ok_or_else(gone)?.cell.take_batch()
    }

    fn committed(&mut self, cx: CX![], cell: &Arc<str>, epoch: u64, version: u64) {
        let Some(owned) = self.owned(cell, epoch) else {
            return;
        };
        owned.cell.committed(version);
        self.pass_soon(cx, cell);
    }

    fn not_committed(&mut self, cell: &str, epoch: u64) {
        if let Some(owned) = self.owned(cell, epoch) {
            owned.cell.not_committed();
        }
    }
}

impl Scheduler {
    /// True when nothing waits to be written down.
    pub fn is_flushed(&self) -> bool {
        self.cells.values().all(|owned| owned.cell.is_flushed())
    }
}

fn gone() -> Failure {
    Failure::not_run(Cause::Stopping, "the cell is not owned here any more")
}
