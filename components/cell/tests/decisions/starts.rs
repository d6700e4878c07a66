//! What answers to orders to start mean, and what is done about orders without an answer.

use {
    crate::common::{JOB, end, ordered, run, state, step},
    job::State,
    magpie_cell::{EndCause, Order, Outcome, Refusal},
    test_case::test_case,
};

/// An order without an answer may be carried out until its deadline on the worker's clock.
#[test]
fn unknown_start_waits_for_deadline() {
    let (mut world, worker, start) = ordered(&["w1", "w2"], step(1, 1_000));
    world.answer(&worker, &start, Outcome::Unknown);
    world.now += 1_000;
    world.report(&worker, vec![], vec![]);
    assert!(world.starts().is_empty());
    world.now += 600;
    world.report(&worker, vec![], vec![]);
    let again = world.starts();
    assert_eq!(again.len(), 1);
    assert!(again[0].1.run > start.run);
}

#[test]
fn unknown_start_found_running() {
    let (mut world, worker, start) = ordered(&["w1"], step(1, 1_000));
    world.answer(&worker, &start, Outcome::Unknown);
    world.now += 5_000;
    world.report(&worker, vec![run(JOB, 0, start.run)], vec![]);
    assert!(world.starts().is_empty());
    assert_eq!(state(&world), Some(State::Running));
}

/// Workers that carry orders out late kept tasks of a second's work waiting for two more. A run that
/// is stopped before it has begun cannot begin, and its task starts elsewhere at once.
#[test]
fn unknown_start_is_barred() {
    let (mut world, worker, start) = ordered(&["w1", "w2"], step(1, 1_000));
    world.now += 500;
    world.answer(&worker, &start, Outcome::Unknown);
    world.now += 100;
    world.report(&worker, vec![], vec![]);
    assert_eq!(world.stops(), [(worker.clone(), start.run)]);
    assert!(world.starts().is_empty());
    let stop = Order::Stop {
        key: start.key.clone(),
        address: start.address,
        run: start.run,
    };
    world
        .cell
        .handle_outcome(&worker, &stop, Outcome::Done, world.now);
    assert!(world.starts().is_empty());
    world.now += 100;
    world.report(&worker, vec![], vec![]);
    let again = world.starts();
    assert_eq!(again.len(), 1);
    assert!(again[0].1.run > start.run);
}

/// The start came through after all, between the report and the order to stop.
#[test]
fn barred_start_found_running() {
    let (mut world, worker, start) = ordered(&["w1", "w2"], step(1, 1_000));
    world.now += 500;
    world.answer(&worker, &start, Outcome::Unknown);
    world.now += 100;
    world.report(&worker, vec![], vec![]);
    assert_eq!(world.stops().len(), 1);
    world.now += 100;
    world.report(&worker, vec![run(JOB, 0, start.run)], vec![]);
    assert!(world.starts().is_empty());
    world.now += 100;
    let stopped = end(1, JOB, 0, start.run, EndCause::Stopped);
    world.report(&worker, vec![], vec![stopped]);
    assert_eq!(world.starts().len(), 1);
}

#[test_case(Refusal::Room; "room")]
#[test_case(Refusal::Late; "late")]
#[test_case(Refusal::Old; "old")]
#[test_case(Refusal::Unwell; "unwell")]
#[test_case(Refusal::NotSent; "not sent")]
fn refused_start_goes_elsewhere(reason: Refusal) {
    let (mut world, worker, start) = ordered(&["w1", "w2"], step(1, 1_000));
    world.answer(&worker, &start, Outcome::Refused(reason));
    let again = world.starts();
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, worker);
    assert!(again[0].1.run > start.run);
}

#[test]
fn refused_for_fence_deposes() {
    let (mut world, worker, start) = ordered(&["w1"], step(1, 1_000));
    let order = Order::Start(start);
    let outcome = Outcome::Refused(Refusal::Fence);
    assert!(
        world
            .cell
            .handle_outcome(&worker, &order, outcome, world.now)
    );
}
