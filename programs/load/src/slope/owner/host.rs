//! A worker as the experiment plays it: its runs end after a time, and it reports them.

use {
    super::work,
    cell::{EndCause, Order, Report, Run, RunEnd, Start},
    job::Id,
    std::collections::BTreeMap,
};

/// Between two reports of a worker without news, in milliseconds.
const REPORT_GAP: u64 = 500;

/// A run on a worker.
struct Running {
    start: Start,
    /// When it is done.
    ends: u64,
    /// It serves: its figure is a tail of answer times, not the processors that it uses.
    tail: bool,
}

/// A worker.
#[derive(Default)]
pub struct Host {
    running: BTreeMap<(Id, usize), Running>,
    ended: Vec<RunEnd>,
    /// The number of the last end.
    ends: u64,
    /// When it last reported.
    reported: u64,
}

impl Host {
    /// What it reports now, if it has news or it is time.
    pub fn report(&mut self, now: u64, random: &mut fastrand::Rng) -> Option<Report> {
        let has_news = self.end_runs(now);
        if !has_news && now < self.reported + REPORT_GAP {
            return None;
        }
        self.reported = now;
        let mut running = Vec::with_capacity(self.running.len());
        for run in self.running.values() {
            running.push(Run {
                job: run.start.key.job.clone(),
                address: run.start.address,
                run: run.start.run,
                saved: None,
                figure: if run.tail {
                    random.u64(12..40)
                } else {
                    random.u64(800..2_500)
                },
            });
        }
        Some(Report {
            clock: now + 50_000,
            running,
            ended: self.ended.clone(),
        })
    }

    /// Ends the runs whose time has come. True when there were any.
    fn end_runs(&mut self, now: u64) -> bool {
        let over: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| run.ends <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &over {
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
        !over.is_empty()
    }

    /// Forgets its ends up to a number: they are written down.
    pub fn forget(&mut self, number: u64) {
        self.ended.retain(|end| end.number > number);
    }

    /// Does what it is ordered to.
    pub fn carry_out(&mut self, order: &Order, now: u64, random: &mut fastrand::Rng) {
        match order {
            Order::Start(start) => {
                let tail = &*start.text == work::SERVING_TEXT;
                let length = if tail {
                    u64::MAX / 2
                } else {
                    random.u64(500..3_500)
                };
                let run = Running {
                    start: start.clone(),
                    ends: now + length,
                    tail,
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
