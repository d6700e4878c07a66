//! Crashes of workers that no owner observed: the owner that started a task has ended before the
//! loss of its worker was proven, and the next one never heard the worker.
//!
//! The record of a job names the tasks that were running, and for suspected ones the workers. The
//! record of a sealed worker names its tasks. A task that may start again although no worker has
//! reported such a run was lost with its worker.

use {
    super::evidence::{MAX_CELL_SHARE, MAX_EVIDENCE, UNOBSERVED_CHANCE, to_evidence},
    crate::{
        cell::Cell,
        worker::{TaskKey, Worker},
    },
    job::{Id, Recorded},
    std::{collections::HashSet, sync::Arc},
};

/// Time, in milliseconds, in which the workers that are alive answer a new owner. After it the
/// others count as lost.
const ANSWER_WITHIN_MS: u64 = 500;

/// The most that a crash tells of a task whose start is not known to be recent, in tenths of a bit.
const MAX_OF_ANY_AGE: u32 = 40;

/// Workers that were lost before this owner heard them, and the crashes that this tells of.
#[derive(Debug, Default)]
pub(crate) struct Unobserved {
    lost: HashSet<Arc<str>>,
    /// The tasks that the former owner recorded for those that it had sealed.
    tasks: HashSet<TaskKey>,
    /// Crashes to be weighed: the task, the most that the crash may tell, in tenths of a bit, and
    /// when it was counted, on the owner's clock.
    unweighed: Vec<(TaskKey, u32, u64)>,
}

impl Unobserved {
    /// True if a crash under the task is still to be weighed.
    pub fn is_awaiting(&self, key: &TaskKey) -> bool {
        self.unweighed.iter().any(|(other, ..)| other == key)
    }

    /// Forgets a task that runs again, or whose run has ended.
    pub fn forget(&mut self, key: &TaskKey) {
        self.tasks.remove(key);
    }

    fn record(&mut self, worker: &Worker) {
        if is_unheard(worker) {
            self.lost.insert(worker.entry.id.clone());
            let tasks = worker.sealed_tasks();
            self.tasks.extend(tasks.into_iter().flatten().cloned());
        }
    }
}

/// True if a former owner knew the worker and this one never heard it.
const fn is_unheard(worker: &Worker) -> bool {
    worker.clock.is_none() && worker.confirmed
}

impl Cell {
    /// Records a worker that is removed during a takeover.
    pub(crate) fn record_unheard(&mut self, worker: &Worker) {
        if self.recovery.is_some() {
            self.crashes.unobserved.record(worker);
        }
    }

    /// Records the workers that have not answered when the takeover is complete.
    pub(crate) fn record_all_unheard(&mut self) {
        for worker in self.workers.values() {
            self.crashes.unobserved.record(worker);
        }
    }

    /// Counts the crashes that the former owner did not observe under these tasks of a job, which
    /// run nowhere. Only a suspect whose worker is known was started right before: of any other
    /// run it is not known how long it had lasted.
    pub(crate) fn count_unobserved_crashes(&mut self, id: &Id, places: &[usize], now: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Unobserved { lost, tasks, .. } = &mut self.crashes.unobserved;
        let mut crashed = Vec::new();
        for &place in places {
            let recorded = &mut job.progress.tasks[place].recorded;
            if *recorded == Recorded::None && tasks.is_empty() {
                continue;
            }
            let job = id.clone();
            let key = TaskKey { job, place };
            let was_sealed = tasks.remove(&key);
            let most = match std::mem::replace(recorded, Recorded::None) {
                Recorded::On(worker) if lost.contains(&worker) => MAX_EVIDENCE,
                Recorded::Started => MAX_OF_ANY_AGE,
                Recorded::None if was_sealed => MAX_OF_ANY_AGE,
                _ => continue,
            };
            crashed.push((key, most));
        }
        for (key, most) in crashed {
            if self.count_crash(&key, most == MAX_EVIDENCE) {
                let unobserved = &mut self.crashes.unobserved;
                unobserved.unweighed.push((key, most, now));
            }
        }
    }

    /// Weighs the crashes that the former owner did not observe, once it is known how many workers
    /// were lost.
    pub(super) fn weigh_unobserved(&mut self, now: u64) {
        let is_due = |crash: &mut (TaskKey, u32, u64)| now >= crash.2 + ANSWER_WITHIN_MS;
        let due = self.crashes.unobserved.unweighed.extract_if(.., is_due);
        let due: Vec<_> = due.collect();
        if due.is_empty() {
            return;
        }
        let share = self.unheard_share();
        if share == 0.0 || share >= MAX_CELL_SHARE {
            return;
        }
        for (key, most, _) in due {
            let added = to_evidence(share * UNOBSERVED_CHANCE).min(most);
            let evidence = self.add_evidence(&key, added, u32::MAX, now);
            let evidence = evidence.map(|(evidence, _)| evidence);
            log::info!(target: "cell", job = key.job.as_str(), place = key.place, share, added, evidence:?; "Run of a former owner was lost with its worker.");
        }
    }

    /// The share of the workers that were lost before this owner heard them, or that have not
    /// answered it.
    fn unheard_share(&self) -> f64 {
        let lost = &self.crashes.unobserved.lost;
        let unheard = self.workers.values().filter(|worker| is_unheard(worker));
        let unheard = unheard.filter(|worker| !lost.contains(&worker.entry.id));
        let removed = lost.iter().filter(|id| !self.workers.contains_key(*id));
        let total = removed.count() + self.workers.len();
        (lost.len() + unheard.count()) as f64 / total.max(1) as f64
    }
}
