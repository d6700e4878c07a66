//! The owner's state of one maintenance wave.

use {
    super::{Machine, Wave},
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        sync::Arc,
    },
};

/// How long an order that is neither proven nor refused may still be carried out, in milliseconds.
/// This is longer than the time-out of its call, and than the time within which two owners must not
/// take turns at one machine.
pub const ORDER_LIFETIME: u64 = 5_000;

/// How long the listings must lack a machine until it has left the fleet, in milliseconds. One
/// listing may lack a machine that stays, since its pages are no snapshot.
const ABSENT_TIME: u64 = 5_000;

/// The owner's state of a wave.
#[derive(Debug, Default)]
pub(crate) struct WaveState {
    /// Machines that have had their maintenance.
    pub done: BTreeSet<Arc<str>>,
    /// Machines that were ordered down and are not done.
    pub orders: BTreeMap<Arc<str>, OrderState>,
    /// Machines that are being drained, and since when.
    pub draining: BTreeMap<Arc<str>, u64>,
    /// Machines that the last listings lack, and since when.
    absent: BTreeMap<Arc<str>, u64>,
    /// Those of them that have left the fleet.
    gone: BTreeSet<Arc<str>>,
}

/// What is known of an order to take a machine down.
#[derive(Debug)]
pub(crate) struct OrderState {
    /// The id of the incarnation that it takes down, if that was known.
    pub incarnation: Option<Arc<str>>,
    /// Since when the worker of the machine has been drained.
    pub drained_since: u64,
    /// Until when it may still be carried out. This does not end with a refusal, since the order
    /// may have been delivered twice.
    pub open_until: u64,
    /// It was refused, and may be repeated at once.
    pub refused: bool,
    /// The maintenance has surely begun.
    pub begun: bool,
}

impl OrderState {
    /// True if the order has to be repeated once the machine is up and drained.
    fn must_repeat(&self, now: u64) -> bool {
        !self.begun && (self.refused || now >= self.open_until)
    }
}

impl WaveState {
    /// Updates the state of each machine from the listing. A machine is done when its maintenance
    /// has surely begun and it is up. Another worker or incarnation on it proves nothing, since the
    /// former one may have crashed.
    ///
    /// A machine that is down for maintenance without a note was ordered by an owner that writes
    /// none. That a machine is down proves nothing if several waves have it, since two owners may
    /// have ordered it for one each.
    pub(crate) fn update(
        &mut self,
        wave: &Wave,
        listed: &BTreeMap<&str, &Machine>,
        shared: &HashSet<&str>,
        now: u64,
    ) {
        self.adopt_notes(wave, now);
        self.orders.retain(|name, _| wave.machines.contains(name));
        self.draining.retain(|name, _| wave.machines.contains(name));
        for name in &wave.machines {
            let Some(machine) = listed.get(&**name) else {
                self.note_absent(name, now);
                continue;
            };
            self.absent.remove(name);
            self.gone.remove(name);
            let is_begun = machine.in_maintenance && !shared.contains(&**name);
            if is_begun && !self.done.contains(name) && !self.orders.contains_key(name) {
                self.adopt_order(name, now);
            }
            if let Some(order) = self.orders.get_mut(name) {
                order.begun |= is_begun;
                if order.begun && machine.up {
                    self.done.insert(name.clone());
                } else if !order.begun && !machine.up && now >= order.open_until {
                    // It is ordered again when it is back. Its place goes to others until then.
                    self.orders.remove(name);
                }
            }
            if self.done.contains(name) {
                self.orders.remove(name);
            }
            if self.done.contains(name) || !machine.up {
                self.draining.remove(name);
            }
        }
    }

    /// Records that the listing lacks a machine.
    fn note_absent(&mut self, name: &Arc<str>, now: u64) {
        self.draining.remove(name);
        let since = *self.absent.entry(name.clone()).or_insert(now);
        if now >= since + ABSENT_TIME {
            self.orders.remove(name);
            self.gone.insert(name.clone());
        }
    }

    /// True if each machine has had its maintenance or has left the fleet.
    pub(crate) fn is_complete(&self, wave: &Wave) -> bool {
        let mut machines = wave.machines.iter();
        machines.all(|name| self.done.contains(name) || self.gone.contains(name))
    }

    /// Adopts what owners have noted.
    fn adopt_notes(&mut self, wave: &Wave, now: u64) {
        self.done.extend(wave.done.iter().cloned());
        for name in wave.sent.iter().chain(&wave.begun) {
            if !self.done.contains(name) && !self.orders.contains_key(name) {
                self.adopt_order(name, now);
            }
        }
        for name in &wave.begun {
            if let Some(order) = self.orders.get_mut(name) {
                order.begun = true;
            }
        }
    }

    /// Adopts an order of another owner, which may have been sent just now.
    fn adopt_order(&mut self, name: &Arc<str>, now: u64) {
        self.record_order(name, None, now, now);
    }

    /// The number of machines that are drained, ordered down or down for maintenance, whoever has
    /// ordered it.
    pub(crate) fn in_progress(
        &self,
        wave: &Wave,
        listed: &BTreeMap<&str, &Machine>,
        now: u64,
    ) -> usize {
        let is_up = |name: &str| listed.get(name).is_some_and(|machine| machine.up);
        let is_drained = |name: &&Arc<str>| {
            self.draining.contains_key(*name) || self.orders.contains_key(*name) && is_up(name)
        };
        let machines = wave.machines.iter();
        machines
            .filter(|name| is_drained(name) || self.may_be_down(name, listed, now))
            .count()
    }

    /// The number of machines other than this one that are down for maintenance, or may be.
    pub(crate) fn others_down(
        &self,
        than: &str,
        wave: &Wave,
        listed: &BTreeMap<&str, &Machine>,
        now: u64,
    ) -> usize {
        let machines = wave.machines.iter();
        machines
            .filter(|name| ***name != *than && self.may_be_down(name, listed, now))
            .count()
    }

    fn may_be_down(&self, name: &str, listed: &BTreeMap<&str, &Machine>, now: u64) -> bool {
        let is_listed_down = listed
            .get(name)
            .is_some_and(|machine| machine.in_maintenance);
        let is_absent = self.absent.contains_key(name);
        let order = self.orders.get(name);
        is_listed_down || order.is_some_and(|order| is_absent || now < order.open_until)
    }

    /// True if a machine is drained or ordered down.
    pub(crate) fn is_started(&self, name: &str) -> bool {
        self.orders.contains_key(name) || self.draining.contains_key(name)
    }

    /// Returns the machines that may be ordered down once they are drained, and since when they
    /// have been.
    pub(crate) fn candidates(&self, now: u64) -> BTreeMap<Arc<str>, u64> {
        let mut candidates = self.draining.clone();
        for (name, order) in &self.orders {
            if order.must_repeat(now) {
                candidates.insert(name.clone(), order.drained_since);
            }
        }
        candidates
    }

    /// Records an order to take a machine down, which is about to be sent.
    pub(crate) fn record_order(
        &mut self,
        name: &Arc<str>,
        incarnation: Option<Arc<str>>,
        drained_since: u64,
        now: u64,
    ) {
        self.draining.remove(name);
        let order = OrderState {
            incarnation,
            drained_since,
            open_until: now + ORDER_LIFETIME,
            refused: false,
            begun: false,
        };
        self.orders.insert(name.clone(), order);
    }
}
