//! The ports of a box: callers, readiness, other boxes and metrics.

use {
    crate::cli::Setup,
    kernel::{Request, Server, edge, ops, server::Reply},
    node::{Node, message::Shut, peer},
    platform::callers,
    std::{
        io,
        net::SocketAddr,
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
/// The path of the data halls that are shut, as text for operators.
const HALLS: &str = "/halls";

/// The ports that are open.
pub struct Ports {
    /// Requests of callers that are being answered.
    pub busy: Arc<AtomicUsize>,
    _operators: Vec<Server>,
}

/// Opens all ports.
///
/// # Errors
///
/// An address cannot be bound.
pub fn open(setup: &Setup, node: &Node) -> io::Result<Ports> {
    let busy = Arc::new(AtomicUsize::new(0));
    let mut operators = vec![
        serve(setup.inside, PEER_TASKS, node, inside)?,
        serve(setup.ready, 1, node, ready)?,
    ];
    if let Some(address) = setup.metrics {
        operators.push(serve(address, 1, node, figures)?);
    }
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
        _operators: operators,
    })
}

fn serve(
    address: SocketAddr,
    tasks: usize,
    node: &Node,
    answer: fn(&Node, Request),
) -> io::Result<Server> {
    let own = node.clone();
    let handler = Arc::new(move |request: Request| answer(&own, request));
    Server::open(address, tasks, None, handler)
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
    if let Some(request) = node.answer_box(request) {
        figures(node, request);
    }
}

fn figures(node: &Node, request: Request) {
    if request.path == HALLS {
        request.respond(halls(node));
        return;
    }
    let is_ready = || node.is_ready();
    if let Some(request) = ops::route(request, is_ready) {
        request.respond(Reply::text(404, "no such path\n"));
    }
}

/// The data halls that are shut, one a line: its name, since when in milliseconds since 1970, and by whom.
fn halls(node: &Node) -> Reply {
    let shut = match peer::halls(node, false) {
        Ok(Some(shut)) => shut,
        Ok(None) => return Reply::text(503, "no owner answers\n"),
        Err(failure) => return Reply::failure(&failure),
    };
    let mut text = String::new();
    for Shut { hall, by, since } in shut {
        let by = by.as_deref().unwrap_or("-");
        text.push_str(&format!("{hall} {since} {by}\n"));
    }
    Reply::text(200, text)
}
