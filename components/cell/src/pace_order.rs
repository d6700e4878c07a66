//! What is known of the orders to pace a run. Only a confirmed one is sure to be in force, and one
//! without an answer may be carried out after later ones.

use crate::order::Outcome;

/// How long after an order went unanswered it may still be carried out, in milliseconds.
const MAX_DELAY: u64 = 10_000;
/// While an unanswered order may still be carried out, the pace is ordered again at this interval,
/// in milliseconds.
const REPEAT_INTERVAL: u64 = 2_000;
/// An order that was not confirmed is sent again after this time, in milliseconds.
const RETRY_INTERVAL: u64 = 500;
/// An order whose outcome does not arrive within this time, in milliseconds, counts as unanswered:
/// its relay may have ended.
const OUTCOME_TIMEOUT: u64 = 3_000;

/// The state of the last order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The worker has carried it out, or has had none and runs the task at full speed.
    Confirmed,
    /// Its outcome is not known yet.
    Sent,
    /// It was refused or not answered.
    Unconfirmed,
}

/// The orders to pace a run. Times are on the owner's clock, in milliseconds.
#[derive(Debug, Clone)]
pub struct PaceOrder {
    state: State,
    /// When the last order was sent.
    sent_at: u64,
    /// Until when an unanswered order may be carried out; 0 if all were answered.
    unsettled_until: u64,
}

impl PaceOrder {
    /// The orders of a run that has had none.
    pub const fn none() -> Self {
        PaceOrder {
            state: State::Confirmed,
            sent_at: 0,
            unsettled_until: 0,
        }
    }

    /// True if the worker has carried out the last order.
    pub fn is_confirmed(&self) -> bool {
        self.state == State::Confirmed
    }

    /// Returns when the last order was sent; 0 if there was none.
    pub(crate) const fn sent_at(&self) -> u64 {
        self.sent_at
    }

    /// True if an order went unanswered during the run.
    pub const fn was_unanswered(&self) -> bool {
        self.unsettled_until > 0
    }

    /// Records that an order is sent.
    pub(crate) fn sent(&mut self, now: u64) {
        if self.is_overdue(now) {
            self.unsettled_until = now + MAX_DELAY;
        }
        self.state = State::Sent;
        self.sent_at = now;
    }

    /// Records the outcome of an order. `is_last` is false if another pace was ordered meanwhile.
    pub(crate) fn answered(&mut self, outcome: Outcome, is_last: bool, now: u64) {
        if outcome == Outcome::Unknown {
            self.unsettled_until = now + MAX_DELAY;
        }
        if is_last {
            self.state = match outcome {
                Outcome::Done => State::Confirmed,
                Outcome::Unknown | Outcome::Refused(_) => State::Unconfirmed,
            };
        }
    }

    /// True if the last order has to be sent again.
    pub(crate) fn is_repeat_due(&self, now: u64) -> bool {
        match self.state {
            State::Confirmed => {
                let next = self.unsettled_until.min(self.sent_at + REPEAT_INTERVAL);
                self.sent_at < self.unsettled_until && now >= next
            }
            State::Sent => self.is_overdue(now),
            State::Unconfirmed => now >= self.sent_at + RETRY_INTERVAL,
        }
    }

    /// True if the outcome of the last order should have arrived.
    fn is_overdue(&self, now: u64) -> bool {
        self.state == State::Sent && now >= self.sent_at + OUTCOME_TIMEOUT
    }
}
