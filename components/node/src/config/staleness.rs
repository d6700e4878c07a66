//! What operators see of how far a box is behind.

use {
    crate::{core::Node, time},
    kernel::Failure,
};

/// So many tries that fail between two proofs are told. A single one is nothing to act on: a watch that
/// waits may be cut.
const TELLING: u32 = 2;

/// What is told and measured.
pub struct Staleness<'a> {
    node: &'a Node,
    /// When the configuration in force was last proven to be the newest; at first, when the box started.
    proven: u64,
    /// The tries that have failed since then.
    failures: u32,
}

impl<'a> Staleness<'a> {
    /// Nothing is proven.
    pub fn new(node: &'a Node) -> Self {
        Staleness {
            node,
            proven: time::now(),
            failures: 0,
        }
    }

    /// The version in force; 0 before the first one.
    fn version(&self) -> u64 {
        let present = self.node.shared.config.load();
        present.as_ref().map_or(0, |present| present.version)
    }

    /// How long ago the proof was, in milliseconds.
    fn age(&self) -> u64 {
        time::now() - self.proven
    }

    /// The newest version is in force, as a read or a change has just told.
    pub fn proven(&mut self, took: u64) {
        if self.failures >= TELLING {
            log::info!(target: "config", version = self.version(), unproven = self.age(), took; "The configuration is read again.");
        }
        self.failures = 0;
        self.proven = time::now();
    }

    /// A try has failed. It is told once between two proofs.
    pub fn failed(&mut self, failure: &Failure, took: u64) {
        log::debug!(target: "config", error:% = failure, took; "The configuration was not read.");
        self.failures += 1;
        if self.failures == TELLING {
            log::warn!(target: "config", version = self.version(), unproven = self.age(), took, error:% = failure; "The configuration cannot be read, and may be old.");
        }
    }

    /// Sets the figures.
    pub fn measure(&self) {
        metrics::gauge!("magpie_config_version").set(self.version() as f64);
        metrics::gauge!("magpie_config_age_seconds").set(self.age() as f64 / 1e3);
    }
}
