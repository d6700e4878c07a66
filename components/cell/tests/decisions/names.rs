//! A worker that starts again under its former name: when a life began is all that tells it from the one before.

use {
    crate::common::{JOB, World, end, entry, run, step, submission},
    magpie_cell::{
        Cell, EndCause, Entry, Listing, Machine, Order, Outcome, Refusal, Report, RunEnd, Start,
        Wave,
    },
    std::{slice::from_ref, sync::Arc},
    test_case::test_case,
};

const FIRST: u64 = 1_700_000_000_000;
const SECOND: u64 = FIRST + 4_000;
const THIRD: u64 = FIRST + 9_000;

/// The life of a worker of 4 cores that began then.
fn life(name: &str, born: u64) -> Entry {
    Entry {
        id: Entry::incarnation_id(name, Some(born)),
        started: Some(born),
        ..entry(name, 4)
    }
}

fn id(name: &str, born: u64) -> Arc<str> {
    Entry::incarnation_id(name, Some(born))
}

/// A world in which `w1` and `w2` are listed and have answered.
fn world() -> World {
    let mut world = World::unheard(&[]);
    world.list(vec![life("w1", FIRST), life("w2", FIRST)]);
    world.report(&id("w1", FIRST), vec![], vec![]);
    world.report(&id("w2", FIRST), vec![], vec![]);
    world
}

/// The same with a task that was ordered to start.
fn ordered(outcome: Option<Outcome>) -> (World, Arc<str>, Start) {
    let mut world = world();
    world.submit(JOB, vec![step(1, 1_000)]);
    let (worker, start) = world.starts()[0].clone();
    if let Some(outcome) = outcome {
        world.answer(&worker, &start, outcome);
    }
    world.now += 100;
    (world, worker, start)
}

/// The name and the next life of the worker that a life is of.
fn next_of(worker: &str) -> (&'static str, Arc<str>) {
    let name = if worker.starts_with("w1") { "w1" } else { "w2" };
    (name, id(name, SECOND))
}

/// Has a poll of the first life answered by the second.
fn follow(world: &mut World, worker: &Arc<str>) -> Entry {
    let now = world.now + 1;
    let added = world.cell.handle_successor(worker, SECOND, now, now);
    assert!(!world.cell.is_polled(worker));
    added.unwrap()
}

/// A poll of a life, sent then, is answered by one that began then. Returns that one where it is new, and whether the one
/// that was asked is polled on.
fn answered_by(
    world: &mut World,
    asked: &Arc<str>,
    born: u64,
    sent: u64,
) -> (Option<Arc<str>>, bool) {
    let now = world.now.max(sent);
    let later = world.cell.handle_successor(asked, born, sent, now);
    (later.map(|own| own.id), world.cell.is_polled(asked))
}

/// What was meant for the former life may have been begun by the next one: its task is not started elsewhere before that one
/// has told what it has.
#[test_case(None; "no answer yet")]
#[test_case(Some(Outcome::Unknown); "no answer")]
#[test_case(Some(Outcome::Done); "running")]
fn follow_frees_nothing_before_next_life_answers(outcome: Option<Outcome>) {
    let (mut world, worker, _) = ordered(outcome);
    let (_, next) = next_of(&worker);
    let added = follow(&mut world, &worker);
    assert_eq!(added.id, next);
    world.write();
    assert!(world.starts().is_empty());
    world.now += 10;
    world.report(&next, vec![], vec![]);
    assert!(!world.cell.has_worker(&worker));
    let starts = world.starts();
    assert_eq!(starts.len(), 1);
    assert!(
        !starts[0].0.starts_with(next_of(&worker).0),
        "it has not told what room it has"
    );
}

/// A start that was meant for the former life and came late.
#[test]
fn run_of_next_life_is_adopted() {
    let (mut world, worker, start) = ordered(Some(Outcome::Unknown));
    let (_, next) = next_of(&worker);
    follow(&mut world, &worker);
    world.now += 10;
    world.report(&next, vec![run(JOB, 0, start.run)], vec![]);
    assert!(world.starts().is_empty());
    world.now += 1_000;
    world.report(
        &next,
        vec![],
        vec![end(1, JOB, 0, start.run, EndCause::Done)],
    );
    world.write();
    assert_eq!(crate::common::state(&world), Some(job::State::Completed));
}

/// The story of the two incidents: the new life counts its ends from 1, the former one had counted further.
#[test]
fn ends_of_next_life_count_from_one() {
    let mut world = world();
    let worker = id("w1", FIRST);
    let former: Vec<RunEnd> = (1..=9)
        .map(|number| end(number, "00000000000000ff", 0, 1, EndCause::Done))
        .collect();
    world.report(&worker, vec![], former);
    let next = follow(&mut world, &worker).id;
    world.list(vec![life("w1", SECOND), life("w2", FIRST)]);
    world.report(&next, vec![], vec![]);
    world.write();
    world.submit(JOB, vec![step(4, 2_000)]);
    let starts = world.starts();
    let (_, start) = starts.iter().find(|(own, _)| *own == next).unwrap();
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

/// A listing tells whom to ask. What it tells may be another writer's, or older than an answer: where polls go to the address
/// of a worker anyway, they tell who is there.
#[test]
fn list_of_next_life_ends_nothing() {
    let (mut world, worker, start) = ordered(Some(Outcome::Done));
    let (name, next) = next_of(&worker);
    let entries = ["w1", "w2"].map(|own| life(own, if own == name { SECOND } else { FIRST }));
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

/// A life at another address that only the listing tells of goes when it is listed no more: another writer made it up.
#[test]
fn list_forgets_life_that_never_answered() {
    let (mut world, worker, start) = ordered(Some(Outcome::Done));
    let (name, next) = next_of(&worker);
    let entries = ["w1", "w2"].map(|own| match own == name {
        true => Entry {
            address: "10.0.0.9:1".into(),
            ..life(own, SECOND)
        },
        false => life(own, FIRST),
    });
    let added = world.list(entries.to_vec());
    assert_eq!((added.len(), added[0].generation), (1, 1));
    assert!(world.cell.has_worker(&next) && world.cell.has_worker(&worker));
    world.list(vec![life("w1", FIRST), life("w2", FIRST)]);
    assert!(!world.cell.has_worker(&next));
    let sent = world.now - 200;
    assert_eq!(
        answered_by(&mut world, &worker, FIRST - 1, sent),
        (None, true)
    );
    world.report(&worker, vec![run(JOB, 0, start.run)], vec![]);
    assert!(world.starts().is_empty());
}

/// The store is behind: it goes on listing the former life, whose room need not be that of the next one.
#[test]
fn list_behind_gives_next_life_no_work() {
    let mut world = world();
    let worker = id("w1", FIRST);
    let next = follow(&mut world, &worker).id;
    let behind = || vec![life("w1", FIRST), life("w2", FIRST)];
    for _ in 0..3 {
        world.now += 700;
        world.report(&next, vec![], vec![]);
        assert!(world.list(behind()).is_empty());
    }
    assert!(!world.cell.has_worker(&worker));
    world.submit(JOB, vec![step(6, 1_000)]);
    assert!(world.starts().iter().all(|(own, _)| own.starts_with("w2")));
    world.list(vec![life("w1", SECOND), life("w2", FIRST)]);
    assert!(world.starts().iter().any(|(own, _)| *own == next));
}

/// An entry that does not tell when its life began is none that a worker wrote which tells.
#[test]
fn list_without_birth_gives_no_work() {
    let mut world = world();
    world.list(vec![entry("w1", 4), life("w2", FIRST)]);
    world.submit(JOB, vec![step(6, 1_000)]);
    assert!(world.starts().iter().all(|(own, _)| own.starts_with("w2")));
    assert!(world.cell.has_worker(&id("w1", FIRST)));
}

/// The next life refuses what is meant for the former one by its fence, which is no sign of another owner.
#[test]
fn fence_of_next_life_deposes_nobody() {
    let (mut world, worker, start) = ordered(None);
    follow(&mut world, &worker);
    let order = Order::Start(start);
    let fence = Outcome::Refused(Refusal::Fence);
    assert!(world.cell.is_superseded(&worker));
    assert!(!world.cell.handle_outcome(&worker, &order, fence, world.now));
    let (_, next) = next_of(&worker);
    assert!(!world.cell.is_superseded(&next));
    assert!(world.cell.handle_outcome(&next, &order, fence, world.now));
}

/// An answer of a life that began earlier says nothing of the one that was asked.
#[test]
fn follow_earlier_life() {
    let mut world = world();
    let worker = id("w1", FIRST);
    let next = follow(&mut world, &worker).id;
    world.report(&next, vec![], vec![]);
    let (before, after) = (world.now - 1, world.now + 1);
    assert_eq!(answered_by(&mut world, &next, FIRST, before), (None, true));
    assert_eq!(
        answered_by(&mut world, &worker, SECOND, after),
        (None, false)
    );
    assert!(world.cell.has_worker(&next));
}

/// Each later life of a name shows a higher fence, also where listings and answers tell of them in any order.
#[test]
fn generation_rises() {
    let mut world = world();
    let worker = id("w1", FIRST);
    let second = follow(&mut world, &worker);
    world.report(&second.id, vec![], vec![]);
    let now = world.now + 1;
    let third = world
        .cell
        .handle_successor(&second.id, THIRD, now, now)
        .unwrap();
    assert_eq!((second.generation, third.generation), (1, 2));
    // A former owner knew the first one.
    let inherited = world.cell.restore_workers(vec![life("w1", FIRST)]);
    assert!(inherited.iter().all(|own| own.generation <= 2));
}

/// The cell of a new owner: the life that is listed of the worker is another one than in the record of the fleet.
fn taken_over(listed: u64, recorded: u64) -> World {
    let mut cell = Cell::new(crate::common::TIMING);
    cell.handle_listing(vec![life("w1", listed)], 1_000);
    cell.restore_workers(vec![life("w1", recorded)]);
    let mut world = World { cell, now: 1_000 };
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    world.write();
    world
}

/// A new owner finds the former life in the record of the fleet and the next one in the listing: it need not wait until the
/// former one's leases are over.
#[test]
fn recover_with_both_lives() {
    let mut world = taken_over(SECOND, FIRST);
    let now = world.now;
    let former = id("w1", FIRST);
    assert_eq!(answered_by(&mut world, &former, SECOND, now), (None, false));
    assert!(world.starts().is_empty());
    world.now += 50;
    world.report(&id("w1", SECOND), vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert!(!world.cell.has_worker(&id("w1", FIRST)));
    assert_eq!(world.starts().len(), 1);
}

/// The next life may be at another address.
#[test]
fn next_life_elsewhere() {
    let (mut world, worker, _) = ordered(Some(Outcome::Done));
    let (name, next) = next_of(&worker);
    let mut entries = vec![life("w1", FIRST), life("w2", FIRST)];
    entries.retain(|own| &*own.name != name);
    entries.push(Entry {
        address: "10.0.0.9:1".into(),
        ..life(name, SECOND)
    });
    world.cell.poll_failed(&worker, world.now);
    world.list(entries);
    assert!(world.starts().is_empty());
    world.report(&next, vec![], vec![]);
    assert_eq!(world.starts().len(), 1);
}

/// A later life that nobody reaches: what the former one had is free once its leases are over.
#[test]
fn next_life_out_of_reach() {
    let (mut world, worker, _) = ordered(Some(Outcome::Done));
    follow(&mut world, &worker);
    let mut begun = Vec::new();
    let other = if worker.starts_with("w1") { "w2" } else { "w1" };
    for _ in 0..80 {
        world.now += 100;
        world.report(&id(other, FIRST), begun.clone(), vec![]);
        world.cell.poll_failed(&next_of(&worker).1, world.now);
        world.cell.expire_leases(world.now);
        for (own, start) in world.starts() {
            world.answer(&own, &start, Outcome::Done);
            begun.push(run(JOB, 0, start.run));
        }
    }
    assert_eq!(begun.len(), 1);
}

/// A wave of the machine of `w1`.
fn wave() -> Wave {
    Wave {
        number: 3,
        machines: vec!["m1".into()],
        limit: 1,
        done: Vec::new(),
    }
}

/// That machine, up or down for its upkeep.
fn machine(up: bool) -> Machine {
    Machine {
        name: "m1".into(),
        up,
        in_maintenance: !up,
        worker: up.then(|| "w1".into()),
    }
}

/// A machine is done when its worker is back after its upkeep, under the name that it had.
#[test_case(true, false; "a later life is listed")]
#[test_case(false, true; "it was seen down")]
fn wave_is_done_under_same_name(lists: bool, sees: bool) {
    let mut world = world();
    let wave = wave();
    let orders = world
        .cell
        .plan_maintenance(from_ref(&wave), &[machine(true)], world.now);
    assert_eq!(orders.len(), 1);
    if sees {
        world
            .cell
            .plan_maintenance(from_ref(&wave), &[machine(false)], world.now);
    }
    if lists {
        follow(&mut world, &id("w1", FIRST));
        world.list(vec![life("w1", SECOND), life("w2", FIRST)]);
    }
    world
        .cell
        .plan_maintenance(from_ref(&wave), &[machine(true)], world.now);
    assert!(world.cell.wave_statuses(from_ref(&wave))[0].complete);
}

/// Up again so soon that nothing shows it to have been down: the wave goes on.
#[test]
fn wave_is_not_done_by_order_alone() {
    let mut world = world();
    let wave = wave();
    for _ in 0..3 {
        world
            .cell
            .plan_maintenance(from_ref(&wave), &[machine(true)], world.now);
    }
    assert!(!world.cell.wave_statuses(from_ref(&wave))[0].complete);
}

/// Entries that cannot be read keep both lives from work, and none is gone by that.
#[test]
fn list_unreadable_keeps_lives() {
    let mut world = world();
    let worker = id("w1", FIRST);
    let next = follow(&mut world, &worker).id;
    let listing = Listing {
        entries: vec![life("w2", FIRST)],
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
    assert!(world.starts().iter().all(|(own, _)| own.starts_with("w2")));
}

/// The worker's time of day stepped back while it was down: its next life began earlier, by its own word.
#[test]
fn follow_with_clock_that_stepped_back() {
    let (mut world, worker, _) = ordered(Some(Outcome::Done));
    let (name, _) = next_of(&worker);
    let back = id(name, FIRST - 60_000);
    let entries = ["w1", "w2"].map(|own| {
        let born = if own == name { FIRST - 60_000 } else { FIRST };
        life(own, born)
    });
    // As far as the listing goes, the store is behind.
    assert!(world.list(entries.to_vec()).is_empty());
    world.now += 10;
    let now = world.now;
    let followed = answered_by(&mut world, &worker, FIRST - 60_000, now);
    assert_eq!(followed, (Some(back.clone()), false));
    assert!(world.starts().is_empty());
    world.now += 10;
    world.report(&back, vec![], vec![]);
    world.list(entries.to_vec());
    assert!(!world.cell.has_worker(&worker));
    assert_eq!(world.starts().len(), 1);
    world.submit("00000000000000a2", vec![step(7, 1_000)]);
    assert!(world.starts().iter().any(|(own, _)| *own == back));
}

/// A new owner met both at once, the later one with a clock that had stepped back.
#[test]
fn recover_with_clock_that_stepped_back() {
    let mut world = taken_over(FIRST, SECOND);
    let (former, later) = (id("w1", SECOND), id("w1", FIRST));
    let now = world.now;
    assert_eq!(answered_by(&mut world, &former, FIRST, now), (None, true));
    world.now += 50;
    world.report(&later, vec![], vec![]);
    assert!(world.starts().is_empty());
    world.now += 300;
    let now = world.now;
    assert_eq!(answered_by(&mut world, &former, FIRST, now), (None, false));
    assert!(!world.cell.has_worker(&former));
    world.cell.expire_leases(world.now);
    assert_eq!(world.starts().len(), 1);
}

/// The later life crashes before it has answered to its own poll, and its entry is gone: the one after that is found by the
/// listing.
#[test]
fn life_after_one_that_never_answered() {
    let (mut world, worker, _) = ordered(Some(Outcome::Done));
    let (name, next) = next_of(&worker);
    follow(&mut world, &worker);
    let other = if name == "w1" { "w2" } else { "w1" };
    world.list(vec![life(other, FIRST)]);
    world.cell.expire_leases(world.now);
    assert!(!world.cell.has_worker(&next));
    let added = world.list(vec![life(name, THIRD), life(other, FIRST)]);
    assert_eq!(added.len(), 1);
    assert!(world.starts().is_empty());
    world.report(&added[0].id, vec![], vec![]);
    assert!(!world.cell.has_worker(&worker));
    assert_eq!(world.starts().len(), 1);
}
