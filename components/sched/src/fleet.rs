//! The workers of a cell as seen by its owner: capacity, liveness, quarantine and pending orders.

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

/// Consecutive task failures after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 3;

/// First quarantine of a worker; each further one doubles, up to [`MAX_QUARANTINE`].
const QUARANTINE: Duration = Duration::from_secs(10);

/// How long after its last report a worker may still get new tasks.
const SCHEDULABLE_WITHIN: Duration = Duration::from_secs(6);

/// Maximum quarantine of a worker.
const MAX_QUARANTINE: Duration = Duration::from_secs(600);

/// Instructions for the next orders to a worker.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Tasks to start.
    pub starts: Vec<Start>,
    /// Tasks to stop.
    pub stops: Vec<Stop>,
    /// CPU throttles to set.
    pub throttles: Vec<Throttle>,
    /// Ended tasks, with their attempts, whose end is persisted.
    pub forget: Vec<(Task, u64)>,
}

impl Outbox {
    /// Returns true when there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
            && self.stops.is_empty()
            && self.throttles.is_empty()
            && self.forget.is_empty()
    }
}

/// The last report of a worker.
#[derive(Debug, Clone, Copy)]
pub struct LastReport {
    /// Identifies the worker's incarnation; changes when it restarts.
    pub boot: u64,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// The version of the worker's ledger.
    pub version: u64,
    /// When the report was received.
    pub received_at: Instant,
}

/// The state of one worker.
#[derive(Debug)]
pub struct WorkerState {
    /// The name.
    pub name: Arc<str>,
    /// Base URL.
    pub url: Arc<str>,
    /// Total capacity.
    pub size: Size,
    /// Hardware generation.
    pub generation: Arc<str>,
    /// Unallocated capacity.
    pub free: Size,
    /// Capacity that stopping tasks will free.
    pub freeing: Size,
    /// Tasks that run or were ordered to start here.
    pub tasks: Vec<Task>,
    /// Instructions that wait for the next order.
    pub outbox: Outbox,
    /// True once this owner has read the ledger.
    pub ledger_read: bool,
    /// The last report; `None` before the first one and after the worker was declared lost.
    pub last_report: Option<LastReport>,
    /// Number of the last order.
    pub order_number: u64,
    /// True when the platform lists the worker.
    pub listed: bool,
    /// True when the worker gets no new tasks, because it is leaving or drained by operators.
    pub draining: bool,
    /// True when operators drain the worker.
    pub drained: bool,
    /// Consecutive task failures.
    pub failures: u32,
    /// End of the last quarantine; `None` before the first.
    pub quarantined_until: Option<Instant>,
    /// Quarantines since the last successful task.
    pub quarantines: u32,
}

impl WorkerState {
    /// Returns true when the worker may get new tasks.
    pub fn is_schedulable(&self, now: Instant) -> bool {
        let quarantined = self.quarantined_until.is_some_and(|until| now < until);
        let reachable = self
            .last_report
            .is_some_and(|report| now < report.received_at + SCHEDULABLE_WITHIN);
        reachable && self.listed && !self.draining && !quarantined
    }

    /// Returns the state for display: `live`, `draining`, `aside` (quarantined), `silent`
    /// (unreachable) or `gone` (not listed).
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

    /// Records a finished task and resets the failure counts.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.quarantines = 0;
    }

    /// Records a failed task. Returns true when this starts a quarantine.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.failures += 1;
        if self.failures < QUARANTINE_FAILURES {
            return false;
        }
        let already = self.quarantined_until.is_some_and(|until| now < until);
        if already {
            return false;
        }
        let time = QUARANTINE
            .saturating_mul(1 << self.quarantines.min(6))
            .min(MAX_QUARANTINE);
        self.quarantined_until = Some(now + time);
        self.quarantines += 1;
        // After the quarantine, a single failure starts the next one.
        self.failures = QUARANTINE_FAILURES - 1;
        true
    }

    /// Builds the next order. The lease is extended relative to the worker's clock in its last
    /// report.
    pub fn order(&mut self, cell: &Arc<str>, epoch: u64, lease: Duration) -> Order {
        self.order_number += 1;
        let length = lease.as_millis() as u64;
        let extend = self.last_report.map(|report| Extension {
            from: report.clock,
            length,
        });
        Order {
            cell: cell.clone(),
            epoch,
            number: self.order_number,
            seen: self.last_report.map_or(0, |report| report.version),
            boot: self.last_report.map_or(0, |report| report.boot),
            extend,
            // The worker refuses starts until the owner has granted it a lease.
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

    /// Returns the oldest stops, up to the first whose start is not known to be delivered. A worker
    /// executes the stops of an order before its starts, so such a stop would have no effect and
    /// the task would keep running.
    fn sendable_stops(&self) -> Vec<Stop> {
        let is_sendable = |stop: &&Stop| {
            let is_its_start =
                |start: &Start| start.task == stop.task && start.attempt == stop.attempt;
            !self.outbox.starts.iter().any(is_its_start)
        };
        let stops = self.outbox.stops.iter();
        stops.take_while(is_sendable).cloned().collect()
    }

    /// Removes the instructions of a delivered order from the outbox: the oldest of each kind.
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

/// The workers of a cell, ordered by free processors. A worker keeps its index for the whole
/// ownership.
#[derive(Debug, Default)]
pub struct Fleet {
    workers: Vec<WorkerState>,
    names: HashMap<Arc<str>, usize>,
    by_free: BTreeSet<(u32, usize)>,
    total: Size,
}

impl Fleet {
    /// Returns all workers, by index.
    pub fn workers(&self) -> &[WorkerState] {
        &self.workers
    }

    /// Returns the worker with this index.
    pub fn worker(&self, index: usize) -> &WorkerState {
        &self.workers[index]
    }

    /// Returns the worker with this index. Its free capacity must only change through
    /// [`Fleet::allocate`] and [`Fleet::release`].
    pub fn worker_mut(&mut self, index: usize) -> &mut WorkerState {
        &mut self.workers[index]
    }

    /// Returns the index of a worker.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns the total capacity of the listed workers.
    pub fn total(&self) -> Size {
        self.total
    }

    /// Returns the free capacity of the schedulable workers.
    pub fn free(&self, now: Instant) -> Size {
        let schedulable = self
            .workers
            .iter()
            .filter(|worker| worker.is_schedulable(now));
        schedulable.fold(Size::default(), |sum, worker| sum.plus(worker.free))
    }

    /// Returns the indexes of the workers with at least this much free CPU, least free first.
    pub fn by_least_free(&self, cpu: u32) -> impl Iterator<Item = usize> + '_ {
        self.by_free.range((cpu, 0)..).map(|(_, index)| *index)
    }

    /// Returns the indexes of the workers with at least this much free CPU, most free first.
    pub fn by_most_free(&self, cpu: u32) -> impl Iterator<Item = usize> + '_ {
        self.by_free
            .range((cpu, 0)..)
            .rev()
            .map(|(_, index)| *index)
    }

    /// Applies the platform's listing of the cell's workers. Returns the indexes of new workers.
    pub fn update(&mut self, items: &[&Item]) -> Vec<usize> {
        let mut new_workers = Vec::new();
        for worker in &mut self.workers {
            worker.listed = false;
        }
        for item in items {
            let Some(url) = item.url("worker") else {
                continue;
            };
            let index = match self.index_of(&item.name) {
                Some(index) => index,
                None => {
                    new_workers.push(self.workers.len());
                    self.add_worker(item, url)
                }
            };
            let worker = &mut self.workers[index];
            worker.listed = true;
            worker.url = url.clone();
            worker.draining = worker.drained || item.state == State::Leaving;
        }
        let listed = self.workers.iter().filter(|worker| worker.listed);
        self.total = listed.fold(Size::default(), |sum, worker| sum.plus(worker.size));
        new_workers
    }

    fn add_worker(&mut self, item: &Item, url: &Arc<str>) -> usize {
        let index = self.workers.len();
        self.names.insert(item.name.clone(), index);
        self.by_free.insert((item.size.cpu, index));
        self.workers.push(WorkerState {
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
        index
    }

    /// Allocates capacity of a worker to a task.
    pub fn allocate(&mut self, index: usize, task: &Task, size: Size) {
        let worker = &mut self.workers[index];
        self.by_free.remove(&(worker.free.cpu, index));
        worker.free = worker.free.minus(size);
        worker.tasks.push(task.clone());
        self.by_free.insert((worker.free.cpu, index));
    }

    /// Releases the capacity of a task; does nothing if the task is not allocated on the worker.
    pub fn release(&mut self, index: usize, task: &Task, size: Size) {
        let worker = &mut self.workers[index];
        let Some(position) = worker.tasks.iter().position(|t| t == task) else {
            return;
        };
        worker.tasks.swap_remove(position);
        self.by_free.remove(&(worker.free.cpu, index));
        worker.free = worker.free.plus(size);
        self.by_free.insert((worker.free.cpu, index));
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
    fn allocate_and_release_keep_order() {
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
    fn update_keeps_indexes() {
        let mut fleet = Fleet::default();
        let items = [item("a", 4000), item("b", 8000)];
        fleet.update(&items.iter().collect::<Vec<_>>());
        assert!(fleet.update(&[&items[1]]).is_empty());
        assert!(!fleet.worker(0).listed);
        assert_eq!(fleet.total().cpu, 8000);
    }

    #[test]
    fn repeated_quarantine_lasts_longer() {
        let mut fleet = Fleet::default();
        fleet.update(&[&item("a", 4000)]);
        let now = Instant::now();
        let worker = fleet.worker_mut(0);
        assert_eq!(
            [
                worker.record_failure(now),
                worker.record_failure(now),
                worker.record_failure(now)
            ],
            [false, false, true]
        );
        let first = worker.quarantined_until.unwrap();
        assert!(!worker.record_failure(now));
        assert!(
            worker.record_failure(first) && worker.quarantined_until.unwrap() > first + QUARANTINE
        );
        worker.record_success();
        assert!(!worker.record_failure(now));
    }
}
