//! Data halls closed by the operators: nothing starts there until they are opened again.
//!
//! Tasks that are running there continue. Their workers are healthy, and a move costs a stop, a
//! start and the work since the last checkpoint, with no benefit. Tasks move for the usual reasons
//! only: throttled tasks with better capacity elsewhere, and tasks on leaving workers.

use {
    crate::{
        cell::Cell,
        order::Order,
        worker::{TaskKey, Worker},
    },
    std::{collections::HashSet, sync::Arc},
};

impl Cell {
    /// Sets the closed data halls. Starts for them that are not sent yet are revoked.
    pub fn set_closed_halls(&mut self, halls: HashSet<Arc<str>>) {
        if self.closed_halls == halls {
            return;
        }
        let former = std::mem::replace(&mut self.closed_halls, halls);
        for worker in self.workers.values_mut() {
            let is_closed = self.closed_halls.contains(&worker.entry.hall);
            worker.changed |= former.contains(&worker.entry.hall) && !is_closed;
        }
        for hall in self.closed_halls.difference(&former) {
            let workers = self.workers.iter();
            let in_hall = workers.filter(|(_, worker)| worker.entry.hall == *hall);
            let (mut count, mut running) = (0, 0);
            for (id, worker) in in_hall {
                count += 1;
                running += worker.slots.len();
                revoke_starts(id, worker, &mut self.orders);
            }
            log::info!(target: "cell", hall = &**hall, workers = count, tasks = running; "Data hall closed; no tasks start there.");
        }
    }

    /// True for a worker in a closed data hall.
    pub(crate) fn is_in_closed_hall(&self, worker: &Worker) -> bool {
        !self.closed_halls.is_empty() && self.closed_halls.contains(&worker.entry.hall)
    }
}

/// Revokes the unsent starts of a worker. A start that was sent begins within 1.5 s or never.
/// Stopping it afterwards would end long-running tasks that have just started, several of a
/// step at once.
fn revoke_starts(id: &Arc<str>, worker: &Worker, orders: &mut Vec<(Arc<str>, Order)>) {
    let sent = worker.slots.iter().filter(|(_, slot)| slot.is_sent());
    let mut starts: Vec<(&TaskKey, u64)> = sent.map(|(key, slot)| (key, slot.run)).collect();
    starts.sort();
    for (key, run) in starts {
        let key = key.clone();
        orders.push((id.clone(), Order::Withdraw { key, run }));
    }
}
