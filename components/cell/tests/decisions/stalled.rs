//! Jobs that stand still although most capacity is free.

use {
    crate::{
        common::{JOB, World, step},
        sim::{CRASH_AFTER, Sim},
    },
    job::{Crashes, Id, Record, State},
    std::{collections::HashMap, ops::RangeInclusive},
    test_case::test_case,
};

/// Maximum time without a run of a job that has ready tasks, in milliseconds, while most capacity
/// is free.
const MAX_IDLE: u64 = 3_000;

/// A job that waits beside free capacity is counted, one that waits for capacity is not.
#[test_case(1_000, 1; "free capacity")]
#[test_case(3_000, 0; "scarce capacity")]
fn log_stalled_counts_jobs(used: u64, expected: usize) {
    let mut world = World::new(&["w1"]);
    world.submit("00000000000000b1", vec![step(1, used)]);
    world.starts();
    world.submit(JOB, vec![step(1, 100)]);
    world.cell.set_closed_halls(["h1".into()].into());
    assert_eq!(world.cell.log_stalled(world.now), 0);
    world.now += MAX_IDLE + 1;
    world.cell.rerank(1, world.now);
    world.starts();
    assert_eq!(world.cell.log_stalled(world.now), expected);
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
