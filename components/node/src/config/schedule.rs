//! Decides whether the next call for the configuration is a read or a watch.

use crate::{
    external::ConfigSnapshot,
    settings::{CONFIG_PAUSE_FACTOR, CONFIG_READ_INTERVAL, LARGE_CONFIG, MAX_CONFIG_INTERVAL},
};

/// The next call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Read the value; the known revision, or 0 if none is known.
    Read(u64),
    /// Watch for changes after this revision of the store.
    Watch(u64),
}

/// The known revision of the value and the time of the next read. Times are in milliseconds.
#[derive(Debug, Default)]
pub struct Schedule {
    /// The revision of the value that was read last; 0 for none.
    known: u64,
    /// The revision of the store at which a read or a change has shown that value to be the newest;
    /// 0 if there is none to watch from. A watch without a change does not advance it.
    at: u64,
    /// The time of the next read.
    due: u64,
}

impl Schedule {
    /// The next call at the time `now`.
    pub fn step(&self, now: u64) -> Step {
        if self.at == 0 || now >= self.due {
            return Step::Read(self.known);
        }
        Step::Watch(self.at)
    }

    /// Records that a read that started at `begun` has ended, with or without success. The next
    /// read is delayed, so that reads take a bounded share of the time and of the link.
    pub fn read_ended(&mut self, begun: u64, now: u64) {
        let shortest = CONFIG_READ_INTERVAL.as_millis() as u64;
        let longest = MAX_CONFIG_INTERVAL.as_millis() as u64;
        let delay = (now - begun).saturating_mul(CONFIG_PAUSE_FACTOR);
        self.due = now + delay.clamp(shortest, longest);
    }

    /// Records that the known value is the newest at this revision of the store.
    pub fn confirmed(&mut self, at: u64) {
        self.at = at;
    }

    /// Records a value. After a new large value the next call is a read: further values may have
    /// been written during the transfer, and a watch would transfer each of them, a read only the
    /// newest.
    pub fn found(&mut self, found: &ConfigSnapshot, now: u64) {
        let is_newer = found.revision > self.known;
        self.known = found.revision;
        self.at = found.store_revision;
        if is_newer && found.bytes >= LARGE_CONFIG {
            self.due = now;
        }
    }

    /// The revision of the value that was read last; 0 for none.
    pub fn known(&self) -> u64 {
        self.known
    }

    /// Makes the next call a read, because there is a newer value.
    pub fn read_now(&mut self, now: u64) {
        self.due = now;
    }

    /// Records that the store has compacted the history after the known revision, so that a watch
    /// cannot continue.
    pub fn history_lost(&mut self) {
        self.at = 0;
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        job::{Config, queue::Limits},
        std::time::Duration,
        test_case::test_case,
    };

    const GAP: u64 = CONFIG_READ_INTERVAL.as_millis() as u64;
    const REST: u64 = MAX_CONFIG_INTERVAL.as_millis() as u64;
    const SMALL: usize = LARGE_CONFIG - 1;

    fn found(revision: u64, at: u64, bytes: usize) -> ConfigSnapshot {
        let config = Config {
            version: 1,
            queues: Vec::new(),
            pools: Vec::new(),
            limits: Limits {
                max_body: 0,
                max_header: 0,
                header_timeout: Duration::ZERO,
                idle_timeout: Duration::ZERO,
            },
        };
        ConfigSnapshot {
            config,
            revision,
            store_revision: at,
            bytes,
        }
    }

    /// The state at 1,000 ms, after a read of 10 ms found a value of revision 5 at revision 7 of
    /// the store.
    fn schedule(bytes: usize) -> Schedule {
        let mut schedule = Schedule::default();
        schedule.read_ended(990, 1_000);
        schedule.found(&found(5, 7, bytes), 1_000);
        schedule
    }

    #[test]
    fn step_at_start() {
        assert_eq!(Schedule::default().step(1), Step::Read(0));
    }

    /// Watches without a change continue from the same revision until a read is due.
    #[test]
    fn step_after_small_value() {
        let schedule = schedule(SMALL);
        assert_eq!(schedule.step(1_000), Step::Watch(7));
        assert_eq!(schedule.step(1_000 + GAP - 1), Step::Watch(7));
        assert_eq!(schedule.step(1_000 + GAP), Step::Read(5));
    }

    /// After a large value, reads are repeated until one finds nothing newer.
    #[test]
    fn step_after_large_value() {
        let mut schedule = schedule(LARGE_CONFIG);
        assert_eq!(schedule.step(1_000), Step::Read(5));
        schedule.read_ended(1_000, 1_400);
        schedule.found(&found(8, 8, LARGE_CONFIG), 1_400);
        assert_eq!(schedule.step(1_400), Step::Read(8));
        schedule.read_ended(1_400, 1_800);
        schedule.confirmed(9);
        assert_eq!(schedule.step(1_800), Step::Watch(9));
    }

    /// A change that is delivered twice does not cause a read.
    #[test]
    fn step_after_same_value() {
        let mut schedule = schedule(LARGE_CONFIG);
        schedule.read_ended(1_000, 1_010);
        schedule.found(&found(5, 7, LARGE_CONFIG), 1_010);
        assert_eq!(schedule.step(1_010), Step::Watch(7));
    }

    #[test]
    fn step_after_lost_history() {
        let mut schedule = schedule(SMALL);
        schedule.history_lost();
        assert_eq!(schedule.step(1_001), Step::Read(5));
        schedule.read_ended(1_001, 1_010);
        schedule.confirmed(40);
        assert_eq!(schedule.step(1_010), Step::Watch(40));
    }

    #[test]
    fn step_after_outdated_value() {
        let mut schedule = schedule(SMALL);
        schedule.read_now(1_001);
        assert_eq!(schedule.step(1_001), Step::Read(5));
    }

    /// A failed read is not repeated at once while there is a revision to watch from.
    #[test]
    fn step_after_failed_read() {
        let mut schedule = schedule(SMALL);
        let due = 1_000 + GAP;
        schedule.read_ended(due, due + 900);
        assert_eq!(schedule.step(due + 900), Step::Watch(7));
        schedule.history_lost();
        assert_eq!(schedule.step(due + 900), Step::Read(5));
    }

    #[test_case(5, GAP; "short")]
    #[test_case(300, 3_000; "long")]
    #[test_case(6_000, REST; "very long")]
    fn delay_after_read(took: u64, delay: u64) {
        let mut schedule = schedule(SMALL);
        let now = 10_000 + took;
        schedule.read_ended(10_000, now);
        schedule.confirmed(9);
        assert_eq!(schedule.step(now + delay - 1), Step::Watch(9));
        assert_eq!(schedule.step(now + delay), Step::Read(5));
    }
}
