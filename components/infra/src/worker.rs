//! The protocol between the owner of a cell and its workers, which run tasks under a lease and record
//! them in a ledger, and the HTTP adapter of the owner's side.
//!
//! `POST BASE/exchange` takes an [`Order`] and answers a [`Report`], both as JSON. An order
//! may be repeated: a start that is already in the ledger is not started again. A report contains only
//! the changes of the ledger after the version that the order acknowledges.

use {
    crate::size::Size,
    kernel::{Call, Client, Failure, verdict::Cause},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc, time::Duration},
};

/// Timeout of an exchange.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// The job's id.
    pub job: Arc<str>,
    /// The index of the task in the job, from 0.
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
    /// The task to start.
    pub task: Task,
    /// Increases with each start of the task.
    pub attempt: u64,
    /// The class of work.
    pub class: Arc<str>,
    /// The resources reserved for the task.
    pub size: Size,
    /// The declared duration of the task's work, in milliseconds; 0 for a long-running task.
    pub length: u64,
    /// The work completed at the checkpoint to resume from, in milliseconds.
    pub resume: u64,
}

/// How to stop a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopMode {
    /// Write a checkpoint, then stop.
    Checkpoint,
    /// Stop immediately.
    Kill,
}

/// The order to stop a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The task to stop.
    pub task: Task,
    /// The start to stop.
    pub attempt: u64,
    /// How to stop it.
    pub manner: StopMode,
}

/// The order to limit a task's processor share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// The task to throttle.
    pub task: Task,
    /// The share of the task's processors that it may use, in percent; 100 removes the limit.
    pub percent: u8,
}

/// An extension of a worker's lease, relative to the worker's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// The worker's clock in the last report that the owner has, in milliseconds.
    pub from: u64,
    /// The duration of the lease from then, in milliseconds.
    pub length: u64,
}

/// A message from a cell's owner to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The cell.
    pub cell: Arc<str>,
    /// The owner's epoch; a worker refuses one older than the newest it has received.
    pub epoch: u64,
    /// Increases with each order of the epoch. A worker refuses an order that is not newer than
    /// the last one, so that an order delayed in the network does not start a task again.
    pub number: u64,
    /// The version of the ledger that the owner has received.
    pub seen: u64,
    /// The worker's boot id that `seen` refers to.
    pub boot: u64,
    /// The lease extension, if any.
    pub extend: Option<Extension>,
    /// Tasks to start.
    pub starts: Vec<Start>,
    /// Tasks to stop.
    pub stops: Vec<Stop>,
    /// Tasks to throttle.
    pub throttles: Vec<Throttle>,
    /// Ended tasks (and their starts) that the owner has persisted, so that the ledger may drop them.
    pub forget: Vec<(Task, u64)>,
}

/// The phase of a task in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Started and not ended.
    Running,
    /// Exited with success.
    Finished,
    /// Exited with failure.
    Failed,
    /// Stopped by an order or because the lease expired.
    Stopped,
}

/// One entry of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The task.
    pub task: Task,
    /// The start.
    pub attempt: u64,
    /// The class of work.
    pub class: Arc<str>,
    /// The resources reserved for the task.
    pub size: Size,
    /// The current phase.
    pub phase: Phase,
    /// The work completed at the last complete checkpoint, in milliseconds.
    pub checkpoint: u64,
}

/// A sample of a task's resource usage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The task.
    pub task: Task,
    /// Thousandths of a processor.
    pub cpu: u32,
    /// Memory in megabytes.
    pub memory: u32,
    /// The age of the sample, in milliseconds.
    pub age: u64,
}

/// A start refused by the worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The task.
    pub task: Task,
    /// The start.
    pub attempt: u64,
    /// The reason.
    pub reason: Arc<str>,
}

/// The answer of a worker to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The boot id, unique to this incarnation of the worker.
    pub boot: u64,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// When the lease ends, on the worker's clock.
    pub lease: u64,
    /// The ledger's version.
    pub version: u64,
    /// The entries changed after the version in the order; all entries when the boot id differs.
    pub records: Vec<Record>,
    /// Starts refused in this exchange.
    pub refusals: Vec<Refusal>,
    /// Samples of usage, which may be old.
    pub usage: Vec<Usage>,
}

/// Client interface of the workers, for a cell's owner.
pub trait Workers: Send + Sync {
    /// Sends an order to the worker at this base address and returns its report.
    ///
    /// # Errors
    ///
    /// `Conflict` when the worker has received a newer epoch, `Refused` when it has received this
    /// order or a newer one; otherwise the failure of the call.
    fn exchange(&self, base: &str, order: &Order) -> Result<Report, Failure>;
}

/// The HTTP adapter.
pub struct Http {
    client: Client,
}

impl Http {
    /// Creates an adapter that uses this client.
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
        let response = self.client.send(&Call {
            method: "POST",
            url: &url,
            headers: &headers,
            body: &body,
            timeout: TIMEOUT.into(),
        })?;
        match response.status {
            200 => serde_json::from_slice(&response.body)
                .map_err(|e| Failure::may_have_run(Cause::BadAnswer, e.to_string())),
            FENCED_STATUS => Err(fenced()),
            STALE_STATUS => Err(stale()),
            status => {
                let text = format!("the worker answered with status {status}");
                Err(Failure::may_have_run(Cause::BadAnswer, text))
            }
        }
    }
}

/// The HTTP status with which a worker refuses an old epoch.
pub const FENCED_STATUS: u16 = 409;

/// The HTTP status with which a worker refuses an order that is not newer than the last one.
pub const STALE_STATUS: u16 = 410;

/// Returns the failure for a refused epoch.
pub fn fenced() -> Failure {
    Failure::not_run(Cause::Conflict, "the worker has received a newer epoch")
}

/// Returns the failure for an order that is not newer than the last one.
pub fn stale() -> Failure {
    Failure::not_run(
        Cause::Refused,
        "the worker has received this order or a newer one",
    )
}
