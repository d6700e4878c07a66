//! Workers that do not answer, that are not asked in time, or whose life is over.

use {
    crate::common::{JOB, World, end, entry, ordered, other_than, run, running, state, step},
    job::{State, Step},
    magpie_cell::{EndCause, Order, Outcome, Reachability, Refusal, Report},
    std::sync::Arc,
};

#[test]
fn silent_worker_frees_after_lease() {
    let (mut world, worker, _) = running(&["w1", "w2"], step(1, 1_000));
    world.cell.next_poll(&worker, world.now);
    let other = other_than(&worker);
    world.now += 4_800;
    world.cell.poll_failed(&worker, world.now);
    world.report(other, vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
    world.now += 200;
    world.cell.expire_leases(world.now);
    assert_eq!(world.starts().len(), 1);
}

/// Seen on a day with workers that go at short notice: each failed poll asked for a new lease and
/// put off the moment at which all leases were surely over.
#[test]
fn failed_polls_extend_nothing() {
    let (mut world, worker, _) = running(&["w1", "w2"], step(1, 1_000));
    let other = other_than(&worker);
    for _ in 0..12 {
        world.cell.next_poll(&worker, world.now);
        world.cell.poll_failed(&worker, world.now);
        world.now += 420;
        world.report(other, vec![], vec![]);
        world.cell.expire_leases(world.now);
    }
    assert_eq!(world.starts().len(), 1);
}

/// A poll whose answer was lost takes 2.8 s; the next one must be answered at once, or the lease
/// runs out while it is held.
#[test]
fn poll_after_lost_one_is_not_held() {
    let mut world = World::new(&["w1"]);
    world.report("w1", vec![], vec![]);
    assert_eq!(world.cell.next_poll("w1", world.now).unwrap().wait, 0);
    let report = Report {
        clock: world.now + 50_000,
        ..Report::default()
    };
    let id: Arc<str> = "w1".into();
    world.cell.report(&id, report, world.now, world.now, 1);
    assert_eq!(world.cell.next_poll("w1", world.now).unwrap().wait, 2_000);
}

/// Seen under a burst: a late owner had not asked a worker for 5 s, took its leases for over and
/// started a task again whose end the worker had listed 3 s before.
#[test]
fn lapse_waits_for_worker_not_asked() {
    let (mut world, worker, start) = running(&["w1", "w2"], step(1, 1_000));
    let other = other_than(&worker);
    world.now += 5_200;
    world.report(other, vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
    let done = end(1, JOB, 0, start.run, EndCause::Done);
    world.report(&worker, vec![], vec![done]);
    world.write();
    assert_eq!(state(&world), Some(State::Completed));
}

#[test]
fn lapse_waits_for_no_silent_worker() {
    let (mut world, worker, _) = running(&["w1", "w2"], step(1, 1_000));
    let other = other_than(&worker);
    world.now += 5_200;
    world.cell.poll_failed(&worker, world.now);
    world.report(other, vec![], vec![]);
    world.cell.expire_leases(world.now);
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
    world.cell.expire_leases(world.now);
    assert_eq!(world.starts().len(), 1);
}

#[test]
fn other_life_frees_all() {
    let (mut world, worker, start) = ordered(&["w1", "w2"], step(1, 1_000));
    let order = Order::Start(start);
    let outcome = Outcome::Refused(Refusal::OtherLife);
    assert!(
        !world
            .cell
            .handle_outcome(&worker, &order, outcome, world.now)
    );
    assert!(!world.cell.has_worker(&worker));
    assert_eq!(world.starts().len(), 1);
}

#[test]
fn new_life_frees_at_once() {
    let (mut world, worker, _) = running(&["w1", "w2"], step(1, 4_000));
    let mut new = entry("w9", 4);
    new.address = entry(&worker, 4).address;
    let other = other_than(&worker);
    let added = world
        .cell
        .handle_listing(vec![new, entry(other, 4)], world.now);
    assert_eq!(added.len(), 1);
    world.now += 1;
    world.report("w9", vec![], vec![]);
    assert!(!world.cell.has_worker(&worker));
    assert_eq!(world.starts().len(), 1);
}

/// Workers that each have a serving task and were polled again right after they had answered.
fn serving(workers: &[&str]) -> World {
    let mut world = World::new(workers);
    let serving = Step {
        lasting: true,
        target: 10,
        image: Some("image".into()),
        ..step(workers.len() as u32, 3_000)
    };
    world.submit(JOB, vec![serving]);
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
        world.report(&worker, vec![run(JOB, start.address.index, 1)], vec![]);
    }
    world
}

/// A hall with the owner in it is cut off, where only w1 is: the others are silent half a second before the lease of the
/// owner is over in the store (2 s), after which another box may claim the cell. They counted as heard for 3 s, and the
/// owner let the lease of w1 go on 0.6 s after the cell had been claimed.
#[test]
fn cut_off_workers_are_silent_before_another_claims() {
    let mut world = serving(&["w1", "w2", "w3", "w4"]);
    let cut = world.now;
    let reach = |heard, silent| Reachability {
        reachable: heard,
        unreachable: silent,
    };
    assert_eq!(world.cell.reachability(cut + 1_000), reach(4, 0));
    for _ in 0..3 {
        world.now += 500;
        world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    }
    world.cell.take_orders();
    assert_eq!(world.cell.reachability(cut + 1_500), reach(4, 0));
    assert_eq!(world.cell.reachability(cut + 1_501), reach(1, 3));
    // Polls that fail show it sooner.
    world.cell.poll_failed("w1", world.now);
    assert_eq!(world.cell.reachability(cut + 1_501), reach(0, 4));
}

/// While the store is away for all, no worker is silent, and those whose polls are held for long are no sign of a cut.
#[test]
fn idle_workers_are_not_silent() {
    let world = World::new(&["w1", "w2"]);
    for after in [0, 1_500, 2_900] {
        assert_eq!(world.cell.reachability(world.now + after).unreachable, 0);
    }
}
