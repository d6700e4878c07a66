//! Jobs that stand still although most capacity is free, and jobs whose starts are not confirmed.

use {
    crate::{
        common::{JOB, World, end, large_cell, run, step, submission},
        crash_evidence::MixedLoad,
        run_log::{lines, record_log},
        sim::{CRASH_AFTER, Sim},
    },
    job::{Crashes, Id, Record, State, Step},
    magpie_cell::{ClosedBy, EndCause, Entry, Order, Outcome, Refusal, Stalled},
    std::{collections::HashMap, ops::RangeInclusive},
    test_case::test_case,
};

/// Maximum time without a run of a job that has ready tasks, in milliseconds, while most capacity
/// is free.
const MAX_IDLE: u64 = 3_000;
/// Unix time at the start of the clock of a [`World`], in milliseconds.
const WALL_OFFSET: u64 = 1_000_000;
/// The maximum number of lines of a kind at once.
const MAX_LINES: usize = 4;
/// The maximum number of runs named in a line.
const MAX_RUNS: usize = 4;
const READY_LINE: &str = "Job is stalled although most capacity is free.";
const RUNS_LINE: &str = "No run of a job is confirmed.";
const OTHER_JOB: &str = "00000000000000b1";

impl World {
    fn wall(&self) -> u64 {
        WALL_OFFSET + self.now
    }

    fn stalled(&mut self) -> Stalled {
        self.cell.log_stalled(self.wall(), self.now)
    }

    /// Submits a job that is accepted now.
    fn accept(&mut self, id: &str, steps: Vec<Step>) {
        let mut submission = submission(id, steps);
        submission.accepted = self.wall();
        assert!(self.cell.admit(submission, self.wall()));
    }

    /// Lets a job of one task run on the only worker, and closes its hall.
    fn occupy(&mut self, step: Step) {
        self.accept(OTHER_JOB, vec![step]);
        for (worker, start) in self.starts() {
            self.answer(&worker, &start, Outcome::Done);
        }
        self.cell.set_closed_halls(["h1".into()].into());
    }

    /// Waits until a ready job is stalled. Returns the numbers.
    fn stalled_later(&mut self) -> Stalled {
        assert_eq!(self.stalled(), Stalled::default());
        self.now += MAX_IDLE + 1;
        self.cell.rerank(self.wall(), self.now);
        self.starts();
        self.stalled()
    }
}

fn serving(cpu: u64) -> Step {
    Step {
        lasting: true,
        target: 100,
        ..step(1, cpu)
    }
}

/// A job that waits beside free capacity is counted, one that waits for capacity is not.
#[test_case(1_000, 1; "free capacity")]
#[test_case(3_000, 0; "scarce capacity")]
fn log_stalled_counts_jobs(used: u64, expected: usize) {
    let mut world = World::new(&["w1"]);
    world.occupy(step(1, used));
    world.accept(JOB, vec![step(1, 100)]);
    assert_eq!(world.stalled_later().jobs, expected);
}

/// Guards against silence where serving tasks reserve most capacity and use little of it.
#[test_case(500, 1; "fits")]
#[test_case(2_000, 0; "no worker has room")]
fn log_stalled_counts_unused_capacity(cpu: u64, expected: usize) {
    let mut world = World::new(&["w1"]);
    world.occupy(serving(3_000));
    world.accept(JOB, vec![step(1, cpu)]);
    assert_eq!(world.stalled_later().jobs, expected);
}

/// Guards against a first ready task that has no room and hides others that have.
#[test]
fn log_stalled_checks_each_ready_step() {
    let mut world = World::new(&["w1"]);
    world.cell.set_closed_halls(["h1".into()].into());
    world.accept(JOB, vec![step(2, 9_000), step(2, 100)]);
    record_log();
    assert_eq!(world.stalled_later().jobs, 1);
    let expected = [0, 2].map(|place| format!("{READY_LINE} {JOB} {place} Accepted 0"));
    assert_eq!(lines(READY_LINE), expected);
}

/// Guards against unanswered starts that count as progress.
#[test]
fn log_stalled_counts_unanswered_starts() {
    let mut world = large_cell(8);
    world.accept(JOB, vec![step(2, 100)]);
    record_log();
    let mut counts = Stalled::default();
    let begun = world.now;
    let mut starts = 0;
    while world.now <= begun + MAX_IDLE {
        assert_eq!(counts, Stalled::default());
        for (worker, start) in world.starts() {
            starts += 1;
            world.answer(&worker, &start, Outcome::Unknown);
            world.now += 1;
            world.report(&worker, vec![], vec![]);
            let stop = Order::Stop {
                address: start.address,
                run: start.run,
                key: start.key,
            };
            // The last ones remain unanswered.
            if world.now < begun + 2_000 {
                let outcome = Outcome::Done;
                world
                    .cell
                    .handle_outcome(&worker, &stop, outcome, world.now);
            }
        }
        world.now += 500;
        for number in 0..8 {
            world.report(&format!("w{number:05}"), vec![], vec![]);
        }
        counts = world.stalled();
    }
    let expected = Stalled {
        jobs: 1,
        not_begun: 1,
    };
    assert_eq!(counts, expected);
    assert!(starts > 4);
    let lines = lines(RUNS_LINE);
    assert_eq!(lines.len(), 1, "{lines:?}");
    let line = &lines[0];
    assert!(line.ends_with(&format!("Accepted {starts} 0 2")), "{line}");
    assert_eq!(line.matches(":Stop:").count(), 2, "{line}");
}

/// Starts that are not answered at all, also while no capacity is free.
#[test_case(100, 1_000, 1; "free capacity")]
#[test_case(3_000, 1_000, 1; "capacity reserved for them")]
#[test_case(100, 3_000, 0; "scarce capacity")]
fn log_stalled_counts_sent_starts(cpu: u64, used: u64, jobs: usize) {
    let mut world = World::new(&["w1"]);
    world.occupy(step(1, used));
    world.cell.set_closed_halls([].into());
    world.report("w1", vec![run(OTHER_JOB, 0, 1)], vec![]);
    world.accept(JOB, vec![step(1, cpu)]);
    let (worker, start) = world.starts()[0].clone();
    record_log();
    world.now += MAX_IDLE;
    assert_eq!(world.stalled(), Stalled::default());
    world.now += 1;
    let expected = Stalled { jobs, not_begun: 1 };
    assert_eq!(world.stalled(), expected);
    let expected = format!("{RUNS_LINE} {JOB} 0.1@w1:Leases:0 Accepted 1 1 0");
    assert_eq!(lines(RUNS_LINE), [expected]);
    world.answer(&worker, &start, Outcome::Done);
    assert_eq!(world.stalled(), Stalled::default());
}

/// A run that is confirmed between two checks is progress.
#[test]
fn log_stalled_restarts_after_run() {
    let mut world = World::new(&["w1"]);
    world.accept(JOB, vec![step(1, 100)]);
    let (worker, start) = world.starts()[0].clone();
    world.now += MAX_IDLE - 100;
    assert_eq!(world.stalled(), Stalled::default());
    world.answer(&worker, &start, Outcome::Done);
    world.report("w1", vec![], vec![end(1, JOB, 0, 1, EndCause::Failed)]);
    world.cell.set_closed_halls(["h1".into()].into());
    world.now += 200;
    record_log();
    assert_eq!(world.stalled_later().jobs, 1);
    assert_eq!(lines(READY_LINE), [format!("{READY_LINE} {JOB} 0 Idle 0")]);
}

/// Guards against owners each of which counts anew: a job that never ran is counted at once.
#[test_case(State::Queued, 1, "Accepted"; "never ran")]
#[test_case(State::Running, 0, "Takeover"; "ran before")]
fn log_stalled_counts_across_owners(state: State, at_once: usize, since: &str) {
    let mut world = World::without_reports(&["w1"]);
    let mut submission = submission(JOB, vec![step(1, 100)]);
    submission.accepted = world.wall() - MAX_IDLE - 1;
    let record = Record {
        state,
        ..Record::default()
    };
    world.cell.resume(submission, &record, world.wall());
    world.cell.recover_gradually(world.now, 8);
    record_log();
    assert_eq!(world.stalled().jobs, at_once);
    world.now += MAX_IDLE + 1;
    assert_eq!(world.stalled().jobs, 1);
    let lines = lines(READY_LINE);
    assert_eq!(lines.len(), 1 + at_once);
    assert!(lines.iter().all(|line| line.contains(since)), "{lines:?}");
}

/// Guards against a line for each of many jobs and tasks.
#[test]
fn log_stalled_lines_are_bounded() {
    let mut world = World::new(&["w1"]);
    world.cell.set_closed_halls(["h1".into()].into());
    for number in 1..=20 {
        world.accept(&job_id(number), vec![step(4, 1), step(4, 2)]);
    }
    record_log();
    assert_eq!(world.stalled_later().jobs, 20);
    assert_eq!(lines(READY_LINE).len(), MAX_LINES);
    world.cell.set_closed_halls([].into());
    world.report("w1", vec![], vec![]);
    world.starts();
    world.now += MAX_IDLE + 1;
    let counts = world.stalled();
    assert_eq!((counts.jobs, counts.not_begun), (20, 20));
    let lines = lines(RUNS_LINE);
    assert_eq!(lines.len(), MAX_LINES);
    let named = |line: &String| line.matches("@w1").count();
    assert!(
        lines.iter().all(|line| named(line) == MAX_RUNS),
        "{lines:?}"
    );
}

/// Each worker that may be given no work is counted under one reason.
#[test]
fn summary_counts_closed_workers() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut world = World::new(&names);
    world.accept(JOB, vec![step(2, 4_000)]);
    let starts = world.starts();
    let outcomes = [Outcome::Unknown, Outcome::Refused(Refusal::Unwell)];
    for ((worker, start), outcome) in starts.iter().zip(outcomes) {
        world.answer(worker, start, outcome);
    }
    let used: Vec<&str> = starts.iter().map(|(worker, _)| &**worker).collect();
    let unused: Vec<&str> = names
        .into_iter()
        .filter(|name| !used.contains(name))
        .collect();
    let mut entries: Vec<Entry> = world.cell.entries().cloned().collect();
    for entry in &mut entries {
        entry.leaving = &*entry.id == unused[0];
    }
    world.list(entries);
    world.cell.poll_failed(unused[1], world.now);
    world.cell.set_backpressured([unused[2].into()].into());
    let summary = world.cell.summary(world.now);
    let reasons = [
        ClosedBy::Unanswered,
        ClosedBy::Refused,
        ClosedBy::Leaving,
        ClosedBy::Unheard,
        ClosedBy::Backpressure,
    ];
    for reason in ClosedBy::ALL {
        let expected = usize::from(reasons.contains(&reason));
        assert_eq!(summary.closed.count(reason), expected, "{reason:?}");
    }
    let expected = "leaving=1 unheard=1 unanswered=1 refused=1 backpressure=1";
    assert_eq!(summary.closed.to_string(), expected);
    world.now += 500;
    let summary = world.cell.summary(world.now);
    assert_eq!(summary.closed.count(ClosedBy::Unanswered), 0);
    assert_eq!(summary.closed.count(ClosedBy::Refused), 0);
}

fn job_id(number: u64) -> String {
    format!("{number:016x}")
}

/// The records of jobs under whose first task two workers have crashed.
fn suspect_records(jobs: u64) -> Vec<(Id, Record)> {
    let record = Record {
        state: State::Running,
        run: 2,
        crashed: vec![(
            0,
            Crashes {
                early: 2,
                all: 2,
                ..Crashes::default()
            },
        )],
        ..Record::default()
    };
    (1..=jobs)
        .map(|number| (Id::new(&job_id(number)).unwrap(), record.clone()))
        .collect()
}

/// Advances the simulation and returns the longest time for which a job had nothing running, in
/// milliseconds, and that job.
fn longest_idle(sim: &mut Sim, jobs: RangeInclusive<u64>, time: u64) -> (u64, String) {
    const SLICE: u64 = 50;
    let mut idle: HashMap<String, u64> = HashMap::new();
    let mut longest = (0, String::new());
    for _ in 0..time / SLICE {
        sim.advance(SLICE);
        for id in jobs.clone().map(job_id) {
            let is_over = sim.state(&id).is_some_and(State::is_final);
            let since = idle.entry(id.clone()).or_default();
            if is_over || sim.machine_of(&id, 0).is_some() {
                *since = 0;
                continue;
            }
            *since += SLICE;
            longest = longest.max((*since, id));
        }
    }
    longest
}

/// Guards against suspects that wait in line for their isolated trials, one at a time.
#[test_case(4, false)]
#[test_case(12, false)]
#[test_case(12, true; "12, held polls")]
fn suspects_of_several_jobs_start_beside_free_capacity(jobs: u64, holds_polls: bool) {
    let mut sim = Sim::new(48, 1_700);
    if holds_polls {
        sim.hold_polls();
    }
    for number in 1..=jobs {
        sim.submit(&job_id(number), step(1, 1_000));
    }
    sim.take_over(&suspect_records(jobs));
    let (longest, job) = longest_idle(&mut sim, 1..=jobs, 20_000);
    assert!(longest <= MAX_IDLE, "{job} had no run for {longest} ms");
}

/// The same for healthy suspects behind those of other jobs that crash their workers again.
#[test_case(3, false)]
#[test_case(8, false)]
#[test_case(8, true; "8, held polls")]
fn suspects_start_beside_crashing_ones(crashing: u64, holds_polls: bool) {
    let jobs = crashing + 4;
    let mut sim = Sim::new(48, 1_700);
    if holds_polls {
        sim.hold_polls();
    }
    for number in 1..=jobs {
        sim.submit(&job_id(number), step(1, 1_000));
    }
    for number in 1..=crashing {
        sim.crash_on_start(&job_id(number), 0, CRASH_AFTER);
    }
    sim.take_over(&suspect_records(jobs));
    let healthy = crashing + 1..=jobs;
    let (longest, job) = longest_idle(&mut sim, healthy.clone(), 40_000);
    assert!(longest <= MAX_IDLE, "{job} had no run for {longest} ms");
    for number in healthy {
        assert_eq!(sim.state(&job_id(number)), Some(State::Completed));
    }
}

/// Guards against holds of suspects that add up: those of crashes that are not persisted, then not
/// weighed, then of a delayed trial. Counted is the time in which no task of a healthy job may run,
/// after the losses of its workers are proven.
#[test_case(48, 1, 8, 12, 0, 0; "many crashing tasks")]
#[test_case(48, 1, 8, 12, 0, 500; "many crashing tasks, slow writes")]
#[test_case(48, 4, 8, 4, 14, 500; "beside a seventh of the cell, slow writes")]
#[test_case(24, 3, 4, 3, 5, 500; "half as many workers, slow writes")]
#[test_case(48, 4, 8, 4, 14, 1_000; "beside a seventh of the cell, writes of a second")]
#[test_case(24, 3, 4, 3, 5, 1_000; "half as many workers, writes of a second")]
fn holds_of_suspects_are_bounded(
    workers: usize,
    width: u32,
    healthy: usize,
    crashing: usize,
    share: usize,
    write_time: u64,
) {
    const SLICE: u64 = 50;
    for seed in 0..10 {
        let mut load = MixedLoad::new(seed, workers, width, (healthy, crashing), share);
        load.sim.slow_writes(write_time);
        let mut idle: HashMap<String, u64> = HashMap::new();
        for at in (0..40_000).step_by(SLICE as usize) {
            load.advance(at, SLICE);
            for (id, is_healthy) in &load.jobs {
                let is_done = load.sim.done_count(id) == load.width as usize;
                if !is_healthy || is_done || load.sim.may_run(id) {
                    idle.remove(id);
                    continue;
                }
                let waited = idle.entry(id.clone()).or_default();
                *waited += SLICE;
                assert!(*waited <= MAX_IDLE, "seed {seed}: {id} at {at}");
            }
        }
    }
}
