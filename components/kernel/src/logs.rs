//! Logs by `log4rs`: one line an event, with the part's fixed prefix as the target.
//!
//! Two forms: text on the error output for people, and JSON on the standard output for machines.
//! The second never blocks the caller and is bounded: lines wait in a queue for a task of their
//! own, and what is too much is dropped and counted.

use {
    crate::{json_log::Compact, sync::lock, task},
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

/// Time in UTC, level, prefix of the part, text.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:<5} {t}: {m}{n}";
/// Lines that may wait to be written; some 100 KB.
const QUEUE: usize = 512;
/// Lines a second; the busiest box of today's sites writes 400.
const RATE: f64 = 600.0;
/// Lines at once beyond the rate.
const BURST: f64 = 1_200.0;
/// Lines of one kind, that is from one place in the code, may take this part of the room: a flood of
/// one kind leaves the others.
const SHARE: f64 = 0.5;
/// The least time between two notes of how many lines were dropped.
const NOTE_GAP: Duration = Duration::from_secs(1);
/// Bytes that one write takes at most: a pipe keeps so many together (`PIPE_BUF` on Linux), while of a
/// longer write a reader was seen to keep the beginning only. A longer line is a write of its own.
const WHOLE: usize = 4_096;

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
    task::spawn("log", move || write(&lines, &mut io::stdout().lock()))
        .map_err(|error| error.to_string())?;
    install(level, Box::new(Bounded::new(sender)))
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
    /// The part of the whole rate that it has.
    share: f64,
    room: f64,
    filled: Instant,
}

impl Bucket {
    fn full(share: f64, now: Instant) -> Self {
        Bucket {
            share,
            room: BURST * share,
            filled: now,
        }
    }

    /// True when there is room for a line.
    fn has_room(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.room = (self.room + passed * RATE * self.share).min(BURST * self.share);
        self.filled = now;
        self.room >= 1.0
    }
}

/// The place in the code that a line comes from.
type Kind = (Option<&'static str>, Option<u32>);

/// The room of all lines, and that of each kind.
#[derive(Debug)]
struct Room {
    all: Bucket,
    kinds: HashMap<Kind, Bucket>,
    /// When it was last told how many lines were dropped.
    noted: Option<Instant>,
}

impl Room {
    fn full(now: Instant) -> Self {
        Room {
            all: Bucket::full(1.0, now),
            kinds: HashMap::new(),
            noted: None,
        }
    }

    /// Takes room for one line of a kind; false when there is none.
    fn take(&mut self, kind: Kind, now: Instant) -> bool {
        let own = self.kinds.entry(kind);
        let own = own.or_insert_with(|| Bucket::full(SHARE, now));
        if !self.all.has_room(now) || !own.has_room(now) {
            return false;
        }
        self.all.room -= 1.0;
        own.room -= 1.0;
        true
    }

    /// True, once in a while, when it may be told how many lines were dropped.
    fn may_note(&mut self, now: Instant) -> bool {
        let may = self.noted.is_none_or(|at| now >= at + NOTE_GAP);
        if may {
            self.noted = Some(now);
        }
        may
    }
}

/// Encodes lines and hands them to the writing task.
#[derive(Debug)]
struct Bounded {
    sender: SyncSender<Vec<u8>>,
    room: Mutex<Room>,
    dropped: AtomicU64,
}

impl Bounded {
    fn new(sender: SyncSender<Vec<u8>>) -> Self {
        Bounded {
            sender,
            room: Mutex::new(Room::full(Instant::now())),
            dropped: AtomicU64::new(0),
        }
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = Instant::now();
        let kind = (record.file_static(), record.line());
        if !lock(&self.room).take(kind, now) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        if self.sender.try_send(encode(record)?).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        if self.dropped.load(Ordering::Relaxed) > 0 && lock(&self.room).may_note(now) {
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            let note = encode(
                &Record::builder()
                    .level(Level::Warn)
                    .target("log")
                    .args(format_args!("Lines were dropped."))
                    .key_values(&("lines", dropped))
                    .build(),
            )?;
            if self.sender.try_send(note).is_err() {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// An event as a line.
fn encode(record: &Record<'_>) -> anyhow::Result<Vec<u8>> {
    let mut line = Vec::new();
    Compact.encode(&mut SimpleWriter(&mut line), record)?;
    Ok(line)
}

/// Writes lines out, as many at a time as wait and stay whole.
fn write(lines: &Receiver<Vec<u8>>, output: &mut impl Write) {
    while let Ok(mut text) = lines.recv() {
        while let Ok(line) = lines.try_recv() {
            if text.len() + line.len() > WHOLE {
                put(output, &text);
                text.clear();
            }
            text.extend_from_slice(&line);
        }
        put(output, &text);
    }
}

fn put(output: &mut impl Write, text: &[u8]) {
    // A reader that has gone leaves nobody to tell.
    let _ = output.write_all(text).and_then(|()| output.flush());
}

#[cfg(test)]
mod tests {
    use super::*;

    const ONE: Kind = (Some("one.rs"), Some(1));
    const OTHER: Kind = (Some("one.rs"), Some(2));

    /// What was written, write by write.
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

    /// How many of 5,000 lines are taken, whose kinds take turns.
    fn taken(room: &mut Room, kinds: &[Kind], now: Instant) -> usize {
        let lines = kinds.iter().cycle().take(5_000);
        lines.filter(|kind| room.take(**kind, now)).count()
    }

    #[test]
    fn take_bounded_by_rate() {
        let start = Instant::now();
        let mut room = Room::full(start);
        assert_eq!(taken(&mut room, &[ONE, OTHER], start), BURST as usize);
        let later = start + Duration::from_secs(1);
        assert_eq!(taken(&mut room, &[ONE, OTHER], later), RATE as usize);
    }

    /// Seen on a grown site: placements and ends of the busy seconds left no room for what an engineer
    /// looks for.
    #[test]
    fn take_leaves_room_for_other_kinds() {
        let start = Instant::now();
        let mut room = Room::full(start);
        assert_eq!(taken(&mut room, &[ONE], start), (BURST * SHARE) as usize);
        assert!(room.take(OTHER, start));
    }

    #[test]
    fn may_note_once_a_second() {
        let start = Instant::now();
        let mut room = Room::full(start);
        assert!(room.may_note(start));
        assert!(!room.may_note(start + NOTE_GAP / 2));
        assert!(room.may_note(start + NOTE_GAP));
    }

    #[test]
    fn append_full_queue_drops() {
        let (sender, lines) = mpsc::sync_channel(1);
        let bounded = Bounded::new(sender);
        let record = Record::builder().args(format_args!("x")).build();
        for _ in 0..3 {
            bounded.append(&record).unwrap();
        }
        assert_eq!(bounded.dropped.load(Ordering::Relaxed), 2);
        let line = lines.recv().unwrap();
        assert!(line.starts_with(b"{") && line.ends_with(b"\n"));
    }

    #[test]
    fn append_tells_how_many_were_dropped() {
        let (sender, lines) = mpsc::sync_channel(2);
        let bounded = Bounded::new(sender);
        bounded.dropped.store(7, Ordering::Relaxed);
        let record = Record::builder().args(format_args!("x")).build();
        bounded.append(&record).unwrap();
        let note = lines.iter().nth(1).unwrap();
        let note: serde_json::Value = serde_json::from_slice(&note).unwrap();
        let keys: Vec<&String> = note.as_object().unwrap().keys().collect();
        assert_eq!(keys, ["level", "lines", "message", "target", "time"]);
        assert_eq!(note["message"], "Lines were dropped.");
        assert_eq!(note["lines"], 7);
        assert_eq!(bounded.dropped.load(Ordering::Relaxed), 0);
    }

    /// Seen on a busy box: of a write of more than 8,192 bytes the rest was lost, in the middle of a line.
    #[test]
    fn write_keeps_lines_whole() {
        // What a pipe keeps together on Linux.
        const PIPE: usize = 4_096;
        let (sender, lines) = mpsc::sync_channel(QUEUE);
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
            let is_whole = text.len() <= PIPE && text.ends_with(b"\n");
            assert!(is_whole || text == &sent[100], "{} bytes", text.len());
        }
        assert!(output.0.len() < sent.len() / 2);
    }
}
