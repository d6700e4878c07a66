//! One edit, one request, one task, one number in a report: from one end to the other.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    infra::Size,
    kernel::{Call, Failure, verdict::Cause},
    magpie_trial::{
        Fleet,
        fleet::{TIMEOUT, wait},
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

/// A small deployment: 2 halls, 4 workers, 4 backend servers, 2 entry boxes.
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

fn soon() -> Instant {
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
    wait(soon(), "the job did not end", || {
        show(fleet, id).is_ok_and(|s| s.ended)
    })
    .unwrap();
    ask_owner(fleet, job::cell_of(id).unwrap(), || show(fleet, id))
}

/// Asks as a caller does that is told to try again where no owner of the cell is known. Only a
/// cell that was taken over since its first owner has it may be refused so.
fn ask_owner(fleet: &Fleet, hall: &str, ask: impl Fn() -> Result<Status, Failure>) -> Status {
    let end = soon();
    loop {
        let refused = match ask() {
            Err(failure) if is_ownerless(&failure) && Instant::now() < end => failure,
            result => return result.unwrap(),
        };
        assert!(epoch(fleet, hall) > 1, "{hall} was not moved: {refused}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn is_ownerless(failure: &Failure) -> bool {
    let told = failure
        .text
        .ends_with("has no owner that is known here; try again");
    failure.is_not_run() && failure.cause == Cause::Busy && told
}

/// The epoch of a cell in the store, which is raised before anybody gives the cell up for it.
fn epoch(fleet: &Fleet, hall: &str) -> u64 {
    let store = fleet.platform.store.core();
    let (_, record) = lease::epoch::read(store.as_ref(), hall).unwrap().unwrap();
    record.epoch
}

#[test]
fn edit_in_force_in_each_process() {
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
    // The same edit again, as after a lost reply, is the same edit.
    assert_eq!(send(), Outcome::Accepted(2));
    wait(soon(), "the edit is not in force", || {
        fleet
            .entries()
            .iter()
            .all(|entry| entry.versions() == [Some(2); 3])
    })
    .unwrap();
}

#[test]
fn request_answered_whole_and_reported() {
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
    assert_eq!(answer.body, backend::expected("r1", &body).into_bytes());
    assert!(fleet.platform.witness.ran("r1"));
    let ops = fleet.entries()[0].gate.ops_url();
    let sample: burn::report::Sample = fleet
        .client
        .post(&format!("{ops}/burn"), &(), TIMEOUT)
        .unwrap();
    assert!(sample.series.contains_key("validation"));
}

#[test]
fn job_runs_once_on_any_box() {
    let fleet = fleet();
    let send = |hall, key| ask_owner(&fleet, hall, || submit(&fleet, hall, key, 20, 200));
    let first = send("h1", 7);
    // The same submission again, through some box, is the same job.
    assert_eq!(send("h1", 7).id, first.id);
    let other = send("h2", 8);
    assert_eq!(wait_ended(&fleet, &first.id).finished, 20);
    assert_eq!(wait_ended(&fleet, &other.id).finished, 20);
    let totals = fleet.platform.witness.totals();
    assert_eq!((totals.starts, totals.finished), (40, 40));
    assert_eq!(
        (totals.doubles, totals.refinished, totals.overfull),
        (0, 0, 0)
    );
}

#[test]
fn job_never_runs_is_told() {
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

// A cancellation sent to a box that does not own the cell was once answered as done and did
// nothing.
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
    wait(soon(), "tasks run on", || {
        fleet.platform.witness.running() == 0
    })
    .unwrap();
}

#[test]
fn owner_killed_work_goes_on() {
    let fleet = fleet();
    let cell: Arc<str> = Arc::from("h1");
    let long = submit(&fleet, &cell, 1, 30, 4000).unwrap();
    wait(soon(), "nothing runs", || {
        fleet.platform.witness.running() == 30
    })
    .unwrap();
    let mut dead = fleet.take_owner(&cell).unwrap();
    dead.kill();
    let next = submit_until_taken(&fleet, &cell, 2);
    assert_eq!(wait_ended(&fleet, &long.id).finished, 30);
    assert_eq!(wait_ended(&fleet, &next).finished, 5);
    let totals = fleet.platform.witness.totals();
    // Every task started once: the new owner adopted what ran.
    assert_eq!((totals.starts, totals.finished, totals.stops), (35, 35, 0));
    assert_eq!((totals.doubles, totals.refinished), (0, 0));
}

#[test]
fn owner_paused_past_its_epoch() {
    let fleet = fleet();
    let cell: Arc<str> = Arc::from("h1");
    let long = submit(&fleet, "h1", 1, 30, 6000).unwrap();
    wait(soon(), "nothing runs", || {
        fleet.platform.witness.running() == 30
    })
    .unwrap();
    let frozen = fleet.take_owner(&cell).unwrap();
    // The actor stands still until the test lets it go on.
    let (thaw, frost) = std::sync::mpsc::channel::<()>();
    assert!(frozen.sched.actor_ref().tell(move |_, _| {
        let _ = frost.recv();
    }));
    wait(soon(), "nobody took the cell over", || {
        fleet.entries().iter().any(|entry| entry.owns(&cell))
    })
    .unwrap();
    thaw.send(()).unwrap();
    fleet.entries_mut().push(frozen);
    assert_eq!(wait_ended(&fleet, &long.id).finished, 30);
    let totals = fleet.platform.witness.totals();
    assert_eq!((totals.starts, totals.finished, totals.stops), (30, 30, 0));
    assert_eq!((totals.doubles, totals.refinished), (0, 0));
}

fn submit_until_taken(fleet: &Fleet, cell: &Arc<str>, key: u64) -> Arc<str> {
    wait(soon(), "the job was not taken in", || {
        submit(fleet, cell, key, 5, 200).is_ok()
    })
    .unwrap();
    job::id(cell, key)
}

#[test]
fn stop_of_gate_cuts_nothing_off() {
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
                    let whole = backend::expected(&id, b"x").into_bytes();
                    client.send(&call).is_ok_and(|answer| answer.body == whole)
                })
            })
            .collect();
        let arrived = || fleet.platform.witness.totals().requests == 8;
        wait(soon(), "not all calls arrived", arrived).unwrap();
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

// Edits that waited for a store which hangs once took up the whole port of a table.
#[test]
fn edits_while_store_hangs_leave_port_free() {
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
    let has_no_room = |outcome: &&Result<Outcome, Failure>| {
        let told = "too many edits wait for the store; try again";
        *outcome == &Err(Failure::not_run(Cause::Busy, told))
    };
    assert_eq!(
        outcomes.iter().filter(has_no_room).count(),
        4,
        "{outcomes:?}"
    );
    // The others came in, unless the time passed on a store so slow.
    let had_room = |outcome: &&Result<Outcome, Failure>| match outcome {
        Ok(outcome) => matches!(outcome, Outcome::Accepted(_)),
        Err(failure) => failure.cause == Cause::Timeout,
    };
    assert_eq!(outcomes.iter().filter(had_room).count(), 4, "{outcomes:?}");
    // Sent again, all have come in, and each once.
    let versions = RefCell::new(BTreeSet::new());
    for number in 0..8 {
        wait(soon(), "an edit did not come in", || match send(number) {
            Ok(Outcome::Accepted(version)) => versions.borrow_mut().insert(version),
            _ => false,
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
