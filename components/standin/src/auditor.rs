//! What really ran: the stand-ins tell it each start and end, and it notes every breach.

use {
    infra::worker::Task,
    kernel::sync::lock,
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, Mutex},
        time::Instant,
    },
};

/// Counts of what ran and of what must never be.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Starts of tasks.
    pub starts: u64,
    /// Tasks that finished.
    pub finished: u64,
    /// Tasks that were running in two places at once.
    pub concurrent_runs: u64,
    /// Tasks that finished more than once.
    pub repeated_tasks: u64,
    /// Tasks stopped by an order or by the end of a lease.
    pub stops: u64,
    /// Tasks stopped with a checkpoint, by an order.
    pub evictions: u64,
    /// Tasks stopped because a lease ended.
    pub lease_expiries: u64,
    /// Workers that were committed beyond what they have.
    pub overcommits: u64,
    /// Requests that must run at most once and ran again.
    pub repeated_requests: u64,
    /// Times a backend server had more requests at once than slots.
    pub slot_overruns: u64,
    /// Requests that backend servers ran.
    pub requests: u64,
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// By itself, with success.
    Finished,
    /// By itself, with failure.
    Failed,
    /// By an order, with a checkpoint.
    Evicted,
    /// By an order, or with its box.
    Stopped,
    /// With its lease.
    LeaseExpired,
}

#[derive(Default)]
struct Inner {
    totals: Totals,
    running: HashMap<Task, Arc<str>>,
    finished: HashSet<Task>,
    request_runs: HashMap<Arc<str>, u32>,
    first_starts: HashMap<Arc<str>, Instant>,
}

/// Sees everything that the stand-ins do.
#[derive(Clone, Default)]
pub struct Auditor {
    inner: Arc<Mutex<Inner>>,
}

impl Auditor {
    /// A witness that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The counts so far.
    pub fn totals(&self) -> Totals {
        lock(&self.inner).totals
    }

    /// A task starts on a worker.
    pub fn record_start(&self, task: &Task, worker: &Arc<str>) {
        let mut inner = lock(&self.inner);
        inner.totals.starts += 1;
        inner
            .first_starts
            .entry(task.job.clone())
            .or_insert_with(Instant::now);
        if inner.running.insert(task.clone(), worker.clone()).is_some() {
            inner.totals.concurrent_runs += 1;
        }
        if inner.finished.contains(task) {
            inner.totals.repeated_tasks += 1;
            log::error!(target: "standin", "A finished task starts again. task={task} worker={worker}");
        }
    }

    /// A task ends on a worker.
    pub fn record_end(&self, task: &Task, end: End) {
        let mut inner = lock(&self.inner);
        inner.running.remove(task);
        match end {
            End::Finished => {}
            End::Failed => return,
            End::Evicted => {
                inner.totals.evictions += 1;
                inner.totals.stops += 1;
                return;
            }
            End::Stopped => {
                inner.totals.stops += 1;
                return;
            }
            End::LeaseExpired => {
                inner.totals.lease_expiries += 1;
                inner.totals.stops += 1;
                return;
            }
        }
        if inner.finished.insert(task.clone()) {
            inner.totals.finished += 1;
        } else {
            inner.totals.repeated_tasks += 1;
        }
    }

    /// A task's end was lost with its box before anybody was told of it.
    pub fn discard_finish(&self, task: &Task) {
        let mut inner = lock(&self.inner);
        if inner.finished.remove(task) {
            inner.totals.finished -= 1;
        }
    }

    /// A worker was committed beyond what it has.
    pub fn record_overcommit(&self) {
        lock(&self.inner).totals.overcommits += 1;
    }

    /// A backend server runs a request; an id is given when it must run at most once.
    pub fn record_request(&self, id: Option<&str>) {
        let mut inner = lock(&self.inner);
        inner.totals.requests += 1;
        let Some(id) = id else { return };
        let count = inner.request_runs.entry(Arc::from(id)).or_default();
        *count += 1;
        if *count > 1 {
            inner.totals.repeated_requests += 1;
        }
    }

    /// True when a request with this id ran.
    pub fn has_run(&self, id: &str) -> bool {
        lock(&self.inner).request_runs.contains_key(id)
    }

    /// A backend server had more requests at once than slots.
    pub fn record_slot_overrun(&self) {
        lock(&self.inner).totals.slot_overruns += 1;
    }

    /// When the first task of a job started.
    pub fn first_start(&self, job: &str) -> Option<Instant> {
        lock(&self.inner).first_starts.get(job).copied()
    }

    /// The number of tasks that are running.
    pub fn running(&self) -> usize {
        lock(&self.inner).running.len()
    }
}
