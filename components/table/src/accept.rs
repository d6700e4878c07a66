//! Accepts an edit: checks it against the stored table, writes it by compare-and-swap, and
//! determines the outcome when the store's response is lost.

use {
    crate::{
        message::Outcome,
        model::{Change, Edit, MAX_STORED_BYTES, StoredTable},
    },
    infra::{
        Store,
        read_back::{self, WriteOutcome},
    },
    kernel::{
        Failure,
        verdict::{Cause, Verdict},
        wall_clock, wire,
    },
};

/// Key of the table in the store.
pub const KEY: &str = "magpie/table";

/// Attempts to write an edit before it fails.
const MAX_ATTEMPTS: u32 = 5;

/// Reads the table and the key's version from the store. An absent key is an empty table with
/// version 0.
///
/// # Errors
///
/// If the store fails or its value cannot be decoded.
pub fn read(store: &dyn Store) -> Result<(u64, StoredTable), Failure> {
    match store.get(KEY)? {
        Some(value) => Ok((value.version, wire::decode(&value.bytes)?)),
        None => Ok((0, StoredTable::default())),
    }
}

/// Writes an edit to the store. The table returned with `Accepted` contains the edit's change; the
/// table is `None` for a refused edit.
///
/// # Errors
///
/// `not-run` if the edit was not accepted and will not be; `may-have-run` if the store did not
/// respond. The same edit, with the same id, may then be sent again.
pub fn accept(store: &dyn Store, edit: &Edit) -> Result<(Outcome, Option<StoredTable>), Failure> {
    let mut unknown: Option<Failure> = None;
    for _ in 0..MAX_ATTEMPTS {
        let (version, stored) = match read(store) {
            Ok(found) => found,
            Err(failure) => return Err(unknown.unwrap_or_else(|| with_not_run(failure))),
        };
        if let Some(change) = stored.find_change(edit.id) {
            return Ok((Outcome::Accepted(change.version), Some(stored.clone())));
        }
        let change = match stored.table.evaluate(edit, wall_clock::millis()) {
            Ok(change) => change,
            Err(refusal) => return Ok((Outcome::Refused(refusal), None)),
        };
        let (next, bytes) = encode_within_limit(&stored, change)?;
        match read_back::swap(store, KEY, version, &bytes) {
            WriteOutcome::Written(_) => {
                return Ok((Outcome::Accepted(next.table.version), Some(next)));
            }
            // If the edit was written, the next read finds its id in the history.
            WriteOutcome::Conflict(_) | WriteOutcome::Superseded(_) => {}
            WriteOutcome::NotRun(failure) if unknown.is_none() => return Err(failure),
            WriteOutcome::NotRun(failure) | WriteOutcome::Unknown(failure) => {
                unknown = Some(failure)
            }
        }
    }
    let contended = || Failure::not_run(Cause::Busy, "too many edits at once; try again");
    Err(unknown.unwrap_or_else(contended))
}

/// Sets the verdict "not run": a failed read has no effect on the table, so the edit did not run.
fn with_not_run(failure: Failure) -> Failure {
    Failure {
        verdict: Verdict::NotRun,
        ..failure
    }
}

/// Applies a change and encodes the result, dropping the older half of the history until it fits
/// into [`MAX_STORED_BYTES`].
fn encode_within_limit(
    stored: &StoredTable,
    change: Change,
) -> Result<(StoredTable, Vec<u8>), Failure> {
    let mut next = stored.with(change);
    loop {
        let bytes = wire::encode(&next)?;
        if bytes.len() <= MAX_STORED_BYTES {
            return Ok((next, bytes));
        }
        // The newest change is kept, because it shows whether an edit whose response was lost was
        // written.
        if next.history.len() <= 1 {
            return Err(Failure::not_run(
                Cause::Invalid,
                "the table is too large for the store",
            ));
        }
        let dropped = next.history.len().div_ceil(2);
        next.history.drain(..dropped);
    }
}
