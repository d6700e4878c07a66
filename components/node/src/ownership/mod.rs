//! The ownership of the cell by this box: its state, its start, its periodic work and its end. The
//! submodules handle worker connections, inputs, placement passes, group commit, closed halls and
//! unconfirmed ownership.

mod commit;
mod confirmation;
mod halls;
mod inputs;
mod placement;
mod worker_links;

use {
    self::{confirmation::Unconfirmed, halls::Halls},
    crate::{
        admission::{Feed, Figures, PressureReport},
        core::Core,
        fence::HeldJobs,
        group::Group,
        message::QueueStatus,
        order_queue::OrderSender,
        owner_tasks,
        permits::Permits,
        relays::{Need, Relays},
        settings::{TICK_INTERVAL, Takeover},
        time,
    },
    cell::{AdviceQuery, Cell, ClosedBy, Entry, Poll},
    job::Config,
    kernel::{
        actor::Responder,
        stakker::{Cx, after},
        wall_clock,
    },
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, mpsc::Sender},
        time::Duration,
    },
};

/// Interval of the summary of the cell in the log and the metrics.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(1_000);

/// The connection to a worker.
enum Link {
    /// The tasks of this box; holds the sender for orders.
    Local(OrderSender),
    /// A relay, by the name of its box.
    Relay(Arc<str>),
}

/// The cell that this box owns, and the state of the owner.
pub struct Ownership {
    /// The fence presented to workers: the revision of the write that claimed the cell.
    pub fence: u64,
    /// The cell.
    pub cell: Cell,
    /// When the cell was claimed, on the clock of this box.
    pub claimed: u64,
    /// Revision of the last write of the head.
    pub head: u64,
    /// The lease of the owner's key; 0 when it has expired.
    pub lease: u64,
    /// The next group has to write the owner's key again.
    pub republish: bool,
    /// Set when the next group has to release the cell; is sent true once that is done.
    pub handover: Option<Responder<bool>>,
    /// Connections, by worker.
    links: HashMap<Arc<str>, Link>,
    /// The relays, which connect to workers on behalf of this box.
    relays: Relays,
    /// Sender for queries to the placement advisor; set with the first query.
    queries: Option<Sender<AdviceQuery>>,
    /// Local worker tasks that wait for their next poll.
    pending_polls: HashMap<Arc<str>, Responder<Option<Poll>>>,
    /// Workers whose next poll waits until the ends of their tasks are stored.
    unwritten: HashSet<Arc<str>>,
    /// The writer thread, while it waits for the next group.
    writer: Option<Responder<Option<Group>>>,
    /// Time of the last tick.
    last_tick: u64,
    /// When the store last confirmed the ownership, by a lease renewal or a write.
    last_confirmed: u64,
    /// When the lease was last renewed.
    last_renewed: u64,
    /// The permits for the orders of this owner.
    permits: Permits,
    /// Set while another box may own the cell.
    unconfirmed: Option<Unconfirmed>,
    /// Jobs that name the fence of a later owner.
    held: HeldJobs,
    /// The closed data halls.
    halls: Halls,
    /// The figures for admission.
    feed: Feed,
    /// When the last group was sent to the writer.
    group_sent: u64,
    /// A task has been placed in this ownership.
    has_placed: bool,
    /// When the last placement pass ended.
    pass_ended: u64,
    /// Duration of the last placement pass, in milliseconds.
    pass_duration: u64,
    /// A timer for the next pass is set.
    pass_timer: bool,
    /// A timer that wakes the writer is set.
    group_timer: bool,
}

impl Ownership {
    /// Creates the ownership of a loaded cell. `claimed` is when the lease was last known to be
    /// valid, on the clock of this box.
    pub fn new(fence: u64, lease: u64, cell: Cell, claimed: u64) -> Self {
        Ownership {
            fence,
            cell,
            claimed,
            head: fence,
            lease,
            republish: false,
            handover: None,
            links: HashMap::new(),
            relays: Relays::default(),
            unwritten: HashSet::new(),
            queries: None,
            pending_polls: HashMap::new(),
            writer: None,
            last_tick: claimed,
            last_confirmed: claimed,
            last_renewed: claimed,
            permits: Permits::default(),
            unconfirmed: None,
            held: HeldJobs::default(),
            halls: Halls::default(),
            feed: Feed::default(),
            group_sent: 0,
            has_placed: false,
            pass_ended: 0,
            pass_duration: 0,
            pass_timer: false,
            group_timer: false,
        }
    }
}

/// When a worker may be polled again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// At once.
    Poll,
    /// Once the ends of its tasks are stored.
    Later,
    /// Never: its incarnation or the ownership has ended.
    Never,
}

impl Ownership {
    /// Closes the connection to a worker.
    fn disconnect(&mut self, id: &Arc<str>) {
        match self.links.remove(id) {
            Some(Link::Relay(name)) => self.relays.unassign(&name, id),
            Some(Link::Local(_)) | None => self.relays.remove_worker(id),
        }
    }

    /// How urgently the cell needs more relays, if a box connects to at most `direct` workers
    /// itself.
    fn relay_need(&self, direct: usize) -> Need {
        if self.cell.worker_count() <= direct {
            return Need::None;
        }
        let mut links = self.links.values();
        if links.any(|link| matches!(link, Link::Local(_))) {
            Need::Short
        } else {
            Need::Large
        }
    }

    /// Closes the connections to workers that the cell has removed. This has to happen before the
    /// next listing, which may add one of them again.
    fn disconnect_removed(&mut self) {
        for id in self.cell.take_removed() {
            metrics::counter!("magpie_workers_lost_total").increment(1);
            self.disconnect(&id);
        }
    }

    /// Sends a worker's next poll to the local task or the relay that is connected to it.
    fn send_poll(&mut self, id: &Arc<str>) {
        let now = time::now();
        if let Some(responder) = self.pending_polls.remove(id) {
            responder.send(self.cell.next_poll(id, now));
            return;
        }
        let Some(Link::Relay(name)) = self.links.get(id) else {
            return;
        };
        if let Some(poll) = self.cell.next_poll(id, now) {
            self.relays.poll(name, id, now, poll);
        }
    }

    /// What waits in each queue of the configuration; a row for each kind of job under pressure.
    fn queue_statuses(&self, config: &Config) -> Vec<QueueStatus> {
        let mut statuses = Vec::new();
        for queue in &config.queues {
            let pool = self.feed.pool(&queue.pool);
            let idle = QueueStatus {
                queue: queue.name.clone(),
                kind: None,
                waiting: self.cell.queued_jobs(&queue.name),
                wait: 0,
                drain: 0,
                pool: queue.pool.clone(),
                workers: pool.map_or(0, |pool| pool.workers),
                largest: pool.map(|pool| pool.largest).unwrap_or_default(),
                refused: 0,
            };
            let before = statuses.len();
            for own in &self.feed.pressure().queues {
                if own.queue == queue.name {
                    statuses.push(QueueStatus {
                        kind: Some(own.kind),
                        wait: own.wait,
                        drain: own.drain,
                        ..idle.clone()
                    });
                }
            }
            if statuses.len() == before {
                statuses.push(idle);
            }
        }
        statuses
    }
}

impl Core {
    /// The ownership with this fence, if it has not ended.
    pub(crate) fn ownership_of(&mut self, fence: u64) -> Option<&mut Ownership> {
        self.current_ownership()
            .filter(|ownership| ownership.fence == fence)
    }

    /// The ownership, which may be unconfirmed.
    pub(crate) fn current_ownership(&mut self) -> Option<&mut Ownership> {
        let ownership = self.ownership.as_mut()?;
        ownership.check_stall();
        Some(ownership)
    }

    /// The ownership, unless it is unconfirmed.
    pub(crate) fn confirmed_ownership(&mut self) -> Option<&mut Ownership> {
        self.current_ownership()
            .filter(|ownership| !ownership.is_unconfirmed())
    }

    /// Starts an ownership: its threads, the connections to workers and the periodic work.
    pub(crate) fn begin_ownership(&mut self, cx: &mut Cx<'_, Self>, mut ownership: Ownership) {
        let fence = ownership.fence;
        let entries: Vec<Entry> = ownership.cell.entries().cloned().collect();
        match self.node.settings.takeover {
            Takeover::Gradual => ownership.cell.recover_gradually(time::now(), fence),
            Takeover::Complete => ownership.cell.recover(time::now()),
        }
        ownership.permits = self.node.shared.permits.clone();
        ownership
            .permits
            .begin_tenure(fence, ownership.last_confirmed);
        let started = time::now();
        // The lease may have expired while the cell was loaded.
        ownership.check_stall();
        ownership.last_tick = started;
        self.ownership = Some(ownership);
        self.node.shared.set_owning(fence);
        owner_tasks::start_all(&self.node, fence);
        for entry in entries {
            self.connect(fence, entry);
        }
        self.tick(cx, fence);
        self.log_summary(cx, fence);
    }

    /// Logs a summary of the cell and updates its metrics periodically.
    fn log_summary(&mut self, cx: &mut Cx<'_, Self>, fence: u64) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        let summary = ownership.cell.summary(time::now());
        let stalled = ownership
            .cell
            .log_stalled(wall_clock::millis(), time::now());
        log::info!(target: "cell", fence, jobs = summary.jobs, placed = summary.placed, workers = summary.workers, open = summary.schedulable, closed:% = summary.closed, unserving = summary.without_serving, mixed = summary.mixed, paced = summary.throttled, serving = summary.serving_cpu, firm = summary.other_cpu, free = summary.free_cpu, largest = summary.largest_free, unused = summary.idle_cpu, waiting = summary.waiting_cpu, filling = summary.waiting_best_effort, trials = summary.trials, trial_age = summary.trial_age, stalled = stalled.jobs, not_begun = stalled.not_begun; "Cell summary.");
        metrics::gauge!("magpie_cell_jobs").set(summary.jobs as f64);
        metrics::gauge!("magpie_cell_tasks_placed").set(summary.placed as f64);
        metrics::gauge!("magpie_cell_workers_open").set(summary.schedulable as f64);
        for reason in ClosedBy::ALL {
            let count = summary.closed.count(reason);
            metrics::gauge!("magpie_cell_workers_closed", "reason" => reason.as_str())
                .set(count as f64);
        }
        metrics::gauge!("magpie_cell_cores_free").set(summary.free_cpu as f64 / 1e3);
        metrics::gauge!("magpie_cell_cores_waiting").set(summary.waiting_cpu as f64 / 1e3);
        metrics::gauge!("magpie_cell_cores_filling_waiting")
            .set(summary.waiting_best_effort as f64 / 1e3);
        metrics::gauge!("magpie_cell_trials").set(summary.trials as f64);
        let long_waits = ownership
            .cell
            .log_overdue(wall_clock::millis(), time::now());
        metrics::gauge!("magpie_cell_lasting_overdue").set(long_waits as f64);
        metrics::gauge!("magpie_cell_jobs_stalled").set(stalled.jobs as f64);
        metrics::gauge!("magpie_cell_jobs_not_begun").set(stalled.not_begun as f64);
        metrics::gauge!("magpie_cell_workers_sealed").set(ownership.cell.sealed_workers() as f64);
        let unheard = ownership.cell.tasks_waiting_unheard(time::now());
        metrics::gauge!("magpie_cell_tasks_waiting_unheard").set(unheard as f64);
        metrics::gauge!("magpie_cell_places_lost").set(ownership.cell.misplaced_tasks() as f64);
        after!(SUMMARY_INTERVAL, [cx], |this, cx| this
            .log_summary(cx, fence));
    }

    /// Computes the figures for admission if they are due, for this box and the others.
    fn refresh_figures(&mut self) {
        let node = self.node.clone();
        let now = time::now();
        if !node.settings.admission {
            return;
        }
        let Some(ownership) = self.confirmed_ownership() else {
            return;
        };
        if !ownership.feed.is_due(now) {
            return;
        }
        let pressure = ownership.cell.pressure(now, wall_clock::millis());
        let pools = ownership.cell.pool_capacities(now);
        ownership.feed.update(pressure.clone(), pools.clone(), now);
        let figures = Figures {
            pressure: Some(PressureReport { pressure, age: 0 }),
            pools: Some(pools),
        };
        let known = &node.shared.admission.known;
        known.record(&node.settings.name, Some(figures), now, true);
        known.export_age(now);
    }

    /// What waits in each queue; `None` when this box does not own the cell, its ownership is
    /// unconfirmed or it has no configuration.
    pub(crate) fn queue_statuses(&mut self) -> Option<Vec<QueueStatus>> {
        let config = self.node.shared.config.load_full()?;
        Some(self.confirmed_ownership()?.queue_statuses(&config))
    }

    /// Ends the ownership, because another box has claimed the cell or this box releases it.
    pub(crate) fn end_ownership(&mut self, cause: &str) {
        let Some(mut ownership) = self.ownership.take() else {
            return;
        };
        self.node.shared.permits.end_tenure();
        self.node.shared.set_owning(0);
        ownership.cell.log_done(time::now());
        ownership.reset_hall_metrics();
        ownership.feed.reset_metrics();
        log::warn!(target: "owner", fence = ownership.fence, held = ownership.held.len(), cause; "Cell ownership ended.");
        metrics::counter!("magpie_tenures_lost_total").increment(1);
        if let Some(responder) = ownership.handover {
            responder.send(true);
        }
    }

    /// Releases the cell with the next group; answers true once that is done, or false if this box
    /// does not own the cell.
    pub(crate) fn hand_over(&mut self, cx: &mut Cx<'_, Self>, responder: Responder<bool>) {
        let Some(ownership) = &mut self.ownership else {
            responder.send(false);
            return;
        };
        ownership.handover = Some(responder);
        self.wake_writer(cx);
    }

    fn tick(&mut self, cx: &mut Cx<'_, Self>, fence: u64) {
        // Before the check for a stall: one that begins after it must not count as a confirmation.
        let started = time::now();
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        ownership.last_tick = started;
        ownership.check_isolation(started);
        ownership.update_claim_bound();
        ownership.cell.log_done(time::now());
        ownership.cell.activate_due_steps(wall_clock::millis());
        ownership.cell.rerank(wall_clock::millis(), time::now());
        ownership.cell.expire_tickets(time::now());
        ownership.cell.relocate(time::now());
        ownership.cell.expire_leases(time::now());
        ownership.disconnect_removed();
        let is_reread_due = ownership.cell.is_reread_due();
        let orphans = ownership.relays.expire_silent(time::now());
        let overdue = ownership.relays.take_overdue(time::now());
        if is_reread_due {
            owner_tasks::reread_intake(&self.node, fence);
        }
        self.refresh_figures();
        self.reassign(fence, orphans);
        for entry in overdue {
            log::warn!(target: "owner", worker = &*entry.id; "No relay has capacity for a worker; the owner connects to it directly.");
            self.connect_local(fence, entry);
        }
        self.schedule_pass(cx);
        after!(TICK_INTERVAL, [cx], |this, cx| this.tick(cx, fence));
    }
}
