//! Cluster simulator without message delays: workers that run tasks, crash and return, driven by a
//! cell on a simulated clock.

use {
    crate::common::{TIMING, build_report, entry, submission, task_end},
    job::{Address, Id, Record, State, Step, Submission},
    magpie_cell::{
        Cell, EndCause, Entry, Order, Outcome, Refusal, Report, RunEnd, Start, WriteBatch,
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// Clock step, in milliseconds.
const STEP: u64 = 10;
/// Time from the start of a crashing task to the crash of its worker, in milliseconds, as in a
/// reported incident.
pub const CRASH_AFTER: u64 = 10;
/// Interval of polls and of listings, in milliseconds.
const POLL_INTERVAL: u64 = 100;
const LIST_INTERVAL: u64 = 700;
/// Time until the entry of a crashed worker expires, in milliseconds.
const ENTRY_EXPIRY: u64 = 3_300;
/// Downtime of a crashed worker, in milliseconds.
const DOWNTIME: u64 = 2_000;
/// Time until polls of a worker that crashed silently fail, and until an order to it is given up,
/// in milliseconds.
const POLL_TIMEOUT: u64 = 1_600;
const ORDER_TIMEOUT: u64 = 500;
/// Time from the crash of a worker until all its leases have expired, in milliseconds, if it does
/// not return before.
const LEASE_END: u64 = 5_000;

/// A task: its job and its place.
type TaskId = (Id, usize);

/// A run on a worker.
#[derive(Debug, Clone)]
struct ActiveRun {
    run: u64,
    until: u64,
    how: EndCause,
}

/// A machine and the current incarnation of its worker.
struct Machine {
    id: Arc<str>,
    address: Arc<str>,
    rack: usize,
    is_partitioned: bool,
    is_leaving: bool,
    started_at: u64,
    /// Expiry of the lease on the worker's own clock. All runs end then unless a poll or a start
    /// extends it.
    lease: u64,
    /// When the crashed worker returns.
    returns_at: Option<u64>,
    /// When the worker crashes.
    crashes_at: Option<u64>,
    /// How long the worker is down after its next crash.
    downtime: u64,
    /// How long polls of a crashed worker get no answer before they fail.
    silence: u64,
    /// When polls of the crashed worker begin to fail.
    fails_from: u64,
    /// How long after their starts all runs fail on the faulty worker.
    fails_after: Option<u64>,
    runs: BTreeMap<(Id, Address), ActiveRun>,
    ended: Vec<RunEnd>,
    end_count: u64,
    /// The held poll: when it was sent, until when it is held, and the last acknowledged end.
    held_poll: Option<(u64, u64, u64)>,
}

/// Events observed by the simulator.
#[derive(Debug, Default)]
pub struct Stats {
    /// Number of starts, by task.
    pub starts: HashMap<TaskId, u32>,
    /// Time from the start of the simulation to the first start of each task.
    pub started: HashMap<TaskId, u64>,
    /// Starts on faulty workers, without those of failing tasks.
    pub faulty_starts: u32,
    /// Number of crashed workers.
    pub crashes: u32,
    /// Number of runs lost with them, without those of crashing tasks.
    pub lost_runs: u32,
    /// Maximum number of workers down at a time.
    pub max_down: usize,
    /// Time from the start of the simulation to the end of each job.
    pub job_ended: HashMap<Id, u64>,
}

/// A cell and its workers.
pub struct Sim {
    pub cell: Cell,
    pub now: u64,
    pub stats: Stats,
    machines: Vec<Machine>,
    /// Entries of crashed incarnations, and when they expire.
    stale_entries: Vec<(Entry, u64)>,
    /// Tasks that crash every worker that starts them, and the delay of the crash.
    crashing: HashMap<TaskId, u64>,
    /// Tasks that fail on every worker, and how long after their starts.
    failing: HashMap<TaskId, u64>,
    /// Tasks whose next starts reach a worker that has just crashed silently, and how many.
    unreached: HashMap<TaskId, u32>,
    submitted: Vec<Submission>,
    persisted: HashMap<Id, Record>,
    persisted_fleet: Vec<Entry>,
    /// Orders that get no answer, and when they are given up.
    unanswered: Vec<(u64, Arc<str>, Order)>,
    writes_suspended: bool,
    /// How long each write takes, in milliseconds.
    write_time: u64,
    /// The write under way, and when it is done.
    write: Option<(u64, WriteBatch)>,
    /// Tasks whose end is reported.
    done: HashSet<(Id, Address)>,
    /// Jobs with runs on crashed workers, by worker, until the crash is proven.
    unproven: HashMap<Arc<str>, (u64, HashSet<Id>)>,
    /// Workers hold polls for as long as requested, unless they have an end to report.
    holds_polls: bool,
    incarnations: u32,
    /// Duration of a task, in milliseconds.
    task_ms: u64,
}

impl Sim {
    /// Creates workers of 4 cores, 8 per rack, whose tasks run for `task_ms`
    /// milliseconds.
    pub fn new(workers: usize, task_ms: u64) -> Self {
        let mut sim = Sim {
            cell: Cell::new(TIMING),
            now: 1_000,
            stats: Stats::default(),
            machines: Vec::new(),
            stale_entries: Vec::new(),
            crashing: HashMap::new(),
            failing: HashMap::new(),
            unreached: HashMap::new(),
            submitted: Vec::new(),
            persisted: HashMap::new(),
            persisted_fleet: Vec::new(),
            unanswered: Vec::new(),
            writes_suspended: false,
            write_time: 0,
            write: None,
            done: HashSet::new(),
            unproven: HashMap::new(),
            holds_polls: false,
            incarnations: 0,
            task_ms,
        };
        for number in 0..workers {
            sim.incarnations += 1;
            sim.machines.push(Machine {
                id: format!("w{:04}", sim.incarnations).into(),
                address: format!("10.0.0.{number}:80").into(),
                rack: number / 8,
                is_partitioned: false,
                is_leaving: false,
                started_at: 1_000,
                lease: 0,
                returns_at: None,
                crashes_at: None,
                downtime: DOWNTIME,
                silence: 0,
                fails_from: 0,
                fails_after: None,
                runs: BTreeMap::new(),
                ended: Vec::new(),
                end_count: 0,
                held_poll: None,
            });
        }
        sim.list();
        sim
    }

    /// Submits a job of one step.
    pub fn submit(&mut self, id: &str, step: Step) {
        let submission = submission(id, vec![step]);
        self.submitted.push(submission.clone());
        assert!(self.cell.admit(submission, self.now));
    }

    /// Submits a job of several steps.
    pub fn submit_steps(&mut self, id: &str, steps: Vec<Step>) {
        let submission = submission(id, steps);
        self.submitted.push(submission.clone());
        assert!(self.cell.admit(submission, self.now));
    }

    /// The machine that runs a task of a given step.
    pub fn machine_of_step(&self, id: &str, step: u16, index: u32) -> Option<usize> {
        let id = Id::new(id).unwrap();
        self.machines.iter().position(|machine| {
            let mut tasks = machine.runs.keys();
            tasks.any(|(job, address)| *job == id && address.step == step && address.index == index)
        })
    }

    /// Makes a task crash every worker that starts it, `after` milliseconds after the start.
    pub fn crash_on_start(&mut self, id: &str, place: usize, after: u64) {
        self.crashing.insert((Id::new(id).unwrap(), place), after);
    }

    /// Makes a task fail on every worker, `after` milliseconds after the start.
    pub fn fail_on_start(&mut self, id: &str, place: usize, after: u64) {
        self.failing.insert((Id::new(id).unwrap(), place), after);
    }

    /// Makes all runs on a machine fail, `after` milliseconds after their starts.
    pub fn fail_all_on(&mut self, machine: usize, after: u64) {
        self.machines[machine].fails_after = Some(after);
    }

    /// Lets the worker crash silently right before each of the next `starts` starts of a task.
    pub fn crash_before_start(&mut self, id: &str, place: usize, starts: u32) {
        self.unreached.insert((Id::new(id).unwrap(), place), starts);
    }

    /// The state of a job as shown to clients.
    pub fn state(&self, id: &str) -> Option<State> {
        self.cell.state(&Id::new(id).unwrap())
    }

    /// Time from the start of the simulation to the end of a job, in milliseconds.
    pub fn ended_after(&self, id: &str) -> u64 {
        self.stats.job_ended[&Id::new(id).unwrap()]
    }

    /// Number of starts of a task.
    pub fn start_count(&self, id: &str, place: usize) -> u32 {
        let task = (Id::new(id).unwrap(), place);
        self.stats.starts.get(&task).copied().unwrap_or_default()
    }

    /// Cuts the power of machines.
    pub fn cut_power(&mut self, machines: std::ops::Range<usize>) {
        for machine in &mut self.machines[machines] {
            if machine.returns_at.is_none() {
                machine.crashes_at = Some(self.now);
            }
        }
    }

    /// Lets a machine crash without closing its connections: for `downtime` milliseconds polls and
    /// orders get no answer.
    pub fn crash_silently(&mut self, machine: usize, downtime: u64) {
        let machine = &mut self.machines[machine];
        if machine.returns_at.is_some() {
            return;
        }
        machine.crashes_at = Some(self.now);
        machine.downtime = downtime;
        machine.silence = POLL_TIMEOUT;
    }

    /// Number of machines.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Removes a machine permanently and without notice.
    pub fn remove(&mut self, machine: usize) {
        let machine = &mut self.machines[machine];
        machine.returns_at = Some(u64::MAX);
        machine.runs.clear();
        self.stale_entries
            .push((machine.entry(), self.now + ENTRY_EXPIRY));
    }

    /// The machine that runs a task.
    pub fn machine_of(&self, id: &str, place: usize) -> Option<usize> {
        let id = Id::new(id).unwrap();
        self.machines.iter().position(|machine| {
            let mut tasks = machine.runs.keys();
            tasks.any(|(job, address)| *job == id && address.index as usize == place)
        })
    }

    /// Partitions machines from the owner, or reconnects them. Their runs continue until the leases
    /// expire.
    pub fn set_partitioned(&mut self, machines: std::ops::Range<usize>, is_partitioned: bool) {
        for machine in &mut self.machines[machines] {
            machine.is_partitioned = is_partitioned;
        }
    }

    /// Lets workers announce that they leave.
    pub fn announce_leave(&mut self, machines: std::ops::Range<usize>) {
        for machine in &mut self.machines[machines] {
            machine.is_leaving = true;
        }
        self.list();
    }

    /// Lets workers hold polls for as long as requested, as in production.
    pub fn hold_polls(&mut self) {
        self.holds_polls = true;
    }

    /// Suspends writes, as in a store outage.
    pub fn suspend_writes(&mut self, writes_suspended: bool) {
        self.writes_suspended = writes_suspended;
    }

    /// Lets each write take `time` milliseconds.
    pub fn slow_writes(&mut self, time: u64) {
        self.write_time = time;
    }

    /// True if a task of a job runs, or was lost with its worker and that is not proven yet.
    pub fn may_run(&self, id: &str) -> bool {
        let id = Id::new(id).unwrap();
        let mut machines = self.machines.iter();
        let mut unproven = self.unproven.values();
        let mut orders = self.unanswered.iter();
        machines.any(|machine| machine.runs.keys().any(|(job, _)| *job == id))
            || unproven.any(|(_, jobs)| jobs.contains(&id))
            || orders
                .any(|(_, _, order)| matches!(order, Order::Start(start) if start.key.job == id))
    }

    /// Replaces the cell by that of the next owner, which resumes from `records`.
    pub fn take_over(&mut self, records: &[(Id, Record)]) {
        let mut next = Cell::new(TIMING);
        std::mem::swap(&mut next, &mut self.cell);
        for (id, record) in records {
            if record.state.is_final() {
                self.cell.add_ended(id.clone(), record);
                continue;
            }
            let of_job = self
                .submitted
                .iter()
                .find(|submission| submission.id == *id);
            self.cell.resume(of_job.unwrap().clone(), record, self.now);
        }
        for machine in &mut self.machines {
            machine.held_poll = None;
        }
        self.list();
        self.cell.restore_workers(self.persisted_fleet.clone());
        self.cell.recover(self.now);
    }

    /// The records persisted so far.
    pub fn records(&self) -> Vec<(Id, Record)> {
        self.persisted.clone().into_iter().collect()
    }

    /// Advances the simulation, in milliseconds.
    pub fn advance(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.crash_machines();
            self.expire_leases();
            self.restart_machines();
            if self.now.is_multiple_of(LIST_INTERVAL) {
                self.list();
            }
            if self.now.is_multiple_of(POLL_INTERVAL) {
                self.poll();
                self.cell.rerank(self.now, self.now);
                self.cell.expire_leases(self.now);
            }
            self.cell.place(self.now);
            self.expire_orders();
            for (id, order) in self.cell.take_orders() {
                let Some(outcome) = self.execute(&id, &order) else {
                    self.unanswered.push((self.now + ORDER_TIMEOUT, id, order));
                    continue;
                };
                self.cell.handle_outcome(&id, &order, outcome, self.now);
            }
            self.persist();
            self.record_ended();
        }
    }

    fn record_ended(&mut self) {
        for Submission { id, .. } in &self.submitted {
            let is_over = self.cell.state(id).is_some_and(State::is_final);
            if is_over && !self.stats.job_ended.contains_key(id) {
                self.stats.job_ended.insert(id.clone(), self.now - 1_000);
            }
        }
    }

    fn crash_machines(&mut self) {
        let mut lost = Vec::new();
        for machine in &mut self.machines {
            if machine.crashes_at.is_none_or(|at| at > self.now) {
                continue;
            }
            machine.crashes_at = None;
            machine.returns_at = Some(self.now + machine.downtime);
            machine.fails_from = self.now + machine.silence;
            self.stats.crashes += 1;
            let jobs = machine.runs.keys().map(|(job, _)| job.clone());
            let until = self.now + LEASE_END;
            self.unproven
                .insert(machine.id.clone(), (until, jobs.collect()));
            for (job, address) in machine.runs.keys() {
                let task = (job.clone(), address.index as usize);
                self.stats.lost_runs += u32::from(!self.crashing.contains_key(&task));
            }
            lost.extend(std::mem::take(&mut machine.runs).into_keys());
            machine.ended.clear();
            self.stale_entries
                .push((machine.entry(), self.now + ENTRY_EXPIRY));
        }
        self.break_gangs(&lost);
        let down = self
            .machines
            .iter()
            .filter(|machine| machine.returns_at.is_some());
        self.stats.max_down = self.stats.max_down.max(down.count());
    }

    /// Ends runs whose lease has expired.
    fn expire_leases(&mut self) {
        let now = self.now;
        for machine in &mut self.machines {
            if machine.clock(now) <= machine.lease {
                continue;
            }
            for (task, active) in std::mem::take(&mut machine.runs) {
                machine.end(task, active.run, EndCause::Lapsed);
            }
        }
    }

    fn step(&self, job: &Id, address: Address) -> &Step {
        let submission = self
            .submitted
            .iter()
            .find(|submission| submission.id == *job);
        &submission.unwrap().spec.steps[address.step as usize]
    }

    /// Ends the runs of gangs that lost members.
    fn break_gangs(&mut self, lost: &[(Id, Address)]) {
        for (job, address) in lost {
            if !self.step(job, *address).gang {
                continue;
            }
            for machine in &mut self.machines {
                let of_gang = machine.runs.extract_if(.., |(id, _), _| id == job);
                let of_gang: Vec<_> = of_gang.collect();
                for (task, active) in of_gang {
                    machine.end(task, active.run, EndCause::Broken);
                }
            }
        }
    }

    fn restart_machines(&mut self) {
        let now = self.now;
        self.unproven.retain(|_, (until, _)| now < *until);
        for machine in &mut self.machines {
            if machine.returns_at.is_none_or(|at| at > self.now) {
                continue;
            }
            self.incarnations += 1;
            machine.id = format!("w{:04}", self.incarnations).into();
            machine.returns_at = None;
            machine.downtime = DOWNTIME;
            machine.silence = 0;
            machine.is_leaving = false;
            machine.started_at = self.now;
            machine.lease = 0;
            machine.end_count = 0;
            machine.held_poll = None;
        }
    }

    fn list(&mut self) {
        let now = self.now;
        self.stale_entries.retain(|(_, until)| now < *until);
        let up = self
            .machines
            .iter()
            .filter(|machine| machine.returns_at.is_none());
        let mut entries: Vec<Entry> = up.map(Machine::entry).collect();
        entries.extend(self.stale_entries.iter().map(|(entry, _)| entry.clone()));
        self.cell.handle_listing(entries, now);
        self.persist();
    }

    fn persist(&mut self) {
        if self.writes_suspended {
            return;
        }
        let Some((at, change)) = self.write.take() else {
            let change = self.cell.take_write_batch(100);
            self.write = Some((self.now + self.write_time, change));
            if self.write_time == 0 {
                self.persist();
            }
            return;
        };
        if self.now < at {
            self.write = Some((at, change));
            return;
        }
        self.cell.batch_written(&change);
        self.persisted.extend(change.records);
        if let Some(fleet) = change.fleet {
            self.persisted_fleet = fleet;
        }
    }

    /// Polls all workers known to the cell.
    fn poll(&mut self) {
        let known: Vec<Entry> = self.cell.entries().cloned().collect();
        for entry in known {
            let now = self.now;
            let Some(machine) = self.machine_at(&entry) else {
                continue;
            };
            if machine.returns_at.is_some() || machine.is_partitioned {
                if now < machine.fails_from {
                    continue;
                }
                machine.held_poll = None;
                self.cell.poll_failed(&entry.id, now);
                continue;
            }
            if machine.id != entry.id {
                self.cell
                    .end_incarnation(&entry.id, "another incarnation answers", now);
                self.unproven.remove(&entry.id);
                continue;
            }
            if self.holds_polls {
                self.poll_with_hold(&entry);
                continue;
            }
            if let Some(poll) = self.cell.next_poll(&entry.id, now)
                && let Some(machine) = self.machine_at(&entry)
            {
                machine.lease = machine.lease.max(poll.deadline);
                let report = machine.report(now, poll.seen);
                self.note_done(&report);
                self.cell.report(&entry.id, report, now, now, now);
            }
        }
    }

    /// Polls a worker that answers when it has an end to report or when the wait of the poll is
    /// over.
    fn poll_with_hold(&mut self, entry: &Entry) {
        let now = self.now;
        let Some(machine) = self.machine_at(entry) else {
            return;
        };
        if let Some((sent, until, seen)) = machine.held_poll {
            let report = machine.report(now, seen);
            if now < until && report.ended.is_empty() {
                return;
            }
            machine.held_poll = None;
            self.note_done(&report);
            self.cell.report(&entry.id, report, sent, now, now);
            self.persist();
        }
        let Some(poll) = self.cell.next_poll(&entry.id, now) else {
            return;
        };
        let Some(machine) = self.machine_at(entry) else {
            return;
        };
        machine.lease = machine.lease.max(poll.deadline);
        machine.held_poll = Some((now, now + poll.wait, poll.seen));
    }

    fn note_done(&mut self, report: &Report) {
        let ends = report.ended.iter();
        let done = ends.filter(|end| end.how == EndCause::Done);
        let tasks = done.map(|end| (end.job.clone(), end.address));
        self.done.extend(tasks);
    }

    /// The number of tasks of a job whose end is reported.
    pub fn done_count(&self, id: &str) -> usize {
        let tasks = self.done.iter();
        tasks.filter(|(job, _)| job.as_str() == id).count()
    }

    fn machine_at(&mut self, entry: &Entry) -> Option<&mut Machine> {
        let mut machines = self.machines.iter_mut();
        machines.find(|machine| machine.address == entry.address)
    }

    /// Gives up orders that got no answer.
    fn expire_orders(&mut self) {
        let due = self.unanswered.extract_if(.., |(at, _, _)| *at <= self.now);
        let due: Vec<_> = due.collect();
        for (_, id, order) in due {
            let outcome = Outcome::Unknown;
            self.cell.handle_outcome(&id, &order, outcome, self.now);
        }
    }

    /// Crashes the worker of an order that must not reach it.
    fn crash_before(&mut self, id: &Arc<str>, order: &Order) {
        let Order::Start(start) = order else {
            return;
        };
        let task = (start.key.job.clone(), start.key.place);
        let Some(left) = self.unreached.get_mut(&task).filter(|left| **left > 0) else {
            return;
        };
        *left -= 1;
        let machine = self.machines.iter().position(|machine| machine.id == *id);
        self.crash_silently(machine.unwrap(), DOWNTIME);
        self.crash_machines();
    }

    /// Carries out an order; `None` if it gets no answer.
    fn execute(&mut self, id: &Arc<str>, order: &Order) -> Option<Outcome> {
        self.crash_before(id, order);
        let (now, task_ms) = (self.now, self.task_ms);
        let (after, is_long_running) = match order {
            Order::Start(start) => {
                if let Some((_, jobs)) = self.unproven.get_mut(id) {
                    jobs.insert(start.key.job.clone());
                }
                let task = (start.key.job.clone(), start.key.place);
                let is_long_running = self.step(&start.key.job, start.address).lasting;
                (self.crashing.get(&task).copied(), is_long_running)
            }
            Order::Stop { .. } | Order::Pace { .. } | Order::Withdraw { .. } => (None, false),
        };
        let Some(machine) = self.machines.iter_mut().find(|machine| machine.id == *id) else {
            return Some(Outcome::Refused(Refusal::OtherLife));
        };
        if machine.returns_at.is_some() && machine.silence > 0 {
            return None;
        }
        if machine.returns_at.is_some() || machine.is_partitioned {
            return Some(Outcome::Refused(Refusal::NotSent));
        }
        match order {
            Order::Start(start) => {
                let task = (start.key.job.clone(), start.key.place);
                if let Some(after) = after {
                    machine.crashes_at.get_or_insert(now + after);
                }
                *self.stats.starts.entry(task.clone()).or_default() += 1;
                let failing = self.failing.get(&task).copied();
                if machine.fails_after.is_some() && failing.is_none() {
                    self.stats.faulty_starts += 1;
                }
                self.stats.started.entry(task).or_insert(now - 1_000);
                let (until, how) = match failing.or(machine.fails_after) {
                    Some(after) => (now + after, EndCause::Failed),
                    None if is_long_running => (u64::MAX, EndCause::Done),
                    None => (now + task_ms, EndCause::Done),
                };
                machine.begin(start, until, how);
            }
            Order::Stop { key, address, run } => machine.stop(&key.job, *address, *run),
            Order::Pace { .. } | Order::Withdraw { .. } => {}
        }
        Some(Outcome::Done)
    }
}

impl Machine {
    fn entry(&self) -> Entry {
        Entry {
            address: self.address.clone(),
            leaving: self.is_leaving,
            labels: vec!["a".into(), format!("r{}", self.rack).into()],
            ..entry(&self.id, 4)
        }
    }

    /// Time on the worker's own clock.
    fn clock(&self, now: u64) -> u64 {
        now - self.started_at + 1
    }

    fn begin(&mut self, start: &Start, until: u64, how: EndCause) {
        self.lease = self.lease.max(start.deadline);
        let task = (start.key.job.clone(), start.address);
        let run = start.run;
        self.runs.insert(task, ActiveRun { run, until, how });
    }

    fn stop(&mut self, job: &Id, address: Address, run: u64) {
        let task = (job.clone(), address);
        if self.runs.get(&task).is_some_and(|active| active.run == run) {
            self.runs.remove(&task);
            self.end(task, run, EndCause::Stopped);
        }
    }

    fn end(&mut self, task: (Id, Address), run: u64, how: EndCause) {
        self.end_count += 1;
        self.ended.push(task_end(self.end_count, task, run, how));
    }

    fn report(&mut self, now: u64, seen: u64) -> Report {
        self.ended.retain(|end| end.number > seen);
        let over = self.runs.extract_if(.., |_, active| active.until <= now);
        let over: Vec<_> = over.collect();
        for (task, active) in over {
            self.end(task, active.run, active.how);
        }
        let runs = self.runs.iter().map(|(task, active)| (task, active.run));
        build_report(self.clock(now), runs, &self.ended)
    }
}
