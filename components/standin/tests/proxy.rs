//! What a line does to the connections that pass over it.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    magpie_standin_core::proxy::{Direction, Proxy},
    std::{
        io::{Read, Write},
        net::{TcpListener, TcpStream},
        time::Duration,
    },
};

/// Nothing that is to be heard takes so long.
const FOREVER: Duration = Duration::from_secs(60);
/// What is lost is not waited for longer.
const SHORT: Duration = Duration::from_millis(200);

/// A line, and a connection over it: the caller's end and the port's.
fn connect() -> (Proxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = Proxy::open(listener.local_addr().unwrap()).unwrap();
    let mut caller = TcpStream::connect(proxy.address()).unwrap();
    let (mut port, _) = listener.accept().unwrap();
    port.set_read_timeout(Some(FOREVER)).unwrap();
    caller.set_read_timeout(Some(FOREVER)).unwrap();
    // Once bytes came through both ways, the line knows the connection.
    caller.write_all(b"a").unwrap();
    assert_eq!(hear(&mut port), Some(b'a'));
    port.write_all(b"b").unwrap();
    assert_eq!(hear(&mut caller), Some(b'b'));
    (proxy, caller, port)
}

/// The next byte; `None` at the end or without one in time.
fn hear(from: &mut TcpStream) -> Option<u8> {
    let mut byte = [0];
    from.read_exact(&mut byte).ok().map(|()| byte[0])
}

#[test]
fn cut_loses_one_way() {
    let (proxy, mut caller, mut port) = connect();
    proxy.blackhole_direction(Direction::Upstream);
    caller.write_all(b"c").unwrap();
    port.write_all(b"d").unwrap();
    assert_eq!(hear(&mut caller), Some(b'd'));
    port.set_read_timeout(Some(SHORT)).unwrap();
    assert_eq!(hear(&mut port), None);
}

#[test]
fn silence_loses_both_ways() {
    let (proxy, mut caller, mut port) = connect();
    proxy.blackhole();
    caller.write_all(b"c").unwrap();
    port.write_all(b"d").unwrap();
    caller.set_read_timeout(Some(SHORT)).unwrap();
    port.set_read_timeout(Some(SHORT)).unwrap();
    assert_eq!((hear(&mut caller), hear(&mut port)), (None, None));
}

#[test]
fn reset_ends_what_is_open() {
    let (proxy, mut caller, mut port) = connect();
    proxy.reset();
    assert_eq!((hear(&mut caller), hear(&mut port)), (None, None));
}

#[test]
fn refuse_closes_new_ones() {
    let (proxy, mut open, mut port) = connect();
    proxy.set_refusing(true);
    let mut caller = TcpStream::connect(proxy.address()).unwrap();
    caller.set_read_timeout(Some(FOREVER)).unwrap();
    assert_eq!(hear(&mut caller), None);
    open.write_all(b"c").unwrap();
    assert_eq!(hear(&mut port), Some(b'c'));
}
