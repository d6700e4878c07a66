//! The owner's book of relays: which box looks after which worker, and what is on its way to it.

mod idle_offers;
mod relay;
mod text_budget;

use {
    self::{
        idle_offers::IdleOffers,
        relay::{Relay, START_BYTES, TEXT_BYTES, bytes, start_bytes},
        text_budget::TextBudget,
    },
    crate::{
        external::PollError,
        job_cache::JobCache,
        message::{Command, RelayRequest, RelayResponse},
        report_delta::ReportDelta,
        settings::{MAX_IN_FLIGHT_MS, RELAY_MAX_INTERVAL_MS, RELAY_MIN_INTERVAL},
    },
    cell::{Entry, Order, Poll, Report},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// From this share of a core on, in thousandths, a box is a relay of choice.
const STRONG: u32 = 300;
/// A relay that has not been heard for this long, in milliseconds, is taken for gone. Exchanges are
/// 25 ms apart; leases at workers of 4.5 s leave time for another to take over.
const SILENT: u64 = 1_200;
/// Looks are 100 ms apart; with a longer gap, in milliseconds, the owner itself was late.
const LATE: u64 = 400;
/// After this time, in milliseconds, boxes of other halls look after a worker as well: those of its own hall
/// offer themselves every 0.4 s.
const FAR_AFTER: u64 = 900;
/// After this time, in milliseconds, the owner looks after workers itself that no relay has room
/// for: boxes offer themselves every 0.4 s.
const UNASSIGNED_TIMEOUT: u64 = 1_500;

/// What an exchange takes of the owner's link besides what it carries, in bytes each way: heads of HTTP and of
/// the messages.
const EXCHANGE: u64 = 250;
/// The part of the owner's link that these may take.
const EXCHANGE_PART: u64 = 8;

/// How much an owner needs further relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Not at all: it talks to its few workers itself.
    None,
    /// The cell is large.
    Large,
    /// The cell is large, and the owner has to talk to some of its workers itself.
    Short,
}

/// All relays of one ownership.
#[derive(Default)]
pub struct Relays {
    by_name: HashMap<Arc<str>, Relay>,
    sessions: u64,
    /// When silence was last looked for.
    looked: u64,
    /// Orders on their way, by number.
    orders: HashMap<u64, (Arc<str>, Order)>,
    numbers: u64,
    /// Workers that nobody looks after, and since when.
    unassigned: Vec<(Entry, u64)>,
    /// What of the owner's link specifications may take.
    text_budget: TextBudget,
    /// The boxes that offer themselves in vain.
    idle: IdleOffers,
}

/// The fastest link that is reckoned with, in bytes a millisecond: 100 Gbit/s. What is reckoned from a link stays far below
/// what numbers hold, whatever an offer says.
const MAX_LINK: u64 = 12_500_000;

impl Relays {
    /// Chooses the relay that looks after a worker that has waited for one since a time: of its own hall if
    /// one has room, since each start, poll and report would cross halls otherwise, and the least loaded. None
    /// when all are full; then the worker is kept until one has room.
    pub fn assign(&mut self, entry: Entry, since: u64) -> Option<Arc<str>> {
        let open = self.by_name.iter_mut();
        let open = open.filter(|(_, relay)| relay.is_open());
        let load = |relay: &Relay| relay.workers.len() * 1_000 / relay.most();
        let is_far = |relay: &Relay| relay.hall != entry.hall;
        let best = open.min_by_key(|(name, relay)| (is_far(relay), load(relay), (*name).clone()));
        let Some((name, relay)) = best else {
            self.unassigned.push((entry, since));
            return None;
        };
        relay.workers.insert(entry.id.clone());
        relay.command(Command::Tend(entry.into()));
        Some(name.clone())
    }

    /// True when some relay has room for another worker.
    pub fn has_capacity(&self) -> bool {
        self.by_name.values().any(Relay::is_open)
    }

    /// Workers that wait for somebody to look after them, and since when.
    pub fn take_unassigned(&mut self) -> Vec<(Entry, u64)> {
        std::mem::take(&mut self.unassigned)
    }

    /// Workers that have waited for too long.
    pub fn take_overdue(&mut self, now: u64) -> Vec<Entry> {
        let mut neglected = Vec::new();
        for (entry, since) in std::mem::take(&mut self.unassigned) {
            if now < since + UNASSIGNED_TIMEOUT {
                self.unassigned.push((entry, since));
                continue;
            }
            neglected.push(entry);
        }
        neglected
    }

    /// Hands a poll to the relay of a worker.
    pub fn poll(&mut self, name: &str, id: &Arc<str>, now: u64, poll: Poll) {
        if let Some(relay) = self.by_name.get_mut(name) {
            relay.command(Command::Poll(id.clone(), now, poll));
        }
    }

    /// Hands an order to the relay of a worker.
    pub fn order(&mut self, name: &str, id: &Arc<str>, now: u64, order: Order) {
        let Some(relay) = self.by_name.get_mut(name) else {
            return;
        };
        self.numbers += 1;
        self.orders
            .insert(self.numbers, (id.clone(), order.clone()));
        relay.starting += start_bytes(&order);
        match order {
            Order::Start(start) => {
                relay.send_text(&start, &mut self.text_budget);
                relay.start(id, self.numbers, now, &start);
            }
            order => relay.command(Command::Order(id.clone(), self.numbers, now, order)),
        }
    }

    /// The order of a number, which a relay has now answered for.
    pub fn complete_order(&mut self, name: &str, number: u64) -> Option<(Arc<str>, Order)> {
        let (id, order) = self.orders.remove(&number)?;
        if let Some(relay) = self.by_name.get_mut(name) {
            relay.starting = relay.starting.saturating_sub(start_bytes(&order));
        }
        Some((id, order))
    }

    /// How many more starts may be decided now, for an owner with this link: work waits in the queue and not
    /// on the wire, where nothing can go before it.
    pub fn start_budget(&self, link: u64) -> usize {
        let unsent: usize = self.by_name.values().map(|relay| relay.unsent).sum();
        let room = ((link * MAX_IN_FLIGHT_MS) as usize).saturating_sub(unsent);
        // With a text for every fourth start.
        let by_owner = room / (START_BYTES + TEXT_BYTES / 4);
        if self.by_name.is_empty() {
            return by_owner;
        }
        let by_relays: usize = self.by_name.values().map(Relay::starts).sum();
        by_owner.min(by_relays)
    }

    /// Lets specifications take their part of an owner's link; all that they need where the store, from which relays
    /// would read them, fails.
    pub fn refill_text_budget(&mut self, link: u64, is_store_failing: bool, now: u64) {
        self.text_budget.grow(link, now);
        self.text_budget.is_all = is_store_failing;
    }

    /// The workers of relays that have as many starts to send as their links take now.
    pub fn busy_workers(&self) -> HashSet<Arc<str>> {
        let busy = self.by_name.values().filter(|relay| relay.is_busy());
        busy.flat_map(|relay| relay.workers.iter().cloned())
            .collect()
    }

    /// What a relay has told of a worker, in whole. It has to be given all that one tells, in its order.
    pub fn decode_report(
        &mut self,
        name: &str,
        id: &Arc<str>,
        told: Result<ReportDelta, PollError>,
    ) -> Result<Report, PollError> {
        let news = told?;
        let mut unknown = Vec::new();
        let list = self.by_name.get_mut(name).map_or(&mut unknown, |relay| {
            relay.lists.entry(id.clone()).or_default()
        });
        Ok(news.apply(list))
    }

    /// A relay looks after a worker no longer.
    pub fn reset_baseline(&mut self, name: &str, id: &Arc<str>) {
        if let Some(relay) = self.by_name.get_mut(name) {
            relay.lists.remove(id);
        }
    }

    /// Nobody looks after a worker any more.
    pub fn unassign(&mut self, name: &str, id: &Arc<str>) {
        if let Some(relay) = self.by_name.get_mut(name)
            && relay.workers.remove(id)
        {
            relay.command(Command::Leave(id.clone()));
            let lost = self.orders.values().filter(|(worker, _)| worker == id);
            let bytes: usize = lost.map(|(_, order)| start_bytes(order)).sum();
            relay.starting = relay.starting.saturating_sub(bytes);
        }
        self.orders.retain(|_, (worker, _)| worker != id);
    }

    /// Takes a box's offer. True when what it brings is new.
    pub fn accept_offer(&mut self, offer: &RelayRequest, now: u64) -> bool {
        let Some(relay) = self.by_name.get_mut(&offer.name) else {
            return false;
        };
        if relay.session != offer.session {
            return false;
        }
        relay.seen = now;
        if offer.ack == relay.batch && !relay.sent.is_empty() {
            relay.sent.clear();
            relay.unsent = relay.next.iter().map(bytes).sum();
        }
        let is_new = offer.batch > relay.taken;
        relay.taken = relay.taken.max(offer.batch);
        is_new
    }

    /// Takes a box on as a relay, if it is of use: a strong one always in a large cell, another one while
    /// workers of its hall have no relay, or any for long, or the owner talks to some itself. Returns the workers
    /// of its former session, if it had one: they have to be given away anew.
    pub fn join(&mut self, offer: &RelayRequest, need: Need, now: u64) -> Option<Vec<Arc<str>>> {
        let former = match self.by_name.get(&offer.name) {
            Some(relay) if relay.session == offer.session => return None,
            Some(_) => self.drop(&offer.name),
            None => Vec::new(),
        };
        if !self.wants(offer, need, now) {
            return (!former.is_empty()).then_some(former);
        }
        self.sessions += 1;
        let relay = Relay {
            // The clock keeps sessions of one ownership apart from those of another on this box.
            session: now * 1_000 + self.sessions,
            hall: offer.hall.clone(),
            share: offer.share,
            link: offer.link.min(MAX_LINK),
            texts: JobCache::default(),
            unsent: 0,
            starting: 0,
            lists: HashMap::new(),
            seen: now,
            taken: 0,
            batch: 0,
            sent: Vec::new(),
            next: Vec::new(),
            workers: HashSet::new(),
        };
        log::info!(target: "relay", relay = &*offer.name, share = offer.share; "A relay has come.");
        self.by_name.insert(offer.name.clone(), relay);
        Some(former)
    }

    fn wants(&self, offer: &RelayRequest, need: Need, now: u64) -> bool {
        if need == Need::None {
            return false;
        }
        let is_short = need == Need::Short && !self.has_capacity();
        if offer.share >= STRONG || is_short {
            return true;
        }
        let mut waiting = self.unassigned.iter();
        waiting.any(|(entry, since)| entry.hall == offer.hall || now >= since + FAR_AFTER)
    }

    /// How long relays wait between two exchanges with an owner of this link, in milliseconds: the heads of all
    /// exchanges are to take no more than a part of it.
    pub fn exchange_interval(&self, link: u64) -> u64 {
        let least = RELAY_MIN_INTERVAL.as_millis() as u64;
        let count = self.by_name.len() as u64;
        let wanted = count * EXCHANGE * EXCHANGE_PART / link.max(1);
        wanted.clamp(least, RELAY_MAX_INTERVAL_MS)
    }

    /// What a box has to do next, for an owner of this link.
    pub fn duty(&mut self, name: &str, fence: u64, link: u64, now: u64) -> RelayResponse {
        let pause = self.exchange_interval(link);
        let Some(relay) = self.by_name.get_mut(name) else {
            return RelayResponse {
                pause: self.idle.pause(name, self.unassigned.is_empty(), now),
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
            pause,
            commands: relay.sent.clone(),
            heartbeat: None,
        }
    }

    /// The workers of relays that have not been heard for too long.
    ///
    /// An owner that was late itself judges nobody: what relays sent meanwhile has not been read.
    pub fn expire_silent(&mut self, now: u64) -> Vec<Arc<str>> {
        let is_late = now > self.looked + LATE;
        self.looked = now;
        if is_late {
            for relay in self.by_name.values_mut() {
                relay.seen = now;
            }
        }
        let silent = self.by_name.iter();
        let silent = silent.filter(|(_, relay)| now > relay.seen + SILENT);
        let names: Vec<Arc<str>> = silent.map(|(name, _)| name.clone()).collect();
        let mut workers = Vec::new();
        for name in names {
            workers.extend(self.drop(&name));
        }
        workers
    }

    /// Takes a relay out. Returns the workers that it looked after.
    fn drop(&mut self, name: &str) -> Vec<Arc<str>> {
        let Some(relay) = self.by_name.remove(name) else {
            return Vec::new();
        };
        log::warn!(target: "relay", relay = name, workers = relay.workers.len(); "A relay is gone.");
        let workers = relay.workers;
        self.orders
            .retain(|_, (worker, _)| !workers.contains(worker));
        workers.into_iter().collect()
    }
}
