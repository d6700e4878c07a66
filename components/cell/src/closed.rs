//! Why workers may be given no work, for logs and metrics.

use crate::{
    cell::Cell,
    worker::{SealState, Worker},
};

/// Why a worker is given no work for a short time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Backoff {
    /// An order to start went unanswered, or the worker does not list the run.
    #[default]
    Unanswered,
    /// It refused an order to start.
    Refused,
    /// A poll failed.
    PollFailed,
}

/// Why a worker may be given no work. Of several reasons the first one counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClosedBy {
    /// It is not listed, or its entry is not valid.
    Unlisted,
    /// It is leaving, or is drained for maintenance.
    Leaving,
    /// Its last poll failed, or it has not answered for long.
    Unheard,
    /// It has not answered this owner, or is not recorded yet.
    Unknown,
    /// It runs tasks of jobs that are not known yet.
    UnknownRuns,
    /// An order to start went unanswered.
    Unanswered,
    /// It refused an order to start.
    Refused,
    /// A poll failed, and it has answered again.
    PollFailed,
    /// Its runs have failed.
    Quarantine,
    /// It is sealed, and none of the above holds.
    Sealed,
    /// Its data hall is closed.
    Hall,
    /// The connection to its relay is saturated.
    Backpressure,
}

impl ClosedBy {
    /// All reasons.
    pub const ALL: [ClosedBy; 12] = [
        ClosedBy::Unlisted,
        ClosedBy::Leaving,
        ClosedBy::Unheard,
        ClosedBy::Unknown,
        ClosedBy::UnknownRuns,
        ClosedBy::Unanswered,
        ClosedBy::Refused,
        ClosedBy::PollFailed,
        ClosedBy::Quarantine,
        ClosedBy::Sealed,
        ClosedBy::Hall,
        ClosedBy::Backpressure,
    ];

    /// The name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            ClosedBy::Unlisted => "unlisted",
            ClosedBy::Leaving => "leaving",
            ClosedBy::Unheard => "unheard",
            ClosedBy::Unknown => "unknown",
            ClosedBy::UnknownRuns => "unknown_runs",
            ClosedBy::Unanswered => "unanswered",
            ClosedBy::Refused => "refused",
            ClosedBy::PollFailed => "poll_failed",
            ClosedBy::Quarantine => "quarantine",
            ClosedBy::Sealed => "sealed",
            ClosedBy::Hall => "hall",
            ClosedBy::Backpressure => "backpressure",
        }
    }
}

/// The number of workers that may be given no work, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClosedWorkers([usize; ClosedBy::ALL.len()]);

impl ClosedWorkers {
    /// Counts a worker.
    pub(crate) fn add(&mut self, reason: ClosedBy) {
        self.0[reason as usize] += 1;
    }

    /// Returns the number for a reason.
    pub fn count(&self, reason: ClosedBy) -> usize {
        self.0[reason as usize]
    }
}

/// Formats the reasons with workers, as `reason=number`.
impl std::fmt::Display for ClosedWorkers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut separator = "";
        for reason in ClosedBy::ALL {
            let count = self.count(reason);
            if count == 0 {
                continue;
            }
            write!(f, "{separator}{}={count}", reason.as_str())?;
            separator = " ";
        }
        Ok(())
    }
}

impl Cell {
    /// Returns why a worker may be given no work, or `None` if it may.
    pub(crate) fn closed_by(&self, worker: &Worker, now: u64) -> Option<ClosedBy> {
        let reason = worker.closed_by(now);
        let hall = || self.is_in_closed_hall(worker).then_some(ClosedBy::Hall);
        let saturated = || worker.backpressured.then_some(ClosedBy::Backpressure);
        reason.or_else(hall).or_else(saturated)
    }
}

impl Worker {
    /// Returns why it may be given no work by its own state; see [`Worker::is_schedulable`].
    pub(crate) fn closed_by(&self, now: u64) -> Option<ClosedBy> {
        let reason = if !self.listed || self.entry_invalid {
            ClosedBy::Unlisted
        } else if self.entry.leaving || self.draining {
            ClosedBy::Leaving
        } else if self.fenced && !self.is_heard(now) {
            ClosedBy::Unheard
        } else if !self.fenced || !self.recorded {
            ClosedBy::Unknown
        } else if self.runs_pending {
            ClosedBy::UnknownRuns
        } else if now < self.backoff_until {
            self.backoff.into()
        } else if now < self.quarantined_until {
            ClosedBy::Quarantine
        } else if self.seal != SealState::Open {
            ClosedBy::Sealed
        } else {
            return None;
        };
        Some(reason)
    }
}

impl From<Backoff> for ClosedBy {
    fn from(backoff: Backoff) -> Self {
        match backoff {
            Backoff::Unanswered => ClosedBy::Unanswered,
            Backoff::Refused => ClosedBy::Refused,
            Backoff::PollFailed => ClosedBy::PollFailed,
        }
    }
}
