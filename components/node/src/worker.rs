//! The two tasks of a worker: one polls it, the other sends it orders.

use {
    crate::{
        core::Node,
        outside::Unheard,
        queued::{self, Entrance, Exit, Queued},
        settings::POLL_PAUSE,
        time,
    },
    cell::{Entry, Order, Outcome, Reason},
    kernel::task,
    std::thread,
};

/// Starts the tasks of a worker; they end with the tenure or with the worker. Returns the way for
/// its orders.
pub fn tend(node: &Node, fence: u64, entry: Entry) -> Option<Entrance> {
    let (entrance, orders) = queued::line();
    let (own, other) = (node.clone(), node.clone());
    let polled = entry.clone();
    let started = task::spawn("poll", move || poll(&own, fence, &polled))
        .and_then(|_| task::spawn("orders", move || send(&other, fence, &entry, &orders)));
    match started {
        Ok(_) => Some(entrance),
        Err(error) => {
            log::error!(target: "owner", error:% = error; "A worker's tasks cannot be started.");
            None
        }
    }
}

fn poll(node: &Node, fence: u64, entry: &Entry) {
    let id = entry.id.clone();
    let first = node.remote.ask(move |core, _| core.first_poll(fence, &id));
    let Ok(mut next) = first else {
        return;
    };
    while let Some(poll) = next {
        let sent = time::now();
        let result = node.outside.workers.poll(entry, fence, poll);
        if let Err(Unheard::Silent(_)) = result {
            metrics::counter!("magpie_polls_failed_total").increment(1);
            thread::sleep(POLL_PAUSE);
        }
        let id = entry.id.clone();
        let answer = node.remote.ask_later(move |core, cx, answerer| {
            core.polled(cx, fence, &id, sent, result, answerer);
        });
        next = answer.unwrap_or_default();
    }
}

fn send(node: &Node, fence: u64, entry: &Entry, orders: &Exit) {
    while let Some(queued) = orders.next() {
        // Orders may have waited behind others while the tenure ended.
        if !node.shared.is_owning(fence) {
            return;
        }
        let order = queued.order.clone();
        let outcome = send_one(node, fence, entry, queued, orders);
        if outcome == Outcome::Unknown {
            log::info!(target: "owner", worker = &*entry.id, order:% = order; "An order has no answer.");
        }
        let id = entry.id.clone();
        let is_told = node
            .remote
            .tell(move |core, cx| core.answered(cx, fence, &id, &order, outcome));
        if !is_told {
            return;
        }
    }
}

/// Sends an order, unless it has waited for too long or must not leave any more; a start with the specification of its job.
pub(crate) fn send_one(
    node: &Node,
    fence: u64,
    entry: &Entry,
    mut queued: Queued,
    line: &Exit,
) -> Outcome {
    if let Order::Withdraw { .. } = queued.order {
        // It has done its part while it waited.
        return Outcome::Done;
    }
    if let Order::Start(start) = &mut queued.order
        && start.text.is_empty()
    {
        match node.fetched.text(&*node.outside.store, &start.key.job) {
            Ok(text) => start.text = text,
            Err(failure) => {
                log::info!(target: "worker", job = start.key.job.as_str(), error:% = failure; "A specification was not read; its start is not sent.");
                return Outcome::Refused(Reason::NotSent);
            }
        }
    }
    if queued.is_stale(time::now()) || line.is_barred(&queued.order) {
        metrics::counter!("magpie_orders_stale_total").increment(1);
        return Outcome::Refused(Reason::NotSent);
    }
    metrics::counter!("magpie_orders_total").increment(1);
    node.outside.workers.order(entry, fence, &queued.order)
}
