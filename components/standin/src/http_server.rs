//! HTTP server shared by the stand-ins: blocking handlers, one thread per connection, and
//! responses that can be cut off on purpose.

use {
    kernel::{
        Reply,
        public_server::{self, Bounds},
    },
    oxhttp::model::{Body, Request, Response},
    serde_json::Value,
    std::{io, io::Read, net::SocketAddr, sync::Arc, time::Duration},
};

/// Time limit for one read or write on a connection.
const IO_TIMEOUT: Duration = Duration::from_secs(60);

/// A complete HTTP request.
#[derive(Clone)]
pub struct ServerRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query string.
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    /// Complete request body.
    pub body: Vec<u8>,
}

impl ServerRequest {
    /// Returns the value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next()
    }

    /// Returns a numeric query parameter, or 0 if it is absent or not a number.
    pub fn number(&self, name: &str) -> u64 {
        self.parameter(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    /// Returns the value of a header, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// How a stand-in responds to a request.
pub enum ServerResponse {
    /// Sends a complete response.
    Reply(Reply),
    /// Closes the connection in the middle of the response.
    Disconnect,
}

impl From<Reply> for ServerResponse {
    fn from(reply: Reply) -> Self {
        ServerResponse::Reply(reply)
    }
}

/// Opens a server that runs until the process ends. Returns its base URL.
///
/// # Errors
///
/// The address cannot be bound.
pub fn open(
    address: SocketAddr,
    connections: usize,
    handler: impl Fn(ServerRequest) -> ServerResponse + Send + Sync + 'static,
) -> io::Result<String> {
    let handler = Arc::new(handler);
    let bounds = Bounds {
        connections,
        io_timeout: IO_TIMEOUT,
    };
    let run = move |request: &mut Request<Body>| match read_request(request) {
        Ok(request) => respond(handler(request)),
        Err(_) => respond(ServerResponse::Disconnect),
    };
    Ok(format!(
        "http://{}",
        public_server::open(address, bounds, run)?
    ))
}

fn read_request(request: &mut Request<Body>) -> io::Result<ServerRequest> {
    let mut body = Vec::new();
    request.body_mut().read_to_end(&mut body)?;
    let text = |value: &oxhttp::model::HeaderValue| value.to_str().unwrap_or_default().to_owned();
    let headers = request.headers().iter();
    Ok(ServerRequest {
        method: request.method().to_string(),
        path: request.uri().path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: headers
            .map(|(name, value)| (name.to_string(), text(value)))
            .collect(),
        body,
    })
}

fn respond(response: ServerResponse) -> Response<Body> {
    let ServerResponse::Reply(reply) = response else {
        return Response::new(public_server::truncated_body(Vec::new()));
    };
    let mut builder = Response::builder()
        .status(reply.status)
        .header("content-type", reply.content_type);
    for (name, value) in reply.headers {
        builder = builder.header(name, value);
    }
    builder.body(Body::from(reply.body)).unwrap_or_default()
}

/// Builds a response with a JSON body.
pub fn reply(status: u16, body: &Value) -> Reply {
    Reply::bytes(status, "application/json", body.to_string().into_bytes())
}
