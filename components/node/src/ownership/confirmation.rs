//! An owner that may be none any more: it stood still, or was suspended, for as long as its lease lasts, had to take a new
//! lease, or is cut off from the store and from most of its workers.
//!
//! While it is in doubt it places nothing, lets no lease of a worker go on, and answers nobody for the cell. What ends
//! the doubt: a write under its own head, or, where the store does not answer, workers. Whoever claims the cell fences
//! them all before it places anything, so an answer without a higher fence from more than half of them, to a poll sent
//! since, shows that nobody has.
//!
//! A data hall may have been shut meanwhile. An owner whom the store has confirmed places nothing before it has read anew
//! which are. Where the store answers nobody, no more can have been shut, and it goes by what it knew.

use {
    super::Ownership,
    crate::{
        settings::{OWNER_LEASE, RENEW_INTERVAL},
        time,
    },
    cell::Reachability,
    std::{collections::HashSet, sync::Arc},
};

/// A doubt.
#[derive(Debug)]
pub(super) struct Unconfirmed {
    since: u64,
    /// A write that was begun since then had no answer.
    is_unwritten: bool,
    /// The workers that have answered polls sent since then.
    answered: HashSet<Arc<str>>,
}

impl Ownership {
    /// When the cell was surely this owner's.
    pub(crate) fn proven(&self) -> u64 {
        self.proven
    }

    /// Doubts when this box stood still for as long as its lease may be over.
    pub(super) fn doubt_if_late(&mut self) {
        let late = (OWNER_LEASE - RENEW_INTERVAL).as_millis() as u64;
        let since = time::now().saturating_sub(self.ticked);
        if since > late && self.doubt.is_none() {
            log::warn!(target: "owner", fence = self.fence, late = since; "This box stood still; another may own the cell.");
            self.doubt();
        }
    }

    /// Doubts when neither the store nor most of the workers have shown for a while that this box owns the cell: on the
    /// other side of a cut another box may have claimed it, and reckon leases over that this one lets go on. While the store
    /// is away for all, nobody can, and the workers answer.
    ///
    /// It must doubt no later than another box may claim: that one waits as long for leases as this one gives, and no
    /// longer. Seen with a hall cut off with the owner in it: the other claimed 2.4 s after the cut, and this one let
    /// leases go on until 3 s after it, while it counted workers that had answered in the last 3 s. Serving workers are
    /// silent 1.5 s after a cut; those without serving tasks, whose polls are held for 2 s, only 3 s after it.
    pub(super) fn doubt_if_alone(&mut self) {
        let now = time::now();
        let is_proven = now < self.proven + OWNER_LEASE.as_millis() as u64;
        if is_proven || self.doubt.is_some() {
            return;
        }
        let Reachability {
            reachable: heard,
            unreachable: silent,
        } = self.cell.reachability(now);
        if silent > 0 && silent >= heard {
            log::warn!(target: "owner", fence = self.fence, heard, silent, workers = self.cell.worker_count(); "This box reaches neither the store nor most of the workers; another may own the cell.");
            self.doubt();
        }
    }

    /// The store has shown at this time that this box owns the cell.
    pub(crate) fn prove(&mut self, at: u64) {
        self.proven = self.proven.max(at);
    }

    /// Another box may own the cell.
    pub(crate) fn doubt(&mut self) {
        self.doubt = Some(Unconfirmed {
            since: time::now(),
            is_unwritten: false,
            answered: HashSet::new(),
        });
        self.republish = true;
        self.cell.freeze_leases(true);
    }

    /// True while another box may own the cell.
    pub(super) const fn is_doubtful(&self) -> bool {
        self.doubt.is_some()
    }

    /// A write has come back that shows this box as the owner.
    pub(super) fn confirmed(&mut self) {
        self.prove(self.written);
        if let Some(doubt) = &self.doubt
            && self.written >= doubt.since
        {
            self.halls.doubt(doubt.since);
            self.trust_again();
        }
    }

    /// A write was not answered, and shows nothing.
    pub(super) fn unconfirmed(&mut self) {
        let written = self.written;
        if let Some(doubt) = &mut self.doubt {
            doubt.is_unwritten |= written >= doubt.since;
        }
        self.ask_workers();
    }

    /// A worker has answered a poll that was sent at this time, under the fence of this box.
    pub(super) fn answered_by(&mut self, id: &Arc<str>, sent: u64) {
        let Some(doubt) = &mut self.doubt else {
            return;
        };
        if sent >= doubt.since {
            doubt.answered.insert(id.clone());
            self.ask_workers();
        }
    }

    /// Goes by what the workers say, where the store says nothing.
    fn ask_workers(&mut self) {
        let count = self.cell.worker_count();
        let is_proven = self
            .doubt
            .as_ref()
            .is_some_and(|doubt| doubt.is_unwritten && doubt.answered.len() * 2 > count);
        if is_proven {
            self.trust_again();
        }
    }

    fn trust_again(&mut self) {
        log::info!(target: "owner", fence = self.fence; "The cell is still owned here.");
        self.doubt = None;
        self.cell.freeze_leases(false);
    }
}
