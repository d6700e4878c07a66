//! Rate limit of a process's store calls, with tokens reserved for urgent calls, and retry backoff.
//!
//! The platform meters every call, and its limits grow more slowly than the fleet, so each process
//! limits itself to a share. Calls of low priority leave part of the burst to those of high priority.

use std::time::{Duration, Instant};

/// The priority of a call, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Taking over a cell, by incrementing its epoch.
    Takeover,
    /// Writing data that must be durable.
    Durable,
    /// All other calls.
    Read,
}

impl Priority {
    /// The fraction of the burst that a call of this priority must leave to others.
    const fn reserve(self) -> f64 {
        match self {
            Priority::Takeover => 0.0,
            Priority::Durable => 0.2,
            Priority::Read => 0.5,
        }
    }
}

/// A token bucket with tokens reserved by priority.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` calls that is refilled with `rate` calls per second.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Takes a token for one call if its priority permits it at `now`.
    pub fn try_take(&mut self, priority: Priority, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens - 1.0 < self.burst * priority.reserve() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl TokenBucket {
    /// Returns the time until a call of this priority is permitted; zero when it already is.
    pub fn wait_time(&self, priority: Priority, now: Instant) -> Duration {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        let tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        let missing = self.burst * priority.reserve() + 1.0 - tokens;
        Duration::from_secs_f64(missing.max(0.0) / self.rate)
    }
}

/// Returns the wait before the next attempt after this many consecutive failures: `base` doubled with
/// each failure up to `max`, reduced by up to half by `jitter` (0 to 1, random), so that the retries
/// of many callers spread out.
pub fn backoff(base: Duration, max: Duration, failures: u32, jitter: f64) -> Duration {
    let doubled = base.saturating_mul(1_u32.checked_shl(failures.min(16)).unwrap_or(u32::MAX));
    doubled.min(max).mul_f64(1.0 - jitter.clamp(0.0, 1.0) / 2.0)
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(Priority::Takeover, 10; "takeover takes all tokens")]
    #[test_case(Priority::Durable, 8; "durable leaves a fifth")]
    #[test_case(Priority::Read, 5; "read leaves half")]
    fn try_take_by_priority(priority: Priority, expected: usize) {
        let now = Instant::now();
        let mut bucket = TokenBucket::new(1.0, 10.0, now);
        let taken = (0..100).filter(|_| bucket.try_take(priority, now)).count();
        assert_eq!(taken, expected);
        assert!(bucket.try_take(priority, now + Duration::from_millis(1001)));
    }

    #[test]
    fn wait_time_until_try_take() {
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
        let max = Duration::from_secs(5);
        assert_eq!(backoff(base, max, 0, 0.0), base);
        assert_eq!(backoff(base, max, 3, 0.0), base * 8);
        assert_eq!(backoff(base, max, 60, 0.0), max);
        assert_eq!(backoff(base, max, 60, 1.0), max / 2);
    }
}
