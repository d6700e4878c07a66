//! One cell in the memory of its owner.

use {
    crate::{
        cell_selection,
        fleet::Fleet,
        job::{self, Job, Status},
        limits::Limits,
        placement::Placement,
        queue::Queues,
        record::CellRecord,
        spec::Spec,
        write_queue::WriteQueue,
    },
    infra::{
        Size,
        boxes::Item,
        budget::Rank,
        worker::{Manner, Order, Stop, Task},
    },
    kernel::{Failure, verdict::Cause},
    lease::{Fencing, Holding, Tenure, Term},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long the fencing waits for workers that do not answer.
const MAX_FENCING: Duration = Duration::from_millis(700);

/// The priority whose submissions are written down before others.
const URGENT: u8 = 9;

/// The least time between two exchanges with a worker that has nothing due.
const MIN_EXCHANGE_WAIT: Duration = Duration::from_millis(100);

/// A task that runs, or was ordered to.
#[derive(Debug, Clone)]
pub struct Run {
    /// The worker's place.
    pub worker: usize,
    /// The number of the start.
    pub attempt: u64,
    /// The class.
    pub class: Arc<str>,
    /// What it is committed.
    pub size: Size,
    /// When it was placed or adopted.
    pub since: Instant,
    /// When it should end by its declared length; `None` for a task without an end.
    pub expected_end: Option<Instant>,
    /// True when it is being stopped.
    pub stopping: bool,
}

/// The stage of the ownership.
#[derive(Debug)]
pub enum Stage {
    /// Workers are being fenced and read.
    Fencing(Tenure<Fencing>),
    /// Work is placed.
    Active(Tenure<Holding>),
}

impl Stage {
    /// The epoch.
    pub fn epoch(&self) -> u64 {
        match self {
            Stage::Fencing(tenure) => tenure.epoch(),
            Stage::Active(tenure) => tenure.epoch(),
        }
    }
}

/// Counts of what the owner decided.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tasks placed.
    pub starts: u64,
    /// Tasks that finished.
    pub finished: u64,
    /// Tasks stopped for more urgent ones.
    pub evictions: u64,
    /// Tasks adopted from an earlier owner.
    pub adopted: u64,
    /// Tasks lost with their workers.
    pub lost: u64,
}

/// One cell.
pub struct Cell {
    /// The name: the data hall.
    pub name: Arc<str>,
    /// The stage; `None` only while it changes.
    pub(crate) stage: Option<Stage>,
    /// The terms of the leases.
    pub timing: Term,
    /// The workers.
    pub fleet: Fleet,
    /// The jobs.
    pub jobs: BTreeMap<Arc<str>, Job>,
    /// The lines.
    pub queues: Queues,
    /// The tasks that run.
    pub running: HashMap<Task, Run>,
    /// The limits.
    pub limits: Limits,
    /// The policy.
    pub placement: Box<dyn Placement>,
    /// What waits to be written down.
    pub write_queue: WriteQueue,
    /// The counts.
    pub counts: Counts,
    /// When the ownership began.
    pub(crate) since: Instant,
    /// Since when the earlier owner surely gives no orders.
    predecessor_gone: Option<Instant>,
    /// True when the leases that the earlier owner may have extended are surely over.
    leases_expired: bool,
    /// The box that owned the cell before; `None` when none did.
    pub predecessor: Option<Arc<str>>,
}

impl Cell {
    /// Begins an ownership with a raised epoch and the claimed book.
    pub fn new(
        tenure: Tenure<Fencing>,
        book: CellRecord,
        version: u64,
        timing: Term,
        placement: Box<dyn Placement>,
        now: Instant,
    ) -> Self {
        let jobs = book
            .jobs
            .into_iter()
            .map(|entry| (entry.id.clone(), Job::new(entry)));
        Cell {
            name: tenure.cell().clone(),
            stage: Some(Stage::Fencing(tenure)),
            timing: timing,
            fleet: Fleet::default(),
            jobs: jobs.collect(),
            queues: Queues::default(),
            running: HashMap::new(),
            limits: Limits::default(),
            placement,
            write_queue: WriteQueue::new(version, book.write, book.drained),
            counts: Counts::default(),
            since: now,
            predecessor_gone: None,
            leases_expired: false,
            predecessor: None,
        }
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.stage.as_ref().map_or(0, Stage::epoch)
    }

    /// True when work is placed.
    pub fn is_active(&self) -> bool {
        matches!(self.stage, Some(Stage::Active(_)))
    }

    /// Takes over what the list says of the cell's workers. Returns the places of new ones.
    pub fn merge(&mut self, items: &[&Item]) -> Vec<usize> {
        let fresh = self.fleet.update(items);
        let drained = self.write_queue.drained.clone();
        for name in drained {
            self.set_drained(&name, true);
        }
        fresh
    }

    /// Takes new limits over.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let limits = &self.limits;
        self.queues
            .recount_teams(|class| limits.row(class).map(|row| &row.team));
    }

    /// The next order to a worker.
    pub fn next_order(&mut self, at: usize) -> Order {
        let (epoch, length) = (self.epoch(), self.timing.length);
        let name = self.name.clone();
        self.fleet.worker_mut(at).order(&name, epoch, length)
    }

    /// How long the next exchange with a worker may wait: until the first of its tasks should end,
    /// so that its room is not idle until the next heartbeat. A task that is past its time waits
    /// for the heartbeat.
    pub fn exchange_wait(&self, at: usize, heartbeat: Duration, now: Instant) -> Duration {
        let mut wait = heartbeat;
        for task in &self.fleet.worker(at).tasks {
            let due = self.running.get(task).and_then(|run| run.expected_end);
            let Some(due) = due else { continue };
            if due > now {
                wait = wait.min(due - now);
            }
        }
        wait.max(MIN_EXCHANGE_WAIT)
    }

    /// Lets the time pass: the fencing may end, workers may be lost, held tasks may be released.
    pub fn tick(&mut self, now: Instant) {
        self.expire_unreachable(now);
        if !self.is_active() {
            let patient = now < self.since + MAX_FENCING;
            if !(self.has_unread_workers() && patient) {
                self.activate();
            }
        }
        let unheard = self.has_unread_workers();
        if self.is_active() && (!unheard || self.leases_expired) {
            self.release_unconfirmed();
        }
    }

    /// True while a worker that may run tasks of an earlier owner was not heard.
    fn has_unread_workers(&self) -> bool {
        self.fleet
            .workers()
            .iter()
            .any(|slot| slot.listed && !slot.ledger_read)
    }

    /// Tells that the earlier owner surely gives no orders any more, from now at the latest. Once
    /// the leases that it may have extended until then are over, what is held may run elsewhere.
    pub fn handle_predecessor_gone(&mut self, now: Instant) {
        let gone = *self.predecessor_gone.get_or_insert(now);
        self.leases_expired = self.timing.is_over(gone, now);
    }

    /// Ends the fencing: what was not found running may be placed, but for what may run on a
    /// worker that was not heard.
    fn activate(&mut self) {
        let Some(Stage::Fencing(tenure)) = self.stage.take() else {
            return;
        };
        log::info!(
            target: "sched",
            "A cell is held. cell={} epoch={} adopted={}",
            self.name, tenure.epoch(), self.counts.adopted
        );
        self.stage = Some(Stage::Active(tenure.hold()));
        let unheard = self.has_unread_workers();
        let ids: Vec<Arc<str>> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.entry.ended.is_some() {
                continue;
            }
            job.classify_tasks(unheard);
            self.enqueue(&id);
            self.check_ended(&id);
        }
        self.write_queue.mark_dirty();
    }

    /// Frees the tasks that were held for workers which have by now been heard or are gone.
    fn release_unconfirmed(&mut self) {
        let ids: Vec<Arc<str>> = self
            .jobs
            .values()
            .filter(|job| !job.unconfirmed.is_empty())
            .map(|job| job.entry.id.clone())
            .collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.release_unconfirmed();
            self.enqueue(&id);
            self.check_ended(&id);
            self.write_queue.mark_dirty();
        }
    }

    /// Puts a job into its class's line if it has tasks that may be started.
    pub(crate) fn enqueue(&mut self, id: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.queued || job.ready.is_empty() {
            return;
        }
        job.queued = true;
        self.queues
            .class_mut(&job.entry.spec.class)
            .jobs
            .push_back(id.clone());
    }

    /// Notes the end of a job whose tasks all ended.
    pub(crate) fn check_ended(&mut self, id: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.entry.ended.is_none() && job.is_finished() {
            job.entry.ended = Some(kernel::wall_clock::millis());
            job.entry.resume.clear();
            self.write_queue.mark_dirty();
        }
    }

    /// Takes a job in. It may be started once it is written down.
    ///
    /// # Errors
    ///
    /// The spec breaks a rule, can never run in this cell, or there is no room to write it down.
    pub fn submit(&mut self, id: &Arc<str>, spec: Spec, at: u64) -> Result<(), Failure> {
        if let Some(job) = self.jobs.get(id) {
            // The same submission again, after a lost reply.
            if job.entry.spec == spec {
                return Ok(());
            }
            return Err(Failure::not_run(
                Cause::Conflict,
                format!("{id} is another job"),
            ));
        }
        let row = self.limits.row(&spec.class);
        spec.validate(row)?;
        if let Some(row) = row {
            cell_selection::check_limits(&self.name, &self.limits, row, &spec)?;
        }
        self.write_queue.check_capacity()?;
        let urgent = row.is_some_and(|row| row.priority == URGENT);
        self.write_queue.raise_priority(if urgent {
            Rank::Takeover
        } else {
            Rank::Durable
        });
        let entry = crate::record::JobRecord::new(id.clone(), spec, at);
        self.jobs.insert(id.clone(), Job::new(entry));
        self.write_queue.mark_dirty();
        Ok(())
    }

    /// Lets a job that is written down begin.
    pub(crate) fn begin(&mut self, id: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.classified {
            job.classify_tasks(false);
        }
        self.enqueue(id);
    }

    /// Cancels a job: no task is started any more, and those that run are stopped.
    ///
    /// # Errors
    ///
    /// There is no such job.
    pub fn cancel(&mut self, id: &Arc<str>) -> Result<(), Failure> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Err(Failure::not_run(
                Cause::Invalid,
                format!("there is no job {id}"),
            ));
        };
        if job.entry.cancelled || job.entry.ended.is_some() {
            return Ok(());
        }
        job.entry.cancelled = true;
        job.ready.clear();
        job.unmarked.clear();
        let running: Vec<u32> = job.running.iter().copied().collect();
        for index in running {
            self.stop(
                &Task {
                    job: id.clone(),
                    index,
                },
                Manner::Kill,
            );
        }
        self.write_queue.mark_dirty();
        self.check_ended(id);
        Ok(())
    }

    /// Orders a task that runs to stop.
    pub(crate) fn stop(&mut self, task: &Task, manner: Manner) {
        let Some(run) = self.running.get_mut(task) else {
            return;
        };
        if run.stopping && manner == Manner::Checkpoint {
            return;
        }
        let slot = self.fleet.worker_mut(run.worker);
        if !run.stopping {
            slot.freeing = slot.freeing.plus(run.size);
        }
        run.stopping = true;
        slot.outbox.stops.push(Stop {
            task: task.clone(),
            attempt: run.attempt,
            manner,
        });
    }

    /// Drains a worker, or takes that back. False when there is no such worker.
    pub fn drain(&mut self, name: &Arc<str>, drained: bool) -> bool {
        if !self.set_drained(name, drained) {
            return false;
        }
        self.write_queue.drained.retain(|other| other != name);
        if drained {
            self.write_queue.drained.push(name.clone());
        }
        self.write_queue.mark_dirty();
        true
    }

    fn set_drained(&mut self, name: &str, drained: bool) -> bool {
        let Some(at) = self.fleet.index_of(name) else {
            return false;
        };
        let slot = self.fleet.worker_mut(at);
        slot.drained = drained;
        slot.draining = drained;
        true
    }

    /// Where a job stands.
    ///
    /// # Errors
    ///
    /// There is no such job.
    pub fn status(&self, id: &str) -> Result<Status, Failure> {
        match self.jobs.get(id) {
            Some(job) => Ok(job.status()),
            None => Err(Failure::not_run(
                Cause::Invalid,
                format!("there is no job {id}"),
            )),
        }
    }

    /// Tasks that wait.
    pub fn queued_tasks(&self) -> u32 {
        let waiting = |job: &Job| {
            job::count_of(&job.ready)
                + job::count_of(&job.unmarked)
                + job::count_of(&job.unconfirmed)
        };
        self.jobs
            .values()
            .filter(|job| job.entry.ended.is_none())
            .map(waiting)
            .sum()
    }

    /// True when nothing waits to be written down.
    pub fn is_flushed(&self) -> bool {
        !self.is_active() || !(self.write_queue.is_dirty() || self.write_queue.is_writing())
    }
}
