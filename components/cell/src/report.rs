//! What a worker's report means for the tasks that it holds.

use {
    crate::{
        cell::Cell,
        order::{Order, Report, Run},
        slot::{Slot, Stage, UNKNOWN_PACE},
        worker::{Clock, TaskKey},
    },
    job::{Address, Id, Phase, State, Step, spec::Size},
    std::{collections::HashSet, sync::Arc},
};

/// How many ends a worker lists at once; with this many there may be more.
const ENDS_LISTED: usize = 500;
/// After this time an order to stop that shows no effect is sent again, in milliseconds.
const STOP_AGAIN: u64 = 500;

/// The moments that belong to an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Times {
    /// When the request was sent.
    pub sent: u64,
    /// When the answer arrived.
    pub now: u64,
    /// The same since 1970.
    pub wall: u64,
}

impl Cell {
    /// Takes in a worker's report.
    pub fn report(&mut self, id: &Arc<str>, report: Report, sent: u64, now: u64, wall: u64) {
        let lease = self.timing.lease;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.fenced {
            log::info!(target: "cell", worker = &**id, running = report.running.len(), ended = report.ended.len(); "A worker is under the fence of this owner.");
            // A former owner may have given a whole lease just before.
            worker.max_deadline = worker.max_deadline.max(report.clock + lease);
        }
        worker.fenced = true;
        worker.poll_answered = true;
        worker.confirmed = true;
        worker.answer_due = None;
        let was_silent = worker.unreachable_since.take().is_some();
        worker.changed = true;
        worker.clock = Some(Clock {
            shown: report.clock,
            at: now,
        });
        let had_unwritten = worker.has_unwritten_ends();
        if was_silent {
            self.refresh_loss(id);
        }
        self.revoke_crash(id);
        self.end_predecessors(id, sent, now);
        let moment = Times { sent, now, wall };
        let dirty_before = self.dirty.len();
        self.mark_fenced(id);
        let is_taken = self.handle_ends(id, &report.ended, moment);
        let mut listed = HashSet::new();
        for run in &report.running {
            if self.is_pending(&run.job) {
                self.note_pending(id, run, moment);
                continue;
            }
            if let Some(key) = self.key(id, &run.job, run.address) {
                listed.insert(key.clone());
                self.running(id, key, run, moment);
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.ends_deferred = !is_taken;
        }
        if is_taken && report.ended.len() < ENDS_LISTED {
            self.release_missing(id, &listed, report.clock, moment);
            self.mark_reported(id);
        }
        self.pace(id, now);
        if !had_unwritten && self.dirty.len() == dirty_before && self.dirty.is_empty() {
            self.acknowledge(id);
        }
    }

    /// Ends that change nothing that lasts may be acknowledged at once.
    fn acknowledge(&mut self, id: &Arc<str>) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.ends_written = worker.ends_read;
            worker.unwritten_ends.clear();
        }
    }

    /// The key of a task that a worker tells of, also of a job that is not known any more: then it is
    /// the one under which the worker's room is taken.
    pub(crate) fn key(&self, id: &str, job: &Id, address: Address) -> Option<TaskKey> {
        let known = self.jobs.get(job);
        if let Some(known) = known {
            let place = known.progress.submission.spec.place(address)?;
            let job = job.clone();
            return Some(TaskKey { job, place });
        }
        let held = self
            .workers
            .get(id)
            .and_then(|worker| worker.key_of(job, address));
        held.or_else(|| {
            let (job, place) = (job.clone(), unknown_place(address));
            Some(TaskKey { job, place })
        })
    }

    /// Takes in a run that the worker lists as going on.
    fn running(&mut self, id: &Arc<str>, key: TaskKey, run: &Run, moment: Times) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(slot) = worker.slots.get_mut(&key) else {
            self.adopt(id, key, run, moment);
            return;
        };
        if slot.run != run.run {
            self.stop_stray(id, key, run, moment);
            return;
        }
        if slot.is_sent() {
            slot.stage = Stage::Running { at: moment.now };
        }
        slot.figure = run.figure;
        let is_due = slot
            .stopping
            .is_some_and(|at| moment.sent >= at + STOP_AGAIN);
        if is_due {
            slot.stopping = Some(moment.now);
            self.orders.push((id.clone(), stop_order(&key, run)));
        }
        self.mark_started(&key);
        self.record_checkpoint(&key, run.saved.as_ref());
        self.clear_quarantine(id, &key, moment.now);
        self.record_survival(id, &key, moment.now);
    }

    /// Trusts a worker again that is tried with a task that lasts, once this has run for long enough: it
    /// may never end.
    fn clear_quarantine(&mut self, id: &Arc<str>, key: &TaskKey, now: u64) {
        let job = self.jobs.get(&key.job);
        let is_lasting = job.is_some_and(|job| job.progress.step(key.place).lasting);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if is_lasting && worker.passed_probe(key, now) {
            log::info!(target: "cell", worker = &**id, job = key.job.as_str(), place = key.place; "A worker that was set aside runs its task; it is trusted again.");
            worker.record_result(false, now);
        }
    }

    /// A run that this owner did not order, or has given up: taken over where it fits.
    pub(crate) fn adopt(&mut self, id: &Arc<str>, key: TaskKey, run: &Run, moment: Times) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            self.stop_stray(id, key, run, moment);
            return;
        };
        let task = &mut job.progress.tasks[key.place];
        if job.progress.state.is_final() || task.phase != Phase::Waiting {
            self.stop_stray(id, key, run, moment);
            return;
        }
        task.phase = Phase::Placed(id.clone());
        task.run = task.run.max(run.run);
        job.ready.remove(&key.place);
        if job.ready.is_empty() {
            self.ready_jobs.remove(&job.rank);
            job.leave_line();
        }
        let step = job.progress.step(key.place);
        let image = self.interference.intern(step.image.as_ref());
        let stage = Stage::Running { at: moment.now };
        let slot = Slot {
            adopted: true,
            percent: UNKNOWN_PACE,
            figure: run.figure,
            ..Slot::new(step, run.address, image, run.run, stage)
        };
        log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id, run = run.run; "A run is adopted.");
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add_slot(key.clone(), slot);
        }
        self.mark_started(&key);
        self.record_checkpoint(&key, run.saved.as_ref());
    }

    /// A run that must not be: it is stopped, and its room is taken until its end is listed.
    fn stop_stray(&mut self, id: &Arc<str>, key: TaskKey, run: &Run, moment: Times) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(slot) = worker.slots.get(&key)
            && slot.stopping.is_some_and(|at| moment.now < at + STOP_AGAIN)
        {
            return;
        }
        let step = self.step_of_stray(id, &key);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id, run = run.run; "A run that must not be is stopped.");
        self.orders.push((id.clone(), stop_order(&key, run)));
        if worker.slots.contains_key(&key) {
            return;
        }
        if !self.jobs.contains_key(&key.job) {
            self.unknown_jobs.insert(key.job.clone());
        }
        let stage = Stage::Running { at: moment.now };
        let slot = Slot {
            stopping: Some(moment.now),
            percent: UNKNOWN_PACE,
            ..Slot::new(&step, run.address, 0, run.run, stage)
        };
        worker.add_slot(key, slot);
    }

    /// Gives runs of a job that was not known their places in it, now that it is: whatever looks at what a worker holds
    /// looks for its task there.
    pub(crate) fn rekey_strays(&mut self, id: &Id) {
        if !self.unknown_jobs.remove(id) {
            return;
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let spec = &job.progress.submission.spec;
        for worker in self.workers.values_mut() {
            let held = worker.slots.keys().filter(|key| key.job == *id);
            let held: Vec<TaskKey> = held.cloned().collect();
            let holds = !held.is_empty();
            for key in held {
                let Some(slot) = worker.remove_slot(&key) else {
                    continue;
                };
                let (job, place) = (key.job, spec.place(slot.address));
                if let Some(place) = place {
                    worker.add_slot(TaskKey { job, place }, slot);
                }
            }
            if holds {
                self.crashes.losses.refresh(worker);
            }
        }
    }

    /// What a run is reckoned to take that must not be there.
    fn step_of_stray(&self, id: &Arc<str>, key: &TaskKey) -> Step {
        let known = self.jobs.get(&key.job);
        let known = known.map(|job| job.progress.step(key.place));
        let worker = self.workers.get(id);
        if let Some(worker) = worker.filter(|worker| self.is_unguarded(worker)) {
            // All of the worker, where nothing tells how much.
            return Step {
                size: known.map_or(worker.entry.size, |step| step.size),
                fills: known.is_some_and(|step| step.fills),
                ..Step::default()
            };
        }
        // It counts as a filling task, which takes no processors from tasks that take room: the worker refuses what
        // does not fit beside it.
        Step {
            size: known.map_or(Size::default(), |step| step.size),
            fills: true,
            ..Step::default()
        }
    }

    /// Notes that a task of the job has begun.
    pub(crate) fn mark_started(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        job.started = true;
        if job.progress.state == State::Queued {
            job.progress.state = State::Running;
            self.dirty.insert(key.job.clone());
        }
    }

    /// Keeps the newest checkpoint of a task.
    pub(crate) fn record_checkpoint(&mut self, key: &TaskKey, saved: Option<&Arc<str>>) {
        let (Some(saved), Some(job)) = (saved, self.jobs.get_mut(&key.job)) else {
            return;
        };
        let task = &mut job.progress.tasks[key.place];
        if task.phase != Phase::Done && task.saved.as_ref() != Some(saved) {
            task.saved = Some(saved.clone());
        }
    }

    /// Frees the tasks that the worker would list if it had them.
    fn release_missing(
        &mut self,
        id: &Arc<str>,
        listed: &HashSet<TaskKey>,
        clock: u64,
        moment: Times,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut gone = Vec::new();
        let mut doubtful = Vec::new();
        for (key, slot) in &worker.slots {
            if listed.contains(key) {
                continue;
            }
            let is_before = |at: u64| at < moment.sent;
            let is_gone = match slot.stage {
                Stage::Sent { deadline } => {
                    clock > deadline || slot.start_cancelled.is_some_and(is_before)
                }
                Stage::Running { at } => is_before(at),
            };
            if is_gone {
                gone.push((key.clone(), slot.stage));
            } else if slot.unanswered.is_some_and(is_before) && slot.stopping.is_none() {
                doubtful.push(key.clone());
            }
        }
        // A run that is stopped before it has begun cannot begin later: its task need not wait until
        // the deadline of its start.
        for key in doubtful {
            self.stop(id, &key, moment.now);
        }
        for (key, stage) in gone {
            log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id, stage:? = stage; "A worker does not list a run that it was given.");
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove_slot(&key);
                if let Stage::Sent { .. } = stage {
                    // Its polls are answered and its orders are not: without this it stays the best one, and the task was
                    // given to it ten times in 20 s beside another worker with room.
                    worker.back_off(moment.now);
                }
            }
            self.requeue_if_unplaced(&key);
        }
    }
}

/// Stands for the place of a task whose job is not known: another one for each task, and none that a
/// known job has.
const fn unknown_place(address: Address) -> usize {
    let Address { time, step, index } = address;
    1 << 63 | (time as usize) << 40 | (step as usize) << 24 | index as usize
}

/// The order to stop a run as its worker lists it.
fn stop_order(key: &TaskKey, run: &Run) -> Order {
    Order::Stop {
        key: key.clone(),
        address: run.address,
        run: run.run,
    }
}
