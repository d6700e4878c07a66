//! The ports of a box: callers, readiness, other boxes and metrics.

use {
    crate::cli::Setup,
    kernel::{
        Request, Server, ops,
        server::{Bounds, INSIDE, Reply, Service},
    },
    node::{Node, message::ClosedHall, peer},
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

/// The bounds of the callers' port; a box has 3,900 descriptors for sockets.
const CALLERS: Bounds = Bounds {
    connections: 800,
    idle: Duration::from_secs(60),
};
/// Requests of callers that are answered at once; each waits for the store or the owner on a thread.
const CALLER_TASKS: usize = 800;
/// Requests of other boxes that are answered at once; some wait for the store.
const PEER_TASKS: usize = 6;
/// The path of the readiness probe.
const READY: &str = "/readiness";
/// The path of the data halls that are shut, as text for operators.
const HALLS: &str = "/halls";

/// The ports that are open.
pub struct Ports {
    /// Requests of callers that are being answered.
    pub busy: Arc<AtomicUsize>,
    _servers: Vec<Server>,
}

/// Opens all ports.
///
/// # Errors
///
/// An address cannot be bound.
pub fn open(setup: &Setup, node: &Node) -> io::Result<Ports> {
    let busy = Arc::new(AtomicUsize::new(0));
    let mut servers = vec![
        serve(setup.inside, node, relayed, (PEER_TASKS, inside))?,
        serve(setup.ready, node, ready, (1, figures))?,
        open_callers(setup.callers, node, busy.clone())?,
    ];
    if let Some(address) = setup.metrics {
        servers.push(serve(
            address,
            node,
            |_, request| Some(request),
            (1, figures),
        )?);
    }
    Ok(Ports {
        busy,
        _servers: servers,
    })
}

/// Opens a port for others than callers. Requests that `quick` gives back are answered by the second handler, so many
/// at once.
fn serve(
    address: SocketAddr,
    node: &Node,
    quick: fn(&Node, Request) -> Option<Request>,
    (tasks, handler): (usize, fn(&Node, Request)),
) -> io::Result<Server> {
    let (first, second) = (node.clone(), node.clone());
    let service = Service {
        quick: Arc::new(move |request| quick(&first, request)),
        handler: Arc::new(move |request| handler(&second, request)),
        tasks,
    };
    Server::open_within(address, INSIDE, None, service)
}

fn open_callers(address: SocketAddr, node: &Node, busy: Arc<AtomicUsize>) -> io::Result<Server> {
    let (node, count) = (node.clone(), busy.clone());
    let service = Service {
        quick: Arc::new(move |request| {
            count.fetch_add(1, Ordering::AcqRel);
            Some(request)
        }),
        handler: Arc::new(move |request| {
            let reply = callers::handle(&node, &request);
            request.respond(reply);
            busy.fetch_sub(1, Ordering::AcqRel);
        }),
        tasks: CALLER_TASKS,
    };
    Server::open_within(address, CALLERS, None, service)
}

fn ready(node: &Node, request: Request) -> Option<Request> {
    let reply = match request.path.as_str() {
        READY if node.is_ready() => Reply::text(200, "ready\n"),
        READY => Reply::text(503, "not ready\n"),
        _ => Reply::text(404, "no such path\n"),
    };
    request.respond(reply);
    None
}

fn relayed(node: &Node, request: Request) -> Option<Request> {
    node.handle_relay(request)
}

fn inside(node: &Node, request: Request) {
    if let Some(request) = node.handle_peer(request) {
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
    let shut = match peer::closed_halls(node, false) {
        Ok(Some(shut)) => shut,
        Ok(None) => return Reply::text(503, "no owner answers\n"),
        Err(failure) => return Reply::failure(&failure),
    };
    let mut text = String::new();
    for ClosedHall { hall, by, since } in shut {
        let by = by.as_deref().unwrap_or("-");
        text.push_str(&format!("{hall} {since} {by}\n"));
    }
    Reply::text(200, text)
}
