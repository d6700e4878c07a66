//! Cluster simulator with message delays and losses: workers that follow the worker protocol,
//! driven by a cell on a simulated clock.
//!
//! Unlike in [`crate::sim::Sim`], polls are held, answers and orders take time or are lost, and a
//! worker refuses late starts, runs not above a known one, starts that do not fit, and orders of
//! previous owners.
//!
//! If workers keep their names, incarnations differ in their start time. A poll or an order sent by
//! the owner reaches the incarnation it is meant for or none, and the first poll on a new
//! connection is not binding. Orders that a worker executes late reach its current incarnation,
//! except for starts that expired before the crash: the next incarnation cannot tell this by its
//! clock, only by its fence, so they are delivered only after the owner has shown its fence there. A
//! crash closes the connections that could carry such a start.

mod advice;
mod former;
mod gangs;
mod machine;
mod network;
mod operators;
mod stalls;

use {
    self::{
        advice::PendingAdvice,
        former::{Former, MAX_AWAKE, Owner},
        machine::{DOWNTIME, Machine},
        network::{Answer, DelayedPoll, OrderInTransit, PendingPoll},
        operators::Operators,
        stalls::Stalls,
    },
    crate::common::{TIMING, submission},
    fastrand::Rng,
    job::{Address, Id, Record, State, Step, Submission},
    magpie_cell::{Cell, Entry, Refusal, Seal, WriteBatch},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        hash::Hash,
        ops::Range,
        sync::Arc,
    },
};

/// Clock step, in milliseconds.
const STEP: u64 = 10;
/// Interval of listings, in milliseconds.
const LIST_INTERVAL: u64 = 700;
/// Interval of passes over leases and the queue, in milliseconds.
const PASS_INTERVAL: u64 = 100;
/// Time until the entry of a crashed worker expires, in milliseconds.
const ENTRY_EXPIRY: u64 = 3_300;
/// Start of the simulation, in milliseconds since 1970.
const START_TIME: u64 = 1_700_000_000_000;

/// Time that a new owner takes to load the cell after its claim, in milliseconds.
const LOAD_TIME: u64 = 300;
/// Maximum time until an owner has read a job that another one has accepted, in milliseconds.
const MAX_UNREAD: u64 = 1_000;

/// A task: its job and its place.
pub type TaskId = (Id, usize);

/// The id of a job by its number.
pub fn id(number: u64) -> Id {
    Id::new(&format!("{number:016x}")).unwrap()
}

/// An event that affects machines, the store or the owner. Times are in milliseconds.
#[derive(Debug, Clone)]
pub enum Event {
    /// Partitions machines for a time; their runs continue until the leases expire.
    Partition(Range<usize>, u64),
    /// Cuts the power of machines for a moment.
    Crash(Range<usize>),
    /// Removes a machine permanently and without notice.
    Remove(usize),
    /// A machine announces that it leaves and is removed after a time.
    Leave(usize, u64),
    /// Suspends writes for a time.
    SuspendWrites(u64),
    /// Suspends writes for the first time; then the owner dies, and the next one takes over after
    /// the second.
    Takeover(u64, u64),
    /// Orders to machines get no answer for a time; they arrive with this delay, or never.
    DropAnswers(Range<usize>, u64, Option<u64>),
    /// Machines refuse starts for a time.
    RefuseStarts(Range<usize>, u64, Refusal),
    /// All runs that start on machines fail, for a time.
    FailRuns(Range<usize>, u64),
    /// The entries of machines are missing for a time.
    HideEntry(Range<usize>, u64),
    /// Answers to polls of machines are lost for a time.
    DropReports(Range<usize>, u64),
    /// Machines crash and return after the first time; their entries are updated only after the
    /// second. Their wall clocks have stepped back by the third.
    Restart(Range<usize>, u64, u64, u64),
    /// Polls of machines get no answer for a time and are executed with a delay.
    DelayPolls(Range<usize>, u64, u64),
    /// Writes get no answer for a time; some of them are carried out.
    LoseWrites(u64),
    /// The owner is suspended, and the next one takes over after the first time. The former one
    /// resumes after the second, and acts for the third.
    Suspend(u64, u64, u64),
    /// The operators close a data hall for a time.
    CloseHall(usize, u64),
    /// The connections to machines are saturated for a time.
    Saturate(Range<usize>, u64),
    /// The operators request maintenance of machines, and withdraw the request after a time.
    Maintain(Range<usize>, u64),
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A task runs twice.
    DuplicateRun(u64, TaskId),
    /// A task is started after a success that was recorded.
    RestartAfterSuccess(u64, TaskId),
    /// The cell reports another owner although there is none.
    FalseOwnerChange(u64),
    /// A batch job does not progress beside free capacity.
    StuckJob(Id),
    /// A job has had nothing running beside free capacity, since this time.
    StalledJob(u64, Id),
    /// A job without a fault of its own failed.
    JobFailed(u64, Id),
    /// This many tasks were misplaced.
    MisplacedTasks(u64, usize),
    /// A trial has lasted for this long.
    LongTrial(u64),
    /// A long-running task waits beside free capacity.
    StarvedTask(TaskId),
}

impl Violation {
    /// True if both are of the same kind.
    pub fn is_same_kind(&self, other: &Violation) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}

/// A cell, its workers and the messages in transit.
pub struct NetSim {
    pub cell: Cell,
    pub now: u64,
    /// The first violated invariant.
    pub violation: Option<Violation>,
    /// When a crashing task last crashed a worker.
    pub last_crash: u64,
    machines: Vec<Machine>,
    stale_entries: Vec<(Entry, u64)>,
    jobs: Vec<Submission>,
    persisted: HashMap<Id, Record>,
    fleet: Vec<Entry>,
    writes_resume: u64,
    /// When the next owner takes over, if there is none.
    takeover_at: Option<u64>,
    /// When the owner dies, and the time until the next one takes over.
    owner_dies: Option<(u64, u64)>,
    fence: u64,
    polls: BTreeMap<Arc<str>, PendingPoll>,
    /// Incarnations that have answered on the open connection.
    connected: HashSet<Arc<str>>,
    delayed: Vec<DelayedPoll>,
    /// Tasks whose success was recorded.
    recorded: HashSet<TaskId>,
    /// Workers restart under the same names.
    reuses_names: bool,
    /// Owners take over gradually and seal workers.
    is_gradual: bool,
    /// The maximum number of entries in a batch.
    batch_size: usize,
    /// The time between two batches, in milliseconds.
    write_interval: u64,
    /// Chance in what is gradual.
    rng: Rng,
    /// The sealed workers, and the fence of the owner that has written them.
    seals: (u64, Vec<Seal>),
    /// The owner that has last written to the head, by claim or batch.
    head_writer: u64,
    writes_lost_until: u64,
    /// When the owner is suspended, how the next one takes over, see [`Event::Suspend`].
    suspension: Option<(u64, u64)>,
    formers: Vec<Former>,
    /// A former owner acts.
    is_former: bool,
    /// Jobs that the owner has not read yet, and when it reads them.
    unread: Vec<(u64, Submission)>,
    /// When each task was last started.
    started: HashMap<TaskId, u64>,
    next_polls: HashMap<Arc<str>, u64>,
    sent: Vec<OrderInTransit>,
    answers: Vec<Answer>,
    crashing: HashMap<TaskId, u64>,
    incarnations: u32,
    task_ms: u64,
    /// Queries to the advice service.
    advice: Vec<PendingAdvice>,
    operators: Operators,
    /// Jobs that have nothing running, if that is checked.
    stalls: Option<Stalls>,
}

impl NetSim {
    /// Creates workers of 4 cores, 8 per rack, whose tasks run for `task_ms`
    /// milliseconds.
    pub fn new(workers: usize, task_ms: u64) -> Self {
        let mut sim = NetSim {
            cell: Cell::new(TIMING),
            now: 1_000,
            violation: None,
            last_crash: 0,
            machines: (0..workers).map(Machine::new).collect(),
            stale_entries: Vec::new(),
            jobs: Vec::new(),
            persisted: HashMap::new(),
            fleet: Vec::new(),
            writes_resume: 0,
            takeover_at: None,
            owner_dies: None,
            fence: 1,
            polls: BTreeMap::new(),
            connected: HashSet::new(),
            delayed: Vec::new(),
            recorded: HashSet::new(),
            reuses_names: false,
            is_gradual: false,
            batch_size: 100,
            write_interval: STEP,
            rng: Rng::with_seed(0),
            seals: (0, Vec::new()),
            head_writer: 1,
            writes_lost_until: 0,
            suspension: None,
            formers: Vec::new(),
            is_former: false,
            unread: Vec::new(),
            started: HashMap::new(),
            next_polls: HashMap::new(),
            sent: Vec::new(),
            answers: Vec::new(),
            crashing: HashMap::new(),
            incarnations: workers as u32,
            task_ms,
            advice: Vec::new(),
            operators: Operators::default(),
            stalls: None,
        };
        sim.list();
        sim
    }

    /// Creates workers that restart under the same names.
    pub fn with_reused_names(workers: usize, task_ms: u64) -> Self {
        let mut sim = NetSim::new(0, task_ms);
        sim.reuses_names = true;
        sim.machines = NetSim::new(workers, task_ms).machines;
        for machine in &mut sim.machines {
            machine.start_time = Some(START_TIME + 1_000);
            machine.start_times.extend(machine.start_time);
            machine.id = Entry::incarnation_id(&machine.name, machine.start_time);
        }
        sim.list();
        sim
    }

    /// Lets owners take over gradually and seal workers that get no work.
    pub fn take_over_gradually(&mut self, seed: u64) {
        self.is_gradual = true;
        self.rng = Rng::with_seed(seed);
        (self.batch_size, self.write_interval) = match self.rng.u8(0..4) {
            0 => (1, STEP),
            1 => (2, 5 * STEP),
            _ => (100, STEP),
        };
        self.cell.enable_sealing(true);
    }

    /// Submits a job of one step. Priority 0 goes first.
    pub fn submit(&mut self, number: u64, step: Step, priority: u32) -> Id {
        let id = id(number);
        let mut submission = submission(id.as_str(), vec![step]);
        submission.queue.priority = priority;
        self.accept(submission);
        id
    }

    /// Accepts a job.
    pub fn accept(&mut self, mut submission: Submission) {
        submission.accepted = self.now;
        submission.fence = self.accepted_fence();
        self.jobs.push(submission.clone());
        if self.takeover_at.is_some() {
            return;
        }
        if !self.formers.is_empty() && self.rng.bool() {
            let at = self.now + self.rng.u64(0..MAX_UNREAD);
            self.unread.push((at, submission));
        } else {
            assert!(self.cell.admit(submission, self.now));
        }
    }

    fn submission(&self, id: &Id) -> &Submission {
        let mut jobs = self.jobs.iter();
        jobs.find(|job| job.id == *id).unwrap()
    }

    /// The fence that the box knows that accepts a job.
    fn accepted_fence(&mut self) -> u64 {
        if !self.is_gradual {
            return 0;
        }
        let is_claimed = self
            .takeover_at
            .is_some_and(|at| self.now + LOAD_TIME >= at);
        let newest = self.fence + u64::from(is_claimed);
        match self.rng.u8(0..6) {
            0 => 0,
            1 | 2 => newest - 1,
            _ => newest,
        }
    }

    /// Admits jobs that the owner reads now.
    fn read_jobs(&mut self, until: u64) {
        let due: Vec<_> = self.unread.extract_if(.., |(at, _)| *at <= until).collect();
        for (_, submission) in due {
            self.cell.admit(submission, self.now);
        }
    }

    /// Makes a task crash every worker that starts it, `after` milliseconds after the start.
    pub fn crash_on_start(&mut self, id: &Id, place: usize, after: u64) {
        self.crashing.insert((id.clone(), place), after);
    }

    /// The machine that runs a task.
    pub fn machine_of(&self, id: &Id, place: usize) -> Option<usize> {
        let submission = self.jobs.iter().find(|job| job.id == *id)?;
        let place_of = |address: &Address| submission.spec.place(*address);
        self.machines.iter().position(|machine| {
            let mut tasks = machine.runs.keys();
            tasks.any(|(job, address)| job == id && place_of(address) == Some(place))
        })
    }

    /// Applies an event.
    pub fn apply(&mut self, event: &Event) {
        let now = self.now;
        if let Some(stalls) = &mut self.stalls {
            stalls.note_event(event, now);
        }
        match event {
            Event::CloseHall(hall, time) => self.operators.close_hall(*hall, now + time),
            Event::Saturate(range, time) => self.operators.saturate(range.clone(), now + time),
            Event::Maintain(range, time) => self.operators.maintain(range.clone(), now + time),
            Event::Partition(range, time) => {
                self.for_each_up(range, |machine| {
                    machine.partitioned_until = machine.partitioned_until.max(now + time)
                });
            }
            Event::Crash(range) => {
                self.for_each_up(range, |machine| machine.crashes_at = Some(now))
            }
            Event::Remove(machine) => {
                self.for_each_up(&(*machine..machine + 1), |machine| {
                    machine.removed_at = Some(now)
                });
            }
            Event::Leave(machine, after) => self.for_each_up(&(*machine..machine + 1), |machine| {
                machine.is_leaving = true;
                machine.removed_at = Some(now + after);
            }),
            Event::SuspendWrites(time) => self.writes_resume = self.writes_resume.max(now + time),
            Event::Takeover(suspended, gap) => {
                self.writes_resume = self.writes_resume.max(now + suspended);
                self.owner_dies = Some((now + suspended, *gap));
            }
            Event::LoseWrites(time) => {
                self.writes_lost_until = self.writes_lost_until.max(now + time);
            }
            Event::Suspend(gap, wake, awake) => {
                if self.takeover_at.is_none() {
                    self.suspension = Some((*wake, *awake));
                    self.takeover_at = Some(now + gap);
                }
            }
            Event::DropAnswers(range, time, late) => self.for_each_up(range, |machine| {
                machine.answers_dropped = (now + time, *late)
            }),
            Event::RefuseStarts(range, time, reason) => {
                self.for_each_up(range, |machine| machine.refusing = (now + time, *reason));
            }
            Event::FailRuns(range, time) => {
                self.for_each_up(range, |machine| machine.failing_until = now + time)
            }
            Event::HideEntry(range, time) => {
                self.for_each_up(range, |machine| machine.hidden_until = now + time)
            }
            Event::DropReports(range, time) => {
                self.for_each_up(range, |machine| machine.reports_dropped_until = now + time)
            }
            Event::Restart(range, downtime, behind, step_back) => {
                self.for_each_up(range, |machine| {
                    machine.crashes_at = Some(now);
                    machine.downtime = (*downtime, *behind);
                    machine.clock_back += step_back;
                })
            }
            Event::DelayPolls(range, time, late) => self.for_each_up(range, |machine| {
                machine.delayed = (now + time, *late);
            }),
        }
    }

    fn for_each_up(&mut self, range: &Range<usize>, act: impl Fn(&mut Machine)) {
        let up = self.machines[range.clone()].iter_mut();
        up.filter(|machine| machine.returns_at.is_none())
            .for_each(act);
    }

    /// Advances the simulation, in milliseconds, until the first fault.
    pub fn advance(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end && self.violation.is_none() {
            self.now += STEP;
            self.stop_machines();
            self.end_due_runs();
            self.run_gangs();
            self.restart_machines();
            self.deliver();
            self.run_formers();
            self.run_owner();
            self.check();
            self.check_stalls();
        }
    }

    /// Runs the owner, if there is one.
    fn run_owner(&mut self) {
        let now = self.now;
        if self.owner_dies.is_some_and(|(at, _)| at <= now)
            && let Some((_, gap)) = self.owner_dies.take()
        {
            self.takeover_at = Some(now + gap);
        }
        if let Some(takeover_at) = self.takeover_at {
            if now < takeover_at {
                self.answer_polls();
                return;
            }
            self.take_over();
        }
        if now.is_multiple_of(LIST_INTERVAL) {
            self.list();
        }
        self.poll();
        for (id, order, outcome) in self.answers_due() {
            if self.cell.handle_outcome(&id, &order, outcome, now) {
                self.violation = Some(Violation::FalseOwnerChange(now));
            }
        }
        if now.is_multiple_of(PASS_INTERVAL) {
            self.cell.activate_due_steps(now);
            self.cell.rerank(now, now);
            self.cell.expire_tickets(now);
            self.cell.relocate(now);
            self.cell.expire_leases(now);
            self.run_operators();
        }
        self.answer_queries();
        self.read_jobs(now);
        if self.cell.is_reread_due() {
            self.read_jobs(u64::MAX);
            self.cell.jobs_reread();
        }
        self.cell.place(now);
        for (id, order) in self.cell.take_orders() {
            self.send(id, order);
        }
        self.send_queries();
        self.persist();
    }

    fn take_over(&mut self) {
        self.takeover_at = None;
        let mut former = Owner::new(self.fence + 1);
        self.swap_owner(&mut former);
        match self.suspension.take() {
            Some((wake, awake)) => {
                let until = (wake + awake).min(MAX_AWAKE);
                self.formers.push(Former {
                    owner: former,
                    awake: (self.now + wake, self.now + until),
                    jobs_read: 0,
                });
            }
            None => self.sent.retain(|sent| !sent.is_answered),
        }
        self.unread.clear();
        self.advice.clear();
        self.list();
        self.cell.restore_workers(self.fleet.clone());
        // A seal counts if its writer was the last to write to the head.
        let are_seals_valid = self.seals.0 == self.head_writer;
        if self.is_gradual && are_seals_valid {
            self.cell.restore_seals(self.seals.1.clone());
        }
        self.head_writer = self.fence;
        for job in &self.jobs {
            let record = self.persisted.get(&job.id).cloned().unwrap_or_default();
            if record.state.is_final() {
                self.cell.add_ended(job.id.clone(), &record);
            } else {
                self.cell.resume(job.clone(), &record, self.now);
            }
        }
        match self.is_gradual {
            true => self.cell.recover_gradually(self.now, self.fence),
            false => self.cell.recover(self.now),
        }
    }

    fn list(&mut self) {
        let now = self.now;
        self.stale_entries.retain(|(_, until)| now < *until);
        let up = self.machines.iter();
        let is_shown = |machine: &&Machine| {
            machine.returns_at.is_none()
                && machine.hidden_until <= now
                && machine.entry_hidden_until <= now
        };
        let mut entries: Vec<Entry> = up.filter(is_shown).map(Machine::entry).collect();
        for (entry, _) in &self.stale_entries {
            // Incarnations of one name share an entry in the listing.
            if entries.iter().all(|machine| machine.name != entry.name) {
                entries.push(entry.clone());
            }
        }
        self.cell.handle_listing(entries, now);
    }

    /// The fence that an incarnation is shown.
    fn fence_of(&self, generation: u32) -> u64 {
        self.fence << 10 | u64::from(generation)
    }

    fn persist(&mut self) {
        if self.now < self.writes_resume || !self.now.is_multiple_of(self.write_interval) {
            return;
        }
        let change = self.cell.take_write_batch(self.batch_size);
        let is_answered = self.now >= self.writes_lost_until;
        if is_answered || self.rng.bool() {
            self.store(&change);
        }
        if is_answered {
            self.cell.batch_written(&change);
        } else {
            self.cell.batch_failed(change);
        }
    }

    /// Carries out a write.
    fn store(&mut self, change: &WriteBatch) {
        if change.is_empty() {
            return;
        }
        self.head_writer = self.fence;
        self.persisted.extend(change.records.iter().cloned());
        if let Some(fleet) = &change.fleet {
            self.fleet = fleet.clone();
        }
        if let Some(seals) = &change.seals {
            self.seals = (self.fence, seals.clone());
        }
    }

    /// Crashes or removes machines.
    fn stop_machines(&mut self) {
        let now = self.now;
        for machine in &mut self.machines {
            let crashes = machine.crashes_at.is_some_and(|at| at <= now);
            let is_removed = machine.removed_at.is_some_and(|at| at <= now);
            if machine.returns_at.is_some() || !(crashes || is_removed) {
                continue;
            }
            machine.returns_at = Some(if is_removed {
                u64::MAX
            } else {
                now + machine.downtime.0
            });
            machine.crashes_at = None;
            for (job, _) in machine.runs.keys() {
                if let Some(stalls) = &mut self.stalls {
                    stalls.note_loss(job, now);
                }
            }
            if let Some(stalls) = &mut self.stalls {
                stalls.note_lost_ends(&machine.ended);
            }
            machine.runs.clear();
            machine.ended.clear();
            machine.ended_at.clear();
            self.stale_entries
                .push((machine.entry(), now + ENTRY_EXPIRY));
        }
    }

    /// Ends completed runs and those with expired leases.
    fn end_due_runs(&mut self) {
        let now = self.now;
        for machine in &mut self.machines {
            if machine.returns_at.is_none() {
                machine.end_due_runs(now);
            }
        }
    }

    fn restart_machines(&mut self) {
        for machine in &mut self.machines {
            if machine.returns_at.is_none_or(|at| at > self.now) {
                continue;
            }
            self.incarnations += 1;
            if self.reuses_names {
                // No two incarnations of a worker have the same start time, however its clock
                // steps.
                let mut start_time = START_TIME + self.now - machine.clock_back;
                while !machine.start_times.insert(start_time) {
                    start_time += 1;
                }
                machine.start_time = Some(start_time);
                machine.id = Entry::incarnation_id(&machine.name, machine.start_time);
                machine.entry_hidden_until = self.now + machine.downtime.1;
            } else {
                machine.id = format!("w{:04}", self.incarnations).into();
                machine.name = machine.id.clone();
            }
            machine.downtime = (DOWNTIME, 0);
            machine.in_maintenance = false;
            machine.returns_at = None;
            machine.crashes_at = None;
            machine.started_at = self.now;
            machine.fence = 0;
            machine.was_polled = false;
            machine.lease = 0;
            machine.max_ended_run.clear();
            machine.end_count = 0;
        }
    }

    fn check(&mut self) {
        let mut seen = HashSet::new();
        for machine in &self.machines {
            for (job, address) in machine.runs.keys() {
                let task = (job, address);
                if !seen.insert(task) {
                    let spec = &self.submission(job).spec;
                    if spec.steps[address.step as usize].copies {
                        continue;
                    }
                    let task = (job.clone(), spec.place(*address).unwrap());
                    self.violation = Some(Violation::DuplicateRun(self.now, task));
                    return;
                }
            }
        }
        if !self.now.is_multiple_of(PASS_INTERVAL) {
            return;
        }
        let lost = self.cell.misplaced_tasks();
        if lost > 0 {
            self.violation = Some(Violation::MisplacedTasks(self.now, lost));
        }
        let long_running = self.jobs.iter().filter(|job| job.spec.is_long_running());
        for Submission { id, .. } in long_running {
            let has_crashing_task = self.crashing.keys().any(|(job, _)| job == id);
            // With lost machines in series, failed jobs are checked beside the stalled ones.
            let is_checked = self.stalls.is_none() && !has_crashing_task;
            if self.cell.state(id) == Some(State::Failed) && is_checked {
                self.violation = Some(Violation::JobFailed(self.now, id.clone()));
            }
        }
    }

    /// The first batch job that makes no progress during the given time, in milliseconds, while two
    /// workers have capacity for its tasks.
    pub fn find_stuck_job(&mut self, time: u64) -> Option<Id> {
        self.persisting(time, NetSim::idle_jobs).into_iter().min()
    }

    /// Advances the simulation, in milliseconds. Returns the items that `seen` reported throughout.
    fn persisting<T: Eq + Hash>(
        &mut self,
        time: u64,
        seen: impl Fn(&NetSim) -> HashSet<T>,
    ) -> HashSet<T> {
        let end = self.now + time;
        let mut remaining = seen(self);
        while self.now < end && self.violation.is_none() && !remaining.is_empty() {
            self.advance(PASS_INTERVAL);
            let current = seen(self);
            remaining.retain(|item| current.contains(item));
        }
        remaining
    }

    fn idle_jobs(&self) -> HashSet<Id> {
        let mut idle = HashSet::new();
        for Submission { id, spec, .. } in &self.jobs {
            let is_over = self.cell.state(id).is_some_and(State::is_final);
            let has_crashing_task = self.crashing.keys().any(|(job, _)| job == id);
            if spec.is_long_running() || is_over || has_crashing_task {
                continue;
            }
            let mut tasks = self.machines.iter().flat_map(|machine| machine.runs.keys());
            let suitable = self.machines.iter();
            let suitable = suitable
                .filter(|machine| machine.has_capacity_for(id, &spec.steps[0]))
                .count();
            if suitable >= 2 && !tasks.any(|(job, _)| job == id) {
                idle.insert(id.clone());
            }
        }
        idle
    }

    /// Long-running tasks that do not run although two workers have capacity for them.
    pub fn waiting_tasks(&self) -> HashSet<TaskId> {
        let mut waiting_tasks = HashSet::new();
        for Submission { id, spec, .. } in &self.jobs {
            let is_over = self.cell.state(id).is_some_and(State::is_final);
            if !spec.is_long_running() || is_over {
                continue;
            }
            let step = &spec.steps[0];
            let suitable = self
                .machines
                .iter()
                .filter(|machine| machine.has_capacity_for(id, step));
            if suitable.count() < 2 {
                continue;
            }
            let places = 0..step.count as usize;
            let missing = places.filter(|&place| self.machine_of(id, place).is_none());
            waiting_tasks.extend(missing.map(|place| (id.clone(), place)));
        }
        waiting_tasks
    }

    /// Long-running tasks that wait beside free capacity throughout the given time, in
    /// milliseconds.
    pub fn starved_tasks(&mut self, time: u64) -> HashSet<TaskId> {
        self.persisting(time, NetSim::waiting_tasks)
    }
}
