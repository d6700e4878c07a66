//! Measures the processor time of a cell's owner against the number of its workers, under the
//! workload of the larger deployments: serving tasks use four fifths of all processors, best-effort
//! tasks the rest.

mod work;
mod worker;

use {
    crate::fit::{self, Fit, Point},
    cell::{Cell, Entry, Order, Outcome, Timing},
    job::Step,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    worker::Worker,
};

/// Number of workers of the cell.
const WORKERS: [usize; 4] = [60, 120, 245, 490];
/// Duration of each simulation, in simulated milliseconds.
const DURATION: u64 = 12_000;
/// The simulation step, in milliseconds.
const STEP: u64 = 10;
/// Arrival rate of check jobs, per second and worker.
const CHECK_RATE: f64 = 0.021;
/// Arrival rate of best-effort jobs, per second and worker.
const BEST_EFFORT_RATE: f64 = 0.04;

/// The owner's processing time by activity.
#[derive(Default)]
struct OwnerTime {
    reports: Duration,
    passes: Duration,
    rest: Duration,
}

/// Simulates cells of several sizes and measures the owner's processing time.
pub fn run() -> Vec<Fit> {
    let mut reports = Vec::new();
    let mut passes = Vec::new();
    let mut rest = Vec::new();
    for workers in WORKERS {
        let spent = Simulation::new(workers).run();
        let per_second = |spent: Duration| Point {
            size: workers as f64,
            cost: spent.as_secs_f64() * 1e6 / DURATION as f64,
        };
        reports.push(per_second(spent.reports));
        passes.push(per_second(spent.passes));
        rest.push(per_second(spent.rest));
    }
    let against = "workers of the cell";
    vec![
        fit::line("owner: reports, ms a second", against, reports),
        fit::line("owner: placement, ms a second", against, passes),
        fit::line("owner: the rest, ms a second", against, rest),
    ]
}

/// A simulation of a cell, its workers and the arriving jobs.
struct Simulation {
    cell: Cell,
    workers: BTreeMap<Arc<str>, Worker>,
    random: fastrand::Rng,
    jobs: u64,
    now: u64,
    spent: OwnerTime,
}

impl Simulation {
    fn new(workers: usize) -> Self {
        let timing = Timing {
            lease: 6_000,
            stop: 900,
            pace: 100,
        };
        let mut simulation = Simulation {
            cell: Cell::new(timing),
            workers: BTreeMap::new(),
            random: fastrand::Rng::with_seed(11),
            jobs: 0,
            now: 1_000,
            spent: OwnerTime::default(),
        };
        let entries: Vec<Entry> = (0..workers).map(work::entry).collect();
        for entry in &entries {
            simulation
                .workers
                .insert(entry.id.clone(), Worker::default());
        }
        simulation.cell.handle_listing(entries, simulation.now);
        simulation
    }

    fn run(mut self) -> OwnerTime {
        let workers = self.workers.len();
        for _ in 0..workers / 3 {
            let step = work::serving(&mut self.random);
            self.submit(0, vec![step]);
        }
        let end = self.now + DURATION;
        let (mut checks, mut best_effort) = (0.0, 0.0);
        while self.now < end {
            checks += CHECK_RATE * workers as f64 * STEP as f64 / 1e3;
            best_effort += BEST_EFFORT_RATE * workers as f64 * STEP as f64 / 1e3;
            while checks >= 1.0 {
                checks -= 1.0;
                self.submit(0, vec![work::check(), work::check()]);
            }
            while best_effort >= 1.0 {
                best_effort -= 1.0;
                let steps = vec![
                    work::best_effort(&mut self.random, 0),
                    work::best_effort(&mut self.random, 1),
                ];
                self.submit(2, steps);
            }
            self.step();
            self.now += STEP;
        }
        self.spent
    }

    /// Simulates one step: reports, a placement pass, and the remaining work.
    fn step(&mut self) {
        self.deliver_reports();
        let started = Instant::now();
        self.cell.place(self.now);
        self.spent.passes += started.elapsed();
        let started = Instant::now();
        for (id, order) in self.cell.take_orders() {
            self.execute(&id, &order);
        }
        self.persist();
        if self.now.is_multiple_of(100) {
            self.cell.relocate(self.now);
            self.cell.rerank(self.now, self.now);
            self.cell.expire_leases(self.now);
        }
        self.spent.rest += started.elapsed();
    }

    /// Delivers the due reports of the workers to the cell.
    fn deliver_reports(&mut self) {
        for (id, worker) in &mut self.workers {
            let Some(report) = worker.report(self.now, &mut self.random) else {
                continue;
            };
            let started = Instant::now();
            self.cell.report(id, report, self.now, self.now, self.now);
            self.cell.next_poll(id, self.now);
            self.spent.reports += started.elapsed();
        }
    }

    /// Persists pending changes; workers discard the ends in them.
    fn persist(&mut self) {
        let batch = self.cell.take_write_batch(usize::MAX);
        for (id, number) in &batch.ends {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.discard_ends(*number);
            }
        }
        self.cell.batch_written(&batch);
    }

    fn execute(&mut self, id: &Arc<str>, order: &Order) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.execute(order, self.now, &mut self.random);
        self.cell.handle_outcome(id, order, Outcome::Done, self.now);
    }

    fn submit(&mut self, priority: u32, steps: Vec<Step>) {
        self.jobs += 1;
        let Some(submission) = work::submission(self.jobs, priority, steps, self.now) else {
            return;
        };
        let started = Instant::now();
        self.cell.admit(submission, self.now);
        self.spent.rest += started.elapsed();
    }
}
