//! The time until which no other box has claimed the cell, and what follows for leases.
//!
//! A new owner that cannot reach a worker counts the worker's leases as expired some time after its
//! claim. A former owner may reach that worker, and does not notice the claim before another worker
//! refuses its poll. So an owner whose ownership was not confirmed lately grants leases that end
//! before any successor counts them as expired.

use {
    crate::{cell::Cell, timing},
    std::cmp::Reverse,
};

/// The time until which no other box has claimed the cell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClaimBound {
    /// On the owner's clock, in milliseconds.
    unclaimed_until: u64,
    /// The store has not confirmed the ownership lately, so that the polls of the workers have to.
    polls_confirm: bool,
}

impl Default for ClaimBound {
    fn default() -> Self {
        ClaimBound {
            unclaimed_until: u64::MAX,
            polls_confirm: false,
        }
    }
}

impl ClaimBound {
    /// Returns the longest lease that may be granted now, in milliseconds on the clock of a worker;
    /// at most `lease`. The slack of the time that a successor waits is left to its first polls.
    pub fn max_lease(self, lease: u64, now: u64) -> u64 {
        let waited = timing::max_lease_duration(lease) - timing::LEASE_SLACK;
        let left = self
            .unclaimed_until
            .saturating_add(waited)
            .saturating_sub(now);
        lease.min(left.saturating_mul(1_000) / (1_000 + timing::CLOCK_DRIFT))
    }

    /// Returns how long a poll may be held that could be held for `wait` milliseconds otherwise. A
    /// held poll confirms the ownership as of when it was sent.
    pub fn poll_wait(self, wait: u64) -> u64 {
        if self.polls_confirm {
            wait.min(timing::POLL_CONFIRMING)
        } else {
            wait
        }
    }
}

impl Cell {
    /// Sets until when no other box has claimed the cell, on the owner's clock in milliseconds.
    /// `polls_confirm` is true while the store does not confirm the ownership: polls are held for a
    /// shorter time then.
    pub fn set_claim_bound(&mut self, unclaimed_until: u64, polls_confirm: bool) {
        self.claim_bound = ClaimBound {
            unclaimed_until,
            polls_confirm,
        };
    }

    /// Returns the latest time, on the owner's clock, since which more than half of the workers
    /// have accepted a poll of this owner. A new owner polls all workers at once, so none had
    /// claimed the cell by then. 0 if no such time is known.
    pub fn majority_confirmed(&self) -> u64 {
        let confirmed = self.workers.values().map(|worker| worker.confirmed_at);
        let mut confirmed: Vec<u64> = confirmed.collect();
        let middle = confirmed.len() / 2;
        if confirmed.is_empty() {
            return 0;
        }
        let (_, &mut majority, _) = confirmed.select_nth_unstable_by_key(middle, |&at| Reverse(at));
        majority
    }
}
