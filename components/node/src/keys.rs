//! Keys and key prefixes in the store.

use job::Id;

/// Prefix of the intake: everything that callers have sent.
pub const INTAKE: &str = "magpie/in/";
/// Prefix of cancellations, by job.
pub const CANCEL: &str = "magpie/in/cancel/";
/// Prefix of submissions, by job.
pub const JOB: &str = "magpie/in/job/";
/// Prefix of job records, by job.
pub const STATE: &str = "magpie/state/";
/// Prefix of owner keys, by cell.
pub const OWNER: &str = "magpie/owner/";

/// Key of the submission of a job.
pub fn job(id: &Id) -> String {
    format!("{JOB}{id}")
}

/// Key of the specification of a job that is stored apart from its submission.
pub fn text(id: &Id) -> String {
    format!("magpie/text/{id}")
}

/// Key of the cancellation of a job.
pub fn cancel(id: &Id) -> String {
    format!("{CANCEL}{id}")
}

/// Key of the record of a job.
pub fn state(id: &Id) -> String {
    format!("{STATE}{id}")
}

/// Key of the owner of a cell, attached to the owner's lease.
pub fn owner(cell: u32) -> String {
    format!("{OWNER}{cell}")
}

/// Key of a cell's head. Each write of an owner replaces it and expects its last revision.
pub fn head(cell: u32) -> String {
    format!("magpie/head/{cell}")
}

/// Key of the list of workers of a cell that may hold tasks.
pub fn fleet(cell: u32) -> String {
    format!("magpie/fleet/{cell}")
}

/// Key of the sealed workers of a cell.
pub fn seals(cell: u32) -> String {
    format!("magpie/seals/{cell}")
}

/// Key of the interference model that the owners of a cell have learned.
pub fn interference(cell: u32) -> String {
    format!("magpie/learned/{cell}")
}

/// Parses the job out of a key under `prefix`; `None` for other keys.
pub fn id(key: &str, prefix: &str) -> Option<Id> {
    Id::new(key.strip_prefix(prefix)?)
}
