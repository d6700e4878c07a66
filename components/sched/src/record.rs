//! What lasts of a cell: one value in the store, written in batches.

use {
    crate::spec::Spec,
    infra::{
        Store,
        settle::{self, Settled},
    },
    kernel::{Failure, wire},
    rangemap::RangeInclusiveSet,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// The largest book that is written, in bytes; the store's limit and some room.
pub const MAX_RECORD: usize = 1000 * 1024;

/// What lasts of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job's id.
    pub id: Arc<str>,
    /// What was asked for.
    pub spec: Spec,
    /// When it was submitted, in milliseconds since 1970.
    pub at: u64,
    /// Tasks below this place may have been started.
    pub reserved: u32,
    /// Tasks that finished.
    pub done: RangeInclusiveSet<u32>,
    /// Tasks that were given up after failures.
    pub failed: RangeInclusiveSet<u32>,
    /// Tasks that must not be started twice and may have been started.
    pub marked: RangeInclusiveSet<u32>,
    /// Tasks that must not be started twice and whose end is not known.
    pub unknown: RangeInclusiveSet<u32>,
    /// The work done at the checkpoints to resume from, in milliseconds, by task.
    pub resume: BTreeMap<u32, u64>,
    /// True after a cancellation.
    pub cancelled: bool,
    /// When it ended, in milliseconds since 1970.
    pub ended: Option<u64>,
}

impl JobRecord {
    /// A job that was just submitted.
    pub fn new(id: Arc<str>, spec: Spec, at: u64) -> Self {
        JobRecord {
            id,
            spec,
            at,
            reserved: 0,
            done: RangeInclusiveSet::new(),
            failed: RangeInclusiveSet::new(),
            marked: RangeInclusiveSet::new(),
            unknown: RangeInclusiveSet::new(),
            resume: BTreeMap::new(),
            cancelled: false,
            ended: None,
        }
    }
}

/// What lasts of a cell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellRecord {
    /// The epoch of the owner that wrote it.
    pub epoch: u64,
    /// Goes up with each write of the epoch, so that no two writes have the same bytes.
    pub write: u64,
    /// The jobs.
    pub jobs: Vec<JobRecord>,
    /// Workers that operators drain.
    #[serde(default)]
    pub drained: Vec<Arc<str>>,
}

/// The key of a cell's book.
pub fn key(cell: &str) -> String {
    format!("magpie/cell/{cell}/book")
}

/// How often the claim of a book is tried while the earlier owner still writes.
const CLAIM_TRIES: u32 = 5;

/// Takes a cell's book over for a raised epoch: from then on the earlier owner's writes fail.
/// Returns the book and its version.
///
/// # Errors
///
/// The store fails; a newer epoch has the book; the value is no book.
pub fn claim(store: &dyn Store, cell: &str, epoch: u64) -> Result<(u64, CellRecord), Failure> {
    let mut last = Failure::not_run(
        kernel::verdict::Cause::Conflict,
        "the book changes too fast",
    );
    for write in 0..CLAIM_TRIES {
        let found = store.get(&key(cell))?;
        let (version, mut book) = match &found {
            Some(value) => (value.version, wire::decode::<CellRecord>(&value.bytes)?),
            None => (0, CellRecord::default()),
        };
        if book.epoch > epoch {
            let text = format!("epoch {} has the book of {cell}", book.epoch);
            return Err(Failure::not_run(kernel::verdict::Cause::Conflict, text));
        }
        book.epoch = epoch;
        book.write = u64::from(write);
        match settle::swap(store, &key(cell), version, &wire::encode(&book)?) {
            Settled::Done(version) => return Ok((version, book)),
            Settled::Lost(_) | Settled::Overtaken(_) => {}
            Settled::NotRun(failure) | Settled::Unknown(failure) => last = failure,
        }
    }
    Err(last)
}
