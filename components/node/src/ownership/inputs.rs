//! What comes to the cell from callers, listings, advice and waves.

use {
    crate::core::Core,
    crate::store::Event,
    crate::{owner_tasks, time},
    cell::{Advice, AdviceQuery, Entry, Listing, Machine, MaintenanceOrder, Wave, WaveStatus},
    job::{Id, State, Submission},
    kernel::{stakker::Cx, wall},
    std::{collections::HashSet, sync::Arc},
};

impl Core {
    /// Takes in a listing of the workers. One of a pool that no configuration names is no worker to begin with.
    pub(crate) fn listed(&mut self, cx: &mut Cx<'_, Self>, fence: u64, mut listing: Listing) {
        let config = self.node.shared.config.load();
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        if let Some(config) = &*config {
            let is_other = |entry: &mut Entry| {
                !config.has_pool(&entry.pool) && !ownership.cell.has_worker(&entry.id)
            };
            // A worker that is known by its name is not gone by that.
            let others = listing.entries.extract_if(.., is_other);
            let others: Vec<Arc<str>> = others.map(|entry| entry.name).collect();
            listing.unreadable.extend(others);
        }
        for entry in ownership.cell.handle_listing(listing, time::now()) {
            self.tend(fence, entry);
        }
        self.schedule_pass(cx);
    }

    /// Takes in what has come from callers.
    pub(crate) fn intake(&mut self, cx: &mut Cx<'_, Self>, fence: u64, events: Vec<Event>) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        owner_tasks::apply_intake(&mut ownership.cell, events);
        self.schedule_pass(cx);
    }

    /// Those of the jobs that the cell does not know.
    pub(crate) fn unknown(&mut self, fence: u64, ids: Vec<Id>) -> HashSet<Id> {
        self.ownership_of(fence)
            .map_or(HashSet::new(), |ownership| ownership.cell.unknown_jobs(ids))
    }

    /// Takes in what was read once more after a takeover.
    pub(crate) fn intake_again(&mut self, cx: &mut Cx<'_, Self>, fence: u64, events: Vec<Event>) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        owner_tasks::apply_intake(&mut ownership.cell, events);
        for id in ownership.cell.jobs_reread() {
            self.let_poll(fence, &id);
        }
        self.schedule_pass(cx);
    }

    /// Takes in a job that another box, or this one, has just accepted.
    pub(crate) fn handle_accepted(&mut self, cx: &mut Cx<'_, Self>, submission: Submission) {
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        if ownership.cell.admit(submission, wall::millis()) {
            self.schedule_pass(cx);
        }
    }

    /// Takes in a cancellation that is written down. False when this box does not own the cell for
    /// sure, or does not know the job yet.
    pub(crate) fn handle_cancel(&mut self, cx: &mut Cx<'_, Self>, id: &Id) -> bool {
        let Some(ownership) = self.current_ownership() else {
            return false;
        };
        let is_sure = !ownership.is_doubtful();
        let is_known = ownership.cell.cancel(id, time::now(), wall::millis()) && is_sure;
        self.schedule_pass(cx);
        is_known
    }

    /// The state of a job; `None` where it is not known.
    pub(crate) fn state(&mut self, id: &Id) -> Option<State> {
        self.confirmed_ownership()?.cell.state(id)
    }

    /// Takes in advice, or that there is none.
    pub(crate) fn advised(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        question: &AdviceQuery,
        advice: Option<Advice>,
    ) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        ownership.cell.handle_advice(question, advice, time::now());
        self.schedule_pass(cx);
    }

    /// Takes in waves and machines; returns the upkeep to order.
    pub(crate) fn upkeep(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        waves: &[Wave],
        machines: &[Machine],
    ) -> Vec<MaintenanceOrder> {
        let Some(ownership) = self.ownership_of(fence) else {
            return Vec::new();
        };
        let orders = ownership
            .cell
            .plan_maintenance(waves, machines, time::now());
        self.schedule_pass(cx);
        orders
    }

    /// How far the waves are.
    pub(crate) fn standings(&mut self, fence: u64, waves: &[Wave]) -> Vec<WaveStatus> {
        self.ownership_of(fence)
            .map_or(Vec::new(), |ownership| ownership.cell.wave_statuses(waves))
    }

    /// Takes in that an upkeep was surely not begun.
    pub(crate) fn upkeep_refused(&mut self, fence: u64, order: &MaintenanceOrder) {
        if let Some(ownership) = self.ownership_of(fence) {
            ownership.cell.maintenance_refused(order);
        }
    }
}
