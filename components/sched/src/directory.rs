//! The owner of each cell as known to this process, from summaries spread by gossip.
//!
//! Owners publish a summary of each cell with an increasing heartbeat counter. Processes exchange
//! summaries in pairs and keep the newest. A cell whose heartbeat stops may have lost its owner.

use {
    infra::Size,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long a heartbeat counter may stay unchanged before the owner counts as unreachable.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long a box stays suspected after the last failed call to it.
const SUSPECT_TTL: Duration = Duration::from_secs(30);

/// The summary of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The cell.
    pub cell: Arc<str>,
    /// The owner's epoch.
    pub epoch: u64,
    /// Heartbeat counter: increases while the owner is alive.
    pub beat: u64,
    /// The owner's box.
    pub owner: Arc<str>,
    /// Base URL of the owner's scheduler.
    pub url: Arc<str>,
    /// True when the owner has finished fencing and places tasks.
    pub holding: bool,
    /// Number of listed workers.
    pub workers: u32,
    /// Number of listed workers that are not schedulable: quarantined, draining or unreachable.
    pub aside: u32,
    /// Total capacity of the listed workers.
    pub total: Size,
    /// Free capacity of the schedulable workers.
    pub free: Size,
    /// Number of waiting tasks.
    pub queued: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of tasks started by this owner.
    pub starts: u64,
    /// Number of tasks finished under this owner.
    pub finished: u64,
    /// Number of tasks evicted by this owner.
    pub evictions: u64,
}

struct Entry {
    summary: Summary,
    advanced_at: Instant,
}

struct Suspect {
    first_failure: Instant,
    last_failure: Instant,
}

/// The newest summary of each cell, and the boxes that do not answer.
#[derive(Default)]
pub struct Directory {
    entries: BTreeMap<Arc<str>, Entry>,
    suspects: BTreeMap<Arc<str>, Suspect>,
}

impl Directory {
    /// Stores the summaries that are newer than the known ones.
    pub fn merge(&mut self, summaries: Vec<Summary>, now: Instant) {
        for summary in summaries {
            let newer = |entry: &Entry| {
                (summary.epoch, summary.beat) > (entry.summary.epoch, entry.summary.beat)
            };
            if self
                .entries
                .get(&summary.cell)
                .is_some_and(|entry| !newer(entry))
            {
                continue;
            }
            self.entries.insert(
                summary.cell.clone(),
                Entry {
                    summary,
                    advanced_at: now,
                },
            );
        }
    }

    /// Returns the newest summary of a cell.
    pub fn get(&self, cell: &str) -> Option<&Summary> {
        self.entries.get(cell).map(|entry| &entry.summary)
    }

    /// Returns the newest summaries of all cells.
    pub fn all(&self) -> Vec<Summary> {
        self.entries
            .values()
            .map(|entry| entry.summary.clone())
            .collect()
    }

    /// Returns true when the heartbeat of the cell's owner advanced within [`OWNER_TIMEOUT`].
    pub fn is_fresh(&self, cell: &str, now: Instant) -> bool {
        self.entries
            .get(cell)
            .is_some_and(|entry| now < entry.advanced_at + OWNER_TIMEOUT)
    }

    /// Records whether a box answered a call.
    pub fn record_call(&mut self, name: &Arc<str>, answered: bool, now: Instant) {
        if answered {
            self.suspects.remove(name);
            return;
        }
        let suspect = self.suspects.entry(name.clone()).or_insert(Suspect {
            first_failure: now,
            last_failure: now,
        });
        suspect.last_failure = now;
    }

    /// Returns true when calls to a box have failed for at least half of [`OWNER_TIMEOUT`].
    pub fn is_suspect(&self, name: &str, now: Instant) -> bool {
        let is_suspected = |suspect: &Suspect| {
            suspect.last_failure >= suspect.first_failure + OWNER_TIMEOUT / 2
                && now < suspect.last_failure + SUSPECT_TTL
        };
        self.suspects.get(name).is_some_and(is_suspected)
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    fn summary(epoch: u64, beat: u64) -> Summary {
        Summary {
            cell: Arc::from("h1"),
            epoch,
            beat,
            owner: Arc::from("b1"),
            url: Arc::from("http://127.0.0.1:1"),
            holding: true,
            workers: 1,
            aside: 0,
            total: Size::default(),
            free: Size::default(),
            queued: 0,
            running: 0,
            starts: 0,
            finished: 0,
            evictions: 0,
        }
    }

    #[test_case((2, 1), (2, 1); "a newer epoch")]
    #[test_case((1, 9), (1, 9); "a newer heartbeat")]
    #[test_case((1, 4), (1, 5); "an older heartbeat")]
    #[test_case((0, 99), (1, 5); "an older epoch")]
    fn merge_keeps_newest(next: (u64, u64), kept: (u64, u64)) {
        let now = Instant::now();
        let mut directory = Directory::default();
        directory.merge(vec![summary(1, 5)], now);
        directory.merge(vec![summary(next.0, next.1)], now);
        let found = directory.get("h1").unwrap();
        assert_eq!((found.epoch, found.beat), kept);
    }

    #[test]
    fn is_fresh_until_owner_timeout() {
        let now = Instant::now();
        let mut directory = Directory::default();
        directory.merge(vec![summary(1, 5)], now);
        // An unchanged heartbeat does not refresh the entry.
        directory.merge(vec![summary(1, 5)], now + OWNER_TIMEOUT);
        assert!(directory.is_fresh("h1", now));
        assert!(!directory.is_fresh("h1", now + OWNER_TIMEOUT));
    }

    #[test]
    fn is_suspect_after_repeated_failures() {
        let now = Instant::now();
        let name = Arc::from("b1");
        let mut directory = Directory::default();
        directory.record_call(&name, false, now);
        assert!(!directory.is_suspect("b1", now));
        directory.record_call(&name, false, now + OWNER_TIMEOUT);
        assert!(directory.is_suspect("b1", now + OWNER_TIMEOUT));
        directory.record_call(&name, true, now + OWNER_TIMEOUT);
        assert!(!directory.is_suspect("b1", now + OWNER_TIMEOUT));
    }
}
