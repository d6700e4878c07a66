//! The placement pass, which assigns ready tasks to workers.

use {
    crate::{
        cell::{Cell, Job, Rank},
        choose::{History, Scope},
        crashes::{self, Suspicion},
        order::{Order, Start},
        run_log::RUNS_PER_LINE,
        serving_load::Urgency,
        slot::{Slot, Stage},
        takeover::HeldBack,
        timing,
        worker::TaskKey,
    },
    job::{Address, Crashes, Id, Phase, Recorded, spec::Size},
    std::{collections::HashSet, ops::Range, sync::Arc},
};

/// Demands that found no capacity are tried on all workers again after this time, in milliseconds,
/// and until then on changed workers only.
const RESCAN_AFTER: u64 = 500;
/// In a cell with more workers than this, a task is placed on the best of a part of them. A scan of
/// 3,000 workers takes 0.6 ms of CPU, and 2,600 long-running tasks that became ready at once
/// blocked an owner for 3.2 s, until another owner took over its cell.
const FULL_SCAN_MAX: usize = 1_000;
/// The size of that part: if a twentieth of the workers is feasible, it has 25 of them.
const SCAN_SIZE: usize = 500;
/// The maximum number of worker checks per pass, which take 20 to 40 ms of CPU. After that, pending
/// reports are processed.
const MAX_CHECKS: usize = 200_000;

impl Cell {
    /// Places all ready tasks for which there is capacity.
    pub fn place(&mut self, now: u64) {
        self.place_up_to(now, usize::MAX);
    }

    /// Places at most `most` ready tasks, in rank order. Tasks whose start could not be sent soon
    /// stay queued, so that more urgent ones can overtake them. Gangs are placed whole.
    pub fn place_up_to(&mut self, now: u64, most: usize) {
        self.placements_left = most;
        self.worker_checks = 0;
        if most == 0 {
            return;
        }
        self.end_stale_trials();
        self.held_back = HeldBack::default();
        let changed = self.take_changed(now);
        self.last_pass = now;
        self.unplaceable
            .retain(|known| now < known.since + RESCAN_AFTER);
        let queue: Vec<Rank> = self.ready_jobs.iter().cloned().collect();
        for rank in queue {
            self.place_job(&rank, now, &changed);
            if self.is_pass_over() {
                // Jobs that were not reached must still check the changed workers.
                self.mark_changed(&changed);
                return;
            }
        }
    }

    /// Sets the workers that get no work for now because the connections to them are saturated. All
    /// other workers may get work.
    pub fn set_backpressured(&mut self, saturated: HashSet<Arc<str>>) {
        let released: Vec<Arc<str>> = self.backpressured.difference(&saturated).cloned().collect();
        for id in &saturated {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.backpressured = true;
            }
        }
        for id in &released {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.backpressured = false;
            }
        }
        self.mark_changed(&released);
        self.backpressured = saturated;
    }

    /// Marks workers as changed, so that unplaceable tasks are tried on them again.
    fn mark_changed(&mut self, ids: &[Arc<str>]) {
        for id in ids {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.changed = true;
            }
        }
    }

    /// Places the ready tasks of a job, and logs the placements.
    fn place_job(&mut self, rank: &Rank, now: u64, changed: &[Arc<str>]) {
        self.place_ready(rank, now, changed);
        if self.placed.is_empty() {
            return;
        }
        let texts: Vec<String> = self
            .placed
            .drain(..)
            .map(|(place, run, id)| format!("{place}.{run}@{id}"))
            .collect();
        for texts in texts.chunks(RUNS_PER_LINE) {
            let tasks = texts.join(" ");
            log::info!(target: "cell", job = rank.id.as_str(), count = texts.len(), tasks = tasks.as_str(); "Tasks are placed.");
        }
    }

    /// Places the ready tasks of a job.
    fn place_ready(&mut self, rank: &Rank, now: u64, changed: &[Arc<str>]) {
        let Some(job) = self.jobs.get(&rank.id) else {
            self.ready_jobs.remove(rank);
            return;
        };
        if job.unconfirmed && self.recovery_holds_all() {
            return;
        }
        if let Some((tasks, worker)) = self.held_job(job) {
            self.hold_back(tasks, worker);
            return;
        }
        let mut next = 0;
        while let Some(address) = self.next_ready(rank, next) {
            if self.is_pass_over() {
                return;
            }
            let places = self.places(rank, address);
            next = places.end;
            self.place_step(rank, address, places, now, changed);
        }
        let Some(job) = self.jobs.get_mut(&rank.id) else {
            return;
        };
        if job.ready.is_empty() {
            self.ready_jobs.remove(rank);
            job.reset_waiting();
        }
    }

    /// Returns the address of the first ready task of a job from this place on.
    fn next_ready(&self, rank: &Rank, from: usize) -> Option<Address> {
        let job = self.jobs.get(&rank.id)?;
        let place = job.ready.range(from..).next()?;
        Some(job.progress.submission.spec.address(*place))
    }

    /// Returns the places of all tasks of a step in one repetition.
    pub(crate) fn places(&self, rank: &Rank, address: Address) -> Range<usize> {
        self.jobs
            .get(&rank.id)
            .map_or(0..0, |job| job.progress.places(address.time, address.step))
    }

    /// Places the ready tasks of a step in one repetition. `changed` are the workers that may have
    /// more capacity than at the last full scan.
    fn place_step(
        &mut self,
        rank: &Rank,
        address: Address,
        places: Range<usize>,
        now: u64,
        changed: &[Arc<str>],
    ) {
        if self.is_step_held(&rank.id, address, &places) {
            return;
        }
        let Some(job) = self.jobs.get(&rank.id) else {
            return;
        };
        let submission = job.progress.submission.clone();
        let step = &submission.spec.steps[address.step as usize];
        let demand = Demand::of(job, address, self.urgency(job));
        let is_unplaceable = self.is_unplaceable(&demand);
        if is_unplaceable && changed.is_empty() {
            return;
        }
        let mut ready: Vec<usize> = job.ready.range(places.clone()).copied().collect();
        let has_held = self.retain_startable(&rank.id, address, &mut ready);
        self.count_unobserved_crashes(&rank.id, &ready, now);
        if step.gang {
            if is_unplaceable || has_held {
                self.mark_suspects_unplaceable(&rank.id, places);
            } else {
                self.place_gang(rank, address, &ready, step, now);
            }
            return;
        }
        // The restrictions under which no worker was found in this pass.
        let mut failed: Vec<Restrictions> = Vec::new();
        for place in ready {
            if self.is_pass_over() {
                return;
            }
            if self.is_start_blocked(&rank.id, place) {
                continue;
            }
            let history = self.history(rank, place);
            let restrictions = Restrictions::of(history);
            if failed.iter().any(|known| known.covers(restrictions)) {
                self.mark_unplaceable(&rank.id, place);
                continue;
            }
            let is_restricted = restrictions != Restrictions::default();
            let is_unplaceable = is_unplaceable
                || (is_restricted && self.is_unplaceable(&demand.restricted(restrictions)));
            let among = is_unplaceable.then_some(changed);
            if self.place_task(rank, address, place, history, among, now) {
                continue;
            }
            failed.push(restrictions);
            self.mark_unplaceable(&rank.id, place);
            let is_advised = submission.queue.advised;
            if is_advised {
                self.request_advice(rank, address, step, now);
            }
            if !is_unplaceable && !is_advised {
                self.unplaceable.push(Unplaceable {
                    demand: demand.restricted(restrictions),
                    since: now,
                });
            }
            // A task that has failed or is suspected is feasible on fewer workers, so other tasks
            // may still be placeable.
            if !is_restricted {
                self.mark_suspects_unplaceable(&rank.id, places);
                return;
            }
        }
    }

    /// Places a task on the best worker, of all or only if one of the `among` workers is feasible.
    /// Returns false if none is feasible.
    fn place_task(
        &mut self,
        rank: &Rank,
        address: Address,
        place: usize,
        history: History,
        among: Option<&[Arc<str>]>,
        now: u64,
    ) -> bool {
        let chosen = match among {
            Some(ids) => {
                self.worker_checks += ids.len();
                self.choose(rank, address, history, Scope::These(ids), now)
            }
            None => self.choose_worker(rank, address, history, now),
        };
        // The best worker for an isolated trial may not be among the changed ones.
        let chosen = match chosen {
            Some(_) if among.is_some() && history.suspicion == Suspicion::Alone => {
                self.choose_worker(rank, address, history, now)
            }
            chosen => chosen,
        };
        let Some(id) = chosen else {
            return false;
        };
        let run = self.next_run(rank, place);
        self.start(rank, place, run, &id, now);
        true
    }

    /// Chooses the best worker for a task. A large cell is scanned in parts, a different one each
    /// time. All workers are scanned if the part has no feasible worker, if data or hardware
    /// restrict the step to few workers, or if the task needs an isolated trial.
    fn choose_worker(
        &mut self,
        rank: &Rank,
        address: Address,
        history: History,
        now: u64,
    ) -> Option<Arc<str>> {
        let count = self.workers.len();
        let needs_best = history.suspicion == Suspicion::Alone || self.is_restricted(rank, address);
        if count > FULL_SCAN_MAX && !needs_best {
            let from = std::mem::take(&mut self.scan_start);
            let chosen = self.choose(rank, address, history, Scope::From(&from, SCAN_SIZE), now);
            let mut rest = self.workers.range(from.clone()..);
            self.scan_start = rest
                .nth(SCAN_SIZE)
                .map_or_else(|| "".into(), |(id, _)| id.clone());
            self.worker_checks += SCAN_SIZE;
            if chosen.is_some() {
                return chosen;
            }
        }
        self.full_scans += 1;
        self.worker_checks += count;
        self.choose(rank, address, history, Scope::All, now)
    }

    /// True if only few workers may be suitable for a step.
    fn is_restricted(&self, rank: &Rank, address: Address) -> bool {
        self.jobs.get(&rank.id).is_none_or(|job| {
            let step = &job.progress.submission.spec.steps[address.step as usize];
            step.label.is_some() || step.rack.is_some()
        })
    }

    /// True if the limits of this pass on placements or worker checks are reached.
    fn is_pass_over(&self) -> bool {
        self.placements_left == 0 || self.worker_checks >= MAX_CHECKS
    }

    /// True if an equal or smaller demand has recently found no capacity.
    fn is_unplaceable(&self, demand: &Demand) -> bool {
        self.unplaceable
            .iter()
            .any(|known| known.demand.covers(demand))
    }

    /// Returns the number of the next run of a task.
    pub(crate) fn next_run(&self, rank: &Rank, place: usize) -> u64 {
        self.jobs
            .get(&rank.id)
            .map_or(1, |job| job.progress.tasks[place].run + 1)
    }

    /// Assigns a task to a worker and orders its start.
    pub(crate) fn start(&mut self, rank: &Rank, place: usize, run: u64, id: &Arc<str>, now: u64) {
        let (Some(job), Some(worker)) = (self.jobs.get_mut(&rank.id), self.workers.get_mut(id))
        else {
            return;
        };
        let Some(clock) = worker.clock_at(now) else {
            return;
        };
        let deadline = clock + timing::START_WINDOW;
        worker.max_deadline = worker.max_deadline.max(deadline);
        let key = TaskKey {
            job: rank.id.clone(),
            place,
        };
        let step = job.progress.step(place);
        let address = job.progress.submission.spec.address(place);
        let image = self.interference.intern(step.image.as_ref());
        let slot = Slot {
            decided: now,
            spread: crashes::start_spread(job.delayed.remove(&place), now),
            ..Slot::new(step, address, image, run, Stage::Sent { deadline })
        };
        // A stopped run of the task may still hold the slot that is replaced.
        worker.reported &= !worker.slots.contains_key(&key);
        worker.add_slot(key.clone(), slot);
        if worker.is_faulty() {
            worker.probe = Some(key.clone());
        }
        let start = job.assign(key.clone(), run, id, deadline, now);
        self.crashes.unobserved.forget(&key);
        if job.progress.tasks[place].crashes != Crashes::default() {
            // The next owner has to know where a suspect was started.
            self.dirty.insert(key.job.clone());
        }
        self.count_start(&key.job, now);
        self.begin_trial(id, key, run, now);
        self.placements_left = self.placements_left.saturating_sub(1);
        self.first_placement.get_or_insert(now);
        self.placed.push((place, run, id.clone()));
        self.orders.push((id.clone(), Order::Start(start)));
        self.update_serving_load(id, now);
    }
}

impl Job {
    /// Resets the waiting time of long-running tasks, when no task of the job is ready.
    pub(crate) fn reset_waiting(&mut self) {
        self.waiting_since = None;
        self.overdue = false;
        self.rank.lasting = self.progress.submission.spec.is_long_running();
    }

    /// Marks a ready task as placed on a worker. Returns the order to start it.
    fn assign(&mut self, key: TaskKey, run: u64, id: &Arc<str>, deadline: u64, now: u64) -> Start {
        let place = key.place;
        let task = &mut self.progress.tasks[place];
        task.run = run;
        task.phase = Phase::Placed(id.clone());
        task.confirmed = false;
        task.recorded = Recorded::None;
        self.ready.remove(&place);
        self.unplaceable.remove(&place);
        let saved = task.checkpoint.clone();
        let spec = &self.progress.submission.spec;
        let address = spec.address(place);
        Start {
            key,
            address,
            run,
            text: spec.text.clone(),
            saved,
            deadline,
            ticket: self.ticket(address, id, now),
        }
    }
}

/// What restricts a task to fewer workers than others of its step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Restrictions {
    /// It has failed, and goes to no worker whose last run has failed.
    has_failed: bool,
    /// It goes to no worker with a trial.
    needs_trial: bool,
}

impl Restrictions {
    fn of(history: History) -> Self {
        Restrictions {
            has_failed: history.failures > 0,
            needs_trial: history.suspicion.needs_trial(),
        }
    }

    /// True if a task with these restrictions is feasible wherever one with the others is.
    fn covers(self, other: Self) -> bool {
        (other.has_failed || !self.has_failed) && (other.needs_trial || !self.needs_trial)
    }
}

/// A class of tasks that are equally hard to place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Demand {
    pool: Arc<str>,
    size: Size,
    fills: bool,
    label: Option<Arc<str>>,
    /// The image, for best-effort tasks, since it determines which serving tasks they slow down.
    image: Option<Arc<str>>,
    /// For best-effort tasks: how urgently they need capacity beside serving tasks.
    urgency: Urgency,
    /// The step itself, if the number of its tasks per worker is limited.
    only: Option<(Id, u32, u16)>,
    /// The task also goes to quarantined workers, since its job is overdue.
    overdue: bool,
    restrictions: Restrictions,
}

/// A demand for which a scan of all workers found no capacity.
#[derive(Debug)]
pub(crate) struct Unplaceable {
    demand: Demand,
    since: u64,
}

impl Demand {
    fn of(job: &Job, address: Address, urgency: Urgency) -> Self {
        let submission = &job.progress.submission;
        let step = &submission.spec.steps[address.step as usize];
        let this_step = || (submission.id.clone(), address.time, address.step);
        Demand {
            pool: submission.queue.pool.clone(),
            size: step.size,
            fills: step.fills,
            label: step.label.clone(),
            image: step.image.clone().filter(|_| step.fills),
            urgency: if step.fills { urgency } else { Urgency::None },
            only: (step.spread > 0).then(this_step),
            overdue: job.overdue,
            restrictions: Restrictions::default(),
        }
    }

    /// Returns the demand of a task of the same step with these restrictions.
    fn restricted(&self, restrictions: Restrictions) -> Self {
        Demand {
            restrictions,
            ..self.clone()
        }
    }

    /// True if a lack of capacity for this demand implies a lack of capacity for the other.
    fn covers(&self, other: &Demand) -> bool {
        let is_same_class = self.pool == other.pool
            && self.fills == other.fills
            && self.label == other.label
            && self.image == other.image;
        let is_general = self.only.is_none() || self.only == other.only;
        let is_more_urgent = self.urgency >= other.urgency && (self.overdue || !other.overdue);
        is_same_class
            && is_general
            && is_more_urgent
            && self.restrictions.covers(other.restrictions)
            && self.size.fits(other.size)
    }
}
