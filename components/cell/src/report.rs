//! Handling of worker reports: running, unknown and missing runs.

use {
    crate::{
        cell::Cell,
        closed::Backoff,
        order::{Order, Report, Run},
        slot::{Slot, Stage, UNKNOWN_PACE},
        worker::{Clock, TaskKey},
    },
    job::{Address, Id, Phase, Recorded, State, Step, spec::Size},
    std::{collections::HashSet, sync::Arc},
};

/// The maximum number of run ends in a report; a report with this many may be incomplete.
const MAX_ENDS: usize = 500;
/// An order to stop that has had no effect is sent again after this time, in milliseconds.
const STOP_RETRY: u64 = 500;

/// The times of a request and its answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Times {
    /// When the request was sent.
    pub sent: u64,
    /// When the answer arrived.
    pub now: u64,
    /// When the answer arrived, as Unix time.
    pub wall: u64,
}

impl Cell {
    /// Processes a report of a worker. `sent` is when the poll was sent, and `wall` the Unix time
    /// of `now`.
    pub fn report(&mut self, id: &Arc<str>, report: Report, sent: u64, now: u64, wall: u64) {
        let lease = self.timing.lease;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.fenced {
            log::info!(target: "cell", worker = &**id, running = report.running.len(), ended = report.ended.len(); "Worker has accepted the fence of this owner.");
            // A previous owner may have granted a full lease just before.
            worker.max_deadline = worker.max_deadline.max(report.clock + lease);
        }
        worker.fenced = true;
        worker.poll_answered = true;
        worker.confirmed = true;
        worker.confirmed_at = worker.confirmed_at.max(sent);
        worker.answer_due = None;
        let was_unreachable = worker.unreachable_since.take().is_some();
        worker.silent_by = None;
        worker.changed = true;
        worker.clock = Some(Clock {
            value: report.clock,
            at: now,
        });
        let had_unwritten = worker.has_unwritten_ends();
        if was_unreachable {
            self.refresh_loss(id);
        }
        self.revoke_crash(id);
        self.end_predecessors(id, sent, now);
        let times = Times { sent, now, wall };
        let dirty_before = self.dirty.len();
        self.mark_fenced(id);
        let is_complete = self.handle_ends(id, &report.ended, times);
        let mut listed = HashSet::new();
        let mut runs_pending = false;
        for run in &report.running {
            if self.is_pending(&run.job) {
                runs_pending |= self.pending_closes();
                self.record_pending(id, run, times);
                continue;
            }
            if let Some(key) = self.task_key(id, &run.job, run.address) {
                listed.insert(key.clone());
                self.run_listed(id, key, run, times);
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.ends_deferred = !is_complete;
            worker.runs_pending = runs_pending;
        }
        if is_complete && report.ended.len() < MAX_ENDS {
            self.release_missing(id, &listed, report.clock, times);
            self.mark_reported(id);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.reported = true;
            }
        }
        self.refresh_seal(id, now);
        self.throttle(id, now);
        if !had_unwritten && self.dirty.len() == dirty_before && self.dirty.is_empty() {
            self.acknowledge(id);
        }
    }

    /// Acknowledges run ends that changed nothing persistent, without a write.
    fn acknowledge(&mut self, id: &Arc<str>) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.ends_written = worker.ends_read;
            worker.unwritten_ends.clear();
        }
    }

    /// Returns the key of a task that a worker has reported. For a job that is no longer known, it
    /// is the key under which the worker holds the task's slot.
    pub(crate) fn task_key(&self, id: &str, job: &Id, address: Address) -> Option<TaskKey> {
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

    /// Processes a run that the worker lists as running.
    fn run_listed(&mut self, id: &Arc<str>, key: TaskKey, run: &Run, times: Times) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(slot) = worker.slots.get_mut(&key) else {
            self.adopt(id, key, run, times);
            return;
        };
        if slot.run != run.run {
            self.stop_orphan(id, key, run, times);
            return;
        }
        if slot.is_sent() {
            slot.stage = Stage::Running { at: times.now };
        }
        slot.figure = run.figure;
        slot.ready = run.ready;
        let is_due = slot
            .stopping
            .is_some_and(|at| times.sent >= at + STOP_RETRY);
        if is_due {
            slot.stopping = Some(times.now);
            self.orders.push((id.clone(), stop_order(&key, run)));
        }
        self.mark_started(&key);
        self.record_checkpoint(&key, run.saved.as_ref());
        self.clear_quarantine(id, &key, times.now);
        self.record_survival(id, &key, times.now);
    }

    /// Ends the quarantine of a worker that is probed with a long-running task, once the task has
    /// run for long enough, since its run may never end.
    fn clear_quarantine(&mut self, id: &Arc<str>, key: &TaskKey, now: u64) {
        let job = self.jobs.get(&key.job);
        let is_lasting = job.is_some_and(|job| job.progress.step(key.place).lasting);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if is_lasting && worker.passed_probe(key, now) {
            log::info!(target: "cell", worker = &**id, job = key.job.as_str(), place = key.place; "Quarantine of a worker ended: its probe keeps running.");
            worker.record_result(false, now);
        }
    }

    /// Adopts a run that this owner has not started or has declared lost, if its task is still
    /// waiting.
    pub(crate) fn adopt(&mut self, id: &Arc<str>, key: TaskKey, run: &Run, times: Times) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            self.stop_orphan(id, key, run, times);
            return;
        };
        let task = &mut job.progress.tasks[key.place];
        if job.progress.state.is_final() || task.phase != Phase::Waiting {
            self.stop_orphan(id, key, run, times);
            return;
        }
        task.phase = Phase::Placed(id.clone());
        task.recorded = Recorded::None;
        self.crashes.unobserved.forget(&key);
        task.run = task.run.max(run.run);
        job.ready.remove(&key.place);
        if job.ready.is_empty() {
            self.ready_jobs.remove(&job.rank);
            job.reset_waiting();
        }
        let step = job.progress.step(key.place);
        let image = self.interference.intern(step.image.as_ref());
        let stage = Stage::Running { at: times.now };
        let slot = Slot {
            decided: times.now,
            adopted: true,
            percent: UNKNOWN_PACE,
            figure: run.figure,
            ready: run.ready,
            ..Slot::new(step, run.address, image, run.run, stage)
        };
        log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id, run = run.run; "Run adopted.");
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add_slot(key.clone(), slot);
        }
        self.mark_started(&key);
        self.record_checkpoint(&key, run.saved.as_ref());
    }

    /// Stops a run that must not exist. It occupies capacity until its end is listed.
    fn stop_orphan(&mut self, id: &Arc<str>, key: TaskKey, run: &Run, times: Times) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(slot) = worker.slots.get(&key)
            && slot.stopping.is_some_and(|at| times.now < at + STOP_RETRY)
        {
            return;
        }
        let step = self.orphan_resources(id, &key);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id, run = run.run; "Stopping an orphaned run.");
        self.orders.push((id.clone(), stop_order(&key, run)));
        if worker.slots.contains_key(&key) {
            return;
        }
        if !self.jobs.contains_key(&key.job) {
            self.unknown_jobs.insert(key.job.clone());
        }
        let stage = Stage::Running { at: times.now };
        let slot = Slot {
            stopping: Some(times.now),
            percent: UNKNOWN_PACE,
            ..Slot::new(&step, run.address, 0, run.run, stage)
        };
        worker.add_slot(key, slot);
    }

    /// Gives slots of runs of a formerly unknown job their real keys, now that the job is known, so
    /// that lookups by key find them.
    pub(crate) fn rekey_orphans(&mut self, id: &Id) {
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
            let holds_runs = !held.is_empty();
            for key in held {
                let Some(slot) = worker.remove_slot(&key) else {
                    continue;
                };
                let (job, place) = (key.job, spec.place(slot.address));
                if let Some(place) = place {
                    worker.add_slot(TaskKey { job, place }, slot);
                }
            }
            if holds_runs {
                self.crashes.losses.refresh(worker);
            }
        }
    }

    /// Returns a step with the assumed resources of a run that must not exist.
    fn orphan_resources(&self, id: &Arc<str>, key: &TaskKey) -> Step {
        let known = self.jobs.get(&key.job);
        let known = known.map(|job| job.progress.step(key.place));
        let worker = self.workers.get(id);
        if let Some(worker) = worker.filter(|worker| self.is_overcommitting(worker)) {
            // The whole worker, if the size is unknown.
            return Step {
                size: known.map_or(worker.entry.size, |step| step.size),
                fills: known.is_some_and(|step| step.fills),
                ..Step::default()
            };
        }
        // Counts as best-effort, so that it takes no CPU from reservations. The worker itself
        // refuses tasks that do not fit beside it.
        Step {
            size: known.map_or(Size::default(), |step| step.size),
            fills: true,
            ..Step::default()
        }
    }

    /// Records that a task of the job has started.
    pub(crate) fn mark_started(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        job.started = true;
        self.idle.remove(&key.job);
        if let Some(task) = job.progress.tasks.get_mut(key.place) {
            task.confirmed = true;
        }
        if job.progress.state == State::Queued {
            job.progress.state = State::Running;
            self.dirty.insert(key.job.clone());
        }
    }

    /// Records the latest checkpoint of a task.
    pub(crate) fn record_checkpoint(&mut self, key: &TaskKey, saved: Option<&Arc<str>>) {
        let (Some(saved), Some(job)) = (saved, self.jobs.get_mut(&key.job)) else {
            return;
        };
        let task = &mut job.progress.tasks[key.place];
        if task.phase != Phase::Done && task.checkpoint.as_ref() != Some(saved) {
            task.checkpoint = Some(saved.clone());
        }
    }

    /// Requeues tasks that the worker should list but does not.
    fn release_missing(
        &mut self,
        id: &Arc<str>,
        listed: &HashSet<TaskKey>,
        clock: u64,
        times: Times,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut missing = Vec::new();
        let mut unanswered = Vec::new();
        for (key, slot) in &worker.slots {
            if listed.contains(key) {
                continue;
            }
            let is_before = |at: u64| at < times.sent;
            let is_missing = match slot.stage {
                Stage::Sent { deadline } => {
                    clock > deadline || slot.start_cancelled.is_some_and(is_before)
                }
                Stage::Running { at } => is_before(at),
            };
            if is_missing {
                missing.push((key.clone(), slot.run, slot.stage));
            } else if slot.unanswered.is_some_and(is_before) && slot.stopping.is_none() {
                unanswered.push(key.clone());
            }
        }
        // A run that is stopped before it has started can no longer start, so its task need not
        // wait for the deadline of the start.
        for key in unanswered {
            self.stop(id, &key, times.now);
        }
        for (key, run, stage) in missing {
            log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id, stage:? = stage; "Worker does not list a run that it was given.");
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove_slot(&key);
                if let Stage::Sent { .. } = stage {
                    // The worker answers polls but not orders. Without the backoff it would stay
                    // the best choice: a task was given to it ten times in 20 s although another
                    // worker had capacity.
                    worker.back_off(Backoff::Unanswered, times.now);
                }
            }
            self.requeue_if_unplaced(&key);
            if let Stage::Sent { .. } = stage {
                self.stop_gang(&key, run, times.now);
            }
        }
    }
}

/// Returns a placeholder for the place of a task of an unknown job, distinct for each task and from
/// all places of known jobs.
const fn unknown_place(address: Address) -> usize {
    let Address { time, step, index } = address;
    1 << 63 | (time as usize) << 40 | (step as usize) << 24 | index as usize
}

/// Returns the order to stop a run as its worker lists it.
fn stop_order(key: &TaskKey, run: &Run) -> Order {
    Order::Stop {
        key: key.clone(),
        address: run.address,
        run: run.run,
    }
}
