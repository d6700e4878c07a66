//! Maintenance waves: each machine of a wave is drained, goes down for maintenance and returns.

mod progress;

use {
    crate::{cell::Cell, worker::Worker},
    std::{
        collections::{BTreeMap, HashSet},
        sync::Arc,
    },
};

pub use progress::ORDER_LIFETIME;
pub(crate) use progress::{OrderState, WaveState};

/// How long batch tasks may continue on a machine that is about to go down, in milliseconds. This
/// is longer than most of them take, with means of 1 to 2 s. After that their work is lost, which
/// costs less than a delayed wave.
const DRAIN_TIMEOUT: u64 = 4_000;

/// A maintenance wave as requested by the operators, with the notes of its owners.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Wave {
    /// The number of the wave.
    pub number: u64,
    /// The machines.
    pub machines: Vec<Arc<str>>,
    /// How many of them may be down at once.
    pub limit: usize,
    /// Machines that an owner has recorded as done.
    pub done: Vec<Arc<str>>,
    /// Machines whose order was about to be sent, and of which nothing else is known.
    pub sent: Vec<Arc<str>>,
    /// Machines whose maintenance has begun.
    pub begun: Vec<Arc<str>>,
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

/// The outcome of a maintenance order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceOutcome {
    /// The maintenance has begun, or is over.
    Begun,
    /// The order surely had no effect.
    Refused,
    /// The order may have been carried out, or may still be.
    Unknown,
}

/// The progress of a wave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveStatus {
    /// The number of the wave.
    pub wave: u64,
    /// Machines that are done.
    pub done: Vec<Arc<str>>,
    /// Machines whose order may be out, and of which nothing else is known.
    pub sent: Vec<Arc<str>>,
    /// Machines whose maintenance has surely begun, and that are not done.
    pub begun: Vec<Arc<str>>,
    /// All machines are done or have left the fleet.
    pub complete: bool,
}

impl Cell {
    /// Processes the current waves and machines. Returns the orders to take machines down. They
    /// must be in the notes of the wave before they are sent, see [`Cell::wave_statuses`]; the
    /// notes must have been read before the machines were listed.
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
        self.waves
            .retain(|number, _| waves.iter().any(|wave| wave.number == *number));
        let shared = shared_machines(waves);
        for wave in waves {
            let progress = self.waves.entry(wave.number).or_default();
            progress.update(wave, &listed, &shared, now);
        }
        let mut orders = Vec::new();
        for wave in waves {
            let mut progress = self.waves.remove(&wave.number).unwrap_or_default();
            self.start_draining(wave, &mut progress, &listed, now);
            for (machine, since) in self.drained(&progress, &listed, now) {
                if progress.others_down(&machine, wave, &listed, now) >= wave.limit {
                    continue;
                }
                let worker = listed[&*machine].worker.as_deref();
                let incarnation = worker.and_then(|name| self.incarnation_of(name));
                progress.record_order(&machine, incarnation, since, now);
                orders.push(MaintenanceOrder {
                    wave: wave.number,
                    machine,
                });
            }
            self.waves.insert(wave.number, progress);
        }
        self.update_draining(&listed);
        self.drain(now);
        orders
    }

    /// Updates which workers are drained: those of machines that are about to go down, whatever
    /// their current incarnation is. Others get work again, since the operators have cancelled
    /// their wave or removed the machine from it. This is the only sign of that; without it such a
    /// worker would get no work until it ends.
    fn update_draining(&mut self, listed: &BTreeMap<&str, &Machine>) {
        // Names of workers to drain, and ids of incarnations that are about to end.
        let mut draining: HashSet<Arc<str>> = HashSet::new();
        let mut ending: HashSet<Arc<str>> = HashSet::new();
        for progress in self.waves.values() {
            for name in progress.draining.keys().chain(progress.orders.keys()) {
                let machine = listed.get(&**name).filter(|machine| machine.up);
                draining.extend(machine.and_then(|machine| machine.worker.clone()));
            }
            let orders = progress.orders.values();
            ending.extend(orders.filter_map(|order| order.incarnation.clone()));
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
        if let Some(state) = self.order_state(order) {
            state.refused = true;
        }
    }

    /// Handles the answer that the maintenance of a machine has begun or is over.
    pub fn maintenance_begun(&mut self, order: &MaintenanceOrder) {
        if let Some(state) = self.order_state(order) {
            state.begun = true;
        }
    }

    fn order_state(&mut self, order: &MaintenanceOrder) -> Option<&mut OrderState> {
        let progress = self.waves.get_mut(&order.wave)?;
        progress.orders.get_mut(&order.machine)
    }

    /// Returns the progress of the waves.
    pub fn wave_statuses(&self, waves: &[Wave]) -> Vec<WaveStatus> {
        let mut statuses = Vec::new();
        for wave in waves {
            let Some(progress) = self.waves.get(&wave.number) else {
                continue;
            };
            let with = |is_begun: bool| -> Vec<Arc<str>> {
                let orders = progress.orders.iter();
                orders
                    .filter(|(_, order)| order.begun == is_begun)
                    .map(|(name, _)| name.clone())
                    .collect()
            };
            statuses.push(WaveStatus {
                wave: wave.number,
                complete: progress.is_complete(wave),
                done: progress.done.iter().cloned().collect(),
                sent: with(false),
                begun: with(true),
            });
        }
        statuses
    }

    /// Starts to drain machines, as many as may be down at once.
    fn start_draining(
        &self,
        wave: &Wave,
        progress: &mut WaveState,
        listed: &BTreeMap<&str, &Machine>,
        now: u64,
    ) {
        let in_progress = progress.in_progress(wave, listed, now);
        let mut remaining = wave.limit.saturating_sub(in_progress);
        // A machine that is down for two waves at once would prove the maintenance of both.
        let is_taken = |name: &str| self.waves.values().any(|other| other.is_started(name));
        for name in &wave.machines {
            let is_begun = progress.done.contains(name) || progress.is_started(name);
            if remaining == 0 || is_begun || is_taken(name) {
                continue;
            }
            if !listed.get(&**name).is_some_and(|machine| machine.up) {
                continue;
            }
            log::info!(target: "cell", wave = wave.number, machine = &**name; "Draining a machine for maintenance.");
            progress.draining.insert(name.clone(), now);
            remaining -= 1;
        }
    }

    /// Returns the machines that may go down now, and since when they have been drained.
    fn drained(
        &self,
        progress: &WaveState,
        listed: &BTreeMap<&str, &Machine>,
        now: u64,
    ) -> Vec<(Arc<str>, u64)> {
        let mut drained = Vec::new();
        for (name, since) in progress.candidates(now) {
            let Some(machine) = listed.get(&*name).filter(|machine| machine.up) else {
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
            if worker.is_none_or(|worker| !self.may_hold_tasks(worker) && !must_wait(worker)) {
                drained.push((name, since));
            }
        }
        drained
    }

    /// True if a worker may run tasks of the former owner that this one does not know yet.
    fn may_hold_tasks(&self, worker: &Worker) -> bool {
        let recovery = self.recovery.as_ref();
        let is_missing =
            recovery.is_some_and(|recovery| recovery.missing.contains(&worker.entry.id));
        is_missing || worker.runs_pending
    }

    /// Returns the id of the latest known incarnation of a worker name.
    fn incarnation_of(&self, name: &str) -> Option<Arc<str>> {
        self.latest_incarnation(name)
            .map(|worker| worker.entry.id.clone())
    }
}

/// Returns the machines that several waves still have to take down.
fn shared_machines(waves: &[Wave]) -> HashSet<&str> {
    let mut seen = HashSet::new();
    let mut shared = HashSet::new();
    for wave in waves {
        for name in &wave.machines {
            if !wave.done.contains(name) && !seen.insert(&**name) {
                shared.insert(&**name);
            }
        }
    }
    shared
}
