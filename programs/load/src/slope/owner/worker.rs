//! A simulated worker: its runs end after a drawn time, and it reports them.

use {
    super::work,
    cell::{EndCause, Order, Report, Run, RunEnd, Start},
    job::Id,
    std::collections::BTreeMap,
};

/// Interval between two reports of a worker without changes, in milliseconds.
const REPORT_INTERVAL: u64 = 500;

/// An active run.
struct Running {
    start: Start,
    /// When the run ends.
    ends: u64,
    /// A serving task: its figure is a tail latency instead of processor usage.
    serving: bool,
}

/// A simulated worker.
#[derive(Default)]
pub struct Worker {
    running: BTreeMap<(Id, usize), Running>,
    ended: Vec<RunEnd>,
    /// The number of the last end.
    ends: u64,
    /// Time of the last report.
    last_report: u64,
}

impl Worker {
    /// Returns the report that is due, because of changes or of time.
    pub fn report(&mut self, now: u64, random: &mut fastrand::Rng) -> Option<Report> {
        let has_changes = self.end_runs(now);
        if !has_changes && now < self.last_report + REPORT_INTERVAL {
            return None;
        }
        self.last_report = now;
        let mut running = Vec::with_capacity(self.running.len());
        for run in self.running.values() {
            running.push(Run {
                job: run.start.key.job.clone(),
                address: run.start.address,
                run: run.start.run,
                saved: None,
                figure: if run.serving {
                    random.u64(12..40)
                } else {
                    random.u64(800..2_500)
                },
                ready: run.serving,
            });
        }
        Some(Report {
            clock: now + 50_000,
            running,
            ended: self.ended.clone(),
        })
    }

    /// Ends the runs that are due. Returns true if there were any.
    fn end_runs(&mut self, now: u64) -> bool {
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| run.ends <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &due {
            let Some(run) = self.running.remove(key) else {
                continue;
            };
            self.ends += 1;
            self.ended.push(RunEnd {
                number: self.ends,
                job: run.start.key.job,
                address: run.start.address,
                run: run.start.run,
                how: EndCause::Done,
                saved: None,
            });
        }
        !due.is_empty()
    }

    /// Removes the ends up to a number, which the owner has persisted.
    pub fn discard_ends(&mut self, number: u64) {
        self.ended.retain(|end| end.number > number);
    }

    /// Executes an order.
    pub fn execute(&mut self, order: &Order, now: u64, random: &mut fastrand::Rng) {
        match order {
            Order::Start(start) => {
                let serving = &*start.text == work::SERVING_TEXT;
                let length = if serving {
                    u64::MAX / 2
                } else {
                    random.u64(500..3_500)
                };
                let run = Running {
                    start: start.clone(),
                    ends: now + length,
                    serving,
                };
                let key = (start.key.job.clone(), start.key.place);
                self.running.insert(key, run);
            }
            Order::Stop { key, .. } => {
                if let Some(run) = self.running.get_mut(&(key.job.clone(), key.place)) {
                    run.ends = now;
                }
            }
            Order::Pace { .. } | Order::Withdraw { .. } => {}
        }
    }
}
