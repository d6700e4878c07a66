//! The first moments of a new owner: what the former one may have started, and goes on starting until
//! the workers know the new fence.
//!
//! The former owner may be alive: it stood still, the cell was claimed meanwhile, and it wakes up. It
//! knows jobs that were accepted after the new owner had read them. So until each worker is under the
//! new fence, no job is started anew; and until the jobs were read once more after that, runs and ends
//! of jobs that are not known are left alone.

use {
    crate::{
        cell::Cell,
        order::{Run, RunEnd},
        report::Times,
        timing,
    },
    job::{Address, Id},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// The workers that must answer, or whose leases must be over.
#[derive(Debug)]
pub(crate) struct Recovery {
    /// Those that have not told all that they have.
    missing: HashSet<Arc<str>>,
    /// Those that have not answered at all: they do not know the new fence.
    unfenced: HashSet<Arc<str>>,
    until: u64,
}

/// A worker, and a run there.
type Name = (Arc<str>, Id, Address);

/// Runs of jobs that are not known yet, by worker and name, with the moment at which they were listed.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    runs: HashMap<Name, (Run, Times)>,
    /// The jobs are being read once more.
    asked: bool,
}

impl Cell {
    /// Holds the tasks of all jobs back until each worker has answered, or until any lease that the
    /// former owner may have given is over.
    pub fn recover(&mut self, now: u64) {
        let missing: HashSet<Arc<str>> = self.workers.keys().cloned().collect();
        self.recovery = Some(Recovery {
            unfenced: missing.clone(),
            missing,
            until: now + timing::until_over(self.timing.lease),
        });
        self.pending = Some(Pending::default());
        self.update_recovery(now);
    }

    /// Notes that a worker knows the new fence.
    pub(crate) fn mark_fenced(&mut self, id: &Arc<str>) {
        if let Some(recovery) = &mut self.recovery {
            recovery.unfenced.remove(id);
        }
    }

    /// Notes that a worker has told all that it has.
    pub(crate) fn mark_reported(&mut self, id: &Arc<str>) {
        if let Some(recovery) = &mut self.recovery {
            recovery.missing.remove(id);
        }
    }

    /// Ends the recovery when nothing is missing any more.
    pub(crate) fn update_recovery(&mut self, now: u64) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        if !recovery.missing.is_empty() && now < recovery.until {
            return;
        }
        log::info!(target: "cell", unheard = recovery.missing.len(); "The takeover is complete.");
        self.recovery = None;
        for job in self.jobs.values_mut() {
            job.unconfirmed = false;
        }
    }

    /// True, once, when the jobs are to be read once more: the workers are under the new fence.
    pub fn is_reread_due(&mut self) -> bool {
        let recovery = self.recovery.as_ref();
        if recovery.is_some_and(|recovery| !recovery.unfenced.is_empty()) {
            return false;
        }
        let Some(pending) = &mut self.pending else {
            return false;
        };
        !std::mem::replace(&mut pending.asked, true)
    }

    /// Those of the jobs that are not known.
    pub fn unknown_jobs(&self, ids: Vec<Id>) -> HashSet<Id> {
        ids.into_iter().filter(|id| !self.is_known(id)).collect()
    }

    /// Takes in that all jobs which the former owner may have started are known: what runs of others is
    /// to be stopped. Returns the workers that have ends left to be taken in.
    pub fn jobs_reread(&mut self) -> Vec<Arc<str>> {
        if let Some(pending) = self.pending.take() {
            log::info!(target: "cell", pending = pending.runs.len(); "The jobs are read once more.");
        }
        let mut left = Vec::new();
        for (id, worker) in &mut self.workers {
            if std::mem::take(&mut worker.ends_deferred) {
                left.push(id.clone());
            }
        }
        left
    }

    fn is_known(&self, id: &Id) -> bool {
        self.jobs.contains_key(id) || self.ended_jobs.contains_key(id)
    }

    /// True for a job that may still turn out to be one of the former owner's.
    pub(crate) fn is_pending(&self, id: &Id) -> bool {
        self.pending.is_some() && !self.is_known(id)
    }

    /// Takes in the ends that a worker lists. False when some are left for later: they are of jobs that
    /// are not known yet, or come after such ends.
    pub(crate) fn handle_ends(&mut self, id: &Arc<str>, ends: &[RunEnd], moment: Times) -> bool {
        for end in ends {
            if self.is_pending(&end.job) {
                log::info!(target: "cell", job = end.job.as_str(), worker = &**id, run = end.run, how:? = end.how; "A run of a job that is not known yet has ended.");
                return false;
            }
            self.handle_end(id, end, moment);
        }
        true
    }

    /// Notes a run of a job that is not known yet, as its worker last listed it.
    pub(crate) fn note_pending(&mut self, id: &Arc<str>, run: &Run, moment: Times) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        let name = (id.clone(), run.job.clone(), run.address);
        if pending.runs.insert(name, (run.clone(), moment)).is_none() {
            log::info!(target: "cell", job = run.job.as_str(), worker = &**id, run = run.run; "A run of a job that is not known yet.");
        }
    }

    /// Adopts the runs of a job that were found before it was known.
    pub(crate) fn adopt_pending(&mut self, job: &Id) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        let of_job = pending.runs.extract_if(|(_, own, _), _| own == job);
        let found: Vec<_> = of_job.collect();
        for ((id, _, address), (run, moment)) in found {
            // One that was forgotten and listed again meanwhile has said nothing since: its leases were over, and would
            // never count as over where it says nothing again.
            let is_heard = self.workers.get(&id).is_some_and(|own| own.clock.is_some());
            if !is_heard {
                continue;
            }
            if let Some(key) = self.key(&id, job, address) {
                self.adopt(&id, key, &run, moment);
                self.refresh_loss(&id);
            }
        }
    }
}
