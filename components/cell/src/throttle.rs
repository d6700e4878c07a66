//! Slowing down filling tasks that disturb serving ones on the same worker.
//!
//! The load of each serving job is foreseen, and what the filling tasks beside it add is known from
//! their images: those that disturb get the pace at which the worker's serving tasks stay under
//! their target. Figures are half a second old, rough, and foresight errs, so there is a second line: a
//! serving task that stays over its target stops all filling tasks beside it, whatever was learned; they
//! come back in steps. Stopping at a single figure near the target was tried and cost more than it saved.

use {
    crate::{
        cell::Cell,
        interference::{
            HARMFUL_WEIGHT, Image, Interference, LOAD_AT_TARGET, forecast::Forecasts,
            load_from_tail,
        },
        order::Order,
        serving_load::added_by_all,
        slot::{Slot, Stage, UNKNOWN_PACE},
        worker::{TaskKey, Worker},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// From a change of pace until the figures show it: half a second of measurement, and the time
/// for the order and the report, in milliseconds.
const SETTLE: u64 = 650;
/// Added to the pace of a task that was stopped for a serving one over its target, when the tails that it
/// disturbs are low, in hundredths.
const RAISE: u8 = 20;
/// Tails under this share of their target are low, in hundredths.
const LOW: u64 = 75;
/// A serving task over its target for this long, in milliseconds, stops all filling tasks: a
/// target may be missed for 4 s, and an order takes half a second to show.
const STUBBORN: u64 = 1_000;
/// The load up to which serving tasks are filled: a little below the load at the target, for what
/// foresight errs by.
pub(crate) const LOAD_LIMIT: f64 = LOAD_AT_TARGET - 0.04;
/// How far ahead the load is foreseen for a pace, in milliseconds: the next report, and the time
/// for an order.
const AHEAD: u64 = 700;
/// Paces below this are not worth their memory, in hundredths.
const LEAST: u8 = 15;
/// Smaller changes of pace are not ordered, in hundredths.
const CHANGE: u8 = 15;

impl Cell {
    /// Learns from a worker's newest figures, and sets the pace of its filling tasks by them.
    pub(crate) fn pace(&mut self, id: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        learn(&mut self.interference, &mut self.forecasts, worker, now);
        if self.interference.solve(now) {
            self.forecasts.expire(now);
        }
        self.interference_due |= self.interference.is_write_due(now);
        for (key, run, percent) in set_paces(&self.interference, &self.forecasts, worker, now) {
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

/// Takes the figures of serving tasks as readings of their job's load, and of what the filling
/// tasks beside them add.
fn learn(known: &mut Interference, levels: &mut Forecasts, worker: &Worker, now: u64) {
    let capacity = worker.entry.size.cpu.max(1) as f64;
    let mut shares: Vec<(Image, f64)> = Vec::new();
    let mut loads = BTreeMap::new();
    for (key, slot) in &worker.slots {
        if !is_running(slot) || slot.figure == 0 {
            continue;
        }
        if slot.fills {
            shares.push((slot.image, slot.figure as f64 / capacity));
        } else if slot.target > 0 {
            let load = load_from_tail(slot.figure as f64 / slot.target as f64);
            let sum: &mut (f64, f64) = loads.entry((key.job.clone(), slot.image)).or_default();
            sum.0 += load;
            sum.1 += 1.0;
        }
    }
    if loads.is_empty() {
        return;
    }
    let row = known.dense_row(&shares);
    for (job, (sum, count)) in loads {
        levels.observe(known, job, sum / count, &row, now);
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

/// For each serving image on a worker, the pace in hundredths that keeps it under its target when
/// all filling tasks that disturb it have it.
fn limits(
    known: &Interference,
    levels: &Forecasts,
    worker: &Worker,
    now: u64,
) -> Vec<(Image, f64)> {
    let mut loads: BTreeMap<Image, f64> = BTreeMap::new();
    for key in worker.serving_jobs.keys() {
        let (near, _) = levels.forecast(key, now, AHEAD);
        let load = loads.entry(key.1).or_default();
        *load = load.max(near);
    }
    let mut limits = Vec::with_capacity(loads.len());
    for (serving, load) in loads {
        let (harmful, harmless) = added_by_all(known, serving, worker);
        let room = LOAD_LIMIT - load - harmless;
        let limit = if harmful > room {
            (room / harmful).max(0.0) * 100.0
        } else {
            100.0
        };
        limits.push((serving, limit));
    }
    limits
}

/// What the serving tasks of a worker set bounds to the paces of filling ones by.
struct Bounds {
    /// The worst tail of each serving image, in hundredths of its target.
    tails: BTreeMap<Image, u64>,
    /// Some serving task has been over its target for long: all filling tasks stop.
    is_stubborn: bool,
    /// For each serving image, the pace in hundredths up to which it is not disturbed too much.
    limits: Vec<(Image, f64)>,
}

impl Bounds {
    /// The worst tail that a filling image disturbs, and the pace that it may have.
    fn of(&self, known: &Interference, filling: Image) -> (u64, u8) {
        let harms = |serving: Image| known.weight(serving, filling) >= HARMFUL_WEIGHT;
        let harmed = self.tails.iter().filter(|(serving, _)| harms(**serving));
        let worst = harmed.map(|(_, &tail)| tail).max().unwrap_or_default();
        let limits = self.limits.iter().filter(|(serving, _)| harms(*serving));
        let limit = limits.map(|&(_, limit)| limit).fold(100.0, f64::min);
        (worst, limit as u8)
    }
}

/// Sets the pace of each filling task. Returns the changes to order.
fn set_paces(
    known: &Interference,
    levels: &Forecasts,
    worker: &mut Worker,
    now: u64,
) -> Vec<(TaskKey, u64, u8)> {
    let tails = tails(worker);
    note_over(worker, &tails, now);
    if worker.filling_cpu == 0 {
        return Vec::new();
    }
    let bounds = Bounds {
        tails,
        is_stubborn: worker
            .over_target_since
            .is_some_and(|since| now >= since + STUBBORN),
        limits: limits(known, levels, worker, now),
    };
    let mut changes = Vec::new();
    for (key, slot) in &mut worker.slots {
        if !slot.fills || !is_running(slot) {
            continue;
        }
        let (worst, limit) = bounds.of(known, slot.image);
        let Some(percent) = next_pace(slot, bounds.is_stubborn, worst, limit, now) else {
            continue;
        };
        log::debug!(target: "cell", worker = &*worker.entry.id, job = key.job.as_str(), place = key.place, worst, limit, from = slot.percent, to = percent; "A filling task changes its pace.");
        slot.percent = percent;
        slot.pace_set_at = now;
        changes.push((key.clone(), slot.run, percent));
    }
    changes
}

/// Notes since when some serving task has been over its target.
fn note_over(worker: &mut Worker, tails: &BTreeMap<Image, u64>, now: u64) {
    let is_over = tails.values().any(|&tail| tail > 100);
    if !is_over {
        worker.over_target_since = None;
    } else if worker.over_target_since.is_none() {
        worker.over_target_since = Some(now);
    }
}

/// The pace of a filling task, by whether a serving neighbour has been over its target for long, by the
/// worst tail that it disturbs and by the pace up to which its neighbours are foreseen to stay under their
/// target; `None` when it stays.
fn next_pace(slot: &mut Slot, is_stubborn: bool, worst: u64, limit: u8, now: u64) -> Option<u8> {
    let limit = if limit < LEAST { 0 } else { limit };
    let mut pace = limit;
    if is_stubborn {
        slot.tripped = true;
        pace = 0;
    } else if slot.tripped && slot.percent != UNKNOWN_PACE {
        let may_rise = worst < LOW && now >= slot.pace_set_at + SETTLE;
        pace = if may_rise {
            (slot.percent + RAISE).min(limit)
        } else {
            slot.percent.min(limit)
        };
        slot.tripped = pace < limit;
    }
    note_slow(slot, pace, now);
    if slot.percent == UNKNOWN_PACE {
        return Some(pace);
    }
    let is_end = pace == 0 || pace == 100;
    let is_worth = pace.abs_diff(slot.percent) >= CHANGE || (is_end && pace != slot.percent);
    is_worth.then_some(pace)
}

/// Notes since when a filling task has worked at less than half its speed.
fn note_slow(slot: &mut Slot, pace: u8, now: u64) {
    if pace >= 50 {
        slot.slow_since = None;
    } else if slot.slow_since.is_none() {
        slot.slow_since = Some(now);
    }
}
