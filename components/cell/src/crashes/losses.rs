//! Workers that are lost together: a rack without power, or a cut.

use {
    super::{
        EARLY,
        index::{Group, Index},
        outage::{Silence, Silences},
    },
    crate::{slot::Slot, worker::Worker},
    job::Id,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// Fewer workers than this are no group, whatever part of their rack or cell they are.
const FEWEST: usize = 3;
/// Workers that are lost together when they are this part of their rack, in hundredths: without power all of it is
/// lost, and some may not be missed yet. Half of a rack went with six tasks that had been placed there together.
pub(super) const OF_RACK: usize = 75;
/// The same of the cell. A tenth of the workers of a cell was down at any time with six tasks that crash theirs.
pub(super) const OF_CELL: usize = 25;
/// How long a loss is remembered, in milliseconds: longer than the last of a group takes to be given up, which is when
/// its leases are over.
const REMEMBERED: u64 = 10_000;

/// A worker that cannot be reached, or was given up.
#[derive(Debug)]
pub(super) struct Loss {
    pub id: Arc<str>,
    pub rack: Arc<str>,
    pub silence: Silence,
    /// The jobs of which a task had just started there.
    pub jobs: BTreeSet<Id>,
    /// When it was given up, in milliseconds on our clock; before that, since when it has not been reached.
    at: u64,
}

impl Loss {
    pub fn of(worker: &Worker, now: u64) -> Self {
        let slots = worker.slots.iter();
        let early = slots.filter(|(_, slot)| worker.is_early(slot));
        Loss {
            id: worker.entry.id.clone(),
            rack: worker.entry.rack().into(),
            silence: Silence::of(worker, now),
            jobs: early.map(|(key, _)| key.job.clone()).collect(),
            at: now,
        }
    }
}

/// Workers that were given up a short while ago, and beside them all others once one is to be judged.
///
/// The index is kept from one loss to the next, since workers that are lost together are given up one by one. It is told
/// of whatever changes it: workers that come and go, that fall silent or are heard, and what silent ones hold.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    pub(super) recent: HashMap<Arc<str>, Loss>,
    index: Option<Index>,
    /// Looks at workers and losses.
    looks: u64,
}

impl Losses {
    /// Notes that a worker is given up, once: for its leases, or for the proof that its life is over. One that this owner
    /// has never heard was lost before its time: a takeover that clears up after a former owner is no loss of power.
    pub fn record(&mut self, worker: &Worker, now: u64) {
        let id = &worker.entry.id;
        if worker.clock.is_none() || self.recent.contains_key(id) {
            return;
        }
        self.looks += 1;
        let loss = Loss::of(worker, now);
        if let Some(index) = &mut self.index {
            index.reach(id);
            index.add(&loss);
        }
        self.recent.insert(id.clone(), loss);
    }

    /// Forgets those of long ago.
    pub fn expire(&mut self, now: u64) {
        let before = self.recent.len();
        self.recent.retain(|_, loss| now < loss.at + REMEMBERED);
        if self.recent.is_empty() || self.recent.len() < before {
            self.index = None;
        }
    }

    /// Takes in that a worker has fallen silent or is heard again, or that what it holds has changed. It needs not be told
    /// of what was given up: that is noted before it is taken away.
    pub fn refresh(&mut self, worker: &Worker) {
        let id = &worker.entry.id;
        let Some(index) = &mut self.index else {
            return;
        };
        self.looks += 1;
        index.reach(id);
        if !self.recent.contains_key(id) {
            index.miss(worker);
        }
    }

    /// Takes in a new worker. One that was given up is known again.
    pub fn add_worker(&mut self, worker: &Worker) {
        let Some(index) = &mut self.index else {
            return;
        };
        self.looks += 1;
        if let Some(loss) = self.recent.get(&worker.entry.id) {
            index.discount(&loss.rack);
        }
        index.count(worker.entry.rack());
    }

    /// Takes in that a worker is forgotten. One that was given up goes on counting for a while.
    pub fn remove_worker(&mut self, worker: &Worker) {
        let id = &worker.entry.id;
        let Some(index) = &mut self.index else {
            return;
        };
        self.looks += 1;
        index.reach(id);
        index.discount(worker.entry.rack());
        if let Some(loss) = self.recent.get(id) {
            index.count(&loss.rack);
        }
    }

    /// Looks through all workers anew once that is asked for: some have moved to other racks.
    pub fn invalidate(&mut self) {
        self.index = None;
    }

    /// The workers that fell silent together with one that is given up, itself among them.
    pub(super) fn correlated_with(
        &mut self,
        workers: &BTreeMap<Arc<str>, Worker>,
        worker: &Worker,
        now: u64,
    ) -> Together<'_> {
        self.looks += 1;
        if self.index.is_none() {
            self.looks += (workers.len() + self.recent.len()) as u64;
        }
        let recent = &self.recent;
        let gather = || Index::of(workers, recent);
        let index = self.index.get_or_insert_with(gather);
        let own = Loss::of(worker, now);
        let known = recent.get(&own.id).or_else(|| index.unreached(&own.id));
        Together { own, known, index }
    }

    /// How many looks at workers and losses it took to tell which were lost together.
    pub const fn lookups(&self) -> u64 {
        self.looks
    }
}

/// With how many others a worker was lost.
pub(super) struct Together<'a> {
    own: Loss,
    /// What the index has of it, which does not count beside `own`.
    known: Option<&'a Loss>,
    index: &'a Index,
}

impl Together<'_> {
    /// True when so many were lost that a task of this job is not the cause: it had just started on half of them at
    /// the most.
    pub fn clears(&self, job: &Id) -> bool {
        let is_cleared = |rack: Lost| rack.clears(OF_RACK, job);
        self.of_rack().is_some_and(is_cleared) || self.of_cell().clears(OF_CELL, job)
    }

    /// The worker among those of its rack.
    pub fn of_rack(&self) -> Option<Lost<'_>> {
        let (own, known) = (&self.own, self.known);
        Some(Lost {
            own,
            known: known.filter(|known| known.rack == own.rack),
            group: self.index.rack(&own.rack)?,
        })
    }

    /// The worker among those of the cell.
    pub fn of_cell(&self) -> Lost<'_> {
        Lost {
            own: &self.own,
            known: self.known,
            group: &self.index.cell,
        }
    }
}

/// A worker that was lost, among others.
pub(super) struct Lost<'a> {
    own: &'a Loss,
    /// What the group has of it.
    known: Option<&'a Loss>,
    group: &'a Group,
}

impl Lost<'_> {
    /// How many workers there are, be they lost or not.
    pub const fn all(&self) -> usize {
        self.group.all
    }

    /// How many were lost together, itself among them.
    pub fn lost(&self) -> usize {
        self.others(&self.group.lost, self.known) + 1
    }

    /// On how many of these a task of a job had just started.
    pub fn of_job(&self, job: &Id) -> usize {
        let has_job = |loss: &&Loss| loss.jobs.contains(job);
        let known = self.known.filter(has_job);
        let silences = self.group.jobs.get(job);
        let others = silences.map_or(0, |silences| self.others(silences, known));
        others + usize::from(has_job(&self.own))
    }

    /// How many others fell silent together with it. These silences have its own as it is known.
    fn others(&self, silences: &Silences, known: Option<&Loss>) -> usize {
        let is_met = known.is_some_and(|known| known.silence.meets(self.own.silence));
        silences.meeting(self.own.silence) - usize::from(is_met)
    }

    /// True when so many hundredths of all were lost that a task of this job is not the cause.
    fn clears(&self, part: usize, job: &Id) -> bool {
        let lost = self.lost();
        let is_group = lost >= FEWEST && lost * 100 >= self.all() * part;
        is_group && self.of_job(job) * 2 <= lost
    }
}

impl Worker {
    /// True when a run is not known to have gone on for long. One that was adopted has: it was listed to this owner, and a
    /// takeover takes 2 s from the death of the former one. Counted from its adoption, all that ran on workers lost in the
    /// second after a takeover were suspects, and their tasks were away for a second or two longer. Where the cell is handed
    /// over instead, at once, a task that crashes its worker 0.7 s after each start is started five times, not three.
    pub(super) fn is_early(&self, slot: &Slot) -> bool {
        !slot.adopted && self.known_to_run(slot).is_none_or(|age| age < EARLY)
    }
}
