//! Draining of workers that leave: tasks that can continue elsewhere are moved before the worker
//! shuts down.

use {
    crate::{
        cell::Cell,
        worker::{TaskKey, Worker},
    },
    job::Phase,
    std::sync::Arc,
};

/// The number of tasks stopped at a time on a leaving worker, where stopping saves a checkpoint;
/// the others continue meanwhile.
const MAX_MOVES: usize = 4;

/// Entries that were lost while the store was unavailable reappear within this time of its return,
/// in milliseconds: about two seconds by the worker API, plus a listing.
const RELIST_TIME: u64 = 2_700;

impl Cell {
    /// Moves tasks off leaving workers.
    pub(crate) fn drain(&mut self, now: u64) {
        let leaving: Vec<Arc<str>> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.slots.is_empty() && self.must_drain(worker, now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in leaving {
            self.evacuate(&id, now);
        }
    }

    /// True for a worker that is leaving, is drained for maintenance, or has disappeared from the
    /// listing without notice, since such a worker may keep running for a while and then end.
    /// Entries that were lost with the store reappear soon after its return.
    pub(crate) fn must_drain(&self, worker: &Worker, now: u64) -> bool {
        let is_unlisted = worker
            .unlisted_since
            .is_some_and(|since| now >= since.max(self.listings_since + RELIST_TIME));
        worker.entry.leaving || worker.draining || is_unlisted
    }

    /// Stops tasks on a leaving worker that can continue elsewhere, a few at a time.
    fn evacuate(&mut self, id: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let stopping = worker
            .slots
            .values()
            .filter(|slot| slot.stopping.is_some())
            .count();
        let mut moves = Vec::new();
        for (key, slot) in &worker.slots {
            if slot.stopping.is_some() || !self.is_movable(key, now) {
                continue;
            }
            moves.push(key.clone());
        }
        moves.sort();
        let most = MAX_MOVES.saturating_sub(stopping);
        for key in moves.into_iter().take(most) {
            // Each move is checked again, since earlier ones count as unavailable.
            if self.is_movable(&key, now) {
                log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id; "Task moved off a leaving worker.");
                self.stop(id, &key, now);
            }
        }
    }

    /// True if stopping the task loses no work and does not make too many tasks of its step
    /// unavailable.
    fn is_movable(&self, key: &TaskKey, now: u64) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let step = job.progress.step(key.place);
        if step.gang {
            return false;
        }
        if !step.lasting {
            return step.checkpoints;
        }
        let Some(may_miss) = step.may_miss else {
            return true;
        };
        let address = job.progress.submission.spec.address(key.place);
        let places = job.progress.places(address.time, address.step);
        let unavailable = places
            .filter(|&place| place != key.place && self.is_unavailable(key, place, now))
            .count();
        unavailable < may_miss as usize
    }

    /// True unless the task is at work at full speed according to a recent report of its worker.
    fn is_unavailable(&self, key: &TaskKey, place: usize, now: u64) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return true;
        };
        let Phase::Placed(at) = &job.progress.tasks[place].phase else {
            return true;
        };
        let worker = self.workers.get(at);
        let Some(worker) = worker.filter(|worker| worker.is_heard(now)) else {
            return true;
        };
        let key = TaskKey {
            job: key.job.clone(),
            place,
        };
        let slot = worker.slots.get(&key);
        slot.is_none_or(|slot| slot.stopping.is_some() || !slot.is_at_full_work())
    }
}
