//! Faults that the proxy injects into connections.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    magpie_standin_core::proxy::{Direction, Proxy},
    std::{
        io::{Read, Write},
        net::{TcpListener, TcpStream},
        time::Duration,
    },
};

/// Longer than any expected byte takes to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a test waits for bytes that must not arrive.
const NO_DATA_WAIT: Duration = Duration::from_millis(200);

/// Opens a proxy and a connection through it. Returns both ends: caller and server.
fn connect() -> (Proxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = Proxy::open(listener.local_addr().unwrap()).unwrap();
    let mut caller = TcpStream::connect(proxy.address()).unwrap();
    let (mut port, _) = listener.accept().unwrap();
    port.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // After bytes have passed in both directions, the proxy has registered the connection.
    caller.write_all(b"a").unwrap();
    assert_eq!(read_byte(&mut port), Some(b'a'));
    port.write_all(b"b").unwrap();
    assert_eq!(read_byte(&mut caller), Some(b'b'));
    (proxy, caller, port)
}

/// Reads the next byte; `None` at the end of the stream or on a time-out.
fn read_byte(from: &mut TcpStream) -> Option<u8> {
    let mut byte = [0];
    from.read_exact(&mut byte).ok().map(|()| byte[0])
}

#[test]
fn blackhole_direction_one_way() {
    let (proxy, mut caller, mut port) = connect();
    proxy.blackhole_direction(Direction::Upstream);
    caller.write_all(b"c").unwrap();
    port.write_all(b"d").unwrap();
    assert_eq!(read_byte(&mut caller), Some(b'd'));
    port.set_read_timeout(Some(NO_DATA_WAIT)).unwrap();
    assert_eq!(read_byte(&mut port), None);
}

#[test]
fn blackhole_both_ways() {
    let (proxy, mut caller, mut port) = connect();
    proxy.blackhole();
    caller.write_all(b"c").unwrap();
    port.write_all(b"d").unwrap();
    caller.set_read_timeout(Some(NO_DATA_WAIT)).unwrap();
    port.set_read_timeout(Some(NO_DATA_WAIT)).unwrap();
    assert_eq!((read_byte(&mut caller), read_byte(&mut port)), (None, None));
}

#[test]
fn reset_open_connections() {
    let (proxy, mut caller, mut port) = connect();
    proxy.reset();
    assert_eq!((read_byte(&mut caller), read_byte(&mut port)), (None, None));
}

#[test]
fn set_refusing_new_connections() {
    let (proxy, mut open, mut port) = connect();
    proxy.set_refusing(true);
    let mut caller = TcpStream::connect(proxy.address()).unwrap();
    caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    assert_eq!(read_byte(&mut caller), None);
    open.write_all(b"c").unwrap();
    assert_eq!(read_byte(&mut port), Some(b'c'));
}
