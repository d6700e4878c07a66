//! Jobs: arrays of tasks of one class, and the states of their tasks.

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

/// Builds the id of a job: its cell, a dot, and a key chosen by the submitter.
///
/// Submissions are idempotent by id, so one whose reply was lost may be repeated.
pub fn id(cell: &str, key: u64) -> Arc<str> {
    Arc::from(format!("{cell}.{key:016x}"))
}

/// Returns the cell of a job id; `None` when the text is not a job id.
pub fn cell_of(id: &str) -> Option<&str> {
    let (cell, key) = id.rsplit_once('.')?;
    (settings::is_name(cell) && key.len() == 16).then_some(cell)
}

/// The status of a job, with counts of its tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The job's id.
    pub id: Arc<str>,
    /// The class of work.
    pub class: Arc<str>,
    /// Number of tasks.
    pub count: u32,
    /// Waiting tasks.
    pub queued: u32,
    /// Running tasks.
    pub running: u32,
    /// Finished tasks.
    pub finished: u32,
    /// Tasks that reached the failure limit.
    pub failed: u32,
    /// At-most-once tasks whose outcome is unknown.
    pub unknown: u32,
    /// True after a cancellation.
    pub cancelled: bool,
    /// True once the job has ended: no task runs or will run.
    pub ended: bool,
    /// Why the next task cannot be placed.
    pub blocked: Option<String>,
}

/// A job in the memory of the cell's owner.
pub struct Job {
    /// The persisted state.
    pub record: JobRecord,
    /// Tasks that may be started.
    pub ready: RangeInclusiveSet<u32>,
    /// At-most-once tasks that must be marked in the store before they may be started.
    pub unmarked: RangeInclusiveSet<u32>,
    /// Tasks that may run on a worker whose ledger was not read yet.
    pub unconfirmed: RangeInclusiveSet<u32>,
    /// Tasks that run or were ordered to start.
    pub running: BTreeSet<u32>,
    /// True once the job is persisted and its tasks are classified.
    pub classified: bool,
    /// Tasks below this index may be started; persisted value.
    pub reserved: u32,
    /// Tasks below this index may have been started.
    pub started: u32,
    /// By task: the workers on which it failed.
    pub failed_workers: BTreeMap<u32, BTreeSet<Arc<str>>>,
    /// By task: consecutive losses together with its worker soon after a start. The count is not
    /// persisted; a new owner starts from zero.
    pub early_losses: BTreeMap<u32, u32>,
    /// True while the job is in the queue of its class.
    pub queued: bool,
    /// Why the next task cannot be placed.
    pub blocked: Option<&'static str>,
}

/// Returns the number of values in a set of ranges.
pub fn count_of(set: &RangeInclusiveSet<u32>) -> u32 {
    set.iter()
        .map(|range| range.end() - range.start() + 1)
        .sum()
}

/// Inserts one value.
pub fn insert(set: &mut RangeInclusiveSet<u32>, index: u32) {
    set.insert(index..=index);
}

/// Removes one value.
pub fn remove(set: &mut RangeInclusiveSet<u32>, index: u32) {
    set.remove(index..=index);
}

/// Inserts all values of another set.
fn insert_all(set: &mut RangeInclusiveSet<u32>, other: &RangeInclusiveSet<u32>) {
    for range in other.iter() {
        set.insert(range.clone());
    }
}

/// Removes all values of another set.
fn remove_all(set: &mut RangeInclusiveSet<u32>, other: &RangeInclusiveSet<u32>) {
    for range in other.iter() {
        set.remove(range.clone());
    }
}

/// Returns the smallest value.
pub fn first_of(set: &RangeInclusiveSet<u32>) -> Option<u32> {
    set.iter().next().map(|range| *range.start())
}

impl Job {
    /// Creates a job from its persisted state, with no task known to run.
    pub fn new(record: JobRecord) -> Self {
        let reserved = record.reserved;
        Job {
            record,
            ready: RangeInclusiveSet::new(),
            unmarked: RangeInclusiveSet::new(),
            unconfirmed: RangeInclusiveSet::new(),
            running: BTreeSet::new(),
            classified: false,
            reserved,
            started: reserved,
            failed_workers: BTreeMap::new(),
            early_losses: BTreeMap::new(),
            queued: false,
            blocked: None,
        }
    }

    /// Returns the tasks in a terminal state: finished, failed or unknown.
    pub fn terminal_tasks(&self) -> RangeInclusiveSet<u32> {
        let mut set = self.record.done.clone();
        for range in self.record.failed.iter().chain(self.record.unknown.iter()) {
            set.insert(range.clone());
        }
        set
    }

    /// Returns true when the task is in a terminal state.
    pub fn is_terminal(&self, index: u32) -> bool {
        let JobRecord {
            done,
            failed,
            unknown,
            ..
        } = &self.record;
        done.contains(&index) || failed.contains(&index) || unknown.contains(&index)
    }

    /// Returns true when no task runs or will run.
    pub fn is_finished(&self) -> bool {
        if !self.running.is_empty() || !self.unconfirmed.is_empty() {
            return false;
        }
        let has_waiting = !self.classified || !self.ready.is_empty() || !self.unmarked.is_empty();
        self.record.cancelled || !has_waiting
    }

    /// Makes a task ready again after it was stopped or lost. Does nothing if the job is cancelled
    /// or the task is in a terminal state.
    pub fn requeue(&mut self, index: u32) {
        if self.record.cancelled || self.is_terminal(index) {
            return;
        }
        insert(&mut self.ready, index);
    }

    /// Classifies the tasks that are neither running nor terminal as ready, unmarked, unconfirmed
    /// or unknown.
    ///
    /// `has_unread` is true when some may run on a worker whose ledger was not read yet.
    pub fn classify_tasks(&mut self, has_unread: bool) {
        self.classified = true;
        if self.record.cancelled {
            return;
        }
        let mut waiting = RangeInclusiveSet::new();
        waiting.insert(0..=self.record.spec.count - 1);
        remove_all(&mut waiting, &self.terminal_tasks());
        for index in &self.running {
            remove(&mut waiting, *index);
        }
        let mut never_started = waiting.clone();
        if self.record.spec.once {
            remove_all(&mut never_started, &self.record.marked);
        } else if self.record.reserved > 0 {
            never_started.remove(0..=self.record.reserved - 1);
        }
        remove_all(&mut waiting, &never_started);
        let (maybe_started, once) = (waiting, self.record.spec.once);
        insert_all(
            if once {
                &mut self.unmarked
            } else {
                &mut self.ready
            },
            &never_started,
        );
        let target = match (has_unread, once) {
            (true, _) => &mut self.unconfirmed,
            (false, true) => &mut self.record.unknown,
            (false, false) => &mut self.ready,
        };
        insert_all(target, &maybe_started);
    }

    /// Releases the unconfirmed tasks, which certainly run nowhere: they become ready, or unknown
    /// if they may run at most once.
    pub fn release_unconfirmed(&mut self) {
        let released = std::mem::take(&mut self.unconfirmed);
        if self.record.cancelled {
            return;
        }
        let once = self.record.spec.once;
        insert_all(
            if once {
                &mut self.record.unknown
            } else {
                &mut self.ready
            },
            &released,
        );
    }

    /// Makes the tasks ready whose mark is written. Returns true when there were any.
    pub fn release_marked(&mut self) -> bool {
        let mut unwritten = self.unmarked.clone();
        remove_all(&mut unwritten, &self.record.marked);
        let mut marked = std::mem::replace(&mut self.unmarked, unwritten.clone());
        remove_all(&mut marked, &unwritten);
        insert_all(&mut self.ready, &marked);
        !marked.is_empty()
    }

    /// Returns the status.
    pub fn status(&self) -> Status {
        let record = &self.record;
        let waiting =
            count_of(&self.ready) + count_of(&self.unmarked) + count_of(&self.unconfirmed);
        Status {
            id: record.id.clone(),
            class: record.spec.class.clone(),
            count: record.spec.count,
            queued: if record.cancelled { 0 } else { waiting },
            running: self.running.len() as u32,
            finished: count_of(&record.done),
            failed: count_of(&record.failed),
            unknown: count_of(&record.unknown),
            cancelled: record.cancelled,
            ended: record.ended.is_some(),
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
    fn job_after_takeover(once: bool) -> Job {
        let mut record = JobRecord::new(
            id("h1", 1),
            Spec {
                count: 8,
                once,
                ..spec()
            },
            0,
        );
        record.reserved = 4;
        insert(&mut record.done, 0);
        record.marked.insert(0..=2);
        let mut job = Job::new(record);
        job.running.insert(1);
        job
    }

    #[test_case(false, false, (6, 0, 0, 0); "repeatable")]
    #[test_case(false, true, (4, 0, 2, 0); "repeatable with an unreachable worker")]
    #[test_case(true, false, (0, 5, 0, 1); "once")]
    #[test_case(true, true, (0, 5, 1, 0); "once with an unreachable worker")]
    fn classify_tasks_by_state(once: bool, has_unread: bool, expected: (u32, u32, u32, u32)) {
        let mut job = job_after_takeover(once);
        job.classify_tasks(has_unread);
        let Job {
            ready,
            unmarked,
            unconfirmed,
            record,
            ..
        } = &job;
        let sizes = [ready, unmarked, unconfirmed, &record.unknown].map(count_of);
        assert_eq!((sizes[0], sizes[1], sizes[2], sizes[3]), expected);
    }

    #[test]
    fn release_marked_makes_ready() {
        let mut job = job_after_takeover(true);
        job.classify_tasks(false);
        job.record.marked.insert(3..=5);
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
