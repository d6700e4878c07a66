//! Messages between table processes, their followers and operators.

use {
    crate::model::{Change, Edit, Refusal, StoredTable, Table},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Request for the changes after a version. Without any, the response is delayed by up to `wait`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Watch {
    /// The sender's version.
    pub after: u64,
    /// Maximum wait, in milliseconds.
    pub wait: u64,
}

/// Changes since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Update {
    /// No changes.
    Same,
    /// The changes, in order of version.
    Changes(Vec<Change>),
    /// The whole table, if the history does not reach back to the requested version.
    Whole(Arc<StoredTable>),
}

impl Update {
    /// Version of the table after this update; `None` for `Same`.
    pub fn version(&self) -> Option<u64> {
        match self {
            Update::Same => None,
            Update::Changes(changes) => changes.last().map(|change| change.version),
            Update::Whole(stored) => Some(stored.table.version),
        }
    }
}

/// Request to compare the sender's version with the receiver's.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Compare {
    /// The sender's version.
    pub version: u64,
}

/// Response to [`Compare`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Comparison {
    /// The receiver's version.
    pub version: u64,
    /// The changes that the sender lacks.
    pub update: Update,
}

/// Response to [`Submit`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Accepted, with the resulting version.
    Accepted(u64),
    /// Refused; sending the same edit again does not help.
    Refused(Refusal),
}

/// Request to make an edit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submit {
    /// The edit.
    pub edit: Edit,
}

/// Response to a request for the current table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Current {
    /// The current table.
    pub table: Arc<Table>,
    /// The most recent changes, oldest first.
    pub history: Vec<Change>,
}
