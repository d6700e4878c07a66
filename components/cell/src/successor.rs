//! Lives of workers that start again under the name that they had, see [`crate::incarnations`].

use {
    crate::{
        cell::Cell,
        worker::{Entry, Worker},
    },
    std::{ops::Bound, sync::Arc},
};

impl Cell {
    /// Takes a worker in that was not known. Returns its entry, with its generation.
    pub(crate) fn add_worker(&mut self, worker: Worker) -> Entry {
        let generation = self.generation(&worker.entry);
        self.add_with_generation(worker, generation)
    }

    /// The same for one that a former owner knew. It shows no higher fence than a life that the listing has told of: either may
    /// be the later one.
    pub(crate) fn add_restored_worker(&mut self, worker: Worker) -> Entry {
        let other = self.latest_incarnation(&worker.entry.name);
        let other = other.map(|own| own.entry.generation);
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

    /// How many lives of its name were known before a life that is new here.
    fn generation(&mut self, entry: &Entry) -> u32 {
        if entry.started.is_none() {
            return 0;
        }
        let count = self.generations.entry(entry.name.clone()).or_default();
        *count += 1;
        *count - 1
    }

    /// All known lives of the worker of a name.
    fn incarnations_of(&self, name: &str) -> Vec<&Worker> {
        let mut lives = Vec::new();
        let from = (Bound::Included(name), Bound::Unbounded);
        for (id, worker) in self.workers.range::<str, _>(from) {
            // The names of all of its lives begin with it.
            if !id.starts_with(name) {
                break;
            }
            if &*worker.entry.name == name {
                lives.push(worker);
            }
        }
        lives
    }

    /// The latest known life of the worker of a name.
    pub(crate) fn latest_incarnation(&self, name: &str) -> Option<&Worker> {
        let lives = self.incarnations_of(name).into_iter();
        lives.max_by_key(|worker| worker.entry.order())
    }

    /// True when a later life of this worker is known.
    fn is_followed(&self, entry: &Entry) -> bool {
        let latest = self.latest_incarnation(&entry.name);
        latest.is_some_and(|latest| entry.is_before(&latest.entry))
    }

    /// True for an entry of a life that is not known where polls of another life of the worker go to its address: they tell who
    /// is there, and the listing may be behind. Polled beside that one, a life that is over would show the fence of a later one.
    pub(crate) fn is_polled_elsewhere(&self, entry: &Entry) -> bool {
        let mut lives = self.incarnations_of(&entry.name).into_iter();
        lives.any(|own| own.confirmed && !own.superseded && own.entry.address == entry.address)
    }

    /// True when what another owner may have told a worker is no news of this life of it: a later one is known, which
    /// refuses what is meant for this one, or it is not known any more.
    pub fn is_superseded(&self, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_none_or(|worker| self.is_followed(&worker.entry))
    }

    /// Forgets lives of which only the listing told, and tells no longer: another writer may have made them up.
    pub(crate) fn drop_unconfirmed(&mut self, entry: &Entry, now: u64) {
        let lives = self.incarnations_of(&entry.name).into_iter();
        let unproven = lives.filter(|own| !own.confirmed && own.entry.id != entry.id);
        let unproven: Vec<Arc<str>> = unproven.map(|own| own.entry.id.clone()).collect();
        for id in unproven {
            self.remove_worker(&id, "it is listed no longer and has never answered", now);
        }
    }

    /// Takes in that a poll of one life of a worker, which was sent at a time, was answered by another one, which began then:
    /// where that is the later one, it is polled from now on in place of the former. Returns it where it is new.
    ///
    /// Lives do not take turns, so it is later where the one that was asked had answered before, be it to a former owner. Of a
    /// life that only the listing told of, the time of its beginning tells.
    pub fn handle_successor(
        &mut self,
        id: &Arc<str>,
        born: u64,
        sent: u64,
        now: u64,
    ) -> Option<Entry> {
        let former = self.workers.get(id)?;
        let later = former.entry.restarted(born);
        let is_later = match former.clock {
            Some(clock) => clock.at < sent,
            None => former.confirmed || former.entry.started < later.started,
        };
        // What the former life has may only be given up once the later one has answered to a poll of its own.
        self.poll_failed(id, now);
        if !is_later || self.ended_incarnations.contains(&later.id) {
            return None;
        }
        if self.workers.contains_key(&later.id) {
            self.supersede_known(id, &later.id, now);
            return None;
        }
        log::warn!(target: "cell", worker = &*later.id, former = &**id, address = &*later.address; "A worker has started again under its name.");
        self.ambiguous.insert(later.name.clone());
        self.fleet_dirty = true;
        self.mark_superseded(id);
        let mut worker = Worker::new(later);
        worker.confirmed = true;
        // What it has, its own entry must tell.
        worker.entry_invalid = true;
        Some(self.add_worker(worker))
    }

    /// The later life is known. A new owner met both at once, and went by what a clock had told that had stepped back since,
    /// where it takes them for the other way round.
    fn supersede_known(&mut self, former: &Arc<str>, later: &str, now: u64) {
        let Some(later) = self.workers.get_mut(later) else {
            return;
        };
        later.confirmed = true;
        let is_heard = later.clock.is_some();
        let later = later.entry.clone();
        let known = self.workers.get(former);
        if known.is_some_and(|known| known.entry.is_before(&later)) {
            self.mark_superseded(former);
        } else if is_heard {
            self.end_incarnation(former, "a later life answers", now);
        }
    }

    /// Notes that a life is polled no more, since a later one is.
    fn mark_superseded(&mut self, id: &Arc<str>) {
        if let Some(former) = self.workers.get_mut(id) {
            former.superseded = true;
        }
    }

    /// True for a life that is known and is polled itself: no later one is in its place.
    pub fn is_polled(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(|own| !own.superseded)
    }
}
