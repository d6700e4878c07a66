//! The two tasks of a worker: one polls it, the other sends it orders.

use {
    crate::{
        core::Node,
        external::PollError,
        order_queue::{self, OrderReceiver, OrderSender, QueuedOrder},
        settings::POLL_RETRY_PAUSE,
        time,
    },
    cell::{Entry, Order, Outcome, Refusal},
    kernel::{Failure, net, verdict::Cause},
};

/// Starts the tasks of a worker; they end with the ownership or with the worker. Returns the way for
/// its orders.
pub fn start_tasks(node: &Node, fence: u64, entry: Entry) -> Option<OrderSender> {
    let (entrance, orders) = order_queue::channel();
    let polled = poll(node.clone(), fence, entry.clone());
    let sent = send(node.clone(), fence, entry, orders);
    match net::spawn(polled).and_then(|()| net::spawn(sent)) {
        Ok(()) => Some(entrance),
        Err(error) => {
            log::error!(target: "owner", error:% = error; "A worker's tasks cannot be started.");
            None
        }
    }
}

async fn poll(node: Node, fence: u64, entry: Entry) {
    let id = entry.id.clone();
    let first = node.remote.answered(move |core, _, answerer| {
        answerer.send(core.first_poll(fence, &id));
    });
    let Ok(mut next) = first.await else {
        return;
    };
    while let Some(poll) = next {
        let sent = time::now();
        let result = node.external.workers.poll(&entry, fence, poll).await;
        if let Err(PollError::Silent(_)) = result {
            metrics::counter!("magpie_polls_failed_total").increment(1);
            net::sleep(POLL_RETRY_PAUSE).await;
        }
        let id = entry.id.clone();
        let answer = node.remote.answered(move |core, cx, answerer| {
            core.polled(cx, fence, &id, sent, result, answerer);
        });
        next = answer.await.unwrap_or_default();
    }
}

async fn send(node: Node, fence: u64, entry: Entry, mut orders: OrderReceiver) {
    while let Some(queued) = orders.next().await {
        // Orders may have waited behind others while the ownership ended.
        if !node.shared.is_owning(fence) {
            return;
        }
        let order = queued.order.clone();
        let outcome = send_order(&node, fence, &entry, queued, &orders).await;
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
pub(crate) async fn send_order(
    node: &Node,
    fence: u64,
    entry: &Entry,
    mut queued: QueuedOrder,
    line: &OrderReceiver,
) -> Outcome {
    if let Order::Withdraw { .. } = queued.order {
        // It has done its part while it waited.
        return Outcome::Done;
    }
    if let Order::Start(start) = &mut queued.order
        && start.text.is_empty()
    {
        let (own, job) = (node.clone(), start.key.job.clone());
        let read = move || own.specs.text(&*own.external.store, &job);
        match net::blocking(read).await.unwrap_or_else(|| Err(unread())) {
            Ok(text) => start.text = text,
            Err(failure) => {
                log::info!(target: "worker", job = start.key.job.as_str(), error:% = failure; "A specification was not read; its start is not sent.");
                return Outcome::Refused(Refusal::NotSent);
            }
        }
    }
    if queued.is_stale(time::now()) || line.is_revoked(&queued.order) {
        metrics::counter!("magpie_orders_stale_total").increment(1);
        return Outcome::Refused(Refusal::NotSent);
    }
    metrics::counter!("magpie_orders_total").increment(1);
    node.external
        .workers
        .order(entry, fence, &queued.order)
        .await
}

fn unread() -> Failure {
    Failure::not_run(Cause::Broken, "the read of a specification panicked")
}
