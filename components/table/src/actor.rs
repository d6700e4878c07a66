//! The actor that holds the table in force and wakes those who wait for a newer one.

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

/// How often waiting followers are looked over for those whose time has passed.
const SWEEP: Duration = Duration::from_millis(250);

struct Waiting {
    after: u64,
    end: Instant,
    request: Request,
}

/// The table in force in this process.
pub struct TableActor {
    stored: Arc<StoredTable>,
    waiting: Vec<Waiting>,
    loaded: bool,
}

impl TableActor {
    /// A actor that knows no table yet.
    pub fn new(cx: CX![]) -> Self {
        let actor = TableActor {
            stored: Arc::default(),
            waiting: Vec::new(),
            loaded: false,
        };
        after!(SWEEP, [cx], sweep());
        actor
    }

    /// The stored in force.
    pub fn stored(&self) -> &Arc<StoredTable> {
        &self.stored
    }

    /// True once a peer or the store has told the table, also when it is empty.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Takes a stored over if it is newer. True when it was.
    pub fn install(&mut self, stored: StoredTable) -> bool {
        self.loaded = true;
        if stored.table.version <= self.stored.table.version {
            return false;
        }
        self.stored = Arc::new(stored);
        metrics::gauge!("magpie_table_version").set(self.stored.table.version as f64);
        log::info!(target: "table", "A table is in force. version={}", self.stored.table.version);
        self.wake();
        true
    }

    /// Takes an update over. False when it does not join on to the table here, and the whole one
    /// is needed.
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

    /// What came after a version.
    pub fn update_since(&self, version: u64) -> Update {
        if version >= self.stored.table.version {
            return Update::Same;
        }
        match self.stored.changes_since(version) {
            Some(changes) => Update::Changes(changes),
            None => Update::Whole(self.stored.clone()),
        }
    }

    /// Answers a comparison of versions.
    pub fn compare(&self, version: u64) -> Comparison {
        Comparison {
            version: self.stored.table.version,
            update: self.update_since(version),
        }
    }

    /// Answers a follower at once or when there is a newer table.
    pub fn watch(&mut self, after: u64, wait: Duration, now: Instant, request: Request) {
        match self.update_since(after) {
            Update::Same => {
                self.waiting.push(Waiting {
                    after,
                    end: now + wait,
                    request,
                });
            }
            update => request.respond(Reply::message(&Ok(update))),
        }
    }

    fn wake(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let update = self.update_since(waiting.after);
            waiting.request.respond(Reply::message(&Ok(update)));
        }
    }

    /// Answers the followers whose time has passed.
    fn sweep(&mut self, cx: CX![]) {
        let now = cx.now();
        for waiting in std::mem::take(&mut self.waiting) {
            if waiting.end > now {
                self.waiting.push(waiting);
                continue;
            }
            waiting.request.respond(Reply::message(&Ok(Update::Same)));
        }
        after!(SWEEP, [cx], sweep());
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
    #[test_case(&[1], true, 2; "late")]
    #[test_case(&[4], false, 2; "a gap")]
    #[test_case(&[4, 3], false, 2; "out of order")]
    fn update_changes(versions: &[u64], joined: bool, version: u64) {
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
