//! A queue of jobs in which each job stands once.

use {
    job::Id,
    std::collections::{HashSet, VecDeque},
};

/// Jobs in the order in which they came, each once; some go before all others.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    first: VecDeque<Id>,
    order: VecDeque<Id>,
    all: HashSet<Id>,
}

impl WriteQueue {
    pub fn insert(&mut self, id: Id) {
        if self.all.insert(id.clone()) {
            self.order.push_back(id);
        }
    }

    /// Puts a job behind those that go first, and before all others.
    pub fn insert_first(&mut self, id: Id) {
        if !self.all.insert(id.clone()) {
            self.order.retain(|other| *other != id);
        }
        if !self.first.contains(&id) {
            self.first.push_back(id);
        }
    }

    /// The job whose turn it is.
    pub fn peek(&self) -> Option<&Id> {
        self.first.front().or(self.order.front())
    }

    pub fn pop(&mut self) -> Option<Id> {
        let id = self.first.pop_front().or_else(|| self.order.pop_front())?;
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
