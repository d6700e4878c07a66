//! Batched log lines for completed runs, which are too many for a line each.

use {
    crate::{cell::Cell, worker::TaskKey},
    std::sync::Arc,
};

/// The maximum number of runs per log line. Such a line has about 3 KB, which a pipe writes
/// atomically (`PIPE_BUF` is 4,096 bytes on Linux).
pub(crate) const RUNS_PER_LINE: usize = 80;

/// A completed run that is due to be logged.
#[derive(Debug)]
pub(crate) struct FinishedRun {
    pub key: TaskKey,
    pub run: u64,
    pub worker: Arc<str>,
    /// When its end was processed.
    pub at: u64,
}

impl FinishedRun {
    /// Formats the run as `JOB/PLACE.RUN@WORKER:AGE`, with its age in milliseconds.
    fn text(&self, now: u64) -> String {
        let TaskKey { job, place } = &self.key;
        let (run, worker) = (self.run, &self.worker);
        let age = now.saturating_sub(self.at);
        format!("{}/{place}.{run}@{worker}:{age}", job.as_str())
    }
}

impl Cell {
    /// Logs a run together with later ones.
    pub(crate) fn defer_done_log(&mut self, done: FinishedRun) {
        let now = done.at;
        self.finished_runs.push(done);
        if self.finished_runs.len() == RUNS_PER_LINE {
            self.log_done(now);
        }
    }

    /// Logs the runs completed since the last call in one line, with the time since each end was
    /// processed.
    pub fn log_done(&mut self, now: u64) {
        if self.finished_runs.is_empty() {
            return;
        }
        let texts: Vec<String> = self
            .finished_runs
            .drain(..)
            .map(|done| done.text(now))
            .collect();
        let runs = texts.join(" ");
        log::info!(target: "cell", count = texts.len(), runs = runs.as_str(); "Runs are done.");
    }
}
