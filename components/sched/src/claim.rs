//! The tasks of a scheduler that use the store: taking cells over and writing books down.

use {
    crate::{
        persistence::WriteBatch,
        record::{self, CellRecord},
    },
    infra::{
        Store,
        budget::{self, Bucket},
        settle::{self, Settled},
    },
    kernel::{ActorRef, Failure, stakker::Cx, task::Signal, verdict::Cause},
    lease::{Record, epoch},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Writes of one cell's book a second, over a longer time.
const WRITE_RATE: f64 = 1.0;

/// Writes that may follow at once after a rest. What can wait leaves half of them to submissions,
/// and these leave a fifth to urgent ones.
const WRITE_BURST: f64 = 5.0;

/// How often the writer looks without being rung.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The waits after failures of the store.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3));

/// What a takeover brings.
pub struct Claimed {
    /// The raised epoch.
    pub record: Record,
    /// The box that owned the cell before.
    pub before: Option<Arc<str>>,
    /// The version of the claimed book.
    pub version: u64,
    /// The book.
    pub book: CellRecord,
}

/// The actor that the tasks of cells ask and tell.
pub trait CellOwner: Sized + 'static {
    /// Begins to own a cell.
    fn begin_ownership(&mut self, cx: &mut Cx<'_, Self>, cell: Arc<str>, claimed: Claimed);

    /// Stops owning a cell that a newer owner has, and leaves it to that owner for a while.
    fn yield_cell(&mut self, cell: &str, reason: &str, now: Instant);

    /// How urgent the next write of a cell's book is; `None` when none is due.
    ///
    /// # Errors
    ///
    /// The cell is not owned here any more, as `Stopping`.
    fn due_priority(&mut self, cell: &str, epoch: u64) -> Result<Option<budget::Rank>, Failure>;

    /// The next batch of a cell's book; `None` when none is due.
    ///
    /// # Errors
    ///
    /// The cell is not owned here any more, as `Stopping`; or its book is too large.
    fn take_batch(&mut self, cell: &str, epoch: u64) -> Result<Option<WriteBatch>, Failure>;

    /// A batch was written, as this version.
    fn batch_written(&mut self, cx: &mut Cx<'_, Self>, cell: &Arc<str>, epoch: u64, version: u64);

    /// A batch was surely not written.
    fn batch_failed(&mut self, cell: &str, epoch: u64);
}

/// Takes one cell over: raises its epoch, claims its book, and hands both to the actor.
///
/// # Errors
///
/// The store fails, or another took the cell over at the same moment.
pub fn take_over<A: CellOwner>(
    remote: &ActorRef<A>,
    store: &dyn Store,
    (name, url): (&Arc<str>, &Arc<str>),
    cell: &Arc<str>,
) -> Result<(), Failure> {
    let (record, before) = epoch::raise(store, cell, name, url, fastrand::u64(..))?;
    let (version, book) = record::claim(store, cell, record.epoch)?;
    let claimed = Claimed {
        record,
        before,
        version,
        book,
    };
    let cell = cell.clone();
    remote.ask(move |sched, cx| sched.begin_ownership(cx, cell, claimed))
}

/// The task that writes one cell's book.
pub struct Writer<A: CellOwner> {
    /// The cell.
    pub cell: Arc<str>,
    /// The epoch in which the task works.
    pub epoch: u64,
    /// Ends the task, or wakes it when something is due.
    pub signal: Signal,
    /// The actor.
    pub remote: ActorRef<A>,
    /// The store.
    pub store: Arc<dyn Store>,
}

impl<A: CellOwner> Writer<A> {
    /// Writes until the cell has another owner or the process stops.
    pub fn run(self) {
        let mut bucket = Bucket::new(WRITE_RATE, WRITE_BURST, Instant::now());
        let mut failures = 0;
        while !self.signal.is_stopped() {
            let (cell, epoch) = (self.cell.clone(), self.epoch);
            let due = self
                .remote
                .ask(move |sched, _| sched.due_priority(&cell, epoch));
            let Ok(Ok(due)) = due else { return };
            let Some(rank) = due else {
                self.signal.wait(CHECK_INTERVAL);
                continue;
            };
            let now = Instant::now();
            if !bucket.take(rank, now) {
                // A more urgent reason to write rings before this has passed.
                self.signal.wait(bucket.until(rank, now));
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

    /// Writes what is due. As [`Writer::write`]; true also when nothing was due after all.
    fn write_next(&self) -> Option<bool> {
        let (cell, epoch) = (self.cell.clone(), self.epoch);
        let batch = self
            .remote
            .ask(move |sched, _| sched.take_batch(&cell, epoch));
        match batch {
            Ok(Ok(Some(batch))) => self.write(batch.version, &batch.bytes),
            Ok(Ok(None)) => {
                self.signal.wait(BACKOFF.0);
                Some(true)
            }
            Ok(Err(failure)) if failure.cause != Cause::Stopping => {
                log::error!(target: "sched", "A book is not written. {failure}");
                Some(false)
            }
            _ => None,
        }
    }

    /// Writes one batch. True when it is written, false when it surely is not, `None` when the
    /// cell has another owner or the task ends.
    fn write(&self, version: u64, bytes: &[u8]) -> Option<bool> {
        let key = record::key(&self.cell);
        let (cell, epoch) = (self.cell.clone(), self.epoch);
        let mut tries = 0;
        while !self.signal.is_stopped() {
            match settle::swap(self.store.as_ref(), &key, version, bytes) {
                Settled::Done(version) => {
                    metrics::counter!("magpie_book_writes_total").increment(1);
                    self.remote
                        .tell(move |sched, cx| sched.batch_written(cx, &cell, epoch, version));
                    return Some(true);
                }
                Settled::Lost(_) | Settled::Overtaken(_) => {
                    self.remote.tell(move |sched, cx| {
                        sched.yield_cell(&cell, "its book was taken over", cx.now())
                    });
                    return None;
                }
                // After a try whose outcome is unknown, only the same bytes may be tried again.
                Settled::NotRun(failure) if tries == 0 => {
                    log::warn!(target: "sched", "A book was not written. cell={cell} {failure}");
                    self.remote
                        .tell(move |sched, _| sched.batch_failed(&cell, epoch));
                    return Some(false);
                }
                Settled::NotRun(failure) | Settled::Unknown(failure) => {
                    if tries == 0 {
                        log::warn!(target: "sched", "A book's write is open. cell={cell} {failure}");
                    }
                    self.back_off(tries);
                    tries += 1;
                }
            }
        }
        None
    }

    /// Waits after failures, also when the signal is rung.
    fn back_off(&self, failures: u32) {
        let time = budget::backoff(BACKOFF.0, BACKOFF.1, failures, fastrand::f64());
        let end = Instant::now() + time;
        let mut rung = false;
        while !self.signal.is_stopped() && Instant::now() < end {
            rung |= self
                .signal
                .wait(end.saturating_duration_since(Instant::now()));
        }
        if rung {
            self.signal.notify();
        }
    }
}
