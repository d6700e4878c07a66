//! Workers that come and go, and leases that are over.

use {
    crate::{
        cell::{Cell, Recovery},
        timing,
        worker::{Entry, Key, Worker},
    },
    job::Phase,
    std::{collections::HashSet, sync::Arc},
};

/// How long tasks that can be done are left alone when their worker was not asked in time, in
/// milliseconds: a late owner catches up within about a second.
const TELL: u64 = 2_000;

/// Listings further apart than this, in milliseconds, have a gap: the store was away. They are
/// 0.7 s apart.
const LIST_LATE: u64 = 2_000;

impl Cell {
    /// Takes in the whole listing of workers. Returns those that are new.
    pub fn list(&mut self, entries: Vec<Entry>, now: u64) -> Vec<Entry> {
        if now > self.listed + LIST_LATE {
            self.steady = now;
        }
        self.listed = now;
        self.note_listed(&entries, now);
        let mut added = Vec::new();
        for entry in entries {
            if let Some(worker) = self.workers.get_mut(&entry.id) {
                if worker.entry.leaving != entry.leaving {
                    log::info!(target: "cell", worker = &*entry.id, leaving = entry.leaving, remaining:? = entry.remaining; "A worker changes its state.");
                }
                worker.entry = entry;
                continue;
            }
            self.lose_former(&entry);
            log::info!(target: "cell", worker = &*entry.id, address = &*entry.address, rack = entry.rack(), cpu = entry.size.cpu; "A worker is new.");
            self.workers
                .insert(entry.id.clone(), Worker::new(entry.clone()));
            self.fleet_dirty = true;
            added.push(entry);
        }
        self.drain(now);
        added
    }

    /// Notes which of the known workers are listed.
    fn note_listed(&mut self, entries: &[Entry], now: u64) {
        let ids: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        for (id, worker) in &mut self.workers {
            let is_listed = ids.contains(id);
            if is_listed {
                worker.vanished = None;
            } else if worker.vanished.is_none() {
                worker.vanished = Some(now);
            }
            if worker.listed != is_listed {
                log::info!(target: "cell", worker = &**id, listed = is_listed; "The listing of a worker has changed.");
            }
            worker.listed = is_listed;
        }
    }

    /// A new life at an address means that the old one there is over.
    fn lose_former(&mut self, entry: &Entry) {
        let is_old = |worker: &&Worker| worker.entry.address == entry.address;
        let Some(old) = self.workers.values().find(is_old) else {
            return;
        };
        let id = old.entry.id.clone();
        self.lose(&id, "a new life at its address");
    }

    /// Takes over workers that a former owner knew and that are not listed now.
    pub fn inherit(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut added = Vec::new();
        for entry in entries {
            let same = |worker: &Worker| {
                worker.entry.id == entry.id || worker.entry.address == entry.address
            };
            if self.workers.values().any(same) {
                continue;
            }
            let mut worker = Worker::new(entry.clone());
            worker.listed = false;
            self.workers.insert(entry.id.clone(), worker);
            added.push(entry);
        }
        added
    }

    /// Holds the tasks of resumed jobs back until each worker has answered, or until any lease
    /// that the former owner may have given is over.
    pub fn recover(&mut self, now: u64) {
        let missing = self.workers.keys().cloned().collect();
        let until = now + timing::until_over(self.timing.lease);
        self.recovery = Some(Recovery { missing, until });
        self.settle(now);
    }

    /// Notes that a poll of a worker failed: it gets no work for a moment.
    pub fn unheard(&mut self, id: &str, now: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.failing = true;
            worker.shun(now);
        }
    }

    /// Notes that a worker has answered.
    pub(crate) fn heard(&mut self, id: &Arc<str>) {
        if let Some(recovery) = &mut self.recovery {
            recovery.missing.remove(id);
        }
    }

    /// Ends the recovery when nothing is missing any more.
    fn settle(&mut self, now: u64) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        if !recovery.missing.is_empty() && now < recovery.until {
            return;
        }
        log::info!(target: "cell", unheard = recovery.missing.len(); "The takeover is complete.");
        self.recovery = None;
        for job in self.jobs.values_mut() {
            job.unsure = false;
        }
    }

    /// Gives up what runs under leases that are over. Returns the workers that are gone.
    ///
    /// A worker that answers may have ends to tell, from before its leases were over: where it just
    /// was not asked in time, tasks that can be done are left alone until it is.
    pub fn lapse(&mut self, now: u64) -> Vec<Arc<str>> {
        let mut over = Vec::new();
        for (id, worker) in &self.workers {
            let (is_over, may_tell) = match worker.lapses() {
                Some(lapses) => {
                    let is_reached = worker.listed && !worker.failing;
                    (now >= lapses, is_reached && now < lapses + TELL)
                }
                None => (!worker.listed && self.recovery.is_none(), false),
            };
            if is_over && (!worker.slots.is_empty() || !worker.listed) {
                over.push((id.clone(), may_tell));
            }
        }
        let mut gone = Vec::new();
        for (id, may_tell) in over {
            self.expire(&id, may_tell);
            let is_listed = self.workers.get(&id).is_some_and(|worker| worker.listed);
            if !is_listed {
                self.lose(&id, "its leases are over and it is not listed");
                gone.push(id);
            }
        }
        self.settle(now);
        gone
    }

    /// Frees the tasks of a worker whose leases are over, or just its lasting ones; it has to answer
    /// anew before it gets work.
    fn expire(&mut self, id: &Arc<str>, lasting_only: bool) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut keys = Vec::new();
        for key in worker.slots.keys() {
            let is_lasting = self
                .jobs
                .get(&key.job)
                .is_some_and(|job| job.progress.step(key.place).lasting);
            if is_lasting || !lasting_only {
                keys.push(key.clone());
            }
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.fenced = false;
        if keys.is_empty() {
            return;
        }
        log::warn!(target: "cell", worker = &**id, tasks = keys.len(), failing = worker.failing, lasting_only; "All leases of a worker are over.");
        for key in &keys {
            worker.release(key);
        }
        for key in &keys {
            self.free_from(id, key);
        }
    }

    /// Frees a task if it was placed on this worker.
    fn free_from(&mut self, id: &Arc<str>, key: &Key) {
        let is_here = self.jobs.get(&key.job).is_some_and(
            |job| matches!(&job.progress.tasks[key.place].phase, Phase::Placed(at) if at == id),
        );
        if is_here {
            self.free(key);
        }
    }

    /// Forgets a worker whose life is over, and frees all that it had.
    pub fn lose(&mut self, id: &Arc<str>, cause: &str) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        log::warn!(target: "cell", worker = &**id, cause, tasks = worker.slots.len(); "A worker is gone.");
        self.fleet_dirty = true;
        self.heard(id);
        for key in worker.slots.keys() {
            self.free_from(id, key);
        }
    }

    /// True when the worker is still known.
    pub fn knows(&self, id: &str) -> bool {
        self.workers.contains_key(id)
    }
}
