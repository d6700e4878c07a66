//! The table process: starts and stops its port, its actor and its background threads, and
//! handles requests.

use {
    crate::{
        accept,
        actor::TableActor,
        message::{Compare, Current, Outcome, Submit, Update, Watch},
        replication::{self, Shared},
    },
    infra::{Store, boxes::Boxes},
    kernel::{
        ActorThread, Client, Failure, Reply, Request, Server,
        ops::{self, Readiness},
        resources::{PortKind, Resources},
        server::{Bounds, Service as Handlers},
        sync::lock,
        task::{self, Signal},
        token::Token,
        verdict::Cause,
    },
    members::watcher::BoxWatcher,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Concurrent requests on the port. An edit occupies one until the store responds.
const CONCURRENCY: usize = 8;

/// Maximum number of running and waiting edits, so that the port can handle other requests.
const MAX_PENDING_EDITS: usize = 4;

/// Interval between reads of the list of boxes.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of a table process.
pub struct Settings {
    /// Name of this box in the platform's list of boxes.
    pub name: Arc<str>,
    /// Address of the port.
    pub listen: SocketAddr,
    /// Memory and file descriptors of the process.
    pub resources: Resources,
    /// Token for requests on the internal ports.
    pub token: Option<Token>,
    /// Store that holds the table.
    pub store: Arc<dyn Store>,
    /// Source of the list of boxes.
    pub boxes: Arc<dyn Boxes>,
}

/// A running table process.
pub struct Service {
    shared: Shared,
    server: Server,
    ready: Readiness,
    host: ActorThread<TableActor>,
    _watcher: BoxWatcher,
}

impl Service {
    /// Starts the actor, the port and the background threads.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or a thread cannot be started.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let host = ActorThread::start("table", |cx, _| TableActor::new(cx))?;
        let watcher = BoxWatcher::start(settings.boxes, LIST_INTERVAL, Box::new(|_| {}))?;
        let shared = Shared {
            name: settings.name,
            actor: host.actor_ref().clone(),
            store: settings.store,
            view: watcher.view().clone(),
            client: Client::new(settings.token.clone()),
            signal: Signal::new(),
        };
        let ready = Readiness::new();
        let port = Port {
            shared: shared.clone(),
            ready: ready.clone(),
            edit_lock: Mutex::new(()),
            pending_edits: AtomicUsize::new(0),
        };
        let handler = Arc::new(move |request| port.handle(request));
        let handlers = Handlers::blocking(CONCURRENCY, handler);
        let bounds = Bounds::new(&settings.resources, PortKind::Internal);
        let server = Server::open_with_bounds(settings.listen, bounds, settings.token, handlers)?;
        // `stop` does not join these threads: one may be in a long watch of the store, and it ends
        // after the watch without any effect.
        let task_shared = shared.clone();
        task::spawn("table-watch", move || {
            replication::run_store_watch(&task_shared)
        })?;
        let task_shared = shared.clone();
        task::spawn("table-compare", move || {
            replication::run_comparisons(&task_shared)
        })?;
        ready.set(true);
        Ok(Service {
            shared,
            server,
            ready,
            host,
            _watcher: watcher,
        })
    }

    /// Base URL of the port.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Version of the current table; 0 for an empty one.
    ///
    /// # Errors
    ///
    /// `Stopping` if the actor has stopped.
    pub fn version(&self) -> Result<u64, Failure> {
        self.shared
            .actor
            .ask(|actor, _| actor.stored().table.version)
    }

    /// Shuts the process down. It reports not ready first, then completes in-flight requests.
    pub fn stop(&mut self) {
        self.ready.set(false);
        self.shared.signal.stop();
        self.server.close();
        self.host.stop();
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Port {
    shared: Shared,
    ready: Readiness,
    /// Serializes the edits of this process.
    edit_lock: Mutex<()>,
    /// Number of running and waiting edits.
    pending_edits: AtomicUsize,
}

impl Port {
    fn handle(&self, request: Request) {
        let is_loaded = || self.shared.actor.ask(|actor, _| actor.is_loaded());
        let ready = || self.ready.get() && is_loaded().unwrap_or(false);
        let Some(request) = ops::route(request, ready) else {
            return;
        };
        let path = request.path.clone();
        match path.as_str() {
            "/table/watch" => self.watch(request),
            "/table/current" => request.respond(Reply::message(&self.current())),
            "/table/edit" => {
                let outcome = request.message().and_then(|submit| self.edit(&submit));
                request.respond(Reply::message(&outcome));
            }
            "/table/push" => {
                let version = request.message().and_then(|update| self.push(update));
                request.respond(Reply::message(&version));
            }
            "/table/compare" => {
                let compared = request.message().and_then(|theirs: Compare| {
                    self.shared
                        .actor
                        .ask(move |actor, _| actor.compare(theirs.version))
                });
                request.respond(Reply::message(&compared));
            }
            _ => request.respond(Reply::text(404, "no such path\n")),
        }
    }

    fn watch(&self, request: Request) {
        let watch: Watch = match request.message() {
            Ok(watch) => watch,
            Err(failure) => return request.respond(Reply::failure(&failure)),
        };
        let wait = Duration::from_millis(watch.wait.min(60_000));
        self.shared.actor.tell(move |actor, _| {
            actor.watch(watch.after, wait, Instant::now(), request);
        });
    }

    fn current(&self) -> Result<Current, Failure> {
        let stored = self.shared.actor.ask(|actor, _| actor.stored().clone())?;
        let history = stored.history.iter().cloned().collect();
        Ok(Current {
            table: Arc::new(stored.table.clone()),
            history,
        })
    }

    fn push(&self, update: Update) -> Result<u64, Failure> {
        self.shared.actor.ask(move |actor, _| {
            // If the changes do not follow the current version, the next comparison fetches the
            // missing ones.
            actor.apply_update(update);
            actor.stored().table.version
        })
    }

    /// Makes an edit unless too many are pending. While the store does not respond, pending edits
    /// would otherwise occupy the port, which followers and other boxes need.
    fn edit(&self, submit: &Submit) -> Result<Outcome, Failure> {
        let before = self.pending_edits.fetch_add(1, Ordering::AcqRel);
        let outcome = if before < MAX_PENDING_EDITS {
            self.edit_locked(submit)
        } else {
            let text = "too many edits wait for the store; try again";
            Err(Failure::not_run(Cause::Busy, text))
        };
        self.pending_edits.fetch_sub(1, Ordering::AcqRel);
        outcome
    }

    fn edit_locked(&self, submit: &Submit) -> Result<Outcome, Failure> {
        let _guard = lock(&self.edit_lock);
        let started = Instant::now();
        let result = accept::accept(self.shared.store.as_ref(), &submit.edit);
        let (outcome, stored) = match result {
            Ok(accepted) => accepted,
            Err(failure) => {
                log::warn!(target: "table", "An edit failed. {failure}");
                return Err(failure);
            }
        };
        metrics::histogram!("magpie_table_edit_seconds").record(started.elapsed().as_secs_f64());
        if let Some(stored) = stored {
            let before = self
                .shared
                .actor
                .ask(|actor, _| actor.stored().table.version)?;
            self.shared
                .actor
                .ask(move |actor, _| actor.install(stored))?;
            replication::push_all(&self.shared, before);
        }
        Ok(outcome)
    }
}
