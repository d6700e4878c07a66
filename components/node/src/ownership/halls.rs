//! The data halls that the operators have closed, as known by the owner.

use {
    super::Ownership,
    crate::{core::Core, external::HallClosure, message::ClosedHall},
    kernel::{stakker::Cx, wall_clock},
    std::{collections::HashSet, sync::Arc},
};

/// The known closed data halls. Times are in milliseconds on the clock of this box.
#[derive(Debug, Default)]
pub(super) struct Halls {
    closed: Vec<ClosedHall>,
    /// When the last successful read was started.
    read_started: u64,
    /// Placement waits for a read that was started at this time or later.
    needed_since: u64,
}

impl Halls {
    /// Invalidates reads that started before this time: placement waits for a later read.
    pub fn invalidate(&mut self, since: u64) {
        self.needed_since = since;
    }

    /// True when the known closed halls are recent enough for placement.
    pub const fn are_current(&self) -> bool {
        self.read_started >= self.needed_since
    }
}

impl Ownership {
    /// Applies the result of a read that was started at this time, and logs opened and closed
    /// halls.
    pub(crate) fn apply_closures(&mut self, closures: Vec<HallClosure>, started: u64) {
        self.halls.read_started = started;
        let names: HashSet<Arc<str>> = closures
            .iter()
            .map(|closure| closure.hall.clone())
            .collect();
        let previous = std::mem::take(&mut self.halls.closed);
        for closed in &previous {
            if !names.contains(&closed.hall) {
                log::info!(target: "owner", hall = &*closed.hall, since = closed.since; "Data hall reopened by the operators.");
                set_metric(&closed.hall, false);
            }
        }
        for HallClosure { hall, by } in closures {
            if let Some(known) = previous.iter().find(|closed| closed.hall == hall) {
                let since = known.since;
                self.halls.closed.push(ClosedHall { hall, by, since });
                continue;
            }
            let is_empty = !self.cell.entries().any(|entry| entry.hall == hall);
            log::info!(target: "owner", hall = &*hall, by = by.as_deref(); "Data hall closed by the operators; no tasks are started in it.");
            if is_empty {
                log::warn!(target: "owner", hall = &*hall; "No known worker is in a closed data hall.");
            }
            set_metric(&hall, true);
            let since = wall_clock::millis();
            self.halls.closed.push(ClosedHall { hall, by, since });
        }
        self.cell.set_closed_halls(names);
    }

    /// Resets the metrics of closed halls when the ownership of this box ends.
    pub(super) fn reset_hall_metrics(&self) {
        for closed in &self.halls.closed {
            set_metric(&closed.hall, false);
        }
    }
}

impl Core {
    /// Applies a read of the closed data halls that was started at this time.
    pub(crate) fn handle_closures(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        closures: Vec<HallClosure>,
        started: u64,
    ) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        ownership.apply_closures(closures, started);
        self.schedule_pass(cx);
    }

    /// The closed data halls; `None` when this box does not own the cell or its ownership is
    /// unconfirmed.
    pub(crate) fn closed_halls(&mut self) -> Option<Vec<ClosedHall>> {
        Some(self.confirmed_ownership()?.halls.closed.clone())
    }
}

fn set_metric(hall: &Arc<str>, is_closed: bool) {
    let value = if is_closed { 1.0 } else { 0.0 };
    metrics::gauge!("magpie_hall_shut", "hall" => hall.to_string()).set(value);
}
