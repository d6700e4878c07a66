//! Outages of workers: when a worker became unreachable, and how many outages overlap.

use crate::worker::Worker;

/// The interval in which a worker became unreachable, in milliseconds on the owner's clock: from
/// its last report until the first failed poll.
#[derive(Debug, Clone, Copy)]
pub(super) struct Outage {
    pub from: u64,
    pub until: u64,
}

impl Outage {
    pub fn of(worker: &Worker, now: u64) -> Self {
        let until = worker.unreachable_since.unwrap_or(now);
        let from = worker.clock.map_or(until, |clock| clock.at);
        Outage {
            from: from.min(until),
            until,
        }
    }

    /// True if both workers may have become unreachable at the same moment.
    pub const fn overlaps(self, other: Outage) -> bool {
        self.from <= other.until && other.from <= self.until
    }
}

/// A multiset of outages.
#[derive(Debug, Default)]
pub(super) struct Outages {
    /// Starts of the intervals, ascending.
    from: Vec<u64>,
    /// Ends of the intervals, ascending.
    until: Vec<u64>,
}

impl Outages {
    pub fn add(&mut self, outage: Outage) {
        insert_sorted(&mut self.from, outage.from);
        insert_sorted(&mut self.until, outage.until);
    }

    /// Removes an outage that was added.
    pub fn remove(&mut self, outage: Outage) {
        remove_sorted(&mut self.from, outage.from);
        remove_sorted(&mut self.until, outage.until);
    }

    /// The number of outages.
    pub const fn len(&self) -> usize {
        self.from.len()
    }

    pub const fn is_empty(&self) -> bool {
        self.from.is_empty()
    }

    /// Counts the outages that overlap with the given one: all except those that start after it and
    /// those that end before it.
    pub fn count_overlapping(&self, outage: Outage) -> usize {
        let started = self.from.partition_point(|&from| from <= outage.until);
        let ended = self.until.partition_point(|&until| until < outage.from);
        started - ended
    }
}

/// Inserts a time into a sorted list.
fn insert_sorted(times: &mut Vec<u64>, time: u64) {
    let at = times.partition_point(|&other| other <= time);
    times.insert(at, time);
}

/// Removes a time from a sorted list.
fn remove_sorted(times: &mut Vec<u64>, time: u64) {
    if let Ok(at) = times.binary_search(&time) {
        times.remove(at);
    }
}
