//! Which tasks may start during a takeover, and which workers are sealed.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    job::Id,
    magpie_policy::takeover::{
        Condition, Origin, Task, Unheard, Verdict, may_replace_tasks, may_seal, must_withdraw,
    },
    std::collections::HashSet,
    test_case::test_case,
};

fn id() -> Id {
    Id::new("00000000000000a1").unwrap()
}

fn task(id: &Id, place: usize) -> Task<'_> {
    Task {
        job: id,
        place,
        pool: "p1",
        label: None,
        copies: false,
        origin: Origin::Former,
    }
}

fn labelled<'a>(id: &'a Id, label: &'a str) -> Task<'a> {
    Task {
        label: Some(label),
        ..task(id, 0)
    }
}

fn wait(worker: &str) -> Verdict {
    Verdict::Wait(worker.into())
}

/// The worker `w1` of the pool `p1` with the label `a`.
fn open() -> Unheard {
    let mut unheard = Unheard::default();
    unheard.add_open("w1".into(), "p1".into(), vec!["a".into()]);
    unheard
}

/// The worker `w2`, on which only the task at place 3 may run.
fn sealed() -> Unheard {
    let mut unheard = Unheard::default();
    unheard.add_sealed("w2".into(), HashSet::from([(id(), 3)]));
    unheard
}

#[test]
fn verdict_without_workers() {
    let unheard = Unheard::default();
    assert_eq!(unheard.verdict(&task(&id(), 0)), Verdict::Start);
    assert!(unheard.is_empty());
}

#[test]
fn verdict_open_worker() {
    let id = id();
    assert_eq!(open().verdict(&task(&id, 0)), wait("w1"));
    assert_eq!(open().verdict(&labelled(&id, "a")), wait("w1"));
    assert_eq!(open().verdict(&labelled(&id, "b")), Verdict::Start);
    let elsewhere = Task {
        pool: "p2",
        ..task(&id, 0)
    };
    assert_eq!(open().verdict(&elsewhere), Verdict::Start);
}

#[test]
fn verdict_sealed_worker() {
    let id = id();
    assert_eq!(sealed().verdict(&task(&id, 3)), wait("w2"));
    assert_eq!(sealed().verdict(&task(&id, 2)), Verdict::Start);
    // The record counts, whatever the pool and the labels of the worker.
    let elsewhere = Task {
        pool: "p2",
        label: Some("b"),
        ..task(&id, 3)
    };
    assert_eq!(sealed().verdict(&elsewhere), wait("w2"));
}

#[test]
fn verdict_unclear_worker() {
    let id = id();
    let mut unheard = Unheard::default();
    unheard.add_unclear("w1".into());
    assert_eq!(unheard.verdict(&labelled(&id, "b")), wait("w1"));
    unheard.remove("w1");
    assert_eq!(unheard.verdict(&labelled(&id, "b")), Verdict::Start);
}

#[test]
fn verdict_current_job_waits_for_nobody() {
    let id = id();
    let current = Task {
        origin: Origin::Current,
        ..task(&id, 3)
    };
    assert_eq!(open().verdict(&current), Verdict::Start);
    assert_eq!(sealed().verdict(&current), Verdict::Start);
}

#[test]
fn verdict_copies_wait_for_nobody() {
    let id = id();
    let copies = Task {
        copies: true,
        ..task(&id, 3)
    };
    assert_eq!(open().verdict(&copies), Verdict::Start);
    assert_eq!(sealed().verdict(&copies), Verdict::Start);
}

#[test]
fn remove_keeps_other_holders() {
    let id = id();
    let mut unheard = sealed();
    unheard.add_sealed("w3".into(), HashSet::from([(id.clone(), 3)]));
    unheard.remove("w2");
    assert_eq!(unheard.verdict(&task(&id, 3)), wait("w3"));
    unheard.remove("w3");
    assert_eq!(unheard.verdict(&task(&id, 3)), Verdict::Start);
    assert!(unheard.is_empty());
}

#[test]
fn remove_keeps_other_open_workers() {
    let id = id();
    let mut unheard = open();
    unheard.add_open(
        "w3".into(),
        "p1".into(),
        vec!["a".into(), "b".into(), "a".into()],
    );
    assert_eq!(unheard.len(), 2);
    unheard.remove("w1");
    assert_eq!(unheard.verdict(&labelled(&id, "a")), wait("w3"));
    unheard.remove("w3");
    assert_eq!(unheard.verdict(&task(&id, 0)), Verdict::Start);
    assert!(unheard.is_sealed());
}

#[test]
fn is_sealed_with_sealed_workers_only() {
    let mut unheard = sealed();
    assert!(unheard.is_sealed() && !unheard.is_empty());
    unheard.add_unclear("w1".into());
    assert!(!unheard.is_sealed());
}

/// A cell of workers in random states, asked about random tasks: the indexes agree with a check of
/// each worker.
#[test]
fn verdict_agrees_with_scan() {
    let names: Vec<String> = (0..20).map(|number| format!("w{number}")).collect();
    let (pools, labels) = (["p1", "p2"], ["a", "b", "c"]);
    let id = id();
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut unheard = Unheard::default();
        let mut open = Vec::new();
        let mut sealed = Vec::new();
        for name in &names {
            let pool = pools[rng.usize(0..2)];
            let own: Vec<&str> = labels.into_iter().filter(|_| rng.bool()).collect();
            let tasks: HashSet<(Id, usize)> = (0..4)
                .filter(|_| rng.bool())
                .map(|place| (id.clone(), place))
                .collect();
            match rng.u8(0..3) {
                0 => {
                    let traits = own.iter().map(|&label| label.into());
                    unheard.add_open((&**name).into(), pool.into(), traits.collect());
                    open.push((name, pool, own));
                }
                1 => {
                    unheard.add_sealed((&**name).into(), tasks.clone());
                    sealed.push((name, tasks));
                }
                _ => {}
            }
        }
        for _ in 0..rng.usize(0..10) {
            let name = &names[rng.usize(0..names.len())];
            unheard.remove(name);
            open.retain(|(other, ..)| *other != name);
            sealed.retain(|(other, _)| *other != name);
        }
        for _ in 0..20 {
            let task = Task {
                pool: pools[rng.usize(0..2)],
                label: rng.bool().then(|| labels[rng.usize(0..3)]),
                ..task(&id, rng.usize(0..4))
            };
            let may_run_open = open.iter().any(|(_, pool, own)| {
                *pool == task.pool && task.label.is_none_or(|label| own.contains(&label))
            });
            let may_run_sealed = sealed
                .iter()
                .any(|(_, tasks)| tasks.contains(&(id.clone(), task.place)));
            let waits = unheard.verdict(&task) != Verdict::Start;
            assert_eq!(waits, may_run_open || may_run_sealed, "seed {seed}");
        }
    }
}

fn leaving() -> Condition {
    Condition {
        reported: true,
        ends_pending: false,
        leaving: true,
        available: true,
        unreachable_since: None,
    }
}

#[test_case(leaving(), true; "leaving")]
#[test_case(Condition { leaving: false, ..leaving() }, false; "usable")]
#[test_case(Condition { reported: false, ..leaving() }, false; "not heard")]
#[test_case(Condition { ends_pending: true, ..leaving() }, false; "unwritten end")]
fn may_seal_condition(worker: Condition, expected: bool) {
    assert_eq!(may_seal(worker, 5_000), expected);
}

#[test]
fn may_seal_unreachable_for_a_second() {
    let worker = Condition {
        leaving: false,
        unreachable_since: Some(5_000),
        ..leaving()
    };
    assert!(!may_seal(worker, 5_999));
    assert!(may_seal(worker, 6_000));
}

#[test]
fn must_withdraw_usable_worker() {
    let usable = Condition {
        leaving: false,
        ..leaving()
    };
    assert!(must_withdraw(usable));
    assert!(!must_withdraw(leaving()));
    let unheard = Condition {
        available: false,
        ..usable
    };
    assert!(!must_withdraw(unheard));
    let unreachable = Condition {
        unreachable_since: Some(1),
        ..usable
    };
    assert!(!must_withdraw(unreachable));
}

#[test]
fn may_replace_tasks_without_unwritten_ends() {
    assert!(may_replace_tasks(leaving()));
    let unwritten = Condition {
        ends_pending: true,
        ..leaving()
    };
    assert!(!may_replace_tasks(unwritten));
    let unheard = Condition {
        reported: false,
        ..leaving()
    };
    assert!(!may_replace_tasks(unheard));
}
