//! Clock of the stand-ins in milliseconds, either real or advanced manually by tests.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

/// A real or manually advanced clock.
#[derive(Clone)]
pub enum Clock {
    /// Follows the monotonic system clock, counted from this instant.
    Real(Instant),
    /// Holds the time last set.
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Creates a real clock that starts at 0.
    pub fn real() -> Self {
        Clock::Real(Instant::now())
    }

    /// Creates a manual clock at 0.
    pub fn manual() -> Self {
        Clock::Manual(Arc::default())
    }

    /// Returns the time in milliseconds.
    pub fn now(&self) -> u64 {
        match self {
            Clock::Real(start) => start.elapsed().as_millis() as u64,
            Clock::Manual(time) => time.load(Ordering::Acquire),
        }
    }

    /// Advances a manual clock. Has no effect on a real one.
    pub fn advance(&self, milliseconds: u64) {
        if let Clock::Manual(time) = self {
            time.fetch_add(milliseconds, Ordering::AcqRel);
        }
    }
}
