//! A line between callers and a port: it passes bytes on, until it is told to silence the connections
//! that are open. These stay open and bring nothing more, as behind a switch that has forgotten them;
//! new ones work. It may also bring callers only so many bytes a second, as a link of little bandwidth
//! does.

use {
    kernel::{sync::lock, task},
    std::{
        io::{self, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
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
    /// Bytes a second that each connection brings its caller; 0 for no limit.
    rate: AtomicUsize,
    /// The first connection that has brought its caller so many bytes goes silent; 0 for none.
    stall: AtomicUsize,
    /// Bytes that were brought to callers.
    brought: AtomicUsize,
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
                let _ = join(&own, stream, to);
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

    /// Lets each connection bring its caller at most so many bytes a second.
    pub fn limit(&self, rate: usize) {
        self.shared.rate.store(rate, Ordering::Release);
    }

    /// Silences the first connection that has brought its caller so many bytes since it was opened, in
    /// the middle of what it brings. Later ones are spared.
    pub fn stall(&self, bytes: usize) {
        self.shared.stall.store(bytes, Ordering::Release);
    }

    /// How many connections were opened so far.
    pub fn opened(&self) -> usize {
        self.shared.opened.load(Ordering::Acquire)
    }

    /// How many bytes were brought to callers so far.
    pub fn brought(&self) -> usize {
        self.shared.brought.load(Ordering::Acquire)
    }
}

/// Passes the bytes of one connection on, both ways.
fn join(shared: &Arc<Shared>, caller: TcpStream, to: SocketAddr) -> io::Result<()> {
    let port = TcpStream::connect(to)?;
    let flag = Arc::new(AtomicBool::new(false));
    lock(&shared.silent).push(flag.clone());
    shared.opened.fetch_add(1, Ordering::AcqRel);
    let (from, back) = (caller.try_clone()?, port.try_clone()?);
    let other = flag.clone();
    task::spawn("line", move || pass(from, port, &flag, |_| {}))?;
    let own = shared.clone();
    task::spawn("line", move || {
        let mut total = 0;
        pass(back, caller, &other, |bytes| {
            total += bytes;
            own.bring(bytes, total, &other);
        });
    })?;
    Ok(())
}

impl Shared {
    /// Takes the time that these bytes need on their way to the caller, of so many on this connection.
    fn bring(&self, bytes: usize, total: usize, silent: &AtomicBool) {
        let rate = self.rate.load(Ordering::Acquire);
        if rate > 0 {
            thread::sleep(Duration::from_secs_f64(bytes as f64 / rate as f64));
        }
        let stall = self.stall.load(Ordering::Acquire);
        if stall > 0 && total >= stall {
            self.stall.store(0, Ordering::Release);
            silent.store(true, Ordering::Release);
        }
        if !silent.load(Ordering::Acquire) {
            self.brought.fetch_add(bytes, Ordering::AcqRel);
        }
    }
}

/// Passes bytes on one way until the connection ends, each piece after `before`. What comes on a silent
/// one is read and lost.
fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    silent: &AtomicBool,
    mut before: impl FnMut(usize),
) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(read) = from.read(&mut buffer) {
        if read > 0 {
            before(read);
        }
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
