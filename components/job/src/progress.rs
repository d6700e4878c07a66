//! What is known of each task of a job, and which tasks may start.

use {
    crate::{
        record::{Crashes, Record, State, Submission},
        spec::{Address, Step},
    },
    std::sync::Arc,
};

/// How many run numbers a new owner leaves out, since the record may lag behind what was started.
/// A record is written within a second, but for an outage of the store; a task that fails at once,
/// again and again, cannot be started this often in the longest outage stated (10 s).
pub const RUN_GAP: u64 = 64;

/// Where a task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// It runs nowhere.
    Waiting,
    /// It was placed on a worker: ordered, or running. The worker's slot knows which.
    Placed(Arc<str>),
    /// It ended well.
    Done,
}

/// One task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Where it stands.
    pub phase: Phase,
    /// The number of its last run; 0 before the first.
    pub run: u64,
    /// The runs that failed. Owners hear of them in any order and more than once.
    pub failed: Vec<u64>,
    /// Its last checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Workers that crashed under it in a row.
    pub crashes: Crashes,
}

/// One job and its tasks.
#[derive(Debug, Clone)]
pub struct Progress {
    /// As accepted.
    pub submission: Arc<Submission>,
    /// All tasks of all times, by their place.
    pub tasks: Vec<Task>,
    /// Tasks not done, for each step of each time.
    unfinished: Vec<u32>,
    /// How far the job is.
    pub state: State,
    /// When it ended, in milliseconds since 1970.
    pub ended: u64,
    /// The longest chain of estimates from each step to the end, in milliseconds.
    pub chains: Vec<u64>,
}

impl Progress {
    /// A job that was just accepted.
    pub fn new(submission: Arc<Submission>) -> Self {
        Self::resume(submission, &Record::default())
    }

    /// A job as its record tells it, for a new owner.
    pub fn resume(submission: Arc<Submission>, record: &Record) -> Self {
        let spec = &submission.spec;
        let is_new = record.run == 0;
        let run = if is_new { 0 } else { record.run + RUN_GAP };
        let blank = Task {
            phase: Phase::Waiting,
            run,
            failed: Vec::new(),
            checkpoint: None,
            crashes: Crashes::default(),
        };
        let mut open = Vec::new();
        for _ in 0..spec.times() {
            open.extend(spec.steps.iter().map(|step| step.count));
        }
        let chains = spec.critical_paths();
        let mut progress = Progress {
            tasks: vec![blank; spec.tasks_per_time() * spec.times() as usize],
            unfinished: open,
            state: record.state,
            ended: record.ended,
            chains,
            submission,
        };
        progress.restore(record);
        progress
    }

    fn restore(&mut self, record: &Record) {
        for (byte, bits) in record.done.iter().enumerate() {
            for bit in 0..8 {
                let place = byte * 8 + bit;
                if bits & (1 << bit) == 0 || place >= self.tasks.len() {
                    continue;
                }
                self.mark_done(place);
            }
        }
        for (place, runs) in &record.failed {
            if let Some(task) = self.tasks.get_mut(*place as usize) {
                task.failed.clone_from(runs);
            }
        }
        for (place, saved) in &record.saved {
            if let Some(task) = self.tasks.get_mut(*place as usize) {
                task.checkpoint = Some(saved.as_str().into());
            }
        }
        for (place, crashes) in &record.crashed {
            if let Some(task) = self.tasks.get_mut(*place as usize) {
                task.crashes = *crashes;
            }
        }
    }

    /// What is to last of it now.
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
            if !task.failed.is_empty() {
                record.failed.push((place as u32, task.failed.clone()));
            }
            if task.phase == Phase::Waiting
                && let Some(saved) = &task.checkpoint
            {
                record.saved.push((place as u32, saved.to_string()));
            }
        }
        record.crashed = self.crashed();
        record
    }

    /// Tasks under which workers crashed, and how often in a row.
    pub fn crashed(&self) -> Vec<(u32, Crashes)> {
        let tasks = self.tasks.iter().enumerate();
        let crashed = tasks.filter(|(_, task)| task.crashes != Crashes::default());
        let rows = crashed.map(|(place, task)| (place as u32, task.crashes));
        rows.collect()
    }

    /// The step of a task.
    pub fn step(&self, place: usize) -> &Step {
        let address = self.submission.spec.address(place);
        &self.submission.spec.steps[address.step as usize]
    }

    /// The places of the tasks of a step at a time.
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

    /// Notes that a run of a task failed. True when it was not known before.
    pub fn record_failure(&mut self, place: usize, run: u64) -> bool {
        let task = &mut self.tasks[place];
        if task.failed.contains(&run) {
            return false;
        }
        task.failed.push(run);
        true
    }

    /// Notes that a task is done. True when it was not before.
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

    /// True when every task is done.
    pub fn is_done(&self) -> bool {
        self.unfinished.iter().all(|&open| open == 0)
    }

    /// True when all steps that this one waits for are done, at this time.
    pub fn is_ready(&self, time: u32, step: u16) -> bool {
        let steps = self.submission.spec.steps.len();
        let base = time as usize * steps;
        let after = &self.submission.spec.steps[step as usize].after;
        after
            .iter()
            .all(|&earlier| self.unfinished[base + earlier as usize] == 0)
    }

    /// The longest chain of estimates that is still to be run of any time, in milliseconds.
    pub fn remaining_path(&self) -> u64 {
        let steps = self.chains.len().max(1);
        let open = self
            .unfinished
            .iter()
            .enumerate()
            .filter(|(_, open)| **open > 0);
        let chains = open.map(|(number, _)| self.chains[number % steps]);
        chains.max().unwrap_or_default()
    }

    /// The tasks of a step not done at this time.
    pub fn remaining_tasks(&self, time: u32, step: u16) -> u32 {
        let steps = self.submission.spec.steps.len();
        self.unfinished[time as usize * steps + step as usize]
    }
}
