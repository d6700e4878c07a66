//! The two stages of an ownership as types: fencing the workers of the previous owner, then placing
//! work. Only an active ownership can number a start.

use std::{marker::PhantomData, sync::Arc};

/// Stage: the workers receive the new epoch, and the owner reads their ledgers.
#[derive(Debug, Clone, Copy)]
pub struct Fencing;

/// Stage: all running tasks are known, so work may be placed.
#[derive(Debug, Clone, Copy)]
pub struct Active;

/// One ownership of a cell, in stage `S`.
#[derive(Debug)]
pub struct Ownership<S> {
    cell: Arc<str>,
    epoch: u64,
    starts: u64,
    stage: PhantomData<S>,
}

impl<S> Ownership<S> {
    /// Returns the cell.
    pub fn cell(&self) -> &Arc<str> {
        &self.cell
    }

    /// Returns the epoch that every order carries.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }
}

impl Ownership<Fencing> {
    /// Begins an ownership with the newly incremented epoch.
    pub fn begin(cell: Arc<str>, epoch: u64) -> Self {
        Ownership {
            cell,
            epoch,
            starts: 0,
            stage: PhantomData,
        }
    }

    /// Ends the fencing stage.
    pub fn activate(self) -> Ownership<Active> {
        Ownership {
            cell: self.cell,
            epoch: self.epoch,
            starts: self.starts,
            stage: PhantomData,
        }
    }
}

impl Ownership<Active> {
    /// Returns the number of the next start, which is unique in the cell and greater than the numbers
    /// of all earlier epochs.
    pub fn next_attempt(&mut self) -> u64 {
        self.starts += 1;
        attempt_number(self.epoch, self.starts)
    }
}

/// Bits for the count of starts within one epoch; with more starts, numbers would repeat.
const COUNT_BITS: u32 = 40;

/// Returns the number of a start: the epoch in the high bits, the count in the low bits.
pub const fn attempt_number(epoch: u64, count: u64) -> u64 {
    (epoch << COUNT_BITS) | (count & ((1 << COUNT_BITS) - 1))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn next_attempt_above_earlier_epochs() {
        let mut first = Ownership::begin(Arc::from("h1"), 1).activate();
        let mut second = Ownership::begin(Arc::from("h1"), 2).activate();
        let highest = (0..1000).map(|_| first.next_attempt()).max();
        assert!(highest < Some(second.next_attempt()));
    }
}
