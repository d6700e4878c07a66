//! Data halls that the operators have set_closed_halls: nothing starts there until they are open again.
//!
//! What runs there goes on. Its workers are sound, and a move costs a stop, a start and the work since the last
//! checkpoint, for nothing that anybody who waits would gain. It moves where it would move elsewhere too: slowed tasks
//! that have better room, and tasks on workers that leave.

use {
    crate::{
        cell::Cell,
        order::Order,
        worker::{TaskKey, Worker},
    },
    std::{collections::HashSet, sync::Arc},
};

impl Cell {
    /// Takes in which data halls are shut now. Starts for them that have not left yet are taken back.
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
            let here = workers.filter(|(_, worker)| worker.entry.hall == *hall);
            let (mut count, mut running) = (0, 0);
            for (id, worker) in here {
                count += 1;
                running += worker.slots.len();
                withdraw(id, worker, &mut self.orders);
            }
            log::info!(target: "cell", hall = &**hall, workers = count, tasks = running; "A data hall is shut: nothing more starts there.");
        }
    }

    /// True for a worker in a data hall that is shut.
    pub(crate) fn is_in_closed_hall(&self, worker: &Worker) -> bool {
        !self.closed_halls.is_empty() && self.closed_halls.contains(&worker.entry.hall)
    }
}

/// Keeps the starts of a worker from leaving that have not left yet. One that has left begins or not within 1.5 s; a
/// stop sent after it would end lasting tasks that have just begun to work, several of a step at once.
fn withdraw(id: &Arc<str>, worker: &Worker, orders: &mut Vec<(Arc<str>, Order)>) {
    let sent = worker.slots.iter().filter(|(_, slot)| slot.is_sent());
    let mut starts: Vec<(&TaskKey, u64)> = sent.map(|(key, slot)| (key, slot.run)).collect();
    starts.sort();
    for (key, run) in starts {
        let key = key.clone();
        orders.push((id.clone(), Order::Withdraw { key, run }));
    }
}
