//! How much each filling image disturbs each serving image, learned from workers' figures.
//!
//! For each serving image, the logarithm of the tail of answer times over its target is taken to
//! be a level of its own plus a weight for each filling image, times the share of the worker's
//! processors that the image uses. Least squares with a prior, kept as running sums and solved
//! anew about once a second. Measured on two deployments: weights are near 0 for half of the pairs
//! and 3 to 8 for the others, and the rest of the variation is the swing of the serving load.

use {
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// An image, by number.
pub type Image = u16;

/// Images told apart; more share numbers. Each deployment seen has 14.
const MOST: usize = 48;
/// The weight of a pair of which nothing is known: between the two kinds that were measured, and
/// nearer to the harmless one, so that pairs are tried.
const PRIOR: f64 = 1.5;
/// How strongly the prior holds, as the sum of squares of shares that weighs as much: the variance
/// of the logarithm of a tail (0.25) over that of the weights (9).
const HOLD: f64 = 0.03;
/// What remains of old samples each time the sums are solved: half after about two minutes.
const KEEP: f64 = 0.994;
/// The time between two solutions, in milliseconds.
const SOLVE_GAP: u64 = 1_000;
/// The time between two writings, in milliseconds: a few seconds of readings may be lost.
const WRITE_GAP: u64 = 4_000;
/// Shares under this are taken for nothing.
const LEAST_SHARE: f64 = 1e-3;

/// Sums of one serving image.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct Sums {
    /// Products of shares, by pair of columns; column 0 is the level.
    square: Vec<Vec<f64>>,
    /// Products of shares and results.
    result: Vec<f64>,
    /// The solution.
    weights: Vec<f64>,
    fresh: bool,
}

/// What is known of disturbance. It is written down now and then, for the next owner.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Disturbance {
    numbers: HashMap<Arc<str>, Image>,
    /// Filling images have columns, in the order of their first sample.
    columns: HashMap<Image, usize>,
    serving: HashMap<Image, Sums>,
    /// When the sums were last solved, on the owner's clock.
    #[serde(skip)]
    solved: u64,
    #[serde(skip)]
    written: u64,
}

impl Disturbance {
    /// The number of an image; tasks without one count as an image of their own.
    pub fn number(&mut self, image: Option<&Arc<str>>) -> Image {
        let Some(image) = image else {
            return 0;
        };
        let next = (self.numbers.len() % MOST) as Image + 1;
        *self.numbers.entry(image.clone()).or_insert(next)
    }

    /// The number of an image, where it has one already.
    pub fn find(&self, image: Option<&Arc<str>>) -> Image {
        let number = image.and_then(|image| self.numbers.get(image));
        number.copied().unwrap_or(Image::MAX)
    }

    /// Takes in one reading: a serving image's tail over its target, beside filling images with
    /// their shares of the worker's processors in use.
    pub fn sample(&mut self, serving: Image, over: f64, shares: &[(Image, f64)]) {
        if over <= 0.0 {
            return;
        }
        let mut row = vec![(0, 1.0)];
        for &(image, share) in shares {
            if share < LEAST_SHARE {
                continue;
            }
            let next = self.columns.len() + 1;
            let column = *self.columns.entry(image).or_insert(next);
            row.push((column, share));
        }
        let width = self.columns.len() + 1;
        let sums = self.serving.entry(serving).or_default();
        sums.widen(width);
        let result = over.ln();
        for &(a, x) in &row {
            sums.result[a] += x * result;
            for &(b, y) in &row {
                sums.square[a][b] += x * y;
            }
        }
        sums.fresh = true;
    }

    /// Solves the sums anew, when it is time to.
    pub fn solve(&mut self, now: u64) {
        if now < self.solved + SOLVE_GAP {
            return;
        }
        self.solved = now;
        for sums in self.serving.values_mut() {
            if std::mem::take(&mut sums.fresh) {
                sums.solve();
            }
        }
    }

    /// True, once, when what is known is due to be written down.
    pub fn is_due(&mut self, now: u64) -> bool {
        if self.serving.is_empty() || now < self.written + WRITE_GAP {
            return false;
        }
        self.written = now;
        true
    }

    /// The weight of a pair, never below 0.
    pub fn weight(&self, serving: Image, filling: Image) -> f64 {
        let Some(&column) = self.columns.get(&filling) else {
            return PRIOR;
        };
        let known = self.serving.get(&serving);
        let weight = known.and_then(|sums| sums.weights.get(column));
        weight.copied().unwrap_or(PRIOR).max(0.0)
    }
}

impl Sums {
    fn widen(&mut self, width: usize) {
        for row in &mut self.square {
            row.resize(width, 0.0);
        }
        self.square.resize(width, vec![0.0; width]);
        self.result.resize(width, 0.0);
    }

    fn solve(&mut self) {
        for row in &mut self.square {
            row.iter_mut().for_each(|sum| *sum *= KEEP);
        }
        self.result.iter_mut().for_each(|sum| *sum *= KEEP);
        let mut square = self.square.clone();
        let mut result = self.result.clone();
        for column in 1..square.len() {
            square[column][column] += HOLD;
            result[column] += HOLD * PRIOR;
        }
        self.weights = eliminate(square, result);
    }
}

/// Solves a symmetric, positive system; a row without any sample gives 0.
fn eliminate(mut square: Vec<Vec<f64>>, mut result: Vec<f64>) -> Vec<f64> {
    let width = result.len();
    for pivot in 0..width {
        if square[pivot][pivot].abs() < f64::EPSILON {
            continue;
        }
        let (head, tail) = square.split_at_mut(pivot + 1);
        let top = &head[pivot];
        for (offset, row) in tail.iter_mut().enumerate() {
            let factor = row[pivot] / top[pivot];
            for column in pivot..width {
                row[column] -= factor * top[column];
            }
            result[pivot + 1 + offset] -= factor * result[pivot];
        }
    }
    let mut solution = vec![0.0; width];
    for row in (0..width).rev() {
        let known: f64 = (row + 1..width)
            .map(|column| square[row][column] * solution[column])
            .sum();
        if square[row][row].abs() >= f64::EPSILON {
            solution[row] = (result[row] - known) / square[row][row];
        }
    }
    solution
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A harmful image and a harmless one, mixed at random, with a swing of the load.
    fn learned() -> Disturbance {
        let mut random = fastrand::Rng::with_seed(7);
        let mut known = Disturbance::default();
        for _ in 0..400 {
            let (bad, good) = (random.f64() * 0.2, random.f64() * 0.2);
            let swing = random.f64() - 0.5;
            let over = (-0.8 + 5.0 * bad + swing).exp();
            known.sample(1, over, &[(7, bad), (8, good)]);
        }
        known.solve(SOLVE_GAP);
        known
    }

    #[test]
    fn weight_learned() {
        let known = learned();
        assert!((known.weight(1, 7) - 5.0).abs() < 1.0);
        assert!(known.weight(1, 8) < 0.8);
    }

    #[test]
    fn weight_unknown_is_prior() {
        let known = learned();
        assert_eq!(known.weight(2, 7), PRIOR);
        assert_eq!(known.weight(1, 9), PRIOR);
    }

    #[test]
    fn number_same_image() {
        let mut known = Disturbance::default();
        let (first, second): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
        let number = known.number(Some(&first));
        assert_ne!(known.number(Some(&second)), number);
        assert_eq!(known.number(Some(&first)), number);
        assert_eq!(known.number(None), 0);
    }
}
