//! Workers that come and go. Each life of a worker has a name of its own.
//!
//! A life that crashed stays listed for some seconds, beside the new life at its address; and the entry of
//! one that lives may be missing for a while. So a listing tells whom to ask, and never that a life is
//! over. What proves it:
//!
//! - its address answers that another life is there;
//! - another life at its address answers after it did, since lives do not take turns;
//! - all leases that it was granted are over, which proves just that nothing runs there.

use {
    crate::{
        cell::Cell,
        worker::{Entry, Listing, Worker},
    },
    std::{collections::HashSet, sync::Arc},
};

/// Listings further apart than this, in milliseconds, have a gap: the store was away. They are
/// 0.7 s apart.
const LIST_LATE: u64 = 2_000;

impl Cell {
    /// Takes in the whole listing of workers. Returns those that are new.
    pub fn list(&mut self, listing: impl Into<Listing>, now: u64) -> Vec<Entry> {
        let listing = listing.into();
        if now > self.listed + LIST_LATE {
            self.steady = now;
        }
        self.regain(now);
        self.listed = now;
        self.note_listed(&listing, now);
        let mut added = Vec::new();
        for entry in listing.entries {
            if self.over.contains(&entry.id) {
                continue;
            }
            if self.workers.contains_key(&entry.id) {
                self.update(entry, now);
                continue;
            }
            log::info!(target: "cell", worker = &*entry.id, address = &*entry.address, rack = entry.rack(), cpu = entry.size.cpu; "A worker is new.");
            let worker = Worker::new(entry.clone());
            self.crashes.losses.join(&worker);
            self.workers.insert(entry.id.clone(), worker);
            self.fleet_dirty = true;
            added.push(entry);
        }
        self.note_shared();
        self.drain(now);
        added
    }

    /// Notes which of the known workers are listed, and forgets lives that are over and listed no
    /// more: they do not come back.
    fn note_listed(&mut self, listing: &Listing, now: u64) {
        let readable = listing.entries.iter().map(|entry| &entry.id);
        let ids: HashSet<Arc<str>> = readable.chain(&listing.unreadable).cloned().collect();
        let garbled: HashSet<&Arc<str>> = listing.unreadable.iter().collect();
        self.over.retain(|id| ids.contains(id));
        for (id, worker) in &mut self.workers {
            let is_listed = ids.contains(id);
            if is_listed {
                worker.vanished = None;
            } else if worker.vanished.is_none() {
                worker.vanished = Some(now);
            }
            let is_garbled = garbled.contains(id);
            if worker.garbled != is_garbled {
                log::warn!(target: "cell", worker = &**id, garbled = is_garbled; "Whether the entry of a worker can be read has changed.");
                worker.changed = true;
            }
            worker.garbled = is_garbled;
            if worker.listed != is_listed {
                log::info!(target: "cell", worker = &**id, listed = is_listed; "The listing of a worker has changed.");
            }
            worker.listed = is_listed;
        }
    }

    /// Takes over workers that a former owner knew and that are not listed now. Returns those that are
    /// new; the address of one may be listed for another life.
    pub fn inherit(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut added = Vec::new();
        for entry in entries {
            if self.workers.contains_key(&entry.id) {
                self.record(&entry.id);
                continue;
            }
            let mut worker = Worker::new(entry.clone());
            worker.listed = false;
            worker.recorded = true;
            self.crashes.losses.join(&worker);
            self.workers.insert(entry.id.clone(), worker);
            added.push(entry);
        }
        self.note_shared();
        added
    }

    /// Notes the addresses of more than one life, so that reports of all others need no look at them.
    fn note_shared(&mut self) {
        self.shared.clear();
        let mut seen = HashSet::with_capacity(self.workers.len());
        for worker in self.workers.values() {
            let address = &worker.entry.address;
            if !seen.insert(address.clone()) {
                self.shared.insert(address.clone());
            }
        }
    }

    /// Ends the lives that this one has followed at its address: it answered a poll that was sent
    /// after they had last answered.
    pub(crate) fn outlive(&mut self, id: &Arc<str>, sent: u64, now: u64) {
        let Some(address) = self.workers.get(id).map(|own| own.entry.address.clone()) else {
            return;
        };
        if !self.shared.contains(&address) {
            return;
        }
        let mut former = Vec::new();
        for (other, worker) in &self.workers {
            let is_former = worker.clock.is_some_and(|clock| clock.at < sent);
            if other == id || worker.entry.address != address || !is_former {
                continue;
            }
            former.push(other.clone());
        }
        for other in former {
            self.end_life(&other, "a new life answers at its address", now);
        }
    }

    /// Takes in proof that a life is over: its entry counts no more, however long it stays listed.
    pub fn end_life(&mut self, id: &Arc<str>, cause: &str, now: u64) {
        self.suspect_crashed(id, now);
        self.lose(id, cause, now);
        self.over.insert(id.clone());
    }

    /// Forgets a worker, and frees all that it had.
    pub(crate) fn lose(&mut self, id: &Arc<str>, cause: &str, now: u64) {
        self.tell_lost(id, cause, now);
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        self.crashes.losses.leave(&worker);
        log::warn!(target: "cell", worker = &**id, address = &*worker.entry.address, cause, tasks = worker.slots.len(), listed = worker.listed; "A worker is gone.");
        self.fleet_dirty = true;
        self.gone.push(id.clone());
        self.fenced(id);
        self.heard(id);
        for key in worker.slots.keys() {
            self.free_from(id, key);
        }
    }

    /// The workers that were forgotten since the last call: nobody needs to talk to them any more.
    pub fn take_gone(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.gone)
    }

    /// True when the worker is still known.
    pub fn knows(&self, id: &str) -> bool {
        self.workers.contains_key(id)
    }
}
