//! Heartbeats of the owner, which spare the other boxes reads of the store.
//!
//! Every box exchanges messages with the owner. An answer of an owner that has recently renewed its
//! lease and read the configuration replaces a read of the owner's key and of the configuration. A
//! box without such an answer reads and watches both keys itself.

use {
    crate::settings::{CONFIG_READ_INTERVAL, HEARTBEAT_SLACK, MAX_LEASE_AGE},
    kernel::{sync::lock, task::Signal},
    serde::{Deserialize, Serialize},
    std::{sync::Mutex, time::Duration},
};

/// The state of the store as last read by the owner. Ages are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Store revision of the newest configuration; 0 while there is none.
    pub config: u64,
    /// Time since the owner last verified that this is the newest configuration.
    pub config_age: u64,
    /// Time since the ownership was last confirmed by a lease renewal or a write.
    pub lease_age: u64,
}

impl Heartbeat {
    /// True when the heartbeat replaces a read of both keys.
    fn is_fresh(&self) -> bool {
        let max_config_age = 2 * CONFIG_READ_INTERVAL.as_millis() as u64;
        let max_lease_age = MAX_LEASE_AGE.as_millis() as u64;
        self.config_age < max_config_age && self.lease_age < max_lease_age
    }
}

/// The last heartbeat that a box has received.
#[derive(Default)]
pub struct Monitor {
    last: Mutex<LastHeartbeat>,
    /// Wakes the thread that follows the configuration.
    pub config: Signal,
    /// Wakes the thread that watches the owner's key.
    pub owner: Signal,
}

#[derive(Default, Clone, Copy)]
struct LastHeartbeat {
    /// Store revision of the newest configuration.
    config: u64,
    /// Expiry of the heartbeat on the clock of this box; 0 when it has expired.
    until: u64,
}

impl Monitor {
    /// Records the heartbeat in the answer to a request sent at `sent`, from an owner that expects
    /// the next exchange after `pause`. A missing or stale heartbeat clears the last one, and the
    /// box reads the store itself.
    pub fn record(&self, heartbeat: Option<Heartbeat>, sent: u64, pause: Duration) {
        let Some(heartbeat) = heartbeat.filter(Heartbeat::is_fresh) else {
            self.clear();
            return;
        };
        let until = sent + (pause + HEARTBEAT_SLACK).as_millis() as u64;
        let config = heartbeat.config;
        let previous = std::mem::replace(&mut *lock(&self.last), LastHeartbeat { config, until });
        if previous.config != config {
            self.config.notify();
        }
    }

    /// Clears the last heartbeat, since the owner did not answer, and wakes both threads.
    pub fn clear(&self) {
        let previous = std::mem::take(&mut *lock(&self.last));
        if previous.until != 0 {
            self.config.notify();
            self.owner.notify();
        }
    }

    /// Store revision of the newest configuration and the time for which no read is needed; `None`
    /// when the box has to read the store itself.
    pub fn valid(&self, now: u64) -> Option<(u64, Duration)> {
        let LastHeartbeat { config, until } = *lock(&self.last);
        let left = until.checked_sub(now).filter(|left| *left > 0)?;
        Some((config, Duration::from_millis(left)))
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    const PAUSE: Duration = Duration::from_millis(400);
    const MAX_CONFIG_AGE_MS: u64 = 2 * CONFIG_READ_INTERVAL.as_millis() as u64;
    const MAX_LEASE_AGE_MS: u64 = MAX_LEASE_AGE.as_millis() as u64;

    fn heartbeat_with(config_age: u64, lease_age: u64) -> Heartbeat {
        Heartbeat {
            config: 7,
            config_age,
            lease_age,
        }
    }

    #[test_case(Some(heartbeat_with(0, 0)), true; "fresh")]
    #[test_case(Some(heartbeat_with(MAX_CONFIG_AGE_MS, 0)), false; "stale configuration")]
    #[test_case(Some(heartbeat_with(0, MAX_LEASE_AGE_MS)), false; "lease not renewed")]
    #[test_case(None, false; "no heartbeat")]
    fn valid_after_record(heartbeat: Option<Heartbeat>, is_fresh: bool) {
        let monitor = Monitor::default();
        monitor.record(heartbeat, 1_000, PAUSE);
        assert_eq!(monitor.valid(1_100).is_some(), is_fresh);
    }

    #[test]
    fn valid_until_expiry() {
        let monitor = Monitor::default();
        let lifetime = (PAUSE + HEARTBEAT_SLACK).as_millis() as u64;
        monitor.record(Some(heartbeat_with(0, 0)), 1_000, PAUSE);
        assert_eq!(
            monitor.valid(999 + lifetime),
            Some((7, Duration::from_millis(1)))
        );
        assert_eq!(monitor.valid(1_000 + lifetime), None);
    }

    /// When the owner stops answering, both threads wake at once and read the store themselves.
    /// They are not woken again while it stays unreachable.
    #[test]
    fn clear_wakes_once() {
        let monitor = Monitor::default();
        monitor.clear();
        assert!(!monitor.owner.wait(Duration::ZERO));
        monitor.record(Some(heartbeat_with(0, 0)), 1_000, PAUSE);
        assert!(monitor.config.wait(Duration::ZERO));
        monitor.clear();
        assert!(monitor.owner.wait(Duration::ZERO) && monitor.config.wait(Duration::ZERO));
        assert_eq!(monitor.valid(1_001), None);
    }
}
