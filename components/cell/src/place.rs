//! The pass that places ready tasks on workers.

use {
    crate::{
        cell::{Cell, Job, Rank},
        order::{Order, Start},
        timing,
        worker::{Key, Slot, Stage, Worker},
    },
    job::{Address, Phase, Step},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// Work on a worker away from its data counts this much, in thousandths of a core of room that is
/// left unused; so near room is taken first, unless none is there.
const FAR: u64 = 1_000_000;
/// Filling tasks count this much for each unit of the logarithm by which they raise a tail; see
/// `FAR`.
const DISTURBED: f64 = 200_000.0;
/// Filling tasks beside serving ones count this much even if they disturb nothing; see `FAR`.
const BESIDE: u64 = 4_000;
/// A serving task counts this much on a worker that has none yet, and twice that beside other
/// images: alike ones together leave workers where a filling image disturbs nothing.
const UNLIKE: u64 = 100_000;
/// The logarithm by which filling tasks may raise the tail of a serving one. Tails without them
/// are 0.8 below the target in the logarithm, and their load swings by about 0.4.
const MOST_DISTURBED: f64 = 0.3;

/// A task and the worker chosen for it.
type Choice = (usize, Arc<str>);

impl Cell {
    /// Places what can be placed now.
    pub fn place(&mut self, now: u64) {
        let line: Vec<Rank> = self.line.iter().cloned().collect();
        let mut stuck = HashSet::new();
        for rank in line {
            self.place_job(&rank, now, &mut stuck);
        }
    }

    fn place_job(&mut self, rank: &Rank, now: u64, stuck: &mut HashSet<Need>) {
        let Some(job) = self.jobs.get(&rank.id) else {
            self.line.remove(rank);
            return;
        };
        if job.unsure && self.recovery.is_some() {
            return;
        }
        for (address, places) in by_step(job) {
            self.place_step(rank, address, &places, now, stuck);
        }
        let Some(job) = self.jobs.get(&rank.id) else {
            return;
        };
        if job.ready.is_empty() {
            self.line.remove(rank);
        }
    }

    fn place_step(
        &mut self,
        rank: &Rank,
        address: Address,
        places: &[usize],
        now: u64,
        stuck: &mut HashSet<Need>,
    ) {
        let Some(job) = self.jobs.get(&rank.id) else {
            return;
        };
        let submission = job.progress.submission.clone();
        let step = &submission.spec.steps[address.step as usize];
        let need = Need::of(step, &submission.queue.pool);
        if stuck.contains(&need) {
            return;
        }
        if step.gang {
            self.place_gang(rank, address, places, step, now);
            return;
        }
        for &place in places {
            let failures = self.failures(rank, place);
            let Some(id) = self.choose(rank, address, step, failures, now) else {
                if failures > 0 {
                    continue;
                }
                if submission.queue.advised {
                    self.ask(rank, address, step, now);
                    return;
                }
                if step.spread == 0 {
                    stuck.insert(need);
                }
                return;
            };
            let run = self.next_run(rank, place);
            self.start(rank, place, run, &id, now);
        }
    }

    /// A gang starts whole or not at all, with one run number.
    fn place_gang(
        &mut self,
        rank: &Rank,
        address: Address,
        places: &[usize],
        step: &Step,
        now: u64,
    ) {
        let left = self
            .jobs
            .get(&rank.id)
            .map_or(0, |job| job.progress.left(address.time, address.step));
        if places.len() < left as usize {
            return;
        }
        let racks = self.racks(step);
        for rack in racks {
            let Some(choices) = self.choose_gang(rank, address, places, step, &rack, now) else {
                continue;
            };
            let runs = choices.iter().map(|(place, _)| self.next_run(rank, *place));
            let run = runs.max().unwrap_or(1);
            self.share_checkpoint(rank, places);
            for (place, id) in choices {
                self.start(rank, place, run, &id, now);
            }
            return;
        }
        self.ask(rank, address, step, now);
    }

    /// All members must go on from the same checkpoint; any member's is good.
    fn share_checkpoint(&mut self, rank: &Rank, places: &[usize]) {
        let Some(job) = self.jobs.get_mut(&rank.id) else {
            return;
        };
        let tasks = &mut job.progress.tasks;
        let saved = places.iter().find_map(|&place| tasks[place].saved.clone());
        for &place in places {
            tasks[place].saved = saved.clone();
        }
    }

    /// The racks to try for a gang: each by itself where it wants one rack, then all together.
    fn racks(&self, step: &Step) -> Vec<Option<Arc<str>>> {
        let mut racks = Vec::new();
        if step.one_rack {
            let own = self.workers.values().map(|worker| worker.entry.rack());
            let mut names: Vec<&str> = own.collect();
            names.sort_unstable();
            names.dedup();
            racks.extend(names.into_iter().map(|name| Some(name.into())));
        }
        racks.push(None);
        racks
    }

    /// Chooses workers for all members as if those before were placed already.
    fn choose_gang(
        &self,
        rank: &Rank,
        address: Address,
        places: &[usize],
        step: &Step,
        rack: &Option<Arc<str>>,
        now: u64,
    ) -> Option<Vec<Choice>> {
        let job = self.jobs.get(&rank.id)?;
        let mut taken: HashMap<Arc<str>, u64> = HashMap::new();
        let mut choices = Vec::new();
        for &place in places {
            let mut best: Option<(u64, &Arc<str>)> = None;
            for (id, worker) in &self.workers {
                let is_elsewhere = rack
                    .as_ref()
                    .is_some_and(|rack| &**rack != worker.entry.rack());
                let before = taken.get(id).copied().unwrap_or_default();
                if is_elsewhere || !job.is_advised(address, id, now) {
                    continue;
                }
                if !self.suits(job, address, step, worker, before, now) {
                    continue;
                }
                let cost = self.cost(step, worker);
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, id));
                }
            }
            let (_, id) = best?;
            *taken.entry(id.clone()).or_default() += 1;
            choices.push((place, id.clone()));
        }
        Some(choices)
    }

    /// How often a task has failed.
    fn failures(&self, rank: &Rank, place: usize) -> u32 {
        self.jobs
            .get(&rank.id)
            .map_or(0, |job| job.progress.tasks[place].failed.len() as u32)
    }

    fn choose(
        &self,
        rank: &Rank,
        address: Address,
        step: &Step,
        failures: u32,
        now: u64,
    ) -> Option<Arc<str>> {
        let job = self.jobs.get(&rank.id)?;
        let failures = if step.lasting { 0 } else { failures };
        let mut best: Option<(u64, &Arc<str>)> = None;
        for (id, worker) in &self.workers {
            if !job.is_advised(address, id, now) {
                continue;
            }
            if !worker.is_trusted(failures, now) || !self.suits(job, address, step, worker, 0, now)
            {
                continue;
            }
            let cost = self.cost(step, worker);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// True when a task of the step may run on the worker, beside `before` others of it that are
    /// not started yet.
    pub(crate) fn suits(
        &self,
        job: &Job,
        address: Address,
        step: &Step,
        worker: &Worker,
        before: u64,
        now: u64,
    ) -> bool {
        let submission = &job.progress.submission;
        if !worker.is_open(now) || worker.entry.pool != submission.queue.pool {
            return false;
        }
        if let Some(label) = &step.label
            && !worker.entry.bears(label)
        {
            return false;
        }
        if !has_room(step, worker, before) {
            return false;
        }
        if step.fills && self.disturbed(step, worker, before + 1) > MOST_DISTURBED {
            return false;
        }
        step.spread == 0 || self.held(job, address, worker) + before < u64::from(step.spread)
    }

    /// By how much the worst-hit serving image of a worker would be disturbed with this many more
    /// tasks of the step beside it, as a logarithm.
    fn disturbed(&self, step: &Step, worker: &Worker, more: u64) -> f64 {
        if worker.serve_images.is_empty() {
            return 0.0;
        }
        let image = self.disturbance.known(step.image.as_ref());
        let capacity = worker.entry.size.cpu.max(1) as f64;
        let added = (step.size.cpu * more) as f64;
        let mut worst: f64 = 0.0;
        for &serving in worker.serve_images.keys() {
            let mut sum = added * self.disturbance.weight(serving, image);
            for (&filling, &cpu) in &worker.fill_images {
                sum += cpu as f64 * self.disturbance.weight(serving, filling);
            }
            worst = worst.max(sum / capacity);
        }
        worst
    }

    /// The least is the best: near its data, and for tasks that take room, the fullest worker with
    /// serving tasks alike; for filling tasks, where they disturb least and have most room.
    pub(crate) fn cost(&self, step: &Step, worker: &Worker) -> u64 {
        let mut cost = 0;
        if let Some(rack) = &step.rack
            && !worker.entry.bears(rack)
        {
            cost += FAR;
        }
        if step.fills {
            cost += (self.disturbed(step, worker, 1) * DISTURBED) as u64;
            if worker.serving > 0 {
                cost += BESIDE;
            }
            return cost + worker.entry.size.cpu.saturating_sub(worker.unused());
        }
        if step.target > 0 {
            let image = self.disturbance.known(step.image.as_ref());
            let others = worker.serve_images.keys().filter(|&&own| own != image);
            cost += UNLIKE * (2 * others.count() as u64).min(3);
            if worker.serve_images.is_empty() {
                cost += UNLIKE;
            }
        }
        cost + worker.free().cpu
    }

    /// The tasks of a step, at one of its times, that a worker holds.
    fn held(&self, job: &Job, address: Address, worker: &Worker) -> u64 {
        let submission = &job.progress.submission;
        let places = job.progress.places(address.time, address.step);
        let is_one = |key: &&Key| key.job == submission.id && places.contains(&key.place);
        worker.slots.keys().filter(is_one).count() as u64
    }

    fn next_run(&self, rank: &Rank, place: usize) -> u64 {
        self.jobs
            .get(&rank.id)
            .map_or(1, |job| job.progress.tasks[place].run + 1)
    }

    fn start(&mut self, rank: &Rank, place: usize, run: u64, id: &Arc<str>, now: u64) {
        let (Some(job), Some(worker)) = (self.jobs.get_mut(&rank.id), self.workers.get_mut(id))
        else {
            return;
        };
        let Some(clock) = worker.clock_at(now) else {
            return;
        };
        let deadline = clock + timing::START_WINDOW;
        worker.granted = worker.granted.max(deadline);
        let step = job.progress.step(place);
        let slot = Slot {
            image: self.disturbance.number(step.image.as_ref()),
            run,
            size: step.size,
            fills: step.fills,
            target: step.target,
            stage: Stage::Sent { deadline },
            stopping: None,
            percent: 100,
            paced: 0,
            figure: 0,
        };
        let key = Key {
            job: rank.id.clone(),
            place,
        };
        worker.hold(key.clone(), slot);
        if worker.is_faulty() {
            worker.probe = Some(key.clone());
        }
        let submission = job.progress.submission.clone();
        let task = &mut job.progress.tasks[place];
        task.run = run;
        task.phase = Phase::Placed(id.clone());
        job.ready.remove(&place);
        let saved = task.saved.clone();
        log::info!(target: "cell", job = rank.id.as_str(), place, run, worker = &**id, saved = saved.is_some(); "A task is placed.");
        let address = submission.spec.address(place);
        let ticket = job.ticket(address, id, now);
        let start = Start {
            key,
            address,
            run,
            text: submission.spec.text.clone(),
            saved,
            deadline,
            ticket,
        };
        self.orders.push((id.clone(), Order::Start(start)));
    }
}

/// What makes one task as hard to place as another.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Need {
    pool: Arc<str>,
    cpu: u64,
    memory: u64,
    gpus: u64,
    fills: bool,
    label: Option<Arc<str>>,
}

impl Need {
    fn of(step: &Step, pool: &Arc<str>) -> Self {
        Need {
            pool: pool.clone(),
            cpu: step.size.cpu,
            memory: step.size.memory,
            gpus: step.size.gpus,
            fills: step.fills,
            label: step.label.clone(),
        }
    }
}

/// The ready tasks of a job, by time and step.
fn by_step(job: &Job) -> Vec<(Address, Vec<usize>)> {
    let spec = &job.progress.submission.spec;
    let mut groups: Vec<(Address, Vec<usize>)> = Vec::new();
    for &place in &job.ready {
        let address = spec.address(place);
        match groups.last_mut() {
            Some((last, places)) if last.time == address.time && last.step == address.step => {
                places.push(place);
            }
            _ => groups.push((address, vec![place])),
        }
    }
    groups
}

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
    if size.memory > free.memory || size.gpus > free.gpus || worker.over_since.is_some() {
        return false;
    }
    worker.unused() >= size.cpu * (before + 1)
}
