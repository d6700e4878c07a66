//! Background threads of the owner: lease renewal, intake, group commit, worker listing,
//! maintenance waves, closed data halls, placement advice and the interference model. They end with
//! the ownership.

use {
    crate::{
        core::Node,
        group::{CELL, put_compact},
        intake_check, keys,
        settings::{
            HALLS_INTERVAL, INTAKE_WATCH_TIME, INTERFERENCE_INTERVAL, INTERFERENCE_PAUSE_FACTOR,
            LIST_INTERVAL, LIST_PAUSE_FACTOR, OWNER_LEASE, RENEW_INTERVAL, STORE_RETRY_PAUSE,
            WAVE_INTERVAL,
        },
        store::{ApplyResult, Change, Event, WatchResult, range_all},
        time,
        waves::{self, Notes},
    },
    cell::{AdviceQuery, MaintenanceOutcome},
    job::Id,
    kernel::{Failure, task},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{self, Receiver, Sender},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Starts the threads that every ownership has.
pub fn start_all(node: &Node, fence: u64) {
    start("renew", node, move |node| renew_lease(&node, fence));
    let passed = Arc::new(AtomicU64::new(fence));
    let checked = passed.clone();
    start("intake", node, move |node| {
        watch_intake(&node, fence, &passed);
    });
    start("intake check", node, move |node| {
        intake_check::run(&node, fence, &checked);
    });
    start("write", node, move |node| write_groups(&node, fence));
    start("list", node, move |node| list_workers(&node, fence));
    start("upkeep", node, move |node| run_waves(&node, fence));
    start("halls", node, move |node| follow_halls(&node, fence));
}

/// Runs the operators' maintenance waves and reports their progress.
fn run_waves(node: &Node, fence: u64) {
    let machines = &node.external.machines;
    let mut had_waves = false;
    while !has_ended(node, fence) {
        let waves = match machines.waves() {
            Ok(waves) => waves,
            Err(failure) => {
                log::info!(target: "owner", error:% = failure; "Could not read the maintenance waves.");
                thread::sleep(WAVE_INTERVAL);
                continue;
            }
        };
        let (waves, mut notes) = Notes::split(machines.as_ref(), waves);
        let has_waves = !waves.is_empty();
        // One more pass after the last wave has ended lets the workers that were drained for it
        // take tasks again.
        if !has_waves && !had_waves {
            thread::sleep(WAVE_INTERVAL);
            continue;
        }
        let Ok(listed) = machines.list() else {
            thread::sleep(LIST_INTERVAL);
            continue;
        };
        let planned = waves.clone();
        let result = node.actor.ask(move |core, cx| {
            let orders = core.plan_maintenance(cx, fence, &planned, &listed);
            (orders, core.wave_progress(fence, &planned))
        });
        let Ok((orders, statuses)) = result else {
            return;
        };
        had_waves = has_waves;
        notes.write(&node.shared.permits, fence, statuses);
        let has_orders = !orders.is_empty();
        for order in orders {
            if !notes.are_written(order.wave) {
                waves::handle_outcome(node, fence, order, MaintenanceOutcome::Refused);
                continue;
            }
            let permit = node.shared.permits.for_service(fence);
            let outcome = permit.map_or(MaintenanceOutcome::Refused, |permit| {
                machines.start_maintenance(&order, &node.settings.name, &permit)
            });
            log::info!(target: "owner", wave = order.wave, machine = &*order.machine, fence, outcome:? = outcome; "Machine ordered down for maintenance.");
            waves::handle_outcome(node, fence, order, outcome);
        }
        if has_orders {
            let result = node
                .actor
                .ask(move |core, _| core.wave_progress(fence, &waves));
            notes.write(&node.shared.permits, fence, result.unwrap_or_default());
        }
        thread::sleep(LIST_INTERVAL);
    }
}

/// Reads periodically which data halls the operators have closed.
fn follow_halls(node: &Node, fence: u64) {
    while !has_ended(node, fence) {
        let started = time::now();
        match node.external.closures.read() {
            Ok(closures) => {
                node.actor
                    .tell(move |core, cx| core.handle_closures(cx, fence, closures, started));
                thread::sleep(HALLS_INTERVAL);
            }
            Err(failure) => {
                log::info!(target: "owner", error:% = failure; "Could not read the closed data halls.");
                thread::sleep(HALLS_INTERVAL / 2);
            }
        }
    }
}

/// Starts the thread that requests placement advice, one query at a time, since the service
/// handles the calls of each box in sequence. Returns the sender for queries.
pub fn start_advice(node: &Node, fence: u64) -> Sender<AdviceQuery> {
    let (sender, queries) = mpsc::channel();
    start("advice", node, move |node| advise(&node, fence, &queries));
    sender
}

fn advise(node: &Node, fence: u64, queries: &Receiver<AdviceQuery>) {
    for query in queries {
        let advice = node.external.advisor.advise(&query);
        if let Err(failure) = &advice {
            log::warn!(target: "owner", job = query.job.as_str(), error:% = failure; "The placement advisor gave no valid answer.");
        }
        node.actor
            .tell(move |core, cx| core.handle_advice(cx, fence, &query, advice.ok()));
    }
}

fn start(name: &str, node: &Node, run: impl FnOnce(Node) + Send + 'static) {
    let node = node.clone();
    if let Err(error) = task::spawn(name, move || run(node)) {
        log::error!(target: "owner", task = name, error:% = error; "A background thread of the owner could not be started.");
    }
}

/// True once the ownership with this fence has ended.
pub fn has_ended(node: &Node, fence: u64) -> bool {
    let is_owner = node
        .actor
        .ask(move |core, _| core.ownership_of(fence).is_some());
    is_owner != Ok(true)
}

/// Time until the renewal after one that was sent at `sent`. The lease counts from the arrival of a
/// renewal, not from the response of a slow store.
pub fn renewal_pause(sent: u64) -> Duration {
    RENEW_INTERVAL.saturating_sub(Duration::from_millis(time::now().saturating_sub(sent)))
}

/// Renews the lease of the owner's key, and replaces it by a new one when it has expired.
fn renew_lease(node: &Node, fence: u64) {
    let mut sent = time::now();
    loop {
        thread::sleep(renewal_pause(sent));
        let lease = node
            .actor
            .ask(move |core, _| core.ownership_of(fence).map(|ownership| ownership.lease));
        let Ok(Some(lease)) = lease else {
            return;
        };
        sent = time::now();
        let renewed = if lease == 0 {
            Ok(false)
        } else {
            node.external.store.renew(lease)
        };
        if renewed == Ok(true) {
            node.actor.tell(move |core, _| {
                if let Some(ownership) = core.ownership_of(fence) {
                    ownership.renewed_at(sent);
                }
            });
        }
        if renewed != Ok(false) {
            continue;
        }
        let Ok(lease) = node.external.store.grant(OWNER_LEASE) else {
            continue;
        };
        log::info!(target: "owner", fence, lease; "The owner lease has expired; a new one was granted.");
        node.actor.tell(move |core, cx| {
            if let Some(ownership) = core.ownership_of(fence) {
                ownership.lease = lease;
                ownership.mark_unconfirmed();
                core.wake_writer(cx);
            }
        });
    }
}

/// Watches the intake and passes submissions and cancellations of callers to the cell.
///
/// A watch may miss changes and end without an event. So only an event or a read moves the revision
/// to continue from, and the next watch delivers what one without an event has missed.
/// Sets `passed` to that revision once its events are delivered.
fn watch_intake(node: &Node, fence: u64, passed: &AtomicU64) {
    let mut after = fence;
    loop {
        let watched = node
            .external
            .store
            .watch(keys::INTAKE, after, INTAKE_WATCH_TIME);
        if has_ended(node, fence) {
            return;
        }
        let events = match watched {
            Ok(WatchResult::Events(events, _)) if events.is_empty() => continue,
            Ok(WatchResult::Events(events, at)) => {
                after = at;
                events
            }
            Ok(WatchResult::Compacted) => match range_all(&*node.external.store, keys::INTAKE) {
                Ok((items, at)) => {
                    log::info!(target: "owner", items = items.len(), at; "The watched history of the intake was compacted; the intake was read again.");
                    after = at;
                    items.into_iter().map(Event::Put).collect()
                }
                Err(_) => {
                    thread::sleep(STORE_RETRY_PAUSE);
                    continue;
                }
            },
            Err(_) => {
                thread::sleep(STORE_RETRY_PAUSE);
                continue;
            }
        };
        if events.is_empty() {
            continue;
        }
        node.actor
            .tell(move |core, cx| core.handle_intake(cx, fence, events));
        passed.store(after, Ordering::Release);
    }
}

/// Starts a thread that reads the intake once more after a takeover, when no former owner can start
/// tasks any more.
pub fn reread_intake(node: &Node, fence: u64) {
    start("read again", node, move |node| {
        while !has_ended(&node, fence) {
            match read_unknown(&node, fence) {
                Ok(events) => {
                    node.actor
                        .tell(move |core, cx| core.handle_reread(cx, fence, events));
                    return;
                }
                Err(failure) => {
                    log::info!(target: "owner", error:% = failure; "Could not read the intake again after the takeover.");
                    thread::sleep(STORE_RETRY_PAUSE);
                }
            }
        }
    });
}

/// Starts the thread that writes the interference model, whose key has this revision.
pub fn start_interference(node: &Node, fence: u64, revision: u64) {
    start("learned", node, move |node| {
        write_interference(&node, fence, revision)
    });
}

/// Writes the interference model, separately from the groups of records that callers wait for. A
/// former owner may write its model until the first write of this box; after that its condition
/// fails.
fn write_interference(node: &Node, fence: u64, mut revision: u64) {
    let key = keys::interference(CELL);
    let mut rest = INTERFERENCE_INTERVAL;
    loop {
        thread::sleep(rest);
        let result = node
            .actor
            .ask(move |core, _| Some(core.ownership_of(fence)?.cell.take_interference()));
        let Ok(Some(model)) = result else {
            return;
        };
        let Some(model) = model else {
            continue;
        };
        let change = Change {
            expect: vec![(key.clone(), revision)],
            put: vec![put_compact(key.clone(), &model)],
            ..Change::default()
        };
        let started = Instant::now();
        match node.external.store.apply(&change) {
            Ok(ApplyResult::Done(now)) => revision = now,
            Ok(ApplyResult::Conflict(items)) => {
                revision = items.first().map_or(0, |item| item.revision)
            }
            Ok(ApplyResult::NoLease) => {}
            Err(failure) => {
                log::info!(target: "owner", error:% = failure; "Could not write the interference model.");
            }
        }
        rest = INTERFERENCE_INTERVAL.max(started.elapsed() * INTERFERENCE_PAUSE_FACTOR);
    }
}

/// Reads the cancellations, and the jobs that the cell does not know and that have no record, from
/// the intake.
fn read_unknown(node: &Node, fence: u64) -> Result<Vec<Event>, Failure> {
    let (items, _) = range_all(&*node.external.store, keys::INTAKE)?;
    let ids: Vec<Id> = items
        .iter()
        .filter_map(|item| keys::id(&item.key, keys::JOB))
        .collect();
    let unknown = node
        .actor
        .ask(move |core, _| core.unknown_jobs(fence, ids))?;
    let mut events = Vec::new();
    for item in items {
        let is_wanted = match keys::id(&item.key, keys::JOB) {
            Some(id) => {
                unknown.contains(&id) && !intake_check::has_record(&*node.external.store, &id)?
            }
            None => true,
        };
        if is_wanted {
            events.push(Event::Put(item));
        }
    }
    Ok(events)
}

/// Writes groups of records, one at a time.
fn write_groups(node: &Node, fence: u64) {
    loop {
        let group = node
            .actor
            .ask_deferred(move |core, cx, responder| core.next_group(cx, fence, responder));
        let Ok(Some(group)) = group else {
            return;
        };
        let started = time::now();
        let result = node.external.store.apply(&group.change);
        let took = Duration::from_millis(time::now() - started);
        metrics::histogram!("magpie_group_seconds").record(took);
        if let Err(failure) = &result {
            log::warn!(target: "owner", records = group.cell_change.records.len(), error:% = failure; "The write of a group of records failed.");
            thread::sleep(STORE_RETRY_PAUSE);
        }
        node.actor
            .tell(move |core, cx| core.handle_write(cx, fence, group, result));
    }
}

/// Lists the workers periodically. Each listing is complete, with 430 bytes per worker. A watch
/// would report every heartbeat of every worker, which is as much data.
fn list_workers(node: &Node, fence: u64) {
    let mut took = Duration::ZERO;
    loop {
        thread::sleep(
            (took * LIST_PAUSE_FACTOR).clamp(LIST_INTERVAL, node.settings.max_list_interval()),
        );
        let started = Instant::now();
        let listing = node.external.workers.list();
        took = started.elapsed();
        if has_ended(node, fence) {
            return;
        }
        let Ok(listing) = listing else {
            continue;
        };
        node.actor
            .tell(move |core, cx| core.handle_listing(cx, fence, listing));
    }
}
