//! Workers that come and go. Each life of a worker has a name of its own: that of the worker, and when it began, since a
//! worker may start again under the name that it had.
//!
//! A life that crashed may stay listed for some seconds, beside the new life at its address or in place of the one that has
//! its name; and the entry of one that lives may be missing for a while, or come from another writer. So a listing tells
//! whom to ask, and never that a life is over. What proves it:
//!
//! - its address answers that a worker of another name is there;
//! - another worker at its address answers after it did, since lives do not take turns;
//! - a later life of the same name answers to a poll of its own;
//! - all leases that it was granted are over, which proves just that nothing runs there.
//!
//! A poll of a life that is over may be answered by the later one. That tells whom to poll, and not yet that what was meant
//! for the former life is not begun by the later one: only the answer to its own poll does, since it takes nothing meant for
//! the former life after that. See [`crate::successor`].

use {
    crate::{
        cell::Cell,
        worker::{Entry, Listing, Worker},
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// Listings further apart than this, in milliseconds, have a gap: the store was away. They are
/// 0.7 s apart.
const LIST_LATE: u64 = 2_000;

impl Cell {
    /// Takes in the whole listing of workers. Returns those that are new.
    pub fn handle_listing(&mut self, listing: impl Into<Listing>, now: u64) -> Vec<Entry> {
        let listing = listing.into();
        if now > self.last_listing + LIST_LATE {
            self.listings_since = now;
        }
        self.regain(now);
        self.last_listing = now;
        self.note_listed(&listing, now);
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
            log::info!(target: "cell", worker = &*entry.id, address = &*entry.address, rack = entry.rack(), cpu = entry.size.cpu; "A worker is new.");
            added.push(self.add_worker(Worker::new(entry)));
            self.fleet_dirty = true;
        }
        self.find_ambiguous();
        self.drain(now);
        added
    }

    /// Notes which of the known workers are listed, and forgets lives that are over and listed no
    /// more: they do not come back.
    fn note_listed(&mut self, listing: &Listing, now: u64) {
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
            let is_garbled = entry.is_some_and(|own| *own != Some(id));
            if worker.entry_invalid != is_garbled {
                log::warn!(target: "cell", worker = &**id, garbled = is_garbled; "Whether the entry of a worker is its own and can be read has changed.");
                worker.changed = true;
            }
            worker.entry_invalid = is_garbled;
            if worker.listed != is_listed {
                log::info!(target: "cell", worker = &**id, listed = is_listed; "The listing of a worker has changed.");
            }
            worker.listed = is_listed;
        }
    }

    /// Takes over workers that a former owner knew and that are not listed now. Returns those that are
    /// new; the address of one may be listed for another life.
    pub fn restore_workers(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut added = Vec::new();
        for entry in entries {
            if self.workers.contains_key(&entry.id) {
                self.record(&entry.id);
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

    /// Notes the names and addresses of more than one life, so that reports of all others need no look at them.
    fn find_ambiguous(&mut self) {
        self.ambiguous.clear();
        let mut seen = HashSet::with_capacity(2 * self.workers.len());
        for worker in self.workers.values() {
            for own in [&worker.entry.name, &worker.entry.address] {
                if !seen.insert(own.clone()) {
                    self.ambiguous.insert(own.clone());
                }
            }
        }
    }

    /// Ends the lives that this one has followed: earlier ones of its name, and others at its address where it answered a
    /// poll that was sent after they had last answered.
    pub(crate) fn end_predecessors(&mut self, id: &Arc<str>, sent: u64, now: u64) {
        let Some(own) = self.workers.get(id).map(|own| &own.entry) else {
            return;
        };
        if !self.ambiguous.contains(&own.address) && !self.ambiguous.contains(&own.name) {
            return;
        }
        let mut former = Vec::new();
        for (other, worker) in &self.workers {
            let entry = &worker.entry;
            let is_former = if entry.name == own.name {
                entry.is_before(own)
            } else {
                entry.address == own.address && worker.clock.is_some_and(|clock| clock.at < sent)
            };
            if is_former {
                former.push(other.clone());
            }
        }
        for other in former {
            self.end_incarnation(&other, "a later life answers", now);
        }
    }

    /// Takes in proof that a life is over: its entry counts no more, however long it stays listed.
    pub fn end_incarnation(&mut self, id: &Arc<str>, cause: &str, now: u64) {
        self.record_crash(id, now);
        self.remove_worker(id, cause, now);
        self.ended_incarnations.insert(id.clone());
    }

    /// Forgets a worker, and frees all that it had.
    pub(crate) fn remove_worker(&mut self, id: &Arc<str>, cause: &str, now: u64) {
        self.log_lost_worker(id, cause, now);
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        self.crashes.losses.remove_worker(&worker);
        log::warn!(target: "cell", worker = &**id, address = &*worker.entry.address, cause, tasks = worker.slots.len(), listed = worker.listed; "A worker is gone.");
        self.fleet_dirty = true;
        self.removed.push(id.clone());
        self.mark_fenced(id);
        self.mark_reported(id);
        for key in worker.slots.keys() {
            self.requeue_from(id, key);
        }
    }

    /// The workers that were forgotten since the last call: nobody needs to talk to them any more.
    pub fn take_removed(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.removed)
    }

    /// True when the worker is still known.
    pub fn has_worker(&self, id: &str) -> bool {
        self.workers.contains_key(id)
    }
}
