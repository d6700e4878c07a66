//! Passes of placement, and what they decide on its way.

use {
    super::Link,
    crate::core::Core,
    crate::order_queue::QueuedOrder,
    crate::settings::PASS_INTERVAL,
    crate::{owner_tasks, time},
    kernel::stakker::{Cx, after},
    std::time::Duration,
};

/// A pass is followed by a pause of this many times its length.
const PASS_REST: u64 = 4;

impl Core {
    /// Places, sends orders and wakes the writer, now or shortly.
    pub(crate) fn schedule_pass(&mut self, cx: &mut Cx<'_, Self>) {
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        let since = time::now().saturating_sub(ownership.passed);
        // A long pass is followed by a longer pause, so that passes leave time for reports.
        let gap = (PASS_INTERVAL.as_millis() as u64).max(PASS_REST * ownership.pass_took);
        if since >= gap {
            self.pass(cx);
            return;
        }
        if ownership.pass_due {
            return;
        }
        ownership.pass_due = true;
        let fence = ownership.fence;
        after!(Duration::from_millis(gap - since), [cx], |this, cx| {
            if this.ownership_of(fence).is_some() {
                this.pass(cx);
            }
        });
    }

    /// Places, unless the cell is to be given up, and sends what was decided.
    pub(super) fn pass(&mut self, cx: &mut Cx<'_, Self>) {
        let link = self.node.settings.link;
        let is_store_failing = self.node.shared.is_store_failing();
        let config = self.node.shared.config.load();
        let Some(ownership) = self.current_ownership() else {
            return;
        };
        ownership.pass_due = false;
        let begun = time::now();
        if ownership.handover.is_none() && !ownership.is_doubtful() && ownership.halls.are_known() {
            if let Some(config) = &*config {
                ownership
                    .cell
                    .set_overcommitting(config.overcommitting_pools());
            }
            let most = ownership.relays.start_budget(link);
            ownership
                .cell
                .set_backpressured(ownership.relays.busy_workers());
            ownership.cell.place_up_to(begun, most);
        }
        ownership.passed = time::now();
        ownership.pass_took = ownership.passed - begun;
        ownership
            .relays
            .refill_text_budget(link, is_store_failing, time::now());
        for (id, order) in ownership.cell.take_orders() {
            match ownership.links.get(&id) {
                // A task that has ended belongs to a worker that is gone.
                Some(Link::Here(link)) => {
                    link.send(QueuedOrder::new(order, 0, 0, time::now()));
                }
                Some(Link::Relay(name)) => {
                    ownership.relays.order(name, &id, time::now(), order);
                }
                // Nobody talks to it now; what was ordered is found missing in its next report.
                None => {}
            }
        }
        self.ask_advice();
        self.wake_writer(cx);
    }

    /// Hands the cell's questions to the task that asks for advice.
    pub(super) fn ask_advice(&mut self) {
        let node = self.node.clone();
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        let fence = ownership.fence;
        for question in ownership.cell.take_advice_queries() {
            let way = ownership
                .advice
                .get_or_insert_with(|| owner_tasks::start_advice(&node, fence));
            // The task lives as long as the ownership.
            let _ = way.send(question);
        }
    }
}
