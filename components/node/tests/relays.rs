//! The owner's book of relays: each batch is taken on once, whatever is lost on the way.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    cell::{Entry, Order, Poll, Refusal, Report, Run, Start},
    job::{Address, Id, spec::Size},
    magpie_node::{
        external::PollError,
        message::{Command, RelayRequest},
        relays::{Need, Relays},
        report_delta::ReportDelta,
    },
    test_case::test_case,
};

const FENCE: u64 = 9;
/// A link of 200 Mbit/s, in bytes a millisecond.
const WIDE: u64 = 25_000;
/// One of 2 Mbit/s.
const NARROW_LINK: u64 = 250;

fn entry(id: &str) -> Entry {
    Entry {
        id: id.into(),
        name: id.into(),
        started: None,
        generation: 0,
        pool: "pool".into(),
        address: "127.0.0.1:1".into(),
        hall: "h1".into(),
        size: Size::default(),
        labels: Vec::new(),
        leaving: false,
        remaining: None,
    }
}

fn offer(name: &str, share: u32) -> RelayRequest {
    RelayRequest {
        name: name.into(),
        hall: "h1".into(),
        share,
        link: WIDE,
        session: 0,
        batch: 0,
        ack: 0,
        heard: Vec::new(),
    }
}

/// A book with one strong relay, and that relay's next offer.
fn joined() -> (Relays, RelayRequest) {
    let mut relays = Relays::default();
    let mut offer = offer("b1", 500);
    assert!(relays.join(&offer, Need::Large, 1).unwrap().is_empty());
    offer.session = relays.duty("b1", FENCE, WIDE, 1).session;
    offer.batch = 1;
    (relays, offer)
}

fn stop() -> Order {
    Order::Stop {
        key: cell::TaskKey {
            job: Id::new("00000000000000a1").unwrap(),
            place: 0,
        },
        address: Address {
            time: 0,
            step: 0,
            index: 0,
        },
        run: 1,
    }
}

#[test]
fn join_only_when_of_use() {
    let mut relays = Relays::default();
    assert!(relays.join(&offer("b1", 500), Need::None, 1).is_none());
    assert!(relays.join(&offer("weak", 120), Need::Large, 1).is_none());
    assert!(relays.assign(entry("w1"), 1).is_none());
    assert!(relays.join(&offer("weak", 120), Need::Large, 1).is_some());
    assert_eq!(relays.take_unassigned().len(), 1);
}

/// A box with half a core looks after 90 workers.
#[test]
fn has_room_until_full() {
    let mut relays = Relays::default();
    assert!(!relays.has_capacity());
    relays.join(&offer("b1", 500), Need::Large, 1);
    for number in 0..90 {
        assert!(relays.has_capacity());
        relays.assign(entry(&format!("w{number}")), 1).unwrap();
    }
    assert!(!relays.has_capacity());
}

#[test]
fn duty_repeated_until_acknowledged() {
    let (mut relays, mut offer) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    let first = relays.duty("b1", FENCE, WIDE, 1);
    assert_eq!((first.fence, first.commands.len()), (FENCE, 1));
    relays.order("b1", &"w1".into(), 1, stop());
    assert!(relays.accept_offer(&offer, 2));
    let again = relays.duty("b1", FENCE, WIDE, 1);
    assert_eq!((again.batch, again.commands.len()), (first.batch, 1));
    offer.ack = first.batch;
    offer.batch = 2;
    assert!(relays.accept_offer(&offer, 3));
    let second = relays.duty("b1", FENCE, WIDE, 1);
    assert_eq!(second.batch, first.batch + 1);
    assert!(matches!(second.commands[..], [Command::Order(..)]));
}

#[test]
fn offer_repeated_is_not_new() {
    let (mut relays, offer) = joined();
    assert!(relays.accept_offer(&offer, 2));
    assert!(!relays.accept_offer(&offer, 3));
}

#[test]
fn offer_of_former_session_is_not_taken() {
    let (mut relays, mut offer) = joined();
    offer.session += 1;
    offer.batch = 7;
    assert!(!relays.accept_offer(&offer, 2));
}

/// A relay that starts anew has lost its tasks: its workers are given away again.
#[test]
fn join_again_gives_workers_back() {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    let former = relays.join(&offer("b1", 500), Need::Large, 2).unwrap();
    assert_eq!(former, ["w1".into()]);
}

#[test]
fn silent_relay_loses_workers() {
    let (mut relays, offer) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.accept_offer(&offer, 100);
    for now in (200..=1_300).step_by(100) {
        assert!(relays.expire_silent(now).is_empty());
    }
    assert_eq!(relays.expire_silent(1_301), ["w1".into()]);
    assert_eq!(relays.duty("b1", FENCE, WIDE, 1).session, 0);
}

#[test]
fn answer_once_by_number() {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.order("b1", &"w1".into(), 1, stop());
    let duty = relays.duty("b1", FENCE, WIDE, 1);
    let Command::Order(_, number, _, _) = duty.commands[1] else {
        panic!("{:?}", duty.commands);
    };
    assert_eq!(relays.complete_order("b1", number).unwrap().1, stop());
    assert!(relays.complete_order("b1", number).is_none());
}

#[test]
fn full_relays_leave_workers_to_owner() {
    let (mut relays, _) = joined();
    for number in 0..90 {
        let id = format!("w{number}");
        assert!(relays.assign(entry(&id), 1).is_some());
    }
    assert!(relays.assign(entry("w90"), 1).is_none());
    assert!(relays.take_overdue(1_500).is_empty());
    assert_eq!(relays.take_overdue(1_501).len(), 1);
}

#[test]
fn poll_goes_to_relay() {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    let poll = Poll {
        deadline: 5,
        seen: 2,
        wait: 0,
    };
    relays.poll("b1", &"w1".into(), 77, poll);
    let duty = relays.duty("b1", FENCE, WIDE, 1);
    assert!(
        matches!(&duty.commands[1], Command::Poll(id, 77, own) if &**id == "w1" && *own == poll)
    );
}

/// Seen on a grown site under a burst: the owner itself was late by seconds, took all relays for
/// gone and gave their workers away.
#[test]
fn late_owner_blames_no_relay() {
    let (mut relays, offer) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.accept_offer(&offer, 100);
    assert!(relays.expire_silent(200).is_empty());
    assert!(relays.expire_silent(2_500).is_empty());
    for now in (2_600..=3_700).step_by(100) {
        assert!(relays.expire_silent(now).is_empty());
    }
    assert_eq!(relays.expire_silent(3_800), ["w1".into()]);
}

/// Workers that nobody has room for are tried again and again; that must not start their wait anew,
/// or nobody ever talks to them.
#[test]
fn take_neglected_after_tries() {
    let mut relays = Relays::default();
    assert!(relays.assign(entry("w1"), 1).is_none());
    for now in (100..1_500).step_by(100) {
        assert!(relays.take_overdue(now).is_empty());
        for (entry, since) in relays.take_unassigned() {
            assert!(relays.assign(entry, since).is_none());
        }
    }
    assert_eq!(relays.take_overdue(1_600).len(), 1);
}

fn start(job: &str, place: usize, text: &str) -> Order {
    Order::Start(Start {
        key: cell::TaskKey {
            job: Id::new(job).unwrap(),
            place,
        },
        address: Address {
            time: 0,
            step: 0,
            index: place as u32,
        },
        run: 1,
        text: text.into(),
        saved: None,
        deadline: 1_500,
        ticket: None,
    })
}

const JOB: &str = "00000000000000a1";
const OTHER: &str = "00000000000000b2";

/// A specification goes to a relay once, whatever number of tasks it is for.
#[test]
fn order_sends_text_once() {
    let (mut relays, mut offer) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.refill_text_budget(WIDE, false, 5);
    for place in 0..3 {
        relays.order("b1", &"w1".into(), 5, start(JOB, place, "text"));
    }
    let duty = relays.duty("b1", FENCE, WIDE, 5);
    let [
        Command::Tend(_),
        Command::Text(job, text),
        Command::Starts(of, 5, begins),
    ] = &duty.commands[..]
    else {
        panic!("{:?}", duty.commands);
    };
    assert_eq!(
        (job.as_str(), text.as_deref(), of),
        (JOB, Some("text"), job)
    );
    assert_eq!(begins.len(), 3);
    offer.ack = duty.batch;
    assert!(relays.accept_offer(&offer, 6));
    relays.order("b1", &"w1".into(), 7, start(JOB, 3, "text"));
    let duty = relays.duty("b1", FENCE, WIDE, 7);
    assert!(matches!(&duty.commands[..], [Command::Starts(_, 7, begins)] if begins.len() == 1));
}

/// A start that comes back from its grouped form is the one that was ordered.
#[test]
fn begin_is_the_start_again() {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.order("b1", &"w1".into(), 5, start(JOB, 2, "text"));
    let duty = relays.duty("b1", FENCE, WIDE, 5);
    let Some(Command::Starts(job, _, begins)) = duty.commands.last().cloned() else {
        panic!("{:?}", duty.commands);
    };
    let again = begins[0].clone().start(job, "text".into());
    assert_eq!(Order::Start(again), start(JOB, 2, "text"));
}

/// Between orders of other kinds the order of all commands stays.
#[test]
fn order_keeps_its_turn() {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.order("b1", &"w1".into(), 5, start(JOB, 0, "text"));
    relays.order("b1", &"w1".into(), 5, stop());
    relays.order("b1", &"w1".into(), 5, start(JOB, 1, "text"));
    relays.order("b1", &"w1".into(), 5, start(OTHER, 0, "other"));
    let duty = relays.duty("b1", FENCE, WIDE, 5);
    assert!(matches!(
        &duty.commands[1..],
        [
            Command::Text(..),
            Command::Starts(..),
            Command::Order(..),
            Command::Starts(..),
            Command::Text(..),
            Command::Starts(..),
        ]
    ));
}

/// Each start, poll and report of a worker would cross halls twice otherwise.
#[test]
fn assign_prefers_own_hall() {
    let mut relays = Relays::default();
    let mut far = offer("a1", 500);
    far.hall = "h2".into();
    relays.join(&far, Need::Large, 1);
    relays.join(&offer("b1", 500), Need::Large, 1);
    for number in 0..90 {
        let chosen = relays.assign(entry(&format!("w{number}")), 1).unwrap();
        assert_eq!(&*chosen, "b1");
    }
    assert_eq!(&*relays.assign(entry("w90"), 1).unwrap(), "a1");
}

/// A relay of half a core looks after 90 workers, but not on a link that carries 20.
#[test]
fn assign_keeps_to_the_link() {
    let mut relays = Relays::default();
    let mut narrow = offer("b1", 500);
    narrow.link = NARROW_LINK;
    relays.join(&narrow, Need::Large, 1);
    let given = (0..90).filter(|number| relays.assign(entry(&format!("w{number}")), 1).is_some());
    assert_eq!(given.count(), 20);
}

/// Weak boxes are taken on for workers of their own hall first: each relay more costs the owner an exchange and
/// a text for each job.
#[test]
fn join_of_weak_box_for_its_hall() {
    let mut relays = Relays::default();
    assert!(relays.assign(entry("w1"), 100).is_none());
    let mut far = offer("a1", 120);
    far.hall = "h2".into();
    assert!(relays.join(&far, Need::Large, 500).is_none());
    assert!(relays.join(&offer("b1", 120), Need::Large, 500).is_some());
    let mut other = Relays::default();
    assert!(other.assign(entry("w1"), 100).is_none());
    assert!(other.join(&far, Need::Large, 1_000).is_some());
}

/// Seen on 18 weak boxes: the owner went on talking to workers that had come when all relays were full, since a
/// further one was wanted only while a worker had none at all.
#[test]
fn join_of_weak_box_for_workers_of_the_owner() {
    let mut relays = Relays::default();
    assert!(relays.join(&offer("b1", 120), Need::Large, 1).is_none());
    assert!(relays.join(&offer("b1", 120), Need::Short, 1).is_some());
    assert!(relays.join(&offer("b2", 120), Need::Short, 1).is_none());
}

/// 17 relays at 25 ms would take two thirds of 2 Mbit/s for heads alone.
#[test]
fn pause_by_relays_and_link() {
    let mut relays = Relays::default();
    for number in 0..17 {
        relays.join(&offer(&format!("b{number}"), 500), Need::Large, 1);
    }
    assert_eq!(relays.exchange_interval(WIDE), 25);
    assert_eq!(relays.exchange_interval(NARROW_LINK), 100);
    assert_eq!(relays.exchange_interval(2_500), 25);
}

/// What is on its way to relays and not acknowledged leaves less room for further starts.
#[test]
fn starts_by_what_is_on_its_way() {
    let (mut relays, mut offer) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    let before = relays.start_budget(NARROW_LINK);
    assert!((100..300).contains(&before), "{before}");
    let text = "t".repeat(4_000);
    relays.refill_text_budget(NARROW_LINK, true, 5);
    for number in 0..20 {
        let job = format!("{number:016x}");
        relays.order("b1", &"w1".into(), 5, start(&job, 0, &text));
    }
    assert_eq!(relays.start_budget(NARROW_LINK), 0);
    assert!(relays.start_budget(WIDE) > 4_000);
    let duty = relays.duty("b1", FENCE, NARROW_LINK, 5);
    offer.ack = duty.batch;
    relays.accept_offer(&offer, 6);
    assert_eq!(relays.start_budget(NARROW_LINK), before);
}

/// No more is decided than the relays' links take, however wide the owner's is.
#[test]
fn starts_by_links_of_relays() {
    let mut relays = Relays::default();
    for name in ["b1", "b2"] {
        let mut narrow = offer(name, 500);
        narrow.link = NARROW_LINK;
        relays.join(&narrow, Need::Large, 1);
    }
    relays.assign(entry("w1"), 1).unwrap();
    let before = relays.start_budget(WIDE);
    assert!((60..100).contains(&before), "{before}");
    for place in 0..10 {
        relays.order("b1", &"w1".into(), 5, start(JOB, place, &"t".repeat(1_200)));
    }
    assert_eq!(relays.start_budget(WIDE), before - 10);
}

/// A relay whose link is full of starts gets no more until workers have answered.
#[test]
fn busy_until_answered() {
    let mut relays = Relays::default();
    let mut narrow = offer("b1", 500);
    narrow.link = NARROW_LINK;
    relays.join(&narrow, Need::Large, 1);
    relays.assign(entry("w1"), 1).unwrap();
    let text = "t".repeat(1_200);
    for place in 0..50 {
        relays.order("b1", &"w1".into(), 5, start(JOB, place, &text));
    }
    assert_eq!(relays.busy_workers().len(), 1);
    for number in 1..=10 {
        relays.complete_order("b1", number).unwrap();
    }
    assert!(relays.busy_workers().is_empty());
    relays.unassign("b1", &"w1".into());
    assert!(relays.busy_workers().is_empty());
}

fn listed(place: u32, figure: u64) -> Run {
    Run {
        job: Id::new(JOB).unwrap(),
        address: Address {
            time: 0,
            step: 0,
            index: place,
        },
        run: 1,
        saved: None,
        figure,
    }
}

fn report(clock: u64, running: Vec<Run>) -> Report {
    Report {
        clock,
        running,
        ended: Vec::new(),
    }
}

/// What a relay tells of a worker stands for whole reports, until the relay leaves the worker.
#[test]
fn read_makes_reports_whole() {
    let (mut relays, _) = joined();
    let id = "w1".into();
    let mut known = Vec::new();
    let first = report(1, vec![listed(0, 5), listed(1, 6)]);
    let second = report(2, vec![listed(1, 7), listed(2, 8)]);
    for whole in [&first, &second] {
        let news = ReportDelta::diff(whole.clone(), &mut known);
        assert_eq!(&relays.decode_report("b1", &id, Ok(news)).unwrap(), whole);
    }
    relays.reset_baseline("b1", &id);
    let news = ReportDelta::diff(first.clone(), &mut Vec::new());
    assert_eq!(relays.decode_report("b1", &id, Ok(news)).unwrap(), first);
    let refused = Err(PollError::Refused(Refusal::Fence));
    assert!(relays.decode_report("b1", &id, refused).is_err());
}

/// Seen with 235 workers on 2 Mbit/s: specifications took more than the owner's link, and quick checks came late by
/// seconds. Relays read those from the store that do not fit.
#[test_case(false, 15; "the store answers")]
#[test_case(true, 50; "the store fails")]
fn texts_keep_to_their_part(is_store_failing: bool, sent: usize) {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    let text = "t".repeat(1_000);
    relays.refill_text_budget(NARROW_LINK, is_store_failing, 1_000);
    for number in 0..50 {
        relays.order(
            "b1",
            &"w1".into(),
            1_000,
            start(&format!("{number:016x}"), 0, &text),
        );
    }
    let duty = relays.duty("b1", FENCE, NARROW_LINK, 1_000);
    let texts = duty
        .commands
        .iter()
        .filter(|command| matches!(command, Command::Text(_, Some(_))));
    assert_eq!(texts.count(), sent);
    let told = duty
        .commands
        .iter()
        .filter(|command| matches!(command, Command::Text(..)));
    assert_eq!(told.count(), 50);
}

/// An offer with a link beyond all numbers is one of a fast link.
#[test]
fn join_with_endless_link() {
    let mut relays = Relays::default();
    let offer = RelayRequest {
        link: u64::MAX,
        ..offer("b1", 500)
    };
    assert!(relays.join(&offer, Need::Large, 1).is_some());
    relays.assign(entry("w1"), 1).unwrap();
    assert!(relays.start_budget(WIDE) > 0);
}
