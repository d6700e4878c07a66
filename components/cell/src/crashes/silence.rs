//! When workers fell silent, and how many of them in the same moment.

use crate::worker::Worker;

/// Between these two times a worker fell silent, in milliseconds on our clock: last heard, and first not reached, which
/// is no earlier.
#[derive(Debug, Clone, Copy)]
pub(super) struct Silence {
    pub from: u64,
    pub until: u64,
}

impl Silence {
    pub fn of(worker: &Worker, now: u64) -> Self {
        let until = worker.unreachable_since.unwrap_or(now);
        let from = worker.clock.map_or(until, |clock| clock.at);
        Silence {
            from: from.min(until),
            until,
        }
    }

    /// True when both may have begun in the same moment.
    pub const fn meets(self, other: Silence) -> bool {
        self.from <= other.until && other.from <= self.until
    }
}

/// Silences of many workers.
#[derive(Debug, Default)]
pub(super) struct Silences {
    /// When they begin, the earliest first.
    from: Vec<u64>,
    /// When they end, the earliest first.
    until: Vec<u64>,
}

impl Silences {
    pub fn add(&mut self, silence: Silence) {
        put(&mut self.from, silence.from);
        put(&mut self.until, silence.until);
    }

    /// Takes one out that was added.
    pub fn remove(&mut self, silence: Silence) {
        take(&mut self.from, silence.from);
        take(&mut self.until, silence.until);
    }

    pub const fn is_empty(&self) -> bool {
        self.from.is_empty()
    }

    /// How many of them meet this one: all but those that begin after it and those that end before it.
    pub fn meeting(&self, silence: Silence) -> usize {
        let begun = self.from.partition_point(|&from| from <= silence.until);
        let ended = self.until.partition_point(|&until| until < silence.from);
        begun - ended
    }
}

/// Puts a time into a sorted list.
fn put(times: &mut Vec<u64>, time: u64) {
    let at = times.partition_point(|&other| other <= time);
    times.insert(at, time);
}

/// Takes a time out of a sorted list.
fn take(times: &mut Vec<u64>, time: u64) {
    if let Ok(at) = times.binary_search(&time) {
        times.remove(at);
    }
}
