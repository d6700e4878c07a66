//! Receives the bodies of requests into memory that is reserved for them.

use {
    super::{connection::Connection, port::PortState},
    crate::{
        resources::{ALLOWANCE, Reservation},
        sync::lock,
        verdict::{Cause, Failure},
    },
    displaydoc::Display,
    http_body_util::BodyExt,
    hyper::body::{Body, Bytes, Incoming},
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Bytes of a refused body that are still read, so that its client can read the response.
const MAX_DISCARDED: usize = 2 * 1024 * 1024;
/// Number of frames of a turn, after which their mean size is checked.
const FRAMES_PER_TURN: usize = 256;
/// Frames of a smaller mean size, in bytes, cost more to receive than their contents.
const MIN_FRAME: usize = 64;
/// Pause after a turn of small frames, in multiples of its duration.
const PAUSE_FACTOR: u32 = 3;
/// Longest duration of a turn that counts for its pause; the client may have been slow.
const MAX_TURN: Duration = Duration::from_millis(20);
/// Number of attempts to reserve memory, each after another connection was closed.
const MAX_EVICTIONS: usize = 64;

/// Why a request is refused before its handler sees it. The doc comment of a variant is its text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum BodyError {
    /// a body has at most {0} bytes
    TooLarge(usize),
    /// the body is cut
    Truncated,
    /// there is no memory for the body at the moment
    NoMemory,
}

impl BodyError {
    /// The label of this cause in metrics.
    pub(super) const fn label(self) -> &'static str {
        match self {
            BodyError::TooLarge(_) => "size",
            BodyError::Truncated => "truncated",
            BodyError::NoMemory => "memory",
        }
    }
}

impl From<BodyError> for Failure {
    fn from(error: BodyError) -> Self {
        let cause = match error {
            BodyError::TooLarge(_) | BodyError::Truncated => Cause::Invalid,
            BodyError::NoMemory => Cause::Busy,
        };
        Failure::not_run(cause, error.to_string())
    }
}

/// A complete body, and the memory that is reserved for it.
pub(super) struct Received {
    pub(super) bytes: Vec<u8>,
    pub(super) reservation: Option<Reservation>,
}

/// Receives a complete body of at most `limit` bytes. The rest of a refused body is read in the
/// background.
pub(super) async fn receive(
    mut body: Incoming,
    limit: usize,
    port: &Arc<PortState>,
    connection: &Connection,
) -> Result<Received, BodyError> {
    let mut received = Received {
        bytes: Vec::new(),
        reservation: None,
    };
    if body.is_end_stream() {
        return Ok(received);
    }
    let mut pace = Pace::new();
    let result = if body.size_hint().lower() > limit as u64 {
        Err(BodyError::TooLarge(limit))
    } else {
        read(&mut body, limit, port, connection, &mut pace, &mut received).await
    };
    match result {
        Ok(()) => Ok(received),
        Err(BodyError::Truncated) => Err(BodyError::Truncated),
        Err(error) => {
            tokio::spawn(discard(body, pace, port.clone()));
            Err(error)
        }
    }
}

async fn read(
    body: &mut Incoming,
    limit: usize,
    port: &PortState,
    connection: &Connection,
    pace: &mut Pace,
    received: &mut Received,
) -> Result<(), BodyError> {
    while let Some(data) = next_data(body).await? {
        let size = received.bytes.len() + data.len();
        if size > limit {
            return Err(BodyError::TooLarge(limit));
        }
        if size > received.bytes.capacity() {
            let capacity = size.max(received.bytes.capacity() * 2).min(limit);
            reserve(capacity, port, connection, &mut received.reservation).await?;
            let more = capacity - received.bytes.len();
            received.bytes.reserve_exact(more);
        }
        received.bytes.extend_from_slice(&data);
        pace.record(data.len(), &port.turns).await;
    }
    Ok(())
}

/// The next data frame; `None` at the end of the body.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Truncated)?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Reserves memory for a body of `size` bytes beyond the allowance of its connection, if necessary
/// by closing connections that have kept the port waiting for longer.
async fn reserve(
    size: usize,
    port: &PortState,
    connection: &Connection,
    reservation: &mut Option<Reservation>,
) -> Result<(), BodyError> {
    let bytes = size.saturating_sub(ALLOWANCE);
    if bytes == 0 {
        return Ok(());
    }
    let reservation = reservation.get_or_insert_with(|| port.budget.reservation());
    if extend(reservation, bytes, port).await {
        connection.hold_budget();
        return Ok(());
    }
    Err(BodyError::NoMemory)
}

/// Extends a reservation to `bytes`, if necessary by closing other connections of the port. Returns
/// false if there is not enough memory.
pub(super) async fn extend(reservation: &mut Reservation, bytes: usize, port: &PortState) -> bool {
    for _ in 0..MAX_EVICTIONS {
        if reservation.extend_to(bytes) {
            return true;
        }
        if !port.connections.evict_holding() {
            return false;
        }
        // The closed connection returns its memory when its task runs.
        tokio::task::yield_now().await;
    }
    reservation.extend_to(bytes)
}

/// Reads the rest of a refused body, up to [`MAX_DISCARDED`].
async fn discard(mut body: Incoming, mut pace: Pace, port: Arc<PortState>) {
    let mut discarded = 0;
    while discarded < MAX_DISCARDED {
        let Ok(Some(data)) = next_data(&mut body).await else {
            return;
        };
        discarded += data.len();
        pace.record(data.len(), &port.turns).await;
    }
}

/// Limits the processor time for bodies in small frames: all of a port take turns.
#[derive(Default)]
pub(super) struct Turns {
    /// End of the last turn that was given.
    end: Mutex<Option<Instant>>,
}

impl Turns {
    /// Returns when the next turn begins, given the duration of one that has just ended.
    fn next(&self, took: Duration) -> Instant {
        let now = Instant::now();
        let mut end = lock(&self.end);
        let start = end.map_or(now, |end| end.max(now));
        let next = start + took.min(MAX_TURN) * PAUSE_FACTOR;
        *end = Some(next);
        next
    }
}

/// The frames of a body in its current turn.
struct Pace {
    frames: usize,
    bytes: usize,
    start: Instant,
}

impl Pace {
    fn new() -> Self {
        Pace {
            frames: 0,
            bytes: 0,
            start: Instant::now(),
        }
    }

    /// Records a frame. After a turn of small ones, waits for the next turn.
    async fn record(&mut self, bytes: usize, turns: &Turns) {
        self.frames += 1;
        self.bytes += bytes;
        if self.frames < FRAMES_PER_TURN {
            return;
        }
        if self.bytes < self.frames * MIN_FRAME {
            tokio::time::sleep_until(turns.next(self.start.elapsed()).into()).await;
        }
        *self = Pace::new();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn next_turns_follow_each_other() {
        let turns = Turns::default();
        let took = Duration::from_millis(2);
        let (first, second) = (turns.next(took), turns.next(took));
        assert_eq!(second - first, took * PAUSE_FACTOR);
        let third = turns.next(Duration::from_secs(60));
        assert_eq!(third - second, MAX_TURN * PAUSE_FACTOR);
    }
}
