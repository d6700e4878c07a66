//! Messages between the owner and workers: orders, their outcomes, and reports.

use {
    crate::worker::TaskKey,
    job::{Address, Id},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub key: TaskKey,
    /// The address of the task within its job.
    pub address: Address,
    /// The number of the run.
    pub run: u64,
    /// The specification of the job. Empty if it is stored separately; the sender of the order then
    /// fills it in.
    pub text: Arc<str>,
    /// The checkpoint to resume from.
    pub saved: Option<Arc<str>>,
    /// The worker refuses the order after this time, on its own clock.
    pub deadline: u64,
    /// The ticket to present to the worker, for queues with an external advice service.
    pub ticket: Option<Arc<str>>,
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Starts a run.
    Start(Start),
    /// Stops a run.
    Stop {
        /// The task.
        key: TaskKey,
        /// The address of the task within its job.
        address: Address,
        /// The number of the run.
        run: u64,
    },
    /// Throttles a run to a fraction of its full speed.
    Pace {
        /// The task.
        key: TaskKey,
        /// The address of the task within its job.
        address: Address,
        /// The number of the run.
        run: u64,
        /// The pace as a percentage of full speed.
        percent: u8,
    },
    /// Revokes an order to start that is still queued. Nothing is sent to the worker.
    Withdraw {
        /// The task.
        key: TaskKey,
        /// The number of the run.
        run: u64,
    },
}

impl Order {
    /// Returns the task that the order is about.
    pub const fn key(&self) -> &TaskKey {
        match self {
            Order::Start(start) => &start.key,
            Order::Stop { key, .. } | Order::Pace { key, .. } | Order::Withdraw { key, .. } => key,
        }
    }
}

/// Formats the kind of order and the run, without details that only the worker needs.
impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (word, key, run) = match self {
            Order::Start(start) => ("start", &start.key, start.run),
            Order::Stop { key, run, .. } => ("stop", key, *run),
            Order::Pace { key, run, .. } => ("pace", key, *run),
            Order::Withdraw { key, run } => ("withdraw", key, *run),
        };
        write!(f, "{word} {}/{}.{run}", key.job.as_str(), key.place)?;
        match self {
            Order::Start(start) => write!(f, " by {}", start.deadline),
            Order::Stop { .. } | Order::Withdraw { .. } => Ok(()),
            Order::Pace { percent, .. } => write!(f, " at {percent}%"),
        }
    }
}

/// Why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker has seen a higher fence: another owner has taken over.
    Fence,
    /// The run number is not higher than one that the worker knows.
    Old,
    /// The deadline of the order has passed on the worker's clock.
    Late,
    /// The worker lacks capacity.
    Room,
    /// The ticket is missing or has expired.
    Ticket,
    /// The worker is unhealthy and has done nothing.
    Unwell,
    /// The worker cannot decode the order.
    Invalid,
    /// Another incarnation of the worker answered; all runs of the old one have ended.
    OtherLife,
    /// The order was not sent.
    NotSent,
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Carried out.
    Done,
    /// Certainly not carried out.
    Refused(Refusal),
    /// No complete answer: the order may have been carried out, or may be later.
    Unknown,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndCause {
    /// Completed.
    Done,
    /// Failed because of the task or the worker.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// Stopped since the lease had expired.
    Lapsed,
    /// Ended since another member of its gang ended.
    Broken,
    /// Ended since the other members of its gang did not start in time.
    Alone,
}

/// A run that a worker lists as running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The job.
    pub job: Id,
    /// The task.
    pub address: Address,
    /// The number of the run.
    pub run: u64,
    /// The latest checkpoint.
    pub saved: Option<Arc<str>>,
    /// For a serving task, the tail latency in milliseconds; for any other task, the CPU in use in
    /// thousandths of a core. A rough estimate over the last half second.
    pub figure: u64,
    /// The worker reports the run at 100 percent. A long-running task is at work only then: before,
    /// it is starting or stands still. Left out while it is not, like batch tasks until they end.
    #[serde(default, skip_serializing_if = "is_false")]
    pub ready: bool,
}

/// True for a flag that is left out of messages.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(flag: &bool) -> bool {
    !*flag
}

/// A run that a worker lists as ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Number of the end; counts up from 1 in each incarnation of the worker.
    pub number: u64,
    /// The job.
    pub job: Id,
    /// The task.
    pub address: Address,
    /// The number of the run.
    pub run: u64,
    /// How the run ended.
    pub how: EndCause,
    /// The latest checkpoint.
    pub saved: Option<Arc<str>>,
}

/// A worker's report of its runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// Running runs.
    pub running: Vec<Run>,
    /// Ended runs that are not acknowledged, the oldest first.
    pub ended: Vec<RunEnd>,
}
