//! Decisions of a takeover: which fences in entries are valid, which jobs an owner admits, and which
//! seals a new owner relies on.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    job::{Id, Queue, Spec, Step, Submission},
    kernel::wire,
    magpie_node::{
        decode,
        fence::{self, HeldJobs, HighestFence, Verdict, valid_fence},
        keys,
        message::{Head, SealRecord},
        store::Item,
    },
    test_case::test_case,
};

const FIRST: &str = "00000000000000a1";
const SECOND: &str = "00000000000000b2";

fn id(text: &str) -> Id {
    Id::new(text).unwrap()
}

fn submission(text: &str, fence: u64) -> Submission {
    Submission {
        id: id(text),
        spec: Spec {
            text: "text".into(),
            steps: vec![Step {
                count: 1,
                ..Step::default()
            }],
            timetable: None,
        },
        queue: Queue {
            name: "queue".into(),
            host: "host".into(),
            prefix: "/".into(),
            pool: "pool".into(),
            priority: 0,
            attempts: 1,
            stretch: 1.0,
            target: 1,
            advised: false,
        },
        accepted: 1,
        fence,
    }
}

#[test]
fn highest_fence_only_rises() {
    let highest = HighestFence::default();
    assert_eq!(highest.get(), 0);
    highest.raise(7);
    highest.raise(5);
    assert_eq!(highest.get(), 7);
}

#[test_case(0, 0; "none")]
#[test_case(9, 9; "earlier revision")]
#[test_case(10, 0; "revision of the entry")]
#[test_case(u64::MAX, 0; "later revision")]
fn valid_fence_at_revision_10(named: u64, valid: u64) {
    assert_eq!(valid_fence(named, 10), valid);
}

/// An owner with fence 20 that has written its head last at revision 30.
#[test_case(0, Verdict::Admit; "no fence")]
#[test_case(19, Verdict::Admit; "earlier fence")]
#[test_case(20, Verdict::Admit; "own fence")]
#[test_case(21, Verdict::AdmitUnnamed; "disproven fence")]
#[test_case(30, Verdict::AdmitUnnamed; "revision of the head")]
#[test_case(31, Verdict::Hold; "later fence")]
fn verdict_of_entry(named: u64, expected: Verdict) {
    assert_eq!(fence::verdict(named, 20, 30), expected);
}

/// An entry of the store at revision 10 that names a fence.
fn stored(named: u64) -> Item {
    Item {
        key: keys::job(&id(FIRST)),
        value: wire::encode(&submission(FIRST, named)).unwrap(),
        revision: 10,
        store_revision: 12,
    }
}

#[test_case(9, 9; "valid")]
#[test_case(11, 0; "above its revision")]
fn submission_fence_of_stored_entry(named: u64, expected: u64) {
    assert_eq!(decode::submission(&stored(named)).unwrap().fence, expected);
}

/// Earlier builds write no fence, and read entries that name none.
#[test]
fn submission_without_fence_has_no_field() {
    let value = wire::encode(&submission(FIRST, 0)).unwrap();
    let field = b"fence";
    assert!(!value.windows(field.len()).any(|part| part == field));
}

#[test]
fn hold_reports_higher_fence_once() {
    let mut held = HeldJobs::default();
    assert!(held.hold(submission(FIRST, 30)));
    assert!(!held.hold(submission(SECOND, 30)));
    assert!(held.hold(submission("00000000000000c3", 31)));
    assert_eq!(held.len(), 3);
}

#[test]
fn release_only_proven_jobs() {
    let mut held = HeldJobs::default();
    held.hold(submission(FIRST, 30));
    held.hold(submission(SECOND, 40));
    assert!(held.release(29).is_empty());
    let released = held.release(35);
    assert_eq!(released, [(submission(FIRST, 0), false)]);
    assert_eq!(held.len(), 1);
}

/// The intake reports a cancellation once.
#[test]
fn release_keeps_cancellation() {
    let mut held = HeldJobs::default();
    held.hold(submission(FIRST, 30));
    assert!(held.cancel(&id(FIRST)));
    // The intake was read again.
    held.hold(submission(FIRST, 30));
    assert_eq!(held.release(31), [(submission(FIRST, 0), true)]);
    assert!(held.is_empty());
}

#[test]
fn cancel_of_job_not_held() {
    assert!(!HeldJobs::default().cancel(&id(FIRST)));
}

#[test_case(7, 7, true; "written by the last owner")]
#[test_case(7, 9, false; "the last owner is another")]
#[test_case(7, 0, false; "the last owner has only claimed")]
#[test_case(0, 0, false; "written by another program")]
fn seals_current_for_head(writer: u64, fence: u64, expected: bool) {
    let record = SealRecord {
        fence: writer,
        seals: Vec::new(),
    };
    let claim = u64::from(fence == 0);
    assert_eq!(record.is_current(&Head { fence, claim }), expected);
}
