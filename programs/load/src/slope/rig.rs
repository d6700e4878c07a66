//! A test rig: a cell with simulated workers in memory and a manual clock.

use {
    infra::{
        Size,
        boxes::{Item, Kind, List, State},
        worker::Workers,
    },
    lease::{LeaseTiming, Ownership},
    sched::limits::Limits,
    sched::record::CellRecord,
    sched::{Cell, Spec, job, pass, placement},
    standin::{Auditor, WorkerSet, clock::Clock},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    table::{Row, Table},
};

/// Capacity of a worker.
pub const WORKER: Size = Size::new(64_000, 250_000, 0);

/// Demand of a task: 64 fit on a worker.
pub const TASK: Size = Size::new(1000, 1000, 0);

/// The name of the cell.
const CELL_NAME: &str = "h1";

/// A cell with its workers and clock.
pub struct Rig {
    /// The cell.
    pub cell: Cell,
    worker_set: WorkerSet,
    clock: Clock,
    start: Instant,
    version: u64,
    jobs: u64,
}

/// Creates the list item of a worker.
pub fn item(at: usize, hall: &str) -> Item {
    let name: Arc<str> = Arc::from(format!("w{at:05}"));
    let url: Arc<str> = Arc::from(format!("http://10.{}.{}.1:7000", at / 250, at % 250));
    Item {
        services: [(Arc::from("worker"), url)].into(),
        name,
        kind: Kind::Worker,
        hall: Arc::from(hall),
        rack: Arc::from(format!("r{}", at / 8)),
        state: State::Live,
        size: WORKER,
        generation: Arc::from("g1"),
        class: Arc::from(""),
    }
}

/// Creates a table with this many batch rows.
pub fn table(rows: usize) -> Arc<Table> {
    let rows = (0..rows).map(|n| Row::batch(&format!("class{n}")));
    let rows = rows.map(|row| (row.class.clone(), row)).collect();
    Arc::new(Table { version: 1, rows })
}

impl Rig {
    /// Creates a cell with this many workers, all of which have reported.
    pub fn new(workers: usize) -> Self {
        let clock = Clock::manual();
        let worker_set = WorkerSet::new(clock.clone(), Auditor::new());
        let items: Vec<Item> = (0..workers).map(|at| item(at, CELL_NAME)).collect();
        for item in &items {
            worker_set.add(&item.name, WORKER);
        }
        let start = Instant::now();
        let ownership = Ownership::begin(Arc::from(CELL_NAME), 1);
        let Ok(policy) = placement::create("mixed") else {
            unreachable!("mixed is built in")
        };
        let mut cell = Cell::new(
            ownership,
            CellRecord::default(),
            0,
            LeaseTiming::default(),
            policy,
            start,
        );
        cell.update_workers(&items.iter().collect::<Vec<_>>());
        let list = List { version: 1, items };
        cell.set_limits(Limits::of(CELL_NAME, table(4), &list));
        let mut rig = Rig {
            cell,
            worker_set,
            clock,
            start,
            version: 0,
            jobs: 0,
        };
        rig.exchange();
        rig.cell.tick(rig.now());
        // The first exchange reports the clocks; the second grants the leases.
        rig.exchange();
        rig
    }

    /// The current simulated time.
    pub fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.clock.now())
    }

    /// Advances the clock.
    pub fn advance(&mut self, milliseconds: u64) {
        self.clock.advance(milliseconds);
    }

    /// Submits a job and persists it.
    pub fn submit(&mut self, count: u32, length: u64) {
        self.submit_many(1, count, length);
    }

    /// Submits jobs and persists them with one write.
    pub fn submit_many(&mut self, jobs: u32, count: u32, length: u64) {
        for _ in 0..jobs {
            self.jobs += 1;
            let id = job::id(CELL_NAME, self.jobs);
            let class = Arc::from(format!("class{}", self.jobs % 4));
            let spec = Spec {
                class,
                count,
                size: TASK,
                length,
                once: false,
                hall: None,
            };
            if let Err(failure) = self.cell.submit(&id, spec, 0) {
                unreachable!("a job of the experiment was refused: {failure}");
            }
            let begin = sched::write_queue::AfterWrite::ActivateJob(id);
            self.cell.write_queue.stage(begin);
        }
        self.commit();
    }

    /// Persists the record of the cell. Returns its size in bytes.
    pub fn commit(&mut self) -> usize {
        let Ok(Some(batch)) = self.cell.take_batch() else {
            return 0;
        };
        self.version += 1;
        self.cell.batch_written(self.version);
        batch.bytes.len()
    }

    /// Places up to `max_tasks` tasks. Returns how many were placed.
    pub fn place(&mut self, max_tasks: usize) -> usize {
        let now = self.now();
        pass::run(&mut self.cell, max_tasks, now).placed
    }

    /// Exchanges messages with every worker. Returns the owner's processing time.
    pub fn exchange(&mut self) -> Duration {
        let mut time_spent = Duration::ZERO;
        let now = self.now();
        for at in 0..self.cell.fleet.workers().len() {
            let started = Instant::now();
            let order = self.cell.next_order(at);
            time_spent += started.elapsed();
            let name = self.cell.fleet.worker(at).name.clone();
            let Ok(report) = self.worker_set.exchange(&name, &order) else {
                continue;
            };
            let started = Instant::now();
            self.cell.handle_report(at, &order, report, now);
            time_spent += started.elapsed();
        }
        time_spent
    }
}
