//! Measures the memory of a cell's owner against workers, running tasks and queued jobs.

use {
    super::rig::Rig,
    crate::{
        fit::{self, Fit, Point},
        machine,
    },
};

/// Number of workers of the cell.
const WORKERS: [usize; 4] = [200, 400, 800, 1600];

/// Number of running tasks.
const RUNNING: [usize; 4] = [5000, 10_000, 20_000, 25_000];

/// Number of queued jobs.
const QUEUED: [u32; 4] = [500, 1000, 2000, 4000];

/// Measures the growth of the process memory with each of them.
pub fn run() -> Vec<Fit> {
    // Memory that is allocated only once is not counted.
    let _ = growth(|| Rig::new(WORKERS[0]));
    vec![workers(), running(), queued()]
}

/// Returns the growth of the process memory while `make` runs, in bytes. The value is never freed,
/// so that the next measurement cannot reuse its memory.
fn growth<T>(make: impl FnOnce() -> T) -> f64 {
    let before = machine::resident_bytes();
    let value = make();
    let after = machine::resident_bytes();
    std::mem::forget(value);
    after.saturating_sub(before) as f64
}

fn workers() -> Fit {
    let points = WORKERS.map(|workers| Point {
        size: workers as f64,
        // The simulated workers are included, so this is an upper bound.
        cost: growth(|| Rig::new(workers)),
    });
    fit::line(
        "memory, bytes",
        "workers of the cell, their stand-ins counted in",
        points.to_vec(),
    )
}

fn running() -> Fit {
    let points = RUNNING.map(|tasks| {
        let mut rig = Rig::new(400);
        rig.submit(tasks as u32, 3_600_000);
        let cost = growth(|| {
            let mut placed = 0;
            while placed < tasks {
                rig.commit();
                match rig.place(512) {
                    0 => break,
                    count => placed += count,
                }
            }
            rig.exchange();
            rig
        });
        Point {
            size: tasks as f64,
            cost,
        }
    });
    fit::line(
        "memory, bytes",
        "running tasks, their stand-ins counted in",
        points.to_vec(),
    )
}

fn queued() -> Fit {
    let points = QUEUED.map(|jobs| {
        let mut rig = Rig::new(8);
        let cost = growth(|| {
            rig.submit_many(jobs, 1000, 1000);
            rig
        });
        Point {
            size: f64::from(jobs),
            cost,
        }
    });
    fit::line(
        "memory, bytes",
        "queued jobs of 1000 tasks",
        points.to_vec(),
    )
}
