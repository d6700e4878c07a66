//! What the owner tells other boxes of the store, so that they need not ask it themselves.
//!
//! Every box exchanges messages with the owner. An answer that comes from an owner which is sure of its ownership, and
//! which has read the configuration lately, stands for a read of both keys. A box without such an answer reads and watches
//! the keys itself.

use {
    crate::settings::{CONFIG_READ_INTERVAL, HEARTBEAT_SLACK, MAX_LEASE_AGE},
    kernel::{sync::lock, task::Signal},
    serde::{Deserialize, Serialize},
    std::{sync::Mutex, time::Duration},
};

/// What an owner knows of the store. Ages are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The store's revision of the newest configuration; 0 while there is none.
    pub config: u64,
    /// How long ago that was the newest.
    pub config_age: u64,
    /// How long ago the cell was surely the owner's.
    pub lease_age: u64,
}

impl Heartbeat {
    /// True when it stands for a read of both keys.
    fn is_fresh(&self) -> bool {
        let config_most = 2 * CONFIG_READ_INTERVAL.as_millis() as u64;
        let lease_most = MAX_LEASE_AGE.as_millis() as u64;
        self.config_age < config_most && self.lease_age < lease_most
    }
}

/// The last heartbeat that a box has heard.
#[derive(Default)]
pub struct Monitor {
    heard: Mutex<Heard>,
    /// Wakes the task that follows the configuration.
    pub config: Signal,
    /// Wakes the task that follows the ownership.
    pub owner: Signal,
}

#[derive(Default, Clone, Copy)]
struct Heard {
    /// The store's revision of the newest configuration.
    config: u64,
    /// Until when the heartbeat stands for reads, on the clock of this box; 0 for no longer.
    until: u64,
}

impl Monitor {
    /// Notes a heartbeat that was asked for at `asked`, of an owner that expects the next exchange after `pause`.
    /// Without one, or with one that is not fresh, the box is on its own.
    pub fn record(&self, heartbeat: Option<Heartbeat>, asked: u64, pause: Duration) {
        let Some(heartbeat) = heartbeat.filter(Heartbeat::is_fresh) else {
            self.clear();
            return;
        };
        let until = asked + (pause + HEARTBEAT_SLACK).as_millis() as u64;
        let config = heartbeat.config;
        let former = std::mem::replace(&mut *lock(&self.heard), Heard { config, until });
        if former.config != config {
            self.config.ring();
        }
    }

    /// The owner has not answered.
    pub fn clear(&self) {
        let former = std::mem::take(&mut *lock(&self.heard));
        if former.until != 0 {
            self.config.ring();
            self.owner.ring();
        }
    }

    /// The store's revision of the newest configuration and for how long no read is needed; `None` where the box is on its
    /// own.
    pub fn valid(&self, now: u64) -> Option<(u64, Duration)> {
        let Heard { config, until } = *lock(&self.heard);
        let left = until.checked_sub(now).filter(|left| *left > 0)?;
        Some((config, Duration::from_millis(left)))
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    const PAUSE: Duration = Duration::from_millis(400);
    const CONFIG_MOST: u64 = 2 * CONFIG_READ_INTERVAL.as_millis() as u64;
    const LEASE_MOST: u64 = MAX_LEASE_AGE.as_millis() as u64;

    fn beat(config_age: u64, lease_age: u64) -> Heartbeat {
        Heartbeat {
            config: 7,
            config_age,
            lease_age,
        }
    }

    #[test_case(Some(beat(0, 0)), true; "fresh")]
    #[test_case(Some(beat(CONFIG_MOST, 0)), false; "owner without the configuration")]
    #[test_case(Some(beat(0, LEASE_MOST)), false; "owner in doubt")]
    #[test_case(None, false; "no owner")]
    fn fresh_after_heartbeat(heartbeat: Option<Heartbeat>, is_fresh: bool) {
        let monitor = Monitor::default();
        monitor.record(heartbeat, 1_000, PAUSE);
        assert_eq!(monitor.valid(1_100).is_some(), is_fresh);
    }

    #[test]
    fn fresh_ends() {
        let monitor = Monitor::default();
        let most = (PAUSE + HEARTBEAT_SLACK).as_millis() as u64;
        monitor.record(Some(beat(0, 0)), 1_000, PAUSE);
        assert_eq!(
            monitor.valid(999 + most),
            Some((7, Duration::from_millis(1)))
        );
        assert_eq!(monitor.valid(1_000 + most), None);
    }

    /// Both tasks go on by themselves at once when the owner does not answer, and are left alone while it did not before.
    #[test]
    fn miss_wakes_once() {
        let monitor = Monitor::default();
        monitor.clear();
        assert!(!monitor.owner.wait(Duration::ZERO));
        monitor.record(Some(beat(0, 0)), 1_000, PAUSE);
        assert!(monitor.config.wait(Duration::ZERO));
        monitor.clear();
        assert!(monitor.owner.wait(Duration::ZERO) && monitor.config.wait(Duration::ZERO));
        assert_eq!(monitor.valid(1_001), None);
    }
}
