//! The task of every box that keeps the operators' configuration up to date.
//!
//! A watch of the store delivers changes at once. Since a watch may stall and miss a change, the
//! value is also read periodically, at an interval that depends on how long a read takes. While
//! heartbeats of the owner state the newest revision, other boxes read the value only when they do
//! not have that revision.

mod schedule;
mod staleness;

use {
    crate::{
        core::Node,
        external::{ConfigRead, ConfigSnapshot, ConfigWait},
        settings::{CONFIG_WATCH_TIME, PROBE_INTERVAL, STORE_RETRY_PAUSE},
        time,
    },
    kernel::{Failure, clock::ClockPair, verdict::Cause},
    schedule::{Schedule, Step},
    staleness::Staleness,
    std::{
        sync::{Arc, atomic::Ordering},
        thread,
        time::Duration,
    },
};

/// Keeps the configuration up to date for as long as the process runs.
pub fn follow(node: &Node) {
    let mut follower = Follower {
        node,
        schedule: Schedule::default(),
        staleness: Staleness::new(node),
    };
    loop {
        let begun = time::now();
        if let Some(time) = follower.idle_time(begun) {
            node.shared.monitor.config.wait(time);
            continue;
        }
        let result = match follower.schedule.step(begun) {
            Step::Read(known) => follower.read(known, begun),
            Step::Watch(after) => follower.watch(after, begun),
        };
        if let Err(failure) = result {
            follower.staleness.failed(&failure, time::now() - begun);
            follower.pause();
        }
        follower.staleness.export();
    }
}

/// State of the task.
struct Follower<'a> {
    node: &'a Node,
    schedule: Schedule,
    staleness: Staleness<'a>,
}

impl Follower<'_> {
    /// How long to wait if a valid heartbeat of the owner states that the known value is the
    /// newest. The store is probed periodically, so that the box notices when it cannot reach the
    /// store.
    fn idle_time(&mut self, now: u64) -> Option<Duration> {
        let shared = &self.node.shared;
        if shared.is_owner() || shared.is_config_unverified() {
            return None;
        }
        let (newest, left) = shared.monitor.valid(now)?;
        if newest != self.schedule.known() {
            self.schedule.read_now(now);
            return None;
        }
        self.staleness.confirmed(0);
        self.staleness.export();
        let is_due = shared.is_store_failing() || shared.is_store_silent(PROBE_INTERVAL);
        if is_due && let Err(failure) = shared.probe(&*self.node.external.store) {
            log::debug!(target: "config", error:% = failure; "The store did not answer a probe.");
            return None;
        }
        Some(left.min(PROBE_INTERVAL))
    }

    /// Waits after a failure. The task that watches the owner probes a failing store, except while
    /// a valid heartbeat keeps it idle; then the store is probed here.
    fn pause(&self) {
        let shared = &self.node.shared;
        match shared.monitor.valid(time::now()) {
            Some(_) => shared.probe_until_recovered(&*self.node.external.store),
            None => shared.await_recovery(),
        }
    }

    /// Reads the value, unless it still has the known revision.
    fn read(&mut self, known: u64, begun: u64) -> Result<(), Failure> {
        let mark = ClockPair::now();
        let newest = self.node.shared.monitor.valid(begun);
        let read = match newest {
            Some((newest, _)) if newest > known => {
                self.node.external.configs.read_newest(known, newest)
            }
            _ => self.node.external.configs.read(known),
        };
        self.schedule.read_ended(begun, time::now());
        match read? {
            ConfigRead::Found(found) => self.accept(found, begun, mark),
            ConfigRead::Unchanged(at) => {
                self.node.shared.mark_config_current(mark);
                self.schedule.confirmed(at);
                self.staleness.confirmed(time::now() - begun);
            }
            ConfigRead::Absent => thread::sleep(STORE_RETRY_PAUSE),
        }
        Ok(())
    }

    /// Waits for a change.
    fn watch(&mut self, after: u64, begun: u64) -> Result<(), Failure> {
        let mark = ClockPair::now();
        match self.node.external.configs.wait(after, CONFIG_WATCH_TIME)? {
            ConfigWait::Found(found) => self.accept(found, begun, mark),
            // The next watch starts from the same revision and delivers what this one missed.
            ConfigWait::Unchanged => {}
            ConfigWait::Compacted => self.schedule.history_lost(),
        }
        Ok(())
    }

    /// Installs a value that a read or a watch has returned.
    fn accept(&mut self, found: ConfigSnapshot, begun: u64, mark: ClockPair) {
        let now = time::now();
        self.schedule.found(&found, now);
        adopt(self.node, found, now - begun, mark);
        self.staleness.confirmed(now - begun);
    }
}

/// Verifies that the configuration in force is the newest, if this box was suspended since the last
/// verification: callers must not be served with an outdated one.
///
/// # Errors
///
/// The configuration could not be read, or the store has been unreachable for so long that the
/// read was not attempted.
pub fn revalidate(node: &Node) -> Result<(), Failure> {
    if !node.shared.is_config_unverified() {
        return Ok(());
    }
    if node.shared.is_store_unreachable() {
        return Err(Failure::not_run(
            Cause::Busy,
            "the store does not answer this box",
        ));
    }
    let (mark, begun) = (ClockPair::now(), time::now());
    let known = node.shared.config_revision.load(Ordering::Acquire);
    match node.external.configs.read(known)? {
        ConfigRead::Found(found) => adopt(node, found, time::now() - begun, mark),
        ConfigRead::Unchanged(_) => node.shared.mark_config_current(mark),
        ConfigRead::Absent => {}
    }
    Ok(())
}

/// Records the revision of a value that was read, and installs the value. `mark` is a time before
/// the read.
fn adopt(node: &Node, found: ConfigSnapshot, took: u64, mark: ClockPair) {
    node.shared
        .config_revision
        .fetch_max(found.revision, Ordering::AcqRel);
    install(node, found, took);
    node.shared.mark_config_current(mark);
}

/// Puts a configuration in force. Until the process ends, the highest version wins.
fn install(node: &Node, found: ConfigSnapshot, took: u64) {
    let present = node.shared.config.load();
    let ConfigSnapshot { config, bytes, .. } = found;
    if let Some(present) = &*present
        && present.version >= config.version
    {
        return;
    }
    let from = present.as_ref().map_or(0, |present| present.version);
    log::info!(target: "config", from, to = config.version, queues = config.queues.len(), bytes, took; "A new version of the configuration is in force.");
    node.shared.config.store(Some(Arc::new(config)));
}
