//! Placement passes: when they run, and how their orders and queries are sent.

use {
    super::{Link, Ownership},
    crate::core::Core,
    crate::order_queue::QueuedOrder,
    crate::settings::PASS_INTERVAL,
    crate::{owner_tasks, time},
    cell::{Order, Outcome, Refusal},
    kernel::stakker::{Cx, after},
    std::time::Duration,
};

/// Minimum time between two passes as a multiple of the duration of the last one.
const PASS_PAUSE_FACTOR: u64 = 4;

impl Ownership {
    /// Logs and measures, once in an ownership, how long after the claim the first task was placed.
    fn log_first_placement(&mut self) {
        if self.has_placed {
            return;
        }
        let Some(at) = self.cell.first_placement() else {
            return;
        };
        self.has_placed = true;
        let took = Duration::from_millis(at.saturating_sub(self.claimed));
        let heard = self.cell.reachability(at).reachable;
        let waiting = self.cell.tasks_waiting_unheard(at);
        log::info!(target: "owner", fence = self.fence, took = took.as_millis() as u64, heard, workers = self.cell.worker_count(), waiting; "First task placed after the takeover.");
        metrics::histogram!("magpie_takeover_first_placement_seconds").record(took);
    }
}

impl Core {
    /// Runs a placement pass, at once or when the minimum interval has passed.
    pub(crate) fn schedule_pass(&mut self, cx: &mut Cx<'_, Self>) {
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        let elapsed = time::now().saturating_sub(ownership.pass_ended);
        // A long pass is followed by a longer pause, so that the actor has time for worker reports.
        let gap =
            (PASS_INTERVAL.as_millis() as u64).max(PASS_PAUSE_FACTOR * ownership.pass_duration);
        if elapsed >= gap {
            self.run_pass(cx);
            return;
        }
        if ownership.pass_timer {
            return;
        }
        ownership.pass_timer = true;
        let fence = ownership.fence;
        after!(Duration::from_millis(gap - elapsed), [cx], |this, cx| {
            if this.ownership_of(fence).is_some() {
                this.run_pass(cx);
            }
        });
    }

    /// Places tasks, sends the resulting orders and queries, and wakes the writer. Places nothing
    /// while the cell is being released, the ownership is unconfirmed or the closed data halls are
    /// unknown.
    pub(super) fn run_pass(&mut self, cx: &mut Cx<'_, Self>) {
        let link = self.node.settings.link;
        let is_store_failing = self.node.shared.is_store_failing();
        let config = self.node.shared.config.load();
        let Some(ownership) = self.current_ownership() else {
            return;
        };
        ownership.pass_timer = false;
        let started = time::now();
        if ownership.handover.is_none()
            && !ownership.is_unconfirmed()
            && ownership.halls.are_current()
        {
            if let Some(config) = &*config {
                ownership
                    .cell
                    .set_overcommitting(config.overcommitting_pools());
            }
            let max_starts = ownership.relays.start_budget(link);
            ownership
                .cell
                .set_backpressured(ownership.relays.busy_workers());
            ownership.cell.place_up_to(started, max_starts);
            ownership.log_first_placement();
            ownership.feed.start();
        }
        ownership.pass_ended = time::now();
        ownership.pass_duration = ownership.pass_ended - started;
        ownership
            .relays
            .refill_text_budget(link, is_store_failing, time::now());
        for (id, order) in ownership.cell.take_orders() {
            match ownership.links.get(&id) {
                // If the task has ended, its worker is gone and the order is dropped.
                Some(Link::Local(link)) => {
                    link.send(QueuedOrder::new(order, 0, 0, time::now()));
                }
                Some(Link::Relay(name)) => {
                    // A withdrawal only revokes what was not sent.
                    let is_withdrawal = matches!(order, Order::Withdraw { .. });
                    if is_withdrawal || ownership.permits.for_worker(ownership.fence).is_some() {
                        ownership.relays.order(name, &id, time::now(), order);
                        continue;
                    }
                    let refused = Outcome::Refused(Refusal::NotSent);
                    ownership
                        .cell
                        .handle_outcome(&id, &order, refused, time::now());
                }
                // The worker has no connection. Its next report shows that the order did not
                // arrive.
                None => {}
            }
        }
        self.send_queries();
        self.wake_writer(cx);
    }

    /// Sends the cell's queries to the thread that requests placement advice.
    pub(super) fn send_queries(&mut self) {
        let node = self.node.clone();
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        let fence = ownership.fence;
        for query in ownership.cell.take_advice_queries() {
            let sender = ownership
                .queries
                .get_or_insert_with(|| owner_tasks::start_advice(&node, fence));
            // The thread ends only with the ownership, so the send does not fail.
            let _ = sender.send(query);
        }
    }
}
