//! Tests of calls that are bound to one connection.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    magpie_kernel::{
        Client, Failure, HttpResponse, Verdict,
        client::{Call, ConnectionId},
        runtime,
    },
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::{TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// A server that closes each connection after a number of responses, and counts connections and
/// requests.
struct Receiver {
    url: String,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl Receiver {
    fn open(responses: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}/", listener.local_addr().unwrap());
        let (connections, requests) = (Arc::default(), Arc::default());
        let receiver = Receiver {
            url,
            connections: Arc::clone(&connections),
            requests: Arc::clone(&requests),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::SeqCst);
                let requests = requests.clone();
                thread::spawn(move || serve(&stream, responses, &requests));
            }
        });
        receiver
    }

    fn call(&self) -> Call<'_> {
        Call {
            method: "POST",
            url: &self.url,
            headers: &[],
            body: b"body",
            timeout: Duration::from_secs(20).into(),
        }
    }

    fn send(&self, client: &Client) -> HttpResponse {
        client.send(&self.call()).unwrap()
    }

    fn send_over(
        &self,
        client: &Client,
        connection: ConnectionId,
    ) -> Result<HttpResponse, Failure> {
        runtime::block_on(client.call_over(&self.call(), connection)).unwrap()
    }
}

fn serve(stream: &TcpStream, responses: usize, requests: &AtomicUsize) {
    let mut reader = BufReader::new(stream);
    for _ in 0..responses {
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            if reader.read_line(&mut line).unwrap_or_default() == 0 {
                return;
            }
        }
        reader.read_exact(&mut [0; 4]).unwrap();
        requests.fetch_add(1, Ordering::SeqCst);
        let mut stream = stream;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
            .unwrap();
    }
}

#[test]
fn call_over_same_connection() {
    let (receiver, client) = (Receiver::open(usize::MAX), Client::new(None));
    let first = receiver.send(&client);
    let second = receiver.send_over(&client, first.connection).unwrap();
    assert_eq!(second.connection, first.connection);
    assert_eq!(receiver.connections.load(Ordering::SeqCst), 1);
}

/// Guards against a bound call on a new connection: another process may be listening at the same
/// address.
#[test]
fn call_over_closed_connection() {
    let (receiver, client) = (Receiver::open(1), Client::new(None));
    let first = receiver.send(&client);
    // The client may not have seen the close yet: a request sent until then gets no response.
    let failure = receiver.send_over(&client, first.connection).unwrap_err();
    assert!(matches!(
        failure.verdict,
        Verdict::NotRun | Verdict::MayHaveRun
    ));
    let failure = receiver.send_over(&client, first.connection).unwrap_err();
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert_eq!(receiver.requests.load(Ordering::SeqCst), 1);
    assert_eq!(receiver.connections.load(Ordering::SeqCst), 1);
    assert_ne!(receiver.send(&client).connection, first.connection);
}

#[test]
fn call_over_connection_of_other_client() {
    let (receiver, client) = (Receiver::open(usize::MAX), Client::new(None));
    let other = receiver.send(&client.with_own_pool()).connection;
    let own = receiver.send(&client).connection;
    let failure = receiver.send_over(&client, other).unwrap_err();
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert_ne!(own, other);
    assert_eq!(receiver.requests.load(Ordering::SeqCst), 2);
}
