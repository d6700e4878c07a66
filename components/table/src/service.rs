//! A whole table process: the port, the actor and the tasks.

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

/// Tasks that serve the port; an edit holds one while the store answers.
const CONCURRENCY: usize = 8;

/// Edits that are made or wait at once; the other tasks stay free.
const MAX_PENDING_EDITS: usize = 4;

/// How often the list of boxes is read.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// What a table process needs to start.
pub struct Settings {
    /// The box's name, as in the platform's list.
    pub name: Arc<str>,
    /// The address of the port.
    pub listen: SocketAddr,
    /// The secret of the internal ports.
    pub token: Option<Token>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The list of boxes.
    pub boxes: Arc<dyn Boxes>,
}

/// A table process that runs.
pub struct Service {
    shared: Shared,
    server: Server,
    ready: Readiness,
    host: ActorThread<TableActor>,
    _watcher: BoxWatcher,
}

impl Service {
    /// Starts the process's parts.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the system has no room for threads.
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
        let server = Server::open(settings.listen, CONCURRENCY, settings.token, handler)?;
        // A stop does not wait for these two: one may be in a long watch of the store, and ends
        // after it without any effect.
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

    /// The base address of the port.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// The version of the table in force.
    ///
    /// # Errors
    ///
    /// The process is stopping.
    pub fn version(&self) -> Result<u64, Failure> {
        self.shared
            .actor
            .ask(|actor, _| actor.stored().table.version)
    }

    /// Stops: not ready first, then what is in flight ends.
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
    /// Edits of one process go one after another.
    edit_lock: Mutex<()>,
    /// Edits that are made or wait.
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
            // What does not join on is taken whole at the next comparison.
            actor.apply_update(update);
            actor.stored().table.version
        })
    }

    /// Makes an edit, unless too many wait: while the store hangs they would take up the port,
    /// which followers and other boxes need.
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
        let _one = lock(&self.edit_lock);
        let started = Instant::now();
        let edited = accept::accept(self.shared.store.as_ref(), &submit.edit);
        let (outcome, stored) = match edited {
            Ok(edited) => edited,
            Err(failure) => {
                log::warn!(target: "table", "An edit was not brought in. {failure}");
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
