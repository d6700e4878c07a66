//! The platform's key-value service: compare-and-swap, leases and watches.
//!
//! Its protocol, as met here: `GET /v1/kv/KEY` answers 200 with the value and its version in the
//! `x-version` header, or 404; with `after=V&wait_ms=T` it waits for a version above V and
//! answers 304 when the time passes. `PUT /v1/kv/KEY?expect=V` answers 200 with the new version,
//! or 409 with the present one; version 0 stands for an absent key.

use {
    kernel::{
        Call, Client, Failure,
        client::Timeout,
        verdict::{Cause, Verdict},
    },
    std::{sync::Arc, time::Duration},
};

/// The largest value that the service holds, in bytes.
pub const MAX_VALUE: usize = 1024 * 1024;

/// The header that carries a value's version.
pub const VERSION_HEADER: &str = "x-version";

/// The time after which a call on the service is given up.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// A value and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// Goes up with each write of the key; never 0.
    pub version: u64,
    /// The value.
    pub bytes: Arc<[u8]>,
}

/// What became of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swap {
    /// Written, with the new version.
    Written(u64),
    /// Not written: the key has this version, not the one expected.
    Conflict(u64),
}

/// The service, as parts of ours see it.
pub trait Store: Send + Sync {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// The service is down, slow, or its answer was lost.
    fn get(&self, key: &str) -> Result<Option<Versioned>, Failure>;

    /// Writes a key if it still has the expected version; 0 means that it must be absent.
    ///
    /// # Errors
    ///
    /// As [`Store::get`]; with `may-have-run` the write may have taken effect, now or later.
    fn swap(&self, key: &str, expected: u64, bytes: &[u8]) -> Result<Swap, Failure>;

    /// Waits for a version above `after`. `None` when the time passes without one.
    ///
    /// # Errors
    ///
    /// As [`Store::get`].
    fn watch(&self, key: &str, after: u64, time: Duration) -> Result<Option<Versioned>, Failure>;
}

/// The adapter to the service over HTTP.
pub struct Http {
    base: String,
    client: Client,
}

impl Http {
    /// An adapter to the service at this base address.
    pub fn new(base: &str, client: Client) -> Self {
        Http {
            base: base.to_owned(),
            client,
        }
    }

    fn read(
        &self,
        key: &str,
        query: &str,
        timeout: Duration,
    ) -> Result<Option<Versioned>, Failure> {
        let url = format!("{}/v1/kv/{key}{query}", self.base);
        let call = Call {
            method: "GET",
            url: &url,
            headers: &[],
            body: &[],
            timeout: Timeout::single(timeout).streaming(),
        };
        let answer = self.client.send(&call)?;
        match answer.status {
            200 => {
                let version = version_of(answer.header(VERSION_HEADER))?;
                Ok(Some(Versioned {
                    version,
                    bytes: answer.body.into(),
                }))
            }
            404 | 304 => Ok(None),
            status => Err(refusal(status)),
        }
    }
}

impl Store for Http {
    fn get(&self, key: &str) -> Result<Option<Versioned>, Failure> {
        self.read(key, "", TIMEOUT)
    }

    fn swap(&self, key: &str, expected: u64, bytes: &[u8]) -> Result<Swap, Failure> {
        let url = format!("{}/v1/kv/{key}?expect={expected}", self.base);
        let call = Call {
            method: "PUT",
            url: &url,
            headers: &[],
            body: bytes,
            timeout: Timeout::single(TIMEOUT).streaming(),
        };
        let answer = self.client.send(&call)?;
        let version = || version_of(answer.header(VERSION_HEADER));
        match answer.status {
            200 => Ok(Swap::Written(version()?)),
            409 => Ok(Swap::Conflict(version()?)),
            status => Err(refusal(status)),
        }
    }

    fn watch(&self, key: &str, after: u64, time: Duration) -> Result<Option<Versioned>, Failure> {
        let query = format!("?after={after}&wait_ms={}", time.as_millis());
        self.read(key, &query, time + TIMEOUT)
    }
}

fn version_of(text: &str) -> Result<u64, Failure> {
    text.parse()
        .map_err(|_| Failure::may_have_run(Cause::BadAnswer, "no version in the answer"))
}

/// A status that is no answer. The service documents 429 and 503 as refusals before any effect.
fn refusal(status: u16) -> Failure {
    let text = format!("the store answered {status}");
    match status {
        429 | 503 => Failure::not_run(Cause::Busy, text),
        400..500 => Failure::not_run(Cause::Invalid, text),
        _ => Failure {
            verdict: Verdict::MayHaveRun,
            cause: Cause::BadAnswer,
            text,
        },
    }
}
