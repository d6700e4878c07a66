//! The form of log lines for machines: one event as one line of JSON.
//!
//! What keeps the output of a process keeps the end of it only, so a line is short: its time in UTC,
//! level, target and message, then the key-values beside them.

use {
    crate::wall_clock,
    chrono::SecondsFormat,
    log::{
        Record,
        kv::{self, Key, Value, VisitSource, VisitValue},
    },
    log4rs::encode::{self, Encode},
    serde::Serialize,
    std::{
        borrow::Cow,
        fmt::{self, Write as _},
    },
};

/// The keys that each line begins with.
const FIXED: [&str; 4] = ["time", "level", "target", "message"];
/// Is added to a key that is in the line already.
const TAKEN: char = '_';
/// The key of the reason why the rest of the key-values is missing.
const MISSING: &str = "missing";
/// Stands for what cannot be written.
const UNWRITABLE: &str = "(cannot be written)";
/// Bytes set aside for a line; most take less.
const ROOM: usize = 256;

/// Encodes events as lines of JSON.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Compact;

impl Encode for Compact {
    fn encode(&self, output: &mut dyn encode::Write, record: &Record<'_>) -> anyhow::Result<()> {
        output.write_all(&line(record, wall_clock::millis()))?;
        Ok(())
    }
}

/// The line of an event at a time, in milliseconds since 1970.
fn line(record: &Record<'_>, at: u64) -> Vec<u8> {
    let mut line = Line {
        text: Vec::with_capacity(ROOM),
        keys: Vec::new(),
    };
    line.text.extend_from_slice(b"{\"time\":");
    write(&mut line.text, &utc(at));
    line.text.extend_from_slice(b",\"level\":");
    write(&mut line.text, record.level().as_str());
    line.text.extend_from_slice(b",\"target\":");
    write(&mut line.text, record.target());
    line.text.extend_from_slice(b",\"message\":");
    match record.args().as_str() {
        Some(message) => write(&mut line.text, message),
        None => write(&mut line.text, &text(record.args())),
    }
    if let Err(error) = record.key_values().visit(&mut line) {
        line.key(Cow::Borrowed(MISSING));
        write(&mut line.text, &text(&error));
    }
    line.text.extend_from_slice(b"}\n");
    line.text
}

/// A time as text, as in `2026-08-27T13:05:20.238Z`; empty beyond what the calendar holds.
fn utc(millis: u64) -> String {
    wall_clock::utc(millis, SecondsFormat::Millis).unwrap_or_default()
}

/// What a value shows of itself, also when it fails on its way.
fn text(value: impl fmt::Display) -> String {
    let mut text = String::new();
    if write!(text, "{value}").is_err() {
        text.push_str(UNWRITABLE);
    }
    text
}

/// Adds a value in JSON.
fn write<T: Serialize + ?Sized>(line: &mut Vec<u8>, value: &T) {
    let start = line.len();
    if serde_json::to_writer(&mut *line, value).is_err() {
        line.truncate(start);
        line.extend_from_slice(b"null");
    }
}

/// A line on its way.
struct Line<'a> {
    text: Vec<u8>,
    /// The keys of key-values that are in it.
    keys: Vec<Cow<'a, str>>,
}

impl<'a> Line<'a> {
    /// Begins a key-value. A key that is in the line already gets another name.
    fn key(&mut self, mut key: Cow<'a, str>) {
        while FIXED.contains(&&*key) || self.keys.contains(&key) {
            key.to_mut().push(TAKEN);
        }
        self.text.push(b',');
        write(&mut self.text, &*key);
        self.text.push(b':');
        self.keys.push(key);
    }
}

impl<'a> VisitSource<'a> for Line<'a> {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), kv::Error> {
        let name = key
            .to_borrowed_str()
            .map_or_else(|| Cow::Owned(key.as_str().to_owned()), Cow::Borrowed);
        self.key(name);
        let start = self.text.len();
        if value.visit(Writer(&mut self.text)).is_err() {
            self.text.truncate(start);
            write(&mut self.text, UNWRITABLE);
        }
        Ok(())
    }
}

/// Writes one value: numbers and truth values as such, all else as text.
struct Writer<'a>(&'a mut Vec<u8>);

impl<'v> VisitValue<'v> for Writer<'_> {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), kv::Error> {
        write(self.0, &text(value));
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), kv::Error> {
        write(self.0, &value);
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), kv::Error> {
        write(self.0, &value);
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), kv::Error> {
        // JSON has no number for these.
        if !value.is_finite() {
            return self.visit_any(Value::from(value));
        }
        write(self.0, &value);
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), kv::Error> {
        write(self.0, &value);
        Ok(())
    }

    fn visit_str(&mut self, value: &str) -> Result<(), kv::Error> {
        write(self.0, value);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        log::{Level, kv::Source},
        serde_json::json,
        test_case::test_case,
    };

    /// 2026-08-27T13:05:20.238Z.
    const AT: u64 = 1_787_835_920_238;

    /// The line of a cell's event with these key-values.
    fn line_of(message: fmt::Arguments<'_>, values: &dyn Source) -> String {
        let record = Record::builder()
            .args(message)
            .level(Level::Info)
            .target("cell")
            .module_path(Some("magpie_cell::place"))
            .file(Some("components/cell/src/place.rs"))
            .line(Some(44))
            .key_values(&values)
            .build();
        String::from_utf8(line(&record, AT)).unwrap()
    }

    /// What a reader of JSON finds under a key.
    fn read(line: &str, key: &str) -> serde_json::Value {
        let value: serde_json::Value = serde_json::from_str(line).unwrap();
        value[key].clone()
    }

    /// Fails after some text.
    struct Broken;

    impl fmt::Display for Broken {
        fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("half")?;
            Err(fmt::Error)
        }
    }

    /// Key-values that break off after the first.
    struct Cut;

    impl Source for Cut {
        fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), kv::Error> {
            visitor.visit_pair("job".into(), "a1".into())?;
            Err(kv::Error::msg("no more"))
        }
    }

    #[test]
    fn line_whole_form() {
        let values = [
            ("job", Value::from("50edb6e5c0ea7808")),
            ("count", Value::from(4_u64)),
        ];
        let line = line_of(format_args!("Tasks are placed."), &values);
        assert_eq!(
            line,
            "{\"time\":\"2026-08-27T13:05:20.238Z\",\"level\":\"INFO\",\"target\":\"cell\",\
             \"message\":\"Tasks are placed.\",\"job\":\"50edb6e5c0ea7808\",\"count\":4}\n"
        );
    }

    /// This event took 340 bytes with module, file, thread and nested attributes.
    #[test]
    fn line_typical_is_short() {
        let values = [
            ("job", Value::from("50edb6e5c0ea7808")),
            ("place", Value::from(6_u64)),
            ("worker", Value::from("i-2993b13526")),
            ("run", Value::from(1_u64)),
            ("how", Value::from("Done")),
        ];
        let line = line_of(format_args!("A run has ended."), &values);
        assert!(line.len() <= 180, "{} bytes: {line}", line.len());
    }

    #[test_case(0, "1970-01-01T00:00:00.000Z")]
    #[test_case(951_782_399_999, "2000-02-28T23:59:59.999Z")]
    #[test_case(AT, "2026-08-27T13:05:20.238Z")]
    #[test_case(u64::MAX, ""; "beyond the calendar")]
    fn utc_known_times(millis: u64, expected: &str) {
        assert_eq!(utc(millis), expected);
    }

    #[test_case(Value::from(u64::MAX), "18446744073709551615")]
    #[test_case(Value::from(-3_i64), "-3")]
    #[test_case(Value::from(3_usize), "3")]
    #[test_case(Value::from(0.5), "0.5")]
    #[test_case(Value::from(true), "true")]
    #[test_case(Value::from("7"), "\"7\""; "text of digits stays text")]
    #[test_case(Value::from(f64::NAN), "\"NaN\""; "no number")]
    #[test_case(Value::from(f64::INFINITY), "\"inf\""; "no finite number")]
    #[test_case(Value::from('x'), "\"x\"")]
    #[test_case(Value::from_debug(&Some(4)), "\"Some(4)\"")]
    #[test_case(Value::from(u128::MAX), "\"340282366920938463463374607431768211455\"")]
    fn line_kinds_of_values(value: Value<'_>, expected: &str) {
        let line = line_of(format_args!("x"), &("value", value));
        assert!(
            line.ends_with(&format!(",\"value\":{expected}}}\n")),
            "{line}"
        );
        read(&line, "value");
    }

    #[test]
    fn line_escapes() {
        let odd = "a \"b\" \\ \n\r\t\u{1} \u{2028} ü";
        let line = line_of(format_args!("{odd}"), &(odd, odd));
        assert_eq!(line.matches('\n').count(), 1);
        assert_eq!(read(&line, "message"), odd);
        assert_eq!(read(&line, odd), odd);
    }

    #[test]
    fn line_clash_keeps_both() {
        let values = [
            ("target", 1),
            ("message", 2),
            ("job", 3),
            ("job", 4),
            ("job_", 5),
        ];
        let line = line_of(format_args!("x"), &values);
        assert_eq!(read(&line, "target"), "cell");
        assert_eq!(read(&line, "message"), "x");
        let kept = ["target_", "message_", "job", "job_", "job__"].map(|key| read(&line, key));
        assert_eq!(json!(kept), json!([1, 2, 3, 4, 5]));
    }

    #[test]
    fn line_broken_value_keeps_the_rest() {
        let values = [
            ("bad", Value::from_display(&Broken)),
            ("good", Value::from(1)),
        ];
        let line = line_of(format_args!("{Broken}"), &values);
        assert_eq!(read(&line, "message"), "half(cannot be written)");
        assert_eq!(read(&line, "bad"), "half(cannot be written)");
        assert_eq!(read(&line, "good"), 1);
    }

    #[test]
    fn line_broken_source_tells_so() {
        let line = line_of(format_args!("x"), &Cut);
        assert_eq!(read(&line, "job"), "a1");
        assert_eq!(read(&line, "missing"), "no more");
    }
}
