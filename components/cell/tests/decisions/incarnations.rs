//! Incarnations of workers: a crashed one stays listed for some seconds beside its successor at the
//! same address.

use {
    crate::common::{JOB, World, entry, run, step, with_ordered_start, with_running_task},
    magpie_cell::{Cell, Entry, Listing, Order, Outcome, Refusal, Report},
    std::sync::Arc,
    test_case::test_case,
};

/// Interval of listings, in milliseconds.
const LIST_INTERVAL: u64 = 700;

/// The entry of a worker at the address of another.
fn entry_at(id: &str, previous: &str) -> Entry {
    Entry {
        address: entry(previous, 4).address,
        ..entry(id, 4)
    }
}

/// Listing of two incarnations at one address and of another worker, sorted by name.
fn listing_of_both(previous: &str, new: &str) -> Vec<Entry> {
    let mut entries = vec![entry(previous, 4), entry_at(new, previous), entry("w9", 4)];
    entries.sort_by(|one, other| one.id.cmp(&other.id));
    entries
}

/// The worker's address answers an order as another incarnation.
fn answer_as_other(cell: &mut Cell, worker: &str, now: u64) {
    let order = Order::Stop {
        key: magpie_cell::TaskKey {
            job: job::Id::new(JOB).unwrap(),
            place: 0,
        },
        address: job::Address {
            time: 0,
            step: 0,
            index: 0,
        },
        run: 1,
    };
    let outcome = Outcome::Refused(Refusal::OtherLife);
    assert!(!cell.handle_outcome(&worker.into(), &order, outcome, now));
}

/// Guards against restarts of running tasks. Each listing re-added the crashed incarnation and
/// removed the live one, whose tasks were started elsewhere while they ran.
#[test_case("w1", "w2"; "previous listed first")]
#[test_case("w2", "w1"; "previous listed last")]
fn listing_keeps_incarnation_beside_predecessor(previous: &str, new: &str) {
    let mut world = World::new(&[previous]);
    world.list(listing_of_both(previous, new));
    answer_as_other(&mut world.cell, previous, world.now);
    world.report(new, vec![], vec![]);
    world.submit(JOB, vec![step(1, 1_000)]);
    let (worker, start) = world.starts()[0].clone();
    assert_eq!(&*worker, new);
    world.answer(&worker, &start, Outcome::Done);
    world.report("w9", vec![], vec![]);
    for _ in 0..4 {
        world.now += LIST_INTERVAL;
        world
            .cell
            .handle_listing(listing_of_both(previous, new), world.now);
        answer_as_other(&mut world.cell, previous, world.now);
        assert!(world.starts().is_empty());
    }
}

/// An incarnation that is proven over is not added again, however long it stays listed.
#[test]
fn listing_ignores_ended_incarnation() {
    let mut world = World::new(&["w1"]);
    answer_as_other(&mut world.cell, "w1", world.now);
    assert!(
        world
            .cell
            .handle_listing(vec![entry("w1", 4)], world.now)
            .is_empty()
    );
    assert!(
        world
            .cell
            .handle_listing(Listing::default(), world.now)
            .is_empty()
    );
}

/// A listing is no proof: runs of a worker that has not answered are not restarted because another
/// worker is listed at its address.
#[test]
fn listing_frees_nothing_without_proof() {
    let (mut world, worker, start) = with_ordered_start(&["w1"], step(1, 1_000));
    world.answer(&worker, &start, Outcome::Done);
    world.list(listing_of_both("w1", "w2"));
    world.report("w9", vec![], vec![]);
    assert!(world.starts().is_empty());
}

/// An incarnation that answers after the last answer of another one at its address is its
/// successor.
#[test]
fn report_ends_predecessor() {
    let (mut world, worker, start) = with_ordered_start(&["w1"], step(1, 1_000));
    world.answer(&worker, &start, Outcome::Done);
    world.now += LIST_INTERVAL;
    world.list(listing_of_both("w1", "w2"));
    world.now += 1;
    world.report("w2", vec![], vec![]);
    assert_eq!(world.starts().len(), 1);
}

/// Passes an empty report whose poll was sent at the given time.
fn report_sent(world: &mut World, worker: &str, sent: u64) {
    let report = Report {
        clock: 50_000,
        ..Report::default()
    };
    let id: Arc<str> = worker.into();
    world.cell.report(&id, report, sent, world.now, 1);
}

/// Reports may arrive out of order through relays. One whose poll was sent before the last answer
/// of the other incarnation proves nothing.
#[test]
fn late_report_keeps_incarnation_that_answered_since() {
    let mut world = World::without_reports(&["w1"]);
    world
        .cell
        .handle_listing(listing_of_both("w1", "w2"), world.now);
    let sent = world.now;
    world.now += 1_000;
    world.report("w2", vec![], vec![]);
    assert!(world.cell.has_worker("w1"));
    report_sent(&mut world, "w1", sent);
    assert!(world.cell.has_worker("w2"));
}

/// Such a report does not end an incarnation that has not answered yet either, since that may be
/// the newer one.
#[test]
fn late_report_keeps_incarnation_without_answer() {
    let mut world = World::without_reports(&["w1"]);
    let sent = world.now;
    world.now += 1_000;
    world
        .cell
        .handle_listing(listing_of_both("w1", "w2"), world.now);
    report_sent(&mut world, "w1", sent);
    assert!(world.cell.has_worker("w2"));
}

/// Within one millisecond the order of two answers is unknown.
#[test]
fn simultaneous_report_ends_nothing() {
    let mut world = World::new(&["w1"]);
    world
        .cell
        .handle_listing(listing_of_both("w1", "w2"), world.now);
    world.report("w2", vec![], vec![]);
    assert!(world.cell.has_worker("w1"));
}

#[test]
fn report_ends_predecessor_of_inherited_worker() {
    let mut world = World::new(&["w1"]);
    world.cell.restore_workers(vec![entry_at("w2", "w1")]);
    world.now += 1;
    world.report("w2", vec![], vec![]);
    assert!(!world.cell.has_worker("w1"));
}

/// Removed workers are reported once, so that their connections are closed.
#[test]
fn removed_workers_are_returned_once() {
    let mut world = World::new(&["w1"]);
    world
        .cell
        .handle_listing(listing_of_both("w1", "w2"), world.now);
    world.now += 1;
    world.report("w2", vec![], vec![]);
    assert_eq!(world.cell.take_removed(), ["w1".into()]);
    assert!(world.cell.take_removed().is_empty());
}

/// The proof that an incarnation is over is kept only while it is listed.
#[test]
fn unlisted_ended_incarnation_is_forgotten() {
    let mut world = World::new(&["w1"]);
    answer_as_other(&mut world.cell, "w1", world.now);
    world.cell.handle_listing(Listing::default(), world.now);
    assert_eq!(
        world
            .cell
            .handle_listing(vec![entry("w1", 4)], world.now)
            .len(),
        1
    );
}

/// The persisted fleet may contain an incarnation whose entry expired during a store outage, while
/// the listing has its predecessor at the same address: a takeover waits for both.
#[test]
fn restored_incarnation_at_listed_address_is_kept() {
    let mut world = World::without_reports(&["w1", "w9"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    let added = world
        .cell
        .restore_workers(vec![entry_at("w2", "w1"), entry("w9", 4)]);
    assert_eq!(added.len(), 1);
    world.cell.recover(world.now);
    answer_as_other(&mut world.cell, "w1", world.now);
    world.report("w9", vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
    world.report("w2", vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert_eq!(world.starts().len(), 1);
}

/// A known worker whose entry is unreadable gets no work; its runs continue and are neither moved
/// nor restarted.
#[test]
fn listing_keeps_worker_with_unreadable_entry() {
    let (mut world, worker, _) = with_running_task(&["w1"], step(1, 1_000));
    let garbled = || Listing {
        entries: vec![],
        unreadable: vec!["w1".into(), "x".into()],
    };
    world.submit("00000000000000b2", vec![step(1, 1_000)]);
    for _ in 0..10 {
        world.now += LIST_INTERVAL;
        world.report("w1", vec![run(JOB, 0, 1)], vec![]);
        assert!(world.cell.handle_listing(garbled(), world.now).is_empty());
        world.cell.expire_leases(world.now);
        assert!(world.starts().is_empty());
    }
    assert!(world.cell.has_worker(&worker));
    world.list(vec![entry("w1", 4)]);
    assert_eq!(world.starts().len(), 1);
}
