//! The workers that a new owner has not heard from, and the tasks that may run there.

use {
    job::Id,
    std::{
        collections::{HashMap, HashSet},
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

/// The part of a worker that decides whether a task may have been started there.
#[derive(Debug, Clone)]
struct Open {
    pool: Arc<str>,
    labels: Vec<Arc<str>>,
}

impl Open {
    fn may_run(&self, task: &Task<'_>) -> bool {
        let has_label = |label: &str| self.labels.iter().any(|own| &**own == label);
        *self.pool == *task.pool && task.label.is_none_or(has_label)
    }
}

/// The workers that have not reported their runs to a new owner.
#[derive(Debug, Clone, Default)]
pub struct Unheard {
    /// Workers on which any suitable task may run.
    open: HashMap<Arc<str>, Open>,
    /// Sealed workers: only the listed tasks may run there, since the last owner has recorded them
    /// and started nothing there after that.
    sealed: HashMap<Arc<str>, HashSet<TaskName>>,
}

impl Unheard {
    /// Adds a worker on which any suitable task may run.
    pub fn add_open(&mut self, worker: Arc<str>, pool: Arc<str>, labels: Vec<Arc<str>>) {
        self.open.insert(worker, Open { pool, labels });
    }

    /// Adds a sealed worker, on which only these tasks may run.
    pub fn add_sealed(&mut self, worker: Arc<str>, tasks: HashSet<TaskName>) {
        self.sealed.insert(worker, tasks);
    }

    /// Removes a worker, which has reported its runs or has provably ended.
    pub fn remove(&mut self, worker: &str) {
        self.open.remove(worker);
        self.sealed.remove(worker);
    }

    /// True if all workers have reported.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.sealed.is_empty()
    }

    /// True if a former owner can start nothing on any of these workers.
    pub fn is_sealed(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.open.len() + self.sealed.len()
    }

    /// Decides whether a task may start. Capacity is not considered: the room of a worker may have
    /// been larger when the task was started.
    pub fn verdict(&self, task: &Task<'_>) -> Verdict {
        if task.copies || task.origin == Origin::Current {
            return Verdict::Start;
        }
        if let Some((id, _)) = self.open.iter().find(|(_, open)| open.may_run(task)) {
            return Verdict::Wait(id.clone());
        }
        let name = (task.job.clone(), task.place);
        match self.sealed.iter().find(|(_, tasks)| tasks.contains(&name)) {
            Some((id, _)) => Verdict::Wait(id.clone()),
            None => Verdict::Start,
        }
    }
}
