//! The workers that a new owner has not heard from, and the tasks that may run there.

use {
    job::Id,
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        sync::Arc,
    },
};

/// A task, by its job and its place in the job.
type TaskName = (Id, usize);

/// What a task may be running on, as far as its job tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A former owner may have started tasks of the job.
    Former,
    /// The job was accepted by a box that knew the fence of this owner. A former owner starts
    /// nothing of such a job.
    Current,
}

/// A task that is ready to start.
#[derive(Debug, Clone, Copy)]
pub struct Task<'a> {
    /// Its job.
    pub job: &'a Id,
    /// Its place in the job.
    pub place: usize,
    /// The pool whose workers run it.
    pub pool: &'a str,
    /// The label that its worker must have.
    pub label: Option<&'a str>,
    /// Several copies of it may run at the same time.
    pub copies: bool,
    /// The origin of its job.
    pub origin: Origin,
}

/// Whether a task may start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It may start on any worker that has accepted the fence of this owner.
    Start,
    /// It waits for this worker, among others, to report its runs.
    Wait(Arc<str>),
}

/// The open workers of a pool, in total and by label.
#[derive(Debug, Clone, Default)]
struct Pool {
    all: BTreeSet<Arc<str>>,
    labelled: HashMap<Arc<str>, BTreeSet<Arc<str>>>,
}

/// The pool and the labels of an open worker.
#[derive(Debug, Clone)]
struct Traits {
    pool: Arc<str>,
    labels: Vec<Arc<str>>,
}

/// The workers that have not reported their runs to a new owner.
#[derive(Debug, Clone, Default)]
pub struct Unheard {
    /// Workers on which any suitable task may run.
    open: HashMap<Arc<str>, Traits>,
    /// The same workers by pool.
    pools: HashMap<Arc<str>, Pool>,
    /// Workers on which any task may run, since their pool or labels are not known for certain.
    unclear: BTreeSet<Arc<str>>,
    /// Sealed workers: only the listed tasks may run there, since the last owner has recorded them
    /// and started nothing there after that.
    sealed: HashMap<Arc<str>, HashSet<TaskName>>,
    /// The sealed workers of each listed task, by job and place.
    holders: HashMap<Id, HashMap<usize, BTreeSet<Arc<str>>>>,
}

impl Unheard {
    /// Adds a worker on which any suitable task may run.
    pub fn add_open(&mut self, worker: Arc<str>, pool: Arc<str>, labels: Vec<Arc<str>>) {
        let of_pool = self.pools.entry(pool.clone()).or_default();
        of_pool.all.insert(worker.clone());
        for label in &labels {
            let labelled = of_pool.labelled.entry(label.clone()).or_default();
            labelled.insert(worker.clone());
        }
        self.open.insert(worker, Traits { pool, labels });
    }

    /// Adds a worker on which any task may run.
    pub fn add_unclear(&mut self, worker: Arc<str>) {
        self.unclear.insert(worker);
    }

    /// Adds a sealed worker, on which only these tasks may run.
    pub fn add_sealed(&mut self, worker: Arc<str>, tasks: HashSet<TaskName>) {
        for (job, place) in &tasks {
            let of_job = self.holders.entry(job.clone()).or_default();
            of_job.entry(*place).or_default().insert(worker.clone());
        }
        self.sealed.insert(worker, tasks);
    }

    /// Removes a worker, which has reported its runs or has provably ended.
    pub fn remove(&mut self, worker: &str) {
        self.unclear.remove(worker);
        self.remove_open(worker);
        self.remove_sealed(worker);
    }

    fn remove_open(&mut self, worker: &str) {
        let Some(Traits { pool, labels }) = self.open.remove(worker) else {
            return;
        };
        let Some(of_pool) = self.pools.get_mut(&pool) else {
            return;
        };
        of_pool.all.remove(worker);
        for label in &labels {
            if let Some(labelled) = of_pool.labelled.get_mut(label) {
                labelled.remove(worker);
            }
        }
    }

    fn remove_sealed(&mut self, worker: &str) {
        for (job, place) in self.sealed.remove(worker).into_iter().flatten() {
            let Some(of_job) = self.holders.get_mut(&job) else {
                continue;
            };
            if let Some(holders) = of_job.get_mut(&place) {
                holders.remove(worker);
                if holders.is_empty() {
                    of_job.remove(&place);
                }
            }
            if of_job.is_empty() {
                self.holders.remove(&job);
            }
        }
    }

    /// True if all workers have reported.
    pub fn is_empty(&self) -> bool {
        self.is_sealed() && self.sealed.is_empty()
    }

    /// True if a former owner can start nothing on any of these workers.
    pub fn is_sealed(&self) -> bool {
        self.open.is_empty() && self.unclear.is_empty()
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.open.len() + self.unclear.len() + self.sealed.len()
    }

    /// Decides whether a task may start. Capacity is not considered: the room of a worker may have
    /// been larger when the task was started.
    pub fn verdict(&self, task: &Task<'_>) -> Verdict {
        let blocker = self.blocker_of_step(task).or_else(|| self.holder(task));
        blocker.map_or(Verdict::Start, |worker| Verdict::Wait(worker.clone()))
    }

    /// Returns a worker that all tasks of the step wait for, whatever their place. Takes constant
    /// time.
    pub fn blocker_of_step(&self, task: &Task<'_>) -> Option<&Arc<str>> {
        if waits_for_nobody(task) {
            return None;
        }
        if let Some(worker) = self.unclear.first() {
            return Some(worker);
        }
        let of_pool = self.pools.get(task.pool)?;
        match task.label {
            Some(label) => of_pool.labelled.get(label)?.first(),
            None => of_pool.all.first(),
        }
    }

    /// Returns a sealed worker that may run this very task.
    pub fn holder(&self, task: &Task<'_>) -> Option<&Arc<str>> {
        if waits_for_nobody(task) {
            return None;
        }
        self.holders.get(task.job)?.get(&task.place)?.first()
    }
}

/// True for a task that may start although a former owner may have started it, or that no former
/// owner starts.
fn waits_for_nobody(task: &Task<'_>) -> bool {
    task.copies || task.origin == Origin::Current
}
