//! Accepts the connections of a port and serves their requests.

use {
    super::{
        Answer, Bounds, Reply, Request, Service,
        body::{self, Turns, receive},
        connection::{Connection, Connections, Entry, Stream, Unsent},
        header_text, response,
    },
    crate::{
        resources::{ALLOWANCE, Budget},
        sync::lock,
        token::Token,
        verdict::{Cause, Failure},
    },
    http_body_util::Full,
    hyper::{
        Response,
        body::{Bytes, Incoming},
        header::AUTHORIZATION,
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
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

/// Maximum size of a request head in bytes, whatever the limits of the port.
const MAX_HEAD: usize = 32 * 1024;
/// Size of the receive buffer of a connection in bytes: what a client can send before it is read.
const RECEIVE_BUFFER: u32 = 32 * 1024;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 128;
/// Interval at which a port without room looks for a connection that it may close.
const ADMIT_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Binds a port whose connections have small receive buffers.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
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
pub(super) struct PortState {
    pub(super) token: Option<Token>,
    pub(super) service: Service,
    pub(super) bounds: Bounds,
    /// Permits to run the handler.
    pub(super) handler_permits: Arc<Semaphore>,
    /// Memory for large requests and responses.
    pub(super) budget: Arc<Budget>,
    pub(super) connections: Arc<Connections>,
    pub(super) turns: Turns,
}

/// Held by everything that must finish before the port is closed.
pub(super) type CloseGuard = mpsc::Sender<Infallible>;

/// Accepts connections until the port is closed.
pub(super) async fn accept(
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
    connection: Arc<Connection>,
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
    connection: &Connection,
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
