//! Detection of restarted workers: which incarnation of a worker name is the latest, see
//! [`crate::incarnations`].

use {
    crate::{
        cell::Cell,
        worker::{Entry, Worker},
    },
    std::{ops::Bound, sync::Arc},
};

impl Cell {
    /// Adds a worker that was not known. Returns its entry, with its generation.
    pub(crate) fn add_worker(&mut self, worker: Worker) -> Entry {
        let generation = self.generation(&worker.entry);
        self.add_with_generation(worker, generation)
    }

    /// Adds a worker that a previous owner knew. It gets the generation of the incarnation that the
    /// listing contains, if there is one, since either may be the later one.
    pub(crate) fn add_restored_worker(&mut self, worker: Worker) -> Entry {
        let other = self.latest_incarnation(&worker.entry.name);
        let other = other.map(|worker| worker.entry.generation);
        let generation = self.generation(&worker.entry);
        self.add_with_generation(worker, other.unwrap_or(generation))
    }

    fn add_with_generation(&mut self, mut worker: Worker, generation: u32) -> Entry {
        worker.entry.generation = generation;
        let entry = worker.entry.clone();
        self.crashes.losses.add_worker(&worker);
        self.workers.insert(entry.id.clone(), worker);
        entry
    }

    /// Returns how many incarnations of the name were known before a new one.
    fn generation(&mut self, entry: &Entry) -> u32 {
        if entry.started.is_none() {
            return 0;
        }
        let count = self.generations.entry(entry.name.clone()).or_default();
        *count += 1;
        *count - 1
    }

    /// Returns all known incarnations of a worker name.
    fn incarnations_of(&self, name: &str) -> Vec<&Worker> {
        let mut incarnations = Vec::new();
        let from = (Bound::Included(name), Bound::Unbounded);
        for (id, worker) in self.workers.range::<str, _>(from) {
            // The ids of all incarnations start with the worker's name.
            if !id.starts_with(name) {
                break;
            }
            if &*worker.entry.name == name {
                incarnations.push(worker);
            }
        }
        incarnations
    }

    /// Returns the latest known incarnation of a worker name.
    pub(crate) fn latest_incarnation(&self, name: &str) -> Option<&Worker> {
        let incarnations = self.incarnations_of(name).into_iter();
        incarnations.max_by_key(|worker| worker.entry.order())
    }

    /// True if a later incarnation of this worker is known.
    fn has_successor(&self, entry: &Entry) -> bool {
        let latest = self.latest_incarnation(&entry.name);
        latest.is_some_and(|latest| entry.is_before(&latest.entry))
    }

    /// True for an entry of an unknown incarnation if another incarnation of the worker is polled
    /// at the same address: its polls show which incarnation runs there, while the listing may be
    /// stale. If it were polled as well, an incarnation that has ended would present the fence of a
    /// later one.
    pub(crate) fn is_polled_elsewhere(&self, entry: &Entry) -> bool {
        let mut incarnations = self.incarnations_of(&entry.name).into_iter();
        incarnations.any(|other| {
            other.confirmed && !other.superseded && other.entry.address == entry.address
        })
    }

    /// True if orders that another owner may have sent to this incarnation no longer matter: a
    /// later incarnation is known, which refuses them, or the worker is not known any more.
    pub fn is_superseded(&self, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_none_or(|worker| self.has_successor(&worker.entry))
    }

    /// Removes incarnations that are known from the listing alone and have disappeared from it,
    /// since another writer may have written them.
    pub(crate) fn drop_unconfirmed(&mut self, entry: &Entry, now: u64) {
        let incarnations = self.incarnations_of(&entry.name).into_iter();
        let unconfirmed =
            incarnations.filter(|other| !other.confirmed && other.entry.id != entry.id);
        let unconfirmed: Vec<Arc<str>> = unconfirmed.map(|other| other.entry.id.clone()).collect();
        for id in unconfirmed {
            self.remove_worker(&id, "no longer listed and has never answered", now);
        }
    }

    /// Handles an answer to a poll of one incarnation, sent at `sent`, from another incarnation
    /// that started at `started`. If the latter is the later one, it is polled in place of the
    /// former. Returns its entry if it is new.
    ///
    /// Incarnations do not alternate, so the answering one is later if the polled one had answered
    /// before, be it to a previous owner. For an incarnation that is known from the listing alone,
    /// the start times decide.
    pub fn handle_successor(
        &mut self,
        id: &Arc<str>,
        started: u64,
        sent: u64,
        now: u64,
    ) -> Option<Entry> {
        let former = self.workers.get(id)?;
        let later = former.entry.restarted(started);
        let is_later = match former.clock {
            Some(clock) => clock.at < sent,
            None => former.confirmed || former.entry.started < later.started,
        };
        // Tasks of the former incarnation may only be requeued once the later one has answered a
        // poll of its own.
        self.poll_failed(id, now);
        if !is_later || self.ended_incarnations.contains(&later.id) {
            return None;
        }
        if self.workers.contains_key(&later.id) {
            self.supersede_known(id, &later.id, now);
            return None;
        }
        log::warn!(target: "cell", worker = &*later.id, former = &**id, address = &*later.address; "Worker has restarted under the same name.");
        self.ambiguous.insert(later.name.clone());
        self.fleet_dirty = true;
        self.mark_superseded(id);
        let mut worker = Worker::new(later);
        worker.confirmed = true;
        // Its capacity is unknown until its own entry is listed.
        worker.entry_invalid = true;
        Some(self.add_worker(worker))
    }

    /// Handles a later incarnation that is known already. A new owner may have learned of both at
    /// once and ordered them by start times taken from a clock that was set back; then the order is
    /// the other way round.
    fn supersede_known(&mut self, former: &Arc<str>, later: &str, now: u64) {
        let Some(later) = self.workers.get_mut(later) else {
            return;
        };
        later.confirmed = true;
        let has_answered = later.clock.is_some();
        let later = later.entry.clone();
        let known = self.workers.get(former);
        if known.is_some_and(|known| known.entry.is_before(&later)) {
            self.mark_superseded(former);
        } else if has_answered {
            self.end_incarnation(former, "a later incarnation answers", now);
        }
    }

    /// Marks an incarnation as no longer polled, since a later one is.
    fn mark_superseded(&mut self, id: &Arc<str>) {
        if let Some(former) = self.workers.get_mut(id) {
            former.superseded = true;
        }
    }

    /// True for a known incarnation that is polled and not superseded by a later one.
    pub fn is_polled(&self, id: &str) -> bool {
        self.workers
            .get(id)
            .is_some_and(|worker| !worker.superseded)
    }
}
