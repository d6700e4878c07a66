//! Stand-in for the users' machine service: it lists machines and carries out orders to take them
//! down for maintenance, in the operators' maintenance waves.
//!
//! It speaks the protocol of the users' platform, so the names on the wire are that platform's. It
//! records the fencing tokens of all orders but does not check them.

use {
    crate::{
        http_server::{self, ServerRequest, ServerResponse, reply},
        kv::{Kv, decode},
    },
    kernel::{Reply, sync::lock, task},
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 256;
/// Machines per page of the listing; few, so that readers have to follow the pages.
const PAGE_MACHINES: usize = 4;
/// Key prefix of the operators' maintenance waves.
const WAVES: &str = "op/wave/";
/// Pause before an accepted maintenance is tried again on a machine that is down for another
/// reason.
const BEGIN_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The machines behind the service. They are identified by their index in [`Host::names`].
pub trait Host: Send + Sync + 'static {
    /// Returns the names of all machines, in a fixed order.
    fn names(&self) -> Vec<String>;

    /// Returns the fields of a machine in the listing besides its name and its state.
    fn describe(&self, machine: usize) -> Value;

    /// True while a worker runs on the machine.
    fn is_up(&self, machine: usize) -> bool;

    /// Ends the worker of the machine. Returns false if the machine is not up.
    fn take_down(&self, machine: usize) -> bool;

    /// Starts a worker on the machine after its maintenance.
    fn bring_up(&self, machine: usize);

    /// Is told about an order when it arrives.
    fn ordered(&self, order: &Order);
}

/// An order to take a machine down that reached the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// When it arrived.
    pub at: Instant,
    /// The machine's name as in the order.
    pub machine: String,
    /// The number of the wave.
    pub wave: u64,
    /// The name of the sender, from the lease header.
    pub holder: String,
    /// The fencing token of the sender.
    pub fence: u64,
    /// The status with which it was answered; 0 if it was lost.
    pub status: u16,
    /// A fault delivered this order a second time.
    pub is_copy: bool,
}

/// The maintenance of a machine for a wave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Maintenance {
    /// The index of the machine.
    pub machine: usize,
    /// The number of the wave.
    pub wave: u64,
    /// When the machine went down.
    pub began: Instant,
    /// When the machine came back; `None` while it is down.
    pub ended: Option<Instant>,
}

/// Everything that reached or happened to the machines, in order.
#[derive(Debug, Clone, Default)]
pub struct MachineLog {
    /// The orders.
    pub orders: Vec<Order>,
    /// The maintenance of machines.
    pub maintenance: Vec<Maintenance>,
}

/// Faults of the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Number of further orders that are not carried out and get no response.
    pub lost: u32,
    /// Number of further orders that are carried out at once but answered late.
    pub late: u32,
    /// How late these are answered.
    pub answer_delay: Duration,
    /// Number of further orders that are delivered a second time.
    pub doubled: u32,
    /// Time from the first delivery of such an order to the second one.
    pub copy_delay: Duration,
    /// Time from the arrival of an order until it is carried out and answered.
    pub begin_delay: Duration,
}

/// What happens to an order besides being carried out.
#[derive(Default)]
struct Fate {
    is_lost: bool,
    begin_delay: Duration,
    answer_delay: Duration,
    copy_after: Option<Duration>,
}

impl Faults {
    /// Draws on the pending faults for one order.
    fn take_fate(&mut self) -> Fate {
        let mut fate = Fate {
            begin_delay: self.begin_delay,
            ..Fate::default()
        };
        if self.lost > 0 {
            self.lost -= 1;
            fate.is_lost = true;
            return fate;
        }
        if self.late > 0 {
            self.late -= 1;
            fate.answer_delay = self.answer_delay;
        }
        if self.doubled > 0 {
            self.doubled -= 1;
            fate.copy_after = Some(self.copy_delay);
        }
        fate
    }
}

/// The service's record of one machine.
#[derive(Default)]
struct Machine {
    /// The waves for which an order was accepted.
    accepted: BTreeSet<u64>,
    /// An accepted maintenance has not ended yet.
    is_pending: bool,
    /// The machine is down for maintenance.
    is_down: bool,
}

#[derive(Default)]
struct State {
    machines: Vec<Machine>,
    log: MachineLog,
    faults: Faults,
}

/// The machine service.
#[derive(Clone)]
pub struct Machines {
    state: Arc<Mutex<State>>,
    host: Arc<dyn Host>,
    kv: Kv,
    names: Arc<[String]>,
    maintenance_time: Duration,
}

impl Machines {
    /// Creates the service; the machines of `host` are down for `maintenance_time` each. The
    /// operators' waves are read from `kv`.
    pub fn new(kv: &Kv, host: Arc<dyn Host>, maintenance_time: Duration) -> Self {
        let names: Arc<[String]> = host.names().into();
        let state = State {
            machines: names.iter().map(|_| Machine::default()).collect(),
            ..State::default()
        };
        Machines {
            state: Arc::new(Mutex::new(state)),
            host,
            kv: kv.clone(),
            names,
            maintenance_time,
        }
    }

    /// Opens the HTTP server and returns its base URL.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn open(&self, address: SocketAddr) -> io::Result<String> {
        let service = self.clone();
        http_server::open(address, MAX_CONNECTIONS, move |request| {
            service.handle(&request)
        })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns everything recorded so far.
    pub fn log(&self) -> MachineLog {
        lock(&self.state).log.clone()
    }

    /// True while any machine is down for maintenance.
    pub fn is_any_down(&self) -> bool {
        let state = lock(&self.state);
        state.machines.iter().any(|machine| machine.is_pending)
    }

    fn handle(&self, request: &ServerRequest) -> ServerResponse {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machines") => self.list(request).into(),
            ("POST", "/machine-upkeep") => self.order(request),
            _ => reply(404, &json!({})).into(),
        }
    }

    fn list(&self, request: &ServerRequest) -> Reply {
        let from = request.number("pageToken") as usize;
        let until = self.names.len().min(from + PAGE_MACHINES);
        let mut machines = Vec::new();
        for index in from..until {
            let mut machine = self.host.describe(index);
            machine["machine"] = self.names[index].as_str().into();
            machine["state"] = self.state_of(index).into();
            machines.push(machine);
        }
        let mut page = json!({ "machines": machines });
        if until < self.names.len() {
            page["nextPageToken"] = until.to_string().into();
        }
        reply(200, &page)
    }

    fn state_of(&self, index: usize) -> &'static str {
        if lock(&self.state).machines[index].is_down {
            return "upkeep";
        }
        match self.host.is_up(index) {
            true => "up",
            false => "down",
        }
    }

    fn order(&self, request: &ServerRequest) -> ServerResponse {
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return reply(400, &json!({})).into();
        };
        let order = Order {
            at: Instant::now(),
            machine: body["machine"].as_str().unwrap_or_default().to_owned(),
            wave: body["wave"].as_u64().unwrap_or(0),
            holder: request.header("lease-holder").to_owned(),
            fence: request.header("fencing-token").parse().unwrap_or(0),
            status: 0,
            is_copy: false,
        };
        let fate = lock(&self.state).faults.take_fate();
        self.host.ordered(&order);
        if fate.is_lost {
            lock(&self.state).log.orders.push(order);
            return ServerResponse::Disconnect;
        }
        thread::sleep(fate.begin_delay);
        let answer = self.carry_out(order.clone());
        if let Some(delay) = fate.copy_after {
            self.deliver_again(order, delay);
        }
        thread::sleep(fate.answer_delay);
        answer.into()
    }

    /// Delivers an order a second time; nobody gets its response.
    fn deliver_again(&self, order: Order, delay: Duration) {
        let service = self.clone();
        let deliver = move || {
            thread::sleep(delay);
            service.carry_out(Order {
                at: Instant::now(),
                is_copy: true,
                ..order
            });
        };
        if let Err(error) = task::spawn("order copy", deliver) {
            log::error!(target: "standin", error:% = error; "An order could not be delivered a second time.");
        }
    }

    /// Carries out an order and records it with its status.
    fn carry_out(&self, mut order: Order) -> Reply {
        let is_member = self.is_member(&order);
        let index = self.names.iter().position(|name| *name == order.machine);
        let mut state = lock(&self.state);
        let refuse = |reason: &str| reply(409, &json!({ "reason": reason }));
        let answer = match index.map(|index| (index, &mut state.machines[index])) {
            None => reply(400, &json!({})),
            Some(_) if !is_member => refuse("wave"),
            Some((_, machine)) if machine.accepted.contains(&order.wave) => reply(200, &json!({})),
            Some((index, machine)) if machine.is_pending || !self.host.is_up(index) => {
                refuse("busy")
            }
            Some((index, machine)) => {
                machine.accepted.insert(order.wave);
                machine.is_pending = true;
                self.run_maintenance(&mut state, index, order.wave);
                reply(200, &json!({}))
            }
        };
        order.status = answer.status;
        state.log.orders.push(order);
        answer
    }

    /// True if the operators' wave of an order contains its machine.
    fn is_member(&self, order: &Order) -> bool {
        let value = self.kv.value(&format!("{WAVES}{}", order.wave));
        let wave = decode(&value.unwrap_or_default());
        let wave: Value = serde_json::from_slice(&wave).unwrap_or_default();
        let machines = wave["machines"].as_array();
        machines.is_some_and(|all| all.iter().any(|name| *name == order.machine))
    }

    /// Takes a machine down and later brings it up again.
    fn run_maintenance(&self, state: &mut State, index: usize, wave: u64) {
        // The machine may have gone down for another reason at this moment.
        let mut is_down = self.begin(state, index, wave);
        let service = self.clone();
        let run = move || {
            while !is_down {
                thread::sleep(BEGIN_RETRY_PAUSE);
                is_down = service.begin(&mut lock(&service.state), index, wave);
            }
            thread::sleep(service.maintenance_time);
            service.end(index, wave);
        };
        if let Err(error) = task::spawn("maintenance", run) {
            log::error!(target: "standin", error:% = error; "The maintenance of a machine could not be started.");
        }
    }

    fn begin(&self, state: &mut State, index: usize, wave: u64) -> bool {
        if !self.host.take_down(index) {
            return false;
        }
        state.machines[index].is_down = true;
        state.log.maintenance.push(Maintenance {
            machine: index,
            wave,
            began: Instant::now(),
            ended: None,
        });
        true
    }

    fn end(&self, index: usize, wave: u64) {
        let mut state = lock(&self.state);
        self.host.bring_up(index);
        state.machines[index].is_down = false;
        state.machines[index].is_pending = false;
        let is_own = |own: &&mut Maintenance| {
            own.machine == index && own.wave == wave && own.ended.is_none()
        };
        if let Some(own) = state.log.maintenance.iter_mut().find(is_own) {
            own.ended = Some(Instant::now());
        }
    }
}
