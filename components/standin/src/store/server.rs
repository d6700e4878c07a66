//! The service's port.

use {
    super::Core,
    crate::http_server::{self, ServerRequest, ServerResponse},
    infra::{Store, Swap, Versioned, store::VERSION_HEADER},
    kernel::{Failure, Reply, verdict::Cause},
    std::{io, net::SocketAddr, sync::Arc, thread, time::Duration},
};

/// Connections that the port takes.
const CONNECTIONS: usize = 4096;

/// The service on a port.
pub struct Server {
    core: Arc<Core>,
    url: String,
}

impl Server {
    /// Opens the port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn open(address: SocketAddr, core: Arc<Core>) -> io::Result<Self> {
        let theirs = core.clone();
        let url = http_server::open(address, CONNECTIONS, move |asked| handle(&theirs, &asked))?;
        Ok(Server { core, url })
    }

    /// The base address.
    pub fn url(&self) -> String {
        self.url.clone()
    }

    /// The rules behind the port.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }
}

fn found(value: &Versioned) -> Reply {
    Reply::bytes(200, "application/octet-stream", value.bytes.to_vec())
        .with_header(VERSION_HEADER, value.version.to_string())
}

fn handle(core: &Core, asked: &ServerRequest) -> ServerResponse {
    if let Some(rest) = asked.path.strip_prefix("/admin/") {
        return admin(core, rest, asked).into();
    }
    let slow = core.faults().slow;
    if slow > 0 {
        thread::sleep(Duration::from_millis(slow));
    }
    if let Some(key) = asked.path.strip_prefix("/v1/kv/") {
        return match asked.method.as_str() {
            "GET" if asked.parameter("after").is_some() => watch(core, key, asked),
            "GET" => answer(core.get(key).map(|value| value.as_ref().map(found))),
            "PUT" => write(core, key, asked),
            _ => Reply::text(405, "GET or PUT\n").into(),
        };
    }
    if let Some(id) = asked.path.strip_prefix("/v1/leases") {
        return lease(core, id.trim_start_matches('/'), asked);
    }
    Reply::text(404, "no such path\n").into()
}

/// Answers with the reply; nothing found is 404; a failure as the service shows it.
fn answer(result: Result<Option<Reply>, Failure>) -> ServerResponse {
    match result {
        Ok(Some(reply)) => reply.into(),
        Ok(None) => Reply::text(404, "no such key\n").into(),
        Err(failure) if failure.cause == Cause::Busy => Reply::text(429, failure.text).into(),
        Err(failure) if failure.cause == Cause::Invalid => Reply::text(413, failure.text).into(),
        Err(_) => ServerResponse::Disconnect,
    }
}

fn write(core: &Core, key: &str, asked: &ServerRequest) -> ServerResponse {
    let lease = asked.parameter("lease").and_then(|text| text.parse().ok());
    let result = core.swap_leased(key, asked.number("expect"), &asked.body, lease);
    answer(result.map(|swap| {
        let (status, version) = match swap {
            Swap::Written(version) => (200, version),
            Swap::Conflict(version) => (409, version),
        };
        Some(Reply::text(status, "").with_header(VERSION_HEADER, version.to_string()))
    }))
}

fn watch(core: &Core, key: &str, asked: &ServerRequest) -> ServerResponse {
    let time = Duration::from_millis(asked.number("wait_ms"));
    match core.watch(key, asked.number("after"), time) {
        Ok(None) => Reply::text(304, "").into(),
        Ok(Some(value)) => found(&value).into(),
        Err(failure) => answer(Err(failure)),
    }
}

fn lease(core: &Core, id: &str, asked: &ServerRequest) -> ServerResponse {
    let result = match id.parse() {
        Ok(id) => core.renew(id).map(|alive| alive.then_some(id)),
        Err(_) => core.grant(asked.number("ttl_ms")).map(Some),
    };
    answer(result.map(|id| id.map(|id| Reply::text(200, id.to_string()))))
}

/// Faults and counters over HTTP, for the stand-in as a process.
fn admin(core: &Core, path: &str, asked: &ServerRequest) -> Reply {
    let json = |body: Result<Vec<u8>, serde_json::Error>| {
        Reply::bytes(200, "application/json", body.unwrap_or_default())
    };
    match (asked.method.as_str(), path) {
        ("GET", "counts") => json(serde_json::to_vec(&core.counts())),
        ("GET", "faults") => json(serde_json::to_vec(&core.faults())),
        ("POST", "faults") => match serde_json::from_slice(&asked.body) {
            Ok(faults) => {
                core.set_faults(faults);
                Reply::text(200, "set\n")
            }
            Err(e) => Reply::text(400, e.to_string()),
        },
        ("POST", "lapse") => {
            core.expire_lease(asked.number("id"));
            Reply::text(200, "lapsed\n")
        }
        _ => Reply::text(404, "no such path\n"),
    }
}
