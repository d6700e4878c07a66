//! What of a worker's report is new to whoever knows the one before.
//!
//! A worker lists all that runs there with each report, twice a second and with each end. Most of that is as
//! it was: a run that goes on is told by its number in the list before and its figure, 5 bytes in place of 55.
//! An owner of 144 workers heard 190 KB a second of reports from its relays in whole lists; a box with a link
//! of 2 Mbit/s hears 250.

use {
    cell::{Report, Run, RunEnd},
    serde::{Deserialize, Serialize},
};

/// A report, in terms of the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportDelta {
    /// The worker's clock, in milliseconds.
    clock: u64,
    /// Runs that go on as they were, by their number in the list before, each with its new figure.
    kept: Vec<(u16, u64)>,
    /// Runs that were not in it, or have changed otherwise.
    fresh: Vec<Run>,
    /// As in the report.
    ended: Vec<RunEnd>,
}

impl ReportDelta {
    /// Tells a report in terms of the list before it, and puts its own list in that one's place: the runs that
    /// go on, then the others.
    pub fn diff(report: Report, known: &mut Vec<Run>) -> Self {
        let mut kept = Vec::new();
        let mut fresh = Vec::new();
        for run in report.running {
            match number(known, &run) {
                Some(number) => kept.push((number, run.figure)),
                None => fresh.push(run),
            }
        }
        let news = ReportDelta {
            clock: report.clock,
            kept,
            fresh,
            ended: report.ended,
        };
        *known = news.list(known);
        news
    }

    /// The whole report, for whoever knows the same list before; which gives way to the report's.
    pub fn apply(self, known: &mut Vec<Run>) -> Report {
        *known = self.list(known);
        Report {
            clock: self.clock,
            running: known.clone(),
            ended: self.ended,
        }
    }

    fn list(&self, known: &[Run]) -> Vec<Run> {
        let mut list = Vec::with_capacity(self.kept.len() + self.fresh.len());
        for &(number, figure) in &self.kept {
            let Some(run) = known.get(usize::from(number)) else {
                log::error!(target: "relay", number, known = known.len(); "A report tells of a run that was not listed before.");
                continue;
            };
            list.push(Run {
                figure,
                ..run.clone()
            });
        }
        list.extend(self.fresh.iter().cloned());
        list
    }
}

/// The number of a run in a list that has it as it is, but for its figure.
fn number(known: &[Run], run: &Run) -> Option<u16> {
    let is_it = |own: &Run| {
        own.run == run.run
            && own.address == run.address
            && own.job == run.job
            && own.saved == run.saved
    };
    let number = known.iter().position(is_it)?;
    u16::try_from(number).ok()
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        job::{Address, Id},
        proptest::{prelude::*, sample::subsequence},
        std::sync::Arc,
    };

    /// One run among twelve, with one of two checkpoints.
    fn run() -> impl Strategy<Value = Run> {
        (0..12_u32, 0..2_u64, any::<u64>()).prop_map(|(index, save, figure)| Run {
            job: Id::new(&format!("{:016x}", index / 4)).unwrap(),
            address: Address {
                time: 0,
                step: 0,
                index,
            },
            run: 1,
            saved: Some(Arc::from(save.to_string())),
            figure,
        })
    }

    /// A report lists each task once.
    fn report() -> impl Strategy<Value = Report> {
        let order = subsequence((0..12).collect::<Vec<u32>>(), 0..12).prop_shuffle();
        (any::<u64>(), order, prop::collection::vec(run(), 12)).prop_map(|(clock, order, runs)| {
            let running = order.into_iter().map(|index| Run {
                address: Address {
                    time: 0,
                    step: 0,
                    index,
                },
                ..runs[index as usize].clone()
            });
            Report {
                clock,
                running: running.collect(),
                ended: Vec::new(),
            }
        })
    }

    fn sorted(mut report: Report) -> Report {
        report.running.sort_by_key(|run| run.address.index);
        report
    }

    proptest! {
        /// Whatever changes from one report to the next, both sides know the same runs after it.
        #[test]
        fn whole_of_any_sequence(reports in prop::collection::vec(report(), 1..8)) {
            let (mut told, mut heard) = (Vec::new(), Vec::new());
            for report in reports {
                let news = ReportDelta::diff(report.clone(), &mut told);
                let whole = news.apply(&mut heard);
                prop_assert_eq!(&told, &heard);
                prop_assert_eq!(sorted(whole), sorted(report));
            }
        }
    }

    /// A list of twenty runs that go on takes 5 bytes for each, with the checkpoint 70 in full.
    #[test]
    fn of_runs_that_go_on_is_short() {
        let run = |index| Run {
            job: Id::new("00000000000000a1").unwrap(),
            address: Address {
                time: 0,
                step: 0,
                index,
            },
            run: 1,
            saved: Some("00000bb87a21d94b".into()),
            figure: 1_800,
        };
        let report = Report {
            clock: 482_113,
            running: (0..20).map(run).collect(),
            ended: Vec::new(),
        };
        let mut known = Vec::new();
        let bytes = |news: &ReportDelta| kernel::wire::encode_compact(news).unwrap().len();
        let first = bytes(&ReportDelta::diff(report.clone(), &mut known));
        let second = bytes(&ReportDelta::diff(report, &mut known));
        assert!(first > 20 * 40 && second < 20 * 6 + 20, "{first}, {second}");
    }
}
