//! Claims the ownership of the cell, after checking that its last owner is gone, and loads the
//! cell's state from the store.

use {
    crate::{
        core::Node,
        decode,
        external::HallClosure,
        fence::{self, Verdict},
        group::{CELL, owner_record, put},
        keys,
        message::{Head, PeerRequest, PeerResponse, SealRecord, WorkerRecord},
        owner_tasks::{self, renewal_pause},
        ownership::Ownership,
        peer,
        settings::{LOW_SHARE, LOW_SHARE_DELAY, OWNER_LEASE, OWNER_RETRY_PAUSE, Takeover},
        store::{ApplyResult, Change, Item, range_all},
        time,
    },
    cell::{Cell, Entry, Learned, Listing, Seal},
    job::{Id, Record},
    kernel::{Failure, task::Signal, verdict::Cause, wall_clock, wire},
    std::{
        collections::{HashMap, HashSet},
        panic::resume_unwind,
        sync::atomic::{AtomicU64, Ordering},
        thread::{self, Builder, Scope, ScopedJoinHandle},
        time::Duration,
    },
};

/// Longest random delay before a claim, in milliseconds. It spreads out the claims of boxes that
/// see the owner's key expire at the same time, so that one of them comes first.
const JITTER: u64 = 120;
/// Length of the lease while a box with a narrow link reads the cell: enough for 1 MB at 2 Mbit/s
/// beside other calls. If the box dies during the read, its replacement is delayed by that much.
const LOAD_LEASE: Duration = Duration::from_millis(6_000);
/// Pause between two probes. An unreachable owner has by then delayed the takeover by its lease of
/// 2 s and by 0.4 s for each probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// State of the owner's key, as seen by a box that may claim the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState {
    /// The key is absent or unreadable; the last owner may be alive.
    Unknown,
    /// This box wrote the key, before a restart or in an earlier ownership.
    Own,
}

/// Claims the cell unless its last owner is alive. `revision` is that of the owner's key; 0 when
/// the key is absent.
///
/// # Errors
///
/// The store gave no usable answer.
pub fn attempt(node: &Node, revision: u64, key: KeyState) -> Result<(), Failure> {
    thread::sleep(Duration::from_millis(fastrand::u64(0..JITTER)));
    if node.settings.share < LOW_SHARE {
        thread::sleep(LOW_SHARE_DELAY);
    }
    if node.shared.is_stopping() {
        return Ok(());
    }
    let Some(Prepared {
        lease,
        granted,
        head,
    }) = prepare(node, revision, key)?
    else {
        return Ok(());
    };
    let store = &node.external.store;
    let replaced: Option<Head> = head
        .as_ref()
        .and_then(|item| readable(item, wire::decode(&item.value)));
    let claim = fastrand::u64(1..);
    let head = head.map_or(0, |item| item.revision);
    let change = claim_change(node, revision, head, claim, lease);
    let started = time::now();
    let fence = match store.apply(&change)? {
        ApplyResult::Done(fence) => fence,
        ApplyResult::Conflict(items) => match own_claim(&items, claim) {
            Some(fence) => fence,
            None => return Ok(()),
        },
        ApplyResult::NoLease => return Err(lease_expired()),
    };
    node.shared.highest_fence.raise(fence);
    log::info!(target: "owner", fence; "Cell ownership claimed.");
    metrics::counter!("magpie_claims_total").increment(1);
    let renewed = AtomicU64::new(granted);
    let Loaded {
        cell,
        interference,
        closures,
        closures_read,
    } = load_with_lease(node, fence, replaced.as_ref(), lease, &renewed)?;
    let summary = cell.summary(time::now());
    log::info!(target: "owner", fence, jobs = summary.jobs, workers = summary.workers, took = time::now() - started; "Cell state loaded from the store.");
    let mut ownership = Ownership::new(fence, lease, cell, renewed.into_inner());
    ownership.claimed = started;
    ownership.apply_closures(closures, closures_read);
    if node.settings.has_narrow_link() {
        // The cell is loaded: a shorter lease lets other boxes detect a failure of this box sooner.
        ownership.lease = store.grant(OWNER_LEASE)?;
        ownership.republish = true;
    }
    node.actor
        .tell(move |core, cx| core.begin_ownership(cx, ownership));
    owner_tasks::start_interference(node, fence, interference);
    node.shared
        .owner
        .store(Some(owner_record(&node.settings).into()));
    Ok(())
}

/// What a claim is made with.
struct Prepared {
    lease: u64,
    /// When the lease was asked for.
    granted: u64,
    head: Option<Item>,
}

/// Checks that the last owner is gone, and takes a lease and reads the head; `None` if the cell has
/// an owner. Calls to the store are made while the owner is probed, since a slow store takes as long
/// as an unreachable owner. If the owner writes meanwhile, the claim conflicts with its head.
fn prepare(node: &Node, revision: u64, key: KeyState) -> Result<Option<Prepared>, Failure> {
    let store = &node.external.store;
    let (present, first) = thread::scope(|scope| {
        let present = StoreCall::start(scope, || store.get(&keys::owner(CELL)));
        let first = match key {
            KeyState::Own => Some(false),
            KeyState::Unknown => probe_owner(node, false),
        };
        (present.finish(), first)
    });
    // Another box may have claimed the cell during the delays.
    if present?.map_or(0, |item| item.revision) != revision {
        return Ok(None);
    }
    if first == Some(true) {
        thread::sleep(OWNER_RETRY_PAUSE);
        return Ok(None);
    }
    let granted = time::now();
    let (lease, head, second) = thread::scope(|scope| {
        let lease = StoreCall::start(scope, || store.grant(load_lease(node)));
        let head = StoreCall::start(scope, || store.get(&keys::head(CELL)));
        let second = first.or_else(|| {
            thread::sleep(PROBE_INTERVAL);
            probe_owner(node, true)
        });
        (lease.finish(), head.finish(), second)
    });
    if second == Some(true) {
        thread::sleep(OWNER_RETRY_PAUSE);
        return Ok(None);
    }
    Ok(Some(Prepared {
        lease: lease?,
        granted,
        head: head?,
    }))
}

/// The fence of the claim with this number if it is in effect although its second attempt has
/// conflicted: only the response to the first one was lost.
fn own_claim(items: &[Item], claim: u64) -> Option<u64> {
    let find = |key: String| items.iter().find(|item| item.key == key);
    let (owner, head) = (find(keys::owner(CELL))?, find(keys::head(CELL))?);
    let written: Head = wire::decode(&head.value).ok()?;
    let is_own = written == Head { fence: 0, claim };
    (is_own && owner.revision == head.revision).then_some(head.revision)
}

/// Length of the lease under which the cell is read. On a narrow link the answer to a renewal
/// queues behind the data that is read: with 500 jobs on 2 Mbit/s the lease expired during the
/// read, and a new owner took over every 5 s and read everything again.
fn load_lease(node: &Node) -> Duration {
    if node.settings.has_narrow_link() {
        LOAD_LEASE
    } else {
        OWNER_LEASE
    }
}

fn claim_change(node: &Node, owner: u64, head: u64, claim: u64, lease: u64) -> Change {
    let claim = Head { fence: 0, claim };
    Change {
        expect: vec![(keys::owner(CELL), owner), (keys::head(CELL), head)],
        put: vec![
            put(keys::owner(CELL), &owner_record(&node.settings), lease),
            put(keys::head(CELL), &claim, 0),
        ],
        remove: Vec::new(),
    }
}

fn lease_expired() -> Failure {
    Failure::not_run(
        Cause::Refused,
        "the lease expired before the cell was claimed",
    )
}

/// Asks the last known owner whether it owns the cell and can reach the store. `None` if it gives no
/// answer, or owns the cell and cannot reach the store. With `release`, it is asked to release the
/// cell in that case. Two probes have to be left unanswered before the cell is claimed.
fn probe_owner(node: &Node, release: bool) -> Option<bool> {
    let Some(owner) = node.shared.owner.load_full() else {
        return Some(false);
    };
    if owner.name == node.settings.name {
        return Some(false);
    }
    match peer::call(node, &owner.address, &PeerRequest::Probe { release }) {
        Ok(PeerResponse::Owning {
            owning: true,
            cut_off: false,
        }) => Some(true),
        Ok(PeerResponse::Owning { owning: false, .. }) => Some(false),
        Ok(_) => None,
        Err(failure) => {
            log::info!(target: "owner", owner = &*owner.name, error:% = failure; "A probe of the former owner failed.");
            None
        }
    }
}

/// Loads the cell and renews the lease meanwhile. The load time depends on the size of the cell and
/// on the link of this box, and an expired lease lets other boxes claim the cell. Sets `renewed` to
/// the time when the lease was last known to be valid.
fn load_with_lease(
    node: &Node,
    fence: u64,
    replaced: Option<&Head>,
    lease: u64,
    renewed: &AtomicU64,
) -> Result<Loaded, Failure> {
    let loaded = Signal::new();
    thread::scope(|scope| {
        let builder = Builder::new().name("keep".to_owned());
        if let Err(error) =
            builder.spawn_scoped(scope, || renew_until(node, lease, &loaded, renewed))
        {
            log::error!(target: "owner", lease, error:% = error; "The thread that renews the lease while the cell is loaded could not be started.");
        }
        let cell = load(node, fence, replaced);
        loaded.stop();
        cell
    })
}

/// Renews a lease until `until` is stopped or the lease has expired. The lease was granted at the
/// time in `renewed`; the claim may have taken a part of it.
fn renew_until(node: &Node, lease: u64, until: &Signal, renewed: &AtomicU64) {
    let mut sent = renewed.load(Ordering::Acquire);
    loop {
        until.wait(renewal_pause(sent));
        if until.is_stopped() {
            return;
        }
        sent = time::now();
        match node.external.store.renew(lease) {
            Ok(true) => renewed.store(sent, Ordering::Release),
            Ok(false) => {
                log::warn!(target: "owner", lease; "The lease expired before the cell was loaded.");
                return;
            }
            Err(failure) => {
                log::info!(target: "owner", lease, error:% = failure; "The lease could not be renewed while the cell is loaded.");
            }
        }
    }
}

/// Decodes the sealed workers. Those that the owner of the replaced head has not written stay in the
/// store, where no later owner relies on them either.
fn decode_seals(item: Option<Item>, replaced: Option<&Head>) -> Vec<Seal> {
    let Some(item) = item else {
        return Vec::new();
    };
    let Some(record) = readable(&item, wire::decode::<SealRecord>(&item.value)) else {
        return Vec::new();
    };
    if replaced.is_some_and(|head| record.is_current(head)) {
        return record.seals;
    }
    if !record.seals.is_empty() {
        log::info!(target: "owner", seals = record.seals.len(), writer = record.fence; "The stored seals are ignored, since the last owner has not written them.");
    }
    Vec::new()
}

/// Returns a decoded value, or logs and counts it as unreadable. A takeover skips unreadable
/// values, so that one of them does not block the rest of the cell.
fn readable<T>(item: &Item, decoded: Result<T, Failure>) -> Option<T> {
    match decoded {
        Ok(value) => Some(value),
        Err(error) => {
            metrics::counter!("magpie_unreadable_total").increment(1);
            log::error!(target: "owner", key = item.key.as_str(), error:% = error; "A stored value cannot be decoded and is skipped.");
            None
        }
    }
}

/// State of the cell that a new owner loads.
struct Loaded {
    cell: Cell,
    /// Revision of the key of the interference model.
    interference: u64,
    /// The closed data halls.
    closures: Vec<HallClosure>,
    /// When the read of the closed data halls was started.
    closures_read: u64,
}

/// What a new owner reads at the same time.
struct Stored {
    intake: Vec<Item>,
    states: Vec<Item>,
    /// The workers known to the former owners.
    fleet: Option<Item>,
    /// The interference model.
    learned: Option<Item>,
    seals: Option<Item>,
    listing: Listing,
    closures: Vec<HallClosure>,
    /// When the read of the closed data halls was started.
    closures_read: u64,
}

/// Reads the state of the cell. Only the owner writes the records, the fleet and the seals, and the
/// claim has made the conditions of all writes of former owners fail, so the order of these reads
/// does not matter. A narrow link transfers them one after the other, so that none of them pauses
/// for as long as its time-out. The closed data halls are read late, since a hall may be closed
/// meanwhile.
fn read_stored(node: &Node) -> Result<Stored, Failure> {
    let store = &*node.external.store;
    let large = |key: String| move || store.get_large(&key);
    let is_narrow = node.settings.has_narrow_link();
    thread::scope(|scope| {
        let intake = StoreCall::start_or_wait(scope, is_narrow, || range_all(store, keys::INTAKE));
        let states = StoreCall::start_or_wait(scope, is_narrow, || range_all(store, keys::STATE));
        let fleet = StoreCall::start_or_wait(scope, is_narrow, large(keys::fleet(CELL)));
        let learned = StoreCall::start_or_wait(scope, is_narrow, large(keys::interference(CELL)));
        let seals = StoreCall::start_or_wait(scope, is_narrow, large(keys::seals(CELL)));
        let listing = node.external.workers.list()?;
        let closures_read = time::now();
        let closures = node.external.closures.read()?;
        Ok(Stored {
            intake: intake.finish()?.0,
            states: states.finish()?.0,
            fleet: fleet.finish()?,
            learned: learned.finish()?,
            seals: seals.finish()?,
            listing,
            closures,
            closures_read,
        })
    })
}

/// A call to the store that other calls do not wait for.
enum StoreCall<'scope, T> {
    Done(Result<T, Failure>),
    Running(ScopedJoinHandle<'scope, Result<T, Failure>>),
}

impl<'scope, T: Send + 'scope> StoreCall<'scope, T> {
    /// Starts a call on a thread of its own.
    fn start(
        scope: &'scope Scope<'scope, '_>,
        call: impl FnOnce() -> Result<T, Failure> + Send + 'scope,
    ) -> Self {
        let builder = Builder::new().name("claim".to_owned());
        match builder.spawn_scoped(scope, call) {
            Ok(thread) => StoreCall::Running(thread),
            Err(error) => StoreCall::Done(Err(Failure::not_run(Cause::Busy, error.to_string()))),
        }
    }

    /// Starts a call on a thread of its own, or waits for it on a narrow link.
    fn start_or_wait(
        scope: &'scope Scope<'scope, '_>,
        is_narrow: bool,
        call: impl FnOnce() -> Result<T, Failure> + Send + 'scope,
    ) -> Self {
        match is_narrow {
            true => StoreCall::Done(call()),
            false => StoreCall::start(scope, call),
        }
    }

    fn finish(self) -> Result<T, Failure> {
        match self {
            StoreCall::Done(result) => result,
            StoreCall::Running(thread) => {
                thread.join().unwrap_or_else(|panic| resume_unwind(panic))
            }
        }
    }
}

/// Loads jobs, records and workers into a cell, for an owner with this fence whose claim has
/// replaced the given head.
fn load(node: &Node, fence: u64, replaced: Option<&Head>) -> Result<Loaded, Failure> {
    let Stored {
        intake,
        states,
        fleet,
        learned,
        seals,
        mut listing,
        closures,
        closures_read,
    } = read_stored(node)?;
    // Workers of a pool that the configuration does not name are ignored; those that may hold tasks
    // are in the fleet record as well. Polling the others would delay the takeover until all leases
    // have expired (4.9 s).
    if let Some(config) = &*node.shared.config.load() {
        listing.entries.retain(|entry| config.has_pool(&entry.pool));
    }
    let mut cell = Cell::new(node.settings.timing);
    let (now, wall) = (time::now(), wall_clock::millis());
    let mut records: HashMap<Id, Record> = HashMap::new();
    let mut unreadable: HashSet<Id> = HashSet::new();
    for item in &states {
        let Some(id) = keys::id(&item.key, keys::STATE) else {
            continue;
        };
        let Some(record) = readable(item, decode::record(item)) else {
            unreadable.insert(id);
            continue;
        };
        if record.state.is_final() {
            cell.add_ended(id, &record);
            continue;
        }
        records.insert(id, record);
    }
    let mut cancelled = Vec::new();
    for item in &intake {
        if let Some(id) = keys::id(&item.key, keys::CANCEL) {
            cancelled.push(id);
            continue;
        }
        let Some(submission) = readable(item, decode::submission(item)) else {
            continue;
        };
        if fence::verdict(submission.fence, fence, fence) == Verdict::Hold {
            log::warn!(target: "owner", job = submission.id.as_str(), named = submission.fence, fence; "A job names the fence of a later owner; the claim is given up.");
            return Err(Failure::not_run(
                Cause::Refused,
                "another box has claimed the cell since",
            ));
        }
        // It is unknown which steps of the job have run, and none may run twice.
        if unreadable.contains(&submission.id) {
            continue;
        }
        let record = records.remove(&submission.id).unwrap_or_default();
        cell.resume(submission, &record, wall);
    }
    for id in cancelled {
        cell.cancel(&id, now, wall);
    }
    let mut interference = 0;
    if let Some(item) = learned {
        interference = item.revision;
        match wire::decode::<Learned>(&item.value) {
            Ok(learned) => cell.restore_interference(learned),
            Err(error) => {
                log::warn!(target: "owner", error:% = error; "The stored interference model cannot be decoded; a new one is learned.");
            }
        }
    }
    cell.handle_listing(listing, now);
    if let Some(item) = fleet {
        let workers = wire::decode::<Vec<WorkerRecord>>(&item.value);
        let workers = readable(&item, workers).unwrap_or_default();
        cell.restore_workers(workers.into_iter().map(Entry::from).collect());
    }
    if node.settings.takeover == Takeover::Gradual {
        cell.restore_seals(decode_seals(seals, replaced));
    }
    Ok(Loaded {
        cell,
        interference,
        closures,
        closures_read,
    })
}
