//! In-memory state of a job and its tasks: phases, failed runs, checkpoints, and which steps are
//! ready. It is restored from the job's persisted record by a new owner.

use {
    crate::{
        record::{Crashes, Record, State, Submission},
        spec::{Address, Step},
    },
    std::sync::Arc,
};

/// The run numbers that a new owner skips, since the persisted record may lag behind the runs started.
/// A record is written within 1 s except during a store outage. A task that fails immediately each
/// time cannot be started this often in the longest specified outage (10 s).
pub const RUN_GAP: u64 = 64;

/// The phase of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Not placed on any worker.
    Waiting,
    /// Placed on the worker of this name, either ordered or running; the worker's slot has the details.
    Placed(Arc<str>),
    /// Finished successfully.
    Done,
}

/// What the record of a former owner tells of a run that had not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Recorded {
    /// No run.
    None,
    /// The task was running on some worker.
    Started,
    /// The task, which was suspected of crashing its workers, was placed on this worker.
    On(Arc<str>),
}

/// The state of one task.
#[derive(Debug, Clone)]
pub struct Task {
    /// The current phase.
    pub phase: Phase,
    /// The number of the last run; 0 before the first.
    pub run: u64,
    /// Numbers of the failed runs. Reports of failures may arrive out of order and repeatedly.
    pub failed: Vec<u64>,
    /// The last checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Consecutive worker crashes attributed to the task.
    pub crashes: Crashes,
    /// Its worker has confirmed that the task is running.
    pub confirmed: bool,
    /// The run that a former owner recorded, until its fate is known.
    pub recorded: Recorded,
}

/// The state of one job and its tasks.
#[derive(Debug, Clone)]
pub struct Progress {
    /// The job as accepted.
    pub submission: Arc<Submission>,
    /// All tasks of all times, indexed by place (see [`Spec::place`](crate::Spec::place)).
    pub tasks: Vec<Task>,
    /// The number of unfinished tasks of each step, for each time.
    unfinished: Vec<u32>,
    /// The state of the job.
    pub state: State,
    /// When the job ended, in milliseconds since 1970; 0 while it has not.
    pub ended: u64,
    /// The critical path from each step to the end of the job, in milliseconds of estimated run time.
    pub critical_paths: Vec<u64>,
}

impl Progress {
    /// Creates the state of a newly accepted job.
    pub fn new(submission: Arc<Submission>) -> Self {
        Self::resume(submission, &Record::default())
    }

    /// Restores the state of a job from its persisted record, for a new owner.
    pub fn resume(submission: Arc<Submission>, record: &Record) -> Self {
        let spec = &submission.spec;
        let is_new = record.run == 0;
        let run = if is_new { 0 } else { record.run + RUN_GAP };
        let task = Task {
            phase: Phase::Waiting,
            run,
            failed: Vec::new(),
            checkpoint: None,
            crashes: Crashes::default(),
            confirmed: false,
            recorded: Recorded::None,
        };
        let mut unfinished = Vec::new();
        for _ in 0..spec.times() {
            unfinished.extend(spec.steps.iter().map(|step| step.count));
        }
        let critical_paths = spec.critical_paths();
        let mut progress = Progress {
            tasks: vec![task; spec.tasks_per_time() * spec.times() as usize],
            unfinished,
            state: record.state,
            ended: record.ended,
            critical_paths,
            submission,
        };
        progress.restore(record);
        progress
    }

    fn restore(&mut self, record: &Record) {
        for place in 0..self.tasks.len() {
            if record.is_done(place) {
                self.mark_done(place);
            } else if record.is_started(place, self.tasks.len()) {
                self.tasks[place].recorded = Recorded::Started;
            }
        }
        for (place, runs) in &record.failed {
            if let Some(task) = self.tasks.get_mut(*place as usize) {
                task.failed.clone_from(runs);
            }
        }
        for (place, worker) in record.placements() {
            if let Some(task) = self.tasks.get_mut(place) {
                task.recorded = Recorded::On(worker.into());
            }
        }
        for (place, checkpoint) in &record.saved {
            if let Some(task) = self.tasks.get_mut(*place as usize) {
                task.checkpoint = Some(checkpoint.as_str().into());
            }
        }
        for (place, _) in &record.crashed {
            let place = *place as usize;
            if let Some(task) = self.tasks.get_mut(place) {
                task.crashes = record.crashes(place);
            }
        }
    }

    /// Returns the record to persist. A final job keeps only its state and end.
    pub fn record(&self) -> Record {
        let mut record = Record {
            state: self.state,
            ended: self.ended,
            ..Record::default()
        };
        if self.state.is_final() {
            return record;
        }
        record.done = vec![0; self.tasks.len().div_ceil(8)];
        for (place, task) in self.tasks.iter().enumerate() {
            record.run = record.run.max(task.run);
            if task.phase == Phase::Done {
                record.done[place / 8] |= 1 << (place % 8);
                continue;
            }
            self.record_run(place, task, &mut record);
            if !task.failed.is_empty() {
                record.failed.push((place as u32, task.failed.clone()));
            }
            if task.phase == Phase::Waiting
                && let Some(checkpoint) = &task.checkpoint
            {
                record.saved.push((place as u32, checkpoint.to_string()));
            }
        }
        record.set_crashes(&self.crashed());
        record
    }

    /// Adds the run of a task that has not ended.
    fn record_run(&self, place: usize, task: &Task, record: &mut Record) {
        let is_suspect = task.crashes != Crashes::default();
        match (&task.phase, &task.recorded) {
            (Phase::Placed(worker), _) if is_suspect => record.add_placement(place, worker),
            (Phase::Placed(_), _) if task.confirmed => record.add_started(place, self.tasks.len()),
            (Phase::Waiting, Recorded::On(worker)) => record.add_placement(place, worker),
            (Phase::Waiting, Recorded::Started) => record.add_started(place, self.tasks.len()),
            _ => {}
        }
    }

    /// Returns the tasks with consecutive worker crashes, by place.
    pub fn crashed(&self) -> Vec<(usize, Crashes)> {
        let tasks = self.tasks.iter().enumerate();
        let crashed = tasks.filter(|(_, task)| task.crashes != Crashes::default());
        let rows = crashed.map(|(place, task)| (place, task.crashes));
        rows.collect()
    }

    /// Returns the step of a task.
    pub fn step(&self, place: usize) -> &Step {
        let address = self.submission.spec.address(place);
        &self.submission.spec.steps[address.step as usize]
    }

    /// Returns the places of the tasks of a step at a time; empty when there is no such step or time.
    pub fn places(&self, time: u32, step: u16) -> std::ops::Range<usize> {
        let spec = &self.submission.spec;
        let address = Address {
            time,
            step,
            index: 0,
        };
        let Some(start) = spec.place(address) else {
            return 0..0;
        };
        start..start + spec.steps[step as usize].count as usize
    }

    /// Records a failed run of a task. Returns false when this run was already recorded.
    pub fn record_failure(&mut self, place: usize, run: u64) -> bool {
        let task = &mut self.tasks[place];
        if task.failed.contains(&run) {
            return false;
        }
        task.failed.push(run);
        true
    }

    /// Marks a task as done. Returns false when it already was.
    pub fn mark_done(&mut self, place: usize) -> bool {
        if self.tasks[place].phase == Phase::Done {
            return false;
        }
        self.tasks[place].phase = Phase::Done;
        self.tasks[place].checkpoint = None;
        self.tasks[place].crashes = Crashes::default();
        let address = self.submission.spec.address(place);
        let steps = self.submission.spec.steps.len();
        self.unfinished[address.time as usize * steps + address.step as usize] -= 1;
        true
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.unfinished.iter().all(|&tasks| tasks == 0)
    }

    /// Whether all steps that this one depends on are done at this time.
    pub fn is_ready(&self, time: u32, step: u16) -> bool {
        let steps = self.submission.spec.steps.len();
        let base = time as usize * steps;
        let after = &self.submission.spec.steps[step as usize].after;
        after
            .iter()
            .all(|&earlier| self.unfinished[base + earlier as usize] == 0)
    }

    /// Returns the longest critical path of the unfinished steps of any time, in milliseconds.
    pub fn remaining_path(&self) -> u64 {
        self.remaining_of(&self.critical_paths)
    }

    /// Returns the longest of these paths, given by step, from an unfinished step of any time, in
    /// milliseconds.
    pub fn remaining_of(&self, paths: &[u64]) -> u64 {
        let steps = paths.len().max(1);
        let unfinished = self
            .unfinished
            .iter()
            .enumerate()
            .filter(|(_, tasks)| **tasks > 0);
        let rest = unfinished.filter_map(|(number, _)| paths.get(number % steps));
        rest.copied().max().unwrap_or_default()
    }

    /// Returns the number of unfinished tasks of a step at this time.
    pub fn remaining_tasks(&self, time: u32, step: u16) -> u32 {
        let steps = self.submission.spec.steps.len();
        self.unfinished[time as usize * steps + step as usize]
    }
}
