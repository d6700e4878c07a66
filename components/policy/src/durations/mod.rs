//! How long the steps of a queue's jobs take, learned from the steps that have ended.
//!
//! Callers' estimates may be far off, and leave out that a step lasts as long as its longest task.
//! The prediction for a step combines its estimate, corrected by the usual error of the queue's
//! estimates, with the usual length of the queue's steps. Each counts by how little it has varied.

use serde::{Deserialize, Serialize};

/// The number of ended steps from which predictions are used.
const MIN_SAMPLES: f64 = 8.0;
/// The weight of the past is limited to this many samples, so that changes are learned.
const MAX_SAMPLES: f64 = 200.0;
/// The smallest variance that is assumed: predictions are never surer than a tenth.
const MIN_VARIANCE: f64 = 0.01;

/// Mean and variance of a logarithm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct Moments {
    count: f64,
    mean: f64,
    variance: f64,
}

impl Moments {
    fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(MAX_SAMPLES);
        let delta = value - self.mean;
        self.mean += delta / self.count;
        self.variance += (delta * (value - self.mean) - self.variance) / self.count;
    }

    fn precision(&self) -> f64 {
        1.0 / self.variance.max(MIN_VARIANCE)
    }
}

/// What was learned of the steps of one queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Durations {
    /// Logarithms of lengths in milliseconds.
    length: Moments,
    /// Logarithms of lengths divided by estimates.
    error: Moments,
}

impl Durations {
    /// Records a step that was estimated to take this long and took `actual`, in milliseconds.
    pub fn record(&mut self, estimate: u64, actual: u64) {
        if estimate == 0 || actual == 0 {
            return;
        }
        let actual = (actual as f64).ln();
        self.length.add(actual);
        self.error.add(actual - (estimate as f64).ln());
    }

    /// Predicts how long a step takes whose tasks are estimated to take this long, in milliseconds.
    pub fn predict(&self, estimate: u64) -> u64 {
        if self.length.count < MIN_SAMPLES || estimate == 0 {
            return estimate;
        }
        let corrected = (estimate as f64).ln() + self.error.mean;
        let (by_error, by_length) = (self.error.precision(), self.length.precision());
        let log = (corrected * by_error + self.length.mean * by_length) / (by_error + by_length);
        log.exp() as u64
    }
}
