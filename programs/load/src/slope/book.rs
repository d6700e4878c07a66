//! Measures the stored record of a cell against the number of jobs in it.

use {
    super::rig::Rig,
    crate::{
        fit::{self, Fit, Point},
        machine,
    },
};

/// Number of jobs in the record.
const JOBS: [u32; 5] = [100, 250, 500, 1000, 2000];

/// Number of runs per size; the shortest is used.
const RUNS: u32 = 5;

/// Tasks per job; half of them have finished out of order.
const TASKS: u32 = 20;

/// Measures the size of the record and the time to encode it.
pub fn run() -> Vec<Fit> {
    let mut sizes = Vec::new();
    let mut times = Vec::new();
    for jobs in JOBS {
        let mut rig = Rig::new(8);
        rig.submit_many(jobs, TASKS, 1000);
        for job in rig.cell.jobs.values_mut() {
            for index in (0..TASKS).step_by(2) {
                job.record.done.insert(index..=index);
            }
        }
        let mut bytes = 0;
        let time = machine::shortest(RUNS, || {
            rig.cell.write_queue.mark_dirty();
            bytes = rig.commit();
        });
        sizes.push(Point {
            size: f64::from(jobs),
            cost: bytes as f64,
        });
        times.push(Point {
            size: f64::from(jobs),
            cost: time.as_secs_f64() * 1e3,
        });
    }
    vec![
        fit::line("the book, bytes", "jobs in the cell", sizes),
        fit::line("encoding the book, milliseconds", "jobs in the cell", times),
    ]
}
