//! Messages between schedulers, and requests of operators and clients.

use {
    crate::{directory::Summary, spec::Spec},
    infra::Size,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Submits a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submit {
    /// The job's id; `None` lets the receiver choose the cell.
    pub id: Option<Arc<str>>,
    /// Unique key of the job; a repeated submission keeps it.
    pub key: u64,
    /// The specification.
    pub spec: Spec,
    /// True when another scheduler forwarded the request; it is not forwarded again.
    #[serde(default)]
    pub passed: bool,
}

/// Requests the status of a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobQuery {
    /// The job's id.
    pub id: Arc<str>,
    /// True when another scheduler forwarded the request; it is not forwarded again.
    #[serde(default)]
    pub passed: bool,
}

/// Cancels jobs of one cell or of several.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    /// The jobs' ids.
    pub ids: Vec<Arc<str>>,
    /// True when another scheduler forwarded the request; it is not forwarded again.
    #[serde(default)]
    pub passed: bool,
}

/// Requests a list for the cells owned by the receiver, or for all cells.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListQuery {
    /// True for all cells: the receiver calls the other owners.
    pub all: bool,
}

/// Drains a worker, or ends its drain.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Drain {
    /// The worker.
    pub worker: Arc<str>,
    /// True to drain, false to end the drain.
    pub drained: bool,
    /// True when another scheduler forwarded the request; it is not forwarded again.
    #[serde(default)]
    pub passed: bool,
}

/// Exchanges summaries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Exchange {
    /// The cell whose summary is requested; `None` for all cells.
    pub want: Option<Arc<str>>,
    /// The summaries known to the sender.
    pub summaries: Vec<Summary>,
}

/// Asks the receiver to take over a cell from an owner that is stopping.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Takeover {
    /// The cell.
    pub cell: Arc<str>,
}

/// A worker as seen by the owner of its cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Worker {
    /// The name.
    pub name: Arc<str>,
    /// The cell.
    pub cell: Arc<str>,
    /// The hardware generation.
    pub generation: Arc<str>,
    /// `live`, `draining`, `aside` (quarantined), `silent` (unreachable) or `gone` (not listed).
    pub state: Arc<str>,
    /// Total capacity.
    pub size: Size,
    /// Unallocated capacity.
    pub free: Size,
    /// Number of tasks that run on it.
    pub tasks: u32,
}
