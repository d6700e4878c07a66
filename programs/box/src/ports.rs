//! HTTP servers of a box: for callers, readiness probes, other boxes and metrics.

use {
    crate::cli::Setup,
    job::queue::Limits,
    kernel::{
        Request, Server, ops,
        resources::PortKind,
        server::{self, Bounds, Reply, RequestLimits, Service},
    },
    node::{
        Node,
        admission::kind_label,
        message::{ClosedHall, QueueStatus},
        peer,
    },
    platform::callers,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
};

/// Maximum size of a message of another box in bytes.
const MAX_PEER_BODY: usize = 1024 * 1024;
/// Maximum number of concurrent requests of other boxes. Some of them wait for the store.
const PEER_TASKS: usize = 6;
/// Path of the readiness probe.
const READY: &str = "/readiness";
/// Path of the list of closed data halls, as text for operators.
const HALLS: &str = "/halls";
/// Path of the list of what waits in each queue, as text for operators.
const QUEUES: &str = "/queues";

/// The servers of a box. Dropping them closes their ports.
pub struct Ports {
    /// Number of callers' requests in progress.
    pub in_progress: Arc<AtomicUsize>,
    _servers: Vec<Server>,
}

/// Opens all ports.
///
/// # Errors
///
/// An address cannot be bound.
pub fn open(setup: &Setup, node: &Node) -> io::Result<Ports> {
    let in_progress = Arc::new(AtomicUsize::new(0));
    let mut servers = vec![
        serve(
            (setup.inside, peer_bounds(setup)),
            node,
            handle_relay,
            (PEER_TASKS, handle_peer),
        )?,
        serve(
            (setup.ready, probe_bounds(setup)),
            node,
            handle_ready,
            (1, handle_ops),
        )?,
        open_callers(setup, node, in_progress.clone())?,
    ];
    if let Some(address) = setup.metrics {
        servers.push(serve(
            (address, probe_bounds(setup)),
            node,
            |_, request| Some(request),
            (1, handle_ops),
        )?);
    }
    Ok(Ports {
        in_progress,
        _servers: servers,
    })
}

fn peer_bounds(setup: &Setup) -> Bounds {
    Bounds::new(&setup.resources, PortKind::Internal).with_max_body(MAX_PEER_BODY)
}

fn probe_bounds(setup: &Setup) -> Bounds {
    Bounds::new(&setup.resources, PortKind::Probes)
}

/// Opens a port that is not for callers. Requests that `quick` returns are passed to `handler`, at
/// most `tasks` of them concurrently.
fn serve(
    (address, bounds): (SocketAddr, Bounds),
    node: &Node,
    quick: fn(&Node, Request) -> Option<Request>,
    (tasks, handler): (usize, fn(&Node, Request)),
) -> io::Result<Server> {
    let (first, second) = (node.clone(), node.clone());
    let service = Service {
        fast: Arc::new(move |request| quick(&first, request)),
        handler: Arc::new(move |request| handler(&second, request)),
        concurrency: tasks,
        refuse: server::refuse,
    };
    Server::open_with_bounds(address, bounds, None, service)
}

fn open_callers(setup: &Setup, node: &Node, in_progress: Arc<AtomicUsize>) -> io::Result<Server> {
    let limits = node.clone();
    let bounds = Bounds {
        limits: Arc::new(move || caller_limits(&limits)),
        ..Bounds::new(&setup.resources, PortKind::Callers)
    };
    let (node, count) = (node.clone(), in_progress.clone());
    let service = Service {
        fast: Arc::new(move |request| {
            count.fetch_add(1, Ordering::AcqRel);
            Some(request)
        }),
        handler: Arc::new(move |mut request| {
            let reply = callers::handle(&node, &mut request);
            request.respond(reply);
            in_progress.fetch_sub(1, Ordering::AcqRel);
        }),
        concurrency: bounds.max_connections,
        refuse: callers::refuse,
    };
    Server::open_with_bounds(setup.callers, bounds, None, service)
}

/// The limits of callers' requests in the operators' configuration, or the default ones before there
/// is a configuration.
fn caller_limits(node: &Node) -> RequestLimits {
    let config = node.shared.config.load();
    let limits = config
        .as_ref()
        .map_or_else(Limits::default, |config| config.limits);
    RequestLimits {
        max_head: limits.max_header,
        max_body: limits.max_body,
        head_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
    }
}

fn handle_ready(node: &Node, request: Request) -> Option<Request> {
    let reply = match request.path.as_str() {
        READY if node.is_ready() => Reply::text(200, "ready\n"),
        READY => Reply::text(503, "not ready\n"),
        _ => Reply::text(404, "no such path\n"),
    };
    request.respond(reply);
    None
}

fn handle_relay(node: &Node, request: Request) -> Option<Request> {
    node.handle_relay(request)
}

fn handle_peer(node: &Node, request: Request) {
    if let Some(request) = node.handle_peer(request) {
        handle_ops(node, request);
    }
}

fn handle_ops(node: &Node, request: Request) {
    if request.path == HALLS {
        request.respond(closed_halls(node));
        return;
    }
    if request.path == QUEUES {
        request.respond(queue_statuses(node));
        return;
    }
    let is_ready = || node.is_ready();
    if let Some(request) = ops::route(request, is_ready) {
        request.respond(Reply::text(404, "no such path\n"));
    }
}

/// Lists the closed data halls, one per line: name, time of closure in milliseconds since 1970, and
/// author, or `-` if unknown.
fn closed_halls(node: &Node) -> Reply {
    let closed = match peer::closed_halls(node, false) {
        Ok(Some(closed)) => closed,
        Ok(None) => return Reply::text(503, "no owner answers\n"),
        Err(failure) => return Reply::failure(&failure),
    };
    let mut text = String::new();
    for ClosedHall { hall, by, since } in closed {
        let by = by.as_deref().unwrap_or("-");
        text.push_str(&format!("{hall} {since} {by}\n"));
    }
    Reply::text(200, text)
}

/// Lists what waits in each queue, one line per queue and kind of job: queue, kind or `-` without
/// pressure, waiting jobs, predicted wait and that of late jobs in milliseconds, pool, its number of
/// workers, and jobs that this box has refused.
fn queue_statuses(node: &Node) -> Reply {
    let statuses = match peer::queue_statuses(node, false) {
        Ok(Some(statuses)) => statuses,
        Ok(None) => return Reply::text(503, "no owner answers\n"),
        Err(failure) => return Reply::failure(&failure),
    };
    let mut text = String::new();
    for status in statuses {
        let QueueStatus { queue, pool, .. } = &status;
        let kind = status.kind.map_or("-", kind_label);
        let (waiting, wait, drain) = (status.waiting, status.wait, status.drain);
        let (workers, refused) = (status.workers, status.refused);
        text.push_str(&format!(
            "{queue} {kind} {waiting} {wait} {drain} {pool} {workers} {refused}\n"
        ));
    }
    Reply::text(200, text)
}
