//! Encodes log events as JSON, one line per event.
//!
//! The log storage keeps only the last part of a process's output, so lines are short: time in UTC,
//! level, target and message, followed by the key-values at the same level.

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

/// Keys at the beginning of each line.
const FIXED_KEYS: [&str; 4] = ["time", "level", "target", "message"];
/// Appended to a key that already occurs in the line.
const DUPLICATE_SUFFIX: char = '_';
/// Key of the error because of which the remaining key-values are missing.
const ERROR_KEY: &str = "missing";
/// Replaces a value that cannot be formatted.
const UNWRITABLE: &str = "(cannot be written)";
/// Initial capacity of a line in bytes; most lines are shorter.
const LINE_CAPACITY: usize = 256;

/// Encodes events as JSON lines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JsonEncoder;

impl Encode for JsonEncoder {
    fn encode(&self, output: &mut dyn encode::Write, record: &Record<'_>) -> anyhow::Result<()> {
        output.write_all(&line(record, wall_clock::millis()))?;
        Ok(())
    }
}

/// Encodes an event as a line; `at` is in milliseconds since the Unix epoch.
fn line(record: &Record<'_>, at: u64) -> Vec<u8> {
    let mut line = Line {
        text: Vec::with_capacity(LINE_CAPACITY),
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
        line.key(Cow::Borrowed(ERROR_KEY));
        write(&mut line.text, &text(&error));
    }
    line.text.extend_from_slice(b"}\n");
    line.text
}

/// Formats a time as in `2026-08-27T13:05:20.238Z`; empty if out of range for the calendar.
fn utc(millis: u64) -> String {
    wall_clock::utc(millis, SecondsFormat::Millis).unwrap_or_default()
}

/// Formats a value; if this fails, the text so far is kept and marked.
fn text(value: impl fmt::Display) -> String {
    let mut text = String::new();
    if write!(text, "{value}").is_err() {
        text.push_str(UNWRITABLE);
    }
    text
}

/// Appends a value in JSON.
fn write<T: Serialize + ?Sized>(line: &mut Vec<u8>, value: &T) {
    let start = line.len();
    if serde_json::to_writer(&mut *line, value).is_err() {
        line.truncate(start);
        line.extend_from_slice(b"null");
    }
}

/// A line that is being built.
struct Line<'a> {
    text: Vec<u8>,
    /// Keys of the key-values in the line.
    keys: Vec<Cow<'a, str>>,
}

impl<'a> Line<'a> {
    /// Appends the key of a key-value. A key that already occurs in the line is made unique.
    fn key(&mut self, mut key: Cow<'a, str>) {
        while FIXED_KEYS.contains(&&*key) || self.keys.contains(&key) {
            key.to_mut().push(DUPLICATE_SUFFIX);
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

/// Appends one value: numbers and booleans as such, everything else as text.
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
        // JSON cannot represent these as numbers.
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

    /// The line of an event of a cell with these key-values.
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

    /// Parses the line and returns the value of a key.
    fn read(line: &str, key: &str) -> serde_json::Value {
        let value: serde_json::Value = serde_json::from_str(line).unwrap();
        value[key].clone()
    }

    /// Fails to format after part of the text.
    struct FailingValue;

    impl fmt::Display for FailingValue {
        fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("half")?;
            Err(fmt::Error)
        }
    }

    /// Key-values that fail after the first.
    struct FailingSource;

    impl Source for FailingSource {
        fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), kv::Error> {
            visitor.visit_pair("job".into(), "a1".into())?;
            Err(kv::Error::msg("no more"))
        }
    }

    #[test]
    fn line_complete() {
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

    /// Guards against long lines: with module, file, thread and nested attributes, this event took
    /// 340 bytes.
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
    #[test_case(Value::from(f64::NAN), "\"NaN\""; "not a number")]
    #[test_case(Value::from(f64::INFINITY), "\"inf\""; "infinite")]
    #[test_case(Value::from('x'), "\"x\"")]
    #[test_case(Value::from_debug(&Some(4)), "\"Some(4)\"")]
    #[test_case(Value::from(u128::MAX), "\"340282366920938463463374607431768211455\"")]
    fn line_value_types(value: Value<'_>, expected: &str) {
        let line = line_of(format_args!("x"), &("value", value));
        assert!(
            line.ends_with(&format!(",\"value\":{expected}}}\n")),
            "{line}"
        );
        read(&line, "value");
    }

    #[test]
    fn line_escapes() {
        let special = "a \"b\" \\ \n\r\t\u{1} \u{2028} ü";
        let line = line_of(format_args!("{special}"), &(special, special));
        assert_eq!(line.matches('\n').count(), 1);
        assert_eq!(read(&line, "message"), special);
        assert_eq!(read(&line, special), special);
    }

    #[test]
    fn line_duplicate_keys() {
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
        let values = ["target_", "message_", "job", "job_", "job__"].map(|key| read(&line, key));
        assert_eq!(json!(values), json!([1, 2, 3, 4, 5]));
    }

    #[test]
    fn line_failing_value() {
        let values = [
            ("bad", Value::from_display(&FailingValue)),
            ("good", Value::from(1)),
        ];
        let line = line_of(format_args!("{FailingValue}"), &values);
        assert_eq!(read(&line, "message"), "half(cannot be written)");
        assert_eq!(read(&line, "bad"), "half(cannot be written)");
        assert_eq!(read(&line, "good"), 1);
    }

    #[test]
    fn line_failing_source() {
        let line = line_of(format_args!("x"), &FailingSource);
        assert_eq!(read(&line, "job"), "a1");
        assert_eq!(read(&line, "missing"), "no more");
    }
}
