//! A line between callers and a port: it passes bytes on, until it is told to silence the connections
//! that are open. These stay open and bring nothing more, as behind a switch that has forgotten them;
//! new ones work.

use {
    kernel::{sync::lock, task},
    std::{
        io::{self, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
    },
};

/// Bytes that are passed on at once.
const BUFFER: usize = 16 * 1024;

/// The state that the tasks of a line share.
#[derive(Default)]
struct Shared {
    /// One flag for each connection that was opened: true once it is silent.
    silent: Mutex<Vec<Arc<AtomicBool>>>,
    opened: AtomicUsize,
}

/// One line.
pub struct Line {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Line {
    /// Opens a line to a port of this machine. It lasts until the process ends.
    ///
    /// # Errors
    ///
    /// No port can be opened.
    pub fn open(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let own = shared.clone();
        task::spawn("line", move || {
            for stream in listener.incoming().flatten() {
                // A port that is closed looks like a reset to the caller.
                let _ = own.join(stream, to);
            }
        })?;
        Ok(Line { address, shared })
    }

    /// Its address and port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Silences the connections that are open now.
    pub fn silence(&self) {
        for flag in lock(&self.shared.silent).iter() {
            flag.store(true, Ordering::Release);
        }
    }

    /// How many connections were opened so far.
    pub fn opened(&self) -> usize {
        self.shared.opened.load(Ordering::Acquire)
    }
}

impl Shared {
    /// Passes the bytes of one connection on, both ways.
    fn join(&self, caller: TcpStream, to: SocketAddr) -> io::Result<()> {
        let port = TcpStream::connect(to)?;
        let flag = Arc::new(AtomicBool::new(false));
        lock(&self.silent).push(flag.clone());
        self.opened.fetch_add(1, Ordering::AcqRel);
        let (from, back) = (caller.try_clone()?, port.try_clone()?);
        let other = flag.clone();
        task::spawn("line", move || pass(from, port, &flag))?;
        task::spawn("line", move || pass(back, caller, &other))?;
        Ok(())
    }
}

/// Passes bytes on one way until the connection ends. What comes on a silent one is read and lost.
fn pass(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(read) = from.read(&mut buffer) {
        let is_silent = silent.load(Ordering::Acquire);
        if read == 0 {
            // The end of a silent connection is not told either.
            if !is_silent {
                let _ = to.shutdown(Shutdown::Both);
            }
            return;
        }
        if !is_silent && to.write_all(&buffer[..read]).is_err() {
            return;
        }
    }
}
