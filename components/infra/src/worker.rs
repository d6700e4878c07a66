//! Workers: they run tasks under leases and keep a ledger of what they run.
//!
//! `POST BASE/exchange` takes an [`Order`] and answers a [`Report`], both as JSON. An order may be
//! repeated: a start that the ledger already holds is not started again. A report tells only what
//! changed in the ledger after the version that the order says was seen.

use {
    crate::size::Size,
    kernel::{Call, Client, Failure, verdict::Cause},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc, time::Duration},
};

/// The time after which an exchange is given up.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// The job's id.
    pub job: Arc<str>,
    /// The place in the job's array, from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

/// The order to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Which task.
    pub task: Task,
    /// Goes up with each start of the task.
    pub attempt: u64,
    /// The class of work.
    pub class: Arc<str>,
    /// What is committed for it.
    pub size: Size,
    /// How long its work takes, in milliseconds, as declared; 0 for a standing task.
    pub length: u64,
    /// The work already done at the checkpoint to resume from, in milliseconds.
    pub resume: u64,
}

/// How a task is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopMode {
    /// Write a checkpoint, then stop.
    Checkpoint,
    /// Stop at once.
    Kill,
}

/// The order to stop a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// Which task.
    pub task: Task,
    /// Which start of it.
    pub attempt: u64,
    /// How.
    pub manner: StopMode,
}

/// The order to slow a task down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// Which task.
    pub task: Task,
    /// The share of its processors that it may use, in percent; 100 lifts the throttle.
    pub percent: u8,
}

/// An extension of the worker's lease, bound to its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// The worker's clock in the last report that the owner has, in milliseconds.
    pub from: u64,
    /// The lease runs this long from there, in milliseconds.
    pub length: u64,
}

/// What a cell's owner tells a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The cell.
    pub cell: Arc<str>,
    /// The owner's epoch; a worker refuses one older than it has seen.
    pub epoch: u64,
    /// Goes up with each order of the epoch; a worker refuses one that it has passed, so that an
    /// order which was held up on its way starts nothing again.
    pub number: u64,
    /// The ledger's version that the owner has seen.
    pub seen: u64,
    /// The worker's boot that `seen` belongs to.
    pub boot: u64,
    /// The lease's extension.
    pub extend: Option<Extension>,
    /// Tasks to start.
    pub starts: Vec<Start>,
    /// Tasks to stop.
    pub stops: Vec<Stop>,
    /// Tasks to slow down.
    pub throttles: Vec<Throttle>,
    /// Ended tasks that are written down, which the ledger may forget.
    pub forget: Vec<(Task, u64)>,
}

/// Where a task stands in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Running.
    Running,
    /// Ended by itself, with success.
    Finished,
    /// Ended by itself, with failure.
    Failed,
    /// Stopped by an order or by the end of the lease.
    Stopped,
}

/// One task in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Which task.
    pub task: Task,
    /// Which start of it.
    pub attempt: u64,
    /// Its class.
    pub class: Arc<str>,
    /// What is committed for it.
    pub size: Size,
    /// Where it stands.
    pub phase: Phase,
    /// The work done at its last whole checkpoint, in milliseconds.
    pub checkpoint: u64,
}

/// What a task used, measured some time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Which task.
    pub task: Task,
    /// Processors, in thousandths.
    pub cpu: u32,
    /// Memory in megabytes.
    pub memory: u32,
    /// How old the sample is, in milliseconds.
    pub age: u64,
}

/// A start that the worker refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Which task.
    pub task: Task,
    /// Which start of it.
    pub attempt: u64,
    /// Why.
    pub reason: Arc<str>,
}

/// What a worker tells the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Unlike that of any earlier life of the box.
    pub boot: u64,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// When the lease ends, on the worker's clock.
    pub lease: u64,
    /// The ledger's version.
    pub version: u64,
    /// The records that changed after the version seen; all of them when the boot is another.
    pub records: Vec<Record>,
    /// Starts refused in this exchange.
    pub refusals: Vec<Refusal>,
    /// Late samples of usage.
    pub usage: Vec<Usage>,
}

/// The workers, as a cell's owner sees them.
pub trait Workers: Send + Sync {
    /// Makes one exchange with the worker at this base address.
    ///
    /// # Errors
    ///
    /// `Conflict` when the worker has seen a newer epoch; else as any call.
    fn exchange(&self, base: &str, order: &Order) -> Result<Report, Failure>;
}

/// The adapter over HTTP.
pub struct Http {
    client: Client,
}

impl Http {
    /// An adapter that makes its calls with this client.
    pub fn new(client: Client) -> Self {
        Http { client }
    }
}

impl Workers for Http {
    fn exchange(&self, base: &str, order: &Order) -> Result<Report, Failure> {
        let body = serde_json::to_vec(order)
            .map_err(|e| Failure::not_run(Cause::Invalid, e.to_string()))?;
        let url = format!("{base}/exchange");
        let headers = [("content-type", "application/json")];
        let answer = self.client.send(&Call {
            method: "POST",
            url: &url,
            headers: &headers,
            body: &body,
            timeout: TIMEOUT.into(),
        })?;
        match answer.status {
            200 => serde_json::from_slice(&answer.body)
                .map_err(|e| Failure::may_have_run(Cause::BadAnswer, e.to_string())),
            FENCED_STATUS => Err(fenced()),
            STALE_STATUS => Err(stale()),
            status => {
                let text = format!("the worker answered {status}");
                Err(Failure::may_have_run(Cause::BadAnswer, text))
            }
        }
    }
}

/// The status code by which a worker refuses an old epoch.
pub const FENCED_STATUS: u16 = 409;

/// The status code by which a worker refuses an order that it has passed.
pub const STALE_STATUS: u16 = 410;

/// The failure that stands for a refused epoch.
pub fn fenced() -> Failure {
    Failure::not_run(Cause::Conflict, "the worker has seen a newer epoch")
}

/// The failure that stands for an order that came too late.
pub fn stale() -> Failure {
    Failure::not_run(Cause::Refused, "the worker has passed this order")
}
