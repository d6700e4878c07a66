//! Requests and responses per job, runs of tasks, and the periods with active faults. All times are
//! microseconds since the start of the run.

use std::collections::BTreeMap;

/// Microseconds since the start of the run.
pub type Micros = u64;

/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;
/// A time that has not been reached.
pub const NEVER: Micros = Micros::MAX;

/// The kind of a request about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Submits the job.
    Submit,
    /// Cancels the job.
    Cancel,
    /// Reads the state of the job.
    State,
}

/// One request of a caller and its response.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// The kind of the request.
    pub kind: RequestKind,
    /// The number of the box that received the request.
    pub to: usize,
    /// When the request was sent.
    pub sent: Micros,
    /// When the response arrived, or the connection broke.
    pub answered: Micros,
    /// The HTTP status; 0 without a response.
    pub status: u16,
    /// The job state in the response; empty without one.
    pub state: String,
    /// No fault affected the box for [`QUIET_PERIOD`](crate::check::QUIET_PERIOD) before the
    /// request, nor until the response.
    pub fault_free: bool,
}

impl Exchange {
    /// True when the response guarantees that the request was not executed.
    pub fn is_refused(&self) -> bool {
        matches!(self.status, 429 | 503)
    }

    fn is_done(&self, kind: RequestKind) -> bool {
        self.kind == kind && self.status == 200
    }
}

/// One job and the requests about it.
#[derive(Debug, Clone, Default)]
pub struct Job {
    /// The id of the job.
    pub id: String,
    /// Number of tasks per step; each step depends on the preceding one.
    pub steps: Vec<u32>,
    /// The job runs until it is cancelled.
    pub long_running: bool,
    /// The step and the index of a task that crashes its workers.
    pub crashing: Option<(usize, u32)>,
    /// All requests, in the order in which they were sent.
    pub exchanges: Vec<Exchange>,
}

impl Job {
    /// When a response first confirmed the submission.
    pub fn accepted(&self) -> Option<Micros> {
        self.first_answer(|exchange| exchange.is_done(RequestKind::Submit))
    }

    /// When a response first confirmed the cancellation.
    pub fn cancelled(&self) -> Option<Micros> {
        self.first_answer(|exchange| exchange.is_done(RequestKind::Cancel))
    }

    /// When a response first reported this state.
    pub fn first_reported(&self, state: &str) -> Option<Micros> {
        self.first_answer(|exchange| exchange.state == state)
    }

    /// True when a caller requested the cancellation.
    pub fn is_cancel_requested(&self) -> bool {
        self.exchanges
            .iter()
            .any(|exchange| exchange.kind == RequestKind::Cancel)
    }

    fn first_answer(&self, matches: impl Fn(&Exchange) -> bool) -> Option<Micros> {
        let found = self.exchanges.iter().filter(|exchange| matches(exchange));
        found.map(|exchange| exchange.answered).min()
    }

    /// The names of the tasks of a step.
    pub fn tasks(&self, step: usize) -> impl Iterator<Item = String> {
        let count = self.steps.get(step).copied().unwrap_or(0);
        (0..count).map(move |index| format!("{}.0.{step}.{index}", self.id))
    }
}

/// All jobs by id.
pub type Jobs = BTreeMap<String, Job>;

/// One run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    /// The name of the task.
    pub task: String,
    /// The id of the worker incarnation.
    pub worker: String,
    /// When the run started.
    pub started: Micros,
    /// When the run ended; [`NEVER`] while it is active.
    pub ended: Micros,
    /// How the run ended; empty while it is active.
    pub outcome: &'static str,
    /// The owner acknowledged the end of the run.
    pub acknowledged: bool,
}

impl Run {
    /// The job id and the step of the task.
    pub fn parts(&self) -> (&str, usize) {
        let mut parts = self.task.split('.');
        let job = parts.next().unwrap_or_default();
        let step = parts.nth(1).and_then(|text| text.parse().ok());
        (job, step.unwrap_or(0))
    }
}

/// The periods with active faults, ordered by their starts.
#[derive(Debug, Clone, Default)]
pub struct FaultPeriods {
    periods: Vec<(Micros, Micros)>,
}

impl FaultPeriods {
    /// One period that covers the whole run.
    pub fn always() -> Self {
        FaultPeriods {
            periods: vec![(0, NEVER)],
        }
    }

    /// Records that a fault is active at `now`; records less than `gap` apart form one period.
    pub fn record(&mut self, now: Micros, gap: Micros) {
        match self.periods.last_mut() {
            Some((_, until)) if *until + gap >= now => *until = now,
            _ => self.periods.push((now, now)),
        }
    }

    /// When the last fault so far ended; 0 without one.
    pub fn calm_since(&self) -> Micros {
        self.periods.last().map_or(0, |(_, end)| *end)
    }

    /// True when no fault was active between `from` and `to`, both inclusive.
    pub fn is_fault_free(&self, from: Micros, to: Micros) -> bool {
        let mut periods = self.periods.iter();
        !periods.any(|(start, end)| *start <= to && *end >= from)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn is_fault_free_between_periods() {
        let mut fault_periods = FaultPeriods::default();
        for now in [10, 12, 14, 30] {
            fault_periods.record(now, 5);
        }
        assert!(!fault_periods.is_fault_free(0, 10));
        assert!(!fault_periods.is_fault_free(13, 13));
        assert!(fault_periods.is_fault_free(15, 29));
        assert!(fault_periods.is_fault_free(31, 100));
    }
}
