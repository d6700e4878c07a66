//! The table with its history, and edits of it.

use {
    crate::{row::Row, sheet},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// How many changes the history keeps at most.
pub const MAX_HISTORY: usize = 500;

/// How large the encoded stored may become before old history is dropped, in bytes.
pub const MAX_STORED_BYTES: usize = 900 * 1024;

/// The table at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Goes up by one with each accepted edit; 0 for a table that never had one.
    pub version: u64,
    /// The rows by class.
    pub rows: BTreeMap<Arc<str>, Row>,
}

/// What an edit makes of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowEdit {
    /// The class.
    pub class: Arc<str>,
    /// The revision that the operator saw; 0 for a row that was not there.
    pub revision: u64,
    /// The row as it is to be; `None` takes it away.
    pub row: Option<Row>,
}

/// An edit: all of its rows are accepted, or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Unlike that of any other edit; the same edit sent again keeps it.
    pub id: u64,
    /// Who makes it.
    pub who: Arc<str>,
    /// The rows.
    pub rows: Vec<RowEdit>,
}

/// One row before and after a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// The class.
    pub class: Arc<str>,
    /// The row before; `None` when it was not there.
    pub before: Option<Row>,
    /// The row after; `None` when it was taken away.
    pub after: Option<Row>,
}

/// An accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The edit's id.
    pub id: u64,
    /// The version that it made.
    pub version: u64,
    /// Who made it.
    pub who: Arc<str>,
    /// When, in milliseconds since 1970.
    pub at: u64,
    /// The rows.
    pub rows: Vec<RowChange>,
}

/// A row that another edit changed meanwhile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The class.
    pub class: Arc<str>,
    /// The row that the operator wanted.
    pub wanted: Option<Row>,
    /// The row as it is now.
    pub present: Option<Row>,
}

/// Why an edit was not accepted; nothing of it was applied.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Refusal {
    /// another edit changed the same rows meanwhile: {0:?}
    Conflicts(Vec<Conflict>),
    /// the edit breaks a rule: {0:?}
    Invalid(Vec<String>),
}

/// The stored value: the table and the last changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTable {
    /// The table.
    pub table: Table,
    /// The last changes, the oldest first.
    pub history: VecDeque<Change>,
}

impl Table {
    /// Works out what an edit would change, without changing it.
    ///
    /// # Errors
    ///
    /// Rows whose revision is another by now, or a table that would break a rule.
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
        let broken = sheet::validate_rows(&rows);
        if !broken.is_empty() {
            return Err(Refusal::Invalid(broken));
        }
        Ok(change)
    }

    /// The table after a change.
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
    /// The change that the edit of this id made, as far back as the history reaches.
    pub fn find_change(&self, id: u64) -> Option<&Change> {
        self.history.iter().find(|change| change.id == id)
    }

    /// The stored after a change.
    pub fn with(&self, change: Change) -> StoredTable {
        let mut history = self.history.clone();
        let table = self.table.with(&change);
        history.push_back(change);
        while history.len() > MAX_HISTORY {
            history.pop_front();
        }
        StoredTable { table, history }
    }

    /// The stored after changes, in their order; those that it holds already count for nothing.
    /// `None` when they do not join on to it.
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

    /// The changes after a version; `None` when the history does not reach back so far.
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
    fn judge_same_row_conflicts() {
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
    fn judge_other_rows_both_go_in() {
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
