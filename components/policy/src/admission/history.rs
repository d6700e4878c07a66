//! The workers that a pool has had lately, including those that may come back.

use {
    super::PoolCapacity,
    job::spec::Size,
    std::{
        collections::{BTreeMap, HashSet},
        mem,
        sync::Arc,
    },
};

/// How long a worker may be away, in milliseconds, while it is restarted or replaced.
const MAX_ABSENCE: u64 = 60_000;

/// A worker of a pool.
#[derive(Debug, Clone, Copy)]
pub struct Offer<'a> {
    /// Its name.
    pub name: &'a Arc<str>,
    /// Its pool.
    pub pool: &'a Arc<str>,
    /// Its capacity.
    pub size: Size,
    /// Its labels.
    pub labels: &'a [Arc<str>],
}

/// What the workers of one pool have offered.
#[derive(Debug, Clone, Default)]
struct Pool {
    largest: Size,
    names: HashSet<Arc<str>>,
    labels: HashSet<Arc<str>>,
}

impl Pool {
    fn add(&mut self, offer: Offer<'_>) {
        self.largest = larger(self.largest, offer.size);
        if !self.names.contains(offer.name) {
            self.names.insert(offer.name.clone());
        }
        for label in offer.labels {
            if !self.labels.contains(label) {
                self.labels.insert(label.clone());
            }
        }
    }

    fn extend(&mut self, other: &Pool) {
        self.largest = larger(self.largest, other.largest);
        self.names.extend(other.names.iter().cloned());
        self.labels.extend(other.labels.iter().cloned());
    }
}

/// What the workers of each pool have offered, in the current period and in the one before. Both
/// last as long as a worker may be away.
#[derive(Debug, Clone, Default)]
pub struct PoolHistory {
    current: BTreeMap<Arc<str>, Pool>,
    previous: BTreeMap<Arc<str>, Pool>,
    /// The start of the current period.
    since: Option<u64>,
    /// A whole period has passed.
    complete: bool,
}

impl PoolHistory {
    /// Records the workers that are known now.
    pub fn record<'a>(&mut self, offers: impl Iterator<Item = Offer<'a>>, now: u64) {
        let since = *self.since.get_or_insert(now);
        if now >= since.saturating_add(MAX_ABSENCE) {
            self.since = Some(now);
            self.complete = true;
            self.previous = mem::take(&mut self.current);
        }
        for offer in offers {
            if !self.current.contains_key(offer.pool) {
                self.current.insert(offer.pool.clone(), Pool::default());
            }
            if let Some(pool) = self.current.get_mut(offer.pool) {
                pool.add(offer);
            }
        }
    }

    /// Returns what the pools offer; nothing until the workers have been known for as long as one of
    /// them may be away.
    pub fn capacities(&self, now: u64) -> Vec<PoolCapacity> {
        let is_over = |since: u64| now >= since.saturating_add(MAX_ABSENCE);
        if !self.complete && !self.since.is_some_and(is_over) {
            return Vec::new();
        }
        let mut pools = self.previous.clone();
        for (name, pool) in &self.current {
            pools.entry(name.clone()).or_default().extend(pool);
        }
        let mut capacities = Vec::with_capacity(pools.len());
        for (name, pool) in pools {
            let mut labels: Vec<Arc<str>> = pool.labels.into_iter().collect();
            labels.sort();
            capacities.push(PoolCapacity {
                pool: name,
                largest: pool.largest,
                workers: pool.names.len() as u32,
                labels,
            });
        }
        capacities
    }
}

/// Returns the larger amount of each resource.
fn larger(one: Size, other: Size) -> Size {
    Size {
        cpu: one.cpu.max(other.cpu),
        memory: one.memory.max(other.memory),
        gpus: one.gpus.max(other.gpus),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(history: &mut PoolHistory, names: &[&str], cpu: u64, label: &str, now: u64) {
        let pool = "pool".into();
        let names: Vec<Arc<str>> = names.iter().map(|&name| name.into()).collect();
        let labels = [label.into()];
        let offers = names.iter().map(|name| Offer {
            name,
            pool: &pool,
            size: Size {
                cpu,
                memory: 1,
                gpus: 0,
            },
            labels: &labels,
        });
        history.record(offers, now);
    }

    #[test]
    fn capacities_unknown_at_first() {
        let mut history = PoolHistory::default();
        assert!(history.capacities(MAX_ABSENCE).is_empty());
        record(&mut history, &["w1"], 1, "a", 5);
        assert!(history.capacities(MAX_ABSENCE + 4).is_empty());
        assert_eq!(history.capacities(MAX_ABSENCE + 5).len(), 1);
    }

    /// A worker that is away counts for as long as it may be away, and not forever.
    #[test]
    fn capacities_with_absent_worker() {
        let mut history = PoolHistory::default();
        record(&mut history, &["w1"], 64, "a", 0);
        for now in (1..=3 * MAX_ABSENCE).step_by(1_000) {
            record(&mut history, &["w2"], 8, "b", now);
            let pools = history.capacities(now);
            if now <= MAX_ABSENCE {
                assert!(pools.is_empty());
                continue;
            }
            let has_left = now > 2 * MAX_ABSENCE;
            assert_eq!(pools[0].workers, if has_left { 1 } else { 2 }, "{now}");
            assert_eq!(pools[0].largest.cpu, if has_left { 8 } else { 64 });
            assert_eq!(pools[0].labels.len(), if has_left { 1 } else { 2 });
        }
    }
}
