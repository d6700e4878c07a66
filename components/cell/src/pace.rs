//! Slowing down filling tasks that disturb serving ones on the same worker.
//!
//! The tail of a serving task's answer times is known for the last half second. Near its target,
//! the filling tasks that disturb its image are stopped from working; well under it, they are sped
//! up by a fixed amount. A serving task that stays over its target stops all of them, whatever was
//! learned: what is learned may be wrong.

use {
    crate::{
        cell::Cell,
        disturb::{Disturbance, Image},
        order::Order,
        worker::{Key, Slot, Stage, UNKNOWN_PACE, Worker},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// From a change of pace until the figures show it: half a second of measurement, and the time
/// for the order and the report, in milliseconds.
const SETTLE: u64 = 650;
/// Added to the pace when the tails that a task disturbs are low, in hundredths.
const RAISE: u8 = 20;
/// At this share of the target the filling tasks that disturb stop, in hundredths: before it is
/// passed, since an order takes half a second to show.
const STOP: u64 = 88;
/// Tails under this share of their target are low, in hundredths.
const LOW: u64 = 75;
/// A serving task over its target for this long, in milliseconds, stops all filling tasks: a
/// target may be missed for 4 s, and an order takes half a second to show.
const STUBBORN: u64 = 1_000;
/// A pair of images with at least this weight disturbs; harmless ones are measured below 1.
const HARMFUL: f64 = 1.0;

impl Cell {
    /// Learns from a worker's newest figures, and sets the pace of its filling tasks by them.
    pub(crate) fn pace(&mut self, id: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        learn(&mut self.disturbance, worker);
        self.disturbance.solve(now);
        self.learned_due |= self.disturbance.is_due(now);
        for (key, run, percent) in set_paces(&self.disturbance, worker, now) {
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
}

/// True when the worker has confirmed the run and was not told to stop it.
fn is_running(slot: &Slot) -> bool {
    matches!(slot.stage, Stage::Running { .. }) && slot.stopping.is_none()
}

/// Takes the figures of serving tasks as readings of what the filling ones beside them do.
fn learn(known: &mut Disturbance, worker: &Worker) {
    let capacity = worker.entry.size.cpu.max(1) as f64;
    let mut shares: Vec<(Image, f64)> = Vec::new();
    for slot in worker.slots.values() {
        if slot.fills && is_running(slot) {
            shares.push((slot.image, slot.figure as f64 / capacity));
        }
    }
    for slot in worker.slots.values() {
        if slot.target > 0 && slot.figure > 0 && is_running(slot) {
            let over = slot.figure as f64 / slot.target as f64;
            known.sample(slot.image, over, &shares);
        }
    }
}

/// The worst tail of each serving image on a worker, in hundredths of its target.
fn tails(worker: &Worker) -> BTreeMap<Image, u64> {
    let mut tails = BTreeMap::new();
    for slot in worker.slots.values() {
        if slot.target == 0 {
            continue;
        }
        let tail: &mut u64 = tails.entry(slot.image).or_default();
        *tail = (*tail).max(slot.figure * 100 / slot.target);
    }
    tails
}

/// Sets the pace of each filling task. Returns the changes to order.
fn set_paces(known: &Disturbance, worker: &mut Worker, now: u64) -> Vec<(Key, u64, u8)> {
    let tails = tails(worker);
    let is_over = tails.values().any(|&tail| tail > 100);
    if !is_over {
        worker.over_since = None;
    } else if worker.over_since.is_none() {
        worker.over_since = Some(now);
    }
    let is_stubborn = worker
        .over_since
        .is_some_and(|since| now >= since + STUBBORN);
    let mut changes = Vec::new();
    for (key, slot) in &mut worker.slots {
        if !slot.fills || !is_running(slot) {
            continue;
        }
        let harmed = tails
            .iter()
            .filter(|(serving, _)| is_stubborn || known.weight(**serving, slot.image) >= HARMFUL);
        let worst = harmed.map(|(_, &tail)| tail).max().unwrap_or_default();
        let Some(percent) = next_pace(slot, worst, now) else {
            continue;
        };
        log::debug!(target: "cell", worker = &*worker.entry.id, job = key.job.as_str(), place = key.place, worst, from = slot.percent, to = percent; "A filling task changes its pace.");
        slot.percent = percent;
        slot.paced = now;
        changes.push((key.clone(), slot.run, percent));
    }
    changes
}

/// The pace of a filling task, by the worst tail that it disturbs; `None` when it stays.
fn next_pace(slot: &Slot, worst: u64, now: u64) -> Option<u8> {
    if worst > STOP {
        return (slot.percent > 0).then_some(0);
    }
    if slot.percent == UNKNOWN_PACE {
        return Some(100);
    }
    let may_rise = slot.percent < 100 && worst < LOW && now >= slot.paced + SETTLE;
    may_rise.then(|| (slot.percent + RAISE).min(100))
}
