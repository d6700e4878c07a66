//! What the store keeps of jobs, read as something that others may have written too.

use {
    crate::{keys, store::Item},
    job::{Id, Record, Submission},
    kernel::{Failure, verdict::Cause, wire},
};

/// Reads a submission.
///
/// # Errors
///
/// It is none, or not that of its key.
pub fn submission(item: &Item) -> Result<Submission, Failure> {
    let submission: Submission = wire::decode(&item.value)?;
    if keys::job(&submission.id) != item.key {
        return Err(bad("it is kept under the key of another job"));
    }
    validate(submission)
}

/// The same, if it can be worked with.
///
/// # Errors
///
/// It cannot.
pub fn validate(submission: Submission) -> Result<Submission, Failure> {
    let id = submission.id.as_str();
    if Id::new(id).is_none() {
        return Err(bad("its name is none of a job"));
    }
    submission
        .spec
        .check_bounds()
        .map_err(|flaw| bad(&flaw.to_string()))?;
    Ok(submission)
}

/// Reads the record of a job.
///
/// # Errors
///
/// It is none.
pub fn record(item: &Item) -> Result<Record, Failure> {
    let record: Record = wire::decode(&item.value)?;
    if record.run > MAX_RUN {
        return Err(bad("it counts more runs than there can be"));
    }
    Ok(record)
}

/// More starts of one task than this there cannot be: numbers of runs go up to the largest that all readers of JSON keep
/// whole, and a new owner leaves some out.
pub const MAX_RUN: u64 = 1 << 52;

fn bad(text: &str) -> Failure {
    Failure::not_run(Cause::BadAnswer, text)
}
