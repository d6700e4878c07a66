//! Signal handling: graceful shutdown on SIGTERM and SIGINT, and a log line on SIGHUP.

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

/// Time limit of the hand-over of the cell to another box.
const HAND_OVER: Duration = Duration::from_millis(1_500);
/// Minimum time that callers are still served after the signal: new ones are routed to other boxes
/// once two readiness probes, one second apart, have failed.
const LINGER: Duration = Duration::from_millis(2_600);
/// Part of the time for a graceful shutdown that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(800);
/// Interval between two checks for requests in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits for SIGTERM or SIGINT and returns the number of the signal.
///
/// # Errors
///
/// The signal handlers could not be installed or were closed.
pub fn wait() -> io::Result<i32> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            return Ok(signal);
        }
        // A running box keeps its addresses and limits; changed settings need a restart.
        log::info!(target: "box", "SIGHUP received: a changed settings file takes effect at the next start.");
    }
    Err(io::Error::other("the signal handlers were closed"))
}

/// Shuts the box down within `grace`: fails the readiness probe, hands the cell over, and completes
/// the requests in progress.
pub fn stop(node: &Node, ports: &Ports, grace: Duration) {
    let start = Instant::now();
    node.shut_down(HAND_OVER);
    let linger = LINGER.min(grace.saturating_sub(EXIT_MARGIN));
    thread::sleep(linger.saturating_sub(start.elapsed()));
    while ports.in_progress.load(Ordering::Acquire) > 0 && start.elapsed() + EXIT_MARGIN < grace {
        thread::sleep(CHECK_INTERVAL);
    }
}
