//! Measures the cost of a placement decision and of a report against the number of workers.

use {
    super::rig::Rig,
    crate::fit::{self, Fit, Point},
    std::time::Instant,
};

/// Number of workers of the cell.
const WORKERS: [usize; 5] = [50, 100, 200, 400, 800];

/// Number of runs per size; the shortest is used.
const RUNS: usize = 5;

/// Tasks placed on each worker.
const PER_WORKER: usize = 50;

/// Places tasks on cells of several sizes, lets them end, and measures the owner's processing time.
pub fn run() -> Vec<Fit> {
    let mut placements = Vec::new();
    let mut reports = Vec::new();
    for workers in WORKERS {
        let mut best = (f64::MAX, f64::MAX);
        for _ in 0..RUNS {
            let (place, report) = measure(workers);
            best = (best.0.min(place), best.1.min(report));
        }
        placements.push(Point {
            size: workers as f64,
            cost: best.0,
        });
        reports.push(Point {
            size: workers as f64,
            cost: best.1,
        });
    }
    vec![
        fit::line(
            "placing a task, microseconds",
            "workers of the cell",
            placements,
        ),
        fit::line(
            "a task's start and end reported, microseconds",
            "workers of the cell",
            reports,
        ),
    ]
}

/// Returns the mean time to place a task, and to process the reports of its start and its end, in
/// microseconds.
fn measure(workers: usize) -> (f64, f64) {
    let mut rig = Rig::new(workers);
    let tasks = workers * PER_WORKER;
    rig.submit(tasks as u32, 1000);
    let mut placed = 0;
    let mut spent = 0.0;
    while placed < tasks {
        // The task indexes reserved in the store run out every thousand tasks; the write is not
        // counted.
        rig.commit();
        let started = Instant::now();
        let count = rig.place(512);
        spent += started.elapsed().as_secs_f64();
        if count == 0 {
            break;
        }
        placed += count;
    }
    let place = spent * 1e6 / placed as f64;
    let mut spent = rig.exchange();
    rig.advance(1500);
    spent += rig.exchange();
    let report = spent.as_secs_f64() * 1e6 / placed as f64;
    (place, report)
}
