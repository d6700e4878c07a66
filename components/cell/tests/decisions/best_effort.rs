//! Best-effort tasks beside serving tasks: placement, pacing and relocation, and the priority of
//! long-running tasks.

use {
    crate::common::{JOB, World, end, entry, run, step, submission},
    job::Step,
    magpie_cell::{EndCause, Interference, Order, Outcome, Refusal, Report},
    std::sync::Arc,
    test_case::test_case,
};

const BEST_EFFORT: &str = "00000000000000b2";
const OTHER: &str = "00000000000000c3";

fn serving() -> Step {
    Step {
        lasting: true,
        target: 50,
        image: Some("s".into()),
        ..step(1, 1_000)
    }
}

fn best_effort(image: &str, cpu: u64) -> Step {
    Step {
        fills: true,
        checkpoints: true,
        image: Some(image.into()),
        ..step(1, cpu)
    }
}

/// Creates a worker that runs a serving task and a best-effort task.
fn shared_world(step: Step) -> World {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![serving()]);
    world.submit(BEST_EFFORT, vec![step]);
    let starts = world.starts();
    assert_eq!(starts.len(), 2);
    for (worker, start) in starts {
        world.answer(&worker, &start, Outcome::Done);
    }
    world
}

/// Reports both tasks, with this tail latency of the serving task.
fn report_tail(world: &mut World, tail: u64) {
    let (mut serving, best_effort) = (run(JOB, 0, 1), run(BEST_EFFORT, 0, 1));
    serving.figure = tail;
    world.report("w1", vec![serving, best_effort], vec![]);
}

fn add_worker(world: &mut World) {
    let entries = vec![entry("w1", 4), entry("w2", 4)];
    world.list(entries);
    world.report("w2", vec![], vec![]);
}

/// A model in which image f interferes with the serving image s and g does not. Images are numbered
/// in the order in which the tasks of a world start.
fn trained_model(order: [&str; 3]) -> Interference {
    let mut model = Interference::default();
    for name in order {
        model.intern(Some(&name.into()));
    }
    let [serving, interfering, harmless] =
        ["s", "f", "g"].map(|name| model.lookup(Some(&name.into())));
    model.dense_row(&[(interfering, 0.2), (harmless, 0.2)]);
    for _ in 0..40 {
        model.add_sample(serving, 1.6 * 0.2, &[0.2, 0.0], 1.0);
        model.add_sample(serving, 0.0, &[0.0, 0.2], 1.0);
    }
    model.solve(1_000);
    model
}

/// Guards against best-effort tasks that stay paused beside serving tasks while other workers have
/// capacity. On large deployments hundreds of tasks were affected.
#[test]
fn slowed_task_moves_to_idle_worker() {
    let mut world = shared_world(best_effort("f", 500));
    world.now += 500;
    report_tail(&mut world, 60);
    add_worker(&mut world);
    world.cell.relocate(world.now + 500);
    assert!(world.stops().is_empty());
    world.cell.relocate(world.now + 900);
    assert_eq!(world.stops(), [("w1".into(), 1)]);
}

#[test]
fn slowed_task_stays_without_idle_worker() {
    let mut world = shared_world(best_effort("f", 500));
    world.now += 500;
    report_tail(&mut world, 60);
    world.cell.relocate(world.now + 900);
    assert!(world.stops().is_empty());
}

#[test]
fn slowed_task_without_checkpoints_stays() {
    let step = Step {
        checkpoints: false,
        ..best_effort("f", 500)
    };
    let mut world = shared_world(step);
    world.now += 500;
    report_tail(&mut world, 60);
    add_worker(&mut world);
    world.cell.relocate(world.now + 900);
    assert!(world.stops().is_empty());
}

#[test]
fn harmless_task_is_placed_beside_interfering_one() {
    let mut world = shared_world(best_effort("f", 500));
    world
        .cell
        .restore_interference(trained_model(["f", "s", "g"]));
    report_tail(&mut world, 25);
    world.submit(OTHER, vec![best_effort("g", 500)]);
    assert_eq!(world.starts().len(), 1);
}

/// Guards against a former load peak that blocks placement for good. A serving job that once
/// reached its target by itself got no best-effort tasks, even harmless ones at low load.
#[test]
fn harmless_task_is_placed_after_load_peak() {
    let mut world = shared_world(best_effort("g", 500));
    world
        .cell
        .restore_interference(trained_model(["g", "s", "f"]));
    for tail in [40, 60, 60, 60, 60, 60, 25, 13, 13, 13, 13, 13, 13] {
        world.now += 500;
        report_tail(&mut world, tail);
    }
    world.submit(OTHER, vec![best_effort("g", 500)]);
    assert_eq!(world.starts().len(), 1);
}

#[test]
fn interfering_task_waits_for_low_load() {
    let mut world = shared_world(best_effort("g", 500));
    world
        .cell
        .restore_interference(trained_model(["g", "s", "f"]));
    report_tail(&mut world, 25);
    world.submit(OTHER, vec![best_effort("f", 500)]);
    assert!(world.starts().is_empty());
    // Two seconds later the load is known to be low.
    for _ in 0..5 {
        world.now += 500;
        report_tail(&mut world, 13);
    }
    assert_eq!(world.starts().len(), 1);
}

/// If more best-effort work waits than runs, the margin kept for interference is reduced.
#[test_case(1, 0; "small backlog")]
#[test_case(20, 1; "backlog exceeds running work")]
fn interfering_task_is_placed_under_backlog(count: u32, expected: usize) {
    let mut world = shared_world(best_effort("g", 500));
    world
        .cell
        .restore_interference(trained_model(["g", "s", "f"]));
    for _ in 0..8 {
        world.now += 500;
        report_tail(&mut world, 23);
    }
    let steps = Step {
        count,
        ..best_effort("f", 100)
    };
    world.submit(OTHER, vec![steps]);
    world.cell.rerank(1, world.now);
    assert_eq!(world.starts().len().min(1), expected);
}

/// Unlike serving images share workers, which leaves more workers where a given best-effort image
/// interferes with nothing.
#[test]
fn unlike_serving_images_share_workers() {
    let mut world = World::new(&["w1", "w2"]);
    let mut placed = Vec::new();
    for (number, image) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let step = Step {
            image: Some(image.into()),
            ..serving()
        };
        world.submit(&format!("{number:016x}"), vec![step]);
        placed.extend(world.starts().into_iter().map(|(worker, _)| worker));
    }
    assert_ne!(placed[0], placed[1]);
    assert_eq!(placed[2], placed[3]);
}

/// The pace follows the forecast load and falls before the tail latency reaches its target.
#[test]
fn pace_follows_forecast() {
    let mut world = shared_world(best_effort("f", 1_500));
    world
        .cell
        .restore_interference(trained_model(["f", "s", "g"]));
    let mut paces = Vec::new();
    for tail in [20, 22, 25, 28, 32, 36] {
        world.now += 500;
        let (mut serving, mut best_effort) = (run(JOB, 0, 1), run(BEST_EFFORT, 0, 1));
        (serving.figure, best_effort.figure) = (tail, 100);
        let report = Report {
            clock: world.now + 50_000,
            running: vec![serving, best_effort],
            ended: vec![],
        };
        let worker: Arc<str> = "w1".into();
        world.cell.report(&worker, report, world.now, world.now, 1);
        for (_, order) in world.cell.take_orders() {
            if let Order::Pace { percent, .. } = order {
                paces.push(percent);
            }
        }
    }
    let last = paces.last().copied().unwrap_or(100);
    assert!(last < 70, "{paces:?}");
}

/// Reports both tasks with a tail latency of the serving task, every half second for a time in
/// milliseconds. Each order to pace gets the outcome that `answer` returns for its time and pace, if
/// any. Returns the times of these orders and their paces.
fn paces_during(
    world: &mut World,
    tail: u64,
    time: u64,
    mut answer: impl FnMut(u64, u8) -> Option<Outcome>,
) -> Vec<(u64, u8)> {
    let mut paces = Vec::new();
    for _ in 0..time / 500 {
        world.now += 500;
        report_tail(world, tail);
        for (worker, order) in world.cell.take_orders() {
            let Order::Pace { percent, .. } = order else {
                continue;
            };
            paces.push((world.now, percent));
            if let Some(outcome) = answer(world.now, percent) {
                world
                    .cell
                    .handle_outcome(&worker, &order, outcome, world.now);
            }
        }
    }
    paces
}

const OVER_TARGET: u64 = 60;
const BELOW_TARGET: u64 = 13;

/// Guards against a best-effort task that is never paused beside a serving task over its target,
/// since the order to pause it was lost.
#[test_case(Some(Outcome::Unknown), 500; "no answer")]
#[test_case(Some(Outcome::Refused(Refusal::Unwell)), 500; "worker is unhealthy")]
#[test_case(Some(Outcome::Refused(Refusal::NotSent)), 500; "order was not sent")]
#[test_case(None, 3_000; "no outcome")]
fn unconfirmed_pause_is_repeated(outcome: Option<Outcome>, interval: u64) {
    let mut world = shared_world(best_effort("f", 500));
    let paces = paces_during(&mut world, OVER_TARGET, 9_000, |_, _| outcome);
    let times: Vec<u64> = paces.iter().map(|&(time, _)| time).collect();
    assert!(paces.iter().all(|&(_, pace)| pace == 0), "{paces:?}");
    assert!(times.len() > 1, "{paces:?}");
    for pair in times.windows(2) {
        assert_eq!(pair[1] - pair[0], interval, "{paces:?}");
    }
}

/// A confirmed pause is ordered once.
#[test]
fn confirmed_pause_is_not_repeated() {
    let mut world = shared_world(best_effort("f", 500));
    let paces = paces_during(&mut world, OVER_TARGET, 20_000, |_, _| Some(Outcome::Done));
    assert_eq!(paces.len(), 1, "{paces:?}");
}

/// Guards against a best-effort task that stays paused for good, since an unanswered order to pause
/// it is carried out after the one to run it at full speed.
#[test]
fn late_pause_does_not_last() {
    let mut world = shared_world(best_effort("f", 500));
    let mut is_first = true;
    let first = paces_during(&mut world, OVER_TARGET, 2_000, |_, _| {
        let outcome = if is_first {
            Outcome::Unknown
        } else {
            Outcome::Done
        };
        is_first = false;
        Some(outcome)
    });
    let unanswered = first[0].0;
    let rest = paces_during(&mut world, BELOW_TARGET, 20_000, |_, _| Some(Outcome::Done));
    let last_change = rest.iter().position(|&(_, pace)| pace == 100);
    let repeats = &rest[last_change.unwrap()..];
    assert!(repeats.iter().all(|&(_, pace)| pace == 100), "{rest:?}");
    // One follows after each time at which the late order may be carried out.
    for late in (unanswered..unanswered + 10_000).step_by(500) {
        let is_followed = rest
            .iter()
            .any(|&(time, _)| time >= late && time <= late + 5_000);
        assert!(is_followed, "at {late}: {rest:?}");
    }
    // The repetition is bounded.
    let last = repeats[repeats.len() - 1].0;
    assert!(last <= unanswered + 11_000, "{rest:?}");
    assert!(repeats.len() <= 7, "{rest:?}");
}

/// A job that will certainly miss its objective does not delay a job that can meet its own.
#[test]
fn job_that_misses_objective_has_low_rank() {
    let mut world = World::new(&["w1"]);
    let mut late_job = submission(JOB, vec![step(1, 4_000)]);
    late_job.spec.steps[0].estimate = 10_000;
    let mut short = submission(OTHER, vec![step(1, 4_000)]);
    short.spec.steps[0].estimate = 3_000;
    short.accepted = 15_900;
    assert!(world.cell.admit(late_job, 16_000));
    assert!(world.cell.admit(short, 16_000));
    world.cell.rerank(16_000, world.now);
    let starts = world.starts();
    assert_eq!(starts[0].1.key.job.as_str(), OTHER);
}

/// A step that found no capacity is tried again only on workers that have changed.
#[test]
fn unplaced_step_tries_changed_workers_only() {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![step(3, 4_000)]);
    assert_eq!(world.starts().len(), 2);
    let before = world.cell.full_scans();
    world.now += 50;
    assert!(world.starts().is_empty());
    assert_eq!(world.cell.full_scans(), before);
    add_worker(&mut world);
    world.list(vec![entry("w3", 4)]);
    world.report("w3", vec![], vec![]);
    assert_eq!(world.starts().len(), 1);
    assert_eq!(world.cell.full_scans(), before);
}

/// A long-running job and two short ones, each of whose tasks needs a whole worker. A short task
/// runs on each worker, and the long-running task has waited for more than two seconds.
fn long_running_behind_short(workers: &[&str]) -> World {
    let mut world = World::new(workers);
    let long_running = Step {
        lasting: true,
        ..step(1, 4_000)
    };
    world.submit(JOB, vec![long_running]);
    world.submit(OTHER, vec![step(workers.len() as u32, 4_000)]);
    world.submit(BEST_EFFORT, vec![step(2, 4_000)]);
    for (worker, start) in world.starts() {
        assert_ne!(start.key.job.as_str(), JOB);
        world.answer(&worker, &start, Outcome::Done);
    }
    world.cell.rerank(1_000, world.now);
    world.now += 2_100;
    world
}

/// Ends the short task on a worker.
fn end_short(world: &mut World, worker: &str, index: u32) {
    let mut done = end(1, OTHER, 0, 1, EndCause::Done);
    done.address.index = index;
    world.report(worker, vec![], vec![done]);
}

/// Guards against a long-running task that does not restart although capacity for two of it becomes
/// free at a time: short tasks took every free slot for 12 s.
#[test]
fn long_running_task_goes_first_with_double_capacity() {
    let mut world = long_running_behind_short(&["w1", "w2"]);
    end_short(&mut world, "w1", 0);
    end_short(&mut world, "w2", 1);
    world.cell.rerank(3_200, world.now);
    assert_eq!(world.starts()[0].1.key.job.as_str(), JOB);
}

/// If capacity is scarce, short tasks keep their priority. When long-running tasks went first, a
/// third of the largest tenth of short jobs was served.
#[test]
fn long_running_task_waits_if_capacity_is_scarce() {
    let mut world = long_running_behind_short(&["w1", "w2"]);
    end_short(&mut world, "w1", 0);
    world.cell.rerank(3_200, world.now);
    assert_eq!(world.starts()[0].1.key.job.as_str(), BEST_EFFORT);
}

/// The bound on the waiting time of long-running tasks holds on full workers too, after 9 s at the
/// latest.
#[test]
fn long_running_task_goes_first_after_wait_limit() {
    let mut world = long_running_behind_short(&["w1", "w2"]);
    world.cell.rerank(3_200, world.now);
    world.now += 2_000;
    world.cell.rerank(5_100, world.now);
    end_short(&mut world, "w1", 0);
    assert_eq!(world.starts()[0].1.key.job.as_str(), JOB);
}

/// A long-running task may use a quarantined worker. On large fleets 2% of the workers were
/// quarantined at any time after two consecutive, unrelated failures, while long-running tasks
/// waited 9 s for capacity.
#[test]
fn long_running_task_uses_quarantined_worker() {
    let mut world = World::new(&["w1"]);
    world.submit(OTHER, vec![step(2, 1_000)]);
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
    }
    let ends = [0, 1].map(|index| {
        let mut end = end(1 + u64::from(index), OTHER, 0, 1, EndCause::Failed);
        end.address.index = index;
        end
    });
    world.report("w1", vec![], ends.to_vec());
    let long_running = Step {
        lasting: true,
        ..step(1, 3_000)
    };
    world.submit(JOB, vec![long_running]);
    world.cell.rerank(1_000, world.now);
    assert!(world.starts().is_empty());
    world.now += 2_100;
    world.cell.rerank(3_100, world.now);
    assert_eq!(world.starts()[0].1.key.job.as_str(), JOB);
}
