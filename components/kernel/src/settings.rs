//! Settings from flags and environment variables, validated at start.
//!
//! Every flag `--some-name` has the variable `MAGPIE_SOME_NAME`; the flag takes precedence. A
//! program reads each setting through a [`Reader`], which collects all invalid settings, and then
//! calls [`Reader::finish`] or [`Reader::build`].

use std::{env, fmt, net::SocketAddr, process, str::FromStr};

/// Exit code of a program with invalid settings or arguments.
pub const EXIT_SETTINGS: i32 = 2;

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The flag, without dashes.
    pub flag: String,
    /// The value as given; empty if it is missing.
    pub value: String,
    /// Description of valid values.
    pub rule: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { flag, value, rule } = self;
        write!(
            f,
            "--{flag} ({}): '{value}' is invalid; expected {rule}",
            variable(flag)
        )
    }
}

/// The environment variable of a flag.
pub fn variable(flag: &str) -> String {
    format!("MAGPIE_{}", flag.to_uppercase().replace('-', "_"))
}

/// Looks up the value of an environment variable.
type Lookup<'a> = dyn Fn(&str) -> Option<String> + 'a;

/// Reads settings and collects the invalid ones.
pub struct Reader<'a> {
    lookup: Box<Lookup<'a>>,
    faults: Vec<Fault>,
}

impl Default for Reader<'_> {
    fn default() -> Self {
        Self::new()
    }
}

impl<'a> Reader<'a> {
    /// A reader with the environment of the process.
    pub fn new() -> Self {
        Self::with_lookup(|name| env::var(name).ok())
    }

    /// A reader with other variables, for tests and for embedding programs.
    pub fn with_lookup(lookup: impl Fn(&str) -> Option<String> + 'a) -> Self {
        Reader {
            lookup: Box::new(lookup),
            faults: Vec::new(),
        }
    }

    /// The text of a setting: from the flag, else from the variable, else the default.
    fn raw(&self, flag: &str, given: Option<String>, default: Option<&str>) -> Option<String> {
        given
            .or_else(|| (self.lookup)(&variable(flag)))
            .or_else(|| default.map(str::to_owned))
    }

    /// Reports an invalid setting that the caller has detected.
    pub fn fault(&mut self, flag: &str, value: &str, rule: &str) {
        let fault = Fault {
            flag: flag.to_owned(),
            value: value.to_owned(),
            rule: rule.to_owned(),
        };
        self.faults.push(fault);
    }

    /// Parses a setting; `rule` describes the valid values.
    ///
    /// Returns `None` only if the setting was reported as invalid.
    pub fn value<T: FromStr>(
        &mut self,
        flag: &str,
        given: Option<String>,
        default: Option<&str>,
        rule: &str,
    ) -> Option<T> {
        let text = self.raw(flag, given, default).unwrap_or_default();
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.fault(flag, &text, rule);
                None
            }
        }
    }

    /// Parses an optional setting; `None` if it is missing or was reported as invalid.
    pub fn optional<T: FromStr>(
        &mut self,
        flag: &str,
        given: Option<String>,
        rule: &str,
    ) -> Option<T> {
        self.raw(flag, given.clone(), None)?;
        self.value(flag, given, None, rule)
    }

    /// A number from `low` to `high`, both included.
    pub fn number(
        &mut self,
        flag: &str,
        given: Option<String>,
        default: &str,
        (low, high): (u64, u64),
    ) -> Option<u64> {
        let rule = format!("a whole number from {low} to {high}");
        let number: u64 = self.value(flag, given, Some(default), &rule)?;
        if number < low || number > high {
            self.fault(flag, &number.to_string(), &rule);
            return None;
        }
        Some(number)
    }

    /// A name of 1 to 64 letters, digits, dashes, dots and underscores.
    pub fn name(
        &mut self,
        flag: &str,
        given: Option<String>,
        default: Option<&str>,
    ) -> Option<String> {
        let text = self.raw(flag, given, default).unwrap_or_default();
        if !is_name(&text) {
            self.fault(
                flag,
                &text,
                "a name of 1 to 64 letters, digits, dots, dashes, underscores",
            );
            return None;
        }
        Some(text)
    }

    /// An address to listen on.
    pub fn address(
        &mut self,
        flag: &str,
        given: Option<String>,
        default: &str,
    ) -> Option<SocketAddr> {
        self.value(
            flag,
            given,
            Some(default),
            "an address and a port, such as 10.0.0.5:7000",
        )
    }

    /// A base URL, `http://ADDRESS:PORT` with a numeric IP address.
    pub fn url(
        &mut self,
        flag: &str,
        given: Option<String>,
        default: Option<&str>,
    ) -> Option<String> {
        let text = self.raw(flag, given, default).unwrap_or_default();
        if !is_url(&text) {
            self.fault(flag, &text, "http://ADDRESS:PORT with a numeric IP address");
            return None;
        }
        Some(text)
    }

    /// Builds the settings from their values, all of which are present if none was invalid.
    ///
    /// # Errors
    ///
    /// All invalid settings.
    pub fn build<T>(self, build: impl FnOnce() -> Option<T>) -> Result<T, Vec<Fault>> {
        self.finish()?;
        build().ok_or_else(|| {
            let [flag, value] = ["settings", ""].map(str::to_owned);
            let rule = "a value for each setting".to_owned();
            vec![Fault { flag, value, rule }]
        })
    }

    /// Completes the reading.
    ///
    /// # Errors
    ///
    /// All invalid settings.
    pub fn finish(self) -> Result<(), Vec<Fault>> {
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(self.faults)
        }
    }
}

/// True if the text is a name of 1 to 64 characters that is safe in paths, keys and logs.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-._".contains(c);
    (1..=64).contains(&text.len()) && text.chars().all(allowed)
}

/// True for `http://ADDRESS:PORT` with a numeric IP address, with or without a path.
pub fn is_url(text: &str) -> bool {
    let Some(rest) = text.strip_prefix("http://") else {
        return false;
    };
    let authority = rest.split('/').next().unwrap_or_default();
    authority.parse::<SocketAddr>().is_ok()
}

/// Returns the settings, or prints all invalid ones and exits with code 2. If `check` is set and
/// all settings are valid, exits with code 0.
pub fn unwrap_or_exit<T>(result: Result<T, Vec<Fault>>, check: bool) -> T {
    match result {
        Ok(_) if check => {
            println!("settings are valid");
            process::exit(0)
        }
        Ok(value) => value,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            process::exit(EXIT_SETTINGS)
        }
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    fn lookup(name: &str) -> Option<String> {
        (name == "MAGPIE_HALL").then(|| "h2".to_owned())
    }

    #[test_case(Some("h9"), "h9"; "flag takes precedence")]
    #[test_case(None, "h2"; "variable without flag")]
    fn name_order(given: Option<&str>, expected: &str) {
        let mut reader = Reader::with_lookup(lookup);
        let name = reader.name("hall", given.map(str::to_owned), Some("h1"));
        assert_eq!(name.as_deref(), Some(expected));
        assert!(reader.finish().is_ok());
    }

    #[test]
    fn finish_lists_all_faults() {
        let mut reader = Reader::with_lookup(|_| None);
        reader.name("hall", Some("a b".to_owned()), None);
        reader.url("store", Some("ftp://x".to_owned()), None);
        reader.number("slots", Some("900".to_owned()), "8", (1, 64));
        reader.value::<bool>("flag", None, None, "true or false");
        let faults = reader.finish().unwrap_err();
        assert_eq!(faults.len(), 4);
        assert_eq!(
            faults[2].to_string(),
            "--slots (MAGPIE_SLOTS): '900' is invalid; expected a whole number from 1 to 64"
        );
    }

    #[test_case("http://127.0.0.1:80", true; "plain")]
    #[test_case("http://[::1]:80/workers/w1", true; "IPv6 with path")]
    #[test_case("http://localhost:80", false; "a host name")]
    #[test_case("https://127.0.0.1:80", false; "another scheme")]
    fn is_url_cases(text: &str, expected: bool) {
        assert_eq!(is_url(text), expected);
    }
}
