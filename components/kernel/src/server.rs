//! HTTP server on `hyper`: an I/O thread serves the connections, handlers run on a thread pool.

mod body;
mod bounds;
mod connection;
mod port;
#[cfg(test)]
mod tests;

use {
    self::{
        body::Turns,
        port::{PortState, accept, listen},
    },
    crate::{
        resources::{Budget, Reservation},
        runtime,
        sync::lock,
        token::Token,
        traffic,
        verdict::{Cause, Failure},
        wire,
    },
    http_body_util::Full,
    hyper::{
        HeaderMap, Response, StatusCode,
        body::Bytes,
        header::{CONTENT_TYPE, HeaderName, HeaderValue},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        convert::Infallible,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, mpsc},
    },
    tokio::sync::{Semaphore, oneshot, watch},
};

pub use {
    body::BodyError,
    bounds::{Bounds, RequestLimits},
};

/// Maximum size of a request body in bytes: the largest value of the store with a margin.
pub const MAX_BODY: usize = 2 * 1024 * 1024;
/// Kind of traffic for paths that do not exist.
const UNKNOWN_PATH: &str = "unknown";

/// The response to a request.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The content type.
    pub content_type: &'static str,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Headers of another server's response, which replace those of the same names.
    pub forwarded: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// A plain-text response.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        let body = text.into().into_bytes();
        Reply {
            status,
            content_type: "text/plain; charset=utf-8",
            headers: Vec::new(),
            forwarded: HeaderMap::new(),
            body,
        }
    }

    /// A response with a body of the given content type.
    pub fn bytes(status: u16, kind: &'static str, body: Vec<u8>) -> Self {
        Reply {
            status,
            content_type: kind,
            headers: Vec::new(),
            forwarded: HeaderMap::new(),
            body,
        }
    }

    /// An encoded message, or the failure with its status code.
    pub fn message<T: Serialize>(result: &Result<T, Failure>) -> Self {
        match result.as_ref().map(wire::encode) {
            Ok(Ok(body)) => Reply::bytes(200, wire::CONTENT_TYPE, body),
            Ok(Err(failure)) => Reply::failure(&failure),
            Err(failure) => Reply::failure(failure),
        }
    }

    /// Like [`Reply::message`], without field names.
    pub fn compact<T: Serialize>(result: &Result<T, Failure>) -> Self {
        match result.as_ref().map(wire::encode_compact) {
            Ok(Ok(body)) => Reply::bytes(200, wire::CONTENT_TYPE, body),
            Ok(Err(failure)) => Reply::failure(&failure),
            Err(failure) => Reply::failure(failure),
        }
    }

    /// Like [`Reply::compact`], compressed for a slow link.
    pub fn compressed<T: Serialize>(result: &Result<T, Failure>) -> Self {
        let reply = Reply::compact(result);
        Reply {
            body: wire::compress(reply.body),
            ..reply
        }
    }

    /// A failure, with the status code of its cause.
    pub fn failure(failure: &Failure) -> Self {
        let body = wire::encode(failure).unwrap_or_default();
        Reply::bytes(status(failure.cause), wire::CONTENT_TYPE, body)
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// The HTTP status code of a failure's cause.
pub fn status(cause: Cause) -> u16 {
    match cause {
        Cause::Invalid => 400,
        Cause::Denied => 401,
        Cause::Conflict => 409,
        Cause::Refused => 422,
        Cause::Busy | Cause::Stopping => 503,
        Cause::Unreachable | Cause::Broken | Cause::BadAnswer => 502,
        Cause::Timeout => 504,
    }
}

/// A complete request. It may be stored and responded to later, from any thread.
pub struct Request {
    /// The method, such as `POST`.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// The complete body.
    pub body: Vec<u8>,
    /// Memory that is reserved for the body.
    reservation: Option<Reservation>,
    /// Size of the body as received, in bytes.
    received: usize,
    /// The headers.
    pub headers: HeaderMap,
    /// The request counts as traffic between processes of the scheduler.
    is_traffic: bool,
    responder: oneshot::Sender<Answer>,
}

/// Dropped once a response is sent or its connection is closed.
pub type Guard = Box<dyn Send>;

/// A response on its way to its connection.
struct Answer {
    reply: Reply,
    guard: Option<Guard>,
}

impl Request {
    /// A request without a body or a connection, whose reply is discarded.
    pub fn detached(method: &str, path: &str, headers: &[(&'static str, &'static str)]) -> Self {
        let (responder, _) = oneshot::channel();
        let header = |(name, value): &(&'static str, &'static str)| {
            (
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            )
        };
        Request {
            method: method.to_owned(),
            path: path.to_owned(),
            query: String::new(),
            body: Vec::new(),
            reservation: None,
            received: 0,
            is_traffic: false,
            headers: headers.iter().map(header).collect(),
            responder,
        }
    }

    /// The value of a header; empty if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        header_text(self.headers.get(name))
    }

    /// A query parameter. Internal names and values contain no characters that need escaping.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        for pair in self.query.split('&') {
            let Some((key, value)) = pair.split_once('=') else {
                continue;
            };
            if key == name {
                return Some(value);
            }
        }
        None
    }

    /// The path with the query, if there is one.
    pub fn path_and_query(&self) -> String {
        match self.query.as_str() {
            "" => self.path.clone(),
            query => format!("{}?{query}", self.path),
        }
    }

    /// Decodes the body as a message.
    ///
    /// # Errors
    ///
    /// `Invalid` if the body is not such a message.
    pub fn message<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        wire::decode_limited(&self.body, MAX_BODY)
    }

    /// Frees the memory of the body, for a request that is kept after its body was decoded.
    pub fn discard_body(&mut self) {
        self.body = Vec::new();
        self.reservation = None;
    }

    /// Sends the reply. Does nothing if the client has disconnected.
    pub fn respond(self, reply: Reply) {
        self.answer(reply, None);
    }

    /// Like [`Request::respond`]; `guard` is dropped once the response is sent.
    pub fn respond_guarded(self, reply: Reply, guard: Guard) {
        self.answer(reply, Some(guard));
    }

    fn answer(self, reply: Reply, guard: Option<Guard>) {
        if self.is_traffic {
            self.record_traffic(&reply);
        }
        let _ = self.responder.send(Answer { reply, guard });
    }

    /// Records the sizes of the request and its reply. Paths that do not exist are one kind.
    fn record_traffic(&self, reply: &Reply) {
        let kind = match reply.status {
            404 => UNKNOWN_PATH,
            _ => self.path.as_str(),
        };
        let (sent, received) = (reply.body.len(), self.received);
        traffic::record(
            kind,
            sent + traffic::HEAD_BYTES,
            received + traffic::HEAD_BYTES,
        );
    }
}

fn header_text(value: Option<&HeaderValue>) -> &str {
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

fn response(reply: Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(reply.body));
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
    for (name, value) in reply.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            headers.append(name, value);
        }
    }
    headers.extend(reply.forwarded);
    response
}

/// Handles requests on the I/O thread, so it must not block. Returns the requests that it does not
/// handle.
pub type FastHandler = Arc<dyn Fn(Request) -> Option<Request> + Send + Sync>;

/// Handles requests on a thread for blocking work.
pub type Handler = Arc<dyn Fn(Request) + Send + Sync>;

/// Request handlers of a port.
#[derive(Clone)]
pub struct Service {
    /// Receives each request first.
    pub fast: FastHandler,
    /// Receives the requests that `fast` returns.
    pub handler: Handler,
    /// Number of requests that `handler` processes concurrently.
    pub concurrency: usize,
    /// Responds to a request whose body is refused.
    pub refuse: fn(BodyError) -> Reply,
}

impl Service {
    /// Handles all requests on threads for blocking work, up to `tasks` of them concurrently, and
    /// refuses bodies with an encoded failure.
    pub fn blocking(tasks: usize, handler: Handler) -> Self {
        Service {
            fast: Arc::new(Some),
            handler,
            concurrency: tasks,
            refuse,
        }
    }
}

/// Responds to a request whose body is refused with an encoded failure.
pub fn refuse(error: BodyError) -> Reply {
    Reply::failure(&error.into())
}

/// An open port. Dropping it closes the port.
pub struct Server {
    address: SocketAddr,
    /// Signals the tasks of the port to end.
    stop: watch::Sender<bool>,
    /// Disconnected once the port and all handlers have finished.
    finished: Mutex<mpsc::Receiver<Infallible>>,
}

impl Server {
    /// Opens an internal port of a process with default resources that handles up to `tasks`
    /// requests concurrently; port 0 selects a free port.
    ///
    /// If a token is set, a request without it gets status 401, except for `/healthz` and `/readyz`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or a thread cannot be created.
    pub fn open(
        address: SocketAddr,
        tasks: usize,
        token: Option<Token>,
        handler: Handler,
    ) -> io::Result<Self> {
        let service = Service::blocking(tasks, handler);
        Self::open_with_bounds(address, Bounds::internal(), token, service)
    }

    /// Opens a port with the given limits and handlers.
    ///
    /// # Errors
    ///
    /// As for [`Server::open`].
    pub fn open_with_bounds(
        address: SocketAddr,
        bounds: Bounds,
        token: Option<Token>,
        service: Service,
    ) -> io::Result<Self> {
        let runtime = match bounds.is_external {
            true => runtime::isolated_handle()?,
            false => runtime::handle()?,
        };
        let listener = {
            let _entered = runtime.enter();
            listen(address)?
        };
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let (guard, finished) = mpsc::channel();
        let port = Arc::new(PortState {
            token,
            handler_permits: Arc::new(Semaphore::new(service.concurrency)),
            service,
            budget: Budget::new(bounds.budget),
            connections: Arc::default(),
            turns: Turns::default(),
            bounds,
        });
        runtime.spawn(accept(listener, port, stopped, guard));
        Ok(Server {
            address,
            stop,
            finished: Mutex::new(finished),
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The base URL of the port.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Leaves the port open until the process exits.
    pub fn detach(self) {
        std::mem::forget(self);
    }

    /// Stops accepting requests and waits for those in progress.
    pub fn close(&mut self) {
        let _ = self.stop.send(true);
        // Nothing is ever sent on this channel: `recv` returns once the last sender is dropped.
        let _ = lock(&self.finished).recv();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.close();
    }
}
