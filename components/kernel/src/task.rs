//! Named threads for blocking tasks, and a signal to wake or stop them.

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

/// Stack size of a thread in bytes; only touched pages use memory.
pub(crate) const STACK_BYTES: usize = 512 * 1024;

/// Starts a task on a new thread with this name.
///
/// # Errors
///
/// The thread cannot be created.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES)
        .spawn(run)
}

/// A stop flag for a task and a notification that wakes it early.
#[derive(Clone, Default)]
pub struct Signal {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    stopped: AtomicBool,
    notified: Mutex<bool>,
    condvar: Condvar,
}

impl Signal {
    /// A new signal, neither stopped nor notified.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests the task to end, and wakes it.
    pub fn stop(&self) {
        self.inner.stopped.store(true, Ordering::Release);
        self.notify();
    }

    /// True once [`Signal::stop`] was called.
    pub fn is_stopped(&self) -> bool {
        self.inner.stopped.load(Ordering::Acquire)
    }

    /// Wakes the task. A notification before the wait is not lost.
    pub fn notify(&self) {
        *lock(&self.inner.notified) = true;
        self.inner.condvar.notify_all();
    }

    /// Waits for a notification or until the time has passed. Returns true if notified.
    pub fn wait(&self, time: Duration) -> bool {
        let guard = lock(&self.inner.notified);
        let result = self
            .inner
            .condvar
            .wait_timeout_while(guard, time, |notified| !*notified);
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
    fn wait_notified_before() {
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
