//! While this box owns the cell: its beginning, its ticks and its end. What workers say, what comes
//! to the cell, passes of placement and written groups are in files of their own.

mod commit;
mod confirmation;
mod halls;
mod inputs;
mod placement;
mod worker_links;

use {
    self::{confirmation::Unconfirmed, halls::Halls},
    crate::{
        core::Core,
        group::Group,
        order_queue::OrderSender,
        owner_tasks,
        relays::{Need, Relays},
        settings::TICK_INTERVAL,
        time,
    },
    cell::{AdviceQuery, Cell, Entry, Poll},
    kernel::{
        host::Answerer,
        stakker::{Cx, after},
        wall,
    },
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, mpsc::Sender},
        time::Duration,
    },
};

/// How often the owner tells what the cell looks like.
const SUM_UP: Duration = Duration::from_millis(1_000);

/// Who talks to a worker.
enum Link {
    /// Tasks of this box.
    Here(OrderSender),
    /// A relay, by its name.
    Relay(Arc<str>),
}

/// A cell that this box owns.
pub struct Ownership {
    /// The fence at the workers: the revision of the write that claimed the cell.
    pub fence: u64,
    /// The cell.
    pub cell: Cell,
    /// The revision of the head's last write.
    pub head: u64,
    /// The lease that the owner's key lives under.
    pub lease: u64,
    /// The owner's key is to be written again.
    pub republish: bool,
    /// The cell is to be given up once all is written.
    pub handover: Option<Answerer<bool>>,
    /// Who talks to each worker.
    links: HashMap<Arc<str>, Link>,
    /// The boxes that talk to workers for this one.
    relays: Relays,
    /// The way for questions to the advising service, once there was one.
    advice: Option<Sender<AdviceQuery>>,
    /// Polls of this box's own tasks that wait for their answer.
    pollers: HashMap<Arc<str>, Answerer<Option<Poll>>>,
    /// Workers whose next poll waits until their ends are written.
    waiting: HashSet<Arc<str>>,
    /// The writer, while it waits for its next group.
    writer: Option<Answerer<Option<Group>>>,
    /// When the last tick was.
    ticked: u64,
    /// When the store last showed this box as the owner: by a lease that was alive, or a write.
    proven: u64,
    /// Another box may own the cell.
    doubt: Option<Unconfirmed>,
    /// The data halls that are shut.
    halls: Halls,
    /// When the last group went to the writer.
    written: u64,
    /// When the last pass of placement was over.
    passed: u64,
    /// How long the last pass took, in milliseconds.
    pass_took: u64,
    /// A timer will run the next pass.
    pass_due: bool,
    /// A timer will wake the writer.
    group_due: bool,
}

impl Ownership {
    /// A ownership that begins with this cell, whose lease was alive at this time on the clock of this box.
    pub fn new(fence: u64, lease: u64, cell: Cell, claimed: u64) -> Self {
        Ownership {
            fence,
            cell,
            head: fence,
            lease,
            republish: false,
            handover: None,
            links: HashMap::new(),
            relays: Relays::default(),
            waiting: HashSet::new(),
            advice: None,
            pollers: HashMap::new(),
            writer: None,
            ticked: claimed,
            proven: claimed,
            doubt: None,
            halls: Halls::default(),
            written: 0,
            passed: 0,
            pass_took: 0,
            pass_due: false,
            group_due: false,
        }
    }
}

/// When a worker may be polled again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// Now.
    Poll,
    /// When its ends are written.
    Later,
    /// Its life or the ownership is over.
    Never,
}

impl Ownership {
    /// Nobody talks to a worker any more.
    fn unlink(&mut self, id: &Arc<str>) {
        if let Some(Link::Relay(name)) = self.links.remove(id) {
            self.relays.unassign(&name, id);
        }
    }

    /// How much it needs further relays, where a box talks to so many workers alone.
    fn need(&self, alone: usize) -> Need {
        if self.cell.worker_count() <= alone {
            return Need::None;
        }
        let mut links = self.links.values();
        if links.any(|link| matches!(link, Link::Here(_))) {
            Need::Short
        } else {
            Need::Large
        }
    }

    /// Nobody talks to the workers any more that the cell has forgotten. This is done before the
    /// next listing, which may bring one of them back.
    fn unlink_gone(&mut self) {
        for id in self.cell.take_removed() {
            metrics::counter!("magpie_workers_lost_total").increment(1);
            self.unlink(&id);
        }
    }

    /// Lets a worker be polled by whoever talks to it.
    fn allow_poll(&mut self, id: &Arc<str>) {
        let now = time::now();
        if let Some(answerer) = self.pollers.remove(id) {
            answerer.send(self.cell.next_poll(id, now));
            return;
        }
        let Some(Link::Relay(name)) = self.links.get(id) else {
            return;
        };
        if let Some(poll) = self.cell.next_poll(id, now) {
            self.relays.poll(name, id, now, poll);
        }
    }
}

impl Core {
    /// The ownership of this fence, if it still is the one.
    pub(crate) fn ownership_of(&mut self, fence: u64) -> Option<&mut Ownership> {
        self.current_ownership()
            .filter(|ownership| ownership.fence == fence)
    }

    /// The ownership, which may be in doubt.
    pub(crate) fn current_ownership(&mut self) -> Option<&mut Ownership> {
        let ownership = self.ownership.as_mut()?;
        ownership.doubt_if_late();
        Some(ownership)
    }

    /// The ownership, unless it is in doubt.
    pub(crate) fn confirmed_ownership(&mut self) -> Option<&mut Ownership> {
        self.current_ownership()
            .filter(|ownership| !ownership.is_doubtful())
    }

    /// Begins a ownership.
    pub(crate) fn begin_ownership(&mut self, cx: &mut Cx<'_, Self>, mut ownership: Ownership) {
        let fence = ownership.fence;
        let entries: Vec<Entry> = ownership.cell.entries().cloned().collect();
        ownership.cell.recover(time::now());
        // Reading the cell may have taken longer than its lease was kept alive.
        ownership.doubt_if_late();
        ownership.ticked = time::now();
        self.ownership = Some(ownership);
        self.node.shared.set_owning(fence);
        owner_tasks::start_all(&self.node, fence);
        for entry in entries {
            self.tend(fence, entry);
        }
        self.tick(cx, fence);
        self.sum_up(cx, fence);
    }

    /// Tells now and then what the cell looks like.
    fn sum_up(&mut self, cx: &mut Cx<'_, Self>, fence: u64) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        let sum = ownership.cell.summary(time::now());
        log::info!(target: "cell", fence, jobs = sum.jobs, placed = sum.placed, workers = sum.workers, open = sum.schedulable, unserving = sum.without_serving, mixed = sum.mixed, paced = sum.throttled, serving = sum.serving_cpu, firm = sum.other_cpu, free = sum.free_cpu, largest = sum.largest_free, unused = sum.idle_cpu, waiting = sum.waiting_cpu, filling = sum.waiting_best_effort, trials = sum.trials, trial_age = sum.trial_age; "The cell now.");
        metrics::gauge!("magpie_cell_jobs").set(sum.jobs as f64);
        metrics::gauge!("magpie_cell_tasks_placed").set(sum.placed as f64);
        metrics::gauge!("magpie_cell_workers_open").set(sum.schedulable as f64);
        metrics::gauge!("magpie_cell_cores_free").set(sum.free_cpu as f64 / 1e3);
        metrics::gauge!("magpie_cell_cores_waiting").set(sum.waiting_cpu as f64 / 1e3);
        metrics::gauge!("magpie_cell_cores_filling_waiting")
            .set(sum.waiting_best_effort as f64 / 1e3);
        metrics::gauge!("magpie_cell_trials").set(sum.trials as f64);
        let overdue = ownership.cell.log_overdue(wall::millis(), time::now());
        metrics::gauge!("magpie_cell_lasting_overdue").set(overdue as f64);
        metrics::gauge!("magpie_cell_places_lost").set(ownership.cell.misplaced_tasks() as f64);
        after!(SUM_UP, [cx], |this, cx| this.sum_up(cx, fence));
    }

    /// Ends the ownership: another owner has taken over, or this box gives it up.
    pub(crate) fn end_ownership(&mut self, cause: &str) {
        let Some(mut ownership) = self.ownership.take() else {
            return;
        };
        self.node.shared.set_owning(0);
        ownership.cell.log_done(time::now());
        ownership.forget_halls();
        log::warn!(target: "owner", fence = ownership.fence, cause; "The cell is no longer owned here.");
        metrics::counter!("magpie_tenures_lost_total").increment(1);
        if let Some(answerer) = ownership.handover {
            answerer.send(true);
        }
    }

    /// Gives the cell up once all is written; answers true then, or false without a cell.
    pub(crate) fn hand_over(&mut self, cx: &mut Cx<'_, Self>, answerer: Answerer<bool>) {
        let Some(ownership) = &mut self.ownership else {
            answerer.send(false);
            return;
        };
        ownership.handover = Some(answerer);
        self.wake_writer(cx);
    }

    fn tick(&mut self, cx: &mut Cx<'_, Self>, fence: u64) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        ownership.ticked = time::now();
        ownership.doubt_if_alone();
        ownership.cell.log_done(time::now());
        ownership.cell.activate_due_steps(wall::millis());
        ownership.cell.rerank(wall::millis(), time::now());
        ownership.cell.expire_tickets(time::now());
        ownership.cell.relocate(time::now());
        ownership.cell.expire_leases(time::now());
        ownership.unlink_gone();
        let is_intake_due = ownership.cell.is_reread_due();
        let orphans = ownership.relays.expire_silent(time::now());
        let neglected = ownership.relays.take_overdue(time::now());
        if is_intake_due {
            owner_tasks::reread_intake(&self.node, fence);
        }
        self.retend(fence, orphans);
        for entry in neglected {
            log::warn!(target: "owner", worker = &*entry.id; "No relay has room for a worker; the owner talks to it.");
            self.tend_here(fence, entry);
        }
        self.schedule_pass(cx);
        after!(TICK_INTERVAL, [cx], |this, cx| this.tick(cx, fence));
    }
}
