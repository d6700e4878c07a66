//! Relocation of best-effort tasks that have been throttled for long to workers where they are
//! harmless.

use {
    crate::{cell::Cell, worker::TaskKey},
    std::sync::Arc,
};

/// A best-effort task that has been throttled for this long is moved, in milliseconds. The load
/// peak of a serving job lasts several seconds, and a move costs a good half second.
const SLOW_FOR: u64 = 800;
/// The maximum number of moves at a time, since each one scans all workers.
const MAX_MOVES: usize = 6;

impl Cell {
    /// Stops throttled best-effort tasks that save checkpoints and have better capacity elsewhere.
    /// Their next run resumes there from the checkpoint that the stop leaves.
    pub fn relocate(&mut self, now: u64) {
        let mut slow = Vec::new();
        for (id, worker) in &self.workers {
            if !worker.fenced || worker.best_effort_cpu == 0 {
                continue;
            }
            for (key, slot) in &worker.slots {
                let is_slow = slot.slow_since.is_some_and(|since| now >= since + SLOW_FOR);
                if slot.best_effort && is_slow && slot.stopping.is_none() && !slot.is_sent() {
                    slow.push((slot.slow_since, id.clone(), key.clone()));
                }
            }
        }
        slow.sort();
        for (_, id, key) in slow.into_iter().take(MAX_MOVES) {
            self.move_off(&id, &key, now);
        }
    }

    /// Stops a throttled task if it can continue where it is harmless.
    fn move_off(&mut self, id: &Arc<str>, key: &TaskKey, now: u64) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let step = job.progress.step(key.place);
        if !step.checkpoints || step.gang || step.lasting {
            return;
        }
        let address = job.progress.submission.spec.address(key.place);
        let failures = job.progress.tasks[key.place].failed.len() as u32;
        let image = self.image(step);
        let has_harmless_place = self.workers.iter().any(|(other, worker)| {
            other != id
                && job.is_advised(address, other, now)
                && worker.is_trusted(failures, now)
                && self.is_feasible(job, address, image, worker, 0, now)
                && self.impact(step, image, worker, 1).is_harmless()
        });
        if !has_harmless_place {
            return;
        }
        log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id; "Throttled task moved to a worker where it is harmless.");
        self.stop(id, key, now);
    }
}
