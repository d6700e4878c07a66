//! Answers to start orders, and starts without an answer.

use {
    crate::common::{JOB, end, run, state, step, with_ordered_start},
    job::State,
    magpie_cell::{EndCause, Order, Outcome, Refusal},
    test_case::test_case,
};

/// An unanswered start may be executed until its deadline on the worker's clock.
#[test]
fn unanswered_start_waits_for_deadline() {
    let (mut world, worker, start) = with_ordered_start(&["w1", "w2"], step(1, 1_000));
    world.answer(&worker, &start, Outcome::Unknown);
    world.now += 1_000;
    world.report(&worker, vec![], vec![]);
    assert!(world.starts().is_empty());
    world.now += 600;
    world.report(&worker, vec![], vec![]);
    let restarts = world.starts();
    assert_eq!(restarts.len(), 1);
    assert!(restarts[0].1.run > start.run);
}

#[test]
fn unanswered_start_found_running() {
    let (mut world, worker, start) = with_ordered_start(&["w1"], step(1, 1_000));
    world.answer(&worker, &start, Outcome::Unknown);
    world.now += 5_000;
    world.report(&worker, vec![run(JOB, 0, start.run)], vec![]);
    assert!(world.starts().is_empty());
    assert_eq!(state(&world), Some(State::Running));
}

/// An unanswered start is barred with a stop, since a run that is stopped before it begins cannot
/// begin, and the task starts elsewhere at once. Waiting for the deadline delayed tasks of one
/// second by two more.
#[test]
fn unanswered_start_is_barred() {
    let (mut world, worker, start) = with_ordered_start(&["w1", "w2"], step(1, 1_000));
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
    let restarts = world.starts();
    assert_eq!(restarts.len(), 1);
    assert!(restarts[0].1.run > start.run);
}

/// The start was executed after all, between the report and the stop.
#[test]
fn barred_start_found_running() {
    let (mut world, worker, start) = with_ordered_start(&["w1", "w2"], step(1, 1_000));
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
fn refused_start_is_placed_elsewhere(reason: Refusal) {
    let (mut world, worker, start) = with_ordered_start(&["w1", "w2"], step(1, 1_000));
    world.answer(&worker, &start, Outcome::Refused(reason));
    let restarts = world.starts();
    assert_eq!(restarts.len(), 1);
    assert_ne!(restarts[0].0, worker);
    assert!(restarts[0].1.run > start.run);
}

#[test]
fn refused_fence_means_other_owner() {
    let (mut world, worker, start) = with_ordered_start(&["w1"], step(1, 1_000));
    let order = Order::Start(start);
    let outcome = Outcome::Refused(Refusal::Fence);
    assert!(
        world
            .cell
            .handle_outcome(&worker, &order, outcome, world.now)
    );
}
