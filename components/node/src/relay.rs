//! A relay: a box that talks to workers on behalf of the owner of the cell.
//!
//! Polls and orders take most of an owner's processor time, and decisions little. With many workers
//! the owner shares the talking among strong boxes and keeps the decisions, so that placement
//! still sees the whole fleet. Each exchange brings what workers said and takes new commands home.

use {
    crate::{
        core::Node,
        follow,
        message::{Command, Duty, Heard, Offer, Owner},
        outside::Unheard,
        queued::Queued,
        settings::{POLL_PAUSE, RELAY_BUSY, RELAY_IDLE, RELAY_TIME},
        time, worker,
    },
    cell::{Entry, Poll},
    kernel::{Failure, sync::lock, task, wire},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex,
            mpsc::{self, Receiver, Sender},
        },
        thread,
    },
};

/// The path of exchanges between relays and the owner.
pub const PATH: &str = "/relay";

/// The ways to the two tasks of a worker.
struct Ways {
    polls: Sender<(u64, Poll)>,
    orders: Sender<(u64, Queued)>,
}

/// What a relay does in one session.
struct Session {
    number: u64,
    fence: u64,
    /// The last duty that was taken on.
    taken: u64,
    /// The last offer that was made.
    offered: u64,
    ways: HashMap<Arc<str>, Ways>,
    heard: Arc<Mutex<Vec<Heard>>>,
}

/// Offers this box to the owner for as long as the process lives.
pub fn run(node: &Node) {
    let mut session: Option<Session> = None;
    let mut unanswered: Option<Offer> = None;
    while !node.shared.is_stopping() {
        let owner = node.shared.owner.load_full();
        let Some(owner) = owner.filter(|owner| owner.name != node.settings.name) else {
            session = None;
            unanswered = None;
            thread::sleep(RELAY_IDLE);
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
                unanswered = Some(offer);
                follow::look(node);
                thread::sleep(RELAY_BUSY);
                continue;
            }
        };
        let had_session = session.is_some();
        session = take_on(node, &owner, session, duty, asked);
        if had_session && session.is_none() {
            follow::look(node);
        }
        let pause = if session.is_some() {
            RELAY_BUSY
        } else {
            RELAY_IDLE
        };
        thread::sleep(pause);
    }
}

/// Makes an offer to the owner, and returns what it wants done.
fn exchange(node: &Node, owner: &Owner, offer: &Offer) -> Result<Duty, Failure> {
    let url = format!("http://{}{PATH}", owner.address);
    let body = wire::encode_compact(offer)?;
    node.client.post_encoded(&url, &body, RELAY_TIME)
}

/// Carries a duty out, in a new session where it belongs to one. Returns the session; `None` when the
/// owner wants nothing done.
fn take_on(
    node: &Node,
    owner: &Owner,
    session: Option<Session>,
    duty: Duty,
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
fn offer(node: &Node, session: Option<&mut Session>) -> Offer {
    let mut offer = Offer {
        name: node.settings.name.clone(),
        share: node.settings.share,
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
        offer.heard = std::mem::take(&mut *lock(&session.heard));
    }
    offer
}

impl Session {
    fn new(duty: &Duty) -> Self {
        Session {
            number: duty.session,
            fence: duty.fence,
            taken: 0,
            offered: 0,
            ways: HashMap::new(),
            heard: Arc::default(),
        }
    }

    /// Hands the commands of a duty on, which came in an exchange that began at `asked`.
    fn carry_out(&mut self, node: &Node, duty: Duty, asked: u64) {
        if duty.batch <= self.taken {
            return;
        }
        self.taken = duty.batch;
        for command in duty.commands {
            match command {
                Command::Tend(member) => self.tend(node, member.into()),
                Command::Leave(id) => {
                    self.ways.remove(&id);
                }
                // A task that has ended belongs to a worker that was left.
                Command::Poll(id, at, poll) => {
                    if let Some(ways) = self.ways.get(&id) {
                        let _ = ways.polls.send((at, poll));
                    }
                }
                Command::Order(id, number, at, order) => {
                    let now = time::now();
                    let age = duty.now.saturating_sub(at) + now.saturating_sub(asked);
                    if let Some(ways) = self.ways.get(&id) {
                        let _ = ways.orders.send((number, Queued::new(order, age, now)));
                    }
                }
            }
        }
    }

    fn tend(&mut self, node: &Node, entry: Entry) {
        let (polls, next) = mpsc::channel();
        let (orders, sent) = mpsc::channel();
        let id = entry.id.clone();
        let fence = self.fence;
        let (own, heard, worker) = (node.clone(), self.heard.clone(), entry.clone());
        let polling = task::spawn("poll", move || poll(&own, fence, &worker, &next, &heard));
        let (own, heard) = (node.clone(), self.heard.clone());
        let sending = task::spawn("orders", move || send(&own, fence, &entry, &sent, &heard));
        if let Err(error) = polling.and(sending) {
            log::error!(target: "relay", error:% = error; "A worker's tasks cannot be started.");
            return;
        }
        self.ways.insert(id, Ways { polls, orders });
    }
}

fn poll(
    node: &Node,
    fence: u64,
    entry: &Entry,
    polls: &Receiver<(u64, Poll)>,
    heard: &Mutex<Vec<Heard>>,
) {
    for (at, poll) in polls {
        let result = node.outside.workers.poll(entry, fence, poll);
        if let Err(Unheard::Silent(_)) = result {
            metrics::counter!("magpie_polls_failed_total").increment(1);
            thread::sleep(POLL_PAUSE);
        }
        lock(heard).push(Heard::Report(entry.id.clone(), at, result));
    }
}

fn send(
    node: &Node,
    fence: u64,
    entry: &Entry,
    orders: &Receiver<(u64, Queued)>,
    heard: &Mutex<Vec<Heard>>,
) {
    for (number, queued) in orders {
        let outcome = worker::send_one(node, fence, entry, &queued);
        lock(heard).push(Heard::Answer(number, outcome));
    }
}
