//! Writing a cell's book down in batches, and what waits for it.

use {
    crate::{
        book::{Book, MAX_BOOK},
        cell::Cell,
        job::Job,
        journal::{Done, Effect},
    },
    infra::budget::Priority,
    kernel::sync::lock,
    kernel::verdict::Cause,
    kernel::{Failure, wall_clock, wire},
    std::sync::{Arc, Mutex},
};

/// How many places of a job are reserved ahead of those started.
const RESERVE: u32 = 1024;

/// How many at-most-once tasks of a job are marked in one write.
const MARKS: u32 = 512;

/// How long an ended job is kept for those who ask, in milliseconds.
const KEEP_ENDED: u64 = 10 * 60 * 1000;

/// Makes one answer out of several: it is given with the last of them, or with the first failure.
pub fn split(done: Done, parts: usize) -> Vec<Done> {
    let shared = Arc::new(Mutex::new((parts, Some(done))));
    let part = |shared: Arc<Mutex<(usize, Option<Done>)>>| -> Done {
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
pub struct Batch {
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
    pub fn take_batch(&mut self) -> Result<Option<Batch>, Failure> {
        if self.journal.sending || !self.journal.is_dirty() || !self.is_holding() {
            return Ok(None);
        }
        self.prune();
        for job in self.jobs.values_mut() {
            reserve(job);
            mark(job);
        }
        self.journal.write += 1;
        let book = Book {
            epoch: self.epoch(),
            write: self.journal.write,
            jobs: self.jobs.values().map(|job| job.entry.clone()).collect(),
            drained: self.journal.drained.clone(),
        };
        let bytes = wire::encode(&book)?;
        self.journal.bytes = bytes.len();
        if bytes.len() > MAX_BOOK {
            return Err(Failure::not_run(
                Cause::Busy,
                "the cell's book is too large",
            ));
        }
        self.journal.dirty = false;
        self.journal.rank = Priority::Read;
        self.journal.sending = true;
        let staged = std::mem::take(&mut self.journal.staged);
        self.journal.sent.extend(staged);
        Ok(Some(Batch {
            version: self.journal.version,
            bytes,
        }))
    }

    /// The batch on its way was written, as this version.
    pub fn committed(&mut self, version: u64) {
        self.journal.version = version;
        self.journal.sending = false;
        for job in self.jobs.values_mut() {
            job.reserved = job.entry.reserved;
        }
        for effect in std::mem::take(&mut self.journal.sent) {
            match effect {
                Effect::Begin(id) => self.begin(&id),
                Effect::Forget(at, task, attempt) => {
                    self.fleet.slot_mut(at).outbox.forget.push((task, attempt));
                }
                Effect::Answer(done) => done(Ok(())),
            }
        }
        self.open_marked();
    }

    /// The batch on its way was surely not written; it is due again with what came since.
    pub fn not_committed(&mut self) {
        self.journal.sending = false;
        self.journal.dirty = true;
    }

    /// Lets tasks begin whose mark is written.
    fn open_marked(&mut self) {
        let mut ids = Vec::new();
        for job in self.jobs.values_mut() {
            if job.entry.spec.once && job.open_marked() {
                ids.push(job.entry.id.clone());
            }
        }
        for id in ids {
            self.line_up(&id);
        }
        // Tasks that still need a mark need a write, also when nothing else does.
        let unmarked = |job: &Job| !job.entry.cancelled && !job.unmarked.is_empty();
        if self.jobs.values().any(unmarked) {
            self.journal.touch();
        }
    }

    /// Drops jobs that ended long ago.
    fn prune(&mut self) {
        let limit = wall_clock::millis().saturating_sub(KEEP_ENDED);
        let full = self.journal.bytes > MAX_BOOK / 2;
        let kept = |ended: u64| ended > limit && !full;
        self.jobs
            .retain(|_, job| !job.running.is_empty() || job.entry.ended.is_none_or(kept));
    }
}

/// Reserves places ahead of those that were started.
fn reserve(job: &mut Job) {
    let ahead = job
        .started
        .saturating_add(RESERVE)
        .min(job.entry.spec.count);
    if job.entry.ended.is_none() && ahead > job.entry.reserved {
        job.entry.reserved = ahead;
    }
}

/// True when a job will soon run out of reserved places.
pub fn is_short(job: &Job) -> bool {
    job.reserved < job.entry.spec.count && job.started + RESERVE / 2 > job.reserved
}

/// Marks the next tasks that must not be started twice.
fn mark(job: &mut Job) {
    if !job.entry.spec.once || job.entry.cancelled {
        return;
    }
    let mut left = MARKS;
    for range in job.unmarked.iter() {
        let end = (*range.end()).min(range.start().saturating_add(left - 1));
        left -= end - range.start() + 1;
        job.entry.marked.insert(*range.start()..=end);
        if left == 0 {
            return;
        }
    }
}
