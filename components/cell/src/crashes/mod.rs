//! Tasks that crash their workers.
//!
//! A worker that crashes lists no ends, so nothing it says tells which of its tasks did it. What is known is which
//! tasks it held, and for how long each was known to run. A task is suspected when its worker crashes before the run
//! has been listed for [`EARLY`], and more so each time this happens to it in a row. A suspect is tried where few can
//! come to harm, and never beside another one, so that the next crash tells them apart; a run that is listed for
//! longer clears its task. After [`GIVE_UP_EARLY`] crashes in a row the task is given up, and its job has failed.
//!
//! What is lost together with many other workers is put down to power or a cut, and counts as a late crash: more of
//! these are needed, but those too are bounded. What a worker held that comes back after it was given up for its
//! leases was no crash, and is taken back.

mod index;
mod lost;
mod silence;
#[cfg(test)]
mod tests;
mod trial;

pub(crate) use {
    lost::Losses,
    trial::{Suspicion, harm},
};

use {
    crate::{
        cell::Cell,
        run_log::RUNS_PER_LINE,
        slot::{Slot, Stage},
        worker::{TaskKey, Worker},
    },
    job::Id,
    std::{collections::HashMap, sync::Arc},
};

/// A run that has been listed for this long has not crashed its worker by starting, in milliseconds. Workers that
/// serve are polled each half second, so that a sound run has been listed at least once by then.
const EARLY: u64 = 1_000;
/// A run that has been listed for this long clears its task of all earlier crashes, in milliseconds: ten times as long
/// as most tasks run.
const SOUND: u64 = 30_000;
/// Early crashes in a row after which a task is given up. Two can be two losses of power, or a crash beside another
/// suspect and one by chance, and must fail no job that can be done. Each more costs a worker: with six such tasks on 66
/// workers 12 crash with two, 18 with three, 30 with five (and 174 in 60 s where nothing is counted).
const GIVE_UP_EARLY: u32 = 3;
/// Crashes in a row, early or late, after which a task is given up, in any case: it may not start three times more once
/// three workers have crashed under it.
const GIVE_UP_ALL: u32 = 5;
/// A worker that was given up for its leases is not expected back after this time, in milliseconds: the longest cuts
/// that the sheets name last some ten seconds.
const BACK_WITHIN: u64 = 60_000;

/// What is known of crashes, beside what each task has of its own.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Suspects that run and have not been listed for long enough, by worker.
    trials: HashMap<Arc<str>, trial::Trial>,
    /// Workers that were lost a short while ago.
    pub losses: Losses,
    /// What was counted against tasks for workers that may come back, by worker.
    doubted: HashMap<Arc<str>, Doubted>,
    /// Tasks that are to be given up.
    condemned: Vec<TaskKey>,
}

/// Crashes that were counted for a worker which may be alive.
#[derive(Debug)]
struct Doubted {
    /// When they were counted.
    at: u64,
    /// The tasks, and whether the crash was an early one.
    tasks: Vec<(TaskKey, bool)>,
}

impl Cell {
    /// Counts the crash of a worker, whose life is proven to be over, against what it held.
    pub(crate) fn suspect_crashed(&mut self, id: &Arc<str>, now: u64) {
        self.crashes.doubted.remove(id);
        self.suspect(id, now);
    }

    /// The same for a worker that cannot be reached and whose leases are over, as long as it does not come back.
    pub(crate) fn suspect_lapsed(&mut self, id: &Arc<str>, now: u64) {
        // Where this owner was late to ask, nothing speaks for a crash.
        if !self.workers.get(id).is_some_and(Worker::is_unreachable) {
            return;
        }
        let tasks = self.suspect(id, now);
        if !tasks.is_empty() {
            let doubted = Doubted { at: now, tasks };
            self.crashes.doubted.insert(id.clone(), doubted);
        }
    }

    /// Counts a crash against what a worker holds. Returns the tasks, and for which of them it was an early one.
    fn suspect(&mut self, id: &Arc<str>, now: u64) -> Vec<(TaskKey, bool)> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        if worker.slots.is_empty() {
            self.crashes.losses.note(worker, now);
            return Vec::new();
        }
        let losses = &mut self.crashes.losses;
        let together = losses.lost_with(&self.workers, worker, now);
        let mut held = Vec::new();
        for (key, slot) in &worker.slots {
            let is_early = worker.is_early(slot) && !together.clears(&key.job);
            held.push((key.clone(), is_early));
        }
        losses.note(worker, now);
        if worker.has_left() {
            return Vec::new();
        }
        held.sort();
        self.clear_bystanders(&mut held);
        held.retain(|(key, is_early)| self.count(key, *is_early));
        held
    }

    /// Of the tasks that a worker held, and for which of them the crash was an early one, leaves those that may have caused
    /// it.
    fn clear_bystanders(&self, held: &mut Vec<(TaskKey, bool)>) {
        let is_strong = |(key, is_early): &(TaskKey, bool)| {
            *is_early && self.suspicion(&key.job, key.place) == Suspicion::Alone
        };
        let explains = |(key, is_early): &(TaskKey, bool)| *is_early && self.is_suspect(key);
        if held.iter().any(is_strong) {
            // What was tried alone explains it, also to what had started there a moment before. With workers that report
            // each 2 s a lasting task on one of two workers was given up after five crashes under others' suspects.
            held.retain(is_strong);
        } else if held.iter().any(explains) {
            // A suspect that had just started here is the better explanation: what ran beside it for longer keeps its
            // name. A task of several seconds was given up after five crashes under others' suspects, in 23 s.
            held.retain(|(_, is_early)| *is_early);
        }
    }

    /// True for a task that was suspected before.
    fn is_suspect(&self, key: &TaskKey) -> bool {
        self.suspicion(&key.job, key.place) != Suspicion::None
    }

    /// Counts one crash against a task. False when its job is not known or over.
    fn count(&mut self, key: &TaskKey, is_early: bool) -> bool {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        if job.progress.state.is_final() {
            return false;
        }
        let Some(task) = job.progress.tasks.get_mut(key.place) else {
            return false;
        };
        task.crashes.early += u32::from(is_early);
        task.crashes.all += 1;
        job.suspects.insert(key.place);
        job.crash_unpersisted = true;
        if is_early {
            job.passed_trials = 0;
            log::warn!(target: "cell", job = key.job.as_str(), place = key.place, early = task.crashes.early, all = task.crashes.all; "A worker crashed under a task that had just started.");
        }
        self.dirty.insert(key.job.clone());
        if self.is_hopeless(key) {
            self.crashes.condemned.push(key.clone());
        }
        true
    }

    /// Takes back what was counted for a worker that is heard again: it has not crashed.
    pub(crate) fn withdraw(&mut self, id: &Arc<str>) {
        let Some(doubted) = self.crashes.doubted.remove(id) else {
            return;
        };
        log::info!(target: "cell", worker = &**id, tasks = doubted.tasks.len(); "A worker that was given up is back; its tasks are suspected no longer.");
        for (key, is_early) in doubted.tasks {
            let Some(job) = self.jobs.get_mut(&key.job) else {
                continue;
            };
            let crashes = &mut job.progress.tasks[key.place].crashes;
            crashes.early = crashes.early.saturating_sub(u32::from(is_early));
            crashes.all = crashes.all.saturating_sub(1);
            if crashes.all == 0 {
                job.suspects.remove(&key.place);
            }
            self.dirty.insert(key.job);
        }
    }

    /// Takes in that a run is listed: it has not crashed its worker so far.
    ///
    /// Its trial is over with that, whatever the task is suspected of by now. A trial that went on would hold back other
    /// suspects of the job, and whatever waits for its worker, for as long as the run: one of nine lasting tasks stood
    /// still for 39 s beside four trials whose suspicion had been taken back.
    pub(crate) fn survived(&mut self, id: &Arc<str>, key: &TaskKey, now: u64) {
        let is_suspected = self
            .jobs
            .get(&key.job)
            .is_some_and(|job| job.progress.tasks[key.place].crashes.all > 0);
        if !is_suspected && !self.crashes.trials.contains_key(id) {
            return;
        }
        let Some(slot) = self.slot(id, key).filter(|slot| slot.has_run(EARLY, now)) else {
            return;
        };
        let is_sound = slot.has_run(SOUND, now);
        self.pass_trial(id, key);
        if !is_suspected {
            return;
        }
        if is_sound {
            self.absolve(key);
        } else {
            self.clear_early(key);
        }
    }

    /// A run has outlived the time in which it is suspected for having just started.
    fn clear_early(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let crashes = &mut job.progress.tasks[key.place].crashes;
        if crashes.early > 0 {
            log::info!(target: "cell", job = key.job.as_str(), place = key.place, early = crashes.early; "A suspected task runs without harm.");
            crashes.early = 0;
            self.dirty.insert(key.job.clone());
        }
    }

    /// A task has run without crashing its worker.
    pub(crate) fn absolve(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(task) = job.progress.tasks.get_mut(key.place) else {
            return;
        };
        if task.crashes.all > 0 && !job.progress.state.is_final() {
            task.crashes = job::Crashes::default();
            job.suspects.remove(&key.place);
            self.dirty.insert(key.job.clone());
        }
    }

    /// Ends the jobs of tasks that are given up. The times are since 1970 and on our clock.
    pub(crate) fn give_up(&mut self, wall: u64, now: u64) {
        for key in std::mem::take(&mut self.crashes.condemned) {
            // The worker of its last run may have come back meanwhile.
            if !self.is_hopeless(&key) {
                continue;
            }
            log::warn!(target: "cell", job = key.job.as_str(), place = key.place; "A task is given up: workers crash under it.");
            self.finish(&key.job, job::State::Failed, now, wall);
        }
    }

    /// Notes the tasks of a job that a former owner would have given up.
    pub(crate) fn condemn_known(&mut self, id: &Id) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for &place in &job.suspects {
            let job = id.clone();
            let key = TaskKey { job, place };
            if self.is_hopeless(&key) {
                self.crashes.condemned.push(key);
            }
        }
    }

    /// True for a job with a task that is to be given up.
    pub(crate) fn is_condemned(&self, id: &Id) -> bool {
        self.crashes.condemned.iter().any(|key| key.job == *id)
    }

    /// True for a task under which workers have crashed as often as it may.
    fn is_hopeless(&self, key: &TaskKey) -> bool {
        self.jobs.get(&key.job).is_some_and(|job| {
            let crashes = job.progress.tasks[key.place].crashes;
            crashes.early >= GIVE_UP_EARLY || crashes.all >= GIVE_UP_ALL
        })
    }

    /// Forgets what is too old to tell anything.
    pub(crate) fn forget_crashes(&mut self, now: u64) {
        self.crashes.losses.forget(now);
        self.crashes
            .doubted
            .retain(|_, doubted| now < doubted.at + BACK_WITHIN);
    }

    /// Takes in that a worker has fallen silent or is heard again, or that what it holds has changed.
    pub(crate) fn renew_loss(&mut self, id: &str) {
        if let Some(worker) = self.workers.get(id) {
            self.crashes.losses.renew(worker);
        }
    }

    /// How many looks at workers it took to tell which were lost together, as a measure of work.
    pub fn loss_looks(&self) -> u64 {
        self.crashes.losses.looks()
    }

    /// Tells what a worker held that is given up, and when it was last heard.
    pub(crate) fn tell_lost(&self, id: &Arc<str>, cause: &str, now: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.slots.is_empty() {
            return;
        }
        let heard = worker.clock.map(|clock| now.saturating_sub(clock.at));
        let mut held: Vec<String> = worker
            .slots
            .iter()
            .map(|(key, slot)| tell_held(worker, key, slot))
            .collect();
        held.sort();
        held.truncate(RUNS_PER_LINE);
        let tasks = held.join(" ");
        log::warn!(target: "cell", worker = &**id, cause, heard:? = heard, leaving = worker.entry.leaving, listed = worker.listed, failing = worker.is_unreachable(), count = worker.slots.len(), tasks = tasks.as_str(); "A worker is lost with its tasks.");
    }
}

/// A run on a worker as `JOB/PLACE.RUN:AGE`: for how long it was known to run when the worker was last heard, in
/// milliseconds, or `new` where it was not known to run.
fn tell_held(worker: &Worker, key: &TaskKey, slot: &Slot) -> String {
    let age = match worker.known_to_run(slot) {
        Some(age) => age.to_string(),
        None => "new".to_owned(),
    };
    format!("{}/{}.{}:{age}", key.job.as_str(), key.place, slot.run)
}

impl Worker {
    /// For how long a run was known to go on when the worker last reported, in milliseconds; `None` where no report
    /// has listed it.
    fn known_to_run(&self, slot: &Slot) -> Option<u64> {
        let heard = self.clock?.at;
        match slot.stage {
            Stage::Sent { .. } => None,
            Stage::Running { at } => heard.checked_sub(at).filter(|&age| age > 0),
        }
    }

    /// True for a worker that has left and not crashed: it had announced that, went down for its upkeep, or served
    /// on after its entry had gone.
    fn has_left(&self) -> bool {
        let served_on = self
            .unlisted_since
            .zip(self.clock)
            .is_some_and(|(since, clock)| clock.at > since);
        self.entry.leaving || self.draining || served_on
    }
}
