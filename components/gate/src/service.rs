//! A whole gate process: the callers' port, the operators' port, the actor and the tasks.

use {
    crate::{
        actor::Gate,
        balancing::Balancer,
        forward::{self, InFlight, Shared},
        share,
    },
    infra::boxes::{Boxes, List},
    kernel::{
        ActorRef, ActorThread, Client, Failure, Reply, Request, Server,
        client::PoolLimits,
        ops::{self, Readiness},
        public_server::{self, Bounds},
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

/// Tasks that serve the operators' port.
const OPS_CONCURRENCY: usize = 2;

/// How often the list of boxes is read.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// How long a caller's connection may be idle or slow in one step.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// How often a stop looks at what is in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What a gate process needs to start.
pub struct Settings {
    /// The box's name, as in the platform's list.
    pub name: Arc<str>,
    /// The box's data hall.
    pub hall: Arc<str>,
    /// The address of the callers' port.
    pub listen: SocketAddr,
    /// The address of the operators' port.
    pub ops: SocketAddr,
    /// The secret of the internal ports.
    pub token: Option<Token>,
    /// The list of boxes.
    pub boxes: Arc<dyn Boxes>,
    /// The policy that chooses a backend server.
    pub balancer: Box<dyn Balancer>,
    /// The time for a request whose caller names none.
    pub default_deadline: Duration,
    /// The largest body of a request, in bytes.
    pub max_body: u64,
    /// The most callers' connections at once.
    pub max_connections: usize,
}

/// A gate process that runs.
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
    /// Starts the process's parts.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or the system has no room for threads.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let (name, hall, balancer) = (settings.name.clone(), settings.hall, settings.balancer);
        let host = ActorThread::start("gate", move |_, _| Gate::new(name, hall, balancer))?;
        let gate = host.actor_ref().clone();
        let ready = Readiness::new();
        let shared = Shared {
            gate: gate.clone(),
            client: backend_client(),
            default_deadline: settings.default_deadline,
            max_body: settings.max_body,
            in_flight: InFlight::default(),
            closing: Arc::default(),
        };
        let server = open_ops(settings.ops, settings.token.clone(), &gate, &ready)?;
        let bounds = Bounds {
            connections: settings.max_connections,
            io_timeout: CALLER_TIMEOUT,
        };
        let task_shared = shared.clone();
        let callers = public_server::open(settings.listen, bounds, move |request| {
            forward::handle(&task_shared, request)
        })?;
        let on_list = gate.clone();
        let changed = Box::new(move |list: &Arc<List>| {
            let list = list.clone();
            on_list.tell(move |gate, cx| gate.set_list(&list, cx.now()));
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

    /// The base address of the callers' port.
    pub fn url(&self) -> String {
        format!("http://{}", self.callers)
    }

    /// The base address of the operators' port.
    pub fn ops_url(&self) -> String {
        self.server.url()
    }

    /// The actor, for embedders and tests.
    pub fn actor_ref(&self) -> &ActorRef<Gate> {
        &self.shared.gate
    }

    /// The version of the table in force.
    ///
    /// # Errors
    ///
    /// The process is stopping.
    pub fn table_version(&self) -> Result<u64, Failure> {
        self.shared.gate.ask(|gate, _| gate.table_version())
    }

    /// Stops: not ready first, while requests are still served, so that the balancer sends no
    /// more; then new ones are error_body "not run", and what is in flight ends, up to the deadline.
    /// True when all of it did.
    ///
    /// The callers' port stays open until the process ends.
    pub fn stop(&mut self, linger: Duration, most: Duration) -> bool {
        self.ready.set(false);
        let wait = Signal::new();
        wait.wait(linger);
        self.shared.closing.store(true, Ordering::Release);
        let end = Instant::now() + most;
        while self.shared.in_flight.count() > 0 && Instant::now() < end {
            wait.wait(STOP_POLL_INTERVAL);
        }
        let whole = self.shared.in_flight.count() == 0;
        self.follower.stop();
        self.server.close();
        self.host.stop();
        whole
    }
}

/// A client that keeps within the connections of a backend server.
fn backend_client() -> Client {
    let limits = PoolLimits {
        max_idle: 2048,
        per_host: share::SLOTS_PER_SERVER as usize,
        idle_timeout: Duration::from_secs(10),
    };
    Client::with_limits(None, limits)
}

fn open_ops(
    address: SocketAddr,
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
    Server::open(address, OPS_CONCURRENCY, token, Arc::new(handler))
}
