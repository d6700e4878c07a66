//! Feasibility and scoring of workers for a task.

use {
    crate::{
        cell::{Cell, Job, Rank},
        crashes::{Suspicion, crash_cost},
        interference::Image,
        overdue::Obstacle,
        worker::{TaskKey, Worker},
    },
    job::{Address, Step},
    std::sync::Arc,
};

/// Cost of a worker away from the task's data, in thousandths of a core of capacity left unused.
/// Workers near the data are chosen first unless they are full. All costs below use this unit.
const FAR_COST: u64 = 1_000_000;
/// Cost of a best-effort task for each unit of load by which it takes serving tasks over the limit
/// at their peak.
const OVERLOAD_COST: f64 = 2_000_000.0;
/// Additional cost of a best-effort task that slows down serving tasks.
const HARM_COST: u64 = 200_000;
/// Cost of a best-effort task beside serving ones, even if it does not slow them down.
const SHARED_COST: u64 = 4_000;
/// Cost of a serving task beside tasks that are sensitive to the same best-effort images, if there
/// are also others. A best-effort image is harmless only on workers whose serving tasks are alike
/// in this respect.
const MIXED_ALIKE_COST: u64 = 50_000;
/// Cost of a serving task on a worker that has none yet.
const EMPTY_COST: u64 = 100_000;
/// Cost of a serving task beside several unlike images. Most best-effort images are harmful on such
/// a worker already.
const MIXED_COST: u64 = 200_000;
/// Cost of a serving task beside a single unlike image. It spoils a worker on which some
/// best-effort image is harmless.
const MIXING_COST: u64 = 300_000;

/// Cost of a worker on which the task has just failed.
const AVOIDED_COST: u64 = 1_000_000;

/// Results of a task's earlier runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct History {
    /// The task.
    pub place: usize,
    /// The number of failed runs.
    pub failures: u32,
    /// Whether it may crash its worker.
    pub suspicion: Suspicion,
}

/// The workers to consider for a task.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Scope<'a> {
    /// All workers.
    All,
    /// This many workers in the order of their ids, starting from this one and wrapping around.
    From(&'a Arc<str>, usize),
    /// Only these.
    These(&'a [Arc<str>]),
}

impl Cell {
    /// Returns the results of a task's earlier runs.
    pub(crate) fn history(&self, rank: &Rank, place: usize) -> History {
        History {
            place,
            failures: self.failures(rank, place),
            suspicion: self.suspicion(&rank.id, place),
        }
    }

    /// Returns how often a task has failed.
    pub(crate) fn failures(&self, rank: &Rank, place: usize) -> u32 {
        self.jobs
            .get(&rank.id)
            .map_or(0, |job| job.progress.tasks[place].failed.len() as u32)
    }

    /// Returns the feasible worker of least cost within the scope for a task of the step at this
    /// address, given the results of its earlier runs; `None` if no worker is feasible.
    pub(crate) fn choose(
        &self,
        rank: &Rank,
        address: Address,
        history: History,
        among: Scope<'_>,
        now: u64,
    ) -> Option<Arc<str>> {
        let job = self.jobs.get(&rank.id)?;
        let step = &job.progress.submission.spec.steps[address.step as usize];
        let image = self.image(step);
        let is_accepted = |_: &Arc<str>, worker: &Worker| {
            self.is_feasible(job, address, image, worker, 0, now)
                && self
                    .history_obstacle(job, address, worker, history, now)
                    .is_none()
        };
        let failing = job.failing.get(&history.place);
        let cost = |worker: &Worker| {
            if history.suspicion == Suspicion::Alone {
                self.trial_cost(worker, now)
            } else if history.suspicion.is_risky() {
                crash_cost(worker)
            } else {
                let mut cost = self.cost(step, image, worker);
                if failing.is_some_and(|streak| streak.avoids(&worker.entry.id, now)) {
                    cost += AVOIDED_COST;
                }
                if history.suspicion.needs_trial() {
                    cost += self.lost_before_cost(worker);
                }
                cost
            }
        };
        match among {
            Scope::All => cheapest(self.workers.iter(), is_accepted, cost),
            Scope::From(id, count) => {
                let before = self.workers.range(..id.clone());
                let wrapped = self.workers.range(id.clone()..).chain(before);
                cheapest(wrapped.take(count), is_accepted, cost)
            }
            Scope::These(ids) => {
                let known = ids.iter().filter_map(|id| self.workers.get_key_value(id));
                cheapest(known, is_accepted, cost)
            }
        }
    }

    /// Returns the number of a step's image.
    pub(crate) fn image(&self, step: &Step) -> Image {
        self.interference.lookup(step.image.as_ref())
    }

    /// True if a task of the step, which has this image, may run on the worker beside `before`
    /// others of the step that are chosen for it but not started yet.
    pub(crate) fn is_feasible(
        &self,
        job: &Job,
        address: Address,
        image: Image,
        worker: &Worker,
        before: u64,
        now: u64,
    ) -> bool {
        self.obstacle(job, address, image, worker, before, now)
            .is_none()
    }

    /// Returns what keeps a task of the step from running on the worker; see [`Cell::is_feasible`].
    pub(crate) fn obstacle(
        &self,
        job: &Job,
        address: Address,
        image: Image,
        worker: &Worker,
        before: u64,
        now: u64,
    ) -> Option<Obstacle> {
        let step = &job.progress.submission.spec.steps[address.step as usize];
        // Capacity is checked first: most workers lack it, and the check is cheap.
        if !has_capacity(step, worker, before) {
            return Some(Obstacle::Room);
        }
        let is_schedulable =
            worker.is_schedulable(now) || (job.overdue && worker.is_quarantined(now));
        if !is_schedulable {
            return Some(Obstacle::Closed);
        }
        if worker.backpressured {
            return Some(Obstacle::Held);
        }
        if self.is_in_closed_hall(worker) {
            return Some(Obstacle::Shut);
        }
        if !self.is_capacity_known(worker, now) {
            return Some(Obstacle::RoomUnknown);
        }
        if self.is_reserved_for_trial(&worker.entry.id) {
            return Some(Obstacle::KeptAlone);
        }
        if worker.entry.pool != job.progress.submission.queue.pool {
            return Some(Obstacle::Pool);
        }
        if let Some(label) = &step.label
            && !worker.entry.has_label(label)
        {
            return Some(Obstacle::Label);
        }
        if step.fills
            && !self
                .impact(step, image, worker, before + 1)
                .is_acceptable(self.urgency(job))
        {
            return Some(Obstacle::Disturbs);
        }
        let is_within_spread = step.spread == 0
            || self.count_held(job, address, worker) + before < u64::from(step.spread);
        (!is_within_spread).then_some(Obstacle::Spread)
    }

    /// Returns what keeps a task with these earlier runs from running on a worker that is otherwise
    /// feasible.
    pub(crate) fn history_obstacle(
        &self,
        job: &Job,
        address: Address,
        worker: &Worker,
        history: History,
        now: u64,
    ) -> Option<Obstacle> {
        let id = &worker.entry.id;
        let step = &job.progress.submission.spec.steps[address.step as usize];
        let is_trusted = if step.lasting && job.overdue {
            worker.accepts_overdue()
        } else {
            let failures = if step.lasting { 0 } else { history.failures };
            worker.is_trusted(failures, now)
        };
        if !is_trusted {
            return Some(Obstacle::Untrusted);
        }
        if !job.is_advised(address, id, now) {
            return Some(Obstacle::Unadvised);
        }
        (!self.allows_trial(id, history.suspicion)).then_some(Obstacle::Trial)
    }

    /// Returns the cost of placing a task on the worker; the lowest is best. Workers near the
    /// task's data are preferred. A task with a CPU reservation prefers the fullest worker with
    /// similar serving tasks; a best-effort task prefers workers where it does least harm and most
    /// CPU is idle.
    pub(crate) fn cost(&self, step: &Step, image: Image, worker: &Worker) -> u64 {
        let mut cost = 0;
        if let Some(rack) = &step.rack
            && !worker.entry.has_label(rack)
        {
            cost += FAR_COST;
        }
        if step.fills {
            let impact = self.impact(step, image, worker, 1);
            cost += (impact.excess() * OVERLOAD_COST) as u64;
            if impact.harms {
                cost += HARM_COST;
            }
            if worker.serving_cpu > 0 {
                cost += SHARED_COST;
            }
            return cost + worker.entry.size.cpu.saturating_sub(worker.idle_cpu());
        }
        if step.target > 0 {
            cost += self.mixing_cost(image, worker);
        }
        cost + worker.free().cpu
    }

    /// Returns the cost of a serving task for the other serving images on a worker.
    fn mixing_cost(&self, image: Image, worker: &Worker) -> u64 {
        let images = worker.serving_images.keys();
        let unlike = images
            .filter(|other| !self.interference.is_similar(**other, image))
            .count();
        let has_alike = worker.serving_images.len() > unlike;
        match (has_alike, unlike) {
            (true, 0) => 0,
            (true, _) => MIXED_ALIKE_COST,
            (false, 0) => EMPTY_COST,
            (false, 1) => MIXING_COST,
            (false, _) => MIXED_COST,
        }
    }

    /// Returns how many tasks of a step, in one repetition, the worker holds.
    fn count_held(&self, job: &Job, address: Address, worker: &Worker) -> u64 {
        let submission = &job.progress.submission;
        let places = job.progress.places(address.time, address.step);
        let is_member = |key: &&TaskKey| key.job == submission.id && places.contains(&key.place);
        worker.slots.keys().filter(is_member).count() as u64
    }
}

/// Returns the accepted worker of least cost, the first one of equals.
pub(crate) fn cheapest<'a>(
    workers: impl Iterator<Item = (&'a Arc<str>, &'a Worker)>,
    is_accepted: impl Fn(&Arc<str>, &Worker) -> bool,
    cost: impl Fn(&Worker) -> u64,
) -> Option<Arc<str>> {
    let mut best: Option<(u64, &Arc<str>)> = None;
    for (id, worker) in workers {
        if !is_accepted(id, worker) {
            continue;
        }
        let cost = cost(worker);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, id));
        }
    }
    best.map(|(_, id)| id.clone())
}

/// True if a task of the step fits on the worker beside `before` others of the step that are chosen
/// for it but not started yet.
fn has_capacity(step: &Step, worker: &Worker, before: u64) -> bool {
    let mut free = worker.free();
    let size = step.size;
    let (cpu, memory, gpus) = (size.cpu * before, size.memory * before, size.gpus * before);
    free.memory = free.memory.saturating_sub(memory);
    free.gpus = free.gpus.saturating_sub(gpus);
    free.cpu = free.cpu.saturating_sub(cpu);
    if !step.fills {
        return size.fits(free);
    }
    if size.memory > free.memory || size.gpus > free.gpus || worker.over_target_since.is_some() {
        return false;
    }
    worker.idle_cpu() >= size.cpu * (before + 1)
}
