//! What a worker holds for one task, and how far the start of the task has come.

use {
    crate::interference::Image,
    job::{Address, Step, spec::Size},
};

/// How far an order to start has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Sent, not confirmed; it cannot begin after the deadline on the worker's clock.
    Sent {
        /// On the worker's clock, in milliseconds.
        deadline: u64,
    },
    /// Confirmed at this time.
    Running {
        /// On our clock, in milliseconds.
        at: u64,
    },
}

/// The pace of a run that was taken over: nobody here has ordered one.
pub const UNKNOWN_PACE: u8 = u8::MAX;

/// What a worker holds for one task.
#[derive(Debug, Clone)]
pub struct Slot {
    /// The name of its task within its job.
    pub address: Address,
    /// The number of the run.
    pub run: u64,
    /// It ran before this owner knew of it.
    pub adopted: bool,
    /// What it takes.
    pub size: Size,
    /// It takes no room for processors.
    pub fills: bool,
    /// See [`job::Step::target`].
    pub target: u64,
    /// What it runs.
    pub image: Image,
    /// How far its start has come.
    pub stage: Stage,
    /// When the order to start it was given up on without an answer, on our clock.
    pub unanswered: Option<u64>,
    /// When the worker confirmed an order to stop it before it had begun, on our clock: it cannot
    /// begin any more.
    pub start_cancelled: Option<u64>,
    /// When it was last ordered to stop, on our clock.
    pub stopping: Option<u64>,
    /// The share of its speed that it was last ordered to, in hundredths.
    pub percent: u8,
    /// When that was, on our clock; 0 for a pace that was not ordered.
    pub pace_set_at: u64,
    /// It was stopped from working since a serving task stayed over its target: it comes back in
    /// steps.
    pub tripped: bool,
    /// Since when it has been slowed down for the most part.
    pub slow_since: Option<u64>,
    /// See [`crate::order::Run::figure`].
    pub figure: u64,
}

impl Slot {
    /// A run of a task of this step, at full speed.
    pub fn new(step: &Step, address: Address, image: Image, run: u64, stage: Stage) -> Self {
        Slot {
            address,
            run,
            adopted: false,
            size: step.size,
            fills: step.fills,
            target: step.target,
            image,
            stage,
            unanswered: None,
            start_cancelled: None,
            stopping: None,
            percent: 100,
            pace_set_at: 0,
            tripped: false,
            slow_since: None,
            figure: 0,
        }
    }

    /// What it takes of the room of its worker.
    pub fn reserved(&self) -> Size {
        let cpu = if self.fills { 0 } else { self.size.cpu };
        Size { cpu, ..self.size }
    }

    /// True when it has been known for so long, in milliseconds, that the run has begun.
    pub fn has_run(&self, time: u64, now: u64) -> bool {
        matches!(self.stage, Stage::Running { at } if now >= at + time)
    }

    /// True when the run began after this time, on our clock.
    pub const fn began_after(&self, time: u64) -> bool {
        matches!(self.stage, Stage::Running { at } if at > time)
    }

    /// True when the worker has not confirmed the start.
    pub fn is_sent(&self) -> bool {
        matches!(self.stage, Stage::Sent { .. })
    }
}
