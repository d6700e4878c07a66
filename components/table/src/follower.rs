//! How gates and schedulers follow the table: from their own box's table process first.

use {
    crate::{
        message::{Update, Watch},
        model::{StoredTable, Table},
    },
    infra::budget,
    kernel::{
        Client, Failure,
        client::Timeout,
        task::{self, Signal},
    },
    members::watcher::View,
    std::{io, sync::Arc, thread::JoinHandle, time::Duration},
};

/// How long one question waits for a newer table. A box that hangs is noticed after this and
/// `RESPONSE_MARGIN`, and another is asked; an accepted edit must be in force within 3 s.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// How much longer than the wait an answer may take to begin; a table that is read in whole is large.
const RESPONSE_MARGIN: Duration = Duration::from_millis(700);

/// What happens with each new table.
pub type TableCallback = Box<dyn Fn(Arc<Table>) + Send>;

/// A task that follows the table.
pub struct Follower {
    signal: Signal,
    thread: Option<JoinHandle<()>>,
}

impl Follower {
    /// Starts the task on the box of this name.
    ///
    /// # Errors
    ///
    /// The system has no room for a thread.
    pub fn start(
        name: Arc<str>,
        view: View,
        client: Client,
        on_table: TableCallback,
    ) -> io::Result<Self> {
        let signal = Signal::new();
        let stop_signal = signal.clone();
        let thread = task::spawn("table-follow", move || {
            run(&name, &view, &client, &stop_signal, &on_table)
        })?;
        Ok(Follower {
            signal,
            thread: Some(thread),
        })
    }

    /// Ends the task; it may still wait for an answer, which is then not used.
    pub fn stop(&mut self) {
        self.signal.stop();
        self.thread.take();
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.stop();
    }
}

fn run(name: &str, view: &View, client: &Client, signal: &Signal, on_table: &TableCallback) {
    let mut stored = StoredTable::default();
    let mut failures: u32 = 0;
    while !signal.is_stopped() {
        let urls = view.urls("table", name);
        // After a failure the next box is asked.
        let Some(url) = urls.get(failures as usize % urls.len().max(1)) else {
            signal.wait(Duration::from_millis(50));
            continue;
        };
        match poll(client, url, stored.table.version) {
            Ok(update) => {
                failures = 0;
                let Some(next) = apply(&stored, update) else {
                    continue;
                };
                stored = next;
                if !signal.is_stopped() {
                    on_table(Arc::new(stored.table.clone()));
                }
            }
            Err(failure) => {
                log::debug!(target: "table", "The table cannot be followed. url={url} {failure}");
                let base = Duration::from_millis(50);
                let most = Duration::from_secs(1);
                signal.wait(budget::backoff(base, most, failures, fastrand::f64()));
                failures += 1;
            }
        }
    }
}

fn poll(client: &Client, url: &str, after: u64) -> Result<Update, Failure> {
    let watch = Watch {
        after,
        wait: WATCH_WAIT.as_millis() as u64,
    };
    let timeout = Timeout::single(WATCH_WAIT + RESPONSE_MARGIN).streaming();
    client.post(&format!("{url}/table/watch"), &watch, timeout)
}

/// The stored after an update; `None` when it brings nothing newer.
fn apply(stored: &StoredTable, update: Update) -> Option<StoredTable> {
    let next = match update {
        Update::Same => return None,
        Update::Whole(whole) => Arc::unwrap_or_clone(whole),
        Update::Changes(changes) => stored.apply_changes(changes)?,
    };
    (next.table.version > stored.table.version).then_some(next)
}
