//! Logs and metrics about the age of the configuration in force.

use {
    crate::{core::Node, time},
    kernel::Failure,
};

/// The number of consecutive failures that is logged as a warning. A single failure needs no
/// action: a pending watch may be disconnected.
const LOGGED_FAILURES: u32 = 2;

/// Tracks when the configuration in force was last known to be the newest.
pub struct Staleness<'a> {
    node: &'a Node,
    /// When the configuration in force was last verified to be the newest; initially the start of
    /// the box.
    verified: u64,
    /// Failed attempts since then.
    failures: u32,
}

impl<'a> Staleness<'a> {
    /// Starts without a verified configuration.
    pub fn new(node: &'a Node) -> Self {
        Staleness {
            node,
            verified: time::now(),
            failures: 0,
        }
    }

    /// The version in force; 0 before the first one.
    fn version(&self) -> u64 {
        let present = self.node.shared.config.load();
        present.as_ref().map_or(0, |present| present.version)
    }

    /// The time since the last verification, in milliseconds.
    fn age(&self) -> u64 {
        time::now() - self.verified
    }

    /// Records that a read, a watch or a heartbeat has shown the configuration in force to be the
    /// newest.
    pub fn confirmed(&mut self, took: u64) {
        if self.failures >= LOGGED_FAILURES {
            log::info!(target: "config", version = self.version(), unproven = self.age(), took; "The configuration can be read again.");
        }
        self.failures = 0;
        self.verified = time::now();
    }

    /// Records a failed attempt. Repeated failures are logged once until the next success.
    pub fn failed(&mut self, failure: &Failure, took: u64) {
        log::debug!(target: "config", error:% = failure, took; "An attempt to read the configuration failed.");
        self.failures += 1;
        if self.failures == LOGGED_FAILURES {
            log::warn!(target: "config", version = self.version(), unproven = self.age(), took, error:% = failure; "The configuration cannot be read and may be outdated.");
        }
    }

    /// Updates the metrics.
    pub fn export(&self) {
        metrics::gauge!("magpie_config_version").set(self.version() as f64);
        metrics::gauge!("magpie_config_age_seconds").set(self.age() as f64 / 1e3);
    }
}
