//! Client of the platform's key-value service: reads, compare-and-swap writes, and watches.
//!
//! The protocol: `GET /v1/kv/KEY` answers 200 with the value and its version in the
//! `x-version` header, or 404; with `after=V&wait_ms=T` it waits for a version above V and
//! answers 304 on timeout. `PUT /v1/kv/KEY?expect=V` answers 200 with the new version,
//! or 409 with the current one; version 0 stands for an absent key.

use {
    kernel::{
        Call, Client, Failure,
        client::Timeout,
        verdict::{Cause, Verdict},
    },
    std::{sync::Arc, time::Duration},
};

/// The maximum size of a value, in bytes.
pub const MAX_VALUE: usize = 1024 * 1024;

/// The header that carries a value's version.
pub const VERSION_HEADER: &str = "x-version";

/// Timeout of a call.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// A value and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// Increases with each write of the key; never 0.
    pub version: u64,
    /// The value.
    pub bytes: Arc<[u8]>,
}

/// The result of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swap {
    /// Written as this new version.
    Written(u64),
    /// Not written, since the key has this version instead of the expected one.
    Conflict(u64),
}

/// Client interface of the service.
pub trait Store: Send + Sync {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable, times out, refuses the call, or answers invalidly.
    fn get(&self, key: &str) -> Result<Option<Versioned>, Failure>;

    /// Writes a key if it still has the expected version; 0 means that the key must be absent.
    ///
    /// # Errors
    ///
    /// As [`Store::get`]; with `may-have-run` the write may already have been applied, or may still be.
    fn swap(&self, key: &str, expected: u64, bytes: &[u8]) -> Result<Swap, Failure>;

    /// Waits for a version above `after`; returns `None` on timeout.
    ///
    /// # Errors
    ///
    /// As [`Store::get`].
    fn watch(&self, key: &str, after: u64, time: Duration) -> Result<Option<Versioned>, Failure>;
}

/// The HTTP adapter.
pub struct Http {
    base: String,
    client: Client,
}

impl Http {
    /// Creates an adapter for the service at this base address.
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
        let response = self.client.send(&call)?;
        match response.status {
            200 => {
                let version = parse_version(response.header(VERSION_HEADER))?;
                Ok(Some(Versioned {
                    version,
                    bytes: response.body.into(),
                }))
            }
            404 | 304 => Ok(None),
            status => Err(status_failure(status)),
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
        let response = self.client.send(&call)?;
        let version = || parse_version(response.header(VERSION_HEADER));
        match response.status {
            200 => Ok(Swap::Written(version()?)),
            409 => Ok(Swap::Conflict(version()?)),
            status => Err(status_failure(status)),
        }
    }

    fn watch(&self, key: &str, after: u64, time: Duration) -> Result<Option<Versioned>, Failure> {
        let query = format!("?after={after}&wait_ms={}", time.as_millis());
        self.read(key, &query, time + TIMEOUT)
    }
}

fn parse_version(text: &str) -> Result<u64, Failure> {
    text.parse()
        .map_err(|_| Failure::may_have_run(Cause::BadAnswer, "no version in the answer"))
}

/// Returns the failure for an unexpected status. The service documents that 429 and 503 are sent before a
/// call has any effect.
fn status_failure(status: u16) -> Failure {
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
