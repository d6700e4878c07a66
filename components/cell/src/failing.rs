//! Long-running tasks that fail again and again.
//!
//! Such a task may fail any number of times. If it fails on one worker after the other, the fault is
//! its own: its failures do not count against further workers, it leaves each of them, and it is
//! started again further apart each time.

use {
    crate::{cell::Cell, worker::TaskKey},
    std::sync::Arc,
};

/// Failures of a task belong together if each comes within this time of the one before, in
/// milliseconds.
const MEMORY_MS: u64 = 30_000;
/// A run of this length, in milliseconds, is a success, however it ends.
const SUCCESS_MS: u64 = 10_000;
/// From so many failures on the task is placed on another worker than that of the last one.
const LEAVE_AFTER: u32 = 2;
/// Number of restarts in a row that are not delayed.
const PROMPT_RESTARTS: u32 = 4;
/// The delay of the next one, in milliseconds. It doubles with each further one, at most
/// [`MAX_DOUBLINGS`] times.
const FIRST_DELAY_MS: u64 = 250;
/// The longest delay is 4 s: a long-running task must run again 6 s after its last run.
const MAX_DOUBLINGS: u32 = 4;

/// Failures of a task in a row.
#[derive(Debug)]
pub(crate) struct FailureStreak {
    count: u32,
    /// The worker of the last one.
    worker: Arc<str>,
    /// When the last one was reported, on the owner's clock.
    at: u64,
    /// They were on several workers.
    spread: bool,
}

impl FailureStreak {
    const fn new(worker: Arc<str>) -> Self {
        FailureStreak {
            count: 0,
            worker,
            at: 0,
            spread: false,
        }
    }

    /// True if the task is not to be placed on the worker if any other one is feasible.
    pub(crate) fn avoids(&self, id: &str, now: u64) -> bool {
        self.count >= LEAVE_AFTER && &*self.worker == id && now < self.at + MEMORY_MS
    }

    fn add(&mut self, id: &Arc<str>, now: u64) {
        self.count += 1;
        self.spread |= self.worker != *id;
        self.worker = id.clone();
        self.at = now;
    }

    /// The delay before the next start, in milliseconds.
    fn delay(&self) -> u64 {
        let doublings = self.count.checked_sub(PROMPT_RESTARTS + 1);
        doublings.map_or(0, |doublings| {
            FIRST_DELAY_MS << doublings.min(MAX_DOUBLINGS)
        })
    }
}

impl Cell {
    /// Records the failure of a run of a long-running task. Returns true if it does not count
    /// against the worker, since the task has just failed on another one as well.
    pub(crate) fn record_restart(&mut self, id: &Arc<str>, key: &TaskKey, now: u64) -> bool {
        let slot = self.slot(id, key);
        let is_success = slot.is_some_and(|slot| slot.has_run(SUCCESS_MS, now));
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        if !job.progress.step(key.place).lasting || job.progress.state.is_final() {
            return false;
        }
        let streak = job.failing.entry(key.place);
        let streak = streak.or_insert_with(|| FailureStreak::new(id.clone()));
        if is_success || now >= streak.at + MEMORY_MS {
            *streak = FailureStreak::new(id.clone());
        }
        streak.add(id, now);
        let (count, delay, is_excused) = (streak.count, streak.delay(), streak.spread);
        if delay > 0 {
            job.delayed.insert(key.place, now + delay);
            log::info!(target: "cell", job = key.job.as_str(), place = key.place, count, delay; "Long-running task fails wherever it runs; its next start is delayed.");
        }
        is_excused
    }
}
