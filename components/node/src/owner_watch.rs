//! The task of every box that watches which box owns the cell, and claims the cell when it has no
//! owner.

use {
    crate::{
        claim::{self, KeyState},
        core::Node,
        group::CELL,
        keys,
        message::Owner,
        settings::{OWNER_RETRY_PAUSE, OWNER_WATCH_TIME, STORE_RETRY_PAUSE},
        store::{Event, Item, WatchResult},
        time,
    },
    kernel::{Failure, wire},
    std::{sync::Arc, thread, time::Duration},
};

/// Watches the owner's key until the box stops, and claims the cell when the key is absent or
/// invalid.
pub fn run(node: &Node) {
    let store = &node.external.store;
    while !node.shared.is_stopping() {
        if let Some(time) = idle_time(node) {
            node.shared.monitor.owner.wait(time);
            continue;
        }
        let key = keys::owner(CELL);
        let item = match store.get(&key) {
            Ok(item) => item,
            Err(_) => {
                node.shared.probe_until_recovered(store.as_ref());
                continue;
            }
        };
        let owning = node
            .actor
            .ask(|core, _| core.ownership.as_ref().map(|ownership| ownership.fence));
        let Ok(owning) = owning else {
            return;
        };
        match (item, owning) {
            (Some(item), None) if is_own(node, &item) => {
                try_claim(node, item.revision, KeyState::Own);
            }
            (Some(item), None) if !is_valid(&item) => {
                try_claim(node, item.revision, KeyState::Unknown);
            }
            (Some(item), Some(fence)) if !is_valid(&item) => {
                republish(node, fence);
                thread::sleep(OWNER_RETRY_PAUSE);
            }
            (Some(item), owning) => {
                let was_deleted = watch(node, &item);
                if was_deleted && owning.is_none() {
                    try_claim(node, 0, KeyState::Unknown);
                }
            }
            (None, Some(fence)) => {
                republish(node, fence);
                thread::sleep(OWNER_RETRY_PAUSE);
            }
            (None, None) => try_claim(node, 0, KeyState::Unknown),
        }
    }
}

/// How long the owner's key need not be read, because a recent heartbeat of the owner is still
/// valid.
fn idle_time(node: &Node) -> Option<Duration> {
    if node.shared.is_owner() {
        return None;
    }
    let (_, left) = node.shared.monitor.valid(time::now())?;
    Some(left)
}

/// Reads the owner's key once, for a box whose owner does not answer or has dismissed it as a
/// relay. The watch may have stalled, and a new owner needs its relays at once.
pub fn refresh(node: &Node) {
    match node.external.store.get(&keys::owner(CELL)) {
        Ok(Some(item)) => record(node, &item),
        Ok(None) => {}
        Err(failure) => {
            log::debug!(target: "owner", error:% = failure; "Failed to read the owner of the cell.");
        }
    }
}

/// Records the owner and waits until its key changes. True if the key was deleted, which a claim
/// need not read again.
fn watch(node: &Node, item: &Item) -> bool {
    record(node, item);
    let watched = node
        .external
        .store
        .watch(&item.key, item.store_revision, OWNER_WATCH_TIME);
    match watched {
        Ok(WatchResult::Events(events, _)) => {
            matches!(events.last(), Some(Event::Deleted(key)) if *key == item.key)
        }
        Ok(WatchResult::Compacted) => false,
        Err(_) => {
            node.shared.probe_until_recovered(&*node.external.store);
            false
        }
    }
}

/// Records the owner that the key names.
fn record(node: &Node, item: &Item) {
    let owner: Result<Owner, Failure> = wire::decode(&item.value);
    match owner {
        Ok(owner) => {
            let known = node.shared.owner.load();
            if known.as_deref() != Some(&owner) {
                log::info!(target: "owner", owner = &*owner.name, revision = item.revision; "The cell has a new owner.");
                node.shared.owner.store(Some(Arc::new(owner)));
                node.shared.owner_changed.notify();
            }
        }
        Err(error) => {
            log::error!(target: "owner", error:% = error; "The value of the owner's key is invalid.");
        }
    }
}

/// True if the value names an owner. A value that another program wrote there gives no ownership.
fn is_valid(item: &Item) -> bool {
    let owner: Result<Owner, Failure> = wire::decode(&item.value);
    if let Err(error) = &owner {
        metrics::counter!("magpie_unreadable_total").increment(1);
        log::error!(target: "owner", revision = item.revision, error:% = error; "The value of the owner's key is invalid.");
    }
    owner.is_ok()
}

/// True if this box wrote the value, in an earlier incarnation or ownership.
fn is_own(node: &Node, item: &Item) -> bool {
    let owner: Result<Owner, Failure> = wire::decode(&item.value);
    owner.is_ok_and(|owner| owner.name == node.settings.name)
}

/// Has the owner's key written again by the ownership with this fence.
fn republish(node: &Node, fence: u64) {
    log::info!(target: "owner", fence; "The owner's key is missing or invalid and will be written again.");
    node.actor.tell(move |core, cx| {
        if let Some(ownership) = core.ownership_of(fence) {
            ownership.republish = true;
            core.wake_writer(cx);
        }
    });
}

/// Tries to claim the cell, given the revision of the owner's key; 0 if it is absent.
fn try_claim(node: &Node, revision: u64, known: KeyState) {
    match claim::attempt(node, revision, known) {
        Ok(()) => {}
        Err(failure) => {
            log::warn!(target: "owner", error:% = failure; "Failed to claim the cell.");
            thread::sleep(STORE_RETRY_PAUSE);
        }
    }
}
