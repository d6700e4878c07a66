//! The task of one caller's request: find room, send, retry where it is safe, answer.

use {
    crate::{
        actor::{Gate, Ticket, Wanted},
        answer::{self, CLASS_HEADER, DEADLINE_HEADER, REPEAT_HEADER, VERDICT_HEADER},
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

/// How often one request is sent at most.
const TRIES: usize = 3;

/// The status with which a backend server refuses a request that it did not run.
const REFUSED_STATUS: u16 = 503;

/// The header that says so, with the reason; a 503 without it may be anything.
const NOT_RUN_HEADER: &str = "x-not-run";

/// The reason of a refusal that means that the server takes no more requests.
const LEAVING: &str = "leaving";

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
    pub deadline: Duration,
    /// The largest body of a request, in bytes.
    pub body: u64,
    /// Requests in flight.
    pub flights: Flights,
    /// True while the gate refuses requests, since it stops.
    pub closing: Arc<AtomicBool>,
}

/// Counts requests in flight, from their arrival until their answers are written.
#[derive(Clone, Default)]
pub struct Flights {
    count: Arc<AtomicUsize>,
}

impl Flights {
    /// A request arrives; it is in flight as long as the guard or a copy of it lives.
    fn enter(&self) -> Flight {
        self.count.fetch_add(1, Ordering::AcqRel);
        Flight {
            _guard: Arc::new(Guard {
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
struct Flight {
    _guard: Arc<Guard>,
}

struct Guard {
    count: Arc<AtomicUsize>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A caller's request, read in whole.
struct Asked {
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
    let flight = shared.flights.enter();
    let started = Instant::now();
    let mut response = match answer_to(shared, request, started) {
        Ok(response) => response,
        Err(failure) => answer::failure(&failure),
    };
    // The server drops the response once all of it is written; the guard goes with it.
    response.extensions_mut().insert(flight);
    response
}

fn answer_to(
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
    let asked = read(shared, request, started)?;
    let result = send(shared, &asked);
    let latency = started.elapsed();
    let (class, answered) = (asked.class, result.is_ok());
    metrics::histogram!("magpie_gate_request_seconds").record(latency.as_secs_f64());
    let verdict = result
        .as_ref()
        .map_or_else(|failure| failure.verdict, |_| Verdict::Ran);
    metrics::counter!("magpie_gate_requests_total", "verdict" => verdict.as_str()).increment(1);
    shared
        .gate
        .tell(move |gate, _| gate.note(&class, latency, answered));
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
fn read(shared: &Shared, request: &mut Request<Body>, started: Instant) -> Result<Asked, Failure> {
    let invalid = |text: &str| Failure::not_run(Cause::Invalid, text);
    let class = header(request, CLASS_HEADER).to_owned();
    if !kernel::settings::is_name(&class) {
        return Err(invalid(
            "the header x-magpie-class must name a class of the table",
        ));
    }
    let deadline = match header(request, DEADLINE_HEADER) {
        "" => shared.deadline,
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
        .take(shared.body + 1)
        .read_to_end(&mut body);
    if read.is_err() {
        return Err(invalid("the body is cut"));
    }
    if body.len() as u64 > shared.body {
        return Err(invalid("the body is too large"));
    }
    let class = Arc::from(class);
    Ok(Asked {
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
fn send(shared: &Shared, asked: &Asked) -> Result<HttpResponse, Failure> {
    let mut tried = Vec::new();
    let mut last: Option<Failure> = None;
    for attempt in 0..TRIES {
        let wanted = Wanted {
            class: asked.class.clone(),
            deadline: asked.deadline,
            tried: tried.clone(),
        };
        let ticket = shared.gate.ask_deferred(move |gate, cx, answerer| {
            if attempt == 0 {
                gate.enter();
            }
            gate.pick(cx, wanted, answerer);
        });
        let ticket = match ticket.and_then(|ticket| ticket) {
            Ok(ticket) => ticket,
            // What an earlier try may have done goes before the failure to find room again.
            Err(failure) => return Err(last.unwrap_or(failure)),
        };
        tried.push(ticket.at);
        let failure = match try_once(shared, asked, &ticket) {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        let safe = failure.is_not_run() || asked.repeat;
        last = Some(worse(last, failure));
        if !safe || attempt + 1 == TRIES || !take_retry(shared) {
            break;
        }
    }
    Err(last.unwrap_or_else(|| Failure::not_run(Cause::Busy, "no try was made")))
}

/// The failure to tell of two tries: one that may have run goes first.
fn worse(last: Option<Failure>, next: Failure) -> Failure {
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
fn try_once(shared: &Shared, asked: &Asked, ticket: &Ticket) -> Result<HttpResponse, Failure> {
    let started = Instant::now();
    let result = exchange(shared, asked, ticket, started);
    let (at, latency) = (ticket.at, started.elapsed());
    let refused = matches!(&result, Err(failure) if failure.cause == Cause::Refused);
    let leaving = matches!(&result, Err(f) if f.cause == Cause::Refused && f.text == LEAVING);
    // A refusal is an answer: the server is well.
    let ok = result.is_ok() || refused;
    shared.gate.tell(move |gate, cx| {
        if leaving {
            gate.leaving(at);
        }
        gate.done(at, latency, ok, cx.now());
    });
    result
}

fn exchange(
    shared: &Shared,
    asked: &Asked,
    ticket: &Ticket,
    started: Instant,
) -> Result<HttpResponse, Failure> {
    let left = asked.deadline.saturating_duration_since(started);
    if left.is_zero() {
        return Err(Failure::not_run(Cause::Timeout, "the deadline has passed"));
    }
    let url = format!("{}{}", ticket.url, asked.path);
    let deadline = left.as_millis().to_string();
    let mut headers: Vec<(&str, &str)> = Vec::new();
    for (name, value) in &asked.headers {
        if name != DEADLINE_HEADER {
            headers.push((name, value));
        }
    }
    headers.push((DEADLINE_HEADER, &deadline));
    let call = Call {
        method: &asked.method,
        url: &url,
        headers: &headers,
        body: &asked.body,
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
