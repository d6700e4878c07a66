//! Workers that join and leave. A worker may restart under the same name, so each incarnation has
//! an id of its own, made of the worker's name and its start time.
//!
//! A crashed incarnation may stay listed for some seconds, beside the new incarnation at its
//! address or in place of the one that has its name now. The entry of a live one may be missing for
//! a while or come from another writer. So a listing shows which workers to poll, but never that an
//! incarnation has ended. Proof of that is one of these:
//!
//! - its address answers that a worker of another name runs there;
//! - another worker at its address answers after it did, since incarnations do not alternate;
//! - a later incarnation of the same name answers a poll of its own;
//! - all leases granted to it have expired, which only proves that nothing runs there.
//!
//! A poll of an ended incarnation may be answered by a later one. That shows which one to poll, but
//! not that orders for the former one can no longer be carried out by the later one. Only the
//! answer to its own poll does, since it refuses orders for the former one after that. See
//! [`crate::successor`].

use {
    crate::{
        cell::Cell,
        worker::{Entry, Listing, SealState, Worker},
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// Listings further apart than this have a gap, which means that the store was unavailable, in
/// milliseconds. They are usually 0.7 s apart.
const MAX_LISTING_GAP: u64 = 2_000;

impl Cell {
    /// Processes a complete listing of the workers. Returns the new ones.
    pub fn handle_listing(&mut self, listing: impl Into<Listing>, now: u64) -> Vec<Entry> {
        let listing = listing.into();
        if now > self.last_listing + MAX_LISTING_GAP {
            self.listings_since = now;
        }
        self.mark_capacity_known(now);
        self.last_listing = now;
        self.update_listed(&listing, now);
        let mut added = Vec::new();
        for entry in listing.entries {
            self.drop_unconfirmed(&entry, now);
            if self.workers.contains_key(&entry.id) {
                self.update(entry, now);
                continue;
            }
            if self.ended_incarnations.contains(&entry.id) || self.is_polled_elsewhere(&entry) {
                continue;
            }
            log::info!(target: "cell", worker = &*entry.id, address = &*entry.address, rack = entry.rack(), cpu = entry.size.cpu; "New worker.");
            added.push(self.add_worker(Worker::new(entry)));
            self.fleet_dirty = true;
        }
        self.find_ambiguous();
        self.record_pools(now);
        self.drain(now);
        added
    }

    /// Updates which of the known workers are listed, and drops ended incarnations that are no
    /// longer listed, since these do not return.
    fn update_listed(&mut self, listing: &Listing, now: u64) {
        let readable = listing.entries.iter();
        let names: HashMap<&Arc<str>, Option<&Arc<str>>> = readable
            .map(|entry| (&entry.name, Some(&entry.id)))
            .chain(listing.unreadable.iter().map(|name| (name, None)))
            .collect();
        let ids: HashSet<&Arc<str>> = names.values().flatten().copied().collect();
        self.ended_incarnations
            .retain(|id| ids.contains(id) || names.contains_key(id));
        for (id, worker) in &mut self.workers {
            let entry = names.get(&worker.entry.name);
            let is_listed = entry.is_some();
            if is_listed {
                worker.unlisted_since = None;
            } else if worker.unlisted_since.is_none() {
                worker.unlisted_since = Some(now);
            }
            let is_invalid = entry.is_some_and(|listed| *listed != Some(id));
            if worker.entry_invalid != is_invalid {
                log::warn!(target: "cell", worker = &**id, garbled = is_invalid; "Validity of a worker's listing entry changed.");
                worker.changed = true;
            }
            worker.entry_invalid = is_invalid;
            if worker.listed != is_listed {
                log::info!(target: "cell", worker = &**id, listed = is_listed; "Presence of a worker in the listing changed.");
            }
            worker.listed = is_listed;
        }
    }

    /// Adds workers that a previous owner knew and that are not listed. Returns the new ones; the
    /// address of one may be listed for another incarnation.
    pub fn restore_workers(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut added = Vec::new();
        for entry in entries {
            if let Some(known) = self.workers.get_mut(&entry.id) {
                // An entry of another writer may be listed.
                known.traits_unclear = !known.entry.has_same_traits(&entry);
                known.confirmed = true;
                self.mark_recorded(&entry.id);
                continue;
            }
            let mut worker = Worker::new(entry);
            worker.listed = false;
            worker.recorded = true;
            worker.confirmed = true;
            added.push(self.add_restored_worker(worker));
        }
        self.find_ambiguous();
        added
    }

    /// Collects the names and addresses with more than one incarnation, so that reports of all
    /// other workers need no check for predecessors.
    fn find_ambiguous(&mut self) {
        self.ambiguous.clear();
        let mut seen = HashSet::with_capacity(2 * self.workers.len());
        for worker in self.workers.values() {
            for key in [&worker.entry.name, &worker.entry.address] {
                if !seen.insert(key.clone()) {
                    self.ambiguous.insert(key.clone());
                }
            }
        }
    }

    /// Ends the predecessors of this incarnation: earlier ones of its name, and others at its
    /// address if it answered a poll that was sent after their last answer.
    pub(crate) fn end_predecessors(&mut self, id: &Arc<str>, sent: u64, now: u64) {
        let Some(current) = self.workers.get(id).map(|worker| &worker.entry) else {
            return;
        };
        if !self.ambiguous.contains(&current.address) && !self.ambiguous.contains(&current.name) {
            return;
        }
        let mut predecessors = Vec::new();
        for (other, worker) in &self.workers {
            let entry = &worker.entry;
            let is_predecessor = if entry.name == current.name {
                entry.is_before(current)
            } else {
                entry.address == current.address
                    && worker.clock.is_some_and(|clock| clock.at < sent)
            };
            if is_predecessor {
                predecessors.push(other.clone());
            }
        }
        for other in predecessors {
            self.end_incarnation(&other, "a later incarnation answers", now);
        }
    }

    /// Handles proof that an incarnation has ended: its entry is ignored from then on, however long
    /// it stays listed.
    pub fn end_incarnation(&mut self, id: &Arc<str>, cause: &str, now: u64) {
        self.record_crash(id, now);
        self.remove_worker(id, cause, now);
        self.ended_incarnations.insert(id.clone());
    }

    /// Removes a worker and requeues its tasks.
    pub(crate) fn remove_worker(&mut self, id: &Arc<str>, cause: &str, now: u64) {
        self.log_lost_worker(id, cause, now);
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        self.crashes.losses.remove_worker(&worker);
        self.record_unheard(&worker);
        log::warn!(target: "cell", worker = &**id, address = &*worker.entry.address, cause, tasks = worker.slots.len(), listed = worker.listed; "Worker removed.");
        self.fleet_dirty = true;
        self.seals_due |= worker.seal != SealState::Open;
        self.removed.push(id.clone());
        self.mark_fenced(id);
        self.mark_reported(id);
        for key in worker.slots.keys() {
            self.requeue_from(id, key);
        }
    }

    /// Returns the workers removed since the last call; connections to them can be closed.
    pub fn take_removed(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.removed)
    }

    /// True if the worker is known.
    pub fn has_worker(&self, id: &str) -> bool {
        self.workers.contains_key(id)
    }
}
