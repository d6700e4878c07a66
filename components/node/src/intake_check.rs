//! Check of the owner's watch of the intake: jobs that the watch has skipped are admitted.
//!
//! A watch continues from its last event, so a job whose event was skipped before that is never
//! delivered. The check lists the intake and compares it with the jobs that the owner knows.

use {
    crate::{
        core::Node,
        keys, owner_tasks,
        settings::{INTAKE_CHECK_INTERVAL, INTAKE_CHECK_PAUSE_FACTOR},
        store::{Event, Item, range_all},
    },
    job::Id,
    kernel::Failure,
    std::{
        collections::HashSet,
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Checks the intake until the ownership ends. `watched` is the revision that the watch has passed;
/// the actor has been sent all events up to it that were not skipped.
pub fn run(node: &Node, fence: u64, watched: &AtomicU64) {
    let mut took = Duration::ZERO;
    let mut checked = HashSet::new();
    loop {
        thread::sleep(INTAKE_CHECK_INTERVAL.max(took * INTAKE_CHECK_PAUSE_FACTOR));
        if owner_tasks::has_ended(node, fence) {
            return;
        }
        let started = Instant::now();
        let passed = watched.load(Ordering::Acquire);
        match skipped(node, fence, passed, &mut checked) {
            Ok(events) if events.is_empty() => {}
            Ok(events) => {
                node.actor
                    .tell(move |core, cx| core.handle_intake(cx, fence, events));
            }
            Err(failure) => {
                log::info!(target: "owner", error:% = failure; "The intake could not be checked for skipped jobs.");
            }
        }
        took = started.elapsed();
    }
}

/// Returns the jobs that the watch has skipped, with their cancellations. Each job is examined once;
/// `checked` holds those that were.
fn skipped(
    node: &Node,
    fence: u64,
    passed: u64,
    checked: &mut HashSet<Id>,
) -> Result<Vec<Event>, Failure> {
    let (items, _) = range_all(&*node.external.store, keys::INTAKE)?;
    let ids: Vec<Id> = items
        .iter()
        .filter(|item| item.revision <= passed)
        .filter_map(|item| keys::id(&item.key, keys::JOB))
        .filter(|id| !checked.contains(id))
        .collect();
    let unknown = node
        .actor
        .ask(move |core, _| core.unknown_jobs(fence, ids))?;
    let mut events = Vec::new();
    for id in unknown {
        if let Some(item) = unstarted(node, &id)? {
            log::warn!(target: "owner", job = id.as_str(), revision = item.revision, passed; "The watch of the intake has skipped a job.");
            metrics::counter!("magpie_intake_skipped_total").increment(1);
            events.push(Event::Put(item));
            let cancelled = node.external.store.get(&keys::cancel(&id))?;
            events.extend(cancelled.map(Event::Put));
        }
        checked.insert(id);
    }
    Ok(events)
}

/// Reads the submission of a job that the owner does not know; `None` if the job has ended since,
/// or has a record.
fn unstarted(node: &Node, id: &Id) -> Result<Option<Item>, Failure> {
    let submission = node.external.store.get(&keys::job(id))?;
    let has_record = has_record(node, id)?;
    Ok(submission.filter(|_| !has_record))
}

/// True if a job that the owner does not know has a record. The owner could not decode it when it
/// loaded the cell, and the job must not be admitted, since its tasks may have run.
///
/// # Errors
///
/// The store gave no valid answer.
pub fn has_record(node: &Node, id: &Id) -> Result<bool, Failure> {
    let record = node.external.store.get(&keys::state(id))?;
    Ok(record.is_some())
}
