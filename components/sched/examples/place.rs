//! Places a task with each built-in policy:
//! `cargo run -p magpie-sched-core --example place`.

use {
    infra::{
        Size,
        boxes::{Item, Kind, State},
    },
    kernel::{Failure, plugin},
    magpie_sched_core::{
        fleet::{Fleet, LastReport},
        placement::{self, Demand},
    },
    std::{sync::Arc, time::Instant},
    table::Row,
};

fn worker(name: &str, cpu: u32) -> Item {
    Item {
        name: Arc::from(name),
        kind: Kind::Worker,
        hall: Arc::from("h1"),
        rack: Arc::from("r1"),
        state: State::Live,
        services: [(Arc::from("worker"), Arc::from("http://10.0.0.1:7000"))].into(),
        size: Size::new(cpu, 60_000, 0),
        generation: Arc::from("g1"),
        class: Arc::from(""),
    }
}

fn main() -> Result<(), Failure> {
    let mut fleet = Fleet::default();
    let items = [worker("w1", 16_000), worker("w2", 64_000)];
    fleet.update(&items.iter().collect::<Vec<_>>());
    let now = Instant::now();
    for index in 0..items.len() {
        // Simulates a recent report; a worker without one is not schedulable.
        fleet.worker_mut(index).last_report = Some(LastReport {
            boot: 1,
            clock: 0,
            version: 0,
            received_at: now,
        });
    }
    let row = Row::batch("manifest");
    let demand = Demand {
        size: Size::new(2000, 1000, 0),
        row: &row,
        now,
    };
    for entry in plugin::of_kind(placement::KIND) {
        let mut policy = placement::create(entry.name)?;
        let chosen = policy
            .choose(&demand, &fleet)
            .map(|index| fleet.worker(index).name.clone());
        println!("{}: {chosen:?}. {}", entry.name, entry.about);
    }
    Ok(())
}
