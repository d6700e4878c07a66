//! The persisted data of a job: its submission, and the record of its progress.

use {
    crate::{
        queue::Queue,
        spec::{Id, Spec},
    },
    serde::{Deserialize, Serialize},
};

/// A job as accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The job's id.
    pub id: Id,
    /// The specification sent by the caller.
    pub spec: Spec,
    /// The queue as configured at acceptance, since a queue may be removed while it still has jobs.
    pub queue: Queue,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted: u64,
    /// The highest fence that the accepting box knew; 0 if it knew none or does not tell. A former
    /// owner starts nothing of a job that names the fence of a later one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub fence: u64,
}

/// True for a number that is left out of stored values.
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task or a gang reached the allowed number of failures.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

impl State {
    /// Returns the name of the state in responses to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            State::Queued => "queued",
            State::Running => "running",
            State::Completed => "completed",
            State::Failed => "failed",
            State::Cancelled => "cancelled",
        }
    }

    /// Whether the job has ended, so that it never runs any task again.
    pub const fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

/// Added to the place of a task in the row of [`Record::saved`] that has its worker.
const PLACEMENT_ROWS: u32 = 1 << 31;
/// Added to the place of a task in the row of [`Record::crashed`] that has the evidence against it.
const EVIDENCE_ROWS: u32 = 1 << 31;

/// Consecutive worker crashes attributed to a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// Crashes right after the task had started on the worker, without many other workers crashing
    /// at the same time.
    pub early: u32,
    /// All crashes.
    pub all: u32,
    /// How unlikely these crashes are if the task did not cause them, in tenths of a bit: the
    /// negative binary logarithms of their probabilities, less what is expected of so many by
    /// chance. Persisted in a row of its own, which older builds ignore.
    #[serde(skip)]
    pub evidence: u32,
    /// The number of crashes that the evidence comes from. Persisted with it.
    #[serde(skip)]
    pub weighed: u32,
}

/// The persisted part of a job's progress. Tasks are identified by their place in the job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// The state of the job.
    pub state: State,
    /// When the job ended, in milliseconds since 1970; 0 while it has not.
    pub ended: u64,
    /// A bit set of the tasks that are done; the lowest bit of the first byte is place 0. If there
    /// are any, a bit set follows of the tasks that are running, which older builds ignore.
    pub done: Vec<u8>,
    /// Tasks with failed runs, and the numbers of these runs.
    pub failed: Vec<(u32, Vec<u64>)>,
    /// The highest run number of any task.
    pub run: u64,
    /// Checkpoints of tasks that are waiting, so that no worker holds them; then, in rows that older
    /// builds ignore, the workers of suspected tasks that are placed.
    pub saved: Vec<(u32, String)>,
    /// Tasks with consecutive worker crashes: first the rows with the counts, by place, then those
    /// with the evidence.
    pub crashed: Vec<(u32, Crashes)>,
}

/// The bit of the first task in the bit set of running tasks, which starts with a byte of its own.
const fn first_started(tasks: usize) -> usize {
    tasks.div_ceil(8) * 8
}

impl Record {
    /// Sets the crashes of all tasks that have any, in the order of places.
    pub fn set_crashes(&mut self, tasks: &[(usize, Crashes)]) {
        let rows = tasks.iter();
        let counts = rows.clone().map(|&(place, crashes)| {
            let crashes = Crashes {
                evidence: 0,
                weighed: 0,
                ..crashes
            };
            (place as u32, crashes)
        });
        let evidence = rows.filter(|(_, crashes)| crashes.evidence > 0 || crashes.weighed > 0);
        let evidence = evidence.map(|(place, crashes)| {
            let crashes = Crashes {
                early: crashes.evidence,
                all: crashes.weighed,
                ..Crashes::default()
            };
            (*place as u32 | EVIDENCE_ROWS, crashes)
        });
        self.crashed = counts.chain(evidence).collect();
    }

    /// Whether a task is done.
    pub fn is_done(&self, place: usize) -> bool {
        let byte = self.done.get(place / 8);
        byte.is_some_and(|byte| byte & (1 << (place % 8)) != 0)
    }

    /// Whether one of so many tasks is running.
    pub fn is_started(&self, place: usize, tasks: usize) -> bool {
        self.is_done(first_started(tasks) + place)
    }

    /// Records that one of so many tasks is running.
    pub fn add_started(&mut self, place: usize, tasks: usize) {
        let bit = first_started(tasks) + place;
        self.done.resize(2 * tasks.div_ceil(8), 0);
        self.done[bit / 8] |= 1 << (bit % 8);
    }

    /// Records that a suspected task is placed on a worker.
    pub fn add_placement(&mut self, place: usize, worker: &str) {
        let row = place as u32 | PLACEMENT_ROWS;
        self.saved.push((row, worker.to_owned()));
    }

    /// The suspected tasks that are placed, and their workers.
    pub fn placements(&self) -> impl Iterator<Item = (usize, &str)> {
        let rows = self.saved.iter();
        let rows = rows.filter(|(row, _)| row & PLACEMENT_ROWS != 0);
        rows.map(|(row, worker)| ((row & !PLACEMENT_ROWS) as usize, &**worker))
    }

    /// The crashes of a task.
    pub fn crashes(&self, place: usize) -> Crashes {
        let row = |place: u32| {
            let at = self.crashed.binary_search_by_key(&place, |(row, _)| *row);
            at.map_or_else(|_| Crashes::default(), |at| self.crashed[at].1)
        };
        let place = place as u32;
        let counts = row(place);
        let evidence = row(place | EVIDENCE_ROWS);
        // Older builds do not record the number.
        let weighed = if evidence.all == 0 && evidence.early > 0 {
            counts.all
        } else {
            evidence.all
        };
        Crashes {
            evidence: evidence.early,
            weighed,
            ..counts
        }
    }
}
