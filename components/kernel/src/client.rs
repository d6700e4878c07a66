//! HTTP calls by `hyper`, with a verdict on every failure.
//!
//! The library's error does not say whether a request left, so the connections are wrapped and
//! count the bytes that the system takes: with none taken, the request did not run.

mod metered;
mod pool;

use {
    crate::{
        clock::BootInstant,
        reuse::ReusePolicy,
        runtime,
        timeout::AttemptTimeout,
        token::Token,
        traffic,
        verdict::{Cause, Failure},
        wire,
    },
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        HeaderMap, Request, Response, Uri,
        body::{Bytes, Incoming},
        header::{self, HeaderName, HeaderValue},
    },
    pool::{Kept, Pool},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        fmt, io,
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub use crate::{
    client::metered::ConnectionId,
    timeout::{BULK_ALLOWANCE, Timeout},
};

/// The largest answer that a call takes in, in bytes.
pub const MAX_RESPONSE: u64 = 16 * 1024 * 1024;
/// What calls name themselves.
const AGENT: HeaderValue = HeaderValue::from_static("magpiesaddle");

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// The method, such as `POST`.
    pub method: &'a str,
    /// The whole address.
    pub url: &'a str,
    /// Headers besides the length and the token.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
    /// The time for it.
    pub timeout: Timeout,
}

/// One whole answer.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Vec<u8>,
    /// What it came by.
    pub connection: ConnectionId,
}

impl HttpResponse {
    /// The text of a header; empty when there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// How many connections a client keeps.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Idle connections in all.
    pub max_idle: usize,
    /// Idle connections to each receiver.
    pub per_host: usize,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        PoolLimits {
            max_idle: 256,
            per_host: 4,
            idle_timeout: Duration::from_secs(20),
        }
    }
}

/// A client that keeps connections and classifies failures.
#[derive(Clone)]
pub struct Client {
    pool: Arc<Pool>,
    token: Option<Token>,
    limits: PoolLimits,
    /// All calls have so many times the time that they are given.
    stretch: u32,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Client")
    }
}

impl Client {
    /// A client with the usual limits that shows the token, if there is one.
    pub fn new(token: Option<Token>) -> Self {
        Self::with_limits(token, PoolLimits::default())
    }

    /// A client with limits of its own.
    pub fn with_limits(token: Option<Token>, limits: PoolLimits) -> Self {
        Client {
            pool: Arc::new(Pool::new(limits, ReusePolicy::new(limits.idle_timeout))),
            token,
            limits,
            stretch: 1,
        }
    }

    /// Gives all calls so many times as long: for a machine so busy that it holds threads up for as long as
    /// the time-outs of calls.
    #[must_use]
    pub fn with_timeout_factor(self, by: u32) -> Self {
        Client {
            stretch: by,
            ..self
        }
    }

    /// A client like this one with connections of its own.
    #[must_use]
    pub fn with_own_pool(&self) -> Self {
        Client {
            stretch: self.stretch,
            ..Self::with_limits(self.token.clone(), self.limits)
        }
    }

    /// Makes the call once over this connection, or not at all.
    ///
    /// Other connections to the receiver that nobody uses may be closed by it: whoever binds calls keeps them in a
    /// client [apart](Client::apart), where each receiver has one connection.
    ///
    /// # Errors
    ///
    /// As [`Client::send`]; `not-run` where the connection is gone.
    pub async fn call_over(
        &self,
        call: &Call<'_>,
        connection: ConnectionId,
    ) -> Result<HttpResponse, Failure> {
        let span = call.timeout.scaled(self.stretch).first(call.body.len());
        self.attempt(call, span, Some(connection)).await
    }

    /// Makes the call and takes in the whole answer.
    ///
    /// # Errors
    ///
    /// `not-run` only when no byte left for the receiver; else `may-have-run`. An answer without
    /// a length of its own, or one that is cut, is `BadAnswer`.
    pub async fn call(&self, call: &Call<'_>) -> Result<HttpResponse, Failure> {
        let time = call.timeout.scaled(self.stretch);
        let body = call.body.len();
        let begun = Instant::now();
        let first = match self.attempt(call, time.first(body), None).await {
            Err(failure) if time.has_retry() && failure.is_connection_failure() => failure,
            result => return result,
        };
        let span = time.second(body, begun.elapsed());
        let second = self.attempt(call, span, None).await;
        second.map_err(|again| again.after_attempt(&first))
    }

    /// Like [`Client::call`], from a thread that may wait.
    ///
    /// # Errors
    ///
    /// As there.
    pub fn send(&self, call: &Call) -> Result<HttpResponse, Failure> {
        wait(self.call(call))
    }

    /// Makes the call once, within this time.
    async fn attempt(
        &self,
        call: &Call<'_>,
        span: AttemptTimeout,
        bound: Option<ConnectionId>,
    ) -> Result<HttpResponse, Failure> {
        let begun = Instant::now();
        let request = self.request(call)?;
        let receiver = receiver(call.url);
        let mut kept = match self.pool.connection(receiver, span.connect(), bound).await {
            Ok(kept) => kept,
            Err(fault) => {
                traffic::record(&traffic::call_kind(call.url), 0, 0);
                return Err(self.failed(call, &fault, 0));
            }
        };
        let result = exchange(&mut kept, request, span, begun).await;
        if result.is_err() {
            kept.meter.seal();
        }
        let sent = kept.meter.sent();
        let heard = result
            .as_ref()
            .map_or(0, |answer| answer.body.len() + traffic::HEAD_BYTES);
        traffic::record(&traffic::call_kind(call.url), sent, heard);
        match result {
            Ok(answer) => {
                self.pool.keep(receiver, kept);
                Ok(answer)
            }
            Err(fault) => Err(self.failed(call, &fault, sent)),
        }
    }

    /// The failure that a fault is after so many bytes were handed over.
    fn failed(&self, call: &Call, fault: &Fault, sent: usize) -> Failure {
        if matches!(fault, Fault::Connecting | Fault::Late) {
            self.pool
                .record_timeout(receiver(call.url), BootInstant::now());
        }
        classify(fault, sent)
    }

    fn request(&self, call: &Call) -> Result<Request<Full<Bytes>>, Failure> {
        let invalid = |text: String| Failure::not_run(Cause::Invalid, text);
        let uri: Uri = call
            .url
            .parse()
            .map_err(|error| invalid(format!("{}: {error}", call.url)))?;
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        let mut builder = Request::builder()
            .method(call.method)
            .uri(path)
            .header(header::USER_AGENT, AGENT);
        let names_host = |(name, _): &(&str, &str)| name.eq_ignore_ascii_case("host");
        if !call.headers.iter().any(names_host) {
            builder = builder.header(header::HOST, receiver(call.url));
        }
        for (name, value) in call.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            builder = builder.header(name.map_err(|error| invalid(error.to_string()))?, *value);
        }
        if let Some(token) = &self.token {
            builder = builder.header(header::AUTHORIZATION, token.header());
        }
        let body = Full::from(Bytes::copy_from_slice(call.body));
        builder
            .body(body)
            .map_err(|error| invalid(error.to_string()))
    }

    /// Posts a message to another process of ours and reads the message that answers it.
    ///
    /// # Errors
    ///
    /// As [`Client::send`]; and the receiver's own [`Failure`], passed on as it gave it.
    pub fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        url: &str,
        message: &T,
        time: impl Into<Timeout>,
    ) -> Result<R, Failure> {
        self.post_encoded(url, &wire::encode(message)?, time)
    }

    /// Like [`Client::post`], for a message that is encoded already.
    ///
    /// # Errors
    ///
    /// As [`Client::post`].
    pub fn post_encoded<R: DeserializeOwned>(
        &self,
        url: &str,
        body: &[u8],
        time: impl Into<Timeout>,
    ) -> Result<R, Failure> {
        let headers = [("content-type", wire::CONTENT_TYPE)];
        let answer = self.send(&Call {
            method: "POST",
            url,
            headers: &headers,
            body,
            timeout: time.into(),
        })?;
        if answer.status == 200 {
            return wire::decode(&answer.body).map_err(|e| as_answer(&e));
        }
        let passed: Result<Failure, Failure> = wire::decode(&answer.body);
        Err(passed.unwrap_or_else(|_| {
            Failure::may_have_run(
                Cause::BadAnswer,
                format!("status {} from {url}", answer.status),
            )
        }))
    }
}

/// An answer that cannot be read says nothing of whether the request ran.
fn as_answer(failure: &Failure) -> Failure {
    Failure::may_have_run(Cause::BadAnswer, failure.text.clone())
}

/// The address and port in a whole address.
fn receiver(url: &str) -> &str {
    let rest = url.split_once("://").map_or(url, |(_, rest)| rest);
    rest.split('/').next().unwrap_or(rest)
}

/// Why an attempt brought no answer.
#[derive(Debug, displaydoc::Display)]
enum Fault {
    /// the time for connecting is over
    Connecting,
    /// the time is over
    Late,
    /// the connection that the call is bound to is gone
    Gone,
    /// {0}
    Io(io::Error),
    /// {0}
    Library(hyper::Error),
    /// an answer without a length cannot be told from a cut one
    Endless,
    /// the answer is too large
    Large,
}

fn wait(
    work: impl Future<Output = Result<HttpResponse, Failure>>,
) -> Result<HttpResponse, Failure> {
    runtime::block_on(work)
        .unwrap_or_else(|error| Err(Failure::not_run(Cause::Unreachable, error.to_string())))
}

/// Sends a request and takes the whole answer in, within this time.
async fn exchange(
    kept: &mut Kept,
    request: Request<Full<Bytes>>,
    span: AttemptTimeout,
    begun: Instant,
) -> Result<HttpResponse, Fault> {
    let (connection, meter) = (kept.number, kept.meter.clone());
    let work = async {
        let response = kept.sender.send_request(request).await;
        let response = response.map_err(Fault::Library)?;
        refuse_endless(&response)?;
        let (head, body) = response.into_parts();
        Ok(HttpResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body: read_whole(body).await?,
            connection,
        })
    };
    let mut work = std::pin::pin!(work);
    loop {
        let deadline = span.deadline(begun, meter.heard());
        tokio::select! {
            biased;
            result = work.as_mut() => return result,
            () = tokio::time::sleep_until(deadline.into()) => {}
        }
        if span.deadline(begun, meter.heard()) <= Instant::now() {
            return Err(Fault::Late);
        }
    }
}

async fn read_whole(body: Incoming) -> Result<Vec<u8>, Fault> {
    match Limited::new(body, MAX_RESPONSE as usize).collect().await {
        Ok(whole) => Ok(whole.to_bytes().into()),
        Err(error) if error.is::<LengthLimitError>() => Err(Fault::Large),
        Err(error) => Err(match error.downcast() {
            Ok(error) => Fault::Library(*error),
            Err(error) => Fault::Io(io::Error::other(error)),
        }),
    }
}

/// Refuses an answer whose end is only the end of the connection: it may be cut unseen.
fn refuse_endless<B>(response: &Response<B>) -> Result<(), Fault> {
    let (status, headers) = (response.status().as_u16(), response.headers());
    let bodiless = status == 204 || status == 304;
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    if bodiless || chunked || headers.contains_key(header::CONTENT_LENGTH) {
        return Ok(());
    }
    Err(Fault::Endless)
}

/// Turns a fault into a failure, by the bytes that left.
fn classify(fault: &Fault, sent: usize) -> Failure {
    let cause = match fault {
        Fault::Connecting | Fault::Gone => Cause::Unreachable,
        Fault::Late => Cause::Timeout,
        Fault::Endless | Fault::Large => Cause::BadAnswer,
        Fault::Library(error) if error.is_parse() => Cause::BadAnswer,
        Fault::Io(_) | Fault::Library(_) if sent == 0 => Cause::Unreachable,
        Fault::Io(_) | Fault::Library(_) => Cause::Broken,
    };
    if sent == 0 {
        return Failure::not_run(cause, fault.to_string());
    }
    Failure::may_have_run(cause, fault.to_string())
}
