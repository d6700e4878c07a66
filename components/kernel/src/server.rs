//! HTTP server on `hyper`: an I/O thread serves the connections, handlers run on a thread pool.

mod body;
mod connection;

use {
    self::{
        body::{Turns, receive},
        connection::{Connections, Entry, Stream, Unsent},
    },
    crate::{
        resources::{ALLOWANCE, Budget, PortKind, Reservation, Resources},
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
        body::{Bytes, Incoming},
        header::{AUTHORIZATION, CONTENT_TYPE, HeaderName, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        convert::Infallible,
        future::poll_fn,
        io,
        net::SocketAddr,
        pin::{Pin, pin},
        sync::{Arc, Mutex, mpsc},
        task::Poll,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch},
        time::Sleep,
    },
};

pub use body::BodyError;

/// Maximum size of a request body in bytes: the largest value of the store with a margin.
pub const MAX_BODY: usize = 2 * 1024 * 1024;
/// Maximum size of a request head in bytes, whatever the limits of the port.
const MAX_HEAD: usize = 32 * 1024;
/// Size of the receive buffer of a connection in bytes: what a client can send before it is read.
const RECEIVE_BUFFER: u32 = 32 * 1024;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 128;
/// Kind of traffic for paths that do not exist.
const UNKNOWN_PATH: &str = "unknown";
/// Interval at which a port without room looks for a connection that it may close.
const ADMIT_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

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

/// Responds to a request whose body is refused with an encoded failure.
pub fn refuse(error: BodyError) -> Reply {
    Reply::failure(&error.into())
}

/// Limits of each request of a port.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Maximum size of a head in bytes.
    pub max_head: usize,
    /// Maximum size of a body in bytes.
    pub max_body: usize,
    /// Time-out for receiving the head of a request.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection between two requests.
    pub idle_timeout: Duration,
}

/// Limits of internal ports, whose clients keep idle connections for up to two minutes.
const INTERNAL_LIMITS: RequestLimits = RequestLimits {
    max_head: 8 * 1024,
    max_body: MAX_BODY,
    head_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(180),
};

/// Limits on the connections of a port.
#[derive(Clone)]
pub struct Bounds {
    /// Maximum number of connections. A further one replaces the one that has kept the port waiting
    /// for longest, or waits while all requests are complete.
    pub max_connections: usize,
    /// Maximum number of bytes that all requests and responses hold, beyond 8 KiB for each
    /// connection.
    pub budget: usize,
    /// Returns the present limits of each request.
    pub limits: Arc<dyn Fn() -> RequestLimits + Send + Sync>,
    /// The clients are outside the scheduler: their connections have an I/O thread of their own, and
    /// their requests do not count as traffic between its processes.
    pub is_external: bool,
}

impl Bounds {
    /// Bounds of a kind of port of a process with these resources, and constant limits of requests.
    pub fn new(resources: &Resources, kind: PortKind) -> Self {
        let limits = match kind {
            PortKind::Probes => RequestLimits {
                max_body: ALLOWANCE,
                ..INTERNAL_LIMITS
            },
            PortKind::Callers | PortKind::Internal => INTERNAL_LIMITS,
        };
        Bounds {
            max_connections: resources.connections(kind),
            budget: resources.budget(kind),
            limits: Arc::new(move || limits),
            is_external: kind == PortKind::Callers,
        }
    }

    /// Bounds of an internal port of a process with default resources.
    pub fn internal() -> Self {
        Self::new(&Resources::default(), PortKind::Internal)
    }

    /// The same with a smaller limit of bodies, in bytes.
    #[must_use]
    pub fn with_max_body(self, max_body: usize) -> Self {
        let limits = self.limits;
        Bounds {
            limits: Arc::new(move || RequestLimits {
                max_body,
                ..limits()
            }),
            ..self
        }
    }
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
        let service = Service {
            fast: Arc::new(Some),
            handler,
            concurrency: tasks,
            refuse,
        };
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

/// Binds a port whose connections have small receive buffers.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER) {
        log::warn!(target: "kernel", error:% = error; "The receive buffers of a port keep their default size.");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// State shared by the connections of a port.
struct PortState {
    token: Option<Token>,
    service: Service,
    bounds: Bounds,
    /// Permits to run the handler.
    handler_permits: Arc<Semaphore>,
    /// Memory for large requests and responses.
    budget: Arc<Budget>,
    connections: Arc<Connections>,
    turns: Turns,
}

/// Held by everything that must finish before the port is closed.
type CloseGuard = mpsc::Sender<Infallible>;

/// Accepts connections until the port is closed.
async fn accept(
    listener: TcpListener,
    port: Arc<PortState>,
    mut stopped: watch::Receiver<bool>,
    guard: CloseGuard,
) {
    let permits = Arc::new(Semaphore::new(port.bounds.max_connections));
    loop {
        let next = async {
            let accepted = listener.accept().await;
            (accepted, admit(&port, &permits).await)
        };
        let (accepted, permit) = tokio::select! {
            next = next => next,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (port, stopped) = (port.clone(), stopped.clone());
                let (guard, entry) = (guard.clone(), port.connections.add());
                tokio::spawn(async move {
                    serve(stream, port, entry, stopped, guard).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!(target: "kernel", error:% = error; "Failed to accept a connection.");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Waits until a connection more may be served. If there are as many as the port may have, one that
/// keeps the port waiting is closed.
async fn admit(port: &PortState, permits: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
    loop {
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        port.connections.evict_waiting();
        let next = permits.clone().acquire_owned();
        if let Ok(permit) = tokio::time::timeout(ADMIT_INTERVAL, next).await {
            // The semaphore is never closed.
            return permit.ok();
        }
    }
}

/// Serves a connection until it or the port is closed.
async fn serve(
    stream: TcpStream,
    port: Arc<PortState>,
    entry: Entry,
    mut stopped: watch::Receiver<bool>,
    guard: CloseGuard,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "kernel", error:% = error; "Connection closed before it was served.");
        return;
    }
    // Closing the port waits for handlers, not for connections.
    let guard = Mutex::new(Some(guard));
    let service = service_fn(|request| {
        let guard = lock(&guard).clone();
        handle(port.clone(), entry.connection.clone(), request, guard)
    });
    let stream = Stream {
        stream,
        connection: entry.connection.clone(),
    };
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_header_size((port.bounds.limits)().max_head.min(MAX_HEAD))
        .max_buf_size(MAX_HEAD)
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = tokio::select! {
        served = supervise(connection.as_mut(), &entry, &port) => served,
        _ = stopped.changed() => {
            lock(&guard).take();
            connection.as_mut().graceful_shutdown();
            supervise(connection.as_mut(), &entry, &port).await
        }
    };
    match served {
        Served::Ended(Ok(())) => {}
        Served::Ended(Err(error)) => {
            log::debug!(target: "kernel", error:% = error; "Connection failed.");
        }
        Served::Closed(cause) => {
            log::debug!(target: "kernel", cause; "Connection closed.");
            metrics::counter!("magpie_closed_connections_total", "cause" => cause).increment(1);
        }
    }
}

/// How a connection ended.
enum Served {
    /// By its client, or with an error.
    Ended(hyper::Result<()>),
    /// Closed by the port, for this reason.
    Closed(&'static str),
}

/// Drives a connection until it ends, a time-out has passed, or it is to be closed in favour of
/// others.
async fn supervise<C>(mut connection: Pin<&mut C>, entry: &Entry, port: &PortState) -> Served
where
    C: Future<Output = hyper::Result<()>>,
{
    let state = &entry.connection;
    let mut evicted = Box::pin(state.evicted());
    let mut timer: Pin<Box<Sleep>> = Box::pin(tokio::time::sleep(Duration::ZERO));
    poll_fn(|cx| {
        if let Poll::Ready(result) = connection.as_mut().poll(cx) {
            return Poll::Ready(Served::Ended(result));
        }
        while evicted.as_mut().poll(cx).is_ready() {
            if state.confirm_eviction() {
                return Poll::Ready(Served::Closed("evicted"));
            }
            evicted.set(state.evicted());
        }
        let Some(deadline) = state.deadline(&(port.bounds.limits)()) else {
            return Poll::Pending;
        };
        if deadline <= Instant::now() {
            return Poll::Ready(Served::Closed("timeout"));
        }
        // A timer that fires early is set again then.
        if timer.is_elapsed() || timer.deadline() > deadline.into() {
            timer.as_mut().reset(deadline.into());
        }
        while timer.as_mut().poll(cx).is_ready() {
            timer.as_mut().reset(deadline.into());
        }
        Poll::Pending
    })
    .await
}

/// The response could not be kept until the client reads it.
#[derive(Debug, displaydoc::Display)]
enum ServeError {
    /// there is no memory for the response
    NoMemory,
}

impl std::error::Error for ServeError {}

/// Reads a complete request, has it handled and returns the response.
async fn handle(
    port: Arc<PortState>,
    connection: Arc<connection::Connection>,
    request: hyper::Request<Incoming>,
    guard: Option<CloseGuard>,
) -> Result<Response<Full<Bytes>>, ServeError> {
    connection.begin_body();
    let answer = match complete(&port, &connection, request).await {
        Ok(request) => {
            connection.begin_handler();
            run_handler(&port, request, guard).await
        }
        Err(reply) => Answer { reply, guard: None },
    };
    let mut reservation = port.budget.reservation();
    let bytes = answer.reply.body.len().saturating_sub(ALLOWANCE);
    if !body::extend(&mut reservation, bytes, &port).await {
        return Err(ServeError::NoMemory);
    }
    connection.begin_response(Unsent {
        reservation,
        _guard: answer.guard,
    });
    Ok(response(answer.reply))
}

/// A request and the channel for its response.
type Pending = (Request, oneshot::Receiver<Answer>);

/// Receives the rest of a request, or returns the response that refuses it.
async fn complete(
    port: &Arc<PortState>,
    connection: &connection::Connection,
    request: hyper::Request<Incoming>,
) -> Result<Pending, Reply> {
    let (head, body) = request.into_parts();
    authorize(port, &head).map_err(|failure| Reply::failure(&failure))?;
    let limit = (port.bounds.limits)().max_body;
    let received = receive(body, limit, port, connection).await;
    let received = received.map_err(|error| {
        metrics::counter!("magpie_refused_bodies_total", "cause" => error.label()).increment(1);
        (port.service.refuse)(error)
    })?;
    let (responder, reply) = oneshot::channel();
    let request = Request {
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        received: received.bytes.len(),
        is_traffic: !port.bounds.is_external,
        body: received.bytes,
        reservation: received.reservation,
        responder,
    };
    Ok((request, reply))
}

/// Passes a request to the handlers and waits for the response.
async fn run_handler(
    port: &Arc<PortState>,
    (request, reply): Pending,
    guard: Option<CloseGuard>,
) -> Answer {
    if let Some(request) = (port.service.fast)(request) {
        // The semaphore is never closed.
        let permit = port.handler_permits.clone().acquire_owned().await.ok();
        let port = port.clone();
        tokio::task::spawn_blocking(move || {
            (port.service.handler)(request);
            drop((permit, guard));
        });
    }
    let dropped = |_| Answer {
        reply: Reply::text(500, "the request was dropped\n"),
        guard: None,
    };
    reply.await.unwrap_or_else(dropped)
}

/// Checks the token, except for the paths that are open to all.
fn authorize(port: &PortState, head: &hyper::http::request::Parts) -> Result<(), Failure> {
    let path = head.uri.path();
    let is_open = path == "/healthz" || path == "/readyz";
    match &port.token {
        Some(token) if !is_open && !token.matches(header_text(head.headers.get(AUTHORIZATION))) => {
            Err(Failure::not_run(
                Cause::Denied,
                "the token is missing or wrong",
            ))
        }
        _ => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::client::Client,
        std::{
            io::{Read, Write},
            net::{Shutdown, TcpStream},
        },
        test_case::test_case,
    };

    /// A server that returns the request body.
    fn echo(token: Option<Token>) -> Server {
        let handler = |request: Request| {
            let body = request.body.clone();
            request.respond(Reply::bytes(200, "application/octet-stream", body));
        };
        Server::open(([127, 0, 0, 1], 0).into(), 1, token, Arc::new(handler)).unwrap()
    }

    /// Sends raw bytes and returns the raw response.
    fn raw(server: &Server, request: &str) -> String {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Guards against connections of one burst being served only one after the other.
    #[test]
    fn serve_burst_of_connections() {
        let server = echo(None);
        let request = "GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
        let start = std::sync::Barrier::new(32);
        let connect = || {
            start.wait();
            let mut stream = TcpStream::connect(server.address()).unwrap();
            stream.write_all(request.as_bytes()).unwrap();
            stream
        };
        let streams: Vec<TcpStream> = std::thread::scope(|scope| {
            let calls: Vec<_> = (0..32).map(|_| scope.spawn(connect)).collect();
            calls.into_iter().map(|call| call.join().unwrap()).collect()
        });
        // All connections stay open until the last one has a response.
        for mut stream in &streams {
            let limit = std::time::Duration::from_secs(30);
            stream.set_read_timeout(Some(limit)).unwrap();
            assert!(stream.read(&mut [0; 12]).is_ok_and(|read| read > 0));
        }
    }

    fn bounded(connections: usize, idle: Duration) -> Server {
        let service = Service {
            fast: Arc::new(|request| {
                request.respond(Reply::text(200, "quick"));
                None
            }),
            handler: Arc::new(|_| {}),
            concurrency: 1,
            refuse,
        };
        let limits = RequestLimits {
            idle_timeout: idle,
            ..INTERNAL_LIMITS
        };
        let bounds = Bounds {
            max_connections: connections,
            limits: Arc::new(move || limits),
            ..Bounds::internal()
        };
        Server::open_with_bounds(([127, 0, 0, 1], 0).into(), bounds, None, service).unwrap()
    }

    /// Opens a connection and completes one request on it.
    fn connected(server: &Server) -> TcpStream {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        assert!(stream.read(&mut [0; 1_024]).unwrap() > 0);
        stream
    }

    #[test]
    fn serve_closes_idle_connection() {
        let server = bounded(8, Duration::from_millis(50));
        let mut stream = connected(&server);
        assert_eq!(stream.read(&mut [0; 1]).unwrap_or(0), 0);
    }

    /// A connection beyond the limit replaces one that waits for its client.
    #[test]
    fn serve_connection_limit_idle() {
        let server = bounded(1, Duration::from_secs(60));
        let mut first = connected(&server);
        let _second = connected(&server);
        assert_eq!(first.read(&mut [0; 1]).unwrap_or(0), 0);
    }

    /// A connection beyond the limit is served once the request of another one is complete.
    #[test]
    fn serve_connection_limit_busy() {
        let (release, wait) = mpsc::channel::<()>();
        let wait = Mutex::new(wait);
        let handler = move |request: Request| {
            let _ = lock(&wait).recv();
            request.respond(Reply::text(200, "done"));
        };
        let service = Service {
            fast: Arc::new(Some),
            handler: Arc::new(handler),
            concurrency: 2,
            refuse,
        };
        let bounds = Bounds {
            max_connections: 1,
            ..Bounds::internal()
        };
        let address = ([127, 0, 0, 1], 0).into();
        let server = Server::open_with_bounds(address, bounds, None, service).unwrap();
        let [mut first, mut second] = [(); 2].map(|()| {
            let mut stream = TcpStream::connect(server.address()).unwrap();
            stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
            stream
        });
        let short = Some(Duration::from_millis(100));
        second.set_read_timeout(short).unwrap();
        assert!(second.read(&mut [0; 1]).is_err());
        release.send(()).unwrap();
        release.send(()).unwrap();
        assert!(first.read(&mut [0; 1_024]).unwrap() > 0);
        second.set_read_timeout(None).unwrap();
        assert!(second.read(&mut [0; 1]).unwrap() > 0);
    }

    /// Responses that nobody reads are kept only as far as the budget allows.
    #[test]
    fn serve_unread_responses() {
        const SIZE: usize = 8 * 1024 * 1024;
        let service = Service {
            fast: Arc::new(|request| {
                request.respond(Reply::bytes(200, "text/plain", vec![b'x'; SIZE]));
                None
            }),
            handler: Arc::new(|_| {}),
            concurrency: 1,
            refuse,
        };
        let bounds = Bounds {
            budget: 2 * SIZE,
            ..Bounds::internal()
        };
        let address = ([127, 0, 0, 1], 0).into();
        let server = Server::open_with_bounds(address, bounds, None, service).unwrap();
        let mut streams = [(); 8].map(|()| connected(&server));
        let mut complete = 0;
        for stream in &mut streams {
            let mut bytes = Vec::new();
            let limit = Some(Duration::from_secs(2));
            stream.set_read_timeout(limit).unwrap();
            let _ = stream.read_to_end(&mut bytes);
            complete += usize::from(bytes.len() >= SIZE - 1_024);
        }
        assert!((1..=2).contains(&complete), "{complete} complete responses");
    }

    /// A refused body is read, so that the client can read the response.
    #[test_case("Content-Length: 20000", 20_000; "announced")]
    #[test_case("Transfer-Encoding: chunked", 0; "chunked")]
    fn serve_body_over_limit(header: &str, length: usize) {
        let service = Service {
            fast: Arc::new(Some),
            handler: Arc::new(|_| {}),
            concurrency: 1,
            refuse,
        };
        let bounds = Bounds::new(&Resources::default(), PortKind::Probes);
        let address = ([127, 0, 0, 1], 0).into();
        let server = Server::open_with_bounds(address, bounds, None, service).unwrap();
        let body = match length {
            0 => format!("4e20\r\n{}\r\n0\r\n\r\n", "x".repeat(20_000)),
            length => "x".repeat(length),
        };
        let text = raw(
            &server,
            &format!("POST / HTTP/1.1\r\n{header}\r\n\r\n{body}"),
        );
        assert!(text.starts_with("HTTP/1.1 400"), "{text}");
    }

    #[test_case(9; "small")]
    #[test_case(9000; "large")]
    fn serve_truncated_body(declared: usize) {
        let server = echo(None);
        let head = format!("POST / HTTP/1.1\r\nContent-Length: {declared}\r\n\r\nshort");
        let text = raw(&server, &head);
        assert!(text.starts_with("HTTP/1.1 400"), "{text}");
    }

    #[test_case(Some("right"), "/x", 200; "valid token")]
    #[test_case(Some("wrong"), "/x", 401; "invalid token")]
    #[test_case(None, "/x", 401; "missing token")]
    #[test_case(None, "/healthz", 200; "open path")]
    fn serve_token(token: Option<&str>, path: &str, status: u16) {
        let server = echo(Some(Token::new("right")));
        let client = Client::new(token.map(Token::new));
        let url = format!("{}{path}", server.url());
        let call = crate::Call {
            method: "GET",
            url: &url,
            headers: &[],
            body: &[],
            timeout: std::time::Duration::from_secs(5).into(),
        };
        assert_eq!(client.send(&call).unwrap().status, status);
    }
}
