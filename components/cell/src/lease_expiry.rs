//! Unreachable workers and expired leases.

use {
    crate::{cell::Cell, closed::Backoff, timing, worker::TaskKey},
    job::Phase,
    std::sync::Arc,
};

/// How long batch tasks are kept after their leases have expired if the worker was not polled in
/// time, in milliseconds: a late owner catches up within about a second.
const REPORT_GRACE: u64 = 2_000;

impl Cell {
    /// Records that a poll of a worker failed: the worker gets no work for a short time.
    pub fn poll_failed(&mut self, id: &str, now: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.back_off(Backoff::PollFailed, now);
            if worker.unreachable_since.is_none() {
                worker.unreachable_since = Some(now);
                let due = worker.answer_due.map_or(now, timing::expected_answer);
                worker.silent_by = Some(due.min(now));
                self.crashes.losses.refresh(worker);
            }
        }
    }

    /// Requeues the tasks of workers whose leases have expired, and removes such workers if they
    /// are not listed either.
    ///
    /// A reachable worker may have run ends to report from before its leases expired. If it was
    /// just not polled in time, its batch tasks are kept until it is.
    pub fn expire_leases(&mut self, now: u64) {
        let mut expired = Vec::new();
        for (id, worker) in &self.workers {
            let (is_expired, may_report) = match worker.leases_end() {
                Some(expiry) => {
                    let is_reachable = worker.listed && !worker.is_unreachable();
                    (now >= expiry, is_reachable && now < expiry + REPORT_GRACE)
                }
                None => (!worker.listed && self.is_surely_empty(worker), false),
            };
            if is_expired && (!worker.slots.is_empty() || !worker.listed) {
                expired.push((id.clone(), may_report));
            }
        }
        for (id, may_report) in expired {
            if !may_report {
                self.log_lost_worker(&id, "its leases have expired", now);
                self.record_presumed_crash(&id, now);
            }
            self.release_expired(&id, may_report);
            let is_listed = self.workers.get(&id).is_some_and(|worker| worker.listed);
            if !is_listed {
                self.remove_worker(&id, "its leases have expired and it is not listed", now);
            }
        }
        self.expire_crash_state(now);
        self.update_recovery(now);
        self.update_seals(now);
    }

    /// Requeues the tasks of a worker whose leases have expired, or only its long-running ones. The
    /// worker must answer again before it gets work.
    fn release_expired(&mut self, id: &Arc<str>, lasting_only: bool) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut keys = Vec::new();
        for key in worker.slots.keys() {
            let is_lasting = self
                .jobs
                .get(&key.job)
                .is_some_and(|job| job.progress.step(key.place).lasting);
            if is_lasting || !lasting_only {
                keys.push(key.clone());
            }
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.fenced = false;
        if keys.is_empty() {
            return;
        }
        log::warn!(target: "cell", worker = &**id, tasks = keys.len(), failing = worker.is_unreachable(), lasting_only; "All leases of a worker have expired.");
        for key in &keys {
            worker.remove_slot(key);
        }
        for key in &keys {
            self.requeue_from(id, key);
        }
    }

    /// Requeues a task if it was placed on this worker.
    pub(crate) fn requeue_from(&mut self, id: &Arc<str>, key: &TaskKey) {
        let job = self.jobs.get(&key.job);
        let task = job.and_then(|job| job.progress.tasks.get(key.place));
        let is_here = task.is_some_and(|task| matches!(&task.phase, Phase::Placed(at) if at == id));
        if is_here {
            self.requeue(key);
        }
    }
}
