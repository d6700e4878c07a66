//! Which kept connections may be used again.
//!
//! An open connection may go silent for good, without a reset, while new ones work. Only a time-out
//! shows it, and when one connection to a receiver was silenced, others to it usually were too. So a
//! time-out distrusts every connection to that receiver that has brought nothing since; the next
//! call opens a new one.

use {
    crate::sync::lock,
    std::{
        collections::HashMap,
        sync::Mutex,
        time::{Duration, Instant},
    },
};

/// When calls to each receiver last timed out.
#[derive(Debug)]
pub(crate) struct Trust {
    timeouts: Mutex<HashMap<Box<str>, Instant>>,
    /// After this time no connection is kept that is older than a time-out.
    age: Duration,
}

impl Trust {
    /// Trusts all connections. `age` is how long one may stay idle.
    pub fn new(age: Duration) -> Self {
        Trust {
            timeouts: Mutex::default(),
            age,
        }
    }

    /// Notes that a call to a receiver has timed out now.
    pub fn distrust(&self, receiver: &str, now: Instant) {
        let mut timeouts = lock(&self.timeouts);
        timeouts.retain(|_, at| now.duration_since(*at) < self.age);
        timeouts.insert(receiver.into(), now);
    }

    /// True when a connection to a receiver that last brought bytes at `proven` may be used again.
    pub fn is_trusted(&self, receiver: &str, proven: Instant) -> bool {
        lock(&self.timeouts)
            .get(receiver)
            .is_none_or(|at| *at < proven)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn distrust_older_of_same_receiver() {
        let trust = Trust::new(Duration::from_secs(20));
        let before = Instant::now();
        let timeout = before + Duration::from_millis(1);
        trust.distrust("10.0.0.1:1", timeout);
        assert!(!trust.is_trusted("10.0.0.1:1", before));
        assert!(trust.is_trusted("10.0.0.2:1", before));
        assert!(trust.is_trusted("10.0.0.1:1", timeout + Duration::from_millis(1)));
    }

    #[test]
    fn distrust_forgets_old() {
        let trust = Trust::new(Duration::ZERO);
        let now = Instant::now();
        trust.distrust("10.0.0.1:1", now);
        trust.distrust("10.0.0.2:1", now);
        assert_eq!(lock(&trust.timeouts).len(), 1);
    }
}
