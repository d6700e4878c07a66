//! Measures the processor time of exchanges with a worker over HTTP, both ends included, against
//! their number.

use {
    super::rig::item,
    crate::{
        fit::{self, Fit, Point},
        machine,
    },
    infra::worker::{self, Order, Workers},
    sched::service,
    standin::{Auditor, WorkerSet, clock::Clock},
    std::sync::Arc,
};

/// Number of exchanges per run.
const EXCHANGES: [u32; 4] = [2000, 4000, 8000, 16_000];

/// Performs sequential exchanges with one worker.
pub fn run() -> Vec<Fit> {
    let worker_set = WorkerSet::new(Clock::real(), Auditor::new());
    let name = item(1, "h1").name;
    worker_set.add(&name, super::rig::WORKER);
    let Ok(port) = worker_set.open(([127, 0, 0, 1], 0).into()) else {
        return Vec::new();
    };
    let workers = worker::Http::new(service::worker_client());
    let base = port.url(&name);
    let mut number = 0;
    let points = EXCHANGES.map(|count| {
        let before = machine::cpu_seconds();
        for _ in 0..count {
            number += 1;
            if let Err(failure) = workers.exchange(&base, &order(number)) {
                unreachable!("an exchange of the experiment failed: {failure}");
            }
        }
        let cost = (machine::cpu_seconds() - before) * 1e3;
        Point {
            size: f64::from(count),
            cost,
        }
    });
    let what = "processor time of both ends, milliseconds";
    vec![fit::line(what, "exchanges over HTTP", points.to_vec())]
}

fn order(number: u64) -> Order {
    Order {
        cell: Arc::from("h1"),
        epoch: 1,
        number,
        seen: 0,
        boot: 0,
        extend: None,
        starts: Vec::new(),
        stops: Vec::new(),
        throttles: Vec::new(),
        forget: Vec::new(),
    }
}
