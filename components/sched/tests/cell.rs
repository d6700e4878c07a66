//! A cell against workers in memory, on a clock set by the test: takeovers, silence, restarts.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    infra::{
        Size,
        boxes::{Item, Kind, List, State},
        worker::Workers,
    },
    lease::{Tenure, Term},
    magpie_sched_core::{
        Cell, Spec, job, limits::Limits, pass, placement, record::CellRecord,
        write_queue::AfterWrite,
    },
    standin::{Farm, Witness, clock::Clock, ledger::Ledger},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    table::{Row, Table},
    test_case::test_case,
};

/// Milliseconds of a lease, and its drift.
const LEASE: u64 = 10_000;

/// A cell's world: workers, a clock, and the book as the store would hold it.
struct World {
    farm: Farm,
    clock: Clock,
    witness: Witness,
    start: Instant,
    items: Vec<Item>,
    book: CellRecord,
    epoch: u64,
    /// Workers that cannot be reached.
    cut: Vec<usize>,
}

fn item(at: usize) -> Item {
    Item {
        name: Arc::from(format!("w{at}")),
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
        let (clock, witness) = (Clock::manual(), Witness::new());
        let farm = Farm::new(clock.clone(), witness.clone());
        let items: Vec<Item> = (0..workers).map(item).collect();
        for item in &items {
            farm.add(&item.name, item.size);
        }
        let (start, book, cut) = (Instant::now(), CellRecord::default(), Vec::new());
        World {
            farm,
            clock,
            witness,
            start,
            items,
            book,
            epoch: 0,
            cut,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.clock.now())
    }

    /// A new owner with the next epoch and the book as it was last written.
    fn take_over(&mut self) -> Cell {
        self.epoch += 1;
        let tenure = Tenure::begin(Arc::from("h1"), self.epoch);
        let term = Term {
            length: Duration::from_millis(LEASE),
            drift: 10,
        };
        let policy = placement::create("packing").unwrap();
        let mut cell = Cell::new(
            tenure,
            self.book.clone(),
            self.epoch,
            term,
            policy,
            self.now(),
        );
        cell.merge(&self.items.iter().collect::<Vec<_>>());
        cell.set_limits(limits(&self.items));
        cell
    }

    /// An owner that holds the cell.
    fn owner(&mut self) -> Cell {
        let mut cell = self.take_over();
        self.step(&mut cell, 0);
        self.step(&mut cell, 1000);
        assert!(cell.is_active());
        cell
    }

    /// Lets the time pass, exchanges with every worker that can be reached, writes, and places.
    fn step(&mut self, cell: &mut Cell, milliseconds: u64) {
        self.clock.advance(milliseconds);
        self.farm.advance();
        self.exchange(cell);
        cell.tick(self.now());
        self.commit(cell);
        pass::run(cell, 1000, self.now());
        self.exchange(cell);
        assert_eq!(
            self.witness.totals().doubles,
            0,
            "a task runs in two places"
        );
        assert_eq!(
            self.witness.totals().refinished,
            0,
            "a finished task ran again"
        );
        assert_eq!(self.witness.totals().overfull, 0, "a worker is overfull");
    }

    fn exchange(&self, cell: &mut Cell) {
        for at in 0..self.items.len() {
            if self.cut.contains(&at) {
                continue;
            }
            let order = cell.next_order(at);
            if let Ok(report) = self.farm.exchange(&self.items[at].name, &order) {
                cell.on_report(at, &order, report, self.now());
            }
        }
    }

    fn commit(&mut self, cell: &mut Cell) {
        if let Some(batch) = cell.take_batch().unwrap() {
            self.book = kernel::wire::decode(&batch.bytes).unwrap();
            cell.batch_written(batch.version + 1);
        }
    }

    fn submit(&mut self, cell: &mut Cell, key: u64, spec: Spec) -> Arc<str> {
        let id = job::id("h1", key);
        cell.submit(&id, spec, 0).unwrap();
        cell.write_queue.stage(AfterWrite::ActivateJob(id.clone()));
        self.commit(cell);
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
fn take_over_adopts_running() {
    let mut world = World::new(2);
    let mut old = world.owner();
    let id = world.submit(&mut old, 1, spec(6, 5000));
    world.step(&mut old, 100);
    assert_eq!(world.witness.running(), 6);
    let mut new = world.owner();
    assert_eq!(
        (new.counts.adopted, new.status(&id).unwrap().running),
        (6, 6)
    );
    // The old owner's orders are refused from now on.
    let order = old.next_order(0);
    assert!(world.farm.exchange(&world.items[0].name, &order).is_err());
    world.step(&mut new, 5000);
    assert_eq!(new.status(&id).unwrap().finished, 6);
    assert_eq!(world.witness.totals().starts, 6);
}

#[test]
fn take_over_keeps_ends_not_written() {
    let mut world = World::new(1);
    let mut old = world.owner();
    let id = world.submit(&mut old, 1, spec(3, 500));
    world.step(&mut old, 100);
    // The tasks end, the old owner hears it, goes on exchanging, and dies before it writes.
    world.clock.advance(600);
    world.exchange(&mut old);
    world.exchange(&mut old);
    assert_eq!(old.status(&id).unwrap().finished, 3);
    drop(old);
    let mut new = world.owner();
    world.step(&mut new, 1000);
    assert_eq!(new.status(&id).unwrap().finished, 3);
    assert_eq!(world.witness.totals().starts, 3);
}

#[test]
fn take_over_holds_back_for_silent_worker() {
    let mut world = World::new(2);
    let mut old = world.owner();
    let id = world.submit(&mut old, 1, spec(6, 60_000));
    world.step(&mut old, 100);
    let unheard = world
        .farm
        .with("w0", |ledger: &mut Ledger| ledger.running())
        .unwrap();
    assert!(unheard > 0);
    world.cut = vec![0];
    let mut new = world.take_over();
    for _ in 0..3 {
        world.step(&mut new, 400);
    }
    let status = new.status(&id).unwrap();
    assert!(new.is_active());
    assert_eq!(
        (status.running, status.queued),
        (6 - unheard as u32, unheard as u32)
    );
    // The earlier owner left the list: once its leases are over the tasks run elsewhere.
    for _ in 0..6 {
        new.handle_predecessor_gone(world.now());
        world.step(&mut new, LEASE / 4);
    }
    assert_eq!(new.status(&id).unwrap().running, 4);
    // The silent worker comes back: it had stopped by itself.
    world.cut.clear();
    world.step(&mut new, 100);
    world.step(&mut new, 100);
    assert_eq!(new.status(&id).unwrap().running, 6);
}

#[test]
fn silent_worker_given_up_after_lease() {
    let mut world = World::new(2);
    let mut cell = world.owner();
    let id = world.submit(&mut cell, 1, spec(4, 60_000));
    world.step(&mut cell, 100);
    assert_eq!(
        world
            .farm
            .with("w0", |ledger: &mut Ledger| ledger.running()),
        Some(4)
    );
    world.cut = vec![0];
    world.step(&mut cell, LEASE - 1000);
    assert_eq!(cell.counts.lost, 0);
    world.step(&mut cell, 1200);
    world.step(&mut cell, 100);
    assert_eq!(
        (cell.counts.lost, cell.status(&id).unwrap().running),
        (4, 4)
    );
    assert_eq!(world.witness.running(), 4);
}

#[test]
fn restarted_worker_loses_tasks() {
    let mut world = World::new(1);
    let mut cell = world.owner();
    let id = world.submit(&mut cell, 1, spec(4, 2000));
    world.step(&mut cell, 100);
    world.farm.with("w0", Ledger::reboot);
    world.step(&mut cell, 100);
    world.step(&mut cell, 100);
    assert_eq!(cell.counts.lost, 4);
    world.step(&mut cell, 2100);
    assert_eq!(cell.status(&id).unwrap().finished, 4);
}

/// A task that crashes its workers is given up, in place of taking one worker after the other: a worker that has crashed
/// reports no failure of the task. (Seen in the incident of crashing tasks on another scheduler of this project.)
#[test]
fn task_under_which_workers_crash_is_given_up() {
    let mut world = World::new(2);
    let mut cell = world.owner();
    let id = world.submit(&mut cell, 1, spec(1, 5000));
    for _ in 0..20 {
        world.step(&mut cell, 100);
        if world.witness.running() == 0 {
            break;
        }
        for at in 0..2 {
            world
                .farm
                .with(&world.items[at].name.clone(), Ledger::reboot);
        }
    }
    let status = cell.status(&id).unwrap();
    assert_eq!((status.failed, status.ended), (1, true));
    assert_eq!(world.witness.totals().starts, 5);
}

/// One that has run for long each time is started again.
#[test]
fn task_that_ran_for_long_is_started_again() {
    let mut world = World::new(2);
    let mut cell = world.owner();
    let id = world.submit(&mut cell, 1, spec(1, 500_000));
    for _ in 0..8 {
        world.step(&mut cell, 100);
        for _ in 0..40 {
            world.step(&mut cell, 1_000);
        }
        for at in 0..2 {
            world
                .farm
                .with(&world.items[at].name.clone(), Ledger::reboot);
        }
    }
    world.step(&mut cell, 100);
    world.step(&mut cell, 100);
    assert_eq!(cell.status(&id).unwrap().running, 1);
}

#[test_case(false, 3, 0; "a task that may be repeated runs again")]
#[test_case(true, 0, 3; "a task that may not is unknown")]
fn restarted_worker_and_once(once: bool, finished: u32, unknown: u32) {
    let mut world = World::new(1);
    let mut cell = world.owner();
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
    assert_eq!(world.witness.running(), 3);
    world.farm.with("w0", Ledger::reboot);
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
fn once_not_started_before_mark() {
    let mut world = World::new(1);
    let mut cell = world.owner();
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
    world.commit(&mut cell);
    // Written down, but no task is marked yet.
    assert_eq!(pass::run(&mut cell, 10, world.now()).placed, 0);
    cell.write_queue.mark_dirty();
    world.commit(&mut cell);
    assert_eq!(pass::run(&mut cell, 10, world.now()).placed, 2);
}

#[test]
fn urgent_evicts_and_work_resumes() {
    let mut world = World::new(1);
    let mut cell = world.owner();
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
        (cell.counts.evictions, world.witness.totals().evictions),
        (1, 1)
    );
    world.step(&mut cell, 600);
    // The evicted task goes on from its checkpoint: all end 9 s after their start and the pause.
    world.step(&mut cell, 5400);
    assert_eq!(cell.status(&id).unwrap().finished, 3);
    world.step(&mut cell, 700);
    assert_eq!(cell.status(&id).unwrap().finished, 4);
}

/// What becomes of the order that brings a start, before its task is to be stopped.
enum Sent {
    /// It was not sent yet.
    Not,
    /// It is lost on its way.
    Lost,
    /// It is carried out, and the report is lost.
    Unreported,
}

impl World {
    /// Places what waits and lets the first worker's next order go this way.
    fn place(&self, cell: &mut Cell, sent: &Sent) {
        assert!(pass::run(cell, 10, self.now()).placed > 0);
        if matches!(sent, Sent::Not) {
            return;
        }
        let order = cell.next_order(0);
        if matches!(sent, Sent::Unreported) {
            self.farm.exchange(&self.items[0].name, &order).unwrap();
        }
    }
}

/// A worker carries the stops of an order out before its starts: a stop that went with its own start
/// found nothing there, and the task ran on though its job was cancelled.
#[test_case(Sent::Not; "not sent")]
#[test_case(Sent::Lost; "lost on its way")]
#[test_case(Sent::Unreported; "report lost")]
fn cancel_stops_a_start_not_known_as_told(sent: Sent) {
    let mut world = World::new(1);
    let mut cell = world.owner();
    let id = world.submit(&mut cell, 1, spec(3, 60_000));
    world.place(&mut cell, &sent);
    cell.cancel(&id).unwrap();
    for _ in 0..3 {
        world.step(&mut cell, 100);
    }
    let status = cell.status(&id).unwrap();
    assert_eq!((status.running, status.ended), (0, true));
    assert_eq!(world.witness.running(), 0);
}

/// The same with the stop that makes room for urgent work.
#[test_case(Sent::Not; "not sent")]
#[test_case(Sent::Lost; "lost on its way")]
#[test_case(Sent::Unreported; "report lost")]
fn urgent_evicts_a_start_not_known_as_told(sent: Sent) {
    let mut world = World::new(1);
    let mut cell = world.owner();
    let id = world.submit(&mut cell, 1, spec(4, 9_000));
    world.place(&mut cell, &sent);
    // A task that was placed less than 2 s ago is not evicted.
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
fn failing_worker_set_aside() {
    let mut world = World::new(2);
    let mut cell = world.owner();
    world
        .farm
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
fn drained_worker_gets_nothing() {
    let mut world = World::new(2);
    let mut cell = world.owner();
    assert!(cell.drain(&Arc::from("w0"), true));
    let id = world.submit(&mut cell, 1, spec(8, 60_000));
    world.step(&mut cell, 100);
    assert_eq!(
        world
            .farm
            .with("w0", |ledger: &mut Ledger| ledger.running()),
        Some(0)
    );
    assert_eq!(cell.status(&id).unwrap().running, 4);
    // The drain outlives its owner.
    let mut new = world.owner();
    world.step(&mut new, 100);
    assert_eq!(
        world
            .farm
            .with("w0", |ledger: &mut Ledger| ledger.running()),
        Some(0)
    );
}

#[test]
fn not_written_not_started() {
    let mut world = World::new(1);
    let mut cell = world.owner();
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
fn submitted_while_fencing_not_started_before_write() {
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
    world.commit(&mut cell);
    assert_eq!(pass::run(&mut cell, 10, world.now()).placed, 2);
}

#[test]
fn reserved_places_bound_starts() {
    let mut world = World::new(1);
    world.items[0].size = Size::new(4_000_000, 4_000_000, 0);
    world.farm.add(&Arc::from("w0"), world.items[0].size);
    let mut cell = world.owner();
    world.submit(&mut cell, 1, spec(3000, 60_000));
    assert_eq!(pass::run(&mut cell, 5000, world.now()).placed, 1024);
    world.commit(&mut cell);
    assert_eq!(pass::run(&mut cell, 5000, world.now()).placed, 1024);
}
