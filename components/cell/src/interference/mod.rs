//! Interference model: how much each best-effort image slows down each serving image, learned from
//! figures that workers report.
//!
//! The tail latency of a serving task follows its load as in a queue: it grows without bound as the
//! load approaches 1. [`load_from_tail`] converts tails into loads. On that scale each best-effort
//! task adds a weight for the pair of images times its share of the worker's processors. All tasks
//! of one serving job carry the same load at the same time on any worker (confirmed on two
//! deployments), so that differences between them come from the best-effort tasks beside them.
//! Weights are fitted to these differences alone (`regression`); the rest is the job's own load,
//! which changes slowly enough to be extrapolated (`forecast`).
//!
//! Measured weights are 0 to 0.3 for most pairs and 1 to 2.6 for the others; the residual has a
//! standard deviation of 0.05.

pub(crate) mod forecast;
mod regression;

use {
    regression::Regression,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// Number of an image.
pub type Image = u16;

/// Number for tasks without an image, which count as one image.
const NO_IMAGE: Image = 0;
/// Maximum number of distinct images; further ones share numbers. Known deployments have up to 28.
const MAX_IMAGES: usize = 48;
/// Weight of an unknown pair: one pair in four interferes, with a mean weight of 1.6; the others
/// have 0.1.
const PRIOR: f64 = 0.5;
/// Time between two solutions, in milliseconds.
const SOLVE_INTERVAL: u64 = 500;
/// Time between two writes to the store, in milliseconds: a few seconds of readings may be lost.
const WRITE_INTERVAL: u64 = 4_000;
/// Shares below this count as zero.
const MIN_SHARE: f64 = 1e-3;
/// Tail latency without load, relative to the target. Both measured deployments set their targets
/// to five times that tail; another ratio only distorts the scale of loads.
const IDLE_TAIL: f64 = 0.2;
/// Tails are capped at this many targets: longer ones carry no information about the load.
const MAX_TAIL: f64 = 3.0;

/// Weight from which a pair of images interferes; harmless pairs measure below 0.3.
pub const HARMFUL_WEIGHT: f64 = 0.4;

/// Load at which a serving task just meets its target.
pub const LOAD_AT_TARGET: f64 = 1.0 - IDLE_TAIL;

/// Converts a tail latency, relative to its target, into a load.
pub fn load_from_tail(tail: f64) -> f64 {
    1.0 - IDLE_TAIL / tail.clamp(IDLE_TAIL, MAX_TAIL)
}

/// The learned model. It is persisted regularly for the next owner.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Interference {
    /// Numbers of images, by name.
    numbers: HashMap<Arc<str>, Image>,
    /// Columns of best-effort images, by image number, assigned in the order of their first sample.
    columns: Vec<Option<usize>>,
    /// Number of columns.
    width: usize,
    /// Regressions of the serving images, by image number.
    pairs: Vec<Regression>,
    /// For each pair of serving images, whether the same best-effort images interfere with both.
    /// Recomputed with each solution.
    #[serde(skip)]
    similar: Vec<Vec<bool>>,
    /// When the regressions were last solved, on the owner's clock.
    #[serde(skip)]
    solved_at: u64,
    /// When the last write was due, on the owner's clock.
    #[serde(skip)]
    written_at: u64,
}

impl Interference {
    /// Returns the number of an image, and assigns one to a new image.
    pub fn intern(&mut self, image: Option<&Arc<str>>) -> Image {
        let Some(image) = image else {
            return NO_IMAGE;
        };
        let next = (self.numbers.len() % MAX_IMAGES) as Image + 1;
        *self.numbers.entry(image.clone()).or_insert(next)
    }

    /// Returns the number of an image, or `Image::MAX` if it has none.
    pub fn lookup(&self, image: Option<&Arc<str>>) -> Image {
        let Some(image) = image else {
            return NO_IMAGE;
        };
        self.numbers.get(image).copied().unwrap_or(Image::MAX)
    }

    /// Converts processor shares by image into shares by column, and assigns columns to new images.
    pub fn dense_row(&mut self, shares: &[(Image, f64)]) -> Vec<f64> {
        for &(image, share) in shares {
            if share >= MIN_SHARE {
                self.column(image);
            }
        }
        let mut row = vec![0.0; self.width];
        for &(image, share) in shares {
            if share >= MIN_SHARE {
                row[self.column(image)] += share;
            }
        }
        row
    }

    fn column(&mut self, image: Image) -> usize {
        let index = usize::from(image);
        if self.columns.len() <= index {
            self.columns.resize(index + 1, None);
        }
        *self.columns[index].get_or_insert_with(|| {
            self.width += 1;
            self.width - 1
        })
    }

    /// Adds a sample: the difference in load between one serving task and the others of its job,
    /// and the difference in the shares of best-effort tasks beside it. `trust` is the weight of
    /// the sample, 0 to 1.
    pub fn add_sample(&mut self, serving: Image, load: f64, shares: &[f64], trust: f64) {
        let index = usize::from(serving);
        if self.pairs.len() <= index {
            self.pairs.resize(index + 1, Regression::default());
        }
        self.pairs[index].add(load, shares, trust);
    }

    /// Solves the regressions if `SOLVE_INTERVAL` has passed. Returns true if it did.
    pub fn solve(&mut self, now: u64) -> bool {
        if now < self.solved_at + SOLVE_INTERVAL {
            return false;
        }
        self.solved_at = now;
        for regression in &mut self.pairs {
            regression.solve(PRIOR);
        }
        self.compare();
        true
    }

    /// Finds the pairs of serving images with the same interfering images.
    fn compare(&mut self) {
        let count = self.pairs.len();
        self.similar = vec![vec![false; count]; count];
        for a in 0..count {
            for b in 0..a {
                let is_similar = self.pairs[a].has_same_profile(&self.pairs[b], self.width);
                self.similar[a][b] = is_similar;
                self.similar[b][a] = is_similar;
            }
        }
    }

    /// True if the same best-effort images are known to interfere with both serving images.
    pub fn is_similar(&self, a: Image, b: Image) -> bool {
        let row = self.similar.get(usize::from(a));
        a == b || row.and_then(|row| row.get(usize::from(b))) == Some(&true)
    }

    /// True once per `WRITE_INTERVAL`, when the model is due to be persisted.
    pub fn is_write_due(&mut self, now: u64) -> bool {
        if self.pairs.is_empty() || now < self.written_at + WRITE_INTERVAL {
            return false;
        }
        self.written_at = now;
        true
    }

    /// The weight of a pair, at least 0.
    pub fn weight(&self, serving: Image, best_effort: Image) -> f64 {
        let column = self
            .columns
            .get(usize::from(best_effort))
            .copied()
            .flatten();
        let regression = self.pairs.get(usize::from(serving));
        let weight = column.and_then(|column| regression?.weight(column));
        weight.unwrap_or(PRIOR).max(0.0)
    }

    /// True if the pair has enough samples to tell its weight from the prior.
    pub fn is_known(&self, serving: Image, best_effort: Image) -> bool {
        let column = self
            .columns
            .get(usize::from(best_effort))
            .copied()
            .flatten();
        let regression = self.pairs.get(usize::from(serving));
        column.is_some_and(|column| {
            regression.is_some_and(|regression| regression.known(column).is_some())
        })
    }

    /// Load that a row of shares adds to a serving image.
    pub fn added_load(&self, serving: Image, row: &[f64]) -> f64 {
        let regression = self.pairs.get(usize::from(serving));
        let mut added = 0.0;
        for (column, share) in row.iter().enumerate() {
            let weight = regression.and_then(|regression| regression.weight(column));
            added += share * weight.unwrap_or(PRIOR).max(0.0);
        }
        added
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A model with an interfering image (7) and a harmless one (8), from noisy differences from
    /// the mean.
    fn trained_model() -> Interference {
        let mut random = fastrand::Rng::with_seed(7);
        let mut model = Interference::default();
        for _ in 0..60 {
            let (harmful, harmless) = (random.f64() * 0.2 - 0.1, random.f64() * 0.2 - 0.1);
            let noise = (random.f64() - 0.5) * 0.1;
            let row = model.dense_row(&[(7, 1.0), (8, 1.0)]);
            assert_eq!(row, [1.0, 1.0]);
            model.add_sample(
                1,
                1.6 * harmful + 0.1 * harmless + noise,
                &[harmful, harmless],
                1.0,
            );
        }
        model.solve(SOLVE_INTERVAL);
        model
    }

    #[test]
    fn weights_are_learned() {
        let model = trained_model();
        assert!((model.weight(1, 7) - 1.6).abs() < 0.4);
        assert!(model.weight(1, 8) < 0.3);
    }

    /// The serialized model yields the same weights and takes less than half of the 62 KB that
    /// plain numbers take for 16 serving and 30 best-effort images.
    #[test]
    fn serialized_model_is_compact() {
        let mut random = fastrand::Rng::with_seed(9);
        let mut model = Interference::default();
        for number in 0..16 * 400 {
            let serving = (number % 16) as Image + 1;
            let shares: Vec<(Image, f64)> = (0..3)
                .map(|_| (random.u16(20..50), random.f64() * 0.3))
                .collect();
            let row = model.dense_row(&shares);
            model.add_sample(serving, random.f64() * 0.4 - 0.2, &row, 1.0);
        }
        model.solve(SOLVE_INTERVAL);
        let bytes = rmp_serde::to_vec(&model).unwrap();
        assert!(bytes.len() < 26_000, "{}", bytes.len());
        let mut restored: Interference = rmp_serde::from_slice(&bytes).unwrap();
        restored.solve(SOLVE_INTERVAL);
        for (serving, best_effort) in (1..17).flat_map(|a| (20..50).map(move |b| (a, b))) {
            let (a, b) = (
                model.weight(serving, best_effort),
                restored.weight(serving, best_effort),
            );
            assert!((a - b).abs() < 0.02, "{serving} {best_effort}: {a} {b}");
        }
    }

    #[test]
    fn weight_unknown_is_prior() {
        let model = trained_model();
        assert_eq!(model.weight(2, 7), PRIOR);
        assert_eq!(model.weight(1, 9), PRIOR);
        assert!(model.is_known(1, 7));
        assert!(!model.is_known(1, 9) && !model.is_known(2, 7));
    }

    #[test]
    fn intern_same_image() {
        let mut model = Interference::default();
        let (first, second): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
        let number = model.intern(Some(&first));
        assert_ne!(model.intern(Some(&second)), number);
        assert_eq!(model.intern(Some(&first)), number);
        assert_eq!(model.intern(None), 0);
        assert_eq!(model.lookup(None), model.intern(None));
    }

    #[test]
    fn is_similar_with_same_interference() {
        let mut model = Interference::default();
        let row = model.dense_row(&[(7, 0.1), (8, 0.1)]);
        for serving in [1, 2, 3] {
            let weights = if serving == 3 { [0.1, 1.6] } else { [1.6, 0.1] };
            for (column, weight) in weights.into_iter().enumerate() {
                let mut shares = vec![0.0; row.len()];
                shares[column] = 0.2;
                for _ in 0..5 {
                    model.add_sample(serving, weight * 0.2, &shares, 1.0);
                }
            }
        }
        model.solve(SOLVE_INTERVAL);
        assert!(model.is_similar(1, 2));
        assert!(!model.is_similar(1, 3));
        assert!(!model.is_similar(1, 4));
    }

    #[test]
    fn load_from_tail_at_target() {
        assert!((load_from_tail(1.0) - LOAD_AT_TARGET).abs() < 1e-9);
        assert!(load_from_tail(0.1) < 1e-9);
        assert!(load_from_tail(0.5) < load_from_tail(0.9));
    }
}
