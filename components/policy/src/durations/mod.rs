//! How long the steps of a queue's jobs take, learned from the steps that have ended.
//!
//! Callers' estimates may be far off, and leave out that a step lasts as long as its longest task.
//! The prediction for a step combines its estimate, corrected by the usual error of the queue's
//! estimates, with the usual length of the queue's steps. Each counts by how little it has varied.
//! All of this is done in logarithms, since errors are factors.

mod moments;
mod queues;

pub use queues::Queues;

use {
    moments::Moments,
    serde::{Deserialize, Serialize},
};

/// The number of ended steps from which predictions are used.
const MIN_SAMPLES: f64 = 8.0;
/// The longest time that is learned or predicted, in milliseconds: one year, which is the maximum
/// of an estimate.
const MAX_LENGTH: u64 = 366 * 86_400_000;

/// Estimates count alone, in thousandths.
const FULL_TRUST: u16 = 1_000;

/// The times of a step that has ended, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// The caller's estimate for its tasks; 0 if there was none.
    pub estimate: u64,
    /// The run time of its longest task.
    pub longest: u64,
    /// The mean run time of its tasks.
    pub mean: u64,
}

/// How a time is predicted from its estimate, in the few figures that are sent to other boxes: the
/// estimate times `percent` counts by `trust`, and the usual time by the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The time as a percentage of the estimate, as learned.
    pub percent: u32,
    /// How much the corrected estimate counts, in thousandths.
    pub trust: u16,
    /// The usual time, in milliseconds.
    pub usual: u64,
}

impl Profile {
    /// Takes estimates as they are.
    pub const ESTIMATE: Self = Profile {
        percent: 100,
        trust: FULL_TRUST,
        usual: 1,
    };

    /// Predicts a time from its estimate, in milliseconds.
    pub fn predict(&self, estimate: u64) -> u64 {
        if self.trust >= FULL_TRUST {
            return estimate.saturating_mul(u64::from(self.percent)) / 100;
        }
        if estimate == 0 {
            return self.usual;
        }
        let trust = f64::from(self.trust) / f64::from(FULL_TRUST);
        let corrected = log(estimate) + (f64::from(self.percent.max(1)) / 100.0).ln();
        milliseconds(corrected * trust + log(self.usual) * (1.0 - trust))
    }
}

/// What was learned of the steps of one queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Durations {
    /// Logarithms of lengths in milliseconds.
    length: Moments,
    /// Logarithms of lengths divided by estimates.
    error: Moments,
    /// Logarithms of the mean run time of tasks divided by the length of their step.
    share: Moments,
}

impl Durations {
    /// Records a step that has ended.
    pub fn record(&mut self, step: Ended) {
        if step.longest == 0 {
            return;
        }
        let length = log(step.longest);
        self.length.add(length);
        self.share.add((log(step.mean) - length).min(0.0));
        if step.estimate > 0 {
            self.error.add(length - log(step.estimate));
        }
    }

    /// True if enough steps have ended for predictions.
    pub fn is_learned(&self) -> bool {
        self.length.count() >= MIN_SAMPLES
    }

    /// Predicts how long a step takes whose tasks are estimated to take this long, in milliseconds.
    /// Before enough steps have ended it is the estimate.
    pub fn predict(&self, estimate: u64) -> u64 {
        if !self.is_learned() {
            return estimate;
        }
        milliseconds(self.posterior(estimate).0)
    }

    /// Returns the prediction less one standard deviation, in milliseconds: a step is rarely
    /// shorter. Before enough steps have ended it is the estimate.
    pub fn low(&self, estimate: u64) -> u64 {
        if !self.is_learned() {
            return estimate;
        }
        let (mean, variance) = self.posterior(estimate);
        milliseconds(mean - variance.sqrt())
    }

    /// Returns the standard deviation of the logarithm of a predicted length; `None` before enough
    /// steps have ended.
    pub fn deviation(&self, estimate: u64) -> Option<f64> {
        self.is_learned().then(|| self.posterior(estimate).1.sqrt())
    }

    /// Predicts the mean run time of the tasks of a step, in milliseconds, which is what they take
    /// of the capacity. Before enough steps have ended it is the estimate.
    pub fn predict_task(&self, estimate: u64) -> u64 {
        if !self.is_learned() {
            return estimate;
        }
        milliseconds(self.posterior(estimate).0 + self.share.mean())
    }

    /// Returns the figures by which times are predicted; `None` before enough steps have ended.
    pub fn profile(&self) -> Option<Profile> {
        if !self.is_learned() {
            return None;
        }
        let has_error = self.error.count() >= MIN_SAMPLES;
        let trust = if has_error { self.trust() } else { 0.0 };
        Some(Profile {
            percent: (self.error.mean().exp() * 100.0).round() as u32,
            trust: (trust * f64::from(FULL_TRUST)) as u16,
            usual: milliseconds(self.length.mean()),
        })
    }

    /// Returns how much the corrected estimate counts beside the usual length, from 0 to 1.
    fn trust(&self) -> f64 {
        let (by_error, by_length) = (1.0 / self.error.variance(), 1.0 / self.length.variance());
        by_error / (by_error + by_length)
    }

    /// Returns mean and variance of the logarithm of a step's length: the usual length is the prior,
    /// and the corrected estimate is an observation.
    fn posterior(&self, estimate: u64) -> (f64, f64) {
        if estimate == 0 || self.error.count() < MIN_SAMPLES {
            return (self.length.mean(), self.length.variance());
        }
        let corrected = log(estimate) + self.error.mean();
        let trust = self.trust();
        let mean = corrected * trust + self.length.mean() * (1.0 - trust);
        (mean, trust * self.error.variance())
    }
}

/// Returns the logarithm of a time in milliseconds.
fn log(time: u64) -> f64 {
    (time.clamp(1, MAX_LENGTH) as f64).ln()
}

/// Returns the time in milliseconds, at least 1, of which this is the logarithm.
fn milliseconds(log: f64) -> u64 {
    (log.exp().round() as u64).clamp(1, MAX_LENGTH)
}

#[cfg(test)]
mod tests;
