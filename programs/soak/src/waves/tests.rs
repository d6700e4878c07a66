//! Tests of the drawn waves and of the rules.

use {
    super::{
        draw::{Request, WaveFault, WavePlan, draw, max_down},
        rules::{self, Asked},
    },
    crate::plan::{Event, Fault},
    standin::machines::{MachineLog, Maintenance, Order},
    std::time::{Duration, Instant},
    test_case::test_case,
};

const RUN_TIME: Duration = Duration::from_secs(20);

#[test]
fn draw_is_deterministic() {
    assert_eq!(draw(7, RUN_TIME, 2, 6), draw(7, RUN_TIME, 2, 6));
    assert_ne!(draw(7, RUN_TIME, 2, 6), draw(8, RUN_TIME, 2, 6));
    assert_eq!(draw(7, RUN_TIME, 0, 6), WavePlan::default());
}

#[test]
fn draw_stays_within_bounds() {
    for seed in 0..100 {
        let plan = draw(seed, RUN_TIME, 9, 6);
        assert!(plan.events.is_sorted_by_key(|event| event.at));
        let is_within = |event: &Event| event.at + event.duration <= 20_000;
        assert!(plan.events.iter().all(is_within));
        for request in plan.requests {
            assert!((1..=max_down(6)).contains(&request.limit));
            assert!(request.machines.iter().all(|machine| *machine < 6));
        }
    }
}

/// Every kind of fault occurs, and every kind of hit.
#[test]
fn draw_covers_kinds() {
    let (mut kinds, mut hits) = (Vec::new(), Vec::new());
    for event in (0..50).flat_map(|seed| draw(seed, RUN_TIME, 1, 6).events) {
        let Fault::Wave(fault) = event.fault else {
            continue;
        };
        let is_hit = matches!(fault, WaveFault::HitOwner(_) | WaveFault::HitAfterOrder(_));
        if is_hit && !hits.contains(&fault) {
            hits.push(fault);
        }
        let kind = std::mem::discriminant(&fault);
        if !kinds.contains(&kind) {
            kinds.push(kind);
        }
    }
    assert_eq!((kinds.len(), hits.len()), (7, 6));
}

/// A time of the run, in seconds.
fn at(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

fn maintenance(start: Instant, machine: usize, began: u64, ended: u64) -> Maintenance {
    Maintenance {
        machine,
        wave: 1,
        began: at(start, began),
        ended: (ended > 0).then(|| at(start, ended)),
    }
}

fn order(start: Instant, seconds: u64, holder: &str, fence: u64, is_copy: bool) -> Order {
    Order {
        at: at(start, seconds),
        machine: "m0".to_owned(),
        wave: 1,
        holder: holder.to_owned(),
        fence,
        status: 200,
        is_copy,
    }
}

/// The broken rules for a wave of m0, m1 and m2, completed after `completed` seconds; 0 if it is
/// not completed.
fn broken(start: Instant, limit: usize, completed: u64, log: &MachineLog) -> Vec<&'static str> {
    let request = Request {
        number: 1,
        machines: vec![0, 1, 2],
        limit,
    };
    let asked = Asked {
        at: start,
        completed: (completed > 0).then(|| at(start, completed)),
    };
    let found = rules::all(&[(&request, asked)], log, |time| {
        time.duration_since(start).as_micros() as u64
    });
    found.iter().map(|breach| breach.rule).collect()
}

/// Each machine is down from and until these seconds; 0 for one that is still down.
#[test_case(1, 9, &[(0, 1, 3), (1, 3, 5), (2, 5, 7)], &[]; "one after the other")]
#[test_case(2, 9, &[(0, 1, 3), (1, 2, 4), (2, 4, 6)], &[]; "two at once")]
#[test_case(1, 9, &[(0, 1, 3), (1, 2, 4), (2, 4, 6)], &["limit"]; "one more than the limit")]
#[test_case(2, 0, &[(0, 1, 0), (1, 2, 0), (2, 9, 0)], &["limit"]; "still down")]
#[test_case(1, 4, &[(0, 1, 3), (1, 3, 5), (2, 5, 7)], &["mixed"]; "completed too early")]
#[test_case(1, 6, &[(0, 1, 3), (1, 3, 5), (2, 5, 7)], &[]; "completed once all have begun")]
#[test_case(1, 9, &[(0, 1, 3), (1, 3, 5)], &["mixed"]; "one left out")]
#[test_case(1, 0, &[(0, 1, 3), (1, 3, 5), (0, 5, 7)], &["again"]; "twice")]
fn rules_for_maintenance(
    limit: usize,
    completed: u64,
    down: &[(usize, u64, u64)],
    expected: &[&str],
) {
    let start = Instant::now();
    let own = down.iter();
    let log = MachineLog {
        maintenance: own
            .map(|&(machine, began, ended)| maintenance(start, machine, began, ended))
            .collect(),
        ..MachineLog::default()
    };
    assert_eq!(broken(start, limit, completed, &log), expected);
}

#[test]
fn rules_allow_maintenance_twice_after_doubled_order() {
    let start = Instant::now();
    let log = MachineLog {
        orders: vec![
            order(start, 1, "b0", 7, false),
            order(start, 5, "b0", 7, true),
        ],
        maintenance: vec![maintenance(start, 0, 1, 3), maintenance(start, 0, 5, 7)],
    };
    assert!(broken(start, 1, 0, &log).is_empty());
}

#[test_case(&[("b0", 7), ("b0", 7), ("b1", 9)], &[]; "rising")]
#[test_case(&[("b1", 9), ("b0", 7)], &["one"]; "lower after higher")]
#[test_case(&[("b0", 7), ("b1", 7)], &["one"]; "two holders with one token")]
fn rules_for_tokens(orders: &[(&str, u64)], expected: &[&str]) {
    let start = Instant::now();
    let orders = orders.iter().zip(1..);
    let log = MachineLog {
        orders: orders
            .map(|(&(holder, fence), seconds)| order(start, seconds, holder, fence, false))
            .collect(),
        ..MachineLog::default()
    };
    assert_eq!(broken(start, 1, 0, &log), expected);
}
