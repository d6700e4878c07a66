//! Lives of workers that start again under the name that they had, see [`crate::lives`].

use {
    crate::{
        cell::Cell,
        worker::{Entry, Worker},
    },
    std::{ops::Bound, sync::Arc},
};

/// What another life's answer to a poll means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Followed {
    /// Nothing: it is none that began later.
    Not,
    /// The life that was asked is over. The later one is known already.
    Known,
    /// The same, and this is the later one.
    New(Entry),
}

impl Cell {
    /// The same for one that a former owner knew. It shows no higher fence than a life that the listing has told of: either may
    /// be the later one.
    pub(crate) fn join_beside(&mut self, worker: Worker) -> Entry {
        let other = self
            .latest(&worker.entry.name)
            .map(|own| own.entry.generation);
        let mut entry = self.join(worker);
        if let Some(generation) = other
            && let Some(own) = self.workers.get_mut(&entry.id)
        {
            own.entry.generation = generation;
            entry.generation = generation;
        }
        entry
    }

    /// How many lives of its name were known before a life that is new here.
    pub(crate) fn generation(&mut self, entry: &Entry) -> u32 {
        if entry.born.is_none() {
            return 0;
        }
        let count = self.generations.entry(entry.name.clone()).or_default();
        *count += 1;
        *count - 1
    }

    /// All known lives of the worker of a name.
    fn lives_of(&self, name: &str) -> Vec<&Worker> {
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
    pub(crate) fn latest(&self, name: &str) -> Option<&Worker> {
        let lives = self.lives_of(name).into_iter();
        lives.max_by_key(|worker| worker.entry.order())
    }

    /// True when a later life of this worker is known.
    fn is_followed(&self, entry: &Entry) -> bool {
        let latest = self.latest(&entry.name);
        latest.is_some_and(|latest| entry.is_before(&latest.entry))
    }

    /// True for an entry of a life that is not known where polls of another life of the worker go to its address: they tell who
    /// is there, and the listing may be behind. Polled beside that one, a life that is over would show the fence of a later one.
    pub(crate) fn is_answered_for(&self, entry: &Entry) -> bool {
        let mut lives = self.lives_of(&entry.name).into_iter();
        lives.any(|own| own.proven && !own.followed && own.entry.address == entry.address)
    }

    /// True when what another owner may have told a worker is no news of this life of it: a later one is known, which
    /// refuses what is meant for this one, or it is not known any more.
    pub fn is_past(&self, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_none_or(|worker| self.is_followed(&worker.entry))
    }

    /// Forgets lives of which only the listing told, and tells no longer: another writer may have made them up.
    pub(crate) fn drop_unproven(&mut self, entry: &Entry, now: u64) {
        let lives = self.lives_of(&entry.name).into_iter();
        let unproven = lives.filter(|own| !own.proven && own.entry.id != entry.id);
        let unproven: Vec<Arc<str>> = unproven.map(|own| own.entry.id.clone()).collect();
        for id in unproven {
            self.lose(&id, "it is listed no longer and has never answered", now);
        }
    }

    /// Takes in that a poll of one life of a worker, which was sent at a time, was answered by another one, which began then:
    /// where that is the later one, it is polled from now on in place of the former.
    ///
    /// Lives do not take turns, so it is later where the one that was asked had answered before, be it to a former owner. Of a
    /// life that only the listing told of, the time of its beginning tells.
    pub fn follow(&mut self, id: &Arc<str>, born: u64, sent: u64, now: u64) -> Followed {
        let Some(former) = self.workers.get(id) else {
            return Followed::Known;
        };
        let entry = former.entry.reborn(born);
        let is_later = match former.clock {
            Some(clock) => clock.at < sent,
            None => former.proven || former.entry.born < entry.born,
        };
        let former = former.entry.clone();
        // What the former life has may only be given up once the later one has answered to a poll of its own.
        self.unheard(id, now);
        if !is_later {
            return Followed::Not;
        }
        if let Some(known) = self.workers.get_mut(&entry.id) {
            known.proven = true;
            return self.follow_known(&former, &entry.id, now);
        }
        if self.over.contains(&entry.id) {
            return Followed::Not;
        }
        log::warn!(target: "cell", worker = &*entry.id, former = &**id, address = &*entry.address; "A worker has started again under its name.");
        let mut worker = Worker::new(entry.clone());
        worker.proven = true;
        // What it has, its own entry must tell.
        worker.garbled = true;
        self.shared.insert(entry.name.clone());
        self.fleet_dirty = true;
        self.leave_to_next(&former.id);
        Followed::New(self.join(worker))
    }

    /// The later life is known. A new owner met both at once, and went by what a clock had told that had stepped back since,
    /// where it takes them for the other way round.
    fn follow_known(&mut self, former: &Entry, later: &str, now: u64) -> Followed {
        let Some(later) = self.workers.get(later) else {
            return Followed::Known;
        };
        if former.is_before(&later.entry) {
            self.leave_to_next(&former.id);
            return Followed::Known;
        }
        if later.clock.is_none() {
            return Followed::Not;
        }
        self.end_life(&former.id, "a later life answers", now);
        Followed::Known
    }

    /// Notes that a life is polled no more, since a later one is.
    fn leave_to_next(&mut self, id: &Arc<str>) {
        if let Some(former) = self.workers.get_mut(id) {
            former.followed = true;
        }
    }
}
