//! A whole table process: the port, the actor and the tasks.

use {
    crate::{
        accept,
        keeper::Keeper,
        message::{Compare, Current, Outcome, Submit, Update, Watch},
        spread::{self, Shared},
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
const TASKS: usize = 8;

/// Edits that are made or wait at once; the other tasks stay free.
const MAX_EDITORS: usize = 4;

/// How often the list of boxes is read.
const LIST_EVERY: Duration = Duration::from_millis(500);

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
    host: ActorThread<Keeper>,
    _roster: BoxWatcher,
}

impl Service {
    /// Starts the process's parts.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the system has no room for threads.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let host = ActorThread::start("table", |cx, _| Keeper::new(cx))?;
        let roster = BoxWatcher::start(settings.boxes, LIST_EVERY, Box::new(|_| {}))?;
        let shared = Shared {
            name: settings.name,
            keeper: host.actor_ref().clone(),
            store: settings.store,
            view: roster.view().clone(),
            client: Client::new(settings.token.clone()),
            signal: Signal::new(),
        };
        let ready = Readiness::new();
        let port = Port {
            shared: shared.clone(),
            ready: ready.clone(),
            editing: Mutex::new(()),
            editors: AtomicUsize::new(0),
        };
        let handler = Arc::new(move |request| port.handle(request));
        let server = Server::open(settings.listen, TASKS, settings.token, handler)?;
        // A stop does not wait for these two: one may be in a long watch of the store, and ends
        // after it without any effect.
        let theirs = shared.clone();
        task::spawn("table-watch", move || spread::watch_task(&theirs))?;
        let theirs = shared.clone();
        task::spawn("table-compare", move || spread::compare_task(&theirs))?;
        ready.set(true);
        Ok(Service {
            shared,
            server,
            ready,
            host,
            _roster: roster,
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
            .keeper
            .ask(|keeper, _| keeper.book().table.version)
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
    editing: Mutex<()>,
    /// Edits that are made or wait.
    editors: AtomicUsize,
}

impl Port {
    fn handle(&self, request: Request) {
        let known = || self.shared.keeper.ask(|keeper, _| keeper.known());
        let ready = || self.ready.get() && known().unwrap_or(false);
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
                        .keeper
                        .ask(move |keeper, _| keeper.compare(theirs.version))
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
        self.shared.keeper.tell(move |keeper, _| {
            keeper.watch(watch.after, wait, Instant::now(), request);
        });
    }

    fn current(&self) -> Result<Current, Failure> {
        let book = self.shared.keeper.ask(|keeper, _| keeper.book().clone())?;
        let history = book.history.iter().cloned().collect();
        Ok(Current {
            table: Arc::new(book.table.clone()),
            history,
        })
    }

    fn push(&self, update: Update) -> Result<u64, Failure> {
        self.shared.keeper.ask(move |keeper, _| {
            // What does not join on is taken whole at the next comparison.
            keeper.update(update);
            keeper.book().table.version
        })
    }

    /// Makes an edit, unless too many wait: while the store hangs they would take up the port,
    /// which followers and other boxes need.
    fn edit(&self, submit: &Submit) -> Result<Outcome, Failure> {
        let before = self.editors.fetch_add(1, Ordering::AcqRel);
        let outcome = if before < MAX_EDITORS {
            self.edit_next(submit)
        } else {
            let text = "too many edits wait for the store; try again";
            Err(Failure::not_run(Cause::Busy, text))
        };
        self.editors.fetch_sub(1, Ordering::AcqRel);
        outcome
    }

    fn edit_next(&self, submit: &Submit) -> Result<Outcome, Failure> {
        let _one = lock(&self.editing);
        let started = Instant::now();
        let edited = accept::accept(self.shared.store.as_ref(), &submit.edit);
        let (outcome, book) = match edited {
            Ok(edited) => edited,
            Err(failure) => {
                log::warn!(target: "table", "An edit was not brought in. {failure}");
                return Err(failure);
            }
        };
        metrics::histogram!("magpie_table_edit_seconds").record(started.elapsed().as_secs_f64());
        if let Some(book) = book {
            let before = self
                .shared
                .keeper
                .ask(|keeper, _| keeper.book().table.version)?;
            self.shared
                .keeper
                .ask(move |keeper, _| keeper.install(book))?;
            spread::push_all(&self.shared, before);
        }
        Ok(outcome)
    }
}
