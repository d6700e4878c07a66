//! Jobs that come, are cancelled, or fail; and which of their tasks are ready.

use {
    crate::{
        cell::{Cell, Job, Rank},
        worker::TaskKey,
    },
    job::{Id, Phase, Progress, Record, State, Submission},
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
    },
};

/// A job is hurried for the last part of its time to the objective: one in so many.
const HURRY_PART: u64 = 4;

/// The part of a job's estimates, in hundredths, that it surely takes: estimates are off by up to
/// nine tenths.
const SURE_PART: u64 = 50;

/// Tasks that last go before short ones of their priority once they have waited this long, in
/// milliseconds, where there is room for more than one of them: then one that has ended has to run again
/// within 6 s. Where room is short, a short task earns several times as much with it.
const LAST_WAIT: u64 = 2_000;
/// Once they have waited this long, in milliseconds, they go first however short room is.
const LAST_LONG: u64 = 4_000;

impl Cell {
    /// Takes in an accepted job. False when it is known already.
    pub fn admit(&mut self, submission: Submission, wall: u64) -> bool {
        let id = submission.id.clone();
        let progress = Progress::new(Arc::new(submission));
        let is_new = self.insert_job(progress, self.recovery.is_some(), wall);
        self.adopt_pending(&id);
        is_new
    }

    /// Takes in a job that a former owner has worked on.
    pub fn resume(&mut self, submission: Submission, record: &Record, wall: u64) {
        let progress = Progress::resume(Arc::new(submission), record);
        self.insert_job(progress, true, wall);
    }

    /// Takes in a job that has ended.
    pub fn add_ended(&mut self, id: Id, record: &Record) {
        self.ended_jobs.insert(id, (record.state, record.ended));
    }

    /// Puts a job in. False when it is known already.
    fn insert_job(&mut self, progress: Progress, unsure: bool, wall: u64) -> bool {
        let submission = progress.submission.clone();
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
            crash_unpersisted: false,
            untried: BTreeSet::new(),
            passed_trials: 0,
            suspects: progress
                .crashed()
                .into_iter()
                .map(|(place, _)| place as usize)
                .collect(),
            advice: HashMap::new(),
            ready: BTreeSet::new(),
            steps_ready: vec![false; steps],
            written_state: progress.state,
            started: progress.state == State::Running,
            unconfirmed: unsure,
            progress,
        };
        self.jobs.insert(id.clone(), job);
        self.rekey_strays(&id);
        if submission.spec.timetable.is_some() {
            self.timetabled.insert(id.clone());
        }
        self.check_crash_limits(&id);
        self.ready_steps(&id, wall);
        true
    }

    /// Makes the tasks ready whose steps are due and wait for nothing any more.
    pub(crate) fn ready_steps(&mut self, id: &Id, wall: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = &job.progress.submission.spec;
        let steps = spec.steps.len();
        for number in 0..job.steps_ready.len() {
            let (time, step) = ((number / steps) as u32, (number % steps) as u16);
            if job.steps_ready[number] || wall < spec.due(time) || !job.progress.is_open(time, step)
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

    /// Opens the times of jobs with a timetable that are due now.
    pub fn ready_due_steps(&mut self, wall: u64) {
        let timed: Vec<Id> = self.timetabled.iter().cloned().collect();
        for id in timed {
            if !self.jobs.contains_key(&id) {
                self.timetabled.remove(&id);
                continue;
            }
            self.ready_steps(&id, wall);
        }
    }

    /// Hurries jobs that are about to miss their objective, puts those back in line that have, or surely
    /// will: in front they would make others miss theirs too; and lets lasting ones go first that have
    /// waited, where there is room for more than one of their tasks. The times are since 1970 and on our
    /// clock.
    pub fn rerank(&mut self, wall: u64, now: u64) {
        self.update_backlog();
        self.fail_over_limit(wall, now);
        let mut late = Vec::new();
        let mut waiting = Vec::new();
        for rank in &self.ready_jobs {
            let is_near = wall + rank.span / HURRY_PART > rank.objective;
            let Some(job) = self.jobs.get_mut(&rank.id) else {
                continue;
            };
            job.urgent |= is_near;
            if job.progress.submission.spec.is_lasting() {
                let since = *job.waiting_since.get_or_insert(wall);
                job.overdue = wall > since + LAST_WAIT;
                if job.overdue {
                    waiting.push((rank.clone(), wall > since + LAST_LONG));
                }
                continue;
            }
            let least = job.progress.rest() * SURE_PART / 100;
            if !rank.late && wall + least > rank.objective {
                late.push(rank.clone());
            }
        }
        for (rank, is_long) in waiting {
            let goes_last = !is_long && !self.has_spare(&rank, now);
            self.ready_jobs.remove(&rank);
            if let Some(job) = self.jobs.get_mut(&rank.id) {
                job.rank.lasting = goes_last;
                self.ready_jobs.insert(job.rank.clone());
            }
        }
        for rank in late {
            self.ready_jobs.remove(&rank);
            if let Some(job) = self.jobs.get_mut(&rank.id) {
                job.rank.late = true;
                self.ready_jobs.insert(job.rank.clone());
            }
        }
    }

    /// True when two workers or more have room for the next task of a job.
    fn has_spare(&self, rank: &Rank, now: u64) -> bool {
        let Some(job) = self.jobs.get(&rank.id) else {
            return false;
        };
        let Some(&place) = job.ready.first() else {
            return false;
        };
        let address = job.progress.submission.spec.address(place);
        let image = self.image(job.progress.step(place));
        let suiting = self
            .workers
            .values()
            .filter(|worker| self.is_feasible(job, address, image, worker, 0, now));
        suiting.take(2).count() == 2
    }

    /// Carries out a cancellation that is written down. False when the job is not known here.
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

    /// Ends a job: nothing of it starts any more, and what runs is stopped.
    pub(crate) fn finish(&mut self, id: &Id, state: State, now: u64, wall: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.progress.state.is_final() {
            return;
        }
        log::info!(target: "cell", job = id.as_str(), state = state.word(); "A job has ended.");
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
        // Its caller waits for the end to be written down; what others have done so far can wait.
        self.dirty.insert_first(id.clone());
        for (worker, place) in placed {
            let job = id.clone();
            self.stop(&worker, &TaskKey { job, place }, now);
        }
    }
}

/// Where a job stands in line.
fn rank(progress: &Progress) -> Rank {
    let submission = &progress.submission;
    let queue = &submission.queue;
    let chain = progress.chains.iter().copied().max().unwrap_or_default();
    let span = (queue.stretch * chain as f64) as u64 + queue.target;
    Rank {
        priority: queue.priority,
        lasting: submission.spec.is_lasting(),
        late: false,
        objective: submission.accepted.max(submission.spec.due(0)) + span,
        span,
        id: submission.id.clone(),
    }
}
