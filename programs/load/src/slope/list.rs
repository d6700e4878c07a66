//! Measures the size and decoding time of the list of boxes against the number of boxes.

use {
    super::rig::item,
    crate::{
        fit::{self, Fit, Point},
        machine,
    },
    infra::boxes::List,
};

/// Number of boxes in the list.
const BOXES: [usize; 5] = [100, 1000, 2000, 4000, 8000];

/// Number of runs per size; the shortest is used.
const RUNS: u32 = 5;

/// Measures the bytes of the list and the time to decode it.
pub fn run() -> Vec<Fit> {
    let mut sizes = Vec::new();
    let mut times = Vec::new();
    for boxes in BOXES {
        let items = (0..boxes)
            .map(|at| item(at, &format!("hall{}", at % 20)))
            .collect();
        let bytes = serde_json::to_vec(&List { version: 1, items }).unwrap_or_default();
        let time = machine::shortest(RUNS, || {
            let list: Result<List, _> = serde_json::from_slice(&bytes);
            assert!(list.is_ok(), "the list of the experiment cannot be decoded");
        });
        sizes.push(Point {
            size: boxes as f64,
            cost: bytes.len() as f64,
        });
        times.push(Point {
            size: boxes as f64,
            cost: time.as_secs_f64() * 1e3,
        });
    }
    vec![
        fit::line("the list of boxes, bytes", "boxes", sizes),
        fit::line("reading the list of boxes, milliseconds", "boxes", times),
    ]
}
