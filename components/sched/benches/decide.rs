//! The cost of a placement against the number of workers: `cargo bench -p magpie-sched-core`.
//!
//! Each size places the same number of tasks, so the columns compare cost by worker count.

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

/// Tasks placed in one run.
const TASKS: u32 = 1000;

/// What a task needs.
const TASK: Size = Size::new(1000, 1000, 0);

fn main() {
    divan::main();
}

fn worker(at: usize) -> Item {
    Item {
        name: Arc::from(format!("w{at}")),
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
    for at in 0..workers {
        fleet.worker_mut(at).last_report = Some(LastReport {
            boot: 1,
            clock: 0,
            version: 0,
            at: now,
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
            let need = Demand {
                size: TASK,
                row: &row,
                now,
            };
            for index in 0..TASKS {
                let Some(at) = policy.choose(&need, &fleet) else {
                    return;
                };
                let job = job.clone();
                fleet.allocate(at, &Task { job, index }, TASK);
            }
        });
}
