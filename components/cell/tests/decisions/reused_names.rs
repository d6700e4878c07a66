//! Workers that restart under the same name: incarnations differ only in their start time.

use {
    crate::common::{JOB, World, end, entry, run, step, submission},
    magpie_cell::{
        Cell, EndCause, Entry, Listing, Machine, Order, Outcome, Refusal, Report, RunEnd, Start,
        Wave,
    },
    std::{slice::from_ref, sync::Arc},
    test_case::test_case,
};

const FIRST_START: u64 = 1_700_000_000_000;
const SECOND_START: u64 = FIRST_START + 4_000;
const THIRD_START: u64 = FIRST_START + 9_000;

/// The entry of a worker of 4 cores whose incarnation started at `start_time`.
fn incarnation(name: &str, start_time: u64) -> Entry {
    Entry {
        id: Entry::incarnation_id(name, Some(start_time)),
        started: Some(start_time),
        ..entry(name, 4)
    }
}

fn id(name: &str, start_time: u64) -> Arc<str> {
    Entry::incarnation_id(name, Some(start_time))
}

/// Creates a world in which `w1` and `w2` are listed and have reported.
fn world() -> World {
    let mut world = World::without_reports(&[]);
    world.list(vec![
        incarnation("w1", FIRST_START),
        incarnation("w2", FIRST_START),
    ]);
    world.report(&id("w1", FIRST_START), vec![], vec![]);
    world.report(&id("w2", FIRST_START), vec![], vec![]);
    world
}

/// Creates such a world with one ordered start and the given answer.
fn world_with_start(outcome: Option<Outcome>) -> (World, Arc<str>, Start) {
    let mut world = world();
    world.submit(JOB, vec![step(1, 1_000)]);
    let (worker, start) = world.starts()[0].clone();
    if let Some(outcome) = outcome {
        world.answer(&worker, &start, outcome);
    }
    world.now += 100;
    (world, worker, start)
}

/// The name of a worker and its next incarnation.
fn successor_of(worker: &str) -> (&'static str, Arc<str>) {
    let name = if worker.starts_with("w1") { "w1" } else { "w2" };
    (name, id(name, SECOND_START))
}

/// Lets the second incarnation answer a poll of the first.
fn answer_as_next(world: &mut World, worker: &Arc<str>) -> Entry {
    let now = world.now + 1;
    let added = world.cell.handle_successor(worker, SECOND_START, now, now);
    assert!(!world.cell.is_polled(worker));
    added.unwrap()
}

/// A poll of the incarnation `asked`, sent at `sent`, is answered by one that started at `start_time`.
/// Returns the answering one if it is new, and whether `asked` is still polled.
fn answered_by(
    world: &mut World,
    asked: &Arc<str>,
    start_time: u64,
    sent: u64,
) -> (Option<Arc<str>>, bool) {
    let now = world.now.max(sent);
    let later = world.cell.handle_successor(asked, start_time, sent, now);
    (later.map(|entry| entry.id), world.cell.is_polled(asked))
}

/// An order to the previous incarnation may have been executed by its successor: the task is not
/// restarted until the successor has reported its runs.
#[test_case(None; "no answer yet")]
#[test_case(Some(Outcome::Unknown); "no answer")]
#[test_case(Some(Outcome::Done); "running")]
fn tasks_stay_until_successor_reports(outcome: Option<Outcome>) {
    let (mut world, worker, _) = world_with_start(outcome);
    let (_, next) = successor_of(&worker);
    let added = answer_as_next(&mut world, &worker);
    assert_eq!(added.id, next);
    world.persist();
    assert!(world.starts().is_empty());
    world.now += 10;
    world.report(&next, vec![], vec![]);
    assert!(!world.cell.has_worker(&worker));
    let starts = world.starts();
    assert_eq!(starts.len(), 1);
    assert!(
        !starts[0].0.starts_with(successor_of(&worker).0),
        "its capacity is not known yet"
    );
}

/// A start meant for the previous incarnation arrives late and runs on its successor.
#[test]
fn run_on_successor_is_adopted() {
    let (mut world, worker, start) = world_with_start(Some(Outcome::Unknown));
    let (_, next) = successor_of(&worker);
    answer_as_next(&mut world, &worker);
    world.now += 10;
    world.report(&next, vec![run(JOB, 0, start.run)], vec![]);
    assert!(world.starts().is_empty());
    world.now += 1_000;
    world.report(
        &next,
        vec![],
        vec![end(1, JOB, 0, start.run, EndCause::Done)],
    );
    world.persist();
    assert_eq!(crate::common::state(&world), Some(job::State::Completed));
}

/// Guards against ends that are taken for acknowledged ones: the new incarnation numbers its ends
/// from 1, while the previous one had reached a higher number.
#[test]
fn ends_of_successor_count_from_one() {
    let mut world = world();
    let worker = id("w1", FIRST_START);
    let previous: Vec<RunEnd> = (1..=9)
        .map(|number| end(number, "00000000000000ff", 0, 1, EndCause::Done))
        .collect();
    world.report(&worker, vec![], previous);
    let next = answer_as_next(&mut world, &worker).id;
    world.list(vec![
        incarnation("w1", SECOND_START),
        incarnation("w2", FIRST_START),
    ]);
    world.report(&next, vec![], vec![]);
    world.persist();
    world.submit(JOB, vec![step(4, 2_000)]);
    let starts = world.starts();
    let (_, start) = starts
        .iter()
        .find(|(assigned, _)| *assigned == next)
        .unwrap();
    let start = start.clone();
    world.answer(&next, &start, Outcome::Done);
    world.now += 100;
    let mut done = end(1, JOB, 0, start.run, EndCause::Done);
    done.address = start.address;
    world.report(&next, vec![], vec![done]);
    assert!(world.starts().is_empty());
    let poll = world.cell.next_poll(&next, world.now).unwrap();
    assert!(poll.seen <= 1, "{poll:?}");
}

/// A listing only tells which address to poll. It may be outdated or written by another client;
/// polls to the worker's address show which incarnation is there.
#[test]
fn listing_of_successor_ends_nothing() {
    let (mut world, worker, start) = world_with_start(Some(Outcome::Done));
    let (name, next) = successor_of(&worker);
    let entries = ["w1", "w2"].map(|listed_name| {
        incarnation(
            listed_name,
            if listed_name == name {
                SECOND_START
            } else {
                FIRST_START
            },
        )
    });
    for is_heard in [true, false] {
        if !is_heard {
            world.cell.poll_failed(&worker, world.now);
        }
        assert!(world.list(entries.to_vec()).is_empty());
        assert!(world.starts().is_empty() && world.cell.has_worker(&worker));
    }
    world.report(&worker, vec![run(JOB, 0, start.run)], vec![]);
    assert!(!world.cell.has_worker(&next));
    assert!(world.starts().is_empty());
}

/// An incarnation at another address that is known only from a listing is dropped when it
/// disappears from the listing.
#[test]
fn listing_forgets_incarnation_that_never_answered() {
    let (mut world, worker, start) = world_with_start(Some(Outcome::Done));
    let (name, next) = successor_of(&worker);
    let entries = ["w1", "w2"].map(|listed_name| match listed_name == name {
        true => Entry {
            address: "10.0.0.9:1".into(),
            ..incarnation(listed_name, SECOND_START)
        },
        false => incarnation(listed_name, FIRST_START),
    });
    let added = world.list(entries.to_vec());
    assert_eq!((added.len(), added[0].generation), (1, 1));
    assert!(world.cell.has_worker(&next) && world.cell.has_worker(&worker));
    world.list(vec![
        incarnation("w1", FIRST_START),
        incarnation("w2", FIRST_START),
    ]);
    assert!(!world.cell.has_worker(&next));
    let sent = world.now - 200;
    assert_eq!(
        answered_by(&mut world, &worker, FIRST_START - 1, sent),
        (None, true)
    );
    world.report(&worker, vec![run(JOB, 0, start.run)], vec![]);
    assert!(world.starts().is_empty());
}

/// An outdated store may still list the previous incarnation, whose capacity may differ from that
/// of its successor.
#[test]
fn outdated_listing_gives_successor_no_work() {
    let mut world = world();
    let worker = id("w1", FIRST_START);
    let next = answer_as_next(&mut world, &worker).id;
    let behind = || {
        vec![
            incarnation("w1", FIRST_START),
            incarnation("w2", FIRST_START),
        ]
    };
    for _ in 0..3 {
        world.now += 700;
        world.report(&next, vec![], vec![]);
        assert!(world.list(behind()).is_empty());
    }
    assert!(!world.cell.has_worker(&worker));
    world.submit(JOB, vec![step(6, 1_000)]);
    assert!(
        world
            .starts()
            .iter()
            .all(|(assigned, _)| assigned.starts_with("w2"))
    );
    world.list(vec![
        incarnation("w1", SECOND_START),
        incarnation("w2", FIRST_START),
    ]);
    assert!(world.starts().iter().any(|(assigned, _)| *assigned == next));
}

/// An entry without a start time was not written by a worker that reports one.
#[test]
fn entry_without_start_time_gives_no_work() {
    let mut world = world();
    world.list(vec![entry("w1", 4), incarnation("w2", FIRST_START)]);
    world.submit(JOB, vec![step(6, 1_000)]);
    assert!(
        world
            .starts()
            .iter()
            .all(|(assigned, _)| assigned.starts_with("w2"))
    );
    assert!(world.cell.has_worker(&id("w1", FIRST_START)));
}

/// A successor refuses orders for its predecessor because of their fence. This does not mean that
/// there is another owner.
#[test]
fn fence_of_successor_is_no_other_owner() {
    let (mut world, worker, start) = world_with_start(None);
    answer_as_next(&mut world, &worker);
    let order = Order::Start(start);
    let fence = Outcome::Refused(Refusal::Fence);
    assert!(world.cell.is_superseded(&worker));
    assert!(!world.cell.handle_outcome(&worker, &order, fence, world.now));
    let (_, next) = successor_of(&worker);
    assert!(!world.cell.is_superseded(&next));
    assert!(world.cell.handle_outcome(&next, &order, fence, world.now));
}

/// An answer from an earlier incarnation proves nothing about the one that was polled.
#[test]
fn answer_of_earlier_incarnation_proves_nothing() {
    let mut world = world();
    let worker = id("w1", FIRST_START);
    let next = answer_as_next(&mut world, &worker).id;
    world.report(&next, vec![], vec![]);
    let (before, after) = (world.now - 1, world.now + 1);
    assert_eq!(
        answered_by(&mut world, &next, FIRST_START, before),
        (None, true)
    );
    assert_eq!(
        answered_by(&mut world, &worker, SECOND_START, after),
        (None, false)
    );
    assert!(world.cell.has_worker(&next));
}

/// Each later incarnation of a name gets a higher fence, in whatever order listings and answers
/// reveal them.
#[test]
fn generation_rises() {
    let mut world = world();
    let worker = id("w1", FIRST_START);
    let second = answer_as_next(&mut world, &worker);
    world.report(&second.id, vec![], vec![]);
    let now = world.now + 1;
    let third = world
        .cell
        .handle_successor(&second.id, THIRD_START, now, now)
        .unwrap();
    assert_eq!((second.generation, third.generation), (1, 2));
    // A previous owner knew the first incarnation.
    let inherited = world
        .cell
        .restore_workers(vec![incarnation("w1", FIRST_START)]);
    assert!(inherited.iter().all(|entry| entry.generation <= 2));
}

/// The cell of a new owner, whose listing and persisted fleet contain different incarnations of the
/// worker.
fn world_after_takeover(listed: u64, recorded: u64) -> World {
    let mut cell = Cell::new(crate::common::TIMING);
    cell.handle_listing(vec![incarnation("w1", listed)], 1_000);
    cell.restore_workers(vec![incarnation("w1", recorded)]);
    let mut world = World { cell, now: 1_000 };
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    world.persist();
    world
}

/// A new owner with the previous incarnation in the persisted fleet and its successor in the
/// listing need not wait until the leases of the previous one expire.
#[test]
fn recover_with_both_incarnations() {
    let mut world = world_after_takeover(SECOND_START, FIRST_START);
    let now = world.now;
    let previous = id("w1", FIRST_START);
    assert_eq!(
        answered_by(&mut world, &previous, SECOND_START, now),
        (None, false)
    );
    assert!(world.starts().is_empty());
    world.now += 50;
    world.report(&id("w1", SECOND_START), vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert!(!world.cell.has_worker(&id("w1", FIRST_START)));
    assert_eq!(world.starts().len(), 1);
}

/// Guards against a duplicate start. The listing and the persisted fleet contain the same
/// incarnation, and the next listing shows its successor, before either has answered the new owner:
/// the first one may still run what a previous owner has started there.
#[test]
fn listing_keeps_recorded_incarnation_without_answer() {
    let mut world = World::without_reports(&[]);
    let other = incarnation("w2", FIRST_START);
    world.list(vec![incarnation("w1", FIRST_START), other.clone()]);
    world
        .cell
        .restore_workers(vec![incarnation("w1", FIRST_START), other.clone()]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    world.list(vec![incarnation("w1", SECOND_START), other.clone()]);
    world.report(&other.id, vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert!(world.cell.has_worker(&id("w1", FIRST_START)));
    assert!(world.starts().is_empty());
}

/// The next incarnation may have another address.
#[test]
fn successor_at_other_address() {
    let (mut world, worker, _) = world_with_start(Some(Outcome::Done));
    let (name, next) = successor_of(&worker);
    let mut entries = vec![
        incarnation("w1", FIRST_START),
        incarnation("w2", FIRST_START),
    ];
    entries.retain(|entry| &*entry.name != name);
    entries.push(Entry {
        address: "10.0.0.9:1".into(),
        ..incarnation(name, SECOND_START)
    });
    world.cell.poll_failed(&worker, world.now);
    world.list(entries);
    assert!(world.starts().is_empty());
    world.report(&next, vec![], vec![]);
    assert_eq!(world.starts().len(), 1);
}

/// If the successor is unreachable, the tasks of the previous incarnation are freed when its leases
/// expire.
#[test]
fn unreachable_successor_frees_tasks_after_leases() {
    let (mut world, worker, _) = world_with_start(Some(Outcome::Done));
    answer_as_next(&mut world, &worker);
    let mut runs = Vec::new();
    let other = if worker.starts_with("w1") { "w2" } else { "w1" };
    for _ in 0..80 {
        world.now += 100;
        world.report(&id(other, FIRST_START), runs.clone(), vec![]);
        world.cell.poll_failed(&successor_of(&worker).1, world.now);
        world.cell.expire_leases(world.now);
        for (assigned, start) in world.starts() {
            world.answer(&assigned, &start, Outcome::Done);
            runs.push(run(JOB, 0, start.run));
        }
    }
    assert_eq!(runs.len(), 1);
}

/// A maintenance wave of the machine of `w1`.
fn wave() -> Wave {
    Wave {
        number: 3,
        machines: vec!["m1".into()],
        limit: 1,
        ..Wave::default()
    }
}

/// That machine, up or down for maintenance.
fn machine(up: bool) -> Machine {
    Machine {
        name: "m1".into(),
        up,
        in_maintenance: !up,
        worker: up.then(|| "w1".into()),
    }
}

/// A machine is done when its worker has returned after maintenance under the same name, and the
/// maintenance is proven. A later incarnation alone proves nothing.
#[test_case(true, false, false => false; "a later incarnation is listed")]
#[test_case(true, false, true => true; "the order was answered")]
#[test_case(false, true, false => true; "the machine was seen down")]
#[test_case(true, true, false => true; "a later incarnation is listed and the machine was seen down")]
fn wave_completes_under_same_name(is_listed: bool, is_seen_down: bool, is_answered: bool) -> bool {
    let mut world = world();
    let wave = wave();
    let orders = world
        .cell
        .plan_maintenance(from_ref(&wave), &[machine(true)], world.now);
    assert_eq!(orders.len(), 1);
    if is_answered {
        world.cell.maintenance_begun(&orders[0]);
    }
    if is_seen_down {
        world
            .cell
            .plan_maintenance(from_ref(&wave), &[machine(false)], world.now);
    }
    if is_listed {
        answer_as_next(&mut world, &id("w1", FIRST_START));
        world.list(vec![
            incarnation("w1", SECOND_START),
            incarnation("w2", FIRST_START),
        ]);
    }
    world
        .cell
        .plan_maintenance(from_ref(&wave), &[machine(true)], world.now);
    world.cell.wave_statuses(from_ref(&wave))[0].complete
}

/// If the machine was never seen down, an order alone does not complete the wave.
#[test]
fn order_alone_does_not_complete_wave() {
    let mut world = world();
    let wave = wave();
    for _ in 0..3 {
        world
            .cell
            .plan_maintenance(from_ref(&wave), &[machine(true)], world.now);
    }
    assert!(!world.cell.wave_statuses(from_ref(&wave))[0].complete);
}

/// While its entry is unreadable, neither incarnation gets work, and neither is removed.
#[test]
fn unreadable_entry_keeps_incarnations() {
    let mut world = world();
    let worker = id("w1", FIRST_START);
    let next = answer_as_next(&mut world, &worker).id;
    let listing = Listing {
        entries: vec![incarnation("w2", FIRST_START)],
        unreadable: vec!["w1".into()],
    };
    world.cell.handle_listing(listing, world.now);
    assert!(world.cell.has_worker(&worker) && world.cell.has_worker(&next));
    let report = Report {
        clock: 10,
        ..Report::default()
    };
    world.cell.report(&next, report, world.now, world.now, 1);
    assert!(!world.cell.has_worker(&worker));
    assert!(world.cell.admit(submission(JOB, vec![step(6, 1_000)]), 1));
    assert!(
        world
            .starts()
            .iter()
            .all(|(assigned, _)| assigned.starts_with("w2"))
    );
}

/// The worker's wall clock stepped back during its restart: the start time of the successor is
/// earlier.
#[test]
fn successor_with_clock_that_stepped_back() {
    let (mut world, worker, _) = world_with_start(Some(Outcome::Done));
    let (name, _) = successor_of(&worker);
    let successor = id(name, FIRST_START - 60_000);
    let entries = ["w1", "w2"].map(|listed_name| {
        let start_time = if listed_name == name {
            FIRST_START - 60_000
        } else {
            FIRST_START
        };
        incarnation(listed_name, start_time)
    });
    // By the start times the store is merely outdated.
    assert!(world.list(entries.to_vec()).is_empty());
    world.now += 10;
    let now = world.now;
    let followed = answered_by(&mut world, &worker, FIRST_START - 60_000, now);
    assert_eq!(followed, (Some(successor.clone()), false));
    assert!(world.starts().is_empty());
    world.now += 10;
    world.report(&successor, vec![], vec![]);
    world.list(entries.to_vec());
    assert!(!world.cell.has_worker(&worker));
    assert_eq!(world.starts().len(), 1);
    world.submit("00000000000000a2", vec![step(7, 1_000)]);
    assert!(
        world
            .starts()
            .iter()
            .any(|(assigned, _)| *assigned == successor)
    );
}

/// A new owner sees both incarnations at once, the later one with a clock that stepped back.
#[test]
fn recover_with_clock_that_stepped_back() {
    let mut world = world_after_takeover(FIRST_START, SECOND_START);
    let (previous, later) = (id("w1", SECOND_START), id("w1", FIRST_START));
    let now = world.now;
    assert_eq!(
        answered_by(&mut world, &previous, FIRST_START, now),
        (None, true)
    );
    world.now += 50;
    world.report(&later, vec![], vec![]);
    assert!(world.starts().is_empty());
    world.now += 300;
    let now = world.now;
    assert_eq!(
        answered_by(&mut world, &previous, FIRST_START, now),
        (None, false)
    );
    assert!(!world.cell.has_worker(&previous));
    world.cell.expire_leases(world.now);
    assert_eq!(world.starts().len(), 1);
}

/// The successor crashes before it answers its own poll, and its entry disappears: the incarnation
/// after it is found through the listing.
#[test]
fn incarnation_after_one_that_never_answered() {
    let (mut world, worker, _) = world_with_start(Some(Outcome::Done));
    let (name, next) = successor_of(&worker);
    answer_as_next(&mut world, &worker);
    let other = if name == "w1" { "w2" } else { "w1" };
    world.list(vec![incarnation(other, FIRST_START)]);
    world.cell.expire_leases(world.now);
    assert!(!world.cell.has_worker(&next));
    let added = world.list(vec![
        incarnation(name, THIRD_START),
        incarnation(other, FIRST_START),
    ]);
    assert_eq!(added.len(), 1);
    assert!(world.starts().is_empty());
    world.report(&added[0].id, vec![], vec![]);
    assert!(!world.cell.has_worker(&worker));
    assert_eq!(world.starts().len(), 1);
}
