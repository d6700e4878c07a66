//! The orderly stop: SIGTERM and SIGINT.

use {
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::io,
};

/// Waits until the process is asked to stop and returns the signal's number.
///
/// # Errors
///
/// The system refuses the signal handlers.
pub fn wait_for_signal() -> io::Result<i32> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals
        .forever()
        .next()
        .ok_or_else(|| io::Error::other("the signal handlers were closed"))
}
