//! The actor that holds the state of a box, its start and shutdown, and the handle that the tasks
//! of the box share.

use {
    crate::{
        accept,
        admission::Admission,
        cancel, config,
        external::External,
        fence::HighestFence,
        heartbeat::Monitor,
        message::Owner,
        owner_watch,
        ownership::Ownership,
        peer,
        permits::Permits,
        relay,
        retry_after::RetryAfter,
        settings::{
            MAX_PROBE_PAUSE, RECOVERY_WAIT_MS, SLOW_PROBE_MS, STORE_RETRY_PAUSE, STORE_UNREACHABLE,
            Settings,
        },
        spec_text::SpecCache,
        store::{ApplyResult, Change, Item, Page, Store, WatchResult},
        time,
    },
    arc_swap::ArcSwapOption,
    job::Config,
    kernel::{
        ActorRef, ActorThread, Client, Failure,
        clock::ClockPair,
        sync::lock,
        task::{self, Signal},
    },
    std::{
        io,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// State that tasks read without a call to the actor.
#[derive(Default)]
pub struct Shared {
    /// The configuration in force.
    pub config: ArcSwapOption<Config>,
    /// The last known owner of the cell.
    pub owner: ArcSwapOption<Owner>,
    /// Time of the last answer of the store.
    last_answer: AtomicU64,
    /// The last call to the store failed.
    failing: AtomicBool,
    /// Time of the last failed call to the store.
    last_failure: AtomicU64,
    /// Wakes the relay task when another box has become the owner.
    pub(crate) owner_changed: Signal,
    /// The highest fence that this box has heard of, which it writes into accepted jobs.
    pub highest_fence: HighestFence,
    /// Fence under which this box owns the cell; 0 while it does not own it.
    owning: AtomicU64,
    /// Permits for the orders that this box sends as the owner.
    pub permits: Permits,
    /// The box is shutting down.
    stopping: AtomicBool,
    /// Start of the store probe in progress; 0 while there is none.
    probe_started: AtomicU64,
    /// When the configuration in force was last verified to be the newest; `None` before the first
    /// verification.
    config_verified: Mutex<Option<ClockPair>>,
    /// Store revision of the configuration that was read last.
    pub(crate) config_revision: AtomicU64,
    /// The `Retry-After` hint for refused callers.
    pub retry_after: RetryAfter,
    /// The last heartbeat of the owner.
    pub(crate) monitor: Monitor,
    /// The last figures of the owner about waiting work, and the jobs that callers submit.
    pub admission: Admission,
}

impl Shared {
    /// Records that the configuration in force was the newest one at `at`.
    pub(crate) fn mark_config_current(&self, at: ClockPair) {
        *lock(&self.config_verified) = Some(at);
    }

    /// Time since the configuration in force was last verified to be the newest; `None` before the
    /// first verification.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        lock(&self.config_verified).map(|mark| mark.at.elapsed())
    }

    /// True when this box was suspended after the configuration was last verified to be the newest.
    pub fn is_config_unverified(&self) -> bool {
        lock(&self.config_verified).is_some_and(ClockPair::was_suspended)
    }

    /// True when calls to the store fail and it has not answered for [`STORE_UNREACHABLE`]. Without
    /// a failed call, a missing answer may only mean that a watch is waiting.
    pub fn is_store_unreachable(&self) -> bool {
        if !self.is_store_failing() {
            return false;
        }
        let last_answer = self.last_answer.load(Ordering::Acquire);
        time::now().saturating_sub(last_answer) > STORE_UNREACHABLE.as_millis() as u64
    }

    /// True when a call to the store failed for any reason and none that was sent later has
    /// succeeded.
    pub fn is_store_failing(&self) -> bool {
        self.failing.load(Ordering::Acquire)
    }

    /// True when the probe in progress has taken longer than [`SLOW_PROBE_MS`], so that it will
    /// probably fail.
    pub fn is_probe_slow(&self) -> bool {
        let since = self.probe_started.load(Ordering::Acquire);
        since != 0 && time::now().saturating_sub(since) > SLOW_PROBE_MS
    }

    /// Checks whether the store answers.
    pub fn probe(&self, store: &dyn Store) -> Result<(), Failure> {
        self.probe_started
            .store(time::now().max(1), Ordering::Release);
        let result = store.probe();
        self.probe_started.store(0, Ordering::Release);
        result
    }

    /// True while this box owns the cell under this fence.
    pub fn is_owning(&self, fence: u64) -> bool {
        self.owning.load(Ordering::Acquire) == fence
    }

    /// True while this box owns the cell.
    pub fn is_owner(&self) -> bool {
        self.owning.load(Ordering::Acquire) != 0
    }

    /// Sets the fence under which this box owns the cell; 0 when it does not own it.
    pub(crate) fn set_owning(&self, fence: u64) {
        self.owning.store(fence, Ordering::Release);
    }

    /// True once the box is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// True when the store has not answered any call for `time`.
    pub(crate) fn is_store_silent(&self, time: Duration) -> bool {
        let last_answer = self.last_answer.load(Ordering::Acquire);
        time::now().saturating_sub(last_answer) >= time.as_millis() as u64
    }

    /// Probes a failing store with exponential backoff until it answers or the box shuts down.
    pub(crate) fn probe_until_recovered(&self, store: &dyn Store) {
        let mut pause = STORE_RETRY_PAUSE;
        loop {
            thread::sleep(pause);
            if !self.is_store_failing() || self.is_stopping() || self.probe(store).is_ok() {
                return;
            }
            pause = (pause * 2).min(MAX_PROBE_PAUSE);
        }
    }

    /// Waits until the store answers a call of another task, at most [`RECOVERY_WAIT_MS`].
    pub(crate) fn await_recovery(&self) {
        let started = time::now();
        loop {
            thread::sleep(STORE_RETRY_PAUSE);
            let is_over = time::now() > started + RECOVERY_WAIT_MS;
            if is_over || !self.is_store_failing() || self.is_stopping() {
                return;
            }
        }
    }

    /// Records the result of a call to the store. A call that was sent before another one failed
    /// does not show that the store is reachable again.
    fn record(&self, sent: u64, result: Result<(), &Failure>) {
        match result {
            Ok(()) => {
                self.last_answer.store(time::now(), Ordering::Release);
                let is_newer = sent >= self.last_failure.load(Ordering::Acquire);
                if is_newer && self.failing.swap(false, Ordering::AcqRel) {
                    log::info!(target: "store", "The store is reachable again.");
                }
            }
            Err(failure) => {
                metrics::counter!("magpie_store_failures_total").increment(1);
                self.last_failure.store(time::now(), Ordering::Release);
                if !self.failing.swap(true, Ordering::AcqRel) {
                    log::warn!(target: "store", error:% = failure; "A call to the store failed; the store is considered unavailable.");
                }
            }
        }
    }
}

/// Wraps the store and records the outcome of each call, so that the box knows whether the store is
/// reachable.
struct TrackedStore {
    inner: Arc<dyn Store>,
    shared: Arc<Shared>,
}

impl TrackedStore {
    fn record<T>(
        &self,
        call: &'static str,
        send: impl FnOnce(&dyn Store) -> Result<T, Failure>,
    ) -> Result<T, Failure> {
        metrics::counter!("magpie_store_calls_total", "call" => call).increment(1);
        let sent = time::now();
        let result = send(&*self.inner);
        self.shared.record(sent, result.as_ref().map(|_| ()));
        result
    }
}

impl Store for TrackedStore {
    fn get(&self, key: &str) -> Result<Option<Item>, Failure> {
        self.record("get", |store| store.get(key))
    }

    fn get_large(&self, key: &str) -> Result<Option<Item>, Failure> {
        self.record("get", |store| store.get_large(key))
    }

    fn get_stale(&self, key: &str) -> Result<Option<Item>, Failure> {
        self.record("get_stale", |store| store.get_stale(key))
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, Failure> {
        self.record("range", |store| store.range(prefix, after))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<WatchResult, Failure> {
        self.record("watch", |store| store.watch(prefix, after, wait))
    }

    fn apply(&self, change: &Change) -> Result<ApplyResult, Failure> {
        self.record("apply", |store| store.apply(change))
    }

    fn probe(&self) -> Result<(), Failure> {
        self.record("probe", |store| store.probe())
    }

    fn grant(&self, length: Duration) -> Result<u64, Failure> {
        self.record("grant", |store| store.grant(length))
    }

    fn renew(&self, lease: u64) -> Result<bool, Failure> {
        self.record("renew", |store| store.renew(lease))
    }
}

/// The actor that holds the state of a box.
pub struct Core {
    pub(crate) node: Node,
    pub(crate) ownership: Option<Ownership>,
}

/// Handle that the tasks of a box share.
#[derive(Clone)]
pub struct Node {
    /// Settings of the box.
    pub settings: Arc<Settings>,
    /// Clients of the external services.
    pub external: External,
    /// State that is read without a call to the actor.
    pub shared: Arc<Shared>,
    /// Client for calls to other boxes.
    pub client: Client,
    pub(crate) actor: ActorRef<Core>,
    pub(crate) acceptor: accept::Sender,
    /// Queue of cancellations that the owner has not confirmed.
    pub(crate) unconfirmed: cancel::Sender,
    /// Cache of job specifications that were read from the store.
    pub(crate) specs: Arc<SpecCache>,
}

/// A running box; the actor stops when it is dropped.
pub struct Running {
    /// The handle that tasks and request handlers use.
    pub node: Node,
    _thread: ActorThread<Core>,
}

/// Starts the actor and the threads of a box.
///
/// # Errors
///
/// A thread could not be started.
pub fn start(settings: Settings, external: External, client: Client) -> io::Result<Running> {
    let shared = Arc::new(Shared::default());
    let tracked = TrackedStore {
        inner: external.store,
        shared: shared.clone(),
    };
    let external = External {
        store: Arc::new(tracked),
        ..external
    };
    let (acceptor, submissions) = accept::channel();
    let (unconfirmed, cancellations) = cancel::channel();
    let settings = Arc::new(settings);
    let (sender, receiver) = std::sync::mpsc::sync_channel(1);
    let thread = ActorThread::start("core", move |_, actor| {
        let node = Node {
            settings,
            external,
            shared,
            client,
            actor,
            acceptor,
            unconfirmed,
            specs: Arc::default(),
        };
        // The receiver exists until this value arrives, so the send cannot fail.
        let _ = sender.send(node.clone());
        Core {
            node,
            ownership: None,
        }
    })?;
    let node = receiver.recv().map_err(io::Error::other)?;
    let task_node = node.clone();
    task::spawn("accept", move || accept::run(&task_node, &submissions))?;
    let task_node = node.clone();
    task::spawn("cancel", move || cancel::run(&task_node, &cancellations))?;
    let task_node = node.clone();
    task::spawn("config", move || config::follow(&task_node))?;
    let task_node = node.clone();
    task::spawn("owner", move || owner_watch::run(&task_node))?;
    let task_node = node.clone();
    task::spawn("relay", move || relay::run(&task_node))?;
    Ok(Running {
        node,
        _thread: thread,
    })
}

impl Node {
    /// Readiness: true when callers should be routed to this box.
    pub fn is_ready(&self) -> bool {
        let has_config = self.shared.config.load().is_some();
        let is_config_verified = has_config && !self.shared.is_config_unverified();
        is_config_verified && !self.shared.is_stopping() && !self.shared.is_store_unreachable()
    }

    /// Shuts the box down: it accepts no new work, and hands the cell over if it owns it. Returns
    /// after `time` at the latest.
    pub fn shut_down(&self, time: Duration) {
        self.shared.stopping.store(true, Ordering::Release);
        let outcome = self.actor.ask_within(time, |core, cx, responder| {
            core.hand_over(cx, responder);
        });
        match outcome {
            Ok(true) => log::info!(target: "owner", "Cell ownership released for shutdown."),
            Ok(false) => {}
            Err(failure) => {
                log::warn!(target: "owner", error:% = failure; "Cell ownership was not released before the shutdown time-out.");
            }
        }
    }

    /// Handles a relay exchange without blocking. Returns requests with other paths.
    pub fn handle_relay(&self, request: kernel::Request) -> Option<kernel::Request> {
        if request.path != relay::PATH {
            return Some(request);
        }
        peer::handle_relay(self, request);
        None
    }

    /// Handles a call of another box. Returns requests with other paths.
    pub fn handle_peer(&self, request: kernel::Request) -> Option<kernel::Request> {
        if request.path != peer::PATH {
            return Some(request);
        }
        peer::handle(self, request);
        None
    }
}

#[cfg(test)]
mod tests {
    use {super::*, kernel::verdict::Cause};

    /// Guards against writes to a failing store after the late answer to an earlier call.
    #[test]
    fn record_earlier_call_keeps_store_failing() {
        let shared = Shared::default();
        shared.record(0, Err(&Failure::not_run(Cause::Busy, "busy")));
        shared.record(0, Ok(()));
        assert!(shared.is_store_failing());
        shared.record(time::now(), Ok(()));
        assert!(!shared.is_store_failing());
    }
}
