//! The verdict on one job.

use {
    super::{Kind, Pressure},
    std::sync::Arc,
};

/// A job that a caller submits.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Its queue.
    pub queue: Arc<str>,
    /// Its kind.
    pub kind: Kind,
    /// The estimated run time of its critical path.
    pub chain: u64,
    /// The time from submission to its objective.
    pub objective: u64,
}

/// Whether a job is accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is accepted.
    Accept,
    /// It would end too late; a job submitted after this time can succeed.
    Busy {
        /// The time until then, in milliseconds.
        retry_after: u64,
        /// When the job would have ended, in milliseconds from now.
        end: u64,
    },
}

/// A late result loses all worth at this multiple of its objective.
pub const WORTHLESS_AT: u64 = 3;

/// Decides on a job. `pressure` is `None` if no recent figures are known.
pub fn judge(demand: &Demand, pressure: Option<&Pressure>) -> Verdict {
    let Some(own) = pressure.and_then(|pressure| pressure.of(&demand.queue, demand.kind)) else {
        return Verdict::Accept;
    };
    let run = demand.chain * u64::from(own.run_percent) / 100;
    let is_in_time = own.wait + run <= demand.objective;
    let end = own.drain + run;
    if is_in_time || end <= WORTHLESS_AT * demand.objective {
        return Verdict::Accept;
    }
    let retry_after = (own.wait + run).saturating_sub(demand.objective);
    Verdict::Busy { retry_after, end }
}
