//! Receives the bodies of requests into memory that is reserved for them.

use {
    super::{PortState, connection::Connection},
    crate::{
        resources::{ALLOWANCE, Reservation},
        verdict::{Cause, Failure},
    },
    displaydoc::Display,
    http_body_util::BodyExt,
    hyper::body::{Body, Bytes, Incoming},
    std::sync::Arc,
};

/// Bytes of a refused body that are still read, so that its client can read the response.
const MAX_DISCARDED: usize = 2 * 1024 * 1024;
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
    let result = if body.size_hint().lower() > limit as u64 {
        Err(BodyError::TooLarge(limit))
    } else {
        read(&mut body, limit, port, connection, &mut received).await
    };
    match result {
        Ok(()) => Ok(received),
        Err(BodyError::Truncated) => Err(BodyError::Truncated),
        Err(error) => {
            tokio::spawn(discard(body));
            Err(error)
        }
    }
}

async fn read(
    body: &mut Incoming,
    limit: usize,
    port: &PortState,
    connection: &Connection,
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
async fn discard(mut body: Incoming) {
    let mut discarded = 0;
    while discarded < MAX_DISCARDED {
        let Ok(Some(data)) = next_data(&mut body).await else {
            return;
        };
        discarded += data.len();
    }
}
