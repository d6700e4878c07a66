//! Workers of leaving relays that were given another connection and have not answered over it yet.
//!
//! Meanwhile reports may arrive over both connections. The clock of the worker tells which is
//! newer.

use std::{collections::HashMap, sync::Arc};

/// All workers that are being handed over.
#[derive(Default)]
pub(super) struct Handovers {
    former: HashMap<Arc<str>, Former>,
}

/// The former connection of a worker.
struct Former {
    /// The relay that is leaving.
    relay: Arc<str>,
    /// The worker's clock in the last report of that relay since then.
    clock: Option<u64>,
}

impl Handovers {
    /// Records that a worker of a leaving relay has another connection.
    pub fn begin(&mut self, id: Arc<str>, relay: Arc<str>) {
        let clock = self.former.get(&id).and_then(|former| former.clock);
        self.former.insert(id, Former { relay, clock });
    }

    /// Records a report of a former relay. False if it may be outdated, because the worker has
    /// answered over its new connection.
    pub fn accept_former(&mut self, id: &str, relay: &str, clock: u64) -> bool {
        let former = self.former.get_mut(id);
        let Some(former) = former.filter(|former| &*former.relay == relay) else {
            return false;
        };
        former.clock = former.clock.max(Some(clock));
        true
    }

    /// Records that a worker has been polled over its new connection, with the worker's clock if
    /// it has answered. False if its report is not newer than the last one of the former relay.
    pub fn complete(&mut self, id: &str, clock: Option<u64>) -> bool {
        let Some(former) = self.former.remove(id) else {
            return true;
        };
        clock.is_none() || clock > former.clock
    }

    /// True while a worker of this relay has not been polled over its new connection.
    pub fn involve(&self, relay: &str) -> bool {
        self.former.values().any(|former| &*former.relay == relay)
    }

    /// Discards what is known of a removed worker.
    pub fn remove_worker(&mut self, id: &str) {
        self.former.remove(id);
    }

    /// Discards what is known of a removed relay.
    pub fn remove_relay(&mut self, relay: &str) {
        self.former.retain(|_, former| &*former.relay != relay);
    }
}
