//! One worker as the owner of its cell sees it.

use {
    crate::interference::Image,
    crate::serving_load::ServingLoad,
    crate::slot::Slot,
    crate::timing,
    job::{Address, Id, spec::Size},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        sync::Arc,
    },
};

/// A worker as it is listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The name of this life of the worker, see [`Entry::incarnation_id`].
    pub id: Arc<str>,
    /// The name of the worker, which its next life may have as well.
    pub name: Arc<str>,
    /// When this life began, in milliseconds since 1970; `None` where that is not told.
    pub started: Option<u64>,
    /// How many lives of its name the owner of the cell had known before this one. Whoever talks to the worker shows it with
    /// the owner's fence, so that a life refuses what was meant for an earlier one and comes late.
    pub generation: u32,
    /// The pool that it belongs to.
    pub pool: Arc<str>,
    /// Its address and port.
    pub address: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// What it has.
    pub size: Size,
    /// Its kind of hardware and its rack.
    pub labels: Vec<Arc<str>>,
    /// It takes no new work and will go.
    pub leaving: bool,
    /// The least time that it stays while it is leaving, in milliseconds.
    pub remaining: Option<u64>,
}

impl Entry {
    /// The name of the life of a worker that began then.
    pub fn incarnation_id(name: &str, born: Option<u64>) -> Arc<str> {
        match born {
            Some(born) => format!("{name}#{born}").into(),
            None => name.into(),
        }
    }

    /// The entry of a later life of the same worker, of which only the beginning is known.
    pub(crate) fn restarted(&self, born: u64) -> Self {
        Entry {
            id: Entry::incarnation_id(&self.name, Some(born)),
            started: Some(born),
            leaving: false,
            remaining: None,
            ..self.clone()
        }
    }

    /// True for an earlier life of the same worker. The owner has known lives in the order in which they are; only where it
    /// met two at once, as a new owner may, the times of their beginnings tell, which the worker's clock need not keep to.
    pub fn is_before(&self, other: &Entry) -> bool {
        self.name == other.name && self.order() < other.order()
    }

    /// What orders the lives of a worker, the earliest first.
    pub(crate) fn order(&self) -> (u32, Option<u64>) {
        (self.generation, self.started)
    }

    /// True when it bears the label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }

    /// Its rack: the last of its labels.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", |label| label)
    }
}

/// All workers as they list themselves.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Those whose entry can be read.
    pub entries: Vec<Entry>,
    /// The names of workers whose entries cannot be read, or say what no worker says: they are no workers to use, but one
    /// that is known is not gone by that.
    pub unreadable: Vec<Arc<str>>,
}

impl From<Vec<Entry>> for Listing {
    fn from(entries: Vec<Entry>) -> Self {
        Listing {
            entries,
            unreadable: Vec::new(),
        }
    }
}

/// A task: its job and its place among the job's tasks.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: Id,
    /// The place.
    pub place: usize,
}

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// What it showed.
    pub shown: u64,
    /// When the reading arrived, on our clock.
    pub at: u64,
}

/// Ends of tasks in a row that failed, from which a worker is taken for faulty. Tasks fail by
/// themselves one time in twenty or fewer, so that this is one time in 400 by chance.
const FAULTY_AFTER: u32 = 2;
/// How long a faulty worker gets no work, in milliseconds; the sheets name faults of 4 to 8 s.
const FAULTY_FOR: u64 = 3_000;
/// How long a lasting task has run on a faulty worker when the next one that has waited for long may go there, in
/// milliseconds: three reports of a worker with serving tasks.
const PROBED_FOR: u64 = 1_000;
/// How long a worker gets no work after it refused or did not answer, in milliseconds.
const AVOID_FOR: u64 = 500;
/// The share of a serving task's processors that it is reckoned to use, in hundredths: its load
/// swings around 45.
const SERVING_USE: u64 = 48;

/// One worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// As listed.
    pub entry: Entry,
    /// True while the listing has an entry under its name.
    pub listed: bool,
    /// That entry cannot be read, or is that of another life: it gets no work.
    pub entry_invalid: bool,
    /// Not the listing alone tells of this life: it has answered, or a former owner knew it.
    pub confirmed: bool,
    /// A later life has answered in its place, and is polled instead.
    pub superseded: bool,
    /// The record of the fleet names it: a new owner would ask it.
    pub recorded: bool,
    /// When the listing lost it, on our clock.
    pub unlisted_since: Option<u64>,
    /// Whoever talks to it has as much to tell as it can: it gets no work for now.
    pub backpressured: bool,
    /// It is emptied for the upkeep of its machine.
    pub draining: bool,
    /// True once it answered under this owner's fence.
    pub fenced: bool,
    /// The last poll was answered.
    pub poll_answered: bool,
    /// When the answer to the poll on its way is overdue; `None` while there is none.
    pub answer_due: Option<u64>,
    /// Since when it has not been reached.
    pub unreachable_since: Option<u64>,
    /// The last reading of its clock.
    pub clock: Option<Clock>,
    /// The highest deadline that it was sent, on its clock.
    pub max_deadline: u64,
    /// The highest number of an end that was taken in.
    pub ends_read: u64,
    /// The highest number of an end that is written down.
    pub ends_written: u64,
    /// The ends between the two, and their jobs.
    pub unwritten_ends: VecDeque<(u64, Id)>,
    /// It listed ends that are left for later, see [`crate::Cell::jobs_reread`].
    pub ends_deferred: bool,
    /// What it holds.
    pub slots: HashMap<TaskKey, Slot>,
    /// The sum of what its slots take; processors of filling tasks are left out.
    pub reserved: Size,
    /// Processors of filling tasks.
    pub filling_cpu: u64,
    /// Processors of serving tasks, which are part of `firm`.
    pub serving_cpu: u64,
    /// Processors of filling tasks, by image.
    pub filling_images: BTreeMap<Image, u64>,
    /// The number of serving tasks, by image.
    pub serving_images: BTreeMap<Image, u32>,
    /// The number of serving tasks, by job and image.
    pub serving_jobs: BTreeMap<(Id, Image), u32>,
    /// How loaded its serving tasks are, by image.
    pub serving_load: Vec<ServingLoad>,
    /// Something has changed since the last pass that may make room.
    pub changed: bool,
    /// No work before this time, on our clock, since it refused or did not answer.
    pub backoff_until: u64,
    /// No work before this time, on our clock, since its runs failed.
    pub quarantined_until: u64,
    /// Ends in a row that failed.
    pub failures: u32,
    /// When the last of them came, on our clock.
    pub last_failure: u64,
    /// The task that a faulty worker is tried with.
    pub probe: Option<TaskKey>,
    /// Since when some serving task has been over its target without a break.
    pub over_target_since: Option<u64>,
}

impl Worker {
    /// A worker that was just listed.
    pub fn new(entry: Entry) -> Self {
        Worker {
            entry,
            listed: true,
            entry_invalid: false,
            confirmed: false,
            superseded: false,
            recorded: false,
            unlisted_since: None,
            backpressured: false,
            draining: false,
            fenced: false,
            poll_answered: false,
            answer_due: None,
            unreachable_since: None,
            clock: None,
            max_deadline: 0,
            ends_read: 0,
            ends_written: 0,
            unwritten_ends: VecDeque::new(),
            ends_deferred: false,
            slots: HashMap::new(),
            reserved: Size::default(),
            filling_cpu: 0,
            serving_cpu: 0,
            filling_images: BTreeMap::new(),
            serving_images: BTreeMap::new(),
            serving_jobs: BTreeMap::new(),
            serving_load: Vec::new(),
            changed: true,
            over_target_since: None,
            backoff_until: 0,
            quarantined_until: 0,
            failures: 0,
            last_failure: 0,
            probe: None,
        }
    }

    /// True when ends were taken in that are not written down yet.
    pub fn has_unwritten_ends(&self) -> bool {
        self.ends_read > self.ends_written
    }

    /// How long a poll is held when it has nothing to report, in milliseconds: less when its next
    /// report is wanted soon.
    pub fn poll_wait(&self) -> u64 {
        let mut wait = timing::POLL_WAIT;
        if self.serving_cpu > 0 {
            wait = timing::POLL_SHARED;
        }
        for slot in self.slots.values() {
            if slot.is_sent() && slot.unanswered.is_some() {
                return timing::POLL_DOUBT;
            }
            if slot.is_sent() || slot.stopping.is_some() {
                wait = timing::POLL_SHARED;
            }
        }
        wait
    }

    /// Its clock now, as reckoned from the last reading.
    pub fn clock_at(&self, now: u64) -> Option<u64> {
        self.clock
            .map(|clock| clock.shown + now.saturating_sub(clock.at))
    }

    /// When all leases that it was granted are over, on our clock.
    pub fn leases_end(&self) -> Option<u64> {
        let clock = self.clock?;
        let length = self.max_deadline.saturating_sub(clock.shown);
        Some(clock.at + timing::until_over(length))
    }

    /// True when the last poll that is over had no answer: the worker is not to be reached.
    pub const fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// True when it may be given work: not before a new owner would know of it, whose listing may lack it for a while; and
    /// not while it cannot be reached, since each start puts off the moment at which all its leases are over. Where five
    /// short tasks came a second, a lasting one on a worker that was cut off ran again after 17.8 s, and does within 6 s.
    pub fn is_schedulable(&self, now: u64) -> bool {
        let is_known = self.fenced && self.listed && self.recorded && !self.entry_invalid;
        let is_usable = is_known && !self.is_unreachable() && !self.entry.leaving && !self.draining;
        is_usable && now >= self.backoff_until && now >= self.quarantined_until
    }

    /// True when it may be given work but for the failures that it was set aside for.
    pub fn is_quarantined(&self) -> bool {
        self.is_faulty() && self.is_schedulable(u64::MAX)
    }

    /// True when it may be given a task that has failed so often. A worker whose last run failed
    /// just now gets none that has failed before, since attempts are few. A faulty one gets one
    /// task to try it with, and the next one once that has run for as long as a faulty one gets none: a batch task may
    /// run for hours, for which the worker would stand still.
    pub fn is_trusted(&self, failures: u32, now: u64) -> bool {
        if self.failures > 0 && failures > 0 && now < self.last_failure + FAULTY_FOR {
            return false;
        }
        !self.is_faulty() || self.has_probe_run(FAULTY_FOR)
    }

    /// True when it may be given a lasting task that has waited for long, which may fail as often as it likes: a faulty one
    /// gets the next soon. With 3 s between two, 26 cores stood open for that long beside lasting tasks that waited.
    pub fn accepts_overdue(&self) -> bool {
        !self.is_faulty() || self.has_probe_run(PROBED_FOR)
    }

    /// True unless it is being tried with a task that has not run for so long, in milliseconds. It goes by the last report:
    /// the one that shows it clears the worker where the probe lasts, and comes first.
    fn has_probe_run(&self, time: u64) -> bool {
        let probing = self.probe.as_ref().and_then(|key| self.slots.get(key));
        let heard = self.clock.map_or(0, |clock| clock.at);
        probing.is_none_or(|slot| slot.has_run(time, heard))
    }

    /// True when it is faulty and has run a task that it was tried with for as long as a faulty one gets none.
    pub fn passed_probe(&self, key: &TaskKey, now: u64) -> bool {
        let is_probe = |slot: &&Slot| slot.began_after(self.last_failure);
        let slot = self.slots.get(key).filter(is_probe);
        self.is_faulty() && slot.is_some_and(|slot| slot.has_run(FAULTY_FOR, now))
    }

    /// True after several runs in a row that failed.
    pub fn is_faulty(&self) -> bool {
        self.failures >= FAULTY_AFTER
    }

    /// The key under which it holds a task of a job that is not known any more.
    pub fn key_of(&self, job: &Id, address: Address) -> Option<TaskKey> {
        let is_it = |(key, slot): &(&TaskKey, &Slot)| key.job == *job && slot.address == address;
        self.slots.iter().find(is_it).map(|(key, _)| key.clone())
    }

    /// What is free for tasks that take room.
    pub fn free(&self) -> Size {
        self.entry.size.minus(self.reserved)
    }

    /// Processors that nobody is reckoned to use.
    pub fn idle_cpu(&self) -> u64 {
        let others = self.reserved.cpu - self.serving_cpu;
        let used = others + self.serving_cpu * SERVING_USE / 100 + self.filling_cpu;
        self.entry.size.cpu.saturating_sub(used)
    }

    /// Puts a slot in.
    pub fn add_slot(&mut self, key: TaskKey, slot: Slot) {
        self.remove_slot(&key);
        let (cpu, firm) = (slot.size.cpu, slot.reserved());
        if slot.fills {
            self.filling_cpu += cpu;
            *self.filling_images.entry(slot.image).or_default() += cpu;
        }
        if slot.target > 0 {
            self.serving_cpu += firm.cpu;
            *self.serving_images.entry(slot.image).or_default() += 1;
            let job = (key.job.clone(), slot.image);
            *self.serving_jobs.entry(job).or_default() += 1;
        }
        self.reserved = self.reserved.plus(firm);
        self.slots.insert(key, slot);
    }

    /// Takes a slot out.
    pub fn remove_slot(&mut self, key: &TaskKey) -> Option<Slot> {
        let slot = self.slots.remove(key)?;
        self.changed = true;
        let (cpu, firm) = (slot.size.cpu, slot.reserved());
        if slot.fills {
            self.filling_cpu -= cpu;
            subtract(&mut self.filling_images, slot.image, cpu);
        }
        if slot.target > 0 {
            self.serving_cpu -= firm.cpu;
            subtract(&mut self.serving_images, slot.image, 1);
            subtract(&mut self.serving_jobs, (key.job.clone(), slot.image), 1);
        }
        self.reserved = self.reserved.minus(firm);
        Some(slot)
    }

    /// Notes how a run ended, and sets the worker aside when one run after the other fails. One that ends well takes that
    /// back, with the time for which nothing was to go there: 36 cores stood open for 2.1 s beside lasting tasks that
    /// waited, which may go to workers that are set aside and not to ones that were.
    pub fn record_result(&mut self, failed: bool, now: u64) {
        if !failed {
            self.failures = 0;
            self.quarantined_until = 0;
            return;
        }
        self.failures += 1;
        self.last_failure = now;
        if self.is_faulty() {
            self.quarantined_until = now + FAULTY_FOR;
            log::warn!(target: "cell", worker = &*self.entry.id, failures = self.failures; "A worker fails its tasks and is set aside.");
        }
    }

    /// Gives it no work for a moment.
    pub fn back_off(&mut self, now: u64) {
        self.backoff_until = self.backoff_until.max(now + AVOID_FOR);
    }
}

/// Takes an amount off an entry, and the entry out when nothing is left.
fn subtract<K, T>(entries: &mut BTreeMap<K, T>, key: K, amount: T)
where
    K: Ord,
    T: Copy + Default + PartialEq + std::ops::SubAssign,
{
    let Some(held) = entries.get_mut(&key) else {
        return;
    };
    *held -= amount;
    if *held == T::default() {
        entries.remove(&key);
    }
}
