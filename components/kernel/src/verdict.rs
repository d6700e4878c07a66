//! Errors of requests, with a verdict on whether the receiver may have executed the request.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Whether the receiver may have executed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request was sent, or the receiver responded that it rejected the request.
    NotRun,
    /// At least part of the request was sent and no complete response was received.
    MayHaveRun,
    /// A complete response was received.
    Ran,
}

impl Verdict {
    /// The verdict as written in headers and bodies: `not-run`, `may-have-run` or `ran`.
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
    /// cannot connect to the receiver
    Unreachable,
    /// connection lost
    Broken,
    /// request timed out
    Timeout,
    /// response truncated or malformed
    BadAnswer,
    /// request rejected by the receiver
    Refused,
    /// receiver at capacity
    Busy,
    /// component is shutting down
    Stopping,
    /// value changed concurrently
    Conflict,
    /// invalid request
    Invalid,
    /// permission denied
    Denied,
}

/// {cause}: {text} (verdict: {verdict})
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub struct Failure {
    /// Whether the request may have been executed.
    pub verdict: Verdict,
    /// The kind of failure.
    pub cause: Cause,
    /// Human-readable details.
    pub text: String,
}

impl std::error::Error for Failure {}

impl Failure {
    /// A failure of a request that was certainly not executed.
    pub fn not_run(cause: Cause, text: impl Into<String>) -> Self {
        Failure {
            verdict: Verdict::NotRun,
            cause,
            text: text.into(),
        }
    }

    /// A failure of a request that may have been executed.
    pub fn may_have_run(cause: Cause, text: impl Into<String>) -> Self {
        Failure {
            verdict: Verdict::MayHaveRun,
            cause,
            text: text.into(),
        }
    }

    /// True if the request was certainly not executed.
    pub fn is_not_run(&self) -> bool {
        self.verdict == Verdict::NotRun
    }

    /// True for a time-out or a lost connection, where a retry on a new connection may succeed.
    pub fn is_connection_failure(&self) -> bool {
        matches!(self.cause, Cause::Timeout | Cause::Broken)
    }

    /// The failure of a second attempt after `first`. If the first attempt may have been executed,
    /// the verdict becomes `MayHaveRun`.
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

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(Verdict::NotRun, "not-run"; "not run")]
    #[test_case(Verdict::MayHaveRun, "may-have-run"; "may have run")]
    #[test_case(Verdict::Ran, "ran"; "ran")]
    fn as_str_matches_serde(verdict: Verdict, word: &str) {
        assert_eq!(verdict.to_string(), word);
        let bytes = crate::wire::encode(&verdict).unwrap();
        let back: Verdict = crate::wire::decode(&bytes).unwrap();
        assert_eq!(back, verdict);
    }
}
