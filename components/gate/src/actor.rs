//! Actor that owns the backend server pool and the queues of requests waiting for a slot.

use {
    crate::{balancing::Balancer, pool::Pool, retry_budget::RetryBudget},
    burn::{Counts, Series, report::Sample},
    infra::boxes::List,
    kernel::{
        Failure,
        actor::Responder,
        stakker::{CX, after},
        verdict::Cause,
        wall_clock,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
    table::{Kind, Table},
};

/// Interval at which waiting requests are checked for expired deadlines.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of waiting requests per slot of the class.
const MAX_WAITING_PER_SLOT: usize = 4;

/// A slot on a backend server, assigned to one request.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Index of the server in the [`Pool`].
    pub index: usize,
    /// Name of the server.
    pub server: Arc<str>,
    /// Base URL of the server.
    pub url: Arc<str>,
}

/// Parameters of a request for a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Class of work, a row of the table.
    pub class: Arc<str>,
    /// Time after which the caller no longer waits for a response.
    pub deadline: Instant,
    /// Pool indexes of the servers that earlier attempts were sent to.
    pub tried: Vec<usize>,
}

struct WaitingRequest {
    request: SlotRequest,
    responder: Responder<Result<Slot, Failure>>,
}

/// State of the gate actor.
pub struct Gate {
    name: Arc<str>,
    hall: Arc<str>,
    pool: Pool,
    balancer: Box<dyn Balancer>,
    retry_budget: RetryBudget,
    table: Arc<Table>,
    waiting: BTreeMap<Arc<str>, VecDeque<WaitingRequest>>,
    series: BTreeMap<Arc<str>, Series>,
    /// True while the sweep timer is armed.
    sweeping: bool,
    listed: bool,
}

impl Gate {
    /// Creates a gate without servers and without a table.
    pub fn new(name: Arc<str>, hall: Arc<str>, balancer: Box<dyn Balancer>) -> Self {
        Gate {
            name,
            hall,
            pool: Pool::default(),
            balancer,
            retry_budget: RetryBudget::default(),
            table: Arc::default(),
            waiting: BTreeMap::new(),
            series: BTreeMap::new(),
            sweeping: false,
            listed: false,
        }
    }

    /// Updates the pool from a new list of boxes and assigns new slots to waiting requests.
    pub fn set_list(&mut self, list: &List, now: Instant) {
        self.listed = true;
        self.pool.update(list, &self.name);
        let classes: Vec<Arc<str>> = self.waiting.keys().cloned().collect();
        for class in classes {
            self.dispatch_waiting(&class, now);
        }
    }

    /// Installs a table; a table that is not newer than the current one is ignored.
    pub fn set_table(&mut self, table: Arc<Table>) {
        if table.version <= self.table.version {
            return;
        }
        metrics::gauge!("magpie_table_version").set(table.version as f64);
        self.table = table;
    }

    /// Version of the current table; 0 without one.
    pub fn table_version(&self) -> u64 {
        self.table.version
    }

    /// True once both a table and a list of boxes have been received.
    pub fn is_ready(&self) -> bool {
        self.listed && self.table.version > 0
    }

    /// Returns the backend servers.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Adds a caller's request to the retry budget.
    pub fn record_request(&mut self) {
        self.retry_budget.deposit();
    }

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    pub fn take_retry(&mut self) -> bool {
        let taken = self.retry_budget.try_take();
        if taken {
            metrics::counter!("magpie_gate_retries_total").increment(1);
        }
        taken
    }

    /// Responds with a slot, either immediately or when one becomes free before the deadline. A
    /// request that cannot get a slot in time is refused immediately.
    pub fn acquire_slot(
        &mut self,
        cx: CX![],
        request: SlotRequest,
        responder: Responder<Result<Slot, Failure>>,
    ) {
        let now = cx.now();
        if let Err(failure) = self.validate(&request) {
            return responder.send(Err(failure));
        }
        if let Some(slot) = self.find_slot(&request, now) {
            return responder.send(Ok(slot));
        }
        if let Some(failure) = self.queue_refusal(&request, now) {
            metrics::counter!("magpie_gate_shed_total").increment(1);
            return responder.send(Err(failure));
        }
        let queue = self.waiting.entry(request.class.clone()).or_default();
        queue.push_back(WaitingRequest { request, responder });
        self.schedule_sweep(cx);
    }

    /// Arms the sweep timer if requests are waiting.
    fn schedule_sweep(&mut self, cx: CX![]) {
        let has_waiting = self.waiting.values().any(|queue| !queue.is_empty());
        if has_waiting && !self.sweeping {
            self.sweeping = true;
            after!(SWEEP_INTERVAL, [cx], sweep());
        }
    }

    fn validate(&self, request: &SlotRequest) -> Result<(), Failure> {
        let invalid = |text: String| Err(Failure::not_run(Cause::Invalid, text));
        match self.table.rows.get(&request.class) {
            None => invalid(format!("no row of the table is named '{}'", request.class)),
            Some(row) if row.kind != Kind::Service => invalid(format!(
                "class '{}' is {} work, not a service",
                request.class, row.kind
            )),
            Some(_) => Ok(()),
        }
    }

    /// Assigns a slot on an available server that was not tried before, preferring servers in this
    /// gate's data hall.
    fn find_slot(&mut self, request: &SlotRequest, now: Instant) -> Option<Slot> {
        let mut local = Vec::new();
        let mut remote = Vec::new();
        for index in self.pool.of_class(&request.class) {
            let server = self.pool.server(*index);
            if !server.is_available(now) || request.tried.contains(index) {
                continue;
            }
            let list = if server.hall == self.hall {
                &mut local
            } else {
                &mut remote
            };
            list.push(*index);
        }
        let candidates = if local.is_empty() { &remote } else { &local };
        if candidates.is_empty() {
            return None;
        }
        let index = self.balancer.choose(candidates, &self.pool);
        let server = self.pool.server_mut(index);
        server.in_flight += 1;
        Some(Slot {
            index,
            server: server.name.clone(),
            url: server.url.clone(),
        })
    }

    /// Returns the failure for a request that must not wait: its class has no slots, the queue is
    /// full, or the expected wait exceeds the deadline.
    fn queue_refusal(&self, request: &SlotRequest, now: Instant) -> Option<Failure> {
        let class = &request.class;
        let slots = self.pool.slots(class) as usize;
        let busy = |text: &str| {
            Some(Failure::not_run(
                Cause::Busy,
                format!("class {class}: {text}"),
            ))
        };
        if slots == 0 {
            return busy("no backend server takes requests now");
        }
        let ahead = self.waiting.get(class).map_or(0, VecDeque::len);
        if ahead >= slots * MAX_WAITING_PER_SLOT {
            return busy("too many requests wait");
        }
        let expected_wait = self
            .mean_latency(class)
            .mul_f64((ahead + 1) as f64 / slots as f64);
        if now + expected_wait > request.deadline {
            return busy("the deadline comes before the request's turn");
        }
        None
    }

    fn mean_latency(&self, class: &str) -> Duration {
        let servers = self.pool.of_class(class);
        let sum: f64 = servers
            .iter()
            .map(|index| self.pool.server(*index).latency)
            .sum();
        Duration::from_secs_f64(sum / servers.len().max(1) as f64)
    }

    /// Records the result of a request and passes its slot to the next waiting request.
    pub fn release_slot(&mut self, index: usize, latency: Duration, ok: bool, now: Instant) {
        self.pool.record_result(index, latency, ok, now);
        let class = self.pool.server(index).class.clone();
        self.dispatch_waiting(&class, now);
    }

    /// Marks a server as leaving after it refused a request for that reason. The list of boxes
    /// reports this later.
    pub fn mark_leaving(&mut self, index: usize) {
        self.pool.server_mut(index).leaving = true;
    }

    fn dispatch_waiting(&mut self, class: &Arc<str>, now: Instant) {
        while let Some(waiting) = self.waiting.get_mut(class).and_then(VecDeque::pop_front) {
            match self.find_slot(&waiting.request, now) {
                Some(slot) => waiting.responder.send(Ok(slot)),
                None => {
                    if let Some(queue) = self.waiting.get_mut(class) {
                        queue.push_front(waiting);
                    }
                    return;
                }
            }
        }
    }

    /// Refuses waiting requests whose deadline has passed, with the verdict "not run".
    fn sweep(&mut self, cx: CX![]) {
        self.sweeping = false;
        let now = cx.now();
        for queue in self.waiting.values_mut() {
            for waiting in std::mem::take(queue) {
                if waiting.request.deadline > now {
                    queue.push_back(waiting);
                    continue;
                }
                metrics::counter!("magpie_gate_shed_total").increment(1);
                let text = "no backend server had room before the deadline";
                waiting
                    .responder
                    .send(Err(Failure::not_run(Cause::Busy, text)));
            }
        }
        self.schedule_sweep(cx);
    }

    /// Counts a caller's request in the burn-rate series of its class. `latency` includes the time
    /// in the queue.
    pub fn record_outcome(&mut self, class: &Arc<str>, latency: Duration, answered: bool) {
        let Some(target) = self.table.rows.get(class).and_then(|row| row.target) else {
            return;
        };
        let slow = answered && latency > Duration::from_millis(u64::from(target));
        let counts = Counts {
            total: 1,
            slow: u64::from(slow),
            failed: u64::from(!answered),
        };
        self.series
            .entry(class.clone())
            .or_default()
            .add(wall_clock::seconds(), counts);
    }

    /// Returns this gate's targets and series for the burn-rate report.
    pub fn sample(&self) -> Sample {
        let target = |(class, row): (&Arc<str>, &table::Row)| Some((class.clone(), row.target?));
        Sample {
            gate: self.name.clone(),
            targets: self.table.rows.iter().filter_map(target).collect(),
            series: self.series.clone(),
        }
    }
}
