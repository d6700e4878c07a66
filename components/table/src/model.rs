//! Data model of the table: rows at a version, edits, conflicts, and the history of changes.

use {
    crate::{row::Row, sheet},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// Maximum number of changes in the history.
pub const MAX_HISTORY: usize = 500;

/// Maximum size of the encoded [`StoredTable`], in bytes. Old history is dropped above it.
pub const MAX_STORED_BYTES: usize = 900 * 1024;

/// The table at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Number of accepted edits.
    pub version: u64,
    /// Rows by class.
    pub rows: BTreeMap<Arc<str>, Row>,
}

/// Edit of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowEdit {
    /// Class of the row.
    pub class: Arc<str>,
    /// Revision of the row that the edit is based on; 0 if the row did not exist.
    pub revision: u64,
    /// New row; `None` removes it.
    pub row: Option<Row>,
}

/// An edit, which is accepted or refused as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Unique id. An edit that is sent again keeps its id, so that it is accepted only once.
    pub id: u64,
    /// Author of the edit.
    pub who: Arc<str>,
    /// Edits of single rows.
    pub rows: Vec<RowEdit>,
}

/// A row before and after a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Class of the row.
    pub class: Arc<str>,
    /// Old row; `None` if it did not exist.
    pub before: Option<Row>,
    /// New row; `None` if it was removed.
    pub after: Option<Row>,
}

/// An accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id of the edit.
    pub id: u64,
    /// Version of the table after the edit.
    pub version: u64,
    /// Author of the edit.
    pub who: Arc<str>,
    /// Time of the edit, in milliseconds since 1970.
    pub at: u64,
    /// Rows that the edit changed.
    pub rows: Vec<RowChange>,
}

/// A row whose revision is not the one that the edit is based on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Class of the row.
    pub class: Arc<str>,
    /// Row of the refused edit.
    pub wanted: Option<Row>,
    /// Current row.
    pub present: Option<Row>,
}

/// Why an edit was refused. No part of a refused edit is applied.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Refusal {
    /// another edit has changed the same rows: {0:?}
    Conflicts(Vec<Conflict>),
    /// the edit violates a rule: {0:?}
    Invalid(Vec<String>),
}

/// Value in the store: the table and its most recent changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTable {
    /// The table.
    pub table: Table,
    /// The most recent changes, oldest first.
    pub history: VecDeque<Change>,
}

impl Table {
    /// Checks an edit and computes its change without applying it. `at` is the time in milliseconds
    /// since 1970.
    ///
    /// # Errors
    ///
    /// `Conflicts` if rows have another revision than the edit is based on; `Invalid` if the
    /// resulting table would violate a rule.
    pub fn evaluate(&self, edit: &Edit, at: u64) -> Result<Change, Refusal> {
        let mut conflicts = Vec::new();
        let mut rows = Vec::new();
        for change in &edit.rows {
            let present = self.rows.get(&change.class);
            let revision = present.map_or(0, |row| row.revision);
            if revision != change.revision {
                conflicts.push(Conflict {
                    class: change.class.clone(),
                    wanted: change.row.clone(),
                    present: present.cloned(),
                });
                continue;
            }
            let version = self.version + 1;
            let after = change.row.clone().map(|row| Row {
                revision: version,
                ..row
            });
            let before = present.cloned();
            rows.push(RowChange {
                class: change.class.clone(),
                before,
                after,
            });
        }
        if !conflicts.is_empty() {
            return Err(Refusal::Conflicts(conflicts));
        }
        let version = self.version + 1;
        let change = Change {
            id: edit.id,
            version,
            who: edit.who.clone(),
            at,
            rows,
        };
        let rows: Vec<Row> = self.with(&change).rows.into_values().collect();
        let violations = sheet::validate_rows(&rows);
        if !violations.is_empty() {
            return Err(Refusal::Invalid(violations));
        }
        Ok(change)
    }

    /// Returns the table with a change applied.
    pub fn with(&self, change: &Change) -> Table {
        let mut rows = self.rows.clone();
        for altered in &change.rows {
            match &altered.after {
                Some(row) => rows.insert(altered.class.clone(), row.clone()),
                None => rows.remove(&altered.class),
            };
        }
        Table {
            version: change.version,
            rows,
        }
    }
}

impl StoredTable {
    /// Finds the change of the edit with this id in the history.
    pub fn find_change(&self, id: u64) -> Option<&Change> {
        self.history.iter().find(|change| change.id == id)
    }

    /// Returns the table and history with a change applied.
    pub fn with(&self, change: Change) -> StoredTable {
        let mut history = self.history.clone();
        let table = self.table.with(&change);
        history.push_back(change);
        while history.len() > MAX_HISTORY {
            history.pop_front();
        }
        StoredTable { table, history }
    }

    /// Returns the table and history with changes applied in order, skipping those that are already
    /// applied. Returns `None` if a version is missing between them.
    pub fn apply_changes(&self, changes: Vec<Change>) -> Option<StoredTable> {
        let mut stored = self.clone();
        for change in changes {
            if change.version <= stored.table.version {
                continue;
            }
            if change.version != stored.table.version + 1 {
                return None;
            }
            stored = stored.with(change);
        }
        Some(stored)
    }

    /// Returns the changes after a version, or `None` if the history does not reach back to it.
    pub fn changes_since(&self, version: u64) -> Option<Vec<Change>> {
        if version >= self.table.version {
            return Some(Vec::new());
        }
        if self.history.front()?.version > version + 1 {
            return None;
        }
        Some(
            self.history
                .iter()
                .filter(|change| change.version > version)
                .cloned()
                .collect(),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn edit(id: u64, class: &str, revision: u64, weight: u32) -> Edit {
        let row = Row {
            weight,
            ..Row::batch(class)
        };
        let rows = vec![RowEdit {
            class: Arc::from(class),
            revision,
            row: Some(row),
        }];
        Edit {
            id,
            who: Arc::from("op"),
            rows,
        }
    }

    fn accept(stored: &StoredTable, edit: &Edit) -> StoredTable {
        stored.with(stored.table.evaluate(edit, 0).unwrap())
    }

    #[test]
    fn evaluate_same_row_conflicts() {
        let stored = accept(&StoredTable::default(), &edit(1, "a", 0, 10));
        let stored = accept(&stored, &edit(2, "a", 1, 20));
        let Err(Refusal::Conflicts(conflicts)) = stored.table.evaluate(&edit(3, "a", 1, 30), 0)
        else {
            panic!("no conflict");
        };
        assert_eq!(conflicts[0].present.as_ref().unwrap().weight, 20);
        assert_eq!(conflicts[0].wanted.as_ref().unwrap().weight, 30);
    }

    #[test]
    fn evaluate_other_rows_accepted() {
        let stored = accept(&StoredTable::default(), &edit(1, "a", 0, 10));
        let stored = accept(&stored, &edit(2, "b", 0, 20));
        assert_eq!((stored.table.version, stored.table.rows.len()), (2, 2));
        assert_eq!(stored.find_change(1).unwrap().version, 1);
    }

    #[test]
    fn changes_since_reaches_back() {
        let mut stored = StoredTable::default();
        for id in 0..MAX_HISTORY as u64 + 5 {
            stored = accept(&stored, &edit(id, &format!("c{id}"), 0, 10));
        }
        assert_eq!(
            stored
                .changes_since(stored.table.version - 3)
                .unwrap()
                .len(),
            3
        );
        assert!(stored.changes_since(2).is_none());
        assert!(
            stored
                .changes_since(stored.table.version + 9)
                .unwrap()
                .is_empty()
        );
    }
}
