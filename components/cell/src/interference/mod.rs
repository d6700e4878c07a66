//! How much each filling image disturbs each serving image, learned from workers' figures.
//!
//! The tail of a serving task's answer times follows its load as in a queue: it grows without bound
//! as the load nears 1. [`load_of`] turns tails back into loads, and in these a filling task adds an
//! amount of its own: a weight for the pair of images, times the share of the worker's processors
//! that it uses. All tasks of one serving job carry the same load at the same time, on whichever
//! worker (measured on two deployments), so what differs between them is what stands beside them:
//! weights are fitted to these differences alone ([`sums`]), and the rest is the job's own load,
//! which swings slowly enough to be foreseen ([`level`]).
//!
//! Measured: weights are 0 to 0.3 for most pairs and 1 to 2.6 for the others; what is left
//! unexplained has a standard deviation of 0.05.

pub(crate) mod forecast;
mod regression;

use {
    regression::Sums,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// An image, by number.
pub type Image = u16;

/// The number of tasks that name no image: they count as an image of their own.
const NO_IMAGE: Image = 0;
/// Images told apart; more share numbers. Deployments seen have up to 28.
const MOST: usize = 48;
/// The weight of a pair of which nothing is known: one in four disturbs, by 1.6 on average, and the
/// others by 0.1.
const PRIOR: f64 = 0.5;
/// The time between two solutions, in milliseconds.
const SOLVE_GAP: u64 = 500;
/// The time between two writings, in milliseconds: a few seconds of readings may be lost.
const WRITE_GAP: u64 = 4_000;
/// Shares under this are taken for nothing.
const LEAST_SHARE: f64 = 1e-3;
/// The tail without any load, over the target. Both deployments set targets of five times that
/// tail; another ratio only bends the scale of loads.
const IDLE: f64 = 0.2;
/// Tails longer than this many targets tell no more of the load.
const LONGEST: f64 = 3.0;

/// A pair of images with at least this weight disturbs; harmless ones are measured below 0.3.
pub const HARMFUL_WEIGHT: f64 = 0.4;

/// The load at which a serving task just meets its target.
pub const LOAD_AT_TARGET: f64 = 1.0 - IDLE;

/// The load that a tail, over its target, stands for.
pub fn load_from_tail(over: f64) -> f64 {
    1.0 - IDLE / over.clamp(IDLE, LONGEST)
}

/// What is known of disturbance. It is written down now and then, for the next owner.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Interference {
    /// The numbers of images, by name.
    numbers: HashMap<Arc<str>, Image>,
    /// Filling images have columns, in the order of their first sample; by image.
    columns: Vec<Option<usize>>,
    /// The number of columns.
    width: usize,
    /// The sums of each serving image, by its number.
    pairs: Vec<Sums>,
    /// By pair of serving images: the same filling images disturb them. Found anew with each solution.
    #[serde(skip)]
    alike: Vec<Vec<bool>>,
    /// When the sums were last solved, on the owner's clock.
    #[serde(skip)]
    solved: u64,
    /// When it was last due to be written down, on the owner's clock.
    #[serde(skip)]
    written: u64,
}

impl Interference {
    /// The number of an image; tasks without one count as an image of their own.
    pub fn intern(&mut self, image: Option<&Arc<str>>) -> Image {
        let Some(image) = image else {
            return NO_IMAGE;
        };
        let next = (self.numbers.len() % MOST) as Image + 1;
        *self.numbers.entry(image.clone()).or_insert(next)
    }

    /// The number of an image, where it has one already.
    pub fn lookup(&self, image: Option<&Arc<str>>) -> Image {
        let Some(image) = image else {
            return NO_IMAGE;
        };
        self.numbers.get(image).copied().unwrap_or(Image::MAX)
    }

    /// Shares of a worker's processors by column, from those by image.
    pub fn dense_row(&mut self, shares: &[(Image, f64)]) -> Vec<f64> {
        for &(image, share) in shares {
            if share >= LEAST_SHARE {
                self.column(image);
            }
        }
        let mut row = vec![0.0; self.width];
        for &(image, share) in shares {
            if share >= LEAST_SHARE {
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

    /// Takes in by how much the load of one serving task differs from that of its job's others, and
    /// by how much the shares beside it do. `trust` is the weight of the reading, 0 to 1.
    pub fn add_sample(&mut self, serving: Image, load: f64, shares: &[f64], trust: f64) {
        let index = usize::from(serving);
        if self.pairs.len() <= index {
            self.pairs.resize(index + 1, Sums::default());
        }
        self.pairs[index].add(load, shares, trust);
    }

    /// Solves the sums anew, when it is time to. True when it did.
    pub fn solve(&mut self, now: u64) -> bool {
        if now < self.solved + SOLVE_GAP {
            return false;
        }
        self.solved = now;
        for sums in &mut self.pairs {
            sums.solve(PRIOR);
        }
        self.compare();
        true
    }

    /// Finds the pairs of serving images that the same filling images disturb.
    fn compare(&mut self) {
        let count = self.pairs.len();
        self.alike = vec![vec![false; count]; count];
        for a in 0..count {
            for b in 0..a {
                let is_similar = self.pairs[a].is_like(&self.pairs[b], self.width);
                self.alike[a][b] = is_similar;
                self.alike[b][a] = is_similar;
            }
        }
    }

    /// True when the same filling images are known to disturb both serving images.
    pub fn is_similar(&self, a: Image, b: Image) -> bool {
        let row = self.alike.get(usize::from(a));
        a == b || row.and_then(|row| row.get(usize::from(b))) == Some(&true)
    }

    /// True, once, when what is known is due to be written down.
    pub fn is_write_due(&mut self, now: u64) -> bool {
        if self.pairs.is_empty() || now < self.written + WRITE_GAP {
            return false;
        }
        self.written = now;
        true
    }

    /// The weight of a pair, never below 0.
    pub fn weight(&self, serving: Image, filling: Image) -> f64 {
        let column = self.columns.get(usize::from(filling)).copied().flatten();
        let sums = self.pairs.get(usize::from(serving));
        let weight = column.and_then(|column| sums?.weight(column));
        weight.unwrap_or(PRIOR).max(0.0)
    }

    /// True when the weight of a pair was seen enough to be told from the prior.
    pub fn is_known(&self, serving: Image, filling: Image) -> bool {
        let column = self.columns.get(usize::from(filling)).copied().flatten();
        let sums = self.pairs.get(usize::from(serving));
        column.is_some_and(|column| sums.is_some_and(|sums| sums.known(column).is_some()))
    }

    /// What a row of shares adds to the load of a serving image.
    pub fn added_load(&self, serving: Image, row: &[f64]) -> f64 {
        let sums = self.pairs.get(usize::from(serving));
        let mut added = 0.0;
        for (column, share) in row.iter().enumerate() {
            let weight = sums.and_then(|sums| sums.weight(column));
            added += share * weight.unwrap_or(PRIOR).max(0.0);
        }
        added
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A harmful image and a harmless one, as differences from the mean, with noise.
    fn learned() -> Interference {
        let mut random = fastrand::Rng::with_seed(7);
        let mut known = Interference::default();
        for _ in 0..60 {
            let (bad, good) = (random.f64() * 0.2 - 0.1, random.f64() * 0.2 - 0.1);
            let noise = (random.f64() - 0.5) * 0.1;
            let row = known.dense_row(&[(7, 1.0), (8, 1.0)]);
            assert_eq!(row, [1.0, 1.0]);
            known.add_sample(1, 1.6 * bad + 0.1 * good + noise, &[bad, good], 1.0);
        }
        known.solve(SOLVE_GAP);
        known
    }

    #[test]
    fn weight_learned() {
        let known = learned();
        assert!((known.weight(1, 7) - 1.6).abs() < 0.4);
        assert!(known.weight(1, 8) < 0.3);
    }

    /// What is written down knows the same weights, and takes a third of the bytes of the numbers as they are: 62 KB
    /// before, for 16 serving and 30 filling images.
    #[test]
    fn learned_is_written_short() {
        let mut random = fastrand::Rng::with_seed(9);
        let mut known = Interference::default();
        for number in 0..16 * 400 {
            let serving = (number % 16) as Image + 1;
            let shares: Vec<(Image, f64)> = (0..3)
                .map(|_| (random.u16(20..50), random.f64() * 0.3))
                .collect();
            let row = known.dense_row(&shares);
            known.add_sample(serving, random.f64() * 0.4 - 0.2, &row, 1.0);
        }
        known.solve(SOLVE_GAP);
        let bytes = rmp_serde::to_vec(&known).unwrap();
        assert!(bytes.len() < 26_000, "{}", bytes.len());
        let mut again: Interference = rmp_serde::from_slice(&bytes).unwrap();
        again.solve(SOLVE_GAP);
        for (serving, filling) in (1..17).flat_map(|a| (20..50).map(move |b| (a, b))) {
            let (a, b) = (
                known.weight(serving, filling),
                again.weight(serving, filling),
            );
            assert!((a - b).abs() < 0.02, "{serving} {filling}: {a} {b}");
        }
    }

    #[test]
    fn weight_unknown_is_prior() {
        let known = learned();
        assert_eq!(known.weight(2, 7), PRIOR);
        assert_eq!(known.weight(1, 9), PRIOR);
        assert!(known.is_known(1, 7));
        assert!(!known.is_known(1, 9) && !known.is_known(2, 7));
    }

    #[test]
    fn number_same_image() {
        let mut known = Interference::default();
        let (first, second): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
        let number = known.intern(Some(&first));
        assert_ne!(known.intern(Some(&second)), number);
        assert_eq!(known.intern(Some(&first)), number);
        assert_eq!(known.intern(None), 0);
        assert_eq!(known.lookup(None), known.intern(None));
    }

    #[test]
    fn is_alike_same_disturbers() {
        let mut known = Interference::default();
        let row = known.dense_row(&[(7, 0.1), (8, 0.1)]);
        for serving in [1, 2, 3] {
            let weights = if serving == 3 { [0.1, 1.6] } else { [1.6, 0.1] };
            for (column, weight) in weights.into_iter().enumerate() {
                let mut one = vec![0.0; row.len()];
                one[column] = 0.2;
                for _ in 0..5 {
                    known.add_sample(serving, weight * 0.2, &one, 1.0);
                }
            }
        }
        known.solve(SOLVE_GAP);
        assert!(known.is_similar(1, 2));
        assert!(!known.is_similar(1, 3));
        assert!(!known.is_similar(1, 4));
    }

    #[test]
    fn load_of_target() {
        assert!((load_from_tail(1.0) - LOAD_AT_TARGET).abs() < 1e-9);
        assert!(load_from_tail(0.1) < 1e-9);
        assert!(load_from_tail(0.5) < load_from_tail(0.9));
    }
}
