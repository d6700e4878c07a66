//! HTTP ports by `hyper`: one thread waits for all connections of the process.

use {
    crate::{
        runtime,
        sync::lock,
        token::Token,
        traffic,
        verdict::{Cause, Failure},
        wire,
    },
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        HeaderMap, Response, StatusCode,
        body::{Body, Bytes, Incoming},
        header::{AUTHORIZATION, CONTENT_TYPE, HeaderName, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        convert::Infallible,
        io,
        net::{SocketAddr, TcpListener},
        pin::pin,
        sync::{Arc, Mutex, mpsc},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{Semaphore, oneshot, watch},
    },
};

/// The largest body that is taken in, in bytes: the store's largest value and some room.
pub const MAX_BODY: usize = 2 * 1024 * 1024;
/// The largest head of a request, in bytes.
const MAX_HEAD: usize = 32 * 1024;
/// The pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An answer to one request.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The content type.
    pub content_type: &'static str,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Plain text.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        let body = text.into().into_bytes();
        Reply {
            status,
            content_type: "text/plain; charset=utf-8",
            headers: Vec::new(),
            body,
        }
    }

    /// Bytes of a given type.
    pub fn bytes(status: u16, kind: &'static str, body: Vec<u8>) -> Self {
        Reply {
            status,
            content_type: kind,
            headers: Vec::new(),
            body,
        }
    }

    /// A message of ours, or the failure that came instead.
    pub fn message<T: Serialize>(result: &Result<T, Failure>) -> Self {
        match result.as_ref().map(wire::encode) {
            Ok(Ok(body)) => Reply::bytes(200, wire::CONTENT_TYPE, body),
            Ok(Err(failure)) => Reply::failure(&failure),
            Err(failure) => Reply::failure(failure),
        }
    }

    /// Like [`Reply::message`], without the names of fields.
    pub fn compact<T: Serialize>(result: &Result<T, Failure>) -> Self {
        match result.as_ref().map(wire::encode_compact) {
            Ok(Ok(body)) => Reply::bytes(200, wire::CONTENT_TYPE, body),
            Ok(Err(failure)) => Reply::failure(&failure),
            Err(failure) => Reply::failure(failure),
        }
    }

    /// Like [`Reply::compact`], packed for a narrow link.
    pub fn compressed<T: Serialize>(result: &Result<T, Failure>) -> Self {
        let reply = Reply::compact(result);
        Reply {
            body: wire::compress(reply.body),
            ..reply
        }
    }

    /// A failure, with the status that fits its cause.
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

/// The status code of a failure.
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

/// One whole request. It may be kept and answered later, from any thread.
pub struct Request {
    /// The method, such as `POST`.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query without the question mark.
    pub query: String,
    /// The whole body.
    pub body: Vec<u8>,
    headers: HeaderMap,
    answer: oneshot::Sender<Reply>,
}

impl Request {
    /// A request without a body that came by no connection; its answer goes nowhere.
    pub fn detached(method: &str, path: &str, headers: &[(&'static str, &'static str)]) -> Self {
        let (answer, _) = oneshot::channel();
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
            headers: headers.iter().map(header).collect(),
            answer,
        }
    }

    /// The text of a header; empty when there is none.
    pub fn header(&self, name: &str) -> &str {
        text_of(self.headers.get(name))
    }

    /// A parameter of the query; names and values of ours need no escapes.
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

    /// Reads the body as a message of ours.
    ///
    /// # Errors
    ///
    /// `Invalid` when it is none.
    pub fn message<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        wire::decode(&self.body)
    }

    /// Answers. A receiver that has gone is nobody's loss.
    pub fn respond(self, reply: Reply) {
        let (sent, heard) = (reply.body.len(), self.body.len());
        traffic::record(
            &self.path,
            sent + traffic::HEAD_BYTES,
            heard + traffic::HEAD_BYTES,
        );
        let _ = self.answer.send(reply);
    }
}

fn text_of(value: Option<&HeaderValue>) -> &str {
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
    response
}

/// Answers requests on the thread of all connections, so it must not block; gives back those that take longer.
pub type FastHandler = Arc<dyn Fn(Request) -> Option<Request> + Send + Sync>;

/// Answers requests on a thread for work that blocks.
pub type Handler = Arc<dyn Fn(Request) + Send + Sync>;

/// What a port does with each request.
#[derive(Clone)]
pub struct Service {
    /// Has each request first.
    pub fast: FastHandler,
    /// Has those that `quick` gives back.
    pub handler: Handler,
    /// How many of these are handled at once.
    pub concurrency: usize,
}

/// The bounds of a port's connections.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Connections at once; more wait to be accepted.
    pub max_connections: usize,
    /// The time for the head of a request, which an unused connection waits for.
    pub idle: Duration,
}

/// Those of ports between our own processes, whose clients keep unused connections for up to two minutes.
pub const INTERNAL: Bounds = Bounds {
    max_connections: 4_096,
    idle: Duration::from_secs(180),
};

/// A port that is open.
pub struct Server {
    address: SocketAddr,
    /// Tells the port's tasks to end.
    stop: watch::Sender<bool>,
    /// Closed once the port and all handlers have ended.
    ended: Mutex<mpsc::Receiver<Infallible>>,
}

impl Server {
    /// Opens a port between our own processes, with this many tasks at once; port 0 takes a free one.
    ///
    /// With a token, a request that does not show it gets 401, but for `/healthz` and `/readyz`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the system has no room for threads.
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
        };
        Self::open_with_bounds(address, INTERNAL, token, service)
    }

    /// Opens a port with bounds of its own.
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
        let runtime = runtime::handle()?;
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let (running, ended) = mpsc::channel();
        let port = Arc::new(Port {
            token,
            tasks: Arc::new(Semaphore::new(service.concurrency)),
            service,
            bounds,
        });
        let listener = {
            let _entered = runtime.enter();
            tokio::net::TcpListener::from_std(listener)?
        };
        runtime.spawn(accept(listener, port, stopped, running));
        Ok(Server {
            address,
            stop,
            ended: Mutex::new(ended),
        })
    }

    /// The address that is bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The base of the port's addresses.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Takes no further request and waits for those being handled.
    pub fn close(&mut self) {
        let _ = self.stop.send(true);
        // Nothing is ever sent: the wait ends with the last sender.
        let _ = lock(&self.ended).recv();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.close();
    }
}

/// What the connections of a port share.
struct Port {
    token: Option<Token>,
    service: Service,
    bounds: Bounds,
    /// Handlers that may begin.
    tasks: Arc<Semaphore>,
}

/// Held by whatever has to end before the port is closed.
type Running = mpsc::Sender<Infallible>;

async fn accept(
    listener: tokio::net::TcpListener,
    port: Arc<Port>,
    mut stopped: watch::Receiver<bool>,
    running: Running,
) {
    let room = Arc::new(Semaphore::new(port.bounds.max_connections));
    loop {
        let next = async {
            // The semaphore is never closed.
            let place = room.clone().acquire_owned().await.ok();
            (place, listener.accept().await)
        };
        let (place, accepted) = tokio::select! {
            next = next => next,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (port, stopped) = (port.clone(), stopped.clone());
                let running = running.clone();
                tokio::spawn(async move {
                    serve(stream, port, stopped, running).await;
                    drop(place);
                });
            }
            Err(error) => {
                log::warn!(target: "kernel", error:% = error; "A connection could not be accepted.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a connection until it ends or the port is closed.
async fn serve(
    stream: TcpStream,
    port: Arc<Port>,
    mut stopped: watch::Receiver<bool>,
    running: Running,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "kernel", error:% = error; "A connection ended before it was served.");
        return;
    }
    let idle = port.bounds.idle;
    // A port that is closed waits for handlers, not for connections.
    let running = Mutex::new(Some(running));
    let service = service_fn(|request| {
        let held = lock(&running).clone();
        answer(port.clone(), request, held)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_HEAD)
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stopped.changed() => {
            lock(&running).take();
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(target: "kernel", error:% = error; "A connection broke.");
    }
}

/// Takes one request in whole and has it handled.
async fn answer(
    port: Arc<Port>,
    request: hyper::Request<Incoming>,
    running: Option<Running>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let taken = match admitted(&port, &head) {
        Ok(()) => read_whole(body).await,
        Err(failure) => Err(failure),
    };
    let body = match taken {
        Ok(body) => body,
        Err(failure) => return Ok(response(Reply::failure(&failure))),
    };
    let (answer, answered) = oneshot::channel();
    let request = Request {
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
        answer,
    };
    if let Some(request) = (port.service.fast)(request) {
        // The semaphore is never closed.
        let place = port.tasks.clone().acquire_owned().await.ok();
        tokio::task::spawn_blocking(move || {
            (port.service.handler)(request);
            drop((place, running));
        });
    }
    let dropped = |_| Reply::text(500, "the request was dropped\n");
    Ok(response(answered.await.unwrap_or_else(dropped)))
}

fn admitted(port: &Port, head: &hyper::http::request::Parts) -> Result<(), Failure> {
    let path = head.uri.path();
    let open = path == "/healthz" || path == "/readyz";
    match &port.token {
        Some(token) if !open && !token.matches(text_of(head.headers.get(AUTHORIZATION))) => Err(
            Failure::not_run(Cause::Denied, "the token is missing or wrong"),
        ),
        _ => Ok(()),
    }
}

/// Reads a request's body in whole, or says why the request is refused.
async fn read_whole(body: Incoming) -> Result<Vec<u8>, Failure> {
    let refused = |text| Failure::not_run(Cause::Invalid, text);
    if body.size_hint().lower() > MAX_BODY as u64 {
        return Err(refused("the body is too large"));
    }
    match Limited::new(body, MAX_BODY).collect().await {
        Ok(whole) => Ok(whole.to_bytes().into()),
        Err(error) if error.is::<LengthLimitError>() => Err(refused("the body is too large")),
        Err(_) => Err(refused("the body is cut")),
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

    fn echo(token: Option<Token>) -> Server {
        let handler = |request: Request| {
            let body = request.body.clone();
            request.respond(Reply::bytes(200, "application/octet-stream", body));
        };
        Server::open(([127, 0, 0, 1], 0).into(), 1, token, Arc::new(handler)).unwrap()
    }

    fn raw(server: &Server, request: &str) -> String {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Connections that come in one burst were left to wait for each other's end.
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
        // All stay open until the last is answered.
        for mut stream in &streams {
            let most = std::time::Duration::from_secs(30);
            stream.set_read_timeout(Some(most)).unwrap();
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
        };
        let bounds = Bounds {
            max_connections: connections,
            idle,
        };
        Server::open_with_bounds(([127, 0, 0, 1], 0).into(), bounds, None, service).unwrap()
    }

    /// Connects and has one request answered.
    fn connected(server: &Server) -> TcpStream {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        assert!(stream.read(&mut [0; 1_024]).unwrap() > 0);
        stream
    }

    #[test]
    fn serve_unused_connection_ends() {
        let server = bounded(8, Duration::from_millis(50));
        let mut stream = connected(&server);
        assert_eq!(stream.read(&mut [0; 1]).unwrap_or(0), 0);
    }

    /// One connection more than there may be is served once another has ended.
    #[test]
    fn serve_connections_at_once() {
        let server = bounded(1, Duration::from_secs(60));
        let first = connected(&server);
        let mut second = TcpStream::connect(server.address()).unwrap();
        second.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        let short = Some(Duration::from_millis(50));
        second.set_read_timeout(short).unwrap();
        assert!(second.read(&mut [0; 1]).is_err());
        drop(first);
        second.set_read_timeout(None).unwrap();
        assert!(second.read(&mut [0; 1]).unwrap() > 0);
    }

    #[test_case(9; "small")]
    #[test_case(9000; "large")]
    fn serve_cut_body(declared: usize) {
        let server = echo(None);
        let head = format!("POST / HTTP/1.1\r\nContent-Length: {declared}\r\n\r\nshort");
        let text = raw(&server, &head);
        assert!(text.starts_with("HTTP/1.1 400"), "{text}");
    }

    #[test_case(Some("right"), "/x", 200; "the token")]
    #[test_case(Some("wrong"), "/x", 401; "another token")]
    #[test_case(None, "/x", 401; "no token")]
    #[test_case(None, "/healthz", 200; "open path")]
    fn serve_token(shown: Option<&str>, path: &str, status: u16) {
        let server = echo(Some(Token::new("right")));
        let client = Client::new(shown.map(Token::new));
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
