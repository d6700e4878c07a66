//! Tasks are moved off workers that leave, within what their steps may miss.

use {
    crate::common::{JOB, World, entry, run, step},
    magpie_cell::Outcome,
};

fn leaving(world: &mut World) {
    let mut going = entry("w1", 4);
    going.leaving = true;
    going.remaining = Some(2_000);
    world.cell.handle_listing(vec![going], world.now);
}

fn placed(world: &mut World, steps: Vec<job::Step>, count: u32) {
    world.submit(JOB, steps);
    assert_eq!(world.starts().len(), count as usize);
    let running = (0..count).map(|index| run(JOB, index, 1)).collect();
    world.report("w1", running, vec![]);
}

#[test]
fn lasting_tasks_within_may_miss() {
    let mut world = World::new(&["w1"]);
    let mut lasting = step(3, 1_000);
    lasting.lasting = true;
    lasting.may_miss = Some(1);
    placed(&mut world, vec![lasting], 3);
    leaving(&mut world);
    assert_eq!(world.stops().len(), 1);
    leaving(&mut world);
    assert!(world.stops().is_empty());
}

#[test]
fn tasks_without_checkpoint_stay() {
    let mut world = World::new(&["w1"]);
    placed(&mut world, vec![step(2, 1_000)], 2);
    leaving(&mut world);
    assert!(world.stops().is_empty());
}

#[test]
fn tasks_with_checkpoint_move() {
    let mut world = World::new(&["w1"]);
    let mut saving = step(2, 1_000);
    saving.checkpoints = true;
    placed(&mut world, vec![saving], 2);
    leaving(&mut world);
    assert_eq!(world.stops().len(), 2);
}

/// Lists w2 alone, again and again, up to a time; w1 is polled all the while.
fn list_without_first(world: &mut World, until: u64) -> Vec<(std::sync::Arc<str>, u64)> {
    let mut stops = Vec::new();
    while world.now < until {
        world.now += 700;
        world.report("w1", vec![run(JOB, 0, 1)], vec![]);
        world.cell.handle_listing(vec![entry("w2", 4)], world.now);
        stops.extend(world.stops());
    }
    stops
}

/// A world in which the only task, a lasting one, runs on w1.
fn world_on_first() -> World {
    let mut world = World::new(&["w1", "w2"]);
    let mut lasting = step(1, 1_000);
    lasting.lasting = true;
    world.submit(JOB, vec![lasting]);
    let (worker, start) = world.starts()[0].clone();
    assert_eq!(&*worker, "w1");
    world.answer(&worker, &start, Outcome::Done);
    world
}

#[test]
fn vanished_worker_is_emptied() {
    let mut world = world_on_first();
    for _ in 0..5 {
        world.now += 700;
        world.report("w1", vec![run(JOB, 0, 1)], vec![]);
        world
            .cell
            .handle_listing(vec![entry("w1", 4), entry("w2", 4)], world.now);
    }
    let until = world.now + 700;
    assert_eq!(list_without_first(&mut world, until), [("w1".into(), 1)]);
}

/// The store was away and has lost entries: they are waited for.
#[test]
fn vanished_with_the_store_is_waited_for() {
    let mut world = world_on_first();
    world.now += 5_000;
    let until = world.now + 2_600;
    assert!(list_without_first(&mut world, until).is_empty());
    let until = world.now + 700;
    assert_eq!(list_without_first(&mut world, until), [("w1".into(), 1)]);
}
