//! How many bytes a process sends and hears, by kind of call.
//!
//! A box whose link is full serves nobody, and its processor shows nothing of it. Counters of bodies and
//! heads by kind of call tell what fills it: `magpie_link_bytes_total` and, for logs, [`take`].

use {
    crate::{sync::lock, task},
    std::{collections::BTreeMap, fmt::Write, io, sync::Mutex, thread, time::Duration},
};

/// Bytes of a request's or an answer's head that are not counted one by one: the first line, the length, the
/// date and the kind of body. Of 140 to 230 bytes in calls to the store, workers and other boxes.
pub const HEAD_BYTES: usize = 180;
/// The most kinds that are told apart; those beyond it count as `other`. A box makes some twenty kinds of calls.
const KINDS: usize = 64;

/// Between two lines of the log.
const TELL_GAP: Duration = Duration::from_millis(5_000);
/// Kinds of call that one line names.
const TOLD: usize = 12;

static TRAFFIC: Mutex<BTreeMap<Box<str>, Amount>> = Mutex::new(BTreeMap::new());

/// What one kind of call has moved.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amount {
    /// How many there were.
    pub calls: u64,
    /// Bytes that this process sent.
    pub sent: u64,
    /// Bytes that it heard.
    pub heard: u64,
}

/// Notes a call of this kind: the bytes that this process sent for it, and those that it heard.
pub fn record(kind: &str, sent: usize, heard: usize) {
    let (sent, heard) = (sent as u64, heard as u64);
    metrics::counter!("magpie_link_bytes_total", "call" => kind.to_owned(), "way" => "sent")
        .increment(sent);
    metrics::counter!("magpie_link_bytes_total", "call" => kind.to_owned(), "way" => "heard")
        .increment(heard);
    let mut amounts = lock(&TRAFFIC);
    let is_new = !amounts.contains_key(kind);
    let kind = if is_new && amounts.len() >= KINDS {
        "other"
    } else {
        kind
    };
    let amount = amounts.entry(kind.into()).or_default();
    amount.calls += 1;
    amount.sent += sent;
    amount.heard += heard;
}

/// Starts the task that logs now and then what was sent and heard since the last time.
///
/// # Errors
///
/// The system has no room for a thread.
pub fn start_logging() -> io::Result<()> {
    task::spawn("traffic", || {
        loop {
            thread::sleep(TELL_GAP);
            tell_once();
        }
    })?;
    Ok(())
}

/// One line: the sums, and the largest kinds as `CALL:CALLS:SENT:HEARD`.
fn tell_once() {
    let amounts = take();
    let sent: u64 = amounts.values().map(|amount| amount.sent).sum();
    let heard: u64 = amounts.values().map(|amount| amount.heard).sum();
    let mut kinds: Vec<_> = amounts.into_iter().collect();
    kinds.sort_by_key(|(_, amount)| std::cmp::Reverse(amount.sent + amount.heard));
    let mut text = String::new();
    for (kind, amount) in kinds.iter().take(TOLD) {
        let Amount { calls, sent, heard } = amount;
        // Writing to a string cannot fail.
        let _ = write!(text, "{kind}:{calls}:{sent}:{heard} ");
    }
    log::info!(target: "link", sent, heard, calls = text.trim_end(); "The link has carried so many bytes.");
}

/// What was noted since the last call, by kind.
pub fn take() -> BTreeMap<Box<str>, Amount> {
    std::mem::take(&mut *lock(&TRAFFIC))
}

/// The kind of a call: the first part of its path and, where its query begins with a name of parts, all of
/// that but the last one.
pub fn call_kind(url: &str) -> String {
    let rest = url.split_once("://").map_or(url, |(_, rest)| rest);
    let path = rest.split_once('/').map_or("", |(_, path)| path);
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let first = path.split('/').next().unwrap_or_default();
    let asked = query.split('&').next().unwrap_or_default();
    let name = asked.split_once('=').map_or("", |(_, name)| name);
    let Some((parts, _)) = name.rsplit_once('/') else {
        return first.to_owned();
    };
    // Keys of three parts are numbered or named in the last one; some prefixes end with a slash.
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
    fn kind_of_url(url: &str, expected: &str) {
        assert_eq!(call_kind(url), expected);
    }

    /// Other tests of this process make calls meanwhile, of other kinds.
    #[test]
    fn note_is_taken_once() {
        record("a kind of its own", 10, 20);
        record("a kind of its own", 1, 2);
        let amount = take().remove("a kind of its own").unwrap();
        assert_eq!((amount.calls, amount.sent, amount.heard), (2, 11, 22));
        assert!(!take().contains_key("a kind of its own"));
    }
}
