//! The gate process: starts and stops its two ports, its actor and its background threads.

use {
    crate::{
        actor::Gate,
        balancing::Balancer,
        forward::{self, InFlight, Shared},
        response, share,
    },
    infra::boxes::{Boxes, List},
    kernel::{
        ActorRef, ActorThread, Client, Failure, Reply, Request, Server,
        client::PoolLimits,
        ops::{self, Readiness},
        resources::{PortKind, Resources},
        server::{Bounds, RequestLimits, Service as Handlers},
        task::Signal,
        token::Token,
    },
    members::watcher::BoxWatcher,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    table::Follower,
};

/// Concurrent requests on the operators' port.
const OPS_CONCURRENCY: usize = 2;

/// Interval between reads of the list of boxes.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Time-out for receiving the head of a caller's request, and maximum idle time of a connection.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of the head of a caller's request in bytes.
const MAX_CALLER_HEAD: usize = 32 * 1024;

/// Interval at which `stop` checks for in-flight requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Settings of a gate process.
pub struct Settings {
    /// Name of this box in the platform's list of boxes.
    pub name: Arc<str>,
    /// Data hall of this box.
    pub hall: Arc<str>,
    /// Address of the callers' port.
    pub listen: SocketAddr,
    /// Address of the operators' port.
    pub ops: SocketAddr,
    /// Token for requests on the internal ports.
    pub token: Option<Token>,
    /// Source of the list of boxes.
    pub boxes: Arc<dyn Boxes>,
    /// Load-balancing policy.
    pub balancer: Box<dyn Balancer>,
    /// Deadline of a request without an `x-magpie-deadline-ms` header.
    pub default_deadline: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum number of concurrent callers' connections.
    pub max_connections: usize,
    /// Memory and file descriptors of the process.
    pub resources: Resources,
}

/// A running gate process.
pub struct Service {
    shared: Shared,
    callers: SocketAddr,
    ready: Readiness,
    server: Server,
    host: ActorThread<Gate>,
    _watcher: BoxWatcher,
    follower: Follower,
}

impl Service {
    /// Starts the actor, the ports and the background threads.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound or a thread cannot be started.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let bounds = caller_bounds(&settings);
        let (name, hall, balancer) = (settings.name.clone(), settings.hall, settings.balancer);
        let host = ActorThread::start("gate", move |_, _| Gate::new(name, hall, balancer))?;
        let gate = host.actor_ref().clone();
        let ready = Readiness::new();
        let shared = Shared {
            gate: gate.clone(),
            client: backend_client(),
            default_deadline: settings.default_deadline,
            in_flight: InFlight::default(),
            closing: Arc::default(),
        };
        let ops_bounds = Bounds::new(&settings.resources, PortKind::Probes);
        let address = settings.ops;
        let server = open_ops((address, ops_bounds), settings.token.clone(), &gate, &ready)?;
        let callers = open_callers((settings.listen, bounds), shared.clone())?;
        let list_gate = gate.clone();
        let changed = Box::new(move |list: &Arc<List>| {
            let list = list.clone();
            list_gate.tell(move |gate, cx| gate.set_list(&list, cx.now()));
        });
        let watcher = BoxWatcher::start(settings.boxes, LIST_INTERVAL, changed)?;
        let follower = Follower::start(
            settings.name,
            watcher.view().clone(),
            Client::new(settings.token),
            Box::new(move |table| {
                gate.tell(move |gate, _| gate.set_table(table));
            }),
        )?;
        ready.set(true);
        Ok(Service {
            shared,
            callers,
            ready,
            server,
            host,
            _watcher: watcher,
            follower,
        })
    }

    /// Base URL of the callers' port.
    pub fn url(&self) -> String {
        format!("http://{}", self.callers)
    }

    /// Base URL of the operators' port.
    pub fn ops_url(&self) -> String {
        self.server.url()
    }

    /// Reference to the gate actor, for embedders and tests.
    pub fn actor_ref(&self) -> &ActorRef<Gate> {
        &self.shared.gate
    }

    /// Version of the current table; 0 without one.
    ///
    /// # Errors
    ///
    /// `Stopping` if the actor has stopped.
    pub fn table_version(&self) -> Result<u64, Failure> {
        self.shared.gate.ask(|gate, _| gate.table_version())
    }

    /// Shuts the gate down. It reports not ready for `linger` while it still serves requests, so
    /// that the upstream balancer stops sending them; then it refuses new requests with the verdict
    /// "not run" and waits up to `max_wait` for in-flight requests. Returns true if all of them
    /// completed.
    ///
    /// The callers' port stays open until the process exits.
    pub fn stop(&mut self, linger: Duration, max_wait: Duration) -> bool {
        self.ready.set(false);
        let wait = Signal::new();
        wait.wait(linger);
        self.shared.closing.store(true, Ordering::Release);
        let end = Instant::now() + max_wait;
        while self.shared.in_flight.count() > 0 && Instant::now() < end {
            wait.wait(STOP_POLL_INTERVAL);
        }
        let completed = self.shared.in_flight.count() == 0;
        self.follower.stop();
        self.server.close();
        self.host.stop();
        completed
    }
}

/// Creates the HTTP client for backend servers, with at most as many connections per server as it
/// has slots.
fn backend_client() -> Client {
    let limits = PoolLimits {
        max_idle: 2048,
        per_host: share::SLOTS_PER_SERVER as usize,
        idle_timeout: Duration::from_secs(10),
    };
    Client::with_limits(None, limits)
}

/// Returns the bounds of the callers' port.
fn caller_bounds(settings: &Settings) -> Bounds {
    let limits = RequestLimits {
        max_head: MAX_CALLER_HEAD,
        max_body: settings.max_body,
        head_timeout: CALLER_TIMEOUT,
        idle_timeout: CALLER_TIMEOUT,
    };
    let bounds = Bounds::new(&settings.resources, PortKind::Callers);
    Bounds {
        max_connections: bounds.max_connections.min(settings.max_connections),
        limits: Arc::new(move || limits),
        ..bounds
    }
}

/// Opens the callers' port, which stays open until the process exits. Returns its address.
fn open_callers((address, bounds): (SocketAddr, Bounds), shared: Shared) -> io::Result<SocketAddr> {
    let handler = Arc::new(move |request| forward::handle(&shared, request));
    let handlers = Handlers {
        refuse: response::from_body_error,
        ..Handlers::blocking(bounds.max_connections, handler)
    };
    let server = Server::open_with_bounds(address, bounds, None, handlers)?;
    let address = server.address();
    server.detach();
    Ok(address)
}

fn open_ops(
    (address, bounds): (SocketAddr, Bounds),
    token: Option<Token>,
    gate: &ActorRef<Gate>,
    ready: &Readiness,
) -> io::Result<Server> {
    let (gate, ready) = (gate.clone(), ready.clone());
    let handler = move |request: Request| {
        let is_ready = || gate.ask(|gate, _| gate.is_ready());
        let ready_state = || ready.get() && is_ready().unwrap_or(false);
        let Some(request) = ops::route(request, ready_state) else {
            return;
        };
        match request.path.as_str() {
            "/burn" => {
                let sample = gate.ask(|gate, _| gate.sample());
                request.respond(Reply::message(&sample));
            }
            _ => request.respond(Reply::text(404, "no such path\n")),
        }
    };
    let handlers = Handlers::blocking(OPS_CONCURRENCY, Arc::new(handler));
    Server::open_with_bounds(address, bounds, token, handlers)
}
