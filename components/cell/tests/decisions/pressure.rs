//! Learned lengths of steps, the order of late jobs, and the views for the decisions on admission.

use {
    crate::common::{JOB, World, end, entry, run, step, submission},
    job::{Step, Submission, spec::Size},
    magpie_cell::{EndCause, Interference, Learned, Outcome, Run, Start},
    policy::admission::{Kind, Pressure, QueuePressure},
    std::sync::Arc,
    test_case::test_case,
};

/// Wall-clock time at which all jobs of these tests are accepted.
const WALL: u64 = 1_000_000;

/// Returns the id of a numbered job.
fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// A job that was accepted at the given time.
fn job_at(number: u64, steps: Vec<Step>, wall: u64) -> Submission {
    Submission {
        accepted: wall,
        ..submission(&id(number), steps)
    }
}

fn submit(world: &mut World, number: u64, steps: Vec<Step>) {
    assert!(world.cell.admit(job_at(number, steps, WALL), WALL));
}

fn pressure(world: &World) -> Pressure {
    world.cell.pressure(world.now, WALL)
}

fn batch(world: &World) -> Option<QueuePressure> {
    pressure(world).of("queue", Kind::Batch).cloned()
}

/// Places all that fits and confirms the starts.
fn start_all(world: &mut World) -> Vec<(Arc<str>, Start)> {
    let starts = world.starts();
    for (worker, start) in &starts {
        world.answer(worker, start, Outcome::Done);
    }
    starts
}

/// Ends a run on its worker, as its report number `number`.
fn finish(world: &mut World, number: u64, (worker, start): &(Arc<str>, Start)) {
    let mut end = end(number, start.key.job.as_str(), 0, start.run, EndCause::Done);
    end.address = start.address;
    world.report(worker, vec![], vec![end]);
    world.persist();
}

/// Runs jobs of one task that is estimated to take 1 s and takes `length`, one after the other.
fn run_jobs(world: &mut World, count: u64, length: u64) {
    for number in 1..=count {
        submit(world, 1_000 + number, vec![step(1, 1_000)]);
        let starts = start_all(world);
        assert_eq!(starts.len(), 1);
        world.now += length;
        finish(world, number, &starts[0]);
    }
}

/// The run time that the cell predicts for a job that is estimated to take 1 s, as seen by a
/// backlog.
fn run_time(world: &mut World) -> u64 {
    submit(world, 1, vec![step(40, 1_000)]);
    start_all(world);
    pressure(world).run_time("queue", Kind::Batch, 1_000)
}

#[test]
fn pressure_empty_at_rest() {
    let mut world = World::new(&["w1"]);
    assert_eq!(pressure(&world), Pressure::default());
    submit(&mut world, 1, vec![step(4, 1_000)]);
    start_all(&mut world);
    assert_eq!(pressure(&world), Pressure::default());
}

/// Long-running tasks that wait for capacity are no pressure.
#[test]
fn pressure_empty_with_waiting_long_running() {
    let mut world = World::new(&["w1"]);
    let lasting = Step {
        lasting: true,
        ..step(9, 1_000)
    };
    submit(&mut world, 1, vec![lasting]);
    start_all(&mut world);
    assert_eq!(pressure(&world), Pressure::default());
}

/// 4 cores run tasks of 1 s; each further 4 tasks take 1 s more.
#[test]
fn pressure_grows_with_backlog_and_falls() {
    let mut world = World::new(&["w1"]);
    for number in 1..=3 {
        submit(&mut world, number, vec![step(4, 1_000)]);
    }
    let first = start_all(&mut world);
    assert_eq!(batch(&world).unwrap().wait, 2_000);
    submit(&mut world, 4, vec![step(8, 1_000)]);
    assert_eq!(batch(&world).unwrap().wait, 4_000);
    let mut running = first;
    let mut ends = 0;
    for wait in [3_000, 2_000, 1_000] {
        world.now += 1_000;
        for start in &running {
            ends += 1;
            finish(&mut world, ends, start);
        }
        running = start_all(&mut world);
        assert_eq!(batch(&world).unwrap().wait, wait);
    }
    world.now += 1_000;
    for start in &running {
        ends += 1;
        finish(&mut world, ends, start);
    }
    start_all(&mut world);
    assert_eq!(pressure(&world), Pressure::default());
}

/// A worker that gets no work for a moment still works off what it runs; one that leaves or cannot be
/// reached is no capacity.
#[test]
fn pressure_counts_running_tasks_of_paused_worker() {
    let mut world = World::new(&["w1"]);
    submit(&mut world, 1, vec![step(12, 1_000)]);
    let starts = start_all(&mut world);
    world.answer(&starts[0].0, &starts[0].1, Outcome::Unknown);
    assert_eq!(batch(&world).unwrap().wait, 2_000);
    world.cell.poll_failed("w1", world.now);
    assert_eq!(pressure(&world), Pressure::default());
}

/// Steps that are not ready yet are work as well.
#[test]
fn pressure_counts_later_steps() {
    let mut world = World::new(&["w1"]);
    let later = Step {
        after: vec![0],
        ..step(8, 1_000)
    };
    submit(&mut world, 1, vec![step(8, 1_000), later]);
    start_all(&mut world);
    assert_eq!(batch(&world).unwrap().wait, 3_000);
}

/// Free CPU counts only in holes in which the waiting tasks fit.
#[test_case(3_000, 5, 4; "no hole fits")]
#[test_case(1_500, 9, 7; "one hole fits")]
fn pressure_counts_fitting_holes(cpu: u64, count: u32, waiting: u64) {
    let mut world = World::new(&["w1"]);
    submit(&mut world, 1, vec![step(count, cpu)]);
    let held = start_all(&mut world).len() as u64;
    let own = batch(&world).unwrap();
    assert_eq!(waiting + held, u64::from(count));
    assert_eq!(own.wait, waiting * 1_000 / held);
}

/// Arrivals that take all capacity leave none for late jobs; without arrivals it returns.
#[test]
fn pressure_with_inflow_at_capacity() {
    let mut world = World::new(&["w1"]);
    for number in 1..=40 {
        submit(&mut world, number, vec![step(1, 1_000)]);
    }
    start_all(&mut world);
    assert_eq!(batch(&world).unwrap().drain, u64::MAX);
    let later = world.cell.pressure(world.now, WALL + 60_000);
    let own = later.of("queue", Kind::Batch).unwrap();
    assert_eq!((own.wait, own.drain), (9_000, 9_000));
}

/// Jobs that are late wait as well, and those whose result nobody wants are in nobody's way.
#[test_case(0, 9_000, 9_000; "in time")]
#[test_case(2_000, 0, 9_000; "late")]
fn pressure_of_late_jobs(age: u64, wait: u64, drain: u64) {
    let mut world = World::new(&["w1"]);
    submit(&mut world, 1, vec![step(40, 1_000)]);
    start_all(&mut world);
    world.cell.rerank(WALL + age, world.now);
    let later = world.cell.pressure(world.now, WALL + 60_000);
    let own = later.of("queue", Kind::Batch).unwrap();
    assert_eq!((own.wait, own.drain), (wait, drain));
}

#[test]
fn pressure_of_worthless_jobs_is_empty() {
    let mut world = World::new(&["w1"]);
    submit(&mut world, 1, vec![step(40, 1_000)]);
    start_all(&mut world);
    world.cell.rerank(WALL + 60_000, world.now);
    assert_eq!(pressure(&world), Pressure::default());
}

#[test]
fn pressure_of_best_effort_work() {
    let mut world = World::new(&["w1"]);
    let fills = Step {
        fills: true,
        ..step(12, 1_000)
    };
    submit(&mut world, 1, vec![fills]);
    assert_eq!(start_all(&mut world).len(), 4);
    let own = pressure(&world);
    assert_eq!(own.of("queue", Kind::BestEffort).unwrap().wait, 2_000);
    assert_eq!(own.of("queue", Kind::Batch), None);
}

/// A new owner does not know yet what the workers run.
#[test]
fn pressure_empty_during_takeover() {
    let mut world = World::new(&["w1"]);
    submit(&mut world, 1, vec![step(40, 1_000)]);
    world.cell.recover(world.now);
    assert_eq!(pressure(&world), Pressure::default());
}

/// Jobs in time go first, then late ones, then those whose result nobody wants any more.
#[test]
fn rerank_orders_lateness_classes() {
    let mut world = World::new(&["w1"]);
    // The objective is 2.1 s after acceptance, and a result is worth something until 6.3 s after it.
    let ages = [(1, 8_000), (2, 3_000), (3, 500)];
    for (number, age) in ages {
        let job = job_at(number, vec![step(1, 4_000)], WALL - age);
        assert!(world.cell.admit(job, WALL));
    }
    world.cell.rerank(WALL, world.now);
    let mut order = Vec::new();
    for end in 1..=3 {
        let starts = start_all(&mut world);
        order.push(starts[0].1.key.job.as_str().to_owned());
        finish(&mut world, end, &starts[0]);
    }
    assert_eq!(order, [id(3), id(2), id(1)]);
}

/// The clock may be set back; a late job stays late.
#[test]
fn rerank_keeps_late_job_late() {
    let mut world = World::new(&["w1"]);
    submit(&mut world, 1, vec![step(40, 1_000)]);
    start_all(&mut world);
    world.cell.rerank(WALL + 2_000, world.now);
    assert_eq!(batch(&world).unwrap().wait, 0);
    world.cell.rerank(WALL, world.now);
    assert_eq!(batch(&world).unwrap().wait, 0);
}

#[test]
fn learned_lengths_are_used() {
    let mut world = World::new(&["w1"]);
    run_jobs(&mut world, 7, 3_000);
    assert_eq!(run_time(&mut world), 1_000);
    let mut world = World::new(&["w1"]);
    run_jobs(&mut world, 8, 3_000);
    assert_eq!(run_time(&mut world), 3_000);
}

#[test]
fn learned_lengths_can_be_disabled() {
    let mut world = World::new(&["w1"]);
    run_jobs(&mut world, 8, 3_000);
    world.cell.enable_learning(false);
    assert_eq!(run_time(&mut world), 1_000);
}

/// A job counts as late once it would be so even if it were a standard deviation faster than
/// predicted; by half of its estimate it would count as late only later.
#[test]
fn rerank_uses_low_prediction() {
    let mut world = World::new(&["w1"]);
    run_jobs(&mut world, 20, 3_000);
    submit(&mut world, 1, vec![step(40, 1_000)]);
    start_all(&mut world);
    // The objective is twice the predicted 3 s plus 0.1 s, and at least 2.79 s are needed.
    for (age, is_late) in [(3_000, false), (3_500, true)] {
        world.cell.rerank(WALL + age, world.now);
        let pressure = world.cell.pressure(world.now, WALL + age);
        let wait = pressure.of("queue", Kind::Batch).unwrap().wait;
        assert_eq!(wait == 0, is_late);
    }
}

/// Runs that a former owner has started, and those that were throttled, tell nothing of the task.
#[test]
fn learned_lengths_without_adopted_runs() {
    let mut world = World::new(&["w1"]);
    for number in 1..=20 {
        let id = id(1_000 + number);
        world.resume(&id, vec![step(1, 1_000)]);
        world.report("w1", vec![run(&id, 0, 1)], vec![]);
        world.now += 3_000;
        world.report("w1", vec![], vec![end(number, &id, 0, 1, EndCause::Done)]);
        world.persist();
    }
    assert_eq!(run_time(&mut world), 1_000);
}

/// Reports a serving task with this tail latency, and other runs beside it, after half a second.
fn report_serving(world: &mut World, tail: u64, beside: &[Run]) {
    world.now += 500;
    let mut running = vec![run(JOB, 0, 1)];
    running[0].figure = tail;
    running.extend(beside.iter().cloned());
    world.report("w1", running, vec![]);
}

/// A task that resumes from its checkpoint has less to do.
#[test]
fn learned_lengths_without_resumed_runs() {
    let mut world = World::new(&["w1"]);
    let resumable = Step {
        checkpoints: true,
        ..step(1, 1_000)
    };
    for number in 1..=20 {
        submit(&mut world, 1_000 + number, vec![resumable.clone()]);
        let id = id(1_000 + number);
        for (run, how) in [(1, EndCause::Stopped), (2, EndCause::Done)] {
            assert_eq!(start_all(&mut world).len(), 1);
            world.now += 3_000;
            let ended = end(number * 2 + run, &id, 0, run, how);
            world.report("w1", vec![], vec![ended]);
            world.persist();
        }
    }
    assert_eq!(run_time(&mut world), 1_000);
}

/// Runs best-effort jobs of 4 s beside a serving task with this tail latency, and returns the run
/// time that is predicted for an estimate of 1 s.
fn learned_beside_serving(tail: u64) -> u64 {
    let mut world = World::new(&["w1"]);
    let serving = Step {
        lasting: true,
        target: 50,
        image: Some("s".into()),
        ..step(1, 1_000)
    };
    world.submit(JOB, vec![serving]);
    start_all(&mut world);
    let filling = |count| Step {
        fills: true,
        image: Some("f".into()),
        ..step(count, 1_000)
    };
    for number in 1..=20 {
        for _ in 0..40 {
            report_serving(&mut world, 5, &[]);
        }
        submit(&mut world, 1_000 + number, vec![filling(1)]);
        let starts = start_all(&mut world);
        assert_eq!(starts.len(), 1);
        let id = id(1_000 + number);
        for _ in 0..8 {
            report_serving(&mut world, tail, &[run(&id, 0, starts[0].1.run)]);
        }
        let ended = end(number, &id, 0, starts[0].1.run, EndCause::Done);
        world.report("w1", vec![run(JOB, 0, 1)], vec![ended]);
        world.persist();
    }
    submit(&mut world, 1, vec![filling(40)]);
    start_all(&mut world);
    pressure(&world).run_time("queue", Kind::BestEffort, 1_000)
}

#[test]
fn learned_lengths_without_throttled_runs() {
    assert_eq!(learned_beside_serving(5), 4_000);
    assert_eq!(learned_beside_serving(75), 1_000);
}

fn encode(learned: &Learned) -> Vec<u8> {
    rmp_serde::to_vec(learned).unwrap()
}

#[test]
fn restore_interference_with_lengths() {
    let mut world = World::new(&["w1"]);
    run_jobs(&mut world, 20, 3_000);
    let learned = world.cell.take_interference().unwrap();
    assert!(world.cell.take_interference().is_none());
    let learned: Learned = rmp_serde::from_slice(&encode(&learned)).unwrap();
    let mut successor = World::new(&["w1"]);
    successor.cell.restore_interference(learned);
    assert_eq!(run_time(&mut successor), 3_000);
}

/// What was learned is written at most every 4 s.
#[test]
fn take_interference_at_intervals() {
    let mut world = World::new(&["w1"]);
    let mut written = 0;
    for number in 1..=41 {
        submit(&mut world, number, vec![step(1, 1_000)]);
        let starts = start_all(&mut world);
        world.now += 1_000;
        finish(&mut world, number, &starts[0]);
        written += u32::from(world.cell.take_interference().is_some());
    }
    assert_eq!(written, 10);
}

/// A model as former versions have stored it, with samples for a pair of images.
#[test_case(false; "compact")]
#[test_case(true; "with names")]
fn restore_interference_of_former_version(with_names: bool) {
    let mut model = Interference::default();
    let [serving, filling] = ["s", "f"].map(|name| model.intern(Some(&name.into())));
    let row = model.dense_row(&[(filling, 0.2)]);
    for _ in 0..40 {
        model.add_sample(serving, 1.6 * 0.2, &row, 1.0);
    }
    let bytes = if with_names {
        rmp_serde::to_vec_named(&model).unwrap()
    } else {
        rmp_serde::to_vec(&model).unwrap()
    };
    let learned: Learned = rmp_serde::from_slice(&bytes).unwrap();
    let expected = Learned::from(model);
    assert_eq!(encode(&learned).len(), encode(&expected).len());
    let again: Learned = rmp_serde::from_slice(&encode(&learned)).unwrap();
    assert_eq!(encode(&again).len(), encode(&expected).len());
}

/// Images are known, and there are no samples yet.
#[test]
fn restore_interference_of_former_version_without_samples() {
    let mut model = Interference::default();
    for name in ["s", "f"] {
        model.intern(Some(&name.into()));
    }
    let bytes = rmp_serde::to_vec(&model).unwrap();
    let learned: Learned = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(encode(&learned).len(), encode(&Learned::from(model)).len());
}

#[test]
fn pool_capacities_after_a_minute() {
    let mut world = World::new(&["w1"]);
    assert!(world.cell.pool_capacities(world.now).is_empty());
    let start = world.now;
    while world.now < start + 60_000 {
        assert!(world.cell.pool_capacities(world.now).is_empty());
        world.now += 1_000;
        world.list(vec![entry("w1", 4), entry("w2", 8)]);
    }
    let pools = world.cell.pool_capacities(world.now);
    let pool = &pools[0];
    assert_eq!((pools.len(), pool.workers), (1, 2));
    let largest = Size {
        cpu: 8_000,
        memory: 32_000,
        gpus: 0,
    };
    assert_eq!(pool.largest, largest);
    assert_eq!(pool.labels, ["a".into(), "r1".into()]);
}
