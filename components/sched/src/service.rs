//! A scheduler process: the server, the actor and the background tasks.

use {
    crate::{
        actor::{Scheduler, Shared, Target},
        api::Port,
        claim,
        directory::Summary,
        message::{Exchange, Takeover},
    },
    infra::{Store, boxes::Boxes, worker::Workers},
    kernel::{
        ActorThread, Client, Failure, Server,
        client::PoolLimits,
        ops::Readiness,
        resources::{PortKind, Resources},
        server::{Bounds, Service as Handlers},
        task::{self, Signal},
        token::Token,
    },
    lease::LeaseTiming,
    members::watcher::BoxWatcher,
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    table::Follower,
};

/// Number of concurrent requests of the server.
const CONCURRENCY: usize = 16;

/// Interval between reads of the list of boxes.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between checks for cells to take over.
const CLAIM_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between health checks of owners.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Interval per known cell between two exchanges of all summaries with a random box, so that the
/// bytes per second do not grow with the number of cells.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Time-out of one exchange of summaries.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum wait at shutdown for unpersisted changes to be written.
const MAX_FLUSH_WAIT: Duration = Duration::from_secs(3);

/// The settings and clients of a scheduler process.
pub struct Settings {
    /// Name of this box, as in the platform's list.
    pub name: Arc<str>,
    /// Listen address of the server.
    pub listen: SocketAddr,
    /// Memory and file descriptors of the process.
    pub resources: Resources,
    /// Base URL advertised to other boxes; `None` for that of the server.
    pub url: Option<Arc<str>>,
    /// Shared secret of the internal servers.
    pub token: Option<Token>,
    /// The store client.
    pub store: Arc<dyn Store>,
    /// The source of the list of boxes.
    pub boxes: Arc<dyn Boxes>,
    /// The client for calls to workers.
    pub workers: Arc<dyn Workers>,
    /// Lease duration and clock drift.
    pub timing: LeaseTiming,
    /// Interval between exchanges with a worker when nothing is due.
    pub heartbeat: Duration,
    /// Name of the placement policy.
    pub placement: Arc<str>,
}

/// Creates a client for exchanges with workers. Its pool keeps a connection to each worker of a few
/// cells.
pub fn worker_client() -> Client {
    let limits = PoolLimits {
        max_idle: 4096,
        per_host: 16,
        idle_timeout: Duration::from_secs(30),
    };
    Client::with_limits(None, limits)
}

/// A running scheduler process.
pub struct Service {
    tasks: Tasks,
    server: Server,
    ready: Readiness,
    actor_thread: ActorThread<Scheduler>,
    _watcher: BoxWatcher,
    follower: Follower,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Clone)]
struct Tasks {
    shared: Shared,
    actor: kernel::ActorRef<Scheduler>,
    client: Client,
    signal: Signal,
}

impl Service {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or a thread cannot be spawned.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let client = Client::new(settings.token.clone());
        let ready = Readiness::new();
        // The server is bound before the actor starts, since the actor advertises its address.
        let handler_port: Arc<std::sync::OnceLock<Port>> = Arc::default();
        let port = handler_port.clone();
        let handler = Arc::new(move |request: kernel::Request| match port.get() {
            Some(port) => port.handle(request),
            None => request.respond(kernel::Reply::text(503, "starting\n")),
        });
        let handlers = Handlers::blocking(CONCURRENCY, handler);
        let bounds = Bounds::new(&settings.resources, PortKind::Internal);
        let server = Server::open_with_bounds(settings.listen, bounds, settings.token, handlers)?;
        let url = settings.url.unwrap_or_else(|| Arc::from(server.url()));
        let shared = Shared {
            name: settings.name.clone(),
            url,
            workers: settings.workers,
            store: settings.store,
            timing: settings.timing,
            heartbeat: settings.heartbeat,
            placement: settings.placement,
        };
        let actor_shared = shared.clone();
        let actor_thread = ActorThread::start("sched", move |cx, actor| {
            Scheduler::new(cx, actor_shared, actor)
        })?;
        let actor = actor_thread.actor_ref().clone();
        let port = Port {
            actor: actor.clone(),
            client: client.clone(),
            ready: ready.clone(),
        };
        let _ = handler_port.set(port);
        let on_list = actor.clone();
        let changed = Box::new(move |list: &Arc<infra::List>| {
            let list = list.clone();
            on_list.tell(move |sched, cx| sched.set_list(cx, list));
        });
        let watcher = BoxWatcher::start(settings.boxes, LIST_INTERVAL, changed)?;
        let on_table = actor.clone();
        let follower = Follower::start(
            settings.name,
            watcher.view().clone(),
            client.clone(),
            Box::new(move |table| {
                on_table.tell(move |sched, cx| sched.set_table(cx, table));
            }),
        )?;
        let tasks = Tasks {
            shared,
            actor,
            client,
            signal: Signal::new(),
        };
        let threads = tasks.start()?;
        ready.set(true);
        Ok(Service {
            tasks,
            server,
            ready,
            actor_thread,
            _watcher: watcher,
            follower,
            threads,
        })
    }

    /// Returns the base URL of the server.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the actor, for embedding and for tests.
    pub fn actor_ref(&self) -> &kernel::ActorRef<Scheduler> {
        &self.tasks.actor
    }

    /// Stops gracefully: reports as not ready, stops placing tasks, persists the cells and hands
    /// them over. Tasks keep running on the workers.
    pub fn stop(&mut self) {
        self.ready.set(false);
        self.tasks.hand_over();
        self.shut_down();
    }

    /// Stops without handing over the cells, as after a crash.
    pub fn kill(&mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.ready.set(false);
        self.tasks.signal.stop();
        let _ = self.tasks.actor.ask(|sched, _| {
            for cell in sched.begin_stop() {
                sched.end_ownership(&cell, "the process is stopping");
            }
        });
        self.follower.stop();
        self.server.close();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.actor_thread.stop();
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.shut_down();
    }
}

impl Tasks {
    fn start(&self) -> io::Result<Vec<JoinHandle<()>>> {
        let claims = self.clone();
        let watch = self.clone();
        let exchange = self.clone();
        Ok(vec![
            task::spawn("sched-claim", move || claims.claim())?,
            task::spawn("sched-watch", move || watch.watch())?,
            task::spawn("sched-exchange", move || exchange.exchange())?,
        ])
    }

    /// Takes over the cells assigned to this box.
    fn claim(&self) {
        let mut failures = 0;
        while !self.signal.is_stopped() {
            let claims = self
                .actor
                .ask(|sched, cx| sched.cells_to_claim(cx.now()))
                .unwrap_or_default();
            let mut failed = false;
            for cell in claims {
                let me = (&self.shared.name, &self.shared.url);
                if let Err(failure) =
                    claim::take_over(&self.actor, self.shared.store.as_ref(), me, &cell)
                {
                    failed = true;
                    if failures == 0 {
                        log::warn!(target: "sched", "Takeover failed. cell={cell} {failure}");
                    }
                }
            }
            failures = if failed { failures + 1 } else { 0 };
            let max_backoff = Duration::from_secs(3);
            let jitter = fastrand::f64();
            self.signal.wait(infra::budget::backoff(
                CLAIM_INTERVAL,
                max_backoff,
                failures,
                jitter,
            ));
        }
    }

    /// Checks the health of the owners whose successor this box is.
    fn watch(&self) {
        while !self.signal.is_stopped() {
            let targets = self
                .actor
                .ask(|sched, cx| sched.watch_targets(cx.now()))
                .unwrap_or_default();
            for target in targets {
                self.call(&target);
            }
            self.signal.wait(WATCH_INTERVAL);
        }
    }

    /// Exchanges all summaries with a random box, so that every box learns the owner of every cell.
    fn exchange(&self) {
        while !self.signal.is_stopped() {
            let others = self
                .actor
                .ask(|sched, _| sched.exchange_targets())
                .unwrap_or_default();
            if let Some(target) = fastrand::choice(&others) {
                self.call(target);
            }
            let cells = self.actor.ask(|sched, _| sched.summaries(None).len());
            let cells = cells.unwrap_or(1).max(1) as u32;
            self.signal.wait(EXCHANGE_INTERVAL * cells);
        }
    }

    fn call(&self, target: &Target) {
        let want = target.cell.clone();
        let known = self
            .actor
            .ask(move |sched, _| sched.summaries(want.as_deref()));
        let Ok(summaries) = known else { return };
        let message = Exchange {
            want: target.cell.clone(),
            summaries,
        };
        let address = format!("{}/cells/exchange", target.url);
        let result: Result<Vec<Summary>, Failure> =
            self.client.post(&address, &message, EXCHANGE_TIMEOUT);
        let name = target.name.clone();
        self.actor.tell(move |sched, cx| {
            sched.record_call(&name, result.is_ok(), cx.now());
            if let Ok(summaries) = result {
                sched.merge(summaries, cx.now());
            }
        });
    }

    /// Waits for unpersisted changes to be written, and asks the successors to take over the cells.
    fn hand_over(&self) {
        let cells = self
            .actor
            .ask(|sched, _| sched.begin_stop())
            .unwrap_or_default();
        let end = Instant::now() + MAX_FLUSH_WAIT;
        let wait = Signal::new();
        while Instant::now() < end && !self.actor.ask(|s, _| s.is_flushed()).unwrap_or(true) {
            wait.wait(Duration::from_millis(20));
        }
        for cell in cells {
            let owned_cell = cell.clone();
            let successor = self
                .actor
                .ask(move |sched, cx| sched.successor(&owned_cell, cx.now()));
            let Ok(Some(target)) = successor else {
                continue;
            };
            let message = Takeover { cell };
            let address = format!("{}/cells/takeover", target.url);
            let result: Result<(), Failure> =
                self.client.post(&address, &message, EXCHANGE_TIMEOUT);
            if let Err(failure) = result {
                log::warn!(target: "sched", "Handover of a cell failed. {failure}");
            }
        }
    }
}
