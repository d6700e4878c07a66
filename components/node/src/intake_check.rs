//! Check of the owner's watch of the intake: jobs that the watch has skipped are admitted.
//!
//! A watch continues from its last event, so a job whose event was skipped before that is never
//! delivered. The check lists the intake and compares it with the jobs that the owner knows.

use {
    crate::{
        core::Node,
        keys, owner_tasks,
        settings::{INTAKE_CHECK_INTERVAL, INTAKE_CHECK_PAUSE_FACTOR},
        store::{Event, Item, Store, range_all},
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
    Ok(read_skipped(
        &*node.external.store,
        unknown,
        passed,
        checked,
    ))
}

/// Reads these jobs, with their cancellations, until a read fails. The others are read at the next
/// check.
fn read_skipped(
    store: &dyn Store,
    unknown: HashSet<Id>,
    passed: u64,
    checked: &mut HashSet<Id>,
) -> Vec<Event> {
    let mut events = Vec::new();
    for id in unknown {
        match unstarted(store, &id) {
            Ok(items) => {
                if let Some(item) = items.first() {
                    log::warn!(target: "owner", job = id.as_str(), revision = item.revision, passed; "The watch of the intake has skipped a job.");
                    metrics::counter!("magpie_intake_skipped_total").increment(1);
                }
                events.extend(items.into_iter().map(Event::Put));
                checked.insert(id);
            }
            Err(failure) => {
                log::info!(target: "owner", job = id.as_str(), error:% = failure; "A job that the watch may have skipped could not be read.");
                break;
            }
        }
    }
    events
}

/// Reads the submission of a job that the owner does not know, and its cancellation; nothing if the
/// job has ended since, or has a record.
fn unstarted(store: &dyn Store, id: &Id) -> Result<Vec<Item>, Failure> {
    let Some(submission) = store.get(&keys::job(id))? else {
        return Ok(Vec::new());
    };
    if has_record(store, id)? {
        return Ok(Vec::new());
    }
    let cancelled = store.get(&keys::cancel(id))?;
    Ok([submission].into_iter().chain(cancelled).collect())
}

/// True if a job that the owner does not know has a record. The owner could not decode it when it
/// loaded the cell, and the job must not be admitted, since its tasks may have run.
///
/// # Errors
///
/// The store gave no valid answer.
pub fn has_record(store: &dyn Store, id: &Id) -> Result<bool, Failure> {
    let record = store.get(&keys::state(id))?;
    Ok(record.is_some())
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::fixtures::{ReadOnly, Reads},
        kernel::verdict::Cause,
        std::sync::atomic::AtomicU32,
    };

    /// A store with the submissions of all jobs, and no records. One of its reads fails.
    struct FailingStore {
        /// Reads until then.
        left: AtomicU32,
    }

    impl Reads for FailingStore {
        fn get(&self, key: &str) -> Result<Option<Item>, Failure> {
            if self.left.fetch_sub(1, Ordering::Relaxed) == 0 {
                return Err(Failure::not_run(Cause::Refused, "the store is slow"));
            }
            Ok(keys::id(key, keys::JOB).map(|_| Item {
                key: key.to_owned(),
                value: Vec::new(),
                revision: 5,
                store_revision: 5,
            }))
        }
    }

    /// Guards against skipped jobs that count as examined and are never admitted, since the read of
    /// another one failed.
    #[test]
    fn read_skipped_keeps_jobs_before_failed_read() {
        let jobs: HashSet<Id> = ["00000000000000a1", "00000000000000a2", "00000000000000a3"]
            .into_iter()
            .filter_map(Id::new)
            .collect();
        for left in 0..9 {
            let left = AtomicU32::new(left);
            let store = ReadOnly(FailingStore { left });
            let mut checked = HashSet::new();
            let mut admitted = HashSet::new();
            for _ in 0..2 {
                let unknown = jobs.difference(&checked).cloned().collect();
                for event in read_skipped(&store, unknown, 9, &mut checked) {
                    let Event::Put(item) = event else {
                        continue;
                    };
                    admitted.extend(keys::id(&item.key, keys::JOB));
                }
            }
            assert_eq!(admitted, jobs);
        }
    }
}
