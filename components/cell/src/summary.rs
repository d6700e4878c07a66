//! Aggregate figures of a cell for logs and metrics.

use crate::{
    cell::Cell,
    closed::{ClosedBy, ClosedWorkers},
    slot::Slot,
};

/// Aggregate figures of a cell. CPU is in thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Placed tasks.
    pub placed: usize,
    /// Workers.
    pub workers: usize,
    /// Workers that may be given work.
    pub schedulable: usize,
    /// Workers that may be given no work, by reason.
    pub closed: ClosedWorkers,
    /// Workers without serving tasks.
    pub without_serving: usize,
    /// Workers with serving tasks of more than one image.
    pub mixed: usize,
    /// Throttled tasks.
    pub throttled: usize,
    /// CPU of serving tasks.
    pub serving_cpu: u64,
    /// CPU reserved by other tasks.
    pub other_cpu: u64,
    /// Free CPU for tasks that reserve it.
    pub free_cpu: u64,
    /// The most free CPU on one worker.
    pub largest_free: u64,
    /// CPU that is expected to be idle.
    pub idle_cpu: u64,
    /// CPU demand of ready tasks that reserve CPU.
    pub waiting_cpu: u64,
    /// CPU demand of ready best-effort tasks.
    pub waiting_best_effort: u64,
    /// Trials of suspected tasks in progress.
    pub trials: usize,
    /// The age of the oldest trial, in milliseconds. More than some seconds indicates a fault.
    pub trial_age: u64,
}

impl Cell {
    /// Returns the current aggregate figures.
    pub fn summary(&self, now: u64) -> Summary {
        let (trials, trial_age) = self.trials(now);
        let mut summary = Summary {
            jobs: self.jobs.len(),
            workers: self.workers.len(),
            trials,
            trial_age,
            ..Summary::default()
        };
        for worker in self.workers.values() {
            summary.placed += worker.slots.len();
            summary.serving_cpu += worker.serving_cpu;
            summary.other_cpu += worker.reserved.cpu - worker.serving_cpu;
            if let Some(reason) = self.closed_by(worker, now) {
                summary.closed.add(reason);
                // The capacity of a worker behind a saturated connection counts as open.
                if reason != ClosedBy::Backpressure {
                    continue;
                }
            }
            summary.schedulable += 1;
            summary.mixed += usize::from(worker.serving_images.len() > 1);
            summary.without_serving += usize::from(worker.serving_cpu == 0);
            let is_paced = |slot: &&Slot| slot.percent < 100;
            summary.throttled += worker.slots.values().filter(is_paced).count();
            summary.free_cpu += worker.free().cpu;
            summary.largest_free = summary.largest_free.max(worker.free().cpu);
            summary.idle_cpu += worker.idle_cpu();
        }
        for job in self.jobs.values() {
            for &place in &job.ready {
                let step = job.progress.step(place);
                if step.fills {
                    summary.waiting_best_effort += step.size.cpu;
                } else {
                    summary.waiting_cpu += step.size.cpu;
                }
            }
        }
        summary
    }
}
