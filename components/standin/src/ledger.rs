//! State of one simulated worker: task ledger, capacity, lease and epochs.

use {
    crate::{
        auditor::{Auditor, End},
        clock::Clock,
    },
    infra::{
        Size,
        worker::{self, Order, Phase, Record, Refusal, Report, Start, Stop, StopMode, Task, Usage},
    },
    kernel::Failure,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Work between two checkpoints, in milliseconds.
const CHECKPOINT_INTERVAL: u64 = 1000;

/// Interval between usage samples, in milliseconds.
const USAGE_INTERVAL: u64 = 5000;

/// Age of a usage sample, in milliseconds.
const USAGE_LAG: u64 = 3000;

/// Faults of a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every task fails as soon as it starts.
    pub failing: bool,
    /// Exchanges are disconnected before they have any effect.
    pub cut: bool,
    /// Number of further exchanges that take effect but whose replies are lost.
    pub lost: u32,
}

struct Entry {
    record: Record,
    version: u64,
    length: u64,
    /// Completed work, in milliseconds at full speed.
    done: u64,
    percent: u8,
    /// True once a report has contained the end of the task.
    reported: bool,
}

/// A simulated worker.
pub struct Ledger {
    name: Arc<str>,
    boot: u64,
    size: Size,
    clock: Clock,
    auditor: Auditor,
    /// The newest epoch and its last order number, by cell.
    epochs: BTreeMap<Arc<str>, (u64, u64)>,
    lease: u64,
    version: u64,
    entries: BTreeMap<Task, Entry>,
    advanced: u64,
    sampled: u64,
    /// Active faults.
    pub faults: Faults,
}

impl Ledger {
    /// Creates a worker without tasks.
    pub fn new(name: Arc<str>, boot: u64, size: Size, clock: Clock, auditor: Auditor) -> Self {
        let advanced = clock.now();
        Ledger {
            name,
            boot,
            size,
            clock,
            auditor,
            epochs: BTreeMap::new(),
            lease: 0,
            version: 0,
            entries: BTreeMap::new(),
            advanced,
            sampled: advanced,
            faults: Faults::default(),
        }
    }

    /// Returns the capacity allocated to running tasks.
    pub fn committed(&self) -> Size {
        let mut sum = Size::default();
        for entry in self.entries.values() {
            if entry.record.phase == Phase::Running {
                sum = sum.plus(entry.record.size);
            }
        }
        sum
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.record.phase == Phase::Running)
            .count()
    }

    /// Advances to the current time: tasks progress and finish, and the lease may expire.
    pub fn advance(&mut self) {
        let now = self.clock.now();
        let elapsed = now.saturating_sub(self.advanced);
        self.advanced = now;
        let expired = now > self.lease;
        for entry in self.entries.values_mut() {
            if entry.record.phase != Phase::Running {
                continue;
            }
            entry.done += elapsed * u64::from(entry.percent) / 100;
            entry.record.checkpoint = entry.done / CHECKPOINT_INTERVAL * CHECKPOINT_INTERVAL;
            let phase = match entry.length {
                length if length > 0 && entry.done >= length => Phase::Finished,
                _ if expired => Phase::Stopped,
                _ => continue,
            };
            self.version += 1;
            entry.version = self.version;
            entry.record.phase = phase;
            let finished = phase == Phase::Finished;
            let end = if finished {
                End::Finished
            } else {
                End::LeaseExpired
            };
            self.auditor.record_end(&entry.record.task, end);
        }
    }

    /// Restarts the box: all tasks stop and the ledger is cleared.
    pub fn reboot(&mut self) {
        self.advance();
        for entry in self.entries.values() {
            match entry.record.phase {
                Phase::Running => self.auditor.record_end(&entry.record.task, End::Stopped),
                // The finish was never reported, so the result is lost with the box.
                Phase::Finished if !entry.reported => {
                    self.auditor.discard_finish(&entry.record.task)
                }
                _ => {}
            }
        }
        self.entries.clear();
        self.boot += 1;
        self.lease = 0;
        self.version = 0;
    }

    /// Carries out an order.
    ///
    /// # Errors
    ///
    /// A newer epoch has been seen, or the order has been superseded by a later one.
    pub fn exchange(&mut self, order: &Order) -> Result<Report, Failure> {
        self.advance();
        let seen = self.epochs.entry(order.cell.clone()).or_default();
        if order.epoch < seen.0 {
            return Err(worker::fenced());
        }
        let current = (order.epoch, order.number);
        if current <= *seen {
            return Err(worker::stale());
        }
        *seen = current;
        if let Some(extension) = order.extend {
            let end = extension.from.saturating_add(extension.length);
            // Lease extensions for another incarnation of the box are ignored.
            if order.boot == self.boot {
                self.lease = self.lease.max(end);
            }
        }
        for (task, attempt) in &order.forget {
            self.remove_ended(task, *attempt);
        }
        for stop in &order.stops {
            self.stop(stop);
        }
        for throttle in &order.throttles {
            if let Some(entry) = self.entries.get_mut(&throttle.task) {
                entry.percent = throttle.percent.min(100);
            }
        }
        let mut refusals = Vec::new();
        for start in &order.starts {
            if let Err(reason) = self.start(start) {
                let (task, attempt) = (start.task.clone(), start.attempt);
                refusals.push(Refusal {
                    task,
                    attempt,
                    reason: Arc::from(reason),
                });
            }
        }
        Ok(self.report(order, refusals))
    }

    fn report(&mut self, order: &Order, refusals: Vec<Refusal>) -> Report {
        let seen = if order.boot == self.boot {
            order.seen
        } else {
            0
        };
        let clock = self.clock.now();
        let sampling = clock >= self.sampled + USAGE_INTERVAL;
        if sampling {
            self.sampled = clock;
        }
        let mut records = Vec::new();
        let mut usage = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.version > seen {
                entry.reported = entry.record.phase != Phase::Running;
                records.push(entry.record.clone());
            }
            if sampling && entry.record.phase == Phase::Running {
                usage.push(sample(&entry.record));
            }
        }
        Report {
            boot: self.boot,
            clock,
            lease: self.lease,
            version: self.version,
            records,
            refusals,
            usage,
        }
    }

    fn remove_ended(&mut self, task: &Task, attempt: u64) {
        let ended =
            |entry: &Entry| entry.record.attempt == attempt && entry.record.phase != Phase::Running;
        if self.entries.get(task).is_some_and(ended) {
            self.entries.remove(task);
        }
    }

    fn start(&mut self, start: &Start) -> Result<(), &'static str> {
        if let Some(entry) = self.entries.get(&start.task) {
            if entry.record.attempt >= start.attempt {
                // The order was repeated or arrived late.
                return Ok(());
            }
            if entry.record.phase == Phase::Running {
                return Err("an earlier attempt runs here");
            }
        }
        if self.clock.now() >= self.lease {
            return Err("no lease");
        }
        let total = self.committed().plus(start.size);
        if !total.fits(self.size) {
            return Err("no room");
        }
        self.version += 1;
        let phase = if self.faults.failing {
            Phase::Failed
        } else {
            Phase::Running
        };
        let record = Record {
            task: start.task.clone(),
            attempt: start.attempt,
            class: start.class.clone(),
            size: start.size,
            phase,
            checkpoint: start.resume,
        };
        self.auditor.record_start(&start.task, &self.name);
        if phase == Phase::Failed {
            self.auditor.record_end(&start.task, End::Failed);
        }
        let (version, length) = (self.version, start.length);
        let entry = Entry {
            record,
            version,
            length,
            done: start.resume,
            percent: 100,
            reported: false,
        };
        self.entries.insert(start.task.clone(), entry);
        if !self.committed().fits(self.size) {
            self.auditor.record_overcommit();
        }
        Ok(())
    }

    fn stop(&mut self, stop: &Stop) {
        let Some(entry) = self.entries.get_mut(&stop.task) else {
            return;
        };
        if entry.record.attempt != stop.attempt || entry.record.phase != Phase::Running {
            return;
        }
        if stop.manner == StopMode::Checkpoint {
            entry.record.checkpoint = entry.done;
        }
        self.version += 1;
        entry.version = self.version;
        entry.record.phase = Phase::Stopped;
        let evicted = stop.manner == StopMode::Checkpoint;
        let end = if evicted { End::Evicted } else { End::Stopped };
        self.auditor.record_end(&stop.task, end);
    }
}

/// Returns a usage sample of a task, about four fifths of its allocation.
fn sample(record: &Record) -> Usage {
    let part = |amount: u32| amount / 5 * 4;
    Usage {
        task: record.task.clone(),
        cpu: part(record.size.cpu),
        memory: part(record.size.memory),
        age: USAGE_LAG,
    }
}

#[cfg(test)]
mod tests {
    use {super::*, infra::worker::Extension, test_case::test_case};

    fn ledger(clock: &Clock, auditor: &Auditor) -> Ledger {
        let size = Size::new(4000, 4000, 0);
        Ledger::new(Arc::from("w1"), 7, size, clock.clone(), auditor.clone())
    }

    fn task(index: u32) -> Task {
        Task {
            job: Arc::from("j"),
            index,
        }
    }

    fn start(index: u32, cpu: u32, length: u64) -> Start {
        Start {
            task: task(index),
            attempt: 1,
            class: Arc::from("batch"),
            size: Size::new(cpu, 100, 0),
            length,
            resume: 0,
        }
    }

    fn order((epoch, number): (u64, u64), starts: Vec<Start>) -> Order {
        Order {
            cell: Arc::from("h1"),
            epoch,
            number,
            seen: 0,
            boot: 7,
            extend: Some(Extension {
                from: 0,
                length: 10_000,
            }),
            starts,
            stops: Vec::new(),
            throttles: Vec::new(),
            forget: Vec::new(),
        }
    }

    #[test]
    fn exchange_runs_and_finishes() {
        let (clock, auditor) = (Clock::manual(), Auditor::new());
        let mut ledger = ledger(&clock, &auditor);
        ledger
            .exchange(&order((1, 1), vec![start(0, 1000, 500)]))
            .unwrap();
        clock.advance(501);
        let report = ledger.exchange(&order((1, 2), vec![])).unwrap();
        assert_eq!(report.records[0].phase, Phase::Finished);
        assert_eq!(auditor.totals().finished, 1);
    }

    #[test]
    fn exchange_refuses_old_epoch() {
        let (clock, auditor) = (Clock::manual(), Auditor::new());
        let mut ledger = ledger(&clock, &auditor);
        assert!(ledger.exchange(&order((2, 1), vec![])).is_ok());
        let late = ledger.exchange(&order((1, 2), vec![start(0, 1000, 500)]));
        assert_eq!(late, Err(worker::fenced()));
        let stale = ledger.exchange(&order((2, 1), vec![start(0, 1000, 500)]));
        assert_eq!(stale, Err(worker::stale()));
        assert_eq!(ledger.running(), 0);
    }

    #[test_case(vec![start(0, 1000, 0), start(0, 1000, 0)], 1, 0; "a repeated start")]
    #[test_case(vec![start(0, 3000, 0), start(1, 3000, 0)], 1, 1; "capacity exceeded by the second")]
    fn exchange_starts(starts: Vec<Start>, running: usize, refused: usize) {
        let (clock, auditor) = (Clock::manual(), Auditor::new());
        let mut ledger = ledger(&clock, &auditor);
        let report = ledger.exchange(&order((1, 4), starts)).unwrap();
        assert_eq!(
            (ledger.running(), report.refusals.len()),
            (running, refused)
        );
        assert_eq!(
            auditor.totals().overcommits + auditor.totals().concurrent_runs,
            0
        );
    }

    #[test]
    fn advance_ends_lease() {
        let (clock, auditor) = (Clock::manual(), Auditor::new());
        let mut ledger = ledger(&clock, &auditor);
        ledger
            .exchange(&order((1, 5), vec![start(0, 1000, 0)]))
            .unwrap();
        clock.advance(10_001);
        ledger.advance();
        assert_eq!((ledger.running(), auditor.totals().lease_expiries), (0, 1));
        let report = ledger
            .exchange(&order((1, 6), vec![start(1, 1000, 0)]))
            .unwrap();
        assert_eq!(&*report.refusals[0].reason, "no lease");
    }

    #[test]
    fn stop_writes_checkpoint() {
        let (clock, auditor) = (Clock::manual(), Auditor::new());
        let mut ledger = ledger(&clock, &auditor);
        ledger
            .exchange(&order((1, 7), vec![start(0, 1000, 5000)]))
            .unwrap();
        clock.advance(1500);
        let stop = Stop {
            task: task(0),
            attempt: 1,
            manner: StopMode::Checkpoint,
        };
        let mut stopping = order((1, 8), vec![]);
        stopping.stops.push(stop);
        let report = ledger.exchange(&stopping).unwrap();
        assert_eq!(
            (report.records[0].phase, report.records[0].checkpoint),
            (Phase::Stopped, 1500)
        );
    }
}
