//! The clock by which beliefs age.
//!
//! A machine may be suspended for seconds. The kernel's steady clock, and so `std::time::Instant`, does not count that
//! time; leases, owners and configurations elsewhere went on meanwhile. [`Moment`] counts it. Waits, sockets and
//! measurements of work stay with `Instant`: the kernel's own timers go by the steady clock.

use {
    nix::time::{ClockId, clock_gettime},
    std::{
        ops::Add,
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
};

/// A suspension shorter than this is none: nothing that a box believes becomes wrong in so short a time, and between the
/// readings that show it the process may be kept waiting for a turn.
const LEAST: Duration = Duration::from_millis(100);

/// Time that was added by [`suspend`], in milliseconds.
static ADDED: AtomicU64 = AtomicU64::new(0);

/// A moment on a clock that only goes up and counts the time for which the machine was suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The present moment.
    pub fn now() -> Self {
        let added = Duration::from_millis(ADDED.load(Ordering::Acquire));
        BootInstant(read(ClockId::CLOCK_BOOTTIME) + added)
    }

    /// The time since an earlier moment; nothing for a later one.
    pub fn since(self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time since then.
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

/// A moment on both clocks, which tells later whether the machine was suspended since.
#[derive(Debug, Clone, Copy)]
pub struct ClockPair {
    /// The moment.
    pub at: BootInstant,
    pub(crate) monotonic: Instant,
}

impl ClockPair {
    /// The present moment.
    pub fn now() -> Self {
        // Whatever comes between the two readings, here and below, looks like a suspension: a doubt too many.
        let at = BootInstant::now();
        let steady = Instant::now();
        ClockPair {
            at,
            monotonic: steady,
        }
    }

    /// True when the machine was suspended since then.
    pub fn was_suspended(self) -> bool {
        let steady = self.monotonic.elapsed();
        self.at.elapsed() > steady + LEAST
    }
}

/// Moves the clock as a suspension of this length would. For tests.
pub fn simulate_suspension(time: Duration) {
    ADDED.fetch_add(time.as_millis() as u64, Ordering::AcqRel);
}

/// Reads a clock of the kernel. All that are asked for here are part of it since version 2.6.39.
fn read(clock: ClockId) -> Duration {
    match clock_gettime(clock) {
        Ok(time) => Duration::from(time),
        Err(error) => {
            log::error!(target: "kernel", clock:? = clock, error:% = error; "A clock cannot be read.");
            Duration::ZERO
        }
    }
}
