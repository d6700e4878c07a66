//! Errors of commands and their exit codes.

use {
    displaydoc::Display,
    kernel::{Failure, verdict::Cause},
};

/// Failure of a command. The doc comments are the printed messages.
#[derive(Debug, Display)]
pub enum Error {
    /// not executed: {0}
    NotRun(Failure),
    /// may have been executed; check the state or send the same request again: {0}
    Unknown(Failure),
    /// refused: {0}
    Refused(String),
    /// {0}
    Input(String),
    /// {0}
    Ended(String),
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure.cause {
            _ if !failure.is_not_run() => Error::Unknown(failure),
            Cause::Refused | Cause::Conflict | Cause::Invalid => Error::Refused(failure.text),
            _ => Error::NotRun(failure),
        }
    }
}

impl Error {
    /// Exit code, as listed in `magpiectl --help`.
    pub fn code(&self) -> i32 {
        match self {
            Error::NotRun(_) => 1,
            Error::Input(_) => 2,
            Error::Refused(_) => 3,
            Error::Unknown(_) => 4,
            Error::Ended(_) => 5,
        }
    }
}
