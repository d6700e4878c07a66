//! While this box owns the cell: its beginning, its ticks and its end. What workers say, what comes
//! to the cell, passes of placement and written groups are in files of their own.

mod doubt;
mod halls;
mod pass;
mod take;
mod talk;
mod write;

use {
    self::{doubt::Doubt, halls::Halls},
    crate::{
        core::Core,
        group::Group,
        owning,
        queued::Entrance,
        relays::{Need, Relays},
        settings::TICK,
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
    Here(Entrance),
    /// A relay, by its name.
    Relay(Arc<str>),
}

/// A cell that this box owns.
pub struct Tenure {
    /// The fence at the workers: the revision of the write that claimed the cell.
    pub fence: u64,
    /// The cell.
    pub cell: Cell,
    /// The revision of the head's last write.
    pub head: u64,
    /// The lease that the owner's key lives under.
    pub lease: u64,
    /// The owner's key is to be written again.
    pub announce: bool,
    /// The cell is to be given up once all is written.
    pub leaving: Option<Answerer<bool>>,
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
    doubt: Option<Doubt>,
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

impl Tenure {
    /// A tenure that begins with this cell, whose lease was alive at this time on the clock of this box.
    pub fn new(fence: u64, lease: u64, cell: Cell, claimed: u64) -> Self {
        Tenure {
            fence,
            cell,
            head: fence,
            lease,
            announce: false,
            leaving: None,
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
    /// Its life or the tenure is over.
    Never,
}

impl Tenure {
    /// Nobody talks to a worker any more.
    fn unlink(&mut self, id: &Arc<str>) {
        if let Some(Link::Relay(name)) = self.links.remove(id) {
            self.relays.leave(&name, id);
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
    /// The tenure of this fence, if it still is the one.
    pub(crate) fn tenure_of(&mut self, fence: u64) -> Option<&mut Tenure> {
        self.present().filter(|tenure| tenure.fence == fence)
    }

    /// The tenure, which may be in doubt.
    pub(crate) fn present(&mut self) -> Option<&mut Tenure> {
        let tenure = self.tenure.as_mut()?;
        tenure.doubt_if_late();
        Some(tenure)
    }

    /// The tenure, unless it is in doubt.
    pub(crate) fn sure(&mut self) -> Option<&mut Tenure> {
        self.present().filter(|tenure| !tenure.is_doubtful())
    }

    /// Begins a tenure.
    pub(crate) fn install(&mut self, cx: &mut Cx<'_, Self>, mut tenure: Tenure) {
        let fence = tenure.fence;
        let entries: Vec<Entry> = tenure.cell.entries().cloned().collect();
        tenure.cell.recover(time::now());
        // Reading the cell may have taken longer than its lease was kept alive.
        tenure.doubt_if_late();
        tenure.ticked = time::now();
        self.tenure = Some(tenure);
        self.node.shared.own(fence);
        owning::begin(&self.node, fence);
        for entry in entries {
            self.tend(fence, entry);
        }
        self.tick(cx, fence);
        self.sum_up(cx, fence);
    }

    /// Tells now and then what the cell looks like.
    fn sum_up(&mut self, cx: &mut Cx<'_, Self>, fence: u64) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        let sum = tenure.cell.summary(time::now());
        log::info!(target: "cell", fence, jobs = sum.jobs, placed = sum.placed, workers = sum.workers, open = sum.open, unserving = sum.unserving, mixed = sum.mixed, paced = sum.paced, serving = sum.serving, firm = sum.firm, free = sum.free, largest = sum.largest, unused = sum.unused, waiting = sum.waiting, filling = sum.filling, trials = sum.trials, trial_age = sum.trial_age; "The cell now.");
        metrics::gauge!("magpie_cell_jobs").set(sum.jobs as f64);
        metrics::gauge!("magpie_cell_tasks_placed").set(sum.placed as f64);
        metrics::gauge!("magpie_cell_workers_open").set(sum.open as f64);
        metrics::gauge!("magpie_cell_cores_free").set(sum.free as f64 / 1e3);
        metrics::gauge!("magpie_cell_cores_waiting").set(sum.waiting as f64 / 1e3);
        metrics::gauge!("magpie_cell_cores_filling_waiting").set(sum.filling as f64 / 1e3);
        metrics::gauge!("magpie_cell_trials").set(sum.trials as f64);
        let overdue = tenure.cell.log_overdue(wall::millis(), time::now());
        metrics::gauge!("magpie_cell_lasting_overdue").set(overdue as f64);
        metrics::gauge!("magpie_cell_places_lost").set(tenure.cell.misplaced_tasks() as f64);
        after!(SUM_UP, [cx], |this, cx| this.sum_up(cx, fence));
    }

    /// Ends the tenure: another owner has taken over, or this box gives it up.
    pub(crate) fn depose(&mut self, cause: &str) {
        let Some(mut tenure) = self.tenure.take() else {
            return;
        };
        self.node.shared.own(0);
        tenure.cell.log_done(time::now());
        tenure.forget_halls();
        log::warn!(target: "owner", fence = tenure.fence, cause; "The cell is no longer owned here.");
        metrics::counter!("magpie_tenures_lost_total").increment(1);
        if let Some(answerer) = tenure.leaving {
            answerer.send(true);
        }
    }

    /// Gives the cell up once all is written; answers true then, or false without a cell.
    pub(crate) fn release(&mut self, cx: &mut Cx<'_, Self>, answerer: Answerer<bool>) {
        let Some(tenure) = &mut self.tenure else {
            answerer.send(false);
            return;
        };
        tenure.leaving = Some(answerer);
        self.wake_writer(cx);
    }

    fn tick(&mut self, cx: &mut Cx<'_, Self>, fence: u64) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        tenure.ticked = time::now();
        tenure.doubt_if_alone();
        tenure.cell.log_done(time::now());
        tenure.cell.ready_due_steps(wall::millis());
        tenure.cell.rerank(wall::millis(), time::now());
        tenure.cell.expire_tickets(time::now());
        tenure.cell.relocate(time::now());
        tenure.cell.expire_leases(time::now());
        tenure.unlink_gone();
        let is_intake_due = tenure.cell.is_reread_due();
        let orphans = tenure.relays.lose_silent(time::now());
        let neglected = tenure.relays.take_neglected(time::now());
        if is_intake_due {
            owning::read_again(&self.node, fence);
        }
        self.retend(fence, orphans);
        for entry in neglected {
            log::warn!(target: "owner", worker = &*entry.id; "No relay has room for a worker; the owner talks to it.");
            self.tend_here(fence, entry);
        }
        self.settle(cx);
        after!(TICK, [cx], |this, cx| this.tick(cx, fence));
    }
}
