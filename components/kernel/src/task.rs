//! Threads for tasks that block: one for each connection and each peer.

use std::{
    io,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{Builder, JoinHandle},
    time::Duration,
};

use crate::sync::lock;

/// The stack of a task, in bytes; only touched pages cost memory.
pub(crate) const STACK_BYTES: usize = 512 * 1024;

/// Starts a named task.
///
/// # Errors
///
/// The system has no room for a thread.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES)
        .spawn(run)
}

/// A flag to stop a task with, and a bell to wake it early.
#[derive(Clone, Default)]
pub struct Signal {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    stopped: AtomicBool,
    rung: Mutex<bool>,
    bell: Condvar,
}

impl Signal {
    /// A new signal, not stopped and not rung.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells the task to end and wakes it.
    pub fn stop(&self) {
        self.inner.stopped.store(true, Ordering::Release);
        self.notify();
    }

    /// True after `stop`.
    pub fn is_stopped(&self) -> bool {
        self.inner.stopped.load(Ordering::Acquire)
    }

    /// Wakes the task. A ring before the wait is not lost.
    pub fn notify(&self) {
        *lock(&self.inner.rung) = true;
        self.inner.bell.notify_all();
    }

    /// Waits for a ring, or for the time to pass. Returns true when it was rung.
    pub fn wait(&self, time: Duration) -> bool {
        let guard = lock(&self.inner.rung);
        let result = self
            .inner
            .bell
            .wait_timeout_while(guard, time, |rung| !*rung);
        let mut guard = match result {
            Ok((guard, _)) => guard,
            Err(poisoned) => poisoned.into_inner().0,
        };
        std::mem::take(&mut *guard)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn wait_rung_before() {
        let signal = Signal::new();
        signal.notify();
        assert!(signal.wait(Duration::from_secs(60)));
        assert!(!signal.wait(Duration::ZERO));
    }

    #[test]
    fn stop_wakes_task() {
        let signal = Signal::new();
        let other = signal.clone();
        let thread = spawn("test", move || {
            while !other.is_stopped() {
                other.wait(Duration::from_secs(60));
            }
        })
        .unwrap();
        signal.stop();
        thread.join().unwrap();
    }
}
