//! Takeover of a cell by a new owner: runs that the previous owner may have started, or may still
//! start until the workers know the new fence.
//!
//! The previous owner may be alive: it was suspended, the cell was claimed meanwhile, and it
//! resumes. It may know jobs that were accepted after the new owner had read them. So no jobs are
//! started until each worker has accepted the new fence, and runs and ends of unknown jobs are left
//! alone until the jobs have been read again after that. A gradual takeover decides for each task,
//! see [`crate::unheard`].

use {
    crate::{
        cell::Cell,
        order::{Run, RunEnd},
        report::Times,
        timing,
    },
    job::{Address, Id},
    policy::takeover::Unheard,
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// Workers that must answer, or whose leases must expire, before the takeover is complete.
#[derive(Debug)]
pub(crate) struct Recovery {
    /// Workers that have not reported all their runs.
    pub missing: HashSet<Arc<str>>,
    /// Workers that have not answered at all and do not know the new fence, without those on which
    /// the previous owner can start nothing.
    pub unfenced: HashSet<Arc<str>>,
    /// When all leases granted by the previous owner have expired.
    pub deadline: u64,
    /// Set if tasks may start before the takeover is complete.
    pub gradual: Option<Gradual>,
}

/// What decides which tasks may start before the takeover is complete.
#[derive(Debug)]
pub(crate) struct Gradual {
    /// The fence of this ownership.
    pub fence: u64,
    /// The missing workers.
    pub unheard: Unheard,
    /// When waiting tasks were last logged.
    pub logged: u64,
}

/// Tasks that wait for workers that have not reported.
#[derive(Debug, Default)]
pub(crate) struct HeldBack {
    pub tasks: usize,
    /// One of the workers.
    pub worker: Option<Arc<str>>,
}

/// Worker, job and task address of a run.
type RunName = (Arc<str>, Id, Address);

/// Runs of unknown jobs, with the times of the report that last listed them.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    runs: HashMap<RunName, (Run, Times)>,
    /// The jobs are being read again.
    requested: bool,
    /// Workers with such runs get no work.
    closes_workers: bool,
}

impl Pending {
    /// Returns the state in which workers with such runs get no work.
    pub fn closing_workers() -> Self {
        Pending {
            closes_workers: true,
            ..Pending::default()
        }
    }
}

impl Cell {
    /// Holds back the tasks of all jobs until each worker has answered, or until any lease granted
    /// by the previous owner has expired.
    pub fn recover(&mut self, now: u64) {
        let missing: HashSet<Arc<str>> = self.workers.keys().cloned().collect();
        self.recovery = Some(Recovery {
            unfenced: missing.clone(),
            missing,
            deadline: now + timing::max_lease_duration(self.timing.lease),
            gradual: None,
        });
        self.pending = Some(Pending::default());
        self.enable_sealing(false);
        self.update_recovery(now);
    }

    /// Records that a worker knows the new fence.
    pub(crate) fn mark_fenced(&mut self, id: &Arc<str>) {
        if let Some(recovery) = &mut self.recovery {
            recovery.unfenced.remove(id);
        }
    }

    /// Records that a worker has reported all its runs.
    pub(crate) fn mark_reported(&mut self, id: &Arc<str>) {
        if let Some(recovery) = &mut self.recovery {
            recovery.missing.remove(id);
            if let Some(gradual) = &mut recovery.gradual {
                gradual.unheard.remove(id);
            }
        }
    }

    /// Ends the recovery when no worker is missing, or when the leases of those have expired.
    pub(crate) fn update_recovery(&mut self, now: u64) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        if !recovery.missing.is_empty() && now < recovery.deadline {
            self.log_held_back(now);
            return;
        }
        log::info!(target: "cell", unheard = recovery.missing.len(); "Takeover complete.");
        self.recovery = None;
        self.record_all_unheard();
        for job in self.jobs.values_mut() {
            job.unconfirmed = false;
        }
    }

    /// True, once, when the jobs must be read again since all workers have accepted the new fence.
    pub fn is_reread_due(&mut self) -> bool {
        let recovery = self.recovery.as_ref();
        if recovery.is_some_and(|recovery| !recovery.unfenced.is_empty()) {
            return false;
        }
        let Some(pending) = &mut self.pending else {
            return false;
        };
        !std::mem::replace(&mut pending.requested, true)
    }

    /// Returns the jobs that are unknown here.
    pub fn unknown_jobs(&self, ids: Vec<Id>) -> HashSet<Id> {
        ids.into_iter().filter(|id| !self.is_known(id)).collect()
    }

    /// Records that all jobs that the previous owner may have started are known. Runs of other jobs
    /// are stopped from then on. Returns the workers with deferred run ends.
    pub fn jobs_reread(&mut self) -> Vec<Arc<str>> {
        if let Some(pending) = self.pending.take() {
            log::info!(target: "cell", pending = pending.runs.len(); "Jobs read again after takeover.");
        }
        let mut deferred = Vec::new();
        for (id, worker) in &mut self.workers {
            if std::mem::take(&mut worker.ends_deferred) {
                deferred.push(id.clone());
            }
        }
        deferred
    }

    pub(crate) fn is_known(&self, id: &Id) -> bool {
        self.jobs.contains_key(id) || self.ended_jobs.contains_key(id)
    }

    /// True for an unknown job that may be an unread job of the previous owner.
    pub(crate) fn is_pending(&self, id: &Id) -> bool {
        self.pending.is_some() && !self.is_known(id)
    }

    /// Processes the run ends that a worker lists. Returns false if some are deferred, since they
    /// are of unknown jobs or come after such ends.
    pub(crate) fn handle_ends(&mut self, id: &Arc<str>, ends: &[RunEnd], times: Times) -> bool {
        for end in ends {
            if self.is_pending(&end.job) {
                log::info!(target: "cell", job = end.job.as_str(), worker = &**id, run = end.run, how:? = end.how; "Run end of a job that is not known yet.");
                return false;
            }
            self.handle_end(id, end, times);
        }
        true
    }

    /// Records a run of an unknown job as its worker last listed it.
    pub(crate) fn record_pending(&mut self, id: &Arc<str>, run: &Run, times: Times) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        let name = (id.clone(), run.job.clone(), run.address);
        if pending.runs.insert(name, (run.clone(), times)).is_none() {
            log::info!(target: "cell", job = run.job.as_str(), worker = &**id, run = run.run; "Run of a job that is not known yet.");
        }
    }

    /// Updates whether a worker runs tasks of jobs that are not known yet, after some of these have
    /// become known.
    fn update_runs_pending(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let runs = self.pending.iter().flat_map(|pending| pending.runs.keys());
        let has_runs = runs.into_iter().any(|(other, ..)| other == id);
        worker.changed |= worker.runs_pending && !has_runs;
        worker.runs_pending &= has_runs;
    }

    /// True if workers with runs of jobs that are not known yet get no work.
    pub(crate) fn pending_closes(&self) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| pending.closes_workers)
    }

    /// Adopts the runs of a job that were listed before the job was known.
    pub(crate) fn adopt_pending(&mut self, job: &Id) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        let of_job = pending.runs.extract_if(|(_, id, _), _| id == job);
        let found: Vec<_> = of_job.collect();
        for ((id, _, address), (run, times)) in found {
            // A worker that was removed and listed again has not reported since then. Its leases
            // had expired, and a lease adopted now would never expire if the worker stays
            // unreachable.
            let has_answered = self
                .workers
                .get(&id)
                .is_some_and(|worker| worker.clock.is_some());
            if !has_answered {
                continue;
            }
            if let Some(key) = self.task_key(&id, job, address) {
                self.adopt(&id, key, &run, times);
                self.refresh_loss(&id);
            }
            self.update_runs_pending(&id);
        }
    }
}
