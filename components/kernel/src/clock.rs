//! Monotonic clock that includes the time while the machine is suspended, and detection of
//! suspensions.
//!
//! A machine may be suspended for seconds. The monotonic clock of the operating system, and so
//! `std::time::Instant`, does not count that time, while leases, owners and configurations
//! elsewhere advance. [`BootInstant`] counts it. Waits, sockets and measurements of work use
//! `Instant`, since the timers of the operating system follow the monotonic clock.

use {
    nix::time::{ClockId, clock_gettime},
    std::{
        ops::Add,
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
};

/// Shorter suspensions are ignored: no cached state becomes invalid in so short a time, and the
/// process may be descheduled for a while between reading the two clocks.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Time added by [`simulate_suspension`], in milliseconds.
static ADDED: AtomicU64 = AtomicU64::new(0);

/// A point in time on `CLOCK_BOOTTIME`, which is monotonic and includes suspended time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The current time.
    pub fn now() -> Self {
        let added = Duration::from_millis(ADDED.load(Ordering::Acquire));
        BootInstant(read_clock(ClockId::CLOCK_BOOTTIME) + added)
    }

    /// The time since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time since this point.
    pub fn elapsed(self) -> Duration {
        BootInstant::now().since(self)
    }
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, time: Duration) -> BootInstant {
        BootInstant(self.0 + time)
    }
}

/// A point in time on both clocks, from which a later suspension of the machine can be detected.
#[derive(Debug, Clone, Copy)]
pub struct ClockPair {
    /// The time that includes suspensions.
    pub at: BootInstant,
    pub(crate) monotonic: Instant,
}

impl ClockPair {
    /// The current time.
    pub fn now() -> Self {
        // A delay between the two readings, here and below, looks like a suspension: a false
        // positive is safe.
        let at = BootInstant::now();
        let monotonic = Instant::now();
        ClockPair { at, monotonic }
    }

    /// True if the machine was suspended for more than 100 ms since this point.
    pub fn was_suspended(self) -> bool {
        let monotonic = self.monotonic.elapsed();
        self.at.elapsed() > monotonic + MIN_SUSPENSION
    }
}

/// Advances [`BootInstant`] as a suspension of this length would. For tests.
pub fn simulate_suspension(time: Duration) {
    ADDED.fetch_add(time.as_millis() as u64, Ordering::AcqRel);
}

/// Reads a clock of the operating system. Linux has `CLOCK_BOOTTIME` since version 2.6.39.
fn read_clock(clock: ClockId) -> Duration {
    match clock_gettime(clock) {
        Ok(time) => Duration::from(time),
        Err(error) => {
            log::error!(target: "kernel", clock:? = clock, error:% = error; "Cannot read a system clock, using 0.");
            Duration::ZERO
        }
    }
}
