//! The state of one cell.

use {
    crate::{
        advise::{Known, Question},
        crashes,
        interference::{Interference, forecast::Forecasts},
        order::Order,
        place::Stuck,
        slot::Slot,
        takeover::{Pending, Recovery},
        timing::{self, Timing},
        told::Done,
        turns::Turns,
        wave,
        worker::{Clock, Entry, Key, Worker},
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
    pub opened: Vec<bool>,
    /// The state that is written down and may be shown.
    pub shown: State,
    /// Some task has begun.
    pub began: bool,
    /// Read at a takeover: its tasks may run on workers that have not answered.
    pub unsure: bool,
    /// Where it stands in line.
    pub rank: Rank,
    /// Since when tasks of it that last wait for room, in milliseconds since 1970.
    pub lined: Option<u64>,
    /// Tasks of it that last have waited for long: they may also go to workers that are set aside, since
    /// they may fail as often as they like.
    pub pressed: bool,
    /// Tasks under which workers crashed, by place.
    pub suspects: BTreeSet<usize>,
    /// Those of them for which there was no worker when it was last looked for one.
    pub stranded: BTreeSet<usize>,
    /// Trials of its tasks that went well since the last early crash under one of them.
    pub survivors: usize,
    /// A crash that was counted against a task of it is not written down yet.
    pub unkept: bool,
    /// It is about to miss its objective: its filling tasks may also go where they disturb.
    pub hurried: bool,
    /// What is known of which workers may run its steps, by time and step.
    pub advice: HashMap<(u32, u16), Known>,
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
pub struct Reach {
    /// Those that have answered lately.
    pub heard: usize,
    /// Those that have left a poll without an answer.
    pub silent: usize,
}

/// One cell of workers and its jobs.
pub struct Cell {
    pub(crate) timing: Timing,
    pub(crate) jobs: HashMap<Id, Job>,
    /// Jobs that have ended, and when, in milliseconds since 1970.
    pub(crate) closed: HashMap<Id, (State, u64)>,
    pub(crate) workers: BTreeMap<Arc<str>, Worker>,
    /// Lives of workers that are proven to be over and are still listed.
    pub(crate) over: HashSet<Arc<str>>,
    /// How many lives were known of each name, where lives tell when they began.
    pub(crate) generations: HashMap<Arc<str>, u32>,
    /// Names and addresses of which more than one life is known.
    pub(crate) shared: HashSet<Arc<str>>,
    /// Workers that were forgotten and that somebody may still talk to.
    pub(crate) gone: Vec<Arc<str>>,
    /// Jobs with tasks that may start.
    pub(crate) line: BTreeSet<Rank>,
    /// Jobs whose record is to be written.
    pub(crate) dirty: Turns,
    /// Jobs with a timetable, whose next time is to come.
    pub(crate) timed: HashSet<Id>,
    /// When the workers were last listed.
    pub(crate) listed: u64,
    /// Since when listings have come without a gap.
    pub(crate) steady: u64,
    /// The list of workers is to be written.
    pub(crate) fleet_dirty: bool,
    /// What was learned of disturbance is to be written.
    pub(crate) learned_due: bool,
    /// Orders to send, by worker.
    pub(crate) orders: Vec<(Arc<str>, Order)>,
    /// Questions to the advising service.
    pub(crate) questions: Vec<Question>,
    /// How often all workers were looked through for a task.
    pub(crate) tried: u64,
    pub(crate) waves: BTreeMap<u64, wave::Progress>,
    /// What a takeover still waits for.
    pub(crate) recovery: Option<Recovery>,
    /// What runs of jobs that are not known yet, from a takeover until they were read once more.
    pub(crate) pending: Option<Pending>,
    /// Which filling images disturb which serving ones.
    pub(crate) interference: Interference,
    /// The load of serving jobs.
    pub(crate) forecasts: Forecasts,
    /// More filling work waits than runs.
    pub(crate) crowded: bool,
    /// Needs that found no room when all workers were looked through.
    pub(crate) stuck: Vec<Stuck>,
    /// Jobs that are not known and of which workers hold runs that must not be.
    pub(crate) unknown: HashSet<Id>,
    /// What the present pass has placed of a job: place, run and worker.
    pub(crate) placed: Vec<(usize, u64, Arc<str>)>,
    /// How many more tasks the present pass may place.
    pub(crate) room: usize,
    /// Looks at single workers that the present pass has taken.
    pub(crate) looks: usize,
    /// From which worker on the next part of them is looked at.
    pub(crate) around: Arc<str>,
    /// Workers that get no work for now, see [`Cell::hold_back`].
    pub(crate) held: HashSet<Arc<str>>,
    /// Data halls in which nothing may start.
    pub(crate) shut: HashSet<Arc<str>>,
    /// Runs that are done and were not told yet.
    pub(crate) done: Vec<Done>,
    /// Pools whose workers start whatever they are told.
    pub(crate) unguarded: HashSet<Arc<str>>,
    /// No lease of a worker may go on: another owner may reckon it over.
    pub(crate) keeps_leases: bool,
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
            closed: HashMap::new(),
            workers: BTreeMap::new(),
            over: HashSet::new(),
            generations: HashMap::new(),
            shared: HashSet::new(),
            gone: Vec::new(),
            line: BTreeSet::new(),
            dirty: Turns::default(),
            timed: HashSet::new(),
            listed: 0,
            steady: 0,
            fleet_dirty: false,
            learned_due: false,
            orders: Vec::new(),
            questions: Vec::new(),
            tried: 0,
            waves: BTreeMap::new(),
            recovery: None,
            pending: None,
            interference: Interference::default(),
            forecasts: Forecasts::default(),
            crowded: false,
            stuck: Vec::new(),
            unknown: HashSet::new(),
            placed: Vec::new(),
            room: 0,
            looks: 0,
            around: "".into(),
            held: HashSet::new(),
            shut: HashSet::new(),
            done: Vec::new(),
            unguarded: HashSet::new(),
            keeps_leases: false,
            crashes: crashes::CrashTracker::default(),
        }
    }

    /// The orders that were decided since the last call.
    pub fn take_orders(&mut self) -> Vec<(Arc<str>, Order)> {
        std::mem::take(&mut self.orders)
    }

    /// Goes on from what a former owner knew of disturbance.
    pub fn recall(&mut self, learned: Interference) {
        self.interference = learned;
    }

    /// The state of a job that may be shown; `None` when it is not known here.
    pub fn state(&self, id: &Id) -> Option<State> {
        if let Some(&(state, _)) = self.closed.get(id) {
            return Some(state);
        }
        let job = self.jobs.get(id)?;
        match job.shown {
            State::Queued if job.began => Some(State::Running),
            shown => Some(shown),
        }
    }

    /// The jobs of a queue none of whose tasks has begun; those with a timetable do not count.
    pub fn waiting(&self, queue: &str) -> usize {
        let is_waiting = |job: &&Job| {
            let submission = &job.progress.submission;
            &*submission.queue.name == queue && submission.spec.timetable.is_none() && !job.began
        };
        self.jobs.values().filter(is_waiting).count()
    }

    /// Jobs that ended before this time, in milliseconds since 1970; so many at most.
    pub fn outdated(&self, before: u64, most: usize) -> Vec<Id> {
        let old = self.closed.iter().filter(|(_, (_, ended))| *ended < before);
        old.map(|(id, _)| id.clone()).take(most).collect()
    }

    /// Forgets jobs that have ended.
    pub fn forget(&mut self, ids: &[Id]) {
        for id in ids {
            self.closed.remove(id);
            self.unknown.remove(id);
        }
    }

    /// What to ask a worker next; `None` when it is not known any more.
    pub fn poll(&mut self, id: &str, now: u64) -> Option<Poll> {
        let lease = self.timing.lease;
        let worker = self.workers.get_mut(id)?;
        // Without an answer to the last poll the lease is not extended: the worker may have got
        // it, and each try would put off the moment at which all its leases are surely over.
        let deadline = match worker.clock_at(now) {
            Some(_) if self.keeps_leases => 0,
            Some(clock) if worker.heard => clock + lease,
            Some(_) => worker.granted,
            None => 0,
        };
        worker.granted = worker.granted.max(deadline);
        let was_heard = std::mem::take(&mut worker.heard);
        let wait = if worker.clock.is_none() || !was_heard {
            0
        } else {
            worker.poll_wait()
        };
        worker.due = Some(now + wait + timing::POLL_LATE);
        Some(Poll {
            deadline,
            seen: worker.kept,
            wait,
        })
    }

    /// Lets the leases of workers go on no longer than they were granted, or lets them go on again.
    pub fn keep_leases(&mut self, keeps: bool) {
        self.keeps_leases = keeps;
    }

    /// True when ends of the worker were taken in and are not written down yet, or are left for later:
    /// asked now, it would list them again at once.
    pub fn is_unwritten(&self, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.is_unwritten() || worker.left)
    }

    /// How many workers are reached now, and how many are not.
    pub fn reach(&self, now: u64) -> Reach {
        let mut reach = Reach::default();
        for worker in self.workers.values() {
            let is_overdue = worker.due.is_some_and(|due| now > due);
            let is_fresh = |clock: Clock| now <= clock.at + timing::HEARD_WITHIN;
            if worker.is_silent() || is_overdue {
                reach.silent += 1;
            } else if worker.clock.is_some_and(is_fresh) {
                reach.heard += 1;
            }
        }
        reach
    }

    /// How many workers are known.
    pub fn size(&self) -> usize {
        self.workers.len()
    }

    /// The workers, as listed.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.workers.values().map(|worker| &worker.entry)
    }

    /// How often all workers were looked through for a task, as a measure of work.
    pub fn tried(&self) -> u64 {
        self.tried
    }

    /// A worker, as listed.
    pub fn entry(&self, id: &str) -> Option<&Entry> {
        self.workers.get(id).map(|worker| &worker.entry)
    }

    /// Makes a task wait again that was placed, unless its job is over.
    pub(crate) fn free(&mut self, key: &Key) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.progress.state.is_final() || job.progress.tasks[key.place].phase == Phase::Done {
            return;
        }
        job.progress.tasks[key.place].phase = Phase::Waiting;
        job.ready.insert(key.place);
        self.line.insert(job.rank.clone());
    }

    /// What a worker holds for a task.
    pub(crate) fn slot(&self, id: &str, key: &Key) -> Option<&Slot> {
        self.workers.get(id)?.slots.get(key)
    }

    /// Orders a run to stop.
    pub(crate) fn stop(&mut self, id: &Arc<str>, key: &Key, now: u64) {
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
