//! Workers that are given up, and what ran there.

use {
    crate::{
        cell::Cell,
        slot::{Slot, Stage},
        told::TOGETHER,
        worker::{Key, Worker},
    },
    std::sync::Arc,
};

impl Cell {
    /// Tells what a worker held that is given up, and when it was last heard.
    pub(crate) fn tell_lost(&self, id: &Arc<str>, cause: &str, now: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.slots.is_empty() {
            return;
        }
        let heard = worker.clock.map(|clock| now.saturating_sub(clock.at));
        let mut held: Vec<String> = worker
            .slots
            .iter()
            .map(|(key, slot)| self.tell_held(worker, key, slot))
            .collect();
        held.sort();
        held.truncate(TOGETHER);
        let tasks = held.join(" ");
        log::warn!(target: "cell", worker = &**id, cause, heard:? = heard, leaving = worker.entry.leaving, listed = worker.listed, failing = worker.failing, count = worker.slots.len(), tasks = tasks.as_str(); "A worker is lost with its tasks.");
    }

    /// A run on a worker as `JOB/PLACE.RUN:AGE`: for how long it was known to run when the worker was last heard, in
    /// milliseconds, or `new` where it was not known to run.
    fn tell_held(&self, worker: &Worker, key: &Key, slot: &Slot) -> String {
        let age = match worker.known_to_run(slot) {
            Some(age) => age.to_string(),
            None => "new".to_owned(),
        };
        format!("{}/{}.{}:{age}", key.job.as_str(), key.place, slot.run)
    }
}

impl Worker {
    /// For how long a run was known to go on when the worker last reported, in milliseconds; `None` where no report
    /// has listed it.
    pub(crate) fn known_to_run(&self, slot: &Slot) -> Option<u64> {
        let heard = self.clock?.at;
        match slot.stage {
            Stage::Sent { .. } => None,
            Stage::Running { at } => heard.checked_sub(at).filter(|&age| age > 0),
        }
    }
}
