//! Measures the size of the exchange of cell summaries against the number of cells.

use {
    crate::fit::{self, Fit, Point},
    infra::Size,
    kernel::wire,
    sched::{directory::Summary, message::Exchange},
    std::sync::Arc,
};

/// Number of cells.
const CELLS: [u32; 4] = [1, 4, 20, 40];

/// Measures the encoded messages.
pub fn run() -> Vec<Fit> {
    let point = |cells: u32| {
        let summaries = (0..cells).map(summary).collect();
        let message = Exchange {
            want: None,
            summaries,
        };
        let bytes = wire::encode(&message).map_or(0, |bytes| bytes.len());
        Point {
            size: f64::from(cells),
            cost: bytes as f64,
        }
    };
    vec![fit::line(
        "an exchange of summaries, bytes one way",
        "cells",
        CELLS.map(point).to_vec(),
    )]
}

fn summary(cell: u32) -> Summary {
    Summary {
        cell: Arc::from(format!("hall{cell}")),
        epoch: 40,
        beat: 1_000_000,
        owner: Arc::from("box-0123"),
        url: Arc::from("http://10.11.12.13:7002"),
        holding: true,
        workers: 400,
        aside: 2,
        total: Size::new(25_600_000, 100_000_000, 550),
        free: Size::new(5_600_000, 20_000_000, 50),
        queued: 20_000,
        running: 6500,
        starts: 16_000_000,
        finished: 16_000_000,
        evictions: 10_000,
    }
}
