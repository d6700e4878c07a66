//! Life cycle of jobs: admission, readiness of steps, ranking, cancellation and completion.

use {
    crate::{
        cell::{Cell, Job, Rank, StepRuns},
        worker::TaskKey,
    },
    job::{Id, Phase, Progress, Record, State, Submission},
    policy::lateness::{Lateness, Objective, classify},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// A job is urgent in the last part of the time to its objective; this is the divisor.
const URGENT_PART: u64 = 4;

/// The percentage of a job's estimate that it takes at least, as long as too little is known of its
/// queue: estimates are off by up to nine tenths.
const MIN_ESTIMATE: u64 = 50;

/// Long-running tasks go before short ones of their priority once they have waited this long, in
/// milliseconds, if there is capacity for more than one of them: a long-running task must run again
/// within 6 s of its end. While capacity is scarce, short tasks yield several times as much for it.
const OVERDUE_AFTER: u64 = 2_000;
/// Once long-running tasks have waited this long, in milliseconds, they go first however scarce
/// capacity is.
const OVERDUE_FIRST: u64 = 4_000;

impl Cell {
    /// Adds an accepted job. Returns false if it is known already.
    pub fn admit(&mut self, submission: Submission, wall: u64) -> bool {
        let id = submission.id.clone();
        let progress = Progress::new(Arc::new(submission));
        let is_new = self.insert_job(progress, self.recovery.is_some(), wall);
        if is_new {
            self.record_inflow(&id, wall);
        }
        self.adopt_pending(&id);
        is_new
    }

    /// Adds a job that a previous owner has started.
    pub fn resume(&mut self, submission: Submission, record: &Record, wall: u64) {
        let progress = Progress::resume(Arc::new(submission), record);
        self.insert_job(progress, true, wall);
    }

    /// Adds a job that has ended.
    pub fn add_ended(&mut self, id: Id, record: &Record) {
        self.ended_jobs.insert(id, (record.state, record.ended));
    }

    /// Inserts a job. Returns false if it is known already.
    fn insert_job(&mut self, progress: Progress, unconfirmed: bool, wall: u64) -> bool {
        let mut progress = progress;
        let submission = progress.submission.clone();
        let mut low_paths = None;
        if let Some(learned) = self.learned_durations(&submission.queue.name) {
            let spec = &submission.spec;
            progress.critical_paths =
                spec.critical_paths_with(|step| learned.predict(step.estimate));
            low_paths = Some(spec.critical_paths_with(|step| learned.low(step.estimate)));
        }
        let id = submission.id.clone();
        if self.jobs.contains_key(&id) || self.ended_jobs.contains_key(&id) {
            return false;
        }
        let steps = submission.spec.steps.len() * submission.spec.times() as usize;
        let job = Job {
            rank: rank(&progress),
            waiting_since: None,
            urgent: false,
            overdue: false,
            unpersisted_crashes: BTreeSet::new(),
            unplaceable: BTreeSet::new(),
            passed_trials: 0,
            delayed: BTreeMap::new(),
            failing: BTreeMap::new(),
            suspects: progress.crashed().iter().map(|row| row.0).collect(),
            advice: HashMap::new(),
            measured: vec![StepRuns::default(); steps],
            low_paths,
            ready: BTreeSet::new(),
            steps_ready: vec![false; steps],
            written_state: progress.state,
            started: progress.state == State::Running,
            unconfirmed,
            progress,
        };
        self.jobs.insert(id.clone(), job);
        self.rekey_orphans(&id);
        if submission.spec.timetable.is_some() {
            self.timetabled.insert(id.clone());
        }
        self.check_crash_limits(&id);
        self.activate_steps(&id, wall);
        true
    }

    /// Makes the tasks ready of all steps that are due and whose dependencies are done.
    pub(crate) fn activate_steps(&mut self, id: &Id, wall: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = &job.progress.submission.spec;
        let steps = spec.steps.len();
        for number in 0..job.steps_ready.len() {
            let (time, step) = ((number / steps) as u32, (number % steps) as u16);
            if job.steps_ready[number]
                || wall < spec.due(time)
                || !job.progress.is_ready(time, step)
            {
                continue;
            }
            job.steps_ready[number] = true;
            for place in job.progress.places(time, step) {
                if job.progress.tasks[place].phase == Phase::Waiting {
                    job.ready.insert(place);
                }
            }
        }
        if !job.ready.is_empty() {
            self.ready_jobs.insert(job.rank.clone());
        }
    }

    /// Makes the tasks of all due repetitions ready.
    pub fn activate_due_steps(&mut self, wall: u64) {
        let timetabled: Vec<Id> = self.timetabled.iter().cloned().collect();
        for id in timetabled {
            if !self.jobs.contains_key(&id) {
                self.timetabled.remove(&id);
                continue;
            }
            self.activate_steps(&id, wall);
        }
    }

    /// Updates the ranks of jobs. Jobs that are about to miss their objective become urgent. Jobs
    /// that have missed it, or surely will, go last, since they would make others miss theirs too;
    /// those whose result will have lost all worth go after the others.
    /// Long-running tasks that have waited go first if there is capacity for more than one of them.
    /// `wall` is Unix time, `now` is on the owner's clock.
    pub fn rerank(&mut self, wall: u64, now: u64) {
        self.update_backlog();
        self.fail_over_limit(wall, now);
        let mut late = Vec::new();
        let mut waiting = Vec::new();
        for rank in &self.ready_jobs {
            let is_urgent = wall + rank.span / URGENT_PART > rank.objective;
            let Some(job) = self.jobs.get_mut(&rank.id) else {
                continue;
            };
            job.urgent |= is_urgent;
            if job.progress.submission.spec.is_long_running() {
                let since = *job.waiting_since.get_or_insert(wall);
                job.overdue = wall > since + OVERDUE_AFTER;
                if job.overdue {
                    waiting.push((rank.clone(), wall > since + OVERDUE_FIRST));
                }
                continue;
            }
            let objective = Objective {
                at: rank.objective,
                span: rank.span,
            };
            let lateness = classify(objective, wall, job.min_rest(), rank.late);
            if lateness != rank.late {
                late.push((rank.clone(), lateness));
            }
        }
        for (rank, is_long_overdue) in waiting {
            let goes_last = !is_long_overdue && !self.has_spare_capacity(&rank, now);
            self.ready_jobs.remove(&rank);
            if let Some(job) = self.jobs.get_mut(&rank.id) {
                job.rank.lasting = goes_last;
                self.ready_jobs.insert(job.rank.clone());
            }
        }
        for (rank, lateness) in late {
            self.ready_jobs.remove(&rank);
            if let Some(job) = self.jobs.get_mut(&rank.id) {
                job.rank.late = lateness;
                self.ready_jobs.insert(job.rank.clone());
            }
        }
    }

    /// True if at least two workers have capacity for the next task of a job.
    fn has_spare_capacity(&self, rank: &Rank, now: u64) -> bool {
        let Some(job) = self.jobs.get(&rank.id) else {
            return false;
        };
        let Some(&place) = job.ready.first() else {
            return false;
        };
        let address = job.progress.submission.spec.address(place);
        let image = self.image(job.progress.step(place));
        let feasible = self
            .workers
            .values()
            .filter(|worker| self.is_feasible(job, address, image, worker, 0, now));
        feasible.take(2).count() == 2
    }

    /// Carries out a cancellation that is already persisted. Returns false if the job is unknown.
    pub fn cancel(&mut self, id: &Id, now: u64, wall: u64) -> bool {
        if !self.jobs.contains_key(id) {
            return self.ended_jobs.contains_key(id);
        }
        self.finish(id, State::Cancelled, now, wall);
        if let Some(job) = self.jobs.get_mut(id) {
            job.written_state = State::Cancelled;
        }
        true
    }

    /// Ends a job: no task of it is started any more, and running tasks are stopped.
    pub(crate) fn finish(&mut self, id: &Id, state: State, now: u64, wall: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.progress.state.is_final() {
            return;
        }
        log::info!(target: "cell", job = id.as_str(), state = state.as_str(); "Job ended.");
        job.progress.state = state;
        job.progress.ended = wall;
        job.ready.clear();
        let rank = job.rank.clone();
        let mut placed = Vec::new();
        for (place, task) in job.progress.tasks.iter().enumerate() {
            if let Phase::Placed(worker) = &task.phase {
                placed.push((worker.clone(), place));
            }
        }
        self.ready_jobs.remove(&rank);
        // A caller waits until the end is persisted; the progress of other jobs can wait.
        self.dirty.insert_first(id.clone());
        for (worker, place) in placed {
            let job = id.clone();
            self.stop(&worker, &TaskKey { job, place }, now);
        }
    }
}

impl Job {
    /// Returns how long the rest of the job surely takes, in milliseconds.
    fn min_rest(&self) -> u64 {
        match &self.low_paths {
            Some(paths) => self.progress.remaining_of(paths),
            None => self.progress.remaining_path() * MIN_ESTIMATE / 100,
        }
    }
}

/// Returns the initial rank of a job.
fn rank(progress: &Progress) -> Rank {
    let submission = &progress.submission;
    let queue = &submission.queue;
    let chain = progress
        .critical_paths
        .iter()
        .copied()
        .max()
        .unwrap_or_default();
    let span = (queue.stretch * chain as f64) as u64 + queue.target;
    Rank {
        priority: queue.priority,
        lasting: submission.spec.is_long_running(),
        late: Lateness::InTime,
        objective: submission.accepted.max(submission.spec.due(0)) + span,
        span,
        id: submission.id.clone(),
    }
}
