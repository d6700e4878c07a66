//! Jobs of which no run is confirmed although tasks of them are due: those that are stalled while
//! most capacity is free, and those whose starts are not confirmed. Some are logged once a second.

use {
    crate::{
        cell::{Cell, Job},
        overdue::Wait,
        slot::{Slot, Stage},
        worker::{TaskKey, Worker},
    },
    job::{Id, Phase, spec::Size},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap},
        ops::Range,
        sync::Arc,
    },
};

/// A job is stalled if a task of it is due and no run has been confirmed for longer than this, in
/// milliseconds. It must not be while there is capacity.
const STALLED_AFTER: u64 = 3_000;
/// The maximum number of lines of each kind at once, since each takes a scan of all workers or of
/// all tasks of a job.
const MAX_LINES: usize = 4;
/// The maximum number of unconfirmed runs that are named in a line.
const MAX_RUNS: usize = 4;

/// A job with due tasks of which no run is confirmed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Idle {
    /// Since when, on the owner's clock.
    since: u64,
    /// The count began at the takeover: the job may have been idle before.
    inherited: bool,
    /// The number of starts ordered since.
    pub starts: u32,
    /// When the first of them was ordered, on the owner's clock.
    first_start: Option<u64>,
}

impl Idle {
    /// Returns the state of a job that is found idle now.
    const fn new(since: u64, inherited: bool) -> Self {
        Idle {
            since,
            inherited,
            starts: 0,
            first_start: None,
        }
    }
}

/// From when the wait of a task is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Since {
    /// Since a task of the job came in line.
    Line,
    /// Since the job was accepted or due: no run of it was ever confirmed, also by former owners.
    Accepted,
    /// Since the takeover: when the last run ended is not persisted.
    Takeover,
    /// Since the last confirmed run of the job, as known to this owner.
    Idle,
}

/// Numbers of jobs of which no run has been confirmed for too long.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stalled {
    /// Batch jobs that are stalled although most capacity is free.
    pub jobs: usize,
    /// Jobs whose starts are not confirmed, whether capacity is free or not.
    pub not_begun: usize,
}

/// What an unconfirmed run waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Awaited {
    /// The answer to the order to start.
    Answer,
    /// A report of the worker, since the order to start went unanswered.
    Report,
    /// The answer to the order to stop, which follows an unanswered start.
    Stop,
    /// A report of the worker after it has confirmed the stop.
    Stopped,
    /// The end of all leases of the worker, which is not heard.
    Leases,
}

/// The runs of a job, as far as they decide whether it is idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Runs {
    /// No task is placed.
    None,
    /// Tasks are placed, and no run is confirmed.
    Unconfirmed,
    /// A run is confirmed.
    Confirmed,
}

/// A job that has been idle for too long.
struct Waiting {
    waited: u64,
    id: Id,
    /// It counts as stalled.
    stalled: bool,
    /// Tasks of it are placed, or its starts have failed for too long.
    started: bool,
}

impl Cell {
    /// Counts a start of a job of which no run may be confirmed.
    pub(crate) fn count_start(&mut self, id: &Id, now: u64) {
        let inherited = self.jobs.get(id).is_some_and(|job| self.is_inherited(job));
        let idle = self.idle.entry(id.clone());
        let idle = idle.or_insert_with(|| Idle::new(now, inherited));
        idle.starts += 1;
        idle.first_start.get_or_insert(now);
    }

    /// Logs jobs of which no run has been confirmed for too long, starting with those that have
    /// waited longest. Returns their numbers. `wall` is Unix time.
    pub fn log_stalled(&mut self, wall: u64, now: u64) -> Stalled {
        self.update_idle(now);
        let mut counts = Stalled::default();
        let mut waiting = self.waiting_jobs(wall, now, &mut counts);
        waiting.sort_by(|a, b| (Reverse(a.waited), &a.id).cmp(&(Reverse(b.waited), &b.id)));
        self.log_ready_tasks(&waiting, now);
        for entry in waiting.iter().filter(|entry| entry.started).take(MAX_LINES) {
            self.log_unconfirmed(entry, now);
        }
        counts
    }

    /// Updates the jobs that are idle.
    fn update_idle(&mut self, now: u64) {
        let jobs = &self.jobs;
        self.idle
            .retain(|id, _| jobs.get(id).is_some_and(Job::is_idle));
        for rank in &self.ready_jobs {
            if self.idle.contains_key(&rank.id) {
                continue;
            }
            let Some(job) = self.jobs.get(&rank.id).filter(|job| job.is_idle()) else {
                continue;
            };
            let idle = Idle::new(now, self.is_inherited(job));
            self.idle.insert(rank.id.clone(), idle);
        }
    }

    /// True if a former owner may have run the job, and nothing was heard of its runs yet.
    fn is_inherited(&self, job: &Job) -> bool {
        job.unconfirmed && self.recovery.is_some()
    }

    /// Returns the jobs that have been idle for too long, and counts them.
    fn waiting_jobs(&self, wall: u64, now: u64, counts: &mut Stalled) -> Vec<Waiting> {
        let room = self.is_mostly_unused().then(|| self.largest_rooms());
        let mut waiting = Vec::new();
        for (id, idle) in &self.idle {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let waited = self.idle_time(job, idle, wall, now);
            if waited <= STALLED_AFTER {
                continue;
            }
            let is_placed = job.runs() == Runs::Unconfirmed;
            let is_batch = !job.progress.submission.spec.is_long_running();
            let is_stalled = is_batch
                && room
                    .as_ref()
                    .is_some_and(|room| is_placed || has_room(job, room));
            let is_late = |first: u64| now.saturating_sub(first) > STALLED_AFTER;
            let is_overdue = idle.first_start.is_some_and(is_late);
            counts.jobs += usize::from(is_stalled);
            counts.not_begun += usize::from(is_overdue);
            if is_stalled || is_overdue {
                waiting.push(Waiting {
                    waited,
                    id: id.clone(),
                    stalled: is_stalled,
                    started: is_overdue || is_placed,
                });
            }
        }
        waiting
    }

    /// Returns for how long a job has been idle, in milliseconds. One that never ran has been since
    /// it was accepted or due, whoever owned the cell.
    fn idle_time(&self, job: &Job, idle: &Idle, wall: u64, now: u64) -> u64 {
        let known = now.saturating_sub(idle.since);
        if job.started {
            return known;
        }
        let submission = &job.progress.submission;
        let due = submission.accepted.max(submission.spec.due(0));
        known.max(wall.saturating_sub(due))
    }

    /// Returns from when the idle time of a job is counted.
    fn idle_origin(&self, id: &Id, job: &Job) -> Since {
        if !job.started {
            return Since::Accepted;
        }
        match self.idle.get(id) {
            Some(idle) if idle.inherited => Since::Takeover,
            _ => Since::Idle,
        }
    }

    /// True if less than half of the CPU of all listed workers is in use, those included that can
    /// be given no work. Long-running tasks use less than they reserve, and unconfirmed runs of idle
    /// jobs may use nothing.
    fn is_mostly_unused(&self) -> bool {
        let (mut total, mut idle) = (0, 0);
        for worker in self.workers.values().filter(|worker| worker.listed) {
            total += worker.entry.size.cpu;
            idle += worker.idle_cpu();
        }
        let jobs = self.idle.keys().filter_map(|id| self.jobs.get(id));
        let unconfirmed: u64 = jobs.map(Job::placed_cpu).sum();
        (idle + unconfirmed) * 2 > total || self.is_mostly_free()
    }

    /// Returns the most free capacity of a listed worker, by pool and kind of resource.
    fn largest_rooms(&self) -> HashMap<Arc<str>, Size> {
        let mut rooms: HashMap<Arc<str>, Size> = HashMap::new();
        for worker in self.workers.values().filter(|worker| worker.listed) {
            let free = worker.free();
            let room = rooms.entry(worker.entry.pool.clone()).or_default();
            room.cpu = room.cpu.max(free.cpu);
            room.memory = room.memory.max(free.memory);
            room.gpus = room.gpus.max(free.gpus);
        }
        rooms
    }

    /// Logs the ready tasks of stalled jobs: one of each job first, then others that may wait for
    /// another reason.
    fn log_ready_tasks(&self, waiting: &[Waiting], now: u64) {
        let mut tasks = Vec::new();
        let stalled = waiting.iter().filter(|entry| entry.stalled);
        for (order, entry) in stalled.take(MAX_LINES).enumerate() {
            let Some(job) = self.jobs.get(&entry.id) else {
                continue;
            };
            for (number, place) in job.ready_kinds().into_iter().enumerate() {
                tasks.push((number, order, place, entry, job));
            }
        }
        tasks.sort_by_key(|&(number, order, ..)| (number, order));
        for (_, _, place, entry, job) in tasks.into_iter().take(MAX_LINES) {
            let key = TaskKey {
                job: entry.id.clone(),
                place,
            };
            let wait = Wait {
                waited: entry.waited,
                since: self.idle_origin(&entry.id, job),
                message: "Job is stalled although most capacity is free.",
            };
            self.log_wait(&key, job, wait, now);
        }
    }

    /// Logs what the unconfirmed runs of a job wait for.
    fn log_unconfirmed(&self, entry: &Waiting, now: u64) {
        let (Some(job), Some(idle)) = (self.jobs.get(&entry.id), self.idle.get(&entry.id)) else {
            return;
        };
        let (mut sent, mut unanswered) = (0, 0);
        let mut runs = Vec::new();
        for (place, task) in job.progress.tasks.iter().enumerate() {
            let Phase::Placed(id) = &task.phase else {
                continue;
            };
            let key = TaskKey {
                job: entry.id.clone(),
                place,
            };
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let Some(slot) = worker.slots.get(&key) else {
                continue;
            };
            sent += usize::from(slot.unanswered.is_none());
            unanswered += usize::from(slot.unanswered.is_some());
            if runs.len() < MAX_RUNS {
                runs.push(describe(place, slot, worker, now));
            }
        }
        let (waited, starts) = (entry.waited, idle.starts);
        let trying = idle
            .first_start
            .map_or(0, |first| now.saturating_sub(first));
        let since = self.idle_origin(&entry.id, job);
        let ready = job.ready.len();
        let runs = runs.join(" ");
        log::warn!(target: "cell", job = entry.id.as_str(), waited, since:? = since, starts, trying, sent, unanswered, ready, runs = runs.as_str(); "No run of a job is confirmed.");
    }
}

impl Job {
    /// True if tasks of the job are due and no run is confirmed.
    fn is_idle(&self) -> bool {
        if self.progress.state.is_final() {
            return false;
        }
        match self.runs() {
            Runs::None => !self.ready.is_empty(),
            Runs::Unconfirmed => true,
            Runs::Confirmed => false,
        }
    }

    /// Returns the CPU of all placed tasks.
    fn placed_cpu(&self) -> u64 {
        let tasks = self.progress.tasks.iter().enumerate();
        let placed = tasks.filter(|(_, task)| matches!(task.phase, Phase::Placed(_)));
        placed
            .map(|(place, _)| self.progress.step(place).size.cpu)
            .sum()
    }

    /// Returns the state of the runs of the job.
    fn runs(&self) -> Runs {
        let mut runs = Runs::None;
        for task in &self.progress.tasks {
            if !matches!(task.phase, Phase::Placed(_)) {
                continue;
            }
            if task.confirmed {
                return Runs::Confirmed;
            }
            runs = Runs::Unconfirmed;
        }
        runs
    }

    /// Returns the first ready task of each step.
    fn first_ready(&self) -> impl Iterator<Item = usize> {
        let next = |from: usize| self.ready.range(from..).next().copied();
        std::iter::successors(next(0), move |&place| next(self.places_with(place).end))
    }

    /// Returns the places of all tasks of the same step and repetition.
    fn places_with(&self, place: usize) -> Range<usize> {
        let address = self.progress.submission.spec.address(place);
        self.progress.places(address.time, address.step)
    }

    /// Returns the first ready task of each step, and its first ready suspect: others wait for the
    /// same reasons.
    fn ready_kinds(&self) -> BTreeSet<usize> {
        let mut kinds = BTreeSet::new();
        for first in self.first_ready() {
            kinds.insert(first);
            let mut suspects = self.suspects.range(self.places_with(first));
            kinds.extend(suspects.find(|&place| self.ready.contains(place)));
        }
        kinds
    }
}

/// True if a ready task of a job may fit on a worker with the most room in its pool.
fn has_room(job: &Job, rooms: &HashMap<Arc<str>, Size>) -> bool {
    let Some(room) = rooms.get(&job.progress.submission.queue.pool) else {
        return false;
    };
    job.first_ready().any(|place| {
        let step = job.progress.step(place);
        let cpu = if step.fills { 0 } else { step.size.cpu };
        Size { cpu, ..step.size }.fits(*room)
    })
}

/// Describes an unconfirmed run: the task and run, its worker, what is awaited, and for how long
/// the run may still start, in milliseconds.
fn describe(place: usize, slot: &Slot, worker: &Worker, now: u64) -> String {
    let awaited = awaited(slot, worker, now);
    let window = match slot.stage {
        Stage::Sent { deadline } => {
            deadline.saturating_sub(worker.clock_at(now).unwrap_or_default())
        }
        Stage::Running { .. } => 0,
    };
    let (run, id) = (slot.run, &worker.entry.id);
    format!("{place}.{run}@{id}:{awaited:?}:{window}")
}

/// Returns what an unconfirmed run waits for.
fn awaited(slot: &Slot, worker: &Worker, now: u64) -> Awaited {
    if !worker.is_heard(now) {
        Awaited::Leases
    } else if slot.start_cancelled.is_some() {
        Awaited::Stopped
    } else if slot.stopping.is_some() {
        Awaited::Stop
    } else if slot.unanswered.is_some() {
        Awaited::Report
    } else {
        Awaited::Answer
    }
}
