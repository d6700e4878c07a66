//! Jobs that no worker of their pool can ever run.

use {
    job::{Spec, Step, spec::Size},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What the workers of a pool offer, including those that may come back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCapacity {
    /// The pool.
    pub pool: Arc<str>,
    /// The largest amount of each resource on any worker.
    pub largest: Size,
    /// The number of workers.
    pub workers: u32,
    /// All labels of workers.
    pub labels: Vec<Arc<str>>,
}

/// Returns why no workers of the pool can ever run a job; `None` if they can.
pub fn impossible(spec: &Spec, pool: &PoolCapacity) -> Option<String> {
    for (number, step) in spec.steps.iter().enumerate() {
        if !step.size.fits(pool.largest) {
            return Some(format!("step {number} asks for more than any worker has"));
        }
        if let Some(label) = &step.label
            && !pool.labels.contains(label)
        {
            return Some(format!("no worker has the label {label} of step {number}"));
        }
        // Tasks that need not run together may use the same worker one after the other.
        if step.gang && u64::from(step.count) > widest_gang(step, pool) {
            return Some(format!("step {number} needs more workers than there are"));
        }
    }
    None
}

/// Returns how many tasks of a step can run at the same time if all workers are as large as the
/// largest and have nothing else to run.
fn widest_gang(step: &Step, pool: &PoolCapacity) -> u64 {
    let (size, largest) = (step.size, pool.largest);
    let pairs = [
        (largest.cpu, size.cpu),
        (largest.memory, size.memory),
        (largest.gpus, size.gpus),
    ];
    let fitting = pairs
        .into_iter()
        .filter_map(|(all, own)| all.checked_div(own));
    let limit = (step.spread > 0).then_some(u64::from(step.spread));
    let each = fitting.chain(limit).min().unwrap_or(u64::MAX);
    each.saturating_mul(u64::from(pool.workers))
}
