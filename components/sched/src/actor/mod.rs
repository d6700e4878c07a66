//! The actor that owns the cells of this process.
//!
//! This module begins and ends ownerships, runs passes and handles exchanges with workers.
//! [`membership`] decides which cells to own, [`writes`] provides the cell records to be written,
//! and [`jobs`] serves the requests of operators and clients.

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
    lease::{LeaseTiming, Ownership},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    table::Table,
};

/// Interval between timer ticks of every cell.
const TICK: Duration = Duration::from_millis(100);

/// Delay before a scheduling pass, which coalesces several triggers.
const PASS_DELAY: Duration = Duration::from_millis(2);

/// Maximum number of tasks placed in one pass, so that the actor stays responsive.
const MAX_PASS_TASKS: usize = 512;

/// Settings and clients shared by the actor and its tasks.
#[derive(Clone)]
pub struct Shared {
    /// Name of this box.
    pub name: Arc<str>,
    /// Base URL of this process.
    pub url: Arc<str>,
    /// The client for calls to workers.
    pub workers: Arc<dyn Workers>,
    /// The store client.
    pub store: Arc<dyn infra::Store>,
    /// Lease duration and clock drift.
    pub timing: LeaseTiming,
    /// Interval between exchanges with a worker when nothing is due.
    pub heartbeat: Duration,
    /// Name of the placement policy.
    pub placement: Arc<str>,
}

/// A cell owned by this process, with the signals of its tasks.
struct Owned {
    cell: Cell,
    heartbeat_count: u64,
    worker_signals: Vec<Signal>,
    writer: Signal,
    pass_due: bool,
}

/// The actor of a scheduler process.
pub struct Scheduler {
    shared: Shared,
    actor: ActorRef<Scheduler>,
    cells: BTreeMap<Arc<str>, Owned>,
    directory: Directory,
    table: Arc<Table>,
    list: Arc<List>,
    /// When the first list of boxes was received, or the process resumed from a pause.
    first_listing: Option<Instant>,
    /// Since when each cell has been assigned to this box.
    assigned: BTreeMap<Arc<str>, Instant>,
    /// Cells handed over by their owner and not claimed yet.
    handovers: Vec<Arc<str>>,
    /// When each cell was yielded to a newer owner.
    yielded: BTreeMap<Arc<str>, Instant>,
    /// Time of the last tick.
    last_tick: Instant,
    stopping: bool,
}

impl Scheduler {
    /// Creates a scheduler that owns no cells.
    pub fn new(cx: CX![], shared: Shared, actor: ActorRef<Scheduler>) -> Self {
        after!(TICK, [cx], tick());
        Scheduler {
            shared,
            actor,
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

    /// Applies the table if it is newer.
    pub fn set_table(&mut self, cx: CX![], table: Arc<Table>) {
        if table.version <= self.table.version {
            return;
        }
        metrics::gauge!("magpie_table_version").set(table.version as f64);
        self.table = table;
        self.refresh(cx);
    }

    /// Returns the version of the table in force.
    pub fn table_version(&self) -> u64 {
        self.table.version
    }

    /// Applies a new list of boxes.
    pub fn set_list(&mut self, cx: CX![], list: Arc<List>) {
        self.first_listing.get_or_insert(cx.now());
        self.list = list;
        self.refresh(cx);
    }

    /// Returns true once a table and a list were received, until the process stops.
    pub fn is_ready(&self) -> bool {
        self.first_listing.is_some() && self.table.version > 0 && !self.stopping
    }

    fn refresh(&mut self, cx: CX![]) {
        let names: Vec<Arc<str>> = self.cells.keys().cloned().collect();
        for name in names {
            self.refresh_cell(cx, &name);
        }
    }

    /// Updates the limits and the workers of a cell, and starts the exchange tasks of new workers.
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
        let new_workers = owned.cell.update_workers(&items);
        let epoch = owned.cell.epoch();
        for worker_index in new_workers {
            let signal = Signal::new();
            owned.worker_signals.push(signal.clone());
            let link = worker_link::WorkerLink {
                cell: name.clone(),
                epoch,
                worker_index,
                signal,
                actor: self.actor.clone(),
                workers: self.shared.workers.clone(),
                heartbeat: self.shared.heartbeat,
            };
            let thread = format!("worker-{}", owned.cell.fleet.worker(worker_index).name);
            if task::spawn(&thread, move || link.run()).is_err() {
                log::error!(target: "sched", "Cannot spawn the thread of a worker. cell={name}");
            }
        }
        self.schedule_pass(cx, name);
    }

    /// Begins the ownership of a claimed cell.
    fn install(&mut self, cx: CX![], cell: Arc<str>, claimed: claim::Claimed) {
        let claim::Claimed {
            record,
            before,
            version,
            cell_record,
        } = claimed;
        if self
            .cells
            .get(&cell)
            .is_some_and(|owned| owned.cell.epoch() >= record.epoch)
        {
            return;
        }
        self.end_ownership(&cell, "this process raised its epoch");
        let policy = match placement::create(&self.shared.placement) {
            Ok(policy) => policy,
            Err(failure) => {
                log::error!(target: "sched", "Cannot own the cell. cell={cell} {failure}");
                return;
            }
        };
        let ownership = Ownership::begin(cell.clone(), record.epoch);
        let now = cx.now();
        log::info!(target: "sched", "Cell taken over. cell={cell} epoch={}", record.epoch);
        metrics::counter!("magpie_takeovers_total").increment(1);
        let writer = Signal::new();
        let mut owner = Cell::new(
            ownership,
            cell_record,
            version,
            self.shared.timing,
            policy,
            now,
        );
        owner.predecessor = before;
        let owned = Owned {
            cell: owner,
            heartbeat_count: 0,
            worker_signals: Vec::new(),
            writer: writer.clone(),
            pass_due: false,
        };
        self.cells.insert(cell.clone(), owned);
        let writer = claim::Writer {
            cell: cell.clone(),
            epoch: record.epoch,
            signal: writer,
            actor: self.actor.clone(),
            store: self.shared.store.clone(),
        };
        if task::spawn(&format!("book-{cell}"), move || writer.run()).is_err() {
            log::error!(target: "sched", "Cannot spawn the writer thread of a cell. cell={cell}");
        }
        self.refresh_cell(cx, &cell);
        self.publish_summaries(now);
    }

    /// Ends the ownership of a cell and stops its tasks, so that its workers get no more orders.
    pub fn end_ownership(&mut self, cell: &str, reason: &str) {
        let Some(owned) = self.cells.remove(cell) else {
            return;
        };
        log::info!(
            target: "sched",
            "Cell ownership ended. cell={cell} epoch={} reason={reason}",
            owned.cell.epoch()
        );
        owned.writer.stop();
        for signal in owned.worker_signals {
            signal.stop();
        }
    }

    fn owned(&mut self, cell: &str, epoch: u64) -> Option<&mut Owned> {
        self.cells
            .get_mut(cell)
            .filter(|owned| owned.cell.epoch() == epoch)
    }

    /// Schedules a pass over a cell; triggers until then are coalesced.
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
        let result = pass::run(&mut owned.cell, MAX_PASS_TASKS, now);
        for worker_index in &result.notified {
            owned.worker_signals[*worker_index].notify();
        }
        if owned.cell.write_queue.is_dirty() {
            owned.writer.notify();
        }
        if result.placed + result.evicted > 0 {
            let time = started.elapsed().as_secs_f64();
            metrics::histogram!("magpie_pass_seconds").record(time);
            metrics::counter!("magpie_starts_total").increment(result.placed as u64);
            metrics::counter!("magpie_evictions_total").increment(result.evicted as u64);
        }
        if result.more {
            self.schedule_pass(cx, &cell);
        }
    }

    /// Handles elapsed time in every cell.
    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        if now > self.last_tick + OWNER_TIMEOUT {
            // Other boxes may own the cells after a pause, so this process waits for their
            // summaries before it claims any, as after a start.
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

    /// Stops placing tasks. Returns the owned cells, to be handed over.
    pub fn begin_stop(&mut self) -> Vec<Arc<str>> {
        self.stopping = true;
        self.cells.keys().cloned().collect()
    }
}

/// Returns true when the previous owner of a cell certainly gives no more orders: there was none,
/// it is not listed, or it is an earlier incarnation of this box.
fn is_predecessor_gone(before: &Option<Arc<str>>, own: &Arc<str>, list: &List) -> bool {
    let Some(before) = before else { return true };
    before == own || !list.items.iter().any(|item| item.name == *before)
}

impl OrderSource for Scheduler {
    fn next_order(
        &mut self,
        cell: &str,
        epoch: u64,
        worker_index: usize,
    ) -> Option<(Arc<str>, Order)> {
        let owned = self.owned(cell, epoch)?;
        let order = owned.cell.next_order(worker_index);
        Some((owned.cell.fleet.worker(worker_index).url.clone(), order))
    }

    fn handle_exchange(
        &mut self,
        cx: CX![],
        (cell, epoch, worker_index): (&Arc<str>, u64, usize),
        order: &Order,
        result: Result<Report, Failure>,
    ) -> Option<Duration> {
        let now = cx.now();
        let heartbeat = self.shared.heartbeat;
        let owned = self.owned(cell, epoch)?;
        match result {
            Ok(report) => {
                owned.cell.handle_report(worker_index, order, report, now);
                let wait = match owned.cell.fleet.worker(worker_index).outbox.is_empty() {
                    true => owned.cell.exchange_wait(worker_index, heartbeat, now),
                    false => Duration::ZERO,
                };
                if owned.cell.write_queue.is_dirty() {
                    owned.writer.notify();
                }
                self.schedule_pass(cx, cell);
                Some(wait)
            }
            Err(failure) if failure.cause == Cause::Conflict => {
                self.yield_cell(cell, "a worker reported a newer epoch", now);
                None
            }
            Err(failure) => {
                let name = &owned.cell.fleet.worker(worker_index).name;
                log::debug!(target: "sched", "Exchange with a worker failed. worker={name} {failure}");
                None
            }
        }
    }
}
