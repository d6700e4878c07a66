//! What a worker's report, or its answer to an order, means for the tasks it holds.

use {
    crate::{
        cell::Cell,
        order::{End, How, Order, Outcome, Reason, Report, Run, Start},
        worker::{Clock, Key, Slot, Stage, UNKNOWN_PACE},
    },
    job::{Phase, State, spec::Size},
    std::{collections::HashSet, sync::Arc},
};

/// How many ends a worker lists at once; with this many there may be more.
const ENDS_LISTED: usize = 500;
/// After this time an order to stop that shows no effect is sent again, in milliseconds.
const STOP_AGAIN: u64 = 500;

/// The moments that belong to an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Moment {
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
            worker.granted = worker.granted.max(report.clock + lease);
        }
        worker.fenced = true;
        worker.heard = true;
        worker.clock = Some(Clock {
            shown: report.clock,
            at: now,
        });
        let had_unwritten = worker.read > worker.kept;
        let moment = Moment { sent, now, wall };
        let dirty_before = self.dirty.len();
        for end in &report.ended {
            self.end(id, end, moment);
        }
        let mut listed = HashSet::new();
        for run in &report.running {
            if let Some(key) = self.key(run) {
                listed.insert(key.clone());
                self.running(id, key, run, moment);
            }
        }
        if report.ended.len() < ENDS_LISTED {
            self.missing(id, &listed, report.clock, moment);
        }
        self.pace(id, now);
        self.heard(id);
        if !had_unwritten && self.dirty.len() == dirty_before && self.dirty.is_empty() {
            self.acknowledge(id);
        }
    }

    /// Ends that change nothing that lasts may be acknowledged at once.
    fn acknowledge(&mut self, id: &Arc<str>) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.kept = worker.read;
            worker.unwritten.clear();
        }
    }

    /// The key of a run, also of a job that is not known here, so that it can be stopped.
    fn key(&self, run: &Run) -> Option<Key> {
        let job = run.job.clone();
        let place = match self.jobs.get(&job) {
            Some(known) => known.progress.submission.spec.place(run.address)?,
            None => run.address.index as usize,
        };
        Some(Key { job, place })
    }

    fn running(&mut self, id: &Arc<str>, key: Key, run: &Run, moment: Moment) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(slot) = worker.slots.get_mut(&key) else {
            self.adopt(id, key, run, moment);
            return;
        };
        if slot.run != run.run {
            self.stray(id, key, run, moment);
            return;
        }
        if let Stage::Sent { .. } = slot.stage {
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
        self.begun(&key);
        self.save(&key, run.saved.as_ref());
    }

    /// A run that this owner did not order, or has given up: taken over where it fits.
    fn adopt(&mut self, id: &Arc<str>, key: Key, run: &Run, moment: Moment) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            self.stray(id, key, run, moment);
            return;
        };
        let task = &mut job.progress.tasks[key.place];
        if job.progress.state.is_final() || task.phase != Phase::Waiting {
            self.stray(id, key, run, moment);
            return;
        }
        task.phase = Phase::Placed(id.clone());
        task.run = task.run.max(run.run);
        job.ready.remove(&key.place);
        if job.ready.is_empty() {
            self.line.remove(&job.rank);
        }
        let step = job.progress.step(key.place);
        let slot = Slot {
            image: self.disturbance.number(step.image.as_ref()),
            run: run.run,
            size: step.size,
            fills: step.fills,
            target: step.target,
            stage: Stage::Running { at: moment.now },
            stopping: None,
            percent: UNKNOWN_PACE,
            paced: 0,
            figure: run.figure,
        };
        log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id, run = run.run; "A run is adopted.");
        if let Some(worker) = self.workers.get_mut(id) {
            worker.hold(key.clone(), slot);
        }
        self.begun(&key);
        self.save(&key, run.saved.as_ref());
    }

    /// A run that must not be: it is stopped, and its room is taken until its end is listed.
    fn stray(&mut self, id: &Arc<str>, key: Key, run: &Run, moment: Moment) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(slot) = worker.slots.get(&key)
            && slot.stopping.is_some_and(|at| moment.now < at + STOP_AGAIN)
        {
            return;
        }
        let size = self
            .jobs
            .get(&key.job)
            .map_or(Size::default(), |job| job.progress.step(key.place).size);
        log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id, run = run.run; "A run that must not be is stopped.");
        self.orders.push((id.clone(), stop_order(&key, run)));
        if worker.slots.contains_key(&key) {
            return;
        }
        let slot = Slot {
            image: 0,
            run: run.run,
            size,
            fills: true,
            target: 0,
            stage: Stage::Running { at: moment.now },
            stopping: Some(moment.now),
            percent: UNKNOWN_PACE,
            paced: 0,
            figure: 0,
        };
        worker.hold(key, slot);
    }

    /// Notes that a task of the job has begun.
    fn begun(&mut self, key: &Key) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        job.began = true;
        if job.progress.state == State::Queued {
            job.progress.state = State::Running;
            self.dirty.insert(key.job.clone());
        }
    }

    fn save(&mut self, key: &Key, saved: Option<&Arc<str>>) {
        let (Some(saved), Some(job)) = (saved, self.jobs.get_mut(&key.job)) else {
            return;
        };
        let task = &mut job.progress.tasks[key.place];
        if task.phase != Phase::Done && task.saved.as_ref() != Some(saved) {
            task.saved = Some(saved.clone());
        }
    }

    /// Takes in one listed end, once.
    fn end(&mut self, id: &Arc<str>, end: &End, moment: Moment) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if end.number <= worker.read {
            return;
        }
        worker.read = end.number;
        worker.unwritten.push_back((end.number, end.job.clone()));
        let Some(job) = self.jobs.get(&end.job) else {
            let key = Key {
                job: end.job.clone(),
                place: end.address.index as usize,
            };
            self.vacate(id, &key, end.run);
            return;
        };
        let Some(place) = job.progress.submission.spec.place(end.address) else {
            return;
        };
        let key = Key {
            job: end.job.clone(),
            place,
        };
        log::info!(target: "cell", job = key.job.as_str(), place, worker = &**id, run = end.run, how:? = end.how; "A run has ended.");
        let was_here = self.vacate(id, &key, end.run);
        self.judge(id, end.how, moment.now);
        self.save(&key, end.saved.as_ref());
        match end.how {
            How::Done => self.done(id, &key, was_here, moment),
            How::Failed => self.failed(&key, end.run, was_here, moment),
            _ if was_here => self.interrupted(&key),
            _ => {}
        }
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

    fn interrupted(&mut self, key: &Key) {
        self.dirty_if_open(key);
        self.free_if_placed_nowhere(key);
    }

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
    fn free_if_placed_nowhere(&mut self, key: &Key) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if let Phase::Placed(worker) = &job.progress.tasks[key.place].phase
            && let Some(worker) = self.workers.get(worker)
            && worker.slots.contains_key(key)
        {
            return;
        }
        self.free(key);
    }

    fn done(&mut self, id: &Arc<str>, key: &Key, was_here: bool, moment: Moment) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.progress.state.is_final() {
            return;
        }
        let step = job.progress.step(key.place);
        if step.lasting {
            if was_here {
                self.interrupted(key);
            }
            return;
        }
        let (is_gang, number) = (
            step.gang,
            job.progress.submission.spec.address(key.place).step,
        );
        let time = job.progress.submission.spec.address(key.place).time;
        let places = if is_gang {
            job.progress.places(time, number)
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
        }
        let is_done = job.progress.is_done();
        self.dirty.insert(key.job.clone());
        for (worker, place) in elsewhere {
            let key = Key {
                job: key.job.clone(),
                place,
            };
            self.stop(&worker, &key, moment.now);
        }
        if is_done {
            self.finish(&key.job, State::Completed, moment.now, moment.wall);
        } else {
            self.open(&key.job, moment.wall);
        }
    }

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

    /// Frees the tasks that the worker would list if it had them.
    fn missing(&mut self, id: &Arc<str>, listed: &HashSet<Key>, clock: u64, moment: Moment) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut gone = Vec::new();
        for (key, slot) in &worker.slots {
            if listed.contains(key) {
                continue;
            }
            let is_gone = match slot.stage {
                Stage::Sent { deadline } => clock > deadline,
                Stage::Running { at } => at < moment.sent,
            };
            if is_gone {
                gone.push((key.clone(), slot.stage));
            }
        }
        for (key, stage) in gone {
            log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &**id, stage:? = stage; "A worker does not list a run that it was given.");
            if let Some(worker) = self.workers.get_mut(id) {
                worker.release(&key);
            }
            self.free_if_placed_nowhere(&key);
        }
    }

    /// Takes in what came of an order. True when it shows that another owner has taken over.
    pub fn answered(&mut self, id: &Arc<str>, order: &Order, outcome: Outcome, now: u64) -> bool {
        if outcome == Outcome::Refused(Reason::Fence) {
            return true;
        }
        if outcome == Outcome::Refused(Reason::OtherLife) {
            self.lose(id, "another life answers");
            return false;
        }
        if let Order::Start(start) = order {
            self.started(id, start, outcome, now);
        }
        false
    }

    fn started(&mut self, id: &Arc<str>, start: &Start, outcome: Outcome, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(slot) = worker.slots.get_mut(&start.key) else {
            return;
        };
        if slot.run != start.run {
            return;
        }
        match outcome {
            Outcome::Done => {
                slot.stage = Stage::Running { at: now };
                self.begun(&start.key);
            }
            Outcome::Unknown => worker.shun(now),
            Outcome::Refused(reason) => {
                log::info!(target: "cell", job = start.key.job.as_str(), place = start.key.place, worker = &**id, run = start.run, reason:? = reason; "A start is refused.");
                worker.shun(now);
                worker.release(&start.key);
                if reason == Reason::Ticket {
                    self.drop_ticket(&start.key.job, start.address, id);
                }
                self.free_if_placed_nowhere(&start.key);
            }
        }
    }
}

fn stop_order(key: &Key, run: &Run) -> Order {
    Order::Stop {
        key: key.clone(),
        address: run.address,
        run: run.run,
    }
}
