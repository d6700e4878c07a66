//! A budget of calls on the store, kept by each process.
//!
//! The service counts every call and its rates grow more slowly than the fleet, so each process
//! holds itself to a share. What it spares for later is kept for the more urgent classes.

use std::time::{Duration, Instant};

/// How urgent a call is; the less urgent leave room for the more urgent, which come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Raising a cell's epoch.
    Takeover,
    /// Writing down what must last.
    Durable,
    /// Anything else.
    Read,
}

impl Priority {
    /// The share of the burst that a call of this rank must leave untouched, in percent.
    const fn reserve(self) -> f64 {
        match self {
            Priority::Takeover => 0.0,
            Priority::Durable => 0.2,
            Priority::Read => 0.5,
        }
    }
}

/// A token bucket with reserves by rank.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// A full bucket of `burst` calls that regains `rate` calls a second.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            filled: now,
        }
    }

    /// Takes one call if the rank may have it now.
    pub fn try_take(&mut self, rank: Priority, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.filled = self.filled.max(now);
        if self.tokens - 1.0 < self.burst * rank.reserve() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl TokenBucket {
    /// How long until a call of this rank may be made; zero when it may now.
    pub fn wait_time(&self, rank: Priority, now: Instant) -> Duration {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        let tokens = (self.tokens + passed * self.rate).min(self.burst);
        let lacking = self.burst * rank.reserve() + 1.0 - tokens;
        Duration::from_secs_f64(lacking.max(0.0) / self.rate)
    }
}

/// The wait before the next try after this many failures in a row: doubling from `base` to `most`,
/// of which a random half (`jitter` from 0 to 1) is taken off, so that many callers spread out.
pub fn backoff(base: Duration, most: Duration, failures: u32, jitter: f64) -> Duration {
    let doubled = base.saturating_mul(1_u32.checked_shl(failures.min(16)).unwrap_or(u32::MAX));
    doubled
        .min(most)
        .mul_f64(1.0 - jitter.clamp(0.0, 1.0) / 2.0)
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(Priority::Takeover, 10; "takeover may empty it")]
    #[test_case(Priority::Durable, 8; "durable leaves a fifth")]
    #[test_case(Priority::Read, 5; "read leaves half")]
    fn take_by_rank(rank: Priority, expected: usize) {
        let now = Instant::now();
        let mut bucket = TokenBucket::new(1.0, 10.0, now);
        let taken = (0..100).filter(|_| bucket.try_take(rank, now)).count();
        assert_eq!(taken, expected);
        assert!(bucket.try_take(rank, now + Duration::from_millis(1001)));
    }

    #[test]
    fn until_then_take() {
        let now = Instant::now();
        let mut bucket = TokenBucket::new(2.0, 4.0, now);
        while bucket.try_take(Priority::Durable, now) {}
        let wait = bucket.wait_time(Priority::Durable, now);
        assert!(!wait.is_zero());
        assert!(bucket.try_take(Priority::Durable, now + wait + Duration::from_millis(1)));
        assert!(bucket.wait_time(Priority::Read, now) > wait);
    }

    #[test]
    fn backoff_bounds() {
        let base = Duration::from_millis(100);
        let most = Duration::from_secs(5);
        assert_eq!(backoff(base, most, 0, 0.0), base);
        assert_eq!(backoff(base, most, 3, 0.0), base * 8);
        assert_eq!(backoff(base, most, 60, 0.0), most);
        assert_eq!(backoff(base, most, 60, 1.0), most / 2);
    }
}
