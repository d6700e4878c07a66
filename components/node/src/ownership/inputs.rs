//! Inputs of the cell: submissions and cancellations of callers, worker listings, placement advice
//! and maintenance waves.

use {
    super::Ownership,
    crate::{
        core::Core,
        decode,
        fence::{self, Verdict},
        keys,
        store::Event,
        time,
    },
    cell::{Advice, AdviceQuery, Entry, Listing, Machine, MaintenanceOrder, Wave, WaveStatus},
    job::{Id, State, Submission},
    kernel::{stakker::Cx, wall_clock},
    std::{collections::HashSet, sync::Arc},
};

impl Ownership {
    /// Applies submissions and cancellations to the cell. Submissions come first, since a listing
    /// of the intake returns cancellations before the submissions they refer to.
    fn apply_intake(&mut self, events: Vec<Event>) {
        let mut cancelled = Vec::new();
        for event in events {
            let Event::Put(item) = event else {
                continue;
            };
            if let Some(id) = keys::id(&item.key, keys::CANCEL) {
                cancelled.push(id);
                continue;
            }
            match decode::submission(&item) {
                Ok(submission) => {
                    self.admit(submission);
                }
                Err(error) => {
                    log::error!(target: "owner", key = item.key.as_str(), error:% = error; "A stored submission cannot be decoded and is skipped.");
                }
            }
        }
        for id in cancelled {
            if !self.cancel(&id) {
                log::info!(target: "owner", job = id.as_str(); "A cancellation refers to an unknown job.");
            }
        }
    }

    /// Adds an accepted job to the cell, or holds it back if it names the fence of a later owner.
    /// All jobs that this box hears of as the owner pass here. Returns true if the cell has a new
    /// job.
    pub(super) fn admit(&mut self, mut submission: Submission) -> bool {
        match fence::verdict(submission.fence, self.fence, self.head) {
            Verdict::Admit => {}
            Verdict::AdmitUnnamed => submission.fence = 0,
            Verdict::Hold => {
                self.hold(submission);
                return false;
            }
        }
        self.cell.admit(submission, wall_clock::millis())
    }

    /// Holds a job back until a write has proven that there is no later owner. The workers cannot
    /// prove it: some may have accepted the fence of a later owner that starts tasks already.
    fn hold(&mut self, submission: Submission) {
        log::warn!(target: "owner", job = submission.id.as_str(), named = submission.fence, fence = self.fence; "A job names the fence of a later owner and is held back.");
        if self.held.hold(submission) {
            self.mark_unconfirmed();
        }
    }

    /// Applies a cancellation that is in the store. Returns false if the cell does not know the
    /// job; one that is held back is cancelled once it is admitted.
    fn cancel(&mut self, id: &Id) -> bool {
        self.held.cancel(id) || self.cell.cancel(id, time::now(), wall_clock::millis())
    }

    /// Admits the jobs that were held back and name a fence below this revision, with which a group
    /// was written under the head of this owner. Returns true if there were some.
    pub(super) fn release_held(&mut self, revision: u64) -> bool {
        let released = self.held.release(revision);
        for (submission, is_cancelled) in &released {
            let id = &submission.id;
            log::info!(target: "owner", job = id.as_str(), revision; "A job that was held back is admitted, since there is no later owner.");
            self.cell.admit(submission.clone(), wall_clock::millis());
            if *is_cancelled {
                self.cell.cancel(id, time::now(), wall_clock::millis());
            }
        }
        !released.is_empty()
    }
}

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
        ownership.apply_intake(events);
        self.schedule_pass(cx);
    }

    /// Returns those of the jobs that the cell does not know, without jobs that are held back.
    pub(crate) fn unknown_jobs(&mut self, fence: u64, ids: Vec<Id>) -> HashSet<Id> {
        let Some(ownership) = self.ownership_of(fence) else {
            return HashSet::new();
        };
        let mut unknown = ownership.cell.unknown_jobs(ids);
        unknown.retain(|id| !ownership.held.contains(id));
        unknown
    }

    /// Applies the second read of the intake after a takeover.
    pub(crate) fn handle_reread(&mut self, cx: &mut Cx<'_, Self>, fence: u64, events: Vec<Event>) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        ownership.apply_intake(events);
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
        if ownership.admit(submission) || !ownership.held.is_empty() {
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
        let is_known = ownership.cancel(id) && is_confirmed;
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

    /// Applies that the ordered maintenance has begun or is over.
    pub(crate) fn maintenance_begun(&mut self, fence: u64, order: &MaintenanceOrder) {
        if let Some(ownership) = self.ownership_of(fence) {
            ownership.cell.maintenance_begun(order);
        }
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        cell::{Cell, Timing},
        job::{Queue, Spec, Step},
        test_case::test_case,
    };

    const TIMING: Timing = Timing {
        lease: 6_000,
        stop: 900,
        pace: 100,
    };
    const FENCE: u64 = 20;
    const HEAD: u64 = 30;
    const JOB: &str = "00000000000000a1";

    fn ownership() -> Ownership {
        let mut ownership = Ownership::new(FENCE, 2, Cell::new(TIMING), 0);
        ownership.head = HEAD;
        ownership
    }

    /// A job of one task that names a fence.
    fn submission(fence: u64) -> Submission {
        let step = Step {
            count: 1,
            ..Step::default()
        };
        Submission {
            id: Id::new(JOB).unwrap(),
            spec: Spec {
                text: "text".into(),
                steps: vec![step],
                timetable: None,
            },
            queue: Queue {
                name: "queue".into(),
                host: "host".into(),
                prefix: "/".into(),
                pool: "pool".into(),
                priority: 0,
                attempts: 1,
                stretch: 1.0,
                target: 1,
                advised: false,
            },
            accepted: 1,
            fence,
        }
    }

    /// While a job is held back, no other job is placed either: the later owner may have started
    /// it.
    #[test_case(FENCE, true, false; "own fence")]
    #[test_case(HEAD, true, false; "disproven fence")]
    #[test_case(HEAD + 1, false, true; "later fence")]
    fn admit_by_fence(named: u64, is_admitted: bool, is_unconfirmed: bool) {
        let mut ownership = ownership();
        assert_eq!(ownership.admit(submission(named)), is_admitted);
        assert_eq!(ownership.is_unconfirmed(), is_unconfirmed);
    }

    /// A majority of the workers confirms an ownership while the store does not answer.
    #[test]
    fn confirmation_by_workers_keeps_job_held() {
        let mut ownership = ownership();
        ownership.admit(submission(HEAD + 1));
        ownership.group_sent = u64::MAX;
        ownership.write_unanswered();
        ownership.poll_answered(&"w1".into(), u64::MAX);
        assert!(!ownership.is_unconfirmed());
        assert_eq!(ownership.held.len(), 1);
    }

    /// An owner that may have a successor must send no orders, however recent its last confirmation
    /// is, until a write has proven that there is none.
    #[test]
    fn hold_suspends_permits() {
        let mut ownership = ownership();
        ownership.permits.begin_tenure(FENCE, u64::MAX);
        assert!(ownership.permits.for_worker(FENCE).is_some());
        ownership.admit(submission(HEAD + 1));
        assert!(ownership.permits.for_worker(FENCE).is_none());
        ownership.group_sent = u64::MAX;
        ownership.write_confirmed();
        assert!(ownership.permits.for_worker(FENCE).is_some());
    }

    #[test]
    fn release_held_admits_job() {
        let mut ownership = ownership();
        ownership.admit(submission(HEAD + 1));
        assert!(ownership.release_held(HEAD + 2));
        assert_eq!(
            ownership.cell.state(&Id::new(JOB).unwrap()),
            Some(State::Queued)
        );
    }

    #[test]
    fn release_held_cancels_job() {
        let mut ownership = ownership();
        ownership.admit(submission(HEAD + 1));
        ownership.cancel(&Id::new(JOB).unwrap());
        ownership.release_held(HEAD + 2);
        let state = ownership.cell.state(&Id::new(JOB).unwrap());
        assert_eq!(state, Some(State::Cancelled));
    }
}
