//! Tests of a cell with simulated workers and a manual clock: takeover, unreachable and restarted
//! workers, at-most-once tasks, preemption and persistence.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    infra::{
        Size,
        boxes::{Item, Kind, List, State},
        worker::Workers,
    },
    lease::{LeaseTiming, Ownership},
    magpie_sched_core::{
        Cell, Spec, job, limits::Limits, pass, placement, record::CellRecord,
        write_queue::AfterWrite,
    },
    standin::{Auditor, WorkerSet, clock::Clock, ledger::Ledger},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    table::{Row, Table},
    test_case::test_case,
};

/// Lease duration in milliseconds.
const LEASE: u64 = 10_000;

/// The environment of a cell: simulated workers, a clock, and the cell record as stored.
struct World {
    worker_set: WorkerSet,
    clock: Clock,
    auditor: Auditor,
    start: Instant,
    items: Vec<Item>,
    record: CellRecord,
    epoch: u64,
    /// Indexes of unreachable workers.
    unreachable: Vec<usize>,
}

fn item(index: usize) -> Item {
    Item {
        name: Arc::from(format!("w{index}")),
        kind: Kind::Worker,
        hall: Arc::from("h1"),
        rack: Arc::from("r"),
        state: State::Live,
        services: [(Arc::from("worker"), Arc::from("unused"))].into(),
        size: Size::new(4000, 4000, 0),
        generation: Arc::from("g"),
        class: Arc::from(""),
    }
}

fn limits(items: &[Item]) -> Limits {
    let urgent = Row {
        priority: 9,
        ..Row::batch("urgent")
    };
    let rows = [Row::batch("batch"), urgent].map(|row| (row.class.clone(), row));
    let table = Arc::new(Table {
        version: 1,
        rows: rows.into(),
    });
    Limits::of(
        "h1",
        table,
        &List {
            version: 1,
            items: items.to_vec(),
        },
    )
}

impl World {
    fn new(workers: usize) -> Self {
        let (clock, auditor) = (Clock::manual(), Auditor::new());
        let worker_set = WorkerSet::new(clock.clone(), auditor.clone());
        let items: Vec<Item> = (0..workers).map(item).collect();
        for item in &items {
            worker_set.add(&item.name, item.size);
        }
        let (start, record, unreachable) = (Instant::now(), CellRecord::default(), Vec::new());
        World {
            worker_set,
            clock,
            auditor,
            start,
            items,
            record,
            epoch: 0,
            unreachable,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.clock.now())
    }

    /// Creates an owner with the next epoch and the last written record.
    fn take_over(&mut self) -> Cell {
        self.epoch += 1;
        let ownership = Ownership::begin(Arc::from("h1"), self.epoch);
        let term = LeaseTiming {
            length: Duration::from_millis(LEASE),
            drift: 10,
        };
        let policy = placement::create("packing").unwrap();
        let mut cell = Cell::new(
            ownership,
            self.record.clone(),
            self.epoch,
            term,
            policy,
            self.now(),
        );
        cell.update_workers(&self.items.iter().collect::<Vec<_>>());
        cell.set_limits(limits(&self.items));
        cell
    }

    /// Creates an owner and runs it until its fencing has ended.
    fn active_owner(&mut self) -> Cell {
        let mut cell = self.take_over();
        self.step(&mut cell, 0);
        self.step(&mut cell, 1000);
        assert!(cell.is_active());
        cell
    }

    /// Advances the clock, exchanges with every reachable worker, persists, and places tasks.
    fn step(&mut self, cell: &mut Cell, milliseconds: u64) {
        self.clock.advance(milliseconds);
        self.worker_set.advance();
        self.exchange(cell);
        cell.tick(self.now());
        self.persist(cell);
        pass::run(cell, 1000, self.now());
        self.exchange(cell);
        assert_eq!(
            self.auditor.totals().concurrent_runs,
            0,
            "a task runs on two workers"
        );
        assert_eq!(
            self.auditor.totals().repeated_tasks,
            0,
            "a finished task ran again"
        );
        assert_eq!(
            self.auditor.totals().overcommits,
            0,
            "a worker is overcommitted"
        );
    }

    fn exchange(&self, cell: &mut Cell) {
        for worker_index in 0..self.items.len() {
            if self.unreachable.contains(&worker_index) {
                continue;
            }
            let order = cell.next_order(worker_index);
            if let Ok(report) = self
                .worker_set
                .exchange(&self.items[worker_index].name, &order)
            {
                cell.handle_report(worker_index, &order, report, self.now());
            }
        }
    }

    fn persist(&mut self, cell: &mut Cell) {
        if let Some(batch) = cell.take_batch().unwrap() {
            self.record = kernel::wire::decode(&batch.bytes).unwrap();
            cell.batch_written(batch.version + 1);
        }
    }

    fn submit(&mut self, cell: &mut Cell, key: u64, spec: Spec) -> Arc<str> {
        let id = job::id("h1", key);
        cell.submit(&id, spec, 0).unwrap();
        cell.write_queue.stage(AfterWrite::ActivateJob(id.clone()));
        self.persist(cell);
        id
    }
}

fn spec(count: u32, length: u64) -> Spec {
    let (class, size) = (Arc::from("batch"), Size::new(1000, 1000, 0));
    Spec {
        class,
        count,
        size,
        length,
        once: false,
        hall: None,
    }
}

#[test]
fn takeover_adopts_running_tasks() {
    let mut world = World::new(2);
    let mut old = world.active_owner();
    let id = world.submit(&mut old, 1, spec(6, 5000));
    world.step(&mut old, 100);
    assert_eq!(world.auditor.running(), 6);
    let mut new = world.active_owner();
    assert_eq!(
        (new.counts.adopted, new.status(&id).unwrap().running),
        (6, 6)
    );
    // Workers refuse the orders of the old owner after the takeover.
    let order = old.next_order(0);
    assert!(
        world
            .worker_set
            .exchange(&world.items[0].name, &order)
            .is_err()
    );
    world.step(&mut new, 5000);
    assert_eq!(new.status(&id).unwrap().finished, 6);
    assert_eq!(world.auditor.totals().starts, 6);
}

#[test]
fn takeover_keeps_unpersisted_ends() {
    let mut world = World::new(1);
    let mut old = world.active_owner();
    let id = world.submit(&mut old, 1, spec(3, 500));
    world.step(&mut old, 100);
    // The tasks end and the old owner receives the reports, but it crashes before it persists the
    // ends.
    world.clock.advance(600);
    world.exchange(&mut old);
    world.exchange(&mut old);
    assert_eq!(old.status(&id).unwrap().finished, 3);
    drop(old);
    let mut new = world.active_owner();
    world.step(&mut new, 1000);
    assert_eq!(new.status(&id).unwrap().finished, 3);
    assert_eq!(world.auditor.totals().starts, 3);
}

#[test]
fn takeover_waits_for_tasks_of_unreachable_worker() {
    let mut world = World::new(2);
    let mut old = world.active_owner();
    let id = world.submit(&mut old, 1, spec(6, 60_000));
    world.step(&mut old, 100);
    let on_unreachable = world
        .worker_set
        .with("w0", |ledger: &mut Ledger| ledger.running())
        .unwrap();
    assert!(on_unreachable > 0);
    world.unreachable = vec![0];
    let mut new = world.take_over();
    for _ in 0..3 {
        world.step(&mut new, 400);
    }
    let status = new.status(&id).unwrap();
    assert!(new.is_active());
    assert_eq!(
        (status.running, status.queued),
        (6 - on_unreachable as u32, on_unreachable as u32)
    );
    // The previous owner is not listed: once its leases have expired, the tasks run elsewhere.
    for _ in 0..6 {
        new.handle_predecessor_gone(world.now());
        world.step(&mut new, LEASE / 4);
    }
    assert_eq!(new.status(&id).unwrap().running, 4);
    // The unreachable worker returns; it stopped its tasks when its lease expired.
    world.unreachable.clear();
    world.step(&mut new, 100);
    world.step(&mut new, 100);
    assert_eq!(new.status(&id).unwrap().running, 6);
}

#[test]
fn unreachable_worker_is_lost_after_lease() {
    let mut world = World::new(2);
    let mut cell = world.active_owner();
    let id = world.submit(&mut cell, 1, spec(4, 60_000));
    world.step(&mut cell, 100);
    assert_eq!(
        world
            .worker_set
            .with("w0", |ledger: &mut Ledger| ledger.running()),
        Some(4)
    );
    world.unreachable = vec![0];
    world.step(&mut cell, LEASE - 1000);
    assert_eq!(cell.counts.lost, 0);
    world.step(&mut cell, 1200);
    world.step(&mut cell, 100);
    assert_eq!(
        (cell.counts.lost, cell.status(&id).unwrap().running),
        (4, 4)
    );
    assert_eq!(world.auditor.running(), 4);
}

#[test]
fn restarted_worker_loses_its_tasks() {
    let mut world = World::new(1);
    let mut cell = world.active_owner();
    let id = world.submit(&mut cell, 1, spec(4, 2000));
    world.step(&mut cell, 100);
    world.worker_set.with("w0", Ledger::reboot);
    world.step(&mut cell, 100);
    world.step(&mut cell, 100);
    assert_eq!(cell.counts.lost, 4);
    world.step(&mut cell, 2100);
    assert_eq!(cell.status(&id).unwrap().finished, 4);
}

/// A task that crashes its workers fails after five starts. A crashed worker reports no failure of
/// the task, so without the limit on early losses the task would take down one worker after
/// another, as in an incident with crashing tasks.
#[test]
fn task_that_crashes_workers_fails() {
    let mut world = World::new(2);
    let mut cell = world.active_owner();
    let id = world.submit(&mut cell, 1, spec(1, 5000));
    for _ in 0..20 {
        world.step(&mut cell, 100);
        if world.auditor.running() == 0 {
            break;
        }
        for worker_index in 0..2 {
            world
                .worker_set
                .with(&world.items[worker_index].name.clone(), Ledger::reboot);
        }
    }
    let status = cell.status(&id).unwrap();
    assert_eq!((status.failed, status.ended), (1, true));
    assert_eq!(world.auditor.totals().starts, 5);
}

/// A task is restarted when its worker crashes long after each start: only early losses count
/// towards the limit.
#[test]
fn late_losses_do_not_fail_a_task() {
    let mut world = World::new(2);
    let mut cell = world.active_owner();
    let id = world.submit(&mut cell, 1, spec(1, 500_000));
    for _ in 0..8 {
        world.step(&mut cell, 100);
        for _ in 0..40 {
            world.step(&mut cell, 1_000);
        }
        for worker_index in 0..2 {
            world
                .worker_set
                .with(&world.items[worker_index].name.clone(), Ledger::reboot);
        }
    }
    world.step(&mut cell, 100);
    world.step(&mut cell, 100);
    assert_eq!(cell.status(&id).unwrap().running, 1);
}

#[test_case(false, 3, 0; "a repeatable task runs again")]
#[test_case(true, 0, 3; "an at-most-once task is unknown")]
fn restart_during_at_most_once_task(once: bool, finished: u32, unknown: u32) {
    let mut world = World::new(1);
    let mut cell = world.active_owner();
    let id = world.submit(
        &mut cell,
        1,
        Spec {
            once,
            ..spec(3, 1000)
        },
    );
    world.step(&mut cell, 100);
    world.step(&mut cell, 100);
    assert_eq!(world.auditor.running(), 3);
    world.worker_set.with("w0", Ledger::reboot);
    for _ in 0..4 {
        world.step(&mut cell, 600);
    }
    let status = cell.status(&id).unwrap();
    assert_eq!(
        (status.finished, status.unknown, status.ended),
        (finished, unknown, true)
    );
}

#[test]
fn at_most_once_task_waits_for_its_mark() {
    let mut world = World::new(1);
    let mut cell = world.active_owner();
    let id = job::id("h1", 1);
    cell.submit(
        &id,
        Spec {
            once: true,
            ..spec(2, 1000)
        },
        0,
    )
    .unwrap();
    cell.write_queue.stage(AfterWrite::ActivateJob(id.clone()));
    world.persist(&mut cell);
    // The job is persisted, but no task is marked yet.
    assert_eq!(pass::run(&mut cell, 10, world.now()).placed, 0);
    cell.write_queue.mark_dirty();
    world.persist(&mut cell);
    assert_eq!(pass::run(&mut cell, 10, world.now()).placed, 2);
}

#[test]
fn evicted_task_resumes_from_checkpoint() {
    let mut world = World::new(1);
    let mut cell = world.active_owner();
    let id = world.submit(&mut cell, 1, spec(4, 9000));
    world.step(&mut cell, 100);
    world.step(&mut cell, 3000);
    let urgent = Spec {
        class: Arc::from("urgent"),
        ..spec(1, 500)
    };
    let urgent = world.submit(&mut cell, 2, urgent);
    for _ in 0..3 {
        world.step(&mut cell, 10);
    }
    assert_eq!(cell.status(&urgent).unwrap().running, 1);
    assert_eq!(
        (cell.counts.evictions, world.auditor.totals().evictions),
        (1, 1)
    );
    world.step(&mut cell, 600);
    // The evicted task resumes from its checkpoint: every task ends after 9 s of run time, the
    // evicted one later by the time it was stopped.
    world.step(&mut cell, 5400);
    assert_eq!(cell.status(&id).unwrap().finished, 3);
    world.step(&mut cell, 700);
    assert_eq!(cell.status(&id).unwrap().finished, 4);
}

/// The fate of the order with a start, before the stop of its task is requested.
enum Delivery {
    /// The order was not sent.
    NotSent,
    /// The order is lost on the network.
    OrderLost,
    /// The order is executed, but its report is lost.
    ReportLost,
}

impl World {
    /// Places the waiting tasks, and delivers the next order to the first worker as given.
    fn place_and_deliver(&self, cell: &mut Cell, delivery: &Delivery) {
        assert!(pass::run(cell, 10, self.now()).placed > 0);
        if matches!(delivery, Delivery::NotSent) {
            return;
        }
        let order = cell.next_order(0);
        if matches!(delivery, Delivery::ReportLost) {
            self.worker_set
                .exchange(&self.items[0].name, &order)
                .unwrap();
        }
    }
}

/// A worker executes the stops of an order before its starts. A stop in the same order as its start
/// had no effect, so the task of a cancelled job kept running.
#[test_case(Delivery::NotSent; "not sent")]
#[test_case(Delivery::OrderLost; "order lost")]
#[test_case(Delivery::ReportLost; "report lost")]
fn cancel_stops_undelivered_start(delivery: Delivery) {
    let mut world = World::new(1);
    let mut cell = world.active_owner();
    let id = world.submit(&mut cell, 1, spec(3, 60_000));
    world.place_and_deliver(&mut cell, &delivery);
    cell.cancel(&id).unwrap();
    for _ in 0..3 {
        world.step(&mut cell, 100);
    }
    let status = cell.status(&id).unwrap();
    assert_eq!((status.running, status.ended), (0, true));
    assert_eq!(world.auditor.running(), 0);
}

/// The same failure with the stop of a preemption: the evicted task kept running.
#[test_case(Delivery::NotSent; "not sent")]
#[test_case(Delivery::OrderLost; "order lost")]
#[test_case(Delivery::ReportLost; "report lost")]
fn preemption_stops_undelivered_start(delivery: Delivery) {
    let mut world = World::new(1);
    let mut cell = world.active_owner();
    let id = world.submit(&mut cell, 1, spec(4, 9_000));
    world.place_and_deliver(&mut cell, &delivery);
    // A task is not evicted within 2 s of its placement.
    world.clock.advance(2_100);
    let urgent = Spec {
        class: Arc::from("urgent"),
        ..spec(1, 9_000)
    };
    let urgent = world.submit(&mut cell, 2, urgent);
    pass::run(&mut cell, 10, world.now());
    assert_eq!(cell.counts.evictions, 1);
    for _ in 0..3 {
        world.step(&mut cell, 100);
    }
    assert_eq!(cell.status(&urgent).unwrap().running, 1);
    assert_eq!(cell.status(&id).unwrap().running, 3);
}

#[test]
fn failing_worker_is_quarantined() {
    let mut world = World::new(2);
    let mut cell = world.active_owner();
    world
        .worker_set
        .with("w0", |ledger: &mut Ledger| ledger.faults.failing = true);
    let id = world.submit(&mut cell, 1, spec(8, 1000));
    for _ in 0..8 {
        world.step(&mut cell, 600);
    }
    let status = cell.status(&id).unwrap();
    assert_eq!((status.finished, status.failed), (8, 0));
    assert_eq!(cell.fleet.worker(0).state(world.now()), "aside");
}

#[test]
fn drained_worker_gets_no_tasks() {
    let mut world = World::new(2);
    let mut cell = world.active_owner();
    assert!(cell.drain(&Arc::from("w0"), true));
    let id = world.submit(&mut cell, 1, spec(8, 60_000));
    world.step(&mut cell, 100);
    assert_eq!(
        world
            .worker_set
            .with("w0", |ledger: &mut Ledger| ledger.running()),
        Some(0)
    );
    assert_eq!(cell.status(&id).unwrap().running, 4);
    // The drain persists across owners.
    let mut new = world.active_owner();
    world.step(&mut new, 100);
    assert_eq!(
        world
            .worker_set
            .with("w0", |ledger: &mut Ledger| ledger.running()),
        Some(0)
    );
}

#[test]
fn unpersisted_job_is_not_started() {
    let mut world = World::new(1);
    let mut cell = world.active_owner();
    let id = job::id("h1", 1);
    cell.submit(&id, spec(2, 1000), 0).unwrap();
    cell.write_queue.stage(AfterWrite::ActivateJob(id.clone()));
    let batch = cell.take_batch().unwrap().unwrap();
    assert_eq!(pass::run(&mut cell, 10, world.now()).placed, 0);
    cell.batch_failed();
    assert_eq!(pass::run(&mut cell, 10, world.now()).placed, 0);
    assert!(cell.take_batch().unwrap().is_some());
    cell.batch_written(batch.version + 1);
    assert_eq!(pass::run(&mut cell, 10, world.now()).placed, 2);
}

#[test]
fn job_submitted_during_fencing_waits_for_write() {
    let mut world = World::new(1);
    let mut cell = world.take_over();
    let id = job::id("h1", 1);
    cell.submit(&id, spec(2, 1000), 0).unwrap();
    cell.write_queue.stage(AfterWrite::ActivateJob(id));
    world.exchange(&mut cell);
    cell.tick(world.now());
    world.exchange(&mut cell);
    assert!(cell.is_active());
    assert_eq!(pass::run(&mut cell, 10, world.now()).placed, 0);
    world.persist(&mut cell);
    assert_eq!(pass::run(&mut cell, 10, world.now()).placed, 2);
}

#[test]
fn reserved_indexes_limit_starts() {
    let mut world = World::new(1);
    world.items[0].size = Size::new(4_000_000, 4_000_000, 0);
    world.worker_set.add(&Arc::from("w0"), world.items[0].size);
    let mut cell = world.active_owner();
    world.submit(&mut cell, 1, spec(3000, 60_000));
    assert_eq!(pass::run(&mut cell, 5000, world.now()).placed, 1024);
    world.persist(&mut cell);
    assert_eq!(pass::run(&mut cell, 5000, world.now()).placed, 1024);
}
