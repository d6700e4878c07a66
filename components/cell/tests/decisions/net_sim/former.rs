//! Former owners that were suspended and resume after another one has taken over.
//!
//! A former owner continues where it was: it may accept jobs, and it starts tasks on workers that do
//! not know a later fence. None of its writes succeeds, and it extends no leases. It stops before
//! the new owner counts the leases that it has granted as expired.

use {
    super::{
        NetSim,
        network::{Answer, PendingPoll},
    },
    crate::common::TIMING,
    magpie_cell::Cell,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// A former owner acts until this time after the takeover at most, in milliseconds: its last starts
/// expire within 1.5 s.
pub const MAX_AWAKE: u64 = 3_000;

/// The state of an owner.
pub struct Owner {
    pub cell: Cell,
    pub fence: u64,
    pub polls: BTreeMap<Arc<str>, PendingPoll>,
    /// Incarnations that have answered on the open connection.
    pub connected: HashSet<Arc<str>>,
    pub next_polls: HashMap<Arc<str>, u64>,
    pub answers: Vec<Answer>,
}

impl Owner {
    /// Creates an owner that knows nothing.
    pub fn new(fence: u64) -> Self {
        Owner {
            cell: Cell::new(TIMING),
            fence,
            polls: BTreeMap::new(),
            connected: HashSet::new(),
            next_polls: HashMap::new(),
            answers: Vec::new(),
        }
    }
}

/// A former owner that is suspended or has resumed.
pub struct Former {
    pub owner: Owner,
    /// When it resumes, and when it stops.
    pub awake: (u64, u64),
    /// The number of jobs that it has read.
    pub jobs_read: usize,
}

impl NetSim {
    /// Exchanges the state of the current owner.
    pub(super) fn swap_owner(&mut self, other: &mut Owner) {
        std::mem::swap(&mut self.cell, &mut other.cell);
        std::mem::swap(&mut self.fence, &mut other.fence);
        std::mem::swap(&mut self.polls, &mut other.polls);
        std::mem::swap(&mut self.connected, &mut other.connected);
        std::mem::swap(&mut self.next_polls, &mut other.next_polls);
        std::mem::swap(&mut self.answers, &mut other.answers);
    }

    /// Runs the former owners that have resumed.
    pub(super) fn run_formers(&mut self) {
        let now = self.now;
        let mut formers = std::mem::take(&mut self.formers);
        formers.retain(|former| now < former.awake.1);
        for former in &mut formers {
            self.swap_owner(&mut former.owner);
            self.is_former = true;
            if now < former.awake.0 {
                self.answer_polls();
            } else {
                self.run_former(&mut former.jobs_read);
            }
            self.is_former = false;
            self.swap_owner(&mut former.owner);
        }
        self.formers = formers;
    }

    fn run_former(&mut self, jobs_read: &mut usize) {
        let now = self.now;
        self.cell.freeze_leases(true);
        for job in &self.jobs[*jobs_read..] {
            if job.fence <= self.fence {
                self.cell.admit(job.clone(), now);
            }
        }
        *jobs_read = self.jobs.len();
        if now.is_multiple_of(super::LIST_INTERVAL) {
            self.list();
        }
        self.poll();
        for (id, order, outcome) in self.answers_due() {
            self.cell.handle_outcome(&id, &order, outcome, now);
        }
        self.cell.place(now);
        for (id, order) in self.cell.take_orders() {
            self.send(id, order);
        }
        let batch = self.cell.take_write_batch(100);
        self.cell.batch_failed(batch);
    }
}
