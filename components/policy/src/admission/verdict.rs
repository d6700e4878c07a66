//! The verdict on one job.

use {
    super::{Kind, Pressure},
    crate::lateness::WORTHLESS_AT,
    std::sync::Arc,
};

/// The shortest time until a refused caller is to come back, in milliseconds.
const MIN_RETRY: u64 = 1_000;
/// The longest time, in milliseconds: forecasts of the load reach no further.
const MAX_RETRY: u64 = 30_000;

/// A job that a caller submits.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Its queue.
    pub queue: Arc<str>,
    /// Its kind.
    pub kind: Kind,
    /// The estimated run time of its critical path.
    pub chain: u64,
    /// The time from submission to its objective, from the predicted run time; see
    /// [`Pressure::run_time`].
    pub objective: u64,
}

/// Whether a job is accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is accepted.
    Accept,
    /// It would end too late; a job submitted after this time can succeed.
    Busy {
        /// The time until then, in milliseconds; see [`spread`].
        retry_after: u64,
        /// When the job would have ended, in milliseconds from now; `u64::MAX` if never.
        end: u64,
    },
}

/// Decides on a job. `pressure` is `None` if no recent figures are known. A job is refused only for
/// the wait: one that is too long even without any wait is accepted, as it would be at rest.
pub fn judge(demand: &Demand, pressure: Option<&Pressure>) -> Verdict {
    if demand.kind == Kind::LongRunning {
        return Verdict::Accept;
    }
    let Some(own) = pressure.and_then(|pressure| pressure.of(&demand.queue, demand.kind)) else {
        return Verdict::Accept;
    };
    let run = own.run.predict(demand.chain);
    let limit = demand.objective.saturating_mul(WORTHLESS_AT);
    let end = own.drain.saturating_add(run);
    let is_in_time = own.wait.saturating_add(run) <= demand.objective;
    if is_in_time || end <= limit || run > limit {
        return Verdict::Accept;
    }
    // A job whose run alone misses the objective can still end while its result has some worth.
    let excess = if run <= demand.objective {
        own.wait.saturating_add(run) - demand.objective
    } else {
        end - limit
    };
    Verdict::Busy {
        retry_after: excess.clamp(MIN_RETRY, MAX_RETRY),
        end,
    }
}

/// Returns when a refused caller is to come back, spread by a random number from 0 to 1 over half
/// of the time after it, so that refused callers do not return together.
pub fn spread(retry_after: u64, random: f64) -> u64 {
    let extra = retry_after as f64 / 2.0 * random.clamp(0.0, 1.0);
    retry_after.saturating_add(extra as u64)
}
