//! Whether a job is accepted while work is waiting, and when a refused one can succeed.
//!
//! The owner knows what waits and how fast it is done. It tells all boxes, with the messages that
//! pass anyway, how long one more job of each queue would wait ([`Pressure`]). A box refuses at once
//! what could only end after its result has lost all worth ([`judge`]), before anything is stored.
//! Without recent figures a box accepts everything.

mod estimate;
mod history;
mod inflow;
mod never;
mod verdict;

pub use estimate::{Backlog, Due, Room, estimate};
pub use history::{Offer, PoolHistory};
pub use inflow::{Inflow, Source};
pub use never::{PoolCapacity, impossible};
pub use verdict::{Demand, Verdict, judge, spread};

use {
    crate::durations::Profile,
    job::Spec,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// How the tasks of a job obtain CPU.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// They reserve CPU until they are done.
    Batch,
    /// They use CPU that is left idle.
    BestEffort,
    /// They reserve CPU until the job is cancelled.
    LongRunning,
}

impl Kind {
    /// Returns the kind of a job. A job with best-effort steps ends when these have found idle CPU.
    pub fn of(spec: &Spec) -> Self {
        if spec.is_long_running() {
            Kind::LongRunning
        } else if spec.steps.iter().any(|step| step.fills) {
            Kind::BestEffort
        } else {
            Kind::Batch
        }
    }
}

/// The pressure on one queue by jobs of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuePressure {
    /// The queue.
    pub queue: Arc<str>,
    /// The kind of job.
    pub kind: Kind,
    /// How long the work ahead of one more job takes if that job is still in time; `u64::MAX` if it
    /// never ends.
    pub wait: u64,
    /// How long all work ahead of one more job takes if that job is late, with what arrives
    /// meanwhile; `u64::MAX` if it never ends.
    pub drain: u64,
    /// How the run time of a job is predicted from its estimated critical path.
    pub run: Profile,
}

/// What the owner tells other boxes of the waiting work. Queues without waiting work are left out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pressure {
    /// The figures by queue and kind.
    pub queues: Vec<QueuePressure>,
}

impl Pressure {
    /// Returns the figures of a queue and kind.
    pub fn of(&self, queue: &str, kind: Kind) -> Option<&QueuePressure> {
        let mut queues = self.queues.iter();
        queues.find(|own| &*own.queue == queue && own.kind == kind)
    }

    /// Predicts the run time of a job from its estimated critical path, in milliseconds.
    pub fn run_time(&self, queue: &str, kind: Kind, chain: u64) -> u64 {
        self.of(queue, kind)
            .map_or(chain, |own| own.run.predict(chain))
    }
}

#[cfg(test)]
mod tests;
