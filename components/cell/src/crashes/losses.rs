//! Correlated losses: workers lost together through a power failure of a rack or a network
//! partition.

use {
    super::{
        EARLY_MS,
        index::{Group, LossIndex},
        outage::{Outage, Outages},
        past_losses::PastLosses,
    },
    crate::{slot::Slot, worker::Worker},
    job::Id,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// Minimum number of workers in a correlated loss, whatever their share of the rack or cell.
const MIN_GROUP: usize = 3;
/// Share of a rack, in percent, from which a loss is correlated. A power failure takes the whole
/// rack, but some of its workers may not be detected yet. It has to exceed one half: six crashing
/// tasks placed on the same rack took half of its workers.
pub(super) const RACK_PERCENT: usize = 75;
/// Share of the cell, in percent, from which a loss is correlated. It has to exceed a tenth: with
/// six crashing tasks a tenth of the workers was down at any time.
pub(super) const CELL_PERCENT: usize = 25;
/// The same for the loss of a worker with an isolated trial. It has to exceed a third: tasks that
/// crash their workers can take that much of the cell at once. It has to stay below one half:
/// workers that return count as new ones before all of their former incarnations are declared lost.
const ISOLATED_PERCENT: usize = 40;
/// How long a loss is kept, in milliseconds: longer than the time until the leases of the last
/// worker of a group expire and it is declared lost.
pub(super) const RETENTION_MS: u64 = 10_000;

/// The loss of a worker that is unreachable or was declared lost.
#[derive(Debug, Clone)]
pub(super) struct Loss {
    pub id: Arc<str>,
    pub rack: Arc<str>,
    /// The address of the worker, which its machine keeps.
    pub address: Arc<str>,
    pub outage: Outage,
    /// Jobs with a new run on the worker.
    pub jobs: BTreeSet<Id>,
    /// A suspected task was being tried on the worker, which explains the loss.
    pub has_trial: bool,
    /// When the worker was declared lost, in milliseconds on the owner's clock; until then, since
    /// when it is unreachable.
    at: u64,
}

impl Loss {
    pub fn of(worker: &Worker, now: u64) -> Self {
        let slots = worker.slots.iter();
        let early = slots.filter(|(_, slot)| worker.is_early(slot));
        Loss {
            id: worker.entry.id.clone(),
            rack: worker.entry.rack().into(),
            address: worker.entry.address.clone(),
            outage: Outage::of(worker, now),
            jobs: early.map(|(key, _)| key.job.clone()).collect(),
            has_trial: worker.has_trial,
            at: now,
        }
    }
}

/// Workers recently declared lost, and an index of all workers that is built on the first query.
///
/// The index is kept between queries, since workers lost together are declared lost one by one.
/// Callers report every change: workers that are added or removed, that become unreachable or
/// reachable, and changes in the runs of unreachable workers.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    pub(super) recent: HashMap<Arc<str>, Loss>,
    /// Losses that may be older.
    pub(super) past: PastLosses,
    index: Option<LossIndex>,
    /// Index operations and workers scanned, as a measure of work.
    lookups: u64,
}

impl Losses {
    /// Records that a worker is declared lost, once, because its leases expired or its incarnation
    /// is proven over. A worker that never reported to this owner is ignored: it was lost earlier,
    /// and cleaning up after a previous owner is not a power failure.
    pub fn record(&mut self, worker: &Worker, now: u64) {
        let id = &worker.entry.id;
        if worker.clock.is_none() || self.recent.contains_key(id) {
            return;
        }
        self.lookups += 1;
        let loss = Loss::of(worker, now);
        let address = worker.entry.address.clone();
        self.past.add(address, loss.has_trial, now);
        if let Some(index) = &mut self.index {
            index.remove_unreachable(id);
            index.add(&loss);
        }
        self.recent.insert(id.clone(), loss);
    }

    /// Number of recent losses that no trial explains.
    pub(super) fn unexplained(&self) -> usize {
        let recent = self.recent.values();
        recent.filter(|loss| !loss.has_trial).count()
    }

    /// How often the machine of this loss was lost before, as far as that is remembered.
    pub(super) fn earlier_of_machine(&self, loss: &Loss) -> usize {
        let is_recorded = self.recent.contains_key(&loss.id);
        let count = self.past.of_machine(&loss.address);
        count.saturating_sub(usize::from(is_recorded))
    }

    /// Drops losses older than the retention time.
    pub fn expire(&mut self, now: u64) {
        self.past.expire(now);
        let before = self.recent.len();
        self.recent.retain(|_, loss| now < loss.at + RETENTION_MS);
        if self.recent.is_empty() || self.recent.len() < before {
            self.index = None;
        }
    }

    /// Updates the index after a worker became unreachable or reachable, or its runs changed. No
    /// call is needed when runs are freed because the worker is declared lost: `record` comes
    /// first.
    pub fn refresh(&mut self, worker: &Worker) {
        let id = &worker.entry.id;
        let Some(index) = &mut self.index else {
            return;
        };
        self.lookups += 1;
        index.remove_unreachable(id);
        if !self.recent.contains_key(id) {
            index.add_unreachable(worker);
        }
    }

    /// Adds a new worker. A worker whose loss is still kept is not counted twice.
    pub fn add_worker(&mut self, worker: &Worker) {
        let Some(index) = &mut self.index else {
            return;
        };
        self.lookups += 1;
        if let Some(loss) = self.recent.get(&worker.entry.id) {
            index.remove_worker(&loss.rack);
        }
        index.add_worker(worker.entry.rack());
    }

    /// Removes a worker. If it was declared lost, it is counted until its loss expires.
    pub fn remove_worker(&mut self, worker: &Worker) {
        let id = &worker.entry.id;
        let Some(index) = &mut self.index else {
            return;
        };
        self.lookups += 1;
        index.remove_unreachable(id);
        index.remove_worker(worker.entry.rack());
        if let Some(loss) = self.recent.get(id) {
            index.add_worker(&loss.rack);
        }
    }

    /// Drops the index, because workers moved to other racks. The next query rebuilds it.
    pub fn invalidate(&mut self) {
        self.index = None;
    }

    /// Correlates the loss of a worker with those whose outage overlaps with its own.
    pub(super) fn correlated_with(
        &mut self,
        workers: &BTreeMap<Arc<str>, Worker>,
        worker: &Worker,
        now: u64,
    ) -> Correlation<'_> {
        self.correlate(workers, Loss::of(worker, now))
    }

    /// The same for a loss of a worker that may have been removed since.
    pub(super) fn correlate(
        &mut self,
        workers: &BTreeMap<Arc<str>, Worker>,
        own: Loss,
    ) -> Correlation<'_> {
        self.lookups += 1;
        if self.index.is_none() {
            self.lookups += (workers.len() + self.recent.len()) as u64;
        }
        let recent = &self.recent;
        let build = || LossIndex::of(workers, recent);
        let index = self.index.get_or_insert_with(build);
        let indexed = recent.get(&own.id).or_else(|| index.unreachable(&own.id));
        Correlation {
            own,
            indexed,
            index,
        }
    }

    /// Index operations and workers scanned since the start, as a measure of work.
    pub const fn lookups(&self) -> u64 {
        self.lookups
    }
}

/// The loss of a worker in relation to the other losses.
pub(super) struct Correlation<'a> {
    own: Loss,
    /// The loss that the index holds for the same worker; not counted in addition to `own`.
    indexed: Option<&'a Loss>,
    index: &'a LossIndex,
}

impl Correlation<'_> {
    /// True if the loss is correlated and at most half of the lost workers had a new run of this
    /// job, so that no task of the job caused it.
    pub fn rules_out(&self, job: &Id) -> bool {
        let is_ruled_out = |loss: GroupLoss| loss.rules_out(RACK_PERCENT, loss.total(), job);
        let in_cell = self.in_cell();
        self.in_rack().is_some_and(is_ruled_out)
            || in_cell.rules_out(CELL_PERCENT, in_cell.total(), job)
    }

    /// The same for a task of the job that was in an isolated trial, which explains the loss of its
    /// worker unless many workers of the rack or of the cell were lost that had been up until then.
    pub fn rules_out_isolated(&self, job: &Id) -> bool {
        let is_ruled_out = |loss: GroupLoss| loss.rules_out(RACK_PERCENT, loss.total_up(), job);
        let in_cell = self.in_cell();
        self.in_rack().is_some_and(is_ruled_out)
            || in_cell.rules_out(ISOLATED_PERCENT, in_cell.total_up(), job)
    }

    /// The loss among the workers of its rack.
    pub fn in_rack(&self) -> Option<GroupLoss<'_>> {
        let (own, indexed) = (&self.own, self.indexed);
        Some(GroupLoss {
            own,
            indexed: indexed.filter(|indexed| indexed.rack == own.rack),
            group: self.index.rack(&own.rack)?,
        })
    }

    /// The loss among the workers of the cell.
    pub fn in_cell(&self) -> GroupLoss<'_> {
        GroupLoss {
            own: &self.own,
            indexed: self.indexed,
            group: &self.index.cell,
        }
    }
}

/// The loss of a worker within a group.
pub(super) struct GroupLoss<'a> {
    own: &'a Loss,
    /// The loss that the group holds for the same worker.
    indexed: Option<&'a Loss>,
    group: &'a Group,
}

impl GroupLoss<'_> {
    /// Number of workers in the group, lost or not.
    pub const fn total(&self) -> usize {
        self.group.total
    }

    /// Number of workers in the group without those that were lost at another time.
    fn total_up(&self) -> usize {
        let others = self.group.outages.len() - usize::from(self.indexed.is_some());
        let before = others - self.overlapping_others(&self.group.outages, self.indexed);
        self.total() - before
    }

    /// Number of workers lost together, including this one.
    pub fn lost_count(&self) -> usize {
        self.overlapping_others(&self.group.outages, self.indexed) + 1
    }

    /// Number of other workers that were lost at the same time and without a trial that explains
    /// it.
    pub fn unexplained_others(&self) -> usize {
        let indexed = self.indexed.filter(|indexed| indexed.has_trial);
        let explained = self.overlapping_others(&self.group.trials, indexed);
        self.lost_count() - 1 - explained
    }

    /// Number of other workers whose loss a job explains: those that had a new run of it, if more
    /// than half of the workers lost together had one.
    pub fn explained_others(&self, job: &Id) -> usize {
        let starting = self.starting(job);
        if starting * 2 > self.lost_count() {
            starting.saturating_sub(1)
        } else {
            0
        }
    }

    /// Number of workers lost together that had a new run of a job.
    pub fn starting(&self, job: &Id) -> usize {
        let has_job = |loss: &&Loss| loss.jobs.contains(job);
        let indexed = self.indexed.filter(has_job);
        let outages = self.group.job_outages.get(job);
        let others = outages.map_or(0, |outages| self.overlapping_others(outages, indexed));
        others + usize::from(has_job(&self.own))
    }

    /// Number of other workers in `outages` whose outage overlaps. `indexed` is this worker's own
    /// loss if `outages` holds it.
    fn overlapping_others(&self, outages: &Outages, indexed: Option<&Loss>) -> usize {
        let is_counted = indexed.is_some_and(|indexed| indexed.outage.overlaps(self.own.outage));
        outages.count_overlapping(self.own.outage) - usize::from(is_counted)
    }

    /// True if at least `percent` of `total` workers were lost and at most half of the lost workers
    /// had a new run of the job.
    fn rules_out(&self, percent: usize, total: usize, job: &Id) -> bool {
        let lost = self.lost_count();
        let is_group = lost >= MIN_GROUP && lost * 100 >= total * percent;
        is_group && self.starting(job) * 2 <= lost
    }
}

impl Worker {
    /// True unless the run is known to have run for [`EARLY_MS`]. Adopted runs are never early: a
    /// previous owner started them, and a takeover takes 2 s from its death. Counting from the
    /// adoption would suspect all runs on workers that are lost in the second after a takeover,
    /// which delayed their tasks by one or two seconds. The cost: if the cell is handed over
    /// without delay, a task that crashes its worker 0.7 s after each start is started five times
    /// rather than three.
    pub(super) fn is_early(&self, slot: &Slot) -> bool {
        !slot.adopted
            && self
                .confirmed_runtime(slot)
                .is_none_or(|age| age < EARLY_MS)
    }
}
