//! A cell with workers in memory and a clock set by hand.

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

/// What a worker of the rig has.
pub const WORKER: Size = Size::new(64_000, 250_000, 0);

/// What a task of the rig needs: 64 fit on a worker.
pub const TASK: Size = Size::new(1000, 1000, 0);

/// The cell's name.
const CELL: &str = "h1";

/// The rig.
pub struct Rig {
    /// The cell.
    pub cell: Cell,
    worker_set: WorkerSet,
    clock: Clock,
    start: Instant,
    version: u64,
    jobs: u64,
}

/// A worker for a list.
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

/// A table with this many batch rows.
pub fn table(rows: usize) -> Arc<Table> {
    let rows = (0..rows).map(|n| Row::batch(&format!("class{n}")));
    let rows = rows.map(|row| (row.class.clone(), row)).collect();
    Arc::new(Table { version: 1, rows })
}

impl Rig {
    /// A cell that holds this many workers, all heard.
    pub fn new(workers: usize) -> Self {
        let clock = Clock::manual();
        let worker_set = WorkerSet::new(clock.clone(), Auditor::new());
        let items: Vec<Item> = (0..workers).map(|at| item(at, CELL)).collect();
        for item in &items {
            worker_set.add(&item.name, WORKER);
        }
        let start = Instant::now();
        let tenure = Ownership::begin(Arc::from(CELL), 1);
        let Ok(policy) = placement::create("mixed") else {
            unreachable!("mixed is built in")
        };
        let mut cell = Cell::new(
            tenure,
            CellRecord::default(),
            0,
            LeaseTiming::default(),
            policy,
            start,
        );
        cell.update_workers(&items.iter().collect::<Vec<_>>());
        let list = List { version: 1, items };
        cell.set_limits(Limits::of(CELL, table(4), &list));
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
        // The first exchange told the clocks; the second gives the leases.
        rig.exchange();
        rig
    }

    /// The time.
    pub fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.clock.now())
    }

    /// Lets the time pass.
    pub fn pass_time(&mut self, milliseconds: u64) {
        self.clock.advance(milliseconds);
    }

    /// Submits a job and writes it down.
    pub fn submit(&mut self, count: u32, length: u64) {
        self.submit_many(1, count, length);
    }

    /// Submits jobs and writes them down at once.
    pub fn submit_many(&mut self, jobs: u32, count: u32, length: u64) {
        for _ in 0..jobs {
            self.jobs += 1;
            let id = job::id(CELL, self.jobs);
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
                unreachable!("a job of the rig was refused: {failure}");
            }
            let begin = sched::write_queue::AfterWrite::ActivateJob(id);
            self.cell.write_queue.stage(begin);
        }
        self.commit();
    }

    /// Writes the book down.
    pub fn commit(&mut self) -> usize {
        let Ok(Some(batch)) = self.cell.take_batch() else {
            return 0;
        };
        self.version += 1;
        self.cell.batch_written(self.version);
        batch.bytes.len()
    }

    /// Places up to this many tasks. Returns how many were placed.
    pub fn place(&mut self, most: usize) -> usize {
        let now = self.now();
        pass::run(&mut self.cell, most, now).placed
    }

    /// Exchanges with every worker. Returns the time that the owner's part took.
    pub fn exchange(&mut self) -> Duration {
        let mut spent = Duration::ZERO;
        let now = self.now();
        for at in 0..self.cell.fleet.workers().len() {
            let started = Instant::now();
            let order = self.cell.next_order(at);
            spent += started.elapsed();
            let name = self.cell.fleet.worker(at).name.clone();
            let Ok(report) = self.worker_set.exchange(&name, &order) else {
                continue;
            };
            let started = Instant::now();
            self.cell.handle_report(at, &order, report, now);
            spent += started.elapsed();
        }
        spent
    }
}
