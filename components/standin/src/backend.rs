//! Stand-in for a backend server with limited slots and connections.
//!
//! The response body is the `x-id` header of the request, a colon and a checksum of its body, so
//! that callers can verify that a response is theirs. A request with `x-once` must run at most
//! once; the auditor counts its runs. A server that is leaving or has no free slot refuses with
//! 503 and an `x-not-run` header, which states that the request did not run.

use {
    crate::{
        auditor::Auditor,
        http_server::{self, ServerRequest, ServerResponse},
    },
    kernel::{Reply, sync::lock},
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Number of requests that a server runs concurrently.
pub const SLOTS: usize = 8;

/// Maximum number of connections to a server.
pub const MAX_CONNECTIONS: usize = 64;

/// Response header that states that a request did not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Faults and operating state of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Refuses new requests.
    pub leaving: bool,
    /// Factor on service times.
    pub slow: u32,
    /// Number of further responses that are cut off after their requests have run.
    pub cut: u32,
    /// Number of further requests whose connections are closed before they run.
    pub dropped: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            leaving: false,
            slow: 1,
            cut: 0,
            dropped: 0,
        }
    }
}

struct Inner {
    faults: Mutex<Faults>,
    in_flight: AtomicUsize,
    service: Duration,
    rng: Mutex<fastrand::Rng>,
    auditor: Auditor,
}

/// A backend server.
pub struct Backend {
    inner: Arc<Inner>,
    url: String,
}

/// Computes the checksum of a request body that the response carries (64-bit FNV-1a).
pub fn checksum(body: &[u8]) -> u64 {
    let mut sum = 0xcbf2_9ce4_8422_2325_u64;
    for byte in body {
        sum = (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    sum
}

/// Returns the full response body for a request with this id and body.
pub fn expected_body(id: &str, body: &[u8]) -> String {
    format!("{id}:{:016x}", checksum(body))
}

impl Backend {
    /// Opens a server with the given mean service time.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn open(
        address: SocketAddr,
        service: Duration,
        seed: u64,
        auditor: Auditor,
    ) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            faults: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            service,
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            auditor,
        });
        let shared = inner.clone();
        let url = http_server::open(address, MAX_CONNECTIONS, move |request| {
            handle(&shared, &request)
        })?;
        Ok(Backend { inner, url })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.url.clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.inner.faults) = faults;
    }

    /// Returns the number of requests being served.
    pub fn in_flight(&self) -> usize {
        self.inner.in_flight.load(Ordering::Acquire)
    }
}

fn handle(inner: &Inner, request: &ServerRequest) -> ServerResponse {
    if request.path == "/admin/faults" {
        return match serde_json::from_slice(&request.body) {
            Ok(faults) => {
                *lock(&inner.faults) = faults;
                Reply::text(200, "set\n").into()
            }
            Err(e) => Reply::text(400, e.to_string()).into(),
        };
    }
    let mut faults = lock(&inner.faults);
    if faults.dropped > 0 {
        faults.dropped -= 1;
        return ServerResponse::Disconnect;
    }
    if faults.leaving {
        return refusal("leaving").into();
    }
    let cut = faults.cut > 0;
    faults.cut = faults.cut.saturating_sub(1);
    let slow = faults.slow;
    drop(faults);
    if inner.in_flight.fetch_add(1, Ordering::AcqRel) >= SLOTS {
        inner.in_flight.fetch_sub(1, Ordering::AcqRel);
        inner.auditor.record_slot_overrun();
        return refusal("slots").into();
    }
    let at_most_once = !request.header("x-once").is_empty();
    let id = request.header("x-id");
    inner.auditor.record_request(at_most_once.then_some(id));
    thread::sleep(service_time(inner) * slow);
    // Frees the slot before the response is sent, since the next request may follow at once.
    inner.in_flight.fetch_sub(1, Ordering::AcqRel);
    if cut {
        return ServerResponse::Disconnect;
    }
    Reply::text(200, expected_body(id, &request.body)).into()
}

fn refusal(reason: &str) -> Reply {
    Reply::text(503, format!("{reason}\n")).with_header(NOT_RUN_HEADER, reason)
}

/// Draws a service time from an exponential distribution, capped at eight times the mean.
fn service_time(inner: &Inner) -> Duration {
    let uniform = lock(&inner.rng).f64();
    inner.service.mul_f64((-(1.0 - uniform).ln()).min(8.0))
}
