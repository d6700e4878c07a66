//! Which specifications a relay has, as both sides know it.
//!
//! All tasks of a job carry the same specification, 1 to 4 KB. It goes to a relay once, before the first
//! order that needs it: an owner of 144 workers sent 560 KB a second to its relays with the text in
//! each order, while its orders without texts take some 35. What is kept is bounded, and both sides let go of the same texts, since
//! both take in the same ones in the same order.

use {
    job::Id,
    std::collections::{HashMap, VecDeque},
};

/// Specifications that a relay keeps: those of the last jobs that it was told of. Of 4 KB each at most; a fleet of
/// 900 workers begins 29 jobs a second, which last for some 10 s.
pub const CAPACITY: usize = 512;

/// The last jobs that texts were sent for, with something kept for each.
#[derive(Debug)]
pub struct JobCache<T> {
    by_job: HashMap<Id, T>,
    order: VecDeque<Id>,
}

impl<T> Default for JobCache<T> {
    fn default() -> Self {
        JobCache {
            by_job: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<T> JobCache<T> {
    /// What is kept for a job.
    pub fn get(&self, job: &Id) -> Option<&T> {
        self.by_job.get(job)
    }

    /// Keeps something for a job; the oldest goes where that is too many.
    pub fn insert(&mut self, job: Id, kept: T) {
        if self.by_job.insert(job.clone(), kept).is_some() {
            return;
        }
        self.order.push_back(job);
        if self.order.len() <= CAPACITY {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.by_job.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(number: usize) -> Id {
        Id::new(&format!("{number:016x}")).unwrap()
    }

    #[test]
    fn keep_lets_the_oldest_go() {
        let mut texts = JobCache::default();
        for number in 0..=CAPACITY {
            texts.insert(id(number), number);
            texts.insert(id(number), number);
        }
        assert!(texts.get(&id(0)).is_none());
        assert_eq!(texts.get(&id(1)), Some(&1));
        assert_eq!(
            (texts.by_job.len(), texts.order.len()),
            (CAPACITY, CAPACITY)
        );
    }
}
