//! One worker as the owner of its cell sees it.

use {
    crate::{interference::Image, slot::Slot, strain::Strain, timing},
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
    /// The name of this life of the worker, see [`Entry::life`].
    pub id: Arc<str>,
    /// The name of the worker, which its next life may have as well.
    pub name: Arc<str>,
    /// When this life began, in milliseconds since 1970; `None` where that is not told.
    pub born: Option<u64>,
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
    pub fn life(name: &str, born: Option<u64>) -> Arc<str> {
        match born {
            Some(born) => format!("{name}#{born}").into(),
            None => name.into(),
        }
    }

    /// The entry of a later life of the same worker, of which only the beginning is known.
    pub(crate) fn reborn(&self, born: u64) -> Self {
        Entry {
            id: Entry::life(&self.name, Some(born)),
            born: Some(born),
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
        (self.generation, self.born)
    }

    /// True when it bears the label.
    pub fn bears(&self, label: &str) -> bool {
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
pub struct Key {
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
    pub garbled: bool,
    /// Not the listing alone tells of this life: it has answered, or a former owner knew it.
    pub proven: bool,
    /// A later life has answered in its place, and is polled instead.
    pub followed: bool,
    /// The record of the fleet names it: a new owner would ask it.
    pub recorded: bool,
    /// When the listing lost it, on our clock.
    pub vanished: Option<u64>,
    /// Whoever talks to it has as much to tell as it can: it gets no work for now.
    pub held: bool,
    /// It is emptied for the upkeep of its machine.
    pub closing: bool,
    /// True once it answered under this owner's fence.
    pub fenced: bool,
    /// The last poll was answered.
    pub heard: bool,
    /// When the answer to the poll on its way is overdue; `None` while there is none.
    pub due: Option<u64>,
    /// Since when it has not been reached.
    pub silent: Option<u64>,
    /// The last reading of its clock.
    pub clock: Option<Clock>,
    /// The highest deadline that it was sent, on its clock.
    pub granted: u64,
    /// The highest number of an end that was taken in.
    pub read: u64,
    /// The highest number of an end that is written down.
    pub kept: u64,
    /// The ends between the two, and their jobs.
    pub unwritten: VecDeque<(u64, Id)>,
    /// It listed ends that are left for later, see [`crate::Cell::intake_read`].
    pub left: bool,
    /// What it holds.
    pub slots: HashMap<Key, Slot>,
    /// The sum of what its slots take; processors of filling tasks are left out.
    pub firm: Size,
    /// Processors of filling tasks.
    pub filling: u64,
    /// Processors of serving tasks, which are part of `firm`.
    pub serving: u64,
    /// Processors of filling tasks, by image.
    pub fill_images: BTreeMap<Image, u64>,
    /// The number of serving tasks, by image.
    pub serve_images: BTreeMap<Image, u32>,
    /// The number of serving tasks, by job and image.
    pub serve_jobs: BTreeMap<(Id, Image), u32>,
    /// How loaded its serving tasks are, by image.
    pub strain: Vec<Strain>,
    /// Something has changed since the last pass that may make room.
    pub changed: bool,
    /// No work before this time, on our clock, since it refused or did not answer.
    pub avoid: u64,
    /// No work before this time, on our clock, since its runs failed.
    pub aside: u64,
    /// Ends in a row that failed.
    pub failures: u32,
    /// When the last of them came, on our clock.
    pub failed: u64,
    /// The task that a faulty worker is tried with.
    pub probe: Option<Key>,
    /// Since when some serving task has been over its target without a break.
    pub over_since: Option<u64>,
}

impl Worker {
    /// A worker that was just listed.
    pub fn new(entry: Entry) -> Self {
        Worker {
            entry,
            listed: true,
            garbled: false,
            proven: false,
            followed: false,
            recorded: false,
            vanished: None,
            held: false,
            closing: false,
            fenced: false,
            heard: false,
            due: None,
            silent: None,
            clock: None,
            granted: 0,
            read: 0,
            kept: 0,
            unwritten: VecDeque::new(),
            left: false,
            slots: HashMap::new(),
            firm: Size::default(),
            filling: 0,
            serving: 0,
            fill_images: BTreeMap::new(),
            serve_images: BTreeMap::new(),
            serve_jobs: BTreeMap::new(),
            strain: Vec::new(),
            changed: true,
            over_since: None,
            avoid: 0,
            aside: 0,
            failures: 0,
            failed: 0,
            probe: None,
        }
    }

    /// True when ends were taken in that are not written down yet.
    pub fn is_unwritten(&self) -> bool {
        self.read > self.kept
    }

    /// How long a poll is held when it has nothing to report, in milliseconds: less when its next
    /// report is wanted soon.
    pub fn poll_wait(&self) -> u64 {
        let mut wait = timing::POLL_WAIT;
        if self.serving > 0 {
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
    pub fn lapses(&self) -> Option<u64> {
        let clock = self.clock?;
        let length = self.granted.saturating_sub(clock.shown);
        Some(clock.at + timing::until_over(length))
    }

    /// True when the last poll that is over had no answer: the worker is not to be reached.
    pub const fn is_silent(&self) -> bool {
        self.silent.is_some()
    }

    /// True when it may be given work: not before a new owner would know of it, whose listing may lack it for a while; and
    /// not while it cannot be reached, since each start puts off the moment at which all its leases are over. Where five
    /// short tasks came a second, a lasting one on a worker that was cut off ran again after 17.8 s, and does within 6 s.
    pub fn is_open(&self, now: u64) -> bool {
        let is_known = self.fenced && self.listed && self.recorded && !self.garbled;
        let is_usable = is_known && !self.is_silent() && !self.entry.leaving && !self.closing;
        is_usable && now >= self.avoid && now >= self.aside
    }

    /// True when it may be given work but for the failures that it was set aside for.
    pub fn is_set_aside(&self) -> bool {
        self.is_faulty() && self.is_open(u64::MAX)
    }

    /// True when it may be given a task that has failed so often. A worker whose last run failed
    /// just now gets none that has failed before, since attempts are few. A faulty one gets one
    /// task to try it with, and the next one once that has run for as long as a faulty one gets none: a batch task may
    /// run for hours, for which the worker would stand still.
    pub fn is_trusted(&self, failures: u32, now: u64) -> bool {
        if self.failures > 0 && failures > 0 && now < self.failed + FAULTY_FOR {
            return false;
        }
        !self.is_faulty() || self.does_probe_run(FAULTY_FOR)
    }

    /// True when it may be given a lasting task that has waited for long, which may fail as often as it likes: a faulty one
    /// gets the next soon. With 3 s between two, 26 cores stood open for that long beside lasting tasks that waited.
    pub fn is_trusted_by_pressed(&self) -> bool {
        !self.is_faulty() || self.does_probe_run(PROBED_FOR)
    }

    /// True unless it is being tried with a task that has not run for so long, in milliseconds. It goes by the last report:
    /// the one that shows it clears the worker where the probe lasts, and comes first.
    fn does_probe_run(&self, time: u64) -> bool {
        let probing = self.probe.as_ref().and_then(|key| self.slots.get(key));
        let heard = self.clock.map_or(0, |clock| clock.at);
        probing.is_none_or(|slot| slot.has_run(time, heard))
    }

    /// True when it is faulty and has run a task that it was tried with for as long as a faulty one gets none.
    pub fn has_proven(&self, key: &Key, now: u64) -> bool {
        let is_probe = |slot: &&Slot| slot.began_after(self.failed);
        let slot = self.slots.get(key).filter(is_probe);
        self.is_faulty() && slot.is_some_and(|slot| slot.has_run(FAULTY_FOR, now))
    }

    /// True after several runs in a row that failed.
    pub fn is_faulty(&self) -> bool {
        self.failures >= FAULTY_AFTER
    }

    /// The key under which it holds a task of a job that is not known any more.
    pub fn key_of(&self, job: &Id, address: Address) -> Option<Key> {
        let is_it = |(key, slot): &(&Key, &Slot)| key.job == *job && slot.address == address;
        self.slots.iter().find(is_it).map(|(key, _)| key.clone())
    }

    /// What is free for tasks that take room.
    pub fn free(&self) -> Size {
        self.entry.size.minus(self.firm)
    }

    /// Processors that nobody is reckoned to use.
    pub fn unused(&self) -> u64 {
        let others = self.firm.cpu - self.serving;
        let used = others + self.serving * SERVING_USE / 100 + self.filling;
        self.entry.size.cpu.saturating_sub(used)
    }

    /// Puts a slot in.
    pub fn hold(&mut self, key: Key, slot: Slot) {
        self.release(&key);
        let (cpu, firm) = (slot.size.cpu, slot.firm());
        if slot.fills {
            self.filling += cpu;
            *self.fill_images.entry(slot.image).or_default() += cpu;
        }
        if slot.target > 0 {
            self.serving += firm.cpu;
            *self.serve_images.entry(slot.image).or_default() += 1;
            let job = (key.job.clone(), slot.image);
            *self.serve_jobs.entry(job).or_default() += 1;
        }
        self.firm = self.firm.plus(firm);
        self.slots.insert(key, slot);
    }

    /// Takes a slot out.
    pub fn release(&mut self, key: &Key) -> Option<Slot> {
        let slot = self.slots.remove(key)?;
        self.changed = true;
        let (cpu, firm) = (slot.size.cpu, slot.firm());
        if slot.fills {
            self.filling -= cpu;
            drop_from(&mut self.fill_images, slot.image, cpu);
        }
        if slot.target > 0 {
            self.serving -= firm.cpu;
            drop_from(&mut self.serve_images, slot.image, 1);
            drop_from(&mut self.serve_jobs, (key.job.clone(), slot.image), 1);
        }
        self.firm = self.firm.minus(firm);
        Some(slot)
    }

    /// Notes how a run ended, and sets the worker aside when one run after the other fails. One that ends well takes that
    /// back, with the time for which nothing was to go there: 36 cores stood open for 2.1 s beside lasting tasks that
    /// waited, which may go to workers that are set aside and not to ones that were.
    pub fn judge(&mut self, failed: bool, now: u64) {
        if !failed {
            self.failures = 0;
            self.aside = 0;
            return;
        }
        self.failures += 1;
        self.failed = now;
        if self.is_faulty() {
            self.aside = now + FAULTY_FOR;
            log::warn!(target: "cell", worker = &*self.entry.id, failures = self.failures; "A worker fails its tasks and is set aside.");
        }
    }

    /// Gives it no work for a moment.
    pub fn shun(&mut self, now: u64) {
        self.avoid = self.avoid.max(now + AVOID_FOR);
    }
}

/// Takes an amount off an entry, and the entry out when nothing is left.
fn drop_from<K, T>(entries: &mut BTreeMap<K, T>, key: K, amount: T)
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
