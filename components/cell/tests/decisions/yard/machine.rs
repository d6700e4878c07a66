//! A machine, and the life of the worker on it, which keeps all rules of the workers' interface.

use {
    super::Name,
    crate::common::{TIMING, end_of, entry, report_of},
    job::{Address, Id, Step},
    magpie_cell::{EndCause, Entry, Outcome, Poll, Refusal, Report, RunEnd, Start},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// What each worker has, in thousandths of a core.
const CORES: u64 = 4_000;
/// A worker that crashed is back after this time, in milliseconds.
pub const DOWN: u64 = 2_000;

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct Going {
    pub run: u64,
    pub until: u64,
    pub cpu: u64,
    pub fails: bool,
}

/// A machine, and the life of the worker on it.
pub struct Machine {
    pub id: Arc<str>,
    pub name: Arc<str>,
    /// When the life began, where workers tell that.
    pub born: Option<u64>,
    /// When all of its lives began.
    pub births: HashSet<u64>,
    pub address: Arc<str>,
    pub rack: usize,
    pub is_leaving: bool,
    pub begun: u64,
    pub fence: u64,
    /// A poll that was meant for this life has reached it.
    pub is_met: bool,
    /// On its own clock: what runs there ends then.
    pub lease: u64,
    /// When the worker is back that is down.
    pub back: Option<u64>,
    /// How long it is down after the next crash, and how long its entry is behind after that.
    pub down: (u64, u64),
    /// Its time of day is behind by so much.
    pub clock_back: u64,
    /// The entry of its life is not listed until then.
    pub behind_until: u64,
    /// Polls get no answer until the first time, and are carried out so late.
    pub delayed: (u64, u64),
    /// When its lease was last seen to be over.
    pub lapsed: u64,
    /// When it crashes, or goes.
    pub crash: Option<u64>,
    pub goes: Option<u64>,
    pub cut_until: u64,
    pub deaf_until: u64,
    pub hidden_until: u64,
    pub failing_until: u64,
    pub mute: (u64, Option<u64>),
    pub refuses: (u64, Refusal),
    pub runs: BTreeMap<(Id, Address), Going>,
    /// The highest run of each task that was stopped or ended there.
    pub over: HashMap<(Id, Address), u64>,
    pub ended: Vec<RunEnd>,
    /// When each of these ended.
    pub ended_at: HashMap<u64, u64>,
    pub count: u64,
}

impl Machine {
    /// The machine of this number, of a rack of eight.
    pub fn new(number: usize) -> Self {
        Machine {
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
            refuses: (0, Refusal::Room),
            runs: BTreeMap::new(),
            over: HashMap::new(),
            ended: Vec::new(),
            ended_at: HashMap::new(),
            count: 0,
        }
    }

    pub fn entry(&self) -> Entry {
        Entry {
            id: self.id.clone(),
            started: self.born,
            address: self.address.clone(),
            leaving: self.is_leaving,
            labels: vec!["a".into(), format!("r{}", self.rack).into()],
            ..entry(&self.name, CORES / 1_000)
        }
    }

    /// Takes a poll in: forgets ends that are written down, and extends the lease. Returns the tasks whose good ends are noted
    /// by that.
    pub fn take(&mut self, poll: Poll, now: u64) -> Vec<Name> {
        let told = self.ended.extract_if(.., |end| end.number <= poll.seen);
        let mut noted = Vec::new();
        for end in told {
            let at = self.ended_at.remove(&end.number).unwrap_or_default();
            if end.how == EndCause::Done && at > self.lapsed {
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
    pub fn clock(&self, now: u64) -> u64 {
        now - self.begun + 1
    }

    pub fn used(&self) -> u64 {
        self.runs.values().map(|going| going.cpu).sum()
    }

    /// True when one more task of a step could run there.
    pub fn suits(&self, job: &Id, step: &Step) -> bool {
        let of_job = self.runs.keys().filter(|(own, _)| own == job).count();
        let is_apart = step.spread == 0 || of_job < step.spread as usize;
        let is_there = self.back.is_none() && !self.is_leaving;
        is_there && is_apart && self.used() + step.size.cpu <= CORES
    }

    pub fn start(&mut self, start: &Start, step: &Step, work: u64, now: u64) -> Outcome {
        if now < self.refuses.0 {
            return Outcome::Refused(self.refuses.1);
        }
        let name = (start.key.job.clone(), start.address);
        if let Some(going) = self.runs.get(&name) {
            return if going.run == start.run {
                Outcome::Done
            } else {
                Outcome::Refused(Refusal::Old)
            };
        }
        if self.over.get(&name).is_some_and(|&over| start.run <= over) {
            return Outcome::Refused(Refusal::Old);
        }
        if start.deadline < self.clock(now) {
            return Outcome::Refused(Refusal::Late);
        }
        if self.used() + step.size.cpu > CORES {
            return Outcome::Refused(Refusal::Room);
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

    pub fn stop(&mut self, job: &Id, address: Address, run: u64) {
        let name = (job.clone(), address);
        if self.runs.get(&name).is_some_and(|going| going.run == run) {
            self.end(name.clone(), run, EndCause::Stopped);
        }
        let over = self.over.entry(name).or_default();
        *over = run.max(*over);
    }

    pub fn end(&mut self, name: (Id, Address), run: u64, how: EndCause) {
        self.runs.remove(&name);
        let over = self.over.entry(name.clone()).or_default();
        *over = run.max(*over);
        self.count += 1;
        self.ended.push(end_of(self.count, name, run, how));
    }

    pub fn advance(&mut self, now: u64) {
        let has_lapsed = self.clock(now) > self.lease;
        let over = self.runs.iter();
        let over = over.filter(|(_, going)| has_lapsed || going.until <= now);
        let over: Vec<_> = over
            .map(|(name, going)| (name.clone(), going.clone()))
            .collect();
        for (name, going) in over {
            let how = match (going.until <= now, going.fails) {
                (false, _) => EndCause::Lapsed,
                (true, true) => EndCause::Failed,
                (true, false) => EndCause::Done,
            };
            self.end(name, going.run, how);
            self.ended_at.insert(self.count, now);
        }
    }

    pub fn report(&self, now: u64) -> Report {
        let runs = self.runs.iter().map(|(name, going)| (name, going.run));
        report_of(self.clock(now), runs, &self.ended)
    }
}
