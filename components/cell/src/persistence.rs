//! Batches of records that the owner persists, and the effects of their completion.

use {
    crate::{
        cell::{Cell, Job},
        learned::Learned,
        worker::{Entry, TaskKey},
    },
    job::{Id, Record},
    serde::{Deserialize, Serialize},
    std::{collections::HashSet, sync::Arc},
};

/// The record that only these tasks may run on a worker, and that nothing is started there until
/// the record is withdrawn, see [`policy::takeover`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// The id of the worker's incarnation.
    pub worker: Arc<str>,
    /// The tasks, in order.
    pub tasks: Vec<TaskKey>,
}

/// A batch of records to write.
#[derive(Debug, Clone, Default)]
pub struct WriteBatch {
    /// Jobs and their records.
    pub records: Vec<(Id, Record)>,
    /// Those jobs that have ended and whose specification is stored separately, to be deleted with
    /// the batch.
    pub separate_specs: HashSet<Id>,
    /// The workers that may hold tasks, if that set has changed.
    pub fleet: Option<Vec<Entry>>,
    /// All sealed workers, if that set has changed.
    pub seals: Option<Vec<Seal>>,
    /// The highest number of a run end that the batch persists, by worker.
    pub ends: Vec<(Arc<str>, u64)>,
}

impl WriteBatch {
    /// True if there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.fleet.is_none() && self.seals.is_none()
    }
}

/// Returns the number of store entries that writing a record takes.
fn entries_of(record: &Record, has_separate_spec: bool) -> usize {
    if record.state.is_final() {
        2 + usize::from(has_separate_spec)
    } else {
        1
    }
}

impl Job {
    /// True if the specification is stored separately, for senders of start orders.
    fn has_separate_spec(&self) -> bool {
        self.progress.submission.spec.text.is_empty()
    }

    /// Records which crashes are persisted. The counts of each task are compared on their own, since
    /// those of others may change with each write.
    fn apply_written_crashes(&mut self, record: &Record) {
        let tasks = &self.progress.tasks;
        self.unpersisted_crashes.retain(|&place| {
            let written = record.crashes(place);
            let counted = tasks[place].crashes;
            written.early < counted.early
                || written.all < counted.all
                || written.evidence < counted.evidence
        });
    }
}

impl Cell {
    /// Returns what was learned if it is due to be written. It is written separately, since no
    /// other write depends on it, and with 16 serving and 30 best-effort images it is larger than
    /// many batches.
    pub fn take_interference(&mut self) -> Option<Learned> {
        std::mem::take(&mut self.interference_due).then(|| Learned {
            interference: self.interference.clone(),
            durations: self.durations.clone(),
            run_times: self.run_times.clone(),
        })
    }

    /// Returns the next batch, whose records take at most `most` store entries. The record of an
    /// ended job takes two or three entries, since its submission is deleted. The result of a batch
    /// must be passed in before the next one is taken.
    pub fn take_write_batch(&mut self, most: usize) -> WriteBatch {
        let mut batch = WriteBatch::default();
        let mut entries = 0;
        while let Some(id) = self.dirty.peek() {
            let job = self.jobs.get(id);
            let has_separate_spec = job.is_some_and(Job::has_separate_spec);
            let record = job.map(|job| job.progress.record());
            entries += record
                .as_ref()
                .map_or(0, |record| entries_of(record, has_separate_spec));
            if entries > most && !batch.records.is_empty() {
                break;
            }
            let id = self.dirty.pop();
            if let (Some(id), Some(record)) = (&id, &record)
                && has_separate_spec
                && record.state.is_final()
            {
                batch.separate_specs.insert(id.clone());
            }
            batch.records.extend(id.zip(record));
        }
        if std::mem::take(&mut self.fleet_dirty) {
            let entries = self.workers.values().map(|worker| worker.entry.clone());
            batch.fleet = Some(entries.collect());
        }
        batch.seals = self.take_seals();
        for (id, worker) in &self.workers {
            let is_persisted = |(_, job): &&(u64, Id)| !self.dirty.contains(job);
            let last = worker.unwritten_ends.iter().take_while(is_persisted).last();
            if let Some((number, _)) = last {
                batch.ends.push((id.clone(), *number));
            }
        }
        batch
    }

    /// Handles a completed write. Returns the workers whose run ends can be acknowledged.
    pub fn batch_written(&mut self, batch: &WriteBatch) -> Vec<Arc<str>> {
        for (id, record) in &batch.records {
            self.apply_written(id, record);
        }
        for entry in batch.fleet.iter().flatten() {
            let worker = self.workers.get(&entry.id);
            if worker.is_some_and(|worker| worker.entry.has_same_traits(entry)) {
                self.mark_recorded(&entry.id);
            }
        }
        if let Some(seals) = &batch.seals {
            self.seals_written(seals);
        }
        let mut acknowledged = Vec::new();
        for (id, number) in &batch.ends {
            let Some(worker) = self.workers.get_mut(id) else {
                continue;
            };
            worker.ends_written = worker.ends_written.max(*number);
            worker.unwritten_ends.retain(|(end, _)| end > number);
            // Ends that were listed meanwhile and have changed no record need no write.
            while let Some((end, job)) = worker.unwritten_ends.front()
                && !self.dirty.contains(job)
            {
                worker.ends_written = worker.ends_written.max(*end);
                worker.unwritten_ends.pop_front();
            }
            if worker.unwritten_ends.is_empty() {
                acknowledged.push(id.clone());
            }
        }
        acknowledged
    }

    /// Records that the persisted record of workers contains a worker.
    pub(crate) fn mark_recorded(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.changed |= !worker.recorded;
            worker.recorded = true;
        }
    }

    /// Makes the persisted state of a job visible to callers, and removes a job that has ended.
    fn apply_written(&mut self, id: &Id, record: &Record) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.written_state != record.state {
            log::info!(target: "cell", job = id.as_str(), state = record.state.as_str(); "State of a job persisted.");
        }
        job.written_state = record.state;
        job.apply_written_crashes(record);
        if record.state.is_final() {
            self.ended_jobs
                .insert(id.clone(), (record.state, record.ended));
            self.jobs.remove(id);
        }
    }

    /// Requeues a batch that was not written or whose result is unknown.
    pub fn batch_failed(&mut self, batch: WriteBatch) {
        for (id, record) in batch.records {
            if record.state.is_final() {
                self.dirty.insert_first(id);
            } else {
                self.dirty.insert(id);
            }
        }
        self.fleet_dirty |= batch.fleet.is_some();
        self.seals_due |= batch.seals.is_some();
    }

    /// True if there is something to write.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty() || self.fleet_dirty || self.seals_due
    }

    /// Returns the number of records to be written.
    pub fn backlog(&self) -> usize {
        self.dirty.len()
    }
}
