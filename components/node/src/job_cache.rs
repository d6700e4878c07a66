//! A bounded map from jobs to values with eviction in order of insertion, used for specification
//! texts.
//!
//! All tasks of a job have the same specification text, 1 to 4 KB. The owner sends it to a relay
//! once, before the first order that needs it: with the text in each order, an owner of 144 workers
//! sent 560 KB per second to its relays, and about 35 KB without. The owner and the relay insert
//! the same jobs in the same order, so both evict the same texts.

use {
    job::Id,
    std::collections::{HashMap, VecDeque},
};

/// The number of jobs in a cache. A text has at most 4 KB, and a fleet of 900 workers starts 29
/// jobs per second, which run for about 10 s.
pub const CAPACITY: usize = 512;

/// The most recently inserted jobs with a value for each.
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
    /// The value of a job, if it is in the cache.
    pub fn get(&self, job: &Id) -> Option<&T> {
        self.by_job.get(job)
    }

    /// Inserts or replaces the value of a job. A new job evicts the oldest one from a full cache.
    pub fn insert(&mut self, job: Id, value: T) {
        if self.by_job.insert(job.clone(), value).is_some() {
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
    fn insert_evicts_oldest() {
        let mut cache = JobCache::default();
        for number in 0..=CAPACITY {
            cache.insert(id(number), number);
            cache.insert(id(number), number);
        }
        assert!(cache.get(&id(0)).is_none());
        assert_eq!(cache.get(&id(1)), Some(&1));
        assert_eq!(
            (cache.by_job.len(), cache.order.len()),
            (CAPACITY, CAPACITY)
        );
    }
}
