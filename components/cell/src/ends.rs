//! What the end of a run means for its task and its job.

use {
    crate::{
        cell::Cell,
        order::{End, How},
        report::Moment,
        told::Done,
        worker::Key,
    },
    job::{Phase, State},
    std::sync::Arc,
};

impl Cell {
    /// Takes in one listed end, once.
    pub(crate) fn end(&mut self, id: &Arc<str>, end: &End, moment: Moment) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if end.number <= worker.read {
            return;
        }
        worker.read = end.number;
        worker.unwritten.push_back((end.number, end.job.clone()));
        let Some(key) = self.key(id, &end.job, end.address) else {
            return;
        };
        if !self.jobs.contains_key(&end.job) {
            self.vacate(id, &key, end.run);
            return;
        }
        self.tell_end(id, &key, end, moment);
        let was_here = self.vacate(id, &key, end.run);
        self.judge(id, end.how, moment.now);
        self.save(&key, end.saved.as_ref());
        if matches!(end.how, How::Done | How::Failed) {
            self.complete_trial(id, &key);
            self.reset_crashes(&key);
        }
        match end.how {
            How::Done => self.done(id, &key, was_here, moment),
            How::Failed => self.failed(&key, end.run, was_here, moment),
            _ if was_here => self.interrupted(&key),
            _ => {}
        }
    }

    /// Tells of an end: by itself where the run was cut short or failed, with others where it is done.
    fn tell_end(&mut self, id: &Arc<str>, key: &Key, end: &End, moment: Moment) {
        if end.how == How::Done {
            self.tell_later(Done {
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
    fn vacate(&mut self, id: &Arc<str>, key: &Key, run: u64) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        if worker.slots.get(key).is_none_or(|slot| slot.run != run) {
            return false;
        }
        worker.release(key).is_some()
    }

    /// Counts a run for or against its worker, where its end says something of it.
    fn judge(&mut self, id: &Arc<str>, how: How, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match how {
            How::Done => worker.judge(false, now),
            How::Failed => worker.judge(true, now),
            _ => {}
        }
    }

    /// Lets a task wait again whose run has ended with work left.
    fn interrupted(&mut self, key: &Key) {
        self.dirty_if_open(key);
        self.free_if_placed_nowhere(key);
    }

    /// Has the record of a job written, unless the job has ended.
    fn dirty_if_open(&mut self, key: &Key) {
        let is_open = self
            .jobs
            .get(&key.job)
            .is_some_and(|job| !job.progress.state.is_final());
        if is_open {
            self.dirty.insert(key.job.clone());
        }
    }

    /// Frees a task unless some worker still holds a slot for it.
    pub(crate) fn free_if_placed_nowhere(&mut self, key: &Key) {
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
        self.free(key);
    }

    /// Takes in that a run is done: what waits for its task may start, or the job is complete.
    fn done(&mut self, id: &Arc<str>, key: &Key, was_here: bool, moment: Moment) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if job.progress.state.is_final() {
            return;
        }
        if job.progress.step(key.place).lasting {
            if was_here {
                self.interrupted(key);
            }
            return;
        }
        for (worker, place) in self.complete(id, key) {
            let job = key.job.clone();
            self.stop(&worker, &Key { job, place }, moment.now);
        }
        let is_done = self
            .jobs
            .get(&key.job)
            .is_some_and(|job| job.progress.is_done());
        if is_done {
            self.finish(&key.job, State::Completed, moment.now, moment.wall);
        } else {
            self.open(&key.job, moment.wall);
        }
    }

    /// Marks a task done, and its whole gang with it. Returns where the task is placed besides:
    /// that run is to be stopped.
    fn complete(&mut self, id: &Arc<str>, key: &Key) -> Vec<(Arc<str>, usize)> {
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
            self.line.remove(&job.rank);
            job.leave_line();
        }
        self.dirty.insert(key.job.clone());
        elsewhere
    }

    /// Takes in that a run failed: its task waits again, or the job has failed.
    fn failed(&mut self, key: &Key, run: u64, was_here: bool, moment: Moment) {
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
                self.free_if_placed_nowhere(key);
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
            self.free_if_placed_nowhere(key);
        }
    }
}
