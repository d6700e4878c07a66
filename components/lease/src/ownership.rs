//! The life of an ownership: first the workers are fenced and read, then work is placed.

use std::{marker::PhantomData, sync::Arc};

/// The workers are being told the new epoch and their ledgers are being read.
#[derive(Debug, Clone, Copy)]
pub struct Fencing;

/// What runs is known; work may be placed.
#[derive(Debug, Clone, Copy)]
pub struct Active;

/// One ownership of a cell, in the stage `S`.
#[derive(Debug)]
pub struct Ownership<S> {
    cell: Arc<str>,
    epoch: u64,
    starts: u64,
    stage: PhantomData<S>,
}

impl<S> Ownership<S> {
    /// The cell.
    pub fn cell(&self) -> &Arc<str> {
        &self.cell
    }

    /// The epoch that every order carries.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }
}

impl Ownership<Fencing> {
    /// Begins with a raised epoch.
    pub fn begin(cell: Arc<str>, epoch: u64) -> Self {
        Ownership {
            cell,
            epoch,
            starts: 0,
            stage: PhantomData,
        }
    }

    /// Ends the fencing. Only what follows can number a start.
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
    /// The number of the next start: unlike that of any other start of the cell, and above those
    /// of every earlier epoch.
    pub fn next_attempt(&mut self) -> u64 {
        self.starts += 1;
        attempt_number(self.epoch, self.starts)
    }
}

/// Starts that one tenure can number before it would meet the next epoch's numbers.
const COUNT_BITS: u32 = 40;

/// The number of a start: the epoch above, the count below.
pub const fn attempt_number(epoch: u64, count: u64) -> u64 {
    (epoch << COUNT_BITS) | (count & ((1 << COUNT_BITS) - 1))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn attempt_grows_over_epochs() {
        let mut first = Ownership::begin(Arc::from("h1"), 1).activate();
        let mut second = Ownership::begin(Arc::from("h1"), 2).activate();
        let old = (0..1000).map(|_| first.next_attempt()).max();
        assert!(old < Some(second.next_attempt()));
    }
}
