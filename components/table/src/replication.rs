//! Replication of the table between boxes: changes are pushed immediately, versions are compared
//! every second, and a few boxes watch the store.

use {
    crate::{
        accept,
        actor::TableActor,
        message::{Compare, Comparison, Update},
    },
    infra::{Store, budget},
    kernel::{
        ActorRef, Client, Failure,
        client::Timeout,
        task::{self, Signal},
        wire,
    },
    members::{owner, watcher::View},
    std::{sync::Arc, time::Duration},
};

/// Number of boxes that watch the store. The others get the table from them.
const WATCHERS: usize = 2;

/// Interval between comparisons with a random peer.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum wait of one watch of the store.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Time-out of a message to a peer, and the maximum back-off between retries.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time-out of a message whose request or response may contain a whole table.
const TABLE_TIMEOUT: Timeout = Timeout::single(PEER_TIMEOUT).streaming();

/// Attempts to push to one peer.
const PUSH_ATTEMPTS: u32 = 3;

/// State shared by the threads of a table process.
#[derive(Clone)]
pub struct Shared {
    /// Name of this box.
    pub name: Arc<str>,
    /// Reference to the table actor.
    pub actor: ActorRef<TableActor>,
    /// Store that holds the table.
    pub store: Arc<dyn Store>,
    /// Current list of boxes.
    pub view: View,
    /// HTTP client for requests to peers.
    pub client: Client,
    /// Stops the background threads.
    pub signal: Signal,
}

impl Shared {
    /// Names and base URLs of the table processes on other boxes.
    fn peers(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let mut peers = self.view.live("table");
        peers.retain(|(name, _)| *name != self.name);
        peers
    }

    /// True if this box is one of the [`WATCHERS`] boxes that watch the store.
    fn is_watcher(&self) -> bool {
        let mut names: Vec<Arc<str>> = self.peers().into_iter().map(|(name, _)| name).collect();
        names.push(self.name.clone());
        owner::ranked("table", &names)
            .iter()
            .take(WATCHERS)
            .any(|name| *name == self.name)
    }
}

/// Pushes the changes since version `before` to every peer, with a thread for each.
pub fn push_all(shared: &Shared, before: u64) {
    let Ok(update) = shared.actor.ask(move |actor, _| actor.update_since(before)) else {
        return;
    };
    for (name, url) in shared.peers() {
        let (shared, update) = (shared.clone(), update.clone());
        let run = move || push(&shared, &url, &update);
        if task::spawn(&format!("push-{name}"), run).is_err() {
            log::warn!(target: "table", "A thread for a push could not be started. peer={name}");
        }
    }
}

fn push(shared: &Shared, url: &str, update: &Update) {
    let address = format!("{url}/table/push");
    for failures in 0..PUSH_ATTEMPTS {
        let sent: Result<u64, Failure> = shared.client.post(&address, update, TABLE_TIMEOUT);
        match sent {
            Ok(_) => return,
            Err(failure) => log::debug!(target: "table", "A push failed. peer={url} {failure}"),
        }
        let wait = Duration::from_millis(100);
        shared.signal.wait(budget::backoff(
            wait,
            PEER_TIMEOUT,
            failures,
            fastrand::f64(),
        ));
    }
}

/// Compares versions with a random peer at an interval until the process stops.
pub fn run_comparisons(shared: &Shared) {
    while !shared.signal.is_stopped() {
        let peers = shared.peers();
        if let Some((_, url)) = fastrand::choice(&peers) {
            compare(shared, url);
        }
        shared.signal.wait(COMPARE_INTERVAL);
    }
}

/// Compares versions with one peer and sends the missing changes to whichever side is behind.
/// Returns false if the peer did not respond.
pub fn compare(shared: &Shared, url: &str) -> bool {
    let Ok(version) = shared.actor.ask(|actor, _| actor.stored().table.version) else {
        return false;
    };
    let address = format!("{url}/table/compare");
    let response: Result<Comparison, Failure> =
        shared
            .client
            .post(&address, &Compare { version }, TABLE_TIMEOUT);
    let Ok(compared) = response else { return false };
    if compared.version < version {
        let theirs = compared.version;
        if let Ok(update) = shared.actor.ask(move |actor, _| actor.update_since(theirs)) {
            push(shared, url, &update);
        }
        return true;
    }
    shared.actor.tell(move |actor, _| {
        actor.apply_update(compared.update);
    });
    true
}

/// Loads the initial table, then watches the store while this box is one of the watchers, until the
/// process stops.
pub fn run_store_watch(shared: &Shared) {
    load_initial_table(shared);
    let mut last_version = 0;
    let mut failures = 0;
    while !shared.signal.is_stopped() {
        if !shared.is_watcher() {
            shared.signal.wait(COMPARE_INTERVAL);
            continue;
        }
        match watch(shared, &mut last_version) {
            Ok(()) => failures = 0,
            Err(failure) => {
                if failures == 0 {
                    log::warn!(target: "table", "The watch of the store failed. {failure}");
                }
                let base = Duration::from_millis(200);
                let max = Duration::from_secs(5);
                shared
                    .signal
                    .wait(budget::backoff(base, max, failures, fastrand::f64()));
                failures += 1;
            }
        }
    }
}

/// Loads the table from a peer, so that a box can start while the store is down, and from the
/// store. Retries until either has supplied it.
fn load_initial_table(shared: &Shared) {
    let mut failures = 0;
    while !shared.signal.is_stopped() {
        for (_, url) in shared.peers() {
            if compare(shared, &url) {
                break;
            }
        }
        let read = accept::read(shared.store.as_ref());
        if let Ok((_, stored)) = read {
            let _ = shared.actor.ask(move |actor, _| actor.install(stored));
        }
        if shared
            .actor
            .ask(|actor, _| actor.is_loaded())
            .unwrap_or(true)
        {
            return;
        }
        let base = Duration::from_millis(100);
        shared.signal.wait(budget::backoff(
            base,
            PEER_TIMEOUT,
            failures,
            fastrand::f64(),
        ));
        failures += 1;
    }
}

/// Waits for a newer table in the store and pushes it to all peers if no peer had already sent it.
fn watch(shared: &Shared, last_version: &mut u64) -> Result<(), Failure> {
    let Some(value) = shared.store.watch(accept::KEY, *last_version, WATCH_WAIT)? else {
        return Ok(());
    };
    *last_version = value.version;
    let stored = wire::decode(&value.bytes)?;
    let before = shared.actor.ask(|actor, _| actor.stored().table.version)?;
    if shared.actor.ask(move |actor, _| actor.install(stored))? && before > 0 {
        push_all(shared, before);
    }
    Ok(())
}
