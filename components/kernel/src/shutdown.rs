//! Waits for the signals that stop a process: SIGTERM and SIGINT.

use {
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::io,
};

/// Blocks until SIGTERM or SIGINT and returns the signal number.
///
/// # Errors
///
/// The signal handlers cannot be installed.
pub fn wait_for_signal() -> io::Result<i32> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals
        .forever()
        .next()
        .ok_or_else(|| io::Error::other("the signal handlers were closed"))
}
