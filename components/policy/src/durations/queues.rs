//! What was learned of the steps of all queues.

use {
    super::{Durations, Ended},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// The maximum number of queues, an order of magnitude above what operators configure. It bounds
/// the stored value. The queue whose steps have not ended for the longest time is dropped first.
const MAX_QUEUES: usize = 256;

/// The stored form: the queues in the order of their last ended step.
type Rows = Vec<(Arc<str>, Durations)>;

/// What was learned of the steps of all queues.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "Rows", into = "Rows")]
pub struct Queues {
    /// The durations by queue, with the number of the last ended step.
    known: HashMap<Arc<str>, (u64, Durations)>,
    /// The number of ended steps.
    ended: u64,
}

impl Queues {
    /// Returns what was learned of a queue, if that is enough for predictions.
    pub fn get(&self, queue: &str) -> Option<&Durations> {
        let (_, durations) = self.known.get(queue)?;
        durations.is_learned().then_some(durations)
    }

    /// Records a step of this queue that has ended.
    pub fn record(&mut self, queue: &Arc<str>, step: Ended) {
        if !self.known.contains_key(queue) && self.known.len() >= MAX_QUEUES {
            self.drop_oldest();
        }
        self.ended += 1;
        let (last, durations) = self.known.entry(queue.clone()).or_default();
        *last = self.ended;
        durations.record(step);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.known.iter().min_by_key(|(_, (last, _))| *last);
        if let Some(queue) = oldest.map(|(queue, _)| queue.clone()) {
            self.known.remove(&queue);
        }
    }
}

impl From<Rows> for Queues {
    fn from(rows: Rows) -> Self {
        let mut queues = Queues::default();
        let excess = rows.len().saturating_sub(MAX_QUEUES);
        for (queue, durations) in rows.into_iter().skip(excess) {
            queues.ended += 1;
            queues.known.insert(queue, (queues.ended, durations));
        }
        queues
    }
}

impl From<Queues> for Rows {
    fn from(queues: Queues) -> Self {
        let mut known: Vec<(Arc<str>, (u64, Durations))> = queues.known.into_iter().collect();
        known.sort_by_key(|(_, (last, _))| *last);
        let rows = known.into_iter();
        rows.map(|(queue, (_, durations))| (queue, durations))
            .collect()
    }
}
