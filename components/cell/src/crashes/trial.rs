//! Trials: how a task suspected of crashing its worker is started again.

use {
    crate::{
        cell::Cell,
        worker::{TaskKey, Worker},
    },
    job::{Id, Phase},
    std::{ops::Range, sync::Arc},
};

/// Consecutive early crashes from which a task is tried in isolation. By then a task that merely
/// ran beside the cause has been told apart, since suspects are never tried together. With six
/// crashing tasks on 66 workers 18 runs of other tasks are lost, compared with 33 without isolation
/// and 36 where suspects share a worker.
pub(super) const ISOLATE_AFTER_EARLY: u32 = 2;
/// Consecutive crashes of any kind, at least one of them early, from which a task is tried in
/// isolation. Late crashes alone do not delay a task, since a trial of 1 s cannot reproduce them.
/// After three power failures in 24 s, with 180 long-running tasks on 66 workers, all of them run
/// again within 8 s; isolating each of them took 91 s.
const ISOLATE_AFTER: u32 = 3;
/// Concurrent trials of a job, and how many each passed trial adds. The tasks of a step are alike:
/// if one crashes its worker, others may too, and each costs a worker; if some do not, the others
/// should not wait for a trial. Of 30 long-running tasks lost just after their start, 20 were
/// running after 9 s with a fixed limit of four, 12 where workers held their polls; with the
/// increase all were.
const JOB_TRIALS: usize = 4;
/// Concurrent isolated trials of a job, and how many each passed trial adds.
const ISOLATED_JOB_TRIALS: usize = 1;
/// Once all trials of a job are on unreachable workers that have not answered for this long, in
/// milliseconds, more of its suspects are tried, although these workers are declared lost only when
/// their leases have expired: a job must not stand still for longer than 3 s.
const MAX_SILENCE: u64 = 2_500;
/// Workers per isolated trial in the cell; one is always allowed. The capacity reserved for a trial
/// is not available to others. If as many trials crash their workers at once, that alone does not
/// look like a power failure of the cell.
const WORKERS_PER_TRIAL: usize = 5;
/// Maximum number of workers that are polled often because a trial may begin there.
const MAX_WATCHED: usize = 8;
/// Cost of a worker for an isolated trial that has not answered within [`FRESH_MS`], in millicores:
/// if it is lost, that may have happened before the start.
const STALE_COST: u64 = 50_000;
/// Time in milliseconds; see [`STALE_COST`].
const FRESH_MS: u64 = 300;
/// Cost of a worker for a trial whose machine was lost lately, in millicores: if it is lost
/// again, that may be the machine.
const LOST_BEFORE_COST: u64 = 50_000;
/// Cost of another new run on the worker of an isolated trial, in millicores: a crash would make
/// its task a suspect as well.
const NEW_RUN_COST: u64 = 100_000;

/// How strongly a task is suspected of crashing its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Suspicion {
    /// Not suspected.
    None,
    /// Several workers crashed under it, but not at its start: it is placed where a crash costs
    /// least.
    Late,
    /// It is not tried on a worker with another suspect.
    Shared,
    /// It is tried where a crash costs least, and nothing else starts on that worker.
    Alone,
}

impl Suspicion {
    /// True if the task's next run is a trial.
    pub const fn needs_trial(self) -> bool {
        matches!(self, Suspicion::Shared | Suspicion::Alone)
    }

    /// True if several workers crashed under the task: it is placed where a crash costs least.
    pub const fn is_risky(self) -> bool {
        matches!(self, Suspicion::Late | Suspicion::Alone)
    }
}

/// A run of a suspected task that has not been reported for long enough.
#[derive(Debug)]
pub(super) struct Trial {
    key: TaskKey,
    run: u64,
    suspicion: Suspicion,
    /// When the start was decided, on the owner's clock.
    since: u64,
}

impl Trial {
    /// The task, if it is tried in isolation.
    pub(super) fn isolated(&self) -> Option<&TaskKey> {
        (self.suspicion == Suspicion::Alone).then_some(&self.key)
    }
}

impl Cell {
    /// How strongly a task is suspected.
    pub(crate) fn suspicion(&self, id: &Id, place: usize) -> Suspicion {
        let Some(job) = self.jobs.get(id) else {
            return Suspicion::None;
        };
        let crashes = job.progress.tasks[place].crashes;
        if crashes.early == 0 && crashes.all >= ISOLATE_AFTER {
            Suspicion::Late
        } else if crashes.early == 0 {
            Suspicion::None
        } else if crashes.early >= ISOLATE_AFTER_EARLY || crashes.all >= ISOLATE_AFTER {
            Suspicion::Alone
        } else {
            Suspicion::Shared
        }
    }

    /// True if the task may not start yet, because of its crashes or the trials of its job.
    pub(crate) fn is_start_blocked(&self, id: &Id, place: usize) -> bool {
        if self.has_task_over_limit(id) || self.is_delayed(id, place) {
            return true;
        }
        let suspicion = self.suspicion(id, place);
        if !suspicion.needs_trial() {
            return self.has_unpersisted_crashes(id, place);
        }
        let running_trials = self.open_job_trials(id);
        if suspicion == Suspicion::Shared {
            return running_trials >= self.max_job_trials(id) || self.has_isolated_suspect(id);
        }
        self.has_unpersisted_crashes(id, place)
            || self.is_unweighed(id, place)
            || running_trials >= ISOLATED_JOB_TRIALS * (1 + self.passed_trials(id))
            || self.isolated_trials() >= self.max_isolated_trials()
    }

    /// True if a crash under the task is still to be weighed: it may prove that the task crashes its
    /// workers.
    pub(crate) fn is_unweighed(&self, id: &Id, place: usize) -> bool {
        let job = id.clone();
        let key = TaskKey { job, place };
        self.crashes.evidence.is_awaiting(&key) || self.crashes.unobserved.is_awaiting(&key)
    }

    /// Chooses the workers on which suspects may be tried in isolation next, if any suspect needs
    /// that soon. They are polled often, so that they are known to be alive when a trial begins.
    pub(super) fn watch_workers(&mut self, now: u64) {
        self.crashes.watched.clear();
        if !self.crashes.evidence.has_recent() || !self.has_isolated_suspects() {
            return;
        }
        let workers = self.workers.iter();
        let usable = workers.filter(|(_, worker)| worker.is_schedulable(now) && !worker.has_trial);
        let mut usable: Vec<_> = usable
            .map(|(id, worker)| (crash_cost(worker) + self.lost_before_cost(worker), id))
            .collect();
        usable.sort_unstable();
        usable.truncate(self.max_isolated_trials().min(MAX_WATCHED));
        let ids = usable.into_iter().map(|(_, id)| id.clone());
        self.crashes.watched = ids.collect();
    }

    /// Cost of an isolated trial on the worker, in millicores.
    pub(crate) fn trial_cost(&self, worker: &Worker, now: u64) -> u64 {
        let heard = worker.clock.map_or(0, |clock| clock.at);
        let is_stale = now > heard + FRESH_MS;
        let stale_cost = if is_stale { STALE_COST } else { 0 };
        crash_cost(worker) + self.lost_before_cost(worker) + stale_cost
    }

    /// Additional cost of any trial on the worker, in millicores.
    pub(crate) fn lost_before_cost(&self, worker: &Worker) -> u64 {
        let past = &self.crashes.losses.past;
        let was_lost = past.of_machine(&worker.entry.address) > 0;
        if was_lost { LOST_BEFORE_COST } else { 0 }
    }

    /// True if a suspect is to be tried in isolation, at once or when its worker is proven lost.
    fn has_isolated_suspects(&self) -> bool {
        let mut jobs = self.jobs.iter();
        jobs.any(|(id, job)| {
            let mut suspects = job.suspects.iter();
            suspects.any(|&place| self.suspicion(id, place) == Suspicion::Alone)
        })
    }

    /// Maximum number of isolated trials in the cell.
    fn max_isolated_trials(&self) -> usize {
        (self.workers.len() / WORKERS_PER_TRIAL).max(1)
    }

    /// Number of isolated trials whose outcome is open. That of a trial on an unreachable worker is
    /// not, although the worker may be declared lost only 4.9 s later.
    fn isolated_trials(&self) -> usize {
        let trials = self.crashes.trials.iter();
        let is_counted = |(id, trial): &(&Arc<str>, &Trial)| {
            let worker = self.workers.get(*id);
            trial.suspicion == Suspicion::Alone
                && worker.is_some_and(|worker| !worker.is_unreachable())
        };
        trials.filter(is_counted).count()
    }

    /// True if a suspect is being tried on a worker.
    pub(crate) fn has_trial(&self, id: &str) -> bool {
        self.crashes.trials.contains_key(id)
    }

    /// True if several workers crashed under a task and the crashes are not persisted yet. The task
    /// must not start before: the next owner has to know about these crashes.
    pub(crate) fn has_unpersisted_crashes(&self, id: &Id, place: usize) -> bool {
        self.jobs.get(id).is_some_and(|job| {
            let crashes = job.progress.tasks[place].crashes;
            job.unpersisted_crashes.contains(&place)
                && (crashes.early >= ISOLATE_AFTER_EARLY || crashes.all >= ISOLATE_AFTER)
        })
    }

    /// Number of tasks of a job in a trial.
    pub(crate) fn job_trials(&self, id: &Id) -> usize {
        let trials = self.crashes.trials.values();
        trials.filter(|trial| trial.key.job == *id).count()
    }

    /// Number of tasks of a job in a trial, for its limits; 0 if the outcome of all of them is as
    /// good as known, see [`MAX_SILENCE`].
    fn open_job_trials(&self, id: &Id) -> usize {
        let trials = self.crashes.trials.iter();
        let of_job = trials.filter(|(_, trial)| trial.key.job == *id);
        let (mut count, mut silent) = (0, 0);
        for (worker, _) in of_job {
            count += 1;
            silent += usize::from(self.is_long_silent(worker));
        }
        if count == silent { 0 } else { count }
    }

    /// True if a worker is unreachable and has not answered for so long that suspects do not wait
    /// for the proof that it is lost.
    fn is_long_silent(&self, id: &str) -> bool {
        let worker = self.workers.get(id);
        let worker = worker.filter(|worker| worker.is_unreachable());
        let clock = worker.and_then(|worker| worker.clock);
        clock.is_some_and(|clock| self.last_pass >= clock.at + MAX_SILENCE)
    }

    /// Number of tasks in a trial, and the age of the oldest trial in milliseconds.
    pub(crate) fn trials(&self, now: u64) -> (usize, u64) {
        let trials = self.crashes.trials.values();
        let oldest = trials.map(|trial| trial.since).min();
        let age = oldest.map_or(0, |since| now.saturating_sub(since));
        (self.crashes.trials.len(), age)
    }

    /// True if a task of the job needs an isolated trial. It goes first, since it may fail the job
    /// before other tasks cost a worker each. Tasks that no worker can take do not count: their
    /// rack may be gone for good. Nor do members of a gang that cannot start, and tasks on workers
    /// that have been silent for long.
    fn has_isolated_suspect(&self, id: &Id) -> bool {
        self.jobs.get(id).is_some_and(|job| {
            let mut places = job.suspects.difference(&job.unplaceable);
            places.any(|&place| {
                let phase = &job.progress.tasks[place].phase;
                let is_silent = matches!(phase, Phase::Placed(at) if self.is_long_silent(at));
                let is_waiting = is_silent || self.is_long_delayed(id, place);
                !is_waiting && self.suspicion(id, place) == Suspicion::Alone
            })
        })
    }

    /// Notes that a task cannot start for now, if it is a suspect.
    pub(crate) fn mark_unplaceable(&mut self, id: &Id, place: usize) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.suspects.contains(&place)
        {
            job.unplaceable.insert(place);
        }
    }

    /// Notes that the ready suspects among these tasks cannot start for now.
    pub(crate) fn mark_suspects_unplaceable(&mut self, id: &Id, places: Range<usize>) {
        if let Some(job) = self.jobs.get_mut(id) {
            let suspects = job.suspects.range(places);
            let waiting = suspects.filter(|place| job.ready.contains(place));
            job.unplaceable.extend(waiting);
        }
    }

    /// True if a task with this suspicion may start on a worker, which must not run another trial.
    pub(crate) fn allows_trial(&self, id: &Arc<str>, suspicion: Suspicion) -> bool {
        !suspicion.needs_trial() || !self.crashes.trials.contains_key(id)
    }

    /// True if a worker is reserved for an isolated trial, so that nothing else may start there.
    pub(crate) fn is_reserved_for_trial(&self, id: &Arc<str>) -> bool {
        let trial = self.crashes.trials.get(id);
        trial.is_some_and(|trial| trial.suspicion == Suspicion::Alone)
    }

    /// Begins a trial if the task that starts on the worker is suspected.
    pub(crate) fn begin_trial(&mut self, id: &Arc<str>, key: TaskKey, run: u64, now: u64) {
        let suspicion = self.suspicion(&key.job, key.place);
        if !suspicion.needs_trial() {
            return;
        }
        log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id, run, suspicion:? = suspicion; "Trial of a suspected task has started.");
        let trial = Trial {
            key,
            run,
            suspicion,
            since: now,
        };
        self.crashes.trials.insert(id.clone(), trial);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.has_trial = true;
        }
    }

    /// Ends the trial of a task on a worker. Returns false if there was none.
    pub(super) fn end_trial(&mut self, id: &Arc<str>, key: &TaskKey) -> bool {
        let trial = self.crashes.trials.get(id);
        if trial.is_none_or(|trial| trial.key != *key) {
            return false;
        }
        log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id; "Trial of a suspected task has ended.");
        self.crashes.trials.remove(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.changed = true;
            worker.has_trial = false;
        }
        true
    }

    /// Ends the trial of a task whose worker survived. Each such trial allows more trials of the
    /// job.
    pub(crate) fn complete_trial(&mut self, id: &Arc<str>, key: &TaskKey) {
        if !self.end_trial(id, key) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.passed_trials += 1;
        }
    }

    /// Maximum number of concurrent trials of a job.
    fn max_job_trials(&self, id: &Id) -> usize {
        JOB_TRIALS * (1 + self.passed_trials(id))
    }

    /// Trials of a job that have passed since the last early crash under a task of it.
    fn passed_trials(&self, id: &Id) -> usize {
        self.jobs.get(id).map_or(0, |job| job.passed_trials)
    }

    /// Ends trials whose run has ended or whose worker is gone.
    pub(crate) fn end_stale_trials(&mut self) {
        let trials = &self.crashes.trials;
        let is_stale = |(id, trial): &(&Arc<str>, &Trial)| {
            let slot = self.slot(id, &trial.key);
            slot.is_none_or(|slot| slot.run != trial.run)
        };
        let stale = trials.iter().filter(is_stale);
        let stale: Vec<_> = stale
            .map(|(id, trial)| (id.clone(), trial.key.clone()))
            .collect();
        for (id, key) in stale {
            self.end_trial(&id, &key);
        }
    }
}

/// Cost of a crash of the worker, in millicores.
pub(crate) fn crash_cost(worker: &Worker) -> u64 {
    let new_runs = worker.slots.values().filter(|slot| worker.is_early(slot));
    worker.reserved.cpu + worker.best_effort_cpu + new_runs.count() as u64 * NEW_RUN_COST
}
