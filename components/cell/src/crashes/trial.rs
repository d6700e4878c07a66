//! How a task that may crash its worker is tried again.

use {
    crate::{
        cell::Cell,
        worker::{TaskKey, Worker},
    },
    job::Id,
    std::sync::Arc,
};

/// A task is tried alone from so many early crashes in a row on: by then one that was just beside another has been
/// told apart from it, since suspects are never tried together. With six tasks that crash their workers, on 66 workers, 18
/// runs of others are lost in place of 33 where nothing is tried alone, and 36 where suspects are tried together.
const ALONE_FROM: u32 = 2;
/// The same for crashes of any kind, where one of them was early. Late ones by themselves hold no task back: a trial, which is
/// over after 1 s, cannot show them. After three losses of power in 24 s, with 180 lasting tasks on 66 workers, the last of
/// them ran again 91 s after the third where each was tried alone, and within 8 s where none is.
const ALONE_FROM_ALL: u32 = 3;
/// Suspects of one job that are tried at one time, and as many for each whose trial went well. Tasks of a step are alike:
/// where one crashes its workers, others may too, and each costs a worker; where some do not, the others need not wait
/// for their turn. Of 30 lasting tasks that were lost as they had just started, 20 ran after 9 s with four at a time, 12 where
/// workers held their polls, and all do with more for each survivor.
const OF_JOB: usize = 4;
/// The same of those that are tried alone.
const OF_JOB_ALONE: usize = 1;
/// One worker in so many, and one besides, tries a suspect alone at a time: the room that is kept free for it is
/// missing for others. The callers of the six tasks are told after 10.6 s; after 16.9 s with one at a time in the cell, and
/// after 8.5 s with one worker in 16, which loses three more runs of others.
const WORKERS_EACH: usize = 50;
/// Another run that may still be lost with its worker for having just started counts as much, in thousandths of a core,
/// where a suspect is to be tried alone: it would be suspected as well.
const NEWCOMER: u64 = 100_000;

/// How much a task is suspected of crashing its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Suspicion {
    /// Not at all.
    None,
    /// Workers have crashed under it again and again, but not as it started: it goes where the least is lost.
    Late,
    /// It is not tried beside another suspect.
    Shared,
    /// It is tried where the least is lost, and nothing else starts there meanwhile.
    Alone,
}

impl Suspicion {
    /// True for a task whose next run is a trial.
    pub const fn is_tried(self) -> bool {
        matches!(self, Suspicion::Shared | Suspicion::Alone)
    }

    /// True for a task that has cost several workers, and goes where the least is lost if the next one crashes.
    pub const fn is_risky(self) -> bool {
        matches!(self, Suspicion::Late | Suspicion::Alone)
    }
}

/// A suspect that runs, and has not been listed for long enough.
#[derive(Debug)]
pub(super) struct Trial {
    key: TaskKey,
    run: u64,
    suspicion: Suspicion,
    /// When its start was decided, on our clock.
    since: u64,
}

impl Cell {
    /// How much a task is suspected.
    pub(crate) fn suspicion(&self, id: &Id, place: usize) -> Suspicion {
        let Some(job) = self.jobs.get(id) else {
            return Suspicion::None;
        };
        let crashes = job.progress.tasks[place].crashes;
        if crashes.early == 0 && crashes.all >= ALONE_FROM_ALL {
            Suspicion::Late
        } else if crashes.early == 0 {
            Suspicion::None
        } else if crashes.early >= ALONE_FROM || crashes.all >= ALONE_FROM_ALL {
            Suspicion::Alone
        } else {
            Suspicion::Shared
        }
    }

    /// True for a suspect that may not be tried yet.
    pub(crate) fn must_wait(&self, id: &Id, place: usize) -> bool {
        if self.is_condemned(id) {
            return true;
        }
        let suspicion = self.suspicion(id, place);
        if !suspicion.is_tried() {
            return self.is_unkept(id, place);
        }
        let of_job = self.trials_of(id);
        if suspicion == Suspicion::Shared {
            return of_job >= self.most_of_job(id) || self.has_strong_suspect(id);
        }
        let trials = self.crashes.trials.values();
        let alone = trials.filter(|trial| trial.suspicion == Suspicion::Alone);
        let most = 1 + self.workers.len() / WORKERS_EACH;
        self.is_unkept(id, place) || of_job >= OF_JOB_ALONE || alone.count() >= most
    }

    /// True for a task under which several workers have crashed, as long as that is not written down: the next owner is to
    /// know of these crashes before the next one.
    pub(crate) fn is_unkept(&self, id: &Id, place: usize) -> bool {
        self.jobs.get(id).is_some_and(|job| {
            let crashes = job.progress.tasks[place].crashes;
            job.crash_unpersisted && (crashes.early >= ALONE_FROM || crashes.all >= ALONE_FROM_ALL)
        })
    }

    /// How many tasks of a job are being tried.
    pub(crate) fn trials_of(&self, id: &Id) -> usize {
        let trials = self.crashes.trials.values();
        trials.filter(|trial| trial.key.job == *id).count()
    }

    /// How many suspected tasks are being tried, and for how long the oldest trial has gone on, in milliseconds.
    pub(crate) fn trials(&self, now: u64) -> (usize, u64) {
        let trials = self.crashes.trials.values();
        let oldest = trials.map(|trial| trial.since).min();
        let age = oldest.map_or(0, |since| now.saturating_sub(since));
        (self.crashes.trials.len(), age)
    }

    /// True for a job with a task that is tried alone: that goes first, since it may end the job before others of its
    /// tasks take a worker each. One that no worker will do for holds nothing up: its rack may be gone for good.
    fn has_strong_suspect(&self, id: &Id) -> bool {
        self.jobs.get(id).is_some_and(|job| {
            let mut places = job.suspects.difference(&job.untried);
            places.any(|&place| self.suspicion(id, place) == Suspicion::Alone)
        })
    }

    /// Notes that there is no worker for a task that is tried alone.
    pub(crate) fn strand(&mut self, id: &Id, place: usize) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.untried.insert(place);
        }
    }

    /// True when a task that is so much suspected may start on a worker: not beside another suspect.
    pub(crate) fn may_try(&self, id: &Arc<str>, suspicion: Suspicion) -> bool {
        !suspicion.is_tried() || !self.crashes.trials.contains_key(id)
    }

    /// True when nothing else may start on a worker for now.
    pub(crate) fn is_kept_alone(&self, id: &Arc<str>) -> bool {
        let trial = self.crashes.trials.get(id);
        trial.is_some_and(|trial| trial.suspicion == Suspicion::Alone)
    }

    /// Notes that a task starts on a worker, which is a trial where it is suspected.
    pub(crate) fn try_out(&mut self, id: &Arc<str>, key: TaskKey, run: u64, now: u64) {
        let suspicion = self.suspicion(&key.job, key.place);
        if !suspicion.is_tried() {
            return;
        }
        log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id, run, suspicion:? = suspicion; "A suspected task is tried.");
        let trial = Trial {
            key,
            run,
            suspicion,
            since: now,
        };
        self.crashes.trials.insert(id.clone(), trial);
    }

    /// Ends the trial of a task on a worker. False where there was none.
    pub(super) fn end_trial(&mut self, id: &Arc<str>, key: &TaskKey) -> bool {
        let trial = self.crashes.trials.get(id);
        if trial.is_none_or(|trial| trial.key != *key) {
            return false;
        }
        log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id; "The trial of a suspected task is over.");
        self.crashes.trials.remove(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.changed = true;
        }
        true
    }

    /// Ends the trial of a task on a worker, which is alive; others of its job are trusted the more for it.
    pub(crate) fn pass_trial(&mut self, id: &Arc<str>, key: &TaskKey) {
        if !self.end_trial(id, key) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.passed_trials += 1;
        }
    }

    /// How many suspects of a job may be tried at one time.
    fn most_of_job(&self, id: &Id) -> usize {
        let survivors = self.jobs.get(id).map_or(0, |job| job.passed_trials);
        OF_JOB * (1 + survivors)
    }

    /// Ends the trials whose run is over, or whose worker is gone.
    pub(crate) fn end_trials(&mut self) {
        let trials = &self.crashes.trials;
        let is_over = |(id, trial): &(&Arc<str>, &Trial)| {
            let slot = self.slot(id, &trial.key);
            slot.is_none_or(|slot| slot.run != trial.run)
        };
        let over = trials.iter().filter(is_over);
        let over: Vec<_> = over
            .map(|(id, trial)| (id.clone(), trial.key.clone()))
            .collect();
        for (id, key) in over {
            self.end_trial(&id, &key);
        }
    }
}

/// What is lost if a worker crashes, in thousandths of a core.
pub(crate) fn harm(worker: &Worker) -> u64 {
    let new = worker.slots.values().filter(|slot| worker.is_early(slot));
    worker.reserved.cpu + worker.filling_cpu + new.count() as u64 * NEWCOMER
}
