//! The monotonic clock of this box, in milliseconds since the start of the process. It advances
//! while the box is suspended, so that its leases and its state of owners and workers expire
//! meanwhile.

use {kernel::clock::BootInstant, std::sync::OnceLock};

static START: OnceLock<BootInstant> = OnceLock::new();

/// Milliseconds since the first call, by [`BootInstant`]. The first call returns 1, so that 0 can stand
/// for "never".
pub fn now() -> u64 {
    let start = START.get_or_init(BootInstant::now);
    start.elapsed().as_millis() as u64 + 1
}
