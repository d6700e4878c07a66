//! What operators ask of the cells owned here: jobs and workers.

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
    /// The cell that a new job goes to.
    ///
    /// # Errors
    ///
    /// The job breaks a rule or can never run.
    pub fn select_cell(&self, spec: &Spec) -> Result<Arc<str>, Failure> {
        cell_selection::select(spec, &self.table, &self.list, &self.directory)
    }

    /// True when this process owns the cell.
    pub fn owns(&self, cell: &str) -> bool {
        self.cells.contains_key(cell)
    }

    /// The base address of the scheduler that owns a cell, as far as is known.
    pub fn owner_url(&self, cell: &str) -> Option<Arc<str>> {
        let known = self.directory.get(cell)?;
        (known.owner != self.shared.name).then(|| known.url.clone())
    }

    /// Takes a job in; `done` is called once it is written down, or refused.
    pub fn submit(&mut self, id: &Arc<str>, spec: Spec, done: WriteCallback) {
        let cell = job::cell_of(id).unwrap_or_default().to_owned();
        let Some(owned) = self.cells.get_mut(cell.as_str()) else {
            return done(Err(Failure::not_run(
                Cause::Refused,
                "the cell is not owned here",
            )));
        };
        let at = kernel::wall_clock::millis();
        if let Err(failure) = owned.cell.submit(id, spec, at) {
            return done(Err(failure));
        }
        owned
            .cell
            .write_queue
            .stage(AfterWrite::ActivateJob(id.clone()));
        owned.cell.write_queue.stage(AfterWrite::Respond(done));
        owned.writer.notify();
    }

    /// Cancels the jobs that are owned here. Once that is written down in every cell, the answer
    /// is the ids of no job here.
    pub fn cancel(
        &mut self,
        ids: &[Arc<str>],
        answerer: Responder<Result<Vec<Arc<str>>, Failure>>,
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
            return answerer.send(Ok(missing));
        }
        let done = Box::new(move |result: Result<(), Failure>| {
            answerer.send(result.map(|()| missing));
        });
        for (cell, part) in cells
            .iter()
            .zip(persistence::split_callback(done, cells.len()))
        {
            self.notify_workers(cell);
            if let Some(owned) = self.cells.get_mut(cell) {
                owned.cell.write_queue.stage(AfterWrite::Respond(part));
                owned.writer.notify();
            }
        }
    }

    /// Wakes the tasks of workers that have something to be told.
    fn notify_workers(&mut self, cell: &str) {
        let Some(owned) = self.cells.get(cell) else {
            return;
        };
        for (slot, bell) in owned.cell.fleet.workers().iter().zip(&owned.worker_signals) {
            if !slot.outbox.is_empty() {
                bell.notify();
            }
        }
    }

    /// Where a job stands.
    ///
    /// # Errors
    ///
    /// It is not owned here.
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

    /// Where all jobs of the cells owned here stand.
    pub fn statuses(&self) -> Vec<Status> {
        let cells = self.cells.values();
        cells
            .flat_map(|owned| owned.cell.jobs.values().map(job::Job::status))
            .collect()
    }

    /// The workers of the cells owned here.
    pub fn workers(&self, now: Instant) -> Vec<Worker> {
        let mut workers = Vec::new();
        for (cell, owned) in &self.cells {
            for slot in owned.cell.fleet.workers() {
                workers.push(Worker {
                    name: slot.name.clone(),
                    cell: cell.clone(),
                    generation: slot.generation.clone(),
                    state: Arc::from(slot.state(now)),
                    size: slot.size,
                    free: slot.free,
                    tasks: slot.tasks.len() as u32,
                });
            }
        }
        workers
    }

    /// Drains a worker of a cell owned here, or takes that back. The answer comes once that is
    /// written down; false when no cell here has the worker.
    pub fn drain(&mut self, drain: &Drain, answerer: Responder<Result<bool, Failure>>) {
        let mut cells = self.cells.values_mut();
        let having = cells.find(|owned| owned.cell.fleet.index_of(&drain.worker).is_some());
        let Some(owned) = having else {
            return answerer.send(Ok(false));
        };
        owned.cell.drain(&drain.worker, drain.drained);
        let done: WriteCallback = Box::new(move |result| answerer.send(result.map(|()| true)));
        owned.cell.write_queue.stage(AfterWrite::Respond(done));
        owned.writer.notify();
    }
}
