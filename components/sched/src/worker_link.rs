//! The task that exchanges orders for reports with one worker over a direct connection.

use {
    infra::worker::{Order, Report, Workers},
    kernel::{ActorRef, Failure, stakker::Cx, task::Signal},
    std::{sync::Arc, time::Duration},
};

/// Maximum wait between exchanges with a worker that does not answer.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The actor that provides the orders and handles the reports of a worker.
pub trait OrderSource: Sized + 'static {
    /// Returns the address of a worker and the next order to it; `None` ends the task.
    fn next_order(
        &mut self,
        cell: &str,
        epoch: u64,
        worker_index: usize,
    ) -> Option<(Arc<str>, Order)>;

    /// Handles the outcome of an exchange. `place` is the cell, the epoch and the index of the
    /// worker. Returns the wait before the next exchange; `None` when the exchange failed.
    fn handle_exchange(
        &mut self,
        cx: &mut Cx<'_, Self>,
        place: (&Arc<str>, u64, usize),
        order: &Order,
        result: Result<Report, Failure>,
    ) -> Option<Duration>;
}

/// The exchange task of one worker.
pub struct WorkerLink<A: OrderSource> {
    /// The name of the cell.
    pub cell: Arc<str>,
    /// The ownership epoch; the task ends when the cell has another.
    pub epoch: u64,
    /// The index of the worker in the cell's fleet.
    pub worker_index: usize,
    /// Wakes the task when an order is due, or stops it.
    pub signal: Signal,
    /// The actor.
    pub actor: ActorRef<A>,
    /// The client for calls to workers.
    pub workers: Arc<dyn Workers>,
    /// Interval between exchanges when nothing is due.
    pub heartbeat: Duration,
}

impl<A: OrderSource> WorkerLink<A> {
    /// Runs exchanges until the cell has another owner or the process stops.
    pub fn run(self) {
        let mut failures = 0;
        while !self.signal.is_stopped() {
            let (cell, epoch, worker_index) = (self.cell.clone(), self.epoch, self.worker_index);
            let next = self
                .actor
                .ask(move |sched, _| sched.next_order(&cell, epoch, worker_index));
            let Ok(Some((url, order))) = next else { return };
            let result = self.workers.exchange(&url, &order);
            if self.signal.is_stopped() {
                return;
            }
            failures = if result.is_ok() { 0 } else { failures + 1 };
            let cell = self.cell.clone();
            let wait = self.actor.ask(move |sched, cx| {
                sched.handle_exchange(cx, (&cell, epoch, worker_index), &order, result)
            });
            match wait {
                Ok(Some(wait)) if wait.is_zero() => {}
                Ok(Some(wait)) => {
                    self.signal.wait(wait);
                }
                Ok(None) => self.back_off(failures),
                Err(_) => return,
            }
        }
    }

    /// Waits after a failed exchange. A notification does not shorten this wait.
    fn back_off(&self, failures: u32) {
        let base = self.heartbeat / 4;
        let time = infra::budget::backoff(base, MAX_BACKOFF, failures, fastrand::f64());
        std::thread::sleep(time);
    }
}
