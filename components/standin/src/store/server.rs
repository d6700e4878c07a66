//! HTTP server of the key-value store.

use {
    super::Core,
    crate::http_server::{self, ServerRequest, ServerResponse},
    infra::{Store, Swap, Versioned, store::VERSION_HEADER},
    kernel::{Failure, Reply, verdict::Cause},
    std::{io, net::SocketAddr, sync::Arc, thread, time::Duration},
};

/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 4096;

/// HTTP server of a store.
pub struct Server {
    core: Arc<Core>,
    url: String,
}

impl Server {
    /// Opens the server.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn open(address: SocketAddr, core: Arc<Core>) -> io::Result<Self> {
        let shared = core.clone();
        let url = http_server::open(address, MAX_CONNECTIONS, move |request| {
            handle(&shared, &request)
        })?;
        Ok(Server { core, url })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.url.clone()
    }

    /// Returns the store behind the server.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }
}

fn value_response(value: &Versioned) -> Reply {
    Reply::bytes(200, "application/octet-stream", value.bytes.to_vec())
        .with_header(VERSION_HEADER, value.version.to_string())
}

fn handle(core: &Core, request: &ServerRequest) -> ServerResponse {
    if let Some(rest) = request.path.strip_prefix("/admin/") {
        return admin(core, rest, request).into();
    }
    let slow = core.faults().slow;
    if slow > 0 {
        thread::sleep(Duration::from_millis(slow));
    }
    if let Some(key) = request.path.strip_prefix("/v1/kv/") {
        return match request.method.as_str() {
            "GET" if request.parameter("after").is_some() => watch(core, key, request),
            "GET" => respond(
                core.get(key)
                    .map(|value| value.as_ref().map(value_response)),
            ),
            "PUT" => write(core, key, request),
            _ => Reply::text(405, "GET or PUT\n").into(),
        };
    }
    if let Some(id) = request.path.strip_prefix("/v1/leases") {
        return lease(core, id.trim_start_matches('/'), request);
    }
    Reply::text(404, "no such path\n").into()
}

/// Converts a result to a response: 404 for a missing key, and the status of the failure
/// otherwise.
fn respond(result: Result<Option<Reply>, Failure>) -> ServerResponse {
    match result {
        Ok(Some(reply)) => reply.into(),
        Ok(None) => Reply::text(404, "no such key\n").into(),
        Err(failure) if failure.cause == Cause::Busy => Reply::text(429, failure.text).into(),
        Err(failure) if failure.cause == Cause::Invalid => Reply::text(413, failure.text).into(),
        Err(_) => ServerResponse::Disconnect,
    }
}

fn write(core: &Core, key: &str, request: &ServerRequest) -> ServerResponse {
    let lease = request
        .parameter("lease")
        .and_then(|text| text.parse().ok());
    let result = core.swap_leased(key, request.number("expect"), &request.body, lease);
    respond(result.map(|swap| {
        let (status, version) = match swap {
            Swap::Written(version) => (200, version),
            Swap::Conflict(version) => (409, version),
        };
        Some(Reply::text(status, "").with_header(VERSION_HEADER, version.to_string()))
    }))
}

fn watch(core: &Core, key: &str, request: &ServerRequest) -> ServerResponse {
    let time = Duration::from_millis(request.number("wait_ms"));
    match core.watch(key, request.number("after"), time) {
        Ok(None) => Reply::text(304, "").into(),
        Ok(Some(value)) => value_response(&value).into(),
        Err(failure) => respond(Err(failure)),
    }
}

fn lease(core: &Core, id: &str, request: &ServerRequest) -> ServerResponse {
    let result = match id.parse() {
        Ok(id) => core.renew(id).map(|alive| alive.then_some(id)),
        Err(_) => core.grant(request.number("ttl_ms")).map(Some),
    };
    respond(result.map(|id| id.map(|id| Reply::text(200, id.to_string()))))
}

/// Handles the fault and counter endpoints.
fn admin(core: &Core, path: &str, request: &ServerRequest) -> Reply {
    let json = |body: Result<Vec<u8>, serde_json::Error>| {
        Reply::bytes(200, "application/json", body.unwrap_or_default())
    };
    match (request.method.as_str(), path) {
        ("GET", "counts") => json(serde_json::to_vec(&core.counts())),
        ("GET", "faults") => json(serde_json::to_vec(&core.faults())),
        ("POST", "faults") => match serde_json::from_slice(&request.body) {
            Ok(faults) => {
                core.set_faults(faults);
                Reply::text(200, "set\n")
            }
            Err(e) => Reply::text(400, e.to_string()),
        },
        ("POST", "lapse") => {
            core.expire_lease(request.number("id"));
            Reply::text(200, "lapsed\n")
        }
        _ => Reply::text(404, "no such path\n"),
    }
}
