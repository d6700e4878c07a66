//! The workers of a cell as its owner sees them.

use {
    infra::{
        Size,
        boxes::{Item, State},
        worker::{Extension, Order, Start, Stop, Task, Throttle},
    },
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Failures in a row after which a worker is set aside.
const QUARANTINE_FAILURES: u32 = 3;

/// How long a worker is set aside; doubled with each time, up to the most.
const QUARANTINE: Duration = Duration::from_secs(10);

/// How long a worker may be silent and still get new work.
const SCHEDULABLE_WITHIN: Duration = Duration::from_secs(6);

/// The longest time that a worker is set aside.
const MAX_QUARANTINE: Duration = Duration::from_secs(600);

/// What is to be told to a worker with the next orders.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Starts.
    pub starts: Vec<Start>,
    /// Stops.
    pub stops: Vec<Stop>,
    /// Throttles.
    pub throttles: Vec<Throttle>,
    /// Ended tasks that are written down.
    pub forget: Vec<(Task, u64)>,
}

impl Outbox {
    /// True when nothing waits.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
            && self.stops.is_empty()
            && self.throttles.is_empty()
            && self.forget.is_empty()
    }
}

/// What the last report told.
#[derive(Debug, Clone, Copy)]
pub struct LastReport {
    /// The box's life.
    pub boot: u64,
    /// Its clock, in milliseconds.
    pub clock: u64,
    /// The ledger's version.
    pub version: u64,
    /// When the report came.
    pub at: Instant,
}

/// One worker.
#[derive(Debug)]
pub struct WorkerState {
    /// The name.
    pub name: Arc<str>,
    /// The base address.
    pub url: Arc<str>,
    /// What it has.
    pub size: Size,
    /// Its hardware generation.
    pub generation: Arc<str>,
    /// What is not committed.
    pub free: Size,
    /// What tasks that are being stopped will free.
    pub freeing: Size,
    /// The tasks that run on it.
    pub tasks: Vec<Task>,
    /// What waits for the next order.
    pub outbox: Outbox,
    /// True once its ledger was read by this owner.
    pub ledger_read: bool,
    /// The last report; `None` before the first and after the worker was lost.
    pub last_report: Option<LastReport>,
    /// The number of the last order.
    pub order_number: u64,
    /// True when the platform's list has it.
    pub listed: bool,
    /// True when it gets no new work: it is leaving, or operators drain it.
    pub draining: bool,
    /// True when operators drain it.
    pub drained: bool,
    /// Failures of tasks in a row.
    pub failures: u32,
    /// Until when it is set aside.
    pub quarantined_until: Option<Instant>,
    /// How often it was set aside without a success since.
    pub quarantines: u32,
}

impl WorkerState {
    /// True when it may get new work.
    pub fn is_schedulable(&self, now: Instant) -> bool {
        let set_aside = self.quarantined_until.is_some_and(|until| now < until);
        let fresh = self
            .last_report
            .is_some_and(|heard| now < heard.at + SCHEDULABLE_WITHIN);
        fresh && self.listed && !self.draining && !set_aside
    }

    /// Its state in a word, for those who look.
    pub fn state(&self, now: Instant) -> &'static str {
        if !self.listed {
            return "gone";
        }
        if self.draining {
            return "draining";
        }
        if self.quarantined_until.is_some_and(|until| now < until) {
            return "aside";
        }
        if self.is_schedulable(now) {
            "live"
        } else {
            "silent"
        }
    }

    /// A task ended well here.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.quarantines = 0;
    }

    /// A task failed here. True when the worker is set aside and was not before.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.failures += 1;
        if self.failures < QUARANTINE_FAILURES {
            return false;
        }
        let before = self.quarantined_until.is_some_and(|until| now < until);
        if before {
            return false;
        }
        let time = QUARANTINE
            .saturating_mul(1 << self.quarantines.min(6))
            .min(MAX_QUARANTINE);
        self.quarantined_until = Some(now + time);
        self.quarantines += 1;
        // The next failure, after it is probed back, sets it aside again at once.
        self.failures = QUARANTINE_FAILURES - 1;
        true
    }

    /// The next order. The lease goes with the worker's own clock in the last report.
    pub fn order(&mut self, cell: &Arc<str>, epoch: u64, term: Duration) -> Order {
        self.order_number += 1;
        let length = term.as_millis() as u64;
        let extend = self.last_report.map(|heard| Extension {
            from: heard.clock,
            length,
        });
        Order {
            cell: cell.clone(),
            epoch,
            number: self.order_number,
            seen: self.last_report.map_or(0, |heard| heard.version),
            boot: self.last_report.map_or(0, |heard| heard.boot),
            extend,
            // Before the lease is known to run, a start would only be refused.
            starts: if extend.is_some() {
                self.outbox.starts.clone()
            } else {
                Vec::new()
            },
            stops: self.sendable_stops(),
            throttles: self.outbox.throttles.clone(),
            forget: self.outbox.forget.clone(),
        }
    }

    /// The oldest stops, up to one whose start is not known as told. A worker carries the stops of an
    /// order out before its starts: that one would find nothing to stop, and the task would run on.
    fn sendable_stops(&self) -> Vec<Stop> {
        let is_due = |stop: &&Stop| {
            let begins = |start: &Start| start.task == stop.task && start.attempt == stop.attempt;
            !self.outbox.starts.iter().any(begins)
        };
        let stops = self.outbox.stops.iter();
        stops.take_while(is_due).cloned().collect()
    }

    /// Drops from the outbox what a carried-out order held; it holds the oldest of each kind.
    pub fn order_delivered(&mut self, order: &Order) {
        self.outbox
            .starts
            .drain(..order.starts.len().min(self.outbox.starts.len()));
        self.outbox
            .stops
            .drain(..order.stops.len().min(self.outbox.stops.len()));
        self.outbox
            .throttles
            .drain(..order.throttles.len().min(self.outbox.throttles.len()));
        self.outbox
            .forget
            .drain(..order.forget.len().min(self.outbox.forget.len()));
    }
}

/// The workers of a cell, with an index by free processors.
#[derive(Debug, Default)]
pub struct Fleet {
    slots: Vec<WorkerState>,
    names: HashMap<Arc<str>, usize>,
    by_free: BTreeSet<(u32, usize)>,
    total: Size,
}

impl Fleet {
    /// All workers; a worker keeps its place.
    pub fn workers(&self) -> &[WorkerState] {
        &self.slots
    }

    /// One worker.
    pub fn worker(&self, at: usize) -> &WorkerState {
        &self.slots[at]
    }

    /// One worker, to change anything but what is free.
    pub fn worker_mut(&mut self, at: usize) -> &mut WorkerState {
        &mut self.slots[at]
    }

    /// The place of a worker.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// What all listed workers have.
    pub fn total(&self) -> Size {
        self.total
    }

    /// What is not committed on usable workers.
    pub fn free(&self, now: Instant) -> Size {
        let usable = self.slots.iter().filter(|slot| slot.is_schedulable(now));
        usable.fold(Size::default(), |sum, slot| sum.plus(slot.free))
    }

    /// The places of workers with at least this many free processors, the fullest first.
    pub fn by_least_free(&self, cpu: u32) -> impl Iterator<Item = usize> + '_ {
        self.by_free.range((cpu, 0)..).map(|(_, at)| *at)
    }

    /// The places of workers with at least this many free processors, the emptiest first.
    pub fn by_most_free(&self, cpu: u32) -> impl Iterator<Item = usize> + '_ {
        self.by_free.range((cpu, 0)..).rev().map(|(_, at)| *at)
    }

    /// Takes over what the platform's list says of the cell's workers. Returns the places of
    /// workers that are new.
    pub fn update(&mut self, items: &[&Item]) -> Vec<usize> {
        let mut fresh = Vec::new();
        for slot in &mut self.slots {
            slot.listed = false;
        }
        for item in items {
            let Some(url) = item.url("worker") else {
                continue;
            };
            let at = match self.index_of(&item.name) {
                Some(at) => at,
                None => {
                    fresh.push(self.slots.len());
                    self.add_worker(item, url)
                }
            };
            let slot = &mut self.slots[at];
            slot.listed = true;
            slot.url = url.clone();
            slot.draining = slot.drained || item.state == State::Leaving;
        }
        let listed = self.slots.iter().filter(|slot| slot.listed);
        self.total = listed.fold(Size::default(), |sum, slot| sum.plus(slot.size));
        fresh
    }

    fn add_worker(&mut self, item: &Item, url: &Arc<str>) -> usize {
        let at = self.slots.len();
        self.names.insert(item.name.clone(), at);
        self.by_free.insert((item.size.cpu, at));
        self.slots.push(WorkerState {
            name: item.name.clone(),
            url: url.clone(),
            size: item.size,
            generation: item.generation.clone(),
            free: item.size,
            freeing: Size::default(),
            tasks: Vec::new(),
            outbox: Outbox::default(),
            ledger_read: false,
            last_report: None,
            order_number: 0,
            listed: true,
            draining: false,
            drained: false,
            failures: 0,
            quarantined_until: None,
            quarantines: 0,
        });
        at
    }

    /// Commits room on a worker to a task.
    pub fn allocate(&mut self, at: usize, task: &Task, size: Size) {
        let slot = &mut self.slots[at];
        self.by_free.remove(&(slot.free.cpu, at));
        slot.free = slot.free.minus(size);
        slot.tasks.push(task.clone());
        self.by_free.insert((slot.free.cpu, at));
    }

    /// Frees the room of a task.
    pub fn release(&mut self, at: usize, task: &Task, size: Size) {
        let slot = &mut self.slots[at];
        let Some(place) = slot.tasks.iter().position(|t| t == task) else {
            return;
        };
        slot.tasks.swap_remove(place);
        self.by_free.remove(&(slot.free.cpu, at));
        slot.free = slot.free.plus(size);
        self.by_free.insert((slot.free.cpu, at));
    }
}

#[cfg(test)]
mod tests {
    use {super::*, infra::boxes::Kind};

    pub fn item(name: &str, cpu: u32) -> Item {
        Item {
            name: Arc::from(name),
            kind: Kind::Worker,
            hall: Arc::from("h1"),
            rack: Arc::from("r1"),
            state: State::Live,
            services: [(Arc::from("worker"), Arc::from(name))].into(),
            size: Size::new(cpu, 1000, 0),
            generation: Arc::from("g1"),
            class: Arc::from(""),
        }
    }

    fn task(index: u32) -> Task {
        Task {
            job: Arc::from("j"),
            index,
        }
    }

    #[test]
    fn commit_release_keeps_index() {
        let mut fleet = Fleet::default();
        let items = [item("a", 4000), item("b", 8000)];
        assert_eq!(fleet.update(&items.iter().collect::<Vec<_>>()), [0, 1]);
        fleet.allocate(1, &task(0), Size::new(5000, 10, 0));
        assert_eq!(fleet.by_least_free(3500).collect::<Vec<_>>(), [0]);
        assert_eq!(fleet.by_most_free(0).collect::<Vec<_>>(), [0, 1]);
        fleet.release(1, &task(0), Size::new(5000, 10, 0));
        fleet.release(1, &task(0), Size::new(5000, 10, 0));
        assert_eq!(fleet.worker(1).free, fleet.worker(1).size);
        assert_eq!(fleet.by_most_free(0).next(), Some(1));
    }

    #[test]
    fn merge_keeps_places() {
        let mut fleet = Fleet::default();
        let items = [item("a", 4000), item("b", 8000)];
        fleet.update(&items.iter().collect::<Vec<_>>());
        assert!(fleet.update(&[&items[1]]).is_empty());
        assert!(!fleet.worker(0).listed);
        assert_eq!(fleet.total().cpu, 8000);
    }

    #[test]
    fn fail_sets_aside_longer() {
        let mut fleet = Fleet::default();
        fleet.update(&[&item("a", 4000)]);
        let now = Instant::now();
        let slot = fleet.worker_mut(0);
        assert_eq!(
            [
                slot.record_failure(now),
                slot.record_failure(now),
                slot.record_failure(now)
            ],
            [false, false, true]
        );
        let first = slot.quarantined_until.unwrap();
        assert!(!slot.record_failure(now));
        assert!(slot.record_failure(first) && slot.quarantined_until.unwrap() > first + QUARANTINE);
        slot.record_success();
        assert!(!slot.record_failure(now));
    }
}
