//! The task of every box that follows the ownership of the cell.

use {
    crate::{
        claim::{self, KeyState},
        core::Node,
        group::CELL,
        keys,
        message::Owner,
        settings::{OWNER_RETRY_PAUSE, OWNER_WATCH_TIME, STORE_RETRY_PAUSE},
        store::Item,
        time,
    },
    kernel::{Failure, wire},
    std::{sync::Arc, thread, time::Duration},
};

/// Follows who owns the cell, and claims it when nobody does.
pub fn run(node: &Node) {
    let store = &node.external.store;
    while !node.shared.is_stopping() {
        if let Some(rest) = rest(node) {
            node.shared.monitor.owner.wait(rest);
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
            .remote
            .ask(|core, _| core.ownership.as_ref().map(|ownership| ownership.fence));
        let Ok(owning) = owning else {
            return;
        };
        match (item, owning) {
            (Some(item), None) if is_own(node, &item) => {
                attempt(node, item.revision, KeyState::Own);
            }
            (Some(item), None) if !is_readable(&item) => {
                attempt(node, item.revision, KeyState::Unknown);
            }
            (Some(item), Some(fence)) if !is_readable(&item) => {
                announce(node, fence);
                thread::sleep(OWNER_RETRY_PAUSE);
            }
            (Some(item), _) => see(node, &item),
            (None, Some(fence)) => {
                announce(node, fence);
                thread::sleep(OWNER_RETRY_PAUSE);
            }
            (None, None) => attempt(node, 0, KeyState::Unknown),
        }
    }
}

/// How long the owner's key need not be read, as its owner has just answered.
fn rest(node: &Node) -> Option<Duration> {
    if node.shared.is_owner() {
        return None;
    }
    let (_, left) = node.shared.monitor.valid(time::now())?;
    Some(left)
}

/// Reads who the owner is, for a box whose owner does not answer or wants nothing any more: the watch
/// may have gone silent, and a new owner needs its relays at once.
pub fn refresh(node: &Node) {
    match node.external.store.get(&keys::owner(CELL)) {
        Ok(Some(item)) => note(node, &item),
        Ok(None) => {}
        Err(failure) => {
            log::debug!(target: "owner", error:% = failure; "The owner was not read.");
        }
    }
}

/// Notes the owner and waits until its key changes.
fn see(node: &Node, item: &Item) {
    note(node, item);
    let watched = node
        .external
        .store
        .watch(&item.key, item.store_revision, OWNER_WATCH_TIME);
    if watched.is_err() {
        node.shared.probe_until_recovered(&*node.external.store);
    }
}

/// Notes the owner.
fn note(node: &Node, item: &Item) {
    let owner: Result<Owner, Failure> = wire::decode(&item.value);
    match owner {
        Ok(owner) => {
            let known = node.shared.owner.load();
            if known.as_deref() != Some(&owner) {
                log::info!(target: "owner", owner = &*owner.name, revision = item.revision; "The cell has an owner.");
                node.shared.owner.store(Some(Arc::new(owner)));
            }
        }
        Err(error) => {
            log::error!(target: "owner", error:% = error; "The record of the owner cannot be read.");
        }
    }
}

/// True for a key that names an owner. Another writer may have put something else there, which owns nothing.
fn is_readable(item: &Item) -> bool {
    let owner: Result<Owner, Failure> = wire::decode(&item.value);
    if let Err(error) = &owner {
        metrics::counter!("magpie_unreadable_total").increment(1);
        log::error!(target: "owner", revision = item.revision, error:% = error; "The record of the owner cannot be read.");
    }
    owner.is_ok()
}

/// True for a key that this box wrote in an earlier life or ownership.
fn is_own(node: &Node, item: &Item) -> bool {
    let owner: Result<Owner, Failure> = wire::decode(&item.value);
    owner.is_ok_and(|owner| owner.name == node.settings.name)
}

fn announce(node: &Node, fence: u64) {
    log::info!(target: "owner", fence; "The owner's key is missing and is written again.");
    node.remote.tell(move |core, cx| {
        if let Some(ownership) = core.ownership_of(fence) {
            ownership.republish = true;
            core.wake_writer(cx);
        }
    });
}

fn attempt(node: &Node, revision: u64, known: KeyState) {
    match claim::attempt(node, revision, known) {
        Ok(()) => {}
        Err(failure) => {
            log::warn!(target: "owner", error:% = failure; "The cell could not be claimed.");
            thread::sleep(STORE_RETRY_PAUSE);
        }
    }
}
