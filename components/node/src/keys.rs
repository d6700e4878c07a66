//! The names of what is kept in the store.

use job::Id;

/// Everything that comes from callers.
pub const INTAKE: &str = "magpie/in/";
/// Cancellations, by job.
pub const CANCEL: &str = "magpie/in/cancel/";
/// Submissions, by job.
pub const JOB: &str = "magpie/in/job/";
/// Records of jobs.
pub const STATE: &str = "magpie/state/";
/// Owners, by cell.
pub const OWNER: &str = "magpie/owner/";

/// The submission of a job.
pub fn job(id: &Id) -> String {
    format!("{JOB}{id}")
}

/// The specification of a job, where it is kept by itself.
pub fn text(id: &Id) -> String {
    format!("magpie/text/{id}")
}

/// The cancellation of a job.
pub fn cancel(id: &Id) -> String {
    format!("{CANCEL}{id}")
}

/// The record of a job.
pub fn state(id: &Id) -> String {
    format!("{STATE}{id}")
}

/// The owner of a cell.
pub fn owner(cell: u32) -> String {
    format!("{OWNER}{cell}")
}

/// The head of a cell's chain of writes.
pub fn head(cell: u32) -> String {
    format!("magpie/head/{cell}")
}

/// The workers of a cell that may hold tasks.
pub fn fleet(cell: u32) -> String {
    format!("magpie/fleet/{cell}")
}

/// What a cell's owners learned of which tasks disturb which.
pub fn interference(cell: u32) -> String {
    format!("magpie/learned/{cell}")
}

/// The job that a key under `prefix` names.
pub fn id(key: &str, prefix: &str) -> Option<Id> {
    Id::new(key.strip_prefix(prefix)?)
}
