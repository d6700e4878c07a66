//! The task of one worker: exchanges orders for reports, straight down.

use {
    infra::worker::{Order, Report, Workers},
    kernel::{ActorRef, Failure, stakker::Cx, task::Signal},
    std::{sync::Arc, time::Duration},
};

/// The longest wait between exchanges with a worker that does not answer.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The actor that a worker's task asks and tells.
pub trait OrderSource: Sized + 'static {
    /// The address of a worker and the next order to it; `None` ends the worker's task.
    fn next_order(&mut self, cell: &str, epoch: u64, at: usize) -> Option<(Arc<str>, Order)>;

    /// Takes the outcome of an exchange over. Returns how long the next may wait; `None` when the
    /// exchange failed.
    fn handle_exchange(
        &mut self,
        cx: &mut Cx<'_, Self>,
        place: (&Arc<str>, u64, usize),
        order: &Order,
        result: Result<Report, Failure>,
    ) -> Option<Duration>;
}

/// What one worker's task needs.
pub struct WorkerLink<A: OrderSource> {
    /// The cell.
    pub cell: Arc<str>,
    /// The epoch in which the task works.
    pub epoch: u64,
    /// The worker's place in the cell.
    pub at: usize,
    /// Ends the task, or wakes it when something is due.
    pub signal: Signal,
    /// The actor.
    pub remote: ActorRef<A>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// The time between exchanges when nothing is due.
    pub heartbeat: Duration,
}

impl<A: OrderSource> WorkerLink<A> {
    /// Exchanges until the cell has another owner or the process stops.
    pub fn run(self) {
        let mut failures = 0;
        while !self.signal.is_stopped() {
            let (cell, epoch, at) = (self.cell.clone(), self.epoch, self.at);
            let next = self
                .remote
                .ask(move |sched, _| sched.next_order(&cell, epoch, at));
            let Ok(Some((url, order))) = next else { return };
            let result = self.workers.exchange(&url, &order);
            if self.signal.is_stopped() {
                return;
            }
            failures = if result.is_ok() { 0 } else { failures + 1 };
            let cell = self.cell.clone();
            let wait = self.remote.ask(move |sched, cx| {
                sched.handle_exchange(cx, (&cell, epoch, at), &order, result)
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

    /// Waits after a failure. A worker that fails is not asked sooner for being rung.
    fn back_off(&self, failures: u32) {
        let base = self.heartbeat / 4;
        let time = infra::budget::backoff(base, MAX_BACKOFF, failures, fastrand::f64());
        std::thread::sleep(time);
    }
}
