//! The data halls that the operators have shut, as the owner knows them.

use {
    super::Ownership,
    crate::{core::Core, external::HallClosure, message::ClosedHall},
    kernel::{stakker::Cx, wall},
    std::{collections::HashSet, sync::Arc},
};

/// What the owner knows of them. Times are in milliseconds on the clock of this box.
#[derive(Debug, Default)]
pub(super) struct Halls {
    shut: Vec<ClosedHall>,
    /// When the last read was begun that was answered.
    read: u64,
    /// A read has to be begun at this time or later before anything is placed.
    wanted: u64,
}

impl Halls {
    /// Nothing is placed by what was known before this time.
    pub fn doubt(&mut self, since: u64) {
        self.wanted = since;
    }

    /// True when what is known is good enough to place by.
    pub const fn are_known(&self) -> bool {
        self.read >= self.wanted
    }
}

impl Ownership {
    /// Takes in what a read has found that was begun at this time.
    pub(crate) fn take_closures(&mut self, closures: Vec<HallClosure>, begun: u64) {
        self.halls.read = begun;
        let names: HashSet<Arc<str>> = closures.iter().map(|own| own.hall.clone()).collect();
        let former = std::mem::take(&mut self.halls.shut);
        for shut in &former {
            if !names.contains(&shut.hall) {
                log::info!(target: "owner", hall = &*shut.hall, since = shut.since; "The operators have opened a data hall.");
                measure(&shut.hall, false);
            }
        }
        for HallClosure { hall, by } in closures {
            if let Some(known) = former.iter().find(|shut| shut.hall == hall) {
                let since = known.since;
                self.halls.shut.push(ClosedHall { hall, by, since });
                continue;
            }
            let is_empty = !self.cell.entries().any(|entry| entry.hall == hall);
            log::info!(target: "owner", hall = &*hall, by = by.as_deref(); "The operators have shut a data hall.");
            if is_empty {
                log::warn!(target: "owner", hall = &*hall; "No worker is known in a data hall that is shut.");
            }
            measure(&hall, true);
            let since = wall::millis();
            self.halls.shut.push(ClosedHall { hall, by, since });
        }
        self.cell.set_closed_halls(names);
    }

    /// Shows no hall as shut any more by this box, whose ownership is over.
    pub(super) fn forget_halls(&self) {
        for shut in &self.halls.shut {
            measure(&shut.hall, false);
        }
    }
}

impl Core {
    /// Takes in which data halls are shut, by a read that was begun at this time.
    pub(crate) fn shut(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        closures: Vec<HallClosure>,
        begun: u64,
    ) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        ownership.take_closures(closures, begun);
        self.schedule_pass(cx);
    }

    /// The data halls that are shut; `None` where this box does not own the cell for sure.
    pub(crate) fn halls(&mut self) -> Option<Vec<ClosedHall>> {
        Some(self.confirmed_ownership()?.halls.shut.clone())
    }
}

fn measure(hall: &Arc<str>, is_shut: bool) {
    let value = if is_shut { 1.0 } else { 0.0 };
    metrics::gauge!("magpie_hall_shut", "hall" => hall.to_string()).set(value);
}
