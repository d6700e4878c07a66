//! Losses by cell, rack and job, so that those which met a silence can be counted without a look at each.

use {
    super::{lost::Loss, silence::Silences},
    crate::worker::Worker,
    job::Id,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Workers of a rack or a cell.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// How many there are, those that were given up a short while ago among them.
    pub all: usize,
    /// The silences of those that were lost.
    pub lost: Silences,
    /// The silences of those on which a task of a job had just started.
    pub jobs: HashMap<Id, Silences>,
}

impl Group {
    fn add(&mut self, loss: &Loss) {
        self.lost.add(loss.silence);
        for job in &loss.jobs {
            let silences = self.jobs.entry(job.clone()).or_default();
            silences.add(loss.silence);
        }
    }

    fn remove(&mut self, loss: &Loss) {
        self.lost.remove(loss.silence);
        for job in &loss.jobs {
            let Some(silences) = self.jobs.get_mut(job) else {
                continue;
            };
            silences.remove(loss.silence);
            if silences.is_empty() {
                self.jobs.remove(job);
            }
        }
    }
}

/// All workers, those that cannot be reached, and those that were given up a short while ago.
///
/// It guards against the square of the number of lost workers: each that was given up had all others looked at and
/// compared anew. Of 3,000 workers with 8 runs each 2,600 were lost together: the pass that gave them up took 3.5 to 5.2 s,
/// and takes 0.03 to 0.06 s; proof, one by one, that their lives were over took 3.3 s in all, and takes 0.03 to 0.05 s. It was
/// taken by the wall clock, in a release build on a machine that others used. An owner's lease is over after 2 s.
#[derive(Debug, Default)]
pub(super) struct Index {
    pub cell: Group,
    racks: HashMap<Arc<str>, Group>,
    /// Workers that cannot be reached and were not given up yet.
    unreached: HashMap<Arc<str>, Loss>,
}

impl Index {
    /// Looks through all workers, and those that were given up.
    pub fn of(workers: &BTreeMap<Arc<str>, Worker>, recent: &HashMap<Arc<str>, Loss>) -> Self {
        let mut index = Index::default();
        for (id, worker) in workers {
            index.count(worker.entry.rack());
            if !recent.contains_key(id) {
                index.miss(worker);
            }
        }
        for (id, loss) in recent {
            index.add(loss);
            if !workers.contains_key(id) {
                index.count(&loss.rack);
            }
        }
        index
    }

    /// The workers of a rack.
    pub fn rack(&self, rack: &str) -> Option<&Group> {
        self.racks.get(rack)
    }

    /// What is known of a worker that cannot be reached.
    pub fn unreached(&self, id: &str) -> Option<&Loss> {
        self.unreached.get(id)
    }

    /// Counts a worker, be it lost or not.
    pub fn count(&mut self, rack: &str) {
        self.cell.all += 1;
        self.group(rack).all += 1;
    }

    /// Counts a worker no more.
    pub fn discount(&mut self, rack: &str) {
        self.cell.all -= 1;
        self.group(rack).all -= 1;
    }

    /// Adds a loss.
    pub fn add(&mut self, loss: &Loss) {
        self.cell.add(loss);
        self.group(&loss.rack).add(loss);
    }

    /// Adds a worker if it cannot be reached.
    pub fn miss(&mut self, worker: &Worker) {
        let (Some(since), Some(_)) = (worker.unreachable_since, worker.clock) else {
            return;
        };
        let loss = Loss::of(worker, since);
        self.add(&loss);
        self.unreached.insert(loss.id.clone(), loss);
    }

    /// Takes a worker out that could not be reached.
    pub fn reach(&mut self, id: &str) {
        if let Some(loss) = self.unreached.remove(id) {
            self.cell.remove(&loss);
            self.group(&loss.rack).remove(&loss);
        }
    }

    fn group(&mut self, rack: &str) -> &mut Group {
        self.racks.entry(rack.into()).or_default()
    }
}
