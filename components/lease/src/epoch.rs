//! The owner record of a cell in the platform's store, with the cell's epoch (fencing token).

use {
    infra::{
        Store,
        read_back::{self, WriteOutcome},
    },
    kernel::{
        Failure,
        verdict::{Cause, Verdict},
        wire,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The owner of a cell as recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Increases with each takeover.
    pub epoch: u64,
    /// The name of the owner's box.
    pub owner: Arc<str>,
    /// The base address of the owner's scheduler.
    pub url: Arc<str>,
    /// Unique to each claim, so that the outcome of a write can be read back after a lost reply.
    pub claim: u64,
}

/// Returns the store key of a cell's owner record.
pub fn key(cell: &str) -> String {
    format!("magpie/cell/{cell}/epoch")
}

/// Reads a cell's owner record and its version; `None` when the cell never had an owner.
///
/// # Errors
///
/// Fails when the store fails, or when its value is not a valid record.
pub fn read(store: &dyn Store, cell: &str) -> Result<Option<(u64, OwnerRecord)>, Failure> {
    let Some(value) = store.get(&key(cell))? else {
        return Ok(None);
    };
    Ok(Some((value.version, wire::decode(&value.bytes)?)))
}

/// Increments the epoch of a cell for a new owner. Returns the new record and the box of the
/// previous owner.
///
/// # Errors
///
/// `Conflict` when another box incremented it concurrently; otherwise the store's failure, where
/// `may-have-run` means that the epoch may have been incremented and stays unused.
pub fn raise(
    store: &dyn Store,
    cell: &str,
    owner: &Arc<str>,
    url: &Arc<str>,
    claim: u64,
) -> Result<(OwnerRecord, Option<Arc<str>>), Failure> {
    let (version, epoch, previous) = match read(store, cell)? {
        Some((version, record)) => (version, record.epoch, Some(record.owner)),
        None => (0, 0, None),
    };
    let record = OwnerRecord {
        epoch: epoch + 1,
        owner: owner.clone(),
        url: url.clone(),
        claim,
    };
    let bytes = wire::encode(&record)?;
    match read_back::swap(store, &key(cell), version, &bytes) {
        WriteOutcome::Written(_) => Ok((record, previous)),
        WriteOutcome::Conflict(_) | WriteOutcome::Superseded(_) => {
            let text = format!("another box took over cell {cell} concurrently");
            Err(Failure {
                verdict: Verdict::NotRun,
                cause: Cause::Conflict,
                text,
            })
        }
        WriteOutcome::NotRun(failure) | WriteOutcome::Unknown(failure) => Err(failure),
    }
}
