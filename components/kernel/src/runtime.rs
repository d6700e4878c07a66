//! The thread that waits for all connections of the process, and threads for work that blocks.

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

/// Threads for work that blocks, at most.
const BLOCKING_MOST: usize = 1_024;
/// How long such a thread waits for more work before it ends.
const BLOCKING_IDLE: Duration = Duration::from_secs(5);

static HANDLE: Mutex<Option<Handle>> = Mutex::new(None);

/// The process's runtime, whose thread starts with the first call.
///
/// # Errors
///
/// The system has no room for the thread or its descriptors.
pub fn handle() -> io::Result<Handle> {
    let mut known = lock(&HANDLE);
    if let Some(handle) = &*known {
        return Ok(handle.clone());
    }
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(BLOCKING_MOST)
        .thread_keep_alive(BLOCKING_IDLE)
        .thread_stack_size(task::STACK_BYTES)
        .build()?;
    let handle = runtime.handle().clone();
    task::spawn("net", move || runtime.block_on(future::pending::<()>()))?;
    *known = Some(handle.clone());
    Ok(handle)
}

/// Starts a task on the thread of all connections: it must not block.
///
/// # Errors
///
/// As for [`handle`].
pub fn spawn(task: impl Future<Output = ()> + Send + 'static) -> io::Result<()> {
    handle()?.spawn(task);
    Ok(())
}

/// Waits on this thread for what tasks bring about.
///
/// # Errors
///
/// As for [`handle`].
pub fn block_on<T>(work: impl Future<Output = T>) -> io::Result<T> {
    Ok(handle()?.block_on(work))
}

/// Runs work that blocks on a thread of its own, for a task. `None` where it panicked.
pub async fn spawn_blocking<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> Option<T> {
    tokio::task::spawn_blocking(work).await.ok()
}
