//! Inputs of the cell: submissions and cancellations of callers, worker listings, placement advice
//! and maintenance waves.

use {
    crate::core::Core,
    crate::store::Event,
    crate::{owner_tasks, time},
    cell::{Advice, AdviceQuery, Entry, Listing, Machine, MaintenanceOrder, Wave, WaveStatus},
    job::{Id, State, Submission},
    kernel::{stakker::Cx, wall_clock},
    std::{collections::HashSet, sync::Arc},
};

impl Core {
    /// Applies a listing of the workers, and connects to new ones. Ignores unknown workers of a
    /// pool that the configuration does not name.
    pub(crate) fn handle_listing(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        mut listing: Listing,
    ) {
        let config = self.node.shared.config.load();
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        if let Some(config) = &*config {
            let is_ignored = |entry: &mut Entry| {
                !config.has_pool(&entry.pool) && !ownership.cell.has_worker(&entry.id)
            };
            // Listed as unreadable, so that a known worker with the same name is not taken as gone.
            let ignored = listing.entries.extract_if(.., is_ignored);
            let ignored: Vec<Arc<str>> = ignored.map(|entry| entry.name).collect();
            listing.unreadable.extend(ignored);
        }
        for entry in ownership.cell.handle_listing(listing, time::now()) {
            self.connect(fence, entry);
        }
        self.schedule_pass(cx);
    }

    /// Applies changes of the intake.
    pub(crate) fn handle_intake(&mut self, cx: &mut Cx<'_, Self>, fence: u64, events: Vec<Event>) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        owner_tasks::apply_intake(&mut ownership.cell, events);
        self.schedule_pass(cx);
    }

    /// Returns those of the jobs that the cell does not know.
    pub(crate) fn unknown_jobs(&mut self, fence: u64, ids: Vec<Id>) -> HashSet<Id> {
        self.ownership_of(fence)
            .map_or(HashSet::new(), |ownership| ownership.cell.unknown_jobs(ids))
    }

    /// Applies the second read of the intake after a takeover.
    pub(crate) fn handle_reread(&mut self, cx: &mut Cx<'_, Self>, fence: u64, events: Vec<Event>) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        owner_tasks::apply_intake(&mut ownership.cell, events);
        for id in ownership.cell.jobs_reread() {
            self.resume_poll(fence, &id);
        }
        self.schedule_pass(cx);
    }

    /// Adds a job that this or another box has just accepted.
    pub(crate) fn handle_accepted(&mut self, cx: &mut Cx<'_, Self>, submission: Submission) {
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        if ownership.cell.admit(submission, wall_clock::millis()) {
            self.schedule_pass(cx);
        }
    }

    /// Applies a cancellation that is in the store. False when the ownership of this box is
    /// unconfirmed or it does not know the job yet.
    pub(crate) fn handle_cancel(&mut self, cx: &mut Cx<'_, Self>, id: &Id) -> bool {
        let Some(ownership) = self.current_ownership() else {
            return false;
        };
        let is_confirmed = !ownership.is_unconfirmed();
        let is_known = ownership.cell.cancel(id, time::now(), wall_clock::millis()) && is_confirmed;
        self.schedule_pass(cx);
        is_known
    }

    /// The state of a job; `None` when it is unknown or the ownership is unconfirmed.
    pub(crate) fn state(&mut self, id: &Id) -> Option<State> {
        self.confirmed_ownership()?.cell.state(id)
    }

    /// Applies the advisor's answer to a query; `None` when it gave no valid one.
    pub(crate) fn handle_advice(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        query: &AdviceQuery,
        advice: Option<Advice>,
    ) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        ownership.cell.handle_advice(query, advice, time::now());
        self.schedule_pass(cx);
    }

    /// Applies the maintenance waves and the list of machines; returns the machines to take down.
    pub(crate) fn plan_maintenance(
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

    /// Progress of the maintenance waves.
    pub(crate) fn wave_progress(&mut self, fence: u64, waves: &[Wave]) -> Vec<WaveStatus> {
        self.ownership_of(fence)
            .map_or(Vec::new(), |ownership| ownership.cell.wave_statuses(waves))
    }

    /// Applies that a maintenance order surely had no effect.
    pub(crate) fn maintenance_refused(&mut self, fence: u64, order: &MaintenanceOrder) {
        if let Some(ownership) = self.ownership_of(fence) {
            ownership.cell.maintenance_refused(order);
        }
    }
}
