//! HTTP ports between our own processes and for operators, by `tiny_http`.
//!
//! Strangers do not reach these ports: whoever speaks to one holds the token. The port that
//! callers reach is the gate's own and is served by another library.

use {
    crate::{
        sync::lock,
        task,
        token::Token,
        traffic,
        verdict::{Cause, Failure},
        wire,
    },
    serde::{Serialize, de::DeserializeOwned},
    socket2::SockRef,
    std::{
        collections::{BTreeSet, VecDeque},
        io::{self, Read},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex},
        thread::JoinHandle,
        time::Duration,
    },
    tiny_http::{Header, Response},
};

/// The largest body that is taken in, in bytes: the store's largest value and some room.
pub const MAX_BODY: usize = 2 * 1024 * 1024;

/// Connections that a port remembers to have seen: more than boxes that talk to one another.
const SEEN_MOST: usize = 1024;

/// The time for one nudge, which goes to this very process.
const NUDGE_MOST: Duration = Duration::from_millis(100);

/// An answer to one request.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The content type.
    pub kind: &'static str,
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
            kind: "text/plain; charset=utf-8",
            headers: Vec::new(),
            body,
        }
    }

    /// Bytes of a given type.
    pub fn bytes(status: u16, kind: &'static str, body: Vec<u8>) -> Self {
        Reply {
            status,
            kind,
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
    pub fn packed<T: Serialize>(result: &Result<T, Failure>) -> Self {
        let reply = Reply::compact(result);
        Reply {
            body: wire::pack(reply.body),
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
    inner: tiny_http::Request,
    /// The method, such as `POST`.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query without the question mark.
    pub query: String,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Request {
    /// The text of a header; empty when there is none.
    pub fn header(&self, name: &str) -> &str {
        header_of(&self.inner, name)
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
        traffic::note(&self.path, sent + traffic::HEAD, heard + traffic::HEAD);
        let _ = self.inner.respond(response(reply));
    }
}

fn header_of<'a>(request: &'a tiny_http::Request, name: &str) -> &'a str {
    for header in request.headers() {
        if header.field.as_str().as_str().eq_ignore_ascii_case(name) {
            return header.value.as_str();
        }
    }
    ""
}

fn response(reply: Reply) -> Response<io::Cursor<Vec<u8>>> {
    let mut response = Response::from_data(reply.body)
        .with_status_code(reply.status)
        .with_chunked_threshold(usize::MAX);
    let kind = ("content-type", reply.kind.to_owned());
    for (name, value) in reply.headers.into_iter().chain([kind]) {
        let Ok(header) = Header::from_bytes(name, value) else {
            continue;
        };
        response.add_header(header);
    }
    response
}

/// What a port does with each request.
pub type Handler = Arc<dyn Fn(Request) + Send + Sync>;

/// A port that is open.
pub struct Server {
    inner: Arc<tiny_http::Server>,
    address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl Server {
    /// Opens a port and serves it with this many tasks; port 0 takes a free one.
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
        let listener = TcpListener::bind(address)?;
        // Accepted connections take this over from the listener; without it, an answer in two
        // writes waits for the peer's delayed acknowledgement.
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let address = listener.local_addr()?;
        let inner = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let inner = Arc::new(inner);
        let nudge = Arc::new(Nudge::new(address));
        let mut threads = Vec::new();
        for number in 0..tasks {
            let server = inner.clone();
            let token = token.clone();
            let handler = handler.clone();
            let nudge = nudge.clone();
            let name = format!("port-{}-{number}", address.port());
            threads.push(task::spawn(&name, move || {
                serve(&server, token.as_ref(), &handler, &nudge)
            })?);
        }
        Ok(Server {
            inner,
            address,
            threads,
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
        for _ in &self.threads {
            self.inner.unblock();
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.close();
    }
}

/// Wakes connections that the library has left without a task.
///
/// In a burst the library gives several connections to one idle task. All but the first then wait
/// until some connection ends, which kept ones do not: of 32 at once some had no answer in 30 s, in 15 of
/// 18 runs, and have one in 80 of 80 with this. A further connection that ends at once makes its
/// task free for the next that waits, so each connection's first request is followed by one.
struct Nudge {
    address: SocketAddr,
    seen: Mutex<Seen>,
}

/// The connections seen lately, also in the order in which they came.
#[derive(Default)]
struct Seen {
    known: BTreeSet<SocketAddr>,
    order: VecDeque<SocketAddr>,
}

impl Seen {
    /// Notes a connection. True when it is new.
    fn note(&mut self, peer: SocketAddr) -> bool {
        if !self.known.insert(peer) {
            return false;
        }
        self.order.push_back(peer);
        if self.order.len() > SEEN_MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }
}

impl Nudge {
    fn new(address: SocketAddr) -> Self {
        Nudge {
            address,
            seen: Mutex::default(),
        }
    }

    /// Nudges the port after the first request of a connection.
    fn after(&self, peer: Option<&SocketAddr>) {
        if !peer.is_some_and(|peer| lock(&self.seen).note(*peer)) {
            return;
        }
        // Where this fails the port is full or closed, and the next connection nudges it.
        if let Err(error) = TcpStream::connect_timeout(&self.address, NUDGE_MOST) {
            log::debug!(target: "kernel", error:% = error; "A port could not be nudged.");
        }
    }
}

fn serve(server: &tiny_http::Server, token: Option<&Token>, handler: &Handler, nudge: &Nudge) {
    loop {
        // The library reports `unblock` as an error of this call; nothing else ends it.
        let Ok(mut inner) = server.recv() else { return };
        nudge.after(inner.remote_addr());
        match read_whole(&mut inner, token) {
            Ok(body) => handler(take_in(inner, body)),
            Err(failure) => {
                let _ = inner.respond(response(Reply::failure(&failure)));
            }
        }
    }
}

/// Splits an address into its path and its query.
fn split(url: &str) -> (&str, &str) {
    url.split_once('?').unwrap_or((url, ""))
}

/// Reads a request's body in whole, or says why the request is refused.
fn read_whole(inner: &mut tiny_http::Request, token: Option<&Token>) -> Result<Vec<u8>, Failure> {
    let (path, _) = split(inner.url());
    let open = path == "/healthz" || path == "/readyz";
    if let Some(token) = token
        && !open
        && !token.admits(header_of(inner, "authorization"))
    {
        let text = "the token is missing or wrong";
        return Err(Failure::not_run(Cause::Denied, text));
    }
    let declared = inner.body_length();
    if declared.unwrap_or(0) > MAX_BODY {
        return Err(Failure::not_run(Cause::Invalid, "the body is too large"));
    }
    let mut body = Vec::new();
    let mut reader = inner.as_reader().take(MAX_BODY as u64 + 1);
    let read = reader.read_to_end(&mut body);
    // A cut body reads as a clean end, so its length is compared with the one declared.
    let whole = read.is_ok() && body.len() <= MAX_BODY && declared.is_none_or(|n| n == body.len());
    if !whole {
        let text = "the body is cut or too large";
        return Err(Failure::not_run(Cause::Invalid, text));
    }
    Ok(body)
}

fn take_in(inner: tiny_http::Request, body: Vec<u8>) -> Request {
    let (path, query) = split(inner.url());
    Request {
        method: inner.method().to_string(),
        path: path.to_owned(),
        query: query.to_owned(),
        body,
        inner,
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::client::Client,
        std::{
            io::Write,
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

    // The library itself drops a connection whose small body is cut; a larger one is told.
    #[test_case(9, ""; "small")]
    #[test_case(9000, "HTTP/1.1 400"; "large")]
    fn serve_cut_body(declared: usize, start: &str) {
        let server = echo(None);
        let head = format!("POST / HTTP/1.1\r\nContent-Length: {declared}\r\n\r\nshort");
        let text = raw(&server, &head);
        assert!(
            text.starts_with(start) && !text.contains("200 OK"),
            "{text}"
        );
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
            time: std::time::Duration::from_secs(5).into(),
        };
        assert_eq!(client.send(&call).unwrap().status, status);
    }
}
