//! The owner's book of relays: each batch is taken on once, whatever is lost on the way.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    cell::{Entry, Order, Poll},
    job::{Address, Id, spec::Size},
    magpie_node::{
        message::{Command, Offer},
        relays::Relays,
    },
};

const FENCE: u64 = 9;

fn entry(id: &str) -> Entry {
    Entry {
        id: id.into(),
        pool: "pool".into(),
        address: "127.0.0.1:1".into(),
        hall: "h1".into(),
        size: Size::default(),
        labels: Vec::new(),
        leaving: false,
        remaining: None,
    }
}

fn offer(name: &str, share: u32) -> Offer {
    Offer {
        name: name.into(),
        share,
        session: 0,
        batch: 0,
        ack: 0,
        heard: Vec::new(),
    }
}

/// A book with one strong relay, and that relay's next offer.
fn joined() -> (Relays, Offer) {
    let mut relays = Relays::default();
    let mut offer = offer("b1", 500);
    assert!(relays.join(&offer, true, 1).unwrap().is_empty());
    offer.session = relays.duty("b1", FENCE, 1).session;
    offer.batch = 1;
    (relays, offer)
}

fn stop() -> Order {
    Order::Stop {
        key: cell::Key {
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
    assert!(relays.join(&offer("b1", 500), false, 1).is_none());
    assert!(relays.join(&offer("weak", 120), true, 1).is_none());
    assert!(relays.assign(entry("w1"), 1).is_none());
    assert!(relays.join(&offer("weak", 120), true, 1).is_some());
    assert_eq!(relays.take_unattended().len(), 1);
}

/// A box with half a core looks after 90 workers.
#[test]
fn has_room_until_full() {
    let mut relays = Relays::default();
    assert!(!relays.has_room());
    relays.join(&offer("b1", 500), true, 1);
    for number in 0..90 {
        assert!(relays.has_room());
        relays.assign(entry(&format!("w{number}")), 1).unwrap();
    }
    assert!(!relays.has_room());
}

#[test]
fn duty_repeated_until_acknowledged() {
    let (mut relays, mut offer) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    let first = relays.duty("b1", FENCE, 1);
    assert_eq!((first.fence, first.commands.len()), (FENCE, 1));
    relays.order("b1", &"w1".into(), 1, stop());
    assert!(relays.take(&offer, 2));
    let again = relays.duty("b1", FENCE, 1);
    assert_eq!((again.batch, again.commands.len()), (first.batch, 1));
    offer.ack = first.batch;
    offer.batch = 2;
    assert!(relays.take(&offer, 3));
    let second = relays.duty("b1", FENCE, 1);
    assert_eq!(second.batch, first.batch + 1);
    assert!(matches!(second.commands[..], [Command::Order(..)]));
}

#[test]
fn offer_repeated_is_not_new() {
    let (mut relays, offer) = joined();
    assert!(relays.take(&offer, 2));
    assert!(!relays.take(&offer, 3));
}

#[test]
fn offer_of_former_session_is_not_taken() {
    let (mut relays, mut offer) = joined();
    offer.session += 1;
    offer.batch = 7;
    assert!(!relays.take(&offer, 2));
}

/// A relay that starts anew has lost its tasks: its workers are given away again.
#[test]
fn join_again_gives_workers_back() {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    let former = relays.join(&offer("b1", 500), true, 2).unwrap();
    assert_eq!(former, ["w1".into()]);
}

#[test]
fn silent_relay_loses_workers() {
    let (mut relays, offer) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.take(&offer, 100);
    for now in (200..=1_300).step_by(100) {
        assert!(relays.lose_silent(now).is_empty());
    }
    assert_eq!(relays.lose_silent(1_301), ["w1".into()]);
    assert_eq!(relays.duty("b1", FENCE, 1).session, 0);
}

#[test]
fn answer_once_by_number() {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.order("b1", &"w1".into(), 1, stop());
    let duty = relays.duty("b1", FENCE, 1);
    let Command::Order(_, number, _, _) = duty.commands[1] else {
        panic!("{:?}", duty.commands);
    };
    assert_eq!(relays.answered(number).unwrap().1, stop());
    assert!(relays.answered(number).is_none());
}

#[test]
fn full_relays_leave_workers_to_owner() {
    let (mut relays, _) = joined();
    for number in 0..90 {
        let id = format!("w{number}");
        assert!(relays.assign(entry(&id), 1).is_some());
    }
    assert!(relays.assign(entry("w90"), 1).is_none());
    assert!(relays.take_neglected(1_500).is_empty());
    assert_eq!(relays.take_neglected(1_501).len(), 1);
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
    let duty = relays.duty("b1", FENCE, 1);
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
    relays.take(&offer, 100);
    assert!(relays.lose_silent(200).is_empty());
    assert!(relays.lose_silent(2_500).is_empty());
    for now in (2_600..=3_700).step_by(100) {
        assert!(relays.lose_silent(now).is_empty());
    }
    assert_eq!(relays.lose_silent(3_800), ["w1".into()]);
}

/// Workers that nobody has room for are tried again and again; that must not start their wait anew,
/// or nobody ever talks to them.
#[test]
fn take_neglected_after_tries() {
    let mut relays = Relays::default();
    assert!(relays.assign(entry("w1"), 1).is_none());
    for now in (100..1_500).step_by(100) {
        assert!(relays.take_neglected(now).is_empty());
        for (entry, since) in relays.take_unattended() {
            assert!(relays.assign(entry, since).is_none());
        }
    }
    assert_eq!(relays.take_neglected(1_600).len(), 1);
}
