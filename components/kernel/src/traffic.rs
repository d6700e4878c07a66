//! Counts the bytes that this process sends and receives, by kind of call.
//!
//! A box whose network link is saturated serves no requests, while its CPU usage looks normal.
//! Counters of body and header bytes by kind of call show the cause: the metric
//! `magpie_link_bytes_total` and a periodic log line.

use {
    crate::{sync::lock, task},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Write,
        io,
        sync::Mutex,
        thread,
        time::Duration,
    },
};

/// Estimated size in bytes of a request or response head (first line, length, date, content type),
/// which is not counted exactly. Heads have 140 to 230 bytes in calls to the store, workers and
/// other boxes.
pub const HEAD_BYTES: usize = 180;
/// Maximum number of distinct kinds; further kinds count as [`OTHER`]. A box makes about twenty
/// kinds of calls.
const MAX_KINDS: usize = 64;
/// Kind of the calls beyond this number.
const OTHER: &str = "other";

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_millis(5_000);
/// Number of kinds listed in a log line.
const LOGGED_KINDS: usize = 12;

static TRAFFIC: Mutex<BTreeMap<Box<str>, Traffic>> = Mutex::new(BTreeMap::new());
/// All kinds that were recorded. The metrics library keeps what it has once counted.
static KINDS: Mutex<BTreeSet<Box<str>>> = Mutex::new(BTreeSet::new());

/// Traffic of one kind of call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of calls.
    pub calls: u64,
    /// Bytes sent by this process.
    pub sent: u64,
    /// Bytes received by this process.
    pub received: u64,
}

/// Records a call: the bytes that this process sent and received for it.
pub fn record(kind: &str, sent: usize, received: usize) {
    let (sent, received) = (sent as u64, received as u64);
    let kind = match is_kept(&mut lock(&KINDS), kind) {
        true => kind,
        false => OTHER,
    };
    metrics::counter!("magpie_link_bytes_total", "call" => kind.to_owned(), "way" => "sent")
        .increment(sent);
    metrics::counter!("magpie_link_bytes_total", "call" => kind.to_owned(), "way" => "heard")
        .increment(received);
    let mut totals = lock(&TRAFFIC);
    let traffic = totals.entry(kind.into()).or_default();
    traffic.calls += 1;
    traffic.sent += sent;
    traffic.received += received;
}

/// Returns true if this kind is counted by itself. The first [`MAX_KINDS`] are.
fn is_kept(kinds: &mut BTreeSet<Box<str>>, kind: &str) -> bool {
    if kinds.contains(kind) {
        return true;
    }
    kinds.len() < MAX_KINDS && kinds.insert(kind.into())
}

/// Starts the thread that logs the traffic since its last line every 5 s.
///
/// # Errors
///
/// The thread cannot be created.
pub fn start_logging() -> io::Result<()> {
    task::spawn("traffic", || {
        loop {
            thread::sleep(LOG_INTERVAL);
            log_totals();
        }
    })?;
    Ok(())
}

/// Logs one line: the totals, and the largest kinds as `KIND:CALLS:SENT:RECEIVED`.
fn log_totals() {
    let totals = take_totals();
    let sent: u64 = totals.values().map(|traffic| traffic.sent).sum();
    let received: u64 = totals.values().map(|traffic| traffic.received).sum();
    let mut kinds: Vec<_> = totals.into_iter().collect();
    kinds.sort_by_key(|(_, traffic)| std::cmp::Reverse(traffic.sent + traffic.received));
    let mut text = String::new();
    for (kind, traffic) in kinds.iter().take(LOGGED_KINDS) {
        let Traffic {
            calls,
            sent,
            received,
        } = traffic;
        // Writing to a string cannot fail.
        let _ = write!(text, "{kind}:{calls}:{sent}:{received} ");
    }
    log::info!(target: "link", sent, heard = received, calls = text.trim_end(); "Network traffic of the last interval in bytes.");
}

/// Returns the traffic recorded since the last call of this function, by kind, and resets it.
pub fn take_totals() -> BTreeMap<Box<str>, Traffic> {
    std::mem::take(&mut *lock(&TRAFFIC))
}

/// Derives the kind of a call from its URL: the first segment of the path and, if the first query
/// parameter holds a key with slashes, that key without its last segment, limited to two segments.
pub fn call_kind(url: &str) -> String {
    let rest = url.split_once("://").map_or(url, |(_, rest)| rest);
    let path = rest.split_once('/').map_or("", |(_, path)| path);
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let first = path.split('/').next().unwrap_or_default();
    let parameter = query.split('&').next().unwrap_or_default();
    let key = parameter.split_once('=').map_or("", |(_, key)| key);
    let Some((parts, _)) = key.rsplit_once('/') else {
        return first.to_owned();
    };
    // The last segment of a key of three segments is a number or a name; some prefixes end with a
    // slash.
    let parts: Vec<&str> = parts.split('/').take(2).collect();
    format!("{first} {}", parts.join("/"))
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case("http://10.0.0.1:80/relay", "relay"; "path")]
    #[test_case("http://10.0.0.1:80/keep/17", "keep"; "numbered")]
    #[test_case("http://h/read?key=magpie/state/00a1", "read magpie/state"; "key")]
    #[test_case("http://h/list?prefix=halls/&after=x/y", "list halls"; "prefix")]
    #[test_case("http://h/read?key=op/table", "read op"; "short key")]
    #[test_case("http://h", ""; "none")]
    fn call_kind_of_url(url: &str, expected: &str) {
        assert_eq!(call_kind(url), expected);
    }

    #[test]
    fn is_kept_up_to_limit() {
        let mut kinds = BTreeSet::new();
        for number in 0..MAX_KINDS {
            assert!(is_kept(&mut kinds, &number.to_string()));
        }
        assert!(!is_kept(&mut kinds, "one more"));
        assert!(is_kept(&mut kinds, "0"));
    }

    /// Other tests of this process make calls of other kinds at the same time.
    #[test]
    fn record_taken_once() {
        record("a kind of its own", 10, 20);
        record("a kind of its own", 1, 2);
        let traffic = take_totals().remove("a kind of its own").unwrap();
        assert_eq!((traffic.calls, traffic.sent, traffic.received), (2, 11, 22));
        assert!(!take_totals().contains_key("a kind of its own"));
    }
}
