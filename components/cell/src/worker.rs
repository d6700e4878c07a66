//! A worker as seen by the owner of its cell: listing entry, liveness, leases, reserved capacity
//! and quarantine.

use {
    crate::closed::Backoff,
    crate::interference::Image,
    crate::serving_load::ServingLoad,
    crate::slot::Slot,
    crate::timing,
    job::{Address, Id, spec::Size},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        sync::Arc,
    },
};

/// A worker's entry in the listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The id of this incarnation of the worker, see [`Entry::incarnation_id`].
    pub id: Arc<str>,
    /// The worker's name, which stays the same when it restarts.
    pub name: Arc<str>,
    /// When this incarnation started, in Unix milliseconds; `None` if the worker does not report
    /// it.
    pub started: Option<u64>,
    /// The number of incarnations of this name that the owner of the cell knew before this one. It
    /// is sent to the worker with the owner's fence, so that an incarnation refuses delayed orders
    /// for an earlier one.
    pub generation: u32,
    /// The worker's pool.
    pub pool: Arc<str>,
    /// Address and port.
    pub address: Arc<str>,
    /// The data hall.
    pub hall: Arc<str>,
    /// Total capacity.
    pub size: Size,
    /// Kind of hardware and rack.
    pub labels: Vec<Arc<str>>,
    /// The worker accepts no new work and will shut down.
    pub leaving: bool,
    /// The minimum time until a leaving worker shuts down, in milliseconds.
    pub remaining: Option<u64>,
}

impl Entry {
    /// Returns the id of the incarnation of a worker that started at this time.
    pub fn incarnation_id(name: &str, started: Option<u64>) -> Arc<str> {
        match started {
            Some(started) => format!("{name}#{started}").into(),
            None => name.into(),
        }
    }

    /// Returns an entry for a later incarnation of the same worker, of which only the start time is
    /// known.
    pub(crate) fn restarted(&self, started: u64) -> Self {
        Entry {
            id: Entry::incarnation_id(&self.name, Some(started)),
            started: Some(started),
            leaving: false,
            remaining: None,
            ..self.clone()
        }
    }

    /// True if this is an earlier incarnation of the same worker. The owner usually learns of
    /// incarnations in the order in which they started. Only if it learns of two at once, as a new
    /// owner may, their start times decide; these come from the worker's clock, which may have been
    /// set back.
    pub fn is_before(&self, other: &Entry) -> bool {
        self.name == other.name && self.order() < other.order()
    }

    /// Returns the sort key of the incarnations of a worker, the earliest first.
    pub(crate) fn order(&self) -> (u32, Option<u64>) {
        (self.generation, self.started)
    }

    /// True if the entries agree on the tasks that the worker may run, apart from its capacity.
    pub(crate) fn has_same_traits(&self, other: &Entry) -> bool {
        self.pool == other.pool && self.labels == other.labels
    }

    /// True if the worker has the label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|other| &**other == label)
    }

    /// Returns the rack, which is the last label.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", |label| label)
    }
}

/// The listing of all workers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Valid entries.
    pub entries: Vec<Entry>,
    /// Names of workers whose entries cannot be decoded or have invalid values. No work is placed
    /// there, but a known worker does not count as removed.
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

/// A task, identified by its job and its place in the job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: Id,
    /// The index of the task within the job.
    pub place: usize,
}

/// Whether the tasks of a worker are recorded as all that may run there. Nothing may be started
/// there while they may be; see [`policy::takeover`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum SealState {
    /// They are surely not recorded.
    #[default]
    Open,
    /// These tasks are recorded, or are to be recorded by a batch that was built.
    Sealed(BTreeSet<TaskKey>),
    /// A batch that withdraws the record was built, but is not known to be written.
    Withdrawn,
}

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// The value of the worker's clock.
    pub value: u64,
    /// When the reading arrived, on the owner's clock.
    pub at: u64,
}

/// The number of consecutive failed runs from which a worker counts as faulty. One task in twenty
/// or fewer fails by itself, so two in a row happen by chance once in 400.
const FAULTY_AFTER: u32 = 2;
/// How long a faulty worker is quarantined, in milliseconds. Faults are specified to last 4 to 8 s.
const QUARANTINE: u64 = 3_000;
/// How long an overdue long-running task must have run on a faulty worker before the next one may
/// go there, in milliseconds. This is three reports of a worker with serving tasks.
const OVERDUE_PROBE: u64 = 1_000;
/// How long a worker gets no work after it refused an order or did not answer, in milliseconds.
const BACKOFF: u64 = 500;
/// The assumed CPU use of a serving task, as a percentage of its reservation: its load varies
/// around 45%.
const SERVING_CPU_USE: u64 = 48;

#[derive(Debug, Clone)]
pub struct Worker {
    /// The listing entry.
    pub entry: Entry,
    /// The listing has an entry under this worker's name.
    pub listed: bool,
    /// That entry cannot be decoded or belongs to another incarnation. The worker gets no work.
    pub entry_invalid: bool,
    /// The incarnation is known from more than the listing: it has answered, or a previous owner
    /// knew it.
    pub confirmed: bool,
    /// A later incarnation has answered in its place and is polled instead.
    pub superseded: bool,
    /// The persisted record of workers contains it, so that a new owner would poll it.
    pub recorded: bool,
    /// Whether it is sealed.
    pub seal: SealState,
    /// It is to be sealed, or to stay so.
    pub seal_wanted: bool,
    /// Its pool or labels differ between the listing and the record of workers.
    pub traits_unclear: bool,
    /// It has reported all its runs to this owner, and no slot was released without proof since.
    pub reported: bool,
    /// Its last report had runs of jobs that are not known yet, whose room is not counted.
    pub runs_pending: bool,
    /// Since when the listing has had no entry for it, on the owner's clock.
    pub unlisted_since: Option<u64>,
    /// The connection to it is saturated. The worker gets no work for now.
    pub backpressured: bool,
    /// It is being drained for maintenance of its machine.
    pub draining: bool,
    /// It has answered under this owner's fence.
    pub fenced: bool,
    /// The last poll was answered.
    pub poll_answered: bool,
    /// When the last poll that was answered was sent, on the owner's clock: no later owner had
    /// polled the worker before. 0 if none was answered.
    pub confirmed_at: u64,
    /// When the answer to the open poll is overdue; `None` if no poll is open.
    pub answer_due: Option<u64>,
    /// Since when it has been unreachable.
    pub unreachable_since: Option<u64>,
    /// When it would have answered at the latest if it were not unreachable, on the owner's clock.
    pub silent_by: Option<u64>,
    /// A suspected task is being tried on it.
    pub has_trial: bool,
    /// The last reading of its clock.
    pub clock: Option<Clock>,
    /// The highest deadline of a lease or start that it was sent, on its clock.
    pub max_deadline: u64,
    /// The highest number of a run end that was processed.
    pub ends_read: u64,
    /// The highest number of a run end that is persisted.
    pub ends_written: u64,
    /// The numbers of the ends between the two, with their jobs.
    pub unwritten_ends: VecDeque<(u64, Id)>,
    /// It has listed ends whose processing is deferred, see [`crate::Cell::jobs_reread`].
    pub ends_deferred: bool,
    /// The slots of its tasks.
    pub slots: HashMap<TaskKey, Slot>,
    /// The number of slots that it was given so far.
    pub slots_given: u64,
    /// The sum of all reservations, without the CPU of best-effort tasks.
    pub reserved: Size,
    /// CPU of best-effort tasks.
    pub best_effort_cpu: u64,
    /// CPU of serving tasks, which is part of `reserved`.
    pub serving_cpu: u64,
    /// CPU of batch tasks, which is part of `reserved`.
    pub batch_cpu: u64,
    /// CPU of best-effort tasks, by image.
    pub best_effort_images: BTreeMap<Image, u64>,
    /// The number of serving tasks, by image.
    pub serving_images: BTreeMap<Image, u32>,
    /// The number of serving tasks, by job and image.
    pub serving_jobs: BTreeMap<(Id, Image), u32>,
    /// The load of its serving tasks, by image.
    pub serving_load: Vec<ServingLoad>,
    /// Something has changed since the last pass that may have freed capacity.
    pub changed: bool,
    /// It gets no work before this time, on the owner's clock, since it refused an order or did not
    /// answer.
    pub backoff_until: u64,
    /// Why, as of the last time.
    pub backoff: Backoff,
    /// It gets no work before this time, on the owner's clock, since its runs failed.
    pub quarantined_until: u64,
    /// Consecutive failed runs.
    pub failures: u32,
    /// When the last of them was reported, on the owner's clock.
    pub last_failure: u64,
    /// The task that a faulty worker is probed with.
    pub probe: Option<TaskKey>,
    /// Since when at least one serving task has continuously been over its latency target.
    pub over_target_since: Option<u64>,
}

impl Worker {
    /// Returns the state of a worker that was just listed.
    pub fn new(entry: Entry) -> Self {
        Worker {
            entry,
            listed: true,
            entry_invalid: false,
            confirmed: false,
            superseded: false,
            recorded: false,
            seal: SealState::Open,
            seal_wanted: false,
            traits_unclear: false,
            reported: false,
            runs_pending: false,
            unlisted_since: None,
            backpressured: false,
            draining: false,
            fenced: false,
            poll_answered: false,
            confirmed_at: 0,
            answer_due: None,
            unreachable_since: None,
            silent_by: None,
            has_trial: false,
            clock: None,
            max_deadline: 0,
            ends_read: 0,
            ends_written: 0,
            unwritten_ends: VecDeque::new(),
            ends_deferred: false,
            slots: HashMap::new(),
            slots_given: 0,
            reserved: Size::default(),
            best_effort_cpu: 0,
            serving_cpu: 0,
            batch_cpu: 0,
            best_effort_images: BTreeMap::new(),
            serving_images: BTreeMap::new(),
            serving_jobs: BTreeMap::new(),
            serving_load: Vec::new(),
            changed: true,
            over_target_since: None,
            backoff_until: 0,
            backoff: Backoff::default(),
            quarantined_until: 0,
            failures: 0,
            last_failure: 0,
            probe: None,
        }
    }

    /// True if run ends were processed that are not persisted yet.
    pub fn has_unwritten_ends(&self) -> bool {
        self.ends_read > self.ends_written
    }

    /// How long the worker may delay the answer to a poll if there is nothing to report, in
    /// milliseconds. The wait is shorter if its next report is needed soon.
    pub fn poll_wait(&self) -> u64 {
        let mut wait = timing::POLL_WAIT;
        if self.serving_cpu > 0 {
            wait = timing::POLL_SERVING;
        }
        for slot in self.slots.values() {
            if slot.is_sent() && slot.unanswered.is_some() {
                return timing::POLL_UNANSWERED;
            }
            if slot.is_sent() || slot.stopping.is_some() {
                wait = timing::POLL_SERVING;
            }
        }
        wait
    }

    /// Its current clock, extrapolated from the last reading.
    pub fn clock_at(&self, now: u64) -> Option<u64> {
        self.clock
            .map(|clock| clock.value + now.saturating_sub(clock.at))
    }

    /// When all leases granted to it have expired, on the owner's clock.
    pub fn leases_end(&self) -> Option<u64> {
        let clock = self.clock?;
        let length = self.max_deadline.saturating_sub(clock.value);
        Some(clock.at + timing::max_lease_duration(length))
    }

    /// True if the last completed poll was not answered.
    pub const fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// True if the worker may be given work. It may not before it is in the persisted record: the
    /// listing may lack it for a while, and a new owner would not know of it. It may not while it
    /// is unreachable or has not answered for long, since each start postpones the time at which
    /// all its leases have expired: with five short tasks a second, a long-running task on a
    /// partitioned worker was restarted after 17.8 s instead of within 6 s. Nor may it while it may
    /// be sealed, or while it runs tasks of jobs that are not known yet.
    pub fn is_schedulable(&self, now: u64) -> bool {
        self.closed_by(now).is_none()
    }

    /// True if nothing but a backoff or failed runs may keep it from being given work.
    fn is_available(&self, now: u64) -> bool {
        let is_known = self.fenced && self.listed && self.recorded && !self.entry_invalid;
        let is_usable = is_known && !self.entry.leaving && !self.draining;
        let is_open = self.seal == SealState::Open && !self.runs_pending;
        is_usable && is_open && self.is_heard(now)
    }

    /// True if the last completed poll was answered, and that recently.
    pub fn is_heard(&self, now: u64) -> bool {
        let is_recent = |clock: Clock| now <= clock.at + timing::HEARD_WITHIN;
        !self.is_unreachable() && self.clock.is_some_and(is_recent)
    }

    /// True if a backoff, a quarantine or the time after a failed run has ended since the last
    /// pass.
    pub fn is_reopened(&self, last_pass: u64, now: u64) -> bool {
        let ends = [
            self.backoff_until,
            self.quarantined_until,
            self.last_failure + QUARANTINE,
        ];
        ends.iter().any(|&end| last_pass < end && end <= now)
    }

    /// True if failed runs are all that keeps it from being given work.
    pub fn is_quarantined(&self, now: u64) -> bool {
        self.is_faulty() && self.is_available(now)
    }

    /// True if the worker may be given a task that has failed this often. A worker whose last run
    /// has just failed gets no task that has failed before, since attempts are limited. A faulty
    /// worker gets one task as a probe, and the next one as soon as the probe has run for the
    /// length of a quarantine: a batch task may run for hours, and the worker would be idle that
    /// long.
    pub fn is_trusted(&self, failures: u32, now: u64) -> bool {
        if self.failures > 0 && failures > 0 && now < self.last_failure + QUARANTINE {
            return false;
        }
        !self.is_faulty() || self.has_probe_run(QUARANTINE)
    }

    /// True if the worker may be given an overdue long-running task, which may fail any number of
    /// times. A faulty worker gets the next one after a shorter time: with 3 s between two, 26
    /// cores were left free that long while long-running tasks were waiting.
    pub fn accepts_overdue(&self) -> bool {
        !self.is_faulty() || self.has_probe_run(OVERDUE_PROBE)
    }

    /// True unless a probe is running that has not run for this long, in milliseconds, as of the
    /// last report. That report also ends the quarantine if the probe is long-running, and is
    /// processed first.
    fn has_probe_run(&self, time: u64) -> bool {
        let probe = self.probe.as_ref().and_then(|key| self.slots.get(key));
        let reported = self.clock.map_or(0, |clock| clock.at);
        probe.is_none_or(|slot| slot.has_run(time, reported))
    }

    /// True if the worker is faulty and has run this task, started after its last failure, for the
    /// length of a quarantine.
    pub fn passed_probe(&self, key: &TaskKey, now: u64) -> bool {
        let is_probe = |slot: &&Slot| slot.began_after(self.last_failure);
        let slot = self.slots.get(key).filter(is_probe);
        self.is_faulty() && slot.is_some_and(|slot| slot.has_run(QUARANTINE, now))
    }

    /// True after several consecutive failed runs.
    pub fn is_faulty(&self) -> bool {
        self.failures >= FAULTY_AFTER
    }

    /// Returns the key under which it holds a task of a job that is no longer known.
    pub fn key_of(&self, job: &Id, address: Address) -> Option<TaskKey> {
        let is_match = |(key, slot): &(&TaskKey, &Slot)| key.job == *job && slot.address == address;
        self.slots.iter().find(is_match).map(|(key, _)| key.clone())
    }

    /// Returns the recorded tasks, if the worker is sealed.
    pub fn sealed_tasks(&self) -> Option<&BTreeSet<TaskKey>> {
        match &self.seal {
            SealState::Sealed(tasks) => Some(tasks),
            SealState::Open | SealState::Withdrawn => None,
        }
    }

    /// The capacity that is free for reservations.
    pub fn free(&self) -> Size {
        self.entry.size.minus(self.reserved)
    }

    /// CPU that is expected to be idle.
    pub fn idle_cpu(&self) -> u64 {
        let non_serving = self.reserved.cpu - self.serving_cpu;
        let used = non_serving + self.serving_cpu * SERVING_CPU_USE / 100 + self.best_effort_cpu;
        self.entry.size.cpu.saturating_sub(used)
    }

    /// Adds the slot of a task.
    pub fn add_slot(&mut self, key: TaskKey, slot: Slot) {
        self.remove_slot(&key);
        let (cpu, firm) = (slot.size.cpu, slot.reserved());
        if slot.best_effort {
            self.best_effort_cpu += cpu;
            *self.best_effort_images.entry(slot.image).or_default() += cpu;
        }
        if slot.target > 0 {
            self.serving_cpu += firm.cpu;
            *self.serving_images.entry(slot.image).or_default() += 1;
            let job = (key.job.clone(), slot.image);
            *self.serving_jobs.entry(job).or_default() += 1;
        }
        self.batch_cpu += slot.batch_cpu();
        self.reserved = self.reserved.plus(firm);
        self.slots_given += 1;
        let number = self.slots_given;
        self.slots.insert(key, Slot { number, ..slot });
    }

    /// Removes the slot of a task.
    pub fn remove_slot(&mut self, key: &TaskKey) -> Option<Slot> {
        let slot = self.slots.remove(key)?;
        self.changed = true;
        let (cpu, firm) = (slot.size.cpu, slot.reserved());
        if slot.best_effort {
            self.best_effort_cpu -= cpu;
            subtract(&mut self.best_effort_images, slot.image, cpu);
        }
        if slot.target > 0 {
            self.serving_cpu -= firm.cpu;
            subtract(&mut self.serving_images, slot.image, 1);
            subtract(&mut self.serving_jobs, (key.job.clone(), slot.image), 1);
        }
        self.batch_cpu -= slot.batch_cpu();
        self.reserved = self.reserved.minus(firm);
        Some(slot)
    }

    /// Records the result of a run. Consecutive failures quarantine the worker. A success ends the
    /// quarantine at once: 36 cores were left free for 2.1 s while overdue long-running tasks were
    /// waiting, since these may go to quarantined workers, but not to ones that were quarantined
    /// and have recovered.
    pub fn record_result(&mut self, failed: bool, now: u64) {
        if !failed {
            self.failures = 0;
            self.quarantined_until = 0;
            return;
        }
        self.failures += 1;
        self.last_failure = now;
        if self.is_faulty() {
            self.quarantined_until = now + QUARANTINE;
            log::warn!(target: "cell", worker = &*self.entry.id, failures = self.failures; "Worker quarantined after consecutive failed runs.");
        }
    }

    /// Gives the worker no work for a short time.
    pub fn back_off(&mut self, reason: Backoff, now: u64) {
        self.backoff = reason;
        self.backoff_until = self.backoff_until.max(now + BACKOFF);
    }
}

/// Subtracts an amount from an entry, and removes the entry if nothing is left.
fn subtract<K, T>(entries: &mut BTreeMap<K, T>, key: K, amount: T)
where
    K: Ord,
    T: Copy + Default + PartialEq + std::ops::SubAssign,
{
    let Some(value) = entries.get_mut(&key) else {
        return;
    };
    *value -= amount;
    if *value == T::default() {
        entries.remove(&key);
    }
}
