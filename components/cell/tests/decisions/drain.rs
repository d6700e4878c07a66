//! Tasks are moved off workers that leave, within what their steps may miss.

use crate::common::{JOB, World, entry, run, step};

fn leaving(world: &mut World) {
    let mut going = entry("w1", 4);
    going.leaving = true;
    going.remaining = Some(2_000);
    world.cell.list(vec![going], world.now);
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
