//! Shows the conflict when two operators edit the same row: `cargo run -p magpie-table-core --example edit`.

use {
    magpie_table_core::{Edit, Row, RowEdit, Table},
    std::sync::Arc,
};

fn edit(id: u64, who: &str, revision: u64, weight: u32) -> Edit {
    let row = Row {
        weight,
        ..Row::batch("manifest")
    };
    let rows = vec![RowEdit {
        class: row.class.clone(),
        revision,
        row: Some(row),
    }];
    Edit {
        id,
        who: Arc::from(who),
        rows,
    }
}

fn main() {
    let mut table = Table::default();
    for edit in [edit(1, "asha", 0, 100), edit(2, "bert", 0, 200)] {
        match table.evaluate(&edit, 0) {
            Ok(change) => {
                table = table.with(&change);
                println!("{} is accepted as version {}", edit.who, table.version);
            }
            Err(refusal) => println!("{} is refused: {refusal}", edit.who),
        }
    }
}
