//! What logs tell of runs, which are too many for a line each.

use {
    crate::{cell::Cell, worker::TaskKey},
    std::sync::Arc,
};

/// Runs that one line tells at most. It is some 3 KB then, which a pipe keeps together (`PIPE_BUF` on Linux is
/// 4,096 bytes).
pub(crate) const RUNS_PER_LINE: usize = 80;

/// A run that is done and is to be told of.
#[derive(Debug)]
pub(crate) struct FinishedRun {
    pub key: TaskKey,
    pub run: u64,
    pub worker: Arc<str>,
    /// When its end was taken in.
    pub at: u64,
}

impl FinishedRun {
    /// The run as `JOB/PLACE.RUN@WORKER:AGE`, its age in milliseconds.
    fn text(&self, now: u64) -> String {
        let TaskKey { job, place } = &self.key;
        let (run, worker) = (self.run, &self.worker);
        let age = now.saturating_sub(self.at);
        format!("{}/{place}.{run}@{worker}:{age}", job.as_str())
    }
}

impl Cell {
    /// Has a run told with others that are done.
    pub(crate) fn defer_done_log(&mut self, done: FinishedRun) {
        let now = done.at;
        self.finished_runs.push(done);
        if self.finished_runs.len() == RUNS_PER_LINE {
            self.log_done(now);
        }
    }

    /// Tells in one line which runs are done since the last call, and how long ago each end was taken in.
    pub fn log_done(&mut self, now: u64) {
        if self.finished_runs.is_empty() {
            return;
        }
        let told: Vec<String> = self
            .finished_runs
            .drain(..)
            .map(|done| done.text(now))
            .collect();
        let runs = told.join(" ");
        log::info!(target: "cell", count = told.len(), runs = runs.as_str(); "Runs are done.");
    }
}
