//! Tests of hedged calls, whose second attempt is made beside the first one.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    magpie_kernel::{
        Client, Failure, HttpResponse, Verdict,
        client::{Call, Timeout},
    },
    std::{
        io::{BufRead, BufReader, Write},
        net::{TcpListener, TcpStream},
        thread,
        time::Duration,
    },
    test_case::test_case,
};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
const OTHER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";
const BUSY: &str = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
/// Time of the first attempt before the second one is made.
const DELAY: Duration = Duration::from_millis(50);

/// Accepts a connection and reads a request without a body.
fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).unwrap();
    }
    stream
}

/// Makes a hedged call of a server that answers the second attempt, and then the first one; `None`
/// for no answer.
fn call(
    total: Duration,
    second: Option<&'static str>,
    first: Option<&'static str>,
) -> Result<HttpResponse, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    // The thread keeps both connections open until the test process ends.
    thread::spawn(move || {
        let mut attempts = [accept(&listener), accept(&listener)];
        for (index, answer) in [(1, second), (0, first)] {
            if let Some(answer) = answer {
                attempts[index].write_all(answer.as_bytes()).unwrap();
            }
        }
        thread::park();
    });
    Client::new(None).send(&Call {
        method: "GET",
        url: &url,
        headers: &[],
        body: b"",
        timeout: Timeout::with_retry(total, DELAY).hedged(),
    })
}

/// A slow receiver is not taken for an unresponsive one, and a refused second attempt does not hide
/// the result of the first.
#[test_case(None, Some(OK), "first"; "first attempt is slow")]
#[test_case(Some(BUSY), Some(OK), "first"; "second attempt is refused")]
#[test_case(Some(OTHER), None, "second"; "first connection is silent")]
fn call_returns_response(
    second: Option<&'static str>,
    first: Option<&'static str>,
    expected: &str,
) {
    let response = call(Duration::from_secs(20), second, first).unwrap();
    assert_eq!(response.body, expected.as_bytes());
}

/// The refusal of one attempt does not show that the other one was not executed.
#[test]
fn call_refused_beside_silent_attempt() {
    let failure = call(Duration::from_secs(1), Some(BUSY), None).unwrap_err();
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
}

#[test]
fn call_refused_twice() {
    let response = call(Duration::from_secs(20), Some(BUSY), Some(BUSY)).unwrap();
    assert_eq!(response.status, 503);
}
