//! What is sent to workers and what comes back.

use {
    crate::worker::TaskKey,
    job::{Address, Id},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub key: TaskKey,
    /// Its name within its job.
    pub address: Address,
    /// The number of the run.
    pub run: u64,
    /// The specification of its job; empty where it is kept by itself, for whoever sends the order.
    pub text: Arc<str>,
    /// The checkpoint to go on from.
    pub saved: Option<Arc<str>>,
    /// On the worker's clock: an order that arrives later is refused.
    pub deadline: u64,
    /// What the worker must be shown on queues where a service outside chooses.
    pub ticket: Option<Arc<str>>,
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop {
        /// The task.
        key: TaskKey,
        /// Its name within its job.
        address: Address,
        /// The number of the run.
        run: u64,
    },
    /// Let a task work at a share of its speed.
    Pace {
        /// The task.
        key: TaskKey,
        /// Its name within its job.
        address: Address,
        /// The number of the run.
        run: u64,
        /// The share in hundredths.
        percent: u8,
    },
    /// Do not let the start of a run leave that still waits behind other orders. The worker is told nothing.
    Withdraw {
        /// The task.
        key: TaskKey,
        /// The number of the run.
        run: u64,
    },
}

/// What an order asks of which run, without what the worker needs besides.
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
    /// It has seen a higher fence: another owner has taken over.
    Fence,
    /// The run is not above one that it knows.
    Old,
    /// The order's deadline has passed on its clock.
    Late,
    /// It has no room.
    Room,
    /// The ticket is missing or no longer holds.
    Ticket,
    /// It is not well, and has done nothing.
    Unwell,
    /// It cannot read the order.
    Invalid,
    /// Another life of the worker answers: everything of the old one is gone.
    OtherLife,
    /// Nothing was sent.
    NotSent,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Carried out.
    Done,
    /// Surely not carried out.
    Refused(Refusal),
    /// No whole answer: it may have been carried out, or may be later.
    Unknown,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndCause {
    /// Well.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// By an order.
    Stopped,
    /// The lease was over.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// A run that a worker lists as going on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The job.
    pub job: Id,
    /// The task.
    pub address: Address,
    /// The number of the run.
    pub run: u64,
    /// Its newest checkpoint.
    pub saved: Option<Arc<str>>,
    /// For a task that serves users, the tail of its answer times in milliseconds; for another,
    /// the thousandths of a core in use. Rough, over the last half second.
    pub figure: u64,
}

/// A run that a worker lists as ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Counts up from 1 in the worker's life.
    pub number: u64,
    /// The job.
    pub job: Id,
    /// The task.
    pub address: Address,
    /// The number of the run.
    pub run: u64,
    /// How it ended.
    pub how: EndCause,
    /// Its newest checkpoint.
    pub saved: Option<Arc<str>>,
}

/// A worker's own account of what runs and what has ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// What runs.
    pub running: Vec<Run>,
    /// What ended and is not acknowledged, the oldest first.
    pub ended: Vec<RunEnd>,
}
