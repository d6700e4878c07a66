//! When the configuration is watched, and when it is read.

use crate::{
    external::ConfigSnapshot,
    settings::{CONFIG_PAUSE_FACTOR, CONFIG_READ_INTERVAL, LARGE_CONFIG, MAX_CONFIG_INTERVAL},
};

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Read the value, whose revision was this one; 0 when none is known.
    Read(u64),
    /// Watch for changes after this revision of the store.
    Watch(u64),
}

/// What is known of the value, and when to read it. Times are in milliseconds.
#[derive(Debug, Default)]
pub struct Schedule {
    /// The revision of the value that was taken in last; 0 for none.
    known: u64,
    /// The revision of the store at which that value was the newest, by a read or a change; 0 when there is
    /// none to go on from. A watch that hears nothing does not move it.
    at: u64,
    /// When the value is to be read.
    due: u64,
}

impl Schedule {
    /// The next step.
    pub fn step(&self, now: u64) -> Step {
        if self.at == 0 || now >= self.due {
            return Step::Read(self.known);
        }
        Step::Watch(self.at)
    }

    /// A read that was begun then has ended now, whatever came of it. The next one waits, so that reads
    /// take a bounded share of the time and of the link.
    pub fn read(&mut self, begun: u64, now: u64) {
        let shortest = CONFIG_READ_INTERVAL.as_millis() as u64;
        let longest = MAX_CONFIG_INTERVAL.as_millis() as u64;
        let rest = (now - begun).saturating_mul(CONFIG_PAUSE_FACTOR);
        self.due = now + rest.clamp(shortest, longest);
    }

    /// The value that is known is the newest at this revision of the store.
    pub fn proven(&mut self, at: u64) {
        self.at = at;
    }

    /// A value has come. While a large one was on its way others may have followed, of which a watch would
    /// bring each, and a read only the newest.
    pub fn found(&mut self, found: &ConfigSnapshot, now: u64) {
        let is_newer = found.revision > self.known;
        self.known = found.revision;
        self.at = found.store_revision;
        if is_newer && found.bytes >= LARGE_CONFIG {
            self.due = now;
        }
    }

    /// The revision of the value that was taken in last; 0 for none.
    pub fn known(&self) -> u64 {
        self.known
    }

    /// Another value is the newest: it is to be read now.
    pub fn outdated(&mut self, now: u64) {
        self.due = now;
    }

    /// The history after the known revision is gone.
    pub fn forgotten(&mut self) {
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
                body: 0,
                head: 0,
                arrival: Duration::ZERO,
                idle: Duration::ZERO,
            },
        };
        ConfigSnapshot {
            config,
            revision,
            store_revision: at,
            bytes,
        }
    }

    /// A value of revision 5 that a read of 10 ms has found at revision 7 of the store, at 1,000 ms.
    fn schedule(bytes: usize) -> Schedule {
        let mut schedule = Schedule::default();
        schedule.read(990, 1_000);
        schedule.found(&found(5, 7, bytes), 1_000);
        schedule
    }

    #[test]
    fn step_at_start() {
        assert_eq!(Schedule::default().step(1), Step::Read(0));
    }

    /// Watches that hear nothing go on from the same revision until a read is due.
    #[test]
    fn step_after_small_value() {
        let schedule = schedule(SMALL);
        assert_eq!(schedule.step(1_000), Step::Watch(7));
        assert_eq!(schedule.step(1_000 + GAP - 1), Step::Watch(7));
        assert_eq!(schedule.step(1_000 + GAP), Step::Read(5));
    }

    /// After a large value the newest is read, until nothing newer comes.
    #[test]
    fn step_after_large_value() {
        let mut schedule = schedule(LARGE_CONFIG);
        assert_eq!(schedule.step(1_000), Step::Read(5));
        schedule.read(1_000, 1_400);
        schedule.found(&found(8, 8, LARGE_CONFIG), 1_400);
        assert_eq!(schedule.step(1_400), Step::Read(8));
        schedule.read(1_400, 1_800);
        schedule.proven(9);
        assert_eq!(schedule.step(1_800), Step::Watch(9));
    }

    /// A change that comes twice is not new the second time.
    #[test]
    fn step_after_same_value() {
        let mut schedule = schedule(LARGE_CONFIG);
        schedule.read(1_000, 1_010);
        schedule.found(&found(5, 7, LARGE_CONFIG), 1_010);
        assert_eq!(schedule.step(1_010), Step::Watch(7));
    }

    #[test]
    fn step_after_forgotten_history() {
        let mut schedule = schedule(SMALL);
        schedule.forgotten();
        assert_eq!(schedule.step(1_001), Step::Read(5));
        schedule.read(1_001, 1_010);
        schedule.proven(40);
        assert_eq!(schedule.step(1_010), Step::Watch(40));
    }

    #[test]
    fn step_after_outdated_value() {
        let mut schedule = schedule(SMALL);
        schedule.outdated(1_001);
        assert_eq!(schedule.step(1_001), Step::Read(5));
    }

    /// A read that failed is not made again at once while there is a revision to watch from.
    #[test]
    fn step_after_failed_read() {
        let mut schedule = schedule(SMALL);
        let due = 1_000 + GAP;
        schedule.read(due, due + 900);
        assert_eq!(schedule.step(due + 900), Step::Watch(7));
        schedule.forgotten();
        assert_eq!(schedule.step(due + 900), Step::Read(5));
    }

    #[test_case(5, GAP; "short")]
    #[test_case(300, 3_000; "long")]
    #[test_case(6_000, REST; "very long")]
    fn rest_after_read(took: u64, rest: u64) {
        let mut schedule = schedule(SMALL);
        let now = 10_000 + took;
        schedule.read(10_000, now);
        schedule.proven(9);
        assert_eq!(schedule.step(now + rest - 1), Step::Watch(9));
        assert_eq!(schedule.step(now + rest), Step::Read(5));
    }
}
