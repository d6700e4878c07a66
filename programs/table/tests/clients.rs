//! Tests the table process beside crowds of clients that do not behave: it lives, stays within the
//! memory and the descriptors of its machine, and answers an ordinary request afterwards.
//!
//! The tests judge no times, and run one after the other.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    kernel::sync::lock,
    standin::{
        Registry, Store,
        clock::Clock,
        crowd::{Crowd, Script},
        program::{Program, SMALL_MACHINE, free_address, is_served, until},
        store::{Rates, Server},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    test_case::test_case,
};

/// Size of a body.
const BODY: usize = 1_900_000;
/// Head of a request without the headers of its body.
const HEAD: &str = "POST /edit HTTP/1.1\r\nHost: b1\r\n";

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::new(());

#[test_case(Script::sized(HEAD, &[b'x'; BODY]); "table sized stalled")]
#[test_case(Script::chunked(HEAD, &[b'x'; BODY], 16 * 1024); "table large chunks")]
#[test_case(Script::chunked(HEAD, &[b'x'; 40_000], 1); "table tiny chunks")]
#[test_case(Script::silent(); "table silent")]
fn table_port_endures(script: Script) {
    let _turn = lock(&TURN);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let registry = Registry::new(Duration::ZERO);
    let core = Arc::new(Store::new(Rates::default(), Clock::real()));
    let store = Server::open(any, core).unwrap();
    let port = free_address().unwrap();
    let variables = [
        ("MAGPIE_NAME", "b1".to_owned()),
        ("MAGPIE_BOXES", registry.open(any).unwrap()),
        ("MAGPIE_STORE", store.url()),
        ("MAGPIE_LISTEN", port.to_string()),
    ];
    let path = env!("CARGO_BIN_EXE_magpie-table");
    let mut program = Program::start(path, SMALL_MACHINE, &variables).unwrap();
    program.watch(port);
    until("the process answers", || is_served(port, "/readyz"));
    let _crowd = Crowd::gather(port, &script, || program.observe());
    program.settle();
    until("an ordinary request is answered", || {
        is_served(port, "/readyz")
    });
    assert_eq!(program.check(), Ok(()));
}
