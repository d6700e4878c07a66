//! Forwards a caller's request to a backend server, retries where that is safe, and returns the
//! response with a verdict.

use {
    crate::{
        actor::{Gate, Slot, SlotRequest},
        response::{self, CLASS_HEADER, DEADLINE_HEADER, REPEAT_HEADER, VERDICT_HEADER},
    },
    kernel::{
        ActorRef, Call, Client, Failure, HttpResponse, Reply, Request, Verdict, verdict::Cause,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 3;

/// Status of a backend server's refusal of a request that it did not run.
const REFUSED_STATUS: u16 = 503;

/// Header that marks a 503 response as such a refusal and contains the reason. A 503 without this
/// header does not prove that the request was not run.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Refusal reason of a server that is leaving and accepts no further requests.
const LEAVING_REASON: &str = "leaving";

/// Hop-by-hop headers, which are not forwarded.
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

/// State shared by the threads that handle callers' requests.
#[derive(Clone)]
pub struct Shared {
    /// Reference to the gate actor.
    pub gate: ActorRef<Gate>,
    /// HTTP client for requests to backend servers.
    pub client: Client,
    /// Deadline of a request without an `x-magpie-deadline-ms` header.
    pub default_deadline: Duration,
    /// Counter of in-flight requests.
    pub in_flight: InFlight,
    /// True while the gate is shutting down and refuses requests.
    pub closing: Arc<AtomicBool>,
}

/// Counts in-flight requests, from their arrival until their responses have been written.
#[derive(Clone, Default)]
pub struct InFlight {
    count: Arc<AtomicUsize>,
}

impl InFlight {
    /// Counts a request as in flight until the last copy of the returned guard is dropped.
    fn enter(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        InFlightGuard {
            _guard: Arc::new(CountGuard {
                count: self.count.clone(),
            }),
        }
    }

    /// Returns the number of in-flight requests.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

/// Guard of one in-flight request.
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

/// A caller's request, with its body read completely.
struct CallerRequest {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    class: Arc<str>,
    may_repeat: bool,
    deadline: Instant,
}

/// Handles one request. Failures become responses with a JSON body and a verdict.
pub fn handle(shared: &Shared, mut request: Request) {
    let guard = shared.in_flight.enter();
    let reply = match process(shared, &mut request, Instant::now()) {
        Ok(reply) => reply,
        Err(failure) => response::from_failure(&failure),
    };
    request.respond_guarded(reply, Box::new(guard));
}

fn process(shared: &Shared, request: &mut Request, started: Instant) -> Result<Reply, Failure> {
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
    result.map(build_response)
}

/// Checks the headers of a request and takes its body.
fn read_request(
    shared: &Shared,
    request: &mut Request,
    started: Instant,
) -> Result<CallerRequest, Failure> {
    let invalid = |text: &str| Failure::not_run(Cause::Invalid, text);
    let class = request.header(CLASS_HEADER);
    if !kernel::settings::is_name(class) {
        return Err(invalid(
            "the header x-magpie-class must name a class of the table",
        ));
    }
    let deadline = match request.header(DEADLINE_HEADER) {
        "" => shared.default_deadline,
        text => match text.parse() {
            Ok(time) if (1..=600_000).contains(&time) => Duration::from_millis(time),
            _ => return Err(invalid("x-magpie-deadline-ms must be from 1 to 600000")),
        },
    };
    let may_repeat = matches!(request.method.as_str(), "GET" | "HEAD" | "OPTIONS")
        || !request.header(REPEAT_HEADER).is_empty();
    let mut headers = Vec::new();
    for (name, value) in &request.headers {
        if HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        let Ok(value) = value.to_str() else { continue };
        headers.push((name.as_str().to_owned(), value.to_owned()));
    }
    Ok(CallerRequest {
        method: request.method.clone(),
        path: request.path_and_query(),
        headers,
        class: Arc::from(class),
        body: std::mem::take(&mut request.body),
        may_repeat,
        deadline: started + deadline,
    })
}

/// Sends the request to one server after another until one has run it, the attempts or the retry
/// budget are exhausted, or a retry is unsafe.
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
            // The failure of an earlier attempt, which may have run, takes precedence over the
            // failure to get another slot.
            Err(failure) => return Err(last.unwrap_or(failure)),
        };
        tried.push(slot.index);
        let failure = match attempt_once(shared, caller_request, &slot) {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        let safe = failure.is_not_run() || caller_request.may_repeat;
        last = Some(more_severe(last, failure));
        if !safe || attempt + 1 == MAX_ATTEMPTS || !take_retry(shared) {
            break;
        }
    }
    Err(last.unwrap_or_else(|| Failure::not_run(Cause::Busy, "no try was made")))
}

/// Selects the failure to report: an earlier failure of an attempt that may have run takes
/// precedence.
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

/// Sends the request to one server and reports the result to the actor.
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
    // A refusal is a response, so it does not count as a failure of the server.
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
    let remaining = caller_request.deadline.saturating_duration_since(started);
    if remaining.is_zero() {
        return Err(Failure::not_run(Cause::Timeout, "the deadline has passed"));
    }
    let url = format!("{}{}", slot.url, caller_request.path);
    let deadline = remaining.as_millis().to_string();
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
        timeout: remaining.into(),
    };
    let response = shared.client.send(&call)?;
    let reason = response.header(NOT_RUN_HEADER);
    if response.status == REFUSED_STATUS && !reason.is_empty() {
        return Err(Failure::not_run(Cause::Refused, reason));
    }
    Ok(response)
}

/// Builds the caller's response from the backend server's.
fn build_response(backend_response: HttpResponse) -> Reply {
    let HttpResponse {
        status,
        headers,
        body,
        ..
    } = backend_response;
    let mut reply = Reply::bytes(status, "application/octet-stream", body)
        .with_header(VERDICT_HEADER, Verdict::Ran.as_str());
    for (name, value) in &headers {
        // The verdict comes from the gate; a verdict header from a backend server is dropped.
        if !HOP_HEADERS.contains(&name.as_str()) && name.as_str() != VERDICT_HEADER {
            reply.forwarded.append(name, value.clone());
        }
    }
    reply
}
