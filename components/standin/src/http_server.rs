//! The ports of the stand-ins: blocking handlers, one task for each connection, and answers that
//! can break off.

use {
    kernel::{
        Reply,
        public_server::{self, Bounds},
    },
    oxhttp::model::{Body, Request, Response},
    serde_json::Value,
    std::{io, io::Read, net::SocketAddr, sync::Arc, time::Duration},
};

/// The time for one read or write of a connection.
const IO_TIMEOUT: Duration = Duration::from_secs(60);

/// One whole request.
#[derive(Clone)]
pub struct ServerRequest {
    /// The method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl ServerRequest {
    /// A parameter of the query.
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

    /// A parameter that is a number; 0 when there is none.
    pub fn number(&self, name: &str) -> u64 {
        self.parameter(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    /// The text of a header; empty when there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// What a stand-in does with a request.
pub enum ServerResponse {
    /// A whole answer.
    Reply(Reply),
    /// A broken connection.
    Disconnect,
}

impl From<Reply> for ServerResponse {
    fn from(reply: Reply) -> Self {
        ServerResponse::Reply(reply)
    }
}

/// Opens a port, which stays open until the process ends. Returns its base address.
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

/// An answer with a JSON body.
pub fn reply(status: u16, body: &Value) -> Reply {
    Reply::bytes(status, "application/json", body.to_string().into_bytes())
}
