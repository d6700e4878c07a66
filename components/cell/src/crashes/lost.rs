//! Workers that are lost together: a rack without power, or a cut.

use {
    super::EARLY,
    crate::{cell::Cell, slot::Slot, worker::Worker},
    job::Id,
    std::{
        collections::{BTreeSet, HashMap, HashSet, VecDeque},
        sync::Arc,
    },
};

/// Fewer workers than this are no group, whatever part of their rack or cell they are.
const FEWEST: usize = 3;
/// Workers that are lost together when they are this part of their rack, in hundredths: without power all of it is
/// lost, and some may not be missed yet. Half of a rack went with six tasks that had been placed there together.
const OF_RACK: usize = 75;
/// The same of the cell. A tenth of the workers of a cell was down at any time with six tasks that crash theirs.
const OF_CELL: usize = 25;
/// How long a loss is remembered, in milliseconds: longer than the last of a group takes to be given up, which is when
/// its leases are over.
const REMEMBERED: u64 = 10_000;

/// Between these two times a worker fell silent, on our clock: last heard, and first not reached.
#[derive(Debug, Clone, Copy)]
struct Silence {
    from: u64,
    until: u64,
}

impl Silence {
    fn of(worker: &Worker, now: u64) -> Self {
        let until = worker.silent.unwrap_or(now);
        let from = worker.clock.map_or(until, |clock| clock.at);
        Silence {
            from: from.min(until),
            until,
        }
    }

    /// True when both may have begun in the same moment.
    const fn meets(self, other: Silence) -> bool {
        self.from <= other.until && other.from <= self.until
    }
}

/// Workers that were given up a short while ago.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    recent: VecDeque<Loss>,
}

/// A worker that cannot be reached, or was given up.
#[derive(Debug)]
struct Loss {
    id: Arc<str>,
    rack: Arc<str>,
    silence: Silence,
    /// The jobs of which a task had just started there.
    jobs: BTreeSet<Id>,
    at: u64,
}

impl Loss {
    fn of(worker: &Worker, now: u64) -> Self {
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

impl Losses {
    /// Notes that a worker is given up, once: for its leases, or for the proof that its life is over. One that this owner has never heard was lost before its time: a takeover that
    /// clears up after a former owner is no loss of power.
    pub fn note(&mut self, worker: &Worker, now: u64) {
        let id = &worker.entry.id;
        if worker.clock.is_none() || self.recent.iter().any(|loss| loss.id == *id) {
            return;
        }
        self.recent.push_back(Loss::of(worker, now));
    }

    /// Forgets those of long ago.
    pub fn forget(&mut self, now: u64) {
        self.recent.retain(|loss| now < loss.at + REMEMBERED);
    }
}

/// Workers of a rack or a cell: all of them, and those that were lost together.
#[derive(Default)]
struct Group {
    all: usize,
    lost: usize,
    /// On how many of the lost a task of a job had just started.
    jobs: HashMap<Id, usize>,
}

impl Group {
    fn add(&mut self, loss: &Loss) {
        self.lost += 1;
        for job in &loss.jobs {
            *self.jobs.entry(job.clone()).or_default() += 1;
        }
    }

    const fn is_lost(&self, part: usize) -> bool {
        self.lost >= FEWEST && self.lost * 100 >= self.all * part
    }
}

/// With how many others a worker was lost.
#[derive(Default)]
pub(super) struct Together {
    rack: Group,
    cell: Group,
}

impl Together {
    /// Counts a worker, be it lost or not.
    fn count(&mut self, is_of_rack: bool) {
        self.cell.all += 1;
        self.rack.all += usize::from(is_of_rack);
    }

    /// Counts a loss.
    fn add(&mut self, loss: &Loss, rack: &str) {
        self.cell.add(loss);
        if &*loss.rack == rack {
            self.rack.add(loss);
        }
    }

    /// True when so many were lost that a task of this job is not the cause: it had just started on half of them at
    /// the most.
    pub fn clears(&self, job: &Id) -> bool {
        let groups = [(&self.rack, OF_RACK), (&self.cell, OF_CELL)];
        groups.into_iter().any(|(group, part)| {
            let of_job = group.jobs.get(job).copied().unwrap_or_default();
            group.is_lost(part) && of_job * 2 <= group.lost
        })
    }
}

impl Cell {
    /// The workers that fell silent together with one that is given up, itself among them.
    pub(super) fn lost_with(&self, worker: &Worker, now: u64) -> Together {
        let own = Loss::of(worker, now);
        let mut together = self.all_beside(&own.rack);
        let unreached = self.unreached(&own.id, now);
        let recent = &self.crashes.losses.recent;
        let others = recent.iter().filter(|loss| loss.id != own.id);
        for loss in others.chain(&unreached) {
            if loss.silence.meets(own.silence) {
                together.add(loss, &own.rack);
            }
        }
        together.add(&own, &own.rack);
        together
    }

    /// Counts the workers of the cell and of a rack, those among them that were given up a short while ago.
    fn all_beside(&self, rack: &str) -> Together {
        let mut together = Together::default();
        for worker in self.workers.values() {
            together.count(worker.entry.rack() == rack);
        }
        for loss in &self.crashes.losses.recent {
            if !self.workers.contains_key(&loss.id) {
                together.count(&*loss.rack == rack);
            }
        }
        together
    }

    /// The other workers that cannot be reached and were not given up yet.
    fn unreached(&self, own: &str, now: u64) -> Vec<Loss> {
        let recent = &self.crashes.losses.recent;
        let known: HashSet<&Arc<str>> = recent.iter().map(|loss| &loss.id).collect();
        let mut unreached = Vec::new();
        for (id, worker) in &self.workers {
            let is_silent = worker.silent.is_some() && worker.clock.is_some();
            if is_silent && &**id != own && !known.contains(id) {
                unreached.push(Loss::of(worker, now));
            }
        }
        unreached
    }
}

impl Worker {
    /// True when a run is not known to have gone on for long. One that was adopted has: it was listed to this owner, and a
    /// takeover takes 2 s from the death of the former one. Counted from its adoption, all that ran on workers lost in the
    /// second after a takeover were suspects, and their tasks were away for a second or two longer.
    pub(super) fn is_early(&self, slot: &Slot) -> bool {
        !slot.adopted && self.known_to_run(slot).is_none_or(|age| age < EARLY)
    }
}
