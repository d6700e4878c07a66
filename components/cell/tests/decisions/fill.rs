//! Filling tasks beside serving ones: where they go, and when they move.

use {
    crate::common::{JOB, World, end, entry, run, step, submission},
    job::Step,
    magpie_cell::{EndCause, Interference, Order, Outcome, Report},
    std::sync::Arc,
    test_case::test_case,
};

const FILL: &str = "00000000000000b2";
const OTHER: &str = "00000000000000c3";

fn serving() -> Step {
    Step {
        lasting: true,
        target: 50,
        image: Some("s".into()),
        ..step(1, 1_000)
    }
}

fn filling(image: &str, cpu: u64) -> Step {
    Step {
        fills: true,
        checkpoints: true,
        image: Some(image.into()),
        ..step(1, cpu)
    }
}

/// A worker with a serving task and a filling one, both running.
fn shared_world(fill: Step) -> World {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![serving()]);
    world.submit(FILL, vec![fill]);
    let starts = world.starts();
    assert_eq!(starts.len(), 2);
    for (worker, start) in starts {
        world.answer(&worker, &start, Outcome::Done);
    }
    world
}

/// The worker reports both tasks, with this tail of the serving one.
fn figures(world: &mut World, tail: u64) {
    let (mut serving, filling) = (run(JOB, 0, 1), run(FILL, 0, 1));
    serving.figure = tail;
    world.report("w1", vec![serving, filling], vec![]);
}

fn add_worker(world: &mut World) {
    let entries = vec![entry("w1", 4), entry("w2", 4)];
    world.list(entries);
    world.report("w2", vec![], vec![]);
}

/// The serving image s is disturbed by f and not by g. Images get their numbers in the order in which
/// the tasks of a world start.
fn learned(order: [&str; 3]) -> Interference {
    let mut known = Interference::default();
    for name in order {
        known.intern(Some(&name.into()));
    }
    let [serving, harmful, harmless] = ["s", "f", "g"].map(|name| known.lookup(Some(&name.into())));
    known.dense_row(&[(harmful, 0.2), (harmless, 0.2)]);
    for _ in 0..40 {
        known.add_sample(serving, 1.6 * 0.2, &[0.2, 0.0], 1.0);
        known.add_sample(serving, 0.0, &[0.0, 0.2], 1.0);
    }
    known.solve(1_000);
    known
}

/// Seen on the larger deployments: hundreds of filling tasks stood still beside serving ones that
/// they disturb, while other workers had room.
#[test]
fn slowed_task_moves_to_calm_worker() {
    let mut world = shared_world(filling("f", 500));
    world.now += 500;
    figures(&mut world, 60);
    add_worker(&mut world);
    world.cell.relocate(world.now + 500);
    assert!(world.stops().is_empty());
    world.cell.relocate(world.now + 900);
    assert_eq!(world.stops(), [("w1".into(), 1)]);
}

#[test]
fn slowed_task_stays_without_calm_worker() {
    let mut world = shared_world(filling("f", 500));
    world.now += 500;
    figures(&mut world, 60);
    world.cell.relocate(world.now + 900);
    assert!(world.stops().is_empty());
}

#[test]
fn slowed_task_without_checkpoints_stays() {
    let step = Step {
        checkpoints: false,
        ..filling("f", 500)
    };
    let mut world = shared_world(step);
    world.now += 500;
    figures(&mut world, 60);
    add_worker(&mut world);
    world.cell.relocate(world.now + 900);
    assert!(world.stops().is_empty());
}

#[test]
fn harmless_goes_beside_harmful() {
    let mut world = shared_world(filling("f", 500));
    world.cell.restore_interference(learned(["f", "s", "g"]));
    figures(&mut world, 25);
    world.submit(OTHER, vec![filling("g", 500)]);
    assert_eq!(world.starts().len(), 1);
}

/// Seen on a further deployment: where a serving job had once been at its target by itself, nothing was
/// placed beside it any more, though its load was low and the tasks that waited do not disturb it.
#[test]
fn harmless_goes_beside_former_peak() {
    let mut world = shared_world(filling("g", 500));
    world.cell.restore_interference(learned(["g", "s", "f"]));
    for tail in [40, 60, 60, 60, 60, 60, 25, 13, 13, 13, 13, 13, 13] {
        world.now += 500;
        figures(&mut world, tail);
    }
    world.submit(OTHER, vec![filling("g", 500)]);
    assert_eq!(world.starts().len(), 1);
}

#[test]
fn harmful_waits_for_room_to_spare() {
    let mut world = shared_world(filling("g", 500));
    world.cell.restore_interference(learned(["g", "s", "f"]));
    figures(&mut world, 25);
    world.submit(OTHER, vec![filling("f", 500)]);
    assert!(world.starts().is_empty());
    // Two seconds later the load is known, and low.
    for _ in 0..5 {
        world.now += 500;
        figures(&mut world, 13);
    }
    assert_eq!(world.starts().len(), 1);
}

/// Where more filling work waits than runs, little is kept back for what harmful tasks may do.
#[test_case(1, 0; "little waits")]
#[test_case(20, 1; "more waits than runs")]
fn harmful_goes_where_work_is_crowded(count: u32, least: usize) {
    let mut world = shared_world(filling("g", 500));
    world.cell.restore_interference(learned(["g", "s", "f"]));
    for _ in 0..8 {
        world.now += 500;
        figures(&mut world, 23);
    }
    let many = Step {
        count,
        ..filling("f", 100)
    };
    world.submit(OTHER, vec![many]);
    world.cell.rerank(1, world.now);
    assert_eq!(world.starts().len().min(1), least);
}

/// The fewer workers hold unlike serving images, the more are left where a filling image disturbs nothing:
/// what has to be mixed goes where it is mixed already.
#[test]
fn unlike_serving_tasks_gather() {
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

/// A pace is set by the load that is foreseen, before a tail comes near its target.
#[test]
fn pace_falls_ahead_of_the_load() {
    let mut world = shared_world(filling("f", 1_500));
    world.cell.restore_interference(learned(["f", "s", "g"]));
    let mut paces = Vec::new();
    for tail in [20, 22, 25, 28, 32, 36] {
        world.now += 500;
        let (mut serving, mut filling) = (run(JOB, 0, 1), run(FILL, 0, 1));
        (serving.figure, filling.figure) = (tail, 100);
        let report = Report {
            clock: world.now + 50_000,
            running: vec![serving, filling],
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

/// A job that surely misses its objective is no reason for another to miss its own.
#[test]
fn hopeless_job_goes_behind() {
    let mut world = World::new(&["w1"]);
    let mut long = submission(JOB, vec![step(1, 4_000)]);
    long.spec.steps[0].estimate = 10_000;
    let mut short = submission(OTHER, vec![step(1, 4_000)]);
    short.spec.steps[0].estimate = 3_000;
    short.accepted = 15_900;
    assert!(world.cell.admit(long, 16_000));
    assert!(world.cell.admit(short, 16_000));
    world.cell.rerank(16_000, world.now);
    let starts = world.starts();
    assert_eq!(starts[0].1.key.job.as_str(), OTHER);
}

/// What found no room is not tried on all workers in each pass, but on those with news.
#[test]
fn stuck_need_tries_changed_workers() {
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

/// A lasting job and two short ones, each of which needs a whole worker; a short one runs on each of the
/// workers, and the lasting one has waited for over two seconds.
fn lasting_behind_short(workers: &[&str]) -> World {
    let mut world = World::new(workers);
    let lasting = Step {
        lasting: true,
        ..step(1, 4_000)
    };
    world.submit(JOB, vec![lasting]);
    world.submit(OTHER, vec![step(workers.len() as u32, 4_000)]);
    world.submit(FILL, vec![step(2, 4_000)]);
    for (worker, start) in world.starts() {
        assert_ne!(start.key.job.as_str(), JOB);
        world.answer(&worker, &start, Outcome::Done);
    }
    world.cell.rerank(1_000, world.now);
    world.now += 2_100;
    world
}

/// The short task that runs on a worker ends.
fn end_short(world: &mut World, worker: &str, index: u32) {
    let mut done = end(1, OTHER, 0, 1, EndCause::Done);
    done.address.index = index;
    world.report(worker, vec![], vec![done]);
}

/// Seen on a grown site: quick checks took each piece of room for 12 s, and a task that is to last was
/// not started again though room came free for two of it at a time.
#[test]
fn lasting_task_goes_first_where_room_is_twice() {
    let mut world = lasting_behind_short(&["w1", "w2"]);
    end_short(&mut world, "w1", 0);
    end_short(&mut world, "w2", 1);
    world.cell.rerank(3_200, world.now);
    assert_eq!(world.starts()[0].1.key.job.as_str(), JOB);
}

/// Seen on sabar-sort: with room for hardly anything, lasting tasks that went first kept quick checks
/// waiting, of whose largest tenth a third was served.
#[test]
fn lasting_task_waits_where_room_is_short() {
    let mut world = lasting_behind_short(&["w1", "w2"]);
    end_short(&mut world, "w1", 0);
    world.cell.rerank(3_200, world.now);
    assert_eq!(world.starts()[0].1.key.job.as_str(), FILL);
}

/// The bound on lasting tasks holds however full the workers are, after 9 s at the least.
#[test]
fn lasting_task_goes_first_after_long() {
    let mut world = lasting_behind_short(&["w1", "w2"]);
    world.cell.rerank(3_200, world.now);
    world.now += 2_000;
    world.cell.rerank(5_100, world.now);
    end_short(&mut world, "w1", 0);
    assert_eq!(world.starts()[0].1.key.job.as_str(), JOB);
}

/// Seen on a grown site: 2 in 100 workers were set aside at any time since two tasks in a row had failed there
/// by themselves, and lasting tasks waited for room beside them for 9 s.
#[test]
fn lasting_task_takes_worker_set_aside() {
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
    let lasting = Step {
        lasting: true,
        ..step(1, 3_000)
    };
    world.submit(JOB, vec![lasting]);
    world.cell.rerank(1_000, world.now);
    assert!(world.starts().is_empty());
    world.now += 2_100;
    world.cell.rerank(3_100, world.now);
    assert_eq!(world.starts()[0].1.key.job.as_str(), JOB);
}
