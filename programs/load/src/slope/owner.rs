//! The processor time of a cell's owner against the number of its workers, under the mix of work of
//! the larger deployments: four fifths of all processors serve, the rest is filled.

use {
    crate::fit::{self, Fit, Point},
    cell::{Cell, End, Entry, How, Order, Outcome, Report, Run, Start, Timing},
    job::{Id, Queue, Spec, Step, Submission, spec::Size},
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
/// Between two reports of a worker without news, in milliseconds.
const REPORT_GAP: u64 = 500;
/// Processors of a worker, in thousandths of a core.
const CORES: u64 = 18_000;
/// Jobs a second and worker of quick checks and of filling work.
const CHECKS: f64 = 0.021;
const FILLS: f64 = 0.04;
/// Images of serving and of filling tasks.
const SERVING: u64 = 10;
const FILLING: u64 = 18;

/// A run on a worker.
struct Running {
    start: Start,
    ends: u64,
    tail: bool,
}

/// A worker as the experiment plays it.
#[derive(Default)]
struct Host {
    running: BTreeMap<(Id, usize), Running>,
    ended: Vec<End>,
    ends: u64,
    reported: u64,
}

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
        let entries: Vec<Entry> = (0..workers).map(entry).collect();
        for entry in &entries {
            play.hosts.insert(entry.id.clone(), Host::default());
        }
        play.cell.list(entries, play.now);
        play
    }

    fn play(mut self) -> Spent {
        let workers = self.hosts.len();
        for _ in 0..workers / 3 {
            let step = self.serving();
            self.submit(0, vec![step]);
        }
        let end = self.now + LENGTH;
        let (mut checks, mut fills) = (0.0, 0.0);
        while self.now < end {
            checks += CHECKS * workers as f64 * STEP as f64 / 1e3;
            fills += FILLS * workers as f64 * STEP as f64 / 1e3;
            while checks >= 1.0 {
                checks -= 1.0;
                self.submit(0, vec![check(), check()]);
            }
            while fills >= 1.0 {
                fills -= 1.0;
                let steps = vec![self.filling(0), self.filling(1)];
                self.submit(2, steps);
            }
            self.step();
            self.now += STEP;
        }
        self.spent
    }

    fn step(&mut self) {
        let ids: Vec<Arc<str>> = self.hosts.keys().cloned().collect();
        for id in ids {
            if let Some(report) = self.report_of(&id) {
                let begun = Instant::now();
                self.cell.report(&id, report, self.now, self.now, self.now);
                self.cell.poll(&id, self.now);
                self.spent.reports += begun.elapsed();
            }
        }
        let begun = Instant::now();
        self.cell.place(self.now);
        self.spent.passes += begun.elapsed();
        let begun = Instant::now();
        for (id, order) in self.cell.take_orders() {
            self.carry_out(&id, order);
        }
        let change = self.cell.take_change(usize::MAX);
        for (id, number) in &change.ends {
            if let Some(host) = self.hosts.get_mut(id) {
                host.ended.retain(|end| end.number > *number);
            }
        }
        self.cell.written(&change);
        if self.now.is_multiple_of(100) {
            self.cell.relocate(self.now);
            self.cell.rerank(self.now);
            self.cell.lapse(self.now);
        }
        self.spent.rest += begun.elapsed();
    }

    /// What a worker reports now, if it has news or it is time.
    fn report_of(&mut self, id: &Arc<str>) -> Option<Report> {
        let now = self.now;
        let host = self.hosts.get_mut(id)?;
        let over: Vec<_> = host
            .running
            .iter()
            .filter(|(_, run)| run.ends <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &over {
            let Some(run) = host.running.remove(key) else {
                continue;
            };
            host.ends += 1;
            host.ended.push(End {
                number: host.ends,
                job: run.start.key.job,
                address: run.start.address,
                run: run.start.run,
                how: How::Done,
                saved: None,
            });
        }
        if over.is_empty() && now < host.reported + REPORT_GAP {
            return None;
        }
        host.reported = now;
        let mut running = Vec::with_capacity(host.running.len());
        for run in host.running.values() {
            running.push(Run {
                job: run.start.key.job.clone(),
                address: run.start.address,
                run: run.start.run,
                saved: None,
                progress: 50,
                figure: if run.tail {
                    self.random.u64(12..40)
                } else {
                    self.random.u64(800..2_500)
                },
            });
        }
        Some(Report {
            clock: now + 50_000,
            running,
            ended: host.ended.clone(),
        })
    }

    fn carry_out(&mut self, id: &Arc<str>, order: Order) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        match &order {
            Order::Start(start) => {
                let tail = &*start.text == "serving";
                let length = if tail {
                    u64::MAX / 2
                } else {
                    self.random.u64(500..3_500)
                };
                let run = Running {
                    start: start.clone(),
                    ends: self.now + length,
                    tail,
                };
                let key = (start.key.job.clone(), start.key.place);
                host.running.insert(key, run);
            }
            Order::Stop { key, .. } => {
                if let Some(run) = host.running.get_mut(&(key.job.clone(), key.place)) {
                    run.ends = self.now;
                }
            }
            Order::Pace { .. } => {}
        }
        self.cell.answered(id, &order, Outcome::Done, self.now);
    }

    fn submit(&mut self, priority: u32, steps: Vec<Step>) {
        self.jobs += 1;
        let text = if steps[0].lasting { "serving" } else { "work" };
        let Some(id) = Id::new(&format!("{:016x}", self.jobs * 7_919)) else {
            return;
        };
        let submission = Submission {
            id,
            spec: Spec {
                text: text.into(),
                steps,
                timetable: None,
            },
            queue: Queue {
                name: "queue".into(),
                host: "host".into(),
                prefix: "/".into(),
                pool: "pool".into(),
                priority,
                attempts: 3,
                stretch: 2.0,
                target: 1_000,
                advised: false,
            },
            accepted: self.now,
        };
        let begun = Instant::now();
        self.cell.admit(submission, self.now);
        self.spent.rest += begun.elapsed();
    }

    fn serving(&mut self) -> Step {
        let image = self.random.u64(0..SERVING);
        Step {
            lasting: true,
            target: 50,
            image: Some(format!("serving-{image}").into()),
            spread: if self.random.bool() { 2 } else { 0 },
            ..step(14, 3_100, 6_400)
        }
    }

    fn filling(&mut self, number: u16) -> Step {
        let image = self.random.u64(0..FILLING);
        Step {
            fills: true,
            checkpoints: true,
            image: Some(format!("filling-{image}").into()),
            after: (number > 0).then_some(number - 1).into_iter().collect(),
            ..step(20, 1_800, 3_200)
        }
    }
}

fn check() -> Step {
    step(8, 2_800, 5_600)
}

fn step(count: u32, cpu: u64, memory: u64) -> Step {
    Step {
        count,
        size: Size {
            cpu,
            memory,
            gpus: 0,
        },
        estimate: 2_000,
        ..Step::default()
    }
}

fn entry(number: usize) -> Entry {
    Entry {
        id: format!("worker-{number:05}").into(),
        pool: "pool".into(),
        address: format!("10.0.0.1:{number}").into(),
        hall: "h1".into(),
        size: Size {
            cpu: CORES,
            memory: 64_000,
            gpus: 0,
        },
        labels: vec!["a".into(), format!("r{}", number / 12).into()],
        leaving: false,
        remaining: None,
    }
}
