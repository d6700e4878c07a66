//! Measures the computation of a cell's limits, which follows an edit or a new list, against table
//! rows and workers.

use {
    super::rig::{item, table},
    crate::{
        fit::{self, Fit, Point},
        machine,
    },
    infra::boxes::List,
    sched::limits::Limits,
};

/// Number of rows of the table.
const ROWS: [usize; 4] = [50, 250, 500, 1000];

/// Number of workers in the list.
const WORKERS: [usize; 4] = [1000, 2000, 4000, 8000];

/// Number of runs per size; the shortest is used.
const RUNS: u32 = 5;

fn list(workers: usize) -> List {
    let items = (0..workers)
        .map(|at| item(at, &format!("hall{}", at % 20)))
        .collect();
    List { version: 1, items }
}

fn measure(rows: usize, list: &List) -> f64 {
    let table = table(rows);
    let duration = machine::shortest(RUNS, || {
        std::hint::black_box(Limits::of("hall7", table.clone(), list));
    });
    duration.as_secs_f64() * 1e3
}

/// Measures the limits of one cell.
pub fn run() -> Vec<Fit> {
    let full = list(8000);
    let rows = ROWS.map(|rows| Point {
        size: rows as f64,
        cost: measure(rows, &full),
    });
    let workers = WORKERS.map(|workers| Point {
        size: workers as f64,
        cost: measure(250, &list(workers)),
    });
    vec![
        fit::line(
            "a cell's limits, milliseconds",
            "rows, with 8000 workers",
            rows.to_vec(),
        ),
        fit::line(
            "a cell's limits, milliseconds",
            "workers, with 250 rows",
            workers.to_vec(),
        ),
    ]
}
