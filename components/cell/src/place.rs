//! The pass that places ready tasks on workers.

use {
    crate::{
        cell::{Cell, Job, Rank},
        order::{Order, Start},
        timing,
        worker::{Key, Slot, Stage},
    },
    job::{Address, Phase, Step, spec::Size},
    std::sync::Arc,
};

impl Cell {
    /// Places what can be placed now.
    pub fn place(&mut self, now: u64) {
        let line: Vec<Rank> = self.line.iter().cloned().collect();
        let mut stuck = Vec::new();
        for rank in line {
            self.place_job(&rank, now, &mut stuck);
        }
    }

    /// Places the ready tasks of one job.
    fn place_job(&mut self, rank: &Rank, now: u64, stuck: &mut Vec<Need>) {
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

    /// Places ready tasks of one step at one of its times. `stuck` has the needs for which no
    /// worker was found in this pass.
    fn place_step(
        &mut self,
        rank: &Rank,
        address: Address,
        places: &[usize],
        now: u64,
        stuck: &mut Vec<Need>,
    ) {
        let Some(job) = self.jobs.get(&rank.id) else {
            return;
        };
        let submission = job.progress.submission.clone();
        let step = &submission.spec.steps[address.step as usize];
        let need = Need::of(step, &submission.queue.pool);
        if stuck.iter().any(|known| known.covers(&need)) {
            return;
        }
        if step.gang {
            self.place_gang(rank, address, places, step, now);
            return;
        }
        for &place in places {
            self.tried += 1;
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
                    stuck.push(need);
                }
                return;
            };
            let run = self.next_run(rank, place);
            self.start(rank, place, run, &id, now);
        }
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
        worker.granted = worker.granted.max(deadline);
        let key = Key {
            job: rank.id.clone(),
            place,
        };
        let step = job.progress.step(place);
        let image = self.disturbance.number(step.image.as_ref());
        let slot = Slot::new(step, image, run, Stage::Sent { deadline });
        worker.hold(key.clone(), slot);
        if worker.is_faulty() {
            worker.probe = Some(key.clone());
        }
        let start = job.assign(key, run, id, deadline, now);
        self.orders.push((id.clone(), Order::Start(start)));
    }
}

impl Job {
    /// Marks a ready task as placed on a worker. Returns what the worker has to know for its start.
    fn assign(&mut self, key: Key, run: u64, id: &Arc<str>, deadline: u64, now: u64) -> Start {
        let place = key.place;
        let task = &mut self.progress.tasks[place];
        task.run = run;
        task.phase = Phase::Placed(id.clone());
        self.ready.remove(&place);
        let saved = task.saved.clone();
        log::info!(target: "cell", job = key.job.as_str(), place, run, worker = &**id, saved = saved.is_some(); "A task is placed.");
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
struct Need {
    pool: Arc<str>,
    size: Size,
    fills: bool,
    label: Option<Arc<str>>,
    /// Of a filling task: what it disturbs hangs on it.
    image: Option<Arc<str>>,
}

impl Need {
    fn of(step: &Step, pool: &Arc<str>) -> Self {
        Need {
            pool: pool.clone(),
            size: step.size,
            fills: step.fills,
            label: step.label.clone(),
            image: step.image.clone().filter(|_| step.fills),
        }
    }

    /// True when no room for this means that there is none for the other either.
    fn covers(&self, other: &Need) -> bool {
        let is_like = self.pool == other.pool
            && self.fills == other.fills
            && self.label == other.label
            && self.image == other.image;
        is_like && self.size.fits(other.size)
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
