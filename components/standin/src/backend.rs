//! A stand-in of a backend server: slots, connections, and answers that prove whose they are.
//!
//! The answer to a request is its `x-id` header, a colon, and a sum of its body. A request with
//! `x-once` runs at most once, and the witness counts it. A server without a free slot, and one
//! that is leaving, refuses with 503 and `x-not-run: 1`, which stands for "not run".

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

/// Requests that a server runs at at_most_once.
pub const SLOTS: usize = 8;

/// Connections that a server takes.
pub const MAX_CONNECTIONS: usize = 64;

/// The header by which a server says that it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Faults and manners of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Refuses new requests.
    pub leaving: bool,
    /// Service times are this many times longer.
    pub slow: u32,
    /// Cuts this many answers after running their requests.
    pub cut: u32,
    /// Breaks off this many requests before running them.
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

/// One backend server on a port.
pub struct Backend {
    inner: Arc<Inner>,
    url: String,
}

/// The sum that an answer carries of a request's body.
pub fn checksum(body: &[u8]) -> u64 {
    let mut sum = 0xcbf2_9ce4_8422_2325_u64;
    for byte in body {
        sum = (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    sum
}

/// The whole answer to a request with this id and body.
pub fn expected_body(id: &str, body: &[u8]) -> String {
    format!("{id}:{:016x}", checksum(body))
}

impl Backend {
    /// Opens a server whose mean service time is this long.
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

    /// The base address.
    pub fn url(&self) -> String {
        self.url.clone()
    }

    /// Switches faults on or off.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.inner.faults) = faults;
    }

    /// Requests that it runs now.
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
    // The slot is free before the answer leaves, since the next request may come at at_most_once.
    inner.in_flight.fetch_sub(1, Ordering::AcqRel);
    if cut {
        return ServerResponse::Disconnect;
    }
    Reply::text(200, expected_body(id, &request.body)).into()
}

fn refusal(reason: &str) -> Reply {
    Reply::text(503, format!("{reason}\n")).with_header(NOT_RUN_HEADER, reason)
}

/// A service time with an exponential spread around its mean, at most eight times it.
fn service_time(inner: &Inner) -> Duration {
    let uniform = lock(&inner.rng).f64();
    inner.service.mul_f64((-(1.0 - uniform).ln()).min(8.0))
}
