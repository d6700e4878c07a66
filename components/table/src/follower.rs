//! Client that keeps gates and schedulers up to date with the table by long polling, preferably
//! from the table process on the same box.

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

/// Maximum wait of one watch. A table process that hangs is detected after this time plus
/// `RESPONSE_MARGIN`, and the next one is polled; an accepted edit must take effect within 3 s.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Additional time until the response must begin. The body is streamed without this limit, because
/// a whole table is large.
const RESPONSE_MARGIN: Duration = Duration::from_millis(700);

/// Called with each new table.
pub type TableCallback = Box<dyn Fn(Arc<Table>) + Send>;

/// Background thread that watches the table.
pub struct Follower {
    signal: Signal,
    thread: Option<JoinHandle<()>>,
}

impl Follower {
    /// Starts the thread. `name` is the name of this box, whose table process is polled first.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
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

    /// Stops the thread without joining it. A response to a pending watch is discarded.
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
        // Each consecutive failure selects the next table process.
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
                log::debug!(target: "table", "A watch of the table failed. url={url} {failure}");
                let base = Duration::from_millis(50);
                let max = Duration::from_secs(1);
                signal.wait(budget::backoff(base, max, failures, fastrand::f64()));
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

/// Applies an update. Returns `None` if the result is not newer.
fn apply(stored: &StoredTable, update: Update) -> Option<StoredTable> {
    let next = match update {
        Update::Same => return None,
        Update::Whole(whole) => Arc::unwrap_or_clone(whole),
        Update::Changes(changes) => stored.apply_changes(changes)?,
    };
    (next.table.version > stored.table.version).then_some(next)
}
