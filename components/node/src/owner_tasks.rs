//! The tasks of an owner besides those of its workers: lease, intake, groups, list of workers.

use {
    crate::{
        core::Node,
        decode,
        group::{CELL, put_compact},
        keys,
        settings::{
            HALLS_INTERVAL, INTAKE_WATCH_TIME, INTERFERENCE_INTERVAL, INTERFERENCE_PAUSE_FACTOR,
            LIST_INTERVAL, LIST_PAUSE_FACTOR, OWNER_LEASE, RENEW_INTERVAL, STORE_RETRY_PAUSE,
            WAVE_INTERVAL,
        },
        store::{ApplyResult, Change, Event, WatchResult, range_all},
        time,
    },
    cell::{AdviceQuery, Cell, WaveStatus},
    job::Id,
    kernel::{Failure, task, wall},
    std::{
        collections::HashMap,
        sync::mpsc::{self, Receiver, Sender},
        thread,
        time::{Duration, Instant},
    },
};

/// Starts the tasks of a ownership. They end with it.
pub fn start_all(node: &Node, fence: u64) {
    start("renew", node, move |node| renew(&node, fence));
    start("intake", node, move |node| intake(&node, fence));
    start("write", node, move |node| write(&node, fence));
    start("list", node, move |node| list(&node, fence));
    start("upkeep", node, move |node| upkeep(&node, fence));
    start("halls", node, move |node| halls(&node, fence));
}

/// Carries the operators' waves of upkeep out.
fn upkeep(node: &Node, fence: u64) {
    let machines = &node.external.machines;
    let mut told: HashMap<u64, WaveStatus> = HashMap::new();
    let mut had_waves = false;
    while !is_over(node, fence) {
        let waves = match machines.waves() {
            Ok(waves) => waves,
            Err(failure) => {
                log::info!(target: "owner", error:% = failure; "Which waves of upkeep there are was not read.");
                thread::sleep(WAVE_INTERVAL);
                continue;
            }
        };
        let has_waves = !waves.is_empty();
        // Once more after the last of them: workers that were emptied for it get work again.
        if !has_waves && !had_waves {
            thread::sleep(WAVE_INTERVAL);
            continue;
        }
        let Ok(listed) = machines.list() else {
            thread::sleep(LIST_INTERVAL);
            continue;
        };
        let asked = node.remote.ask(move |core, cx| {
            let orders = core.upkeep(cx, fence, &waves, &listed);
            (orders, core.standings(fence, &waves))
        });
        let Ok((orders, standings)) = asked else {
            return;
        };
        had_waves = has_waves;
        for order in orders {
            let is_done = machines.upkeep(&order, &node.settings.name, fence);
            log::info!(target: "owner", wave = order.wave, machine = &*order.machine, fence, done = is_done; "A machine is told to go down for its upkeep.");
            if !is_done {
                node.remote
                    .tell(move |core, _| core.upkeep_refused(fence, &order));
            }
        }
        for standing in standings {
            if told.get(&standing.wave) == Some(&standing) {
                continue;
            }
            match machines.report_progress(&standing) {
                Ok(()) => {
                    told.insert(standing.wave, standing);
                }
                Err(failure) => {
                    log::warn!(target: "owner", wave = standing.wave, error:% = failure; "How far a wave is was not told.");
                }
            }
        }
        thread::sleep(LIST_INTERVAL);
    }
}

/// Follows which data halls the operators have shut.
fn halls(node: &Node, fence: u64) {
    while !is_over(node, fence) {
        let begun = time::now();
        match node.external.closures.read() {
            Ok(closures) => {
                node.remote
                    .tell(move |core, cx| core.shut(cx, fence, closures, begun));
                thread::sleep(HALLS_INTERVAL);
            }
            Err(failure) => {
                log::info!(target: "owner", error:% = failure; "Which data halls are shut was not read.");
                thread::sleep(HALLS_INTERVAL / 2);
            }
        }
    }
}

/// Starts the task that asks for advice, one question at a time: the service handles each box's
/// calls in turn. It ends with the ownership. Returns the way for questions.
pub fn start_advice(node: &Node, fence: u64) -> Sender<AdviceQuery> {
    let (sender, questions) = mpsc::channel();
    start("advice", node, move |node| advise(&node, fence, &questions));
    sender
}

fn advise(node: &Node, fence: u64, questions: &Receiver<AdviceQuery>) {
    for question in questions {
        let answer = node.external.advisor.advise(&question);
        if let Err(failure) = &answer {
            log::warn!(target: "owner", job = question.job.as_str(), error:% = failure; "There is no advice.");
        }
        node.remote
            .tell(move |core, cx| core.advised(cx, fence, &question, answer.ok()));
    }
}

fn start(name: &str, node: &Node, run: impl FnOnce(Node) + Send + 'static) {
    let node = node.clone();
    if let Err(error) = task::spawn(name, move || run(node)) {
        log::error!(target: "owner", task = name, error:% = error; "A task cannot be started.");
    }
}

fn is_over(node: &Node, fence: u64) -> bool {
    let owning = node
        .remote
        .ask(move |core, _| core.ownership_of(fence).is_some());
    owning != Ok(true)
}

/// Keeps the lease of the owner's key alive, and takes a new one when it is over.
fn renew(node: &Node, fence: u64) {
    loop {
        thread::sleep(RENEW_INTERVAL);
        let lease = node
            .remote
            .ask(move |core, _| core.ownership_of(fence).map(|ownership| ownership.lease));
        let Ok(Some(lease)) = lease else {
            return;
        };
        let asked = time::now();
        let renewed = if lease == 0 {
            Ok(false)
        } else {
            node.external.store.renew(lease)
        };
        if renewed == Ok(true) {
            node.remote.tell(move |core, _| {
                if let Some(ownership) = core.ownership_of(fence) {
                    ownership.prove(asked);
                }
            });
        }
        if renewed != Ok(false) {
            continue;
        }
        let Ok(lease) = node.external.store.grant(OWNER_LEASE) else {
            continue;
        };
        log::info!(target: "owner", fence, lease; "The owner has a new lease.");
        node.remote.tell(move |core, cx| {
            if let Some(ownership) = core.ownership_of(fence) {
                ownership.lease = lease;
                ownership.doubt();
                core.wake_writer(cx);
            }
        });
    }
}

/// Brings what callers sent to the cell.
fn intake(node: &Node, fence: u64) {
    let mut after = fence;
    loop {
        let watched = node
            .external
            .store
            .watch(keys::INTAKE, after, INTAKE_WATCH_TIME);
        if is_over(node, fence) {
            return;
        }
        let events = match watched {
            Ok(WatchResult::Events(events, at)) => {
                after = at;
                events
            }
            Ok(WatchResult::Compacted) => match range_all(&*node.external.store, keys::INTAKE) {
                Ok((items, at)) => {
                    log::info!(target: "owner", items = items.len(), at; "The history of the intake is gone; it is read anew.");
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
        node.remote
            .tell(move |core, cx| core.intake(cx, fence, events));
    }
}

/// Reads what callers sent once more, now that no former owner can start anything.
pub fn reread_intake(node: &Node, fence: u64) {
    start("read again", node, move |node| {
        while !is_over(&node, fence) {
            match read_unknown(&node, fence) {
                Ok(events) => {
                    node.remote
                        .tell(move |core, cx| core.intake_again(cx, fence, events));
                    return;
                }
                Err(failure) => {
                    log::info!(target: "owner", error:% = failure; "The jobs could not be read once more.");
                    thread::sleep(STORE_RETRY_PAUSE);
                }
            }
        }
    });
}

/// Starts the task that writes down what was learned of disturbance, whose key has this revision.
pub fn start_interference(node: &Node, fence: u64, revision: u64) {
    start("learned", node, move |node| learned(&node, fence, revision));
}

/// Writes what was learned, apart from all that callers wait for. Whoever owned the cell before may write once more
/// until this box does; its condition fails after that.
fn learned(node: &Node, fence: u64, mut revision: u64) {
    let key = keys::interference(CELL);
    let mut rest = INTERFERENCE_INTERVAL;
    loop {
        thread::sleep(rest);
        let asked = node
            .remote
            .ask(move |core, _| Some(core.ownership_of(fence)?.cell.take_interference()));
        let Ok(Some(learned)) = asked else {
            return;
        };
        let Some(learned) = learned else {
            continue;
        };
        let change = Change {
            expect: vec![(key.clone(), revision)],
            put: vec![put_compact(key.clone(), &learned)],
            ..Change::default()
        };
        let begun = Instant::now();
        match node.external.store.apply(&change) {
            Ok(ApplyResult::Done(now)) => revision = now,
            Ok(ApplyResult::Conflict(items)) => {
                revision = items.first().map_or(0, |item| item.revision)
            }
            Ok(ApplyResult::NoLease) => {}
            Err(failure) => {
                log::info!(target: "owner", error:% = failure; "What was learned was not written.");
            }
        }
        rest = INTERFERENCE_INTERVAL.max(begun.elapsed() * INTERFERENCE_PAUSE_FACTOR);
    }
}

/// Cancellations, and the jobs that the cell does not know.
fn read_unknown(node: &Node, fence: u64) -> Result<Vec<Event>, Failure> {
    let (items, _) = range_all(&*node.external.store, keys::INTAKE)?;
    let ids: Vec<Id> = items
        .iter()
        .filter_map(|item| keys::id(&item.key, keys::JOB))
        .collect();
    let unknown = node.remote.ask(move |core, _| core.unknown(fence, ids))?;
    let mut events = Vec::new();
    for item in items {
        let is_wanted = keys::id(&item.key, keys::JOB).is_none_or(|id| unknown.contains(&id));
        if is_wanted {
            events.push(Event::Put(item));
        }
    }
    Ok(events)
}

/// Takes submissions and cancellations into the cell; submissions first, since a listing has the
/// cancellations before them.
pub fn apply_intake(cell: &mut Cell, events: Vec<Event>) {
    let mut cancelled = Vec::new();
    for event in events {
        let Event::Put(item) = event else {
            continue;
        };
        if let Some(id) = keys::id(&item.key, keys::CANCEL) {
            cancelled.push(id);
            continue;
        }
        match decode::submission(&item) {
            Ok(submission) => {
                cell.admit(submission, wall::millis());
            }
            Err(error) => {
                log::error!(target: "owner", key = item.key.as_str(), error:% = error; "A submission cannot be read.");
            }
        }
    }
    for id in cancelled {
        if !cell.cancel(&id, time::now(), wall::millis()) {
            log::info!(target: "owner", job = id.as_str(); "A cancellation is of a job that is not known.");
        }
    }
}

/// Writes groups, one at a time.
fn write(node: &Node, fence: u64) {
    loop {
        let group = node
            .remote
            .ask_later(move |core, cx, answerer| core.next_group(cx, fence, answerer));
        let Ok(Some(group)) = group else {
            return;
        };
        let begun = time::now();
        let result = node.external.store.apply(&group.change);
        let took = Duration::from_millis(time::now() - begun);
        metrics::histogram!("magpie_group_seconds").record(took);
        if let Err(failure) = &result {
            log::warn!(target: "owner", records = group.covers.records.len(), error:% = failure; "A group was not written.");
            thread::sleep(STORE_RETRY_PAUSE);
        }
        node.remote
            .tell(move |core, cx| core.wrote(cx, fence, group, result));
    }
}

/// Lists the workers again and again: whole lists, 430 bytes for each worker. A watch would bring each heartbeat of
/// each worker, which is as much.
fn list(node: &Node, fence: u64) {
    let mut took = Duration::ZERO;
    loop {
        thread::sleep(
            (took * LIST_PAUSE_FACTOR).clamp(LIST_INTERVAL, node.settings.max_list_interval()),
        );
        let begun = Instant::now();
        let listing = node.external.workers.list();
        took = begun.elapsed();
        if is_over(node, fence) {
            return;
        }
        let Ok(listing) = listing else {
            continue;
        };
        node.remote
            .tell(move |core, cx| core.listed(cx, fence, listing));
    }
}
