//! Stand-in for the workers: many of them behind one HTTP server, each under its own path.

use {
    crate::{
        auditor::Auditor,
        clock::Clock,
        http_server::{self, ServerRequest, ServerResponse},
        ledger::{Faults, Ledger},
    },
    infra::{
        Size,
        worker::{self, Order, Report, Workers},
    },
    kernel::{
        Failure, Reply,
        sync::lock,
        task::{self, Signal},
        verdict::Cause,
    },
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, RwLock},
        thread::JoinHandle,
        time::Duration,
    },
};

/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 16_384;

/// Interval at which all workers advance to the current time.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

type Ledgers = BTreeMap<Arc<str>, Mutex<Ledger>>;

/// The workers, without an HTTP server. Its [`Workers`] implementation takes names instead of
/// URLs.
#[derive(Clone)]
pub struct WorkerSet {
    ledgers: Arc<RwLock<Ledgers>>,
    clock: Clock,
    auditor: Auditor,
}

impl WorkerSet {
    /// Creates a set without workers.
    pub fn new(clock: Clock, auditor: Auditor) -> Self {
        WorkerSet {
            ledgers: Arc::default(),
            clock,
            auditor,
        }
    }

    /// Adds a worker.
    pub fn add(&self, name: &Arc<str>, size: Size) {
        let boot = 1 + self.clock.now();
        let ledger = Ledger::new(
            name.clone(),
            boot,
            size,
            self.clock.clone(),
            self.auditor.clone(),
        );
        if let Ok(mut ledgers) = self.ledgers.write() {
            ledgers.insert(name.clone(), Mutex::new(ledger));
        }
    }

    /// Runs a closure on the ledger of a worker. Returns `None` if there is no such worker.
    pub fn with<R>(&self, name: &str, run: impl FnOnce(&mut Ledger) -> R) -> Option<R> {
        let ledgers = self.ledgers.read().ok()?;
        let mut ledger = lock(ledgers.get(name)?);
        Some(run(&mut ledger))
    }

    /// Advances all workers to the current time.
    pub fn advance(&self) {
        let Ok(ledgers) = self.ledgers.read() else {
            return;
        };
        for ledger in ledgers.values() {
            lock(ledger).advance();
        }
    }

    /// Opens the HTTP server; workers are under `/w/NAME`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn open(&self, address: SocketAddr) -> io::Result<Server> {
        let worker_set = self.clone();
        let url = http_server::open(address, MAX_CONNECTIONS, move |request| {
            handle(&worker_set, &request)
        })?;
        let signal = Signal::new();
        let (worker_set, stop_signal) = (self.clone(), signal.clone());
        let ticker = task::spawn("workers-tick", move || {
            while !stop_signal.is_stopped() {
                worker_set.advance();
                stop_signal.wait(TICK_INTERVAL);
            }
        })?;
        Ok(Server {
            url,
            signal,
            ticker: Some(ticker),
        })
    }
}

impl Workers for WorkerSet {
    fn exchange(&self, base: &str, order: &Order) -> Result<Report, Failure> {
        let broken = || Failure::may_have_run(Cause::Broken, "the worker broke off");
        let outcome = self.with(base, |ledger| {
            if ledger.faults.cut {
                return Err(broken());
            }
            let report = ledger.exchange(order);
            if ledger.faults.lost > 0 {
                ledger.faults.lost -= 1;
                return Err(broken());
            }
            report
        });
        let unknown = || Failure::not_run(Cause::Unreachable, format!("no worker {base}"));
        outcome.unwrap_or_else(|| Err(unknown()))
    }
}

/// HTTP server of the workers.
pub struct Server {
    url: String,
    signal: Signal,
    ticker: Option<JoinHandle<()>>,
}

impl Server {
    /// Returns the base URL of a worker.
    pub fn url(&self, name: &str) -> String {
        format!("{}/w/{name}", self.url)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.signal.stop();
        if let Some(thread) = self.ticker.take() {
            let _ = thread.join();
        }
    }
}

fn handle(worker_set: &WorkerSet, request: &ServerRequest) -> ServerResponse {
    let path = request.path.strip_prefix("/w/");
    let Some((name, action)) = path.and_then(|rest| rest.split_once('/')) else {
        return Reply::text(404, "no such path\n").into();
    };
    match action {
        "exchange" => exchange(worker_set, name, request),
        "faults" => set_faults(worker_set, name, request).into(),
        "reboot" => {
            worker_set.with(name, Ledger::reboot);
            Reply::text(200, "rebooted\n").into()
        }
        _ => Reply::text(404, "no such path\n").into(),
    }
}

fn set_faults(worker_set: &WorkerSet, name: &str, request: &ServerRequest) -> Reply {
    let faults = match serde_json::from_slice::<Faults>(&request.body) {
        Ok(faults) => faults,
        Err(e) => return Reply::text(400, e.to_string()),
    };
    match worker_set.with(name, |ledger| ledger.faults = faults) {
        Some(()) => Reply::text(200, "set\n"),
        None => Reply::text(404, "no such worker\n"),
    }
}

fn exchange(worker_set: &WorkerSet, name: &str, request: &ServerRequest) -> ServerResponse {
    let order: Order = match serde_json::from_slice(&request.body) {
        Ok(order) => order,
        Err(e) => return Reply::text(400, e.to_string()).into(),
    };
    let failure = match worker_set.exchange(name, &order) {
        Ok(report) => {
            let body = serde_json::to_vec(&report).unwrap_or_default();
            return Reply::bytes(200, "application/json", body).into();
        }
        Err(failure) => failure,
    };
    match failure.cause {
        Cause::Conflict => Reply::text(worker::FENCED_STATUS, failure.text).into(),
        Cause::Refused => Reply::text(worker::STALE_STATUS, failure.text).into(),
        Cause::Unreachable => Reply::text(404, "no such worker\n").into(),
        _ => ServerResponse::Disconnect,
    }
}
