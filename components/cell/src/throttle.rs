//! Throttling of best-effort tasks that slow down serving tasks on the same worker.
//!
//! The load of each serving job is forecast, and what the best-effort tasks beside it add is known
//! from their images. Harmful ones get the pace at which the worker's serving tasks stay within
//! their latency target. Since figures are rough and half a second old, and forecasts can be wrong,
//! there is a safeguard: a serving task that stays over its target pauses all best-effort tasks
//! beside it, whatever the model says, and their pace is raised again in steps. Pausing at a single
//! figure near the target costs more than it saves.

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

/// The time until a change of pace shows in the figures, in milliseconds: half a second of
/// measurement, plus the order and the report.
const SETTLE_TIME: u64 = 650;
/// Percentage points by which the pace of a paused task is raised at a time while the serving tasks
/// that it slows down have low tail latencies.
const PACE_STEP: u8 = 20;
/// Tail latencies below this percentage of their target are low.
const LOW_TAIL: u64 = 75;
/// A serving task over its target for this long, in milliseconds, pauses all best-effort tasks. A
/// target may be missed for 4 s, and an order takes half a second to show.
const MAX_OVER_TARGET: u64 = 1_000;
/// The load up to which best-effort tasks may load serving ones: slightly below the load at the
/// target, as a margin for forecast errors.
pub(crate) const LOAD_LIMIT: f64 = LOAD_AT_TARGET - 0.04;
/// The forecast horizon for a pace, in milliseconds: until the next report, plus the time for an
/// order.
const HORIZON: u64 = 700;
/// Paces below this percentage are not worth the memory of the task.
const MIN_PACE: u8 = 15;
/// Changes of pace by fewer percentage points are not ordered.
const MIN_CHANGE: u8 = 15;
/// The maximum number of orders that are repeated at a time on a worker, the oldest first. It may
/// leave all of them unanswered, while other orders wait behind them.
const MAX_REPEATS: usize = 2;

impl Cell {
    /// Updates the interference model from a worker's latest figures, and sets the pace of its
    /// best-effort tasks.
    pub(crate) fn throttle(&mut self, id: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        learn(&mut self.interference, &mut self.forecasts, worker, now);
        if self.interference.solve(now) {
            self.forecasts.expire(now);
        }
        if self.interference.is_write_due(now) {
            self.interference_due = true;
            self.learned_due_at = now;
        }
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

/// True if the worker has confirmed the run and has not been told to stop it.
fn is_running(slot: &Slot) -> bool {
    matches!(slot.stage, Stage::Running { .. }) && slot.stopping.is_none()
}

/// Updates the model with the load of each serving job on the worker, as derived from its figures,
/// and the CPU shares of the best-effort tasks beside it.
fn learn(model: &mut Interference, forecasts: &mut Forecasts, worker: &Worker, now: u64) {
    let capacity = worker.entry.size.cpu.max(1) as f64;
    let mut shares: Vec<(Image, f64)> = Vec::new();
    let mut loads = BTreeMap::new();
    for (key, slot) in &worker.slots {
        if !is_running(slot) || slot.figure == 0 {
            continue;
        }
        if slot.best_effort {
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
    let row = model.dense_row(&shares);
    for (job, (sum, count)) in loads {
        forecasts.observe(model, job, sum / count, &row, now);
    }
}

/// Returns the worst tail latency of each serving image on a worker, as a percentage of its target.
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

/// Returns for each serving image on a worker the pace, as a percentage, that keeps it within its
/// target if all best-effort tasks that slow it down run at that pace.
fn limits(
    model: &Interference,
    forecasts: &Forecasts,
    worker: &Worker,
    now: u64,
) -> Vec<(Image, f64)> {
    let mut loads: BTreeMap<Image, f64> = BTreeMap::new();
    for key in worker.serving_jobs.keys() {
        let (forecast, _) = forecasts.forecast(key, now, HORIZON);
        let load = loads.entry(key.1).or_default();
        *load = load.max(forecast);
    }
    let mut limits = Vec::with_capacity(loads.len());
    for (serving, load) in loads {
        let (harmful, harmless) = added_by_all(model, serving, worker);
        let headroom = LOAD_LIMIT - load - harmless;
        let limit = if harmful > headroom {
            (headroom / harmful).max(0.0) * 100.0
        } else {
            100.0
        };
        limits.push((serving, limit));
    }
    limits
}

/// What limits the pace of best-effort tasks on a worker.
struct Bounds {
    /// The worst tail latency of each serving image, as a percentage of its target.
    tails: BTreeMap<Image, u64>,
    /// A serving task has been over its target for too long: all best-effort tasks are paused.
    is_over: bool,
    /// For each serving image, the highest acceptable pace of best-effort tasks that slow it down,
    /// as a percentage.
    limits: Vec<(Image, f64)>,
}

impl Bounds {
    /// Returns the worst tail latency among the serving images that a best-effort image slows down,
    /// and the pace that these allow.
    fn of(&self, model: &Interference, filling: Image) -> (u64, u8) {
        let is_harmed = |serving: Image| model.weight(serving, filling) >= HARMFUL_WEIGHT;
        let harmed = self
            .tails
            .iter()
            .filter(|(serving, _)| is_harmed(**serving));
        let worst = harmed.map(|(_, &tail)| tail).max().unwrap_or_default();
        let limits = self
            .limits
            .iter()
            .filter(|(serving, _)| is_harmed(*serving));
        let limit = limits.map(|&(_, limit)| limit).fold(100.0, f64::min);
        (worst, limit as u8)
    }
}

/// Sets the pace of each best-effort task. Returns the paces to order: changes, and ones that may
/// not be in force.
fn set_paces(
    model: &Interference,
    forecasts: &Forecasts,
    worker: &mut Worker,
    now: u64,
) -> Vec<(TaskKey, u64, u8)> {
    let tails = tails(worker);
    update_over_target(worker, &tails, now);
    if worker.best_effort_cpu == 0 {
        return Vec::new();
    }
    let bounds = Bounds {
        tails,
        is_over: worker
            .over_target_since
            .is_some_and(|since| now >= since + MAX_OVER_TARGET),
        limits: limits(model, forecasts, worker, now),
    };
    let mut changes = Vec::new();
    let mut repeats = Vec::new();
    for (key, slot) in &mut worker.slots {
        if !slot.best_effort || !is_running(slot) {
            continue;
        }
        let (worst, limit) = bounds.of(model, slot.image);
        let Some(percent) = next_pace(slot, bounds.is_over, worst, limit, now) else {
            if slot.pace_order.is_repeat_due(now) {
                repeats.push((slot.pace_order.sent_at(), key.clone()));
            }
            continue;
        };
        log::debug!(target: "cell", worker = &*worker.entry.id, job = key.job.as_str(), place = key.place, worst, limit, from = slot.percent, to = percent; "Pace of a best-effort task changed.");
        slot.lost = slot.lost_at(now);
        slot.percent = percent;
        slot.pace_set_at = now;
        slot.pace_order.sent(now);
        changes.push((key.clone(), slot.run, percent));
    }
    repeats.sort();
    for (_, key) in repeats.into_iter().take(MAX_REPEATS) {
        if let Some(slot) = worker.slots.get_mut(&key) {
            slot.pace_order.sent(now);
            changes.push((key, slot.run, slot.percent));
        }
    }
    changes
}

/// Updates since when a serving task has been over its target.
fn update_over_target(worker: &mut Worker, tails: &BTreeMap<Image, u64>, now: u64) {
    let is_any_over = tails.values().any(|&tail| tail > 100);
    if !is_any_over {
        worker.over_target_since = None;
    } else if worker.over_target_since.is_none() {
        worker.over_target_since = Some(now);
    }
}

/// Returns the new pace of a best-effort task, or `None` if it is unchanged. `is_over` tells
/// whether a serving task beside it has been over its target for too long, `worst` is the worst
/// tail latency that it affects, and `limit` is the pace at which the serving tasks beside it are
/// forecast to stay within their target.
fn next_pace(slot: &mut Slot, is_over: bool, worst: u64, limit: u8, now: u64) -> Option<u8> {
    let limit = if limit < MIN_PACE { 0 } else { limit };
    let mut pace = limit;
    if is_over {
        slot.tripped = true;
        pace = 0;
    } else if slot.tripped && slot.percent != UNKNOWN_PACE {
        let may_rise = worst < LOW_TAIL && now >= slot.pace_set_at + SETTLE_TIME;
        pace = if may_rise {
            (slot.percent + PACE_STEP).min(limit)
        } else {
            slot.percent.min(limit)
        };
        slot.tripped = pace < limit;
    }
    update_slow(slot, pace, now);
    if slot.percent == UNKNOWN_PACE {
        return Some(pace);
    }
    let is_extreme = pace == 0 || pace == 100;
    let is_worthwhile =
        pace.abs_diff(slot.percent) >= MIN_CHANGE || (is_extreme && pace != slot.percent);
    is_worthwhile.then_some(pace)
}

/// Updates since when a best-effort task has been running at less than half its speed.
fn update_slow(slot: &mut Slot, pace: u8, now: u64) {
    if pace >= 50 {
        slot.slow_since = None;
    } else if slot.slow_since.is_none() {
        slot.slow_since = Some(now);
    }
}
