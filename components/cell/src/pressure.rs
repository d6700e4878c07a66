//! The cell as the decisions on admission see it: waiting work, capacity and arrivals.

use {
    crate::{
        cell::{Cell, Job},
        worker::Worker,
    },
    job::{Id, Step, spec::Size},
    policy::{
        admission::{Backlog, Due, Kind, Offer, PoolCapacity, Pressure, Room, Source, estimate},
        durations::{Durations, Profile},
        lateness::Lateness,
    },
    std::{
        collections::{BTreeMap, HashMap},
        ops::Range,
        sync::Arc,
    },
};

/// The maximum number of queues and kinds whose arrivals are counted, an order of magnitude above
/// what operators configure.
const MAX_SOURCES: usize = 512;

/// The waiting tasks of one queue and kind.
#[derive(Debug, Default)]
struct Waiting {
    /// See [`Backlog::in_time`].
    in_time: Vec<Due>,
    /// See [`Backlog::late`].
    late: u64,
    /// The number of tasks.
    tasks: u64,
    /// The sum of their sizes.
    size: Size,
}

impl Waiting {
    /// Adds tasks of a step. Returns their work.
    fn add(&mut self, step: &Step, tasks: u64, learned: Option<&Durations>) -> u64 {
        self.tasks += tasks;
        self.size = self.size.plus(Size {
            cpu: step.size.cpu * tasks,
            memory: step.size.memory * tasks,
            gpus: step.size.gpus * tasks,
        });
        work(step, tasks, learned)
    }

    /// The mean size of the tasks.
    fn mean_size(&self) -> Size {
        let tasks = self.tasks.max(1);
        Size {
            cpu: self.size.cpu / tasks,
            memory: self.size.memory / tasks,
            gpus: self.size.gpus / tasks,
        }
    }
}

impl Cell {
    /// Returns how long one more job of each queue would wait. It is empty without waiting work, and
    /// until this owner knows what the workers run.
    pub fn pressure(&self, now: u64, wall: u64) -> Pressure {
        let is_waiting = self.ready_jobs.iter().any(|rank| !rank.lasting);
        if !is_waiting || self.recovery.is_some() {
            return Pressure::default();
        }
        let mut waiting: BTreeMap<Source, Waiting> = BTreeMap::new();
        for source in self.inflows.keys() {
            waiting.insert(source.clone(), Waiting::default());
        }
        for job in self.jobs.values() {
            self.add_waiting(job, wall, &mut waiting);
        }
        let rooms = self.rooms(&waiting, now);
        let mut backlogs = Vec::with_capacity(waiting.len());
        for (source, waiting) in waiting {
            let inflow = self.inflows.get(&source).copied().unwrap_or_default();
            backlogs.push(Backlog {
                run: self.run_profile(&source.queue),
                in_time: waiting.in_time,
                late: waiting.late,
                inflow: inflow.rate(wall),
                span: inflow.span(),
                queue: source.queue,
                kind: source.kind,
                pool: source.pool,
                priority: source.priority,
            });
        }
        estimate(&backlogs, &rooms)
    }

    /// Returns what the pools offer, with the workers that may come back; empty until this owner has
    /// known the workers for long enough.
    pub fn pool_capacities(&self, now: u64) -> Vec<PoolCapacity> {
        self.pools.capacities(now)
    }

    /// Records the workers that are known now.
    pub(crate) fn record_pools(&mut self, now: u64) {
        let offers = self.workers.values().map(|worker| Offer {
            name: &worker.entry.name,
            pool: &worker.entry.pool,
            size: worker.entry.size,
            labels: &worker.entry.labels,
        });
        self.pools.record(offers, now);
    }

    /// Counts the work of a job that was just accepted. Repetitions of a timetable arrive later and
    /// evenly.
    pub(crate) fn record_inflow(&mut self, id: &Id, wall: u64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let (submission, span) = (&job.progress.submission, job.rank.span);
        let source = source(job);
        if source.kind == Kind::LongRunning || submission.spec.timetable.is_some() {
            return;
        }
        let learned = self.learned_durations(&submission.queue.name);
        let steps = submission.spec.steps.iter();
        let work = steps
            .map(|step| work(step, u64::from(step.count), learned))
            .fold(0, u64::saturating_add);
        if self.inflows.len() >= MAX_SOURCES && !self.inflows.contains_key(&source) {
            self.inflows.retain(|_, inflow| inflow.rate(wall) > 0);
        }
        self.inflows
            .entry(source)
            .or_default()
            .add(work, span, wall);
    }

    /// Returns what was learned of a queue, if that is enough and to be used.
    pub(crate) fn learned_durations(&self, queue: &str) -> Option<&Durations> {
        self.durations.get(queue).filter(|_| self.learning)
    }

    /// Returns how run times of jobs are predicted.
    fn run_profile(&self, queue: &str) -> Profile {
        let learned = self.run_times.get(queue).filter(|_| self.learning);
        let profile = learned.and_then(Durations::profile);
        profile.unwrap_or(Profile::ESTIMATE)
    }

    /// Adds the tasks of a job that are due and not placed, also those whose step must wait for
    /// others. Jobs whose result will have lost all worth are in nobody's way.
    fn add_waiting(&self, job: &Job, wall: u64, all: &mut BTreeMap<Source, Waiting>) {
        if job.progress.state.is_final() || job.rank.late == Lateness::Worthless {
            return;
        }
        let submission = &job.progress.submission;
        let source = source(job);
        if source.kind == Kind::LongRunning {
            return;
        }
        let learned = self.learned_durations(&submission.queue.name);
        let spec = &submission.spec;
        let own = all.entry(source).or_default();
        let mut work = 0u64;
        for (number, is_ready) in job.steps_ready.iter().enumerate() {
            let (time, index) = (number / spec.steps.len(), number % spec.steps.len());
            if wall < spec.due(time as u32) {
                break;
            }
            let (time, index) = (time as u32, index as u16);
            let rest = job.progress.remaining_tasks(time, index);
            if rest == 0 {
                continue;
            }
            let tasks = if *is_ready {
                job.count_ready(job.progress.places(time, index))
            } else {
                u64::from(rest)
            };
            work = work.saturating_add(own.add(&spec.steps[index as usize], tasks, learned));
        }
        if job.rank.late == Lateness::Late {
            own.late = own.late.saturating_add(work);
        } else if work > 0 {
            let until = job.rank.objective.saturating_sub(wall);
            own.in_time.push(Due { until, work });
        }
    }

    /// Returns the capacity of each pool for each kind of waiting work. Pools without a worker that
    /// stays and can be reached are left out: when they will have one is unknown.
    fn rooms(&self, waiting: &BTreeMap<Source, Waiting>, now: u64) -> Vec<Room> {
        let mut sums: BTreeMap<(Arc<str>, Kind), Waiting> = BTreeMap::new();
        for (source, own) in waiting {
            let sum = sums.entry((source.pool.clone(), source.kind)).or_default();
            sum.tasks += own.tasks;
            sum.size = sum.size.plus(own.size);
        }
        let mut rooms: HashMap<(&Arc<str>, Kind), u64> = HashMap::new();
        for worker in self.workers.values() {
            let stays = !worker.entry.leaving && !worker.draining;
            if !stays || !worker.fenced || worker.is_unreachable() || self.is_in_closed_hall(worker)
            {
                continue;
            }
            for kind in [Kind::Batch, Kind::BestEffort] {
                let Some(sum) = sums.get(&(worker.entry.pool.clone(), kind)) else {
                    continue;
                };
                let cpu = rooms.entry((&worker.entry.pool, kind)).or_default();
                *cpu += worker.running_cpu(kind);
                if worker.is_schedulable(now) {
                    *cpu += worker.fitting_cpu(kind, sum.mean_size());
                }
            }
        }
        let rooms = rooms.into_iter();
        rooms
            .map(|((pool, kind), cpu)| Room {
                pool: pool.clone(),
                kind,
                cpu,
            })
            .collect()
    }
}

impl Job {
    /// Returns how many of the tasks at these places may start.
    fn count_ready(&self, places: Range<usize>) -> u64 {
        let is_own = |place: Option<&usize>| place.is_none_or(|place| places.contains(place));
        // Mostly, the tasks of one step are ready, and need not be counted.
        let count = if is_own(self.ready.first()) && is_own(self.ready.last()) {
            self.ready.len()
        } else {
            self.ready.range(places).count()
        };
        count as u64
    }
}

impl Worker {
    /// Returns the CPU that runs tasks of this kind.
    fn running_cpu(&self, kind: Kind) -> u64 {
        match kind {
            Kind::BestEffort => self.best_effort_cpu,
            Kind::Batch | Kind::LongRunning => self.batch_cpu,
        }
    }

    /// Returns the CPU that is free for tasks of this kind and mean size.
    fn fitting_cpu(&self, kind: Kind, size: Size) -> u64 {
        let mut free = self.free();
        if kind == Kind::BestEffort {
            let is_over = self.over_target_since.is_some();
            free.cpu = if is_over { 0 } else { self.idle_cpu() };
        }
        let pairs = [
            (free.cpu, size.cpu),
            (free.memory, size.memory),
            (free.gpus, size.gpus),
        ];
        let fitting = pairs
            .into_iter()
            .filter_map(|(all, own)| all.checked_div(own));
        fitting.min().unwrap_or_default() * size.cpu
    }
}

/// Returns the queue and kind of a job.
fn source(job: &Job) -> Source {
    let submission = &job.progress.submission;
    let queue = &submission.queue;
    Source {
        queue: queue.name.clone(),
        kind: Kind::of(&submission.spec),
        pool: queue.pool.clone(),
        priority: queue.priority,
    }
}

/// Returns the predicted work of tasks of a step, in CPU times milliseconds.
fn work(step: &Step, tasks: u64, learned: Option<&Durations>) -> u64 {
    let length = learned.map_or(step.estimate, |learned| learned.predict_task(step.estimate));
    let work = u128::from(step.size.cpu) * u128::from(length) * u128::from(tasks);
    u64::try_from(work).unwrap_or(u64::MAX)
}
