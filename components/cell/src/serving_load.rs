//! Load of the serving tasks on each worker, cached for placement, and the impact of further
//! best-effort tasks on it.

use {
    crate::{
        cell::{Cell, Job},
        interference::forecast::Forecasts,
        interference::{HARMFUL_WEIGHT, Image, Interference, LOAD_AT_TARGET},
        throttle::LOAD_LIMIT,
        worker::Worker,
    },
    job::Step,
    std::sync::Arc,
};

/// The forecast horizon for placing a best-effort task, in milliseconds; such tasks run for 2 s on
/// average.
const HORIZON: u64 = 1_500;
/// The load up to which a harmful best-effort task is placed beside serving ones. It is far below
/// the limit, since the task would soon be throttled otherwise, at the expense of the serving
/// tasks.
const HARM_LIMIT: f64 = LOAD_LIMIT - 0.27;
/// The load limit for pairs of images without samples. It is higher, since such pairs could not be
/// learned otherwise.
const EXPLORE_LIMIT: f64 = LOAD_LIMIT - 0.12;
/// The load limit while more best-effort work is waiting than running: tasks that wait for harmless
/// capacity would wait forever then.
const BACKLOG_LIMIT: f64 = LOAD_LIMIT - 0.07;
/// The load limit for tasks of jobs that are about to miss their objective.
const URGENT_LIMIT: f64 = LOAD_LIMIT - 0.02;

/// How urgently a harmful best-effort task needs capacity beside serving tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// It can wait for capacity where it is harmless.
    None,
    /// More best-effort work is waiting than running.
    Crowded,
    /// Its job is about to miss its objective.
    Hurried,
}

/// The load of the serving tasks of one image on a worker, and what the best-effort tasks there add
/// to it at full speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServingLoad {
    /// The serving image.
    pub image: Image,
    /// The load forecast for the near future, without best-effort tasks.
    pub forecast: f64,
    /// The highest load observed, without best-effort tasks.
    pub peak: f64,
    /// The load added by harmless best-effort tasks.
    pub harmless: f64,
    /// The load added by harmful ones, which are throttled when necessary.
    pub harmful: f64,
}

impl Cell {
    /// Returns how urgently a job's harmful best-effort tasks need capacity.
    pub(crate) fn urgency(&self, job: &Job) -> Urgency {
        if job.urgent {
            Urgency::Hurried
        } else if self.backlogged {
            Urgency::Crowded
        } else {
            Urgency::None
        }
    }

    /// Updates whether more best-effort work is waiting than running.
    pub(crate) fn update_backlog(&mut self) {
        let running: u64 = self
            .workers
            .values()
            .map(|worker| worker.best_effort_cpu)
            .sum();
        let mut waiting = 0;
        for rank in &self.ready_jobs {
            let Some(job) = self.jobs.get(&rank.id) else {
                continue;
            };
            let Some(&place) = job.ready.first() else {
                continue;
            };
            let step = job.progress.step(place);
            if step.fills {
                waiting += step.size.cpu * job.ready.len() as u64;
            }
        }
        self.backlogged = waiting > running;
    }

    /// Updates the cached load of all workers that have changed since the last call. Returns these
    /// workers.
    pub(crate) fn take_changed(&mut self, now: u64) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        for (id, worker) in &mut self.workers {
            let is_reopened = worker.is_reopened(self.last_pass, now);
            if !std::mem::take(&mut worker.changed) && !is_reopened {
                continue;
            }
            worker.serving_load = serving_load(&self.interference, &self.forecasts, worker, now);
            changed.push(id.clone());
        }
        changed
    }

    /// Updates the cached load of a worker.
    pub(crate) fn update_serving_load(&mut self, id: &str, now: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.serving_load = serving_load(&self.interference, &self.forecasts, worker, now);
        }
    }

    /// Returns the impact of `more` further tasks of a step with this image on the serving tasks of
    /// a worker.
    pub(crate) fn impact(&self, step: &Step, image: Image, worker: &Worker, more: u64) -> Impact {
        let mut impact = Impact::default();
        let share = (step.size.cpu * more) as f64 / worker.entry.size.cpu.max(1) as f64;
        for load in &worker.serving_load {
            let weight = self.interference.weight(load.image, image);
            let added = load.harmless + share * weight;
            impact.peak = impact.peak.max(load.peak + added);
            impact.forecast = impact.forecast.max(load.forecast + added);
            if weight >= HARMFUL_WEIGHT {
                impact.harms = true;
                impact.is_known |= self.interference.is_known(load.image, image);
                impact.harmed = impact.harmed.max(load.forecast + added + load.harmful);
            }
        }
        impact
    }
}

/// The impact of further best-effort tasks on the serving tasks of a worker. Harmful tasks that run
/// there already are counted only if the new ones are harmful too, since they are throttled first
/// otherwise.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Impact {
    /// The new tasks are, or may be, harmful to some of the serving tasks.
    pub harms: bool,
    /// Their harm was observed, not just assumed.
    pub is_known: bool,
    /// The worst load in the near future among the serving tasks to which they are harmful.
    pub harmed: f64,
    /// The worst load in the near future, without harmful tasks.
    pub forecast: f64,
    /// The worst load that can be expected at all.
    pub peak: f64,
}

impl Impact {
    /// True if the impact is acceptable for the time being. Harmless tasks may run wherever the
    /// forecast load permits, since a load that exceeds the limit later does so even without them.
    /// For harmful tasks the limit rises with their urgency.
    pub fn is_acceptable(&self, urgency: Urgency) -> bool {
        if !self.harms {
            return self.is_harmless() || self.forecast <= LOAD_LIMIT;
        }
        let limit = match urgency {
            Urgency::Hurried => URGENT_LIMIT,
            Urgency::Crowded => BACKLOG_LIMIT,
            Urgency::None if !self.is_known => EXPLORE_LIMIT,
            Urgency::None => HARM_LIMIT,
        };
        self.harmed <= limit
    }

    /// True if the impact is acceptable at any time.
    pub fn is_harmless(&self) -> bool {
        !self.harms && self.peak <= LOAD_AT_TARGET
    }

    /// Returns by how much the worst load exceeds the limit at its peak.
    pub fn excess(&self) -> f64 {
        (self.peak - LOAD_LIMIT).max(0.0)
    }
}

/// Returns the load of a worker by serving image.
fn serving_load(
    model: &Interference,
    forecasts: &Forecasts,
    worker: &Worker,
    now: u64,
) -> Vec<ServingLoad> {
    let mut loads: Vec<ServingLoad> = Vec::with_capacity(worker.serving_images.len());
    for key in worker.serving_jobs.keys() {
        let (forecast, peak) = forecasts.forecast(key, now, HORIZON);
        match loads.iter_mut().find(|load| load.image == key.1) {
            Some(load) => {
                load.forecast = load.forecast.max(forecast);
                load.peak = load.peak.max(peak);
            }
            None => loads.push(ServingLoad {
                image: key.1,
                forecast,
                peak,
                harmless: 0.0,
                harmful: 0.0,
            }),
        }
    }
    for load in &mut loads {
        (load.harmful, load.harmless) = added_by_all(model, load.image, worker);
    }
    loads
}

/// Returns what the best-effort tasks of a worker add to the load of a serving image at full speed:
/// first the harmful ones, then the others.
pub(crate) fn added_by_all(model: &Interference, serving: Image, worker: &Worker) -> (f64, f64) {
    let capacity = worker.entry.size.cpu.max(1) as f64;
    let (mut harmful, mut harmless) = (0.0, 0.0);
    for (&filling, &cpu) in &worker.best_effort_images {
        let weight = model.weight(serving, filling);
        let added = weight * cpu as f64 / capacity;
        if weight >= HARMFUL_WEIGHT {
            harmful += added;
        } else {
            harmless += added;
        }
    }
    (harmful, harmless)
}
