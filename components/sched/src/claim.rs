//! Cell takeover in the store, and the task that writes a cell's record.

use {
    crate::{
        persistence::WriteBatch,
        record::{self, CellRecord},
    },
    infra::{
        Store,
        budget::{self, TokenBucket},
        read_back::{self, WriteOutcome},
    },
    kernel::{ActorRef, Failure, stakker::Cx, task::Signal, verdict::Cause},
    lease::{OwnerRecord, epoch},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Sustained rate of writes of one cell's record, per second.
const WRITE_RATE: f64 = 1.0;

/// Burst of writes after an idle period. Low-priority writes leave half of the burst to
/// submissions, and submissions leave a fifth of it to urgent writes.
const WRITE_BURST: f64 = 5.0;

/// How often the writer checks for due writes without a notification.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum and maximum wait after store failures.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3));

/// A cell that was taken over.
pub struct Claimed {
    /// The owner record with the raised epoch.
    pub record: OwnerRecord,
    /// The previous owner of the cell; `None` for a first owner.
    pub before: Option<Arc<str>>,
    /// The store version of the claimed cell record.
    pub version: u64,
    /// The claimed cell record.
    pub cell_record: CellRecord,
}

/// The actor that owns cells.
pub trait CellOwner: Sized + 'static {
    /// Begins the ownership of a cell.
    fn begin_ownership(&mut self, cx: &mut Cx<'_, Self>, cell: Arc<str>, claimed: Claimed);

    /// Ends the ownership of a cell that has a newer owner, and does not claim the cell again for a
    /// while.
    fn yield_cell(&mut self, cell: &str, reason: &str, now: Instant);

    /// Returns the priority of the next write of a cell's record; `None` when no write is due.
    ///
    /// # Errors
    ///
    /// Returns `Stopping` when this process does not own the cell in this epoch.
    fn due_priority(&mut self, cell: &str, epoch: u64)
    -> Result<Option<budget::Priority>, Failure>;

    /// Returns the next batch of a cell's record; `None` when no write is due.
    ///
    /// # Errors
    ///
    /// Returns `Stopping` when this process does not own the cell in this epoch, and `Busy` when
    /// the record is too large.
    fn take_batch(&mut self, cell: &str, epoch: u64) -> Result<Option<WriteBatch>, Failure>;

    /// Handles a written batch; `version` is the new store version.
    fn batch_written(&mut self, cx: &mut Cx<'_, Self>, cell: &Arc<str>, epoch: u64, version: u64);

    /// Handles a batch that is certain not to have been written.
    fn batch_failed(&mut self, cell: &str, epoch: u64);
}

/// Takes over a cell: raises its epoch, claims its record, and passes both to the actor.
///
/// # Errors
///
/// Fails if the store fails or another box takes over the cell at the same time.
pub fn take_over<A: CellOwner>(
    actor: &ActorRef<A>,
    store: &dyn Store,
    (name, url): (&Arc<str>, &Arc<str>),
    cell: &Arc<str>,
) -> Result<(), Failure> {
    let (record, before) = epoch::raise(store, cell, name, url, fastrand::u64(..))?;
    let (version, cell_record) = record::claim(store, cell, record.epoch)?;
    let claimed = Claimed {
        record,
        before,
        version,
        cell_record,
    };
    let cell = cell.clone();
    actor.ask(move |sched, cx| sched.begin_ownership(cx, cell, claimed))
}

/// The task that writes one cell's record.
pub struct Writer<A: CellOwner> {
    /// The name of the cell.
    pub cell: Arc<str>,
    /// The ownership epoch; the task ends when the cell has another.
    pub epoch: u64,
    /// Wakes the task when a write is due, or stops it.
    pub signal: Signal,
    /// The actor.
    pub actor: ActorRef<A>,
    /// The store.
    pub store: Arc<dyn Store>,
}

impl<A: CellOwner> Writer<A> {
    /// Writes until the cell has another owner or the process stops.
    pub fn run(self) {
        let mut bucket = TokenBucket::new(WRITE_RATE, WRITE_BURST, Instant::now());
        let mut failures = 0;
        while !self.signal.is_stopped() {
            let (cell, epoch) = (self.cell.clone(), self.epoch);
            let due = self
                .actor
                .ask(move |sched, _| sched.due_priority(&cell, epoch));
            let Ok(Ok(due)) = due else { return };
            let Some(priority) = due else {
                self.signal.wait(CHECK_INTERVAL);
                continue;
            };
            let now = Instant::now();
            if !bucket.try_take(priority, now) {
                // A write of higher priority notifies the signal before this wait ends.
                self.signal.wait(bucket.wait_time(priority, now));
                continue;
            }
            match self.write_next() {
                Some(true) => failures = 0,
                Some(false) => {
                    self.back_off(failures);
                    failures += 1;
                }
                None => return,
            }
        }
    }

    /// Writes the next batch. Returns the same as [`Writer::write`], and true when no write is due.
    fn write_next(&self) -> Option<bool> {
        let (cell, epoch) = (self.cell.clone(), self.epoch);
        let batch = self
            .actor
            .ask(move |sched, _| sched.take_batch(&cell, epoch));
        match batch {
            Ok(Ok(Some(batch))) => self.write(batch.version, &batch.bytes),
            Ok(Ok(None)) => {
                self.signal.wait(BACKOFF.0);
                Some(true)
            }
            Ok(Err(failure)) if failure.cause != Cause::Stopping => {
                log::error!(target: "sched", "The cell record cannot be written. {failure}");
                Some(false)
            }
            _ => None,
        }
    }

    /// Writes one batch. Returns true when it is written, false when it is certainly not written,
    /// and `None` when the cell has another owner or the task ends.
    fn write(&self, version: u64, bytes: &[u8]) -> Option<bool> {
        let key = record::key(&self.cell);
        let (cell, epoch) = (self.cell.clone(), self.epoch);
        let mut attempts = 0;
        while !self.signal.is_stopped() {
            match read_back::swap(self.store.as_ref(), &key, version, bytes) {
                WriteOutcome::Written(version) => {
                    metrics::counter!("magpie_book_writes_total").increment(1);
                    self.actor
                        .tell(move |sched, cx| sched.batch_written(cx, &cell, epoch, version));
                    return Some(true);
                }
                WriteOutcome::Conflict(_) | WriteOutcome::Superseded(_) => {
                    self.actor.tell(move |sched, cx| {
                        sched.yield_cell(&cell, "another owner claimed the cell record", cx.now())
                    });
                    return None;
                }
                // After an attempt with an unknown outcome, only the same bytes may be written
                // again.
                WriteOutcome::NotRun(failure) if attempts == 0 => {
                    log::warn!(target: "sched", "The cell record was not written. cell={cell} {failure}");
                    self.actor
                        .tell(move |sched, _| sched.batch_failed(&cell, epoch));
                    return Some(false);
                }
                WriteOutcome::NotRun(failure) | WriteOutcome::Unknown(failure) => {
                    if attempts == 0 {
                        log::warn!(target: "sched", "Cell record write has an unknown outcome; retrying. cell={cell} {failure}");
                    }
                    self.back_off(attempts);
                    attempts += 1;
                }
            }
        }
        None
    }

    /// Waits after failures. A notification does not shorten the wait; it is passed on afterwards.
    fn back_off(&self, failures: u32) {
        let time = budget::backoff(BACKOFF.0, BACKOFF.1, failures, fastrand::f64());
        let end = Instant::now() + time;
        let mut notified = false;
        while !self.signal.is_stopped() && Instant::now() < end {
            notified |= self
                .signal
                .wait(end.saturating_duration_since(Instant::now()));
        }
        if notified {
            self.signal.notify();
        }
    }
}
