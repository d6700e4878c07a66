//! Messages between schedulers, and from operators.

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
    /// Unlike that of any other job; a submission sent again keeps it.
    pub key: u64,
    /// What is asked for.
    pub spec: Spec,
    /// True when another scheduler passed it on.
    #[serde(default)]
    pub passed: bool,
}

/// Names a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobQuery {
    /// The job's id.
    pub id: Arc<str>,
    /// True when another scheduler passed it on.
    #[serde(default)]
    pub passed: bool,
}

/// Cancels jobs of one cell or of several.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    /// The jobs' ids.
    pub ids: Vec<Arc<str>>,
    /// True when another scheduler passed it on.
    #[serde(default)]
    pub passed: bool,
}

/// Asks for what the receiver's cells hold, or for all cells'.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListQuery {
    /// True for all cells; the receiver asks their owners.
    pub all: bool,
}

/// Drains a worker, or takes that back.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Drain {
    /// The worker.
    pub worker: Arc<str>,
    /// True to drain.
    pub drained: bool,
    /// True when another scheduler passed it on.
    #[serde(default)]
    pub passed: bool,
}

/// Exchanges summaries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Exchange {
    /// Asks for this cell alone; `None` for all.
    pub want: Option<Arc<str>>,
    /// What the sender knows.
    pub summaries: Vec<Summary>,
}

/// Asks the receiver to take a cell over from an owner that stops.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Takeover {
    /// The cell.
    pub cell: Arc<str>,
}

/// One worker, as its cell's owner sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Worker {
    /// The name.
    pub name: Arc<str>,
    /// The cell.
    pub cell: Arc<str>,
    /// The hardware generation.
    pub generation: Arc<str>,
    /// `live`, `draining`, `aside`, `silent` or `gone`.
    pub state: Arc<str>,
    /// What it has.
    pub size: Size,
    /// What is not committed.
    pub free: Size,
    /// Tasks that run on it.
    pub tasks: u32,
}
