//! The state of one cell.

use {
    crate::{
        advice::{AdviceQuery, StepAdvice},
        crashes,
        interference::Interference,
        interference::forecast::Forecasts,
        maintenance,
        order::Order,
        place::Unplaceable,
        run_log::FinishedRun,
        slot::Slot,
        takeover::{Pending, Recovery},
        timing::{self, Timing},
        worker::{Clock, Entry, TaskKey, Worker},
        write_queue::WriteQueue,
    },
    job::{Id, Phase, Progress, State},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        sync::Arc,
    },
};

/// One job in the cell.
#[derive(Debug)]
pub(crate) struct Job {
    pub progress: Progress,
    /// Tasks that may start, by place.
    pub ready: BTreeSet<usize>,
    /// For each step of each time: its tasks were made ready.
    pub steps_ready: Vec<bool>,
    /// The state that is written down and may be shown.
    pub written_state: State,
    /// Some task has begun.
    pub started: bool,
    /// Read at a takeover: its tasks may run on workers that have not answered.
    pub unconfirmed: bool,
    /// Where it stands in line.
    pub rank: Rank,
    /// Since when tasks of it that last wait for room, in milliseconds since 1970.
    pub waiting_since: Option<u64>,
    /// Tasks of it that last have waited for long: they may also go to workers that are set aside, since
    /// they may fail as often as they like.
    pub overdue: bool,
    /// Tasks under which workers crashed, by place.
    pub suspects: BTreeSet<usize>,
    /// Those of them for which there was no worker when it was last looked for one.
    pub untried: BTreeSet<usize>,
    /// Trials of its tasks that went well since the last early crash under one of them.
    pub passed_trials: usize,
    /// A crash that was counted against a task of it is not written down yet.
    pub crash_unpersisted: bool,
    /// It is about to miss its objective: its filling tasks may also go where they disturb.
    pub urgent: bool,
    /// What is known of which workers may run its steps, by time and step.
    pub advice: HashMap<(u32, u16), StepAdvice>,
}

/// Order of jobs in line: the lowest first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Of the queue; 0 goes first.
    pub priority: u32,
    /// Lasting tasks go after others of the same priority: a short task holds room for a moment
    /// and is worth more for it.
    pub lasting: bool,
    /// Jobs past their objective go after those that can still meet it.
    pub late: bool,
    /// When the job ought to be done, in milliseconds since 1970.
    pub objective: u64,
    /// The time from its acceptance to then, in milliseconds.
    pub span: u64,
    /// Tells equal ones apart.
    pub id: Id,
}

/// What is to be asked of a worker next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The lease to ask for, on the worker's clock; 0 where its clock is not known.
    pub deadline: u64,
    /// Ends up to this number are written down.
    pub seen: u64,
    /// How long the worker may hold the answer, in milliseconds.
    pub wait: u64,
}

/// How many workers are reached. One whose poll is held, and that has not answered for long, is neither heard nor silent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Those that have answered lately.
    pub reachable: usize,
    /// Those that have left a poll without an answer.
    pub unreachable: usize,
}

/// One cell of workers and its jobs.
pub struct Cell {
    pub(crate) timing: Timing,
    pub(crate) jobs: HashMap<Id, Job>,
    /// Jobs that have ended, and when, in milliseconds since 1970.
    pub(crate) ended_jobs: HashMap<Id, (State, u64)>,
    pub(crate) workers: BTreeMap<Arc<str>, Worker>,
    /// Lives of workers that are proven to be over and are still listed.
    pub(crate) ended_incarnations: HashSet<Arc<str>>,
    /// How many lives were known of each name, where lives tell when they began.
    pub(crate) generations: HashMap<Arc<str>, u32>,
    /// Names and addresses of which more than one life is known.
    pub(crate) ambiguous: HashSet<Arc<str>>,
    /// Workers that were forgotten and that somebody may still talk to.
    pub(crate) removed: Vec<Arc<str>>,
    /// Jobs with tasks that may start.
    pub(crate) ready_jobs: BTreeSet<Rank>,
    /// Jobs whose record is to be written.
    pub(crate) dirty: WriteQueue,
    /// Jobs with a timetable, whose next time is to come.
    pub(crate) timetabled: HashSet<Id>,
    /// When the workers were last listed.
    pub(crate) last_listing: u64,
    /// Since when listings have come without a gap.
    pub(crate) listings_since: u64,
    /// The list of workers is to be written.
    pub(crate) fleet_dirty: bool,
    /// What was learned of disturbance is to be written.
    pub(crate) interference_due: bool,
    /// Orders to send, by worker.
    pub(crate) orders: Vec<(Arc<str>, Order)>,
    /// Questions to the advising service.
    pub(crate) advice_queries: Vec<AdviceQuery>,
    /// How often all workers were looked through for a task.
    pub(crate) full_scans: u64,
    pub(crate) waves: BTreeMap<u64, maintenance::Progress>,
    /// What a takeover still waits for.
    pub(crate) recovery: Option<Recovery>,
    /// What runs of jobs that are not known yet, from a takeover until they were read once more.
    pub(crate) pending: Option<Pending>,
    /// Which filling images disturb which serving ones.
    pub(crate) interference: Interference,
    /// The load of serving jobs.
    pub(crate) forecasts: Forecasts,
    /// More filling work waits than runs.
    pub(crate) backlogged: bool,
    /// Needs that found no room when all workers were looked through.
    pub(crate) unplaceable: Vec<Unplaceable>,
    /// Jobs that are not known and of which workers hold runs that must not be.
    pub(crate) unknown_jobs: HashSet<Id>,
    /// What the present pass has placed of a job: place, run and worker.
    pub(crate) placed: Vec<(usize, u64, Arc<str>)>,
    /// How many more tasks the present pass may place.
    pub(crate) placements_left: usize,
    /// Looks at single workers that the present pass has taken.
    pub(crate) worker_checks: usize,
    /// From which worker on the next part of them is looked at.
    pub(crate) scan_start: Arc<str>,
    /// Workers that get no work for now, see [`Cell::set_backpressured`].
    pub(crate) backpressured: HashSet<Arc<str>>,
    /// Data halls in which nothing may start.
    pub(crate) closed_halls: HashSet<Arc<str>>,
    /// Runs that are done and were not told yet.
    pub(crate) finished_runs: Vec<FinishedRun>,
    /// Pools whose workers start whatever they are told.
    pub(crate) overcommitting: HashSet<Arc<str>>,
    /// No lease of a worker may go on: another owner may reckon it over.
    pub(crate) leases_frozen: bool,
    /// Which tasks are suspected of crashing their workers, and which workers were lost.
    pub(crate) crashes: crashes::CrashTracker,
}

impl Cell {
    /// An empty cell.
    pub fn new(timing: Timing) -> Self {
        let lease = timing.lease.min(timing::LEASE);
        Cell {
            timing: Timing { lease, ..timing },
            jobs: HashMap::new(),
            ended_jobs: HashMap::new(),
            workers: BTreeMap::new(),
            ended_incarnations: HashSet::new(),
            generations: HashMap::new(),
            ambiguous: HashSet::new(),
            removed: Vec::new(),
            ready_jobs: BTreeSet::new(),
            dirty: WriteQueue::default(),
            timetabled: HashSet::new(),
            last_listing: 0,
            listings_since: 0,
            fleet_dirty: false,
            interference_due: false,
            orders: Vec::new(),
            advice_queries: Vec::new(),
            full_scans: 0,
            waves: BTreeMap::new(),
            recovery: None,
            pending: None,
            interference: Interference::default(),
            forecasts: Forecasts::default(),
            backlogged: false,
            unplaceable: Vec::new(),
            unknown_jobs: HashSet::new(),
            placed: Vec::new(),
            placements_left: 0,
            worker_checks: 0,
            scan_start: "".into(),
            backpressured: HashSet::new(),
            closed_halls: HashSet::new(),
            finished_runs: Vec::new(),
            overcommitting: HashSet::new(),
            leases_frozen: false,
            crashes: crashes::CrashTracker::default(),
        }
    }

    /// The orders that were decided since the last call.
    pub fn take_orders(&mut self) -> Vec<(Arc<str>, Order)> {
        std::mem::take(&mut self.orders)
    }

    /// Goes on from what a former owner knew of disturbance.
    pub fn restore_interference(&mut self, learned: Interference) {
        self.interference = learned;
    }

    /// The state of a job that may be shown; `None` when it is not known here.
    pub fn state(&self, id: &Id) -> Option<State> {
        if let Some(&(state, _)) = self.ended_jobs.get(id) {
            return Some(state);
        }
        let job = self.jobs.get(id)?;
        match job.written_state {
            State::Queued if job.started => Some(State::Running),
            shown => Some(shown),
        }
    }

    /// The jobs of a queue none of whose tasks has begun; those with a timetable do not count.
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let is_waiting = |job: &&Job| {
            let submission = &job.progress.submission;
            &*submission.queue.name == queue && submission.spec.timetable.is_none() && !job.started
        };
        self.jobs.values().filter(is_waiting).count()
    }

    /// Jobs that ended before this time, in milliseconds since 1970; so many at most.
    pub fn ended_before(&self, before: u64, most: usize) -> Vec<Id> {
        let old = self
            .ended_jobs
            .iter()
            .filter(|(_, (_, ended))| *ended < before);
        old.map(|(id, _)| id.clone()).take(most).collect()
    }

    /// Forgets jobs that have ended.
    pub fn remove_ended(&mut self, ids: &[Id]) {
        for id in ids {
            self.ended_jobs.remove(id);
            self.unknown_jobs.remove(id);
        }
    }

    /// What to ask a worker next; `None` when it is not known any more.
    pub fn next_poll(&mut self, id: &str, now: u64) -> Option<Poll> {
        let lease = self.timing.lease;
        let worker = self.workers.get_mut(id)?;
        // Without an answer to the last poll the lease is not extended: the worker may have got
        // it, and each try would put off the moment at which all its leases are surely over.
        let deadline = match worker.clock_at(now) {
            Some(_) if self.leases_frozen => 0,
            Some(clock) if worker.poll_answered => clock + lease,
            Some(_) => worker.max_deadline,
            None => 0,
        };
        worker.max_deadline = worker.max_deadline.max(deadline);
        let was_heard = std::mem::take(&mut worker.poll_answered);
        let wait = if worker.clock.is_none() || !was_heard {
            0
        } else {
            worker.poll_wait()
        };
        worker.answer_due = Some(now + wait + timing::POLL_LATE);
        Some(Poll {
            deadline,
            seen: worker.ends_written,
            wait,
        })
    }

    /// Lets the leases of workers go on no longer than they were granted, or lets them go on again.
    pub fn freeze_leases(&mut self, keeps: bool) {
        self.leases_frozen = keeps;
    }

    /// True when ends of the worker were taken in and are not written down yet, or are left for later:
    /// asked now, it would list them again at once.
    pub fn has_unwritten_ends(&self, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.has_unwritten_ends() || worker.ends_deferred)
    }

    /// How many workers are reached now, and how many are not.
    pub fn reachability(&self, now: u64) -> Reachability {
        let mut reach = Reachability::default();
        for worker in self.workers.values() {
            let is_overdue = worker.answer_due.is_some_and(|due| now > due);
            let is_fresh = |clock: Clock| now <= clock.at + timing::HEARD_WITHIN;
            if worker.is_unreachable() || is_overdue {
                reach.unreachable += 1;
            } else if worker.clock.is_some_and(is_fresh) {
                reach.reachable += 1;
            }
        }
        reach
    }

    /// How many workers are known.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// The workers, as listed.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.workers.values().map(|worker| &worker.entry)
    }

    /// How often all workers were looked through for a task, as a measure of work.
    pub fn full_scans(&self) -> u64 {
        self.full_scans
    }

    /// A worker, as listed.
    pub fn entry(&self, id: &str) -> Option<&Entry> {
        self.workers.get(id).map(|worker| &worker.entry)
    }

    /// Makes a task wait again that was placed, unless its job is over.
    pub(crate) fn requeue(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.progress.state.is_final() || job.progress.tasks[key.place].phase == Phase::Done {
            return;
        }
        job.progress.tasks[key.place].phase = Phase::Waiting;
        job.ready.insert(key.place);
        self.ready_jobs.insert(job.rank.clone());
    }

    /// What a worker holds for a task.
    pub(crate) fn slot(&self, id: &str, key: &TaskKey) -> Option<&Slot> {
        self.workers.get(id)?.slots.get(key)
    }

    /// Orders a run to stop.
    pub(crate) fn stop(&mut self, id: &Arc<str>, key: &TaskKey, now: u64) {
        let Some(slot) = self
            .workers
            .get_mut(id)
            .and_then(|worker| worker.slots.get_mut(key))
        else {
            return;
        };
        slot.stopping = Some(now);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let order = Order::Stop {
            key: key.clone(),
            address: job.progress.submission.spec.address(key.place),
            run: slot.run,
        };
        self.orders.push((id.clone(), order));
    }
}
