//! Who owns which cell, as far as this process has heard.
//!
//! Owners sum their cells up with a beat that goes on. Processes exchange the sums in pairs and
//! keep the newest; a cell whose beat stands still may have lost its owner.

use {
    infra::Size,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long a beat may stand still before the owner counts as silent.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long a box is left out after calls on it failed.
const SUSPECT_TTL: Duration = Duration::from_secs(30);

/// A cell in a few numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The cell.
    pub cell: Arc<str>,
    /// The owner's epoch.
    pub epoch: u64,
    /// Goes on while the owner lives.
    pub beat: u64,
    /// The owner's box.
    pub owner: Arc<str>,
    /// The base address of the owner's scheduler.
    pub url: Arc<str>,
    /// True when the owner places work.
    pub holding: bool,
    /// The number of workers in the list.
    pub workers: u32,
    /// The number of workers set aside or silent.
    pub aside: u32,
    /// What the workers have.
    pub total: Size,
    /// What is not committed.
    pub free: Size,
    /// Tasks that wait.
    pub queued: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks placed by this owner.
    pub starts: u64,
    /// Tasks finished under this owner.
    pub finished: u64,
    /// Tasks evicted by this owner.
    pub evictions: u64,
}

struct Known {
    summary: Summary,
    advanced: Instant,
}

struct Suspect {
    since: Instant,
    last: Instant,
}

/// The newest summaries, and the boxes that do not answer.
#[derive(Default)]
pub struct Directory {
    known: BTreeMap<Arc<str>, Known>,
    suspects: BTreeMap<Arc<str>, Suspect>,
}

impl Directory {
    /// Takes the newer summaries over.
    pub fn merge(&mut self, summaries: Vec<Summary>, now: Instant) {
        for summary in summaries {
            let newer = |known: &Known| {
                (summary.epoch, summary.beat) > (known.summary.epoch, known.summary.beat)
            };
            if self
                .known
                .get(&summary.cell)
                .is_some_and(|known| !newer(known))
            {
                continue;
            }
            self.known.insert(
                summary.cell.clone(),
                Known {
                    summary,
                    advanced: now,
                },
            );
        }
    }

    /// The last summary of a cell.
    pub fn get(&self, cell: &str) -> Option<&Summary> {
        self.known.get(cell).map(|known| &known.summary)
    }

    /// The last summaries of all cells.
    pub fn all(&self) -> Vec<Summary> {
        self.known
            .values()
            .map(|known| known.summary.clone())
            .collect()
    }

    /// True when the cell's owner was heard of lately.
    pub fn is_fresh(&self, cell: &str, now: Instant) -> bool {
        self.known
            .get(cell)
            .is_some_and(|known| now < known.advanced + OWNER_TIMEOUT)
    }

    /// Notes how a call on a box went.
    pub fn record_call(&mut self, name: &Arc<str>, answered: bool, now: Instant) {
        if answered {
            self.suspects.remove(name);
            return;
        }
        let suspect = self.suspects.entry(name.clone()).or_insert(Suspect {
            since: now,
            last: now,
        });
        suspect.last = now;
    }

    /// True when calls on a box have failed for a while.
    pub fn is_suspect(&self, name: &str, now: Instant) -> bool {
        let lasting =
            |s: &Suspect| s.last >= s.since + OWNER_TIMEOUT / 2 && now < s.last + SUSPECT_TTL;
        self.suspects.get(name).is_some_and(lasting)
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
    #[test_case((1, 9), (1, 9); "a newer beat")]
    #[test_case((1, 4), (1, 5); "an older beat")]
    #[test_case((0, 99), (1, 5); "an older epoch")]
    fn merge_newest(next: (u64, u64), kept: (u64, u64)) {
        let now = Instant::now();
        let mut directory = Directory::default();
        directory.merge(vec![summary(1, 5)], now);
        directory.merge(vec![summary(next.0, next.1)], now);
        let found = directory.get("h1").unwrap();
        assert_eq!((found.epoch, found.beat), kept);
    }

    #[test]
    fn is_fresh_until_silent() {
        let now = Instant::now();
        let mut directory = Directory::default();
        directory.merge(vec![summary(1, 5)], now);
        // The same beat again is no sign of life.
        directory.merge(vec![summary(1, 5)], now + OWNER_TIMEOUT);
        assert!(directory.is_fresh("h1", now));
        assert!(!directory.is_fresh("h1", now + OWNER_TIMEOUT));
    }

    #[test]
    fn is_suspect_after_a_while() {
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
