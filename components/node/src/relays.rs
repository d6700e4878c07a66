//! The owner's book of relays: which box looks after which worker, and what is on its way to it.

use {
    crate::{
        message::{Begin, Command, Duty, Offer},
        news::News,
        outside::Unheard,
        settings::{RELAY_BUSY, RELAY_SLOW, Settings},
        texts::Texts,
    },
    cell::{Entry, Order, Poll, Report, Run, Start},
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
const UNATTENDED: u64 = 1_500;

/// What an exchange takes of the owner's link besides what it carries, in bytes each way: heads of HTTP and of
/// the messages.
const EXCHANGE: u64 = 250;
/// The part of the owner's link that these may take.
const EXCHANGE_PART: u64 = 8;
/// What a start takes on its way to a relay, in bytes, without the text: 35 to 70, with a checkpoint or a ticket.
const START_BYTES: usize = 60;
/// What a worker takes on its way to a relay, in bytes.
const MEMBER_BYTES: usize = 120;
/// A usual specification, in bytes; 4,000 at most.
const TEXT_BYTES: usize = 1_200;
/// What a start takes on its way to its worker beside the text, in bytes: heads of HTTP, and names and
/// punctuation of the body.
const SENT_BYTES: usize = 330;
/// The part of the owner's link that specifications may take.
const TEXT_PART: u64 = 4;
/// How much may be on its way at once, in milliseconds of the link that carries it. What waits longer
/// delays leases, stops and the answers of the store on the same link; less would leave the link idle between
/// two exchanges.
const AHEAD: u64 = 250;

/// One relay.
struct Relay {
    hall: Arc<str>,
    /// What its link carries, in bytes a millisecond.
    link: u64,
    /// The jobs whose texts it has.
    texts: Texts<()>,
    /// Bytes of the commands that it has not acknowledged.
    unsent: usize,
    /// Bytes of the starts on their way to workers that have no answer yet.
    starting: usize,
    /// What it last told of each worker.
    lists: HashMap<Arc<str>, Vec<Run>>,
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
        Settings::most_workers(self.share, self.link).max(1)
    }

    /// True when it has room for another worker.
    fn is_open(&self) -> bool {
        self.workers.len() < self.most()
    }

    /// True when it has as many starts to send as its link takes in the time ahead.
    fn is_busy(&self) -> bool {
        self.starting as u64 >= self.link * AHEAD
    }

    fn command(&mut self, command: Command) {
        self.unsent += bytes(&command);
        self.next.push(command);
    }

    /// Has a task started, with others of its job where they are told of in turn.
    fn start(&mut self, worker: &Arc<str>, number: u64, now: u64, start: &Start) {
        let begin = Begin::new(worker.clone(), number, start);
        let job = &start.key.job;
        if let Some(Command::Starts(last, at, begins)) = self.next.last_mut()
            && last == job
            && *at == now
        {
            begins.push(begin);
            self.unsent += START_BYTES;
            return;
        }
        self.command(Command::Starts(job.clone(), now, vec![begin]));
    }

    /// Sends a start's text ahead, if the relay does not have it and the allowance takes it; else the relay reads it
    /// from the store.
    fn send_text(&mut self, start: &Start, allowance: &mut Allowance) {
        let job = &start.key.job;
        if self.texts.get(job).is_some() {
            return;
        }
        self.texts.keep(job.clone(), ());
        let is_sent = !start.text.is_empty() && allowance.take(start.text.len());
        let text = is_sent.then(|| start.text.clone());
        self.command(Command::Text(job.clone(), text));
    }
}

/// A start's bytes on its way to its worker; none for another order.
fn start_bytes(order: &Order) -> usize {
    match order {
        Order::Start(start) if start.text.is_empty() => TEXT_BYTES + SENT_BYTES,
        Order::Start(start) => start.text.len() + SENT_BYTES,
        Order::Stop { .. } | Order::Pace { .. } => 0,
    }
}

/// Bytes of a command that count: those of texts, starts and workers, which are most of what a relay is sent.
fn bytes(command: &Command) -> usize {
    match command {
        Command::Text(_, text) => text.as_ref().map_or(0, |text| text.len()),
        Command::Starts(_, _, starts) => starts.len() * START_BYTES,
        Command::Tend(_) => MEMBER_BYTES,
        _ => 0,
    }
}

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
    /// What of the owner's link specifications may take.
    allowance: Allowance,
}

/// What of the owner's link specifications may take. With many relays and large texts they are most of what an owner
/// sends (480 of 610 KB a second, for 17 jobs a second of 2.4 KB and 12 relays), and any relay can read them from the
/// store, whose link is wide. While the store fails they go through the owner all the same.
#[derive(Default)]
struct Allowance {
    /// Bytes that may be sent now.
    left: u64,
    /// When it last grew.
    grown: u64,
    /// The store fails, or has not been heard of.
    is_all: bool,
}

impl Allowance {
    /// Grows with the time, for an owner with this link.
    fn grow(&mut self, link: u64, now: u64) {
        let rate = link / TEXT_PART;
        let since = now.saturating_sub(self.grown);
        self.left = (self.left + since * rate).min(rate * AHEAD);
        self.grown = now;
    }

    /// Takes so many bytes; false where there are not as many.
    fn take(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        if self.is_all {
            return true;
        }
        if bytes > self.left {
            return false;
        }
        self.left -= bytes;
        true
    }
}

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
            self.unattended.push((entry, since));
            return None;
        };
        relay.workers.insert(entry.id.clone());
        relay.command(Command::Tend(entry.into()));
        Some(name.clone())
    }

    /// True when some relay has room for another worker.
    pub fn has_room(&self) -> bool {
        self.by_name.values().any(Relay::is_open)
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
                relay.send_text(&start, &mut self.allowance);
                relay.start(id, self.numbers, now, &start);
            }
            order => relay.command(Command::Order(id.clone(), self.numbers, now, order)),
        }
    }

    /// The order of a number, which a relay has now answered for.
    pub fn answered(&mut self, name: &str, number: u64) -> Option<(Arc<str>, Order)> {
        let (id, order) = self.orders.remove(&number)?;
        if let Some(relay) = self.by_name.get_mut(name) {
            relay.starting = relay.starting.saturating_sub(start_bytes(&order));
        }
        Some((id, order))
    }

    /// How many more starts may be decided now, for an owner with this link: work waits in the queue and not
    /// on the wire, where nothing can go before it.
    pub fn starts(&self, link: u64) -> usize {
        let unsent: usize = self.by_name.values().map(|relay| relay.unsent).sum();
        let room = ((link * AHEAD) as usize).saturating_sub(unsent);
        // With a text for every fourth start, as measured for jobs of 9 to 39 tasks on ten relays.
        room / (START_BYTES + TEXT_BYTES / 4)
    }

    /// Lets specifications take their part of an owner's link; all that they need where the store, from which relays
    /// would read them, fails.
    pub fn allow_texts(&mut self, link: u64, is_failing: bool, now: u64) {
        self.allowance.grow(link, now);
        self.allowance.is_all = is_failing;
    }

    /// The workers of relays that have as many starts to send as their links take now.
    pub fn busy(&self) -> HashSet<Arc<str>> {
        let busy = self.by_name.values().filter(|relay| relay.is_busy());
        busy.flat_map(|relay| relay.workers.iter().cloned())
            .collect()
    }

    /// What a relay has told of a worker, in whole. It has to be given all that one tells, in its order.
    pub fn read(
        &mut self,
        name: &str,
        id: &Arc<str>,
        told: Result<News, Unheard>,
    ) -> Result<Report, Unheard> {
        let news = told?;
        let mut unknown = Vec::new();
        let list = self.by_name.get_mut(name).map_or(&mut unknown, |relay| {
            relay.lists.entry(id.clone()).or_default()
        });
        Ok(news.whole(list))
    }

    /// A relay looks after a worker no longer.
    pub fn left(&mut self, name: &str, id: &Arc<str>) {
        if let Some(relay) = self.by_name.get_mut(name) {
            relay.lists.remove(id);
        }
    }

    /// Nobody looks after a worker any more.
    pub fn leave(&mut self, name: &str, id: &Arc<str>) {
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
    pub fn take(&mut self, offer: &Offer, now: u64) -> bool {
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
    pub fn join(&mut self, offer: &Offer, need: Need, now: u64) -> Option<Vec<Arc<str>>> {
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
            // The clock keeps sessions of one tenure apart from those of another on this box.
            session: now * 1_000 + self.sessions,
            hall: offer.hall.clone(),
            share: offer.share,
            link: offer.link,
            texts: Texts::default(),
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

    fn wants(&self, offer: &Offer, need: Need, now: u64) -> bool {
        if need == Need::None {
            return false;
        }
        let is_short = need == Need::Short && !self.has_room();
        if offer.share >= STRONG || is_short {
            return true;
        }
        let mut waiting = self.unattended.iter();
        waiting.any(|(entry, since)| entry.hall == offer.hall || now >= since + FAR_AFTER)
    }

    /// How long relays wait between two exchanges with an owner of this link, in milliseconds: the heads of all
    /// exchanges are to take no more than a part of it. On 2 Mbit/s and with 17 relays 25 ms apart they would
    /// take two thirds.
    pub fn pause(&self, link: u64) -> u64 {
        let least = RELAY_BUSY.as_millis() as u64;
        let count = self.by_name.len() as u64;
        let wanted = count * EXCHANGE * EXCHANGE_PART / link.max(1);
        wanted.clamp(least, RELAY_SLOW)
    }

    /// What a box has to do next, for an owner of this link.
    pub fn duty(&mut self, name: &str, fence: u64, link: u64, now: u64) -> Duty {
        let pause = self.pause(link);
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
            pause,
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
