//! The ports of a box: callers, readiness, other boxes and metrics.

use {
    crate::cli::Setup,
    kernel::{Request, Server, edge, ops, server::Reply},
    node::{Node, peer},
    platform::callers,
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Connections of callers at once. A thread and two descriptors each; a box has 3,900 for sockets.
const CONNECTIONS: usize = 800;
/// How long a connection may be idle between two requests.
const IDLE: Duration = Duration::from_secs(60);
/// Tasks that answer other boxes; some wait for the store.
const PEER_TASKS: usize = 6;
/// The path of the readiness probe.
const READY: &str = "/readiness";

/// The ports that are open.
pub struct Ports {
    /// Requests of callers that are being answered.
    pub busy: Arc<AtomicUsize>,
    _ready: Server,
    _inside: Server,
}

/// Opens all ports.
///
/// # Errors
///
/// An address cannot be bound.
pub fn open(setup: &Setup, node: &Node) -> io::Result<Ports> {
    let busy = Arc::new(AtomicUsize::new(0));
    let own = node.clone();
    let inside = Server::open(
        setup.inside,
        PEER_TASKS,
        None,
        Arc::new(move |request: Request| inside(&own, request)),
    )?;
    let own = node.clone();
    let ready = Server::open(
        setup.ready,
        1,
        None,
        Arc::new(move |request: Request| ready(&own, request)),
    )?;
    let own = node.clone();
    let count = busy.clone();
    let bounds = edge::Bounds {
        connections: CONNECTIONS,
        step: IDLE,
    };
    edge::open(setup.callers, bounds, move |request: &mut _| {
        count.fetch_add(1, Ordering::AcqRel);
        let response = callers::answer(&own, request);
        count.fetch_sub(1, Ordering::AcqRel);
        response
    })?;
    Ok(Ports {
        busy,
        _ready: ready,
        _inside: inside,
    })
}

fn ready(node: &Node, request: Request) {
    let reply = match request.path.as_str() {
        READY if node.is_ready() => Reply::text(200, "ready\n"),
        READY => Reply::text(503, "not ready\n"),
        _ => Reply::text(404, "no such path\n"),
    };
    request.respond(reply);
}

fn inside(node: &Node, request: Request) {
    if request.path == peer::PATH {
        node.answer_peer(request);
        return;
    }
    let is_ready = || node.is_ready();
    if let Some(request) = ops::route(request, is_ready) {
        request.respond(Reply::text(404, "no such path\n"));
    }
}
