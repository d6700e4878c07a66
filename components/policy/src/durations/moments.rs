//! Mean and variance of a logarithm.

use serde::{Deserialize, Serialize};

/// The weight of the past is limited to this many samples, so that changes are learned.
const MAX_SAMPLES: f64 = 200.0;
/// The smallest variance that is assumed: predictions are never surer than a tenth.
const MIN_VARIANCE: f64 = 0.01;
/// The largest absolute value of a sample: the logarithm of a year in milliseconds is 24.2.
const MAX_VALUE: f64 = 25.0;

/// Mean and variance of the recent samples of a logarithm. They are finite at all times.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, f64)", into = "(f64, f64, f64)")]
pub struct Moments {
    count: f64,
    mean: f64,
    variance: f64,
}

impl Moments {
    /// Adds a sample.
    pub fn add(&mut self, value: f64) {
        let value = value.clamp(-MAX_VALUE, MAX_VALUE);
        self.count = (self.count + 1.0).min(MAX_SAMPLES);
        let delta = value - self.mean;
        self.mean += delta / self.count;
        self.variance += (delta * (value - self.mean) - self.variance) / self.count;
    }

    /// Returns the number of samples that count.
    pub const fn count(&self) -> f64 {
        self.count
    }

    /// Returns the mean; 0 without samples.
    pub const fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the variance, which is never 0.
    pub const fn variance(&self) -> f64 {
        self.variance.max(MIN_VARIANCE)
    }
}

impl From<(f64, f64, f64)> for Moments {
    /// Accepts stored figures; those that cannot be are dropped as a whole.
    fn from((count, mean, variance): (f64, f64, f64)) -> Self {
        let is_valid = (0.0..=MAX_SAMPLES).contains(&count)
            && mean.abs() <= MAX_VALUE
            && (0.0..=MAX_VALUE * MAX_VALUE).contains(&variance);
        if !is_valid {
            return Moments::default();
        }
        Moments {
            count,
            mean,
            variance,
        }
    }
}

impl From<Moments> for (f64, f64, f64) {
    fn from(moments: Moments) -> Self {
        (moments.count, moments.mean, moments.variance)
    }
}
