//! HTTP calls by `ureq`, with a verdict on every failure.
//!
//! The library's error does not say whether a request left, so the connections are wrapped and
//! count the bytes that they hand to the system: with none handed over, the request did not run.

use {
    crate::{
        clock::{Mark, Moment},
        time::{Quiet, Span},
        token::Token,
        traffic,
        trust::Trust,
        verdict::{Cause, Failure, once_more},
        wire,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        cell::Cell,
        fmt, io,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    ureq::{
        Agent, Error, RequestExt, Timeout,
        config::Config,
        http::{self, HeaderMap, header},
        unversioned::{
            resolver::{ResolvedSocketAddrs, Resolver},
            transport::{
                Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
            },
        },
    },
    xxhash_rust::xxh3::xxh3_64,
};

pub use crate::time::{BULK, Time};

/// The largest answer that a call takes in, in bytes.
pub const MAX_ANSWER: u64 = 16 * 1024 * 1024;

thread_local! {
    /// Bytes that the present call of this thread handed to the system.
    static SENT: Cell<usize> = const { Cell::new(0) };
    /// How long the present call of this thread may hear nothing; `None` where only its whole time counts.
    static QUIET: Cell<Option<Quiet>> = const { Cell::new(None) };
    /// The only connection that the present call of this thread may use, if it is bound to one.
    static BOUND: Cell<Option<Connection>> = const { Cell::new(None) };
    /// The connection that the present call of this thread has last used.
    static USED: Cell<Connection> = const { Cell::new(Connection(0)) };
}

/// The number of the last connection that was opened.
static OPENED: AtomicU64 = AtomicU64::new(0);

/// One connection, told apart from all others of the process.
///
/// Whoever answers on it is the one that answered on it before: the end of a process ends its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connection(u64);

/// Bounds a time-out of the library by the quiet time of the present call of this thread, if it has one.
fn bound(timeout: NextTimeout) -> NextTimeout {
    QUIET.get().map_or(timeout, |quiet| quiet.bound(timeout))
}

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
    pub time: Time,
}

/// One whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Vec<u8>,
    /// What it came by.
    pub connection: Connection,
}

impl Answer {
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
pub struct Limits {
    /// Idle connections in all.
    pub idle: usize,
    /// Idle connections to each receiver.
    pub host: usize,
    /// How long a connection may stay idle.
    pub age: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            idle: 256,
            host: 4,
            age: Duration::from_secs(20),
        }
    }
}

/// Receivers are dealt to so many pools. The library goes through all of a pool's connections, once for
/// each receiver among them, with every call: with 90 receivers in one pool that took most of a call.
const POOLS: usize = 64;

/// The buffer of a connection each way, in bytes, which is touched in whole once it is used. Most bodies are shorter;
/// longer ones pass in parts. The library's own have 128 KiB, and a box keeps two connections to each of up to 90
/// workers: with 97 boxes and 890 workers the largest box took 136 MB at its peak, and takes 33.
const BUFFER: usize = 16 * 1024;

/// A client that keeps connections and classifies failures.
#[derive(Clone)]
pub struct Client {
    /// One for each pool.
    agents: Arc<[Agent]>,
    token: Option<Token>,
    limits: Limits,
    trust: Arc<Trust>,
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
        Self::with_limits(token, Limits::default())
    }

    /// A client with limits of its own.
    pub fn with_limits(token: Option<Token>, limits: Limits) -> Self {
        let config = Config::builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .user_agent("magpiesaddle")
            .accept("")
            .max_idle_connections(limits.idle.div_ceil(POOLS).max(limits.host))
            .max_idle_connections_per_host(limits.host)
            .max_idle_age(limits.age)
            .input_buffer_size(BUFFER)
            .output_buffer_size(BUFFER)
            .allow_non_standard_methods(true)
            .build();
        let trust = Arc::new(Trust::new(limits.age));
        let agent = || {
            let connector = CountingConnector {
                tcp: TcpConnector::default(),
                trust: trust.clone(),
            };
            Agent::with_parts(config.clone(), connector, NumbersOnly)
        };
        Client {
            agents: std::iter::repeat_with(agent).take(POOLS).collect(),
            token,
            limits,
            trust,
            stretch: 1,
        }
    }

    /// Gives all calls so many times as long: for a machine so busy that it holds threads up for as long as
    /// the time-outs of calls.
    #[must_use]
    pub fn patient(self, by: u32) -> Self {
        Client {
            stretch: by,
            ..self
        }
    }

    /// A client like this one with connections of its own.
    #[must_use]
    pub fn apart(&self) -> Self {
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
    pub fn send_over(&self, call: &Call, connection: Connection) -> Result<Answer, Failure> {
        let span = call.time.stretched(self.stretch).first(call.body.len());
        BOUND.set(Some(connection));
        let result = self.attempt(call, span);
        BOUND.set(None);
        result
    }

    /// Makes the call and takes in the whole answer.
    ///
    /// # Errors
    ///
    /// `not-run` only when no byte left for the receiver; else `may-have-run`. An answer without
    /// a length of its own, or one that is cut, is `BadAnswer`.
    pub fn send(&self, call: &Call) -> Result<Answer, Failure> {
        let time = call.time.stretched(self.stretch);
        let body = call.body.len();
        let begun = Instant::now();
        let result = self.attempt(call, time.first(body));
        if !time.is_twice() {
            return result;
        }
        once_more(result, || {
            self.attempt(call, time.second(body, begun.elapsed()))
        })
    }

    /// The agent whose pool has the connections to a receiver.
    fn agent(&self, url: &str) -> &Agent {
        let hash = xxh3_64(receiver(url).as_bytes());
        &self.agents[(hash % POOLS as u64) as usize]
    }

    /// Makes the call once, within this time.
    fn attempt(&self, call: &Call, span: Span) -> Result<Answer, Failure> {
        SENT.set(0);
        QUIET.set(span.quiet(Instant::now()));
        let result = self.exchange(call, span);
        let heard = result
            .as_ref()
            .map_or(0, |answer| answer.body.len() + traffic::HEAD);
        traffic::note(&traffic::kind(call.url), SENT.get(), heard);
        result.map_err(|error| {
            if matches!(error, Error::Timeout(_)) {
                self.trust.distrust(receiver(call.url), Moment::now());
            }
            classify(&error, SENT.get())
        })
    }

    fn exchange(&self, call: &Call, span: Span) -> Result<Answer, Error> {
        let mut builder = http::Request::builder().method(call.method).uri(call.url);
        for (name, value) in call.headers {
            builder = builder.header(*name, *value);
        }
        if let Some(token) = &self.token {
            builder = builder.header(header::AUTHORIZATION, token.header());
        }
        let request = builder.body(call.body)?;
        let mut response = request
            .with_agent(self.agent(call.url))
            .configure()
            .timeout_connect(span.connect())
            .timeout_global(Some(span.end))
            .run()?;
        refuse_endless(response.headers(), response.status().as_u16())?;
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER)
            .read_to_vec()?;
        let (parts, _) = response.into_parts();
        Ok(Answer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
            connection: USED.get(),
        })
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
        time: impl Into<Time>,
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
        time: impl Into<Time>,
    ) -> Result<R, Failure> {
        let headers = [("content-type", wire::CONTENT_TYPE)];
        let answer = self.send(&Call {
            method: "POST",
            url,
            headers: &headers,
            body,
            time: time.into(),
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

/// Refuses an answer whose end is only the end of the connection: it may be cut unseen.
fn refuse_endless(headers: &HeaderMap, status: u16) -> Result<(), Error> {
    let bodiless = status == 204 || status == 304;
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    if bodiless || chunked || headers.contains_key(header::CONTENT_LENGTH) {
        return Ok(());
    }
    let text = "an answer without a length cannot be told from a cut one";
    Err(Error::Io(io::Error::new(io::ErrorKind::InvalidData, text)))
}

/// Turns the library's error into a failure, by the bytes that left.
fn classify(error: &Error, sent: usize) -> Failure {
    let cause = match error {
        Error::Timeout(Timeout::Connect) => Cause::Unreachable,
        Error::Timeout(_) => Cause::Timeout,
        Error::Io(e) if e.kind() == io::ErrorKind::InvalidData => Cause::BadAnswer,
        Error::Io(_) if sent == 0 => Cause::Unreachable,
        Error::Io(_) => Cause::Broken,
        Error::BodyExceedsLimit(_) | Error::Protocol(_) => Cause::BadAnswer,
        Error::Http(_) | Error::BadUri(_) => Cause::Invalid,
        _ => Cause::Broken,
    };
    if sent == 0 {
        return Failure::not_run(cause, error.to_string());
    }
    Failure::may_have_run(cause, error.to_string())
}

/// Takes addresses by number and asks no name server.
#[derive(Debug)]
struct NumbersOnly;

impl Resolver for NumbersOnly {
    fn resolve(
        &self,
        uri: &http::Uri,
        _: &Config,
        _: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().map(|a| a.as_str()).unwrap_or_default();
        let address = authority.parse().map_err(|_| Error::HostNotFound)?;
        let mut found = self.empty();
        found.push(address);
        Ok(found)
    }
}

#[derive(Debug)]
struct CountingConnector {
    tcp: TcpConnector,
    trust: Arc<Trust>,
}

impl Connector<()> for CountingConnector {
    type Out = Counting<<TcpConnector as Connector<()>>::Out>;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        if BOUND.get().is_some() {
            let text = "the connection that the call is bound to is gone";
            return Err(Error::Io(io::Error::new(io::ErrorKind::NotConnected, text)));
        }
        let inner = self.tcp.connect(details, chained)?;
        let authority = details.uri.authority();
        Ok(inner.map(|inner| Counting {
            number: Connection(OPENED.fetch_add(1, Ordering::Relaxed) + 1),
            inner,
            receiver: authority.map_or("", |own| own.as_str()).into(),
            proof: Mark::now(),
            trust: self.trust.clone(),
        }))
    }
}

/// A connection that notes each hand-over of bytes before it happens, and when it last brought some.
#[derive(Debug)]
struct Counting<T> {
    number: Connection,
    inner: T,
    receiver: Box<str>,
    /// When it was opened, or last brought bytes.
    proof: Mark,
    trust: Arc<Trust>,
}

impl<T: Transport> Transport for Counting<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        SENT.set(SENT.get() + amount);
        USED.set(self.number);
        self.inner.transmit_output(amount, bound(timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let is_more = self.inner.await_input(bound(timeout))?;
        self.proof = Mark::now();
        QUIET.set(QUIET.get().map(|quiet| quiet.heard(self.proof.steady)));
        Ok(is_more)
    }

    /// The pool asks this before it uses a connection again.
    fn is_open(&mut self) -> bool {
        let is_other = |bound| bound != self.number;
        if BOUND.get().is_some_and(is_other) {
            return false;
        }
        self.trust.is_trusted(&self.receiver, self.proof) && self.inner.is_open()
    }
}
