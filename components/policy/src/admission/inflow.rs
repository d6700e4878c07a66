//! The work that arrives.

use {super::Kind, std::sync::Arc};

/// The time over which arrivals are averaged, in milliseconds: long enough to even out single jobs,
/// and shorter than most bursts.
const AVERAGE_TIME: f64 = 4_000.0;

/// The jobs of one queue and kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Source {
    /// The queue.
    pub queue: Arc<str>,
    /// The kind of job.
    pub kind: Kind,
    /// The pool whose workers run it.
    pub pool: Arc<str>,
    /// The priority; 0 goes first.
    pub priority: u32,
}

/// The weight of a job in the usual time to the objective; this is the divisor.
const SPAN_JOBS: i128 = 16;

/// Decaying averages of the jobs that arrive.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Inflow {
    work: f64,
    at: u64,
    /// The usual time from acceptance to objective; `None` before the first job.
    span: Option<u64>,
}

impl Inflow {
    /// Adds a job with this work, in CPU times milliseconds, and this time to its objective.
    pub fn add(&mut self, work: u64, span: u64, now: u64) {
        self.work = self.rest(now) + work as f64;
        self.at = self.at.max(now);
        let usual = i128::from(self.span.unwrap_or(span));
        let usual = usual + (i128::from(span) - usual) / SPAN_JOBS;
        self.span = u64::try_from(usual).ok();
    }

    /// Returns the usual time from acceptance to objective; 0 before the first job.
    pub fn span(&self) -> u64 {
        self.span.unwrap_or_default()
    }

    /// Returns the CPU that the arriving work takes.
    pub fn rate(&self, now: u64) -> u64 {
        (self.rest(now) / AVERAGE_TIME) as u64
    }

    fn rest(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.work * (-age / AVERAGE_TIME).exp()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rate_of_steady_arrivals() {
        let mut inflow = Inflow::default();
        for number in 1..=400 {
            inflow.add(1_000 * 50, 1, number * 50);
        }
        let rate = inflow.rate(400 * 50);
        assert!((950..=1_050).contains(&rate), "{rate}");
    }

    #[test]
    fn rate_decays() {
        let mut inflow = Inflow::default();
        inflow.add(4_000_000, 1, 1_000);
        assert_eq!(inflow.rate(1_000), 1_000);
        assert_eq!(inflow.rate(5_000), 367);
        assert_eq!(inflow.rate(u64::MAX), 0);
    }

    /// The wall clock may be set back.
    #[test]
    fn rate_with_clock_set_back() {
        let mut inflow = Inflow::default();
        inflow.add(4_000_000, 1, 10_000);
        inflow.add(4_000_000, 1, 9_000);
        assert_eq!(inflow.rate(0), 2_000);
    }

    #[test]
    fn span_follows_jobs() {
        let mut inflow = Inflow::default();
        assert_eq!(inflow.span(), 0);
        inflow.add(1, 1_000, 1);
        assert_eq!(inflow.span(), 1_000);
        inflow.add(1, 2_600, 1);
        assert_eq!(inflow.span(), 1_100);
        for _ in 0..2_000 {
            inflow.add(1, u64::MAX, 1);
        }
        assert!(inflow.span() > u64::MAX - 20);
        inflow.add(1, 0, 1);
        assert!(inflow.span() < u64::MAX / 16 * 15 + 20);
    }

    #[test]
    fn rate_huge() {
        let mut inflow = Inflow::default();
        for _ in 0..10 {
            inflow.add(u64::MAX, 1, 1);
        }
        assert!(inflow.rate(1) > u64::MAX / 4_000);
    }
}
