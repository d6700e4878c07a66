//! Passes of placement, and what they decide on its way.

use {
    super::Link,
    crate::{core::Core, owning, queued::Queued, settings::PASS_GAP, time},
    kernel::stakker::{Cx, after},
    std::time::Duration,
};

/// A pass is followed by a pause of this many times its length.
const PASS_REST: u64 = 4;

impl Core {
    /// Places, sends orders and wakes the writer, now or shortly.
    pub(crate) fn settle(&mut self, cx: &mut Cx<'_, Self>) {
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        let since = time::now().saturating_sub(tenure.passed);
        // A long pass is followed by a longer pause, so that passes leave time for reports.
        let gap = (PASS_GAP.as_millis() as u64).max(PASS_REST * tenure.pass_took);
        if since >= gap {
            self.pass(cx);
            return;
        }
        if tenure.pass_due {
            return;
        }
        tenure.pass_due = true;
        let fence = tenure.fence;
        after!(Duration::from_millis(gap - since), [cx], |this, cx| {
            if this.tenure_of(fence).is_some() {
                this.pass(cx);
            }
        });
    }

    /// Places, unless the cell is to be given up, and sends what was decided.
    pub(super) fn pass(&mut self, cx: &mut Cx<'_, Self>) {
        let link = self.node.settings.link;
        let is_failing = self.node.shared.is_failing();
        let config = self.node.shared.config.load();
        let Some(tenure) = self.present() else {
            return;
        };
        tenure.pass_due = false;
        let begun = time::now();
        if tenure.leaving.is_none() && !tenure.is_doubtful() && tenure.halls.are_known() {
            if let Some(config) = &*config {
                tenure.cell.set_overcommitting(config.unguarded());
            }
            let most = tenure.relays.starts(link);
            tenure.cell.set_backpressured(tenure.relays.busy());
            tenure.cell.place_some(begun, most);
        }
        tenure.passed = time::now();
        tenure.pass_took = tenure.passed - begun;
        tenure.relays.allow_texts(link, is_failing, time::now());
        for (id, order) in tenure.cell.take_orders() {
            match tenure.links.get(&id) {
                // A task that has ended belongs to a worker that is gone.
                Some(Link::Here(link)) => {
                    link.send(Queued::new(order, 0, 0, time::now()));
                }
                Some(Link::Relay(name)) => {
                    tenure.relays.order(name, &id, time::now(), order);
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
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        let fence = tenure.fence;
        for question in tenure.cell.take_advice_queries() {
            let way = tenure
                .advice
                .get_or_insert_with(|| owning::ask_advice(&node, fence));
            // The task lives as long as the tenure.
            let _ = way.send(question);
        }
    }
}
