//! Maintenance waves: each machine of a wave is drained, goes down for maintenance and returns.

use {
    crate::{cell::Cell, worker::Worker},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// How long batch tasks may continue on a machine that is about to go down, in milliseconds. This
/// is longer than most of them take, with means of 1 to 2 s. After that their work is lost, which
/// costs less than a delayed wave.
const DRAIN_TIMEOUT: u64 = 4_000;

/// A maintenance wave as requested by the operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// The number of the wave.
    pub number: u64,
    /// The machines.
    pub machines: Vec<Arc<str>>,
    /// How many of them may be down at once.
    pub limit: usize,
    /// Machines that an owner has recorded as done.
    pub done: Vec<Arc<str>>,
}

/// A listed machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Its name, which stays the same when its worker changes.
    pub name: Arc<str>,
    /// It is up.
    pub up: bool,
    /// It is down for maintenance.
    pub in_maintenance: bool,
    /// The name of its worker, while it is up.
    pub worker: Option<Arc<str>>,
}

/// An order to take a machine down for maintenance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceOrder {
    /// The number of the wave.
    pub wave: u64,
    /// The machine.
    pub machine: Arc<str>,
}

/// The progress of a wave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveStatus {
    /// The number of the wave.
    pub wave: u64,
    /// Machines that are done.
    pub done: Vec<Arc<str>>,
    /// All machines are done.
    pub complete: bool,
}

/// The owner's state of a wave.
#[derive(Debug, Default)]
pub(crate) struct WaveState {
    done: HashSet<Arc<str>>,
    /// Machines that went down, with their state before.
    started: HashMap<Arc<str>, PriorState>,
    /// Machines that are being drained, and since when.
    draining: HashMap<Arc<str>, u64>,
}

/// The state of a machine before it went down.
#[derive(Debug)]
struct PriorState {
    /// The name of its worker.
    worker: Option<Arc<str>>,
    /// The id of the latest incarnation of that worker.
    incarnation: Option<Arc<str>>,
    /// It has been listed as down for maintenance since.
    was_down: bool,
}

impl Cell {
    /// Processes the current waves and machines. Returns the orders to take machines down.
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
        self.update_draining(waves, &listed);
        let mut orders = Vec::new();
        for wave in waves {
            let mut progress = self.waves.remove(&wave.number).unwrap_or_default();
            progress.done.extend(wave.done.iter().cloned());
            self.update_done(wave, &mut progress, &listed);
            self.start_draining(wave, &mut progress, &listed, now);
            for machine in self.drained(&progress, &listed, now) {
                let worker = listed[&*machine].worker.clone();
                let before = PriorState {
                    incarnation: worker.as_deref().and_then(|name| self.incarnation_of(name)),
                    worker,
                    was_down: false,
                };
                progress.draining.remove(&machine);
                progress.started.insert(machine.clone(), before);
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

    /// Updates which workers are drained: those of machines that are about to go down, whatever
    /// their current incarnation is. Others get work again, since the operators have cancelled
    /// their wave or removed the machine from it. This is the only sign of that; without it such a
    /// worker would get no work until it ends.
    fn update_draining(&mut self, waves: &[Wave], listed: &BTreeMap<&str, &Machine>) {
        self.waves
            .retain(|number, _| waves.iter().any(|wave| wave.number == *number));
        // Names of workers to drain, and ids of incarnations that are about to end.
        let mut draining: HashSet<Arc<str>> = HashSet::new();
        let mut ending: HashSet<Arc<str>> = HashSet::new();
        for wave in waves {
            let Some(progress) = self.waves.get_mut(&wave.number) else {
                continue;
            };
            progress
                .draining
                .retain(|name, _| wave.machines.contains(name));
            for name in progress.draining.keys() {
                let machine = listed.get(&**name);
                draining.extend(machine.and_then(|machine| machine.worker.clone()));
            }
            let started = progress.started.values();
            ending.extend(started.filter_map(|before| before.incarnation.clone()));
        }
        for (id, worker) in &mut self.workers {
            let is_draining = draining.contains(&worker.entry.name) || ending.contains(id);
            if worker.draining == is_draining {
                continue;
            }
            log::info!(target: "cell", worker = &**id, closing = is_draining; "Draining state of a worker changed.");
            worker.draining = is_draining;
            worker.changed = true;
        }
    }

    /// Handles an order that was surely not carried out.
    pub fn maintenance_refused(&mut self, order: &MaintenanceOrder) {
        if let Some(progress) = self.waves.get_mut(&order.wave) {
            progress.started.remove(&order.machine);
        }
    }

    /// Returns the progress of the waves.
    pub fn wave_statuses(&self, waves: &[Wave]) -> Vec<WaveStatus> {
        let mut statuses = Vec::new();
        for wave in waves {
            let Some(progress) = self.waves.get(&wave.number) else {
                continue;
            };
            let mut done: Vec<Arc<str>> = progress.done.iter().cloned().collect();
            done.sort();
            statuses.push(WaveStatus {
                wave: wave.number,
                complete: wave
                    .machines
                    .iter()
                    .all(|name| progress.done.contains(name)),
                done,
            });
        }
        statuses
    }

    /// Starts to drain machines, as many as may be down at once.
    fn start_draining(
        &mut self,
        wave: &Wave,
        progress: &mut WaveState,
        listed: &BTreeMap<&str, &Machine>,
        now: u64,
    ) {
        let in_progress = progress.started.len() + progress.draining.len();
        let mut remaining = wave.limit.saturating_sub(in_progress);
        for name in &wave.machines {
            let is_started = progress.done.contains(name)
                || progress.started.contains_key(name)
                || progress.draining.contains_key(name);
            if remaining == 0 || is_started {
                continue;
            }
            let Some(machine) = listed.get(&**name).filter(|machine| machine.up) else {
                continue;
            };
            if let Some(worker) = self.worker_of(machine) {
                worker.draining = true;
            }
            log::info!(target: "cell", wave = wave.number, machine = &**name; "Draining a machine for maintenance.");
            progress.draining.insert(name.clone(), now);
            remaining -= 1;
        }
    }

    /// Returns the machines that may go down now.
    fn drained(
        &self,
        progress: &WaveState,
        listed: &BTreeMap<&str, &Machine>,
        now: u64,
    ) -> Vec<Arc<str>> {
        let mut drained = Vec::new();
        for (name, &since) in &progress.draining {
            let Some(machine) = listed.get(&**name).filter(|machine| machine.up) else {
                continue;
            };
            let worker = machine.worker.as_deref();
            let worker = worker.and_then(|name| self.latest_incarnation(name));
            let is_within_timeout = now < since + DRAIN_TIMEOUT;
            let must_wait = |worker: &Worker| {
                worker.slots.iter().any(|(key, slot)| {
                    let is_long_running = self
                        .jobs
                        .get(&key.job)
                        .is_some_and(|job| job.progress.step(key.place).lasting);
                    is_long_running || is_within_timeout || slot.stopping.is_some()
                })
            };
            if worker.is_none_or(|worker| !must_wait(worker)) {
                drained.push(name.clone());
            }
        }
        drained.sort();
        drained
    }

    fn worker_of(&mut self, machine: &Machine) -> Option<&mut Worker> {
        let id = self.incarnation_of(machine.worker.as_ref()?)?;
        self.workers.get_mut(&id)
    }

    /// Returns the id of the latest known incarnation of a worker name.
    fn incarnation_of(&self, name: &str) -> Option<Arc<str>> {
        self.latest_incarnation(name)
            .map(|worker| worker.entry.id.clone())
    }

    /// Records machines as done that have returned with another worker or another incarnation of
    /// theirs, or that are no longer listed. The worker may keep its id, so a machine also counts
    /// as returned if it has been seen down for maintenance.
    fn update_done(
        &self,
        wave: &Wave,
        progress: &mut WaveState,
        listed: &BTreeMap<&str, &Machine>,
    ) {
        for name in &wave.machines {
            let Some(machine) = listed.get(&**name) else {
                progress.draining.remove(name);
                progress.started.remove(name);
                progress.done.insert(name.clone());
                continue;
            };
            let Some(before) = progress.started.get_mut(name) else {
                continue;
            };
            before.was_down |= machine.in_maintenance;
            let Some(worker) = machine.worker.as_ref().filter(|_| machine.up) else {
                continue;
            };
            let incarnation = self.incarnation_of(worker);
            let is_other_incarnation = incarnation.is_some()
                && before.incarnation.is_some()
                && incarnation != before.incarnation;
            let is_other = before.worker.as_ref() != Some(worker);
            if is_other || is_other_incarnation || before.was_down {
                progress.started.remove(name);
                progress.done.insert(name.clone());
            }
        }
    }
}
