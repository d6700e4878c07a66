//! Workers that do not answer, that are not asked in time, or whose life is over.

use {
    crate::common::{JOB, World, end, entry, ordered, other_than, running, state, step},
    job::State,
    magpie_cell::{How, Order, Outcome, Reason, Report},
    std::sync::Arc,
};

#[test]
fn silent_worker_frees_after_lease() {
    let (mut world, worker, _) = running(&["w1", "w2"], step(1, 1_000));
    world.cell.poll(&worker, world.now);
    let other = other_than(&worker);
    world.now += 4_800;
    world.cell.unheard(&worker, world.now);
    world.report(other, vec![], vec![]);
    world.cell.lapse(world.now);
    assert!(world.starts().is_empty());
    world.now += 200;
    world.cell.lapse(world.now);
    assert_eq!(world.starts().len(), 1);
}

/// Seen on a day with workers that go at short notice: each failed poll asked for a new lease and
/// put off the moment at which all leases were surely over.
#[test]
fn failed_polls_extend_nothing() {
    let (mut world, worker, _) = running(&["w1", "w2"], step(1, 1_000));
    let other = other_than(&worker);
    for _ in 0..12 {
        world.cell.poll(&worker, world.now);
        world.cell.unheard(&worker, world.now);
        world.now += 420;
        world.report(other, vec![], vec![]);
        world.cell.lapse(world.now);
    }
    assert_eq!(world.starts().len(), 1);
}

/// A poll whose answer was lost takes 2.8 s; the next one must be answered at once, or the lease
/// runs out while it is held.
#[test]
fn poll_after_lost_one_is_not_held() {
    let mut world = World::new(&["w1"]);
    world.report("w1", vec![], vec![]);
    assert_eq!(world.cell.poll("w1", world.now).unwrap().wait, 0);
    let report = Report {
        clock: world.now + 50_000,
        ..Report::default()
    };
    let id: Arc<str> = "w1".into();
    world.cell.report(&id, report, world.now, world.now, 1);
    assert_eq!(world.cell.poll("w1", world.now).unwrap().wait, 2_000);
}

/// Seen under a burst: a late owner had not asked a worker for 5 s, took its leases for over and
/// started a task again whose end the worker had listed 3 s before.
#[test]
fn lapse_waits_for_worker_not_asked() {
    let (mut world, worker, start) = running(&["w1", "w2"], step(1, 1_000));
    let other = other_than(&worker);
    world.now += 5_200;
    world.report(other, vec![], vec![]);
    world.cell.lapse(world.now);
    assert!(world.starts().is_empty());
    let done = end(1, JOB, 0, start.run, How::Done);
    world.report(&worker, vec![], vec![done]);
    world.write();
    assert_eq!(state(&world), Some(State::Completed));
}

#[test]
fn lapse_waits_for_no_silent_worker() {
    let (mut world, worker, _) = running(&["w1", "w2"], step(1, 1_000));
    let other = other_than(&worker);
    world.now += 5_200;
    world.cell.unheard(&worker, world.now);
    world.report(other, vec![], vec![]);
    world.cell.lapse(world.now);
    assert_eq!(world.starts().len(), 1);
}

/// A lasting task has no end to wait for, and has to run again soon.
#[test]
fn lapse_frees_lasting_at_once() {
    let mut lasting = step(1, 1_000);
    lasting.lasting = true;
    let (mut world, worker, _) = running(&["w1", "w2"], lasting);
    let other = other_than(&worker);
    world.now += 5_200;
    world.report(other, vec![], vec![]);
    world.cell.lapse(world.now);
    assert_eq!(world.starts().len(), 1);
}

#[test]
fn other_life_frees_all() {
    let (mut world, worker, start) = ordered(&["w1", "w2"], step(1, 1_000));
    let order = Order::Start(start);
    let outcome = Outcome::Refused(Reason::OtherLife);
    assert!(!world.cell.answered(&worker, &order, outcome, world.now));
    assert!(!world.cell.knows(&worker));
    assert_eq!(world.starts().len(), 1);
}

#[test]
fn new_life_frees_at_once() {
    let (mut world, worker, _) = running(&["w1", "w2"], step(1, 4_000));
    let mut new = entry("w9", 4);
    new.address = entry(&worker, 4).address;
    let other = other_than(&worker);
    let added = world.cell.list(vec![new, entry(other, 4)], world.now);
    assert_eq!(added.len(), 1);
    world.now += 1;
    world.report("w9", vec![], vec![]);
    assert!(!world.cell.knows(&worker));
    assert_eq!(world.starts().len(), 1);
}
