//! Which cells a scheduler claims, at times that the test names.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    infra::{
        Size,
        boxes::{Item, Kind, List, State},
    },
    kernel::ActorThread,
    lease::Term,
    magpie_sched_core::{Scheduler, actor::Shared, claim::CellOwner},
    standin::{Farm, Store, Witness, clock::Clock, deploy::entry_item, store::Rates},
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
        workers: Arc::new(Farm::new(clock.clone(), Witness::new())),
        store: Arc::new(Store::new(Rates::default(), clock)),
        timing: Term::default(),
        heartbeat: Duration::from_secs(2),
        placement: Arc::from("mixed"),
    };
    ActorThread::start("sched", |cx, remote| Scheduler::new(cx, shared, remote)).unwrap()
}

/// One entry box and one hall with a worker.
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
fn claims_after_listening() {
    let host = scheduler();
    let claims = host.actor_ref().ask(|sched, cx| {
        let now = cx.now();
        let before = sched.cells_to_claim(now + Duration::from_secs(9));
        sched.set_list(cx, list());
        // A process that has just started listens before it takes anything.
        let young = sched.cells_to_claim(now + Duration::from_millis(500));
        let later = sched.cells_to_claim(now + Duration::from_secs(2));
        [before.len(), young.len(), later.len()]
    });
    assert_eq!(claims, Ok([0, 0, 1]));
}

// A thawed owner and its successor once took a cell in turns, up to epoch 7 within 4 s.
#[test]
fn claims_leave_newer_owner() {
    let host = scheduler();
    let claims = host.actor_ref().ask(|sched, cx| {
        let now: Instant = cx.now() + Duration::from_secs(9);
        sched.set_list(cx, list());
        sched.yield_cell("h1", "a test", now);
        let at_once = sched.cells_to_claim(now);
        let later = sched.cells_to_claim(now + Duration::from_secs(3));
        [at_once.len(), later.len()]
    });
    assert_eq!(claims, Ok([0, 1]));
}
