//! Randomized fault injection for jobs of all kinds: each accepted job has a task running or ends
//! while there is capacity, see [`crate::net_sim::Violation::StalledJob`].
//!
//! `STEADY_CASES`, `STEADY_FROM` and `STEADY_SHRINK` are as in [`crate::random_faults`].

use {
    crate::{
        common::{step, submission},
        net_sim::{self, Event, NetSim, Violation},
        random_faults::{ScheduledEvent, env_value, random_range},
    },
    fastrand::Rng,
    job::{Step, Submission, spec::Timetable},
    magpie_cell::Refusal,
};

/// Default number of cases.
const DEFAULT_CASES: u64 = 30;
/// Time span of the events, in milliseconds.
const EVENT_SPAN: u64 = 12_000;
/// Time before the first event, in milliseconds.
const FIRST_EVENT: u64 = 1_500;
/// Time from the last event to the end of a case, in milliseconds.
const SETTLING_TIME: u64 = 20_000;
/// Mean work of a job for each millisecond of the length of tasks, in millicores times milliseconds.
const JOB_WORK: u64 = 10_000;
/// The number of small jobs that are accepted while a former owner acts.
const MAX_BURST: usize = 60;
/// The times after the last event at which a job is submitted for each rack, in milliseconds.
const PROBE_TIMES: [u64; 2] = [3_000, 7_000];
/// The number of the first of these jobs.
const FIRST_PROBE: u64 = 10_000;
/// Seed modifier of these cases.
const SEED: u64 = 0x6a6f_6273;

/// A job of a case.
#[derive(Debug, Clone)]
struct JobPlan {
    number: u64,
    at: u64,
    steps: Vec<Step>,
    /// The repetitions, the time until the first one and the interval between two.
    timetable: Option<(u32, u64, u64)>,
    priority: u32,
    is_advised: bool,
    /// Places of tasks that crash their workers, and how long after their start.
    crashing: Vec<(usize, u64)>,
}

/// A test case: a cluster, its jobs and a sequence of events.
#[derive(Debug, Clone)]
struct Case {
    seed: u64,
    workers: usize,
    rack_size: usize,
    task_ms: u64,
    reuses_names: bool,
    is_gradual: bool,
    jobs: Vec<JobPlan>,
    events: Vec<ScheduledEvent>,
}

impl JobPlan {
    fn random(number: u64, at: u64, rng: &mut Rng, racks: usize) -> Self {
        if rng.u8(0..8) == 0 {
            return JobPlan::long_running(number, at, rng);
        }
        let count = [1, 1, 2, 2, 3][rng.usize(0..5)];
        let steps = (0..count).map(|number| random_step(number, rng, racks));
        let steps: Vec<Step> = steps.collect();
        let interval = rng.u64(10..=40) * 100;
        let timetable = (rng.u32(1..=4), rng.u64(0..=20) * 100, interval);
        JobPlan {
            number,
            at,
            steps,
            timetable: (rng.u8(0..10) == 0).then_some(timetable),
            priority: rng.u32(0..=1),
            is_advised: rng.u8(0..6) == 0,
            crashing: Vec::new(),
        }
    }

    fn long_running(number: u64, at: u64, rng: &mut Rng) -> Self {
        let step = Step {
            lasting: true,
            spread: rng.u32(0..=1),
            ..step(rng.u32(1..=6), rng.u64(1..=3) * 500)
        };
        JobPlan {
            number,
            at,
            steps: vec![step],
            timetable: None,
            priority: 0,
            is_advised: false,
            crashing: Vec::new(),
        }
    }

    /// A job of one task for a rack.
    fn probe(number: u64, at: u64, rack: usize) -> Self {
        let step = Step {
            label: Some(format!("r{rack}").into()),
            ..step(1, 500)
        };
        JobPlan {
            number,
            at,
            steps: vec![step],
            timetable: None,
            priority: 0,
            is_advised: false,
            crashing: Vec::new(),
        }
    }

    /// Lets some tasks of the first step crash their workers.
    fn crash(&mut self, rng: &mut Rng) {
        let tasks = self.steps[0].count as usize;
        let delay = rng.u64(1..=150) * 10;
        for _ in 0..rng.usize(1..=3) {
            self.crashing.push((rng.usize(0..tasks), delay));
        }
        self.crashing.sort_unstable();
        self.crashing.dedup_by_key(|(place, _)| *place);
    }

    fn submission(&self, now: u64) -> Submission {
        let id = net_sim::id(self.number);
        let mut submission = submission(id.as_str(), self.steps.clone());
        submission.queue.priority = self.priority;
        submission.queue.advised = self.is_advised;
        submission.spec.timetable = self.timetable.map(|(times, first, interval)| Timetable {
            times,
            first: now + first,
            interval,
        });
        submission
    }

    /// The same job with one thing less.
    fn reduced(&self) -> Vec<JobPlan> {
        let mut plans = Vec::new();
        if self.timetable.is_some() {
            plans.push(JobPlan {
                timetable: None,
                ..self.clone()
            });
        }
        if self.is_advised {
            plans.push(JobPlan {
                is_advised: false,
                ..self.clone()
            });
        }
        for number in 0..self.crashing.len() {
            let mut plan = self.clone();
            plan.crashing.remove(number);
            plans.push(plan);
        }
        if self.steps.len() > 1 && self.crashing.is_empty() {
            let mut plan = self.clone();
            plan.steps.pop();
            plans.push(plan);
        }
        for (number, step) in self.steps.iter().enumerate() {
            let mut plain = vec![
                Step {
                    gang: false,
                    one_rack: false,
                    ..step.clone()
                },
                Step {
                    spread: 0,
                    ..step.clone()
                },
                Step {
                    checkpoints: false,
                    ..step.clone()
                },
                Step {
                    copies: false,
                    ..step.clone()
                },
                Step {
                    fills: false,
                    ..step.clone()
                },
                Step {
                    label: None,
                    ..step.clone()
                },
                Step {
                    rack: None,
                    ..step.clone()
                },
            ];
            if step.count > 1 && self.crashing.is_empty() {
                plain.push(Step {
                    count: step.count - 1,
                    ..step.clone()
                });
            }
            plain.retain(|plain| plain != step);
            for plain in plain {
                let mut plan = self.clone();
                plan.steps[number] = plain;
                plans.push(plan);
            }
        }
        plans
    }
}

fn random_step(number: u16, rng: &mut Rng, racks: usize) -> Step {
    let is_one_in = |rng: &mut Rng, of: u8| rng.u8(0..of) == 0;
    let mut step = step(rng.u32(1..=6), rng.u64(1..=4) * 500);
    step.estimate = rng.u64(2..=25) * 100;
    if number > 0 && rng.u8(0..6) > 0 {
        step.after = vec![rng.u16(0..number)];
    }
    let rack = |rng: &mut Rng| Some(format!("r{}", rng.usize(0..racks)).into());
    step.gang = is_one_in(rng, 8);
    step.one_rack = step.gang && rng.bool();
    step.checkpoints = is_one_in(rng, 4);
    step.copies = !step.gang && is_one_in(rng, 8);
    step.fills = !step.gang && is_one_in(rng, 8);
    if is_one_in(rng, 6) {
        step.spread = rng.u32(1..=2);
    }
    if is_one_in(rng, 6) {
        step.label = rack(rng);
    }
    if is_one_in(rng, 6) {
        step.rack = rack(rng);
    }
    step
}

/// An event in the midst of a case.
fn random_event(at: u64, rng: &mut Rng, workers: usize) -> ScheduledEvent {
    let range = match rng.u8(0..3) {
        0 => 0..workers,
        _ => random_range(rng, workers),
    };
    let time = rng.u64(1..=50) * 100;
    let event = match rng.u8(0..14) {
        0 => Event::CloseHall(rng.usize(0..3), time),
        1 => Event::Saturate(range, time),
        2 => Event::Maintain(range, time),
        3 | 4 => {
            let down = rng.u64(1..=30) * 100;
            Event::Restart(range, down, rng.u64(0..=20) * 100, rng.u64(0..=1) * 2_000)
        }
        6 | 9 => Event::FailRuns(range, time),
        7 => {
            let reasons = [Refusal::Room, Refusal::Unwell, Refusal::NotSent];
            Event::RefuseStarts(range, time, reasons[rng.usize(0..3)])
        }
        8 => Event::DropAnswers(range, time, rng.bool().then(|| rng.u64(1..=50) * 100)),
        5 => return ScheduledEvent::around_takeover(at, rng, workers),
        _ => return ScheduledEvent::random(at, rng, workers),
    };
    ScheduledEvent {
        at,
        event,
        on_tasks: None,
    }
}

/// The events with which the faults end: all machines and the owner at the same moment, some of
/// them, or none. What an owner holds back wrongly shows only if it is not replaced.
fn last_events(at: u64, rng: &mut Rng, workers: usize) -> Vec<ScheduledEvent> {
    let all = 0..workers;
    let restart = |range, rng: &mut Rng| {
        Event::Restart(range, rng.u64(5..=30) * 100, rng.u64(0..=10) * 100, 0)
    };
    let takeover = Event::Takeover(0, rng.u64(0..=35) * 100);
    let events = match rng.u8(0..14) {
        0..4 => vec![restart(all, rng), takeover],
        4 => vec![restart(random_range(rng, workers), rng), takeover],
        5 => vec![takeover],
        6 => vec![restart(all, rng)],
        7 => {
            // The former owner resumes and starts jobs on workers that the new one does not reach.
            let gap = rng.u64(0..=5) * 100;
            let suspend = Event::Suspend(gap, rng.u64(0..=5) * 100, 3_000);
            vec![suspend, Event::Partition(all, gap + rng.u64(5..=20) * 100)]
        }
        _ => vec![],
    };
    let events = events.into_iter().map(|event| ScheduledEvent {
        at,
        event,
        on_tasks: None,
    });
    events.collect()
}

impl Case {
    fn random(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed ^ SEED);
        let workers = match rng.u8(0..3) {
            0 => rng.usize(6..=12),
            1 => rng.usize(12..=24),
            _ => rng.usize(12..=50),
        };
        let rack_size = [2, 4, 8][rng.usize(0..3)];
        let racks = workers.div_ceil(rack_size);
        let mut events = Vec::new();
        for _ in 0..rng.usize(1..=4) {
            let burst = rng.u64(FIRST_EVENT..EVENT_SPAN) / 10 * 10;
            for _ in 0..rng.usize(1..=4) {
                let at = burst + rng.u64(0..100) * 10;
                events.push(random_event(at, &mut rng, workers));
            }
        }
        if rng.u8(0..4) == 0 {
            let at = rng.u64(FIRST_EVENT..EVENT_SPAN) / 10 * 10;
            events.extend(ScheduledEvent::around_seals(at, &mut rng, workers));
        }
        let last = EVENT_SPAN + rng.u64(0..300) * 10;
        events.extend(last_events(last, &mut rng, workers));
        events.sort_by_key(|scheduled| scheduled.at);
        let mut jobs = Vec::new();
        let task_ms = rng.u64(3..=20) * 100;
        let load = rng.u64(5..=70);
        let interval = JOB_WORK * task_ms * 100 / (load * workers as u64 * 4_000);
        let mut at = 0;
        while at < last + 2_500 {
            jobs.push(JobPlan::random(1 + jobs.len() as u64, at, &mut rng, racks));
            at += rng.u64(1..=2 + interval / 5) * 10;
        }
        for _ in 0..rng.usize(0..=2) {
            // A job is accepted right before the last fault.
            let at = last - rng.u64(0..=20) * 10;
            jobs.push(JobPlan::random(1 + jobs.len() as u64, at, &mut rng, racks));
        }
        for _ in 0..rng.usize(0..=10) {
            // Jobs are accepted while the owner changes.
            let at = last + rng.u64(0..=250) * 10;
            jobs.push(JobPlan::random(1 + jobs.len() as u64, at, &mut rng, racks));
        }
        let mut scheduled = events.iter();
        if scheduled.any(|event| event.at == last && matches!(event.event, Event::Suspend(..))) {
            for _ in 0..MAX_BURST {
                let at = last + rng.u64(50..300) * 10;
                let number = 1 + jobs.len() as u64;
                jobs.push(JobPlan::probe(number, at, rng.usize(0..racks)));
            }
        }
        if rng.u8(0..3) == 0 {
            let crashing = rng.usize(1..=5);
            for _ in 0..crashing {
                let number = rng.usize(0..jobs.len());
                jobs[number].crash(&mut rng);
            }
        }
        Case {
            seed,
            workers,
            rack_size,
            task_ms,
            reuses_names: rng.bool(),
            is_gradual: rng.u8(0..3) > 0,
            jobs,
            events,
        }
    }

    /// Runs the case. Returns the first fault.
    fn run(&self) -> Option<Violation> {
        let mut sim = match self.reuses_names {
            true => NetSim::with_reused_names(self.workers, self.task_ms),
            false => NetSim::new(self.workers, self.task_ms),
        };
        sim.check_for_stalls(self.rack_size);
        if self.is_gradual {
            sim.take_over_gradually(self.seed);
        }
        let end = |scheduled: &ScheduledEvent| scheduled.at + scheduled.event.duration();
        let jobs_end = self.jobs.iter().map(|plan| plan.at).max();
        let last = self.events.iter().map(end).max().max(jobs_end);
        let last = last.unwrap_or_default();
        let probes = self.probes(last);
        for at in (0..last + SETTLING_TIME).step_by(10) {
            let plans = self.jobs.iter().chain(&probes);
            for plan in plans.filter(|plan| plan.at == at) {
                let submission = plan.submission(sim.now);
                for &(place, after) in &plan.crashing {
                    sim.crash_on_start(&submission.id, place, after);
                }
                sim.accept(submission);
            }
            for scheduled in self.events.iter().filter(|event| event.at == at) {
                scheduled.apply(&mut sim);
            }
            sim.advance(10);
            if sim.violation.is_some() {
                break;
            }
        }
        sim.violation
    }

    /// Jobs for each rack, which stand still if its workers get no work any more.
    fn probes(&self, last: u64) -> Vec<JobPlan> {
        let mut probes = Vec::new();
        for time in PROBE_TIMES {
            for rack in 0..self.workers.div_ceil(self.rack_size) {
                let number = FIRST_PROBE + probes.len() as u64;
                probes.push(JobPlan::probe(number, last + time, rack));
            }
        }
        probes
    }

    /// Minimizes a case that fails with the same kind of fault.
    fn minimize(mut self, violation: &Violation) -> Self {
        let fails = |case: &Case| {
            case.run()
                .is_some_and(|other| other.is_same_kind(violation))
        };
        loop {
            let mut reduced = self.reduced().into_iter();
            let Some(found) = reduced.find(fails) else {
                return self;
            };
            self = found;
        }
    }

    /// Cases reduced by one element.
    fn reduced(&self) -> Vec<Case> {
        let mut cases = Vec::new();
        for part in [self.jobs.len() / 2, self.jobs.len() / 4] {
            for number in 0..self.jobs.len().checked_div(part).unwrap_or_default() {
                let mut case = self.clone();
                case.jobs.drain(number * part..number * part + part);
                cases.push(case);
            }
        }
        for number in 0..self.events.len() {
            let mut case = self.clone();
            case.events.remove(number);
            cases.push(case);
        }
        for number in 0..self.jobs.len() {
            let mut case = self.clone();
            case.jobs.remove(number);
            cases.push(case);
        }
        for (number, plan) in self.jobs.iter().enumerate() {
            for plan in plan.reduced() {
                let mut case = self.clone();
                case.jobs[number] = plan;
                cases.push(case);
            }
        }
        for (number, scheduled) in self.events.iter().enumerate() {
            for scheduled in scheduled.reduced() {
                let mut case = self.clone();
                case.events[number] = scheduled;
                cases.push(case);
            }
        }
        cases
    }
}

/// No job has nothing running for 3 s beside free capacity, once there have been no faults for 4 s,
/// and none from 10 s after the last event on. No job without a fault of its own fails.
#[test]
fn jobs_do_not_stall() {
    let (from, cases) = (
        env_value("STEADY_FROM", 0),
        env_value("STEADY_CASES", DEFAULT_CASES),
    );
    let minimized = env_value("STEADY_SHRINK", 1);
    let mut violations = Vec::new();
    for seed in from..from + cases {
        let case = Case::random(seed);
        let Some(violation) = case.run() else {
            continue;
        };
        println!("{seed}: {violation:?}");
        if (violations.len() as u64) < minimized {
            let least = case.minimize(&violation);
            println!("minimized: {:?} {least:?}", least.run());
        }
        violations.push(violation);
    }
    assert!(
        violations.is_empty(),
        "{} of {cases} fail",
        violations.len()
    );
}
