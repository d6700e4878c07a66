//! Benchmarks the estimate of the pressure: `cargo bench -p magpie-policy`.

use magpie_policy::admission::{Backlog, Kind, Pressure, Room, estimate};

fn main() {
    divan::main();
}

/// Waiting work of this many queues of two kinds and three priorities in one pool.
#[divan::bench(args = [10])]
fn estimate_queues(bencher: divan::Bencher<'_, '_>, count: u32) {
    let kind = |number: u32| {
        if number.is_multiple_of(2) {
            Kind::Batch
        } else {
            Kind::BestEffort
        }
    };
    let backlogs: Vec<Backlog> = (0..count)
        .map(|number| Backlog {
            queue: format!("queue-{number}").into(),
            kind: kind(number),
            pool: "pool".into(),
            priority: number % 3,
            in_time: 10_000_000_000,
            late: 1_000_000_000,
            inflow: 100_000,
            run_percent: 130,
        })
        .collect();
    let rooms = [Kind::Batch, Kind::BestEffort].map(|kind| Room {
        pool: "pool".into(),
        kind,
        cpu: 20_000_000,
    });
    bencher.bench(|| -> Pressure { estimate(divan::black_box(&backlogs), &rooms) });
}
