//! A connection that counts what it hands to the system, and notes when it last brought some bytes.

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

/// The number of the last connection that was opened.
static OPENED: AtomicU64 = AtomicU64::new(0);

/// One connection, told apart from all others of the process.
///
/// Whoever answers on it is the one that answered on it before: the end of a process ends its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(u64);

impl ConnectionId {
    pub(super) fn next() -> Self {
        ConnectionId(OPENED.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// What a connection has moved in the present call.
#[derive(Debug)]
pub struct Meter {
    /// Bytes that the system has taken.
    sent: AtomicUsize,
    /// Bytes are being handed over: the system may have taken some.
    is_handing: AtomicBool,
    /// Nothing more is handed over.
    sealed: AtomicBool,
    /// When the connection was opened, or last brought bytes.
    proof: Mutex<ClockPair>,
    /// It has brought bytes in the present call.
    has_heard: AtomicBool,
}

impl Meter {
    pub(super) fn new() -> Self {
        Meter {
            sent: AtomicUsize::new(0),
            is_handing: AtomicBool::new(false),
            sealed: AtomicBool::new(false),
            proof: Mutex::new(ClockPair::now()),
            has_heard: AtomicBool::new(false),
        }
    }

    /// Begins a call.
    pub(super) fn begin(&self) {
        self.sent.store(0, Ordering::SeqCst);
        self.has_heard.store(false, Ordering::SeqCst);
    }

    /// The bytes of the present call; at least one while some may be on their way.
    pub(super) fn sent(&self) -> usize {
        // In this order: a hand-over adds its bytes before it ends.
        let least = usize::from(self.is_handing.load(Ordering::SeqCst));
        self.sent.load(Ordering::SeqCst).max(least)
    }

    /// Lets nothing more leave, so that the bytes counted are all there will be.
    pub(super) fn seal(&self) {
        self.sealed.store(true, Ordering::SeqCst);
    }

    /// When the present call last brought bytes; `None` before the first.
    pub(super) fn heard(&self) -> Option<Instant> {
        let has_heard = self.has_heard.load(Ordering::SeqCst);
        has_heard.then(|| self.proof().monotonic)
    }

    /// When the connection was opened, or last brought bytes.
    pub(super) fn proof(&self) -> ClockPair {
        *lock(&self.proof)
    }

    fn note_heard(&self) {
        *lock(&self.proof) = ClockPair::now();
        self.has_heard.store(true, Ordering::SeqCst);
    }

    /// Hands bytes over, unless the connection is sealed.
    fn hand_over(
        &self,
        write: impl FnOnce() -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.is_handing.store(true, Ordering::SeqCst);
        let written = match self.sealed.load(Ordering::SeqCst) {
            true => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            false => write(),
        };
        if let Poll::Ready(Ok(bytes)) = written {
            self.sent.fetch_add(bytes, Ordering::SeqCst);
        }
        self.is_handing.store(false, Ordering::SeqCst);
        written
    }
}

/// A connection with its meter.
pub(super) struct Metered {
    pub(super) inner: TokioIo<TcpStream>,
    pub(super) meter: std::sync::Arc<Meter>,
}

impl Read for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if read.is_ready() {
            self.meter.note_heard();
        }
        read
    }
}

impl Write for Metered {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Metered { inner, meter } = self.get_mut();
        meter.hand_over(|| Pin::new(inner).poll_write(cx, buffer))
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
        let Metered { inner, meter } = self.get_mut();
        meter.hand_over(|| Pin::new(inner).poll_write_vectored(cx, buffers))
    }
}
