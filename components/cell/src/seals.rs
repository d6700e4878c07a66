//! Seals: the record of which tasks may run on workers that get no work for now, see
//! [`policy::takeover`].
//!
//! A seal is in force from the moment that a batch with it is built until a batch without it was
//! written. A batch whose result is unknown may have been written, so it puts seals into force, but
//! withdraws none.

use {
    crate::{
        cell::Cell,
        persistence::Seal,
        worker::{SealState, TaskKey, Worker},
    },
    policy::takeover::{self, Condition},
    std::{collections::BTreeSet, sync::Arc},
};

/// The maximum number of workers named in a log line.
const MAX_NAMES: usize = 8;

impl Cell {
    /// Enables or disables the sealing of workers that get no work. All seals are withdrawn when it
    /// is disabled.
    pub fn enable_sealing(&mut self, enabled: bool) {
        self.sealing = enabled;
        if enabled {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.seal_wanted = false;
            self.seals_due |= worker.sealed_tasks().is_some();
        }
    }

    /// Restores the seals that the previous owner has written. They are carried on until their
    /// workers can be given work again or are removed. Called once the workers are known.
    pub fn restore_seals(&mut self, seals: Vec<Seal>) {
        for Seal { worker, tasks } in seals {
            let Some(worker) = self.workers.get_mut(&worker) else {
                continue;
            };
            worker.seal = SealState::Sealed(tasks.into_iter().collect());
            worker.seal_wanted = true;
            self.seals_due = true;
        }
    }

    /// Returns the number of sealed workers.
    pub fn sealed_workers(&self) -> usize {
        let sealed = self.workers.values().filter_map(Worker::sealed_tasks);
        sealed.count()
    }

    /// Updates which workers are to be sealed, and whether the record of them is due to be written.
    pub(crate) fn update_seals(&mut self, now: u64) {
        if !self.sealing {
            return;
        }
        let mut recorded = self.recorded_tasks();
        let mut wanted = Vec::new();
        let mut has_other_tasks = false;
        for (id, worker) in &self.workers {
            let is_sealed = worker.sealed_tasks().is_some();
            let is_wanted = if is_sealed {
                !takeover::must_withdraw(self.seal_condition(worker, now))
            } else {
                let has_room = recorded + worker.slots.len() <= takeover::MAX_RECORDED;
                has_room && self.may_seal(worker, now)
            };
            if is_wanted && !is_sealed {
                recorded += worker.slots.len();
            }
            self.seals_due |= is_wanted != is_sealed;
            has_other_tasks |= is_wanted && is_sealed && self.new_tasks(worker).is_some();
            if is_wanted != worker.seal_wanted {
                wanted.push((id.clone(), is_wanted));
            }
        }
        for (id, is_wanted) in wanted {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.seal_wanted = is_wanted;
            }
        }
        if has_other_tasks && now >= self.seals_rewritten + takeover::REWRITE_INTERVAL {
            self.seals_rewritten = now;
            self.seals_due = true;
        }
    }

    /// Updates whether a sealed worker is to stay so, after it has reported.
    pub(crate) fn refresh_seal(&mut self, id: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.sealed_tasks().is_none()
            || !takeover::must_withdraw(self.seal_condition(worker, now))
        {
            return;
        }
        self.seals_due = true;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.seal_wanted = false;
        }
    }

    /// Seals and unseals workers, and returns all seals to be written, if they are due.
    pub(crate) fn take_seals(&mut self) -> Option<Vec<Seal>> {
        if !std::mem::take(&mut self.seals_due) {
            return None;
        }
        let mut recorded = self.recorded_tasks();
        let mut changes = Vec::new();
        let (mut sealed, mut unsealed) = (Vec::new(), Vec::new());
        for (id, worker) in &self.workers {
            let is_sealed = worker.sealed_tasks().is_some();
            if is_sealed && !worker.seal_wanted {
                unsealed.push(id.clone());
                changes.push((id.clone(), SealState::Withdrawn));
            } else if is_sealed && let Some(tasks) = self.new_tasks(worker) {
                changes.push((id.clone(), SealState::Sealed(tasks)));
            } else if !is_sealed && worker.seal_wanted && self.may_replace_tasks(worker) {
                if recorded + worker.slots.len() > takeover::MAX_RECORDED {
                    continue;
                }
                recorded += worker.slots.len();
                sealed.push(id.clone());
                changes.push((id.clone(), SealState::Sealed(held_tasks(worker))));
            }
        }
        for (id, seal) in changes {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.seal = seal;
            }
        }
        log_workers(&sealed, "Workers sealed.");
        log_workers(&unsealed, "Seals of workers withdrawn.");
        Some(self.seals())
    }

    /// Handles a written record of all sealed workers: workers without a seal may get work again.
    pub(crate) fn seals_written(&mut self, seals: &[Seal]) {
        let written: BTreeSet<&Arc<str>> = seals.iter().map(|seal| &seal.worker).collect();
        for (id, worker) in &mut self.workers {
            if worker.seal == SealState::Withdrawn && !written.contains(id) {
                worker.seal = SealState::Open;
                worker.changed = true;
            }
        }
    }

    fn seals(&self) -> Vec<Seal> {
        let mut seals = Vec::new();
        for (id, worker) in &self.workers {
            if let Some(tasks) = worker.sealed_tasks() {
                seals.push(Seal {
                    worker: id.clone(),
                    tasks: tasks.iter().cloned().collect(),
                });
            }
        }
        seals
    }

    /// Returns the number of recorded tasks, over all workers.
    fn recorded_tasks(&self) -> usize {
        let sealed = self.workers.values().filter_map(Worker::sealed_tasks);
        sealed.map(BTreeSet::len).sum()
    }

    fn may_seal(&self, worker: &Worker, now: u64) -> bool {
        // Most workers are reachable and stay, and their runs need not be looked up.
        let may_qualify = worker.is_unreachable() || self.must_drain(worker, now);
        may_qualify && worker.recorded && takeover::may_seal(self.seal_condition(worker, now), now)
    }

    fn seal_condition(&self, worker: &Worker, now: u64) -> Condition {
        Condition {
            reported: worker.reported && !self.has_unknown_runs(worker),
            ends_pending: worker.has_unwritten_ends() || worker.ends_deferred,
            leaving: self.must_drain(worker, now),
            available: worker.fenced && worker.listed && !worker.entry_invalid,
            unreachable_since: worker.unreachable_since,
        }
    }

    /// True if a worker runs tasks of jobs that a later owner may know and this one does not: they
    /// cannot be named as that owner would.
    fn has_unknown_runs(&self, worker: &Worker) -> bool {
        let mut jobs = worker.slots.keys().map(|key| &key.job);
        worker.runs_pending || jobs.any(|job| !self.is_known(job))
    }

    /// True if the tasks that a worker holds are all that may run there or have ended there without
    /// a record of it.
    fn may_replace_tasks(&self, worker: &Worker) -> bool {
        takeover::may_replace_tasks(self.seal_condition(worker, 0))
    }

    /// Returns the tasks to record for a sealed worker if they differ from the recorded ones.
    fn new_tasks(&self, worker: &Worker) -> Option<BTreeSet<TaskKey>> {
        let recorded = worker.sealed_tasks()?;
        let has_all = worker.slots.keys().all(|key| recorded.contains(key));
        if has_all && worker.slots.len() == recorded.len() {
            return None;
        }
        if self.may_replace_tasks(worker) {
            return Some(held_tasks(worker));
        }
        (!has_all).then(|| recorded | &held_tasks(worker))
    }
}

fn held_tasks(worker: &Worker) -> BTreeSet<TaskKey> {
    worker.slots.keys().cloned().collect()
}

fn log_workers(ids: &[Arc<str>], message: &str) {
    if ids.is_empty() {
        return;
    }
    let names: Vec<&str> = ids.iter().take(MAX_NAMES).map(|id| &**id).collect();
    let workers = names.join(" ");
    log::info!(target: "cell", count = ids.len(), workers = workers.as_str(); "{message}");
}
