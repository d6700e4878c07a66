//! Jobs: arrays of tasks of one class, and where their tasks stand.

use {
    crate::record::JobRecord,
    kernel::settings,
    rangemap::RangeInclusiveSet,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// The id of a job: its cell, a dot, and a key that its submitter chose.
///
/// The same id sent again is the same job, so a submission whose reply was lost may be repeated.
pub fn id(cell: &str, key: u64) -> Arc<str> {
    Arc::from(format!("{cell}.{key:016x}"))
}

/// The cell of a job's id; `None` when it is not an id.
pub fn cell_of(id: &str) -> Option<&str> {
    let (cell, key) = id.rsplit_once('.')?;
    (settings::is_name(cell) && key.len() == 16).then_some(cell)
}

/// Where the tasks of a job stand.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The job's id.
    pub id: Arc<str>,
    /// The class.
    pub class: Arc<str>,
    /// The number of tasks.
    pub count: u32,
    /// Tasks that wait.
    pub queued: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that finished.
    pub finished: u32,
    /// Tasks that were given up after failures.
    pub failed: u32,
    /// Tasks that must not be started twice and whose end is not known.
    pub unknown: u32,
    /// True after a cancellation.
    pub cancelled: bool,
    /// True when no task will run any more.
    pub ended: bool,
    /// Why the next task is not placed.
    pub blocked: Option<String>,
}

/// A job in the memory of its cell's owner.
pub struct Job {
    /// What lasts.
    pub entry: JobRecord,
    /// Tasks that may be started now.
    pub ready: RangeInclusiveSet<u32>,
    /// Tasks that must be marked in the store before they may be started.
    pub unmarked: RangeInclusiveSet<u32>,
    /// Tasks that may run on a worker which was not heard yet.
    pub unconfirmed: RangeInclusiveSet<u32>,
    /// Tasks that run.
    pub running: BTreeSet<u32>,
    /// True once the job is written down and its tasks are sorted.
    pub classified: bool,
    /// Tasks below this place may be started, as the store knows.
    pub reserved: u32,
    /// Tasks below this place may have been started.
    pub started: u32,
    /// Workers on which a task has failed, by task.
    pub failures: BTreeMap<u32, BTreeSet<Arc<str>>>,
    /// How often in a row a task was lost with its worker soon after it had started. Kept by one owner: the next one
    /// counts anew.
    pub losses: BTreeMap<u32, u32>,
    /// True while the job stands in its class's line.
    pub queued: bool,
    /// Why the next task is not placed.
    pub blocked: Option<&'static str>,
}

/// The number of values in a set of ranges.
pub fn count_of(set: &RangeInclusiveSet<u32>) -> u32 {
    set.iter()
        .map(|range| range.end() - range.start() + 1)
        .sum()
}

/// Adds one value.
pub fn insert(set: &mut RangeInclusiveSet<u32>, index: u32) {
    set.insert(index..=index);
}

/// Takes one value out.
pub fn remove(set: &mut RangeInclusiveSet<u32>, index: u32) {
    set.remove(index..=index);
}

/// Adds all values of another set.
fn insert_all(set: &mut RangeInclusiveSet<u32>, other: &RangeInclusiveSet<u32>) {
    for range in other.iter() {
        set.insert(range.clone());
    }
}

/// Takes all values of another set out.
fn remove_all(set: &mut RangeInclusiveSet<u32>, other: &RangeInclusiveSet<u32>) {
    for range in other.iter() {
        set.remove(range.clone());
    }
}

/// The smallest value.
pub fn first_of(set: &RangeInclusiveSet<u32>) -> Option<u32> {
    set.iter().next().map(|range| *range.start())
}

impl Job {
    /// A job of which nothing was started as far as this owner knows.
    pub fn new(entry: JobRecord) -> Self {
        let reserved = entry.reserved;
        Job {
            entry,
            ready: RangeInclusiveSet::new(),
            unmarked: RangeInclusiveSet::new(),
            unconfirmed: RangeInclusiveSet::new(),
            running: BTreeSet::new(),
            classified: false,
            reserved,
            started: reserved,
            failures: BTreeMap::new(),
            losses: BTreeMap::new(),
            queued: false,
            blocked: None,
        }
    }

    /// Tasks that need nothing more: finished, given up, or unknown.
    pub fn terminal_tasks(&self) -> RangeInclusiveSet<u32> {
        let mut set = self.entry.done.clone();
        for range in self.entry.failed.iter().chain(self.entry.unknown.iter()) {
            set.insert(range.clone());
        }
        set
    }

    /// True when this task needs nothing more.
    pub fn is_terminal(&self, index: u32) -> bool {
        let JobRecord {
            done,
            failed,
            unknown,
            ..
        } = &self.entry;
        done.contains(&index) || failed.contains(&index) || unknown.contains(&index)
    }

    /// True when no task runs or will run.
    pub fn is_finished(&self) -> bool {
        if !self.running.is_empty() || !self.unconfirmed.is_empty() {
            return false;
        }
        let waits = !self.classified || !self.ready.is_empty() || !self.unmarked.is_empty();
        self.entry.cancelled || !waits
    }

    /// Lets a task wait again, after it was stopped or lost.
    pub fn requeue(&mut self, index: u32) {
        if self.entry.cancelled || self.is_terminal(index) {
            return;
        }
        insert(&mut self.ready, index);
    }

    /// Sorts the tasks that neither run nor are settled into ready, unmarked, unknown and held.
    ///
    /// `unheard` says that some may run on a worker that was not heard yet.
    pub fn classify_tasks(&mut self, unheard: bool) {
        self.classified = true;
        if self.entry.cancelled {
            return;
        }
        let mut waiting = RangeInclusiveSet::new();
        waiting.insert(0..=self.entry.spec.count - 1);
        remove_all(&mut waiting, &self.terminal_tasks());
        for index in &self.running {
            remove(&mut waiting, *index);
        }
        let mut untouched = waiting.clone();
        if self.entry.spec.once {
            remove_all(&mut untouched, &self.entry.marked);
        } else if self.entry.reserved > 0 {
            untouched.remove(0..=self.entry.reserved - 1);
        }
        remove_all(&mut waiting, &untouched);
        let (touched, once) = (waiting, self.entry.spec.once);
        insert_all(
            if once {
                &mut self.unmarked
            } else {
                &mut self.ready
            },
            &untouched,
        );
        let doubtful = match (unheard, once) {
            (true, _) => &mut self.unconfirmed,
            (false, true) => &mut self.entry.unknown,
            (false, false) => &mut self.ready,
        };
        insert_all(doubtful, &touched);
    }

    /// Frees the tasks that were held: they surely run nowhere.
    pub fn release_unconfirmed(&mut self) {
        let held = std::mem::take(&mut self.unconfirmed);
        if self.entry.cancelled {
            return;
        }
        let once = self.entry.spec.once;
        insert_all(
            if once {
                &mut self.entry.unknown
            } else {
                &mut self.ready
            },
            &held,
        );
    }

    /// Lets tasks be started whose mark is written. True when there were some.
    pub fn release_marked(&mut self) -> bool {
        let mut rest = self.unmarked.clone();
        remove_all(&mut rest, &self.entry.marked);
        let mut marked = std::mem::replace(&mut self.unmarked, rest.clone());
        remove_all(&mut marked, &rest);
        insert_all(&mut self.ready, &marked);
        !marked.is_empty()
    }

    /// Where the tasks stand.
    pub fn status(&self) -> Status {
        let entry = &self.entry;
        let waiting =
            count_of(&self.ready) + count_of(&self.unmarked) + count_of(&self.unconfirmed);
        Status {
            id: entry.id.clone(),
            class: entry.spec.class.clone(),
            count: entry.spec.count,
            queued: if entry.cancelled { 0 } else { waiting },
            running: self.running.len() as u32,
            finished: count_of(&entry.done),
            failed: count_of(&entry.failed),
            unknown: count_of(&entry.unknown),
            cancelled: entry.cancelled,
            ended: entry.ended.is_some(),
            blocked: self.blocked.map(str::to_owned),
        }
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::spec::{Spec, tests::spec},
        test_case::test_case,
    };

    /// A job of eight tasks: 0 is done, 1 runs, four are reserved, 0 to 2 are marked.
    fn taken_over(once: bool) -> Job {
        let mut entry = JobRecord::new(
            id("h1", 1),
            Spec {
                count: 8,
                once,
                ..spec()
            },
            0,
        );
        entry.reserved = 4;
        insert(&mut entry.done, 0);
        entry.marked.insert(0..=2);
        let mut job = Job::new(entry);
        job.running.insert(1);
        job
    }

    #[test_case(false, false, (6, 0, 0, 0); "repeatable")]
    #[test_case(false, true, (4, 0, 2, 0); "repeatable with a silent worker")]
    #[test_case(true, false, (0, 5, 0, 1); "once")]
    #[test_case(true, true, (0, 5, 1, 0); "once with a silent worker")]
    fn begin_sorts(once: bool, unheard: bool, expected: (u32, u32, u32, u32)) {
        let mut job = taken_over(once);
        job.classify_tasks(unheard);
        let Job {
            ready,
            unmarked,
            unconfirmed: held,
            entry,
            ..
        } = &job;
        let sizes = [ready, unmarked, held, &entry.unknown].map(count_of);
        assert_eq!((sizes[0], sizes[1], sizes[2], sizes[3]), expected);
    }

    #[test]
    fn open_marked_moves() {
        let mut job = taken_over(true);
        job.classify_tasks(false);
        job.entry.marked.insert(3..=5);
        assert!(job.release_marked() && !job.release_marked());
        assert_eq!((count_of(&job.ready), count_of(&job.unmarked)), (3, 2));
    }

    #[test_case("h1.00000000000000ff", Some("h1"); "an id")]
    #[test_case("h1.ff", None; "short key")]
    #[test_case("h1", None; "no key")]
    fn cell_of_id(text: &str, cell: Option<&str>) {
        assert_eq!(cell_of(text), cell);
        assert_eq!(&*id("h1", 255), "h1.00000000000000ff");
    }
}
