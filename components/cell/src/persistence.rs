//! What the owner of a cell writes down, and what follows once it is batch_written.

use {
    crate::{
        cell::{Cell, Job},
        interference::Interference,
        worker::Entry,
    },
    job::{Id, Record},
    std::{collections::HashSet, sync::Arc},
};

/// One group of records to write, and what it covers.
#[derive(Debug, Clone, Default)]
pub struct WriteBatch {
    /// Jobs and their records.
    pub records: Vec<(Id, Record)>,
    /// Those of them that have ended and whose specification is kept by itself: it goes with the rest.
    pub separate_specs: HashSet<Id>,
    /// The workers that may hold tasks, when that set has changed.
    pub fleet: Option<Vec<Entry>>,
    /// The ends that are written down with it, by worker.
    pub ends: Vec<(Arc<str>, u64)>,
}

impl WriteBatch {
    /// True when there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.fleet.is_none()
    }
}

/// The entries of the store that writing a record takes.
fn entries_of(record: &Record, is_apart: bool) -> usize {
    if record.state.is_final() {
        2 + usize::from(is_apart)
    } else {
        1
    }
}

impl Job {
    /// True when its specification is kept by itself, for those who order its tasks to start.
    fn is_apart(&self) -> bool {
        self.progress.submission.spec.text.is_empty()
    }
}

impl Cell {
    /// What is known of disturbance, when it is due to be written. It goes by itself: nothing waits for it, and with
    /// 16 and 30 images it is larger than many groups of records.
    pub fn take_interference(&mut self) -> Option<Interference> {
        std::mem::take(&mut self.interference_due).then(|| self.interference.clone())
    }

    /// The next group to write, with records that take at most this many entries of the store. The
    /// record of a job that has ended takes two or three: what was submitted goes.
    pub fn take_write_batch(&mut self, most: usize) -> WriteBatch {
        let mut change = WriteBatch::default();
        let mut entries = 0;
        while let Some(id) = self.dirty.peek() {
            let job = self.jobs.get(id);
            let is_apart = job.is_some_and(Job::is_apart);
            let record = job.map(|job| job.progress.record());
            entries += record.as_ref().map_or(0, |own| entries_of(own, is_apart));
            if entries > most && !change.records.is_empty() {
                break;
            }
            let id = self.dirty.pop();
            if let (Some(id), Some(record)) = (&id, &record)
                && is_apart
                && record.state.is_final()
            {
                change.separate_specs.insert(id.clone());
            }
            change.records.extend(id.zip(record));
        }
        if std::mem::take(&mut self.fleet_dirty) {
            let entries = self.workers.values().map(|worker| worker.entry.clone());
            change.fleet = Some(entries.collect());
        }
        for (id, worker) in &self.workers {
            let is_kept = |(_, job): &&(u64, Id)| !self.dirty.contains(job);
            let last = worker.unwritten_ends.iter().take_while(is_kept).last();
            if let Some((number, _)) = last {
                change.ends.push((id.clone(), *number));
            }
        }
        change
    }

    /// Notes that a group is written. Returns the workers whose ends may now be acknowledged.
    pub fn batch_written(&mut self, change: &WriteBatch) -> Vec<Arc<str>> {
        for (id, record) in &change.records {
            self.show(id, record);
        }
        for entry in change.fleet.iter().flatten() {
            self.record(&entry.id);
        }
        let mut kept = Vec::new();
        for (id, number) in &change.ends {
            let Some(worker) = self.workers.get_mut(id) else {
                continue;
            };
            worker.ends_written = worker.ends_written.max(*number);
            worker.unwritten_ends.retain(|(end, _)| end > number);
            if worker.unwritten_ends.is_empty() {
                kept.push(id.clone());
            }
        }
        kept
    }

    /// Notes that the record of the fleet names a worker.
    pub(crate) fn record(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.changed |= !worker.recorded;
            worker.recorded = true;
        }
    }

    /// Shows the state of a job that is written down, and forgets the tasks of one that has ended.
    fn show(&mut self, id: &Id, record: &Record) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.written_state != record.state {
            log::info!(target: "cell", job = id.as_str(), state = record.state.word(); "The state of a job is written down.");
        }
        job.written_state = record.state;
        if job.crash_unpersisted && record.crashed == job.progress.crashed() {
            job.crash_unpersisted = false;
        }
        if record.state.is_final() {
            self.ended_jobs
                .insert(id.clone(), (record.state, record.ended));
            self.jobs.remove(id);
        }
    }

    /// Puts a group back that was surely not written, or whose fate is unknown.
    pub fn batch_failed(&mut self, change: WriteBatch) {
        for (id, record) in change.records {
            if record.state.is_final() {
                self.dirty.insert_first(id);
            } else {
                self.dirty.insert(id);
            }
        }
        self.fleet_dirty |= change.fleet.is_some();
    }

    /// True when something is to be written.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty() || self.fleet_dirty
    }

    /// The number of records that wait to be written.
    pub fn backlog(&self) -> usize {
        self.dirty.len()
    }
}
