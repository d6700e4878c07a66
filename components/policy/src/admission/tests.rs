//! Tests of the decisions by cases.

use {
    super::*,
    job::{Step, spec::Size},
    test_case::test_case,
};

fn backlog(queue: &str, priority: u32, in_time: u64, late: u64, inflow: u64) -> Backlog {
    Backlog {
        queue: queue.into(),
        kind: Kind::Batch,
        pool: "pool".into(),
        priority,
        in_time: vec![Due {
            until: 1_000,
            work: in_time,
        }],
        late,
        inflow,
        span: 1_000,
        run: Profile::ESTIMATE,
    }
}

fn room(kind: Kind, cpu: u64) -> Room {
    Room {
        pool: "pool".into(),
        kind,
        cpu,
    }
}

/// Wait and drain of a queue in a pool with 1,000 thousandths of a core.
fn times(backlogs: &[Backlog], queue: &str) -> Option<(u64, u64)> {
    let pressure = estimate(backlogs, &[room(Kind::Batch, 1_000)]);
    let own = pressure.of(queue, Kind::Batch)?;
    Some((own.wait, own.drain))
}

#[test]
fn estimate_without_work_is_empty() {
    assert_eq!(estimate(&[], &[]), Pressure::default());
    assert_eq!(times(&[backlog("a", 0, 0, 0, 500)], "a"), None);
}

#[test]
fn estimate_short_backlog_is_left_out() {
    assert_eq!(times(&[backlog("a", 0, 99_000, 0, 0)], "a"), None);
    let long = backlog("a", 0, 100_000, 0, 0);
    assert_eq!(times(&[long], "a"), Some((100, 100)));
}

/// A late job waits for what is in time and late, and for what arrives meanwhile.
#[test]
fn estimate_late_and_inflow() {
    let own = backlog("a", 0, 1_000_000, 500_000, 500);
    assert_eq!(times(&[own], "a"), Some((1_000, 3_000)));
}

#[test_case(1_000; "all")]
#[test_case(u64::MAX; "more than all")]
fn estimate_inflow_takes_capacity(inflow: u64) {
    let own = backlog("a", 0, 1_000_000, 0, inflow);
    assert_eq!(times(&[own], "a"), Some((1_000, u64::MAX)));
}

/// Jobs with a later objective are in the way of late jobs only.
#[test]
fn estimate_by_objective() {
    let mut own = backlog("a", 0, 400_000, 0, 0);
    own.in_time.push(Due {
        until: 1_001,
        work: 200_000,
    });
    assert_eq!(times(&[own], "a"), Some((400, 600)));
}

/// Jobs with a shorter time to their objective overtake as long as theirs is earlier, and not after
/// the end of the wait.
#[test_case(900, 450; "for a while")]
#[test_case(100, 600; "all the time")]
#[test_case(2_000, 400; "never")]
fn estimate_overtaking_jobs(span: u64, wait: u64) {
    let own = backlog("a", 0, 400_000, 0, 0);
    let mut other = backlog("b", 0, 0, 0, 500);
    other.span = span;
    assert_eq!(times(&[own, other], "a").unwrap().0, wait);
}

/// Work of a lower priority is in nobody's way; arriving work of a higher one overtakes.
#[test]
fn estimate_by_priority() {
    let backlogs = [
        backlog("high", 0, 400_000, 0, 200),
        backlog("low", 1, 400_000, 0, 300),
    ];
    assert_eq!(times(&backlogs, "high"), Some((400, 500)));
    assert_eq!(times(&backlogs, "low"), Some((1_000, 1_600)));
}

/// A queue without waiting work of its own waits for that of others.
#[test]
fn estimate_idle_queue_beside_busy_one() {
    let backlogs = [
        backlog("busy", 0, 400_000, 0, 0),
        backlog("idle", 0, 0, 0, 0),
    ];
    assert_eq!(times(&backlogs, "idle"), Some((400, 400)));
}

#[test]
fn estimate_other_kinds_and_pools_apart() {
    let mut other = backlog("b", 0, 400_000, 0, 0);
    other.kind = Kind::BestEffort;
    let mut elsewhere = backlog("c", 0, 400_000, 0, 0);
    elsewhere.pool = "elsewhere".into();
    let rooms = [room(Kind::Batch, 1_000), room(Kind::BestEffort, 2_000)];
    let own = backlog("a", 0, 600_000, 0, 0);
    let pressure = estimate(&[own, other, elsewhere], &rooms);
    let waits: Vec<u64> = pressure.queues.iter().map(|own| own.wait).collect();
    assert_eq!(waits, [600, 200]);
}

#[test]
fn estimate_long_running_is_left_out() {
    let mut own = backlog("a", 0, 1_000_000, 0, 0);
    own.kind = Kind::LongRunning;
    let pressure = estimate(&[own], &[room(Kind::LongRunning, 1)]);
    assert!(pressure.queues.is_empty());
}

#[test]
fn estimate_without_capacity_never_ends() {
    let own = backlog("a", 0, u64::MAX, u64::MAX, u64::MAX);
    let pressure = estimate(&[own.clone(), own], &[room(Kind::Batch, 0)]);
    assert_eq!(pressure.queues[0].wait, u64::MAX);
    assert_eq!(pressure.queues[0].drain, u64::MAX);
}

fn pressure(wait: u64, drain: u64, run_percent: u32) -> Pressure {
    let own = |kind| QueuePressure {
        queue: "a".into(),
        kind,
        wait,
        drain,
        run: Profile {
            percent: run_percent,
            ..Profile::ESTIMATE
        },
    };
    Pressure {
        queues: vec![own(Kind::Batch), own(Kind::LongRunning)],
    }
}

fn demand(chain: u64, objective: u64) -> Demand {
    Demand {
        queue: "a".into(),
        kind: Kind::Batch,
        chain,
        objective,
    }
}

#[test_case(0, 0, 100; "at rest")]
#[test_case(500, 90_000, 100; "in time")]
#[test_case(501, 2_500, 100; "late but worth something")]
#[test_case(250, 90_000, 150; "in time as learned")]
#[test_case(u64::MAX, u64::MAX, 601; "too long without any wait")]
#[test_case(u64::MAX, u64::MAX, u32::MAX; "endless")]
fn judge_accepts(wait: u64, drain: u64, run_percent: u32) {
    let pressure = pressure(wait, drain, run_percent);
    let verdict = judge(&demand(500, 1_000), Some(&pressure));
    assert_eq!(verdict, Verdict::Accept);
}

#[test_case(501, 2_501, 100, 1_000, 3_001; "soon")]
#[test_case(5_000, 6_000, 100, 4_500, 6_500; "later")]
#[test_case(251, 2_251, 150, 1_000, 3_001; "as learned")]
#[test_case(5_000, u64::MAX, 100, 4_500, u64::MAX; "late job never ends")]
#[test_case(u64::MAX, u64::MAX, 100, 30_000, u64::MAX; "nothing ends")]
#[test_case(3_000, 3_000, 400, 2_000, 5_000; "run alone misses the objective")]
fn judge_refuses(wait: u64, drain: u64, run_percent: u32, retry_after: u64, end: u64) {
    let pressure = pressure(wait, drain, run_percent);
    let verdict = judge(&demand(500, 1_000), Some(&pressure));
    assert_eq!(verdict, Verdict::Busy { retry_after, end });
}

#[test]
fn judge_unknown_accepts() {
    let pressure = pressure(u64::MAX, u64::MAX, 100);
    let own = demand(500, 1_000);
    assert_eq!(judge(&own, None), Verdict::Accept);
    let others = [
        Demand {
            queue: "b".into(),
            ..own.clone()
        },
        Demand {
            kind: Kind::BestEffort,
            ..own.clone()
        },
        Demand {
            kind: Kind::LongRunning,
            ..own
        },
    ];
    for other in others {
        assert_eq!(judge(&other, Some(&pressure)), Verdict::Accept);
    }
}

#[test_case(0, 0; "all zero")]
#[test_case(u64::MAX, u64::MAX; "all huge")]
#[test_case(u64::MAX, 0; "endless without objective")]
fn judge_absurd_demand(chain: u64, objective: u64) {
    let pressure = pressure(u64::MAX, u64::MAX, u32::MAX);
    judge(&demand(chain, objective), Some(&pressure));
}

#[test_case(0.0, 4_000; "lowest")]
#[test_case(0.5, 5_000; "middle")]
#[test_case(1.0, 6_000; "highest")]
#[test_case(-1.0, 4_000; "too low")]
#[test_case(7.0, 6_000; "too high")]
#[test_case(f64::NAN, 4_000; "not a number")]
fn spread_over_half(random: f64, expected: u64) {
    assert_eq!(spread(4_000, random), expected);
}

fn pool() -> PoolCapacity {
    PoolCapacity {
        pool: "pool".into(),
        largest: Size {
            cpu: 64_000,
            memory: 1_000,
            gpus: 0,
        },
        workers: 10,
        labels: vec!["fast".into()],
    }
}

fn step(count: u32, cpu: u64) -> Step {
    Step {
        count,
        size: Size {
            cpu,
            memory: 100,
            gpus: 0,
        },
        ..Step::default()
    }
}

fn spec(step: Step) -> Spec {
    Spec {
        text: "".into(),
        steps: vec![step],
        timetable: None,
    }
}

#[test_case(step(1, 64_000); "as large as a worker")]
#[test_case(Step { spread: 1, ..step(1_000, 1) }; "apart, one after the other")]
#[test_case(Step { spread: 1, gang: true, ..step(10, 1) }; "gang apart")]
#[test_case(Step { gang: true, ..step(20, 32_000) }; "gang that fills all workers")]
#[test_case(Step { label: Some("fast".into()), ..step(1, 1) }; "label")]
fn impossible_none(step: Step) {
    assert_eq!(impossible(&spec(step), &pool()), None);
}

#[test_case(step(1, 64_001), "step 0 asks for more than any worker has"; "cpu")]
#[test_case(Step { size: Size { gpus: 1, ..Size::default() }, ..step(1, 1) }, "step 0 asks for more than any worker has"; "gpus")]
#[test_case(Step { label: Some("slow".into()), ..step(1, 1) }, "no worker has the label slow of step 0"; "label")]
#[test_case(Step { spread: 1, gang: true, ..step(11, 1) }, "step 0 needs more workers than there are"; "gang apart")]
#[test_case(Step { gang: true, ..step(21, 32_000) }, "step 0 needs more workers than there are"; "gang that does not fit")]
fn impossible_some(step: Step, reason: &str) {
    assert_eq!(impossible(&spec(step), &pool()).as_deref(), Some(reason));
}

#[test_case(step(1, 1), Kind::Batch; "batch")]
#[test_case(Step { fills: true, ..step(1, 1) }, Kind::BestEffort; "best effort")]
#[test_case(Step { lasting: true, ..step(1, 1) }, Kind::LongRunning; "long-running")]
fn kind_of(step: Step, kind: Kind) {
    assert_eq!(Kind::of(&spec(step)), kind);
}
