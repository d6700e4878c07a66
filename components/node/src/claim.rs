//! Claiming the cell and reading what its former owner left.

use {
    crate::{
        core::Node,
        decode,
        external::HallClosure,
        group::{CELL, owner_record, put},
        keys,
        message::{Head, PeerRequest, PeerResponse, WorkerRecord},
        owner_tasks,
        ownership::Ownership,
        peer,
        settings::{LOW_SHARE, LOW_SHARE_DELAY, OWNER_LEASE, OWNER_RETRY_PAUSE, RENEW_INTERVAL},
        store::{ApplyResult, Change, Item, range_all},
        time,
    },
    cell::{Cell, Entry},
    job::{Id, Record},
    kernel::{Failure, task::Signal, verdict::Cause, wall, wire},
    std::{
        collections::{HashMap, HashSet},
        sync::atomic::{AtomicU64, Ordering},
        thread::{self, Builder},
        time::Duration,
    },
};

/// Boxes that see the same key go wait up to this long, so that one of them comes first.
const JITTER: u64 = 120;
/// How often a former owner is asked before its silence counts.
const PROBES: u32 = 2;
/// How long a box with a narrow link may take to read the cell: 1 MB at 2 Mbit/s with other calls beside. One that dies
/// meanwhile is replaced that much later.
const LOADING: Duration = Duration::from_millis(6_000);
/// Between two of these questions; a silent owner has cost its lease of 2 s and 0.4 s a question by
/// then.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// What the owner's key says to a box that may claim the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState {
    /// It is absent, or cannot be read: its last owner may live.
    Unknown,
    /// This box wrote it in an earlier life or ownership.
    Own,
}

/// Claims the cell, whose owner's key has this revision (0: it is absent), unless its owner lives.
///
/// # Errors
///
/// The store gave no usable answer.
pub fn attempt(node: &Node, revision: u64, known: KeyState) -> Result<(), Failure> {
    thread::sleep(Duration::from_millis(fastrand::u64(0..JITTER)));
    if node.settings.share < LOW_SHARE {
        thread::sleep(LOW_SHARE_DELAY);
    }
    if node.shared.is_stopping() {
        return Ok(());
    }
    // Another box may have come first meanwhile.
    let present = node.external.store.get(&keys::owner(CELL))?;
    if present.map_or(0, |item| item.revision) != revision {
        return Ok(());
    }
    if known != KeyState::Own && owner_lives(node) {
        thread::sleep(OWNER_RETRY_PAUSE);
        return Ok(());
    }
    let store = &node.external.store;
    let lease = store.grant(loading_lease(node))?;
    let head = store.get(&keys::head(CELL))?;
    let change = claim_of(node, revision, head.map_or(0, |item| item.revision), lease);
    let begun = time::now();
    let fence = match store.apply(&change)? {
        ApplyResult::Done(fence) => fence,
        ApplyResult::Conflict(_) => return Ok(()),
        ApplyResult::NoLease => return Err(lease_over()),
    };
    log::info!(target: "owner", fence; "The cell is claimed.");
    metrics::counter!("magpie_claims_total").increment(1);
    let renewed = AtomicU64::new(begun);
    let Loaded {
        cell,
        learned,
        closures,
        read,
    } = load_leased(node, lease, &renewed)?;
    let summary = cell.summary(time::now());
    log::info!(target: "owner", fence, jobs = summary.jobs, workers = summary.workers, took = time::now() - begun; "The cell is read.");
    let mut ownership = Ownership::new(fence, lease, cell, renewed.into_inner());
    ownership.take_closures(closures, read);
    if node.settings.has_narrow_link() {
        // From now on others are to notice soon when this box is gone.
        ownership.lease = store.grant(OWNER_LEASE)?;
        ownership.republish = true;
    }
    node.remote
        .tell(move |core, cx| core.begin_ownership(cx, ownership));
    owner_tasks::start_interference(node, fence, learned);
    node.shared
        .owner
        .store(Some(owner_record(&node.settings).into()));
    Ok(())
}

/// The lease under which the cell is read. On a narrow link the answer to a renewal waits behind what is read: seen with
/// 500 jobs on 2 Mbit/s, where owners followed each other every 5 s, each reading everything.
fn loading_lease(node: &Node) -> Duration {
    if node.settings.has_narrow_link() {
        LOADING
    } else {
        OWNER_LEASE
    }
}

fn claim_of(node: &Node, owner: u64, head: u64, lease: u64) -> Change {
    let mark = Head {
        fence: 0,
        claim: fastrand::u64(1..),
    };
    Change {
        expect: vec![(keys::owner(CELL), owner), (keys::head(CELL), head)],
        put: vec![
            put(keys::owner(CELL), &owner_record(&node.settings), lease),
            put(keys::head(CELL), &mark, 0),
        ],
        remove: Vec::new(),
    }
}

fn lease_over() -> Failure {
    Failure::not_run(Cause::Refused, "the lease was over before the claim")
}

/// True when the last known owner says that it owns the cell and reaches the store.
fn owner_lives(node: &Node) -> bool {
    let Some(owner) = node.shared.owner.load_full() else {
        return false;
    };
    if owner.name == node.settings.name {
        return false;
    }
    for probe in 0..PROBES {
        if probe > 0 {
            thread::sleep(PROBE_PAUSE);
        }
        let ask = PeerRequest::Probe {
            release: probe + 1 == PROBES,
        };
        match peer::call(node, &owner.address, &ask) {
            Ok(PeerResponse::Owning {
                owning: true,
                cut_off: false,
            }) => return true,
            Ok(PeerResponse::Owning { owning: false, .. }) => return false,
            Ok(_) => {}
            Err(failure) => {
                log::info!(target: "owner", owner = &*owner.name, error:% = failure; "The former owner does not answer.");
            }
        }
    }
    false
}

/// Reads what the former owner left, and keeps the lease alive meanwhile: how long that takes depends on
/// how much it is and on the link of this box, and a lease that ends lets others claim the cell. `renewed` is moved to when it was
/// last alive.
fn load_leased(node: &Node, lease: u64, renewed: &AtomicU64) -> Result<Loaded, Failure> {
    let loaded = Signal::new();
    thread::scope(|scope| {
        let builder = Builder::new().name("keep".to_owned());
        if let Err(error) = builder.spawn_scoped(scope, || keep(node, lease, &loaded, renewed)) {
            log::error!(target: "owner", lease, error:% = error; "The lease cannot be renewed while the cell is read.");
        }
        let cell = load(node);
        loaded.stop();
        cell
    })
}

/// Keeps a lease alive until the signal says stop.
fn keep(node: &Node, lease: u64, until: &Signal, renewed: &AtomicU64) {
    loop {
        until.wait(RENEW_INTERVAL);
        if until.is_stopped() {
            return;
        }
        let asked = time::now();
        match node.external.store.renew(lease) {
            Ok(true) => renewed.store(asked, Ordering::Release),
            Ok(false) => {
                log::warn!(target: "owner", lease; "The lease was over before the cell was read.");
                return;
            }
            Err(failure) => {
                log::info!(target: "owner", lease, error:% = failure; "The lease was not renewed while the cell is read.");
            }
        }
    }
}

/// What was read of a key, or nothing where it cannot be read: one such key is no reason to leave all others alone.
fn read_or_tell<T>(item: &Item, read: Result<T, Failure>) -> Option<T> {
    match read {
        Ok(value) => Some(value),
        Err(error) => {
            metrics::counter!("magpie_unreadable_total").increment(1);
            log::error!(target: "owner", key = item.key.as_str(), error:% = error; "What is kept under a key cannot be read, and is left alone.");
            None
        }
    }
}

/// What an owner begins with.
struct Loaded {
    cell: Cell,
    /// The revision of what was learned.
    learned: u64,
    /// The data halls that are shut.
    closures: Vec<HallClosure>,
    /// When the read of these was begun.
    read: u64,
}

/// Reads jobs, records and workers into a cell; and last which data halls are shut, as reading the rest may take seconds.
fn load(node: &Node) -> Result<Loaded, Failure> {
    let store = &*node.external.store;
    let (intake, _) = range_all(store, keys::INTAKE)?;
    let (states, _) = range_all(store, keys::STATE)?;
    let fleet = store.get_large(&keys::fleet(CELL))?;
    let mut listing = node.external.workers.list()?;
    // One of a pool that nobody names is no worker; those that may hold tasks are in the record of the fleet besides. Asked
    // all the same, it would hold the takeover up until all leases are over (4.9 s).
    if let Some(config) = &*node.shared.config.load() {
        listing.entries.retain(|entry| config.has_pool(&entry.pool));
    }
    let mut cell = Cell::new(node.settings.timing);
    let (now, wall) = (time::now(), wall::millis());
    let mut records: HashMap<Id, Record> = HashMap::new();
    let mut unreadable: HashSet<Id> = HashSet::new();
    for item in &states {
        let Some(id) = keys::id(&item.key, keys::STATE) else {
            continue;
        };
        let Some(record) = read_or_tell(item, decode::record(item)) else {
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
        let Some(submission) = read_or_tell(item, decode::submission(item)) else {
            continue;
        };
        // What it has done is not known, and must not be done twice.
        if unreadable.contains(&submission.id) {
            continue;
        }
        let record = records.remove(&submission.id).unwrap_or_default();
        cell.resume(submission, &record, wall);
    }
    for id in cancelled {
        cell.cancel(&id, now, wall);
    }
    let mut learned = 0;
    if let Some(item) = store.get_large(&keys::interference(CELL))? {
        learned = item.revision;
        match wire::decode(&item.value) {
            Ok(learned) => cell.restore_interference(learned),
            Err(error) => {
                log::warn!(target: "owner", error:% = error; "What was learned cannot be read, and is learned anew.");
            }
        }
    }
    cell.handle_listing(listing, now);
    if let Some(item) = fleet {
        let members = wire::decode::<Vec<WorkerRecord>>(&item.value);
        let members = read_or_tell(&item, members).unwrap_or_default();
        cell.restore_workers(members.into_iter().map(Entry::from).collect());
    }
    let read = time::now();
    let closures = node.external.closures.read()?;
    Ok(Loaded {
        cell,
        learned,
        closures,
        read,
    })
}
