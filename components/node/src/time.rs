//! The steady clock in milliseconds since the start of the process.

use std::{sync::OnceLock, time::Instant};

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds of the steady clock; 1 at the first call, so that 0 means never.
pub fn now() -> u64 {
    let start = START.get_or_init(Instant::now);
    start.elapsed().as_millis() as u64 + 1
}
