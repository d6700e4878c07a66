//! Benchmarks the estimate of the pressure: `cargo bench -p magpie-policy`.

use magpie_policy::{
    admission::{Backlog, Due, Kind, Pressure, Room, estimate},
    durations::Profile,
};

fn main() {
    divan::main();
}

/// The number of waiting jobs of each queue.
const JOBS: u64 = 20;

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
    let due: Vec<Due> = (0..JOBS)
        .map(|number| Due {
            until: number * 300,
            work: 500_000_000,
        })
        .collect();
    let backlogs: Vec<Backlog> = (0..count)
        .map(|number| Backlog {
            queue: format!("queue-{number}").into(),
            kind: kind(number),
            pool: "pool".into(),
            priority: number % 3,
            in_time: due.to_vec(),
            late: 1_000_000_000,
            inflow: 100_000,
            span: 4_000,
            run: Profile::ESTIMATE,
        })
        .collect();
    let rooms = [Kind::Batch, Kind::BestEffort].map(|kind| Room {
        pool: "pool".into(),
        kind,
        cpu: 20_000_000,
    });
    bencher.bench(|| -> Pressure { estimate(divan::black_box(&backlogs), &rooms) });
}
