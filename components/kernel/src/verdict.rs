//! What is known of a request that failed: whether it may have run.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Whether the receiver may have acted on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request reached the receiver, or the receiver said that it refused it.
    NotRun,
    /// Some of the request left and no whole answer came back.
    MayHaveRun,
    /// The receiver answered in whole.
    Ran,
}

impl Verdict {
    /// The word for the verdict in headers and bodies: `not-run`, `may-have-run` or `ran`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// no connection to the receiver
    Unreachable,
    /// the connection broke
    Broken,
    /// no answer in time
    Timeout,
    /// the answer is cut or cannot be read
    BadAnswer,
    /// the receiver refuses the request
    Refused,
    /// the receiver has no room now
    Busy,
    /// the part is stopping
    Stopping,
    /// the value changed meanwhile
    Conflict,
    /// the request is not valid
    Invalid,
    /// the caller holds no right to this
    Denied,
}

/// {cause}: {text} (verdict: {verdict})
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The kind of failure.
    pub cause: Cause,
    /// Details for a person.
    pub text: String,
}

impl std::error::Error for Failure {}

impl Failure {
    /// A failure of a request that surely did not run.
    pub fn not_run(cause: Cause, text: impl Into<String>) -> Self {
        Failure {
            verdict: Verdict::NotRun,
            cause,
            text: text.into(),
        }
    }

    /// A failure of a request that may have run.
    pub fn may_have_run(cause: Cause, text: impl Into<String>) -> Self {
        Failure {
            verdict: Verdict::MayHaveRun,
            cause,
            text: text.into(),
        }
    }

    /// True when the request surely did not run.
    pub fn is_not_run(&self) -> bool {
        self.verdict == Verdict::NotRun
    }

    /// True for a failure that a new connection may not have: the one that was used was silent or broken.
    pub fn is_connection_failure(&self) -> bool {
        matches!(self.cause, Cause::Timeout | Cause::Broken)
    }

    /// This failure of the second of two tries: where the first may have run, so may both.
    pub(crate) fn after_attempt(self, first: &Failure) -> Failure {
        match first.verdict {
            Verdict::NotRun => self,
            _ => Failure {
                verdict: Verdict::MayHaveRun,
                ..self
            },
        }
    }
}

/// The result of a call that may be made twice: that of the first try, unless a silent or broken connection
/// failed it; then that of the second.
///
/// # Errors
///
/// As the tries. A failed second try may have run where the first may have.
pub fn retry_once<T>(
    first: Result<T, Failure>,
    second: impl FnOnce() -> Result<T, Failure>,
) -> Result<T, Failure> {
    match first {
        Err(failure) if failure.is_connection_failure() => {
            second().map_err(|again| again.after_attempt(&failure))
        }
        result => result,
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(Verdict::NotRun, "not-run"; "not run")]
    #[test_case(Verdict::MayHaveRun, "may-have-run"; "may have run")]
    #[test_case(Verdict::Ran, "ran"; "ran")]
    fn word_matches_serde(verdict: Verdict, word: &str) {
        assert_eq!(verdict.to_string(), word);
        let bytes = crate::wire::encode(&verdict).unwrap();
        let back: Verdict = crate::wire::decode(&bytes).unwrap();
        assert_eq!(back, verdict);
    }
}
