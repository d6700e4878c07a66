//! The two async tasks that connect the owner to one worker: one polls it, the other sends it
//! orders.

use {
    crate::{
        core::Node,
        external::PollError,
        order_queue::{self, OrderReceiver, OrderSender, QueuedOrder},
        permits::Permits,
        settings::POLL_RETRY_PAUSE,
        time,
    },
    cell::{Entry, Order, Outcome, Refusal},
    kernel::{Failure, runtime, verdict::Cause},
};

/// Starts the tasks of a worker, which end with the ownership or with the worker. Returns the
/// sender for its orders, or `None` if the tasks could not be started.
pub fn start_tasks(node: &Node, fence: u64, entry: Entry) -> Option<OrderSender> {
    let (sender, orders) = order_queue::channel();
    let poll_task = poll(node.clone(), fence, entry.clone());
    let send_task = send(node.clone(), fence, entry, orders);
    match runtime::spawn(poll_task).and_then(|()| runtime::spawn(send_task)) {
        Ok(()) => Some(sender),
        Err(error) => {
            log::error!(target: "owner", error:% = error; "The tasks that connect to a worker could not be started.");
            None
        }
    }
}

async fn poll(node: Node, fence: u64, entry: Entry) {
    let id = entry.id.clone();
    let first = node.actor.ask_async(move |core, _, responder| {
        responder.send(core.first_poll(fence, &id));
    });
    let Ok(mut next) = first.await else {
        return;
    };
    while let Some(poll) = next {
        let sent = time::now();
        let permit = node.shared.permits.for_poll(fence);
        let result = node.external.workers.poll(&entry, &permit, poll).await;
        if let Err(PollError::Silent(_)) = result {
            metrics::counter!("magpie_polls_failed_total").increment(1);
            runtime::sleep(POLL_RETRY_PAUSE).await;
        }
        let id = entry.id.clone();
        let poll_next = node.actor.ask_async(move |core, cx, responder| {
            core.handle_poll(cx, fence, &id, sent, result, responder);
        });
        next = poll_next.await.unwrap_or_default();
    }
}

async fn send(node: Node, fence: u64, entry: Entry, mut orders: OrderReceiver) {
    while let Some(queued) = orders.next().await {
        // The ownership may have ended while the order was queued.
        if !node.shared.is_owning(fence) {
            return;
        }
        let order = queued.order.clone();
        let permits = &node.shared.permits;
        let outcome = send_order(&node, permits, fence, &entry, queued, &orders).await;
        if outcome == Outcome::Unknown {
            log::info!(target: "owner", worker = &*entry.id, order:% = order; "The outcome of an order is unknown: the worker gave no valid answer.");
        }
        let id = entry.id.clone();
        let is_delivered = node
            .actor
            .tell(move |core, cx| core.handle_outcome(cx, fence, &id, &order, outcome));
        if !is_delivered {
            return;
        }
    }
}

/// Sends an order to a worker and returns the outcome. Refuses it locally if it has been queued for
/// too long, was revoked, or gets no permit. Adds the specification of its job to a start that has none.
pub(crate) async fn send_order(
    node: &Node,
    permits: &Permits,
    fence: u64,
    entry: &Entry,
    mut queued: QueuedOrder,
    receiver: &OrderReceiver,
) -> Outcome {
    if let Order::Withdraw { .. } = queued.order {
        // It only revokes a queued start, which was done when it was queued.
        return Outcome::Done;
    }
    if let Order::Start(start) = &mut queued.order
        && start.text.is_empty()
    {
        let (own, job) = (node.clone(), start.key.job.clone());
        let read = move || own.specs.text(&*own.external.store, &job);
        match runtime::spawn_blocking(read)
            .await
            .unwrap_or_else(|| Err(read_panicked()))
        {
            Ok(text) => start.text = text,
            Err(failure) => {
                log::info!(target: "worker", job = start.key.job.as_str(), error:% = failure; "A job specification could not be read; the start order is not sent.");
                return Outcome::Refused(Refusal::NotSent);
            }
        }
    }
    if queued.is_stale(time::now()) || receiver.is_revoked(&queued.order) {
        metrics::counter!("magpie_orders_stale_total").increment(1);
        return Outcome::Refused(Refusal::NotSent);
    }
    let Some(permit) = permits.for_worker(fence) else {
        return Outcome::Refused(Refusal::NotSent);
    };
    metrics::counter!("magpie_orders_total").increment(1);
    node.external
        .workers
        .order(entry, &permit, &queued.order)
        .await
}

fn read_panicked() -> Failure {
    Failure::not_run(
        Cause::Broken,
        "the thread that reads a job specification panicked",
    )
}
