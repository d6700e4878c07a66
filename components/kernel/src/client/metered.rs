//! Connection wrapper that counts the bytes passed to the operating system and records when data
//! was last received.

use {
    crate::{clock::ClockPair, sync::lock},
    hyper::rt::{Read, ReadBufCursor, Write},
    hyper_util::rt::TokioIo,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Mutex,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        task::{Context, Poll},
        time::Instant,
    },
    tokio::net::TcpStream,
};

/// Identifier of the connection that was opened last.
static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Identifies a connection, uniquely within this process.
///
/// All responses on a connection come from the same peer process, since a process's connections end
/// with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(u64);

impl ConnectionId {
    /// A new identifier.
    pub(super) fn next() -> Self {
        ConnectionId(LAST_ID.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// Traffic of a connection in the current call.
#[derive(Debug)]
pub struct Meter {
    /// Bytes accepted by the operating system.
    sent: AtomicUsize,
    /// A write is in progress: the operating system may have accepted part of it.
    is_writing: AtomicBool,
    /// Further writes are rejected.
    sealed: AtomicBool,
    /// When data was last received or, before that, when the connection was opened.
    last_received: Mutex<ClockPair>,
    /// Data was received in the current call.
    has_received: AtomicBool,
}

impl Meter {
    pub(super) fn new() -> Self {
        Meter {
            sent: AtomicUsize::new(0),
            is_writing: AtomicBool::new(false),
            sealed: AtomicBool::new(false),
            last_received: Mutex::new(ClockPair::now()),
            has_received: AtomicBool::new(false),
        }
    }

    /// Resets the counts for a new call.
    pub(super) fn begin(&self) {
        self.sent.store(0, Ordering::SeqCst);
        self.has_received.store(false, Ordering::SeqCst);
    }

    /// Bytes sent in the current call; at least 1 while a write is in progress.
    pub(super) fn sent(&self) -> usize {
        // The order of these loads matters: a write adds its bytes before it clears the flag.
        let pending = usize::from(self.is_writing.load(Ordering::SeqCst));
        self.sent.load(Ordering::SeqCst).max(pending)
    }

    /// Rejects further writes, so that the count of sent bytes is final.
    pub(super) fn seal(&self) {
        self.sealed.store(true, Ordering::SeqCst);
    }

    /// When data was last received in the current call; `None` before the first.
    pub(super) fn received(&self) -> Option<Instant> {
        let has_received = self.has_received.load(Ordering::SeqCst);
        has_received.then(|| self.last_received().monotonic)
    }

    /// When data was last received or, before that, when the connection was opened.
    pub(super) fn last_received(&self) -> ClockPair {
        *lock(&self.last_received)
    }

    fn record_received(&self) {
        *lock(&self.last_received) = ClockPair::now();
        self.has_received.store(true, Ordering::SeqCst);
    }

    /// Performs a write and counts its bytes, unless the connection is sealed.
    fn write_counted(
        &self,
        write: impl FnOnce() -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.is_writing.store(true, Ordering::SeqCst);
        let written = match self.sealed.load(Ordering::SeqCst) {
            true => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            false => write(),
        };
        if let Poll::Ready(Ok(bytes)) = written {
            self.sent.fetch_add(bytes, Ordering::SeqCst);
        }
        self.is_writing.store(false, Ordering::SeqCst);
        written
    }
}

/// A TCP connection with its meter.
pub(super) struct MeteredStream {
    pub(super) inner: TokioIo<TcpStream>,
    pub(super) meter: std::sync::Arc<Meter>,
}

impl Read for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if read.is_ready() {
            self.meter.record_received();
        }
        read
    }
}

impl Write for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let MeteredStream { inner, meter } = self.get_mut();
        meter.write_counted(|| Pin::new(inner).poll_write(cx, buffer))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let MeteredStream { inner, meter } = self.get_mut();
        meter.write_counted(|| Pin::new(inner).poll_write_vectored(cx, buffers))
    }
}
