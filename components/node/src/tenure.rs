//! While this box owns the cell: what the actor does with reports, listings and written groups.

use {
    crate::{
        core::Core,
        group::Group,
        message::{Duty, Heard, Offer},
        outside::Unheard,
        owning,
        relays::Relays,
        settings::{GROUP_GAP, GROUP_RECORDS, PASS_GAP, TICK},
        store::{Applied, Event},
        time,
    },
    cell::{
        Advice, Cell, Entry, Machine, Order, Outcome, Poll, Question, Reason, Report, Standing,
        Upkeep, Wave,
    },
    job::{Id, State, Submission},
    kernel::{
        Failure,
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

/// How long ends that cannot be written down hold the next poll of their worker back.
const UNWRITTEN_PAUSE: Duration = Duration::from_millis(1_000);
/// How often the owner tells what the cell looks like.
const SUM_UP: Duration = Duration::from_millis(1_000);
/// A pass is followed by a pause of this many times its length.
const PASS_REST: u64 = 4;
/// How many records of old jobs go with one group.
const FORGET_AT_ONCE: usize = 2;

/// Who talks to a worker.
enum Link {
    /// Tasks of this box.
    Here(Sender<Order>),
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
    links: HashMap<Arc<str>, Link>,
    relays: Relays,
    /// The way for questions to the advising service, once there was one.
    advice: Option<Sender<Question>>,
    /// Polls of this box's own tasks that wait for their answer.
    pollers: HashMap<Arc<str>, Answerer<Option<Poll>>>,
    /// Workers whose next poll waits until their ends are written.
    waiting: HashSet<Arc<str>>,
    writer: Option<Answerer<Option<Group>>>,
    written: u64,
    passed: u64,
    /// How long the last pass took, in milliseconds.
    pass_took: u64,
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
            relays: Relays::default(),
            waiting: HashSet::new(),
            advice: None,
            pollers: HashMap::new(),
            writer: None,
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
    fn own_workers(&self) -> usize {
        let here = |link: &&Link| matches!(link, Link::Here(_));
        self.links.values().filter(here).count()
    }

    /// Nobody talks to a worker any more.
    fn unlink(&mut self, id: &Arc<str>) {
        if let Some(Link::Relay(name)) = self.links.remove(id) {
            self.relays.leave(&name, id);
        }
    }

    /// Lets a worker be polled by whoever talks to it.
    fn allow_poll(&mut self, id: &Arc<str>) {
        let now = time::now();
        if let Some(answerer) = self.pollers.remove(id) {
            answerer.send(self.cell.poll(id, now));
            return;
        }
        let Some(Link::Relay(name)) = self.links.get(id) else {
            return;
        };
        if let Some(poll) = self.cell.poll(id, now) {
            self.relays.poll(name, id, now, poll);
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

    /// Finds somebody to talk to a worker: this box, or a relay when it has enough.
    fn tend(&mut self, fence: u64, entry: Entry) {
        let most = self.node.settings.own_workers;
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        if tenure.own_workers() < most {
            self.tend_here(fence, entry);
            return;
        }
        let id = entry.id.clone();
        if let Some(name) = tenure.relays.assign(entry, time::now()) {
            tenure.links.insert(id.clone(), Link::Relay(name));
            tenure.allow_poll(&id);
        }
    }

    /// Starts the tasks of a worker on this box.
    fn tend_here(&mut self, fence: u64, entry: Entry) {
        let node = self.node.clone();
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        let id = entry.id.clone();
        if let Some(sender) = crate::worker::tend(&node, fence, entry) {
            tenure.links.insert(id, Link::Here(sender));
        }
    }

    /// Takes what a relay brings, and gives it what to do next.
    pub(crate) fn take_offer(&mut self, cx: &mut Cx<'_, Self>, offer: Offer) -> Duty {
        let now = time::now();
        let Some(tenure) = &mut self.tenure else {
            return Duty::default();
        };
        let fence = tenure.fence;
        let is_large = tenure.cell.entries().count() > self.node.settings.own_workers;
        if let Some(former) = tenure.relays.join(&offer, is_large, now) {
            self.retend(fence, former);
        }
        if self
            .tenure
            .as_mut()
            .is_some_and(|tenure| tenure.relays.take(&offer, now))
        {
            for heard in offer.heard {
                self.hear(cx, fence, heard);
            }
        }
        self.settle(cx);
        self.tenure.as_mut().map_or(Duty::default(), |tenure| {
            tenure.relays.duty(&offer.name, fence)
        })
    }

    fn hear(&mut self, cx: &mut Cx<'_, Self>, fence: u64, heard: Heard) {
        match heard {
            Heard::Report(id, sent, result) => {
                if self.reported(cx, fence, &id, sent, result) == Next::Poll
                    && let Some(tenure) = self.tenure_of(fence)
                {
                    tenure.allow_poll(&id);
                }
            }
            Heard::Answer(number, outcome) => {
                let Some(tenure) = self.tenure_of(fence) else {
                    return;
                };
                if let Some((id, order)) = tenure.relays.answered(number) {
                    self.answered(cx, fence, &id, &order, outcome);
                }
            }
        }
    }

    /// Gives workers away anew whose relay is gone, and those that nobody had room for.
    fn retend(&mut self, fence: u64, workers: Vec<Arc<str>>) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        let mut entries = tenure.relays.take_unattended();
        for id in workers {
            tenure.links.remove(&id);
            if let Some(entry) = tenure.cell.entry(&id) {
                entries.push(entry.clone());
            }
        }
        for entry in entries {
            let is_known = self
                .tenure_of(fence)
                .is_some_and(|tenure| tenure.cell.knows(&entry.id));
            if is_known {
                self.tend(fence, entry);
            }
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
            tenure.unlink(&id);
        }
        let orphans = tenure.relays.lose_silent(time::now());
        let neglected = tenure.relays.take_neglected(time::now());
        self.retend(fence, orphans);
        for entry in neglected {
            log::warn!(target: "owner", worker = &*entry.id; "No relay has room for a worker; the owner talks to it.");
            self.tend_here(fence, entry);
        }
        self.settle(cx);
        after!(TICK, [cx], |this, cx| this.tick(cx, fence));
    }

    /// Takes in a report that a task of this box brought, and answers what to ask the worker next
    /// once it may be asked.
    pub(crate) fn polled(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        id: &Arc<str>,
        sent: u64,
        result: Result<Report, Unheard>,
        answerer: Answerer<Option<Poll>>,
    ) {
        let next = self.reported(cx, fence, id, sent, result);
        let Some(tenure) = self.tenure_of(fence) else {
            answerer.send(None);
            return;
        };
        match next {
            Next::Poll => answerer.send(tenure.cell.poll(id, time::now())),
            Next::Never => answerer.send(None),
            Next::Later => {
                tenure.pollers.insert(id.clone(), answerer);
            }
        }
    }

    /// Takes in a worker's report.
    fn reported(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        id: &Arc<str>,
        sent: u64,
        result: Result<Report, Unheard>,
    ) -> Next {
        let Some(tenure) = self.tenure_of(fence) else {
            return Next::Never;
        };
        let now = time::now();
        match result {
            Ok(report) => tenure.cell.report(id, report, sent, now, wall::millis()),
            Err(Unheard::Refused(Reason::Fence)) => {
                self.depose("a worker has seen a higher fence");
                return Next::Never;
            }
            Err(Unheard::Refused(Reason::OtherLife)) => {
                tenure.cell.lose(id, "another life answers");
            }
            Err(_) => tenure.cell.unheard(id, now),
        }
        let next = if !tenure.cell.knows(id) {
            tenure.unlink(id);
            Next::Never
        } else if tenure.cell.is_unwritten(id) {
            tenure.waiting.insert(id.clone());
            let id = id.clone();
            after!(UNWRITTEN_PAUSE, [cx], |this, _| this.let_poll(fence, &id));
            Next::Later
        } else {
            Next::Poll
        };
        self.settle(cx);
        next
    }

    /// The first poll of a worker.
    pub(crate) fn first_poll(&mut self, fence: u64, id: &str) -> Option<Poll> {
        self.tenure_of(fence)?.cell.poll(id, time::now())
    }

    /// Lets a worker be polled whose ends are written, or have waited long enough.
    fn let_poll(&mut self, fence: u64, id: &Arc<str>) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        if tenure.waiting.remove(id) {
            tenure.allow_poll(id);
        }
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

    /// Takes in waves and machines; returns the upkeep to order.
    pub(crate) fn upkeep(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        waves: &[Wave],
        machines: &[Machine],
    ) -> Vec<Upkeep> {
        let Some(tenure) = self.tenure_of(fence) else {
            return Vec::new();
        };
        let orders = tenure.cell.upkeep(waves, machines, time::now());
        self.settle(cx);
        orders
    }

    /// How far the waves are.
    pub(crate) fn standings(&mut self, fence: u64, waves: &[Wave]) -> Vec<Standing> {
        self.tenure_of(fence)
            .map_or(Vec::new(), |tenure| tenure.cell.standings(waves))
    }

    /// Takes in that an upkeep was surely not begun.
    pub(crate) fn upkeep_refused(&mut self, fence: u64, order: &Upkeep) {
        if let Some(tenure) = self.tenure_of(fence) {
            tenure.cell.upkeep_refused(order);
        }
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
        // A long pass is followed by a longer pause, so that passes leave time for reports.
        let gap = (PASS_GAP.as_millis() as u64).max(PASS_REST * tenure.pass_took);
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
        let begun = time::now();
        if tenure.leaving.is_none() {
            tenure.cell.place(begun);
        }
        tenure.passed = time::now();
        tenure.pass_took = tenure.passed - begun;
        for (id, order) in tenure.cell.take_orders() {
            match tenure.links.get(&id) {
                // A task that has ended belongs to a worker that is gone.
                Some(Link::Here(link)) => {
                    let _ = link.send(order);
                }
                Some(Link::Relay(name)) => tenure.relays.order(name, &id, order),
                // Nobody talks to it now; what was ordered is found missing in its next report.
                None => {}
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
        // A full group need not wait for more.
        let is_full = tenure.cell.backlog() >= GROUP_RECORDS;
        let gap = if is_full {
            0
        } else {
            GROUP_GAP.as_millis() as u64
        };
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
