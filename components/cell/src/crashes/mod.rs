//! Crash attribution: finds and fails tasks that crash their workers.
//!
//! A crashed worker reports no ends, so no report names the task that caused the crash. The owner
//! knows the tasks on the worker and how long each run was reported. A task is suspected if its
//! worker crashes before the run has been reported for [`EARLY_MS`]; suspicion grows with
//! consecutive crashes. A suspected task gets a trial on a worker where a crash costs little, never
//! together with another suspect, so that the next crash tells them apart. A run reported for
//! longer clears its task. A loss correlated with the loss of many other workers is attributed to
//! power or network and counts as a late crash. If a worker whose leases had expired returns, its
//! crash is revoked.
//!
//! The number of crashes proves nothing, since workers are also lost for other reasons. Each crash
//! is weighed by how likely it was by chance, see [`evidence`]. Once there is enough evidence
//! against a task its job fails; a long-running task is started again, further apart each time.

mod evidence;
mod index;
mod losses;
mod outage;
mod past_losses;
#[cfg(test)]
mod tests;
mod trial;
mod unobserved;

pub(crate) use {
    evidence::start_spread,
    losses::Losses,
    trial::{Suspicion, crash_cost},
};

use {
    self::{losses::Loss, outage::Outage},
    crate::{
        cell::Cell,
        run_log::RUNS_PER_LINE,
        slot::{Slot, Stage},
        worker::{TaskKey, Worker},
    },
    job::Id,
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// A run reported for this long, in milliseconds, did not crash its worker by starting. Workers
/// with serving tasks are polled every half second, so a healthy run is reported at least once by
/// then.
const EARLY_MS: u64 = 1_000;
/// A run reported for this long, in milliseconds, clears its task of all earlier crashes: ten times
/// the duration of most tasks.
const STABLE_MS: u64 = 30_000;
/// Early crashes are counted up to this number, from which the task is tried in isolation. Older
/// builds fail a job at the next one.
const MAX_EARLY_COUNT: u32 = trial::ISOLATE_AFTER_EARLY;
/// Crashes of any kind are counted up to this number. Older builds fail a job at the next one.
const MAX_COUNT: u32 = 4;
/// Time, in milliseconds, in which the crash of a worker that was lost through expired leases can
/// be revoked. The longest network partitions in the requirements last about ten seconds.
const REVOCABLE_MS: u64 = 60_000;

/// Crash state of a cell, besides the counts in the record of each task.
#[derive(Debug, Default)]
pub(crate) struct CrashTracker {
    /// Trials of suspected tasks, by worker.
    trials: HashMap<Arc<str>, trial::Trial>,
    /// Recent losses of workers.
    pub losses: Losses,
    /// Crashes of workers that may return, by worker.
    provisional: HashMap<Arc<str>, ProvisionalCrashes>,
    /// What the crashes tell against the tasks.
    evidence: evidence::Evidence,
    /// Workers that were lost before this owner heard them.
    pub unobserved: unobserved::Unobserved,
    /// Tasks that surely crash their workers, and whose jobs are to fail or whose next starts are
    /// to be delayed.
    over_limit: Vec<TaskKey>,
    /// Workers on which a suspect may be tried in isolation next.
    watched: HashSet<Arc<str>>,
}

impl CrashTracker {
    /// True if a suspect may be tried in isolation on the worker next.
    pub fn is_watched(&self, id: &str) -> bool {
        self.watched.contains(id)
    }
}

/// Crashes counted for a worker that may be alive.
#[derive(Debug)]
struct ProvisionalCrashes {
    /// When they were counted.
    at: u64,
    /// The tasks, and for each whether the crash was early.
    tasks: Vec<(TaskKey, bool)>,
    /// By how much the evidence changed, in tenths of a bit.
    evidence: Vec<(TaskKey, i32)>,
}

impl Cell {
    /// Counts a crash of a worker whose incarnation is proven over against its tasks.
    pub(crate) fn record_crash(&mut self, id: &Arc<str>, now: u64) {
        self.crashes.provisional.remove(id);
        self.attribute_crash(id, now);
    }

    /// Counts a crash of a worker that is unreachable and whose leases have expired; revoked if the
    /// worker returns.
    pub(crate) fn record_presumed_crash(&mut self, id: &Arc<str>, now: u64) {
        // If the owner itself polled too late, the expiry is no evidence of a crash.
        if !self.workers.get(id).is_some_and(Worker::is_unreachable) {
            return;
        }
        let tasks = self.attribute_crash(id, now);
        if !tasks.is_empty() {
            let provisional = ProvisionalCrashes {
                at: now,
                tasks,
                evidence: Vec::new(),
            };
            self.crashes.provisional.insert(id.clone(), provisional);
        }
    }

    /// Counts a crash against the tasks of a worker that may have caused it. Returns these, and for
    /// each whether the crash was early.
    fn attribute_crash(&mut self, id: &Arc<str>, now: u64) -> Vec<(TaskKey, bool)> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        if worker.slots.is_empty() {
            self.crashes.losses.record(worker, now);
            return Vec::new();
        }
        let isolated = self.crashes.trials.get(id).and_then(trial::Trial::isolated);
        let losses = &mut self.crashes.losses;
        let correlation = losses.correlated_with(&self.workers, worker, now);
        let mut tasks = Vec::new();
        for (key, slot) in &worker.slots {
            let is_ruled_out = if isolated == Some(key) {
                correlation.rules_out_isolated(&key.job)
            } else {
                correlation.rules_out(&key.job)
            };
            tasks.push((key.clone(), worker.is_early(slot) && !is_ruled_out));
        }
        losses.record(worker, now);
        if worker.left_cleanly() {
            return Vec::new();
        }
        let loss = Loss::of(worker, now);
        tasks.sort();
        self.retain_likely_causes(&mut tasks);
        tasks.retain(|(key, is_early)| {
            let is_counted = self.count_crash(key, *is_early);
            if is_counted {
                self.log_counted_crash(id, key, *is_early, now);
            }
            is_counted
        });
        let keys = tasks.iter().map(|(key, _)| key);
        let suspects = keys.filter_map(|key| self.suspect(id, key, &tasks, now));
        let suspects = suspects.collect();
        self.add_unweighed(loss, suspects, now);
        tasks
    }

    /// Logs what is known of a run whose worker was lost: whether it had begun, and within how many
    /// milliseconds before `now` the worker has crashed.
    fn log_counted_crash(&self, id: &Arc<str>, key: &TaskKey, is_early: bool, now: u64) {
        let (Some(worker), Some(slot)) = (self.workers.get(id), self.slot(id, key)) else {
            return;
        };
        let Outage { from, until } = Outage::of(worker, now);
        let (alive, silent) = (now.saturating_sub(from), now.saturating_sub(until));
        let age = worker.confirmed_runtime(slot);
        let others = self.crashes.losses.recent.len().saturating_sub(1);
        log::warn!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id, run = slot.run, is_early, confirmed = !slot.is_sent(), age:? = age, alive, silent, others; "Crash of a worker was counted against a task.");
    }

    /// Removes the tasks that probably did not cause the crash. `tasks` has the tasks of the worker,
    /// and for each whether the crash was early.
    fn retain_likely_causes(&self, tasks: &mut Vec<(TaskKey, bool)>) {
        let is_isolated = |(key, is_early): &(TaskKey, bool)| {
            *is_early && self.suspicion(&key.job, key.place) == Suspicion::Alone
        };
        let explains = |(key, is_early): &(TaskKey, bool)| *is_early && self.is_suspect(key);
        if tasks.iter().any(is_isolated) {
            // A task in an isolated trial explains the crash, even for runs that started a moment
            // earlier. Without this rule, and with workers that report every 2 s, a long-running
            // task on one of two workers failed after five crashes caused by other suspects.
            tasks.retain(is_isolated);
        } else if tasks.iter().any(explains) {
            // A suspect that has just started explains the crash; older runs on the worker are not
            // counted. Without this rule a task of several seconds failed after five crashes caused
            // by other suspects, within 23 s.
            tasks.retain(|(_, is_early)| *is_early);
        }
    }

    /// True if the task is already suspected.
    fn is_suspect(&self, key: &TaskKey) -> bool {
        self.suspicion(&key.job, key.place) != Suspicion::None
    }

    /// Counts a crash against a task. Returns false if the job is unknown or has ended.
    fn count_crash(&mut self, key: &TaskKey, is_early: bool) -> bool {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        if job.progress.state.is_final() {
            return false;
        }
        let Some(task) = job.progress.tasks.get_mut(key.place) else {
            return false;
        };
        let crashes = &mut task.crashes;
        crashes.early = (crashes.early + u32::from(is_early)).min(MAX_EARLY_COUNT);
        crashes.all = (crashes.all + 1).min(MAX_COUNT);
        job.suspects.insert(key.place);
        job.unpersisted_crashes.insert(key.place);
        if is_early {
            job.passed_trials = 0;
            log::warn!(target: "cell", job = key.job.as_str(), place = key.place, early = task.crashes.early, all = task.crashes.all; "Worker crashed soon after the task started; the task is suspected.");
        }
        self.dirty.insert(key.job.clone());
        true
    }

    /// Revokes the crash of a worker that reports again.
    pub(crate) fn revoke_crash(&mut self, id: &Arc<str>) {
        let Some(provisional) = self.crashes.provisional.remove(id) else {
            return;
        };
        log::info!(target: "cell", worker = &**id, tasks = provisional.tasks.len(); "Worker that had been declared lost has returned; crashes counted against its tasks are revoked.");
        self.crashes.evidence.revoke(id);
        for (key, change) in provisional.evidence {
            let Some(job) = self.jobs.get_mut(&key.job) else {
                continue;
            };
            let crashes = &mut job.progress.tasks[key.place].crashes;
            crashes.evidence = crashes.evidence.saturating_add_signed(-change);
            crashes.weighed = crashes.weighed.saturating_sub(1);
            if crashes.evidence < evidence::PROOF {
                job.delayed.remove(&key.place);
            }
        }
        for (key, is_early) in provisional.tasks {
            let Some(job) = self.jobs.get_mut(&key.job) else {
                continue;
            };
            let crashes = &mut job.progress.tasks[key.place].crashes;
            crashes.early = crashes.early.saturating_sub(u32::from(is_early));
            crashes.all = crashes.all.saturating_sub(1);
            if crashes.all == 0 {
                *crashes = job::Crashes::default();
                job.suspects.remove(&key.place);
            }
            self.dirty.insert(key.job);
        }
    }

    /// Notes that a run is reported and therefore has not crashed its worker.
    ///
    /// Its trial ends, even if the task is no longer suspected. Otherwise the trial would block
    /// other suspects of the job, and all starts reserved by it, for as long as the run lasts: one
    /// of nine long-running tasks was not running for 39 s because of four trials whose crashes had
    /// been revoked.
    pub(crate) fn record_survival(&mut self, id: &Arc<str>, key: &TaskKey, now: u64) {
        let is_suspected = self
            .jobs
            .get(&key.job)
            .is_some_and(|job| job.progress.tasks[key.place].crashes.all > 0);
        if !is_suspected && !self.crashes.trials.contains_key(id) {
            return;
        }
        let Some(slot) = self
            .slot(id, key)
            .filter(|slot| slot.has_run(EARLY_MS, now))
        else {
            return;
        };
        let is_stable = slot.has_run(STABLE_MS, now);
        self.complete_trial(id, key);
        if !is_suspected {
            return;
        }
        if is_stable {
            self.reset_crashes(key);
        } else {
            self.reset_early_crashes(key);
        }
    }

    /// Clears the early crashes of a task whose run has passed [`EARLY_MS`].
    fn reset_early_crashes(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let crashes = &mut job.progress.tasks[key.place].crashes;
        if crashes.early > 0 {
            log::info!(target: "cell", job = key.job.as_str(), place = key.place, early = crashes.early; "Suspected task is running; its early crashes are cleared.");
            crashes.early = 0;
            // The task may crash its workers later: one more crash is needed in any case.
            crashes.evidence = crashes
                .evidence
                .min(evidence::PROOF - evidence::MAX_EVIDENCE);
            self.dirty.insert(key.job.clone());
        }
    }

    /// Clears all crashes of a task.
    pub(crate) fn reset_crashes(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(task) = job.progress.tasks.get_mut(key.place) else {
            return;
        };
        if task.crashes.all > 0 && !job.progress.state.is_final() {
            task.crashes = job::Crashes::default();
            job.delayed.remove(&key.place);
            job.suspects.remove(&key.place);
            self.dirty.insert(key.job.clone());
        }
    }

    /// Fails the jobs of tasks that surely crash their workers. Long-running tasks are started
    /// again however they end, so their next start is delayed instead. `wall` is in milliseconds
    /// since 1970, `now` on the owner's clock.
    pub(crate) fn fail_over_limit(&mut self, wall: u64, now: u64) {
        for key in std::mem::take(&mut self.crashes.over_limit) {
            // The crash of its last worker may have been revoked.
            if !self.is_over_limit(&key) || self.delay_restart(&key, now) {
                continue;
            }
            let crashes = self
                .jobs
                .get(&key.job)
                .map(|job| job.progress.tasks[key.place].crashes);
            let crashes = crashes.unwrap_or_default();
            log::warn!(target: "cell", job = key.job.as_str(), place = key.place, early = crashes.early, all = crashes.all, evidence = crashes.evidence; "Task reached its crash limit; its job fails.");
            self.finish(&key.job, job::State::Failed, now, wall);
        }
    }

    /// Delays the next start of a long-running task that surely crashes its workers. Returns false
    /// if the task is not long-running.
    fn delay_restart(&mut self, key: &TaskKey, now: u64) -> bool {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        if !job.progress.step(key.place).lasting {
            return false;
        }
        let crashes = job.progress.tasks[key.place].crashes;
        let (evidence, delay) = (crashes.evidence, evidence::restart_delay(crashes));
        job.delayed.insert(key.place, now + delay);
        log::warn!(target: "cell", job = key.job.as_str(), place = key.place, evidence, delay; "Long-running task crashes its workers; its next start is delayed.");
        true
    }

    /// True if the next start of a task is delayed since it crashes its workers, or fails again and
    /// again.
    pub(crate) fn is_delayed(&self, id: &Id, place: usize) -> bool {
        self.start_delay(id, place) > 0
    }

    /// True if the next start of a task is delayed for longer than that of an isolated trial.
    fn is_long_delayed(&self, id: &Id, place: usize) -> bool {
        self.start_delay(id, place) > evidence::TRIAL_SPREAD_MS
    }

    /// For how much longer the next start of a task is delayed, in milliseconds; 0 if it is not.
    fn start_delay(&self, id: &Id, place: usize) -> u64 {
        let until = self.jobs.get(id).and_then(|job| job.delayed.get(&place));
        until.map_or(0, |until| until.saturating_sub(self.last_pass))
    }

    /// Queues the tasks of a resumed job that reached a crash limit under a previous owner.
    pub(crate) fn check_crash_limits(&mut self, id: &Id) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for &place in &job.suspects {
            let job = id.clone();
            let key = TaskKey { job, place };
            if self.is_over_limit(&key) {
                self.crashes.over_limit.push(key);
            }
        }
    }

    /// True if the job has a task that reached a crash limit.
    pub(crate) fn has_task_over_limit(&self, id: &Id) -> bool {
        self.crashes.over_limit.iter().any(|key| key.job == *id)
    }

    /// True if a task has reached a crash limit.
    fn is_over_limit(&self, key: &TaskKey) -> bool {
        self.jobs.get(&key.job).is_some_and(|job| {
            let crashes = job.progress.tasks[key.place].crashes;
            crashes.evidence >= evidence::PROOF
        })
    }

    /// Drops losses and revocable crashes that are too old.
    pub(crate) fn expire_crash_state(&mut self, now: u64) {
        self.crashes.losses.expire(now);
        self.weigh_crashes(now);
        self.watch_workers(now);
        self.crashes
            .provisional
            .retain(|_, provisional| now < provisional.at + REVOCABLE_MS);
    }

    /// Updates the losses after a worker became unreachable or reachable, or its runs changed.
    pub(crate) fn refresh_loss(&mut self, id: &str) {
        if let Some(worker) = self.workers.get(id) {
            self.crashes.losses.refresh(worker);
        }
    }

    /// Index operations and workers scanned to correlate losses, as a measure of work.
    pub fn loss_lookups(&self) -> u64 {
        self.crashes.losses.lookups()
    }

    /// Logs a lost worker: its runs, and the time since its last report.
    pub(crate) fn log_lost_worker(&self, id: &Arc<str>, cause: &str, now: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.slots.is_empty() {
            return;
        }
        let report_age = worker.clock.map(|clock| now.saturating_sub(clock.at));
        let mut runs: Vec<String> = worker
            .slots
            .iter()
            .map(|(key, slot)| format_run(worker, key, slot))
            .collect();
        runs.sort();
        runs.truncate(RUNS_PER_LINE);
        let tasks = runs.join(" ");
        log::warn!(target: "cell", worker = &**id, cause, heard:? = report_age, leaving = worker.entry.leaving, listed = worker.listed, failing = worker.is_unreachable(), count = worker.slots.len(), tasks = tasks.as_str(); "Worker was lost with its tasks.");
    }
}

/// Formats a run as `JOB/PLACE.RUN:AGE`. The age is the time, in milliseconds, for which the run
/// was known to run at the worker's last report, or `new` if no report listed it.
fn format_run(worker: &Worker, key: &TaskKey, slot: &Slot) -> String {
    let age = match worker.confirmed_runtime(slot) {
        Some(age) => age.to_string(),
        None => "new".to_owned(),
    };
    format!("{}/{}.{}:{age}", key.job.as_str(), key.place, slot.run)
}

impl Worker {
    /// How long a run was known to run at the worker's last report, in milliseconds; `None` if no
    /// report listed it.
    fn confirmed_runtime(&self, slot: &Slot) -> Option<u64> {
        let last_report = self.clock?.at;
        match slot.stage {
            Stage::Sent { .. } => None,
            Stage::Running { at } => last_report.checked_sub(at).filter(|&age| age > 0),
        }
    }

    /// True if the worker left and did not crash: it announced that it leaves, went down for
    /// maintenance, or reported after its entry disappeared.
    fn left_cleanly(&self) -> bool {
        let served_on = self
            .unlisted_since
            .zip(self.clock)
            .is_some_and(|(since, clock)| clock.at > since);
        self.entry.leaving || self.draining || served_on
    }
}
