//! Tests which cells a scheduler claims, at given times.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    infra::{
        Size,
        boxes::{Item, Kind, List, State},
    },
    kernel::ActorThread,
    lease::LeaseTiming,
    magpie_sched_core::Scheduler,
    magpie_sched_core::actor::Shared,
    magpie_sched_core::claim::CellOwner,
    standin::{Auditor, Store, WorkerSet, clock::Clock, deploy::entry_item, store::Rates},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn scheduler() -> ActorThread<Scheduler> {
    let clock = Clock::manual();
    let shared = Shared {
        name: Arc::from("b1"),
        url: Arc::from("http://127.0.0.1:1"),
        workers: Arc::new(WorkerSet::new(clock.clone(), Auditor::new())),
        store: Arc::new(Store::new(Rates::default(), clock)),
        timing: LeaseTiming::default(),
        heartbeat: Duration::from_secs(2),
        placement: Arc::from("mixed"),
    };
    ActorThread::start("sched", |cx, remote| Scheduler::new(cx, shared, remote)).unwrap()
}

/// Returns a list with one entry box and one hall with a worker.
fn list() -> Arc<List> {
    let entry = entry_item("b1", "h1", &[("sched", "http://127.0.0.1:1".to_owned())]);
    let worker = Item {
        name: Arc::from("w1"),
        kind: Kind::Worker,
        hall: Arc::from("h1"),
        rack: Arc::from("r"),
        state: State::Live,
        services: [(Arc::from("worker"), Arc::from("w1"))].into(),
        size: Size::new(4000, 4000, 0),
        generation: Arc::from("g"),
        class: Arc::from(""),
    };
    Arc::new(List {
        version: 1,
        items: vec![entry, worker],
    })
}

#[test]
fn claims_only_after_settling() {
    let actor = scheduler();
    let claims = actor.actor_ref().ask(|sched, cx| {
        let now = cx.now();
        let before = sched.cells_to_claim(now + Duration::from_secs(9));
        sched.set_list(cx, list());
        // A process that has just started waits for summaries before it claims any cell.
        let just_started = sched.cells_to_claim(now + Duration::from_millis(500));
        let later = sched.cells_to_claim(now + Duration::from_secs(2));
        [before.len(), just_started.len(), later.len()]
    });
    assert_eq!(claims, Ok([0, 0, 1]));
}

/// Without a pause after yielding, an owner resumed from suspension and its successor took the cell
/// from each other in turns, up to epoch 7 within 4 s.
#[test]
fn yielded_cell_is_not_claimed_at_once() {
    let actor = scheduler();
    let claims = actor.actor_ref().ask(|sched, cx| {
        let now: Instant = cx.now() + Duration::from_secs(9);
        sched.set_list(cx, list());
        sched.yield_cell("h1", "a test", now);
        let at_once = sched.cells_to_claim(now);
        let later = sched.cells_to_claim(now + Duration::from_secs(3));
        [at_once.len(), later.len()]
    });
    assert_eq!(claims, Ok([0, 1]));
}
