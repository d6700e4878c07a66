//! A queue of jobs in which each job stands once.

use {
    job::Id,
    std::collections::{HashSet, VecDeque},
};

/// Jobs in the order in which they came, each once.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    order: VecDeque<Id>,
    all: HashSet<Id>,
}

impl Turns {
    pub fn insert(&mut self, id: Id) {
        if self.all.insert(id.clone()) {
            self.order.push_back(id);
        }
    }

    pub fn pop(&mut self) -> Option<Id> {
        let id = self.order.pop_front()?;
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
