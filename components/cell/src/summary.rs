//! What a cell looks like at a moment, for logs and metrics.

use crate::{cell::Cell, slot::Slot};

/// Sums over a cell. Processors are in thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Tasks that are placed.
    pub placed: usize,
    /// Workers.
    pub workers: usize,
    /// Workers that may be given work.
    pub open: usize,
    /// Workers without serving tasks.
    pub unserving: usize,
    /// Workers with serving tasks of more than one image.
    pub mixed: usize,
    /// Filling tasks that are slowed down.
    pub paced: usize,
    /// Processors of serving tasks.
    pub serving: u64,
    /// Processors of other tasks that take room.
    pub firm: u64,
    /// Free processors for tasks that take room.
    pub free: u64,
    /// The most that is free on one worker.
    pub largest: u64,
    /// Processors that nobody is reckoned to use.
    pub unused: u64,
    /// Processors of ready tasks that take room.
    pub waiting: u64,
    /// Processors of ready filling tasks.
    pub filling: u64,
    /// Suspected tasks that are being tried.
    pub trials: usize,
    /// For how long the oldest of these trials has gone on, in milliseconds: some seconds, or something is wrong.
    pub trial_age: u64,
}

impl Cell {
    /// Sums over the cell now.
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
            summary.serving += worker.serving_cpu;
            summary.firm += worker.reserved.cpu - worker.serving_cpu;
            if !worker.is_schedulable(now) || self.is_in_closed_hall(worker) {
                continue;
            }
            summary.open += 1;
            summary.mixed += usize::from(worker.serving_images.len() > 1);
            summary.unserving += usize::from(worker.serving_cpu == 0);
            let is_paced = |slot: &&Slot| slot.percent < 100;
            summary.paced += worker.slots.values().filter(is_paced).count();
            summary.free += worker.free().cpu;
            summary.largest = summary.largest.max(worker.free().cpu);
            summary.unused += worker.idle_cpu();
        }
        for job in self.jobs.values() {
            for &place in &job.ready {
                let step = job.progress.step(place);
                if step.fills {
                    summary.filling += step.size.cpu;
                } else {
                    summary.waiting += step.size.cpu;
                }
            }
        }
        summary
    }
}
