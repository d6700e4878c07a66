//! Filling tasks that are slowed down for long are moved to workers where they disturb nobody.

use {
    crate::{cell::Cell, worker::TaskKey},
    std::sync::Arc,
};

/// A filling task that has been slowed down for this long is moved, in milliseconds: the peak of a
/// serving job's load lasts several seconds, and a move costs a good half.
const SLOW_FOR: u64 = 800;
/// The most moves at one time: each looks through all workers.
const AT_ONCE: usize = 6;

impl Cell {
    /// Stops slowed filling tasks that save their work and have better room elsewhere. Their next
    /// run goes on there from the checkpoint that the stop leaves.
    pub fn relocate(&mut self, now: u64) {
        let mut slow = Vec::new();
        for (id, worker) in &self.workers {
            if !worker.fenced || worker.filling_cpu == 0 {
                continue;
            }
            for (key, slot) in &worker.slots {
                let is_slow = slot.slow_since.is_some_and(|since| now >= since + SLOW_FOR);
                if slot.fills && is_slow && slot.stopping.is_none() && !slot.is_sent() {
                    slow.push((slot.slow_since, id.clone(), key.clone()));
                }
            }
        }
        slow.sort();
        for (_, id, key) in slow.into_iter().take(AT_ONCE) {
            self.move_off(&id, &key, now);
        }
    }

    /// Stops one slowed task, if it can go on where it disturbs nobody.
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
        let is_calm = self.workers.iter().any(|(other, worker)| {
            other != id
                && job.is_advised(address, other, now)
                && worker.is_trusted(failures, now)
                && self.is_feasible(job, address, image, worker, 0, now)
                && self.impact(step, image, worker, 1).is_harmless()
        });
        if !is_calm {
            return;
        }
        log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id; "A slowed task is moved to where it disturbs nobody.");
        self.stop(id, key, now);
    }
}
