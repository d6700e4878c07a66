//! The time of this box in milliseconds since the start of the process, suspensions included: what the box believes of
//! leases, owners and workers ages while it is suspended.

use {kernel::clock::BootInstant, std::sync::OnceLock};

static START: OnceLock<BootInstant> = OnceLock::new();

/// Milliseconds since the start, by [`BootInstant`]; 1 at the first call, so that 0 means never.
pub fn now() -> u64 {
    let start = START.get_or_init(BootInstant::now);
    start.elapsed().as_millis() as u64 + 1
}
