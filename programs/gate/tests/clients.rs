//! Tests the gate beside crowds of clients that do not behave: its process lives, stays within the
//! memory and the descriptors of its machine, and answers an ordinary request afterwards.
//!
//! The tests judge no times, and run one after the other.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    kernel::sync::lock,
    standin::{
        Registry,
        crowd::{Crowd, Script},
        program::{Program, SMALL_MACHINE, free_address, is_served, send, until},
    },
    std::{net::SocketAddr, sync::Mutex, time::Duration},
    test_case::test_case,
};

/// Size of a body within the limit of the gate, 1 MiB.
const LEGAL_BODY: usize = 1_000_000;
/// Size of a body over that limit.
const LARGE_BODY: usize = 4_000_000;
/// Head of a request without the headers of its body.
const HEAD: &str = "POST /validate HTTP/1.1\r\nHost: gate\r\nx-magpie-class: validation\r\n";

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::new(());

/// Sends an ordinary request. Returns true if the gate gives an answer with a verdict: without a
/// table, that it was not run.
fn is_answered(gate: SocketAddr) -> bool {
    let headers = [("x-magpie-class", "validation"), ("x-id", "1")];
    let answer = send(gate, ("POST", "/validate"), &headers, b"draft");
    answer.is_some_and(|answer| answer.header("x-magpie-verdict") == "not-run")
}

/// Starts a gate, gathers a crowd at the port that `select` returns, and checks the gate while it is
/// there.
fn endure(script: &Script, select: fn([SocketAddr; 2]) -> SocketAddr) {
    let _turn = lock(&TURN);
    let registry = Registry::new(Duration::ZERO);
    let boxes = registry.open(([127, 0, 0, 1], 0).into()).unwrap();
    let [gate, ops] = [(); 2].map(|()| free_address().unwrap());
    let variables = [
        ("MAGPIE_NAME", "b1".to_owned()),
        ("MAGPIE_HALL", "h1".to_owned()),
        ("MAGPIE_BOXES", boxes),
        ("MAGPIE_LISTEN", gate.to_string()),
        ("MAGPIE_OPS", ops.to_string()),
    ];
    let path = env!("CARGO_BIN_EXE_magpie-gate");
    let mut program = Program::start(path, SMALL_MACHINE, &variables).unwrap();
    program.watch(gate);
    program.watch(ops);
    until("the gate answers", || is_answered(gate));
    let address = select([gate, ops]);
    let _crowd = Crowd::gather(address, script, || program.observe());
    program.settle();
    until("an ordinary request is answered", || is_answered(gate));
    until("the operators' port answers", || is_served(ops, "/healthz"));
    assert_eq!(program.check(), Ok(()));
}

#[test_case(Script::sized(HEAD, &[b'x'; LEGAL_BODY]); "gate sized stalled")]
#[test_case(Script::sized(HEAD, &[b'x'; LEGAL_BODY]).complete(); "gate sized complete")]
#[test_case(Script::chunked(HEAD, &[b'x'; LEGAL_BODY], 16 * 1024); "gate large chunks")]
#[test_case(Script::chunked(HEAD, &[b'x'; 40_000], 1); "gate tiny chunks")]
#[test_case(Script::sized(HEAD, &[b'x'; LARGE_BODY]); "gate over limit")]
#[test_case(Script::chunked(HEAD, &[b'x'; LARGE_BODY], 16 * 1024); "gate over limit chunked")]
#[test_case(Script::silent(); "gate silent")]
fn gate_port_endures(script: Script) {
    endure(&script, |[gate, _]| gate);
}

#[test_case(Script::sized(HEAD, &[b'x'; LEGAL_BODY]); "gate operators sized stalled")]
#[test_case(Script::silent(); "gate operators silent")]
fn gate_operators_port_endures(script: Script) {
    endure(&script, |[_, ops]| ops);
}
