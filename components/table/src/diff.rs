//! Difference between the current table and a sheet, as row edits.

use {
    crate::{
        model::{RowEdit, Table},
        row::Row,
    },
    std::collections::BTreeSet,
};

/// Returns the edits that turn the rows of `table` into `wanted`. They contain the revisions of
/// `table`.
pub fn diff(table: &Table, wanted: &[Row]) -> Vec<RowEdit> {
    let mut edits = Vec::new();
    let mut wanted_classes = BTreeSet::new();
    for row in wanted {
        wanted_classes.insert(row.class.clone());
        let present = table.rows.get(&row.class);
        let revision = present.map_or(0, |present| present.revision);
        if present.is_some_and(|present| {
            *present
                == Row {
                    revision,
                    ..row.clone()
                }
        }) {
            continue;
        }
        edits.push(RowEdit {
            class: row.class.clone(),
            revision,
            row: Some(row.clone()),
        });
    }
    for row in table.rows.values() {
        if wanted_classes.contains(&row.class) {
            continue;
        }
        edits.push(RowEdit {
            class: row.class.clone(),
            revision: row.revision,
            row: None,
        });
    }
    edits
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn diff_adds_and_removes() {
        let old = Row {
            revision: 4,
            ..Row::batch("old")
        };
        let same = Row {
            revision: 2,
            ..Row::batch("same")
        };
        let rows = [old, same].map(|row| (row.class.clone(), row)).into();
        let table = Table { version: 4, rows };
        let edits = diff(&table, &[Row::batch("same"), Row::batch("new")]);
        let found: Vec<_> = edits
            .iter()
            .map(|e| (&*e.class, e.revision, e.row.is_some()))
            .collect();
        assert_eq!(found, [("new", 0, true), ("old", 4, false)]);
    }
}
