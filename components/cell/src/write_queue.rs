//! A FIFO queue of jobs to be written, which holds each job at most once.

use {
    job::Id,
    std::collections::{HashSet, VecDeque},
};

/// A queue without duplicates, with a lane for urgent jobs.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    urgent: VecDeque<Id>,
    order: VecDeque<Id>,
    all: HashSet<Id>,
}

impl WriteQueue {
    pub fn insert(&mut self, id: Id) {
        if self.all.insert(id.clone()) {
            self.order.push_back(id);
        }
    }

    /// Queues a job behind other urgent jobs and before all others.
    pub fn insert_first(&mut self, id: Id) {
        if !self.all.insert(id.clone()) {
            self.order.retain(|other| *other != id);
        }
        if !self.urgent.contains(&id) {
            self.urgent.push_back(id);
        }
    }

    /// Returns the next job.
    pub fn peek(&self) -> Option<&Id> {
        self.urgent.front().or(self.order.front())
    }

    pub fn pop(&mut self) -> Option<Id> {
        let id = self.urgent.pop_front().or_else(|| self.order.pop_front())?;
        self.all.remove(&id);
        Some(id)
    }

    pub fn contains(&self, id: &Id) -> bool {
        self.all.contains(id)
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}
