//! Quarantine of workers beside tasks that fail wherever they run.

use {
    crate::{
        common::{JOB, World, end, step},
        sim::Sim,
    },
    job::{Id, State, Step},
    magpie_cell::{EndCause, Outcome},
    std::ops::Range,
    test_case::test_case,
};

/// Maximum time until a batch job starts beside free capacity, in milliseconds.
const MAX_WAIT: u64 = 3_000;
/// Interval between two batch jobs, in milliseconds.
const INTERVAL: u64 = 3_000;
/// Duration of a batch task, in milliseconds.
const TASK_TIME: u64 = 1_000;
/// The time in which a quarantined worker is given at most one task that tells whether it is still
/// faulty, in milliseconds.
const QUARANTINE: u64 = 3_000;

fn job_id(number: u64) -> String {
    format!("{number:016x}")
}

/// Creates a simulation with a long-running job all of whose tasks fail this long after each start.
fn sim_with_failing_job(workers: usize, tasks: u32, after: u64) -> Sim {
    let mut sim = Sim::new(workers, TASK_TIME);
    let long_running = Step {
        lasting: true,
        ..step(tasks, 1_000)
    };
    sim.submit(JOB, long_running);
    for place in 0..tasks as usize {
        sim.fail_on_start(JOB, place, after);
    }
    sim
}

/// Submits a batch job of this many tasks in each interval, and lets the last ones end.
fn run_batch_jobs(sim: &mut Sim, jobs: Range<u64>, tasks: u32) {
    for number in jobs {
        sim.submit(&job_id(number), step(tasks, 1_000));
        sim.advance(INTERVAL);
    }
    sim.advance(4 * MAX_WAIT);
}

/// Returns the longest time until one of the jobs has started, in milliseconds; `None` if one has
/// not.
fn longest_wait(sim: &Sim, jobs: Range<u64>) -> Option<u64> {
    let waits = jobs.map(|number| {
        let task = (Id::new(&job_id(number)).unwrap(), 0);
        let started = sim.stats.started.get(&task)?;
        Some(started - (number - 1) * INTERVAL)
    });
    waits.collect::<Option<Vec<u64>>>()?.into_iter().max()
}

/// Guards against a cell that a long-running job closes: each failure of its tasks was laid to the
/// worker, and overdue ones renewed the quarantine of all workers for good.
#[test_case(8, 8, 200)]
#[test_case(48, 48, 200)]
#[test_case(48, 100, 200)]
#[test_case(48, 100, 2_000)]
fn batch_jobs_start_beside_failing_long_running_job(workers: usize, tasks: u32, after: u64) {
    let mut sim = sim_with_failing_job(workers, tasks, after);
    run_batch_jobs(&mut sim, 1..20, 1);
    let longest = longest_wait(&sim, 1..20);
    assert!(
        longest.is_some_and(|longest| longest <= MAX_WAIT),
        "{longest:?}"
    );
    for number in 1..20 {
        assert_eq!(sim.state(&job_id(number)), Some(State::Completed));
    }
}

/// The same if the job has as many tasks as the cell has cores: the first failures quarantine all
/// workers, but not for good.
#[test_case(8, 32, 200)]
#[test_case(24, 96, 500)]
#[test_case(48, 192, 200)]
fn batch_jobs_complete_beside_failing_job_of_whole_cell(workers: usize, tasks: u32, after: u64) {
    let mut sim = sim_with_failing_job(workers, tasks, after);
    run_batch_jobs(&mut sim, 1..20, 1);
    for number in 1..20 {
        assert_eq!(sim.state(&job_id(number)), Some(State::Completed));
    }
}

/// A worker on which everything fails is still quarantined beside such a job: it gets the tasks that
/// prove it faulty and one for each quarantine.
#[test_case(0, 0; "alone")]
#[test_case(8, 200; "beside 8 tasks, 200 ms")]
#[test_case(8, 2_000; "beside 8 tasks, 2 s")]
fn faulty_worker_is_quarantined_beside_failing_long_running_job(tasks: u32, after: u64) {
    let mut sim = match tasks {
        0 => Sim::new(8, TASK_TIME),
        _ => sim_with_failing_job(8, tasks, after),
    };
    sim.fail_all_on(0, 200);
    let since = sim.now;
    run_batch_jobs(&mut sim, 1..20, 4);
    let quarantines = (sim.now - since) / QUARANTINE;
    let starts = u64::from(sim.stats.faulty_starts);
    assert!(starts > 0, "the faulty worker got no task");
    // The first tasks start together, four on a worker.
    assert!(starts <= 4 + quarantines, "{starts} starts");
    for number in 1..20 {
        assert_eq!(sim.state(&job_id(number)), Some(State::Completed));
    }
}

/// Guards against faulty workers that excuse each other: batch tasks that failed on one were started
/// again on the next, and their second failures did not count. Only the first job may fail before
/// the workers are known to be faulty.
#[test]
fn many_faulty_workers_are_quarantined() {
    let mut sim = Sim::new(48, TASK_TIME);
    for machine in 0..12 {
        sim.fail_all_on(machine, 200);
    }
    let long_running = Step {
        lasting: true,
        ..step(12, 1_000)
    };
    sim.submit(JOB, long_running);
    run_batch_jobs(&mut sim, 1..20, 20);
    for number in 2..20 {
        assert_eq!(sim.state(&job_id(number)), Some(State::Completed));
    }
}

/// Guards against a task that is kept on a faulty worker, whose failures do not count since the task
/// has failed elsewhere before.
#[test]
fn failing_long_running_task_leaves_further_worker() {
    let mut world = World::new(&["w1", "w2", "w3"]);
    let long_running = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    world.submit(JOB, vec![long_running]);
    let mut used = Vec::new();
    for _ in 0..4 {
        let starts = world.starts();
        let [(worker, start)] = &starts[..] else {
            panic!("{used:?}, {starts:?}");
        };
        world.answer(worker, start, Outcome::Done);
        used.push(worker.clone());
        world.now += 200;
        let failed = end(start.run, JOB, 0, start.run, EndCause::Failed);
        world.report(worker, vec![], vec![failed]);
    }
    // Two failures quarantine the first worker, and one moves the task off each further one.
    assert_eq!(used[0], used[1]);
    assert_ne!(used[1], used[2]);
    assert_ne!(used[2], used[3]);
}

/// Guards against a long-running task that fails wherever it runs and is started again without any
/// pause, or later than 6 s after its last run.
#[test_case(8, 8, 200)]
#[test_case(48, 100, 200)]
#[test_case(48, 100, 2_000)]
fn failing_long_running_task_restarts_less_often(workers: usize, tasks: u32, after: u64) {
    const SPAN: u64 = 60_000;
    /// The shortest and the longest time between two starts, in milliseconds.
    const BETWEEN: [u64; 2] = [4_000, 6_000];
    let mut sim = sim_with_failing_job(workers, tasks, after);
    sim.advance(30_000);
    let count = |sim: &Sim| -> Vec<u32> {
        let places = 0..tasks as usize;
        places.map(|place| sim.start_count(JOB, place)).collect()
    };
    let before = count(&sim);
    sim.advance(SPAN);
    let most = SPAN.div_ceil(BETWEEN[0]) as u32 + 1;
    let least = (SPAN / (BETWEEN[1] + after)) as u32 - 1;
    for (before, all) in before.into_iter().zip(count(&sim)) {
        let starts = all - before;
        assert!((least..=most).contains(&starts), "{starts} starts");
    }
}

/// Guards against a delay that outlasts the failures of a long-running task.
#[test]
fn long_running_task_runs_again_after_failures() {
    /// Longer than the test, in milliseconds.
    const LONG: u64 = 1_000_000;
    let mut sim = sim_with_failing_job(8, 8, 200);
    sim.advance(30_000);
    for place in 0..8 {
        sim.fail_on_start(JOB, place, LONG);
    }
    sim.advance(6_000);
    let running = (0..8).filter(|&place| sim.machine_of(JOB, place).is_some());
    assert_eq!(running.count(), 8);
}
