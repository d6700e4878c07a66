//! Tests of a port over loopback.

use {
    super::{bounds::INTERNAL_LIMITS, *},
    crate::{
        client::Client,
        resources::{PortKind, Resources},
    },
    std::{
        io::{Read, Write},
        net::{Shutdown, TcpStream},
        time::Duration,
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
        let limit = Duration::from_secs(30);
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
        timeout: Duration::from_secs(5).into(),
    };
    assert_eq!(client.send(&call).unwrap().status, status);
}
