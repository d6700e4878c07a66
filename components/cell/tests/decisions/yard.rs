//! Workers that keep all rules of their interface, and links to them that lose, delay and cut, beside a cell that decides
//! for them, on a clock that steps.
//!
//! Where the [`crate::farm::Farm`] answers at once, here polls are held, answers and orders take their time or are lost,
//! and a worker refuses what it must: a start that comes after its deadline, a run that is not above one that it knows,
//! what does not fit, and whatever comes from a former owner.
//!
//! Where workers keep their names, a life is told by when it began, and what is sent to one is spoken of as the adapter
//! speaks to workers: a poll or an order of the owner reaches the life that it is meant for or none, and the first poll on a
//! new connection binds nothing. What a worker itself carries out late meets whichever life is there by then; but for starts
//! whose time was over before the crash, which the next life's clock does not tell and which only its fence can keep away: they
//! come only after the owner has shown that to it. A crash ends the connections that such a start could come by.

mod links;
mod machine;

use {
    self::{
        links::{Delayed, Held, Sent},
        machine::{DOWN, Machine},
    },
    crate::common::{TIMING, submission},
    job::{Id, Record, State, Step, Submission},
    magpie_cell::{Cell, Entry, Order, Outcome, Refusal},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        hash::Hash,
        ops::Range,
        sync::Arc,
    },
};

/// The clock steps so far at once, in milliseconds.
const STEP: u64 = 10;
/// Between two listings, in milliseconds.
const LIST_GAP: u64 = 700;
/// Between two looks at leases and at the line, in milliseconds.
const LOOK_GAP: u64 = 100;
/// The entry of a worker that crashed lapses after this time, in milliseconds.
const ENTRY_LAPSES: u64 = 3_300;
/// When the clock of the yard began, in milliseconds since 1970.
const BORN: u64 = 1_700_000_000_000;

/// One task: its job and its place.
pub type Name = (Id, usize);

/// The name of a job by its number.
pub fn id(number: u64) -> Id {
    Id::new(&format!("{number:016x}")).unwrap()
}

/// Something that happens to machines, to the store or to the owner. Times are in milliseconds.
#[derive(Debug, Clone)]
pub enum Event {
    /// Nobody reaches them for so long; what runs there goes on under its lease.
    Cut(Range<usize>, u64),
    /// Their power is gone for a moment.
    Crash(Range<usize>),
    /// It is gone for good, without a word.
    Remove(usize),
    /// It announces that it leaves, and is gone for good after so long.
    Leave(usize, u64),
    /// Nothing is written for so long.
    Hold(u64),
    /// Nothing is written for the first time; then the owner is gone, and another one is there after the second.
    Takeover(u64, u64),
    /// Orders to them get no answer for so long; they arrive so late, or never.
    Mute(Range<usize>, u64, Option<u64>),
    /// They refuse starts for so long.
    Refuse(Range<usize>, u64, Refusal),
    /// All that they start fails, for so long.
    Fail(Range<usize>, u64),
    /// Their entries are missing for so long.
    Hide(Range<usize>, u64),
    /// Answers to polls of them are lost for so long.
    Deafen(Range<usize>, u64),
    /// They crash and are back after the first time; their entries show it only after the second. Their clocks have stepped back
    /// by the third.
    Restart(Range<usize>, u64, u64, u64),
    /// Polls of them get no answer for so long, and are carried out so late.
    Delay(Range<usize>, u64, u64),
}

/// What must not be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A task runs twice.
    Twice(u64, Name),
    /// A task is started after it had ended well and that was noted.
    Again(u64, Name),
    /// A worker is said to be under another owner, and there is none.
    Deposed(u64),
    /// A job that does not last stands still beside room.
    Open(Id),
    /// A lasting job shows as failed.
    Failed(u64, Id),
    /// So many places were lost.
    Lost(u64, usize),
    /// The trial of a suspect has gone on for so long.
    Trial(u64),
    /// A lasting task waits beside room.
    Waits(Name),
}

impl Fault {
    /// True for the same kind of fault.
    pub fn is_like(&self, other: &Fault) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}

/// A cell, its workers and what lies between them.
pub struct Yard {
    pub cell: Cell,
    pub now: u64,
    /// The first thing that must not be.
    pub fault: Option<Fault>,
    /// When a worker crashed last by a task.
    pub crashed: u64,
    machines: Vec<Machine>,
    stale: Vec<(Entry, u64)>,
    jobs: Vec<Submission>,
    written: HashMap<Id, Record>,
    fleet: Vec<Entry>,
    held_until: u64,
    /// When the next owner is there, while there is none.
    owner_back: Option<u64>,
    /// When the owner goes, and for how long.
    owner_goes: Option<(u64, u64)>,
    fence: u64,
    polls: BTreeMap<Arc<str>, Held>,
    /// Lives that answered on the connection that is open.
    connected: HashSet<Arc<str>>,
    delayed: Vec<Delayed>,
    /// Tasks whose good end was noted.
    noted: HashSet<Name>,
    /// Workers start again under the names that they had.
    keeps_names: bool,
    next_polls: HashMap<Arc<str>, u64>,
    sent: Vec<Sent>,
    answers: Vec<(u64, Arc<str>, Order, Outcome)>,
    crashing: HashMap<Name, u64>,
    lives: u32,
    work: u64,
}

impl Yard {
    /// So many workers of 4 cores, 8 a rack, whose tasks run for `work` milliseconds.
    pub fn new(workers: usize, work: u64) -> Self {
        let mut yard = Yard {
            cell: Cell::new(TIMING),
            now: 1_000,
            fault: None,
            crashed: 0,
            machines: (0..workers).map(Machine::new).collect(),
            stale: Vec::new(),
            jobs: Vec::new(),
            written: HashMap::new(),
            fleet: Vec::new(),
            held_until: 0,
            owner_back: None,
            owner_goes: None,
            fence: 1,
            polls: BTreeMap::new(),
            connected: HashSet::new(),
            delayed: Vec::new(),
            noted: HashSet::new(),
            keeps_names: false,
            next_polls: HashMap::new(),
            sent: Vec::new(),
            answers: Vec::new(),
            crashing: HashMap::new(),
            lives: workers as u32,
            work,
        };
        yard.list();
        yard
    }

    /// The same, with workers that start again under the names that they had.
    pub fn keeping_names(workers: usize, work: u64) -> Self {
        let mut yard = Yard::new(0, work);
        yard.keeps_names = true;
        yard.machines = Yard::new(workers, work).machines;
        for machine in &mut yard.machines {
            machine.born = Some(BORN + 1_000);
            machine.births.extend(machine.born);
            machine.id = Entry::incarnation_id(&machine.name, machine.born);
        }
        yard.list();
        yard
    }

    /// Submits a job of one step with a priority, of which 0 goes first.
    pub fn submit(&mut self, number: u64, step: Step, priority: u32) -> Id {
        let id = id(number);
        let mut submission = submission(id.as_str(), vec![step]);
        submission.accepted = self.now;
        submission.queue.priority = priority;
        self.jobs.push(submission.clone());
        if self.owner_back.is_none() {
            assert!(self.cell.admit(submission, self.now));
        }
        id
    }

    /// Makes a task crash whatever worker starts it, so many milliseconds later.
    pub fn poison(&mut self, id: &Id, place: usize, after: u64) {
        self.crashing.insert((id.clone(), place), after);
    }

    /// The machine on which a task runs.
    pub fn holder(&self, id: &Id, place: usize) -> Option<usize> {
        self.machines.iter().position(|machine| {
            let mut names = machine.runs.keys();
            names.any(|(job, address)| job == id && address.index as usize == place)
        })
    }

    /// Lets something happen.
    pub fn happen(&mut self, event: &Event) {
        let now = self.now;
        match event {
            Event::Cut(range, time) => {
                self.each(range, |own| own.cut_until = own.cut_until.max(now + time));
            }
            Event::Crash(range) => self.each(range, |own| own.crash = Some(now)),
            Event::Remove(machine) => {
                self.each(&(*machine..machine + 1), |own| own.goes = Some(now));
            }
            Event::Leave(machine, after) => self.each(&(*machine..machine + 1), |own| {
                own.is_leaving = true;
                own.goes = Some(now + after);
            }),
            Event::Hold(time) => self.held_until = self.held_until.max(now + time),
            Event::Takeover(held, away) => {
                self.held_until = self.held_until.max(now + held);
                self.owner_goes = Some((now + held, *away));
            }
            Event::Mute(range, time, late) => {
                self.each(range, |own| own.mute = (now + time, *late))
            }
            Event::Refuse(range, time, reason) => {
                self.each(range, |own| own.refuses = (now + time, *reason));
            }
            Event::Fail(range, time) => self.each(range, |own| own.failing_until = now + time),
            Event::Hide(range, time) => self.each(range, |own| own.hidden_until = now + time),
            Event::Deafen(range, time) => self.each(range, |own| own.deaf_until = now + time),
            Event::Restart(range, down, behind, back) => self.each(range, |own| {
                own.crash = Some(now);
                own.down = (*down, *behind);
                own.clock_back += back;
            }),
            Event::Delay(range, time, late) => self.each(range, |own| {
                own.delayed = (now + time, *late);
            }),
        }
    }

    fn each(&mut self, range: &Range<usize>, act: impl Fn(&mut Machine)) {
        let up = self.machines[range.clone()].iter_mut();
        up.filter(|own| own.back.is_none()).for_each(act);
    }

    /// Lets time pass, in milliseconds.
    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end && self.fault.is_none() {
            self.now += STEP;
            self.go_due();
            self.advance();
            self.come_back();
            self.arrive();
            self.own();
            self.check();
        }
    }

    /// What the owner does, where there is one.
    fn own(&mut self) {
        let now = self.now;
        if self.owner_goes.is_some_and(|(at, _)| at <= now)
            && let Some((_, away)) = self.owner_goes.take()
        {
            self.owner_back = Some(now + away);
        }
        if let Some(back) = self.owner_back {
            if now < back {
                return;
            }
            self.take_over();
        }
        if now.is_multiple_of(LIST_GAP) {
            self.list();
        }
        self.poll();
        for (id, order, outcome) in self.answers_due() {
            if self.cell.handle_outcome(&id, &order, outcome, now) {
                self.fault = Some(Fault::Deposed(now));
            }
        }
        if now.is_multiple_of(LOOK_GAP) {
            self.cell.rerank(now, now);
            self.cell.expire_leases(now);
        }
        if self.cell.is_reread_due() {
            self.cell.jobs_reread();
        }
        self.cell.place(now);
        for (id, order) in self.cell.take_orders() {
            self.send(id, order);
        }
        self.write();
    }

    fn take_over(&mut self) {
        self.owner_back = None;
        self.fence += 1;
        self.polls.clear();
        self.connected.clear();
        self.next_polls.clear();
        self.answers.clear();
        self.sent.retain(|sent| !sent.is_answered);
        self.cell = Cell::new(TIMING);
        self.list();
        self.cell.restore_workers(self.fleet.clone());
        for job in &self.jobs {
            let record = self.written.get(&job.id).cloned().unwrap_or_default();
            if record.state.is_final() {
                self.cell.add_ended(job.id.clone(), &record);
            } else {
                self.cell.resume(job.clone(), &record, self.now);
            }
        }
        self.cell.recover(self.now);
    }

    fn list(&mut self) {
        let now = self.now;
        self.stale.retain(|(_, until)| now < *until);
        let up = self.machines.iter();
        let is_shown = |own: &&Machine| {
            own.back.is_none() && own.hidden_until <= now && own.behind_until <= now
        };
        let mut entries: Vec<Entry> = up.filter(is_shown).map(Machine::entry).collect();
        for (entry, _) in &self.stale {
            // Lives of one name have one place in the listing.
            if entries.iter().all(|own| own.name != entry.name) {
                entries.push(entry.clone());
            }
        }
        self.cell.handle_listing(entries, now);
    }

    /// The fence that a life is shown.
    fn fence_of(&self, generation: u32) -> u64 {
        self.fence << 10 | u64::from(generation)
    }

    fn write(&mut self) {
        if self.now < self.held_until {
            return;
        }
        let change = self.cell.take_write_batch(100);
        self.cell.batch_written(&change);
        self.written.extend(change.records);
        if let Some(fleet) = change.fleet {
            self.fleet = fleet;
        }
    }

    /// Has machines crash, or go for good.
    fn go_due(&mut self) {
        let now = self.now;
        for machine in &mut self.machines {
            let crashes = machine.crash.is_some_and(|at| at <= now);
            let goes = machine.goes.is_some_and(|at| at <= now);
            if machine.back.is_some() || !(crashes || goes) {
                continue;
            }
            machine.back = Some(if goes { u64::MAX } else { now + machine.down.0 });
            machine.crash = None;
            machine.runs.clear();
            machine.ended.clear();
            machine.ended_at.clear();
            self.stale.push((machine.entry(), now + ENTRY_LAPSES));
        }
    }

    /// Ends what is done, and what runs under leases that are over.
    fn advance(&mut self) {
        let now = self.now;
        for machine in &mut self.machines {
            if machine.back.is_none() {
                machine.advance(now);
            }
        }
    }

    fn come_back(&mut self) {
        for machine in &mut self.machines {
            if machine.back.is_none_or(|at| at > self.now) {
                continue;
            }
            self.lives += 1;
            if self.keeps_names {
                // No two lives of a worker tell the same, however its clock steps.
                let mut born = BORN + self.now - machine.clock_back;
                while !machine.births.insert(born) {
                    born += 1;
                }
                machine.born = Some(born);
                machine.id = Entry::incarnation_id(&machine.name, machine.born);
                machine.behind_until = self.now + machine.down.1;
            } else {
                machine.id = format!("w{:04}", self.lives).into();
                machine.name = machine.id.clone();
            }
            machine.down = (DOWN, 0);
            machine.back = None;
            machine.crash = None;
            machine.begun = self.now;
            machine.fence = 0;
            machine.is_met = false;
            machine.lease = 0;
            machine.over.clear();
            machine.count = 0;
        }
    }

    fn check(&mut self) {
        let mut seen = HashSet::new();
        for machine in &self.machines {
            for (job, address) in machine.runs.keys() {
                let name = (job, address.index as usize);
                if !seen.insert(name) {
                    let name = (job.clone(), name.1);
                    self.fault = Some(Fault::Twice(self.now, name));
                    return;
                }
            }
        }
        if !self.now.is_multiple_of(LOOK_GAP) {
            return;
        }
        let lost = self.cell.misplaced_tasks();
        if lost > 0 {
            self.fault = Some(Fault::Lost(self.now, lost));
        }
        let lasting = self.jobs.iter().filter(|own| own.spec.is_long_running());
        for Submission { id, .. } in lasting {
            let is_poisoned = self.crashing.keys().any(|(job, _)| job == id);
            if self.cell.state(id) == Some(State::Failed) && !is_poisoned {
                self.fault = Some(Fault::Failed(self.now, id.clone()));
            }
        }
    }

    /// The first job that does not last and has stood still all the time that passes here, in milliseconds, beside two workers
    /// with room for its tasks.
    pub fn open_job(&mut self, time: u64) -> Option<Id> {
        self.stay(time, Yard::still_jobs).into_iter().min()
    }

    /// What is so all the time that passes here, in milliseconds.
    fn stay<T: Eq + Hash>(&mut self, time: u64, seen: impl Fn(&Yard) -> HashSet<T>) -> HashSet<T> {
        let end = self.now + time;
        let mut staying = seen(self);
        while self.now < end && self.fault.is_none() && !staying.is_empty() {
            self.run(LOOK_GAP);
            let still = seen(self);
            staying.retain(|one| still.contains(one));
        }
        staying
    }

    fn still_jobs(&self) -> HashSet<Id> {
        let mut still = HashSet::new();
        for Submission { id, spec, .. } in &self.jobs {
            let is_over = self.cell.state(id).is_some_and(State::is_final);
            let is_poisoned = self.crashing.keys().any(|(job, _)| job == id);
            if spec.is_long_running() || is_over || is_poisoned {
                continue;
            }
            let mut names = self.machines.iter().flat_map(|own| own.runs.keys());
            let roomy = self.machines.iter();
            let roomy = roomy.filter(|own| own.suits(id, &spec.steps[0])).count();
            if roomy >= 2 && !names.any(|(job, _)| job == id) {
                still.insert(id.clone());
            }
        }
        still
    }

    /// The lasting tasks that do not run, though two workers have room for each.
    pub fn waiting(&self) -> HashSet<Name> {
        let mut waiting = HashSet::new();
        for Submission { id, spec, .. } in &self.jobs {
            let is_over = self.cell.state(id).is_some_and(State::is_final);
            if !spec.is_long_running() || is_over {
                continue;
            }
            let step = &spec.steps[0];
            let roomy = self.machines.iter().filter(|own| own.suits(id, step));
            if roomy.count() < 2 {
                continue;
            }
            let places = 0..step.count as usize;
            let missing = places.filter(|&place| self.holder(id, place).is_none());
            waiting.extend(missing.map(|place| (id.clone(), place)));
        }
        waiting
    }

    /// The lasting tasks that wait beside room all the time that passes here, in milliseconds.
    pub fn watch(&mut self, time: u64) -> HashSet<Name> {
        self.stay(time, Yard::waiting)
    }
}
