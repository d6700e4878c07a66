//! The life of an ownership: `cargo run -p magpie-lease --example ownership`.

use {
    magpie_lease::{LeaseTiming, Ownership},
    std::{sync::Arc, time::Instant},
};

fn main() {
    let fencing = Ownership::begin(Arc::from("h1"), 3);
    println!("fencing {} with epoch {}", fencing.cell(), fencing.epoch());
    // Only a tenure that holds the cell can number a start.
    let mut holding = fencing.activate();
    println!("the first start is number {:#x}", holding.next_attempt());
    let heard = Instant::now();
    let term = LeaseTiming::default();
    println!(
        "a silent worker is given up after {:?}",
        term.expiry(heard) - heard
    );
}
