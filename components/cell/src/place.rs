//! The pass that places ready tasks on workers.

use {
    crate::{
        cell::{Cell, Job, Rank},
        choose::{History, Scope},
        crashes::Suspicion,
        order::{Order, Start},
        run_log::RUNS_PER_LINE,
        serving_load::Urgency,
        slot::{Slot, Stage},
        timing,
        worker::TaskKey,
    },
    job::{Address, Id, Phase, Step, Submission, spec::Size},
    std::{collections::HashSet, ops::Range, sync::Arc},
};

/// A need that found no room is tried on all workers again after this time, in milliseconds; until
/// then only on those that have changed. What changes by itself is that a worker is given work
/// again after it was set aside.
const TRY_ALL: u64 = 500;
/// With more workers than this a task is placed on the best of a part of them: a look at all 3,000 takes 0.6 ms of a core,
/// and 2,600 lasting tasks at the start of a day held an owner up for 3.2 s, until others took its cell over.
const LOOK_AT_ALL: usize = 1_000;
/// That part: with as many, a twentieth of the workers to choose from leaves 25.
const PART: usize = 500;
/// Looks at single workers that one pass may take: 20 to 40 ms of a core, after which reports have their turn.
const LOOKS: usize = 200_000;

impl Cell {
    /// Places what can be placed now.
    pub fn place(&mut self, now: u64) {
        self.place_some(now, usize::MAX);
    }

    /// Places what can be placed now, but no more than so many tasks, by their order in line: what could not be
    /// told to its worker soon waits here, where more urgent work goes before it. Gangs are placed whole.
    pub fn place_some(&mut self, now: u64, most: usize) {
        self.placements_left = most;
        self.worker_checks = 0;
        if most == 0 {
            return;
        }
        self.end_stale_trials();
        let changed = self.take_changed(now);
        self.unplaceable.retain(|known| now < known.since + TRY_ALL);
        let line: Vec<Rank> = self.ready_jobs.iter().cloned().collect();
        for rank in line {
            self.place_job(&rank, now, &changed);
            if self.is_spent() {
                // What has changed is looked at again by those who had no turn.
                self.mark_changed(&changed);
                return;
            }
        }
    }

    /// Gives no work to these workers for now, and to all others again.
    pub fn set_backpressured(&mut self, held: HashSet<Arc<str>>) {
        let free: Vec<Arc<str>> = self.backpressured.difference(&held).cloned().collect();
        for id in &held {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.backpressured = true;
            }
        }
        for id in &free {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.backpressured = false;
            }
        }
        self.mark_changed(&free);
        self.backpressured = held;
    }

    /// Has work that found no room look at these workers again.
    fn mark_changed(&mut self, ids: &[Arc<str>]) {
        for id in ids {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.changed = true;
            }
        }
    }

    /// Places the ready tasks of one job, and tells which.
    fn place_job(&mut self, rank: &Rank, now: u64, changed: &[Arc<str>]) {
        self.place_ready(rank, now, changed);
        if self.placed.is_empty() {
            return;
        }
        let told: Vec<String> = self
            .placed
            .drain(..)
            .map(|(place, run, id)| format!("{place}.{run}@{id}"))
            .collect();
        for told in told.chunks(RUNS_PER_LINE) {
            let tasks = told.join(" ");
            log::info!(target: "cell", job = rank.id.as_str(), count = told.len(), tasks = tasks.as_str(); "Tasks are placed.");
        }
    }

    /// Places the ready tasks of one job.
    fn place_ready(&mut self, rank: &Rank, now: u64, changed: &[Arc<str>]) {
        let Some(job) = self.jobs.get(&rank.id) else {
            self.ready_jobs.remove(rank);
            return;
        };
        if job.unconfirmed && self.recovery.is_some() {
            return;
        }
        let mut next = 0;
        while let Some(address) = self.next_ready(rank, next) {
            if self.is_spent() {
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
            job.leave_line();
        }
    }

    /// The first ready task of a job from this place on.
    fn next_ready(&self, rank: &Rank, from: usize) -> Option<Address> {
        let job = self.jobs.get(&rank.id)?;
        let place = job.ready.range(from..).next()?;
        Some(job.progress.submission.spec.address(*place))
    }

    /// The places of all tasks of a step.
    fn places(&self, rank: &Rank, address: Address) -> Range<usize> {
        self.jobs
            .get(&rank.id)
            .map_or(0..0, |job| job.progress.places(address.time, address.step))
    }

    /// Places ready tasks of one step at one of its times. `changed` has the workers that may have
    /// more room than when all were last looked through.
    fn place_step(
        &mut self,
        rank: &Rank,
        address: Address,
        places: Range<usize>,
        now: u64,
        changed: &[Arc<str>],
    ) {
        let Some(job) = self.jobs.get(&rank.id) else {
            return;
        };
        let submission = job.progress.submission.clone();
        let step = &submission.spec.steps[address.step as usize];
        let need = Demand::of(step, &submission, address, self.urgency(job));
        let mut is_stuck = self.is_stuck(&need);
        if is_stuck && changed.is_empty() {
            return;
        }
        let ready: Vec<usize> = job.ready.range(places).copied().collect();
        if step.gang {
            if !is_stuck {
                self.place_gang(rank, address, &ready, step, now);
            }
            return;
        }
        for place in ready {
            if self.is_spent() {
                return;
            }
            if self.is_start_blocked(&rank.id, place) {
                continue;
            }
            let among = is_stuck.then_some(changed);
            let past = self.history(rank, place);
            if self.place_task(rank, address, place, past, among, now) {
                continue;
            }
            if past.suspicion == Suspicion::Alone {
                self.mark_unplaceable(&rank.id, place);
            }
            let is_advised = submission.queue.advised;
            if is_advised {
                self.request_advice(rank, address, step, now);
            }
            // Fewer workers will do for a task that has failed or is suspected: the others may find room.
            if past.failures > 0 || past.suspicion.needs_trial() {
                continue;
            }
            if is_stuck || is_advised {
                return;
            }
            self.unplaceable.push(Unplaceable {
                need: need.clone(),
                since: now,
            });
            is_stuck = true;
        }
    }

    /// Places one task on the best of all workers, or of some. False when none of them will do.
    fn place_task(
        &mut self,
        rank: &Rank,
        address: Address,
        place: usize,
        past: History,
        among: Option<&[Arc<str>]>,
        now: u64,
    ) -> bool {
        let chosen = match among {
            Some(ids) => {
                self.worker_checks += ids.len();
                self.choose(rank, address, past, Scope::These(ids), now)
            }
            None => self.look_around(rank, address, past, now),
        };
        let Some(id) = chosen else {
            return false;
        };
        let run = self.next_run(rank, place);
        self.start(rank, place, run, &id, now);
        true
    }

    /// The best worker for a task: in a large cell of a part of the workers, another one each time, and of all only
    /// where none of these will do, or where data or hardware bind the step to few.
    fn look_around(
        &mut self,
        rank: &Rank,
        address: Address,
        past: History,
        now: u64,
    ) -> Option<Arc<str>> {
        let count = self.workers.len();
        if count > LOOK_AT_ALL && !self.is_bound(rank, address) {
            let from = std::mem::take(&mut self.scan_start);
            let chosen = self.choose(rank, address, past, Scope::From(&from, PART), now);
            let mut after = self.workers.range(from.clone()..);
            self.scan_start = after
                .nth(PART)
                .map_or_else(|| "".into(), |(id, _)| id.clone());
            self.worker_checks += PART;
            if chosen.is_some() {
                return chosen;
            }
        }
        self.full_scans += 1;
        self.worker_checks += count;
        self.choose(rank, address, past, Scope::All, now)
    }

    /// True when few workers may be good for a step.
    fn is_bound(&self, rank: &Rank, address: Address) -> bool {
        self.jobs.get(&rank.id).is_none_or(|job| {
            let step = &job.progress.submission.spec.steps[address.step as usize];
            step.label.is_some() || step.rack.is_some()
        })
    }

    /// True when the present pass has placed or looked as much as it may.
    fn is_spent(&self) -> bool {
        self.placements_left == 0 || self.worker_checks >= LOOKS
    }

    /// True when a need at most as large has found no room lately.
    fn is_stuck(&self, need: &Demand) -> bool {
        self.unplaceable.iter().any(|known| known.need.covers(need))
    }

    /// The number of the next run of a task.
    pub(crate) fn next_run(&self, rank: &Rank, place: usize) -> u64 {
        self.jobs
            .get(&rank.id)
            .map_or(1, |job| job.progress.tasks[place].run + 1)
    }

    /// Gives a task to a worker, and orders its start.
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
        let slot = Slot::new(step, address, image, run, Stage::Sent { deadline });
        worker.add_slot(key.clone(), slot);
        if worker.is_faulty() {
            worker.probe = Some(key.clone());
        }
        let start = job.assign(key.clone(), run, id, deadline, now);
        self.begin_trial(id, key, run, now);
        self.placements_left = self.placements_left.saturating_sub(1);
        self.placed.push((place, run, id.clone()));
        self.orders.push((id.clone(), Order::Start(start)));
        self.update_serving_load(id, now);
    }
}

impl Job {
    /// Forgets for how long its tasks have waited: none of them does any more.
    pub(crate) fn leave_line(&mut self) {
        self.waiting_since = None;
        self.overdue = false;
        self.rank.lasting = self.progress.submission.spec.is_lasting();
    }

    /// Marks a ready task as placed on a worker. Returns what the worker has to know for its start.
    fn assign(&mut self, key: TaskKey, run: u64, id: &Arc<str>, deadline: u64, now: u64) -> Start {
        let place = key.place;
        let task = &mut self.progress.tasks[place];
        task.run = run;
        task.phase = Phase::Placed(id.clone());
        self.ready.remove(&place);
        self.untried.remove(&place);
        let saved = task.saved.clone();
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

/// What makes one task as hard to place as another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Demand {
    pool: Arc<str>,
    size: Size,
    fills: bool,
    label: Option<Arc<str>>,
    /// Of a filling task: what it disturbs hangs on it.
    image: Option<Arc<str>>,
    /// Of a filling task: how much it is wanted where it disturbs.
    press: Urgency,
    /// The very step, where few of its tasks may be on one worker.
    only: Option<(Id, u32, u16)>,
}

/// A need that found no room when all workers were looked through.
#[derive(Debug)]
pub(crate) struct Unplaceable {
    need: Demand,
    since: u64,
}

impl Demand {
    fn of(step: &Step, submission: &Submission, address: Address, press: Urgency) -> Self {
        let own = || (submission.id.clone(), address.time, address.step);
        Demand {
            pool: submission.queue.pool.clone(),
            size: step.size,
            fills: step.fills,
            label: step.label.clone(),
            image: step.image.clone().filter(|_| step.fills),
            press: if step.fills { press } else { Urgency::None },
            only: (step.spread > 0).then(own),
        }
    }

    /// True when no room for this means that there is none for the other either.
    fn covers(&self, other: &Demand) -> bool {
        let is_like = self.pool == other.pool
            && self.fills == other.fills
            && self.label == other.label
            && self.image == other.image;
        let is_general = self.only.is_none() || self.only == other.only;
        let is_freer = self.press >= other.press;
        is_like && is_general && is_freer && self.size.fits(other.size)
    }
}
