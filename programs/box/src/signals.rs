//! Signals: the orderly stop, and the word that the settings file has changed.

use {
    crate::ports::Ports,
    node::Node,
    signal_hook::{
        consts::{SIGHUP, SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{
        io,
        sync::atomic::Ordering,
        thread,
        time::{Duration, Instant},
    },
};

/// How long the cell's hand-over may take.
const HAND_OVER: Duration = Duration::from_millis(1_500);
/// How long callers are still answered after the word to stop: new ones are sent elsewhere once
/// two readiness probes, a second apart, have failed.
const LINGER: Duration = Duration::from_millis(2_600);
/// Left of the time for the stop, for the process to end in.
const MARGIN: Duration = Duration::from_millis(800);
/// The pause between two looks at whether requests are being answered.
const LOOK: Duration = Duration::from_millis(10);

/// Waits until the process is asked to stop, and returns the signal's number.
///
/// # Errors
///
/// The system refuses the signal handlers.
pub fn wait() -> io::Result<i32> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            return Ok(signal);
        }
        // Addresses and bounds of a running box do not change; a file that does is read at the
        // next start.
        log::info!(target: "box", "The settings file has changed; it holds from the next start on.");
    }
    Err(io::Error::other("the signal handlers were closed"))
}

/// Stops the box: callers are sent elsewhere, the cell is handed over, requests are finished.
pub fn stop(node: &Node, ports: &Ports, grace: Duration) {
    let begun = Instant::now();
    node.shut_down(HAND_OVER);
    let linger = LINGER.min(grace.saturating_sub(MARGIN));
    thread::sleep(linger.saturating_sub(begun.elapsed()));
    while ports.busy.load(Ordering::Acquire) > 0 && begun.elapsed() + MARGIN < grace {
        thread::sleep(LOOK);
    }
}
