//! Actor that holds the process's current table and responds to watches when a newer one arrives.

use {
    crate::{
        message::{Comparison, Update},
        model::StoredTable,
    },
    kernel::{
        Reply, Request,
        stakker::{CX, after},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Interval at which pending watches are checked for expiry.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

struct PendingWatch {
    after: u64,
    end: Instant,
    request: Request,
}

/// The current table of this process and the pending watches.
pub struct TableActor {
    stored: Arc<StoredTable>,
    waiting: Vec<PendingWatch>,
    loaded: bool,
}

impl TableActor {
    /// Creates an actor without a table and starts its sweep timer.
    pub fn new(cx: CX![]) -> Self {
        let actor = TableActor {
            stored: Arc::default(),
            waiting: Vec::new(),
            loaded: false,
        };
        after!(SWEEP_INTERVAL, [cx], sweep());
        actor
    }

    /// Returns the current table with its history.
    pub fn stored(&self) -> &Arc<StoredTable> {
        &self.stored
    }

    /// True once a peer or the store has supplied the table, even an empty one.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Installs a table if it is newer than the current one. Returns true if it was.
    pub fn install(&mut self, stored: StoredTable) -> bool {
        self.loaded = true;
        if stored.table.version <= self.stored.table.version {
            return false;
        }
        self.stored = Arc::new(stored);
        metrics::gauge!("magpie_table_version").set(self.stored.table.version as f64);
        log::info!(target: "table", "A table was installed. version={}", self.stored.table.version);
        self.notify_watches();
        true
    }

    /// Applies an update. Returns false if its changes do not follow the current version, in which
    /// case the whole table is needed.
    pub fn apply_update(&mut self, update: Update) -> bool {
        match update {
            Update::Same => {
                self.loaded = true;
                true
            }
            Update::Whole(stored) => {
                self.install(Arc::unwrap_or_clone(stored));
                true
            }
            Update::Changes(changes) => {
                let Some(stored) = self.stored.apply_changes(changes) else {
                    return false;
                };
                self.install(stored);
                true
            }
        }
    }

    /// Returns the update from a version to the current one.
    pub fn update_since(&self, version: u64) -> Update {
        if version >= self.stored.table.version {
            return Update::Same;
        }
        match self.stored.changes_since(version) {
            Some(changes) => Update::Changes(changes),
            None => Update::Whole(self.stored.clone()),
        }
    }

    /// Returns the current version and the update that a peer at `version` lacks.
    pub fn compare(&self, version: u64) -> Comparison {
        Comparison {
            version: self.stored.table.version,
            update: self.update_since(version),
        }
    }

    /// Responds to a watch immediately if there is a newer table than `after`, otherwise when there
    /// is one or when `wait` has passed.
    pub fn watch(&mut self, after: u64, wait: Duration, now: Instant, request: Request) {
        match self.update_since(after) {
            Update::Same => {
                self.waiting.push(PendingWatch {
                    after,
                    end: now + wait,
                    request,
                });
            }
            update => request.respond(Reply::message(&Ok(update))),
        }
    }

    fn notify_watches(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let update = self.update_since(waiting.after);
            waiting.request.respond(Reply::message(&Ok(update)));
        }
    }

    /// Responds `Same` to the watches that have expired.
    fn sweep(&mut self, cx: CX![]) {
        let now = cx.now();
        for waiting in std::mem::take(&mut self.waiting) {
            if waiting.end > now {
                self.waiting.push(waiting);
                continue;
            }
            waiting.request.respond(Reply::message(&Ok(Update::Same)));
        }
        after!(SWEEP_INTERVAL, [cx], sweep());
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::{model::Change, row::Row},
        test_case::test_case,
    };

    fn change(version: u64) -> Change {
        let class: Arc<str> = Arc::from(format!("c{version}"));
        let row = Row {
            revision: version,
            ..Row::batch(&class)
        };
        let rows = vec![crate::model::RowChange {
            class,
            before: None,
            after: Some(row),
        }];
        Change {
            id: version,
            version,
            who: Arc::from("op"),
            at: 0,
            rows,
        }
    }

    fn actor(version: u64) -> TableActor {
        let mut stored = StoredTable::default();
        for n in 1..=version {
            stored = stored.with(change(n));
        }
        TableActor {
            stored: Arc::new(stored),
            waiting: Vec::new(),
            loaded: true,
        }
    }

    #[test_case(&[3], true, 3; "the next")]
    #[test_case(&[2, 3, 4], true, 4; "overlapping")]
    #[test_case(&[1], true, 2; "outdated")]
    #[test_case(&[4], false, 2; "a gap")]
    #[test_case(&[4, 3], false, 2; "out of order")]
    fn apply_update_changes(versions: &[u64], joined: bool, version: u64) {
        let mut actor = actor(2);
        let changes = versions.iter().copied().map(change).collect();
        assert_eq!(actor.apply_update(Update::Changes(changes)), joined);
        assert_eq!(actor.stored().table.version, version);
    }

    #[test]
    fn install_never_goes_back() {
        let mut actor = actor(5);
        assert!(!actor.install((*self::actor(4).stored).clone()));
        assert_eq!(actor.stored().table.version, 5);
    }

    #[test]
    fn update_since_whole_when_too_far() {
        let mut actor = actor(5);
        let mut stored = (*actor.stored).clone();
        stored.history.drain(..3);
        actor.stored = Arc::new(stored);
        assert!(matches!(actor.update_since(1), Update::Whole(_)));
        assert!(matches!(actor.update_since(3), Update::Changes(changes) if changes.len() == 2));
    }
}
