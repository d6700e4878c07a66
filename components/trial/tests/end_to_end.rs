//! End-to-end tests of edits, requests and jobs through complete entry boxes.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    infra::Size,
    kernel::{Call, Failure, verdict::Cause},
    magpie_trial::{
        Fleet,
        fleet::{TIMEOUT, wait_until},
    },
    sched::{
        Spec, Status, job,
        message::{Cancel, Drain, JobQuery, Submit},
    },
    standin::{Deploy, backend, store},
    std::{
        cell::RefCell,
        collections::BTreeSet,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    table::{
        Edit, RowEdit,
        message::{Current, Outcome, Submit as SubmitEdit},
    },
};

/// Returns a small deployment: 2 halls, 16 workers, 4 backend servers, 2 entry boxes.
fn small() -> Deploy {
    let fiscalis = Deploy::named("fiscalis").unwrap();
    Deploy {
        halls: 2,
        workers: 16,
        backends: 4,
        entries: 2,
        mean: Duration::from_millis(1),
        ..fiscalis
    }
}

fn fleet() -> Fleet {
    let fleet = Fleet::start(small(), 1).unwrap();
    fleet.wait_ready().unwrap();
    fleet
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(30)
}

fn submit(fleet: &Fleet, hall: &str, key: u64, count: u32, length: u64) -> Result<Status, Failure> {
    let spec = Spec {
        class: Arc::from("reconciliation"),
        count,
        size: Size::new(1000, 1000, 0),
        length,
        once: false,
        hall: Some(Arc::from(hall)),
    };
    let id = Some(job::id(hall, key));
    let passed = false;
    let message = Submit {
        id,
        key,
        spec,
        passed,
    };
    fleet.client.post(
        &format!("{}/jobs/submit", fleet.any_sched()),
        &message,
        TIMEOUT,
    )
}

fn show(fleet: &Fleet, id: &Arc<str>) -> Result<Status, Failure> {
    let named = JobQuery {
        id: id.clone(),
        passed: false,
    };
    fleet
        .client
        .post(&format!("{}/jobs/show", fleet.any_sched()), &named, TIMEOUT)
}

fn wait_ended(fleet: &Fleet, id: &Arc<str>) -> Status {
    wait_until(deadline(), "the job did not end", || {
        show(fleet, id).is_ok_and(|s| s.ended)
    })
    .unwrap();
    ask_owner(fleet, job::cell_of(id).unwrap(), || show(fleet, id))
}

/// Repeats a call that is refused because the cell has no known owner, as a caller does. Only a
/// cell that has been taken over since its first owner may be refused so.
fn ask_owner(fleet: &Fleet, hall: &str, ask: impl Fn() -> Result<Status, Failure>) -> Status {
    let end = deadline();
    loop {
        let refused = match ask() {
            Err(failure) if is_without_owner(&failure) && Instant::now() < end => failure,
            result => return result.unwrap(),
        };
        assert!(
            epoch(fleet, hall) > 1,
            "{hall} was not taken over: {refused}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

fn is_without_owner(failure: &Failure) -> bool {
    let is_text = failure
        .text
        .ends_with("has no owner that is known here; try again");
    failure.is_not_run() && failure.cause == Cause::Busy && is_text
}

/// Returns the epoch of a cell in the store. A takeover raises it before the former owner gives up
/// the cell.
fn epoch(fleet: &Fleet, hall: &str) -> u64 {
    let store = fleet.platform.store.core();
    let (_, record) = lease::epoch::read(store.as_ref(), hall).unwrap().unwrap();
    record.epoch
}

#[test]
fn edit_reaches_each_service() {
    let fleet = fleet();
    let url = fleet.entries()[1].table.url();
    let current: Current = fleet
        .client
        .post(&format!("{url}/table/current"), &(), TIMEOUT)
        .unwrap();
    let row = current.table.rows["urgent"].clone();
    let edited = table::Row {
        weight: 77,
        ..row.clone()
    };
    let rows = vec![RowEdit {
        class: row.class,
        revision: row.revision,
        row: Some(edited),
    }];
    let edit = Edit {
        id: 9,
        who: Arc::from("test"),
        rows,
    };
    let send = || -> Outcome {
        let submit = SubmitEdit { edit: edit.clone() };
        fleet
            .client
            .post(&format!("{url}/table/edit"), &submit, TIMEOUT)
            .unwrap()
    };
    assert_eq!(send(), Outcome::Accepted(2));
    // Repeating the edit, as after a lost reply, has no further effect.
    assert_eq!(send(), Outcome::Accepted(2));
    wait_until(
        deadline(),
        "the edit is not in use by every service",
        || {
            fleet
                .entries()
                .iter()
                .all(|entry| entry.versions() == [Some(2); 3])
        },
    )
    .unwrap();
}

#[test]
fn request_complete_and_reported() {
    let fleet = fleet();
    let url = format!("{}/x?y=1", fleet.entries()[0].gate.url());
    let body = vec![5; 100_000];
    let headers = [
        ("x-magpie-class", "validation"),
        ("x-id", "r1"),
        ("x-once", "1"),
    ];
    let timeout = TIMEOUT;
    let call = Call {
        method: "POST",
        url: &url,
        headers: &headers,
        body: &body,
        timeout: timeout.into(),
    };
    let answer = fleet.client.send(&call).unwrap();
    assert_eq!(answer.header("x-magpie-verdict"), "ran");
    assert_eq!(
        answer.body,
        backend::expected_body("r1", &body).into_bytes()
    );
    assert!(fleet.platform.auditor.has_run("r1"));
    let ops = fleet.entries()[0].gate.ops_url();
    let sample: burn::report::Sample = fleet
        .client
        .post(&format!("{ops}/burn"), &(), TIMEOUT)
        .unwrap();
    assert!(sample.series.contains_key("validation"));
}

#[test]
fn submit_runs_once_on_any_box() {
    let fleet = fleet();
    let send = |hall, key| ask_owner(&fleet, hall, || submit(&fleet, hall, key, 20, 200));
    let first = send("h1", 7);
    // Repeating the submission through any box returns the same job.
    assert_eq!(send("h1", 7).id, first.id);
    let other = send("h2", 8);
    assert_eq!(wait_ended(&fleet, &first.id).finished, 20);
    assert_eq!(wait_ended(&fleet, &other.id).finished, 20);
    let totals = fleet.platform.auditor.totals();
    assert_eq!((totals.starts, totals.finished), (40, 40));
    assert_eq!(
        (
            totals.concurrent_runs,
            totals.repeated_tasks,
            totals.overcommits
        ),
        (0, 0, 0)
    );
}

#[test]
fn submit_refuses_infeasible_job() {
    let fleet = fleet();
    let mut spec = Spec {
        class: Arc::from("reconciliation"),
        count: 1,
        size: Size::new(17_000, 1000, 0),
        length: 100,
        once: false,
        hall: None,
    };
    let url = format!("{}/jobs/submit", fleet.any_sched());
    let send = |spec: &Spec| -> Failure {
        let message = Submit {
            id: None,
            key: 1,
            spec: spec.clone(),
            passed: false,
        };
        let sent: Result<Status, Failure> = fleet.client.post(&url, &message, TIMEOUT);
        sent.unwrap_err()
    };
    let failure = send(&spec);
    assert!(
        failure.is_not_run() && failure.text.contains("processors"),
        "{failure}"
    );
    spec.class = Arc::from("nothing");
    assert!(send(&spec).text.contains("no row of the table"));
}

// Guards against a cancellation that is acknowledged without effect, because it was sent to a box
// that does not own the cell.
#[test]
fn cancel_through_any_box() {
    let fleet = fleet();
    for (key, hall) in [(1, "h1"), (2, "h2")] {
        let job = submit(&fleet, hall, key, 8, 60_000).unwrap();
        let urls: Vec<String> = fleet
            .entries()
            .iter()
            .map(|entry| entry.sched.url())
            .collect();
        let url = &urls[key as usize - 1];
        let message = Cancel {
            ids: vec![job.id.clone()],
            passed: false,
        };
        let count: u64 = fleet
            .client
            .post(&format!("{url}/jobs/cancel"), &message, TIMEOUT)
            .unwrap();
        assert_eq!(count, 1);
        assert!(show(&fleet, &job.id).unwrap().cancelled);
        assert!(wait_ended(&fleet, &job.id).finished == 0);
    }
    wait_until(deadline(), "cancelled tasks are still running", || {
        fleet.platform.auditor.running() == 0
    })
    .unwrap();
}

#[test]
fn takeover_after_owner_killed() {
    let fleet = fleet();
    let cell: Arc<str> = Arc::from("h1");
    let long = submit(&fleet, &cell, 1, 30, 4000).unwrap();
    wait_until(deadline(), "not all tasks are running", || {
        fleet.platform.auditor.running() == 30
    })
    .unwrap();
    let mut dead = fleet.take_owner(&cell).unwrap();
    dead.kill();
    let next = submit_until_accepted(&fleet, &cell, 2);
    assert_eq!(wait_ended(&fleet, &long.id).finished, 30);
    assert_eq!(wait_ended(&fleet, &next).finished, 5);
    let totals = fleet.platform.auditor.totals();
    // Every task started once: the new owner adopted the running tasks.
    assert_eq!((totals.starts, totals.finished, totals.stops), (35, 35, 0));
    assert_eq!((totals.concurrent_runs, totals.repeated_tasks), (0, 0));
}

#[test]
fn takeover_while_owner_paused() {
    let fleet = fleet();
    let cell: Arc<str> = Arc::from("h1");
    let long = submit(&fleet, "h1", 1, 30, 6000).unwrap();
    wait_until(deadline(), "not all tasks are running", || {
        fleet.platform.auditor.running() == 30
    })
    .unwrap();
    let paused = fleet.take_owner(&cell).unwrap();
    // Blocks the actor until the test sends on the channel.
    let (resume, resumed) = std::sync::mpsc::channel::<()>();
    assert!(paused.sched.actor_ref().tell(move |_, _| {
        let _ = resumed.recv();
    }));
    wait_until(deadline(), "no other box took over the cell", || {
        fleet.entries().iter().any(|entry| entry.owns(&cell))
    })
    .unwrap();
    resume.send(()).unwrap();
    fleet.entries_mut().push(paused);
    assert_eq!(wait_ended(&fleet, &long.id).finished, 30);
    let totals = fleet.platform.auditor.totals();
    assert_eq!((totals.starts, totals.finished, totals.stops), (30, 30, 0));
    assert_eq!((totals.concurrent_runs, totals.repeated_tasks), (0, 0));
}

fn submit_until_accepted(fleet: &Fleet, cell: &Arc<str>, key: u64) -> Arc<str> {
    wait_until(deadline(), "the job was not accepted", || {
        submit(fleet, cell, key, 5, 200).is_ok()
    })
    .unwrap();
    job::id(cell, key)
}

#[test]
fn gate_stop_completes_requests() {
    let fleet = fleet();
    for backend in &fleet.platform.backends {
        backend.set_faults(backend::Faults {
            slow: 300,
            ..backend::Faults::default()
        });
    }
    let mut entry = fleet.entries_mut().remove(0);
    let url = format!("{}/slow", entry.gate.url());
    let answers = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..8)
            .map(|number| {
                let (client, url) = (&fleet.client, &url);
                scope.spawn(move || {
                    let id = format!("s{number}");
                    let headers = [("x-magpie-class", "validation"), ("x-id", id.as_str())];
                    let call = Call {
                        method: "POST",
                        url,
                        headers: &headers,
                        body: b"x",
                        timeout: TIMEOUT.into(),
                    };
                    let whole = backend::expected_body(&id, b"x").into_bytes();
                    client.send(&call).is_ok_and(|answer| answer.body == whole)
                })
            })
            .collect();
        let arrived = || fleet.platform.auditor.totals().requests == 8;
        wait_until(deadline(), "not all calls arrived", arrived).unwrap();
        assert!(
            entry
                .gate
                .stop(Duration::from_millis(50), Duration::from_secs(20))
        );
        calls
            .into_iter()
            .map(|call| call.join().unwrap())
            .collect::<Vec<bool>>()
    });
    assert_eq!(answers, [true; 8]);
    let headers = [("x-magpie-class", "validation")];
    let timeout = TIMEOUT;
    let call = Call {
        method: "GET",
        url: &url,
        headers: &headers,
        body: &[],
        timeout: timeout.into(),
    };
    let refused = fleet.client.send(&call).unwrap();
    assert_eq!(
        (refused.status, refused.header("x-magpie-verdict")),
        (503, "not-run")
    );
    entry.kill();
}

// Guards against edits that wait for a hanging store and take up all connections of the table
// service.
#[test]
fn edits_limited_while_store_hangs() {
    let fleet = fleet();
    let url = fleet.entries()[0].table.url();
    let core = fleet.platform.store.core();
    core.set_faults(store::Faults {
        slow: 1000,
        ..store::Faults::default()
    });
    let send = |number: u64| -> Result<Outcome, Failure> {
        let row = table::Row::batch(&format!("class{number}"));
        let class = row.class.clone();
        let rows = vec![RowEdit {
            class,
            revision: 0,
            row: Some(row),
        }];
        let edit = Edit {
            id: 100 + number,
            who: Arc::from("test"),
            rows,
        };
        let submit = SubmitEdit { edit };
        let url = format!("{url}/table/edit");
        fleet.client.post(&url, &submit, TIMEOUT)
    };
    let outcomes: Vec<Result<Outcome, Failure>> = thread::scope(|scope| {
        let edits: Vec<_> = (0..8).map(|n| scope.spawn(move || send(n))).collect();
        edits.into_iter().map(|edit| edit.join().unwrap()).collect()
    });
    core.set_faults(store::Faults::default());
    let is_refused = |outcome: &&Result<Outcome, Failure>| {
        let text = "too many edits wait for the store; try again";
        *outcome == &Err(Failure::not_run(Cause::Busy, text))
    };
    assert_eq!(
        outcomes.iter().filter(is_refused).count(),
        4,
        "{outcomes:?}"
    );
    // The others were accepted, unless they timed out on the slow store.
    let is_admitted = |outcome: &&Result<Outcome, Failure>| match outcome {
        Ok(outcome) => matches!(outcome, Outcome::Accepted(_)),
        Err(failure) => failure.cause == Cause::Timeout,
    };
    assert_eq!(
        outcomes.iter().filter(is_admitted).count(),
        4,
        "{outcomes:?}"
    );
    // When repeated, all edits are accepted, each exactly once.
    let versions = RefCell::new(BTreeSet::new());
    for number in 0..8 {
        wait_until(deadline(), "an edit was not accepted", || {
            match send(number) {
                Ok(Outcome::Accepted(version)) => versions.borrow_mut().insert(version),
                _ => false,
            }
        })
        .unwrap();
    }
    assert!(versions.into_inner().into_iter().eq(2..=9));
}

#[test]
fn drain_through_any_box() {
    let fleet = fleet();
    let urls: Vec<String> = fleet
        .entries()
        .iter()
        .map(|entry| entry.sched.url())
        .collect();
    for url in urls {
        let drain = Drain {
            worker: Arc::from("w000"),
            drained: true,
            passed: false,
        };
        let drained: Result<bool, Failure> =
            fleet
                .client
                .post(&format!("{url}/workers/drain"), &drain, TIMEOUT);
        assert_eq!(drained, Ok(true));
    }
}
