//! HTTP client on `hyper` with connection pooling, where each failure states whether the request
//! may have run.
//!
//! Errors of the library do not state whether a request was sent. Connections are therefore wrapped
//! to count the bytes that the operating system accepts: if it has accepted none, the request did
//! not run.

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
    pool::{Pool, PooledConnection},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        fmt, io,
        pin::pin,
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub use crate::{
    client::metered::ConnectionId,
    timeout::{BULK_ALLOWANCE, Timeout},
};

/// Maximum size of a response body in bytes.
pub const MAX_RESPONSE: u64 = 16 * 1024 * 1024;
/// User agent of all calls.
const USER_AGENT: HeaderValue = HeaderValue::from_static("magpiesaddle");

/// An HTTP request.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// The method, such as `POST`.
    pub method: &'a str,
    /// The full URL.
    pub url: &'a str,
    /// Headers in addition to length and token.
    pub headers: &'a [(&'a str, &'a str)],
    /// The request body.
    pub body: &'a [u8],
    /// Time-outs of the call.
    pub timeout: Timeout,
}

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Vec<u8>,
    /// The connection that the response was received on.
    pub connection: ConnectionId,
    /// Duration of the attempt that received it.
    pub took: Duration,
}

impl HttpResponse {
    /// The value of a header; empty if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// Limits of a connection pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Maximum number of idle connections in total.
    pub max_idle: usize,
    /// Maximum number of idle connections to each receiver.
    pub per_host: usize,
    /// Maximum idle time of a connection.
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

/// HTTP client that pools connections and classifies failures.
#[derive(Clone)]
pub struct Client {
    pool: Arc<Pool>,
    token: Option<Token>,
    limits: PoolLimits,
    /// Factor on the time-outs of all calls.
    timeout_factor: u32,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Client")
    }
}

impl Client {
    /// A client with default pool limits that sends the token, if any.
    pub fn new(token: Option<Token>) -> Self {
        Self::with_limits(token, PoolLimits::default())
    }

    /// A client with the given pool limits.
    pub fn with_limits(token: Option<Token>, limits: PoolLimits) -> Self {
        Client {
            pool: Arc::new(Pool::new(limits, ReusePolicy::new(limits.idle_timeout))),
            token,
            limits,
            timeout_factor: 1,
        }
    }

    /// Multiplies the time-outs of all calls, for a machine so loaded that threads are delayed for
    /// as long as the time-outs of calls.
    #[must_use]
    pub fn with_timeout_factor(self, factor: u32) -> Self {
        Client {
            timeout_factor: factor,
            ..self
        }
    }

    /// A client with the same settings and its own connection pool.
    #[must_use]
    pub fn with_own_pool(&self) -> Self {
        Client {
            timeout_factor: self.timeout_factor,
            ..Self::with_limits(self.token.clone(), self.limits)
        }
    }

    /// Makes a single attempt over the given connection only.
    ///
    /// The call may close other idle connections to the receiver. Use bound calls with a client
    /// that has its [own pool](Client::with_own_pool), where each receiver has one connection.
    ///
    /// # Errors
    ///
    /// As [`Client::send`]; `not-run` if the connection is closed.
    pub async fn call_over(
        &self,
        call: &Call<'_>,
        connection: ConnectionId,
    ) -> Result<HttpResponse, Failure> {
        let timeout = call
            .timeout
            .scaled(self.timeout_factor)
            .first(call.body.len());
        self.attempt(call, timeout, Some(connection)).await
    }

    /// Makes the call, with a retry if its [`Timeout`] allows one, and reads the complete response.
    ///
    /// # Errors
    ///
    /// `not-run` only if no byte was sent to the receiver, otherwise `may-have-run`. A response
    /// that is truncated or does not declare its length is `BadAnswer`.
    pub async fn call(&self, call: &Call<'_>) -> Result<HttpResponse, Failure> {
        let time = call.timeout.scaled(self.timeout_factor);
        match time.hedge_delay(call.body.len()) {
            Some(delay) => self.call_hedged(call, time, delay).await,
            None => self.call_sequentially(call, time).await,
        }
    }

    async fn call_sequentially(
        &self,
        call: &Call<'_>,
        time: Timeout,
    ) -> Result<HttpResponse, Failure> {
        let body = call.body.len();
        let started = Instant::now();
        let first = match self.attempt(call, time.first(body), None).await {
            Err(failure) if time.has_retry() && failure.is_connection_failure() => failure,
            result => return result,
        };
        let timeout = time.second(body, started.elapsed());
        let second = self.attempt(call, timeout, None).await;
        second.map_err(|failed| failed.after_attempt(&first))
    }

    /// Makes a second attempt on a new connection if the first one fails or has no response within
    /// `delay`, and returns the first response.
    async fn call_hedged(
        &self,
        call: &Call<'_>,
        time: Timeout,
        delay: Duration,
    ) -> Result<HttpResponse, Failure> {
        let body = call.body.len();
        let started = Instant::now();
        let mut first = pin!(self.attempt(call, time.hedged_first(body), None));
        match tokio::time::timeout(delay, first.as_mut()).await {
            Ok(Err(failure)) if failure.is_connection_failure() => {
                let timeout = time.second(body, started.elapsed());
                let second = self.attempt(call, timeout, None).await;
                return combine(second, Err(failure));
            }
            Ok(result) => return result,
            Err(_) => {}
        }
        // The connection may have failed silently, and others with it.
        self.pool
            .record_timeout(receiver(call.url), BootInstant::now());
        let mut second = pin!(self.attempt(call, time.second(body, delay), None));
        tokio::select! {
            biased;
            result = first.as_mut() => match is_executed(&result) {
                true => result,
                false => combine(second.await, result),
            },
            result = second.as_mut() => match is_executed(&result) {
                true => result,
                false => combine(first.await, result),
            },
        }
    }

    /// Like [`Client::call`], blocking the calling thread.
    ///
    /// # Errors
    ///
    /// As for [`Client::call`].
    pub fn send(&self, call: &Call) -> Result<HttpResponse, Failure> {
        block_on(self.call(call))
    }

    /// Makes a single attempt within these time-outs, over the bound connection if one is given.
    async fn attempt(
        &self,
        call: &Call<'_>,
        timeout: AttemptTimeout,
        bound: Option<ConnectionId>,
    ) -> Result<HttpResponse, Failure> {
        let started = Instant::now();
        let request = self.request(call)?;
        let receiver = receiver(call.url);
        let mut connection = match self
            .pool
            .connection(receiver, timeout.connect(), bound)
            .await
        {
            Ok(connection) => connection,
            Err(error) => {
                traffic::record(&traffic::call_kind(call.url), 0, 0);
                return Err(self.failure(call, &error, 0));
            }
        };
        let result = exchange(&mut connection, request, timeout, started).await;
        if result.is_err() {
            connection.meter.seal();
        }
        let sent = connection.meter.sent();
        let received = result
            .as_ref()
            .map_or(0, |response| response.body.len() + traffic::HEAD_BYTES);
        traffic::record(&traffic::call_kind(call.url), sent, received);
        match result {
            Ok(response) => {
                self.pool.put_back(receiver, connection);
                Ok(response)
            }
            Err(error) => Err(self.failure(call, &error, sent)),
        }
    }

    /// Converts an error into a failure, given the number of bytes sent. A time-out is recorded in
    /// the pool.
    fn failure(&self, call: &Call, error: &AttemptError, sent: usize) -> Failure {
        if matches!(
            error,
            AttemptError::ConnectTimeout | AttemptError::RequestTimeout
        ) {
            self.pool
                .record_timeout(receiver(call.url), BootInstant::now());
        }
        classify(error, sent)
    }

    /// Builds the HTTP request with the headers of the call, the host and the token.
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
            .header(header::USER_AGENT, USER_AGENT);
        let is_host = |(name, _): &(&str, &str)| name.eq_ignore_ascii_case("host");
        if !call.headers.iter().any(is_host) {
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

    /// Posts a message to another process of the scheduler and decodes the message in the response.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and the [`Failure`] that the receiver returned, unchanged.
    pub fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        url: &str,
        message: &T,
        time: impl Into<Timeout>,
    ) -> Result<R, Failure> {
        self.post_encoded(url, &wire::encode(message)?, time)
    }

    /// Like [`Client::post`], for an encoded message.
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
        let response = self.send(&Call {
            method: "POST",
            url,
            headers: &headers,
            body,
            timeout: time.into(),
        })?;
        if response.status == 200 {
            return wire::decode(&response.body).map_err(|e| as_bad_response(&e));
        }
        let returned: Result<Failure, Failure> = wire::decode(&response.body);
        Err(returned.unwrap_or_else(|_| {
            Failure::may_have_run(
                Cause::BadAnswer,
                format!("status {} from {url}", response.status),
            )
        }))
    }
}

/// True for a response other than a refusal for overload, which only shows that this attempt was
/// not executed.
fn is_executed(result: &Result<HttpResponse, Failure>) -> bool {
    result
        .as_ref()
        .is_ok_and(|response| !matches!(response.status, 429 | 503))
}

/// The result of a call of two attempts, given that of the last one and that of the other, which
/// was not executed or has failed.
fn combine(
    last: Result<HttpResponse, Failure>,
    other: Result<HttpResponse, Failure>,
) -> Result<HttpResponse, Failure> {
    if is_executed(&last) {
        return last;
    }
    match (last, other) {
        // A refused attempt does not show that the other one was not executed.
        (Ok(_), Err(failure)) | (Err(failure), Ok(_)) if !failure.is_not_run() => Err(failure),
        (Ok(response), _) | (Err(_), Ok(response)) => Ok(response),
        (Err(last), Err(other)) => Err(last.after_attempt(&other)),
    }
}

/// Converts a decoding failure: a malformed response does not show whether the request ran.
fn as_bad_response(failure: &Failure) -> Failure {
    Failure::may_have_run(Cause::BadAnswer, failure.text.clone())
}

/// The address and port in a URL.
fn receiver(url: &str) -> &str {
    let rest = url.split_once("://").map_or(url, |(_, rest)| rest);
    rest.split('/').next().unwrap_or(rest)
}

/// Why an attempt failed. The texts go out in response bodies, such as those of the gate.
#[derive(Debug, displaydoc::Display)]
enum AttemptError {
    /// the time for connecting is over
    ConnectTimeout,
    /// the time is over
    RequestTimeout,
    /// the connection that the call is bound to is gone
    ConnectionClosed,
    /// {0}
    Io(io::Error),
    /// {0}
    Library(hyper::Error),
    /// an answer without a length cannot be told from a cut one
    UnknownLength,
    /// the answer is too large
    TooLarge,
}

fn block_on(
    work: impl Future<Output = Result<HttpResponse, Failure>>,
) -> Result<HttpResponse, Failure> {
    runtime::block_on(work)
        .unwrap_or_else(|error| Err(Failure::not_run(Cause::Unreachable, error.to_string())))
}

/// Sends a request and reads the complete response, within these time-outs.
async fn exchange(
    pooled: &mut PooledConnection,
    request: Request<Full<Bytes>>,
    timeout: AttemptTimeout,
    started: Instant,
) -> Result<HttpResponse, AttemptError> {
    let (connection, meter) = (pooled.id, pooled.meter.clone());
    let work = async {
        let response = pooled.sender.send_request(request).await;
        let response = response.map_err(AttemptError::Library)?;
        require_length(&response)?;
        let (head, body) = response.into_parts();
        Ok(HttpResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body: read_body(body).await?,
            connection,
            took: started.elapsed(),
        })
    };
    let mut work = std::pin::pin!(work);
    loop {
        let deadline = timeout.deadline(started, meter.received());
        tokio::select! {
            biased;
            result = work.as_mut() => return result,
            () = tokio::time::sleep_until(deadline.into()) => {}
        }
        if timeout.deadline(started, meter.received()) <= Instant::now() {
            return Err(AttemptError::RequestTimeout);
        }
    }
}

async fn read_body(body: Incoming) -> Result<Vec<u8>, AttemptError> {
    match Limited::new(body, MAX_RESPONSE as usize).collect().await {
        Ok(body) => Ok(body.to_bytes().into()),
        Err(error) if error.is::<LengthLimitError>() => Err(AttemptError::TooLarge),
        Err(error) => Err(match error.downcast() {
            Ok(error) => AttemptError::Library(*error),
            Err(error) => AttemptError::Io(io::Error::other(error)),
        }),
    }
}

/// Rejects a response that is delimited only by the end of the connection: its truncation would go
/// undetected.
fn require_length<B>(response: &Response<B>) -> Result<(), AttemptError> {
    let (status, headers) = (response.status().as_u16(), response.headers());
    let has_no_body = status == 204 || status == 304;
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    if has_no_body || chunked || headers.contains_key(header::CONTENT_LENGTH) {
        return Ok(());
    }
    Err(AttemptError::UnknownLength)
}

/// Converts an error into a failure, with a verdict from the number of bytes sent.
fn classify(error: &AttemptError, sent: usize) -> Failure {
    let cause = match error {
        AttemptError::ConnectTimeout | AttemptError::ConnectionClosed => Cause::Unreachable,
        AttemptError::RequestTimeout => Cause::Timeout,
        AttemptError::UnknownLength | AttemptError::TooLarge => Cause::BadAnswer,
        AttemptError::Library(error) if error.is_parse() => Cause::BadAnswer,
        AttemptError::Io(_) | AttemptError::Library(_) if sent == 0 => Cause::Unreachable,
        AttemptError::Io(_) | AttemptError::Library(_) => Cause::Broken,
    };
    if sent == 0 {
        return Failure::not_run(cause, error.to_string());
    }
    Failure::may_have_run(cause, error.to_string())
}
