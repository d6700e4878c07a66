//! The edits that lead from a table to a sheet.

use {
    crate::{
        model::{RowEdit, Table},
        row::Row,
    },
    std::collections::BTreeSet,
};

/// The edits that make the table's rows those of the sheet.
pub fn diff(table: &Table, wanted: &[Row]) -> Vec<RowEdit> {
    let mut edits = Vec::new();
    let mut kept = BTreeSet::new();
    for row in wanted {
        kept.insert(row.class.clone());
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
        if kept.contains(&row.class) {
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
    fn diff_cases() {
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
