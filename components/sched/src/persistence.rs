//! Persists a cell's record in batches and runs the actions that wait for a write.

use {
    crate::{
        cell::Cell,
        job::Job,
        record::{CellRecord, MAX_RECORD},
        write_queue::{AfterWrite, WriteCallback},
    },
    infra::budget::Priority,
    kernel::{Failure, sync::lock, verdict::Cause, wall_clock, wire},
    std::sync::{Arc, Mutex},
};

/// Number of task indexes of a job that are reserved ahead of the started ones.
const RESERVE_AHEAD: u32 = 1024;

/// Number of at-most-once tasks of a job that are marked in one write.
const MARKS_PER_WRITE: u32 = 512;

/// How long the status of an ended job stays available, in milliseconds.
const ENDED_RETENTION_MS: u64 = 10 * 60 * 1000;

/// Splits a callback into `parts`. The callback runs with the result of the last part, or with the
/// first failure.
pub fn split_callback(done: WriteCallback, parts: usize) -> Vec<WriteCallback> {
    let shared = Arc::new(Mutex::new((parts, Some(done))));
    let part = |shared: Arc<Mutex<(usize, Option<WriteCallback>)>>| -> WriteCallback {
        Box::new(move |result| {
            let mut state = lock(&shared);
            state.0 -= 1;
            let last = state.0 == 0 || result.is_err();
            let callback = if last { state.1.take() } else { None };
            drop(state);
            if let Some(callback) = callback {
                callback(result);
            }
        })
    };
    (0..parts).map(|_| part(shared.clone())).collect()
}

/// An encoded cell record to write to the store.
pub struct WriteBatch {
    /// The expected store version.
    pub version: u64,
    /// The encoded record.
    pub bytes: Vec<u8>,
}

impl Cell {
    /// Returns the next batch to write; `None` when no write is due or one is in flight.
    ///
    /// # Errors
    ///
    /// Returns `Busy` when the record exceeds [`MAX_RECORD`].
    pub fn take_batch(&mut self) -> Result<Option<WriteBatch>, Failure> {
        if self.write_queue.writing || !self.write_queue.is_dirty() || !self.is_active() {
            return Ok(None);
        }
        self.remove_ended();
        for job in self.jobs.values_mut() {
            reserve_ahead(job);
            mark_next(job);
        }
        self.write_queue.write_number += 1;
        let record = CellRecord {
            epoch: self.epoch(),
            write: self.write_queue.write_number,
            jobs: self.jobs.values().map(|job| job.record.clone()).collect(),
            drained: self.write_queue.drained.clone(),
        };
        let bytes = wire::encode(&record)?;
        self.write_queue.record_bytes = bytes.len();
        if bytes.len() > MAX_RECORD {
            return Err(Failure::not_run(
                Cause::Busy,
                "the cell record is too large to be written",
            ));
        }
        self.write_queue.dirty = false;
        self.write_queue.priority = Priority::Read;
        self.write_queue.writing = true;
        let staged = std::mem::take(&mut self.write_queue.staged);
        self.write_queue.in_flight.extend(staged);
        Ok(Some(WriteBatch {
            version: self.write_queue.store_version,
            bytes,
        }))
    }

    /// Handles the success of the write in flight; `version` is the new store version.
    pub fn batch_written(&mut self, version: u64) {
        self.write_queue.store_version = version;
        self.write_queue.writing = false;
        for job in self.jobs.values_mut() {
            job.reserved = job.record.reserved;
        }
        for effect in std::mem::take(&mut self.write_queue.in_flight) {
            match effect {
                AfterWrite::ActivateJob(id) => self.activate_job(&id),
                AfterWrite::Forget(worker_index, task, attempt) => {
                    self.fleet
                        .worker_mut(worker_index)
                        .outbox
                        .forget
                        .push((task, attempt));
                }
                AfterWrite::Respond(done) => done(Ok(())),
            }
        }
        self.enqueue_marked();
    }

    /// Handles the failure of the write in flight, which is certain to have had no effect. It
    /// becomes due again together with later changes.
    pub fn batch_failed(&mut self) {
        self.write_queue.writing = false;
        self.write_queue.dirty = true;
    }

    /// Enqueues at-most-once tasks whose mark is written.
    fn enqueue_marked(&mut self) {
        let mut ids = Vec::new();
        for job in self.jobs.values_mut() {
            if job.record.spec.once && job.release_marked() {
                ids.push(job.record.id.clone());
            }
        }
        for id in ids {
            self.enqueue(&id);
        }
        // Tasks that still need a mark make a write due, even if nothing else has changed.
        let unmarked = |job: &Job| !job.record.cancelled && !job.unmarked.is_empty();
        if self.jobs.values().any(unmarked) {
            self.write_queue.mark_dirty();
        }
    }

    /// Removes jobs that ended more than [`ENDED_RETENTION_MS`] ago, or all ended jobs when the
    /// record is larger than half its maximum.
    fn remove_ended(&mut self) {
        let limit = wall_clock::millis().saturating_sub(ENDED_RETENTION_MS);
        let full = self.write_queue.record_bytes > MAX_RECORD / 2;
        let kept = |ended: u64| ended > limit && !full;
        self.jobs
            .retain(|_, job| !job.running.is_empty() || job.record.ended.is_none_or(kept));
    }
}

/// Reserves task indexes ahead of the started ones.
fn reserve_ahead(job: &mut Job) {
    let ahead = job
        .started
        .saturating_add(RESERVE_AHEAD)
        .min(job.record.spec.count);
    if job.record.ended.is_none() && ahead > job.record.reserved {
        job.record.reserved = ahead;
    }
}

/// Returns true when a job will soon run out of reserved task indexes.
pub fn needs_reservation(job: &Job) -> bool {
    job.reserved < job.record.spec.count && job.started + RESERVE_AHEAD / 2 > job.reserved
}

/// Marks the next at-most-once tasks.
fn mark_next(job: &mut Job) {
    if !job.record.spec.once || job.record.cancelled {
        return;
    }
    let mut remaining = MARKS_PER_WRITE;
    for range in job.unmarked.iter() {
        let end = (*range.end()).min(range.start().saturating_add(remaining - 1));
        remaining -= end - range.start() + 1;
        job.record.marked.insert(*range.start()..=end);
        if remaining == 0 {
            return;
        }
    }
}
