//! Regularized least squares on running sums.

use {
    super::HARMFUL_WEIGHT,
    serde::{Deserialize, Serialize},
};

/// Strength of the prior, as the sum of squared shares of equal weight: the variance of a reading
/// (0.05 squared, doubled for model error) over that of the weights (0.5).
const PRIOR_STRENGTH: f64 = 0.01;
/// Decay of old samples per solution: half of their weight remains after about a minute and a half.
const DECAY: f64 = 0.996;
/// Sum of squared shares from which a weight counts as known: five times the strength of the prior.
const KNOWN_MIN: f64 = 5.0 * PRIOR_STRENGTH;
/// Two images are comparable if at least one in this many columns is known for both.
const KNOWN_ONE_IN: usize = 2;

/// Quantization steps per unit in the serialized form. An error of half a step in each of 30
/// columns is far below the strength of the prior.
const STEPS_PER_UNIT: f64 = 10_000.0;

/// Serialized form: integers of 1 to 3 bytes in place of floats of 9 bytes, and only the upper
/// triangle of the matrix. 16 serving and 30 best-effort images take 20 KB, compared with 62 KB in
/// full.
#[derive(Serialize, Deserialize)]
struct Packed {
    /// Row by row, starting at the diagonal.
    square: Vec<i64>,
    result: Vec<i64>,
}

impl From<Regression> for Packed {
    fn from(regression: Regression) -> Self {
        let steps = |sum: &f64| (sum * STEPS_PER_UNIT).round() as i64;
        let rows = regression.square.iter().enumerate();
        Packed {
            square: rows
                .flat_map(|(row, sums)| sums[row..].iter().map(steps))
                .collect(),
            result: regression.result.iter().map(steps).collect(),
        }
    }
}

impl From<Packed> for Regression {
    /// Missing trailing values of truncated rows count as zero.
    fn from(packed: Packed) -> Self {
        let width = packed.result.len();
        let sum = |steps: &i64| *steps as f64 / STEPS_PER_UNIT;
        let mut square = vec![vec![0.0; width]; width];
        let mut rest = packed.square.iter().map(sum);
        let pairs = (0..width).flat_map(|row| (row..width).map(move |column| (row, column)));
        for (row, column) in pairs {
            let sum = rest.next().unwrap_or_default();
            square[row][column] = sum;
            square[column][row] = sum;
        }
        Regression {
            square,
            result: packed.result.iter().map(sum).collect(),
            weights: Vec::new(),
            fresh: true,
        }
    }
}

/// The regression of one serving image.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Regression {
    /// Sums of products of shares, by pair of columns.
    square: Vec<Vec<f64>>,
    /// Sums of products of shares and loads.
    result: Vec<f64>,
    /// The solution, by column.
    weights: Vec<f64>,
    /// Samples were added since the last solution.
    fresh: bool,
}

impl Regression {
    /// Adds a sample with the weight `trust`.
    pub fn add(&mut self, load: f64, shares: &[f64], trust: f64) {
        self.grow(shares.len());
        for (a, share_a) in shares.iter().enumerate() {
            if *share_a == 0.0 {
                continue;
            }
            self.result[a] += trust * share_a * load;
            for (b, share_b) in shares.iter().enumerate() {
                self.square[a][b] += trust * share_a * share_b;
            }
        }
        self.fresh = true;
    }

    /// The weight of a column, if one was solved.
    pub fn weight(&self, column: usize) -> Option<f64> {
        self.weights.get(column).copied()
    }

    /// Solves the system if samples were added; `prior` is the weight without samples.
    pub fn solve(&mut self, prior: f64) {
        if !std::mem::take(&mut self.fresh) {
            return;
        }
        for row in &mut self.square {
            row.iter_mut().for_each(|sum| *sum *= DECAY);
        }
        self.result.iter_mut().for_each(|sum| *sum *= DECAY);
        let mut square = self.square.clone();
        let mut result = self.result.clone();
        for column in 0..square.len() {
            square[column][column] += PRIOR_STRENGTH;
            result[column] += PRIOR_STRENGTH * prior;
        }
        self.weights = solve_linear(square, result);
    }

    /// True if the weights of both images are known for enough columns and the same columns
    /// interfere.
    pub fn has_same_profile(&self, other: &Regression, width: usize) -> bool {
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
        known * KNOWN_ONE_IN >= width && known > 0
    }

    /// The weight of a column with enough samples to tell it from the prior.
    pub fn known(&self, column: usize) -> Option<f64> {
        let strength = self.square.get(column)?.get(column)?;
        (*strength >= KNOWN_MIN)
            .then(|| self.weight(column))
            .flatten()
    }

    fn grow(&mut self, width: usize) {
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

/// Solves a symmetric positive definite system; a row without samples yields 0.
fn solve_linear(mut square: Vec<Vec<f64>>, mut result: Vec<f64>) -> Vec<f64> {
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
