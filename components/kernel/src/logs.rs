//! Logging with `log4rs`: one line per event, with a fixed target per component.
//!
//! Two formats: text on the standard error output for people, and JSON on the standard output for
//! programs. The JSON output never blocks the caller and is rate-limited: lines are queued for a
//! writer thread, and excess lines are dropped and counted.

use {
    crate::{json_log::JsonEncoder, sync::lock, task},
    log::{Level, LevelFilter, Record},
    log4rs::{
        Handle,
        append::{
            Append,
            console::{ConsoleAppender, Target},
        },
        config::{Appender, Config, Root},
        encode::{Encode, pattern::PatternEncoder, writer::simple::SimpleWriter},
    },
    std::{
        collections::HashMap,
        io::{self, Write},
        sync::{
            Mutex, OnceLock,
            atomic::{AtomicU64, Ordering},
            mpsc::{self, Receiver, SyncSender},
        },
        time::{Duration, Instant},
    },
};

/// Time in UTC, level, target, message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:<5} {t}: {m}{n}";
/// Capacity of the queue to the writer, in lines; about 100 KB.
const QUEUE_LINES: usize = 512;
/// Sustained rate in lines per second. The busiest production box writes 400.
const LINES_PER_SECOND: f64 = 600.0;
/// Lines that may exceed the rate in a burst.
const BURST_LINES: f64 = 1_200.0;
/// Share of the rate for the lines of one source location, so that a flood from one location does not
/// displace the others.
const LOCATION_SHARE: f64 = 0.5;
/// Minimum interval between two reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of one write in bytes: writes of up to `PIPE_BUF` (4,096 on Linux) to a pipe are
/// atomic, whereas readers have kept only the beginning of longer writes. A longer line is written
/// on its own.
const MAX_WRITE: usize = 4_096;

static HANDLE: OnceLock<Handle> = OnceLock::new();

/// Starts logging as text on the standard error output; a second call changes the level.
///
/// # Errors
///
/// The message of the library if the configuration is rejected or another logger is already
/// installed.
pub fn start(level: LevelFilter) -> Result<(), String> {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(PATTERN)))
        .build();
    install(level, Box::new(console))
}

/// Starts logging as JSON lines on the standard output.
///
/// # Errors
///
/// As for [`start`], or if the writer thread cannot be created.
pub fn start_json(level: LevelFilter) -> Result<(), String> {
    let (sender, lines) = mpsc::sync_channel(QUEUE_LINES);
    task::spawn("log", move || write(&lines, &mut io::stdout().lock()))
        .map_err(|error| error.to_string())?;
    install(level, Box::new(QueuedAppender::new(sender)))
}

fn install(level: LevelFilter, appender: Box<dyn Append>) -> Result<(), String> {
    let config = Config::builder()
        .appender(Appender::builder().build("console", appender))
        .build(Root::builder().appender("console").build(level))
        .map_err(|e| e.to_string())?;
    if let Some(handle) = HANDLE.get() {
        handle.set_config(config);
        return Ok(());
    }
    let handle = log4rs::init_config(config).map_err(|e| e.to_string())?;
    let _ = HANDLE.set(handle);
    Ok(())
}

/// Token bucket for lines, refilled at a constant rate.
#[derive(Debug)]
struct Bucket {
    /// Its share of the total rate.
    share: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn full(share: f64, now: Instant) -> Self {
        Bucket {
            share,
            tokens: BURST_LINES * share,
            filled: now,
        }
    }

    /// Refills the bucket; true if a line may pass.
    fn has_token(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens =
            (self.tokens + passed * LINES_PER_SECOND * self.share).min(BURST_LINES * self.share);
        self.filled = now;
        self.tokens >= 1.0
    }
}

/// Source location of a line.
type Location = (Option<&'static str>, Option<u32>);

/// Rate limit of all lines, and of each source location.
#[derive(Debug)]
struct RateLimit {
    all: Bucket,
    locations: HashMap<Location, Bucket>,
    /// Time of the last report of dropped lines.
    last_report: Option<Instant>,
}

impl RateLimit {
    fn full(now: Instant) -> Self {
        RateLimit {
            all: Bucket::full(1.0, now),
            locations: HashMap::new(),
            last_report: None,
        }
    }

    /// Takes the tokens for one line of a source location; false if there are none.
    fn take(&mut self, location: Location, now: Instant) -> bool {
        let bucket = self.locations.entry(location);
        let bucket = bucket.or_insert_with(|| Bucket::full(LOCATION_SHARE, now));
        if !self.all.has_token(now) || !bucket.has_token(now) {
            return false;
        }
        self.all.tokens -= 1.0;
        bucket.tokens -= 1.0;
        true
    }

    /// True if a report of dropped lines is due; records it as made.
    fn is_report_due(&mut self, now: Instant) -> bool {
        let is_due = self
            .last_report
            .is_none_or(|at| now >= at + REPORT_INTERVAL);
        if is_due {
            self.last_report = Some(now);
        }
        is_due
    }
}

/// Rate-limited appender that encodes lines and queues them for the writer thread.
#[derive(Debug)]
struct QueuedAppender {
    sender: SyncSender<Vec<u8>>,
    limit: Mutex<RateLimit>,
    dropped: AtomicU64,
}

impl QueuedAppender {
    fn new(sender: SyncSender<Vec<u8>>) -> Self {
        QueuedAppender {
            sender,
            limit: Mutex::new(RateLimit::full(Instant::now())),
            dropped: AtomicU64::new(0),
        }
    }
}

impl Append for QueuedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = Instant::now();
        let location = (record.file_static(), record.line());
        if !lock(&self.limit).take(location, now) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        if self.sender.try_send(encode(record)?).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        if self.dropped.load(Ordering::Relaxed) > 0 && lock(&self.limit).is_report_due(now) {
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            let report = encode(
                &Record::builder()
                    .level(Level::Warn)
                    .target("log")
                    .args(format_args!("Lines were dropped."))
                    .key_values(&("lines", dropped))
                    .build(),
            )?;
            if self.sender.try_send(report).is_err() {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Encodes an event as a line.
fn encode(record: &Record<'_>) -> anyhow::Result<Vec<u8>> {
    let mut line = Vec::new();
    JsonEncoder.encode(&mut SimpleWriter(&mut line), record)?;
    Ok(line)
}

/// Writes queued lines, as many per write as fit completely.
fn write(lines: &Receiver<Vec<u8>>, output: &mut impl Write) {
    while let Ok(mut text) = lines.recv() {
        while let Ok(line) = lines.try_recv() {
            if text.len() + line.len() > MAX_WRITE {
                write_all(output, &text);
                text.clear();
            }
            text.extend_from_slice(&line);
        }
        write_all(output, &text);
    }
}

fn write_all(output: &mut impl Write, text: &[u8]) {
    // If the reader has closed the pipe, the error cannot be reported.
    let _ = output.write_all(text).and_then(|()| output.flush());
}

#[cfg(test)]
mod tests {
    use super::*;

    const ONE: Location = (Some("one.rs"), Some(1));
    const OTHER: Location = (Some("one.rs"), Some(2));

    /// Records each write.
    #[derive(Default)]
    struct Writes(Vec<Vec<u8>>);

    impl Write for Writes {
        fn write(&mut self, text: &[u8]) -> io::Result<usize> {
            self.0.push(text.to_vec());
            Ok(text.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    /// How many of 5,000 lines pass, with alternating source locations.
    fn count_passed(limit: &mut RateLimit, locations: &[Location], now: Instant) -> usize {
        let lines = locations.iter().cycle().take(5_000);
        lines.filter(|location| limit.take(**location, now)).count()
    }

    #[test]
    fn take_bounded_by_rate() {
        let start = Instant::now();
        let mut limit = RateLimit::full(start);
        assert_eq!(
            count_passed(&mut limit, &[ONE, OTHER], start),
            BURST_LINES as usize
        );
        let later = start + Duration::from_secs(1);
        assert_eq!(
            count_passed(&mut limit, &[ONE, OTHER], later),
            LINES_PER_SECOND as usize
        );
    }

    /// Guards against starvation: on a large site, the lines about placements and ends of runs used
    /// up the rate in busy seconds and displaced the lines needed for diagnosis.
    #[test]
    fn take_limits_each_location() {
        let start = Instant::now();
        let mut limit = RateLimit::full(start);
        assert_eq!(
            count_passed(&mut limit, &[ONE], start),
            (BURST_LINES * LOCATION_SHARE) as usize
        );
        assert!(limit.take(OTHER, start));
    }

    #[test]
    fn is_report_due_once_a_second() {
        let start = Instant::now();
        let mut limit = RateLimit::full(start);
        assert!(limit.is_report_due(start));
        assert!(!limit.is_report_due(start + REPORT_INTERVAL / 2));
        assert!(limit.is_report_due(start + REPORT_INTERVAL));
    }

    #[test]
    fn append_full_queue_drops() {
        let (sender, lines) = mpsc::sync_channel(1);
        let appender = QueuedAppender::new(sender);
        let record = Record::builder().args(format_args!("x")).build();
        for _ in 0..3 {
            appender.append(&record).unwrap();
        }
        assert_eq!(appender.dropped.load(Ordering::Relaxed), 2);
        let line = lines.recv().unwrap();
        assert!(line.starts_with(b"{") && line.ends_with(b"\n"));
    }

    #[test]
    fn append_reports_dropped_lines() {
        let (sender, lines) = mpsc::sync_channel(2);
        let appender = QueuedAppender::new(sender);
        appender.dropped.store(7, Ordering::Relaxed);
        let record = Record::builder().args(format_args!("x")).build();
        appender.append(&record).unwrap();
        let report = lines.iter().nth(1).unwrap();
        let report: serde_json::Value = serde_json::from_slice(&report).unwrap();
        let keys: Vec<&String> = report.as_object().unwrap().keys().collect();
        assert_eq!(keys, ["level", "lines", "message", "target", "time"]);
        assert_eq!(report["message"], "Lines were dropped.");
        assert_eq!(report["lines"], 7);
        assert_eq!(appender.dropped.load(Ordering::Relaxed), 0);
    }

    /// Guards against truncated lines: on a busy box, everything beyond 8,192 bytes of a single
    /// write was lost, in the middle of a line.
    #[test]
    fn write_complete_lines() {
        // Size of an atomic write to a pipe on Linux.
        const PIPE: usize = 4_096;
        let (sender, lines) = mpsc::sync_channel(QUEUE_LINES);
        let sent: Vec<Vec<u8>> = (0..100)
            .map(|i| format!("{i:0width$}\n", width = 10 + 7 * i).into_bytes())
            .chain([vec![b'x'; 2 * PIPE], b"last\n".to_vec()])
            .collect();
        for line in &sent {
            sender.send(line.clone()).unwrap();
        }
        drop(sender);
        let mut output = Writes::default();
        write(&lines, &mut output);
        assert_eq!(output.0.concat(), sent.concat());
        for text in &output.0 {
            let is_complete = text.len() <= PIPE && text.ends_with(b"\n");
            assert!(is_complete || text == &sent[100], "{} bytes", text.len());
        }
        assert!(output.0.len() < sent.len() / 2);
    }
}
