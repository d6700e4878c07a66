//! Limits the share of the owner's link that specification texts take.

use crate::settings::MAX_IN_FLIGHT_MS;

/// Texts may take one part in this many of the owner's link.
const LINK_FRACTION: u64 = 4;

/// A token bucket for the texts that the owner sends to relays. With many relays and large texts
/// they would be most of the owner's traffic (480 of 610 KB per second, for 17 jobs per second of
/// 2.4 KB and 12 relays), while relays can read them from the store, which has a fast link. While
/// the store fails, the owner sends all texts.
#[derive(Default)]
pub(super) struct TextBudget {
    /// Bytes that may be sent.
    available: u64,
    /// The time of the last refill, in milliseconds.
    refilled: u64,
    /// True while the store fails.
    pub is_unlimited: bool,
}

impl TextBudget {
    /// Refills the bucket for an owner with this link, in bytes per millisecond.
    pub fn refill(&mut self, link: u64, now: u64) {
        let rate = link / LINK_FRACTION;
        let since = now.saturating_sub(self.refilled);
        self.available = (self.available + since * rate).min(rate * MAX_IN_FLIGHT_MS);
        self.refilled = now;
    }

    /// Takes this many bytes; false if fewer are available.
    pub fn try_take(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        if self.is_unlimited {
            return true;
        }
        if bytes > self.available {
            return false;
        }
        self.available -= bytes;
        true
    }
}
