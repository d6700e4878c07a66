//! The load of each serving job: what it is without filling tasks, and where it goes.

use {
    super::{Image, Interference},
    job::Id,
    std::collections::HashMap,
};

/// Over how long the load is averaged to tell what it is now, in milliseconds. Workers report twice
/// a second, and a job's tasks stand on a dozen workers.
const FAST: f64 = 400.0;
/// Over how long it is averaged to tell from where it comes, in milliseconds: much less than the
/// swings that were seen (14 s and 20 s).
const SLOW: f64 = 1_400.0;
/// The part of the trend that is reckoned to go on: the load swings, and a full one overshoots each
/// turn by a tenth.
const GO_ON: f64 = 0.6;
/// Figures are of the last half second: on average they are this old, in milliseconds.
const AGE: f64 = 250.0;
/// Readings of a job weigh fully from this many recent ones on.
const ENOUGH: f64 = 1.0;
/// By how much one reading may differ from the load so far; what differs more comes from a weight
/// that is not known well, or a worker in trouble.
const JUMP: f64 = 0.15;
/// A job without readings for this long, in milliseconds, is forgotten.
const FORGET: u64 = 30_000;
/// The load that is reckoned with before there are readings: the mean of those seen (0.45) and half
/// of their swing.
const UNKNOWN: f64 = 0.55;
/// Loads of new jobs start at nothing: no peak or trend is taken from the first readings, for this
/// long in milliseconds.
const WARM_UP: u64 = 1_500;

/// A mean in which old readings fade.
#[derive(Debug, Clone, Default)]
struct Mean {
    value: f64,
    /// How many readings it stands for; old ones count for less than one.
    weight: f64,
}

impl Mean {
    /// Adds a reading; `keep` is the part of the older ones' weight that remains.
    fn add(&mut self, value: f64, keep: f64) {
        self.weight = self.weight * keep + 1.0;
        self.value += (value - self.value) / self.weight;
    }
}

/// What is known of one serving job.
#[derive(Debug, Clone, Default)]
struct Level {
    /// When the first and the last reading came, on the owner's clock.
    first: u64,
    last: u64,
    /// The load as it shows, with what filling tasks add.
    shown: Mean,
    /// The shares of filling tasks beside it, by column.
    beside: Vec<f64>,
    /// The load without filling tasks, over a short time and over a longer one.
    fast: Mean,
    slow: Mean,
    /// The highest short mean that was seen.
    peak: f64,
}

impl Level {
    /// Notes that a reading with shares in so many columns has come. Returns the time since the
    /// last one, in milliseconds.
    fn begin_reading(&mut self, width: usize, now: u64) -> f64 {
        if self.first == 0 {
            self.first = now;
        }
        let gap = now.saturating_sub(self.last) as f64;
        self.last = now;
        let width = width.max(self.beside.len());
        self.beside.resize(width, 0.0);
        gap
    }

    /// By how much a row of shares differs from the mean of recent readings.
    fn difference(&self, row: &[f64]) -> Vec<f64> {
        let mut shares = row.to_vec();
        for (share, mean) in shares.iter_mut().zip(&self.beside) {
            *share -= mean;
        }
        shares
    }

    /// Adds a reading to the means of the load that shows and of the shares beside it.
    fn show(&mut self, load: f64, row: &[f64], keep: f64) {
        self.shown.add(load, keep);
        let part = 1.0 / self.shown.weight;
        for (column, mean) in self.beside.iter_mut().enumerate() {
            let share = row.get(column).copied().unwrap_or_default();
            *mean += (share - *mean) * part;
        }
    }

    /// The load at a later time, in milliseconds from the last reading.
    fn forecast(&self, ahead: f64) -> f64 {
        let trend = (self.fast.value - self.slow.value) / (SLOW - FAST);
        let load = self.fast.value + GO_ON * trend * (FAST + AGE + ahead);
        load.clamp(0.0, 1.0)
    }
}

/// The loads of all serving jobs. A job's tasks of one image share a load.
#[derive(Debug, Default)]
pub struct Forecasts {
    jobs: HashMap<(Id, Image), Level>,
}

impl Forecasts {
    /// Takes in a reading: the load that a job's tasks show on one worker, and the shares of filling
    /// tasks there, by column. What differs from the job's other workers goes to `known`.
    pub fn observe(
        &mut self,
        known: &mut Interference,
        key: (Id, Image),
        load: f64,
        row: &[f64],
        now: u64,
    ) {
        let image = key.1;
        let level = self.jobs.entry(key).or_default();
        let gap = level.begin_reading(row.len(), now);
        let keep = (-gap / FAST).exp();
        let others = level.shown.weight * keep;
        if others >= ENOUGH {
            let shares = level.difference(row);
            let trust = others / (others + 1.0);
            known.add_sample(image, load - level.shown.value, &shares, trust);
        }
        level.show(load, row, keep);
        let mut own = load - known.added_load(image, row);
        if others >= ENOUGH {
            let now_is = level.fast.value;
            own = own.clamp(now_is - JUMP, now_is + JUMP);
        }
        level.fast.add(own, keep);
        level.slow.add(own, (-gap / SLOW).exp());
        if now >= level.first + WARM_UP {
            level.peak = level.peak.max(level.fast.value);
        }
    }

    /// The load of a job's tasks so many milliseconds from now, without filling tasks, and the
    /// highest that was seen of it.
    pub fn forecast(&self, key: &(Id, Image), now: u64, ahead: u64) -> (f64, f64) {
        let Some(level) = self.jobs.get(key) else {
            return (UNKNOWN, UNKNOWN);
        };
        if now < level.first + WARM_UP {
            let load = level.fast.value.max(UNKNOWN);
            return (load, load);
        }
        let passed = now.saturating_sub(level.last);
        let near = level.forecast((passed + ahead) as f64);
        (near, level.peak.max(near))
    }

    /// Forgets jobs that no worker reports any more.
    pub fn expire(&mut self, now: u64) {
        self.jobs.retain(|_, level| now < level.last + FORGET);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const IMAGE: Image = 1;

    fn key() -> (Id, Image) {
        (Id::new("00000000000000a1").unwrap(), IMAGE)
    }

    /// Ten workers report a load that swings, one of two filling images beside half of them.
    fn watched(known: &mut Interference, until: u64) -> Forecasts {
        let mut levels = Forecasts::default();
        let mut random = fastrand::Rng::with_seed(3);
        for now in (1_000..until).step_by(50) {
            let share = if random.bool() { 0.15 } else { 0.0 };
            let row = known.dense_row(&[(7, share), (8, 0.15 - share)]);
            let load = true_load(now as f64 - AGE) + 1.6 * share;
            levels.observe(known, key(), load, &row, now);
            known.solve(now);
        }
        levels
    }

    fn true_load(at: f64) -> f64 {
        0.45 + 0.2 * (at * std::f64::consts::TAU / 14_000.0).sin()
    }

    #[test]
    fn foresee_within_a_tenth() {
        let mut known = Interference::default();
        for until in [8_000, 11_000, 15_000, 18_000] {
            let levels = watched(&mut known, until);
            let (near, _) = levels.forecast(&key(), until, 700);
            let truth = true_load(until as f64 + 700.0);
            assert!((near - truth).abs() < 0.1, "{near} {truth} at {until}");
        }
    }

    #[test]
    fn read_learns_from_differences() {
        let mut known = Interference::default();
        watched(&mut known, 6_000);
        assert!(known.weight(IMAGE, 7) - known.weight(IMAGE, 8) > 1.2);
    }

    #[test]
    fn foresee_unknown_job() {
        assert_eq!(
            Forecasts::default().forecast(&key(), 5, 0),
            (UNKNOWN, UNKNOWN)
        );
    }
}
