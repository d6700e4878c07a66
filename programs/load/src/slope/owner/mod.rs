//! The processor time of a cell's owner against the number of its workers, under the mix of work of
//! the larger deployments: four fifths of all processors serve, the rest is filled.

mod host;
mod work;

use {
    crate::fit::{self, Fit, Point},
    cell::{Cell, Entry, Order, Outcome, Timing},
    host::Host,
    job::Step,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Workers of a cell.
const WORKERS: [usize; 4] = [60, 120, 245, 490];
/// How long each size is driven, in simulated milliseconds.
const LENGTH: u64 = 12_000;
/// One step of simulated time, in milliseconds.
const STEP: u64 = 10;
/// Jobs of quick checks, a second and worker.
const CHECKS: f64 = 0.021;
/// Jobs of filling work, a second and worker.
const FILLS: f64 = 0.04;

/// Time spent by the owner, by what it did.
#[derive(Default)]
struct Spent {
    reports: Duration,
    passes: Duration,
    rest: Duration,
}

/// Drives cells of several sizes and times the owner's part.
pub fn run() -> Vec<Fit> {
    let mut reports = Vec::new();
    let mut passes = Vec::new();
    let mut rest = Vec::new();
    for workers in WORKERS {
        let spent = Play::new(workers).play();
        let per_second = |spent: Duration| Point {
            size: workers as f64,
            cost: spent.as_secs_f64() * 1e6 / LENGTH as f64,
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

/// A cell, its workers and the work that comes to it.
struct Play {
    cell: Cell,
    hosts: BTreeMap<Arc<str>, Host>,
    random: fastrand::Rng,
    jobs: u64,
    now: u64,
    spent: Spent,
}

impl Play {
    fn new(workers: usize) -> Self {
        let timing = Timing {
            lease: 6_000,
            stop: 900,
            pace: 100,
        };
        let mut play = Play {
            cell: Cell::new(timing),
            hosts: BTreeMap::new(),
            random: fastrand::Rng::with_seed(11),
            jobs: 0,
            now: 1_000,
            spent: Spent::default(),
        };
        let entries: Vec<Entry> = (0..workers).map(work::entry).collect();
        for entry in &entries {
            play.hosts.insert(entry.id.clone(), Host::default());
        }
        play.cell.handle_listing(entries, play.now);
        play
    }

    fn play(mut self) -> Spent {
        let workers = self.hosts.len();
        for _ in 0..workers / 3 {
            let step = work::serving(&mut self.random);
            self.submit(0, vec![step]);
        }
        let end = self.now + LENGTH;
        let (mut checks, mut fills) = (0.0, 0.0);
        while self.now < end {
            checks += CHECKS * workers as f64 * STEP as f64 / 1e3;
            fills += FILLS * workers as f64 * STEP as f64 / 1e3;
            while checks >= 1.0 {
                checks -= 1.0;
                self.submit(0, vec![work::check(), work::check()]);
            }
            while fills >= 1.0 {
                fills -= 1.0;
                let steps = vec![
                    work::filling(&mut self.random, 0),
                    work::filling(&mut self.random, 1),
                ];
                self.submit(2, steps);
            }
            self.step();
            self.now += STEP;
        }
        self.spent
    }

    /// Drives the cell for one step of time: reports, a pass of placement, and the rest.
    fn step(&mut self) {
        self.take_reports();
        let begun = Instant::now();
        self.cell.place(self.now);
        self.spent.passes += begun.elapsed();
        let begun = Instant::now();
        for (id, order) in self.cell.take_orders() {
            self.carry_out(&id, &order);
        }
        self.write();
        if self.now.is_multiple_of(100) {
            self.cell.relocate(self.now);
            self.cell.rerank(self.now, self.now);
            self.cell.expire_leases(self.now);
        }
        self.spent.rest += begun.elapsed();
    }

    /// Hands the cell what workers report now.
    fn take_reports(&mut self) {
        for (id, host) in &mut self.hosts {
            let Some(report) = host.report(self.now, &mut self.random) else {
                continue;
            };
            let begun = Instant::now();
            self.cell.report(id, report, self.now, self.now, self.now);
            self.cell.next_poll(id, self.now);
            self.spent.reports += begun.elapsed();
        }
    }

    /// Writes down what is to be written; workers forget the ends in it.
    fn write(&mut self) {
        let change = self.cell.take_write_batch(usize::MAX);
        for (id, number) in &change.ends {
            if let Some(host) = self.hosts.get_mut(id) {
                host.forget(*number);
            }
        }
        self.cell.batch_written(&change);
    }

    fn carry_out(&mut self, id: &Arc<str>, order: &Order) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        host.carry_out(order, self.now, &mut self.random);
        self.cell.handle_outcome(id, order, Outcome::Done, self.now);
    }

    fn submit(&mut self, priority: u32, steps: Vec<Step>) {
        self.jobs += 1;
        let Some(submission) = work::submission(self.jobs, priority, steps, self.now) else {
            return;
        };
        let begun = Instant::now();
        self.cell.admit(submission, self.now);
        self.spent.rest += begun.elapsed();
    }
}
