//! How long a worker's lease lasts, seen from the owner's clock.

use std::time::{Duration, Instant};

/// The terms of the leases of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// A lease runs this long from the worker's clock reading that it is bound to.
    pub length: Duration,
    /// How much faster or slower a worker's clock may run, in thousandths.
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
    /// When a lease is surely over, by the owner's clock.
    ///
    /// `heard` is when the owner had the last report. Every extension that the owner sent since
    /// is bound to the worker's clock in that report or an earlier one, and the worker read its
    /// clock before `heard`; so the lease ends at most its length after `heard`, and the drift.
    pub fn expiry(&self, heard: Instant) -> Instant {
        heard + self.length + self.length * self.drift / 1000
    }

    /// True when the lease is surely over.
    pub fn is_expired(&self, heard: Instant, now: Instant) -> bool {
        now > self.expiry(heard)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn is_over_after_drift() {
        let term = LeaseTiming {
            length: Duration::from_secs(10),
            drift: 10,
        };
        let heard = Instant::now();
        assert!(!term.is_expired(heard, heard + Duration::from_millis(10_100)));
        assert!(term.is_expired(heard, heard + Duration::from_millis(10_101)));
    }
}
