//! The losses of the last minutes, from which the rates of losses in the cell and of each machine
//! are taken.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

/// How long losses are remembered, in milliseconds.
pub(super) const MEMORY_MS: u64 = 120_000;

/// The losses within [`MEMORY_MS`].
#[derive(Debug, Default)]
pub(super) struct PastLosses {
    /// The oldest first.
    losses: VecDeque<PastLoss>,
    /// The number of losses by address.
    machines: HashMap<Arc<str>, usize>,
    /// The number of losses that no trial explains.
    unexplained: usize,
}

#[derive(Debug)]
struct PastLoss {
    /// When the worker was declared lost, on the owner's clock.
    at: u64,
    /// The address of the worker, which is that of all workers of its machine.
    address: Arc<str>,
    /// A suspected task was being tried on the worker, which explains the loss.
    has_trial: bool,
}

impl PastLosses {
    pub fn add(&mut self, address: Arc<str>, has_trial: bool, at: u64) {
        *self.machines.entry(address.clone()).or_default() += 1;
        self.unexplained += usize::from(!has_trial);
        self.losses.push_back(PastLoss {
            at,
            address,
            has_trial,
        });
    }

    /// Drops losses that are too old.
    pub fn expire(&mut self, now: u64) {
        let is_old = |loss: &mut PastLoss| now >= loss.at + MEMORY_MS;
        while let Some(loss) = self.losses.pop_front_if(is_old) {
            self.unexplained -= usize::from(!loss.has_trial);
            let Some(count) = self.machines.get_mut(&loss.address) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                self.machines.remove(&loss.address);
            }
        }
    }

    /// The number of losses that no trial explains.
    pub const fn unexplained(&self) -> usize {
        self.unexplained
    }

    /// The number of losses of the machine at this address.
    pub fn of_machine(&self, address: &str) -> usize {
        self.machines.get(address).copied().unwrap_or_default()
    }
}
