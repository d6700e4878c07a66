//! The persisted record of a cell: one value in the store, written in batches.

use {
    crate::spec::Spec,
    infra::{
        Store,
        read_back::{self, WriteOutcome},
    },
    kernel::{Failure, wire},
    rangemap::RangeInclusiveSet,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Maximum size of a written record in bytes: the store's value limit less a margin.
pub const MAX_RECORD: usize = 1000 * 1024;

/// The persisted state of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job's id.
    pub id: Arc<str>,
    /// The specification.
    pub spec: Spec,
    /// When the job was submitted, in milliseconds since 1970.
    pub at: u64,
    /// Tasks below this index may have been started.
    pub reserved: u32,
    /// Finished tasks.
    pub done: RangeInclusiveSet<u32>,
    /// Tasks that reached the failure limit.
    pub failed: RangeInclusiveSet<u32>,
    /// At-most-once tasks that may have been started.
    pub marked: RangeInclusiveSet<u32>,
    /// At-most-once tasks whose outcome is unknown.
    pub unknown: RangeInclusiveSet<u32>,
    /// By task: the work done at the checkpoint to resume from, in milliseconds.
    pub resume: BTreeMap<u32, u64>,
    /// True after a cancellation.
    pub cancelled: bool,
    /// When the job ended, in milliseconds since 1970; `None` while it runs or waits.
    pub ended: Option<u64>,
}

impl JobRecord {
    /// Creates the record of a newly submitted job.
    pub fn new(id: Arc<str>, spec: Spec, submitted_at: u64) -> Self {
        JobRecord {
            id,
            spec,
            at: submitted_at,
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

/// The persisted state of a cell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellRecord {
    /// The epoch of the owner that wrote the record.
    pub epoch: u64,
    /// Number of the write within the epoch, so that no two writes have the same bytes.
    pub write: u64,
    /// Jobs that wait or run, and recently ended jobs.
    pub jobs: Vec<JobRecord>,
    /// Workers drained by operators.
    #[serde(default)]
    pub drained: Vec<Arc<str>>,
}

/// Returns the store key of a cell's record.
pub fn key(cell: &str) -> String {
    format!("magpie/cell/{cell}/book")
}

/// Attempts to claim a record while the previous owner still writes it.
const CLAIM_ATTEMPTS: u32 = 5;

/// Claims a cell's record for a raised epoch. The previous owner's writes fail afterwards.
/// Returns the store version and the record.
///
/// # Errors
///
/// Fails if the store fails, a newer epoch has claimed the record, the record keeps changing, or
/// the value can't be decoded.
pub fn claim(store: &dyn Store, cell: &str, epoch: u64) -> Result<(u64, CellRecord), Failure> {
    let mut last = Failure::not_run(
        kernel::verdict::Cause::Conflict,
        "the cell record changed during every attempt to claim it",
    );
    for write in 0..CLAIM_ATTEMPTS {
        let found = store.get(&key(cell))?;
        let (version, mut record) = match &found {
            Some(value) => (value.version, wire::decode::<CellRecord>(&value.bytes)?),
            None => (0, CellRecord::default()),
        };
        if record.epoch > epoch {
            let text = format!(
                "the record of cell {cell} is claimed by epoch {}",
                record.epoch
            );
            return Err(Failure::not_run(kernel::verdict::Cause::Conflict, text));
        }
        record.epoch = epoch;
        record.write = u64::from(write);
        match read_back::swap(store, &key(cell), version, &wire::encode(&record)?) {
            WriteOutcome::Written(version) => return Ok((version, record)),
            WriteOutcome::Conflict(_) | WriteOutcome::Superseded(_) => {}
            WriteOutcome::NotRun(failure) | WriteOutcome::Unknown(failure) => last = failure,
        }
    }
    Err(last)
}
