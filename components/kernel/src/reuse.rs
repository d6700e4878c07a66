//! Decides which idle connections of a pool may be reused.
//!
//! An open connection may stop delivering data permanently, without a reset, while new connections
//! work. Only a time-out reveals this, and if one connection to a receiver is affected, others to
//! it usually are too. After a time-out, no connection to that receiver is reused unless it has
//! received data since; the next call opens a new connection.
//!
//! Connections that were open while the machine was suspended are not reused either: the peer may
//! have closed them or may have ended.

use {
    crate::{
        clock::{BootInstant, ClockPair},
        sync::lock,
    },
    std::{collections::HashMap, sync::Mutex, time::Duration},
};

/// Time of the last call time-out of each receiver.
#[derive(Debug)]
pub(crate) struct ReusePolicy {
    timeouts: Mutex<HashMap<Box<str>, BootInstant>>,
    /// Idle time-out of connections: after it, no pooled connection is older than a recorded
    /// time-out.
    idle_timeout: Duration,
}

impl ReusePolicy {
    /// A policy without time-outs. `idle_timeout` is the maximum idle time of a connection.
    pub fn new(idle_timeout: Duration) -> Self {
        ReusePolicy {
            timeouts: Mutex::default(),
            idle_timeout,
        }
    }

    /// Records that a call to a receiver timed out at `now`.
    pub fn record_timeout(&self, receiver: &str, now: BootInstant) {
        let mut timeouts = lock(&self.timeouts);
        timeouts.retain(|_, at| now.since(*at) < self.idle_timeout);
        timeouts.insert(receiver.into(), now);
    }

    /// True if a connection to a receiver that last received data at `last_received` may be reused.
    pub fn may_reuse(&self, receiver: &str, last_received: ClockPair) -> bool {
        if last_received.was_suspended() {
            return false;
        }
        lock(&self.timeouts)
            .get(receiver)
            .is_none_or(|at| *at < last_received.at)
    }
}

#[cfg(test)]
mod tests {
    use {super::*, crate::clock, std::sync::MutexGuard};

    /// Serializes the tests: the simulated suspension applies to the whole process, so it would
    /// invalidate the connections of other tests.
    fn serialize() -> MutexGuard<'static, ()> {
        static SERIAL: Mutex<()> = Mutex::new(());
        lock(&SERIAL)
    }

    #[test]
    fn record_timeout_affects_older_of_receiver() {
        let _guard = serialize();
        let policy = ReusePolicy::new(Duration::from_secs(20));
        let before = ClockPair::now();
        let timeout = before.at + Duration::from_millis(1);
        policy.record_timeout("10.0.0.1:1", timeout);
        assert!(!policy.may_reuse("10.0.0.1:1", before));
        assert!(policy.may_reuse("10.0.0.2:1", before));
        let at = timeout + Duration::from_millis(1);
        assert!(policy.may_reuse("10.0.0.1:1", ClockPair { at, ..before }));
    }

    /// Guards against reuse after a suspension: a resumed box waited for a response on a connection
    /// that the peer had closed long before.
    #[test]
    fn may_reuse_after_suspension() {
        let _guard = serialize();
        let policy = ReusePolicy::new(Duration::from_secs(20));
        let last_received = ClockPair::now();
        assert!(policy.may_reuse("10.0.0.1:1", last_received));
        clock::simulate_suspension(Duration::from_secs(3));
        assert!(!policy.may_reuse("10.0.0.1:1", last_received));
        assert!(policy.may_reuse("10.0.0.1:1", ClockPair::now()));
    }

    #[test]
    fn record_timeout_expires_old() {
        let _guard = serialize();
        let policy = ReusePolicy::new(Duration::ZERO);
        let now = BootInstant::now();
        policy.record_timeout("10.0.0.1:1", now);
        policy.record_timeout("10.0.0.2:1", now);
        assert_eq!(lock(&policy.timeouts).len(), 1);
    }
}
