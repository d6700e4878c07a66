//! Wall-clock time, for output and for stored timestamps. Leases and waits use monotonic clocks
//! instead.

use {
    chrono::{DateTime, SecondsFormat},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Milliseconds since the Unix epoch.
pub fn millis() -> u64 {
    since_epoch().as_millis() as u64
}

/// Seconds since the Unix epoch.
pub fn seconds() -> u64 {
    since_epoch().as_secs()
}

/// Formats milliseconds since the Unix epoch, as in `2026-08-27T13:05:20Z`; `None` if out of range
/// for the calendar.
pub fn utc(millis: u64, format: SecondsFormat) -> Option<String> {
    let millis = i64::try_from(millis).ok()?;
    let time = DateTime::from_timestamp_millis(millis)?;
    Some(time.to_rfc3339_opts(format, true))
}
