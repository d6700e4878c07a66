//! Accepting an edit: judged, written by compare-and-swap, and settled when a reply is lost.

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

/// The key of the table in the store.
pub const KEY: &str = "magpie/table";

/// How many times an edit is tried before its outcome is given as unknown.
const TRIES: u32 = 5;

/// Reads the stored; an absent key is an empty stored of version 0.
///
/// # Errors
///
/// The store fails, or its value is no stored.
pub fn read(store: &dyn Store) -> Result<(u64, StoredTable), Failure> {
    match store.get(KEY)? {
        Some(value) => Ok((value.version, wire::decode(&value.bytes)?)),
        None => Ok((0, StoredTable::default())),
    }
}

/// Tries to bring an edit in. The stored returned beside `Accepted` holds its change.
///
/// # Errors
///
/// `not-run` when the edit surely was not and will not be accepted; `may-have-run` when the store
/// went silent: the same edit, with its id, may be sent again.
pub fn accept(store: &dyn Store, edit: &Edit) -> Result<(Outcome, Option<StoredTable>), Failure> {
    let mut unknown: Option<Failure> = None;
    for _ in 0..TRIES {
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
            // The next reading finds the edit's id in the history if it was among them.
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

/// A reading changes nothing: whatever became of it, the edit did not run.
fn with_not_run(failure: Failure) -> Failure {
    Failure {
        verdict: Verdict::NotRun,
        ..failure
    }
}

/// The next stored and its bytes, with as much history as the store's value has room for.
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
        // The newest change stays, so that a lost reply can still be settled by it.
        if next.history.len() <= 1 {
            return Err(Failure::not_run(
                Cause::Invalid,
                "the table is too large for the store",
            ));
        }
        let half = next.history.len().div_ceil(2);
        next.history.drain(..half);
    }
}
