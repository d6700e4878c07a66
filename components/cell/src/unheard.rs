//! A takeover in which tasks start before all workers have answered: each task waits only for
//! workers on which the previous owner may have started it, or may still start it.

use {
    crate::{
        cell::{Cell, Job},
        takeover::{Gradual, HeldBack, Pending, Recovery},
        timing,
        worker::Worker,
    },
    job::{Address, Id},
    policy::takeover::{Origin, Task, Unheard},
    std::{
        collections::{BTreeSet, HashSet},
        ops::Range,
        sync::Arc,
    },
};

/// Interval at which waiting tasks are logged, in milliseconds.
const LOG_INTERVAL: u64 = 500;

impl Cell {
    /// Holds back each task until the workers on which it may run have answered, or until any lease
    /// granted by the previous owner has expired. `fence` is that of this ownership: no previous
    /// owner starts a task of a job that names it. Seals of the previous owner are passed in
    /// before, see [`Cell::restore_seals`].
    pub fn recover_gradually(&mut self, now: u64, fence: u64) {
        self.enable_sealing(true);
        let is_open = |worker: &&Worker| worker.sealed_tasks().is_none();
        let open = self.workers.values().filter(is_open);
        let unfenced: HashSet<Arc<str>> = open.map(|worker| worker.entry.id.clone()).collect();
        log::info!(target: "cell", workers = self.workers.len(), sealed = self.workers.len() - unfenced.len(); "Takeover begins.");
        self.recovery = Some(Recovery {
            missing: self.workers.keys().cloned().collect(),
            unfenced,
            deadline: now + timing::max_lease_duration(self.timing.lease),
            gradual: Some(Gradual {
                fence,
                unheard: self.unheard(),
                logged: now,
            }),
        });
        self.pending = Some(Pending::closing_workers());
        self.first_placement = None;
        self.expire_leases(now);
    }

    /// Returns all workers with what is known of the tasks that may run there.
    fn unheard(&self) -> Unheard {
        let mut unheard = Unheard::default();
        for (id, worker) in &self.workers {
            if let Some(tasks) = worker.sealed_tasks() {
                let names = tasks.iter().map(|key| (key.job.clone(), key.place));
                unheard.add_sealed(id.clone(), names.collect());
            } else if worker.traits_unclear {
                unheard.add_unclear(id.clone());
            } else {
                let entry = &worker.entry;
                unheard.add_open(id.clone(), entry.pool.clone(), entry.labels.clone());
            }
        }
        unheard
    }

    /// Returns the number of tasks that the last pass has held back for workers that have not
    /// reported.
    pub fn tasks_waiting_unheard(&self, now: u64) -> usize {
        let recovery = self.recovery.as_ref();
        let is_waiting = recovery.is_some_and(|recovery| now < recovery.deadline);
        if is_waiting { self.held_back.tasks } else { 0 }
    }

    /// Returns when the first task was placed since the takeover, on the owner's clock.
    pub fn first_placement(&self) -> Option<u64> {
        self.first_placement
    }

    /// True if all unconfirmed jobs wait until the takeover is complete.
    pub(crate) fn recovery_holds_all(&self) -> bool {
        let recovery = self.recovery.as_ref();
        recovery.is_some_and(|recovery| recovery.gradual.is_none())
    }

    /// True if nothing runs on a worker that this owner has not heard: the leases granted by the
    /// previous owner have expired, or it has recorded that the worker holds no tasks.
    pub(crate) fn is_surely_empty(&self, worker: &Worker) -> bool {
        self.recovery.is_none() || worker.sealed_tasks().is_some_and(BTreeSet::is_empty)
    }

    /// Returns the state of the takeover if it decides on the tasks of this job.
    fn gradual(&self, job: &Job) -> Option<&Gradual> {
        let recovery = self.recovery.as_ref().filter(|_| job.unconfirmed)?;
        recovery.gradual.as_ref()
    }

    /// Returns the number of ready tasks of a job of one step if all of them wait for a worker that
    /// has not reported, and that worker. Most jobs have one step, and each pass checks all jobs.
    pub(crate) fn held_job(&self, job: &Job) -> Option<(usize, Arc<str>)> {
        let gradual = self.gradual(job)?;
        if job.steps_ready.len() != 1 {
            return None;
        }
        let place = *job.ready.first()?;
        let address = job.progress.submission.spec.address(place);
        let task = describe(job, address, place, gradual.fence);
        let worker = gradual.unheard.blocker_of_step(&task)?;
        Some((job.ready.len(), worker.clone()))
    }

    /// True if all tasks of a step wait for a worker that has not reported. Counts them as held
    /// back.
    pub(crate) fn is_step_held(
        &mut self,
        id: &Id,
        address: Address,
        places: &Range<usize>,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(gradual) = self.gradual(job) else {
            return false;
        };
        let task = describe(job, address, places.start, gradual.fence);
        let Some(worker) = gradual.unheard.blocker_of_step(&task) else {
            return false;
        };
        let worker = worker.clone();
        let tasks = job.ready.range(places.clone()).count();
        self.hold_back(tasks, worker);
        true
    }

    /// Removes the tasks of a step that wait for a sealed worker that has not reported. Returns
    /// true if there are any.
    pub(crate) fn retain_startable(
        &mut self,
        id: &Id,
        address: Address,
        ready: &mut Vec<usize>,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(gradual) = self.gradual(job) else {
            return false;
        };
        let mut waits_for = None;
        let before = ready.len();
        ready.retain(|&place| {
            let task = describe(job, address, place, gradual.fence);
            let holder = gradual.unheard.holder(&task);
            waits_for = holder.cloned().or(waits_for.take());
            holder.is_none()
        });
        let Some(worker) = waits_for else {
            return false;
        };
        self.hold_back(before - ready.len(), worker);
        true
    }

    /// Counts tasks as held back for a worker.
    pub(crate) fn hold_back(&mut self, tasks: usize, worker: Arc<str>) {
        self.held_back.tasks += tasks;
        self.held_back.worker.get_or_insert(worker);
    }

    /// Logs how many tasks wait for workers that have not reported.
    pub(crate) fn log_held_back(&mut self, now: u64) {
        let HeldBack { tasks, worker } = &self.held_back;
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let unheard = recovery.missing.len();
        let Some(gradual) = &mut recovery.gradual else {
            return;
        };
        let Some(worker) = worker else {
            return;
        };
        if now < gradual.logged + LOG_INTERVAL {
            return;
        }
        gradual.logged = now;
        log::info!(target: "cell", tasks, unheard, worker = &**worker; "Tasks wait for workers that have not reported.");
    }
}

/// Describes a task of a job to an owner with this fence.
fn describe(job: &Job, address: Address, place: usize, fence: u64) -> Task<'_> {
    let submission = &job.progress.submission;
    let step = &submission.spec.steps[address.step as usize];
    let is_current = submission.fence == fence && fence != 0;
    Task {
        job: &submission.id,
        place,
        pool: &submission.queue.pool,
        label: step.label.as_deref(),
        copies: step.copies,
        origin: if is_current {
            Origin::Current
        } else {
            Origin::Former
        },
    }
}
