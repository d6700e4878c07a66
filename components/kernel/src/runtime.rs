//! The process-wide `tokio` runtimes, each with one I/O thread and a pool of threads for blocking
//! work: one for the connections of the scheduler, and an isolated one for those of callers.

use {
    crate::{sync::lock, task},
    std::{
        future::{self, Future},
        io,
        sync::Mutex,
        time::Duration,
    },
    tokio::runtime::{Builder, Handle},
};

pub use tokio::time::sleep;

/// Maximum number of threads for blocking work.
const MAX_BLOCKING_THREADS: usize = 1_024;
/// Idle time after which such a thread exits.
const BLOCKING_KEEP_ALIVE: Duration = Duration::from_secs(5);

/// A runtime that its first user starts.
type Lazy = Mutex<Option<Handle>>;

static MAIN: Lazy = Mutex::new(None);
static ISOLATED: Lazy = Mutex::new(None);

/// Returns the runtime of the process; the first call starts its I/O thread.
///
/// # Errors
///
/// The thread or its file descriptors cannot be created.
pub fn handle() -> io::Result<Handle> {
    start(&MAIN, "net")
}

/// Returns the runtime for connections of clients that may keep its I/O thread busy.
///
/// # Errors
///
/// As for [`handle`].
pub fn isolated_handle() -> io::Result<Handle> {
    start(&ISOLATED, "callers")
}

/// Returns a runtime, which is started with an I/O thread of this name if it does not run yet.
fn start(runtime: &Lazy, name: &str) -> io::Result<Handle> {
    let mut current = lock(runtime);
    if let Some(handle) = &*current {
        return Ok(handle.clone());
    }
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .thread_keep_alive(BLOCKING_KEEP_ALIVE)
        .thread_stack_size(task::STACK_BYTES)
        .build()?;
    let handle = runtime.handle().clone();
    task::spawn(name, move || runtime.block_on(future::pending::<()>()))?;
    *current = Some(handle.clone());
    Ok(handle)
}

/// Spawns a task on the I/O thread. The task must not block.
///
/// # Errors
///
/// As for [`handle`].
pub fn spawn(task: impl Future<Output = ()> + Send + 'static) -> io::Result<()> {
    handle()?.spawn(task);
    Ok(())
}

/// Blocks the calling thread until the future completes.
///
/// # Errors
///
/// As for [`handle`].
pub fn block_on<T>(work: impl Future<Output = T>) -> io::Result<T> {
    Ok(handle()?.block_on(work))
}

/// Runs blocking work on the thread pool, on behalf of a task. `None` if the work panicked.
pub async fn spawn_blocking<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> Option<T> {
    tokio::task::spawn_blocking(work).await.ok()
}
