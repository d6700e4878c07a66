//! Permits to send orders under the fence of an owner.
//!
//! A box that was frozen or suspended goes on where it stopped, and another box may own the cell by
//! then. So each order needs a permit, and the fence that it is sent under can only be read from the
//! permit, at the moment of sending. Reading it fails once the ownership has ended, is unconfirmed,
//! or was last confirmed too long ago by a clock that advances during suspensions. Nothing else has
//! to notice the freeze first.
//!
//! An order without a permit was surely not sent. It is decided anew once the ownership is
//! confirmed again.

use {
    crate::{
        order_queue::Revocation,
        settings::{MAX_CONFIRMATION_AGE, MAX_LEASE_CONFIRMATION_AGE, REFUSAL_LOG_INTERVAL},
        time,
    },
    cell::Poll,
    kernel::{Failure, sync::lock, verdict::Cause},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// What may confirm the ownership that an order relies on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Basis {
    /// The store only, because the receiver may not check the fence.
    Store,
    /// The store, or answers of most of the workers. Workers refuse a lower fence.
    Any,
    /// The same for a lease, whose deadline does not depend on when it is sent.
    Lease,
}

impl Basis {
    /// Maximum age of the confirmation.
    const fn max_age(self) -> Duration {
        match self {
            Basis::Store | Basis::Any => MAX_CONFIRMATION_AGE,
            Basis::Lease => MAX_LEASE_CONFIRMATION_AGE,
        }
    }
}

/// An ownership, and when it was last confirmed. Times are in milliseconds on the clock of this
/// box; 0 for never.
#[derive(Debug, Default)]
struct Tenure {
    /// The fence; 0 without an ownership.
    fence: u64,
    /// When the store last confirmed the ownership.
    by_store: u64,
    /// When most of the workers last confirmed the ownership.
    by_workers: u64,
    /// The ownership is unconfirmed.
    is_suspended: bool,
    /// Number of permits refused since the last log entry.
    refused: u64,
    /// When a refusal was last logged.
    logged: u64,
}

impl Tenure {
    /// True while orders may be sent under this fence.
    fn allows(&self, fence: u64, basis: Basis, now: u64) -> bool {
        let confirmed = self.confirmed(basis);
        let is_recent =
            confirmed > 0 && now.saturating_sub(confirmed) <= basis.max_age().as_millis() as u64;
        fence != 0 && self.fence == fence && !self.is_suspended && is_recent
    }

    /// When the ownership was last confirmed.
    fn confirmed(&self, basis: Basis) -> u64 {
        match basis {
            Basis::Store => self.by_store,
            Basis::Any | Basis::Lease => self.by_store.max(self.by_workers),
        }
    }

    /// Counts and logs a refusal. Limits the log entries, since a queue of orders is refused at once.
    fn log_refusal(&mut self, fence: u64, basis: Basis, now: u64) {
        metrics::counter!("magpie_permits_refused_total").increment(1);
        self.refused += 1;
        let interval = REFUSAL_LOG_INTERVAL.as_millis() as u64;
        if self.logged > 0 && now.saturating_sub(self.logged) < interval {
            return;
        }
        let age = now.saturating_sub(self.confirmed(basis));
        log::warn!(target: "permits", fence, current = self.fence, age, suspended = self.is_suspended, refused = self.refused; "Orders are not sent, because the ownership of the cell is not confirmed.");
        self.logged = now;
        self.refused = 0;
    }
}

/// Grants permits for one ownership at a time: that of this box, or that of the owner for which this
/// box is a relay. Clones share their state.
#[derive(Debug, Default, Clone)]
pub struct Permits(Arc<Mutex<Tenure>>);

impl Permits {
    /// Begins an ownership that the store has confirmed at `at`; 0 if it has not.
    pub fn begin_tenure(&self, fence: u64, at: u64) {
        *lock(&self.0) = Tenure {
            fence,
            by_store: at,
            ..Tenure::default()
        };
    }

    /// Ends the ownership: all its permits are invalid from now on.
    pub fn end_tenure(&self) {
        *lock(&self.0) = Tenure::default();
    }

    /// Records that the store has confirmed the ownership at `at`.
    pub fn confirm_by_store(&self, fence: u64, at: u64) {
        self.update(fence, |tenure| tenure.by_store = tenure.by_store.max(at));
    }

    /// Records that most of the workers have confirmed the ownership at `at`.
    pub fn confirm_by_workers(&self, fence: u64, at: u64) {
        self.update(fence, |tenure| {
            tenure.by_workers = tenure.by_workers.max(at);
        });
    }

    /// Suspends all permits, since another box may own the cell.
    pub fn suspend(&self, fence: u64) {
        self.update(fence, |tenure| tenure.is_suspended = true);
    }

    /// Resumes the permits of an ownership that was confirmed again.
    pub fn lift_suspension(&self, fence: u64) {
        self.update(fence, |tenure| tenure.is_suspended = false);
    }

    fn update(&self, fence: u64, change: impl FnOnce(&mut Tenure)) {
        let mut tenure = lock(&self.0);
        if tenure.fence == fence {
            change(&mut tenure);
        }
    }

    /// Grants a permit for an order to a worker, which refuses lower fences than it has seen. `None`
    /// if the ownership is not confirmed; the refusal is logged.
    pub fn for_worker(&self, fence: u64) -> Option<Permit> {
        self.grant(fence, Basis::Any)
    }

    /// Grants a permit for an order to a service that may not check fences, or for a write that
    /// depends on no earlier state. `None` if the store has not confirmed the ownership lately; the
    /// refusal is logged.
    pub fn for_service(&self, fence: u64) -> Option<Permit> {
        self.grant(fence, Basis::Store)
    }

    /// Grants a permit for a poll, which always exists: polls confirm an ownership.
    pub fn for_poll(&self, fence: u64) -> PollPermit {
        PollPermit(Permit {
            permits: self.clone(),
            fence,
            basis: Basis::Lease,
            revocation: None,
        })
    }

    fn grant(&self, fence: u64, basis: Basis) -> Option<Permit> {
        let permit = Permit {
            permits: self.clone(),
            fence,
            basis,
            revocation: None,
        };
        permit.fence().ok().map(|_| permit)
    }
}

/// The permit for one order. It cannot be copied, and is checked again whenever its fence is read.
#[derive(Debug)]
pub struct Permit {
    permits: Permits,
    fence: u64,
    basis: Basis,
    /// Makes the permit invalid once the order is revoked.
    revocation: Option<Revocation>,
}

impl Permit {
    /// Returns the permit of an order that may be revoked.
    #[must_use]
    pub fn revocable(self, revocation: Option<Revocation>) -> Self {
        Permit { revocation, ..self }
    }

    /// Returns the fence to send the order under. To be called right before each attempt to send it.
    ///
    /// # Errors
    ///
    /// The ownership is not confirmed any more, or the order was revoked. It must not be sent.
    pub fn fence(&self) -> Result<u64, Failure> {
        let now = time::now();
        let revocation = self.revocation.as_ref();
        if revocation.is_some_and(|revocation| revocation.is_revoked(now)) {
            return Err(Failure::not_run(
                Cause::Refused,
                "the order was revoked, or is too old",
            ));
        }
        let mut tenure = lock(&self.permits.0);
        if tenure.allows(self.fence, self.basis, now) {
            return Ok(self.fence);
        }
        tenure.log_refusal(self.fence, self.basis, now);
        Err(Failure::not_run(
            Cause::Refused,
            "the ownership of the cell is not confirmed",
        ))
    }
}

/// The permit for one poll. A poll may be sent at any time, but extends leases only while orders may
/// be sent.
#[derive(Debug)]
pub struct PollPermit(Permit);

impl PollPermit {
    /// Returns the fence of the poll, and the poll as it may be sent now: one that extends no leases
    /// while the ownership is not confirmed. To be called right before each attempt to send it.
    pub fn restrict(&self, poll: Poll) -> (u64, Poll) {
        let fence = self.0.fence;
        if poll.deadline == 0 || self.0.fence().is_ok() {
            return (fence, poll);
        }
        (
            fence,
            Poll {
                deadline: 0,
                ..poll
            },
        )
    }
}

/// The right to send one more call to a worker: a permit for an order or for a poll.
#[derive(Debug, Clone, Copy)]
pub enum Pass<'a> {
    /// An order is sent, or a poll that precedes it.
    Order(&'a Permit),
    /// A poll is sent.
    Poll(&'a PollPermit),
}

impl Pass<'_> {
    /// Checks the right at the moment of sending.
    ///
    /// # Errors
    ///
    /// As for [`Permit::fence`]. A poll is never refused.
    pub fn check(self) -> Result<(), Failure> {
        match self {
            Pass::Order(permit) => permit.fence().map(drop),
            Pass::Poll(_) => Ok(()),
        }
    }
}
