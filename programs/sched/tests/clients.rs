//! Tests the scheduler process beside crowds of clients that do not behave: its process lives, stays within the
//! memory and the descriptors of its machine, and answers an ordinary request afterwards.
//!
//! The tests judge no times, and run one after the other.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    kernel::{Client, client::Call, sync::lock},
    standin::{
        Registry, Store,
        clock::Clock,
        crowd::{Crowd, Script},
        program::{Bounds, Program, free_address},
        store::{Rates, Server},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
    test_case::test_case,
};

/// Memory of the machine in MiB, as the process is told.
const MEMORY_MB: u64 = 64;
/// File descriptors of the machine, as the process is told.
const DESCRIPTORS: usize = 256;
/// Bounds of the process.
const BOUNDS: Bounds = Bounds {
    memory_kb: MEMORY_MB * 1024,
    descriptors: DESCRIPTORS,
};
/// Number of clients in a crowd.
const CROWD: usize = 320;
/// Size of a body.
const BODY: usize = 1_900_000;
/// Time-out of every wait, long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time-out of one attempt of an ordinary client.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Head of a request without the headers of its body.
const HEAD: &str = "POST /edit HTTP/1.1\r\nHost: b1\r\n";

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::new(());

/// Waits until `condition` holds; panics with `description` after [`WAIT_TIMEOUT`].
fn until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        let is_late = start.elapsed() >= WAIT_TIMEOUT;
        assert!(!is_late, "timed out waiting: {description}");
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Returns true if an ordinary request is answered.
fn is_alive(port: SocketAddr) -> bool {
    let call = Call {
        method: "GET",
        url: &format!("http://{port}/healthz"),
        headers: &[],
        body: &[],
        timeout: ATTEMPT_TIMEOUT.into(),
    };
    let answer = Client::new(None).send(&call);
    answer.is_ok_and(|answer| answer.status == 200)
}

#[test_case(Script::sized(HEAD, &[b'x'; BODY]); "scheduler sized stalled")]
#[test_case(Script::chunked(HEAD, &[b'x'; BODY], 16 * 1024); "scheduler large chunks")]
#[test_case(Script::chunked(HEAD, &[b'x'; 40_000], 1); "scheduler tiny chunks")]
#[test_case(Script::silent(); "scheduler silent")]
fn scheduler_port_endures(script: Script) {
    let _turn = lock(&TURN);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let registry = Registry::new(Duration::ZERO);
    let boxes = registry.open(any).unwrap();
    let core = Arc::new(Store::new(Rates::default(), Clock::real()));
    let store = Server::open(any, core).unwrap();
    let port = free_address().unwrap();
    let variables = [
        ("MAGPIE_NAME", "b1".to_owned()),
        ("MAGPIE_BOXES", boxes),
        ("MAGPIE_STORE", store.url()),
        ("MAGPIE_LISTEN", port.to_string()),
        ("MAGPIE_MEMORY_MB", MEMORY_MB.to_string()),
        ("MAGPIE_DESCRIPTORS", DESCRIPTORS.to_string()),
    ];
    let variables = variables.each_ref().map(|(name, text)| (*name, &**text));
    let mut program = Program::start(env!("CARGO_BIN_EXE_magpie-sched"), &variables).unwrap();
    until("the process answers", || is_alive(port));
    program.watch(port);
    let _crowd = Crowd::gather(port, CROWD, &script, || program.observe());
    program.settle();
    until("an ordinary request is answered", || is_alive(port));
    assert_eq!(program.check(BOUNDS), Ok(()));
}
