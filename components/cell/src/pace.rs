//! Slowing down filling tasks that disturb serving ones on the same worker.
//!
//! The tail of a serving task's answer times is known for the last half second. Over its target,
//! the filling tasks beside it are slowed down by a factor; well under it, they are sped up by a
//! fixed amount: the usual way to share a resource whose size is not known.

use {
    crate::{cell::Cell, order::Order},
    std::sync::Arc,
};

/// From a change of pace until the figures show it: half a second of measurement, and the time
/// for the order and the report, in milliseconds.
const SETTLE: u64 = 650;
/// Over the target the pace is cut to this share, in hundredths; below `LEAST`, to nothing. Three
/// steps from full speed to a stop, within the 4 s that a target may be missed.
const CUT: u64 = 40;
/// Added to the pace when all tails are low, in hundredths.
const RAISE: u8 = 15;
/// The least share of speed that is worth having, in hundredths.
const LEAST: u8 = 10;
/// Tails under this share of their target are low, in hundredths.
const LOW: u64 = 70;

impl Cell {
    /// Sets the pace of a worker's filling tasks by its newest figures.
    pub(crate) fn pace(&mut self, id: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.filling == 0 {
            worker.pace = 100;
            return;
        }
        let worst = worker
            .slots
            .values()
            .filter(|slot| slot.target > 0)
            .map(|slot| slot.figure * 100 / slot.target)
            .max()
            .unwrap_or_default();
        if now >= worker.paced + SETTLE {
            let next = next_pace(worker.pace, worst);
            if next != worker.pace {
                log::debug!(target: "cell", worker = &**id, worst, from = worker.pace, to = next; "A worker's filling tasks change their pace.");
                worker.pace = next;
                worker.paced = now;
            }
        }
        let pace = worker.pace;
        let mut changes = Vec::new();
        for (key, slot) in &mut worker.slots {
            let is_running = matches!(slot.stage, crate::worker::Stage::Running { .. });
            if !slot.fills || slot.percent == pace || slot.stopping.is_some() || !is_running {
                continue;
            }
            slot.percent = pace;
            changes.push((key.clone(), slot.run));
        }
        for (key, run) in changes {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let address = job.progress.submission.spec.address(key.place);
            let order = Order::Pace {
                key,
                address,
                run,
                percent: pace,
            };
            self.orders.push((id.clone(), order));
        }
    }
}

fn next_pace(pace: u8, worst: u64) -> u8 {
    if worst > 100 {
        let next = (u64::from(pace) * CUT / 100) as u8;
        return if next < LEAST { 0 } else { next };
    }
    if worst < LOW {
        return (pace + RAISE).min(100);
    }
    pace
}
