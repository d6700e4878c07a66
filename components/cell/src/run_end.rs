//! Handling of run ends: completed, failed and interrupted runs, and what follows for tasks and
//! jobs.

use {
    crate::{
        cell::{Cell, StepRuns},
        order::{EndCause, RunEnd},
        report::Times,
        run_log::FinishedRun,
        worker::TaskKey,
    },
    job::{Id, Phase, Recorded, State, Step},
    policy::durations::Ended,
    std::sync::Arc,
};

/// The least time after a write of what was learned until the next one for learned lengths alone,
/// in milliseconds: a few seconds of them may be lost.
const WRITE_INTERVAL: u64 = 4_000;

impl Cell {
    /// Processes a listed run end, unless it was processed before.
    pub(crate) fn handle_end(&mut self, id: &Arc<str>, end: &RunEnd, times: Times) {
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
        let Some(key) = self.task_key(id, &end.job, end.address) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&end.job) else {
            self.release_slot(id, &key, end.run);
            return;
        };
        job.progress.tasks[key.place].recorded = Recorded::None;
        self.crashes.unobserved.forget(&key);
        self.log_end(id, &key, end, times);
        self.learn_duration(id, &key, end, times);
        let is_excused = end.how == EndCause::Failed && self.record_restart(id, &key, times.now);
        let was_held = self.release_slot(id, &key, end.run);
        if !is_excused {
            self.record_worker_result(id, end.how, times.now);
        }
        self.record_checkpoint(&key, end.saved.as_ref());
        if matches!(end.how, EndCause::Done | EndCause::Failed) {
            self.complete_trial(id, &key);
            self.reset_crashes(&key);
        }
        match end.how {
            EndCause::Done => self.run_done(id, &key, was_held, times),
            EndCause::Failed => self.run_failed(&key, end.run, was_held, times),
            _ if was_held => self.run_interrupted(&key),
            _ => {}
        }
    }

    /// Records how long a completed run took; with the last one of its step, how long the step is.
    fn learn_duration(&mut self, id: &Arc<str>, key: &TaskKey, end: &RunEnd, times: Times) {
        if end.how != EndCause::Done {
            return;
        }
        let slot = self.slot(id, key).filter(|slot| slot.run == end.run);
        let length = slot.and_then(|slot| slot.measured_length(times.now));
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let step = job.progress.step(key.place);
        if step.lasting || job.progress.tasks[key.place].phase == Phase::Done {
            return;
        }
        let (count, estimate) = (step.count, step.estimate);
        // A task that resumes from a checkpoint has less to do.
        let is_resumed = step.checkpoints && end.run > 1;
        let address = job.progress.submission.spec.address(key.place);
        let steps = job.progress.submission.spec.steps.len();
        let number = address.time as usize * steps + address.step as usize;
        let Some(measured) = job.measured.get_mut(number) else {
            return;
        };
        if let Some(length) = length.filter(|_| !is_resumed) {
            measured.add(length);
        }
        let measured = *measured;
        let is_last = job.progress.remaining_tasks(address.time, address.step) <= 1;
        let is_gang = job.progress.step(key.place).gang;
        if !(is_last || is_gang) || !measured.is_representative(if is_gang { 1 } else { count }) {
            return;
        }
        let queue = job.progress.submission.queue.name.clone();
        let step = Ended {
            estimate,
            longest: measured.longest,
            mean: measured.total / u64::from(measured.count),
        };
        self.durations.record(&queue, step);
        if times.now >= self.learned_due_at + WRITE_INTERVAL {
            self.interference_due = true;
            self.learned_due_at = times.now;
        }
    }

    /// Records how long the critical path of a completed job took, if all its steps were measured.
    fn learn_run_time(&mut self, id: &Id) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let submission = &job.progress.submission;
        let spec = &submission.spec;
        let is_measured = |(step, runs): (&Step, &StepRuns)| {
            runs.is_representative(if step.gang { 1 } else { step.count })
        };
        let mut steps = spec.steps.iter().zip(&job.measured);
        if spec.timetable.is_some() || !steps.all(is_measured) {
            return;
        }
        let longest = |number: usize, _: &Step| job.measured[number].longest;
        let taken = spec.critical_paths_by(longest).into_iter().max();
        let estimate = spec.critical_paths().into_iter().max();
        let run_time = Ended {
            estimate: estimate.unwrap_or_default(),
            longest: taken.unwrap_or_default(),
            mean: taken.unwrap_or_default(),
        };
        self.run_times.record(&submission.queue.name, run_time);
    }

    /// Logs a run end. Completed runs are logged in batches, all others at once.
    fn log_end(&mut self, id: &Arc<str>, key: &TaskKey, end: &RunEnd, times: Times) {
        if end.how == EndCause::Done {
            self.defer_done_log(FinishedRun {
                key: key.clone(),
                run: end.run,
                worker: id.clone(),
                at: times.now,
            });
            return;
        }
        let place = key.place;
        log::info!(target: "cell", job = key.job.as_str(), place, worker = &**id, run = end.run, how:? = end.how; "A run has ended.");
    }

    /// Releases the slot of a run. Returns true if the worker held this very run.
    fn release_slot(&mut self, id: &Arc<str>, key: &TaskKey, run: u64) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        if worker.slots.get(key).is_none_or(|slot| slot.run != run) {
            return false;
        }
        worker.remove_slot(key).is_some()
    }

    /// Counts the run as a success or failure of its worker, if its end depends on the worker.
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

    /// Requeues a task whose run ended before the task was complete.
    fn run_interrupted(&mut self, key: &TaskKey) {
        self.mark_dirty(key);
        self.requeue_if_unplaced(key);
    }

    /// Marks the record of a job to be written, unless the job has ended.
    fn mark_dirty(&mut self, key: &TaskKey) {
        let is_open = self
            .jobs
            .get(&key.job)
            .is_some_and(|job| !job.progress.state.is_final());
        if is_open {
            self.dirty.insert(key.job.clone());
        }
    }

    /// Requeues a task unless a worker still holds a slot for it.
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

    /// Handles a completed run: dependent steps may become ready, or the job is complete.
    fn run_done(&mut self, id: &Arc<str>, key: &TaskKey, was_held: bool, times: Times) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if job.progress.state.is_final() {
            return;
        }
        if job.progress.step(key.place).lasting {
            if was_held {
                self.run_interrupted(key);
            }
            return;
        }
        for (worker, place) in self.complete(id, key) {
            let job = key.job.clone();
            self.stop(&worker, &TaskKey { job, place }, times.now);
        }
        let is_done = self
            .jobs
            .get(&key.job)
            .is_some_and(|job| job.progress.is_done());
        if is_done {
            self.learn_run_time(&key.job);
            self.finish(&key.job, State::Completed, times.now, times.wall);
        } else {
            self.activate_steps(&key.job, times.wall);
        }
    }

    /// Marks a task complete, with its whole gang. Returns other workers on which the task is
    /// placed, whose runs are to be stopped.
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
        let mut duplicates = Vec::new();
        for place in places {
            if let Phase::Placed(worker) = &job.progress.tasks[place].phase
                && (worker != id || place != key.place)
                && !is_gang
            {
                duplicates.push((worker.clone(), place));
            }
            job.ready.remove(&place);
            job.progress.mark_done(place);
        }
        if job.ready.is_empty() {
            self.ready_jobs.remove(&job.rank);
            job.reset_waiting();
        }
        self.dirty.insert(key.job.clone());
        duplicates
    }

    /// Handles a failed run: its task is requeued, or the job fails.
    fn run_failed(&mut self, key: &TaskKey, run: u64, was_held: bool, times: Times) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.progress.state.is_final() {
            return;
        }
        let attempts = job.progress.submission.queue.attempts;
        let is_lasting = job.progress.step(key.place).lasting;
        let is_done = job.progress.tasks[key.place].phase == Phase::Done;
        // Long-running tasks may fail any number of times. A previous owner may have recorded this
        // failure already.
        if is_done || is_lasting || !job.progress.record_failure(key.place, run) {
            if was_held {
                self.requeue_if_unplaced(key);
            }
            return;
        }
        let task = &mut job.progress.tasks[key.place];
        task.run = task.run.max(run);
        let failures = task.failed.len() as u32;
        self.dirty.insert(key.job.clone());
        if failures >= attempts {
            log::info!(target: "cell", job = key.job.as_str(), place = key.place, failures; "Task failed; no attempts left.");
            self.finish(&key.job, State::Failed, times.now, times.wall);
            return;
        }
        if was_held {
            self.requeue_if_unplaced(key);
        }
    }
}

impl StepRuns {
    /// Adds a run of this length, in milliseconds.
    fn add(&mut self, length: u64) {
        self.count += 1;
        self.longest = self.longest.max(length);
        self.total += length;
    }

    /// True if the runs tell how long a step with this number of tasks takes: at least half of them
    /// were measured.
    const fn is_representative(self, tasks: u32) -> bool {
        self.count > 0 && self.count >= tasks.div_ceil(2)
    }
}
