//! Jobs that no worker of their pool can ever run.

use {
    job::{Spec, spec::Size},
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
        let is_apart = step.gang && step.spread > 0;
        if is_apart && u64::from(step.count) > u64::from(step.spread) * u64::from(pool.workers) {
            return Some(format!("step {number} needs more workers than there are"));
        }
    }
    None
}
