//! A relay: a box that talks to workers on behalf of the owner of the cell.
//!
//! Polls and orders take most of an owner's processor time, and decisions little. With many workers
//! the owner shares the talking among strong boxes and keeps the decisions, so that placement
//! still sees the whole fleet. Each exchange brings what workers said and takes new commands home.

use {
    crate::{
        core::Node,
        external::PollError,
        job_cache::JobCache,
        message::{Command, CompactStart, Owner, RelayRequest, RelayResponse, WorkerEvent},
        order_queue::{self, OrderReceiver, OrderSender, QueuedOrder},
        owner_watch,
        report_delta::ReportDelta,
        settings::{
            IDLE_MIN_INTERVAL, IDLE_OWNER_READ_MS, POLL_RETRY_PAUSE, RELAY_MIN_INTERVAL,
            RELAY_OWNER_READ_MS, RELAY_TIMEOUT,
        },
        time, worker,
    },
    cell::{Entry, Order, Outcome, Poll, Refusal, Report, Run},
    job::Id,
    kernel::{Failure, net, sync::lock, wire},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
    tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
};

/// The path of exchanges between relays and the owner.
pub const PATH: &str = "/relay";

/// The ways to the two tasks of a worker.
struct Ways {
    polls: UnboundedSender<(u64, Poll)>,
    orders: OrderSender,
}

/// What a relay does in one session.
struct Session {
    number: u64,
    fence: u64,
    /// The last duty that was taken on.
    taken: u64,
    /// The last offer that was made.
    offered: u64,
    /// Between two exchanges.
    pause: Duration,
    ways: HashMap<Arc<str>, Ways>,
    /// The specifications that the owner has sent; empty ones are read from the store.
    texts: JobCache<Arc<str>>,
    heard: Arc<Mutex<Ear>>,
}

/// What workers have said since the last offer.
#[derive(Default)]
struct Ear {
    heard: Vec<WorkerEvent>,
    /// What each worker that is looked after listed last, as the owner knows it.
    lists: HashMap<Arc<str>, Vec<Run>>,
}

impl Ear {
    /// Notes a worker's report, unless it is looked after no longer.
    fn report(&mut self, id: &Arc<str>, at: u64, result: Result<Report, PollError>) {
        let Some(list) = self.lists.get_mut(id) else {
            return;
        };
        let news = result.map(|report| ReportDelta::diff(report, list));
        self.heard.push(WorkerEvent::Report(id.clone(), at, news));
    }

    /// Notes that a worker is looked after no longer.
    fn leave(&mut self, id: Arc<str>) {
        if self.lists.remove(&id).is_some() {
            self.heard.push(WorkerEvent::Left(id));
        }
    }
}

/// Offers this box to the owner for as long as the process lives.
pub fn run(node: &Node) {
    let mut session: Option<Session> = None;
    let mut unanswered: Option<RelayRequest> = None;
    let mut looks = Looks::default();
    while !node.shared.is_stopping() {
        let owner = node.shared.owner.load_full();
        let Some(owner) = owner.filter(|owner| owner.name != node.settings.name) else {
            session = None;
            unanswered = None;
            node.shared.monitor.clear();
            thread::sleep(IDLE_MIN_INTERVAL);
            continue;
        };
        let offer = unanswered
            .take()
            .unwrap_or_else(|| offer(node, session.as_mut()));
        let asked = time::now();
        let duty = match exchange(node, &owner, &offer) {
            Ok(duty) => duty,
            Err(failure) => {
                log::debug!(target: "relay", owner = &*owner.name, error:% = failure; "An exchange with the owner failed.");
                node.shared.monitor.clear();
                unanswered = Some(offer);
                looks.look(node, session.is_some());
                thread::sleep(if session.is_some() {
                    RELAY_MIN_INTERVAL
                } else {
                    IDLE_MIN_INTERVAL
                });
                continue;
            }
        };
        let rest = Duration::from_millis(duty.pause).max(IDLE_MIN_INTERVAL);
        node.shared.monitor.record(duty.heartbeat, asked, rest);
        let had_session = session.is_some();
        session = take_on(node, &owner, session, duty, asked);
        if had_session && session.is_none() {
            looks.look(node, true);
        }
        thread::sleep(session.as_ref().map_or(rest, |own| own.pause));
    }
}

/// When the owner's key is read because its owner does not answer.
#[derive(Default)]
struct Looks {
    /// Not before.
    next: u64,
}

impl Looks {
    /// Reads who the owner is, unless that was done just now: in a fleet all boxes miss an owner at once, and a store that is
    /// asked by all of them in each try has no time for the one that claims the cell.
    fn look(&mut self, node: &Node, is_relay: bool) {
        let now = time::now();
        if now < self.next {
            return;
        }
        let gap = if is_relay {
            RELAY_OWNER_READ_MS
        } else {
            IDLE_OWNER_READ_MS
        };
        self.next = now + gap + fastrand::u64(0..gap);
        owner_watch::refresh(node);
    }
}

/// Makes an offer to the owner, and returns what it wants done.
fn exchange(node: &Node, owner: &Owner, offer: &RelayRequest) -> Result<RelayResponse, Failure> {
    let url = format!("http://{}{PATH}", owner.address);
    let mut body = wire::encode_compact(offer)?;
    if node.settings.has_narrow_link() {
        body = wire::pack(body);
    }
    node.client.post_encoded(&url, &body, RELAY_TIMEOUT)
}

/// Carries a duty out, in a new session where it belongs to one. Returns the session; `None` when the
/// owner wants nothing done.
fn take_on(
    node: &Node,
    owner: &Owner,
    session: Option<Session>,
    duty: RelayResponse,
    asked: u64,
) -> Option<Session> {
    if duty.session == 0 {
        return None;
    }
    let known = session.filter(|own| own.number == duty.session);
    let mut session = known.unwrap_or_else(|| {
        log::info!(target: "relay", owner = &*owner.name, session = duty.session, fence = duty.fence; "This box talks to workers for the owner.");
        Session::new(&duty)
    });
    session.carry_out(node, duty, asked);
    Some(session)
}

/// The next offer: what was heard in the session, where there is one.
fn offer(node: &Node, session: Option<&mut Session>) -> RelayRequest {
    let mut offer = RelayRequest {
        name: node.settings.name.clone(),
        hall: node.settings.hall.clone(),
        share: node.settings.share,
        link: node.settings.link,
        session: 0,
        batch: 0,
        ack: 0,
        heard: Vec::new(),
    };
    if let Some(session) = session {
        session.offered += 1;
        offer.session = session.number;
        offer.batch = session.offered;
        offer.ack = session.taken;
        offer.heard = std::mem::take(&mut lock(&session.heard).heard);
    }
    offer
}

impl Session {
    fn new(duty: &RelayResponse) -> Self {
        Session {
            number: duty.session,
            fence: duty.fence,
            taken: 0,
            offered: 0,
            pause: RELAY_MIN_INTERVAL,
            ways: HashMap::new(),
            texts: JobCache::default(),
            heard: Arc::default(),
        }
    }

    /// Hands the commands of a duty on, which came in an exchange that began at `asked`.
    fn carry_out(&mut self, node: &Node, duty: RelayResponse, asked: u64) {
        self.pause = Duration::from_millis(duty.pause);
        if duty.batch <= self.taken {
            return;
        }
        self.taken = duty.batch;
        let under_way = time::now().saturating_sub(asked);
        let age = |at: u64| duty.now.saturating_sub(at) + under_way;
        self.bar(&duty.commands);
        for command in duty.commands {
            match command {
                Command::Tend(member) => self.tend(node, member.into()),
                Command::Leave(id) => {
                    self.ways.remove(&id);
                    lock(&self.heard).leave(id);
                }
                Command::Text(job, text) => self.texts.insert(job, text.unwrap_or_default()),
                // A task that has ended belongs to a worker that was left.
                Command::Poll(id, at, poll) => {
                    if let Some(ways) = self.ways.get(&id) {
                        let _ = ways.polls.send((at, poll));
                    }
                }
                Command::Order(id, number, at, order) => {
                    self.order(&id, number, order, age(at));
                }
                Command::Starts(job, at, begins) => self.start(&job, begins, age(at)),
            }
        }
    }

    /// Keeps starts from leaving whose stops come with the same commands.
    fn bar(&self, commands: &[Command]) {
        for command in commands {
            if let Command::Order(id, _, _, order) = command
                && let Some(ways) = self.ways.get(id)
            {
                ways.orders.revoke_start(order);
            }
        }
    }

    /// Hands an order of this age, in milliseconds, to its worker's task. Without one it is surely not sent: the owner
    /// counts it as on its way until it is answered.
    fn order(&self, id: &Arc<str>, number: u64, order: Order, age: u64) {
        let queued = QueuedOrder::new(order, number, age, time::now());
        let ways = self.ways.get(id);
        if ways.is_none_or(|ways| !ways.orders.send(queued)) {
            self.refuse([number]);
        }
    }

    /// Answers for orders that are not sent.
    fn refuse(&self, numbers: impl IntoIterator<Item = u64>) {
        let refused = Outcome::Refused(Refusal::NotSent);
        let answers = numbers
            .into_iter()
            .map(|number| WorkerEvent::Answer(number, refused));
        lock(&self.heard).heard.extend(answers);
    }

    /// Hands starts of a job to their workers' tasks.
    fn start(&self, job: &Id, begins: Vec<CompactStart>, age: u64) {
        let Some(text) = self.texts.get(job) else {
            log::error!(target: "relay", job = job.as_str(); "Starts came without the text of their job.");
            self.refuse(begins.iter().map(|begin| begin.number));
            return;
        };
        for begin in begins {
            let (id, number) = (begin.worker.clone(), begin.number);
            let order = Order::Start(begin.start(job.clone(), text.clone()));
            self.order(&id, number, order, age);
        }
    }

    fn tend(&mut self, node: &Node, entry: Entry) {
        lock(&self.heard).lists.insert(entry.id.clone(), Vec::new());
        let (polls, next) = mpsc::unbounded_channel();
        let (orders, sent) = order_queue::channel();
        let id = entry.id.clone();
        let fence = self.fence;
        let polling = poll(node.clone(), fence, entry.clone(), next, self.heard.clone());
        let sending = send(node.clone(), fence, entry, sent, self.heard.clone());
        if let Err(error) = net::spawn(polling).and_then(|()| net::spawn(sending)) {
            log::error!(target: "relay", error:% = error; "A worker's tasks cannot be started.");
            return;
        }
        self.ways.insert(id, Ways { polls, orders });
    }
}

async fn poll(
    node: Node,
    fence: u64,
    entry: Entry,
    mut polls: UnboundedReceiver<(u64, Poll)>,
    heard: Arc<Mutex<Ear>>,
) {
    while let Some((at, poll)) = polls.recv().await {
        let result = node.external.workers.poll(&entry, fence, poll).await;
        if let Err(PollError::Silent(_)) = result {
            metrics::counter!("magpie_polls_failed_total").increment(1);
            net::sleep(POLL_RETRY_PAUSE).await;
        }
        lock(&heard).report(&entry.id, at, result);
    }
}

async fn send(
    node: Node,
    fence: u64,
    entry: Entry,
    mut orders: OrderReceiver,
    heard: Arc<Mutex<Ear>>,
) {
    while let Some(queued) = orders.next().await {
        let number = queued.number;
        let outcome = worker::send_order(&node, fence, &entry, queued, &orders).await;
        lock(&heard)
            .heard
            .push(WorkerEvent::Answer(number, outcome));
    }
}

#[cfg(test)]
mod tests {
    use {super::*, cell::TaskKey, job::Address};

    /// An order that nobody takes would count as on its way for good, and its relay as busy.
    #[test]
    fn order_without_a_task_is_refused() {
        let session = Session::new(&RelayResponse::default());
        let order = Order::Stop {
            key: TaskKey {
                job: Id::new("00000000000000a1").unwrap(),
                place: 0,
            },
            address: Address {
                time: 0,
                step: 0,
                index: 0,
            },
            run: 1,
        };
        session.order(&"w1".into(), 7, order, 0);
        session.start(&Id::new("00000000000000a1").unwrap(), Vec::new(), 0);
        let heard = std::mem::take(&mut lock(&session.heard).heard);
        let refused = Outcome::Refused(Refusal::NotSent);
        assert!(matches!(&heard[..], [WorkerEvent::Answer(7, outcome)] if *outcome == refused));
    }
}
