//! What lasts of a job: its submission, and its record of progress.

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
    /// Its name.
    pub id: Id,
    /// What the caller asked for.
    pub spec: Spec,
    /// Its queue, as configured when it was accepted; a queue may be removed while jobs remain.
    pub queue: Queue,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted: u64,
}

/// How far a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// No task has begun.
    #[default]
    Queued,
    /// Some task has begun.
    Running,
    /// Every task is done.
    Completed,
    /// A task or a gang failed as often as it may.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

impl State {
    /// The word for callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            State::Queued => "queued",
            State::Running => "running",
            State::Completed => "completed",
            State::Failed => "failed",
            State::Cancelled => "cancelled",
        }
    }

    /// True when the job never runs anything again.
    pub const fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

/// How often in a row workers crashed under a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// Right after it had started there, and not together with many others.
    pub early: u32,
    /// In all.
    pub all: u32,
}

/// The lasting part of a job's progress. Tasks are named by their place in the job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// How far the job is.
    pub state: State,
    /// When it ended, in milliseconds since 1970; 0 while it has not.
    pub ended: u64,
    /// A bit for each task that is done.
    pub done: Vec<u8>,
    /// Tasks that failed, and the runs that did.
    pub failed: Vec<(u32, Vec<u64>)>,
    /// The highest run number of any task.
    pub run: u64,
    /// Tasks with a checkpoint that no worker holds any more.
    pub saved: Vec<(u32, String)>,
    /// Tasks under which workers crashed.
    pub crashed: Vec<(u32, Crashes)>,
}
