//! Requests of operators and clients for the owned cells: jobs and workers.

use {
    super::Scheduler,
    crate::{
        cell_selection,
        job::{self, Status},
        message::{Drain, Worker},
        persistence,
        spec::Spec,
        write_queue::{AfterWrite, WriteCallback},
    },
    kernel::{Failure, actor::Responder, verdict::Cause},
    std::{collections::BTreeSet, sync::Arc, time::Instant},
};

impl Scheduler {
    /// Selects the cell for a new job.
    ///
    /// # Errors
    ///
    /// Returns `Invalid` or `Refused` when the specification is invalid or the job can never run.
    pub fn select_cell(&self, spec: &Spec) -> Result<Arc<str>, Failure> {
        cell_selection::select(spec, &self.table, &self.list, &self.directory)
    }

    /// Returns true when this process owns the cell.
    pub fn owns(&self, cell: &str) -> bool {
        self.cells.contains_key(cell)
    }

    /// Returns the base URL of the known owner of a cell; `None` if it is unknown or this box.
    pub fn owner_url(&self, cell: &str) -> Option<Arc<str>> {
        let known = self.directory.get(cell)?;
        (known.owner != self.shared.name).then(|| known.url.clone())
    }

    /// Accepts a job. `done` is called once the job is persisted or refused.
    pub fn submit(&mut self, id: &Arc<str>, spec: Spec, done: WriteCallback) {
        let cell = job::cell_of(id).unwrap_or_default().to_owned();
        let Some(owned) = self.cells.get_mut(cell.as_str()) else {
            return done(Err(Failure::not_run(
                Cause::Refused,
                "the cell is not owned here",
            )));
        };
        let submitted_at = kernel::wall_clock::millis();
        if let Err(failure) = owned.cell.submit(id, spec, submitted_at) {
            return done(Err(failure));
        }
        owned
            .cell
            .write_queue
            .stage(AfterWrite::ActivateJob(id.clone()));
        owned.cell.write_queue.stage(AfterWrite::Respond(done));
        owned.writer.notify();
    }

    /// Cancels the jobs of owned cells. Responds once the cancellation is persisted in every cell,
    /// with the ids of the jobs that no owned cell has.
    pub fn cancel(
        &mut self,
        ids: &[Arc<str>],
        responder: Responder<Result<Vec<Arc<str>>, Failure>>,
    ) {
        let mut missing = Vec::new();
        let mut cells = BTreeSet::new();
        for id in ids {
            let cell = job::cell_of(id).unwrap_or_default();
            let Some(owned) = self.cells.get_mut(cell) else {
                missing.push(id.clone());
                continue;
            };
            if owned.cell.cancel(id).is_err() {
                missing.push(id.clone());
                continue;
            }
            cells.insert(owned.cell.name.clone());
        }
        if cells.is_empty() {
            return responder.send(Ok(missing));
        }
        let done = Box::new(move |result: Result<(), Failure>| {
            responder.send(result.map(|()| missing));
        });
        for (cell, part_done) in cells
            .iter()
            .zip(persistence::split_callback(done, cells.len()))
        {
            self.notify_workers(cell);
            if let Some(owned) = self.cells.get_mut(cell) {
                owned.cell.write_queue.stage(AfterWrite::Respond(part_done));
                owned.writer.notify();
            }
        }
    }

    /// Wakes the exchange tasks of workers with pending instructions.
    fn notify_workers(&mut self, cell: &str) {
        let Some(owned) = self.cells.get(cell) else {
            return;
        };
        for (worker, signal) in owned.cell.fleet.workers().iter().zip(&owned.worker_signals) {
            if !worker.outbox.is_empty() {
                signal.notify();
            }
        }
    }

    /// Returns the status of a job.
    ///
    /// # Errors
    ///
    /// Returns `Refused` when its cell is not owned here, and `Invalid` when there is no such job.
    pub fn status(&self, id: &str) -> Result<Status, Failure> {
        let cell = job::cell_of(id).unwrap_or_default();
        match self.cells.get(cell) {
            Some(owned) => owned.cell.status(id),
            None => Err(Failure::not_run(
                Cause::Refused,
                "the cell is not owned here",
            )),
        }
    }

    /// Returns the status of all jobs of the owned cells.
    pub fn statuses(&self) -> Vec<Status> {
        let cells = self.cells.values();
        cells
            .flat_map(|owned| owned.cell.jobs.values().map(job::Job::status))
            .collect()
    }

    /// Returns the workers of the owned cells.
    pub fn workers(&self, now: Instant) -> Vec<Worker> {
        let mut workers = Vec::new();
        for (cell, owned) in &self.cells {
            for worker in owned.cell.fleet.workers() {
                workers.push(Worker {
                    name: worker.name.clone(),
                    cell: cell.clone(),
                    generation: worker.generation.clone(),
                    state: Arc::from(worker.state(now)),
                    size: worker.size,
                    free: worker.free,
                    tasks: worker.tasks.len() as u32,
                });
            }
        }
        workers
    }

    /// Drains a worker of an owned cell, or ends its drain. Responds with true once the change is
    /// persisted, and with false when no owned cell has the worker.
    pub fn drain(&mut self, drain: &Drain, responder: Responder<Result<bool, Failure>>) {
        let mut cells = self.cells.values_mut();
        let owner = cells.find(|owned| owned.cell.fleet.index_of(&drain.worker).is_some());
        let Some(owned) = owner else {
            return responder.send(Ok(false));
        };
        owned.cell.drain(&drain.worker, drain.drained);
        let done: WriteCallback = Box::new(move |result| responder.send(result.map(|()| true)));
        owned.cell.write_queue.stage(AfterWrite::Respond(done));
        owned.writer.notify();
    }
}
