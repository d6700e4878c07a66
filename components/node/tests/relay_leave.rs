//! The owner's registry while relays leave: hand-over of workers, results of the former relay, and
//! interruptions.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    cell::{Entry, Order, TaskKey},
    job::{Address, Id, spec::Size},
    kernel::wire,
    magpie_node::{
        message::{Command, RelayRequest, WorkerEvent},
        relays::{Need, Relays},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    test_case::test_case,
};

const FENCE: u64 = 9;
/// A link of 200 Mbit/s, in bytes per millisecond.
const LINK: u64 = 25_000;
/// Workers that a relay with the share in these tests can have.
const MAX_WORKERS: usize = 90;

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

fn request(name: &str) -> RelayRequest {
    RelayRequest {
        name: name.into(),
        hall: "h1".into(),
        share: 500,
        link: LINK,
        session: 0,
        batch: 0,
        ack: 0,
        heard: Vec::new(),
        leaving: false,
    }
}

fn stop() -> Order {
    Order::Stop {
        key: TaskKey {
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

/// Adds a relay, and returns its next request.
fn join(relays: &mut Relays, name: &str) -> RelayRequest {
    let request = request(name);
    relays.join(&request, Need::Large, 1).unwrap();
    RelayRequest {
        session: relays.respond(name, FENCE, LINK, 1).session,
        batch: 1,
        ..request
    }
}

/// A registry in which the relay `a1` has the worker `w1`, and the announcement of that relay.
fn with_worker() -> (Relays, RelayRequest) {
    let mut relays = Relays::default();
    let request = join(&mut relays, "a1");
    assert_eq!(relays.assign(entry("w1"), 1), Some("a1".into()));
    let leaving = RelayRequest {
        leaving: true,
        ..request
    };
    (relays, leaving)
}

/// Announces that the relay leaves, and assigns its workers again.
fn leave(relays: &mut Relays, request: &RelayRequest, now: u64) -> Vec<Option<Arc<str>>> {
    let workers = relays.leave(request, now);
    let assigned = workers.iter().map(|id| relays.assign(entry(id), now));
    assigned.collect()
}

/// True if the relay has a session.
fn has_session(relays: &mut Relays, name: &str) -> bool {
    relays.respond(name, FENCE, LINK, 1).session != 0
}

#[test]
fn leave_returns_workers_once() {
    let (mut relays, leaving) = with_worker();
    assert_eq!(relays.leave(&leaving, 10), ["w1".into()]);
    assert!(relays.leave(&leaving, 20).is_empty());
}

#[test]
fn leave_without_announcement() {
    let (mut relays, leaving) = with_worker();
    let request = RelayRequest {
        leaving: false,
        ..leaving
    };
    assert!(relays.leave(&request, 10).is_empty());
    assert!(relays.has_capacity());
}

/// A late request from before a restart must not hand over the workers of the present session.
#[test]
fn leave_of_other_session() {
    let (mut relays, leaving) = with_worker();
    let former = RelayRequest {
        session: leaving.session + 1,
        ..leaving
    };
    assert!(relays.leave(&former, 10).is_empty());
    assert!(relays.has_capacity());
}

/// The other relay gets the worker at once, not after the silence of the leaving one.
#[test]
fn leave_assigns_workers_elsewhere() {
    let (mut relays, leaving) = with_worker();
    join(&mut relays, "b1");
    assert_eq!(leave(&mut relays, &leaving, 10), [Some("b1".into())]);
    let response = relays.respond("b1", FENCE, LINK, 10);
    assert!(matches!(response.commands[..], [Command::Tend(_)]));
    assert!(relays.busy_workers().is_empty());
}

/// Workers keep the connection through the leaving relay, but get no starts, until a relay with
/// capacity joins.
#[test]
fn leave_without_capacity_elsewhere() {
    let (mut relays, leaving) = with_worker();
    assert_eq!(leave(&mut relays, &leaving, 10), [None]);
    assert!(relays.busy_workers().contains("w1"));
    assert!(!relays.is_former("a1", "w1"));
    relays.dismiss_left("a1", 20);
    assert!(has_session(&mut relays, "a1"));
    join(&mut relays, "b1");
    for (entry, since) in relays.take_unassigned() {
        assert_eq!(relays.assign(entry, since), Some("b1".into()));
    }
    assert!(relays.busy_workers().is_empty());
    assert!(relays.is_former("a1", "w1"));
}

/// The owner itself connects to a worker that no relay has had capacity for.
#[test]
fn hand_over_to_owner() {
    let (mut relays, leaving) = with_worker();
    leave(&mut relays, &leaving, 10);
    assert_eq!(relays.take_overdue(1_510).len(), 1);
    relays.hand_over(&"w1".into());
    assert!(relays.is_former("a1", "w1"));
    assert!(relays.accept_current("w1", Some(1)));
    relays.dismiss_left("a1", 1_520);
    assert!(!has_session(&mut relays, "a1"));
}

#[test]
fn dismiss_once_worker_was_polled_elsewhere() {
    let (mut relays, leaving) = with_worker();
    join(&mut relays, "b1");
    leave(&mut relays, &leaving, 10);
    relays.dismiss_left("a1", 20);
    assert!(has_session(&mut relays, "a1"));
    assert!(relays.accept_current("w1", None));
    relays.dismiss_left("a1", 30);
    assert!(!has_session(&mut relays, "a1"));
}

/// The outcome of an order that was on its way is accepted, although its worker has another relay.
#[test]
fn dismiss_once_orders_are_answered() {
    let (mut relays, leaving) = with_worker();
    join(&mut relays, "b1");
    relays.order("a1", &"w1".into(), 5, stop());
    leave(&mut relays, &leaving, 10);
    assert!(relays.accept_current("w1", Some(1)));
    relays.dismiss_left("a1", 20);
    assert!(has_session(&mut relays, "a1"));
    let (worker, order) = relays.complete_order("a1", 1).unwrap();
    assert_eq!((&*worker, order), ("w1", stop()));
    relays.dismiss_left("a1", 30);
    assert!(!has_session(&mut relays, "a1"));
}

#[test]
fn dismiss_only_leaving_relay() {
    let mut relays = Relays::default();
    join(&mut relays, "a1");
    relays.dismiss_left("a1", 10);
    assert!(has_session(&mut relays, "a1"));
}

/// Reports of the former relay count until the worker has answered over the new connection. An
/// older list of runs would make runs that have ended look as if they had come back.
#[test]
fn accept_former_until_current() {
    let (mut relays, leaving) = with_worker();
    join(&mut relays, "b1");
    leave(&mut relays, &leaving, 10);
    assert!(relays.accept_former("a1", "w1", 100));
    assert!(relays.accept_current("w1", Some(101)));
    assert!(!relays.accept_former("a1", "w1", 102));
}

/// A report over the new connection may have been made before one that the former relay delivered
/// first.
#[test_case(99, false; "older")]
#[test_case(100, false; "same time")]
#[test_case(101, true; "newer")]
fn accept_current_by_clock(clock: u64, is_accepted: bool) {
    let (mut relays, leaving) = with_worker();
    join(&mut relays, "b1");
    leave(&mut relays, &leaving, 10);
    assert!(relays.accept_former("a1", "w1", 100));
    assert_eq!(relays.accept_current("w1", Some(clock)), is_accepted);
    assert!(relays.accept_current("w1", Some(clock)));
}

/// The relay is killed while it leaves: workers without another connection are returned once it is
/// silent, and its orders do not stay in flight.
#[test]
fn expire_silent_while_leaving() {
    let (mut relays, leaving) = with_worker();
    relays.order("a1", &"w1".into(), 5, stop());
    assert!(relays.accept_request(&leaving, 100));
    assert_eq!(leave(&mut relays, &leaving, 100), [None]);
    for now in (200..=1_300).step_by(100) {
        assert!(relays.expire_silent(now).is_empty());
    }
    assert_eq!(relays.expire_silent(1_301), ["w1".into()]);
    assert!(relays.complete_order("a1", 1).is_none());
    assert_eq!(relays.take_unassigned().len(), 1);
}

/// Workers that were given to another relay stay there when the leaving one is silent.
#[test]
fn expire_silent_after_hand_over() {
    let (mut relays, leaving) = with_worker();
    let other = join(&mut relays, "b1");
    relays.accept_request(&leaving, 100);
    leave(&mut relays, &leaving, 100);
    for now in (200..=1_400).step_by(100) {
        relays.accept_request(&other, now);
        assert!(relays.expire_silent(now).is_empty());
    }
    assert!(!has_session(&mut relays, "a1") && has_session(&mut relays, "b1"));
    assert!(!relays.accept_former("a1", "w1", 1));
}

/// The relay that has got the worker fails before its first report.
#[test]
fn expire_silent_of_new_relay() {
    let (mut relays, leaving) = with_worker();
    let other = join(&mut relays, "b1");
    relays.order("a1", &"w1".into(), 5, stop());
    relays.accept_request(&other, 100);
    leave(&mut relays, &leaving, 100);
    for now in (200..=1_300).step_by(100) {
        relays.accept_request(&leaving, now);
        assert!(relays.expire_silent(now).is_empty());
    }
    relays.accept_request(&leaving, 1_301);
    assert_eq!(relays.expire_silent(1_301), ["w1".into()]);
    assert!(relays.accept_former("a1", "w1", 7));
    assert!(relays.complete_order("a1", 1).is_some());
}

/// Two relays leave at once: each worker goes to the one that stays, and only the last relay counts
/// as the former one.
#[test]
fn leave_of_two_relays() {
    let (mut relays, leaving) = with_worker();
    let second = join(&mut relays, "b1");
    leave(&mut relays, &leaving, 10);
    join(&mut relays, "c1");
    let leaving = RelayRequest {
        leaving: true,
        ..second
    };
    assert_eq!(leave(&mut relays, &leaving, 20), [Some("c1".into())]);
    assert!(!relays.accept_former("a1", "w1", 5));
    assert!(relays.accept_former("b1", "w1", 6));
    relays.dismiss_left("a1", 30);
    assert!(!has_session(&mut relays, "a1") && has_session(&mut relays, "b1"));
    assert!(relays.accept_current("w1", Some(7)));
    relays.dismiss_left("b1", 40);
    assert!(!has_session(&mut relays, "b1"));
}

/// The worker is lost during the hand-over.
#[test]
fn unassign_during_hand_over() {
    let (mut relays, leaving) = with_worker();
    join(&mut relays, "b1");
    relays.order("a1", &"w1".into(), 5, stop());
    leave(&mut relays, &leaving, 10);
    relays.unassign("b1", &"w1".into());
    relays.dismiss_left("a1", 20);
    assert!(!has_session(&mut relays, "a1"));
}

/// A box that stops is not needed as a relay, also not by a new owner that gets its announcement.
#[test]
fn join_of_leaving_box() {
    let mut relays = Relays::default();
    assert!(relays.assign(entry("w1"), 1).is_none());
    let leaving = RelayRequest {
        session: 77,
        leaving: true,
        ..request("a1")
    };
    assert!(relays.join(&leaving, Need::Short, 5_000).is_none());
    assert!(relays.leave(&leaving, 5_000).is_empty());
    assert!(!relays.accept_request(&leaving, 5_000));
    assert!(!has_session(&mut relays, "a1"));
}

/// A box that has restarted joins again, and its former session is over.
#[test]
fn join_after_restart() {
    let (mut relays, leaving) = with_worker();
    leave(&mut relays, &leaving, 10);
    let former = relays.join(&request("a1"), Need::Large, 20).unwrap();
    assert_eq!(former, ["w1".into()]);
    assert!(relays.has_capacity());
}

/// A leaving relay counts neither as capacity nor in the budget for starts.
#[test]
fn leaving_relay_has_no_capacity() {
    let (mut relays, leaving) = with_worker();
    join(&mut relays, "b1");
    let both = relays.start_budget(u64::from(u32::MAX));
    relays.leave(&leaving, 10);
    assert_eq!(relays.start_budget(u64::from(u32::MAX)) * 2, both);
    for number in 0..MAX_WORKERS {
        let chosen = relays.assign(entry(&format!("v{number}")), 10);
        assert_eq!(chosen, Some("b1".into()));
    }
    assert!(!relays.has_capacity());
}

/// A request as boxes of earlier builds send it and decode it.
#[derive(Debug, Serialize, Deserialize)]
struct EarlierRequest {
    name: Arc<str>,
    hall: Arc<str>,
    share: u32,
    link: u64,
    session: u64,
    batch: u64,
    ack: u64,
    heard: Vec<WorkerEvent>,
}

/// Requests without the announcement have the same bytes as those of earlier builds. An earlier
/// owner does not decode the announcement, so that the relay is silent to it.
#[test]
fn request_of_earlier_build() {
    let plain = request("a1");
    let earlier = EarlierRequest {
        name: plain.name.clone(),
        hall: plain.hall.clone(),
        share: plain.share,
        link: plain.link,
        session: plain.session,
        batch: plain.batch,
        ack: plain.ack,
        heard: Vec::new(),
    };
    let bytes = wire::encode_compact(&earlier).unwrap();
    assert_eq!(wire::encode_compact(&plain).unwrap(), bytes);
    let decoded: RelayRequest = wire::decode(&bytes).unwrap();
    assert!(!decoded.leaving);
    let leaving = RelayRequest {
        leaving: true,
        ..plain
    };
    let bytes = wire::encode_compact(&leaving).unwrap();
    assert!(wire::decode::<RelayRequest>(&bytes).unwrap().leaving);
    assert!(wire::decode::<EarlierRequest>(&bytes).is_err());
}
