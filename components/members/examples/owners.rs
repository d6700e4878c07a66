//! Owners of cells before and after the removal of a box:
//! `cargo run -p magpie-members --example owners`.

use {magpie_members::assign, std::sync::Arc};

fn names(prefix: &str, count: usize) -> Vec<Arc<str>> {
    (1..=count)
        .map(|number| Arc::from(format!("{prefix}{number}")))
        .collect()
}

fn main() {
    let (cells, boxes) = (names("h", 4), names("b", 6));
    let before = assign(&cells, &boxes);
    let after = assign(&cells, &boxes[1..]);
    for cell in &cells {
        println!("{cell}: {} then {}", before[cell], after[cell]);
    }
}
