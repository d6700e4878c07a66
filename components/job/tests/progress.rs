//! Tests of the job model: ids, validation, places, readiness of steps, and persisted records.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    magpie_job::{
        Address, Crashes, Id, Phase, Progress, Queue, Record, Spec, State, Step, Submission,
        progress::RUN_GAP,
        spec::{InvalidSpec, MAX_UNIX_MS, Size, Timetable},
    },
    std::sync::Arc,
    test_case::test_case,
};

fn step(count: u32, after: &[u16]) -> Step {
    Step {
        count,
        size: Size {
            cpu: 1000,
            memory: 100,
            gpus: 0,
        },
        estimate: 100,
        after: after.to_vec(),
        ..Step::default()
    }
}

fn spec(steps: Vec<Step>, timetable: Option<Timetable>) -> Spec {
    Spec {
        text: "text".into(),
        steps,
        timetable,
    }
}

fn submission(spec: Spec) -> Arc<Submission> {
    Arc::new(Submission {
        id: Id::new("00112233445566aa").unwrap(),
        spec,
        queue: Queue {
            name: "q".into(),
            host: "h".into(),
            prefix: "/".into(),
            pool: "p".into(),
            priority: 0,
            attempts: 2,
            stretch: 2.0,
            target: 100,
            advised: false,
        },
        accepted: 1,
        fence: 0,
    })
}

#[test_case("00112233445566aa", true; "lower case")]
#[test_case("00112233445566AA", true; "upper case")]
#[test_case("00112233445566a", false; "short")]
#[test_case("00112233445566ag", false; "not hex")]
fn id_from_text(text: &str, valid: bool) {
    assert_eq!(Id::new(text).is_some(), valid);
}

#[test_case(vec![], None, Err(InvalidSpec::StepCount); "no step")]
#[test_case(vec![step(0, &[])], None, Err(InvalidSpec::NoTasks(0)); "no task")]
#[test_case(vec![step(1, &[]), step(1, &[1])], None, Err(InvalidSpec::StepOrder(1)); "depends on itself")]
#[test_case(vec![step(1, &[]), step(1, &[0])], None, Ok(()); "chain")]
#[test_case(vec![step(20_001, &[])], None, Err(InvalidSpec::TooManyTasks); "too many")]
#[test_case(vec![step(1, &[])], Some(Timetable { times: 2, first: 5, interval: 0 }), Err(InvalidSpec::NoInterval); "no interval")]
fn validate_cases(
    steps: Vec<Step>,
    timetable: Option<Timetable>,
    expected: Result<(), InvalidSpec>,
) {
    assert_eq!(spec(steps, timetable).validate(), expected);
}

#[test]
fn place_round_trip() {
    let timetable = Timetable {
        times: 3,
        first: 1000,
        interval: 50,
    };
    let spec = spec(vec![step(2, &[]), step(3, &[0])], Some(timetable));
    for place in 0..15 {
        assert_eq!(spec.place(spec.address(place)), Some(place));
    }
    let beyond = Address {
        time: 3,
        step: 0,
        index: 0,
    };
    assert_eq!(spec.place(beyond), None);
    assert_eq!(spec.due(2), 1100);
}

#[test]
fn critical_paths_longest() {
    let spec = spec(
        vec![step(1, &[]), step(1, &[0]), step(1, &[0]), step(1, &[1])],
        None,
    );
    assert_eq!(spec.critical_paths(), [300, 200, 100, 100]);
}

#[test]
fn is_ready_after_dependencies() {
    let mut progress = Progress::new(submission(spec(vec![step(2, &[]), step(1, &[0])], None)));
    assert!(!progress.is_ready(0, 1));
    assert!(progress.mark_done(0));
    assert!(!progress.mark_done(0));
    assert!(!progress.is_ready(0, 1));
    progress.mark_done(1);
    assert!(progress.is_ready(0, 1));
    progress.mark_done(2);
    assert!(progress.is_done());
}

#[test]
fn resume_from_record() {
    let submission = submission(spec(vec![step(9, &[]), step(1, &[0])], None));
    let mut progress = Progress::new(submission.clone());
    progress.state = State::Running;
    progress.mark_done(8);
    progress.tasks[3].run = 5;
    assert!(progress.record_failure(3, 5));
    assert!(!progress.record_failure(3, 5));
    progress.tasks[4].checkpoint = Some("abc".into());
    let bytes = rmp_serde::to_vec_named(&progress.record()).unwrap();
    let record: Record = rmp_serde::from_slice(&bytes).unwrap();
    let resumed = Progress::resume(submission, &record);
    assert_eq!(resumed.tasks[8].phase, Phase::Done);
    assert_eq!(resumed.tasks[3].failed, [5]);
    assert_eq!(resumed.tasks[4].checkpoint.as_deref(), Some("abc"));
    assert_eq!(resumed.tasks[0].run, 5 + RUN_GAP);
    assert_eq!(resumed.state, State::Running);
    assert_eq!(resumed.remaining_tasks(0, 0), 8);
}

/// Crash counts survive in the persisted record, which is encoded without field names. A record
/// written by a version without this field still decodes, with no crashes.
#[test]
fn record_keeps_crashes() {
    let submission = submission(spec(vec![step(3, &[])], None));
    let mut progress = Progress::new(submission.clone());
    progress.state = State::Running;
    let crashes = Crashes {
        early: 1,
        all: 2,
        evidence: 9,
        weighed: 7,
    };
    progress.tasks[1].crashes = crashes;
    let bytes = rmp_serde::to_vec(&progress.record()).unwrap();
    let record: Record = rmp_serde::from_slice(&bytes).unwrap();
    let resumed = Progress::resume(submission, &record);
    assert_eq!(resumed.crashed(), [(1, crashes)]);
    let none: Vec<(u32, String)> = Vec::new();
    let older = (State::Running, 0, vec![0u8], &none, 7, &none);
    let bytes = rmp_serde::to_vec(&older).unwrap();
    let record: Record = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!((record.run, record.crashed.len()), (7, 0));
}

/// Evidence that an older build recorded without the number of weighed crashes counts for all that
/// it had counted.
#[test]
fn record_without_weighed_crashes_counts_all() {
    let crashes = Crashes {
        early: 1,
        all: 2,
        evidence: 9,
        weighed: 0,
    };
    let mut record = Record::default();
    record.set_crashes(&[(1, crashes)]);
    assert_eq!(record.crashes(1).weighed, 2);
}

/// A completed task, or one that continues in a completed gang, is not suspected of crashing workers,
/// so marking it as done resets its crash counts.
#[test]
fn mark_done_resets_crashes() {
    let submission = submission(spec(vec![step(2, &[])], None));
    let mut progress = Progress::new(submission);
    progress.tasks[0].crashes = Crashes {
        early: 2,
        all: 2,
        evidence: 9,
        weighed: 2,
    };
    progress.mark_done(0);
    assert!(progress.crashed().is_empty());
}

/// Amounts whose sums could overflow are refused to callers, and also when read from the store.
#[test_case(|step| step.size.cpu = u64::MAX; "processors")]
#[test_case(|step| step.size.memory = u64::MAX; "memory")]
#[test_case(|step| step.size.gpus = u64::MAX; "accelerators")]
#[test_case(|step| step.estimate = u64::MAX; "estimate")]
#[test_case(|step| step.target = u64::MAX; "target")]
fn validate_amounts(change: fn(&mut Step)) {
    let mut large = step(1, &[]);
    change(&mut large);
    let spec = spec(vec![large], None);
    assert_eq!(spec.validate(), Err(InvalidSpec::OutOfRange(0)));
    assert_eq!(spec.validate_bounds(), Err(InvalidSpec::OutOfRange(0)));
}

/// Timetables of which a time could overflow are refused to callers, and also when read from the
/// store.
#[test_case(2, 1, u64::MAX / 2; "interval")]
#[test_case(1, u64::MAX, 1; "first time")]
#[test_case(2, 1, MAX_UNIX_MS; "second time")]
#[test_case(20_000, 0, MAX_UNIX_MS; "last time overflows")]
fn validate_timetable_out_of_range(times: u32, first: u64, interval: u64) {
    let timetable = Timetable {
        times,
        first,
        interval,
    };
    let spec = spec(vec![step(1, &[])], Some(timetable));
    let expected = Err(InvalidSpec::TimetableOutOfRange);
    assert_eq!(spec.validate(), expected);
    assert_eq!(spec.validate_bounds(), expected);
}

#[test_case(20_000, 0, MAX_UNIX_MS / 19_999; "many times")]
#[test_case(1, MAX_UNIX_MS, 0; "one time")]
fn validate_timetable_within_range(times: u32, first: u64, interval: u64) {
    let timetable = Timetable {
        times,
        first,
        interval,
    };
    let spec = spec(vec![step(1, &[])], Some(timetable));
    assert_eq!(spec.validate(), Ok(()));
    assert!(spec.due(times - 1) <= MAX_UNIX_MS);
}
