//! The state of a cell in the memory of its owner: workers, jobs, queues, fencing and recovery.

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

/// How long fencing waits for workers that do not answer.
const MAX_FENCING: Duration = Duration::from_millis(700);

/// The priority whose submissions are persisted before others.
const URGENT: u8 = 9;

/// Minimum time between two exchanges with a worker when nothing is due.
const MIN_EXCHANGE_WAIT: Duration = Duration::from_millis(100);

/// A run of a task: ordered, running or stopping.
#[derive(Debug, Clone)]
pub struct Run {
    /// Index of the worker.
    pub worker: usize,
    /// Number of the start.
    pub attempt: u64,
    /// The class of work.
    pub class: Arc<str>,
    /// The allocated capacity.
    pub size: Size,
    /// When the task was placed or adopted.
    pub since: Instant,
    /// When the task should end by its declared length; `None` for a task without an end, and for
    /// an adopted one.
    pub expected_end: Option<Instant>,
    /// True once the task was ordered to stop.
    pub stopping: bool,
}

/// The stage of the ownership.
#[derive(Debug)]
pub enum Stage {
    /// Workers are being fenced and their ledgers read.
    Fencing(Ownership<Fencing>),
    /// Tasks are placed.
    Active(Ownership<Active>),
}

impl Stage {
    /// Returns the epoch.
    pub fn epoch(&self) -> u64 {
        match self {
            Stage::Fencing(ownership) => ownership.epoch(),
            Stage::Active(ownership) => ownership.epoch(),
        }
    }
}

/// Task counts since the ownership began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Started tasks.
    pub starts: u64,
    /// Finished tasks.
    pub finished: u64,
    /// Tasks stopped for tasks of higher priority.
    pub evictions: u64,
    /// Running tasks adopted from a previous owner.
    pub adopted: u64,
    /// Tasks lost with their worker.
    pub lost: u64,
}

/// A cell owned by this process.
pub struct Cell {
    /// The name of the cell: its data hall.
    pub name: Arc<str>,
    /// The stage; `None` only during a transition.
    pub(crate) stage: Option<Stage>,
    /// Lease duration and clock drift.
    pub timing: LeaseTiming,
    /// The workers.
    pub fleet: Fleet,
    /// The jobs.
    pub jobs: BTreeMap<Arc<str>, Job>,
    /// The job queues.
    pub queues: Queues,
    /// The runs of tasks.
    pub running: HashMap<Task, Run>,
    /// The limits.
    pub limits: Limits,
    /// The placement policy.
    pub placement: Box<dyn Placement>,
    /// Unpersisted changes.
    pub write_queue: WriteQueue,
    /// Task counts.
    pub counts: Counts,
    /// When the ownership began.
    pub(crate) since: Instant,
    /// Since when the previous owner certainly gives no orders.
    predecessor_gone: Option<Instant>,
    /// True once the leases that the previous owner may have extended have certainly expired.
    leases_expired: bool,
    /// The box that owned the cell before; `None` when no box did.
    pub predecessor: Option<Arc<str>>,
}

impl Cell {
    /// Begins an ownership with a raised epoch and the claimed record at store version `version`.
    pub fn new(
        ownership: Ownership<Fencing>,
        record: CellRecord,
        version: u64,
        timing: LeaseTiming,
        placement: Box<dyn Placement>,
        now: Instant,
    ) -> Self {
        let jobs = record
            .jobs
            .into_iter()
            .map(|record| (record.id.clone(), Job::new(record)));
        Cell {
            name: ownership.cell().clone(),
            stage: Some(Stage::Fencing(ownership)),
            timing,
            fleet: Fleet::default(),
            jobs: jobs.collect(),
            queues: Queues::default(),
            running: HashMap::new(),
            limits: Limits::default(),
            placement,
            write_queue: WriteQueue::new(version, record.write, record.drained),
            counts: Counts::default(),
            since: now,
            predecessor_gone: None,
            leases_expired: false,
            predecessor: None,
        }
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> u64 {
        self.stage.as_ref().map_or(0, Stage::epoch)
    }

    /// Returns true once fencing has ended and tasks are placed.
    pub fn is_active(&self) -> bool {
        matches!(self.stage, Some(Stage::Active(_)))
    }

    /// Applies the platform's listing of the cell's workers. Returns the indexes of new workers.
    pub fn update_workers(&mut self, items: &[&Item]) -> Vec<usize> {
        let new_workers = self.fleet.update(items);
        let drained = self.write_queue.drained.clone();
        for name in drained {
            self.set_drained(&name, true);
        }
        new_workers
    }

    /// Applies new limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let limits = &self.limits;
        self.queues
            .recount_teams(|class| limits.row(class).map(|row| &row.team));
    }

    /// Builds the next order to a worker.
    pub fn next_order(&mut self, worker_index: usize) -> Order {
        let (epoch, length) = (self.epoch(), self.timing.length);
        let name = self.name.clone();
        self.fleet
            .worker_mut(worker_index)
            .order(&name, epoch, length)
    }

    /// Returns the wait before the next exchange with a worker: until the first of its tasks should
    /// end, so that its capacity is not idle until the next heartbeat. Tasks past their expected
    /// end are checked at the heartbeat.
    pub fn exchange_wait(
        &self,
        worker_index: usize,
        heartbeat: Duration,
        now: Instant,
    ) -> Duration {
        let mut wait = heartbeat;
        for task in &self.fleet.worker(worker_index).tasks {
            let due = self.running.get(task).and_then(|run| run.expected_end);
            let Some(due) = due else { continue };
            if due > now {
                wait = wait.min(due - now);
            }
        }
        wait.max(MIN_EXCHANGE_WAIT)
    }

    /// Handles elapsed time: declares unreachable workers lost, ends the fencing, and releases
    /// unconfirmed tasks.
    pub fn tick(&mut self, now: Instant) {
        self.expire_unreachable(now);
        if !self.is_active() {
            let within_limit = now < self.since + MAX_FENCING;
            if !(self.has_unread_workers() && within_limit) {
                self.activate();
            }
        }
        let has_unread = self.has_unread_workers();
        if self.is_active() && (!has_unread || self.leases_expired) {
            self.release_unconfirmed();
        }
    }

    /// Returns true while a listed worker, which may run tasks of a previous owner, has not
    /// reported its ledger.
    fn has_unread_workers(&self) -> bool {
        self.fleet
            .workers()
            .iter()
            .any(|worker| worker.listed && !worker.ledger_read)
    }

    /// Records that the previous owner certainly gives no more orders. Once the leases that it may
    /// have extended until then have expired, unconfirmed tasks may run elsewhere.
    pub fn handle_predecessor_gone(&mut self, now: Instant) {
        let gone = *self.predecessor_gone.get_or_insert(now);
        self.leases_expired = self.timing.is_expired(gone, now);
    }

    /// Ends the fencing: tasks that were not found running may be placed, except those that may run
    /// on a worker whose ledger was not read.
    fn activate(&mut self) {
        let Some(Stage::Fencing(ownership)) = self.stage.take() else {
            return;
        };
        log::info!(
            target: "sched",
            "Fencing ended; placing tasks. cell={} epoch={} adopted={}",
            self.name, ownership.epoch(), self.counts.adopted
        );
        self.stage = Some(Stage::Active(ownership.activate()));
        let has_unread = self.has_unread_workers();
        let ids: Vec<Arc<str>> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.record.ended.is_some() {
                continue;
            }
            job.classify_tasks(has_unread);
            self.enqueue(&id);
            self.check_ended(&id);
        }
        self.write_queue.mark_dirty();
    }

    /// Releases the unconfirmed tasks once every worker has reported or the leases have expired.
    fn release_unconfirmed(&mut self) {
        let ids: Vec<Arc<str>> = self
            .jobs
            .values()
            .filter(|job| !job.unconfirmed.is_empty())
            .map(|job| job.record.id.clone())
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

    /// Adds a job to the queue of its class if it has ready tasks.
    pub(crate) fn enqueue(&mut self, id: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.queued || job.ready.is_empty() {
            return;
        }
        job.queued = true;
        self.queues
            .class_mut(&job.record.spec.class)
            .jobs
            .push_back(id.clone());
    }

    /// Marks a job as ended if no task runs or will run.
    pub(crate) fn check_ended(&mut self, id: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.record.ended.is_none() && job.is_finished() {
            job.record.ended = Some(kernel::wall_clock::millis());
            job.record.resume.clear();
            self.write_queue.mark_dirty();
        }
    }

    /// Accepts a job. Its tasks may be started once it is persisted.
    ///
    /// # Errors
    ///
    /// Fails if the specification is invalid or can never run in this cell, if another job has the
    /// id, or if the cell record is full.
    pub fn submit(&mut self, id: &Arc<str>, spec: Spec, submitted_at: u64) -> Result<(), Failure> {
        if let Some(job) = self.jobs.get(id) {
            // A repeated submission, after a lost reply.
            if job.record.spec == spec {
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
            Priority::Takeover
        } else {
            Priority::Durable
        });
        let record = crate::record::JobRecord::new(id.clone(), spec, submitted_at);
        self.jobs.insert(id.clone(), Job::new(record));
        self.write_queue.mark_dirty();
        Ok(())
    }

    /// Activates a persisted job.
    pub(crate) fn activate_job(&mut self, id: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.classified {
            job.classify_tasks(false);
        }
        self.enqueue(id);
    }

    /// Cancels a job: no further task is started, and running tasks are stopped.
    ///
    /// # Errors
    ///
    /// Fails if there is no such job.
    pub fn cancel(&mut self, id: &Arc<str>) -> Result<(), Failure> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Err(Failure::not_run(
                Cause::Invalid,
                format!("there is no job {id}"),
            ));
        };
        if job.record.cancelled || job.record.ended.is_some() {
            return Ok(());
        }
        job.record.cancelled = true;
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
        self.write_queue.mark_dirty();
        self.check_ended(id);
        Ok(())
    }

    /// Orders a running task to stop.
    pub(crate) fn stop(&mut self, task: &Task, mode: StopMode) {
        let Some(run) = self.running.get_mut(task) else {
            return;
        };
        if run.stopping && mode == StopMode::Checkpoint {
            return;
        }
        let worker = self.fleet.worker_mut(run.worker);
        if !run.stopping {
            worker.freeing = worker.freeing.plus(run.size);
        }
        run.stopping = true;
        worker.outbox.stops.push(Stop {
            task: task.clone(),
            attempt: run.attempt,
            manner: mode,
        });
    }

    /// Drains a worker, or ends its drain. Returns false when there is no such worker.
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
        let Some(worker_index) = self.fleet.index_of(name) else {
            return false;
        };
        let worker = self.fleet.worker_mut(worker_index);
        worker.drained = drained;
        worker.draining = drained;
        true
    }

    /// Returns the status of a job.
    ///
    /// # Errors
    ///
    /// Fails if there is no such job.
    pub fn status(&self, id: &str) -> Result<Status, Failure> {
        match self.jobs.get(id) {
            Some(job) => Ok(job.status()),
            None => Err(Failure::not_run(
                Cause::Invalid,
                format!("there is no job {id}"),
            )),
        }
    }

    /// Returns the number of waiting tasks.
    pub fn queued_tasks(&self) -> u32 {
        let waiting = |job: &Job| {
            job::count_of(&job.ready)
                + job::count_of(&job.unmarked)
                + job::count_of(&job.unconfirmed)
        };
        self.jobs
            .values()
            .filter(|job| job.record.ended.is_none())
            .map(waiting)
            .sum()
    }

    /// Returns true when there are no unpersisted changes.
    pub fn is_flushed(&self) -> bool {
        !self.is_active() || !(self.write_queue.is_dirty() || self.write_queue.is_writing())
    }
}
