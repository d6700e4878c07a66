//! Load forecasts of serving jobs: the load without best-effort tasks, and its trend.

use {
    super::{Image, Interference},
    job::Id,
    std::collections::HashMap,
};

/// Time constant of the average that gives the present load, in milliseconds. Workers report twice
/// a second, and the tasks of a job run on a dozen workers.
const FAST_WINDOW: f64 = 400.0;
/// Time constant of the average that the trend is measured against, in milliseconds: much shorter
/// than the periods of observed load swings (14 s and 20 s).
const SLOW_WINDOW: f64 = 1_400.0;
/// Share of the trend that is extrapolated. Load oscillates, and the full trend overshoots each
/// turning point by a tenth.
const TREND_FACTOR: f64 = 0.6;
/// Mean age of a figure when it arrives, in milliseconds: figures cover the last half second.
const FIGURE_AGE: f64 = 250.0;
/// Weight of a job's recent readings from which a new one is compared with them.
const MIN_READINGS: f64 = 1.0;
/// Maximum deviation of a reading from the current load. A larger one comes from a weight that is
/// not well known, or from a faulty worker.
const MAX_DEVIATION: f64 = 0.15;
/// Jobs without readings for this long, in milliseconds, are dropped.
const RETENTION: u64 = 30_000;
/// The trend of a job without readings for this long, in milliseconds, tells nothing of its load any
/// more: four reports of its workers.
const STALE_AFTER: u64 = 2_000;
/// Load that is assumed without recent readings: the mean of observed loads (0.45) plus half of
/// their swing.
const DEFAULT_LOAD: f64 = 0.55;
/// The averages of a new job start at zero: for this long, in milliseconds, no peak or trend is
/// derived.
const WARM_UP: u64 = 1_500;

/// A mean with exponential decay of old readings.
#[derive(Debug, Clone, Default)]
struct DecayingMean {
    value: f64,
    /// Number of readings; decayed ones count for less than one.
    weight: f64,
}

impl DecayingMean {
    /// Adds a reading; `keep` is the share of the former weight that remains.
    fn add(&mut self, value: f64, keep: f64) {
        self.weight = self.weight * keep + 1.0;
        self.value += (value - self.value) / self.weight;
    }
}

/// The load of one serving job.
#[derive(Debug, Clone, Default)]
struct JobLoad {
    /// When the first and the last reading arrived, on the owner's clock.
    first_at: u64,
    last_at: u64,
    /// The observed load, including the effect of best-effort tasks.
    observed: DecayingMean,
    /// Mean processor shares of best-effort tasks on the same workers, by column.
    shares: Vec<f64>,
    /// The load without best-effort tasks, averaged over a short and a longer time.
    fast: DecayingMean,
    slow: DecayingMean,
    /// The highest short-term average.
    peak: f64,
}

impl JobLoad {
    /// Registers a reading of a row with this many columns. Returns the time since the last
    /// reading, in milliseconds.
    fn begin_reading(&mut self, width: usize, now: u64) -> f64 {
        if self.first_at == 0 {
            self.first_at = now;
        }
        let elapsed = now.saturating_sub(self.last_at) as f64;
        self.last_at = now;
        let width = width.max(self.shares.len());
        self.shares.resize(width, 0.0);
        elapsed
    }

    /// Difference between a row of shares and the mean of recent readings.
    fn difference(&self, row: &[f64]) -> Vec<f64> {
        let mut shares = row.to_vec();
        for (share, mean) in shares.iter_mut().zip(&self.shares) {
            *share -= mean;
        }
        shares
    }

    /// Adds a reading to the means of the observed load and of the shares.
    fn add_observed(&mut self, load: f64, row: &[f64], keep: f64) {
        self.observed.add(load, keep);
        let part = 1.0 / self.observed.weight;
        for (column, mean) in self.shares.iter_mut().enumerate() {
            let share = row.get(column).copied().unwrap_or_default();
            *mean += (share - *mean) * part;
        }
    }

    /// Extrapolates the load to a time in milliseconds after the last reading.
    fn forecast(&self, ahead: f64) -> f64 {
        let trend = (self.fast.value - self.slow.value) / (SLOW_WINDOW - FAST_WINDOW);
        let load = self.fast.value + TREND_FACTOR * trend * (FAST_WINDOW + FIGURE_AGE + ahead);
        load.clamp(0.0, 1.0)
    }
}

/// Load forecasts of all serving jobs. A job's tasks with the same image share a load.
#[derive(Debug, Default)]
pub struct Forecasts {
    jobs: HashMap<(Id, Image), JobLoad>,
}

impl Forecasts {
    /// Adds a reading: the load of a job's tasks on one worker, and the shares of best-effort tasks
    /// there, by column. The difference from the job's other workers goes to `model` as a sample.
    pub fn observe(
        &mut self,
        model: &mut Interference,
        key: (Id, Image),
        load: f64,
        row: &[f64],
        now: u64,
    ) {
        let image = key.1;
        let job_load = self.jobs.entry(key).or_default();
        let elapsed = job_load.begin_reading(row.len(), now);
        let keep = (-elapsed / FAST_WINDOW).exp();
        let others = job_load.observed.weight * keep;
        if others >= MIN_READINGS {
            let shares = job_load.difference(row);
            let trust = others / (others + 1.0);
            model.add_sample(image, load - job_load.observed.value, &shares, trust);
        }
        job_load.add_observed(load, row, keep);
        let mut own_load = load - model.added_load(image, row);
        if others >= MIN_READINGS {
            let current = job_load.fast.value;
            own_load = own_load.clamp(current - MAX_DEVIATION, current + MAX_DEVIATION);
        }
        job_load.fast.add(own_load, keep);
        job_load.slow.add(own_load, (-elapsed / SLOW_WINDOW).exp());
        if now >= job_load.first_at + WARM_UP {
            job_load.peak = job_load.peak.max(job_load.fast.value);
        }
    }

    /// Forecasts the load of a job's tasks `ahead` milliseconds from now, without best-effort
    /// tasks. Returns the forecast and the highest load so far.
    pub fn forecast(&self, key: &(Id, Image), now: u64, ahead: u64) -> (f64, f64) {
        let Some(job_load) = self.jobs.get(key) else {
            return (DEFAULT_LOAD, DEFAULT_LOAD);
        };
        if now < job_load.first_at + WARM_UP {
            let load = job_load.fast.value.max(DEFAULT_LOAD);
            return (load, load);
        }
        let elapsed = now.saturating_sub(job_load.last_at);
        if elapsed > STALE_AFTER {
            return (DEFAULT_LOAD, job_load.peak.max(DEFAULT_LOAD));
        }
        let expected = job_load.forecast((elapsed + ahead) as f64);
        (expected, job_load.peak.max(expected))
    }

    /// Drops jobs that no worker reports any more.
    pub fn expire(&mut self, now: u64) {
        self.jobs
            .retain(|_, job_load| now < job_load.last_at + RETENTION);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const IMAGE: Image = 1;

    fn key() -> (Id, Image) {
        (Id::new("00000000000000a1").unwrap(), IMAGE)
    }

    /// Ten workers report an oscillating load, with one of two best-effort images beside half of
    /// them.
    fn observe_workers(model: &mut Interference, until: u64) -> Forecasts {
        let mut forecasts = Forecasts::default();
        let mut random = fastrand::Rng::with_seed(3);
        for now in (1_000..until).step_by(50) {
            let share = if random.bool() { 0.15 } else { 0.0 };
            let row = model.dense_row(&[(7, share), (8, 0.15 - share)]);
            let load = actual_load(now as f64 - FIGURE_AGE) + 1.6 * share;
            forecasts.observe(model, key(), load, &row, now);
            model.solve(now);
        }
        forecasts
    }

    fn actual_load(at: f64) -> f64 {
        0.45 + 0.2 * (at * std::f64::consts::TAU / 14_000.0).sin()
    }

    #[test]
    fn forecast_error_below_a_tenth() {
        let mut model = Interference::default();
        for until in [8_000, 11_000, 15_000, 18_000] {
            let forecasts = observe_workers(&mut model, until);
            let (expected, _) = forecasts.forecast(&key(), until, 700);
            let actual = actual_load(until as f64 + 700.0);
            assert!(
                (expected - actual).abs() < 0.1,
                "{expected} {actual} at {until}"
            );
        }
    }

    #[test]
    fn observe_learns_from_differences() {
        let mut model = Interference::default();
        observe_workers(&mut model, 6_000);
        assert!(model.weight(IMAGE, 7) - model.weight(IMAGE, 8) > 1.2);
    }

    #[test]
    fn forecast_of_unknown_job() {
        assert_eq!(
            Forecasts::default().forecast(&key(), 5, 0),
            (DEFAULT_LOAD, DEFAULT_LOAD)
        );
    }
}
