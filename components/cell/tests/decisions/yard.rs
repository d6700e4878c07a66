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

use {
    crate::common::{TIMING, entry, submission},
    job::{Address, Id, Record, State, Step, Submission},
    magpie_cell::{Cell, End, Entry, How, Order, Outcome, Poll, Reason, Report, Run, Start},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
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
/// A worker that crashed is back after this time, in milliseconds.
const DOWN: u64 = 2_000;
/// An answer that does not come is given up after this time, in milliseconds.
const GIVEN_UP: u64 = 800;
/// After a poll that failed the next one goes after this time, in milliseconds.
const POLL_AGAIN: u64 = 300;
/// A worker is not polled for so long while its ends are not written, in milliseconds.
const UNWRITTEN: u64 = 1_000;
/// An order and its answer take this long each, in milliseconds.
const ON_THE_WAY: u64 = 10;
/// When the clock of the yard began, in milliseconds since 1970.
const BORN: u64 = 1_700_000_000_000;
/// What each worker has, in thousandths of a core.
const CORES: u64 = 4_000;

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
    Refuse(Range<usize>, u64, Reason),
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

/// A run on a worker.
#[derive(Debug, Clone)]
struct Going {
    run: u64,
    until: u64,
    cpu: u64,
    fails: bool,
}

/// A machine, and the life of the worker on it.
struct Machine {
    id: Arc<str>,
    name: Arc<str>,
    /// When the life began, where workers tell that.
    born: Option<u64>,
    /// When all of its lives began.
    births: HashSet<u64>,
    address: Arc<str>,
    rack: usize,
    is_leaving: bool,
    begun: u64,
    fence: u64,
    /// A poll that was meant for this life has reached it.
    is_met: bool,
    /// On its own clock: what runs there ends then.
    lease: u64,
    /// When the worker is back that is down.
    back: Option<u64>,
    /// How long it is down after the next crash, and how long its entry is behind after that.
    down: (u64, u64),
    /// Its time of day is behind by so much.
    clock_back: u64,
    /// The entry of its life is not listed until then.
    behind_until: u64,
    /// Polls get no answer until the first time, and are carried out so late.
    delayed: (u64, u64),
    /// When its lease was last seen to be over.
    lapsed: u64,
    /// When it crashes, or goes.
    crash: Option<u64>,
    goes: Option<u64>,
    cut_until: u64,
    deaf_until: u64,
    hidden_until: u64,
    failing_until: u64,
    mute: (u64, Option<u64>),
    refuses: (u64, Reason),
    runs: BTreeMap<(Id, Address), Going>,
    /// The highest run of each task that was stopped or ended there.
    over: HashMap<(Id, Address), u64>,
    ended: Vec<End>,
    /// When each of these ended.
    ended_at: HashMap<u64, u64>,
    count: u64,
}

/// A poll that its worker carries out late.
struct Delayed {
    at: u64,
    name: Arc<str>,
    fence: u64,
    poll: Poll,
}

/// A poll on its way.
struct Held {
    sent: u64,
    until: u64,
    seen: u64,
    is_lost: bool,
    /// The answer on its way, and when it arrives.
    answer: Option<(u64, Report)>,
}

/// An order on its way.
struct Sent {
    at: u64,
    /// The owner's fence, and the one that the worker is shown.
    owner: u64,
    fence: u64,
    id: Arc<str>,
    name: Arc<str>,
    /// When the time of a start is over by the clock of the life that it is meant for.
    expires: u64,
    order: Order,
    is_answered: bool,
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
        let machine = |number: usize| Machine {
            id: format!("w{number:04}").into(),
            name: format!("w{number:04}").into(),
            born: None,
            births: HashSet::new(),
            address: format!("10.0.0.{number}:80").into(),
            rack: number / 8,
            is_leaving: false,
            begun: 1_000,
            fence: 0,
            is_met: false,
            lease: 0,
            back: None,
            down: (DOWN, 0),
            clock_back: 0,
            behind_until: 0,
            delayed: (0, 0),
            lapsed: 0,
            crash: None,
            goes: None,
            cut_until: 0,
            deaf_until: 0,
            hidden_until: 0,
            failing_until: 0,
            mute: (0, None),
            refuses: (0, Reason::Room),
            runs: BTreeMap::new(),
            over: HashMap::new(),
            ended: Vec::new(),
            ended_at: HashMap::new(),
            count: 0,
        };
        let mut yard = Yard {
            cell: Cell::new(TIMING),
            now: 1_000,
            fault: None,
            crashed: 0,
            machines: (0..workers).map(machine).collect(),
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
            machine.id = Entry::life(&machine.name, machine.born);
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
            if self.cell.answered(&id, &order, outcome, now) {
                self.fault = Some(Fault::Deposed(now));
            }
        }
        if now.is_multiple_of(LOOK_GAP) {
            self.cell.rerank(now, now);
            self.cell.lapse(now);
        }
        if self.cell.is_intake_due() {
            self.cell.intake_read();
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
        self.cell.inherit(self.fleet.clone());
        for job in &self.jobs {
            let record = self.written.get(&job.id).cloned().unwrap_or_default();
            if record.state.is_final() {
                self.cell.close(job.id.clone(), &record);
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
        self.cell.list(entries, now);
    }

    /// The fence that a life is shown.
    fn fence_of(&self, generation: u32) -> u64 {
        self.fence << 10 | u64::from(generation)
    }

    fn write(&mut self) {
        if self.now < self.held_until {
            return;
        }
        let change = self.cell.take_change(100);
        self.cell.written(&change);
        self.written.extend(change.records);
        if let Some(fleet) = change.fleet {
            self.fleet = fleet;
        }
    }

    fn poll(&mut self) {
        let known: Vec<Entry> = self.cell.entries().cloned().collect();
        let ids: HashSet<&Arc<str>> = known.iter().map(|entry| &entry.id).collect();
        self.polls.retain(|id, _| ids.contains(id));
        for entry in &known {
            if !self.cell.is_polled(&entry.id) {
                continue;
            }
            if self.polls.contains_key(&entry.id) {
                self.hear(entry);
            } else if self.may_poll(&entry.id) {
                self.ask(entry);
            }
        }
    }

    fn may_poll(&self, id: &Arc<str>) -> bool {
        let next = self.next_polls.get(id).copied().unwrap_or_default();
        let is_written = !self.cell.is_unwritten(id) || self.now >= next + UNWRITTEN;
        self.now >= next && is_written
    }

    /// Sends a poll.
    fn ask(&mut self, entry: &Entry) {
        let (now, fence) = (self.now, self.fence_of(entry.generation));
        let Some(mut poll) = self.cell.poll(&entry.id, now) else {
            return;
        };
        let is_bound = !self.keeps_names || self.connected.contains(&entry.id);
        if !is_bound {
            poll = Poll {
                deadline: 0,
                seen: 0,
                wait: 0,
            };
        }
        let mut machines = self.machines.iter_mut();
        let machine = machines.find(|own| own.address == entry.address);
        let Some(machine) = machine.filter(|own| own.back.is_none()) else {
            self.unheard(&entry.id);
            return;
        };
        let is_cut = now < machine.cut_until;
        if !is_cut && machine.id != entry.id {
            if machine.name != entry.name {
                let cause = "another life answers";
                self.cell.end_life(&entry.id, cause, now);
                return;
            }
            if fence < machine.fence {
                self.refused(entry);
                return;
            }
            // A look that binds nothing, but shows its fence.
            machine.fence = fence;
            let born = machine.born.unwrap();
            self.cell.follow(&entry.id, born, now, now);
            if self.cell.is_polled(&entry.id) {
                self.unheard(&entry.id);
            }
            return;
        }
        if !is_cut && fence < machine.fence {
            self.refused(entry);
            return;
        }
        machine.is_met |= !is_cut;
        let is_delayed = !is_cut && is_bound && now < machine.delayed.0;
        if is_delayed {
            self.delayed.push(Delayed {
                at: now + machine.delayed.1,
                name: entry.name.clone(),
                fence,
                poll,
            });
        } else if !is_cut {
            machine.fence = fence;
            let noted = machine.take(poll, now);
            self.noted.extend(noted);
        }
        let held = Held {
            sent: now,
            until: now + poll.wait,
            seen: poll.seen,
            is_lost: is_cut || is_delayed,
            answer: None,
        };
        self.polls.insert(entry.id.clone(), held);
    }

    /// A worker has seen a higher fence: that of a later life, or there is another owner.
    fn refused(&mut self, entry: &Entry) {
        if !self.cell.is_past(&entry.id) {
            self.fault = Some(Fault::Deposed(self.now));
        }
        self.unheard(&entry.id);
    }

    fn unheard(&mut self, id: &Arc<str>) {
        self.polls.remove(id);
        self.connected.remove(id);
        self.next_polls.insert(id.clone(), self.now + POLL_AGAIN);
        self.cell.unheard(id, self.now);
    }

    /// Takes the answer to a poll, where there is one.
    fn hear(&mut self, entry: &Entry) {
        let now = self.now;
        let Some(held) = self.polls.get_mut(&entry.id) else {
            return;
        };
        if let Some((at, _)) = &held.answer {
            if now >= *at
                && let Some(held) = self.polls.remove(&entry.id)
                && let Some((_, report)) = held.answer
            {
                self.next_polls.insert(entry.id.clone(), now);
                self.connected.insert(entry.id.clone());
                self.cell.report(&entry.id, report, held.sent, now, now);
            }
            return;
        }
        let mut machines = self.machines.iter_mut();
        let machine = machines.find(|own| own.id == entry.id && own.back.is_none());
        let Some(machine) = machine.filter(|_| !held.is_lost) else {
            // A crash is told by the broken connection, a cut by nothing.
            if !held.is_lost || now >= held.until + GIVEN_UP {
                self.unheard(&entry.id);
            }
            return;
        };
        let is_due = now >= held.until || machine.ended.iter().any(|end| end.number > held.seen);
        if now < machine.cut_until || (is_due && now < machine.deaf_until) {
            held.is_lost = true;
        } else if is_due {
            held.answer = Some((now + ON_THE_WAY, machine.report(now)));
        }
    }

    fn answers_due(&mut self) -> Vec<(Arc<str>, Order, Outcome)> {
        let now = self.now;
        let due = self.answers.extract_if(.., |(at, ..)| *at <= now);
        due.map(|(_, id, order, outcome)| (id, order, outcome))
            .collect()
    }

    /// Sends an order.
    fn send(&mut self, id: Arc<str>, order: Order) {
        if matches!(order, Order::Withdraw { .. }) {
            return;
        }
        let now = self.now;
        // What is ordered of a worker that is gone goes nowhere.
        let Some(entry) = self.cell.entry(&id).cloned() else {
            return;
        };
        let machine = self.machines.iter().find(|own| own.id == id);
        let expires = match (&order, machine) {
            (Order::Start(start), Some(machine)) => machine.begun + start.deadline,
            _ => u64::MAX,
        };
        let mute = machine.and_then(|own| (now < own.mute.0).then_some(own.mute.1));
        if mute.is_some() {
            let unknown = (now + GIVEN_UP, id.clone(), order.clone(), Outcome::Unknown);
            self.answers.push(unknown);
        }
        let late = match mute {
            Some(None) => return,
            Some(Some(late)) => late,
            None => 0,
        };
        self.sent.push(Sent {
            at: now + ON_THE_WAY + late,
            owner: self.fence,
            fence: self.fence_of(entry.generation),
            id,
            name: entry.name,
            expires,
            order,
            is_answered: mute.is_none(),
        });
    }

    /// Has orders arrive.
    fn arrive(&mut self) {
        let now = self.now;
        let due: Vec<Delayed> = self.delayed.extract_if(.., |own| own.at <= now).collect();
        for Delayed {
            name, fence, poll, ..
        } in due
        {
            let mut machines = self.machines.iter_mut();
            let machine = machines.find(|own| own.name == name && own.back.is_none());
            if let Some(machine) = machine.filter(|own| own.fence <= fence) {
                machine.fence = fence;
                let noted = machine.take(poll, now);
                self.noted.extend(noted);
            }
        }
        let due: Vec<Sent> = self.sent.extract_if(.., |sent| sent.at <= now).collect();
        for sent in due {
            let outcome = self.carry_out(&sent);
            if !sent.is_answered || sent.owner != self.fence {
                continue;
            }
            let at = match outcome {
                Outcome::Unknown => now + GIVEN_UP,
                _ => now + ON_THE_WAY,
            };
            self.answers.push((at, sent.id, sent.order, outcome));
        }
    }

    fn carry_out(&mut self, sent: &Sent) -> Outcome {
        let now = self.now;
        let mut machines = self.machines.iter_mut();
        let Some(machine) = machines.find(|own| own.name == sent.name) else {
            return Outcome::Refused(Reason::OtherLife);
        };
        let is_other = machine.id != sent.id;
        if is_other && !self.keeps_names {
            return Outcome::Refused(Reason::OtherLife);
        }
        // What goes over a connection reaches the life that it is meant for or none; what was there already, and is carried
        // out late, meets whichever is there.
        if machine.back.is_some() || (is_other && sent.is_answered) {
            return Outcome::Refused(Reason::NotSent);
        }
        if is_other && sent.expires < now && !machine.is_met {
            return Outcome::Refused(Reason::Late);
        }
        if now < machine.cut_until {
            return Outcome::Unknown;
        }
        if sent.fence < machine.fence {
            return Outcome::Refused(Reason::Fence);
        }
        machine.fence = sent.fence;
        match &sent.order {
            Order::Start(start) => {
                let of_job = self.jobs.iter().find(|own| own.id == start.key.job);
                let step = &of_job.unwrap().spec.steps[0];
                let before = machine.runs.len();
                let outcome = machine.start(start, step, self.work, now);
                let name = (start.key.job.clone(), start.key.place);
                if machine.runs.len() > before && self.noted.contains(&name) {
                    self.fault = Some(Fault::Again(now, name.clone()));
                }
                if outcome == Outcome::Done
                    && let Some(after) = self.crashing.get(&name)
                {
                    machine.crash.get_or_insert(now + after);
                    self.crashed = now + after;
                }
                outcome
            }
            Order::Stop {
                key, address, run, ..
            } => {
                machine.stop(&key.job, *address, *run);
                Outcome::Done
            }
            Order::Pace { .. } | Order::Withdraw { .. } => Outcome::Done,
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
                machine.id = Entry::life(&machine.name, machine.born);
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
        let lost = self.cell.lost_places();
        if lost > 0 {
            self.fault = Some(Fault::Lost(self.now, lost));
        }
        let lasting = self.jobs.iter().filter(|own| own.spec.is_lasting());
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
        let end = self.now + time;
        let mut open = self.still_jobs();
        while self.now < end && self.fault.is_none() && !open.is_empty() {
            self.run(LOOK_GAP);
            let still = self.still_jobs();
            open.retain(|id| still.contains(id));
        }
        open.into_iter().next()
    }

    fn still_jobs(&self) -> Vec<Id> {
        let mut still = Vec::new();
        for Submission { id, spec, .. } in &self.jobs {
            let is_over = self.cell.state(id).is_some_and(State::is_final);
            let is_poisoned = self.crashing.keys().any(|(job, _)| job == id);
            if spec.is_lasting() || is_over || is_poisoned {
                continue;
            }
            let mut names = self.machines.iter().flat_map(|own| own.runs.keys());
            let roomy = self.machines.iter();
            let roomy = roomy.filter(|own| own.suits(id, &spec.steps[0])).count();
            if roomy >= 2 && !names.any(|(job, _)| job == id) {
                still.push(id.clone());
            }
        }
        still
    }

    /// The lasting tasks that do not run, though two workers have room for each.
    pub fn waiting(&self) -> HashSet<Name> {
        let mut waiting = HashSet::new();
        for Submission { id, spec, .. } in &self.jobs {
            let is_over = self.cell.state(id).is_some_and(State::is_final);
            if !spec.is_lasting() || is_over {
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
        let end = self.now + time;
        let mut waiting = self.waiting();
        while self.now < end && self.fault.is_none() && !waiting.is_empty() {
            self.run(LOOK_GAP);
            let still = self.waiting();
            waiting.retain(|name| still.contains(name));
        }
        waiting
    }
}

impl Machine {
    fn entry(&self) -> Entry {
        Entry {
            id: self.id.clone(),
            born: self.born,
            address: self.address.clone(),
            leaving: self.is_leaving,
            labels: vec!["a".into(), format!("r{}", self.rack).into()],
            ..entry(&self.name, CORES / 1_000)
        }
    }

    /// Takes a poll in: forgets ends that are written down, and extends the lease. Returns the tasks whose good ends are noted
    /// by that.
    fn take(&mut self, poll: Poll, now: u64) -> Vec<Name> {
        let told = self.ended.extract_if(.., |end| end.number <= poll.seen);
        let mut noted = Vec::new();
        for end in told {
            let at = self.ended_at.remove(&end.number).unwrap_or_default();
            if end.how == How::Done && at > self.lapsed {
                noted.push((end.job, end.address.index as usize));
            }
        }
        if self.clock(now) > self.lease {
            self.lapsed = now;
        }
        self.lease = self
            .lease
            .max(poll.deadline.min(self.clock(now) + TIMING.lease));
        noted
    }

    /// Its own clock.
    fn clock(&self, now: u64) -> u64 {
        now - self.begun + 1
    }

    fn used(&self) -> u64 {
        self.runs.values().map(|going| going.cpu).sum()
    }

    /// True when one more task of a step could run there.
    fn suits(&self, job: &Id, step: &Step) -> bool {
        let of_job = self.runs.keys().filter(|(own, _)| own == job).count();
        let is_apart = step.spread == 0 || of_job < step.spread as usize;
        let is_there = self.back.is_none() && !self.is_leaving;
        is_there && is_apart && self.used() + step.size.cpu <= CORES
    }

    fn start(&mut self, start: &Start, step: &Step, work: u64, now: u64) -> Outcome {
        if now < self.refuses.0 {
            return Outcome::Refused(self.refuses.1);
        }
        let name = (start.key.job.clone(), start.address);
        if let Some(going) = self.runs.get(&name) {
            return if going.run == start.run {
                Outcome::Done
            } else {
                Outcome::Refused(Reason::Old)
            };
        }
        if self.over.get(&name).is_some_and(|&over| start.run <= over) {
            return Outcome::Refused(Reason::Old);
        }
        if start.deadline < self.clock(now) {
            return Outcome::Refused(Reason::Late);
        }
        if self.used() + step.size.cpu > CORES {
            return Outcome::Refused(Reason::Room);
        }
        let most = self.clock(now) + TIMING.lease;
        self.lease = self.lease.max(start.deadline.min(most));
        let fails = now < self.failing_until;
        let until = match (fails, step.lasting) {
            (true, _) => now + 100,
            (false, true) => u64::MAX,
            (false, false) => now + work,
        };
        let going = Going {
            run: start.run,
            until,
            cpu: step.size.cpu,
            fails,
        };
        self.runs.insert(name, going);
        Outcome::Done
    }

    fn stop(&mut self, job: &Id, address: Address, run: u64) {
        let name = (job.clone(), address);
        if self.runs.get(&name).is_some_and(|going| going.run == run) {
            self.end(name.clone(), run, How::Stopped);
        }
        let over = self.over.entry(name).or_default();
        *over = run.max(*over);
    }

    fn end(&mut self, (job, address): (Id, Address), run: u64, how: How) {
        let name = (job.clone(), address);
        self.runs.remove(&name);
        let over = self.over.entry(name).or_default();
        *over = run.max(*over);
        self.count += 1;
        self.ended.push(End {
            number: self.count,
            job,
            address,
            run,
            how,
            saved: None,
        });
    }

    fn advance(&mut self, now: u64) {
        let has_lapsed = self.clock(now) > self.lease;
        let over = self.runs.iter();
        let over = over.filter(|(_, going)| has_lapsed || going.until <= now);
        let over: Vec<_> = over
            .map(|(name, going)| (name.clone(), going.clone()))
            .collect();
        for (name, going) in over {
            let how = match (going.until <= now, going.fails) {
                (false, _) => How::Lapsed,
                (true, true) => How::Failed,
                (true, false) => How::Done,
            };
            self.end(name, going.run, how);
            self.ended_at.insert(self.count, now);
        }
    }

    fn report(&self, now: u64) -> Report {
        let running = self.runs.iter().map(|((job, address), going)| Run {
            job: job.clone(),
            address: *address,
            run: going.run,
            saved: None,
            figure: 0,
        });
        Report {
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}
