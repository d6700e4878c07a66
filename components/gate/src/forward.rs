//! The task of one caller's request: find room, send, retry where it is safe, answer.

use {
    crate::{
        actor::{Gate, Slot, SlotRequest},
        response::{self, CLASS_HEADER, DEADLINE_HEADER, REPEAT_HEADER, VERDICT_HEADER},
    },
    kernel::{ActorRef, Call, Client, Failure, HttpResponse, Verdict, verdict::Cause},
    oxhttp::model::{Body, Request, Response},
    std::{
        io::Read,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// How often one request is sent index most.
const MAX_ATTEMPTS: usize = 3;

/// The status with which a backend server refuses a request that it did not run.
const REFUSED_STATUS: u16 = 503;

/// The header that says so, with the reason; a 503 without it may be anything.
const NOT_RUN_HEADER: &str = "x-not-run";

/// The reason of a refusal that means that the server takes no more requests.
const LEAVING_REASON: &str = "leaving";

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
];

/// What the callers' tasks share.
#[derive(Clone)]
pub struct Shared {
    /// The actor.
    pub gate: ActorRef<Gate>,
    /// The client for calls on backend servers.
    pub client: Client,
    /// The time for a request whose caller names none.
    pub default_deadline: Duration,
    /// The largest body of a request, in bytes.
    pub max_body: u64,
    /// Requests in flight.
    pub in_flight: InFlight,
    /// True while the gate refuses requests, since it stops.
    pub closing: Arc<AtomicBool>,
}

/// Counts requests in flight, from their arrival until their answers are written.
#[derive(Clone, Default)]
pub struct InFlight {
    count: Arc<AtomicUsize>,
}

impl InFlight {
    /// A request arrives; it is in flight as long as the guard or a copy of it lives.
    fn enter(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        InFlightGuard {
            _guard: Arc::new(CountGuard {
                count: self.count.clone(),
            }),
        }
    }

    /// Requests in flight.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

/// A request in flight.
#[derive(Clone)]
struct InFlightGuard {
    _guard: Arc<CountGuard>,
}

struct CountGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A caller's request, read in whole.
struct CallerRequest {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    class: Arc<str>,
    repeat: bool,
    deadline: Instant,
}

/// Answers one request.
pub fn handle(shared: &Shared, request: &mut Request<Body>) -> Response<Body> {
    let flight = shared.in_flight.enter();
    let started = Instant::now();
    let mut response = match process(shared, request, started) {
        Ok(response) => response,
        Err(failure) => response::from_failure(&failure),
    };
    // The server drops the response once all of it is written; the guard goes with it.
    response.extensions_mut().insert(flight);
    response
}

fn process(
    shared: &Shared,
    request: &mut Request<Body>,
    started: Instant,
) -> Result<Response<Body>, Failure> {
    if shared.closing.load(Ordering::Acquire) {
        return Err(Failure::not_run(
            Cause::Stopping,
            "this gate takes no requests",
        ));
    }
    let caller_request = read_request(shared, request, started)?;
    let result = send(shared, &caller_request);
    let latency = started.elapsed();
    let (class, answered) = (caller_request.class, result.is_ok());
    metrics::histogram!("magpie_gate_request_seconds").record(latency.as_secs_f64());
    let verdict = result
        .as_ref()
        .map_or_else(|failure| failure.verdict, |_| Verdict::Ran);
    metrics::counter!("magpie_gate_requests_total", "verdict" => verdict.as_str()).increment(1);
    shared
        .gate
        .tell(move |gate, _| gate.record_outcome(&class, latency, answered));
    result.map(pass_back)
}

fn header<'a>(request: &'a Request<Body>, name: &str) -> &'a str {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Reads a request in whole.
fn read_request(
    shared: &Shared,
    request: &mut Request<Body>,
    started: Instant,
) -> Result<CallerRequest, Failure> {
    let invalid = |text: &str| Failure::not_run(Cause::Invalid, text);
    let class = header(request, CLASS_HEADER).to_owned();
    if !kernel::settings::is_name(&class) {
        return Err(invalid(
            "the header x-magpie-class must name a class of the table",
        ));
    }
    let deadline = match header(request, DEADLINE_HEADER) {
        "" => shared.default_deadline,
        text => match text.parse() {
            Ok(time) if (1..=600_000).contains(&time) => Duration::from_millis(time),
            _ => return Err(invalid("x-magpie-deadline-ms must be from 1 to 600000")),
        },
    };
    let method = request.method().to_string();
    let repeat = matches!(method.as_str(), "GET" | "HEAD" | "OPTIONS")
        || !header(request, REPEAT_HEADER).is_empty();
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    let mut headers = Vec::new();
    for (name, value) in request.headers() {
        if HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        let Ok(value) = value.to_str() else { continue };
        headers.push((name.as_str().to_owned(), value.to_owned()));
    }
    let mut body = Vec::new();
    let read = request
        .body_mut()
        .take(shared.max_body + 1)
        .read_to_end(&mut body);
    if read.is_err() {
        return Err(invalid("the body is cut"));
    }
    if body.len() as u64 > shared.max_body {
        return Err(invalid("the body is too large"));
    }
    let class = Arc::from(class);
    Ok(CallerRequest {
        method,
        path,
        headers,
        body,
        class,
        repeat,
        deadline: started + deadline,
    })
}

/// Sends a request to one server after another until it ran, or must not be sent again.
fn send(shared: &Shared, caller_request: &CallerRequest) -> Result<HttpResponse, Failure> {
    let mut tried = Vec::new();
    let mut last: Option<Failure> = None;
    for attempt in 0..MAX_ATTEMPTS {
        let slot_request = SlotRequest {
            class: caller_request.class.clone(),
            deadline: caller_request.deadline,
            tried: tried.clone(),
        };
        let slot = shared.gate.ask_deferred(move |gate, cx, responder| {
            if attempt == 0 {
                gate.record_request();
            }
            gate.acquire_slot(cx, slot_request, responder);
        });
        let slot = match slot.and_then(|slot| slot) {
            Ok(slot) => slot,
            // What an earlier try may have done goes before the failure to find room again.
            Err(failure) => return Err(last.unwrap_or(failure)),
        };
        tried.push(slot.index);
        let failure = match attempt_once(shared, caller_request, &slot) {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        let safe = failure.is_not_run() || caller_request.repeat;
        last = Some(more_severe(last, failure));
        if !safe || attempt + 1 == MAX_ATTEMPTS || !take_retry(shared) {
            break;
        }
    }
    Err(last.unwrap_or_else(|| Failure::not_run(Cause::Busy, "no try was made")))
}

/// The failure to tell of two tries: one that may have run goes first.
fn more_severe(last: Option<Failure>, next: Failure) -> Failure {
    match last {
        Some(last) if !last.is_not_run() => last,
        _ => next,
    }
}

fn take_retry(shared: &Shared) -> bool {
    shared
        .gate
        .ask(|gate, _| gate.take_retry())
        .unwrap_or(false)
}

/// Sends a request to one server.
fn attempt_once(
    shared: &Shared,
    caller_request: &CallerRequest,
    slot: &Slot,
) -> Result<HttpResponse, Failure> {
    let started = Instant::now();
    let result = exchange(shared, caller_request, slot, started);
    let (index, latency) = (slot.index, started.elapsed());
    let refused = matches!(&result, Err(failure) if failure.cause == Cause::Refused);
    let leaving =
        matches!(&result, Err(f) if f.cause == Cause::Refused && f.text == LEAVING_REASON);
    // A refusal is an answer: the server is well.
    let ok = result.is_ok() || refused;
    shared.gate.tell(move |gate, cx| {
        if leaving {
            gate.mark_leaving(index);
        }
        gate.release_slot(index, latency, ok, cx.now());
    });
    result
}

fn exchange(
    shared: &Shared,
    caller_request: &CallerRequest,
    slot: &Slot,
    started: Instant,
) -> Result<HttpResponse, Failure> {
    let left = caller_request.deadline.saturating_duration_since(started);
    if left.is_zero() {
        return Err(Failure::not_run(Cause::Timeout, "the deadline has passed"));
    }
    let url = format!("{}{}", slot.url, caller_request.path);
    let deadline = left.as_millis().to_string();
    let mut headers: Vec<(&str, &str)> = Vec::new();
    for (name, value) in &caller_request.headers {
        if name != DEADLINE_HEADER {
            headers.push((name, value));
        }
    }
    headers.push((DEADLINE_HEADER, &deadline));
    let call = Call {
        method: &caller_request.method,
        url: &url,
        headers: &headers,
        body: &caller_request.body,
        timeout: left.into(),
    };
    let answer = shared.client.send(&call)?;
    let reason = answer.header(NOT_RUN_HEADER);
    if answer.status == REFUSED_STATUS && !reason.is_empty() {
        return Err(Failure::not_run(Cause::Refused, reason));
    }
    Ok(answer)
}

/// Passes a backend server's whole answer back.
fn pass_back(answer: HttpResponse) -> Response<Body> {
    let mut builder = Response::builder()
        .status(answer.status)
        .header(VERDICT_HEADER, Verdict::Ran.as_str());
    for (name, value) in &answer.headers {
        // The verdict is the gate's own word, whatever a backend server sends.
        if !HOP_HEADERS.contains(&name.as_str()) && name.as_str() != VERDICT_HEADER {
            builder = builder.header(name.as_str(), value.as_bytes());
        }
    }
    builder.body(Body::from(answer.body)).unwrap_or_default()
}
