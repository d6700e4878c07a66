//! Room of workers, which may shrink and grow while tasks run there.
//!
//! What runs is left alone where less room is left than it takes: nothing asks for its end, which would cost its work, and
//! what comes to an end there is not replaced. Workers that guard their room refuse what does not fit. The others start
//! whatever they are told; for them all is counted that may be there, and no start leaves for room that is gone.

use {
    crate::{
        cell::Cell,
        slot::{Slot, Stage},
        worker::{Entry, TaskKey, Worker},
    },
    job::spec::Size,
    std::{collections::HashSet, sync::Arc},
};

/// How long a listing tells the room of workers that do not guard it, in milliseconds. A worker tells within a heartbeat
/// (1.1 s) that its room has shrunk, and starts are held to that from 3 to 5 s after it. Listings are 0.7 to 1.6 s apart;
/// one that is older than this shows that the store is away.
const TOLD_FOR: u64 = 3_000;

impl Cell {
    /// Names the pools whose workers start whatever they are told.
    pub fn set_overcommitting(&mut self, pools: HashSet<Arc<str>>) {
        self.overcommitting = pools;
    }

    /// True for a worker that starts whatever it is told.
    pub(crate) fn is_unguarded(&self, worker: &Worker) -> bool {
        !self.overcommitting.is_empty() && self.overcommitting.contains(&worker.entry.pool)
    }

    /// True when it is known lately enough how much room a worker has.
    pub(crate) fn is_room_known(&self, worker: &Worker, now: u64) -> bool {
        now <= self.last_listing + TOLD_FOR || !self.is_unguarded(worker)
    }

    /// Has work look at the workers again whose room was not known for a while, and now is.
    pub(crate) fn regain(&mut self, now: u64) {
        if self.overcommitting.is_empty() || now <= self.last_listing + TOLD_FOR {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.changed |= self.overcommitting.contains(&worker.entry.pool);
        }
    }

    /// Takes in what a known worker tells of itself.
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
            log::info!(target: "cell", worker = &*id, leaving = entry.leaving, remaining:? = entry.remaining; "A worker changes its state.");
        }
        let (before, size) = (worker.entry.size, entry.size);
        worker.changed |= worker.entry != entry;
        if worker.entry.rack() != entry.rack() {
            self.crashes.losses.invalidate();
        }
        worker.entry = entry;
        if before == size {
            return;
        }
        log::info!(target: "cell", worker = &*id, cpu = size.cpu, memory = size.memory, gpus = size.gpus, before = before.cpu, taken = worker.reserved.cpu; "The room of a worker has changed.");
        let is_less = !before.fits(size);
        if is_less
            && self
                .workers
                .get(&id)
                .is_some_and(|own| self.is_unguarded(own))
        {
            self.take_back(&id, now);
        }
    }

    /// Takes starts back that are not confirmed and do not fit any more, the latest first.
    fn take_back(&mut self, id: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut sent: Vec<(u64, TaskKey, Size)> = worker
            .slots
            .iter()
            .filter_map(|(key, slot)| Some((revocable(slot)?, key.clone(), slot.reserved())))
            .collect();
        sent.sort_by(|one, other| (one.0, &one.1).cmp(&(other.0, &other.1)));
        let (room, mut taken) = (worker.entry.size, worker.reserved);
        while !taken.fits(room)
            && let Some((_, key, size)) = sent.pop()
        {
            log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id; "A start is taken back: its worker has less room.");
            taken = taken.minus(size);
            self.stop(id, &key, now);
        }
    }
}

/// The deadline of a start that is not confirmed and was not stopped yet.
fn revocable(slot: &Slot) -> Option<u64> {
    match slot.stage {
        Stage::Sent { deadline } if slot.stopping.is_none() => Some(deadline),
        _ => None,
    }
}
