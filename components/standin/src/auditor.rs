//! Records every task and request that the stand-ins run and counts violations of invariants.

use {
    infra::worker::Task,
    kernel::sync::lock,
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, Mutex},
        time::Instant,
    },
};

/// Counts of events and of invariant violations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Task starts.
    pub starts: u64,
    /// Tasks that finished.
    pub finished: u64,
    /// Starts of tasks that were already running.
    pub concurrent_runs: u64,
    /// Starts or finishes of tasks that had already finished.
    pub repeated_tasks: u64,
    /// Tasks stopped by an order or by an expired lease.
    pub stops: u64,
    /// Tasks stopped by an order with a checkpoint.
    pub evictions: u64,
    /// Tasks stopped by an expired lease.
    pub lease_expiries: u64,
    /// Allocations beyond the capacity of a worker.
    pub overcommits: u64,
    /// Repeated runs of requests that must run at most once.
    pub repeated_requests: u64,
    /// Times a backend server received more concurrent requests than it has slots.
    pub slot_overruns: u64,
    /// Requests run by backend servers.
    pub requests: u64,
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Completed successfully.
    Finished,
    /// Failed by itself.
    Failed,
    /// Stopped by an order, with a checkpoint.
    Evicted,
    /// Stopped by an order or by a restart of its box.
    Stopped,
    /// Stopped when its lease expired.
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

/// Collects the events of all stand-ins.
#[derive(Clone, Default)]
pub struct Auditor {
    inner: Arc<Mutex<Inner>>,
}

impl Auditor {
    /// Creates an auditor without events.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the counts so far.
    pub fn totals(&self) -> Totals {
        lock(&self.inner).totals
    }

    /// Records the start of a task on a worker.
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

    /// Records the end of a task.
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

    /// Takes back the finish of a task: its box was lost before the end was reported.
    pub fn discard_finish(&self, task: &Task) {
        let mut inner = lock(&self.inner);
        if inner.finished.remove(task) {
            inner.totals.finished -= 1;
        }
    }

    /// Records an allocation beyond the capacity of a worker.
    pub fn record_overcommit(&self) {
        lock(&self.inner).totals.overcommits += 1;
    }

    /// Records a request run by a backend server. The id is given if it must run at most once.
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

    /// True if a request with this id has run.
    pub fn has_run(&self, id: &str) -> bool {
        lock(&self.inner).request_runs.contains_key(id)
    }

    /// Records that a backend server received more concurrent requests than it has slots.
    pub fn record_slot_overrun(&self) {
        lock(&self.inner).totals.slot_overruns += 1;
    }

    /// Returns when the first task of a job started.
    pub fn first_start(&self, job: &str) -> Option<Instant> {
        lock(&self.inner).first_starts.get(job).copied()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        lock(&self.inner).running.len()
    }
}
