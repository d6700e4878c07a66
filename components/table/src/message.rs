//! Messages between table processes, their followers and operators.

use {
    crate::model::{Change, Edit, Refusal, StoredTable, Table},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Asks for what came after a version; waits up to a time when nothing has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Watch {
    /// The version that the asker has.
    pub after: u64,
    /// How long to wait, in milliseconds.
    pub wait: u64,
}

/// What came after a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Update {
    /// Nothing.
    Same,
    /// These changes, in their order.
    Changes(Vec<Change>),
    /// The whole table, where the history does not reach back so far.
    Whole(Arc<StoredTable>),
}

impl Update {
    /// The version after this update; `None` for `Same`.
    pub fn version(&self) -> Option<u64> {
        match self {
            Update::Same => None,
            Update::Changes(changes) => changes.last().map(|change| change.version),
            Update::Whole(stored) => Some(stored.table.version),
        }
    }
}

/// Compares the sender's version with the receiver's.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Compare {
    /// The sender's version.
    pub version: u64,
}

/// The answer to [`Compare`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Comparison {
    /// The receiver's version.
    pub version: u64,
    /// What the sender lacks.
    pub update: Update,
}

/// The answer to an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Accepted, as this version.
    Accepted(u64),
    /// Not accepted, and never will be.
    Refused(Refusal),
}

/// An operator's edit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submit {
    /// The edit.
    pub edit: Edit,
}

/// The answer to a question for the table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Current {
    /// The table.
    pub table: Arc<Table>,
    /// The last changes, the oldest first.
    pub history: Vec<Change>,
}
