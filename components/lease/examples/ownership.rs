//! The stages of an ownership, numbers of starts and lease expiry:
//! `cargo run -p magpie-lease --example ownership`.

use {
    magpie_lease::{LeaseTiming, Ownership},
    std::{sync::Arc, time::Instant},
};

fn main() {
    let fencing = Ownership::begin(Arc::from("h1"), 3);
    println!("fencing {} with epoch {}", fencing.cell(), fencing.epoch());
    // Only an active ownership can number a start.
    let mut active = fencing.activate();
    println!("the first start is number {:#x}", active.next_attempt());
    let reported = Instant::now();
    let timing = LeaseTiming::default();
    println!(
        "the lease of an unreachable worker has expired after {:?}",
        timing.expiry(reported) - reported
    );
}
