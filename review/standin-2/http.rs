//! HTTP/1.1 with keep-alive: a server whose process can "die", and a client.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn param(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Status and body; `None` breaks the connection off without an answer.
pub type Answer = Option<(u16, String)>;
pub type Handler = Arc<dyn Fn(&Request) -> Answer + Send + Sync>;

/// One life of a server.
pub struct Server {
    pub address: SocketAddr,
    alive: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Mutex<Option<thread::JoinHandle<()>>>,
}

impl Server {
    pub fn open(address: SocketAddr, handler: Handler) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let alive = Arc::new(AtomicBool::new(true));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (own_alive, own_streams) = (alive.clone(), streams.clone());
        let accepting = thread::spawn(move || {
            for stream in listener.incoming() {
                if !own_alive.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    own_streams.lock().unwrap().push(copy);
                }
                let (alive, handler) = (own_alive.clone(), handler.clone());
                thread::spawn(move || {
                    let _ = serve(&stream, &handler, &alive);
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        Ok(Server {
            address,
            alive,
            streams,
            accepting: Mutex::new(Some(accepting)),
        })
    }

    /// Ends this life: the port is closed and all connections break.
    pub fn kill(&self) {
        self.alive.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.accepting.lock().unwrap().take() {
            let _ = thread.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(stream: &TcpStream, handler: &Handler, alive: &AtomicBool) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        if !alive.load(Ordering::SeqCst) {
            return Ok(());
        }
        let Some((status, body)) = handler(&request) else {
            return Ok(());
        };
        if !alive.load(Ordering::SeqCst) {
            return Ok(());
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut out = stream;
        out.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect();
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
    }))
}

/// Makes one call on a connection of its own. An error means that no complete answer came.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    (&stream).write_all(head.as_bytes())?;
    let mut reader = BufReader::new(&stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let body = read_body(&mut reader, &headers)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
