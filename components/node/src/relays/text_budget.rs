//! How much of the owner's link specifications may take.

use crate::settings::MAX_IN_FLIGHT_MS;

/// The part of the owner's link that specifications may take.
const TEXT_PART: u64 = 4;

/// What of the owner's link specifications may take. With many relays and large texts they are most of what an owner
/// sends (480 of 610 KB a second, for 17 jobs a second of 2.4 KB and 12 relays), and any relay can read them from the
/// store, whose link is wide. While the store fails they go through the owner all the same.
#[derive(Default)]
pub(super) struct TextBudget {
    /// Bytes that may be sent now.
    left: u64,
    /// When it last grew.
    grown: u64,
    /// The store fails, or has not been heard of.
    pub is_all: bool,
}

impl TextBudget {
    /// Grows with the time, for an owner with this link.
    pub fn grow(&mut self, link: u64, now: u64) {
        let rate = link / TEXT_PART;
        let since = now.saturating_sub(self.grown);
        self.left = (self.left + since * rate).min(rate * MAX_IN_FLIGHT_MS);
        self.grown = now;
    }

    /// Takes so many bytes; false where there are not as many.
    pub fn take(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        if self.is_all {
            return true;
        }
        if bytes > self.left {
            return false;
        }
        self.left -= bytes;
        true
    }
}
