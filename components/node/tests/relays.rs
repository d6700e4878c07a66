//! The owner's registry of relays: assignment of workers, repeated messages, and limits by capacity
//! and link.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    cell::{Entry, Order, Poll, Refusal, Report, Run, Start},
    job::{Address, Id, spec::Size},
    magpie_node::{
        external::PollError,
        message::{Command, RelayRequest, with_ready},
        relays::{Need, Relays},
        report_delta::ReportDelta,
    },
    test_case::test_case,
};

const FENCE: u64 = 9;
/// A link of 200 Mbit/s, in bytes per millisecond.
const WIDE_LINK: u64 = 25_000;
/// A link of 2 Mbit/s, in bytes per millisecond.
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

fn request(name: &str, share: u32) -> RelayRequest {
    RelayRequest {
        name: name.into(),
        hall: "h1".into(),
        share,
        link: WIDE_LINK,
        session: 0,
        batch: 0,
        ack: 0,
        heard: Vec::new(),
        leaving: false,
    }
}

/// A registry with one strong relay, and the next request of that relay.
fn joined() -> (Relays, RelayRequest) {
    let mut relays = Relays::default();
    let mut request = request("b1", 500);
    assert!(relays.join(&request, Need::Large, 1).unwrap().is_empty());
    request.session = relays.respond("b1", FENCE, WIDE_LINK, 1).session;
    request.batch = 1;
    (relays, request)
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
fn join_only_when_needed() {
    let mut relays = Relays::default();
    assert!(relays.join(&request("b1", 500), Need::None, 1).is_none());
    assert!(relays.join(&request("weak", 120), Need::Large, 1).is_none());
    assert!(relays.assign(entry("w1"), 1).is_none());
    assert!(relays.join(&request("weak", 120), Need::Large, 1).is_some());
    assert_eq!(relays.take_unassigned().len(), 1);
}

/// A box with half a core can have 90 workers.
#[test]
fn has_capacity_until_full() {
    let mut relays = Relays::default();
    assert!(!relays.has_capacity());
    relays.join(&request("b1", 500), Need::Large, 1);
    for number in 0..90 {
        assert!(relays.has_capacity());
        relays.assign(entry(&format!("w{number}")), 1).unwrap();
    }
    assert!(!relays.has_capacity());
}

#[test]
fn response_repeated_until_acknowledged() {
    let (mut relays, mut request) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    let first = relays.respond("b1", FENCE, WIDE_LINK, 1);
    assert_eq!((first.fence, first.commands.len()), (FENCE, 1));
    relays.order("b1", &"w1".into(), 1, stop());
    assert!(relays.accept_request(&request, 2));
    let again = relays.respond("b1", FENCE, WIDE_LINK, 1);
    assert_eq!((again.batch, again.commands.len()), (first.batch, 1));
    request.ack = first.batch;
    request.batch = 2;
    assert!(relays.accept_request(&request, 3));
    let second = relays.respond("b1", FENCE, WIDE_LINK, 1);
    assert_eq!(second.batch, first.batch + 1);
    assert!(matches!(second.commands[..], [Command::Order(..)]));
}

#[test]
fn repeated_request_is_not_new() {
    let (mut relays, request) = joined();
    assert!(relays.accept_request(&request, 2));
    assert!(!relays.accept_request(&request, 3));
}

#[test]
fn request_of_other_session_is_not_accepted() {
    let (mut relays, mut request) = joined();
    request.session += 1;
    request.batch = 7;
    assert!(!relays.accept_request(&request, 2));
}

/// A restarted relay has lost the tasks of its workers: they have to be assigned again.
#[test]
fn join_again_returns_workers() {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    let former = relays.join(&request("b1", 500), Need::Large, 2).unwrap();
    assert_eq!(former, ["w1".into()]);
}

#[test]
fn expire_silent_returns_workers() {
    let (mut relays, request) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.accept_request(&request, 100);
    for now in (200..=1_300).step_by(100) {
        assert!(relays.expire_silent(now).is_empty());
    }
    assert_eq!(relays.expire_silent(1_301), ["w1".into()]);
    assert_eq!(relays.respond("b1", FENCE, WIDE_LINK, 1).session, 0);
}

#[test]
fn complete_order_once() {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.order("b1", &"w1".into(), 1, stop());
    let response = relays.respond("b1", FENCE, WIDE_LINK, 1);
    let Command::Order(_, number, _, _) = response.commands[1] else {
        panic!("{:?}", response.commands);
    };
    assert_eq!(relays.complete_order("b1", number).unwrap().1, stop());
    assert!(relays.complete_order("b1", number).is_none());
}

#[test]
fn workers_without_relay_become_overdue() {
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
fn poll_is_sent_to_relay() {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    let poll = Poll {
        deadline: 5,
        seen: 2,
        wait: 0,
    };
    relays.poll("b1", &"w1".into(), 77, poll);
    let response = relays.respond("b1", FENCE, WIDE_LINK, 1);
    assert!(
        matches!(&response.commands[1], Command::Poll(id, 77, own) if &**id == "w1" && *own == with_ready(poll))
    );
}

/// An owner that a burst of load delayed by seconds must not remove its relays: it has not read
/// their requests yet.
#[test]
fn expire_silent_after_delay_of_owner() {
    let (mut relays, request) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.accept_request(&request, 100);
    assert!(relays.expire_silent(200).is_empty());
    assert!(relays.expire_silent(2_500).is_empty());
    for now in (2_600..=3_700).step_by(100) {
        assert!(relays.expire_silent(now).is_empty());
    }
    assert_eq!(relays.expire_silent(3_800), ["w1".into()]);
}

/// Attempts to assign a waiting worker must not restart its waiting time; otherwise it never
/// becomes overdue, and neither a relay nor the owner connects to it.
#[test]
fn take_overdue_after_attempts() {
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

/// A specification text is sent to a relay once, for any number of tasks of its job.
#[test]
fn order_sends_text_once() {
    let (mut relays, mut request) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.refill_text_budget(WIDE_LINK, false, 5);
    for place in 0..3 {
        relays.order("b1", &"w1".into(), 5, start(JOB, place, "text"));
    }
    let response = relays.respond("b1", FENCE, WIDE_LINK, 5);
    let [
        Command::Tend(_),
        Command::Text(job, text),
        Command::Starts(of, 5, starts),
    ] = &response.commands[..]
    else {
        panic!("{:?}", response.commands);
    };
    assert_eq!(
        (job.as_str(), text.as_deref(), of),
        (JOB, Some("text"), job)
    );
    assert_eq!(starts.len(), 3);
    request.ack = response.batch;
    assert!(relays.accept_request(&request, 6));
    relays.order("b1", &"w1".into(), 7, start(JOB, 3, "text"));
    let response = relays.respond("b1", FENCE, WIDE_LINK, 7);
    assert!(matches!(&response.commands[..], [Command::Starts(_, 7, starts)] if starts.len() == 1));
}

/// A start that is restored from its grouped form equals the one that was ordered.
#[test]
fn compact_start_restores_start() {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.order("b1", &"w1".into(), 5, start(JOB, 2, "text"));
    let response = relays.respond("b1", FENCE, WIDE_LINK, 5);
    let Some(Command::Starts(job, _, starts)) = response.commands.last().cloned() else {
        panic!("{:?}", response.commands);
    };
    let again = starts[0].clone().start(job, "text".into());
    assert_eq!(Order::Start(again), start(JOB, 2, "text"));
}

/// Starts are grouped only while they are consecutive: commands keep their sequence.
#[test]
fn order_keeps_sequence() {
    let (mut relays, _) = joined();
    relays.assign(entry("w1"), 1).unwrap();
    relays.order("b1", &"w1".into(), 5, start(JOB, 0, "text"));
    relays.order("b1", &"w1".into(), 5, stop());
    relays.order("b1", &"w1".into(), 5, start(JOB, 1, "text"));
    relays.order("b1", &"w1".into(), 5, start(OTHER, 0, "other"));
    let response = relays.respond("b1", FENCE, WIDE_LINK, 5);
    assert!(matches!(
        &response.commands[1..],
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

/// Relays of the data hall of the worker come first: each start, poll and report would cross halls
/// twice otherwise.
#[test]
fn assign_prefers_own_hall() {
    let mut relays = Relays::default();
    let mut remote = request("a1", 500);
    remote.hall = "h2".into();
    relays.join(&remote, Need::Large, 1);
    relays.join(&request("b1", 500), Need::Large, 1);
    for number in 0..90 {
        let chosen = relays.assign(entry(&format!("w{number}")), 1).unwrap();
        assert_eq!(&*chosen, "b1");
    }
    assert_eq!(&*relays.assign(entry("w90"), 1).unwrap(), "a1");
}

/// A relay with half a core can have 90 workers, but only 20 on a link of 2 Mbit/s.
#[test]
fn assign_limited_by_link() {
    let mut relays = Relays::default();
    let mut narrow = request("b1", 500);
    narrow.link = NARROW_LINK;
    relays.join(&narrow, Need::Large, 1);
    let assigned =
        (0..90).filter(|number| relays.assign(entry(&format!("w{number}")), 1).is_some());
    assert_eq!(assigned.count(), 20);
}

/// Weak boxes join for workers of their own hall first: each further relay costs the owner
/// exchanges and a text per job.
#[test]
fn join_of_weak_box_for_its_hall() {
    let mut relays = Relays::default();
    assert!(relays.assign(entry("w1"), 100).is_none());
    let mut remote = request("a1", 120);
    remote.hall = "h2".into();
    assert!(relays.join(&remote, Need::Large, 500).is_none());
    assert!(relays.join(&request("b1", 120), Need::Large, 500).is_some());
    let mut other = Relays::default();
    assert!(other.assign(entry("w1"), 100).is_none());
    assert!(other.join(&remote, Need::Large, 1_000).is_some());
}

/// A weak box joins while the owner connects to workers itself. Otherwise, as happened with 18 weak
/// boxes, the owner keeps the workers that were added while all relays were full.
#[test]
fn join_of_weak_box_for_workers_of_owner() {
    let mut relays = Relays::default();
    assert!(relays.join(&request("b1", 120), Need::Large, 1).is_none());
    assert!(relays.join(&request("b1", 120), Need::Short, 1).is_some());
    assert!(relays.join(&request("b2", 120), Need::Short, 1).is_none());
}

/// 17 relays at intervals of 25 ms would take two thirds of 2 Mbit/s for headers alone.
#[test]
fn exchange_interval_by_relays_and_link() {
    let mut relays = Relays::default();
    for number in 0..17 {
        relays.join(&request(&format!("b{number}"), 500), Need::Large, 1);
    }
    assert_eq!(relays.exchange_interval(WIDE_LINK), 25);
    assert_eq!(relays.exchange_interval(NARROW_LINK), 100);
    assert_eq!(relays.exchange_interval(2_500), 25);
}

/// Commands that relays have not acknowledged reduce the number of further starts.
#[test]
fn start_budget_by_unacknowledged_commands() {
    let (mut relays, mut request) = joined();
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
    assert!(relays.start_budget(WIDE_LINK) > 4_000);
    let response = relays.respond("b1", FENCE, NARROW_LINK, 5);
    request.ack = response.batch;
    relays.accept_request(&request, 6);
    assert_eq!(relays.start_budget(NARROW_LINK), before);
}

/// The links of the relays limit the starts, however fast the link of the owner is.
#[test]
fn start_budget_by_links_of_relays() {
    let mut relays = Relays::default();
    for name in ["b1", "b2"] {
        let mut narrow = request(name, 500);
        narrow.link = NARROW_LINK;
        relays.join(&narrow, Need::Large, 1);
    }
    relays.assign(entry("w1"), 1).unwrap();
    let before = relays.start_budget(WIDE_LINK);
    assert!((60..100).contains(&before), "{before}");
    for place in 0..10 {
        relays.order("b1", &"w1".into(), 5, start(JOB, place, &"t".repeat(1_200)));
    }
    assert_eq!(relays.start_budget(WIDE_LINK), before - 10);
}

/// A relay whose link is saturated with starts gets no more until workers have answered.
#[test]
fn busy_workers_until_answered() {
    let mut relays = Relays::default();
    let mut narrow = request("b1", 500);
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
        ready: false,
    }
}

fn report(clock: u64, running: Vec<Run>) -> Report {
    Report {
        clock,
        running,
        ended: Vec::new(),
    }
}

/// Differences between reports are restored to full reports, and the first one after a release is
/// complete.
#[test]
fn decode_report_restores_reports() {
    let (mut relays, _) = joined();
    let id = "w1".into();
    let mut previous = Vec::new();
    let first = report(1, vec![listed(0, 5), listed(1, 6)]);
    let second = report(2, vec![listed(1, 7), listed(2, 8)]);
    for whole in [&first, &second] {
        let delta = ReportDelta::diff(whole.clone(), &mut previous);
        assert_eq!(&relays.decode_report("b1", &id, Ok(delta)).unwrap(), whole);
    }
    relays.reset_baseline("b1", &id);
    let delta = ReportDelta::diff(first.clone(), &mut Vec::new());
    assert_eq!(relays.decode_report("b1", &id, Ok(delta)).unwrap(), first);
    let refused = Err(PollError::Refused(Refusal::Fence));
    assert!(relays.decode_report("b1", &id, refused).is_err());
}

/// Specification texts take a bounded share of the owner's link, and relays read the others from
/// the store. Without the bound, with 235 workers on 2 Mbit/s, the texts exceeded the link and
/// short checks were seconds late.
#[test_case(false, 15; "the store answers")]
#[test_case(true, 50; "the store fails")]
fn texts_limited_by_budget(is_store_failing: bool, sent: usize) {
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
    let response = relays.respond("b1", FENCE, NARROW_LINK, 1_000);
    let texts = response
        .commands
        .iter()
        .filter(|command| matches!(command, Command::Text(_, Some(_))));
    assert_eq!(texts.count(), sent);
    let commands = response
        .commands
        .iter()
        .filter(|command| matches!(command, Command::Text(..)));
    assert_eq!(commands.count(), 50);
}

/// A link capacity in a request that would overflow calculations is capped.
#[test]
fn join_with_unbounded_link() {
    let mut relays = Relays::default();
    let request = RelayRequest {
        link: u64::MAX,
        ..request("b1", 500)
    };
    assert!(relays.join(&request, Need::Large, 1).is_some());
    relays.assign(entry("w1"), 1).unwrap();
    assert!(relays.start_budget(WIDE_LINK) > 0);
}

/// A box that is no relay writes the fence into the jobs that it accepts.
#[test]
fn response_to_idle_box_names_fence() {
    let response = Relays::default().respond("b1", FENCE, WIDE_LINK, 1);
    assert_eq!((response.session, response.fence), (0, FENCE));
}
