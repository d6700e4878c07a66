//! Which kept connections may be used again.
//!
//! An open connection may go silent for good, without a reset, while new ones work. Only a time-out
//! shows it, and when one connection to a receiver was silenced, others to it usually were too. So a
//! time-out distrusts every connection to that receiver that has brought nothing since; the next
//! call opens a new one.
//!
//! Nor may one be used that was open while the machine was suspended: whoever is at its other end may have given it
//! up, or be gone.

use {
    crate::{
        clock::{BootInstant, ClockPair},
        sync::lock,
    },
    std::{collections::HashMap, sync::Mutex, time::Duration},
};

/// When calls to each receiver last timed out.
#[derive(Debug)]
pub(crate) struct Trust {
    timeouts: Mutex<HashMap<Box<str>, BootInstant>>,
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
    pub fn distrust(&self, receiver: &str, now: BootInstant) {
        let mut timeouts = lock(&self.timeouts);
        timeouts.retain(|_, at| now.since(*at) < self.age);
        timeouts.insert(receiver.into(), now);
    }

    /// True when a connection to a receiver that last brought bytes at `proof` may be used again.
    pub fn is_trusted(&self, receiver: &str, proof: ClockPair) -> bool {
        if proof.was_suspended() {
            return false;
        }
        lock(&self.timeouts)
            .get(receiver)
            .is_none_or(|at| *at < proof.at)
    }
}

#[cfg(test)]
mod tests {
    use {super::*, crate::clock, std::sync::MutexGuard};

    /// The clock is one for the process: a test that moves it would make the marks of the others look slept over.
    fn alone() -> MutexGuard<'static, ()> {
        static ALONE: Mutex<()> = Mutex::new(());
        lock(&ALONE)
    }

    #[test]
    fn distrust_older_of_same_receiver() {
        let _alone = alone();
        let trust = Trust::new(Duration::from_secs(20));
        let before = ClockPair::now();
        let timeout = before.at + Duration::from_millis(1);
        trust.distrust("10.0.0.1:1", timeout);
        assert!(!trust.is_trusted("10.0.0.1:1", before));
        assert!(trust.is_trusted("10.0.0.2:1", before));
        let at = timeout + Duration::from_millis(1);
        assert!(trust.is_trusted("10.0.0.1:1", ClockPair { at, ..before }));
    }

    /// A box that wakes waited for an answer on a connection whose other end had long given it up.
    #[test]
    fn distrust_after_suspension() {
        let _alone = alone();
        let trust = Trust::new(Duration::from_secs(20));
        let proof = ClockPair::now();
        assert!(trust.is_trusted("10.0.0.1:1", proof));
        clock::simulate_suspension(Duration::from_secs(3));
        assert!(!trust.is_trusted("10.0.0.1:1", proof));
        assert!(trust.is_trusted("10.0.0.1:1", ClockPair::now()));
    }

    #[test]
    fn distrust_forgets_old() {
        let _alone = alone();
        let trust = Trust::new(Duration::ZERO);
        let now = BootInstant::now();
        trust.distrust("10.0.0.1:1", now);
        trust.distrust("10.0.0.2:1", now);
        assert_eq!(lock(&trust.timeouts).len(), 1);
    }
}
