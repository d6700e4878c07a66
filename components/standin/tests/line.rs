//! What a line does to the connections that pass over it.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    magpie_standin_core::line::{Line, Way},
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
fn connect() -> (Line, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let line = Line::open(listener.local_addr().unwrap()).unwrap();
    let mut caller = TcpStream::connect(line.address()).unwrap();
    let (mut port, _) = listener.accept().unwrap();
    port.set_read_timeout(Some(FOREVER)).unwrap();
    caller.set_read_timeout(Some(FOREVER)).unwrap();
    // Once bytes came through both ways, the line knows the connection.
    caller.write_all(b"a").unwrap();
    assert_eq!(hear(&mut port), Some(b'a'));
    port.write_all(b"b").unwrap();
    assert_eq!(hear(&mut caller), Some(b'b'));
    (line, caller, port)
}

/// The next byte; `None` at the end or without one in time.
fn hear(from: &mut TcpStream) -> Option<u8> {
    let mut byte = [0];
    from.read_exact(&mut byte).ok().map(|()| byte[0])
}

#[test]
fn cut_loses_one_way() {
    let (line, mut caller, mut port) = connect();
    line.cut(Way::There);
    caller.write_all(b"c").unwrap();
    port.write_all(b"d").unwrap();
    assert_eq!(hear(&mut caller), Some(b'd'));
    port.set_read_timeout(Some(SHORT)).unwrap();
    assert_eq!(hear(&mut port), None);
}

#[test]
fn silence_loses_both_ways() {
    let (line, mut caller, mut port) = connect();
    line.silence();
    caller.write_all(b"c").unwrap();
    port.write_all(b"d").unwrap();
    caller.set_read_timeout(Some(SHORT)).unwrap();
    port.set_read_timeout(Some(SHORT)).unwrap();
    assert_eq!((hear(&mut caller), hear(&mut port)), (None, None));
}

#[test]
fn reset_ends_what_is_open() {
    let (line, mut caller, mut port) = connect();
    line.reset();
    assert_eq!((hear(&mut caller), hear(&mut port)), (None, None));
}

#[test]
fn refuse_closes_new_ones() {
    let (line, mut open, mut port) = connect();
    line.refuse(true);
    let mut caller = TcpStream::connect(line.address()).unwrap();
    caller.set_read_timeout(Some(FOREVER)).unwrap();
    assert_eq!(hear(&mut caller), None);
    open.write_all(b"c").unwrap();
    assert_eq!(hear(&mut port), Some(b'c'));
}
