//! The two async tasks that connect the owner to one worker: one polls it, the other sends it
//! orders.

use {
    crate::{
        core::Node,
        external::PollError,
        order_queue::{self, OrderReceiver, OrderSender, QueuedOrder, Revocation},
        permits::Permits,
        settings::{MAX_ORDERS_IN_FLIGHT, ORDER_PATIENCE, POLL_RETRY_PAUSE},
        time,
    },
    cell::{Entry, Order, Outcome, Refusal, TaskKey},
    futures_util::{StreamExt, stream::FuturesUnordered},
    kernel::{Failure, runtime, verdict::Cause},
    std::{collections::HashSet, time::Duration},
    tokio::time::Instant,
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
            sleep_until_retry(sent).await;
        }
        let id = entry.id.clone();
        let poll_next = node.actor.ask_async(move |core, cx, responder| {
            core.handle_poll(cx, fence, &id, sent, result, responder);
        });
        next = poll_next.await.unwrap_or_default();
    }
}

/// Waits until a poll that was sent at this time and has failed may be repeated. One that has timed
/// out has waited for longer.
pub(crate) async fn sleep_until_retry(sent: u64) {
    let spent = Duration::from_millis(time::now().saturating_sub(sent));
    runtime::sleep(POLL_RETRY_PAUSE.saturating_sub(spent)).await;
}

async fn send(node: Node, fence: u64, entry: Entry, orders: OrderReceiver) {
    let send = |queued: QueuedOrder, revocation| {
        let node = node.clone();
        let entry = &entry;
        async move {
            // The ownership may have ended while the order was queued.
            if !node.shared.is_owning(fence) {
                return false;
            }
            let order = queued.order.clone();
            let permits = &node.shared.permits;
            let outcome = send_order(&node, permits, fence, entry, queued, revocation).await;
            if outcome == Outcome::Unknown {
                log::info!(target: "owner", worker = &*entry.id, order:% = order; "The outcome of an order is unknown: the worker gave no valid answer.");
            }
            let id = entry.id.clone();
            node.actor
                .tell(move |core, cx| core.handle_outcome(cx, fence, &id, &order, outcome))
        }
    };
    send_all(orders, send).await;
}

/// Sends the orders of a queue by `send` until the queue is closed and empty, or until `send`
/// returns false. The next order is sent when all earlier ones have an answer or have waited for
/// [`ORDER_PATIENCE`], unless an order about the same task has no answer yet.
pub(crate) async fn send_all<F>(
    mut orders: OrderReceiver,
    send: impl Fn(QueuedOrder, Option<Revocation>) -> F,
) where
    F: Future<Output = bool>,
{
    let mut busy: HashSet<TaskKey> = HashSet::new();
    let mut sent = FuturesUnordered::new();
    // The task of the last order, until that has an answer or has waited until `patience_end`.
    let mut last: Option<TaskKey> = None;
    let mut patience_end = Instant::now();
    let mut is_open = true;
    while is_open || orders.has_waiting() || !sent.is_empty() {
        if last.is_none()
            && sent.len() < MAX_ORDERS_IN_FLIGHT
            && let Some(queued) = orders.take(&busy)
        {
            let key = queued.order.key().clone();
            busy.insert(key.clone());
            last = Some(key.clone());
            patience_end = Instant::now() + ORDER_PATIENCE;
            let revocation = orders.revocation(&queued);
            let sending = send(queued, revocation);
            sent.push(async move { (key, sending.await) });
        }
        tokio::select! {
            biased;
            Some((key, is_delivered)) = sent.next() => {
                if !is_delivered {
                    return;
                }
                busy.remove(&key);
                last.take_if(|last| *last == key);
            }
            () = tokio::time::sleep_until(patience_end), if last.is_some() => last = None,
            received = orders.receive(), if is_open => is_open = received,
            else => {}
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
    revocation: Option<Revocation>,
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
    let now = time::now();
    let is_revoked = |revocation: &Revocation| revocation.is_revoked(now);
    if queued.is_stale(now) || revocation.as_ref().is_some_and(is_revoked) {
        metrics::counter!("magpie_orders_stale_total").increment(1);
        return Outcome::Refused(Refusal::NotSent);
    }
    let Some(permit) = permits.for_worker(fence) else {
        return Outcome::Refused(Refusal::NotSent);
    };
    let permit = permit.revocable(revocation);
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

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::fixtures::{start, stop},
        kernel::sync::lock,
        std::sync::{Arc, Mutex},
    };

    /// Sends the orders to a worker that leaves the first one without an answer for a second.
    /// Returns the orders as they were sent, and the highest number without an answer at a time.
    fn send_to_worker(orders: &[Order]) -> (Vec<String>, usize) {
        let (sender, receiver) = order_queue::channel();
        for order in orders {
            sender.send(QueuedOrder::new(order.clone(), 0, 0, time::now()));
        }
        drop(sender);
        let seen: Arc<Mutex<(Vec<String>, usize, usize)>> = Arc::default();
        let unanswered = orders[0].clone();
        let send = |queued: QueuedOrder, _| {
            let (seen, is_first) = (seen.clone(), queued.order == unanswered);
            async move {
                {
                    let mut seen = lock(&seen);
                    seen.0.push(queued.order.to_string());
                    seen.1 += 1;
                    seen.2 = seen.2.max(seen.1);
                }
                let time = if is_first { 1_000 } else { 1 };
                runtime::sleep(Duration::from_millis(time)).await;
                lock(&seen).1 -= 1;
                true
            }
        };
        runtime::block_on(send_all(receiver, send)).unwrap();
        let seen = lock(&seen);
        (seen.0.clone(), seen.2)
    }

    /// Orders about other tasks are not held up by an order without an answer, and do not all
    /// open connections of their own.
    #[test]
    fn send_all_passes_unanswered_order() {
        let orders: Vec<Order> = (0..20).map(start).collect();
        let (sent, in_flight) = send_to_worker(&orders);
        assert_eq!((sent.len(), in_flight), (20, 2));
    }

    /// The stop of a run is sent only once its start has an answer.
    #[test]
    fn send_all_keeps_order_of_task() {
        let (sent, _) = send_to_worker(&[start(0), stop(0), start(1)]);
        let texts = [start(0), start(1), stop(0)].map(|order| order.to_string());
        assert_eq!(sent, texts);
    }
}
