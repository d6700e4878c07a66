//! Duration of worker leases, and when a lease has certainly expired by the owner's clock.

use std::time::{Duration, Instant};

/// Timing parameters of the leases of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// The duration of a lease from the worker's clock reading that it refers to.
    pub length: Duration,
    /// The maximum rate error of a worker's clock, in thousandths.
    pub drift: u32,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        LeaseTiming {
            length: Duration::from_secs(30),
            drift: 10,
        }
    }
}

impl LeaseTiming {
    /// Returns the time, by the owner's clock, after which a lease has certainly expired.
    ///
    /// `reported` is when the owner received the last report. Every extension sent since then refers
    /// to the worker's clock in that report or an earlier one, which the worker read before
    /// `reported`; so the lease ends at most its length plus the drift after `reported`.
    pub fn expiry(&self, reported: Instant) -> Instant {
        reported + self.length + self.length * self.drift / 1000
    }

    /// Whether the lease has certainly expired.
    pub fn is_expired(&self, reported: Instant, now: Instant) -> bool {
        now > self.expiry(reported)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn is_expired_after_drift() {
        let timing = LeaseTiming {
            length: Duration::from_secs(10),
            drift: 10,
        };
        let reported = Instant::now();
        assert!(!timing.is_expired(reported, reported + Duration::from_millis(10_100)));
        assert!(timing.is_expired(reported, reported + Duration::from_millis(10_101)));
    }
}
