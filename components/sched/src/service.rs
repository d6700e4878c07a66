//! A whole scheduler process: the port, the actor and the tasks.

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
        task::{self, Signal},
        token::Token,
    },
    lease::Term,
    members::roster::Roster,
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    table::Follower,
};

/// Tasks that serve the port.
const CONCURRENCY: usize = 16;

/// How often the list of boxes is read.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// How often cells to be taken over are looked for.
const CLAIM_INTERVAL: Duration = Duration::from_millis(100);

/// How often owners are watched over.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);

/// The time between two exchanges of all summaries with a random box, for each cell, so that their
/// bytes a second do not grow with the cells.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// The time for one exchange of summaries.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a stop waits for books to be written.
const MAX_FLUSH_WAIT: Duration = Duration::from_secs(3);

/// What a scheduler process needs to start.
pub struct Settings {
    /// The box's name, as in the platform's list.
    pub name: Arc<str>,
    /// The address of the port.
    pub listen: SocketAddr,
    /// The base address that others reach it by; `None` for that of the port.
    pub url: Option<Arc<str>>,
    /// The secret of the internal ports.
    pub token: Option<Token>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The list of boxes.
    pub boxes: Arc<dyn Boxes>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// The terms of the leases.
    pub timing: Term,
    /// How often a worker is exchanged with when nothing is due.
    pub heartbeat: Duration,
    /// The name of the placement policy.
    pub placement: Arc<str>,
}

/// A client for exchanges with workers: it keeps a connection to each of a few cells' workers.
pub fn worker_client() -> Client {
    let limits = PoolLimits {
        max_idle: 4096,
        per_host: 16,
        idle_timeout: Duration::from_secs(30),
    };
    Client::with_limits(None, limits)
}

/// A scheduler process that runs.
pub struct Service {
    tasks: Tasks,
    server: Server,
    ready: Readiness,
    actor: ActorThread<Scheduler>,
    _roster: Roster,
    follower: Follower,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Clone)]
struct Tasks {
    shared: Shared,
    remote: kernel::ActorRef<Scheduler>,
    client: Client,
    signal: Signal,
}

impl Service {
    /// Starts the process's parts.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the system has no room for threads.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let client = Client::new(settings.token.clone());
        let ready = Readiness::new();
        // The port is bound before the actor starts, since the actor tells others its address.
        let late: Arc<std::sync::OnceLock<Port>> = Arc::default();
        let port = late.clone();
        let handler = Arc::new(move |request: kernel::Request| match port.get() {
            Some(port) => port.handle(request),
            None => request.respond(kernel::Reply::text(503, "starting\n")),
        });
        let server = Server::open(settings.listen, CONCURRENCY, settings.token, handler)?;
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
        let theirs = shared.clone();
        let host = ActorThread::start("sched", move |cx, remote| {
            Scheduler::new(cx, theirs, remote)
        })?;
        let remote = host.actor_ref().clone();
        let port = Port {
            remote: remote.clone(),
            client: client.clone(),
            ready: ready.clone(),
        };
        let _ = late.set(port);
        let on_list = remote.clone();
        let changed = Box::new(move |list: &Arc<infra::List>| {
            let list = list.clone();
            on_list.tell(move |sched, cx| sched.set_list(cx, list));
        });
        let roster = Roster::start(settings.boxes, LIST_INTERVAL, changed)?;
        let on_table = remote.clone();
        let follower = Follower::start(
            settings.name,
            roster.view().clone(),
            client.clone(),
            Box::new(move |table| {
                on_table.tell(move |sched, cx| sched.set_table(cx, table));
            }),
        )?;
        let tasks = Tasks {
            shared,
            remote,
            client,
            signal: Signal::new(),
        };
        let threads = tasks.start()?;
        ready.set(true);
        Ok(Service {
            tasks,
            server,
            ready,
            actor: host,
            _roster: roster,
            follower,
            threads,
        })
    }

    /// The base address of the port.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// The actor, for embedders and tests.
    pub fn remote(&self) -> &kernel::ActorRef<Scheduler> {
        &self.tasks.remote
    }

    /// Stops: not ready first, nothing more is placed, books are written, cells are handed over.
    /// Tasks go on running at the workers.
    pub fn stop(&mut self) {
        self.ready.set(false);
        self.tasks.hand_over();
        self.shut_down();
    }

    /// Stops without handing anything over, as if the process had been killed.
    pub fn kill(&mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.ready.set(false);
        self.tasks.signal.stop();
        let _ = self.tasks.remote.ask(|sched, _| {
            for cell in sched.begin_stop() {
                sched.end_ownership(&cell, "the process stops");
            }
        });
        self.follower.stop();
        self.server.close();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.actor.stop();
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

    /// Takes cells over that this box is to own.
    fn claim(&self) {
        let mut failures = 0;
        while !self.signal.is_stopped() {
            let claims = self
                .remote
                .ask(|sched, cx| sched.cells_to_claim(cx.now()))
                .unwrap_or_default();
            let mut failed = false;
            for cell in claims {
                let me = (&self.shared.name, &self.shared.url);
                if let Err(failure) =
                    claim::take_over(&self.remote, self.shared.store.as_ref(), me, &cell)
                {
                    failed = true;
                    if failures == 0 {
                        log::warn!(target: "sched", "A takeover failed. cell={cell} {failure}");
                    }
                }
            }
            failures = if failed { failures + 1 } else { 0 };
            let most = Duration::from_secs(3);
            let jitter = fastrand::f64();
            self.signal.wait(infra::budget::backoff(
                CLAIM_INTERVAL,
                most,
                failures,
                jitter,
            ));
        }
    }

    /// Watches over the owners whose successor this box is.
    fn watch(&self) {
        while !self.signal.is_stopped() {
            let targets = self
                .remote
                .ask(|sched, cx| sched.watch_targets(cx.now()))
                .unwrap_or_default();
            for target in targets {
                self.call(&target);
            }
            self.signal.wait(WATCH_INTERVAL);
        }
    }

    /// Exchanges all summaries with a random box, so that every box knows every owner.
    fn exchange(&self) {
        while !self.signal.is_stopped() {
            let others = self
                .remote
                .ask(|sched, _| sched.exchange_targets())
                .unwrap_or_default();
            if let Some(target) = fastrand::choice(&others) {
                self.call(target);
            }
            let cells = self.remote.ask(|sched, _| sched.summaries(None).len());
            let cells = cells.unwrap_or(1).max(1) as u32;
            self.signal.wait(EXCHANGE_INTERVAL * cells);
        }
    }

    fn call(&self, target: &Target) {
        let want = target.cell.clone();
        let known = self
            .remote
            .ask(move |sched, _| sched.summaries(want.as_deref()));
        let Ok(summaries) = known else { return };
        let message = Exchange {
            want: target.cell.clone(),
            summaries,
        };
        let address = format!("{}/cells/exchange", target.url);
        let answer: Result<Vec<Summary>, Failure> =
            self.client.post(&address, &message, EXCHANGE_TIMEOUT);
        let name = target.name.clone();
        self.remote.tell(move |sched, cx| {
            sched.record_call(&name, answer.is_ok(), cx.now());
            if let Ok(summaries) = answer {
                sched.merge(summaries, cx.now());
            }
        });
    }

    /// Writes the books and asks the successors to take the cells over.
    fn hand_over(&self) {
        let cells = self
            .remote
            .ask(|sched, _| sched.begin_stop())
            .unwrap_or_default();
        let end = Instant::now() + MAX_FLUSH_WAIT;
        let wait = Signal::new();
        while Instant::now() < end && !self.remote.ask(|s, _| s.is_flushed()).unwrap_or(true) {
            wait.wait(Duration::from_millis(20));
        }
        for cell in cells {
            let asked = cell.clone();
            let successor = self
                .remote
                .ask(move |sched, cx| sched.successor(&asked, cx.now()));
            let Ok(Some(target)) = successor else {
                continue;
            };
            let message = Takeover { cell };
            let address = format!("{}/cells/takeover", target.url);
            let told: Result<(), Failure> = self.client.post(&address, &message, EXCHANGE_TIMEOUT);
            if let Err(failure) = told {
                log::warn!(target: "sched", "A cell could not be handed over. {failure}");
            }
        }
    }
}
