//! Waves of plan_maintenance: each machine of a wave is emptied, goes down for a moment and comes back.

use {
    crate::{cell::Cell, worker::Worker},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// How long tasks that do not last may go on on a machine that is to go down, in milliseconds:
/// longer than most (their means are 1 to 2 s). After it their work is lost, which costs less than
/// a wave that is late.
const PATIENCE: u64 = 4_000;

/// A wave as the operators ask for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The machines.
    pub machines: Vec<Arc<str>>,
    /// How many of them may be down at once.
    pub limit: usize,
    /// Machines that an owner noted as done.
    pub done: Vec<Arc<str>>,
}

/// A machine as it is listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Its name, which outlives its workers.
    pub name: Arc<str>,
    /// It is up.
    pub up: bool,
    /// It is down for its upkeep.
    pub in_maintenance: bool,
    /// The name of its worker, while it is up.
    pub worker: Option<Arc<str>>,
}

/// An order to let a machine go down for its upkeep.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceOrder {
    /// The wave.
    pub wave: u64,
    /// The machine.
    pub machine: Arc<str>,
}

/// How far a wave is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveStatus {
    /// The wave.
    pub wave: u64,
    /// Machines that are done.
    pub done: Vec<Arc<str>>,
    /// All of them are.
    pub complete: bool,
}

/// What the owner knows of one wave.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    done: HashSet<Arc<str>>,
    /// Machines that went down, and what was known of them before.
    begun: HashMap<Arc<str>, Before>,
    /// Machines that are being emptied, and since when.
    closing: HashMap<Arc<str>, u64>,
}

/// What was known of a machine before it went down.
#[derive(Debug)]
struct Before {
    /// The name of its worker.
    worker: Option<Arc<str>>,
    /// The latest life of that.
    life: Option<Arc<str>>,
    /// It was listed as down for its upkeep since.
    was_down: bool,
}

impl Cell {
    /// Takes in the waves and the machines as they are, and returns what to order now.
    pub fn plan_maintenance(
        &mut self,
        waves: &[Wave],
        machines: &[Machine],
        now: u64,
    ) -> Vec<MaintenanceOrder> {
        let listed: BTreeMap<&str, &Machine> = machines
            .iter()
            .map(|machine| (&*machine.name, machine))
            .collect();
        self.note_closing(waves, &listed);
        let mut orders = Vec::new();
        for wave in waves {
            let mut progress = self.waves.remove(&wave.number).unwrap_or_default();
            progress.done.extend(wave.done.iter().cloned());
            self.note_done(wave, &mut progress, &listed);
            self.begin_emptying(wave, &mut progress, &listed, now);
            for machine in self.emptied(&progress, &listed, now) {
                let worker = listed[&*machine].worker.clone();
                let before = Before {
                    life: worker.as_deref().and_then(|name| self.life_of(name)),
                    worker,
                    was_down: false,
                };
                progress.closing.remove(&machine);
                progress.begun.insert(machine.clone(), before);
                orders.push(MaintenanceOrder {
                    wave: wave.number,
                    machine,
                });
            }
            self.waves.insert(wave.number, progress);
        }
        self.drain(now);
        orders
    }

    /// Notes which workers are emptied: those of machines that are to go down, whatever lives these have now. Others get
    /// work again: their wave was taken back by the operators, or their machine taken out of it. Nothing else tells; such
    /// a worker stood still for the rest of its life.
    fn note_closing(&mut self, waves: &[Wave], listed: &BTreeMap<&str, &Machine>) {
        self.waves
            .retain(|number, _| waves.iter().any(|wave| wave.number == *number));
        // Names of workers, and lives that are to end.
        let mut closing: HashSet<Arc<str>> = HashSet::new();
        let mut ending: HashSet<Arc<str>> = HashSet::new();
        for wave in waves {
            let Some(progress) = self.waves.get_mut(&wave.number) else {
                continue;
            };
            progress
                .closing
                .retain(|name, _| wave.machines.contains(name));
            for name in progress.closing.keys() {
                let machine = listed.get(&**name);
                closing.extend(machine.and_then(|machine| machine.worker.clone()));
            }
            let begun = progress.begun.values();
            ending.extend(begun.filter_map(|before| before.life.clone()));
        }
        for (id, worker) in &mut self.workers {
            let is_closing = closing.contains(&worker.entry.name) || ending.contains(id);
            if worker.draining == is_closing {
                continue;
            }
            log::info!(target: "cell", worker = &**id, closing = is_closing; "Whether a worker is emptied for its upkeep has changed.");
            worker.draining = is_closing;
            worker.changed = true;
        }
    }

    /// Takes in that an order was surely not carried out.
    pub fn maintenance_refused(&mut self, order: &MaintenanceOrder) {
        if let Some(progress) = self.waves.get_mut(&order.wave) {
            progress.begun.remove(&order.machine);
        }
    }

    /// How far the waves are.
    pub fn wave_statuses(&self, waves: &[Wave]) -> Vec<WaveStatus> {
        let mut standings = Vec::new();
        for wave in waves {
            let Some(progress) = self.waves.get(&wave.number) else {
                continue;
            };
            let mut done: Vec<Arc<str>> = progress.done.iter().cloned().collect();
            done.sort();
            standings.push(WaveStatus {
                wave: wave.number,
                complete: wave
                    .machines
                    .iter()
                    .all(|name| progress.done.contains(name)),
                done,
            });
        }
        standings
    }

    /// Begins to empty machines, as many as may be down at once.
    fn begin_emptying(
        &mut self,
        wave: &Wave,
        progress: &mut Progress,
        listed: &BTreeMap<&str, &Machine>,
        now: u64,
    ) {
        let under_way = progress.begun.len() + progress.closing.len();
        let mut room = wave.limit.saturating_sub(under_way);
        for name in &wave.machines {
            let is_under_way = progress.done.contains(name)
                || progress.begun.contains_key(name)
                || progress.closing.contains_key(name);
            if room == 0 || is_under_way {
                continue;
            }
            let Some(machine) = listed.get(&**name).filter(|machine| machine.up) else {
                continue;
            };
            if let Some(worker) = self.worker_of(machine) {
                worker.draining = true;
            }
            log::info!(target: "cell", wave = wave.number, machine = &**name; "A machine is emptied for its upkeep.");
            progress.closing.insert(name.clone(), now);
            room -= 1;
        }
    }

    /// Machines that may go down now.
    fn emptied(
        &self,
        progress: &Progress,
        listed: &BTreeMap<&str, &Machine>,
        now: u64,
    ) -> Vec<Arc<str>> {
        let mut emptied = Vec::new();
        for (name, &since) in &progress.closing {
            let Some(machine) = listed.get(&**name).filter(|machine| machine.up) else {
                continue;
            };
            let worker = machine.worker.as_deref();
            let worker = worker.and_then(|own| self.latest_incarnation(own));
            let is_patient = now < since + PATIENCE;
            let must_wait = |worker: &Worker| {
                worker.slots.iter().any(|(key, slot)| {
                    let lasts = self
                        .jobs
                        .get(&key.job)
                        .is_some_and(|job| job.progress.step(key.place).lasting);
                    lasts || is_patient || slot.stopping.is_some()
                })
            };
            if worker.is_none_or(|worker| !must_wait(worker)) {
                emptied.push(name.clone());
            }
        }
        emptied.sort();
        emptied
    }

    fn worker_of(&mut self, machine: &Machine) -> Option<&mut Worker> {
        let id = self.life_of(machine.worker.as_ref()?)?;
        self.workers.get_mut(&id)
    }

    /// The latest known life of the worker of a name.
    fn life_of(&self, name: &str) -> Option<Arc<str>> {
        self.latest_incarnation(name)
            .map(|worker| worker.entry.id.clone())
    }

    /// Notes the machines that have come back with another worker or another life of theirs, or are not there any more.
    /// The worker may have the name that it had, so that a machine counts as back also where it was seen down for its upkeep.
    fn note_done(&self, wave: &Wave, progress: &mut Progress, listed: &BTreeMap<&str, &Machine>) {
        for name in &wave.machines {
            let Some(machine) = listed.get(&**name) else {
                progress.closing.remove(name);
                progress.begun.remove(name);
                progress.done.insert(name.clone());
                continue;
            };
            let Some(before) = progress.begun.get_mut(name) else {
                continue;
            };
            before.was_down |= machine.in_maintenance;
            let Some(worker) = machine.worker.as_ref().filter(|_| machine.up) else {
                continue;
            };
            let life = self.life_of(worker);
            let is_other_life = life.is_some() && before.life.is_some() && life != before.life;
            let is_other = before.worker.as_ref() != Some(worker);
            if is_other || is_other_life || before.was_down {
                progress.begun.remove(name);
                progress.done.insert(name.clone());
            }
        }
    }
}
