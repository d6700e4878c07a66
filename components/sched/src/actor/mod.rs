//! The actor that holds the cells which this process owns.
//!
//! Here is the life of an ownership and the exchange with workers; [`membership`] decides which
//! cells to own, [`writes`] hands books to the store, [`jobs`] answers operators.

mod jobs;
mod membership;
mod writes;

pub use membership::Target;

use {
    crate::{
        cell::Cell,
        claim::{self, CellOwner},
        directory::{Directory, OWNER_TIMEOUT},
        limits::Limits,
        pass, placement,
        worker_link::{self, OrderSource},
    },
    infra::{
        boxes::{Kind, List},
        worker::{Order, Report, Workers},
    },
    kernel::{
        ActorRef, Failure,
        stakker::{CX, Cx, after},
        task::{self, Signal},
        verdict::Cause,
    },
    lease::{Tenure, Term},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    table::Table,
};

/// How often the time is let pass on every cell.
const TICK: Duration = Duration::from_millis(100);

/// How long several reasons for a pass are gathered before it runs.
const PASS_DELAY: Duration = Duration::from_millis(2);

/// Tasks placed in one pass, so that the actor answers in between.
const MAX_PASS_TASKS: usize = 512;

/// What the actor and its tasks share.
#[derive(Clone)]
pub struct Shared {
    /// The box's name.
    pub name: Arc<str>,
    /// The base address of this process.
    pub url: Arc<str>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// The store.
    pub store: Arc<dyn infra::Store>,
    /// The terms of the leases.
    pub timing: Term,
    /// How often a worker is exchanged with when nothing is due.
    pub heartbeat: Duration,
    /// The name of the placement policy.
    pub placement: Arc<str>,
}

/// A cell that this process owns, with its tasks' signals.
struct Owned {
    cell: Cell,
    heartbeat: u64,
    worker_signals: Vec<Signal>,
    writer: Signal,
    pass_due: bool,
}

/// The state of a scheduler process.
pub struct Scheduler {
    shared: Shared,
    remote: ActorRef<Scheduler>,
    cells: BTreeMap<Arc<str>, Owned>,
    directory: Directory,
    table: Arc<Table>,
    list: Arc<List>,
    /// When the first list came.
    first_listing: Option<Instant>,
    /// The cells assigned to this box, and since when.
    assigned: BTreeMap<Arc<str>, Instant>,
    /// Cells that another owner handed over.
    handovers: Vec<Arc<str>>,
    /// Cells that a newer owner took from this one, and when.
    yielded: BTreeMap<Arc<str>, Instant>,
    /// When the time was last let pass.
    last_tick: Instant,
    stopping: bool,
}

impl Scheduler {
    /// A scheduler that owns no cell yet.
    pub fn new(cx: CX![], shared: Shared, remote: ActorRef<Scheduler>) -> Self {
        after!(TICK, [cx], tick());
        Scheduler {
            shared,
            remote,
            cells: BTreeMap::new(),
            directory: Directory::default(),
            table: Arc::default(),
            list: Arc::default(),
            first_listing: None,
            assigned: BTreeMap::new(),
            handovers: Vec::new(),
            yielded: BTreeMap::new(),
            last_tick: cx.now(),
            stopping: false,
        }
    }

    /// Takes a newer table over.
    pub fn set_table(&mut self, cx: CX![], table: Arc<Table>) {
        if table.version <= self.table.version {
            return;
        }
        metrics::gauge!("magpie_table_version").set(table.version as f64);
        self.table = table;
        self.refresh(cx);
    }

    /// The version of the table in force.
    pub fn table_version(&self) -> u64 {
        self.table.version
    }

    /// Takes a new list of boxes over.
    pub fn set_list(&mut self, cx: CX![], list: Arc<List>) {
        self.first_listing.get_or_insert(cx.now());
        self.list = list;
        self.refresh(cx);
    }

    /// True once there are a table and a list to work by.
    pub fn is_ready(&self) -> bool {
        self.first_listing.is_some() && self.table.version > 0 && !self.stopping
    }

    fn refresh(&mut self, cx: CX![]) {
        let names: Vec<Arc<str>> = self.cells.keys().cloned().collect();
        for name in names {
            self.refresh_cell(cx, &name);
        }
    }

    /// Brings the limits and the workers of a cell up to date and starts tasks for new workers.
    fn refresh_cell(&mut self, cx: CX![], name: &Arc<str>) {
        let limits = Limits::of(name, self.table.clone(), &self.list);
        let list = self.list.clone();
        let items: Vec<_> = list
            .of_kind(Kind::Worker)
            .filter(|item| item.hall == *name)
            .collect();
        let Some(owned) = self.cells.get_mut(name) else {
            return;
        };
        owned.cell.set_limits(limits);
        let fresh = owned.cell.merge(&items);
        let epoch = owned.cell.epoch();
        for at in fresh {
            let signal = Signal::new();
            owned.worker_signals.push(signal.clone());
            let peer = worker_link::WorkerLink {
                cell: name.clone(),
                epoch,
                at,
                signal,
                remote: self.remote.clone(),
                workers: self.shared.workers.clone(),
                heartbeat: self.shared.heartbeat,
            };
            let thread = format!("worker-{}", owned.cell.fleet.worker(at).name);
            if task::spawn(&thread, move || peer.run()).is_err() {
                log::error!(target: "sched", "No room for a worker's task. cell={name}");
            }
        }
        self.schedule_pass(cx, name);
    }

    /// Begins to own a cell.
    fn install(&mut self, cx: CX![], cell: Arc<str>, claimed: claim::Claimed) {
        let claim::Claimed {
            record,
            before,
            version,
            book,
        } = claimed;
        if self
            .cells
            .get(&cell)
            .is_some_and(|owned| owned.cell.epoch() >= record.epoch)
        {
            return;
        }
        self.end_ownership(&cell, "its epoch was raised here");
        let policy = match placement::create(&self.shared.placement) {
            Ok(policy) => policy,
            Err(failure) => {
                log::error!(target: "sched", "A cell cannot be owned. cell={cell} {failure}");
                return;
            }
        };
        let tenure = Tenure::begin(cell.clone(), record.epoch);
        let now = cx.now();
        log::info!(target: "sched", "A cell is taken over. cell={cell} epoch={}", record.epoch);
        metrics::counter!("magpie_takeovers_total").increment(1);
        let writer = Signal::new();
        let mut owner = Cell::new(tenure, book, version, self.shared.timing, policy, now);
        owner.predecessor = before;
        let owned = Owned {
            cell: owner,
            heartbeat: 0,
            worker_signals: Vec::new(),
            writer: writer.clone(),
            pass_due: false,
        };
        self.cells.insert(cell.clone(), owned);
        let writer = claim::Writer {
            cell: cell.clone(),
            epoch: record.epoch,
            signal: writer,
            remote: self.remote.clone(),
            store: self.shared.store.clone(),
        };
        if task::spawn(&format!("book-{cell}"), move || writer.run()).is_err() {
            log::error!(target: "sched", "No room for a cell's writer. cell={cell}");
        }
        self.refresh_cell(cx, &cell);
        self.publish_summaries(now);
    }

    /// Stops owning a cell; nothing more is told to its workers.
    pub fn end_ownership(&mut self, cell: &str, reason: &str) {
        let Some(owned) = self.cells.remove(cell) else {
            return;
        };
        log::info!(
            target: "sched",
            "A cell is given up. cell={cell} epoch={} reason={reason}",
            owned.cell.epoch()
        );
        owned.writer.stop();
        for bell in owned.worker_signals {
            bell.stop();
        }
    }

    fn owned(&mut self, cell: &str, epoch: u64) -> Option<&mut Owned> {
        self.cells
            .get_mut(cell)
            .filter(|owned| owned.cell.epoch() == epoch)
    }

    /// Runs a pass over a cell soon, once for all reasons until then.
    fn schedule_pass(&mut self, cx: &mut Cx<'_, Self>, cell: &Arc<str>) {
        let Some(owned) = self.cells.get_mut(cell) else {
            return;
        };
        if owned.pass_due || self.stopping {
            return;
        }
        owned.pass_due = true;
        let cell = cell.clone();
        after!(PASS_DELAY, [cx], pass(cell));
    }

    fn pass(&mut self, cx: CX![], cell: Arc<str>) {
        let now = cx.now();
        let stopping = self.stopping;
        let Some(owned) = self.cells.get_mut(&cell) else {
            return;
        };
        owned.pass_due = false;
        if stopping {
            return;
        }
        let started = Instant::now();
        let passed = pass::run(&mut owned.cell, MAX_PASS_TASKS, now);
        for at in &passed.notified {
            owned.worker_signals[*at].notify();
        }
        if owned.cell.write_queue.is_dirty() {
            owned.writer.notify();
        }
        if passed.placed + passed.evicted > 0 {
            let time = started.elapsed().as_secs_f64();
            metrics::histogram!("magpie_pass_seconds").record(time);
            metrics::counter!("magpie_starts_total").increment(passed.placed as u64);
            metrics::counter!("magpie_evictions_total").increment(passed.evicted as u64);
        }
        if passed.more {
            self.schedule_pass(cx, &cell);
        }
    }

    /// Lets the time pass.
    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        if now > self.last_tick + OWNER_TIMEOUT {
            // The process was paused: others may own its cells by now, so it first listens, as
            // after a start.
            log::warn!(target: "sched", "The process was paused. for={:?}", now - self.last_tick);
            self.first_listing = self.first_listing.map(|_| now);
        }
        self.last_tick = now;
        let names: Vec<Arc<str>> = self.cells.keys().cloned().collect();
        for name in names {
            if let Some(owned) = self.cells.get_mut(&name) {
                if is_predecessor_gone(&owned.cell.predecessor, &self.shared.name, &self.list) {
                    owned.cell.handle_predecessor_gone(now);
                }
                owned.cell.tick(now);
                if owned.cell.write_queue.is_dirty() {
                    owned.writer.notify();
                }
            }
            self.schedule_pass(cx, &name);
        }
        self.publish_summaries(now);
        after!(TICK, [cx], tick());
    }

    /// Places nothing more. Returns the cells that are owned, to be handed over.
    pub fn begin_stop(&mut self) -> Vec<Arc<str>> {
        self.stopping = true;
        self.cells.keys().cloned().collect()
    }
}

/// True when the box that owned a cell before surely gives no orders any more: there was none, it
/// left the list, or it is an earlier life of this one.
fn is_predecessor_gone(before: &Option<Arc<str>>, own: &Arc<str>, list: &List) -> bool {
    let Some(before) = before else { return true };
    before == own || !list.items.iter().any(|item| item.name == *before)
}

impl OrderSource for Scheduler {
    fn next_order(&mut self, cell: &str, epoch: u64, at: usize) -> Option<(Arc<str>, Order)> {
        let owned = self.owned(cell, epoch)?;
        let order = owned.cell.next_order(at);
        Some((owned.cell.fleet.worker(at).url.clone(), order))
    }

    fn handle_exchange(
        &mut self,
        cx: CX![],
        (cell, epoch, at): (&Arc<str>, u64, usize),
        order: &Order,
        result: Result<Report, Failure>,
    ) -> Option<Duration> {
        let now = cx.now();
        let heartbeat = self.shared.heartbeat;
        let owned = self.owned(cell, epoch)?;
        match result {
            Ok(report) => {
                owned.cell.on_report(at, order, report, now);
                let wait = match owned.cell.fleet.worker(at).outbox.is_empty() {
                    true => owned.cell.exchange_wait(at, heartbeat, now),
                    false => Duration::ZERO,
                };
                if owned.cell.write_queue.is_dirty() {
                    owned.writer.notify();
                }
                self.schedule_pass(cx, cell);
                Some(wait)
            }
            Err(failure) if failure.cause == Cause::Conflict => {
                self.yield_cell(cell, "a worker has seen a newer epoch", now);
                None
            }
            Err(failure) => {
                let name = &owned.cell.fleet.worker(at).name;
                log::debug!(target: "sched", "An exchange failed. worker={name} {failure}");
                None
            }
        }
    }
}
