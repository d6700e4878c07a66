//! Workers that run tasks, crash and come back, beside a cell that decides for them, on a clock that steps.

use {
    crate::common::{TIMING, end_of, entry, report_of, submission},
    job::{Address, Id, Record, State, Step, Submission},
    magpie_cell::{Cell, EndCause, Entry, Order, Outcome, Refusal, Report, RunEnd, Start},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// The clock steps so far at once, in milliseconds.
const STEP: u64 = 10;
/// From the start of a task that crashes its worker until it does, in milliseconds, as the users saw it.
pub const CRASH_AFTER: u64 = 10;
/// Between two polls of a worker, and between two listings, in milliseconds.
const POLL_GAP: u64 = 100;
const LIST_GAP: u64 = 700;
/// The entry of a worker that crashed lapses after this time, in milliseconds.
const ENTRY_LAPSES: u64 = 3_300;
/// A worker that crashed is back after this time, in milliseconds.
const DOWN: u64 = 2_000;

/// One task: its job and its place.
type Name = (Id, usize);

/// A run on a worker.
#[derive(Debug, Clone)]
struct Going {
    run: u64,
    until: u64,
}

/// A machine, and the life of the worker on it.
struct Machine {
    id: Arc<str>,
    address: Arc<str>,
    rack: usize,
    is_cut: bool,
    is_leaving: bool,
    begun: u64,
    /// On its own clock: what runs there ends then, unless a poll or a start lets it go on.
    lease: u64,
    /// When the worker is back that has crashed.
    back: Option<u64>,
    /// When it crashes.
    crash: Option<u64>,
    runs: BTreeMap<(Id, Address), Going>,
    ended: Vec<RunEnd>,
    count: u64,
    /// The poll that it holds: when it was sent, until when it is held, and up to which end all is written down.
    held: Option<(u64, u64, u64)>,
}

/// What a farm has seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Starts, by task.
    pub starts: HashMap<Name, u32>,
    /// Workers that crashed.
    pub crashes: u32,
    /// Runs that were lost with them, but for those of tasks that crash.
    pub lost: u32,
    /// The most workers that were down at one time.
    pub down: usize,
    /// When each job was over, from the start.
    pub over: HashMap<Id, u64>,
}

/// A cell and its workers.
pub struct Farm {
    pub cell: Cell,
    pub now: u64,
    pub seen: Seen,
    machines: Vec<Machine>,
    /// Entries of lives that have crashed, and when they lapse.
    stale: Vec<(Entry, u64)>,
    /// Tasks that crash whatever worker starts them, and after which time.
    crashing: HashMap<Name, u64>,
    submitted: Vec<Submission>,
    written: HashMap<Id, Record>,
    is_held: bool,
    /// Workers hold polls for as long as they are asked to, unless they have an end to tell.
    holds_polls: bool,
    lives: u32,
    /// How long a task runs, in milliseconds.
    work: u64,
}

impl Farm {
    /// A farm of so many workers of 4 cores, 8 a rack, whose tasks run for `work` milliseconds.
    pub fn new(workers: usize, work: u64) -> Self {
        let mut farm = Farm {
            cell: Cell::new(TIMING),
            now: 1_000,
            seen: Seen::default(),
            machines: Vec::new(),
            stale: Vec::new(),
            crashing: HashMap::new(),
            submitted: Vec::new(),
            written: HashMap::new(),
            is_held: false,
            holds_polls: false,
            lives: 0,
            work,
        };
        for number in 0..workers {
            farm.lives += 1;
            farm.machines.push(Machine {
                id: format!("w{:04}", farm.lives).into(),
                address: format!("10.0.0.{number}:80").into(),
                rack: number / 8,
                is_cut: false,
                is_leaving: false,
                begun: 1_000,
                lease: 0,
                back: None,
                crash: None,
                runs: BTreeMap::new(),
                ended: Vec::new(),
                count: 0,
                held: None,
            });
        }
        farm.list();
        farm
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

    /// The machine on which a task of a step runs.
    pub fn holder_of(&self, id: &str, step: u16, index: u32) -> Option<usize> {
        let id = Id::new(id).unwrap();
        self.machines.iter().position(|machine| {
            let mut names = machine.runs.keys();
            names.any(|(job, address)| *job == id && address.step == step && address.index == index)
        })
    }

    /// Makes a task crash whatever worker starts it, so many milliseconds later.
    pub fn poison(&mut self, id: &str, place: usize, after: u64) {
        self.crashing.insert((Id::new(id).unwrap(), place), after);
    }

    /// The state of a job that is shown.
    pub fn state(&self, id: &str) -> Option<State> {
        self.cell.state(&Id::new(id).unwrap())
    }

    /// When a job was over, in milliseconds from the start.
    pub fn over(&self, id: &str) -> u64 {
        self.seen.over[&Id::new(id).unwrap()]
    }

    /// How often a task was started.
    pub fn started(&self, id: &str, place: usize) -> u32 {
        let name = (Id::new(id).unwrap(), place);
        self.seen.starts.get(&name).copied().unwrap_or_default()
    }

    /// Takes the power of these machines away now.
    pub fn cut_power(&mut self, machines: std::ops::Range<usize>) {
        for machine in &mut self.machines[machines] {
            if machine.back.is_none() {
                machine.crash = Some(self.now);
            }
        }
    }

    /// Takes a machine away for good, without a word.
    pub fn remove(&mut self, machine: usize) {
        let own = &mut self.machines[machine];
        own.back = Some(u64::MAX);
        own.runs.clear();
        self.stale.push((own.entry(), self.now + ENTRY_LAPSES));
    }

    /// The machine on which a task runs.
    pub fn holder(&self, id: &str, place: usize) -> Option<usize> {
        let id = Id::new(id).unwrap();
        self.machines.iter().position(|machine| {
            let mut names = machine.runs.keys();
            names.any(|(job, address)| *job == id && address.index as usize == place)
        })
    }

    /// Cuts machines off: they run on as long as their leases, and nobody reaches them.
    pub fn cut_off(&mut self, machines: std::ops::Range<usize>, is_cut: bool) {
        for machine in &mut self.machines[machines] {
            machine.is_cut = is_cut;
        }
    }

    /// Has machines announce that their workers leave.
    pub fn announce(&mut self, machines: std::ops::Range<usize>) {
        for machine in &mut self.machines[machines] {
            machine.is_leaving = true;
        }
        self.list();
    }

    /// Has workers hold polls for as long as they are asked to, as they do outside of tests.
    pub fn hold_polls(&mut self) {
        self.holds_polls = true;
    }

    /// Holds back what is to be written, as while the store is away.
    pub fn hold_writes(&mut self, is_held: bool) {
        self.is_held = is_held;
    }

    /// Goes on with the cell of the next owner.
    pub fn hand_over(&mut self, records: &[(Id, Record)]) {
        let mut next = Cell::new(TIMING);
        std::mem::swap(&mut next, &mut self.cell);
        for (id, record) in records {
            if record.state.is_final() {
                self.cell.add_ended(id.clone(), record);
                continue;
            }
            let of_job = self.submitted.iter().find(|own| own.id == *id);
            self.cell.resume(of_job.unwrap().clone(), record, self.now);
        }
        for machine in &mut self.machines {
            machine.held = None;
        }
        self.list();
        self.cell.recover(self.now);
    }

    /// The records that the cell has written so far.
    pub fn records(&self) -> Vec<(Id, Record)> {
        self.written.clone().into_iter().collect()
    }

    /// Lets time pass, in milliseconds.
    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.crash_due();
            self.lapse_due();
            self.come_back();
            if self.now.is_multiple_of(LIST_GAP) {
                self.list();
            }
            if self.now.is_multiple_of(POLL_GAP) {
                self.poll();
                self.cell.rerank(self.now, self.now);
                self.cell.expire_leases(self.now);
            }
            self.cell.place(self.now);
            for (id, order) in self.cell.take_orders() {
                let outcome = self.carry_out(&id, &order);
                self.cell.handle_outcome(&id, &order, outcome, self.now);
            }
            self.write();
            self.note_over();
        }
    }

    fn note_over(&mut self) {
        for Submission { id, .. } in &self.submitted {
            let is_over = self.cell.state(id).is_some_and(State::is_final);
            if is_over && !self.seen.over.contains_key(id) {
                self.seen.over.insert(id.clone(), self.now - 1_000);
            }
        }
    }

    fn crash_due(&mut self) {
        let mut lost = Vec::new();
        for machine in &mut self.machines {
            if machine.crash.is_none_or(|at| at > self.now) {
                continue;
            }
            machine.crash = None;
            machine.back = Some(self.now + DOWN);
            self.seen.crashes += 1;
            for (job, address) in machine.runs.keys() {
                let name = (job.clone(), address.index as usize);
                self.seen.lost += u32::from(!self.crashing.contains_key(&name));
            }
            lost.extend(std::mem::take(&mut machine.runs).into_keys());
            machine.ended.clear();
            self.stale.push((machine.entry(), self.now + ENTRY_LAPSES));
        }
        self.break_gangs(&lost);
        let down = self.machines.iter().filter(|own| own.back.is_some());
        self.seen.down = self.seen.down.max(down.count());
    }

    /// Ends what runs under leases that are over.
    fn lapse_due(&mut self) {
        let now = self.now;
        for machine in &mut self.machines {
            if machine.clock(now) <= machine.lease {
                continue;
            }
            for (name, going) in std::mem::take(&mut machine.runs) {
                machine.end(name, going.run, EndCause::Lapsed);
            }
        }
    }

    fn step(&self, job: &Id, address: Address) -> &Step {
        let submission = self.submitted.iter().find(|own| own.id == *job);
        &submission.unwrap().spec.steps[address.step as usize]
    }

    /// Ends the runs of gangs whose other members were lost.
    fn break_gangs(&mut self, lost: &[(Id, Address)]) {
        for (job, address) in lost {
            if !self.step(job, *address).gang {
                continue;
            }
            for machine in &mut self.machines {
                let of_gang = machine.runs.extract_if(.., |(own, _), _| own == job);
                let of_gang: Vec<_> = of_gang.collect();
                for (name, going) in of_gang {
                    machine.end(name, going.run, EndCause::Broken);
                }
            }
        }
    }

    fn come_back(&mut self) {
        for machine in &mut self.machines {
            if machine.back.is_none_or(|at| at > self.now) {
                continue;
            }
            self.lives += 1;
            machine.id = format!("w{:04}", self.lives).into();
            machine.back = None;
            machine.is_leaving = false;
            machine.begun = self.now;
            machine.lease = 0;
            machine.count = 0;
            machine.held = None;
        }
    }

    fn list(&mut self) {
        let now = self.now;
        self.stale.retain(|(_, until)| now < *until);
        let up = self.machines.iter().filter(|own| own.back.is_none());
        let mut entries: Vec<Entry> = up.map(Machine::entry).collect();
        entries.extend(self.stale.iter().map(|(entry, _)| entry.clone()));
        self.cell.handle_listing(entries, now);
        self.write();
    }

    fn write(&mut self) {
        if self.is_held {
            return;
        }
        let change = self.cell.take_write_batch(100);
        self.cell.batch_written(&change);
        self.written.extend(change.records);
    }

    /// Polls all workers that the cell knows.
    fn poll(&mut self) {
        let known: Vec<Entry> = self.cell.entries().cloned().collect();
        for entry in known {
            let Some(machine) = self.at(&entry) else {
                continue;
            };
            if machine.back.is_some() || machine.is_cut {
                machine.held = None;
                self.cell.poll_failed(&entry.id, self.now);
                continue;
            }
            if machine.id != entry.id {
                self.cell
                    .end_incarnation(&entry.id, "another life answers", self.now);
                continue;
            }
            let now = self.now;
            if self.holds_polls {
                self.poll_held(&entry);
                continue;
            }
            if let Some(poll) = self.cell.next_poll(&entry.id, now)
                && let Some(machine) = self.at(&entry)
            {
                machine.lease = machine.lease.max(poll.deadline);
                let report = machine.report(now, poll.seen);
                self.cell.report(&entry.id, report, now, now, now);
            }
        }
    }

    /// Polls a worker that holds its answer until it has an end to tell, or until the poll's wait is over.
    fn poll_held(&mut self, entry: &Entry) {
        let now = self.now;
        let Some(machine) = self.at(entry) else {
            return;
        };
        if let Some((sent, until, seen)) = machine.held {
            let report = machine.report(now, seen);
            if now < until && report.ended.is_empty() {
                return;
            }
            machine.held = None;
            self.cell.report(&entry.id, report, sent, now, now);
            self.write();
        }
        let Some(poll) = self.cell.next_poll(&entry.id, now) else {
            return;
        };
        let Some(machine) = self.at(entry) else {
            return;
        };
        machine.lease = machine.lease.max(poll.deadline);
        machine.held = Some((now, now + poll.wait, poll.seen));
    }

    fn at(&mut self, entry: &Entry) -> Option<&mut Machine> {
        let mut machines = self.machines.iter_mut();
        machines.find(|own| own.address == entry.address)
    }

    fn carry_out(&mut self, id: &Arc<str>, order: &Order) -> Outcome {
        let (now, work) = (self.now, self.work);
        let (after, is_lasting) = match order {
            Order::Start(start) => {
                let name = (start.key.job.clone(), start.key.place);
                let is_lasting = self.step(&start.key.job, start.address).lasting;
                (self.crashing.get(&name).copied(), is_lasting)
            }
            Order::Stop { .. } | Order::Pace { .. } | Order::Withdraw { .. } => (None, false),
        };
        let Some(machine) = self.machines.iter_mut().find(|own| own.id == *id) else {
            return Outcome::Refused(Refusal::OtherLife);
        };
        if machine.back.is_some() || machine.is_cut {
            return Outcome::Refused(Refusal::NotSent);
        }
        match order {
            Order::Start(start) => {
                let name = (start.key.job.clone(), start.key.place);
                if let Some(after) = after {
                    machine.crash.get_or_insert(now + after);
                }
                *self.seen.starts.entry(name).or_default() += 1;
                let until = if is_lasting { u64::MAX } else { now + work };
                machine.begin(start, until);
            }
            Order::Stop { key, address, run } => machine.stop(&key.job, *address, *run),
            Order::Pace { .. } | Order::Withdraw { .. } => {}
        }
        Outcome::Done
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

    /// Its own clock.
    fn clock(&self, now: u64) -> u64 {
        now - self.begun + 1
    }

    fn begin(&mut self, start: &Start, until: u64) {
        self.lease = self.lease.max(start.deadline);
        let name = (start.key.job.clone(), start.address);
        let run = start.run;
        self.runs.insert(name, Going { run, until });
    }

    fn stop(&mut self, job: &Id, address: Address, run: u64) {
        let name = (job.clone(), address);
        if self.runs.get(&name).is_some_and(|going| going.run == run) {
            self.runs.remove(&name);
            self.end(name, run, EndCause::Stopped);
        }
    }

    fn end(&mut self, name: (Id, Address), run: u64, how: EndCause) {
        self.count += 1;
        self.ended.push(end_of(self.count, name, run, how));
    }

    fn report(&mut self, now: u64, seen: u64) -> Report {
        self.ended.retain(|end| end.number > seen);
        let over = self.runs.extract_if(.., |_, going| going.until <= now);
        let over: Vec<_> = over.collect();
        for (name, going) in over {
            self.end(name, going.run, EndCause::Done);
        }
        let runs = self.runs.iter().map(|(name, going)| (name, going.run));
        report_of(self.clock(now), runs, &self.ended)
    }
}
