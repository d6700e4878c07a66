//! Tests a box beside crowds of clients that do not behave: its process lives, stays within the
//! memory and the descriptors of its machine, and answers an ordinary request afterwards.
//!
//! The tests judge no times, and run one after the other.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    kernel::{HttpResponse, sync::lock, wire},
    node::message::{RelayRequest, WorkerEvent},
    serde_json::json,
    standin::{
        Kv, Runner,
        crowd::{Crowd, NUMBER, Script},
        kv::encode,
        program::{self, Program, SMALL_MACHINE, free_address, is_served, until},
        runner::RunLog,
    },
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        sync::{Arc, Mutex, MutexGuard, OnceLock},
        time::Duration,
    },
    test_case::test_case,
};

/// Size of a body within the limit of the configuration, 256 KiB.
const LEGAL_BODY: usize = 250_000;
/// Size of a body over that limit.
const LARGE_BODY: usize = 1_900_000;
/// Size of a large chunk.
const LARGE_CHUNK: usize = 16 * 1024;
/// Time-out of every wait, long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::new(());

/// A box with a store and a worker.
struct World {
    program: Program,
    callers: SocketAddr,
    ready: SocketAddr,
    inside: SocketAddr,
    metrics: SocketAddr,
    _kv: Kv,
    _runner: Runner,
    _turn: MutexGuard<'static, ()>,
}

impl World {
    /// Starts the box and waits until it has accepted a job. It is started again with other ports if
    /// it has ended, since another process may have bound one of them.
    fn start() -> Self {
        let turn = lock(&TURN);
        let kv = Kv::default();
        let store = kv.open(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let log = Arc::new(Mutex::new(RunLog::default()));
        let work = Duration::from_millis(50);
        let runner = Runner::open(&kv, "pool", "i-0", 4, work, &log).unwrap();
        configure(&kv);
        let store = store.trim_start_matches("http://").to_owned();
        let (program, ports) = until_some("the box answers", || start_box(&store));
        let [callers, ready, inside, metrics] = ports;
        let world = World {
            program,
            callers,
            ready,
            inside,
            metrics,
            _kv: kv,
            _runner: runner,
            _turn: turn,
        };
        world.serve_ordinary_caller(1_000_001);
        world
    }

    /// Submits a job as callers do, again after a refusal, and reads its state.
    fn serve_ordinary_caller(&self, number: u64) {
        let path = format!("/q/{number:016x}");
        let job = json!({
            "specification": "text",
            "steps": [{ "count": 1, "cpu": 1000, "memMb": 10, "estimatedMs": 50 }],
        });
        let body = job.to_string();
        until("a job is accepted", || {
            send(self.callers, "POST", &path, body.as_bytes())
                .is_some_and(|response| response.status == 200)
        });
        until("the state of the job is known", || {
            send(self.callers, "GET", &path, &[]).is_some_and(|response| response.status == 200)
        });
    }

    /// Gathers a crowd at a port, and checks the box while it is there.
    fn endure(&mut self, address: SocketAddr, script: &Script) {
        let program = &mut self.program;
        let _crowd = Crowd::gather(address, script, || program.observe());
        self.program.settle();
        self.serve_ordinary_caller(1_000_002);
        until("the box is ready", || is_served(self.ready, "/readiness"));
        until("the box shows its metrics", || {
            is_served(self.metrics, "/metrics")
        });
        assert_eq!(self.program.check(), Ok(()));
    }
}

/// Starts a box and waits until it is ready; `None` if it has ended. Returns its ports for callers,
/// readiness probes, other boxes and metrics.
fn start_box(store: &str) -> Option<(Program, [SocketAddr; 4])> {
    let ports = [(); 4].map(|()| free_address().unwrap());
    let [callers, ready, inside, metrics] = ports;
    let variables = [
        ("MAGPIE_NAME", "b0".to_owned()),
        ("MAGPIE_HALL", "h1".to_owned()),
        ("MAGPIE_CALLERS", callers.to_string()),
        ("MAGPIE_READY", ready.to_string()),
        ("MAGPIE_PORTS", inside.port().to_string()),
        ("MAGPIE_METRICS", metrics.to_string()),
        ("MAGPIE_STORE", store.to_owned()),
    ];
    let path = env!("CARGO_BIN_EXE_magpie-box");
    let mut program = Program::start(path, SMALL_MACHINE, &variables).unwrap();
    for address in ports {
        program.watch(address);
    }
    until("the box is ready or has ended", || {
        program.has_ended() || is_served(ready, "/readiness")
    });
    (!program.has_ended()).then_some((program, ports))
}

fn configure(kv: &Kv) {
    let config = json!({
        "version": 1,
        "routes": [{
            "name": "r", "host": "h.example", "pathPrefix": "/q/", "priority": 0,
            "service": "pool", "retryAttempts": 2, "stretch": 2.0, "targetLatencyMs": 100,
        }],
        "services": [{ "name": "pool", "rejectsOverload": true }],
    });
    kv.put("op/config", &encode(&config));
}

/// Waits until `find` returns something; panics with `description` after [`WAIT_TIMEOUT`].
fn until_some<T>(description: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let mut found = None;
    until(description, || {
        found = find();
        found.is_some()
    });
    found.unwrap()
}

fn send(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<HttpResponse> {
    program::send(address, (method, path), &[("host", "h.example")], body)
}

/// Head of a submission without the headers of its body.
const SUBMISSION: &str = "POST /q/{number} HTTP/1.1\r\nHost: h.example\r\n";

/// A valid job of `size` bytes.
fn padded_job(size: usize) -> Vec<u8> {
    let job = json!({
        "specification": "text",
        "steps": [{ "count": 1, "cpu": 1000, "memMb": 10, "estimatedMs": 50 }],
    });
    let mut body = job.to_string().into_bytes();
    body.resize(size, b' ');
    body
}

/// A job of a legal size with as many steps as fit.
fn job_of_many_steps() -> Vec<u8> {
    let (start, end) = (r#"{"specification":"text","steps":[{}"#, "]}");
    let steps = (LEGAL_BODY - start.len() - end.len()) / 3;
    let mut body = format!("{start}{}{end}", ",{}".repeat(steps)).into_bytes();
    body.resize(LEGAL_BODY, b' ');
    body
}

/// A small message of a relay that decompresses to some hundred times its size.
fn compressed_message() -> &'static [u8] {
    static MESSAGE: OnceLock<Vec<u8>> = OnceLock::new();
    MESSAGE.get_or_init(|| {
        let request = RelayRequest {
            name: "b1".into(),
            hall: "h1".into(),
            share: 1_000,
            link: 1_000,
            session: 0,
            batch: 1,
            ack: 0,
            heard: vec![WorkerEvent::Left("".into()); 600_000],
            leaving: false,
        };
        wire::compress(wire::encode_compact(&request).unwrap())
    })
}

fn sized_stalled() -> Script {
    Script::sized(SUBMISSION, &padded_job(LEGAL_BODY))
}

fn large_chunks() -> Script {
    Script::chunked(SUBMISSION, &padded_job(LEGAL_BODY), LARGE_CHUNK)
}

fn tiny_chunks() -> Script {
    Script::chunked(SUBMISSION, &padded_job(40_000), 1)
}

fn over_limit() -> Script {
    Script::sized(SUBMISSION, &padded_job(LARGE_BODY))
}

fn over_limit_announced() -> Script {
    let head = format!("{SUBMISSION}Content-Length: 1000000000\r\n\r\n");
    Script::new(&head, &vec![b' '; 4_000_000], &[])
}

fn over_limit_chunked() -> Script {
    Script::chunked(SUBMISSION, &vec![b' '; 4_000_000], LARGE_CHUNK)
}

fn incomplete_heads() -> Script {
    let header = format!("X-Padding: {}\r\n", "x".repeat(30_000));
    Script::new(SUBMISSION, header.as_bytes(), b"\r\n")
}

fn unread_states() -> Script {
    Script::repeated("GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 5_000)
}

/// Requests for paths of 1,000 bytes that all differ.
fn distinct_paths() -> Script {
    let path = format!("/q/{}/{NUMBER}", "x".repeat(1_000));
    let request = format!("GET {path} HTTP/1.1\r\nHost: h.example\r\n\r\n");
    Script::numbered(&request, 200)
}

fn unread_metrics() -> Script {
    Script::repeated("GET /metrics HTTP/1.1\r\nHost: b0\r\n\r\n", 200)
}

fn messages() -> Script {
    let head = "POST /peer HTTP/1.1\r\nHost: b0\r\n";
    Script::sized(head, &vec![b' '; LARGE_BODY])
}

fn compressed_messages() -> Script {
    let head = "POST /relay HTTP/1.1\r\nHost: b0\r\n";
    Script::sized(head, compressed_message()).complete()
}

#[test_case(sized_stalled(); "callers sized stalled")]
#[test_case(sized_stalled().in_pieces(1_000); "callers sized in pieces")]
#[test_case(sized_stalled().complete(); "callers sized complete")]
#[test_case(large_chunks(); "callers large chunks")]
#[test_case(tiny_chunks(); "callers tiny chunks")]
#[test_case(over_limit(); "callers over limit")]
#[test_case(over_limit_announced(); "callers over limit announced")]
#[test_case(over_limit_chunked(); "callers over limit chunked")]
#[test_case(Script::sized(SUBMISSION, &job_of_many_steps()).complete(); "callers many steps")]
#[test_case(incomplete_heads(); "callers incomplete heads")]
#[test_case(Script::silent(); "callers silent")]
#[test_case(unread_states(); "callers unread responses")]
#[test_case(distinct_paths(); "callers distinct paths")]
fn callers_port_endures(script: Script) {
    let mut world = World::start();
    let address = world.callers;
    world.endure(address, &script);
}

#[test_case(messages(); "inside sized stalled")]
#[test_case(tiny_chunks(); "inside tiny chunks")]
#[test_case(compressed_messages(); "inside compressed messages")]
#[test_case(Script::silent(); "inside silent")]
#[test_case(unread_metrics(); "inside unread metrics")]
#[test_case(distinct_paths(); "inside distinct paths")]
fn inside_port_endures(script: Script) {
    let mut world = World::start();
    let address = world.inside;
    world.endure(address, &script);
}

#[test_case(over_limit(); "ready over limit")]
#[test_case(tiny_chunks(); "ready tiny chunks")]
#[test_case(Script::silent(); "ready silent")]
fn ready_port_endures(script: Script) {
    let mut world = World::start();
    let address = world.ready;
    world.endure(address, &script);
}

#[test_case(over_limit(); "metrics over limit")]
#[test_case(Script::silent(); "metrics silent")]
#[test_case(unread_metrics(); "metrics unread metrics")]
fn metrics_port_endures(script: Script) {
    let mut world = World::start();
    let address = world.metrics;
    world.endure(address, &script);
}

/// A request within the limits is served in calm, whatever the form of its body.
#[test_case(sized_stalled(); "sized")]
#[test_case(sized_stalled().in_pieces(1_000); "sized in pieces")]
#[test_case(large_chunks(); "large chunks")]
#[test_case(Script::chunked(SUBMISSION, &padded_job(LEGAL_BODY), 1); "tiny chunks")]
fn single_legal_request_is_served(script: Script) {
    let world = World::start();
    let mut stream = TcpStream::connect(world.callers).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    for part in script.complete().parts(3) {
        stream.write_all(&part).unwrap();
    }
    let mut status = [0; 12];
    stream.read_exact(&mut status).unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
}
