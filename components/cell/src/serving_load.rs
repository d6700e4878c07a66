//! How loaded the serving tasks of each worker are, kept at hand for placement, and what more filling
//! tasks would do to them.

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

/// How far ahead the load is foreseen for a filling task that is to be placed, in milliseconds:
/// they run for 2 s on average.
const AHEAD: u64 = 1_500;
/// The load up to which a filling task that disturbs much is placed beside serving ones: far below
/// the limit, or it is slowed down soon and serving tasks pay for it.
const HARM_LIMIT: f64 = LOAD_LIMIT - 0.27;
/// The same for pairs not seen yet, or nobody would ever learn.
const EXPLORE_LIMIT: f64 = LOAD_LIMIT - 0.12;
/// The same while more filling work waits than runs: what waits for harmless room then waits for good.
const CROWDED_LIMIT: f64 = LOAD_LIMIT - 0.07;
/// The same for tasks of jobs that are about to miss their objective.
const HURRIED_LIMIT: f64 = LOAD_LIMIT - 0.02;

/// How much a filling task that disturbs is wanted beside serving ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// It can wait for room where it disturbs nobody.
    None,
    /// More filling work waits than runs.
    Crowded,
    /// Its job is about to miss its objective.
    Hurried,
}

/// The load of the serving tasks of one image on a worker, and what filling tasks there add to it
/// when they all work at full speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServingLoad {
    /// The image.
    pub image: Image,
    /// The load in a moment, without filling tasks.
    pub near: f64,
    /// The highest load that was seen, without filling tasks.
    pub peak: f64,
    /// What filling tasks add that disturb little.
    pub harmless: f64,
    /// What the others add. They are slowed down when the load needs it.
    pub harmful: f64,
}

impl Cell {
    /// How much a job's filling tasks that disturb are wanted.
    pub(crate) fn urgency(&self, job: &Job) -> Urgency {
        if job.urgent {
            Urgency::Hurried
        } else if self.backlogged {
            Urgency::Crowded
        } else {
            Urgency::None
        }
    }

    /// Finds out whether more filling work waits than runs.
    pub(crate) fn update_backlog(&mut self) {
        let running: u64 = self.workers.values().map(|worker| worker.filling_cpu).sum();
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

    /// Brings the strain of all workers up to date that have changed since the last call. Returns
    /// these workers.
    pub(crate) fn take_changed(&mut self, now: u64) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        for (id, worker) in &mut self.workers {
            if !std::mem::take(&mut worker.changed) {
                continue;
            }
            worker.serving_load = strain(&self.interference, &self.forecasts, worker, now);
            changed.push(id.clone());
        }
        changed
    }

    /// Brings the strain of one worker up to date.
    pub(crate) fn update_serving_load(&mut self, id: &str, now: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.serving_load = strain(&self.interference, &self.forecasts, worker, now);
        }
    }

    /// What more tasks of a step with this image would do to the serving tasks of a worker.
    pub(crate) fn impact(&self, step: &Step, image: Image, worker: &Worker, more: u64) -> Impact {
        let mut effect = Impact::default();
        let share = (step.size.cpu * more) as f64 / worker.entry.size.cpu.max(1) as f64;
        for strain in &worker.serving_load {
            let weight = self.interference.weight(strain.image, image);
            let added = strain.harmless + share * weight;
            effect.peak = effect.peak.max(strain.peak + added);
            effect.soon = effect.soon.max(strain.near + added);
            if weight >= HARMFUL_WEIGHT {
                effect.harms = true;
                effect.is_known |= self.interference.is_known(strain.image, image);
                effect.near = effect.near.max(strain.near + added + strain.harmful);
            }
        }
        effect
    }
}

/// What more filling tasks would do to the serving tasks of a worker. Those that are there already
/// and harm are reckoned with only where the new ones harm too, since they are slowed down first.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Impact {
    /// The new ones disturb some of the serving tasks much, or may.
    pub harms: bool,
    /// That they do is not just reckoned with: it was seen.
    pub is_known: bool,
    /// Where they do, the worst load in a moment.
    pub near: f64,
    /// The worst load in a moment, without harmful tasks.
    pub soon: f64,
    /// The worst load that is to be expected at all.
    pub peak: f64,
}

impl Impact {
    /// True when the serving tasks can bear it for now. Tasks that disturb little may run wherever the load
    /// foreseen bears them: a load that passes the limit later does so by itself. The others come the
    /// closer to the limit the more they are wanted.
    pub fn is_acceptable(&self, press: Urgency) -> bool {
        if !self.harms {
            return self.is_harmless() || self.soon <= LOAD_LIMIT;
        }
        let limit = match press {
            Urgency::Hurried => HURRIED_LIMIT,
            Urgency::Crowded => CROWDED_LIMIT,
            Urgency::None if !self.is_known => EXPLORE_LIMIT,
            Urgency::None => HARM_LIMIT,
        };
        self.near <= limit
    }

    /// True when they can bear it at any time.
    pub fn is_harmless(&self) -> bool {
        !self.harms && self.peak <= LOAD_AT_TARGET
    }

    /// By how much the worst load passes the limit at its highest.
    pub fn excess(&self) -> f64 {
        (self.peak - LOAD_LIMIT).max(0.0)
    }
}

/// The strain of a worker, by serving image.
fn strain(known: &Interference, levels: &Forecasts, worker: &Worker, now: u64) -> Vec<ServingLoad> {
    let mut strains: Vec<ServingLoad> = Vec::with_capacity(worker.serving_images.len());
    for key in worker.serving_jobs.keys() {
        let (near, peak) = levels.forecast(key, now, AHEAD);
        match strains.iter_mut().find(|strain| strain.image == key.1) {
            Some(strain) => {
                strain.near = strain.near.max(near);
                strain.peak = strain.peak.max(peak);
            }
            None => strains.push(ServingLoad {
                image: key.1,
                near,
                peak,
                harmless: 0.0,
                harmful: 0.0,
            }),
        }
    }
    for strain in &mut strains {
        (strain.harmful, strain.harmless) = added_by_all(known, strain.image, worker);
    }
    strains
}

/// What the filling tasks of a worker add to the load of a serving image when they all work at full
/// speed: first those that disturb it much, then the others.
pub(crate) fn added_by_all(known: &Interference, serving: Image, worker: &Worker) -> (f64, f64) {
    let capacity = worker.entry.size.cpu.max(1) as f64;
    let (mut harmful, mut harmless) = (0.0, 0.0);
    for (&filling, &cpu) in &worker.filling_images {
        let weight = known.weight(serving, filling);
        let added = weight * cpu as f64 / capacity;
        if weight >= HARMFUL_WEIGHT {
            harmful += added;
        } else {
            harmless += added;
        }
    }
    (harmful, harmless)
}
