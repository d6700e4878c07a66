//! Operator load: table edits one after another, some of them two at once on the same row.

use {
    crate::context::Context,
    kernel::{Failure, sync::lock},
    std::{
        collections::BTreeMap,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    table::{
        Edit, Row, RowEdit,
        message::{Current, Outcome, Submit},
    },
    trial::fleet::TIMEOUT,
};

/// Interval between two edits.
const EDIT_INTERVAL: Duration = Duration::from_millis(400);

/// Every n-th edit is made by two operators at once.
const RACE_EVERY: u64 = 4;

/// Time limit for an accepted edit to reach every service.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two checks of the versions.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Submits edits until `end`.
pub fn run(context: &Context, seed: u64, end: Instant) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        thread::sleep(EDIT_INTERVAL);
        let Some(edit) = random_edit(context, &mut rng) else {
            continue;
        };
        if number % RACE_EVERY == 0 {
            submit_conflicting(context, &mut rng, &edit);
        } else {
            submit_edit(context, &mut rng, &edit);
        }
    }
}

fn random_table(context: &Context, rng: &mut fastrand::Rng) -> String {
    let entries = context.fleet.entries();
    entries[rng.usize(..entries.len())].table.url()
}

/// Builds an edit of a random row's weight.
fn random_edit(context: &Context, rng: &mut fastrand::Rng) -> Option<Edit> {
    let url = format!("{}/table/current", random_table(context, rng));
    let current: Current = context.fleet.client.post(&url, &(), TIMEOUT).ok()?;
    let rows: Vec<&Row> = current.table.rows.values().collect();
    let row = (*rows.get(rng.usize(..rows.len().max(1)))?).clone();
    Some(edit(rng, &row))
}

fn edit(rng: &mut fastrand::Rng, row: &Row) -> Edit {
    let weight = rng.u32(50..500);
    let rows = vec![RowEdit {
        class: row.class.clone(),
        revision: row.revision,
        row: Some(Row {
            weight,
            ..row.clone()
        }),
    }];
    Edit {
        id: rng.u64(..),
        who: Arc::from("demo"),
        rows,
    }
}

fn send(context: &Context, url: &str, edit: &Edit) -> Result<Outcome, Failure> {
    let message = Submit { edit: edit.clone() };
    context
        .fleet
        .client
        .post(&format!("{url}/table/edit"), &message, TIMEOUT)
}

fn submit_edit(context: &Context, rng: &mut fastrand::Rng, edit: &Edit) {
    let url = random_table(context, rng);
    let started = Instant::now();
    match send(context, &url, edit) {
        Ok(Outcome::Accepted(version)) => {
            Context::count(&context.counts.edits);
            wait_propagated(context, version, started);
        }
        // The row may be older on this box than on the one it was read from.
        Ok(Outcome::Refused(_)) => Context::count(&context.counts.conflicts),
        Err(failure) => {
            Context::count(&context.counts.open_edits);
            if failure.is_not_run() {
                check_absent(context, rng, edit);
            }
        }
    }
}

/// Two operators change the same row concurrently: at most one edit may be accepted.
fn submit_conflicting(context: &Context, rng: &mut fastrand::Rng, first: &Edit) {
    let Some(row) = first.rows[0].row.clone() else {
        return;
    };
    let second = edit(rng, &row);
    let urls = [random_table(context, rng), random_table(context, rng)];
    let started = Instant::now();
    let outcomes = thread::scope(|scope| {
        let one = scope.spawn(|| send(context, &urls[0], first));
        let other = scope.spawn(|| send(context, &urls[1], &second));
        [one.join(), other.join()]
    });
    let mut versions = Vec::new();
    for outcome in outcomes.into_iter().flatten() {
        match outcome {
            Ok(Outcome::Accepted(version)) => versions.push(version),
            Ok(Outcome::Refused(_)) => Context::count(&context.counts.conflicts),
            Err(_) => Context::count(&context.counts.open_edits),
        }
    }
    if versions.len() > 1 {
        context.breach("two edits of the same revision of a row were both accepted");
    }
    for version in versions {
        Context::count(&context.counts.edits);
        wait_propagated(context, version, started);
    }
}

/// Waits until an accepted edit is in use by every service.
fn wait_propagated(context: &Context, version: u64, started: Instant) {
    loop {
        let lagging = lagging(context, version);
        if lagging.is_empty() {
            break;
        }
        if started.elapsed() > PROPAGATION_TIMEOUT {
            let text = "an accepted edit did not reach every service in time";
            context.breach(&format!(
                "{text}: version {version}, {}",
                lagging.join(", ")
            ));
            break;
        }
        thread::sleep(POLL_INTERVAL);
    }
    lock(&context.propagation).saturating_record(started.elapsed().as_micros() as u64);
}

/// Returns the boxes with a service whose table is older, with the versions of table, scheduler
/// and gate.
fn lagging(context: &Context, version: u64) -> Vec<String> {
    let mut lagging = Vec::new();
    for entry in context.fleet.entries().iter() {
        let versions = entry.versions();
        if versions.iter().any(|v| v.is_some_and(|v| v < version)) {
            lagging.push(format!("{} has {versions:?}", entry.name));
        }
    }
    lagging
}

/// Checks that an edit with the verdict "not run" is absent from the history.
fn check_absent(context: &Context, rng: &mut fastrand::Rng, edit: &Edit) {
    let url = format!("{}/table/current", random_table(context, rng));
    let current: Result<Current, Failure> = context.fleet.client.post(&url, &(), TIMEOUT);
    let Ok(current) = current else { return };
    if current.history.iter().any(|change| change.id == edit.id) {
        context.breach("an edit with the verdict 'not run' was accepted");
    }
}

/// Polls the table version of every service: it must never decrease.
pub fn watch_versions(context: &Context, end: Instant) {
    let mut last: BTreeMap<(Arc<str>, usize), u64> = BTreeMap::new();
    while Instant::now() < end {
        for entry in context.fleet.entries().iter() {
            for (service, version) in entry.versions().into_iter().enumerate() {
                let Some(version) = version else { continue };
                let known = last.entry((entry.name.clone(), service)).or_default();
                if version < *known {
                    context.breach("a table version decreased");
                }
                *known = version;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}
