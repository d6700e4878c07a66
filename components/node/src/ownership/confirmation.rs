//! Unconfirmed ownership: another box may have claimed the cell. This is the case after the owner
//! stalled or was suspended for as long as its lease, after it had to take a new lease, or while it
//! can reach neither the store nor most of its workers.
//!
//! An unconfirmed owner places nothing, extends no leases of workers, and answers no requests for
//! the cell. A write under its own head confirms the ownership. If the store does not answer, the
//! workers confirm it: a new owner polls all workers at once, so if more than half of them answer a
//! later poll without a higher fence, no other box owns the cell. Jobs that name a later fence are
//! not admitted by that: only a write proves that there is no later owner.
//!
//! A data hall may have been closed meanwhile. An owner that is confirmed by a write reads the
//! closed halls again before it places anything. If the store is down for all boxes, no hall can
//! have been closed, and the known closures remain valid.

use {
    super::Ownership,
    crate::{
        settings::{MAX_LEASE_AGE, OWNER_LEASE, RENEW_INTERVAL},
        time,
    },
    cell::Reachability,
    std::{collections::HashSet, sync::Arc},
};

/// State of an unconfirmed ownership.
#[derive(Debug)]
pub(super) struct Unconfirmed {
    /// When the ownership became unconfirmed.
    since: u64,
    /// A write that was sent since then had no answer.
    has_failed_write: bool,
    /// The workers that have answered polls sent since then.
    answered: HashSet<Arc<str>>,
}

impl Ownership {
    /// When the ownership was last confirmed, on the clock of this box.
    pub(crate) fn last_confirmed(&self) -> u64 {
        self.last_confirmed
    }

    /// Marks the ownership as unconfirmed if the actor has stalled for so long that its lease may
    /// have expired.
    pub(super) fn check_stall(&mut self) {
        let limit = (OWNER_LEASE - RENEW_INTERVAL).as_millis() as u64;
        let since = time::now().saturating_sub(self.last_tick);
        if since > limit && self.unconfirmed.is_none() {
            log::warn!(target: "owner", fence = self.fence, late = since; "This box stalled for longer than its lease may last; another box may own the cell.");
            self.mark_unconfirmed();
        }
    }

    /// Marks the ownership as unconfirmed if neither the store nor most of the workers have
    /// confirmed it for the length of a lease. In a network partition another box may have claimed
    /// the cell, and assume that leases have expired which this box still extends. If the store is
    /// down for all boxes, none can claim the cell, and the workers still answer.
    ///
    /// This must happen no later than another box can claim the cell, since a new owner waits only
    /// as long for old leases as this box grants them. When workers counted as reachable for 3 s
    /// after their last answer and a data hall with the owner in it was partitioned off, another
    /// box claimed the cell 2.4 s after the partition while this box extended leases for 3 s.
    /// Workers with serving tasks count as unreachable 1.5 s after a partition; workers without,
    /// whose polls are held for 2 s, after 3 s.
    ///
    /// While most of the workers answer and the ownership is not in doubt, they confirm it as well.
    pub(super) fn check_isolation(&mut self, now: u64) {
        if self.unconfirmed.is_some() {
            return;
        }
        let Reachability {
            reachable: heard,
            unreachable: silent,
        } = self.cell.reachability(now);
        if heard > silent {
            self.permits.confirm_by_workers(self.fence, now);
        }
        if now < self.last_confirmed + OWNER_LEASE.as_millis() as u64 {
            return;
        }
        if silent > 0 && silent >= heard {
            log::warn!(target: "owner", fence = self.fence, heard, silent, workers = self.cell.worker_count(); "Neither the store nor most of the workers are reachable; another box may own the cell.");
            self.mark_unconfirmed();
        }
    }

    /// Updates the time until which no other box has claimed the cell: the lease of the owner's key
    /// lasts for its length after the last renewal, and later the polls of the workers tell.
    pub(super) fn update_claim_bound(&mut self) {
        let now = time::now();
        let by_lease = self.last_renewed + OWNER_LEASE.as_millis() as u64;
        let mut unclaimed_until = by_lease.max(self.last_confirmed);
        if unclaimed_until < now {
            unclaimed_until = unclaimed_until.max(self.cell.majority_confirmed());
        }
        let polls_confirm = now > self.last_renewed + MAX_LEASE_AGE.as_millis() as u64;
        self.cell.set_claim_bound(unclaimed_until, polls_confirm);
    }

    /// Records that the lease of the owner's key was renewed at this time.
    pub(crate) fn renewed_at(&mut self, at: u64) {
        self.last_renewed = self.last_renewed.max(at);
        self.confirm_at(at);
    }

    /// Records that the store has confirmed the ownership at this time.
    pub(crate) fn confirm_at(&mut self, at: u64) {
        self.last_confirmed = self.last_confirmed.max(at);
        self.permits.confirm_by_store(self.fence, at);
    }

    /// Marks the ownership as unconfirmed: another box may own the cell.
    pub(crate) fn mark_unconfirmed(&mut self) {
        self.permits.suspend(self.fence);
        self.unconfirmed = Some(Unconfirmed {
            since: time::now(),
            has_failed_write: false,
            answered: HashSet::new(),
        });
        self.republish = true;
        self.cell.freeze_leases(true);
    }

    /// True while another box may own the cell.
    pub(super) const fn is_unconfirmed(&self) -> bool {
        self.unconfirmed.is_some()
    }

    /// Records that the last write was applied or found under this owner's head, which confirms the
    /// ownership as of the time it was sent.
    pub(super) fn write_confirmed(&mut self) {
        self.confirm_at(self.group_sent);
        if let Some(unconfirmed) = &self.unconfirmed
            && self.group_sent >= unconfirmed.since
        {
            self.halls.invalidate(unconfirmed.since);
            self.restore();
        }
    }

    /// Records that the last write had no answer, so that it confirms nothing.
    pub(super) fn write_unanswered(&mut self) {
        let group_sent = self.group_sent;
        if let Some(unconfirmed) = &mut self.unconfirmed {
            unconfirmed.has_failed_write |= group_sent >= unconfirmed.since;
        }
        self.check_majority();
    }

    /// Records that a worker has accepted a poll under the fence of this box that was sent at
    /// `sent`.
    pub(super) fn poll_answered(&mut self, id: &Arc<str>, sent: u64) {
        let Some(unconfirmed) = &mut self.unconfirmed else {
            return;
        };
        if sent >= unconfirmed.since {
            unconfirmed.answered.insert(id.clone());
            self.check_majority();
        }
    }

    /// Confirms the ownership if a majority of the workers has answered and a write had no answer.
    fn check_majority(&mut self) {
        let count = self.cell.worker_count();
        let is_confirmed = self.unconfirmed.as_ref().is_some_and(|unconfirmed| {
            unconfirmed.has_failed_write && unconfirmed.answered.len() * 2 > count
        });
        if is_confirmed {
            self.restore();
        }
    }

    fn restore(&mut self) {
        log::info!(target: "owner", fence = self.fence; "Cell ownership confirmed.");
        self.unconfirmed = None;
        self.permits.lift_suspension(self.fence);
        self.cell.freeze_leases(false);
    }
}
