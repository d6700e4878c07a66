//! Workers that are not heard, and leases that are over.

use {
    crate::{cell::Cell, worker::TaskKey},
    job::Phase,
    std::sync::Arc,
};

/// How long tasks that can be done are left alone when their worker was not asked in time, in
/// milliseconds: a late owner catches up within about a second.
const TELL: u64 = 2_000;

impl Cell {
    /// Notes that a poll of a worker failed: it gets no work for a moment.
    pub fn poll_failed(&mut self, id: &str, now: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.back_off(now);
            if worker.unreachable_since.is_none() {
                worker.unreachable_since = Some(now);
                self.crashes.losses.refresh(worker);
            }
        }
    }

    /// Gives up what runs under leases that are over, and workers that are not listed besides.
    ///
    /// A worker that answers may have ends to tell, from before its leases were over: where it just
    /// was not asked in time, tasks that can be done are left alone until it is.
    pub fn expire_leases(&mut self, now: u64) {
        let mut over = Vec::new();
        for (id, worker) in &self.workers {
            let (is_over, may_tell) = match worker.leases_end() {
                Some(lapses) => {
                    let is_reached = worker.listed && !worker.is_unreachable();
                    (now >= lapses, is_reached && now < lapses + TELL)
                }
                None => (!worker.listed && self.recovery.is_none(), false),
            };
            if is_over && (!worker.slots.is_empty() || !worker.listed) {
                over.push((id.clone(), may_tell));
            }
        }
        for (id, may_tell) in over {
            if !may_tell {
                self.log_lost_worker(&id, "its leases are over", now);
                self.record_presumed_crash(&id, now);
            }
            self.release_expired(&id, may_tell);
            let is_listed = self.workers.get(&id).is_some_and(|worker| worker.listed);
            if !is_listed {
                self.remove_worker(&id, "its leases are over and it is not listed", now);
            }
        }
        self.expire_crash_state(now);
        self.update_recovery(now);
    }

    /// Frees the tasks of a worker whose leases are over, or just its lasting ones; it has to answer
    /// anew before it gets work.
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
        log::warn!(target: "cell", worker = &**id, tasks = keys.len(), failing = worker.is_unreachable(), lasting_only; "All leases of a worker are over.");
        for key in &keys {
            worker.remove_slot(key);
        }
        for key in &keys {
            self.requeue_from(id, key);
        }
    }

    /// Frees a task if it was placed on this worker.
    pub(crate) fn requeue_from(&mut self, id: &Arc<str>, key: &TaskKey) {
        let job = self.jobs.get(&key.job);
        let task = job.and_then(|job| job.progress.tasks.get(key.place));
        let is_here = task.is_some_and(|task| matches!(&task.phase, Phase::Placed(at) if at == id));
        if is_here {
            self.requeue(key);
        }
    }
}
