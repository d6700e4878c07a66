//! Least squares with a prior, kept as running sums.

use {
    super::HARMFUL_WEIGHT,
    serde::{Deserialize, Serialize},
};

/// How strongly the prior holds, as the sum of squares of shares that weighs as much: the variance
/// of a reading (0.05 squared, doubled for what the model leaves out) over that of weights (0.5).
const HOLD: f64 = 0.01;
/// What remains of old samples each time the sums are solved: half after about a minute and a half.
const KEEP: f64 = 0.996;
/// A weight counts as known from this sum of squares of shares on: five times what holds the prior.
const SEEN: f64 = 5.0 * HOLD;
/// One in so many columns must be known of two images that are compared.
const KNOWN_OF: usize = 2;

/// Steps of a sum that are told apart where it is written down. An error of half a step in each of 30 columns is
/// far below what holds the prior.
const STEPS: f64 = 10_000.0;

/// Sums as they are written down: in whole steps, which take 1 to 3 bytes where a number takes 9, and of pairs of
/// columns just one half. 16 serving and 30 filling images are 20 KB so, and 62 KB in full.
#[derive(Serialize, Deserialize)]
struct Packed {
    /// Row by row, from the diagonal on.
    square: Vec<i64>,
    result: Vec<i64>,
}

impl From<Sums> for Packed {
    fn from(sums: Sums) -> Self {
        let steps = |sum: &f64| (sum * STEPS).round() as i64;
        let rows = sums.square.iter().enumerate();
        Packed {
            square: rows
                .flat_map(|(row, sums)| sums[row..].iter().map(steps))
                .collect(),
            result: sums.result.iter().map(steps).collect(),
        }
    }
}

impl From<Packed> for Sums {
    /// Rows that are cut short count as nothing learned.
    fn from(packed: Packed) -> Self {
        let width = packed.result.len();
        let sum = |steps: &i64| *steps as f64 / STEPS;
        let mut square = vec![vec![0.0; width]; width];
        let mut rest = packed.square.iter().map(sum);
        let pairs = (0..width).flat_map(|row| (row..width).map(move |column| (row, column)));
        for (row, column) in pairs {
            let sum = rest.next().unwrap_or_default();
            square[row][column] = sum;
            square[column][row] = sum;
        }
        Sums {
            square,
            result: packed.result.iter().map(sum).collect(),
            weights: Vec::new(),
            fresh: true,
        }
    }
}

/// Sums of one serving image.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Sums {
    /// Products of shares, by pair of columns.
    square: Vec<Vec<f64>>,
    /// Products of shares and loads.
    result: Vec<f64>,
    /// The solution.
    weights: Vec<f64>,
    /// Samples have come since the last solution.
    fresh: bool,
}

impl Sums {
    /// Adds one reading with this weight.
    pub fn add(&mut self, load: f64, shares: &[f64], trust: f64) {
        self.widen(shares.len());
        for (a, x) in shares.iter().enumerate() {
            if *x == 0.0 {
                continue;
            }
            self.result[a] += trust * x * load;
            for (b, y) in shares.iter().enumerate() {
                self.square[a][b] += trust * x * y;
            }
        }
        self.fresh = true;
    }

    /// The weight of a column, once one was solved.
    pub fn weight(&self, column: usize) -> Option<f64> {
        self.weights.get(column).copied()
    }

    /// Solves anew if samples have come.
    pub fn solve(&mut self, prior: f64) {
        if !std::mem::take(&mut self.fresh) {
            return;
        }
        for row in &mut self.square {
            row.iter_mut().for_each(|sum| *sum *= KEEP);
        }
        self.result.iter_mut().for_each(|sum| *sum *= KEEP);
        let mut square = self.square.clone();
        let mut result = self.result.clone();
        for column in 0..square.len() {
            square[column][column] += HOLD;
            result[column] += HOLD * prior;
        }
        self.weights = eliminate(square, result);
    }

    /// True when the weights of both are known for enough of the columns, and the same ones disturb.
    pub fn is_like(&self, other: &Sums, width: usize) -> bool {
        let mut known = 0;
        for column in 0..width {
            let (Some(a), Some(b)) = (self.known(column), other.known(column)) else {
                continue;
            };
            if (a >= HARMFUL_WEIGHT) != (b >= HARMFUL_WEIGHT) {
                return false;
            }
            known += 1;
        }
        known * KNOWN_OF >= width && known > 0
    }

    /// The weight of a column that was seen enough to be told from the prior.
    pub fn known(&self, column: usize) -> Option<f64> {
        let seen = self.square.get(column)?.get(column)?;
        (*seen >= SEEN).then(|| self.weight(column)).flatten()
    }

    fn widen(&mut self, width: usize) {
        if self.result.len() >= width {
            return;
        }
        for row in &mut self.square {
            row.resize(width, 0.0);
        }
        self.square.resize(width, vec![0.0; width]);
        self.result.resize(width, 0.0);
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
