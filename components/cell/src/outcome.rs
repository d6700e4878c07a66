//! Outcomes of orders, as answered by workers.

use {
    crate::{
        cell::Cell,
        closed::Backoff,
        order::{Order, Outcome, Refusal, Start},
        slot::Stage,
        worker::TaskKey,
    },
    std::sync::Arc,
};

impl Cell {
    /// Processes the outcome of an order. Returns true if it shows that another owner has taken
    /// over.
    pub fn handle_outcome(
        &mut self,
        id: &Arc<str>,
        order: &Order,
        outcome: Outcome,
        now: u64,
    ) -> bool {
        let outcome = match outcome {
            Outcome::Refused(Refusal::Fence) if self.is_superseded(id) => {
                Outcome::Refused(Refusal::NotSent)
            }
            Outcome::Refused(Refusal::Fence) => return true,
            outcome => outcome,
        };
        if let Order::Start(start) = order {
            // This also holds if another incarnation refused the start: it was surely not carried
            // out, so the task has crashed nothing.
            self.start_answered(id, start, outcome, now);
            self.refresh_loss(id);
        }
        if outcome == Outcome::Refused(Refusal::OtherLife) {
            self.end_incarnation(id, "another incarnation answers", now);
            return false;
        }
        match order {
            Order::Stop { key, run, .. } if outcome == Outcome::Done => {
                self.stop_confirmed(id, key, *run, now);
            }
            Order::Pace {
                key, run, percent, ..
            } => self.pace_answered(id, key, *run, *percent, outcome, now),
            Order::Start(_) | Order::Stop { .. } | Order::Withdraw { .. } => {}
        }
        false
    }

    /// Handles the answer to an order to pace a run.
    fn pace_answered(
        &mut self,
        id: &Arc<str>,
        key: &TaskKey,
        run: u64,
        percent: u8,
        outcome: Outcome,
        now: u64,
    ) {
        if let Some(slot) = self.slot_mut(id, key)
            && slot.run == run
        {
            let is_last = slot.percent == percent;
            slot.pace_order.answered(outcome, is_last, now);
        }
    }

    /// Handles the confirmation of an order to stop.
    fn stop_confirmed(&mut self, id: &Arc<str>, key: &TaskKey, run: u64, now: u64) {
        if let Some(slot) = self.slot_mut(id, key)
            && slot.run == run
            && slot.is_sent()
        {
            slot.start_cancelled = Some(now);
        }
    }

    /// Handles the answer to an order to start.
    fn start_answered(&mut self, id: &Arc<str>, start: &Start, outcome: Outcome, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(slot) = worker.slots.get_mut(&start.key) else {
            return;
        };
        if slot.run != start.run {
            return;
        }
        let is_stopping = slot.stopping.is_some();
        match outcome {
            Outcome::Done => {
                slot.stage = Stage::Running { at: now };
                self.mark_started(&start.key);
            }
            Outcome::Unknown => {
                slot.unanswered = Some(now);
                worker.back_off(Backoff::Unanswered, now);
            }
            Outcome::Refused(reason) => {
                log::info!(target: "cell", job = start.key.job.as_str(), place = start.key.place, worker = &**id, run = start.run, reason:? = reason; "Start refused.");
                // A start that was revoked before it was sent does not count for its worker:
                // backing off left 51 cores free for 0.5 s.
                if !(reason == Refusal::NotSent && is_stopping) {
                    worker.back_off(Backoff::Refused, now);
                }
                worker.remove_slot(&start.key);
                if reason == Refusal::Ticket {
                    self.drop_ticket(&start.key.job, start.address, id);
                }
                self.requeue_if_unplaced(&start.key);
                self.stop_gang(&start.key, start.run, now);
            }
        }
    }
}
