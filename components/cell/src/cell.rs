//! The state of one cell: its jobs, its workers and the orders that are due to be sent.

use {
    crate::{
        advice::{AdviceQuery, StepAdvice},
        claim_bound::ClaimBound,
        crashes,
        failing::FailureStreak,
        interference::Interference,
        interference::forecast::Forecasts,
        learned::Learned,
        maintenance,
        order::Order,
        place::Unplaceable,
        run_log::FinishedRun,
        slot::Slot,
        stalled::Idle,
        takeover::{HeldBack, Pending, Recovery},
        timing::{self, Timing},
        worker::{Clock, Entry, TaskKey, Worker},
        write_queue::WriteQueue,
    },
    job::{Id, Phase, Progress, State},
    policy::{
        admission::{Inflow, PoolHistory, Source},
        durations::Queues,
        lateness::Lateness,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        sync::Arc,
    },
};

/// A job in the cell.
#[derive(Debug)]
pub(crate) struct Job {
    pub progress: Progress,
    /// Tasks that may start, by place.
    pub ready: BTreeSet<usize>,
    /// Whether the tasks of a step were made ready, for each step of each repetition.
    pub steps_ready: Vec<bool>,
    /// The job's state as persisted; only this state is shown to callers.
    pub written_state: State,
    /// At least one task has started.
    pub started: bool,
    /// Loaded at a takeover: tasks may be running on workers that have not reported yet.
    pub unconfirmed: bool,
    /// Position in the order of jobs.
    pub rank: Rank,
    /// Since when long-running tasks of the job have been waiting for capacity, in Unix
    /// milliseconds.
    pub waiting_since: Option<u64>,
    /// Long-running tasks of the job have waited for too long. They may also go to quarantined
    /// workers, since they may fail any number of times.
    pub overdue: bool,
    /// Tasks whose workers crashed while running them, by place.
    pub suspects: BTreeSet<usize>,
    /// Tasks whose next start is put off, by place, and until when, on the owner's clock: isolated
    /// trials, and long-running tasks that surely crash their workers or fail again and again.
    pub delayed: BTreeMap<usize, u64>,
    /// Long-running tasks that have failed, by place.
    pub failing: BTreeMap<usize, FailureStreak>,
    /// Suspects for which the last placement pass found no worker to try them on, or whose gang
    /// could not start.
    pub unplaceable: BTreeSet<usize>,
    /// Trial runs that have succeeded since the last early crash of a worker under a task of this
    /// job.
    pub passed_trials: usize,
    /// Tasks against which a crash was counted that is not persisted yet, by place.
    pub unpersisted_crashes: BTreeSet<usize>,
    /// The job is about to miss its objective: its best-effort tasks may also run where they slow
    /// down serving tasks.
    pub urgent: bool,
    /// The completed runs of each step of each repetition.
    pub measured: Vec<StepRuns>,
    /// The critical path from each step to the end of the job if all steps are short, in
    /// milliseconds; `None` if too little is known of the queue.
    pub low_paths: Option<Vec<u64>>,
    /// Advice on which workers may run a step, by repetition and step.
    pub advice: HashMap<(u32, u16), StepAdvice>,
}

/// The completed runs of a step from which its length is learned.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StepRuns {
    /// Their number.
    pub count: u32,
    /// The longest, in milliseconds.
    pub longest: u64,
    /// The sum of all, in milliseconds.
    pub total: u64,
}

/// Position of a job in the order of placement; the lowest rank goes first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Priority of the queue; 0 goes first.
    pub priority: u32,
    /// Long-running tasks go after other tasks of the same priority: a short task occupies capacity
    /// only briefly and yields more for it.
    pub lasting: bool,
    /// Jobs that will miss their objective go after those that can still meet it.
    pub late: Lateness,
    /// The time by which the job should complete, in Unix milliseconds.
    pub objective: u64,
    /// The time between acceptance and objective, in milliseconds.
    pub span: u64,
    /// Breaks ties.
    pub id: Id,
}

/// Parameters of the next poll of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The lease deadline to request, on the worker's clock; 0 if its clock is unknown.
    pub deadline: u64,
    /// Run ends up to this number are persisted and need not be listed again.
    pub seen: u64,
    /// How long the worker may delay its answer, in milliseconds.
    pub wait: u64,
}

/// Numbers of reachable and unreachable workers. A worker whose long poll is still open and which
/// has not answered recently counts as neither.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Workers that have answered recently.
    pub reachable: usize,
    /// Workers that have left a poll unanswered.
    pub unreachable: usize,
}

/// A cell of workers and its jobs.
pub struct Cell {
    pub(crate) timing: Timing,
    pub(crate) jobs: HashMap<Id, Job>,
    /// Jobs that have ended, with the end time in Unix milliseconds.
    pub(crate) ended_jobs: HashMap<Id, (State, u64)>,
    pub(crate) workers: BTreeMap<Arc<str>, Worker>,
    /// Incarnations of workers that have provably ended but are still listed.
    pub(crate) ended_incarnations: HashSet<Arc<str>>,
    /// The number of known incarnations per worker name, for workers that report their start time.
    pub(crate) generations: HashMap<Arc<str>, u32>,
    /// Worker names and addresses with more than one known incarnation.
    pub(crate) ambiguous: HashSet<Arc<str>>,
    /// Workers that were removed and with which connections may still be open.
    pub(crate) removed: Vec<Arc<str>>,
    /// Jobs with tasks that may start.
    pub(crate) ready_jobs: BTreeSet<Rank>,
    /// Jobs with due tasks of which no run is confirmed, and some that are not checked yet.
    pub(crate) idle: HashMap<Id, Idle>,
    /// Jobs whose record is due to be written.
    pub(crate) dirty: WriteQueue,
    /// Jobs with a timetable and repetitions still to come.
    pub(crate) timetabled: HashSet<Id>,
    /// When the workers were last listed.
    pub(crate) last_listing: u64,
    /// Since when listings have arrived without a gap.
    pub(crate) listings_since: u64,
    /// The record of known workers is due to be written.
    pub(crate) fleet_dirty: bool,
    /// What was learned is due to be written.
    pub(crate) interference_due: bool,
    /// When that was due last.
    pub(crate) learned_due_at: u64,
    /// Orders to send, by worker.
    pub(crate) orders: Vec<(Arc<str>, Order)>,
    /// Queries to the advice service.
    pub(crate) advice_queries: Vec<AdviceQuery>,
    /// The number of scans over all workers for a task.
    pub(crate) full_scans: u64,
    pub(crate) waves: BTreeMap<u64, maintenance::WaveState>,
    /// What a takeover still waits for.
    pub(crate) recovery: Option<Recovery>,
    /// The tasks that the current or last pass has held back for unheard workers.
    pub(crate) held_back: HeldBack,
    /// When the first task was placed since the takeover.
    pub(crate) first_placement: Option<u64>,
    /// Workers that get no work are sealed.
    pub(crate) sealing: bool,
    /// The record of sealed workers is due to be written.
    pub(crate) seals_due: bool,
    /// When it was last due because of changed tasks.
    pub(crate) seals_rewritten: u64,
    /// Runs of jobs that are not known yet, from a takeover until the jobs have been read again.
    pub(crate) pending: Option<Pending>,
    /// How long steps take, by queue.
    pub(crate) durations: Queues,
    /// How long jobs take from the start of their first task, without waits, by queue.
    pub(crate) run_times: Queues,
    /// Learned lengths of steps are used.
    pub(crate) learning: bool,
    /// The work of the jobs that arrive.
    pub(crate) inflows: HashMap<Source, Inflow>,
    /// The workers that the pools have had lately.
    pub(crate) pools: PoolHistory,
    /// Which best-effort images slow down which serving images.
    pub(crate) interference: Interference,
    /// The load of serving jobs.
    pub(crate) forecasts: Forecasts,
    /// More best-effort work is waiting than running.
    pub(crate) backlogged: bool,
    /// Demands for which a scan of all workers found no capacity.
    pub(crate) unplaceable: Vec<Unplaceable>,
    /// Unknown jobs of which workers hold runs that must be stopped.
    pub(crate) unknown_jobs: HashSet<Id>,
    /// What the current pass has placed of a job: place, run and worker.
    pub(crate) placed: Vec<(usize, u64, Arc<str>)>,
    /// When the last pass began, on the owner's clock.
    pub(crate) last_pass: u64,
    /// How many more tasks the current pass may place.
    pub(crate) placements_left: usize,
    /// The number of worker checks in the current pass.
    pub(crate) worker_checks: usize,
    /// The worker at which the next partial scan starts.
    pub(crate) scan_start: Arc<str>,
    /// Workers that get no work for now, see [`Cell::set_backpressured`].
    pub(crate) backpressured: HashSet<Arc<str>>,
    /// Data halls in which no tasks may start.
    pub(crate) closed_halls: HashSet<Arc<str>>,
    /// Completed runs that are not logged yet.
    pub(crate) finished_runs: Vec<FinishedRun>,
    /// Pools whose workers start tasks without checking capacity.
    pub(crate) overcommitting: HashSet<Arc<str>>,
    /// Leases may not be extended: another owner may already count them as expired.
    pub(crate) leases_frozen: bool,
    /// See [`Cell::set_claim_bound`].
    pub(crate) claim_bound: ClaimBound,
    /// Tasks suspected of crashing their workers, and workers that were lost.
    pub(crate) crashes: crashes::CrashTracker,
}

impl Cell {
    /// Returns an empty cell.
    pub fn new(timing: Timing) -> Self {
        let lease = timing.lease.min(timing::MAX_LEASE);
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
            idle: HashMap::new(),
            dirty: WriteQueue::default(),
            timetabled: HashSet::new(),
            last_listing: 0,
            listings_since: 0,
            fleet_dirty: false,
            interference_due: false,
            learned_due_at: 0,
            orders: Vec::new(),
            advice_queries: Vec::new(),
            full_scans: 0,
            waves: BTreeMap::new(),
            recovery: None,
            held_back: HeldBack::default(),
            first_placement: None,
            sealing: false,
            seals_due: false,
            seals_rewritten: 0,
            pending: None,
            durations: Queues::default(),
            run_times: Queues::default(),
            learning: true,
            inflows: HashMap::new(),
            pools: PoolHistory::default(),
            interference: Interference::default(),
            forecasts: Forecasts::default(),
            backlogged: false,
            unplaceable: Vec::new(),
            unknown_jobs: HashSet::new(),
            placed: Vec::new(),
            last_pass: 0,
            placements_left: 0,
            worker_checks: 0,
            scan_start: "".into(),
            backpressured: HashSet::new(),
            closed_halls: HashSet::new(),
            finished_runs: Vec::new(),
            overcommitting: HashSet::new(),
            leases_frozen: false,
            claim_bound: ClaimBound::default(),
            crashes: crashes::CrashTracker::default(),
        }
    }

    /// Returns the orders issued since the last call.
    pub fn take_orders(&mut self) -> Vec<(Arc<str>, Order)> {
        std::mem::take(&mut self.orders)
    }

    /// Restores what a previous owner has learned and persisted.
    pub fn restore_interference(&mut self, learned: impl Into<Learned>) {
        let learned = learned.into();
        self.interference = learned.interference;
        self.durations = learned.durations;
        self.run_times = learned.run_times;
    }

    /// Sets whether the learned lengths of steps are used for new jobs. Without them, the callers'
    /// estimates are.
    pub fn enable_learning(&mut self, enabled: bool) {
        self.learning = enabled;
    }

    /// Returns the state of a job to show to callers, or `None` if the job is unknown.
    pub fn state(&self, id: &Id) -> Option<State> {
        if let Some(&(state, _)) = self.ended_jobs.get(id) {
            return Some(state);
        }
        let job = self.jobs.get(id)?;
        match job.written_state {
            State::Queued if job.started => Some(State::Running),
            written => Some(written),
        }
    }

    /// Returns the number of jobs of a queue that have not started, without those that have a
    /// timetable.
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let is_waiting = |job: &&Job| {
            let submission = &job.progress.submission;
            &*submission.queue.name == queue && submission.spec.timetable.is_none() && !job.started
        };
        self.jobs.values().filter(is_waiting).count()
    }

    /// Returns at most `most` jobs that ended before this time, in Unix milliseconds.
    pub fn ended_before(&self, before: u64, most: usize) -> Vec<Id> {
        let outdated = self
            .ended_jobs
            .iter()
            .filter(|(_, (_, ended))| *ended < before);
        outdated.map(|(id, _)| id.clone()).take(most).collect()
    }

    /// Removes jobs that have ended.
    pub fn remove_ended(&mut self, ids: &[Id]) {
        for id in ids {
            self.ended_jobs.remove(id);
            self.unknown_jobs.remove(id);
        }
    }

    /// Returns the parameters of the next poll of a worker, or `None` if the worker is unknown.
    pub fn next_poll(&mut self, id: &str, now: u64) -> Option<Poll> {
        let lease = self.claim_bound.max_lease(self.timing.lease, now);
        let is_watched = self.has_trial(id) || self.crashes.is_watched(id);
        let worker = self.workers.get_mut(id)?;
        // If the last poll was not answered, the lease is not extended: the worker may have
        // received that poll, and each attempt would postpone the time at which all its leases have
        // surely expired.
        let deadline = match worker.clock_at(now) {
            Some(_) if self.leases_frozen => 0,
            Some(clock) if worker.poll_answered => clock + lease,
            Some(_) => worker.max_deadline,
            None => 0,
        };
        worker.max_deadline = worker.max_deadline.max(deadline);
        let was_answered = std::mem::take(&mut worker.poll_answered);
        let wait = if worker.clock.is_none() || !was_answered {
            0
        } else if is_watched {
            // The shorter the time in which the worker may crash for another reason, the more its
            // crash tells of the task.
            worker.poll_wait().min(timing::POLL_TRIAL)
        } else {
            worker.poll_wait()
        };
        let wait = self.claim_bound.poll_wait(wait);
        worker.answer_due = Some(now + wait + timing::POLL_GRACE);
        Some(Poll {
            deadline,
            seen: worker.ends_written,
            wait,
        })
    }

    /// Sets whether leases of workers are frozen. Frozen leases are not extended beyond the
    /// deadlines already granted.
    pub fn freeze_leases(&mut self, frozen: bool) {
        self.leases_frozen = frozen;
    }

    /// True if run ends of the worker are not persisted yet or were deferred. If polled now, the
    /// worker would list them again at once.
    pub fn has_unwritten_ends(&self, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.has_unwritten_ends() || worker.ends_deferred)
    }

    /// Returns how many workers are reachable and how many are not.
    pub fn reachability(&self, now: u64) -> Reachability {
        let mut counts = Reachability::default();
        for worker in self.workers.values() {
            let is_overdue = worker.answer_due.is_some_and(|due| now > due);
            let is_fresh = |clock: Clock| now <= clock.at + timing::REACHABLE_WITHIN;
            if worker.is_unreachable() || is_overdue {
                counts.unreachable += 1;
            } else if worker.clock.is_some_and(is_fresh) {
                counts.reachable += 1;
            }
        }
        counts
    }

    /// Returns the number of known workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns the workers as listed.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.workers.values().map(|worker| &worker.entry)
    }

    /// Returns the number of scans over all workers, as a measure of work.
    pub fn full_scans(&self) -> u64 {
        self.full_scans
    }

    /// Returns a worker as listed.
    pub fn entry(&self, id: &str) -> Option<&Entry> {
        self.workers.get(id).map(|worker| &worker.entry)
    }

    /// Makes a placed task wait again, unless the task or its job has ended.
    pub(crate) fn requeue(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.progress.state.is_final() || job.progress.tasks[key.place].phase == Phase::Done {
            return;
        }
        let task = &mut job.progress.tasks[key.place];
        task.phase = Phase::Waiting;
        task.confirmed = false;
        job.ready.insert(key.place);
        self.ready_jobs.insert(job.rank.clone());
    }

    /// Returns the slot that a worker holds for a task.
    pub(crate) fn slot(&self, id: &str, key: &TaskKey) -> Option<&Slot> {
        self.workers.get(id)?.slots.get(key)
    }

    /// The same, to change it.
    pub(crate) fn slot_mut(&mut self, id: &str, key: &TaskKey) -> Option<&mut Slot> {
        self.workers.get_mut(id)?.slots.get_mut(key)
    }

    /// Issues an order to stop a run.
    pub(crate) fn stop(&mut self, id: &Arc<str>, key: &TaskKey, now: u64) {
        let Some(slot) = self.slot_mut(id, key) else {
            return;
        };
        slot.stopping = Some(now);
        let run = slot.run;
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let order = Order::Stop {
            key: key.clone(),
            address: job.progress.submission.spec.address(key.place),
            run,
        };
        self.orders.push((id.clone(), order));
    }
}
