//! A simulated machine and the current incarnation of its worker, which follows the worker
//! protocol.

use {
    crate::common::{TIMING, build_report, entry, task_end},
    job::{Address, Id, Step},
    magpie_cell::{EndCause, Entry, Outcome, Poll, Refusal, Report, RunEnd, Start},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// Capacity of a worker, in millicores.
const CAPACITY: u64 = 4_000;
/// Interval of checkpoints, in milliseconds.
const CHECKPOINT_INTERVAL: u64 = 500;
/// Downtime of a crashed worker, in milliseconds.
pub const DOWNTIME: u64 = 2_000;

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct ActiveRun {
    pub run: u64,
    pub until: u64,
    pub cpu: u64,
    pub fails: bool,
    pub began: u64,
    /// The work done before, in milliseconds, if the task writes checkpoints.
    pub saved: Option<u64>,
    /// The time that the run works for once all members are there, if it belongs to a gang whose
    /// members are not all there yet.
    pub waits: Option<u64>,
}

impl ActiveRun {
    /// The latest checkpoint: the work done.
    fn checkpoint(&self, now: u64) -> Option<Arc<str>> {
        let work = self.saved? + now - self.began;
        let work = work / CHECKPOINT_INTERVAL * CHECKPOINT_INTERVAL;
        (work > 0 && self.waits.is_none()).then(|| work.to_string().into())
    }
}

/// A machine and the current incarnation of its worker.
pub struct Machine {
    pub id: Arc<str>,
    pub name: Arc<str>,
    /// When the incarnation started, if workers report that.
    pub start_time: Option<u64>,
    /// Start times of all incarnations.
    pub start_times: HashSet<u64>,
    pub address: Arc<str>,
    pub rack: usize,
    pub hall: Arc<str>,
    pub is_leaving: bool,
    /// It is down for maintenance, or was at its last crash.
    pub in_maintenance: bool,
    pub started_at: u64,
    pub fence: u64,
    /// A poll meant for this incarnation has arrived.
    pub was_polled: bool,
    /// Expiry of the lease on the worker's own clock; all runs end then.
    pub lease: u64,
    /// When the worker returns, if it is down.
    pub returns_at: Option<u64>,
    /// Downtime of the next crash, and the delay of the new entry after that.
    pub downtime: (u64, u64),
    /// Offset by which the wall clock is behind.
    pub clock_back: u64,
    /// The entry of the incarnation is not listed until then.
    pub entry_hidden_until: u64,
    /// Polls get no answer until the first time and are executed with the delay.
    pub delayed: (u64, u64),
    /// When the lease was last seen expired.
    pub lease_expired_at: u64,
    /// When the machine crashes, and when it is removed.
    pub crashes_at: Option<u64>,
    pub removed_at: Option<u64>,
    pub partitioned_until: u64,
    pub reports_dropped_until: u64,
    pub hidden_until: u64,
    pub failing_until: u64,
    pub answers_dropped: (u64, Option<u64>),
    pub refusing: (u64, Refusal),
    pub runs: BTreeMap<(Id, Address), ActiveRun>,
    /// The highest run of each task that was stopped or ended.
    pub max_ended_run: HashMap<(Id, Address), u64>,
    pub ended: Vec<RunEnd>,
    /// End time of each unacknowledged end.
    pub ended_at: HashMap<u64, u64>,
    pub end_count: u64,
    /// All ends since the simulator has last looked.
    pub new_ends: Vec<(Id, Address, EndCause)>,
}

impl Machine {
    /// Creates the machine with this number; a rack has eight.
    pub fn new(number: usize) -> Self {
        Machine {
            id: format!("w{number:04}").into(),
            name: format!("w{number:04}").into(),
            start_time: None,
            start_times: HashSet::new(),
            address: format!("10.0.0.{number}:80").into(),
            rack: number / 8,
            hall: "h1".into(),
            is_leaving: false,
            in_maintenance: false,
            started_at: 1_000,
            fence: 0,
            was_polled: false,
            lease: 0,
            returns_at: None,
            downtime: (DOWNTIME, 0),
            clock_back: 0,
            entry_hidden_until: 0,
            delayed: (0, 0),
            lease_expired_at: 0,
            crashes_at: None,
            removed_at: None,
            partitioned_until: 0,
            reports_dropped_until: 0,
            hidden_until: 0,
            failing_until: 0,
            answers_dropped: (0, None),
            refusing: (0, Refusal::Room),
            runs: BTreeMap::new(),
            max_ended_run: HashMap::new(),
            ended: Vec::new(),
            ended_at: HashMap::new(),
            end_count: 0,
            new_ends: Vec::new(),
        }
    }

    pub fn entry(&self) -> Entry {
        Entry {
            id: self.id.clone(),
            started: self.start_time,
            address: self.address.clone(),
            leaving: self.is_leaving,
            hall: self.hall.clone(),
            labels: self.labels(),
            ..entry(&self.name, CAPACITY / 1_000)
        }
    }

    pub fn labels(&self) -> Vec<Arc<str>> {
        vec!["a".into(), format!("r{}", self.rack).into()]
    }

    /// Processes a poll: drops acknowledged ends and extends the lease. Returns the tasks whose
    /// success is recorded thereby, and when they ended.
    pub fn accept_poll(&mut self, poll: Poll, now: u64) -> Vec<((Id, Address), u64)> {
        let acknowledged = self.ended.extract_if(.., |end| end.number <= poll.seen);
        let mut recorded = Vec::new();
        for end in acknowledged {
            let at = self.ended_at.remove(&end.number).unwrap_or_default();
            if end.how == EndCause::Done && at > self.lease_expired_at {
                recorded.push(((end.job, end.address), at));
            }
        }
        if self.clock(now) > self.lease {
            self.lease_expired_at = now;
        }
        self.lease = self
            .lease
            .max(poll.deadline.min(self.clock(now) + TIMING.lease));
        recorded
    }

    /// Time on the worker's own clock.
    pub fn clock(&self, now: u64) -> u64 {
        now - self.started_at + 1
    }

    pub fn capacity(&self) -> u64 {
        CAPACITY
    }

    pub fn used_cpu(&self) -> u64 {
        self.runs.values().map(|active| active.cpu).sum()
    }

    /// True if the worker can take one more task of a step.
    pub fn has_capacity_for(&self, job: &Id, step: &Step) -> bool {
        let of_job = self.runs.keys().filter(|(id, _)| id == job).count();
        let is_apart = step.spread == 0 || of_job < step.spread as usize;
        let is_up = self.returns_at.is_none() && !self.is_leaving;
        let labels = self.labels();
        let has_label = step
            .label
            .as_ref()
            .is_none_or(|label| labels.contains(label));
        is_up && has_label && is_apart && self.used_cpu() + step.size.cpu <= CAPACITY
    }

    pub fn start(&mut self, start: &Start, step: &Step, task_ms: u64, now: u64) -> Outcome {
        if now < self.refusing.0 {
            return Outcome::Refused(self.refusing.1);
        }
        let task = (start.key.job.clone(), start.address);
        if let Some(active) = self.runs.get(&task) {
            return if active.run == start.run {
                Outcome::Done
            } else {
                Outcome::Refused(Refusal::Old)
            };
        }
        if self
            .max_ended_run
            .get(&task)
            .is_some_and(|&max| start.run <= max)
        {
            return Outcome::Refused(Refusal::Old);
        }
        if start.deadline < self.clock(now) {
            return Outcome::Refused(Refusal::Late);
        }
        if !step.fills && self.used_cpu() + step.size.cpu > CAPACITY {
            return Outcome::Refused(Refusal::Room);
        }
        let most = self.clock(now) + TIMING.lease;
        self.lease = self.lease.max(start.deadline.min(most));
        let fails = now < self.failing_until;
        let before = start.saved.as_ref().map_or(0, |text| text.parse().unwrap());
        let work = match (fails, step.lasting) {
            (true, _) => 100,
            (false, true) => u64::MAX - now,
            (false, false) => task_ms.saturating_sub(before),
        };
        let until = if step.gang { u64::MAX } else { now + work };
        let active = ActiveRun {
            run: start.run,
            until,
            cpu: if step.fills { 0 } else { step.size.cpu },
            fails,
            began: now,
            saved: step.checkpoints.then_some(before),
            waits: step.gang.then_some(work),
        };
        self.runs.insert(task, active);
        Outcome::Done
    }

    pub fn stop(&mut self, job: &Id, address: Address, run: u64, now: u64) {
        let task = (job.clone(), address);
        if self.runs.get(&task).is_some_and(|active| active.run == run) {
            self.end(task.clone(), run, EndCause::Stopped, now);
        }
        let max_ended = self.max_ended_run.entry(task).or_default();
        *max_ended = run.max(*max_ended);
    }

    pub fn end(&mut self, task: (Id, Address), run: u64, how: EndCause, now: u64) {
        let active = self.runs.remove(&task);
        self.new_ends.push((task.0.clone(), task.1, how));
        let max_ended = self.max_ended_run.entry(task.clone()).or_default();
        *max_ended = run.max(*max_ended);
        self.end_count += 1;
        let saved = active.and_then(|active| active.checkpoint(now));
        let end = task_end(self.end_count, task, run, how);
        self.ended.push(RunEnd { saved, ..end });
    }

    pub fn end_due_runs(&mut self, now: u64) {
        let lease_expired = self.clock(now) > self.lease;
        let due = self.runs.iter();
        let due = due.filter(|(_, active)| lease_expired || active.until <= now);
        let due: Vec<_> = due
            .map(|(task, active)| (task.clone(), active.clone()))
            .collect();
        for (task, active) in due {
            let how = match (active.until <= now, active.fails) {
                (false, _) => EndCause::Lapsed,
                (true, true) => EndCause::Failed,
                (true, false) => EndCause::Done,
            };
            self.end(task, active.run, how, now);
            self.ended_at.insert(self.end_count, now);
        }
    }

    pub fn report(&self, now: u64) -> Report {
        let runs = self.runs.iter().map(|(task, active)| (task, active.run));
        let mut report = build_report(self.clock(now), runs, &self.ended);
        for run in &mut report.running {
            let active = &self.runs[&(run.job.clone(), run.address)];
            run.saved = active.checkpoint(now);
        }
        report
    }
}
