//! Benchmarks the cost of a placement by number of workers: `cargo bench -p magpie-sched-core`.
//!
//! Each case places the same number of tasks, so the rows can be compared.

use {
    infra::{
        Size,
        boxes::{Item, Kind, State},
        worker::Task,
    },
    magpie_sched_core::{
        fleet::{Fleet, LastReport},
        placement::{self, Demand},
    },
    std::{sync::Arc, time::Instant},
    table::Row,
};

/// Number of tasks placed in one iteration.
const TASKS: u32 = 1000;

/// The size of a task.
const TASK: Size = Size::new(1000, 1000, 0);

fn main() {
    divan::main();
}

fn worker(worker_index: usize) -> Item {
    Item {
        name: Arc::from(format!("w{worker_index}")),
        kind: Kind::Worker,
        hall: Arc::from("h1"),
        rack: Arc::from("r1"),
        state: State::Live,
        services: [(Arc::from("worker"), Arc::from("http://10.0.0.1:7000"))].into(),
        size: Size::new(64_000, 250_000, 0),
        generation: Arc::from("g1"),
        class: Arc::from(""),
    }
}

fn fleet(workers: usize, now: Instant) -> Fleet {
    let items: Vec<Item> = (0..workers).map(worker).collect();
    let mut fleet = Fleet::default();
    fleet.update(&items.iter().collect::<Vec<_>>());
    for worker_index in 0..workers {
        fleet.worker_mut(worker_index).last_report = Some(LastReport {
            boot: 1,
            clock: 0,
            version: 0,
            received_at: now,
        });
    }
    fleet
}

#[divan::bench(args = [50, 100, 200, 400, 800, 1600], consts = [0, 1])]
fn place<const POLICY: usize>(bencher: divan::Bencher<'_, '_>, workers: usize) {
    let name = ["packing", "spread"][POLICY];
    let now = Instant::now();
    let row = Row::batch("batch");
    let job: Arc<str> = Arc::from("h1.0000000000000001");
    bencher
        .counter(divan::counter::ItemsCount::new(TASKS))
        .with_inputs(|| (fleet(workers, now), placement::create(name)))
        .bench_local_values(|(mut fleet, policy)| {
            let Ok(mut policy) = policy else { return };
            let demand = Demand {
                size: TASK,
                row: &row,
                now,
            };
            for index in 0..TASKS {
                let Some(worker_index) = policy.choose(&demand, &fleet) else {
                    return;
                };
                let job = job.clone();
                fleet.allocate(worker_index, &Task { job, index }, TASK);
            }
        });
}
