//! The epoch of a cell in the platform's store.

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

/// Who owns a cell, as the store knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Goes up with each takeover.
    pub epoch: u64,
    /// The owner's box.
    pub owner: Arc<str>,
    /// The base address of the owner's scheduler.
    pub url: Arc<str>,
    /// Unlike that of any other claim, so that a lost reply can be settled.
    pub claim: u64,
}

/// The key of a cell's epoch.
pub fn key(cell: &str) -> String {
    format!("magpie/cell/{cell}/epoch")
}

/// Reads a cell's record with its version; `None` when the cell never had an owner.
///
/// # Errors
///
/// The store fails, or its value is no record.
pub fn read(store: &dyn Store, cell: &str) -> Result<Option<(u64, OwnerRecord)>, Failure> {
    let Some(value) = store.get(&key(cell))? else {
        return Ok(None);
    };
    Ok(Some((value.version, wire::decode(&value.bytes)?)))
}

/// Raises the epoch of a cell by one, for this owner. Returns the new record and the box that
/// owned the cell before.
///
/// # Errors
///
/// `Conflict` when another raised it at the same moment; else the store's failure, where
/// `may-have-run` means that an epoch may have been raised and is then not used by anybody.
pub fn raise(
    store: &dyn Store,
    cell: &str,
    owner: &Arc<str>,
    url: &Arc<str>,
    claim: u64,
) -> Result<(OwnerRecord, Option<Arc<str>>), Failure> {
    let (version, epoch, before) = match read(store, cell)? {
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
        WriteOutcome::Written(_) => Ok((record, before)),
        WriteOutcome::Conflict(_) | WriteOutcome::Superseded(_) => {
            let text = format!("another took the cell {cell} over");
            Err(Failure {
                verdict: Verdict::NotRun,
                cause: Cause::Conflict,
                text,
            })
        }
        WriteOutcome::NotRun(failure) | WriteOutcome::Unknown(failure) => Err(failure),
    }
}
