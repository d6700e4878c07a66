//! Long-running tasks that wait for too long, and why a task waits. The reasons are logged once a
//! second.

use {
    crate::{
        cell::{Cell, Job},
        choose::History,
        stalled::Since,
        worker::TaskKey,
    },
    job::Phase,
    std::collections::BTreeMap,
};

/// Tasks that wait for longer than this are logged, in milliseconds: a long-running task must run
/// again 6 s after its last run, and a worker that fails is declared lost 4.9 s after its last
/// answer.
const LOG_AFTER: u64 = 6_000;
/// The maximum number of tasks logged at once, since each takes a line and a scan of all workers.
const MAX_LINES: usize = 4;

/// Why a worker cannot be given a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Obstacle {
    /// It lacks capacity, as far as is known.
    Room,
    /// It gets no work: it is not listed, has not answered, is leaving, or has just refused an
    /// order.
    Closed,
    /// The connection to its relay is saturated.
    Held,
    /// Its data hall is closed.
    Shut,
    /// It overcommits, and its capacity is unknown.
    RoomUnknown,
    /// A suspected task is being tried there alone.
    KeptAlone,
    /// It belongs to another pool.
    Pool,
    /// It lacks a label.
    Label,
    /// The task would slow down serving tasks there.
    Disturbs,
    /// It holds the maximum number of tasks of the step.
    Spread,
    /// It is faulty, or its last run has failed.
    Untrusted,
    /// The advice service has not selected it.
    Unadvised,
    /// Another suspected task is being tried there.
    Trial,
}

/// What is logged of a task that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wait {
    /// For how long, in milliseconds.
    pub waited: u64,
    /// From when that is counted.
    pub since: Since,
    /// The text of the line.
    pub message: &'static str,
}

impl Cell {
    /// Logs long-running tasks that wait for too long, starting with those of jobs that have waited
    /// longest. Returns the number of all such tasks.
    pub fn log_overdue(&self, wall: u64, now: u64) -> usize {
        let mut overdue: Vec<(u64, TaskKey)> = Vec::new();
        for (id, job) in &self.jobs {
            let Some(since) = job.waiting_since.filter(|since| wall > since + LOG_AFTER) else {
                continue;
            };
            if !job.progress.submission.spec.is_long_running() {
                continue;
            }
            for &place in &job.ready {
                let job = id.clone();
                overdue.push((since, TaskKey { job, place }));
            }
        }
        overdue.sort();
        for (_, key) in overdue.iter().take(MAX_LINES) {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let since = job.waiting_since;
            let waited = since.map_or(0, |since| wall.saturating_sub(since));
            let wait = Wait {
                waited,
                since: Since::Line,
                message: "Long-running task is overdue.",
            };
            self.log_wait(key, job, wait, now);
        }
        overdue.len()
    }

    /// True if tasks reserve less than half of the CPU of all listed workers, those included that can
    /// be given no work.
    pub(crate) fn is_mostly_free(&self) -> bool {
        let (mut total, mut used) = (0, 0);
        for worker in self.workers.values().filter(|worker| worker.listed) {
            total += worker.entry.size.cpu;
            used += worker.reserved.cpu + worker.best_effort_cpu;
        }
        used * 2 < total
    }

    /// Logs why a task waits: reasons of its own, and how many workers each obstacle excludes.
    pub(crate) fn log_wait(&self, key: &TaskKey, job: &Job, wait: Wait, now: u64) {
        let Wait {
            waited,
            since,
            message,
        } = wait;
        let starts = self.idle.get(&key.job).map_or(0, |idle| idle.starts);
        let delay = job.delayed.get(&key.place).copied();
        let delay = delay.map_or(0, |until| until.saturating_sub(now));
        let ready = job.ready.len();
        let is_queued = self.ready_jobs.contains(&job.rank);
        let must_wait = self.is_start_blocked(&key.job, key.place);
        let history = self.history(&job.rank, key.place);
        let trials = self.job_trials(&key.job);
        let cpu = job.progress.step(key.place).size.cpu;
        let is_unconfirmed = job.unconfirmed && self.recovery.is_some();
        let obstacles = self.obstacles(job, key.place, history, now);
        let free = obstacles.get(&None).copied().unwrap_or_default();
        let texts: Vec<String> = obstacles
            .iter()
            .filter_map(|(obstacle, count)| Some(format!("{:?}={count}", (*obstacle)?)))
            .collect();
        let obstacles = texts.join(" ");
        log::warn!(target: "cell", job = key.job.as_str(), place = key.place, cpu, ready, waited, since:? = since, starts, delay, line = is_queued, unsure = is_unconfirmed, suspicion:? = history.suspicion, unkept = job.unpersisted_crashes.contains(&key.place), barred = must_wait, trials, free, obstacles = obstacles.as_str(); "{message}");
    }

    /// Counts the workers by the obstacle that excludes them; workers without one are under `None`.
    fn obstacles(
        &self,
        job: &Job,
        place: usize,
        history: History,
        now: u64,
    ) -> BTreeMap<Option<Obstacle>, usize> {
        let address = job.progress.submission.spec.address(place);
        let image = self.image(job.progress.step(place));
        let mut counts = BTreeMap::new();
        for worker in self.workers.values() {
            let obstacle = self
                .obstacle(job, address, image, worker, 0, now)
                .or_else(|| self.history_obstacle(job, address, worker, history, now));
            *counts.entry(obstacle).or_default() += 1;
        }
        counts
    }

    /// Logs tasks that count as placed on a worker that does not hold them. Returns their number,
    /// which is 0 unless there is a fault. Batch tasks are checked only while most capacity is free,
    /// since there may be many of them otherwise.
    pub fn misplaced_tasks(&self) -> usize {
        let checks_batch = self.is_mostly_free();
        let mut count = 0;
        for (id, job) in &self.jobs {
            let is_checked = checks_batch || job.progress.submission.spec.is_long_running();
            if job.progress.state.is_final() || !is_checked {
                continue;
            }
            for (place, task) in job.progress.tasks.iter().enumerate() {
                let Phase::Placed(at) = &task.phase else {
                    continue;
                };
                let key = TaskKey {
                    job: id.clone(),
                    place,
                };
                if self.slot(at, &key).is_none() {
                    log::error!(target: "cell", job = id.as_str(), place, worker = &**at; "Task counts as placed on a worker that does not hold it.");
                    count += 1;
                }
            }
        }
        count
    }
}
