//! How a change reaches the other boxes: pushed at once, compared every second, and watched in
//! the store by few.

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

/// How many boxes of the fleet watch the store; the others take the table from them.
const WATCHERS: usize = 2;

/// How often a box compares its version with one other's.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// How long one watch of the store waits.
const WATCH_TIME: Duration = Duration::from_secs(20);

/// The time for one message to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// The time for one that may hold a whole table, either way.
const TABLE_TIMEOUT: Timeout = Timeout::single(PEER_TIMEOUT).streaming();

/// How many times a push to one peer is tried.
const PUSH_TRIES: u32 = 3;

/// What the tasks of one table process share.
#[derive(Clone)]
pub struct Shared {
    /// The box's name.
    pub name: Arc<str>,
    /// The actor.
    pub actor: ActorRef<TableActor>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The list of boxes.
    pub view: View,
    /// The client for calls on peers.
    pub client: Client,
    /// Ends the tasks.
    pub signal: Signal,
}

impl Shared {
    /// The other boxes' table processes.
    fn peers(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let mut peers = self.view.live("table");
        peers.retain(|(name, _)| *name != self.name);
        peers
    }

    /// True when this box is one of those that watch the store.
    fn watches(&self) -> bool {
        let mut names: Vec<Arc<str>> = self.peers().into_iter().map(|(name, _)| name).collect();
        names.push(self.name.clone());
        owner::ranked("table", &names)
            .iter()
            .take(WATCHERS)
            .any(|name| *name == self.name)
    }
}

/// Pushes the newest change to every peer, each by a task of its own.
pub fn push_all(shared: &Shared, before: u64) {
    let Ok(update) = shared.actor.ask(move |actor, _| actor.update_since(before)) else {
        return;
    };
    for (name, url) in shared.peers() {
        let (shared, update) = (shared.clone(), update.clone());
        let run = move || push(&shared, &url, &update);
        if task::spawn(&format!("push-{name}"), run).is_err() {
            log::warn!(target: "table", "No room for a task to push with. peer={name}");
        }
    }
}

fn push(shared: &Shared, url: &str, update: &Update) {
    let address = format!("{url}/table/push");
    for failures in 0..PUSH_TRIES {
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

/// Compares versions with a random peer, again and again.
pub fn run_comparisons(shared: &Shared) {
    while !shared.signal.is_stopped() {
        let peers = shared.peers();
        if let Some((_, url)) = fastrand::choice(&peers) {
            compare(shared, url);
        }
        shared.signal.wait(COMPARE_INTERVAL);
    }
}

/// Compares versions with one peer; whoever is behind takes what it lacks.
pub fn compare(shared: &Shared, url: &str) -> bool {
    let Ok(version) = shared.actor.ask(|actor, _| actor.stored().table.version) else {
        return false;
    };
    let address = format!("{url}/table/compare");
    let answer: Result<Comparison, Failure> =
        shared
            .client
            .post(&address, &Compare { version }, TABLE_TIMEOUT);
    let Ok(compared) = answer else { return false };
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

/// Watches the store where this box is one of those that do; reads the table at the start.
pub fn run_store_watch(shared: &Shared) {
    load_initial_table(shared);
    let mut seen = 0;
    let mut failures = 0;
    while !shared.signal.is_stopped() {
        if !shared.watches() {
            shared.signal.wait(COMPARE_INTERVAL);
            continue;
        }
        match watch(shared, &mut seen) {
            Ok(()) => failures = 0,
            Err(failure) => {
                if failures == 0 {
                    log::warn!(target: "table", "The store cannot be watched. {failure}");
                }
                let base = Duration::from_millis(200);
                let most = Duration::from_secs(5);
                shared
                    .signal
                    .wait(budget::backoff(base, most, failures, fastrand::f64()));
                failures += 1;
            }
        }
    }
}

/// Takes the table from a peer, so that a box starts while the store is down; else from the store.
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

/// Waits for a newer table in the store and, if no peer had told of it, pushes it to all.
fn watch(shared: &Shared, seen: &mut u64) -> Result<(), Failure> {
    let Some(value) = shared.store.watch(accept::KEY, *seen, WATCH_TIME)? else {
        return Ok(());
    };
    *seen = value.version;
    let stored = wire::decode(&value.bytes)?;
    let before = shared.actor.ask(|actor, _| actor.stored().table.version)?;
    if shared.actor.ask(move |actor, _| actor.install(stored))? && before > 0 {
        push_all(shared, before);
    }
    Ok(())
}
