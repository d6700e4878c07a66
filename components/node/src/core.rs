//! The state of a box, in one actor; and the handle that its tasks share.

use {
    crate::{
        accept, cancel, config,
        external::External,
        heartbeat::Monitor,
        message::Owner,
        owner_watch,
        ownership::Ownership,
        peer, relay,
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
    kernel::{Client, Failure, Host, Remote, clock::Mark, sync::lock, task},
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

/// What tasks read without asking the actor.
#[derive(Default)]
pub struct Shared {
    /// The configuration in force.
    pub config: ArcSwapOption<Config>,
    /// The owner of the cell, as last known.
    pub owner: ArcSwapOption<Owner>,
    /// When the store last answered.
    stored: AtomicU64,
    /// The last call of the store failed.
    failing: AtomicBool,
    /// The fence of the cell that this box owns; 0 for none.
    owning: AtomicU64,
    /// The box is being stopped.
    stopping: AtomicBool,
    /// Since when a probe of the store has been on its way; 0 for none.
    probing: AtomicU64,
    /// When the configuration in force was last proven to be the newest; none before the first one.
    proof: Mutex<Option<Mark>>,
    /// The store's revision of the configuration that was found last.
    pub(crate) config_revision: AtomicU64,
    /// How callers that are refused are told to come back.
    pub retry_after: RetryAfter,
    /// What the owner has told of the store.
    pub(crate) monitor: Monitor,
}

impl Shared {
    /// Notes that the configuration in force was the newest at this time.
    pub(crate) fn mark_config_current(&self, at: Mark) {
        *lock(&self.proof) = Some(at);
    }

    /// How long ago the configuration in force was the newest; `None` before the first proof.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        lock(&self.proof).map(|mark| mark.at.elapsed())
    }

    /// True when this box was suspended since the configuration was last proven to be the newest.
    pub fn is_config_unverified(&self) -> bool {
        lock(&self.proof).is_some_and(Mark::has_slept)
    }

    /// True when calls of the store fail and it has not answered for some time. Without a failure
    /// there may just be a watch that waits.
    pub fn is_store_unreachable(&self) -> bool {
        if !self.is_store_failing() {
            return false;
        }
        let stored = self.stored.load(Ordering::Acquire);
        time::now().saturating_sub(stored) > STORE_UNREACHABLE.as_millis() as u64
    }

    /// True when the last call of the store failed, in whichever way.
    pub fn is_store_failing(&self) -> bool {
        self.failing.load(Ordering::Acquire)
    }

    /// True when a probe of the store takes so long that nothing good is to be expected of it.
    pub fn is_probe_slow(&self) -> bool {
        let since = self.probing.load(Ordering::Acquire);
        since != 0 && time::now().saturating_sub(since) > SLOW_PROBE_MS
    }

    /// Sees whether the store answers.
    pub fn probe(&self, store: &dyn Store) -> Result<(), Failure> {
        self.probing.store(time::now().max(1), Ordering::Release);
        let result = store.probe();
        self.probing.store(0, Ordering::Release);
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

    /// Notes under which fence this box owns the cell, 0 when it does no more.
    pub(crate) fn set_owning(&self, fence: u64) {
        self.owning.store(fence, Ordering::Release);
    }

    /// True when the box is being stopped.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// True when the store has not answered for this long.
    pub(crate) fn is_store_silent(&self, time: Duration) -> bool {
        let stored = self.stored.load(Ordering::Acquire);
        time::now().saturating_sub(stored) >= time.as_millis() as u64
    }

    /// Waits until the store, which has failed, answers again, and probes it meanwhile.
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

    /// Waits while the store fails, until it answers another task or some time has passed.
    pub(crate) fn await_recovery(&self) {
        let begun = time::now();
        loop {
            thread::sleep(STORE_RETRY_PAUSE);
            let is_over = time::now() > begun + RECOVERY_WAIT_MS;
            if is_over || !self.is_store_failing() || self.is_stopping() {
                return;
            }
        }
    }

    fn note(&self, result: Result<(), &Failure>) {
        match result {
            Ok(()) => {
                self.stored.store(time::now(), Ordering::Release);
                if self.failing.swap(false, Ordering::AcqRel) {
                    log::info!(target: "store", "The store answers again.");
                }
            }
            Err(failure) => {
                metrics::counter!("magpie_store_failures_total").increment(1);
                if !self.failing.swap(true, Ordering::AcqRel) {
                    log::warn!(target: "store", error:% = failure; "The store does not answer.");
                }
            }
        }
    }
}

/// A store whose answers are noted, so that the box knows whether it is cut off.
struct Noted {
    inner: Arc<dyn Store>,
    shared: Arc<Shared>,
}

impl Noted {
    fn note<T>(&self, call: &'static str, result: Result<T, Failure>) -> Result<T, Failure> {
        metrics::counter!("magpie_store_calls_total", "call" => call).increment(1);
        self.shared.note(result.as_ref().map(|_| ()));
        result
    }
}

impl Store for Noted {
    fn get(&self, key: &str) -> Result<Option<Item>, Failure> {
        self.note("get", self.inner.get(key))
    }

    fn get_large(&self, key: &str) -> Result<Option<Item>, Failure> {
        self.note("get", self.inner.get_large(key))
    }

    fn get_stale(&self, key: &str) -> Result<Option<Item>, Failure> {
        self.note("get_stale", self.inner.get_stale(key))
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, Failure> {
        self.note("range", self.inner.range(prefix, after))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<WatchResult, Failure> {
        self.note("watch", self.inner.watch(prefix, after, wait))
    }

    fn apply(&self, change: &Change) -> Result<ApplyResult, Failure> {
        self.note("apply", self.inner.apply(change))
    }

    fn probe(&self) -> Result<(), Failure> {
        self.note("probe", self.inner.probe())
    }

    fn grant(&self, length: Duration) -> Result<u64, Failure> {
        self.note("grant", self.inner.grant(length))
    }

    fn renew(&self, lease: u64) -> Result<bool, Failure> {
        self.note("renew", self.inner.renew(lease))
    }
}

/// The actor.
pub struct Core {
    pub(crate) node: Node,
    pub(crate) ownership: Option<Ownership>,
}

/// What the tasks of a box share.
#[derive(Clone)]
pub struct Node {
    /// Settings of the box.
    pub settings: Arc<Settings>,
    /// The outside.
    pub external: External,
    /// What is read without asking the actor.
    pub shared: Arc<Shared>,
    /// Calls to other boxes.
    pub client: Client,
    pub(crate) remote: Remote<Core>,
    pub(crate) acceptor: accept::Sender,
    /// Cancellations that the owner has not confirmed.
    pub(crate) unconfirmed: cancel::Sender,
    /// Specifications that were read from the store.
    pub(crate) specs: Arc<SpecCache>,
}

/// A box that runs.
pub struct Running {
    /// The handle.
    pub node: Node,
    _host: Host<Core>,
}

/// Starts the actor and the tasks of a box.
///
/// # Errors
///
/// The system has no room for threads.
pub fn start(settings: Settings, outside: External, client: Client) -> io::Result<Running> {
    let shared = Arc::new(Shared::default());
    let noted = Noted {
        inner: outside.store,
        shared: shared.clone(),
    };
    let outside = External {
        store: Arc::new(noted),
        ..outside
    };
    let (acceptor, submissions) = accept::channel();
    let (unconfirmed, cancellations) = cancel::channel();
    let settings = Arc::new(settings);
    let (sender, receiver) = std::sync::mpsc::sync_channel(1);
    let host = Host::start("core", move |_, remote| {
        let node = Node {
            settings,
            external: outside,
            shared,
            client,
            remote,
            acceptor,
            unconfirmed,
            specs: Arc::default(),
        };
        // The receiver waits for just this one.
        let _ = sender.send(node.clone());
        Core {
            node,
            ownership: None,
        }
    })?;
    let node = receiver.recv().map_err(io::Error::other)?;
    let own = node.clone();
    task::spawn("accept", move || accept::run(&own, &submissions))?;
    let own = node.clone();
    task::spawn("cancel", move || cancel::run(&own, &cancellations))?;
    let own = node.clone();
    task::spawn("config", move || config::follow(&own))?;
    let own = node.clone();
    task::spawn("owner", move || owner_watch::run(&own))?;
    let own = node.clone();
    task::spawn("relay", move || relay::run(&own))?;
    Ok(Running { node, _host: host })
}

impl Node {
    /// True when callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let has_config = self.shared.config.load().is_some();
        let is_sure = has_config && !self.shared.is_config_unverified();
        is_sure && !self.shared.is_stopping() && !self.shared.is_store_unreachable()
    }

    /// Takes part in nothing new and hands the cell over, within this time.
    pub fn shut_down(&self, time: Duration) {
        self.shared.stopping.store(true, Ordering::Release);
        let released = self.remote.ask_within(time, |core, cx, answerer| {
            core.hand_over(cx, answerer);
        });
        match released {
            Ok(true) => log::info!(target: "owner", "The cell is handed over."),
            Ok(false) => {}
            Err(failure) => {
                log::warn!(target: "owner", error:% = failure; "The cell could not be handed over in time.");
            }
        }
    }

    /// Answers a relay without waiting; gives other requests back.
    pub fn handle_relay(&self, request: kernel::Request) -> Option<kernel::Request> {
        if request.path != relay::PATH {
            return Some(request);
        }
        peer::handle_relay(self, request);
        None
    }

    /// Answers another box; gives requests back that are not for boxes.
    pub fn handle_peer(&self, request: kernel::Request) -> Option<kernel::Request> {
        if request.path != peer::PATH {
            return Some(request);
        }
        peer::handle(self, request);
        None
    }
}
