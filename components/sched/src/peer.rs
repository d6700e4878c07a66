//! The task of one worker: exchanges orders for reports, straight down.

use {
    crate::actor::Scheduler,
    infra::worker::Workers,
    kernel::{Remote, task::Signal},
    std::{sync::Arc, time::Duration},
};

/// The longest wait between exchanges with a worker that does not answer.
const BACKOFF_MOST: Duration = Duration::from_secs(2);

/// What one worker's task needs.
pub struct Peer {
    /// The cell.
    pub cell: Arc<str>,
    /// The epoch in which the task works.
    pub epoch: u64,
    /// The worker's place in the cell.
    pub at: usize,
    /// Ends the task, or wakes it when something is due.
    pub signal: Signal,
    /// The actor.
    pub remote: Remote<Scheduler>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// The time between exchanges when nothing is due.
    pub heartbeat: Duration,
}

impl Peer {
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
            let wait = self
                .remote
                .ask(move |sched, cx| sched.on_exchange(cx, (&cell, epoch, at), &order, result));
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
        let time = infra::budget::backoff(base, BACKOFF_MOST, failures, fastrand::f64());
        std::thread::sleep(time);
    }
}
