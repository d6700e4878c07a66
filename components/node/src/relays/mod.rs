//! The owner's registry of relays: which box polls which worker, and the commands and orders
//! in flight.

mod handover;
mod idle_requests;
mod relay;
mod text_budget;

use {
    self::{
        handover::Handovers,
        idle_requests::IdleRequests,
        relay::{Relay, START_BYTES, TEXT_BYTES, command_bytes, request_bytes},
        text_budget::TextBudget,
    },
    crate::{
        external::PollError,
        job_cache::JobCache,
        message::{Command, RelayRequest, RelayResponse, with_ready},
        report_delta::ReportDelta,
        settings::{MAX_IN_FLIGHT_MS, RELAY_MAX_INTERVAL_MS, RELAY_MIN_INTERVAL},
    },
    cell::{Entry, Order, Poll, Report},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// A box with at least this share of a core, in thousandths, is preferred as a relay.
const STRONG_SHARE: u32 = 300;
/// A relay without a request for this long, in milliseconds, is removed. Exchanges are 25 ms apart,
/// and leases of workers of 4.5 s leave enough time for another relay to take over.
const SILENCE_TIMEOUT: u64 = 1_200;
/// Checks for expired relays are 100 ms apart. After a gap longer than this, in milliseconds, the
/// owner itself was delayed.
const MAX_CHECK_GAP: u64 = 400;
/// After this time, in milliseconds, a worker may be assigned to a weak box of another hall: boxes
/// of its own hall send requests every 0.4 s.
const REMOTE_HALL_DELAY: u64 = 900;
/// After this time, in milliseconds, the owner itself connects to a worker that no relay has
/// capacity for: boxes send requests every 0.4 s.
const UNASSIGNED_TIMEOUT: u64 = 1_500;

/// Overhead of an exchange on the owner's link, in bytes each way: headers of HTTP and of the
/// messages.
const EXCHANGE_BYTES: u64 = 250;
/// The overhead may take one part in this many of the owner's link.
const EXCHANGE_FRACTION: u64 = 8;

/// The owner's need for further relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// None: the cell is small, and the owner connects to the workers itself.
    None,
    /// The cell is large.
    Large,
    /// The cell is large, and the owner connects to some workers itself because the relays lack
    /// capacity.
    Short,
}

/// All relays during one ownership of the cell.
#[derive(Default)]
pub struct Relays {
    by_name: HashMap<Arc<str>, Relay>,
    /// The number of sessions so far.
    sessions: u64,
    /// The time of the last check for expired relays, in milliseconds.
    last_check: u64,
    /// Orders without an answer yet, by number.
    orders: HashMap<u64, InFlight>,
    /// The number of the last order.
    last_order: u64,
    /// Workers without a relay, and since when.
    unassigned: Vec<(Entry, u64)>,
    /// Limits the specification texts that are sent.
    text_budget: TextBudget,
    /// Limits the requests of boxes that are not needed.
    idle_requests: IdleRequests,
    /// Workers of leaving relays that were given another connection.
    handovers: Handovers,
}

/// An order that a relay has not answered yet.
struct InFlight {
    relay: Arc<str>,
    worker: Arc<str>,
    order: Order,
}

/// The highest link capacity that is accepted from a request, in bytes per millisecond: 100 Gbit/s.
/// It keeps calculations with invalid requests from overflowing.
const MAX_LINK: u64 = 12_500_000;

impl Relays {
    /// Assigns a worker, which has waited since the time `since`, to a relay and returns the
    /// relay's name. Relays of the worker's data hall are preferred, since each start, poll and
    /// report would cross halls otherwise; among these, the least loaded. `None` if all are full;
    /// then the worker waits until one has capacity.
    pub fn assign(&mut self, entry: Entry, since: u64) -> Option<Arc<str>> {
        let candidates = self.by_name.iter_mut();
        let candidates = candidates.filter(|(_, relay)| relay.has_capacity());
        let load = |relay: &Relay| relay.workers.len() * 1_000 / relay.max_workers();
        let is_remote = |relay: &Relay| relay.hall != entry.hall;
        let best =
            candidates.min_by_key(|(name, relay)| (is_remote(relay), load(relay), (*name).clone()));
        let Some((name, relay)) = best else {
            self.unassigned.push((entry, since));
            return None;
        };
        let (name, id) = (name.clone(), entry.id.clone());
        relay.workers.insert(id.clone());
        relay.push(Command::Tend(entry.into()));
        self.hand_over(&id);
        Some(name)
    }

    /// True if a further worker can be assigned to a relay.
    pub fn has_capacity(&self) -> bool {
        self.by_name.values().any(Relay::has_capacity)
    }

    /// Removes and returns the workers that wait for a relay, and since when.
    pub fn take_unassigned(&mut self) -> Vec<(Entry, u64)> {
        std::mem::take(&mut self.unassigned)
    }

    /// Removes and returns the workers that have waited for longer than `UNASSIGNED_TIMEOUT`.
    pub fn take_overdue(&mut self, now: u64) -> Vec<Entry> {
        let mut overdue = Vec::new();
        for (entry, since) in std::mem::take(&mut self.unassigned) {
            if now < since + UNASSIGNED_TIMEOUT {
                self.unassigned.push((entry, since));
                continue;
            }
            overdue.push(entry);
        }
        overdue
    }

    /// Queues a poll of a worker for the relay `name`.
    pub fn poll(&mut self, name: &str, id: &Arc<str>, now: u64, poll: Poll) {
        if let Some(relay) = self.by_name.get_mut(name) {
            relay.push(Command::Poll(id.clone(), now, with_ready(poll)));
        }
    }

    /// Queues an order to a worker for the relay `name`.
    pub fn order(&mut self, name: &str, id: &Arc<str>, now: u64, order: Order) {
        let Some(relay) = self.by_name.get_mut(name) else {
            return;
        };
        self.last_order += 1;
        let in_flight = InFlight {
            relay: name.into(),
            worker: id.clone(),
            order: order.clone(),
        };
        self.orders.insert(self.last_order, in_flight);
        relay.starting_bytes += request_bytes(&order);
        match order {
            Order::Start(start) => {
                relay.send_text(&start, &mut self.text_budget);
                relay.start(id, self.last_order, now, &start);
            }
            order => relay.push(Command::Order(id.clone(), self.last_order, now, order)),
        }
    }

    /// Removes and returns the order that a relay has answered, with its worker; `None` if it was
    /// answered before.
    pub fn complete_order(&mut self, name: &str, number: u64) -> Option<(Arc<str>, Order)> {
        let InFlight { worker, order, .. } = self.orders.remove(&number)?;
        if let Some(relay) = self.by_name.get_mut(name) {
            relay.starting_bytes = relay.starting_bytes.saturating_sub(request_bytes(&order));
        }
        Some((worker, order))
    }

    /// The number of further starts that the owner, with this link, may decide. Work beyond the
    /// capacity of the links stays in the scheduler's queue, since on the wire more urgent work
    /// could not overtake it.
    pub fn start_budget(&self, link: u64) -> usize {
        let unacked: usize = self.by_name.values().map(|relay| relay.unacked_bytes).sum();
        let room = ((link * MAX_IN_FLIGHT_MS) as usize).saturating_sub(unacked);
        // On average every fourth start needs a text.
        let by_owner = room / (START_BYTES + TEXT_BYTES / 4);
        let staying = self.by_name.values().filter(|relay| !relay.is_leaving());
        if staying.clone().next().is_none() {
            return by_owner;
        }
        let by_relays: usize = staying.map(Relay::start_budget).sum();
        by_owner.min(by_relays)
    }

    /// Refills the budget for specification texts, for an owner with this link. It is unlimited
    /// while the store, from which relays would read the texts otherwise, fails.
    pub fn refill_text_budget(&mut self, link: u64, is_store_failing: bool, now: u64) {
        self.text_budget.refill(link, now);
        self.text_budget.is_unlimited = is_store_failing;
    }

    /// The workers of relays that send no further starts at present: they are leaving, or their
    /// links are saturated.
    pub fn busy_workers(&self) -> HashSet<Arc<str>> {
        let busy = self.by_name.values().filter(|relay| relay.is_busy());
        busy.flat_map(|relay| relay.workers.iter().cloned())
            .collect()
    }

    /// Restores the full report of a worker from the difference that a relay sent. All differences
    /// of a relay have to be passed in, in order.
    pub fn decode_report(
        &mut self,
        name: &str,
        id: &Arc<str>,
        result: Result<ReportDelta, PollError>,
    ) -> Result<Report, PollError> {
        let delta = result?;
        let mut unknown = Vec::new();
        let list = self.by_name.get_mut(name).map_or(&mut unknown, |relay| {
            relay.baselines.entry(id.clone()).or_default()
        });
        Ok(delta.apply(list))
    }

    /// Discards the previous report of a worker that the relay has released: the next one is
    /// complete.
    pub fn reset_baseline(&mut self, name: &str, id: &Arc<str>) {
        if let Some(relay) = self.by_name.get_mut(name) {
            relay.baselines.remove(id);
        }
    }

    /// Starts to hand over the workers of a relay whose box announces that it is stopping. Returns
    /// the workers, which need another connection; none if this has been done before, or the
    /// request belongs to another session.
    pub fn leave(&mut self, request: &RelayRequest, now: u64) -> Vec<Arc<str>> {
        let relay = self.by_name.get_mut(&request.name);
        let is_new = |relay: &&mut Relay| relay.session == request.session && !relay.is_leaving();
        let Some(relay) = relay.filter(is_new).filter(|_| request.leaving) else {
            return Vec::new();
        };
        relay.leaving_since = Some(now);
        log::info!(target: "relay", relay = &*request.name, workers = relay.workers.len(); "A relay is leaving.");
        metrics::counter!("magpie_relays_left_total").increment(1);
        relay.workers.iter().cloned().collect()
    }

    /// Records that a worker has a new connection. If its former relay is leaving, results of that
    /// relay count until the worker has been polled over the new connection.
    pub fn hand_over(&mut self, id: &Arc<str>) {
        for (name, relay) in &mut self.by_name {
            if relay.is_leaving() && relay.workers.remove(id) {
                self.handovers.begin(id.clone(), name.clone());
            }
        }
    }

    /// True if the relay is leaving and the worker is connected elsewhere or was removed.
    pub fn is_former(&self, name: &str, id: &str) -> bool {
        let relay = self.by_name.get(name);
        relay.is_some_and(|relay| relay.is_leaving() && !relay.workers.contains(id))
    }

    /// Records a report of a worker's former relay, with the worker's clock. False if it may be
    /// outdated.
    pub fn accept_former(&mut self, name: &str, id: &str, clock: u64) -> bool {
        self.handovers.accept_former(id, name, clock)
    }

    /// Records that a worker has been polled over its present connection, with the worker's clock
    /// if it has answered. False if its report is outdated, because its former relay has delivered
    /// a newer one.
    pub fn accept_current(&mut self, id: &str, clock: Option<u64>) -> bool {
        self.handovers.complete(id, clock)
    }

    /// Removes a leaving relay that has nothing left to do: its workers have been polled over other
    /// connections, and its orders are answered.
    pub fn dismiss_left(&mut self, name: &str, now: u64) {
        let Some(relay) = self.by_name.get(name) else {
            return;
        };
        let Some(since) = relay.leaving_since else {
            return;
        };
        let has_orders = self.orders.values().any(|order| &*order.relay == name);
        if !relay.workers.is_empty() || has_orders || self.handovers.involve(name) {
            return;
        }
        let took = Duration::from_millis(now.saturating_sub(since));
        log::info!(target: "relay", relay = name, took = took.as_millis() as u64; "A relay has left.");
        metrics::histogram!("magpie_relay_handover_seconds").record(took);
        self.by_name.remove(name);
    }

    /// Removes a worker from its relay, with its orders in flight.
    pub fn unassign(&mut self, name: &str, id: &Arc<str>) {
        if let Some(relay) = self.by_name.get_mut(name)
            && relay.workers.remove(id)
        {
            relay.push(Command::Leave(id.clone()));
            let lost = self.orders.values();
            let lost = lost.filter(|order| order.worker == *id && &*order.relay == name);
            let bytes: usize = lost.map(|order| request_bytes(&order.order)).sum();
            relay.starting_bytes = relay.starting_bytes.saturating_sub(bytes);
        }
        self.remove_worker(id);
    }

    /// Discards the orders in flight of a removed worker, and the report of a former relay that it
    /// may have.
    pub fn remove_worker(&mut self, id: &Arc<str>) {
        self.orders.retain(|_, order| order.worker != *id);
        self.handovers.remove_worker(id);
    }

    /// Records the request of a relay. True if it belongs to the current session and was not
    /// processed before.
    pub fn accept_request(&mut self, request: &RelayRequest, now: u64) -> bool {
        let Some(relay) = self.by_name.get_mut(&request.name) else {
            return false;
        };
        if relay.session != request.session {
            return false;
        }
        relay.last_seen = now;
        if request.ack == relay.batch && !relay.sent.is_empty() {
            relay.sent.clear();
            relay.unacked_bytes = relay.next.iter().map(command_bytes).sum();
        }
        let is_new = request.batch > relay.last_request;
        relay.last_request = relay.last_request.max(request.batch);
        is_new
    }

    /// Adds a box as a relay if it is needed: a strong box whenever the cell is large; a weak box
    /// while a worker of its hall has no relay, or a worker of any hall has had none for long, or
    /// the owner connects to some itself. Returns the workers of its former session, which have to
    /// be assigned again; `None` if nothing has changed.
    pub fn join(&mut self, request: &RelayRequest, need: Need, now: u64) -> Option<Vec<Arc<str>>> {
        let former = match self.by_name.get(&request.name) {
            Some(relay) if relay.session == request.session => return None,
            Some(_) => self.remove(&request.name),
            None => Vec::new(),
        };
        if !self.is_needed(request, need, now) {
            return (!former.is_empty()).then_some(former);
        }
        self.sessions += 1;
        let relay = Relay {
            // The clock makes the number unique among the ownerships of this box.
            session: now * 1_000 + self.sessions,
            hall: request.hall.clone(),
            share: request.share,
            link: request.link.min(MAX_LINK),
            texts: JobCache::default(),
            unacked_bytes: 0,
            starting_bytes: 0,
            baselines: HashMap::new(),
            last_seen: now,
            last_request: 0,
            batch: 0,
            sent: Vec::new(),
            next: Vec::new(),
            workers: HashSet::new(),
            leaving_since: None,
        };
        log::info!(target: "relay", relay = &*request.name, share = request.share; "A relay has joined.");
        self.by_name.insert(request.name.clone(), relay);
        Some(former)
    }

    /// True if the box is needed as a relay.
    fn is_needed(&self, request: &RelayRequest, need: Need, now: u64) -> bool {
        if need == Need::None || request.leaving {
            return false;
        }
        let is_short = need == Need::Short && !self.has_capacity();
        if request.share >= STRONG_SHARE || is_short {
            return true;
        }
        let mut waiting = self.unassigned.iter();
        waiting.any(|(entry, since)| entry.hall == request.hall || now >= since + REMOTE_HALL_DELAY)
    }

    /// The time that relays wait between two exchanges with an owner of this link, in milliseconds.
    /// It bounds the share of the link that the overhead of all exchanges takes.
    pub fn exchange_interval(&self, link: u64) -> u64 {
        let least = RELAY_MIN_INTERVAL.as_millis() as u64;
        let count = self.by_name.len() as u64;
        let interval = count * EXCHANGE_BYTES * EXCHANGE_FRACTION / link.max(1);
        interval.clamp(least, RELAY_MAX_INTERVAL_MS)
    }

    /// The next message to a box, from an owner with this fence and link. A relay receives unacknowledged
    /// commands again.
    pub fn respond(&mut self, name: &str, fence: u64, link: u64, now: u64) -> RelayResponse {
        let interval = self.exchange_interval(link);
        let Some(relay) = self.by_name.get_mut(name) else {
            return RelayResponse {
                fence,
                pause: self
                    .idle_requests
                    .pause(name, self.unassigned.is_empty(), now),
                ..RelayResponse::default()
            };
        };
        if relay.sent.is_empty() && !relay.next.is_empty() {
            relay.sent = std::mem::take(&mut relay.next);
            relay.batch += 1;
        }
        RelayResponse {
            session: relay.session,
            fence,
            batch: relay.batch,
            now,
            pause: interval,
            commands: relay.sent.clone(),
            heartbeat: None,
            figures: None,
        }
    }

    /// Removes the relays that have been unreachable for too long, and returns their workers.
    ///
    /// After a delay of the owner itself no relay is removed, since the owner has not yet read the
    /// requests that arrived in the meantime.
    pub fn expire_silent(&mut self, now: u64) -> Vec<Arc<str>> {
        let is_late = now > self.last_check + MAX_CHECK_GAP;
        self.last_check = now;
        if is_late {
            for relay in self.by_name.values_mut() {
                relay.last_seen = now;
            }
        }
        let expired = self.by_name.iter();
        let expired = expired.filter(|(_, relay)| now > relay.last_seen + SILENCE_TIMEOUT);
        let names: Vec<Arc<str>> = expired.map(|(name, _)| name.clone()).collect();
        let mut workers = Vec::new();
        for name in names {
            workers.extend(self.remove(&name));
        }
        workers
    }

    /// Removes a relay and returns its workers.
    fn remove(&mut self, name: &str) -> Vec<Arc<str>> {
        let Some(relay) = self.by_name.remove(name) else {
            return Vec::new();
        };
        log::warn!(target: "relay", relay = name, workers = relay.workers.len(); "A relay was removed.");
        self.orders.retain(|_, order| &*order.relay != name);
        self.handovers.remove_relay(name);
        relay.workers.into_iter().collect()
    }
}
