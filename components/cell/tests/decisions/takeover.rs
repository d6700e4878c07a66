//! A new owner adopts what runs and starts nothing twice.

use {
    crate::common::{JOB, World, end, run, step},
    job::{Id, State},
    magpie_cell::How,
};

#[test]
fn recover_adopts_running() {
    let mut world = World::unheard(&["w1", "w2"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    assert!(world.starts().is_empty());
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
}

#[test]
fn recover_waits_for_silent_worker() {
    let mut world = World::unheard(&["w1", "w2"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    world.report("w1", vec![], vec![]);
    world.now += 4_500;
    world.cell.lapse(world.now);
    assert!(world.starts().is_empty());
    world.now += 500;
    world.report("w1", vec![], vec![]);
    world.cell.lapse(world.now);
    assert_eq!(world.starts().len(), 1);
}

/// Seen on a day with a store that goes away during a takeover: the next poll waits until ends are
/// written, and meanwhile the leases that the former owner gave were taken for over.
#[test]
fn lapse_keeps_leases_of_former_owner() {
    let mut world = World::unheard(&["w1", "w2"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    let report = magpie_cell::Report {
        clock: 50_000,
        running: vec![run(JOB, 0, 1)],
        ended: vec![],
    };
    world
        .cell
        .report(&"w1".into(), report, world.now, world.now, 1);
    world.report("w2", vec![], vec![]);
    world.now += 1_000;
    world.cell.lapse(world.now);
    assert!(world.starts().is_empty());
}

#[test]
fn resume_numbers_runs_above_former() {
    let mut world = World::new(&["w1"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    let starts = world.starts();
    assert!(starts[0].1.run > 1 + 60);
}

/// Seen on a day with an owner cut off: the new owner heard of the second failure first, took the
/// first one for counted, and started the task once too often.
#[test]
fn failures_count_in_any_order() {
    let mut world = World::unheard(&["w1", "w2"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    world.report("w2", vec![], vec![end(1, JOB, 0, 2, How::Failed)]);
    world.report("w1", vec![], vec![end(1, JOB, 0, 1, How::Failed)]);
    world.now += 5_000;
    world.report("w1", vec![], vec![]);
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
    world.write();
    let state = world.cell.state(&Id::new(JOB).unwrap());
    assert_eq!(state, Some(State::Failed));
}
