//! One cell in the memory of its owner.

use {
    crate::{
        book::Book,
        fleet::Fleet,
        job::{self, Job, Status},
        journal::Journal,
        limits::Limits,
        placement::Placement,
        plan,
        queue::Queue,
        spec::Spec,
    },
    infra::{
        Size,
        boxes::Item,
        budget::Priority,
        worker::{Order, Stop, StopMode, Task},
    },
    kernel::{Failure, verdict::Cause},
    lease::{Active, Fencing, LeaseTiming, Ownership},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long the fencing waits for workers that do not answer.
const FENCING_MOST: Duration = Duration::from_millis(700);

/// The priority whose submissions are written down before others.
const URGENT: u8 = 9;

/// The least time between two exchanges with a worker that has nothing due.
const WAIT_LEAST: Duration = Duration::from_millis(100);

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
    pub due: Option<Instant>,
    /// True when it is being stopped.
    pub stopping: bool,
}

/// The stage of the ownership.
#[derive(Debug)]
pub enum Stage {
    /// Workers are being fenced and read.
    Fencing(Ownership<Fencing>),
    /// Work is placed.
    Holding(Ownership<Active>),
}

impl Stage {
    /// The epoch.
    pub fn epoch(&self) -> u64 {
        match self {
            Stage::Fencing(tenure) => tenure.epoch(),
            Stage::Holding(tenure) => tenure.epoch(),
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
    pub term: LeaseTiming,
    /// The workers.
    pub fleet: Fleet,
    /// The jobs.
    pub jobs: BTreeMap<Arc<str>, Job>,
    /// The lines.
    pub queue: Queue,
    /// The tasks that run.
    pub running: HashMap<Task, Run>,
    /// The limits.
    pub limits: Limits,
    /// The policy.
    pub placement: Box<dyn Placement>,
    /// What waits to be written down.
    pub journal: Journal,
    /// The counts.
    pub counts: Counts,
    /// When the ownership began.
    pub(crate) since: Instant,
    /// Since when the earlier owner surely gives no orders.
    gone: Option<Instant>,
    /// True when the leases that the earlier owner may have extended are surely over.
    released: bool,
    /// The box that owned the cell before; `None` when none did.
    pub before: Option<Arc<str>>,
}

impl Cell {
    /// Begins an ownership with a raised epoch and the claimed book.
    pub fn new(
        tenure: Ownership<Fencing>,
        book: Book,
        version: u64,
        term: LeaseTiming,
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
            term,
            fleet: Fleet::default(),
            jobs: jobs.collect(),
            queue: Queue::default(),
            running: HashMap::new(),
            limits: Limits::default(),
            placement,
            journal: Journal::new(version, book.write, book.drained),
            counts: Counts::default(),
            since: now,
            gone: None,
            released: false,
            before: None,
        }
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.stage.as_ref().map_or(0, Stage::epoch)
    }

    /// True when work is placed.
    pub fn is_holding(&self) -> bool {
        matches!(self.stage, Some(Stage::Holding(_)))
    }

    /// Takes over what the list says of the cell's workers. Returns the places of new ones.
    pub fn merge(&mut self, items: &[&Item]) -> Vec<usize> {
        let fresh = self.fleet.merge(items);
        let drained = self.journal.drained.clone();
        for name in drained {
            self.set_drained(&name, true);
        }
        fresh
    }

    /// Takes new limits over.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let limits = &self.limits;
        self.queue
            .recount(|class| limits.row(class).map(|row| &row.team));
    }

    /// The next order to a worker.
    pub fn next_order(&mut self, at: usize) -> Order {
        let (epoch, length) = (self.epoch(), self.term.length);
        let name = self.name.clone();
        self.fleet.slot_mut(at).order(&name, epoch, length)
    }

    /// How long the next exchange with a worker may wait: until the first of its tasks should end,
    /// so that its room is not idle until the next heartbeat. A task that is past its time waits
    /// for the heartbeat.
    pub fn next_wait(&self, at: usize, heartbeat: Duration, now: Instant) -> Duration {
        let mut wait = heartbeat;
        for task in &self.fleet.slot(at).tasks {
            let due = self.running.get(task).and_then(|run| run.due);
            let Some(due) = due else { continue };
            if due > now {
                wait = wait.min(due - now);
            }
        }
        wait.max(WAIT_LEAST)
    }

    /// Lets the time pass: the fencing may end, workers may be lost, held tasks may be released.
    pub fn tick(&mut self, now: Instant) {
        self.lose_silent(now);
        if !self.is_holding() {
            let patient = now < self.since + FENCING_MOST;
            if !(self.unheard() && patient) {
                self.hold();
            }
        }
        let unheard = self.unheard();
        if self.is_holding() && (!unheard || self.released) {
            self.release_held();
        }
    }

    /// True while a worker that may run tasks of an earlier owner was not heard.
    fn unheard(&self) -> bool {
        self.fleet
            .slots()
            .iter()
            .any(|slot| slot.listed && !slot.read)
    }

    /// Tells that the earlier owner surely gives no orders any more, from now at the latest. Once
    /// the leases that it may have extended until then are over, what is held may run elsewhere.
    pub fn owner_gone(&mut self, now: Instant) {
        let gone = *self.gone.get_or_insert(now);
        self.released = self.term.is_expired(gone, now);
    }

    /// Ends the fencing: what was not found running may be placed, but for what may run on a
    /// worker that was not heard.
    fn hold(&mut self) {
        let Some(Stage::Fencing(tenure)) = self.stage.take() else {
            return;
        };
        log::info!(
            target: "sched",
            "A cell is held. cell={} epoch={} adopted={}",
            self.name, tenure.epoch(), self.counts.adopted
        );
        self.stage = Some(Stage::Holding(tenure.activate()));
        let unheard = self.unheard();
        let ids: Vec<Arc<str>> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.entry.ended.is_some() {
                continue;
            }
            job.begin(unheard);
            self.line_up(&id);
            self.conclude(&id);
        }
        self.journal.touch();
    }

    /// Frees the tasks that were held for workers which have by now been heard or are gone.
    fn release_held(&mut self) {
        let ids: Vec<Arc<str>> = self
            .jobs
            .values()
            .filter(|job| !job.held.is_empty())
            .map(|job| job.entry.id.clone())
            .collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.release();
            self.line_up(&id);
            self.conclude(&id);
            self.journal.touch();
        }
    }

    /// Puts a job into its class's line if it has tasks that may be started.
    pub(crate) fn line_up(&mut self, id: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.lined || job.ready.is_empty() {
            return;
        }
        job.lined = true;
        self.queue
            .line(&job.entry.spec.class)
            .jobs
            .push_back(id.clone());
    }

    /// Notes the end of a job whose tasks all ended.
    pub(crate) fn conclude(&mut self, id: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.entry.ended.is_none() && job.is_over() {
            job.entry.ended = Some(kernel::wall_clock::millis());
            job.entry.resume.clear();
            self.journal.touch();
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
        spec.check(row)?;
        if let Some(row) = row {
            plan::admitted(&self.name, &self.limits, row, &spec)?;
        }
        self.journal.admit()?;
        let urgent = row.is_some_and(|row| row.priority == URGENT);
        self.journal.hurry(if urgent {
            Priority::Takeover
        } else {
            Priority::Durable
        });
        let entry = crate::book::Entry::new(id.clone(), spec, at);
        self.jobs.insert(id.clone(), Job::new(entry));
        self.journal.touch();
        Ok(())
    }

    /// Lets a job that is written down begin.
    pub(crate) fn begin(&mut self, id: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.begun {
            job.begin(false);
        }
        self.line_up(id);
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
                StopMode::Kill,
            );
        }
        self.journal.touch();
        self.conclude(id);
        Ok(())
    }

    /// Orders a task that runs to stop.
    pub(crate) fn stop(&mut self, task: &Task, manner: StopMode) {
        let Some(run) = self.running.get_mut(task) else {
            return;
        };
        if run.stopping && manner == StopMode::Checkpoint {
            return;
        }
        let slot = self.fleet.slot_mut(run.worker);
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
        self.journal.drained.retain(|other| other != name);
        if drained {
            self.journal.drained.push(name.clone());
        }
        self.journal.touch();
        true
    }

    fn set_drained(&mut self, name: &str, drained: bool) -> bool {
        let Some(at) = self.fleet.place(name) else {
            return false;
        };
        let slot = self.fleet.slot_mut(at);
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
    pub fn queued(&self) -> u32 {
        let waiting = |job: &Job| {
            job::size_of(&job.ready) + job::size_of(&job.unmarked) + job::size_of(&job.held)
        };
        self.jobs
            .values()
            .filter(|job| job.entry.ended.is_none())
            .map(waiting)
            .sum()
    }

    /// True when nothing waits to be written down.
    pub fn is_flushed(&self) -> bool {
        !self.is_holding() || !(self.journal.is_dirty() || self.journal.is_sending())
    }
}
