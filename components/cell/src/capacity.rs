//! Capacity of workers, which may change while tasks run there.
//!
//! Running tasks are left alone if the capacity falls below what they reserve: no API requires them
//! to end, and stopping them would lose work. Tasks that end there are not replaced. Workers with
//! admission control refuse what does not fit. Overcommitting workers start every task that
//! they are sent; for them, every run that may exist is counted, and no start is sent for capacity
//! that is gone.

use {
    crate::{
        cell::Cell,
        slot::Slot,
        worker::{Entry, TaskKey, Worker},
    },
    job::spec::Size,
    std::{collections::HashSet, sync::Arc},
};

/// How long a listing is valid for the capacity of overcommitting workers, in milliseconds. A
/// worker reports within a heartbeat (1.1 s) that its capacity has shrunk, and starts must respect
/// that from 3 to 5 s after it. Listings are 0.7 to 1.6 s apart, so an older one means that the
/// store is unavailable.
const LISTING_VALID: u64 = 3_000;

impl Cell {
    /// Sets the pools whose workers start tasks without checking capacity.
    pub fn set_overcommitting(&mut self, pools: HashSet<Arc<str>>) {
        self.overcommitting = pools;
    }

    /// True for a worker that starts tasks without checking capacity.
    pub(crate) fn is_overcommitting(&self, worker: &Worker) -> bool {
        !self.overcommitting.is_empty() && self.overcommitting.contains(&worker.entry.pool)
    }

    /// True if the worker's capacity is known recently enough to place tasks on it.
    pub(crate) fn is_capacity_known(&self, worker: &Worker, now: u64) -> bool {
        now <= self.last_listing + LISTING_VALID || !self.is_overcommitting(worker)
    }

    /// Marks workers as changed whose capacity was unknown for a while and is known again with the
    /// current listing.
    pub(crate) fn mark_capacity_known(&mut self, now: u64) {
        if self.overcommitting.is_empty() || now <= self.last_listing + LISTING_VALID {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.changed |= self.overcommitting.contains(&worker.entry.pool);
        }
    }

    /// Updates a known worker from its listing entry.
    pub(crate) fn update(&mut self, entry: Entry, now: u64) {
        let id = entry.id.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let generation = worker.entry.generation;
        let entry = Entry {
            generation,
            ..entry
        };
        if worker.entry.leaving != entry.leaving {
            log::info!(target: "cell", worker = &*id, leaving = entry.leaving, remaining:? = entry.remaining; "State of a worker changed.");
        }
        let (before, size) = (worker.entry.size, entry.size);
        worker.changed |= worker.entry != entry;
        if !worker.entry.has_same_traits(&entry) {
            // A new owner relies on the pool and the labels in the record of workers.
            worker.recorded = false;
            self.fleet_dirty = true;
        }
        if worker.entry.rack() != entry.rack() {
            self.crashes.losses.invalidate();
        }
        worker.entry = entry;
        if before == size {
            return;
        }
        log::info!(target: "cell", worker = &*id, cpu = size.cpu, memory = size.memory, gpus = size.gpus, before = before.cpu, taken = worker.reserved.cpu; "Capacity of a worker changed.");
        let is_less = !before.fits(size);
        if is_less
            && self
                .workers
                .get(&id)
                .is_some_and(|worker| self.is_overcommitting(worker))
        {
            self.revoke_starts(&id, now);
        }
    }

    /// Revokes unconfirmed starts that no longer fit, the latest first. An earlier one may have been
    /// carried out already, and would run on beside a later one until it is stopped.
    fn revoke_starts(&mut self, id: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut sent: Vec<(u64, TaskKey, Size)> = worker
            .slots
            .iter()
            .filter(|(_, slot)| is_revocable(slot))
            .map(|(key, slot)| (slot.number, key.clone(), slot.reserved()))
            .collect();
        sent.sort_by_key(|(number, ..)| *number);
        let (capacity, mut reserved) = (worker.entry.size, worker.reserved);
        while !reserved.fits(capacity)
            && let Some((_, key, size)) = sent.pop()
        {
            log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id; "Start revoked: capacity of the worker has shrunk.");
            reserved = reserved.minus(size);
            self.stop(id, &key, now);
        }
    }
}

/// True for a start that is neither confirmed nor being stopped.
fn is_revocable(slot: &Slot) -> bool {
    slot.is_sent() && slot.stopping.is_none()
}
