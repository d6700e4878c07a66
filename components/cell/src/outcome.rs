//! What a worker's answer to an order means.

use {
    crate::{
        cell::Cell,
        order::{Order, Outcome, Refusal, Start},
        slot::Stage,
        worker::TaskKey,
    },
    std::sync::Arc,
};

impl Cell {
    /// Takes in what came of an order. True when it shows that another owner has taken over.
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
            // Also where another life refuses it: it was surely not carried out, and what it was for has crashed nothing.
            self.started(id, start, outcome, now);
            self.refresh_loss(id);
        }
        if outcome == Outcome::Refused(Refusal::OtherLife) {
            self.end_incarnation(id, "another life answers", now);
            return false;
        }
        if let Order::Stop { key, run, .. } = order
            && outcome == Outcome::Done
        {
            self.stopped(id, key, *run, now);
        }
        false
    }

    /// Takes in that a worker has confirmed an order to stop.
    fn stopped(&mut self, id: &Arc<str>, key: &TaskKey, run: u64, now: u64) {
        let slot = self
            .workers
            .get_mut(id)
            .and_then(|worker| worker.slots.get_mut(key));
        if let Some(slot) = slot
            && slot.run == run
            && slot.is_sent()
        {
            slot.start_cancelled = Some(now);
        }
    }

    /// Takes in the answer to an order to start.
    fn started(&mut self, id: &Arc<str>, start: &Start, outcome: Outcome, now: u64) {
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
                worker.back_off(now);
            }
            Outcome::Refused(reason) => {
                log::info!(target: "cell", job = start.key.job.as_str(), place = start.key.place, worker = &**id, run = start.run, reason:? = reason; "A start is refused.");
                // One that was taken back before it left says nothing of its worker: 51 cores stood open for 0.5 s.
                if !(reason == Refusal::NotSent && is_stopping) {
                    worker.back_off(now);
                }
                worker.remove_slot(&start.key);
                if reason == Refusal::Ticket {
                    self.drop_ticket(&start.key.job, start.address, id);
                }
                self.requeue_if_unplaced(&start.key);
            }
        }
    }
}
