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
const FAILURES_ASIDE: u32 = 3;

/// How long a worker is set aside; doubled with each time, up to the most.
const ASIDE: Duration = Duration::from_secs(10);

/// How long a worker may be silent and still get new work.
const FRESH: Duration = Duration::from_secs(6);

/// The longest time that a worker is set aside.
const ASIDE_MOST: Duration = Duration::from_secs(600);

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
pub struct Heard {
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
pub struct Slot {
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
    pub read: bool,
    /// The last report; `None` before the first and after the worker was lost.
    pub heard: Option<Heard>,
    /// The number of the last order.
    pub number: u64,
    /// True when the platform's list has it.
    pub listed: bool,
    /// True when it gets no new work: it is leaving, or operators drain it.
    pub draining: bool,
    /// True when operators drain it.
    pub drained: bool,
    /// Failures of tasks in a row.
    pub failures: u32,
    /// Until when it is set aside.
    pub aside: Option<Instant>,
    /// How often it was set aside without a success since.
    pub asides: u32,
}

impl Slot {
    /// True when it may get new work.
    pub fn is_usable(&self, now: Instant) -> bool {
        let set_aside = self.aside.is_some_and(|until| now < until);
        let fresh = self.heard.is_some_and(|heard| now < heard.at + FRESH);
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
        if self.aside.is_some_and(|until| now < until) {
            return "aside";
        }
        if self.is_usable(now) {
            "live"
        } else {
            "silent"
        }
    }

    /// A task ended well here.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.asides = 0;
    }

    /// A task failed here. True when the worker is set aside and was not before.
    pub fn fail(&mut self, now: Instant) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_ASIDE {
            return false;
        }
        let before = self.aside.is_some_and(|until| now < until);
        if before {
            return false;
        }
        let time = ASIDE
            .saturating_mul(1 << self.asides.min(6))
            .min(ASIDE_MOST);
        self.aside = Some(now + time);
        self.asides += 1;
        // The next failure, after it is probed back, sets it aside again at once.
        self.failures = FAILURES_ASIDE - 1;
        true
    }

    /// The next order. The lease goes with the worker's own clock in the last report.
    pub fn order(&mut self, cell: &Arc<str>, epoch: u64, term: Duration) -> Order {
        self.number += 1;
        let length = term.as_millis() as u64;
        let extend = self.heard.map(|heard| Extension {
            from: heard.clock,
            length,
        });
        Order {
            cell: cell.clone(),
            epoch,
            number: self.number,
            seen: self.heard.map_or(0, |heard| heard.version),
            boot: self.heard.map_or(0, |heard| heard.boot),
            extend,
            // Before the lease is known to run, a start would only be refused.
            starts: if extend.is_some() {
                self.outbox.starts.clone()
            } else {
                Vec::new()
            },
            stops: self.due_stops(),
            throttles: self.outbox.throttles.clone(),
            forget: self.outbox.forget.clone(),
        }
    }

    /// The oldest stops, up to one whose start is not known as told. A worker carries the stops of an
    /// order out before its starts: that one would find nothing to stop, and the task would run on.
    fn due_stops(&self) -> Vec<Stop> {
        let is_due = |stop: &&Stop| {
            let begins = |start: &Start| start.task == stop.task && start.attempt == stop.attempt;
            !self.outbox.starts.iter().any(begins)
        };
        let stops = self.outbox.stops.iter();
        stops.take_while(is_due).cloned().collect()
    }

    /// Drops from the outbox what a carried-out order held; it holds the oldest of each kind.
    pub fn sent(&mut self, order: &Order) {
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
    slots: Vec<Slot>,
    names: HashMap<Arc<str>, usize>,
    by_free: BTreeSet<(u32, usize)>,
    total: Size,
}

impl Fleet {
    /// All workers; a worker keeps its place.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// One worker.
    pub fn slot(&self, at: usize) -> &Slot {
        &self.slots[at]
    }

    /// One worker, to change anything but what is free.
    pub fn slot_mut(&mut self, at: usize) -> &mut Slot {
        &mut self.slots[at]
    }

    /// The place of a worker.
    pub fn place(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// What all listed workers have.
    pub fn total(&self) -> Size {
        self.total
    }

    /// What is not committed on usable workers.
    pub fn free(&self, now: Instant) -> Size {
        let usable = self.slots.iter().filter(|slot| slot.is_usable(now));
        usable.fold(Size::default(), |sum, slot| sum.plus(slot.free))
    }

    /// The places of workers with at least this many free processors, the fullest first.
    pub fn from_fullest(&self, cpu: u32) -> impl Iterator<Item = usize> + '_ {
        self.by_free.range((cpu, 0)..).map(|(_, at)| *at)
    }

    /// The places of workers with at least this many free processors, the emptiest first.
    pub fn from_emptiest(&self, cpu: u32) -> impl Iterator<Item = usize> + '_ {
        self.by_free.range((cpu, 0)..).rev().map(|(_, at)| *at)
    }

    /// Takes over what the platform's list says of the cell's workers. Returns the places of
    /// workers that are new.
    pub fn merge(&mut self, items: &[&Item]) -> Vec<usize> {
        let mut fresh = Vec::new();
        for slot in &mut self.slots {
            slot.listed = false;
        }
        for item in items {
            let Some(url) = item.url("worker") else {
                continue;
            };
            let at = match self.place(&item.name) {
                Some(at) => at,
                None => {
                    fresh.push(self.slots.len());
                    self.add(item, url)
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

    fn add(&mut self, item: &Item, url: &Arc<str>) -> usize {
        let at = self.slots.len();
        self.names.insert(item.name.clone(), at);
        self.by_free.insert((item.size.cpu, at));
        self.slots.push(Slot {
            name: item.name.clone(),
            url: url.clone(),
            size: item.size,
            generation: item.generation.clone(),
            free: item.size,
            freeing: Size::default(),
            tasks: Vec::new(),
            outbox: Outbox::default(),
            read: false,
            heard: None,
            number: 0,
            listed: true,
            draining: false,
            drained: false,
            failures: 0,
            aside: None,
            asides: 0,
        });
        at
    }

    /// Commits room on a worker to a task.
    pub fn commit(&mut self, at: usize, task: &Task, size: Size) {
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
        assert_eq!(fleet.merge(&items.iter().collect::<Vec<_>>()), [0, 1]);
        fleet.commit(1, &task(0), Size::new(5000, 10, 0));
        assert_eq!(fleet.from_fullest(3500).collect::<Vec<_>>(), [0]);
        assert_eq!(fleet.from_emptiest(0).collect::<Vec<_>>(), [0, 1]);
        fleet.release(1, &task(0), Size::new(5000, 10, 0));
        fleet.release(1, &task(0), Size::new(5000, 10, 0));
        assert_eq!(fleet.slot(1).free, fleet.slot(1).size);
        assert_eq!(fleet.from_emptiest(0).next(), Some(1));
    }

    #[test]
    fn merge_keeps_places() {
        let mut fleet = Fleet::default();
        let items = [item("a", 4000), item("b", 8000)];
        fleet.merge(&items.iter().collect::<Vec<_>>());
        assert!(fleet.merge(&[&items[1]]).is_empty());
        assert!(!fleet.slot(0).listed);
        assert_eq!(fleet.total().cpu, 8000);
    }

    #[test]
    fn fail_sets_aside_longer() {
        let mut fleet = Fleet::default();
        fleet.merge(&[&item("a", 4000)]);
        let now = Instant::now();
        let slot = fleet.slot_mut(0);
        assert_eq!(
            [slot.fail(now), slot.fail(now), slot.fail(now)],
            [false, false, true]
        );
        let first = slot.aside.unwrap();
        assert!(!slot.fail(now));
        assert!(slot.fail(first) && slot.aside.unwrap() > first + ASIDE);
        slot.succeed();
        assert!(!slot.fail(now));
    }
}
