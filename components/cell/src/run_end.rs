//! What the end of a run means for its task and its job.

use {
    crate::{
        cell::Cell,
        order::{EndCause, RunEnd},
        report::Times,
        run_log::FinishedRun,
        worker::TaskKey,
    },
    job::{Phase, State},
    std::sync::Arc,
};

impl Cell {
    /// Takes in one listed end, once.
    pub(crate) fn handle_end(&mut self, id: &Arc<str>, end: &RunEnd, moment: Times) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if end.number <= worker.ends_read {
            return;
        }
        worker.ends_read = end.number;
        worker
            .unwritten_ends
            .push_back((end.number, end.job.clone()));
        let Some(key) = self.key(id, &end.job, end.address) else {
            return;
        };
        if !self.jobs.contains_key(&end.job) {
            self.release_slot(id, &key, end.run);
            return;
        }
        self.log_end(id, &key, end, moment);
        let was_here = self.release_slot(id, &key, end.run);
        self.record_worker_result(id, end.how, moment.now);
        self.record_checkpoint(&key, end.saved.as_ref());
        if matches!(end.how, EndCause::Done | EndCause::Failed) {
            self.complete_trial(id, &key);
            self.reset_crashes(&key);
        }
        match end.how {
            EndCause::Done => self.run_done(id, &key, was_here, moment),
            EndCause::Failed => self.run_failed(&key, end.run, was_here, moment),
            _ if was_here => self.run_interrupted(&key),
            _ => {}
        }
    }

    /// Tells of an end: by itself where the run was cut short or failed, with others where it is done.
    fn log_end(&mut self, id: &Arc<str>, key: &TaskKey, end: &RunEnd, moment: Times) {
        if end.how == EndCause::Done {
            self.defer_done_log(FinishedRun {
                key: key.clone(),
                run: end.run,
                worker: id.clone(),
                at: moment.now,
            });
            return;
        }
        let place = key.place;
        log::info!(target: "cell", job = key.job.as_str(), place, worker = &**id, run = end.run, how:? = end.how; "A run has ended.");
    }

    /// Takes the slot of a run out. True when the worker held this very run.
    fn release_slot(&mut self, id: &Arc<str>, key: &TaskKey, run: u64) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        if worker.slots.get(key).is_none_or(|slot| slot.run != run) {
            return false;
        }
        worker.remove_slot(key).is_some()
    }

    /// Counts a run for or against its worker, where its end says something of it.
    fn record_worker_result(&mut self, id: &Arc<str>, how: EndCause, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match how {
            EndCause::Done => worker.record_result(false, now),
            EndCause::Failed => worker.record_result(true, now),
            _ => {}
        }
    }

    /// Lets a task wait again whose run has ended with work left.
    fn run_interrupted(&mut self, key: &TaskKey) {
        self.mark_dirty(key);
        self.requeue_if_unplaced(key);
    }

    /// Has the record of a job written, unless the job has ended.
    fn mark_dirty(&mut self, key: &TaskKey) {
        let is_open = self
            .jobs
            .get(&key.job)
            .is_some_and(|job| !job.progress.state.is_final());
        if is_open {
            self.dirty.insert(key.job.clone());
        }
    }

    /// Frees a task unless some worker still holds a slot for it.
    pub(crate) fn requeue_if_unplaced(&mut self, key: &TaskKey) {
        let job = self.jobs.get(&key.job);
        let Some(task) = job.and_then(|job| job.progress.tasks.get(key.place)) else {
            return;
        };
        if let Phase::Placed(worker) = &task.phase
            && let Some(worker) = self.workers.get(worker)
            && worker.slots.contains_key(key)
        {
            return;
        }
        self.requeue(key);
    }

    /// Takes in that a run is done: what waits for its task may start, or the job is complete.
    fn run_done(&mut self, id: &Arc<str>, key: &TaskKey, was_here: bool, moment: Times) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if job.progress.state.is_final() {
            return;
        }
        if job.progress.step(key.place).lasting {
            if was_here {
                self.run_interrupted(key);
            }
            return;
        }
        for (worker, place) in self.complete(id, key) {
            let job = key.job.clone();
            self.stop(&worker, &TaskKey { job, place }, moment.now);
        }
        let is_done = self
            .jobs
            .get(&key.job)
            .is_some_and(|job| job.progress.is_done());
        if is_done {
            self.finish(&key.job, State::Completed, moment.now, moment.wall);
        } else {
            self.ready_steps(&key.job, moment.wall);
        }
    }

    /// Marks a task done, and its whole gang with it. Returns where the task is placed besides:
    /// that run is to be stopped.
    fn complete(&mut self, id: &Arc<str>, key: &TaskKey) -> Vec<(Arc<str>, usize)> {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return Vec::new();
        };
        let address = job.progress.submission.spec.address(key.place);
        let is_gang = job.progress.step(key.place).gang;
        let places = if is_gang {
            job.progress.places(address.time, address.step)
        } else {
            key.place..key.place + 1
        };
        let mut elsewhere = Vec::new();
        for place in places {
            if let Phase::Placed(worker) = &job.progress.tasks[place].phase
                && (worker != id || place != key.place)
                && !is_gang
            {
                elsewhere.push((worker.clone(), place));
            }
            job.ready.remove(&place);
            job.progress.finish(place);
        }
        if job.ready.is_empty() {
            self.ready_jobs.remove(&job.rank);
            job.leave_line();
        }
        self.dirty.insert(key.job.clone());
        elsewhere
    }

    /// Takes in that a run failed: its task waits again, or the job has failed.
    fn run_failed(&mut self, key: &TaskKey, run: u64, was_here: bool, moment: Times) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.progress.state.is_final() {
            return;
        }
        let attempts = job.progress.submission.queue.attempts;
        let is_lasting = job.progress.step(key.place).lasting;
        let is_done = job.progress.tasks[key.place].phase == Phase::Done;
        // Lasting tasks may fail as often as they like. A former owner may have written this very
        // failure down already.
        if is_done || is_lasting || !job.progress.fail(key.place, run) {
            if was_here {
                self.requeue_if_unplaced(key);
            }
            return;
        }
        let task = &mut job.progress.tasks[key.place];
        task.run = task.run.max(run);
        let failures = task.failed.len() as u32;
        self.dirty.insert(key.job.clone());
        if failures >= attempts {
            log::info!(target: "cell", job = key.job.as_str(), place = key.place, failures; "A task has failed as often as it may.");
            self.finish(&key.job, State::Failed, moment.now, moment.wall);
            return;
        }
        if was_here {
            self.requeue_if_unplaced(key);
        }
    }
}
