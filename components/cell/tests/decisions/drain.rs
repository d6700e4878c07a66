//! Draining: tasks move off workers that leave, within the disruption limits of their steps.

use {
    crate::common::{JOB, World, entry, run, step},
    job::Step,
    magpie_cell::{Outcome, Run},
    std::sync::Arc,
    test_case::test_case,
};

fn announce_leave(world: &mut World) {
    let mut leaving = entry("w1", 4);
    leaving.leaving = true;
    leaving.remaining = Some(2_000);
    world.cell.handle_listing(vec![leaving], world.now);
}

fn place_and_report(world: &mut World, steps: Vec<job::Step>, count: u32) {
    world.submit(JOB, steps);
    assert_eq!(world.starts().len(), count as usize);
    let running = (0..count).map(|index| run(JOB, index, 1)).collect();
    world.report("w1", running, vec![]);
}

#[test]
fn drain_respects_may_miss() {
    let mut world = World::new(&["w1"]);
    let mut long_running = step(3, 1_000);
    long_running.lasting = true;
    long_running.may_miss = Some(1);
    place_and_report(&mut world, vec![long_running], 3);
    announce_leave(&mut world);
    assert_eq!(world.stops().len(), 1);
    announce_leave(&mut world);
    assert!(world.stops().is_empty());
}

/// Creates a world with a long-running step of two tasks, one on each worker, of which one may be
/// away. Returns the index of the task on w1 and that of the task on w2.
fn world_with_task_on_each() -> (World, [u32; 2]) {
    let mut world = World::new(&["w1", "w2"]);
    let long_running = Step {
        lasting: true,
        may_miss: Some(1),
        ..step(2, 4_000)
    };
    world.submit(JOB, vec![long_running]);
    let starts = world.starts();
    assert_eq!(starts.len(), 2);
    let mut indices = [0; 2];
    for (worker, start) in &starts {
        world.answer(worker, start, Outcome::Done);
        indices[usize::from(&**worker == "w2")] = start.address.index;
    }
    (world, indices)
}

/// Lists both workers, w1 as leaving. Returns the stops.
fn stops_of_leaving(world: &mut World) -> Vec<(Arc<str>, u64)> {
    let mut leaving = entry("w1", 4);
    leaving.leaving = true;
    world.list(vec![leaving, entry("w2", 4)]);
    world.stops()
}

/// Guards against a task that is stopped while the other one of its step is not at work.
#[test_case(false; "start is confirmed only")]
#[test_case(true; "task is listed as starting")]
fn drain_waits_until_other_task_is_ready(is_listed: bool) {
    let (mut world, [first, second]) = world_with_task_on_each();
    world.report("w1", vec![run(JOB, first, 1)], vec![]);
    if is_listed {
        let starting = Run {
            ready: false,
            ..run(JOB, second, 1)
        };
        world.report("w2", vec![starting], vec![]);
    }
    assert!(stops_of_leaving(&mut world).is_empty());
    world.report("w2", vec![run(JOB, second, 1)], vec![]);
    assert_eq!(stops_of_leaving(&mut world), [("w1".into(), 1)]);
}

/// Guards against a task that is stopped while the other one of its step stands still.
#[test]
fn drain_waits_while_other_task_stands_still() {
    let (mut world, [first, second]) = world_with_task_on_each();
    world.report("w1", vec![run(JOB, first, 1)], vec![]);
    world.report("w2", vec![run(JOB, second, 1)], vec![]);
    let standing = Run {
        ready: false,
        ..run(JOB, second, 1)
    };
    world.report("w2", vec![standing], vec![]);
    assert!(stops_of_leaving(&mut world).is_empty());
}

/// Guards against a task that is stopped while the other one of its step is on a worker that does
/// not answer, or has not answered for long.
#[test_case(true, 0; "poll failed")]
#[test_case(false, 3_100; "no answer for long")]
fn drain_waits_while_other_worker_is_silent(is_failed: bool, silence: u64) {
    let (mut world, [first, second]) = world_with_task_on_each();
    world.report("w2", vec![run(JOB, second, 1)], vec![]);
    world.now += silence;
    world.report("w1", vec![run(JOB, first, 1)], vec![]);
    if is_failed {
        world.cell.poll_failed("w2", world.now);
    }
    assert!(stops_of_leaving(&mut world).is_empty());
    world.report("w2", vec![run(JOB, second, 1)], vec![]);
    assert_eq!(stops_of_leaving(&mut world), [("w1".into(), 1)]);
}

#[test]
fn drain_keeps_tasks_without_checkpoints() {
    let mut world = World::new(&["w1"]);
    place_and_report(&mut world, vec![step(2, 1_000)], 2);
    announce_leave(&mut world);
    assert!(world.stops().is_empty());
}

#[test]
fn drain_moves_tasks_with_checkpoints() {
    let mut world = World::new(&["w1"]);
    let mut checkpointed = step(2, 1_000);
    checkpointed.checkpoints = true;
    place_and_report(&mut world, vec![checkpointed], 2);
    announce_leave(&mut world);
    assert_eq!(world.stops().len(), 2);
}

/// Lists only w2 until a given time while w1 keeps reporting. Returns the stops.
fn list_only_second(world: &mut World, until: u64) -> Vec<(Arc<str>, u64)> {
    let mut stops = Vec::new();
    while world.now < until {
        world.now += 700;
        world.report("w1", vec![run(JOB, 0, 1)], vec![]);
        world.cell.handle_listing(vec![entry("w2", 4)], world.now);
        stops.extend(world.stops());
    }
    stops
}

/// Creates a world whose only task, a long-running one, runs on w1.
fn world_with_task_on_first() -> World {
    let mut world = World::new(&["w1", "w2"]);
    let mut long_running = step(1, 1_000);
    long_running.lasting = true;
    world.submit(JOB, vec![long_running]);
    let (worker, start) = world.starts()[0].clone();
    assert_eq!(&*worker, "w1");
    world.answer(&worker, &start, Outcome::Done);
    world
}

#[test]
fn unlisted_worker_is_drained() {
    let mut world = world_with_task_on_first();
    for _ in 0..5 {
        world.now += 700;
        world.report("w1", vec![run(JOB, 0, 1)], vec![]);
        world
            .cell
            .handle_listing(vec![entry("w1", 4), entry("w2", 4)], world.now);
    }
    let until = world.now + 700;
    assert_eq!(list_only_second(&mut world, until), [("w1".into(), 1)]);
}

/// If entries disappear while the store is unavailable, they get time to return before the worker
/// is drained.
#[test]
fn unlisted_worker_gets_grace_after_store_outage() {
    let mut world = world_with_task_on_first();
    world.now += 5_000;
    let until = world.now + 2_600;
    assert!(list_only_second(&mut world, until).is_empty());
    let until = world.now + 700;
    assert_eq!(list_only_second(&mut world, until), [("w1".into(), 1)]);
}
