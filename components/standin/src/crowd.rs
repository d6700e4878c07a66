//! Stand-in for a crowd of clients that do not behave: each sends a request, or most of one, and
//! keeps its connection open without reading the response.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Pause between two rounds in which no client could send.
const IDLE_PAUSE: Duration = Duration::from_millis(10);
/// Number of such rounds in a row after which the receiver is taken to read no more.
const MAX_IDLE_ROUNDS: u32 = 50;
/// One in this many clients completes its request.
const COMPLETE_EVERY: usize = 8;

/// Stands for the number of the client in the head of a request, as 16 hexadecimal digits.
pub const NUMBER: &str = "{number}";
/// Maximum number of bytes of one write of a client that sends as fast as it can.
const PIECE: usize = 64 * 1024;

/// What each client of a crowd sends.
#[derive(Clone)]
pub struct Script {
    /// Head of the request; [`NUMBER`] is replaced.
    head: String,
    /// How many heads with consecutive numbers each client sends.
    heads: usize,
    /// Rest of the request, the same for all clients, without its last bytes.
    body: Arc<[u8]>,
    /// Last bytes of the request.
    end: Arc<[u8]>,
    /// All clients send the last bytes, not just some of them.
    is_complete: bool,
    /// Maximum number of bytes of one write.
    piece: usize,
}

impl Script {
    /// A request whose last bytes only some clients send.
    pub fn new(head: &str, body: &[u8], end: &[u8]) -> Self {
        Script {
            head: head.to_owned(),
            heads: 1,
            body: body.into(),
            end: end.into(),
            is_complete: false,
            piece: PIECE,
        }
    }

    /// Nothing at all.
    pub fn silent() -> Self {
        Self::new("", &[], &[])
    }

    /// The same request many times, whose responses nobody reads.
    pub fn repeated(request: &str, times: usize) -> Self {
        Self::new("", request.repeat(times).as_bytes(), &[])
    }

    /// Many requests, each with a number of its own, whose responses nobody reads.
    pub fn numbered(request: &str, times: usize) -> Self {
        Script {
            heads: times,
            ..Self::new(request, &[], &[])
        }
    }

    /// A body that announces its size. `head` is that of the request without its last headers.
    pub fn sized(head: &str, body: &[u8]) -> Self {
        let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
        let (most, end) = body.split_at(body.len().saturating_sub(1));
        Self::new(&head, most, end)
    }

    /// A body in chunks of `size` bytes.
    pub fn chunked(head: &str, body: &[u8], size: usize) -> Self {
        let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        Self::new(&head, &encode_chunks(body, size), LAST_CHUNK)
    }

    /// The same with all requests complete.
    #[must_use]
    pub fn complete(self) -> Self {
        Script {
            is_complete: true,
            ..self
        }
    }

    /// The same with at most `piece` bytes in a write.
    #[must_use]
    pub fn in_pieces(self, piece: usize) -> Self {
        Script { piece, ..self }
    }

    /// The bytes that the client with this number sends, in order.
    pub fn parts(&self, number: usize) -> [Arc<[u8]>; 3] {
        let sends_end = self.is_complete || number.is_multiple_of(COMPLETE_EVERY);
        let numbers = number * self.heads..(number + 1) * self.heads;
        let heads = numbers.map(|number| self.head.replace(NUMBER, &format!("{number:016x}")));
        [
            heads.collect::<String>().into_bytes().into(),
            self.body.clone(),
            if sends_end {
                self.end.clone()
            } else {
                Arc::default()
            },
        ]
    }
}

/// Ends a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The bytes as chunks of `size` bytes each, without the last chunk.
fn encode_chunks(bytes: &[u8], size: usize) -> Vec<u8> {
    let mut encoded = Vec::new();
    for chunk in bytes.chunks(size) {
        encoded.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        encoded.extend(chunk);
        encoded.extend(b"\r\n");
    }
    encoded
}

struct Client {
    /// `None` once the receiver has closed the connection.
    stream: Option<TcpStream>,
    parts: [Arc<[u8]>; 3],
    /// The part that is being sent, and the number of its bytes that are sent.
    position: (usize, usize),
}

impl Client {
    fn connect(address: SocketAddr, parts: [Arc<[u8]>; 3]) -> Self {
        let stream = TcpStream::connect(address)
            .and_then(|stream| stream.set_nonblocking(true).map(|()| stream));
        Client {
            stream: stream.ok(),
            parts,
            position: (0, 0),
        }
    }

    /// Sends up to `piece` bytes. Returns false if nothing could be sent.
    fn advance(&mut self, piece: usize) -> bool {
        let Some(mut stream) = self.stream.as_ref() else {
            return false;
        };
        let (part, offset) = self.position;
        let Some(bytes) = self.parts.get(part) else {
            return false;
        };
        let rest = &bytes[offset..];
        if rest.is_empty() {
            self.position = (part + 1, 0);
            return true;
        }
        match stream.write(&rest[..rest.len().min(piece)]) {
            Ok(sent) => {
                self.position.1 += sent;
                true
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => false,
            Err(_) => {
                self.stream = None;
                false
            }
        }
    }
}

/// Number of clients in a crowd.
pub const CROWD: usize = 320;

/// Clients whose connections stay open until this is dropped.
pub struct Crowd {
    _clients: Vec<Client>,
}

impl Crowd {
    /// Connects [`CROWD`] clients to `address`. All of them send in turn, until each has sent what
    /// its script says or can send no more. `observe` is called after each round.
    pub fn gather(address: SocketAddr, script: &Script, mut observe: impl FnMut()) -> Self {
        let mut clients = Vec::with_capacity(CROWD);
        for number in 0..CROWD {
            clients.push(Client::connect(address, script.parts(number)));
        }
        observe();
        let mut idle_rounds = 0;
        while idle_rounds < MAX_IDLE_ROUNDS {
            let mut has_sent = false;
            for client in &mut clients {
                has_sent |= client.advance(script.piece);
            }
            observe();
            if has_sent {
                idle_rounds = 0;
                continue;
            }
            idle_rounds += 1;
            thread::sleep(IDLE_PAUSE);
        }
        Crowd { _clients: clients }
    }
}
