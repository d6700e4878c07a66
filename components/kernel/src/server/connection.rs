//! What each connection of a port waits for, its time-outs, and the choice of the one to close when
//! the port or the process can hold no more.

use {
    super::{Guard, RequestLimits},
    crate::{resources::Reservation, sync::lock},
    std::{
        collections::BTreeMap,
        io,
        pin::Pin,
        sync::{Arc, Mutex},
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::Notify,
    },
};

/// Time-out for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a client may read nothing of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The head of a request.
    Head,
    /// The rest of the body of a request.
    Body,
    /// The response of the handler.
    Handler,
}

struct State {
    phase: Phase,
    /// When the connection was accepted or the last response was complete.
    idle_since: Instant,
    /// When the first byte of the current request arrived.
    request_start: Option<Instant>,
    /// Since when the client has read nothing, while there is something to send.
    blocked_since: Option<Instant>,
    /// Holds a part of the memory budget for a body that is not complete.
    holds_budget: bool,
    unsent: Option<Unsent>,
    is_evicted: bool,
}

/// What a response holds until it is sent.
pub(super) struct Unsent {
    pub(super) reservation: Reservation,
    pub(super) _guard: Option<Guard>,
}

/// A connection, as seen by its port.
pub(super) struct Connection {
    state: Mutex<State>,
    evicted: Notify,
}

impl Connection {
    fn new() -> Self {
        Connection {
            state: Mutex::new(State {
                phase: Phase::Head,
                idle_since: Instant::now(),
                request_start: None,
                blocked_since: None,
                holds_budget: false,
                unsent: None,
                is_evicted: false,
            }),
            evicted: Notify::new(),
        }
    }

    /// A head is complete, and the body is received next.
    pub(super) fn begin_body(&self) {
        let mut state = lock(&self.state);
        state.phase = Phase::Body;
        state.request_start.get_or_insert_with(Instant::now);
    }

    /// The body holds a part of the memory budget.
    pub(super) fn hold_budget(&self) {
        lock(&self.state).holds_budget = true;
    }

    /// A request is complete, and the handler responds next.
    pub(super) fn begin_handler(&self) {
        let mut state = lock(&self.state);
        state.phase = Phase::Handler;
        state.holds_budget = false;
    }

    /// The response is sent, and the head of the next request may come.
    pub(super) fn begin_response(&self, unsent: Unsent) {
        let mut state = lock(&self.state);
        state.phase = Phase::Head;
        state.idle_since = Instant::now();
        state.request_start = None;
        state.holds_budget = false;
        state.unsent = Some(unsent);
    }

    /// Bytes have arrived.
    fn record_read(&self) {
        let mut state = lock(&self.state);
        if state.phase == Phase::Head {
            state.request_start.get_or_insert_with(Instant::now);
        }
    }

    /// Records whether the client accepts what is sent.
    fn record_write(&self, is_blocked: bool) {
        let mut state = lock(&self.state);
        match is_blocked {
            true => {
                state.blocked_since.get_or_insert_with(Instant::now);
            }
            false => state.blocked_since = None,
        }
    }

    /// All that was to be sent is sent.
    fn record_flush(&self) {
        lock(&self.state).unsent = None;
    }

    /// When the connection is closed unless something happens; `None` while the handler works.
    pub(super) fn deadline(&self, limits: &RequestLimits) -> Option<Instant> {
        let state = lock(&self.state);
        if let Some(since) = state.blocked_since {
            return Some(since + WRITE_TIMEOUT);
        }
        match (state.phase, state.request_start) {
            (Phase::Handler, _) => None,
            (Phase::Body, start) => Some(start.unwrap_or(state.idle_since) + BODY_TIMEOUT),
            (Phase::Head, Some(start)) => Some(start + limits.head_timeout),
            (Phase::Head, None) => Some(state.idle_since + limits.idle_timeout),
        }
    }

    /// Waits until the connection is to be closed in favour of others.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Returns true if the connection still keeps the port waiting. If its request has arrived in
    /// the meantime, it is not closed.
    pub(super) fn confirm_eviction(&self) -> bool {
        let mut state = lock(&self.state);
        state.is_evicted = false;
        state.waiting_since().is_some()
    }
}

impl State {
    /// Since when the client has kept the connection waiting; `None` if it does not, so that the
    /// connection must not be closed.
    fn waiting_since(&self) -> Option<Instant> {
        match self.phase {
            _ if self.is_evicted => None,
            Phase::Handler => self.blocked_since,
            Phase::Head | Phase::Body => Some(self.request_start.unwrap_or(self.idle_since)),
        }
    }

    /// True if closing the connection returns memory to the budget.
    fn is_holding(&self) -> bool {
        let is_large = |unsent: &Unsent| unsent.reservation.bytes() > 0;
        self.holds_budget || self.unsent.as_ref().is_some_and(is_large)
    }
}

/// The connections of a port by the order in which they were accepted.
#[derive(Default)]
pub(super) struct Connections {
    entries: Mutex<Entries>,
}

#[derive(Default)]
struct Entries {
    next: u64,
    connections: BTreeMap<u64, Arc<Connection>>,
}

impl Connections {
    /// Adds a connection.
    pub(super) fn add(self: &Arc<Self>) -> Entry {
        let connection = Arc::new(Connection::new());
        let mut entries = lock(&self.entries);
        let id = entries.next;
        entries.next += 1;
        entries.connections.insert(id, connection.clone());
        Entry {
            id,
            connection,
            connections: self.clone(),
        }
    }

    /// Closes the connection that has kept the port waiting for longest. Returns false if all
    /// requests are complete.
    pub(super) fn evict_waiting(&self) -> bool {
        self.evict(|_| true)
    }

    /// Like [`Connections::evict_waiting`], among those that hold a part of the memory budget.
    pub(super) fn evict_holding(&self) -> bool {
        self.evict(State::is_holding)
    }

    fn evict(&self, is_candidate: impl Fn(&State) -> bool) -> bool {
        let entries = lock(&self.entries);
        let mut oldest: Option<(Instant, &Arc<Connection>)> = None;
        for connection in entries.connections.values() {
            let state = lock(&connection.state);
            let Some(since) = state.waiting_since() else {
                continue;
            };
            if is_candidate(&state) && oldest.is_none_or(|(earliest, _)| since < earliest) {
                oldest = Some((since, connection));
            }
        }
        let Some((_, connection)) = oldest else {
            return false;
        };
        lock(&connection.state).is_evicted = true;
        connection.evicted.notify_one();
        true
    }
}

/// A connection in the list of its port, from which it is removed when this is dropped.
pub(super) struct Entry {
    id: u64,
    /// The connection.
    pub(super) connection: Arc<Connection>,
    connections: Arc<Connections>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        lock(&self.connections.entries).connections.remove(&self.id);
    }
}

/// The stream of a connection, which records its progress.
pub(super) struct Stream {
    pub(super) stream: TcpStream,
    pub(super) connection: Arc<Connection>,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.connection.record_read();
        }
        result
    }
}

impl Stream {
    fn record_write<T>(&self, result: &Poll<T>) {
        self.connection.record_write(result.is_pending());
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if result.is_ready() {
            self.connection.record_flush();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: RequestLimits = RequestLimits {
        max_head: 8_192,
        max_body: 8_192,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };

    fn is_evicted(entry: &Entry) -> bool {
        lock(&entry.connection.state).is_evicted
    }

    #[test]
    fn evict_waiting_oldest_first() {
        let connections = Arc::new(Connections::default());
        let [handled, idle, recent] = [(); 3].map(|()| connections.add());
        handled.connection.begin_handler();
        recent.connection.begin_body();
        assert!(connections.evict_waiting());
        assert!(is_evicted(&idle) && !is_evicted(&recent));
        assert!(connections.evict_waiting());
        assert!(is_evicted(&recent));
        assert!(!connections.evict_waiting());
        assert!(!is_evicted(&handled));
    }

    #[test]
    fn confirm_eviction_after_request() {
        let connections = Arc::new(Connections::default());
        let entry = connections.add();
        assert!(connections.evict_waiting());
        entry.connection.begin_handler();
        assert!(!entry.connection.confirm_eviction());
        assert!(!is_evicted(&entry));
    }

    #[test]
    fn evict_holding_skips_small_bodies() {
        let connections = Arc::new(Connections::default());
        let [small, large] = [(); 2].map(|()| connections.add());
        small.connection.begin_body();
        large.connection.begin_body();
        assert!(!connections.evict_holding());
        large.connection.hold_budget();
        assert!(connections.evict_holding());
        assert!(is_evicted(&large) && !is_evicted(&small));
    }

    #[test]
    fn deadline_by_phase() {
        let connections = Arc::new(Connections::default());
        let entry = connections.add();
        let connection = &entry.connection;
        let left = || {
            let deadline = connection.deadline(&LIMITS);
            deadline.map(|at| at.saturating_duration_since(Instant::now()).as_secs())
        };
        assert!(left().is_some_and(|seconds| (10..=15).contains(&seconds)));
        connection.record_read();
        assert!(left().is_some_and(|seconds| seconds <= 3));
        connection.begin_body();
        assert!(left().is_some_and(|seconds| seconds > 15));
        connection.begin_handler();
        assert_eq!(left(), None);
        connection.record_write(true);
        assert!(left().is_some());
        connection.record_write(false);
        assert_eq!(left(), None);
    }
}
