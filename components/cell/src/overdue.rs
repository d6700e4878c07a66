//! Lasting tasks that wait for longer than they should: why, told once a second.

use {
    crate::{
        cell::{Cell, Job},
        choose::History,
        worker::TaskKey,
    },
    job::Phase,
    std::collections::BTreeMap,
};

/// A task that waits for longer than this is told of, in milliseconds: one that lasts has to run again 6 s after its
/// last run, and a worker that is lost is given up 4.9 s after it was last heard.
const TOLD_AFTER: u64 = 6_000;
/// The most tasks that are told of at once: each is one line and a look at all workers.
const TOLD_AT_ONCE: usize = 4;

/// What keeps a worker from being given a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Obstacle {
    /// It has too little room, as far as is known.
    Room,
    /// It gets no work: it is not listed, has not answered, leaves, or refused just now.
    Closed,
    /// Its relay has as much to tell as it can.
    Held,
    /// Its data hall is shut.
    Shut,
    /// It does not guard its room, and how much it has is not known.
    RoomUnknown,
    /// A suspected task is tried there alone.
    KeptAlone,
    /// It is of another pool.
    Pool,
    /// It lacks a label.
    Label,
    /// The task would disturb others there.
    Disturbs,
    /// It has as many tasks of the step as it may.
    Spread,
    /// It fails its tasks, or has just failed one.
    Untrusted,
    /// The advising service has not named it.
    Unadvised,
    /// Another suspected task is tried there.
    Trial,
}

impl Cell {
    /// Tells of lasting tasks that wait for longer than they should, those of jobs that have waited longest. Returns how
    /// many there are.
    pub fn log_overdue(&self, wall: u64, now: u64) -> usize {
        let mut overdue: Vec<(u64, TaskKey)> = Vec::new();
        for (id, job) in &self.jobs {
            let Some(since) = job.waiting_since.filter(|since| wall > since + TOLD_AFTER) else {
                continue;
            };
            if !job.progress.submission.spec.is_lasting() {
                continue;
            }
            for &place in &job.ready {
                let job = id.clone();
                overdue.push((since, TaskKey { job, place }));
            }
        }
        overdue.sort();
        for (_, key) in overdue.iter().take(TOLD_AT_ONCE) {
            if let Some(job) = self.jobs.get(&key.job) {
                self.tell_wait(key, job, wall, now);
            }
        }
        overdue.len()
    }

    /// Tells why a task waits: what it waits for by itself, and by which obstacles how many workers are out.
    fn tell_wait(&self, key: &TaskKey, job: &Job, wall: u64, now: u64) {
        let waited = job
            .waiting_since
            .map_or(0, |since| wall.saturating_sub(since));
        let is_in_line = self.ready_jobs.contains(&job.rank);
        let must_wait = self.is_start_blocked(&key.job, key.place);
        let past = self.history(&job.rank, key.place);
        let trials = self.job_trials(&key.job);
        let cpu = job.progress.step(key.place).size.cpu;
        let is_unsure = job.unconfirmed && self.recovery.is_some();
        let obstacles = self.obstacles(job, key.place, past, now);
        let free = obstacles.get(&None).copied().unwrap_or_default();
        let told: Vec<String> = obstacles
            .iter()
            .filter_map(|(obstacle, count)| Some(format!("{:?}={count}", (*obstacle)?)))
            .collect();
        let obstacles = told.join(" ");
        log::warn!(target: "cell", job = key.job.as_str(), place = key.place, cpu, waited, line = is_in_line, unsure = is_unsure, suspicion:? = past.suspicion, unkept = job.crash_unpersisted, barred = must_wait, trials, free, obstacles = obstacles.as_str(); "A lasting task waits.");
    }

    /// How many workers each obstacle keeps from being given a task; those without one are under `None`.
    fn obstacles(
        &self,
        job: &Job,
        place: usize,
        past: History,
        now: u64,
    ) -> BTreeMap<Option<Obstacle>, usize> {
        let address = job.progress.submission.spec.address(place);
        let image = self.image(job.progress.step(place));
        let mut counts = BTreeMap::new();
        for worker in self.workers.values() {
            let obstacle = self
                .obstacle(job, address, image, worker, 0, now)
                .or_else(|| self.history_obstacle(job, address, worker, past, now));
            *counts.entry(obstacle).or_default() += 1;
        }
        counts
    }

    /// How many tasks that last count as placed on a worker that does not hold them: none, or something is wrong.
    pub fn misplaced_tasks(&self) -> usize {
        let mut count = 0;
        for (id, job) in &self.jobs {
            let is_over = job.progress.state.is_final();
            if is_over || !job.progress.submission.spec.is_lasting() {
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
                    log::error!(target: "cell", job = id.as_str(), place, worker = &**at; "A task counts as placed on a worker that does not hold it.");
                    count += 1;
                }
            }
        }
        count
    }
}
