//! While this box owns the cell: what the actor does with reports, listings and written groups.

use {
    crate::{
        core::Core,
        group::Group,
        outside::Unheard,
        owning,
        settings::{GROUP_GAP, PASS_GAP, TICK},
        store::{Applied, Event},
        time,
    },
    cell::{Advice, Cell, Entry, Order, Outcome, Poll, Question, Reason, Report},
    job::{Id, State, Submission},
    kernel::{
        Failure,
        host::Answerer,
        stakker::{Cx, after},
        wall,
    },
    std::{
        collections::HashMap,
        sync::{Arc, mpsc::Sender},
        time::Duration,
    },
};

/// How long ends that cannot be written down hold the next poll of their worker back.
const UNWRITTEN_PAUSE: Duration = Duration::from_millis(1_000);
/// How often the owner tells what the cell looks like.
const SUM_UP: Duration = Duration::from_millis(1_000);
/// How many records of old jobs go with one group.
const FORGET_AT_ONCE: usize = 2;

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
    links: HashMap<Arc<str>, Sender<Order>>,
    /// The way for questions to the advising service, once there was one.
    advice: Option<Sender<Question>>,
    pollers: HashMap<Arc<str>, Answerer<Option<Poll>>>,
    writer: Option<Answerer<Option<Group>>>,
    written: u64,
    passed: u64,
    pass_due: bool,
    group_due: bool,
}

impl Tenure {
    /// A tenure that begins with this cell.
    pub fn new(fence: u64, lease: u64, cell: Cell) -> Self {
        Tenure {
            fence,
            cell,
            head: fence,
            lease,
            announce: false,
            leaving: None,
            links: HashMap::new(),
            advice: None,
            pollers: HashMap::new(),
            writer: None,
            written: 0,
            passed: 0,
            pass_due: false,
            group_due: false,
        }
    }
}

impl Core {
    /// The tenure of this fence, if it still is the one.
    pub(crate) fn tenure_of(&mut self, fence: u64) -> Option<&mut Tenure> {
        self.tenure.as_mut().filter(|tenure| tenure.fence == fence)
    }

    /// Begins a tenure.
    pub(crate) fn install(&mut self, cx: &mut Cx<'_, Self>, mut tenure: Tenure) {
        let fence = tenure.fence;
        let entries: Vec<Entry> = tenure.cell.entries().cloned().collect();
        tenure.cell.recover(time::now());
        self.tenure = Some(tenure);
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
        log::info!(target: "cell", fence, jobs = sum.jobs, placed = sum.placed, workers = sum.workers, open = sum.open, unserving = sum.unserving, mixed = sum.mixed, paced = sum.paced, serving = sum.serving, firm = sum.firm, free = sum.free, largest = sum.largest, unused = sum.unused, waiting = sum.waiting, filling = sum.filling; "The cell now.");
        metrics::gauge!("magpie_cell_jobs").set(sum.jobs as f64);
        metrics::gauge!("magpie_cell_tasks_placed").set(sum.placed as f64);
        metrics::gauge!("magpie_cell_workers_open").set(sum.open as f64);
        metrics::gauge!("magpie_cell_cores_free").set(sum.free as f64 / 1e3);
        metrics::gauge!("magpie_cell_cores_waiting").set(sum.waiting as f64 / 1e3);
        metrics::gauge!("magpie_cell_cores_filling_waiting").set(sum.filling as f64 / 1e3);
        after!(SUM_UP, [cx], |this, cx| this.sum_up(cx, fence));
    }

    /// Starts the tasks of a worker.
    fn tend(&mut self, fence: u64, entry: Entry) {
        let node = self.node.clone();
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        let id = entry.id.clone();
        if let Some(sender) = crate::worker::tend(&node, fence, entry) {
            tenure.links.insert(id, sender);
        }
    }

    /// Ends the tenure: another owner has taken over, or this box gives it up.
    pub(crate) fn depose(&mut self, cause: &str) {
        let Some(tenure) = self.tenure.take() else {
            return;
        };
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
        tenure.cell.open_due(wall::millis());
        tenure.cell.rerank(wall::millis());
        tenure.cell.expire_tickets(time::now());
        for id in tenure.cell.lapse(time::now()) {
            tenure.links.remove(&id);
        }
        self.settle(cx);
        after!(TICK, [cx], |this, cx| this.tick(cx, fence));
    }

    /// Takes in a worker's report, and answers what to ask it next once it may be asked.
    pub(crate) fn polled(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        id: &Arc<str>,
        sent: u64,
        result: Result<Report, Unheard>,
        answerer: Answerer<Option<Poll>>,
    ) {
        let Some(tenure) = self.tenure_of(fence) else {
            answerer.send(None);
            return;
        };
        let now = time::now();
        match result {
            Ok(report) => tenure.cell.report(id, report, sent, now, wall::millis()),
            Err(Unheard::Refused(Reason::Fence)) => {
                answerer.send(None);
                self.depose("a worker has seen a higher fence");
                return;
            }
            Err(Unheard::Refused(Reason::OtherLife)) => {
                tenure.cell.lose(id, "another life answers");
            }
            Err(_) => tenure.cell.unheard(id, now),
        }
        if !tenure.cell.knows(id) {
            tenure.links.remove(id);
            answerer.send(None);
            self.settle(cx);
            return;
        }
        if !tenure.cell.is_unwritten(id) {
            let poll = tenure.cell.poll(id, now);
            answerer.send(poll);
            self.settle(cx);
            return;
        }
        tenure.pollers.insert(id.clone(), answerer);
        let id = id.clone();
        after!(UNWRITTEN_PAUSE, [cx], |this, _| this.let_poll(fence, &id));
        self.settle(cx);
    }

    /// The first poll of a worker.
    pub(crate) fn first_poll(&mut self, fence: u64, id: &str) -> Option<Poll> {
        self.tenure_of(fence)?.cell.poll(id, time::now())
    }

    fn let_poll(&mut self, fence: u64, id: &str) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        let Some(answerer) = tenure.pollers.remove(id) else {
            return;
        };
        answerer.send(tenure.cell.poll(id, time::now()));
    }

    /// Takes in what came of an order.
    pub(crate) fn answered(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        id: &Arc<str>,
        order: &Order,
        outcome: Outcome,
    ) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        if tenure.cell.answered(id, order, outcome, time::now()) {
            self.depose("a worker has seen a higher fence");
            return;
        }
        self.settle(cx);
    }

    /// Takes in a listing of the workers.
    pub(crate) fn listed(&mut self, cx: &mut Cx<'_, Self>, fence: u64, entries: Vec<Entry>) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        for entry in tenure.cell.list(entries, time::now()) {
            self.tend(fence, entry);
        }
        self.settle(cx);
    }

    /// Takes in what has come from callers.
    pub(crate) fn intake(&mut self, cx: &mut Cx<'_, Self>, fence: u64, events: Vec<Event>) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        owning::take_in(&mut tenure.cell, events);
        self.settle(cx);
    }

    /// Takes in a job that another box, or this one, has just accepted.
    pub(crate) fn accepted(&mut self, cx: &mut Cx<'_, Self>, submission: Submission) {
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        if tenure.cell.admit(submission, wall::millis()) {
            self.settle(cx);
        }
    }

    /// The state of a job; `None` where it is not known.
    pub(crate) fn state(&self, id: &Id) -> Option<State> {
        self.tenure.as_ref()?.cell.state(id)
    }

    /// Places, sends orders and wakes the writer, now or shortly.
    pub(crate) fn settle(&mut self, cx: &mut Cx<'_, Self>) {
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        let since = time::now().saturating_sub(tenure.passed);
        let gap = PASS_GAP.as_millis() as u64;
        if since >= gap {
            self.pass(cx);
            return;
        }
        if tenure.pass_due {
            return;
        }
        tenure.pass_due = true;
        let fence = tenure.fence;
        after!(Duration::from_millis(gap - since), [cx], |this, cx| {
            if this.tenure_of(fence).is_some() {
                this.pass(cx);
            }
        });
    }

    fn pass(&mut self, cx: &mut Cx<'_, Self>) {
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        tenure.pass_due = false;
        tenure.passed = time::now();
        if tenure.leaving.is_none() {
            tenure.cell.place(time::now());
        }
        for (id, order) in tenure.cell.take_orders() {
            if let Some(link) = tenure.links.get(&id) {
                // A task that has ended belongs to a worker that is gone.
                let _ = link.send(order);
            }
        }
        self.ask_advice();
        self.wake_writer(cx);
    }

    fn ask_advice(&mut self) {
        let node = self.node.clone();
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        let fence = tenure.fence;
        for question in tenure.cell.take_questions() {
            let way = tenure
                .advice
                .get_or_insert_with(|| owning::ask_advice(&node, fence));
            // The task lives as long as the tenure.
            let _ = way.send(question);
        }
    }

    /// Takes in advice, or that there is none.
    pub(crate) fn advised(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        question: &Question,
        advice: Option<Advice>,
    ) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        tenure.cell.advised(question, advice, time::now());
        self.settle(cx);
    }

    /// Hands the writer its next group, now or when the gap has passed.
    pub(crate) fn next_group(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        answerer: Answerer<Option<Group>>,
    ) {
        let Some(tenure) = self.tenure_of(fence) else {
            answerer.send(None);
            return;
        };
        tenure.writer = Some(answerer);
        self.wake_writer(cx);
    }

    pub(crate) fn wake_writer(&mut self, cx: &mut Cx<'_, Self>) {
        let settings = self.node.settings.clone();
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        let has_work = tenure.cell.is_dirty() || tenure.announce || tenure.leaving.is_some();
        if tenure.writer.is_none() || !has_work {
            return;
        }
        let since = time::now().saturating_sub(tenure.written);
        let gap = GROUP_GAP.as_millis() as u64;
        if since >= gap {
            let forgotten = self.forgotten();
            let Some(tenure) = &mut self.tenure else {
                return;
            };
            let group = Group::build(&settings, tenure, forgotten);
            tenure.written = time::now();
            if let Some(writer) = tenure.writer.take() {
                writer.send(Some(group));
            }
            return;
        }
        if tenure.group_due {
            return;
        }
        tenure.group_due = true;
        let fence = tenure.fence;
        after!(Duration::from_millis(gap - since), [cx], |this, cx| {
            if let Some(tenure) = this.tenure_of(fence) {
                tenure.group_due = false;
                this.wake_writer(cx);
            }
        });
    }

    fn forgotten(&mut self) -> Vec<Id> {
        let retention = self.node.settings.retention.as_millis() as u64;
        let before = wall::millis().saturating_sub(retention);
        self.tenure.as_mut().map_or(Vec::new(), |tenure| {
            tenure.cell.forget(before, FORGET_AT_ONCE)
        })
    }

    /// Takes in what came of writing a group.
    pub(crate) fn wrote(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        group: Group,
        result: Result<Applied, Failure>,
    ) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        match result {
            Ok(Applied::Done(revision)) => {
                tenure.head = revision;
                if group.is_last {
                    self.depose("it is handed over");
                    return;
                }
                let kept = tenure.cell.written(&group.covers);
                for id in kept {
                    self.let_poll(fence, &id);
                }
            }
            Ok(Applied::Conflict(items)) => {
                let Some(head) = group.own_head(&items, fence) else {
                    self.depose("another owner has written");
                    return;
                };
                log::info!(target: "owner", head; "A group without an answer turns out to be written.");
                tenure.head = head;
                tenure.announce |= group.announces;
                tenure.cell.unwritten(group.covers);
            }
            Ok(Applied::NoLease) => {
                tenure.lease = 0;
                tenure.announce = true;
                tenure.cell.unwritten(group.covers);
            }
            Err(_) => {
                tenure.announce |= group.announces;
                tenure.cell.unwritten(group.covers);
            }
        }
        self.wake_writer(cx);
    }
}
