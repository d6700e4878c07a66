//! The loop that plays a day: arrivals, admission, the order of jobs, and the ends of steps.

use {
    magpie_policy::{
        admission::{Backlog, Demand, Due, Inflow, Kind, Pressure, Room, Verdict, estimate, judge},
        durations::{Durations, Ended, Profile, Queues},
        lateness::{Lateness, Objective, classify},
    },
    std::{cmp::Reverse, collections::BinaryHeap, sync::Arc},
};

/// The time step, in milliseconds.
const STEP: u64 = 10;
/// The interval at which jobs are ordered and boxes get new figures, in milliseconds.
const INTERVAL: u64 = 250;
/// The length of a day, in milliseconds. Arrivals end then.
const DAY: u64 = 60_000;
/// The burst, in milliseconds.
const BURST: std::ops::Range<u64> = 30_000..36_000;
/// 350 workers of 64 cores, in thousandths of a core.
const CAPACITY: u64 = 350 * 64_000;
/// The largest error of an estimate.
const ERROR: f64 = 0.9;
/// The queue's factor between the critical path and the objective.
const STRETCH: f64 = 1.5;

/// The jobs of one queue.
#[derive(Debug, Clone, Copy)]
struct Shape {
    queue: &'static str,
    /// Jobs per second.
    rate: f64,
    /// The share of jobs that have a second step.
    second: f64,
    /// Tasks of each step.
    tasks: u64,
    /// The mean length of a task, in milliseconds.
    length: u64,
    /// CPU of a task.
    cpu: u64,
    /// The constant part of the objective, in milliseconds.
    aim: u64,
}

/// Quick jobs and long ones, at half of the capacity together.
const SHAPES: [Shape; 2] = [
    Shape {
        queue: "quick",
        rate: 14.7,
        second: 0.6,
        tasks: 10,
        length: 800,
        cpu: 7_300,
        aim: 300,
    },
    Shape {
        queue: "long",
        rate: 19.8,
        second: 1.0,
        tasks: 20,
        length: 1_700,
        cpu: 7_000,
        aim: 1_000,
    },
];

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// The usual load, as a multiple of half of the capacity.
    pub load: f64,
    /// The load during the burst, as a multiple of the usual one.
    pub burst: f64,
    /// Jobs may be refused.
    pub admission: bool,
    /// Learned lengths replace the callers' estimates.
    pub learning: bool,
}

/// What became of a job.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// The time from submission to the objective, from true lengths.
    pub span: u64,
    /// The time from submission to the end; `None` if it was refused.
    pub end: Option<u64>,
}

impl Outcome {
    /// True if the job ended within this multiple of its objective.
    pub fn is_within(&self, multiple: u64) -> bool {
        self.end.is_some_and(|end| end <= multiple * self.span)
    }
}

/// An accepted job.
struct Job {
    shape: Shape,
    accepted: u64,
    /// The caller's estimate for a task, in milliseconds.
    estimate: u64,
    /// The length of each task of each step.
    lengths: Vec<Vec<u64>>,
    /// The current step, and how many of its tasks have started and ended.
    step: usize,
    started: usize,
    ended: usize,
    objective: Objective,
    lateness: Lateness,
    /// The shortest length that is expected of a step.
    low: u64,
}

impl Job {
    /// The work that is not started, given the length of a task.
    fn waiting(&self, length: u64) -> u64 {
        let tasks =
            self.shape.tasks * (self.lengths.len() - self.step) as u64 - self.started as u64;
        tasks * self.shape.cpu * length
    }
}

/// The state of a day.
pub struct Play {
    setting: Setting,
    random: fastrand::Rng,
    now: u64,
    free: u64,
    jobs: Vec<Job>,
    /// Accepted jobs that have not ended, in the order in which they go.
    order: Vec<usize>,
    /// Running tasks by their end, with their jobs.
    running: BinaryHeap<Reverse<(u64, usize)>>,
    durations: Queues,
    run_times: Queues,
    inflows: [Inflow; 2],
    pressure: Pressure,
    outcomes: Vec<Outcome>,
    /// The outcome of each accepted job, by its place.
    places: Vec<usize>,
}

impl Play {
    pub fn new(seed: u64, setting: Setting) -> Self {
        Play {
            setting,
            random: fastrand::Rng::with_seed(seed),
            now: 0,
            free: CAPACITY,
            jobs: Vec::new(),
            order: Vec::new(),
            running: BinaryHeap::new(),
            durations: Queues::default(),
            run_times: Queues::default(),
            inflows: [Inflow::default(); 2],
            pressure: Pressure::default(),
            outcomes: Vec::new(),
            places: Vec::new(),
        }
    }

    /// Plays the day until the last job has ended.
    pub fn run(mut self) -> Vec<Outcome> {
        while self.now < DAY || !self.order.is_empty() {
            self.now += STEP;
            self.end_tasks();
            if self.now < DAY {
                self.arrive();
            }
            if self.now.is_multiple_of(INTERVAL) {
                self.rerank();
            }
            self.start_tasks();
            if self.now.is_multiple_of(INTERVAL) {
                self.pressure = self.estimate();
            }
        }
        self.outcomes
    }

    fn arrive(&mut self) {
        for (number, shape) in SHAPES.into_iter().enumerate() {
            let burst = if BURST.contains(&self.now) {
                self.setting.burst
            } else {
                1.0
            };
            let mean = shape.rate * self.setting.load * STEP as f64 / 1_000.0;
            if self.random.f64() < mean * burst {
                // Other settings see the same jobs, however many numbers one of them draws.
                let seed = self.random.u64(..);
                self.submit(number, shape, &mut fastrand::Rng::with_seed(seed));
            }
        }
    }

    fn submit(&mut self, number: usize, shape: Shape, random: &mut fastrand::Rng) {
        let off = 1.0 + ERROR * (2.0 * random.f64() - 1.0);
        let estimate = (shape.length as f64 * off) as u64;
        let mut lengths = Vec::new();
        let steps = if random.f64() < shape.second { 2 } else { 1 };
        for _ in 0..steps {
            let length = |_| (shape.length as f64 * (0.7 + 0.6 * random.f64())) as u64;
            lengths.push((0..shape.tasks).map(length).collect::<Vec<u64>>());
        }
        let true_chain: u64 = lengths.iter().map(|step| step.iter().max().unwrap()).sum();
        let span = (true_chain as f64 * STRETCH) as u64 + shape.aim;
        let chain = estimate * steps;
        let run = self.pressure.run_time(shape.queue, Kind::Batch, chain);
        let demand = Demand {
            queue: shape.queue.into(),
            kind: Kind::Batch,
            chain,
            objective: (run as f64 * STRETCH) as u64 + shape.aim,
        };
        let pressure = self.setting.admission.then_some(&self.pressure);
        self.outcomes.push(Outcome { span, end: None });
        if judge(&demand, pressure) != Verdict::Accept {
            return;
        }
        let learned = self.learned(shape);
        let (predicted, low) = learned.map_or((estimate, estimate / 2), |learned| {
            (learned.predict(estimate), learned.low(estimate))
        });
        let span = (predicted as f64 * steps as f64 * STRETCH) as u64 + shape.aim;
        let work = steps * shape.tasks * shape.cpu * self.task_length(shape, estimate);
        self.inflows[number].add(work, span, self.now);
        self.order.push(self.jobs.len());
        self.places.push(self.outcomes.len() - 1);
        self.jobs.push(Job {
            shape,
            accepted: self.now,
            estimate,
            lengths,
            step: 0,
            started: 0,
            ended: 0,
            objective: Objective {
                at: self.now + span,
                span,
            },
            lateness: Lateness::InTime,
            low,
        });
    }

    fn learned(&self, shape: Shape) -> Option<&Durations> {
        let learned = self.durations.get(shape.queue);
        learned.filter(|_| self.setting.learning)
    }

    fn run_profile(&self, shape: Shape) -> Profile {
        let learned = self.run_times.get(shape.queue);
        let learned = learned.filter(|_| self.setting.learning);
        let profile = learned.and_then(Durations::profile);
        profile.unwrap_or(Profile::ESTIMATE)
    }

    /// The expected length of a task.
    fn task_length(&self, shape: Shape, estimate: u64) -> u64 {
        let learned = self.learned(shape);
        learned.map_or(estimate, |learned| learned.predict_task(estimate))
    }

    fn end_tasks(&mut self) {
        while let Some(&Reverse((at, number))) = self.running.peek()
            && at <= self.now
        {
            self.running.pop();
            let job = &mut self.jobs[number];
            self.free += job.shape.cpu;
            job.ended += 1;
            if job.ended as u64 == job.shape.tasks {
                self.end_step(number);
            }
        }
    }

    fn end_step(&mut self, number: usize) {
        let job = &mut self.jobs[number];
        let lengths = &job.lengths[job.step];
        let ended = Ended {
            estimate: job.estimate,
            longest: *lengths.iter().max().unwrap(),
            mean: lengths.iter().sum::<u64>() / job.shape.tasks,
        };
        let queue: Arc<str> = job.shape.queue.into();
        self.durations.record(&queue, ended);
        (job.step, job.started, job.ended) = (job.step + 1, 0, 0);
        if job.step == job.lengths.len() {
            let longest = job.lengths.iter().map(|step| step.iter().max().unwrap());
            let taken = longest.sum();
            let run_time = Ended {
                estimate: job.estimate * job.lengths.len() as u64,
                longest: taken,
                mean: taken,
            };
            self.run_times.record(&queue, run_time);
            self.outcomes[self.places[number]].end = Some(self.now - job.accepted);
            self.order.retain(|other| *other != number);
        }
    }

    fn rerank(&mut self) {
        for &number in &self.order {
            let job = &mut self.jobs[number];
            let rest = job.low * (job.lengths.len() - job.step) as u64;
            job.lateness = classify(job.objective, self.now, rest, job.lateness);
        }
    }

    fn start_tasks(&mut self) {
        let jobs = &self.jobs;
        self.order.sort_by_key(|&number| {
            let job = &jobs[number];
            (job.lateness, job.objective.at, number)
        });
        for &number in &self.order {
            let job = &mut self.jobs[number];
            while (job.started as u64) < job.shape.tasks && self.free >= job.shape.cpu {
                let length = job.lengths[job.step][job.started];
                self.running.push(Reverse((self.now + length, number)));
                self.free -= job.shape.cpu;
                job.started += 1;
            }
        }
    }

    fn estimate(&self) -> Pressure {
        let mut backlogs = Vec::new();
        for (shape, inflow) in SHAPES.into_iter().zip(&self.inflows) {
            let mut backlog = Backlog {
                queue: shape.queue.into(),
                kind: Kind::Batch,
                pool: "pool".into(),
                priority: 0,
                in_time: Vec::new(),
                late: 0,
                inflow: inflow.rate(self.now),
                span: inflow.span(),
                run: self.run_profile(shape),
            };
            for &number in &self.order {
                let job = &self.jobs[number];
                if job.shape.queue != shape.queue {
                    continue;
                }
                let work = job.waiting(self.task_length(shape, job.estimate));
                match job.lateness {
                    Lateness::InTime => backlog.in_time.push(Due {
                        until: job.objective.at.saturating_sub(self.now),
                        work,
                    }),
                    Lateness::Late => backlog.late += work,
                    Lateness::Worthless => continue,
                }
            }
            backlogs.push(backlog);
        }
        let has_ready = self.order.iter().any(|&number| {
            let job = &self.jobs[number];
            (job.started as u64) < job.shape.tasks
        });
        if !has_ready {
            return Pressure::default();
        }
        let room = Room {
            pool: "pool".into(),
            kind: Kind::Batch,
            cpu: CAPACITY,
        };
        estimate(&backlogs, &[room])
    }
}
