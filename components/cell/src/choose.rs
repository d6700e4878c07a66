//! Which workers suit a task, and which of them suits it best.

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

/// Work on a worker away from its data counts this much, in thousandths of a core of room that is
/// left unused; so near room is taken first, unless none is there.
const FAR: u64 = 1_000_000;
/// Filling tasks count this much for each unit of load by which they take serving ones past the
/// limit at the highest load; see `FAR`.
const EXCESS: f64 = 2_000_000.0;
/// Filling tasks that disturb serving ones count this much besides; see `FAR`.
const HARMS: u64 = 200_000;
/// Filling tasks beside serving ones count this much even if they disturb nothing; see `FAR`.
const BESIDE: u64 = 4_000;
/// A serving task counts this much beside others that the same filling images disturb, where there are also
/// others; see `FAR`. Workers with serving tasks alike are where a filling image disturbs nothing.
const MIXED_ALIKE: u64 = 50_000;
/// A serving task counts this much on a worker that has none yet; see `FAR`.
const EMPTY: u64 = 100_000;
/// A serving task counts this much beside several unlike ones; see `FAR`. Such a worker is lost to most
/// filling images already.
const MIXED: u64 = 200_000;
/// A serving task counts this much beside a single unlike image; see `FAR`. It spoils a worker where some
/// filling image disturbs nothing.
const MIXES: u64 = 300_000;

/// What is known of a task's earlier runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct History {
    /// How often it has failed.
    pub failures: u32,
    /// Whether it may crash its worker.
    pub suspicion: Suspicion,
}

/// Which workers are looked at for a task.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Scope<'a> {
    /// All of them.
    All,
    /// So many in the order of their names, from this one on and round.
    From(&'a Arc<str>, usize),
    /// These.
    These(&'a [Arc<str>]),
}

impl Cell {
    /// What is known of a task's earlier runs.
    pub(crate) fn history(&self, rank: &Rank, place: usize) -> History {
        History {
            failures: self.failures(rank, place),
            suspicion: self.suspicion(&rank.id, place),
        }
    }

    /// How often a task has failed.
    pub(crate) fn failures(&self, rank: &Rank, place: usize) -> u32 {
        self.jobs
            .get(&rank.id)
            .map_or(0, |job| job.progress.tasks[place].failed.len() as u32)
    }

    /// The best worker for a task of the step at this address with such a past, of all workers or of
    /// some; `None` when none will do.
    pub(crate) fn choose(
        &self,
        rank: &Rank,
        address: Address,
        past: History,
        among: Scope<'_>,
        now: u64,
    ) -> Option<Arc<str>> {
        let job = self.jobs.get(&rank.id)?;
        let step = &job.progress.submission.spec.steps[address.step as usize];
        let image = self.image(step);
        let will_do = |_: &Arc<str>, worker: &Worker| {
            self.is_feasible(job, address, image, worker, 0, now)
                && self
                    .history_obstacle(job, address, worker, past, now)
                    .is_none()
        };
        let cost = |worker: &Worker| {
            if past.suspicion.is_risky() {
                crash_cost(worker)
            } else {
                self.cost(step, image, worker)
            }
        };
        let among = match past.suspicion {
            // The one that suits it best may not be among those that have changed.
            Suspicion::Alone => Scope::All,
            Suspicion::None | Suspicion::Late | Suspicion::Shared => among,
        };
        match among {
            Scope::All => cheapest(self.workers.iter(), will_do, cost),
            Scope::From(id, count) => {
                let before = self.workers.range(..id.clone());
                let round = self.workers.range(id.clone()..).chain(before);
                cheapest(round.take(count), will_do, cost)
            }
            Scope::These(ids) => {
                let known = ids.iter().filter_map(|id| self.workers.get_key_value(id));
                cheapest(known, will_do, cost)
            }
        }
    }

    /// The number of a step's image.
    pub(crate) fn image(&self, step: &Step) -> Image {
        self.interference.lookup(step.image.as_ref())
    }

    /// True when a task of the step, which has this image, may run on the worker, beside `before`
    /// others of it that are not started yet.
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

    /// What keeps a task of the step from running on the worker; see [`Cell::is_feasible`].
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
        // Room goes first: it is what most workers lack, and quick to see.
        if !has_room(step, worker, before) {
            return Some(Obstacle::Room);
        }
        let is_open = worker.is_schedulable(now) || (job.overdue && worker.is_quarantined());
        if !is_open {
            return Some(Obstacle::Closed);
        }
        if worker.backpressured {
            return Some(Obstacle::Held);
        }
        if self.is_in_closed_hall(worker) {
            return Some(Obstacle::Shut);
        }
        if !self.is_room_known(worker, now) {
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
        let is_apart =
            step.spread == 0 || self.held(job, address, worker) + before < u64::from(step.spread);
        (!is_apart).then_some(Obstacle::Spread)
    }

    /// What keeps a task that has failed so often and is so much suspected from running on a worker that suits it.
    pub(crate) fn history_obstacle(
        &self,
        job: &Job,
        address: Address,
        worker: &Worker,
        past: History,
        now: u64,
    ) -> Option<Obstacle> {
        let id = &worker.entry.id;
        let step = &job.progress.submission.spec.steps[address.step as usize];
        let is_trusted = if step.lasting && job.overdue {
            worker.accepts_overdue()
        } else {
            let failures = if step.lasting { 0 } else { past.failures };
            worker.is_trusted(failures, now)
        };
        if !is_trusted {
            return Some(Obstacle::Untrusted);
        }
        if !job.is_advised(address, id, now) {
            return Some(Obstacle::Unadvised);
        }
        (!self.allows_trial(id, past.suspicion)).then_some(Obstacle::Trial)
    }

    /// The least is the best: near its data, and for tasks that take room, the fullest worker with
    /// serving tasks alike; for filling tasks, where they disturb least and have most room.
    pub(crate) fn cost(&self, step: &Step, image: Image, worker: &Worker) -> u64 {
        let mut cost = 0;
        if let Some(rack) = &step.rack
            && !worker.entry.has_label(rack)
        {
            cost += FAR;
        }
        if step.fills {
            let effect = self.impact(step, image, worker, 1);
            cost += (effect.excess() * EXCESS) as u64;
            if effect.harms {
                cost += HARMS;
            }
            if worker.serving_cpu > 0 {
                cost += BESIDE;
            }
            return cost + worker.entry.size.cpu.saturating_sub(worker.idle_cpu());
        }
        if step.target > 0 {
            cost += self.mixing(image, worker);
        }
        cost + worker.free().cpu
    }

    /// What a serving task of an image costs by the company that it has on a worker.
    fn mixing(&self, image: Image, worker: &Worker) -> u64 {
        let images = worker.serving_images.keys();
        let unlike = images
            .filter(|own| !self.interference.is_similar(**own, image))
            .count();
        let has_alike = worker.serving_images.len() > unlike;
        match (has_alike, unlike) {
            (true, 0) => 0,
            (true, _) => MIXED_ALIKE,
            (false, 0) => EMPTY,
            (false, 1) => MIXES,
            (false, _) => MIXED,
        }
    }

    /// The tasks of a step, at one of its times, that a worker holds.
    fn held(&self, job: &Job, address: Address, worker: &Worker) -> u64 {
        let submission = &job.progress.submission;
        let places = job.progress.places(address.time, address.step);
        let is_one = |key: &&TaskKey| key.job == submission.id && places.contains(&key.place);
        worker.slots.keys().filter(is_one).count() as u64
    }
}

/// The worker of least cost among those that will do; the first of equal ones.
pub(crate) fn cheapest<'a>(
    workers: impl Iterator<Item = (&'a Arc<str>, &'a Worker)>,
    will_do: impl Fn(&Arc<str>, &Worker) -> bool,
    cost: impl Fn(&Worker) -> u64,
) -> Option<Arc<str>> {
    let mut best: Option<(u64, &Arc<str>)> = None;
    for (id, worker) in workers {
        if !will_do(id, worker) {
            continue;
        }
        let cost = cost(worker);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, id));
        }
    }
    best.map(|(_, id)| id.clone())
}

/// True when a task of the step fits on the worker beside `before` others of it that are not
/// started yet.
fn has_room(step: &Step, worker: &Worker, before: u64) -> bool {
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
