//! Slowing down filling tasks that disturb serving ones on the same worker.
//!
//! The tail of a serving task's answer times is known for the last half second. Over its target,
//! the filling tasks that disturb it are stopped from working; well under it, they are sped up by
//! a fixed amount. A serving task that stays over its target stops all of them, whatever was
//! learned: what is learned may be wrong.

use {
    crate::{
        cell::Cell,
        disturb::Image,
        order::Order,
        worker::{Key, Stage, Worker},
    },
    std::sync::Arc,
};

/// From a change of pace until the figures show it: half a second of measurement, and the time
/// for the order and the report, in milliseconds.
const SETTLE: u64 = 650;
/// Added to the pace when all tails are low, in hundredths.
const RAISE: u8 = 20;
/// Tails under this share of their target are low, in hundredths.
const LOW: u64 = 75;
/// A serving task over its target for this long, in milliseconds, stops all filling tasks: a
/// target may be missed for 4 s, and an order takes half a second to show.
const STUBBORN: u64 = 1_400;
/// A pair of images with at least this weight disturbs; harmless ones are measured below 1.
const HARMFUL: f64 = 1.0;

impl Cell {
    /// Learns from a worker's newest figures, and sets the pace of its filling tasks by them.
    pub(crate) fn pace(&mut self, id: &Arc<str>, now: u64) {
        self.learn(id);
        self.disturbance.solve(now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.filling == 0 {
            worker.pace = 100;
            worker.over_since = None;
            return;
        }
        set_pace(worker, now);
        let changes = self.changes(id, now);
        for (key, run, percent) in changes {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let address = job.progress.submission.spec.address(key.place);
            let order = Order::Pace {
                key,
                address,
                run,
                percent,
            };
            self.orders.push((id.clone(), order));
        }
    }

    /// Takes the figures of serving tasks as readings of what the filling ones beside them do.
    fn learn(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let capacity = worker.entry.size.cpu.max(1) as f64;
        let running = |slot: &&crate::worker::Slot| matches!(slot.stage, Stage::Running { .. });
        let mut shares: Vec<(Image, f64)> = Vec::new();
        for slot in worker.slots.values().filter(running) {
            if slot.fills {
                shares.push((slot.image, slot.figure as f64 / capacity));
            }
        }
        for slot in worker.slots.values().filter(running) {
            if slot.target > 0 && slot.figure > 0 {
                let over = slot.figure as f64 / slot.target as f64;
                self.disturbance.sample(slot.image, over, &shares);
            }
        }
    }

    /// The filling tasks whose pace has to change.
    fn changes(&mut self, id: &Arc<str>, now: u64) -> Vec<(Key, u64, u8)> {
        let Some(worker) = self.workers.get_mut(id) else {
            return Vec::new();
        };
        let is_stubborn = worker
            .over_since
            .is_some_and(|since| now >= since + STUBBORN);
        let served: Vec<Image> = worker.serve_images.keys().copied().collect();
        let mut changes = Vec::new();
        for (key, slot) in &mut worker.slots {
            let is_running = matches!(slot.stage, Stage::Running { .. });
            if !slot.fills || slot.stopping.is_some() || !is_running {
                continue;
            }
            let harms = |&serving: &Image| self.disturbance.weight(serving, slot.image) >= HARMFUL;
            let percent = if is_stubborn || served.iter().any(harms) {
                worker.pace
            } else {
                100
            };
            if slot.percent != percent {
                slot.percent = percent;
                changes.push((key.clone(), slot.run, percent));
            }
        }
        changes
    }
}

/// Sets the pace of a worker's disturbing tasks by the worst of its serving tasks.
fn set_pace(worker: &mut Worker, now: u64) {
    let worst = worker
        .slots
        .values()
        .filter(|slot| slot.target > 0)
        .map(|slot| slot.figure * 100 / slot.target)
        .max()
        .unwrap_or_default();
    if worst <= 100 {
        worker.over_since = None;
    } else if worker.over_since.is_none() {
        worker.over_since = Some(now);
    }
    let next = if worst > 100 {
        0
    } else if worst < LOW && now >= worker.paced + SETTLE {
        (worker.pace + RAISE).min(100)
    } else {
        worker.pace
    };
    if next != worker.pace {
        log::debug!(target: "cell", worker = &*worker.entry.id, worst, from = worker.pace, to = next; "A worker's filling tasks change their pace.");
        worker.pace = next;
        worker.paced = now;
    }
}
