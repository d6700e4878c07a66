//! The owner's book of relays: which box looks after which worker, and what is on its way to it.

use {
    crate::message::{Command, Duty, Offer},
    cell::{Entry, Order, Poll},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// Workers that a relay looks after for each core that it has. The owner of 66 workers, which
/// decides as well, took 0.14 of a core.
const MOST_A_CORE: usize = 180;
/// From this share of a core on, in thousandths, a box is a relay of choice.
const STRONG: u32 = 300;
/// A relay that has not been heard for this long, in milliseconds, is taken for gone. Exchanges are
/// 25 ms apart; leases at workers of 4.5 s leave time for another to take over.
const SILENT: u64 = 1_200;
/// Looks are 100 ms apart; with a longer gap, in milliseconds, the owner itself was late.
const LATE: u64 = 400;
/// After this time, in milliseconds, the owner looks after workers itself that no relay has room
/// for: boxes offer themselves every 0.4 s.
const UNATTENDED: u64 = 1_500;

/// One relay.
struct Relay {
    /// The number of its session: a box that offers itself anew gets another.
    session: u64,
    /// Its share of a core, in thousandths.
    share: u32,
    /// When it was last heard.
    seen: u64,
    /// The last offer that was taken in.
    taken: u64,
    /// The number of the last duty.
    batch: u64,
    /// The last duty's commands, until they are acknowledged.
    sent: Vec<Command>,
    /// Commands of the next duty.
    next: Vec<Command>,
    workers: HashSet<Arc<str>>,
}

impl Relay {
    /// How many workers it looks after at the most.
    fn most(&self) -> usize {
        MOST_A_CORE * self.share as usize / 1_000
    }
}

/// All relays of one tenure.
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
    unattended: Vec<(Entry, u64)>,
}

impl Relays {
    /// Chooses the relay that looks after a worker that has waited for one since a time; none when all
    /// are full. Then it is kept until one has room.
    pub fn assign(&mut self, entry: Entry, since: u64) -> Option<Arc<str>> {
        let open = self.by_name.iter_mut();
        let open = open.filter(|(_, relay)| relay.workers.len() < relay.most());
        let load = |relay: &Relay| relay.workers.len() * 1_000 / relay.share.max(1) as usize;
        let best = open.min_by_key(|(name, relay)| (load(relay), (*name).clone()));
        let Some((name, relay)) = best else {
            self.unattended.push((entry, since));
            return None;
        };
        relay.workers.insert(entry.id.clone());
        relay.next.push(Command::Tend(entry.into()));
        Some(name.clone())
    }

    /// True when some relay has room for another worker.
    pub fn has_room(&self) -> bool {
        let mut relays = self.by_name.values();
        relays.any(|relay| relay.workers.len() < relay.most())
    }

    /// Workers that wait for somebody to look after them, and since when.
    pub fn take_unattended(&mut self) -> Vec<(Entry, u64)> {
        std::mem::take(&mut self.unattended)
    }

    /// Workers that have waited for too long.
    pub fn take_neglected(&mut self, now: u64) -> Vec<Entry> {
        let mut neglected = Vec::new();
        for (entry, since) in std::mem::take(&mut self.unattended) {
            if now < since + UNATTENDED {
                self.unattended.push((entry, since));
                continue;
            }
            neglected.push(entry);
        }
        neglected
    }

    /// Hands a poll to the relay of a worker.
    pub fn poll(&mut self, name: &str, id: &Arc<str>, now: u64, poll: Poll) {
        if let Some(relay) = self.by_name.get_mut(name) {
            relay.next.push(Command::Poll(id.clone(), now, poll));
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
        relay
            .next
            .push(Command::Order(id.clone(), self.numbers, now, order));
    }

    /// The order of a number, which has now been answered.
    pub fn answered(&mut self, number: u64) -> Option<(Arc<str>, Order)> {
        self.orders.remove(&number)
    }

    /// Nobody looks after a worker any more.
    pub fn leave(&mut self, name: &str, id: &Arc<str>) {
        if let Some(relay) = self.by_name.get_mut(name)
            && relay.workers.remove(id)
        {
            relay.next.push(Command::Leave(id.clone()));
        }
        self.orders.retain(|_, (worker, _)| worker != id);
    }

    /// Takes a box's offer. True when what it brings is new.
    pub fn take(&mut self, offer: &Offer, now: u64) -> bool {
        let Some(relay) = self.by_name.get_mut(&offer.name) else {
            return false;
        };
        if relay.session != offer.session {
            return false;
        }
        relay.seen = now;
        if offer.ack == relay.batch {
            relay.sent.clear();
        }
        let is_new = offer.batch > relay.taken;
        relay.taken = relay.taken.max(offer.batch);
        is_new
    }

    /// Takes a box on as a relay, if it is of use. Returns the workers of its former session, if
    /// it had one: they have to be given away anew.
    pub fn join(&mut self, offer: &Offer, is_large: bool, now: u64) -> Option<Vec<Arc<str>>> {
        let former = match self.by_name.get(&offer.name) {
            Some(relay) if relay.session == offer.session => return None,
            Some(_) => self.drop(&offer.name),
            None => Vec::new(),
        };
        let is_wanted = is_large && (offer.share >= STRONG || !self.unattended.is_empty());
        if !is_wanted {
            return (!former.is_empty()).then_some(former);
        }
        self.sessions += 1;
        let relay = Relay {
            // The clock keeps sessions of one tenure apart from those of another on this box.
            session: now * 1_000 + self.sessions,
            share: offer.share,
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

    /// What a box has to do next.
    pub fn duty(&mut self, name: &str, fence: u64, now: u64) -> Duty {
        let Some(relay) = self.by_name.get_mut(name) else {
            return Duty::default();
        };
        if relay.sent.is_empty() && !relay.next.is_empty() {
            relay.sent = std::mem::take(&mut relay.next);
            relay.batch += 1;
        }
        Duty {
            session: relay.session,
            fence,
            batch: relay.batch,
            now,
            commands: relay.sent.clone(),
        }
    }

    /// The workers of relays that have not been heard for too long.
    ///
    /// An owner that was late itself judges nobody: what relays sent meanwhile has not been read.
    pub fn lose_silent(&mut self, now: u64) -> Vec<Arc<str>> {
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
