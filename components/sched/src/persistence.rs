//! Writing a cell's book down in batches, and what waits for it.

use {
    crate::{
        cell::Cell,
        job::Job,
        record::{CellRecord, MAX_RECORD},
        write_queue::{AfterWrite, WriteCallback},
    },
    infra::budget::Rank,
    kernel::{Failure, sync::lock, verdict::Cause, wall_clock, wire},
    std::sync::{Arc, Mutex},
};

/// How many places of a job are reserved ahead of those started.
const RESERVE_AHEAD: u32 = 1024;

/// How many at-most-once tasks of a job are marked in one write.
const MARKS_PER_WRITE: u32 = 512;

/// How long an ended job is kept for those who ask, in milliseconds.
const ENDED_RETENTION_MS: u64 = 10 * 60 * 1000;

/// Makes one answer out of several: it is given with the last of them, or with the first failure.
pub fn split_callback(done: WriteCallback, parts: usize) -> Vec<WriteCallback> {
    let shared = Arc::new(Mutex::new((parts, Some(done))));
    let part = |shared: Arc<Mutex<(usize, Option<WriteCallback>)>>| -> WriteCallback {
        Box::new(move |result| {
            let mut state = lock(&shared);
            state.0 -= 1;
            let last = state.0 == 0 || result.is_err();
            let whole = if last { state.1.take() } else { None };
            drop(state);
            if let Some(whole) = whole {
                whole(result);
            }
        })
    };
    (0..parts).map(|_| part(shared.clone())).collect()
}

/// A book that is on its way to the store.
pub struct WriteBatch {
    /// The version that the store has.
    pub version: u64,
    /// The book's bytes.
    pub bytes: Vec<u8>,
}

impl Cell {
    /// The next batch to write; `None` when nothing is due or a batch is on its way.
    ///
    /// # Errors
    ///
    /// The book is larger than the store's values.
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
        let book = CellRecord {
            epoch: self.epoch(),
            write: self.write_queue.write_number,
            jobs: self.jobs.values().map(|job| job.entry.clone()).collect(),
            drained: self.write_queue.drained.clone(),
        };
        let bytes = wire::encode(&book)?;
        self.write_queue.record_bytes = bytes.len();
        if bytes.len() > MAX_RECORD {
            return Err(Failure::not_run(
                Cause::Busy,
                "the cell's book is too large",
            ));
        }
        self.write_queue.dirty = false;
        self.write_queue.priority = Rank::Read;
        self.write_queue.writing = true;
        let staged = std::mem::take(&mut self.write_queue.staged);
        self.write_queue.in_flight.extend(staged);
        Ok(Some(WriteBatch {
            version: self.write_queue.store_version,
            bytes,
        }))
    }

    /// The batch on its way was written, as this version.
    pub fn batch_written(&mut self, version: u64) {
        self.write_queue.store_version = version;
        self.write_queue.writing = false;
        for job in self.jobs.values_mut() {
            job.reserved = job.entry.reserved;
        }
        for effect in std::mem::take(&mut self.write_queue.in_flight) {
            match effect {
                AfterWrite::ActivateJob(id) => self.begin(&id),
                AfterWrite::Forget(at, task, attempt) => {
                    self.fleet
                        .worker_mut(at)
                        .outbox
                        .forget
                        .push((task, attempt));
                }
                AfterWrite::Respond(done) => done(Ok(())),
            }
        }
        self.enqueue_marked();
    }

    /// The batch on its way was surely not written; it is due again with what came since.
    pub fn batch_failed(&mut self) {
        self.write_queue.writing = false;
        self.write_queue.dirty = true;
    }

    /// Lets tasks begin whose mark is written.
    fn enqueue_marked(&mut self) {
        let mut ids = Vec::new();
        for job in self.jobs.values_mut() {
            if job.entry.spec.once && job.release_marked() {
                ids.push(job.entry.id.clone());
            }
        }
        for id in ids {
            self.enqueue(&id);
        }
        // Tasks that still need a mark need a write, also when nothing else does.
        let unmarked = |job: &Job| !job.entry.cancelled && !job.unmarked.is_empty();
        if self.jobs.values().any(unmarked) {
            self.write_queue.mark_dirty();
        }
    }

    /// Drops jobs that ended long ago.
    fn remove_ended(&mut self) {
        let limit = wall_clock::millis().saturating_sub(ENDED_RETENTION_MS);
        let full = self.write_queue.record_bytes > MAX_RECORD / 2;
        let kept = |ended: u64| ended > limit && !full;
        self.jobs
            .retain(|_, job| !job.running.is_empty() || job.entry.ended.is_none_or(kept));
    }
}

/// Reserves places ahead of those that were started.
fn reserve_ahead(job: &mut Job) {
    let ahead = job
        .started
        .saturating_add(RESERVE_AHEAD)
        .min(job.entry.spec.count);
    if job.entry.ended.is_none() && ahead > job.entry.reserved {
        job.entry.reserved = ahead;
    }
}

/// True when a job will soon run out of reserved places.
pub fn needs_reservation(job: &Job) -> bool {
    job.reserved < job.entry.spec.count && job.started + RESERVE_AHEAD / 2 > job.reserved
}

/// Marks the next tasks that must not be started twice.
fn mark_next(job: &mut Job) {
    if !job.entry.spec.once || job.entry.cancelled {
        return;
    }
    let mut left = MARKS_PER_WRITE;
    for range in job.unmarked.iter() {
        let end = (*range.end()).min(range.start().saturating_add(left - 1));
        left -= end - range.start() + 1;
        job.entry.marked.insert(*range.start()..=end);
        if left == 0 {
            return;
        }
    }
}
