//! The wall clock, for what people read and for what outlives a process. Leases and waits go by
//! steady clocks instead.

use {
    chrono::{DateTime, SecondsFormat},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Milliseconds since 1970.
pub fn millis() -> u64 {
    since_epoch().as_millis() as u64
}

/// Seconds since 1970.
pub fn seconds() -> u64 {
    since_epoch().as_secs()
}

/// A time in milliseconds since 1970 as text, as in `2026-08-27T13:05:20Z`; `None` beyond what the calendar holds.
pub fn utc(millis: u64, format: SecondsFormat) -> Option<String> {
    let millis = i64::try_from(millis).ok()?;
    let time = DateTime::from_timestamp_millis(millis)?;
    Some(time.to_rfc3339_opts(format, true))
}
