//! Maintenance waves: the operators' requests, the machine service, and the faults that hit both.

pub mod draw;
pub mod hits;
pub mod rules;
pub mod settle;
#[cfg(test)]
mod tests;

use {
    crate::{plan::Fault, process::Process, worker::Worker},
    anyhow::Result,
    draw::{Request, WaveFault, max_down},
    hits::Hits,
    kernel::{sync::lock, wire},
    rules::Asked,
    serde_json::{Value, json},
    standin::{
        Kv, Machines,
        kv::{decode, encode},
        machines::{Faults, Host, MachineLog, Order},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// How long a machine is down for maintenance.
const MAINTENANCE_TIME: Duration = Duration::from_secs(2);
/// Key prefix of the waves that the operators request.
const WAVES: &str = "op/wave/";
/// Key prefix of the status of each wave.
const STATUS: &str = "status/wave/";
/// Key of the owner of the cell.
const OWNER_KEY: &str = "magpie/owner/0";
/// A worker may still be closed this long after the maintenance of its machine, and after the
/// completion of its wave: up to two listings of the machines and one of the workers.
const REOPEN_TIME: Duration = Duration::from_secs(5);

/// What the operators know of their waves.
#[derive(Default)]
struct Operators {
    /// Indices of the waves that are requested once the others leave room.
    pending: BTreeSet<usize>,
    /// The requested waves, by index.
    asked: BTreeMap<usize, Asked>,
    /// The active faults that concern waves.
    faults: Vec<WaveFault>,
}

/// The maintenance waves of a run.
pub struct Waves {
    kv: Kv,
    requests: Vec<Request>,
    /// The machine service; `None` in a run without waves.
    service: Option<Machines>,
    operators: Mutex<Operators>,
    max_down: usize,
    /// Hits on boxes.
    pub hits: Arc<Hits>,
}

/// The machines of a run, one for each worker.
struct Site {
    workers: Vec<Arc<Worker>>,
    hits: Arc<Hits>,
    keeps_ids: bool,
}

impl Host for Site {
    fn names(&self) -> Vec<String> {
        (0..self.workers.len()).map(machine_name).collect()
    }

    fn describe(&self, machine: usize) -> Value {
        let worker = &self.workers[machine];
        let entry = worker.entry();
        json!({
            "pool": entry["service"], "zone": entry["zone"], "labels": entry["labels"],
            "capacity": entry["capacity"], "id": worker.incarnation(),
        })
    }

    fn is_up(&self, machine: usize) -> bool {
        !self.workers[machine].runner.is_down()
    }

    fn take_down(&self, machine: usize) -> bool {
        self.workers[machine].begin_maintenance()
    }

    fn bring_up(&self, machine: usize) {
        self.workers[machine].end_maintenance(self.keeps_ids);
    }

    fn ordered(&self, order: &Order) {
        self.hits.apply_after_order(&order.holder);
    }
}

impl Waves {
    /// Creates the waves of a run. With `keeps_ids` workers return from maintenance under their
    /// former ids.
    pub fn new(kv: &Kv, requests: Vec<Request>, workers: &[Arc<Worker>], keeps_ids: bool) -> Self {
        let hits = Arc::new(Hits::default());
        let site = Site {
            workers: workers.to_vec(),
            hits: hits.clone(),
            keeps_ids,
        };
        let service = || Machines::new(kv, Arc::new(site), MAINTENANCE_TIME);
        Waves {
            kv: kv.clone(),
            service: (!requests.is_empty()).then(service),
            requests,
            operators: Mutex::default(),
            max_down: max_down(workers.len()),
            hits,
        }
    }

    /// Opens the machine service. Returns its address, or `None` in a run without waves.
    ///
    /// # Errors
    ///
    /// A port cannot be opened.
    pub fn open(&self) -> Result<Option<String>> {
        let Some(service) = &self.service else {
            return Ok(None);
        };
        let url = service.open(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Some(url.trim_start_matches("http://").to_owned()))
    }

    /// Sets the boxes that hits apply to.
    pub fn set_boxes(&self, boxes: &[Arc<Mutex<Process>>]) {
        self.hits.set_boxes(boxes.to_vec());
    }

    /// Begins a fault; hits last for `time`.
    pub fn start_fault(&self, fault: WaveFault, time: Duration) {
        match fault {
            WaveFault::Request(index) => {
                lock(&self.operators).pending.insert(index);
            }
            WaveFault::HitAfterOrder(hit) => self.hits.arm(hit, time),
            WaveFault::HitOwner(hit) => {
                if let Some(owner) = self.owner() {
                    self.hits.apply(&owner, hit, time);
                }
            }
            _ => {}
        }
    }

    /// Sets the conditions that last, from all active faults of the run.
    pub fn set_faults(&self, active: impl Iterator<Item = Fault>) {
        let active = active.filter_map(|fault| match fault {
            Fault::Wave(fault) => Some(fault),
            _ => None,
        });
        let active: Vec<WaveFault> = active.collect();
        let Some(service) = &self.service else {
            return;
        };
        let mut operators = lock(&self.operators);
        if operators.faults == active {
            return;
        }
        let mut faults = Faults::default();
        for fault in &active {
            match *fault {
                WaveFault::BeginsLate(millis) => faults.begin_delay = Duration::from_millis(millis),
                WaveFault::OrdersLost(count) => faults.lost = count,
                WaveFault::AnswersLate(count, millis) => {
                    faults.late = count;
                    faults.answer_delay = Duration::from_millis(millis);
                }
                WaveFault::OrdersDoubled(count, millis) => {
                    faults.doubled = count;
                    faults.copy_delay = Duration::from_millis(millis);
                }
                _ => {}
            }
        }
        service.set_faults(faults);
        operators.faults = active;
    }

    /// Requests the pending waves for which there is room, reads which waves are complete, and ends
    /// the hits that are over. Returns true if a hit began or ended.
    pub fn step(&self) -> bool {
        let mut operators = lock(&self.operators);
        for (index, asked) in &mut operators.asked {
            if asked.completed.is_none() && self.is_completed(&self.requests[*index]) {
                asked.completed = Some(Instant::now());
            }
        }
        while let Some(&index) = operators.pending.first() {
            if !self.has_room(&operators, &self.requests[index]) {
                break;
            }
            operators.pending.remove(&index);
            self.write(&self.requests[index]);
            operators.asked.insert(index, Asked::at(Instant::now()));
        }
        drop(operators);
        self.hits.step()
    }

    /// True if the operators may request a wave beside those that are not complete: no machine
    /// belongs to two of them, and not too many machines are down.
    fn has_room(&self, operators: &Operators, request: &Request) -> bool {
        let mut down = request.limit;
        for (index, asked) in &operators.asked {
            let other = &self.requests[*index];
            if asked.completed.is_some() {
                continue;
            }
            down += other.limit;
            let mut machines = request.machines.iter();
            if machines.any(|machine| other.machines.contains(machine)) {
                return false;
            }
        }
        down <= self.max_down
    }

    fn write(&self, request: &Request) {
        let names = request.machines.iter().copied().map(machine_name);
        let names: Vec<String> = names.collect();
        println!(
            "wave {}: {names:?}, at most {} at once",
            request.number, request.limit
        );
        let wave = json!({
            "wave": request.number, "machines": names, "upperLimit": request.limit,
            "durationS": settle::bound(request).as_secs(),
        });
        self.kv
            .put(&format!("{WAVES}{}", request.number), &encode(&wave));
    }

    fn is_completed(&self, request: &Request) -> bool {
        let value = self.kv.value(&format!("{STATUS}{}", request.number));
        let status = decode(&value.unwrap_or_default());
        let status: Value = serde_json::from_slice(&status).unwrap_or_default();
        status["state"] == "completed"
    }

    /// The name of the box that owns the cell, or that sent the last order.
    fn owner(&self) -> Option<String> {
        let value = self.kv.value(OWNER_KEY);
        let owner = value.and_then(|value| {
            let record: BTreeMap<String, String> = wire::decode(&decode(&value)).ok()?;
            record.get("name").cloned()
        });
        owner.or_else(|| Some(self.log().orders.last()?.holder.clone()))
    }

    /// Everything that reached or happened to the machines so far.
    pub fn log(&self) -> MachineLog {
        self.service.as_ref().map(Machines::log).unwrap_or_default()
    }

    /// True while a machine is down for maintenance.
    pub fn is_disruptive(&self) -> bool {
        self.service.as_ref().is_some_and(Machines::is_any_down)
    }

    /// The requested waves, with what the operators know of them.
    pub fn asked(&self) -> Vec<(&Request, Asked)> {
        let operators = lock(&self.operators);
        let asked = operators.asked.iter();
        asked
            .map(|(index, asked)| (&self.requests[*index], *asked))
            .collect()
    }

    /// True in a run with waves.
    pub fn is_used(&self) -> bool {
        self.service.is_some()
    }

    /// Number of waves that were not requested.
    pub fn unasked(&self) -> usize {
        self.requests.len() - lock(&self.operators).asked.len()
    }

    /// True if the worker of a machine may be closed for a wave: from the request until
    /// [`REOPEN_TIME`] after the maintenance or, without one, after the completion.
    pub fn may_be_closed(&self, machine: usize) -> bool {
        let log = self.log();
        let is_recent = |at: Instant| at.elapsed() < REOPEN_TIME;
        self.asked().into_iter().any(|(request, asked)| {
            let mut own = log.maintenance.iter();
            let own = own.find(|own| own.machine == machine && own.wave == request.number);
            let is_open = match own {
                Some(own) => own.ended.is_none_or(is_recent),
                None => asked.completed.is_none_or(is_recent),
            };
            request.machines.contains(&machine) && is_open
        })
    }
}

/// The name of a machine, which is also a label of its worker.
pub fn machine_name(machine: usize) -> String {
    format!("m{machine}")
}
