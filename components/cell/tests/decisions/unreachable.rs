//! Workers that are unreachable, that are polled late, or whose incarnation is over.

use {
    crate::common::{
        JOB, World, end, entry, other_worker, run, state, step, with_ordered_start,
        with_running_task,
    },
    job::{State, Step},
    magpie_cell::{EndCause, Order, Outcome, Reachability, Refusal, Report},
    std::sync::Arc,
    test_case::test_case,
};

#[test]
fn unreachable_worker_frees_tasks_after_lease() {
    let (mut world, worker, _) = with_running_task(&["w1", "w2"], step(1, 1_000));
    world.cell.next_poll(&worker, world.now);
    let other = other_worker(&worker);
    world.now += 4_800;
    world.cell.poll_failed(&worker, world.now);
    world.report(other, vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
    world.now += 200;
    world.cell.expire_leases(world.now);
    assert_eq!(world.starts().len(), 1);
}

/// Guards against failed polls that extend leases and postpone their expiry.
#[test]
fn failed_polls_extend_no_lease() {
    let (mut world, worker, _) = with_running_task(&["w1", "w2"], step(1, 1_000));
    let other = other_worker(&worker);
    for _ in 0..12 {
        world.cell.next_poll(&worker, world.now);
        world.cell.poll_failed(&worker, world.now);
        world.now += 420;
        world.report(other, vec![], vec![]);
        world.cell.expire_leases(world.now);
    }
    assert_eq!(world.starts().len(), 1);
}

/// A poll whose answer is lost takes 2.8 s. The next one must be answered at once, or the lease
/// expires while the poll is held.
#[test]
fn poll_after_lost_answer_is_not_held() {
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

/// Guards against a duplicate run. An overloaded owner had not polled a worker for 5 s, considered
/// its leases expired and restarted a task whose end the worker had reported 3 s earlier.
#[test]
fn late_owner_waits_for_next_report() {
    let (mut world, worker, start) = with_running_task(&["w1", "w2"], step(1, 1_000));
    let other = other_worker(&worker);
    world.now += 5_200;
    world.report(other, vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
    let done = end(1, JOB, 0, start.run, EndCause::Done);
    world.report(&worker, vec![], vec![done]);
    world.persist();
    assert_eq!(state(&world), Some(State::Completed));
}

#[test]
fn expired_lease_of_unreachable_worker_frees_task() {
    let (mut world, worker, _) = with_running_task(&["w1", "w2"], step(1, 1_000));
    let other = other_worker(&worker);
    world.now += 5_200;
    world.cell.poll_failed(&worker, world.now);
    world.report(other, vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert_eq!(world.starts().len(), 1);
}

/// A long-running task has no end to wait for and must restart soon.
#[test]
fn expired_lease_frees_long_running_task_at_once() {
    let mut long_running = step(1, 1_000);
    long_running.lasting = true;
    let (mut world, worker, _) = with_running_task(&["w1", "w2"], long_running);
    let other = other_worker(&worker);
    world.now += 5_200;
    world.report(other, vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert_eq!(world.starts().len(), 1);
}

#[test]
fn answer_of_other_incarnation_frees_tasks() {
    let (mut world, worker, start) = with_ordered_start(&["w1", "w2"], step(1, 1_000));
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
fn new_incarnation_frees_tasks_at_once() {
    let (mut world, worker, _) = with_running_task(&["w1", "w2"], step(1, 4_000));
    let mut new = entry("w9", 4);
    new.address = entry(&worker, 4).address;
    let other = other_worker(&worker);
    let added = world
        .cell
        .handle_listing(vec![new, entry(other, 4)], world.now);
    assert_eq!(added.len(), 1);
    world.now += 1;
    world.report("w9", vec![], vec![]);
    assert!(!world.cell.has_worker(&worker));
    assert_eq!(world.starts().len(), 1);
}

/// Creates workers with a serving task each that were polled again right after their reports.
fn serving_workers(workers: &[&str]) -> World {
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

/// Workers cut off from the owner count as unreachable half a second before the owner's lease in
/// the store (2 s) expires and another box may claim the cell. With a limit of 3 s an owner in a
/// partitioned hall, where only w1 is, extended the lease of w1 0.6 s after the cell had been
/// claimed.
#[test]
fn partitioned_workers_are_unreachable_before_next_claim() {
    let mut world = serving_workers(&["w1", "w2", "w3", "w4"]);
    let partitioned_at = world.now;
    let reach = |reachable, unreachable| Reachability {
        reachable,
        unreachable,
    };
    assert_eq!(world.cell.reachability(partitioned_at + 1_000), reach(4, 0));
    for _ in 0..3 {
        world.now += 500;
        world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    }
    world.cell.take_orders();
    assert_eq!(world.cell.reachability(partitioned_at + 1_500), reach(4, 0));
    assert_eq!(world.cell.reachability(partitioned_at + 1_501), reach(1, 3));
    // Failed polls show it earlier.
    world.cell.poll_failed("w1", world.now);
    assert_eq!(world.cell.reachability(partitioned_at + 1_501), reach(0, 4));
}

/// Idle workers, whose polls are held long, do not count as unreachable. Nor does a store outage
/// for all boxes make them unreachable.
#[test]
fn idle_workers_are_reachable() {
    let world = World::new(&["w1", "w2"]);
    for after in [0, 1_500, 2_900] {
        assert_eq!(world.cell.reachability(world.now + after).unreachable, 0);
    }
}

/// Reports without tasks at the current time, and returns the lease that the next poll grants on
/// the worker's clock and how long the poll may be held, in milliseconds.
fn next_lease(world: &mut World, worker: &str) -> (u64, u64) {
    let report = Report {
        clock: world.now + 50_000,
        ..Report::default()
    };
    let clock = report.clock;
    let id: Arc<str> = worker.into();
    world.cell.report(&id, report, world.now, world.now, 1);
    let poll = world.cell.next_poll(worker, world.now).unwrap();
    (poll.deadline.saturating_sub(clock), poll.wait)
}

/// Guards against an owner that grants leases beyond the time after which another one that cannot
/// reach the worker counts them as expired: 4.9 s after its claim, of which 0.3 s are left to its
/// first polls.
#[test_case(0; "confirmed now")]
#[test_case(600; "0.6 s ago")]
#[test_case(2_000; "2 s ago")]
#[test_case(4_000; "4 s ago")]
#[test_case(6_000; "6 s ago")]
fn lease_ends_before_successor_counts_it_as_expired(age: u64) {
    let mut world = World::new(&["w1"]);
    world.now += 10_000;
    let confirmed = world.now - age;
    world.cell.set_claim_bound(confirmed, true);
    let (lease, wait) = next_lease(&mut world, "w1");
    let end_on_slow_clock = world.now + lease * 1_021 / 1_000;
    let limit = confirmed + 4_594;
    assert!(lease == 0 || end_on_slow_clock <= limit, "{lease}");
    assert!(lease <= 4_500 && lease + 10 >= limit.saturating_sub(world.now) * 1_000 / 1_021);
    assert_eq!(wait, 1_000);
}

/// While the store confirms the ownership, leases and polls have their full length.
#[test]
fn lease_is_full_while_store_confirms() {
    let mut world = World::new(&["w1"]);
    world.cell.set_claim_bound(world.now + 1_000, false);
    assert_eq!(next_lease(&mut world, "w1"), (4_500, 2_000));
}

/// More than half of the workers must have accepted a poll since the time that counts.
#[test_case(&[], 0; "no worker")]
#[test_case(&[500], 500; "one worker")]
#[test_case(&[500, 300], 300; "half of the workers do not suffice")]
#[test_case(&[100, 500, 300], 300; "two of three")]
#[test_case(&[500, 500, 100, 100], 100; "two of four do not suffice")]
fn majority_confirmed_by_answered_polls(answered: &[u64], expected: u64) {
    let names = ["w1", "w2", "w3", "w4"];
    let mut world = World::without_reports(&names[..answered.len()]);
    let start = world.now;
    for (name, at) in names.iter().zip(answered) {
        let id: Arc<str> = (*name).into();
        let report = Report::default();
        world.cell.report(&id, report, start + at, start + 2_000, 1);
    }
    let expected = if expected > 0 { start + expected } else { 0 };
    assert_eq!(world.cell.majority_confirmed(), expected);
}
