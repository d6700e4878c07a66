//! Logs by `log4rs`: one line an event, with the part's fixed prefix as the target.
//!
//! Two forms: text on the error output for people, and JSON on the standard output for machines.
//! The second never blocks the caller and is bounded: lines wait in a queue for a task of their
//! own, and what is too much is dropped and counted.

use {
    crate::{sync::lock, task},
    log::{LevelFilter, Record},
    log4rs::{
        Handle,
        append::{
            Append,
            console::{ConsoleAppender, Target},
        },
        config::{Appender, Config, Root},
        encode::{
            Encode, json::JsonEncoder, pattern::PatternEncoder, writer::simple::SimpleWriter,
        },
    },
    std::{
        io::{self, Write},
        sync::{
            Mutex, OnceLock,
            atomic::{AtomicU64, Ordering},
            mpsc::{self, Receiver, SyncSender},
        },
        time::Instant,
    },
};

/// Time in UTC, level, prefix of the part, text.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:<5} {t}: {m}{n}";
/// Lines that may wait to be written; some 200 KB.
const QUEUE: usize = 512;
/// Lines a second; the busiest box of today's sites writes 400.
const RATE: f64 = 600.0;
/// Lines at once beyond the rate.
const BURST: f64 = 1_200.0;

static HANDLE: OnceLock<Handle> = OnceLock::new();

/// Starts logs as text on the error output, once a process; a second call changes the level.
///
/// # Errors
///
/// The configuration is refused, or another logger was installed before, as a sentence.
pub fn start(level: LevelFilter) -> Result<(), String> {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(PATTERN)))
        .build();
    install(level, Box::new(console))
}

/// Starts logs as lines of JSON on the standard output.
///
/// # Errors
///
/// As for [`start`]; or the system has no room for the writing task.
pub fn start_json(level: LevelFilter) -> Result<(), String> {
    let (sender, lines) = mpsc::sync_channel(QUEUE);
    task::spawn("log", move || write(&lines)).map_err(|error| error.to_string())?;
    let bounded = Bounded {
        sender,
        encoder: JsonEncoder::new(),
        bucket: Mutex::new(Bucket::full(Instant::now())),
        dropped: AtomicU64::new(0),
    };
    install(level, Box::new(bounded))
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

/// Room for lines, refilled at a steady rate.
#[derive(Debug)]
struct Bucket {
    room: f64,
    filled: Instant,
}

impl Bucket {
    fn full(now: Instant) -> Self {
        Bucket {
            room: BURST,
            filled: now,
        }
    }

    /// Takes room for one line; false when there is none.
    fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.room = (self.room + passed * RATE).min(BURST);
        self.filled = now;
        if self.room < 1.0 {
            return false;
        }
        self.room -= 1.0;
        true
    }
}

/// Encodes lines and hands them to the writing task.
#[derive(Debug)]
struct Bounded {
    sender: SyncSender<Vec<u8>>,
    encoder: JsonEncoder,
    bucket: Mutex<Bucket>,
    dropped: AtomicU64,
}

impl Append for Bounded {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !lock(&self.bucket).take(Instant::now()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(320);
        self.encoder.encode(&mut SimpleWriter(&mut line), record)?;
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let note = format!(
                "{{\"target\":\"log\",\"message\":\"Lines were dropped.\",\"attributes\":{{\"lines\":{dropped}}}}}\n"
            );
            if self.sender.try_send(note.into_bytes()).is_err() {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Writes lines out, as many at a time as wait.
fn write(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout().lock();
    while let Ok(mut text) = lines.recv() {
        while let Ok(more) = lines.try_recv() {
            text.extend_from_slice(&more);
        }
        // A reader that has gone leaves nobody to tell.
        let _ = output.write_all(&text).and_then(|()| output.flush());
    }
}

#[cfg(test)]
mod tests {
    use {super::*, std::time::Duration};

    #[test]
    fn take_bounded_by_rate() {
        let start = Instant::now();
        let mut bucket = Bucket::full(start);
        let taken = (0..5_000).filter(|_| bucket.take(start)).count();
        assert_eq!(taken, BURST as usize);
        let later = start + Duration::from_secs(1);
        let taken = (0..5_000).filter(|_| bucket.take(later)).count();
        assert_eq!(taken, RATE as usize);
    }

    #[test]
    fn append_full_queue_drops() {
        let (sender, lines) = mpsc::sync_channel(1);
        let bounded = Bounded {
            sender,
            encoder: JsonEncoder::new(),
            bucket: Mutex::new(Bucket::full(Instant::now())),
            dropped: AtomicU64::new(0),
        };
        let record = Record::builder().args(format_args!("x")).build();
        for _ in 0..3 {
            bounded.append(&record).unwrap();
        }
        assert_eq!(bounded.dropped.load(Ordering::Relaxed), 2);
        let line = lines.recv().unwrap();
        assert!(line.starts_with(b"{") && line.ends_with(b"\n"));
    }
}
