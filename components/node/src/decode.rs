//! Decoding and validation of submissions and job records from the store, where other programs may
//! have written invalid values.

use {
    crate::{fence, keys, store::Item},
    job::{Id, Record, Submission},
    kernel::{Failure, verdict::Cause, wire},
};

/// Decodes a submission. A value that cannot be a fence is replaced by 0.
///
/// # Errors
///
/// The value is not a valid submission, or belongs to another key.
pub fn submission(item: &Item) -> Result<Submission, Failure> {
    let mut submission: Submission = wire::decode(&item.value)?;
    if keys::job(&submission.id) != item.key {
        return Err(invalid(
            "the submission is stored under the key of another job",
        ));
    }
    let named = submission.fence;
    submission.fence = fence::valid_fence(named, item.revision);
    if submission.fence != named {
        log::warn!(target: "owner", job = submission.id.as_str(), named, revision = item.revision; "A job names a fence that no owner can have; it is ignored.");
    }
    validate(submission)
}

/// Checks the job id and the bounds of the specification, and returns the submission.
///
/// # Errors
///
/// The id is not valid, or a bound is exceeded.
pub fn validate(submission: Submission) -> Result<Submission, Failure> {
    let id = submission.id.as_str();
    if Id::new(id).is_none() {
        return Err(invalid("the submission has an invalid job id"));
    }
    submission
        .spec
        .validate_bounds()
        .map_err(|flaw| invalid(&flaw.to_string()))?;
    Ok(submission)
}

/// Decodes the record of a job.
///
/// # Errors
///
/// The value is not a valid record.
pub fn record(item: &Item) -> Result<Record, Failure> {
    let record: Record = wire::decode(&item.value)?;
    if record.run > MAX_RUN {
        return Err(invalid("the record has a run number above the limit"));
    }
    Ok(record)
}

/// The highest run number that is accepted from outside. Run numbers must stay below 2^53, up to
/// which all JSON readers keep integers exact, and a new owner skips some.
pub const MAX_RUN: u64 = 1 << 52;

fn invalid(text: &str) -> Failure {
    Failure::not_run(Cause::BadAnswer, text)
}
