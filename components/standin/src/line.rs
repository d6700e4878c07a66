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
            Arc, Mutex, Weak,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Bytes that are passed on at once.
const BUFFER: usize = 16 * 1024;

/// A way of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// From the callers to the port.
    There,
    /// From the port to the callers.
    Back,
}

/// One open connection.
struct Link {
    /// True once what callers send is lost.
    there: AtomicBool,
    /// True once what the port sends is lost.
    back: AtomicBool,
    caller: TcpStream,
    port: TcpStream,
}

impl Link {
    fn flag(&self, way: Way) -> &AtomicBool {
        match way {
            Way::There => &self.there,
            Way::Back => &self.back,
        }
    }

    fn is_silent(&self, way: Way) -> bool {
        self.flag(way).load(Ordering::Acquire)
    }

    fn silence(&self, way: Way) {
        self.flag(way).store(true, Ordering::Release);
    }
}

/// The state that the tasks of a line share.
#[derive(Default)]
struct Shared {
    links: Mutex<Vec<Weak<Link>>>,
    /// New connections are closed at once.
    refuses: AtomicBool,
    /// Each piece is late by so many milliseconds, both ways.
    delay: AtomicUsize,
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
                if own.refuses.load(Ordering::Acquire) {
                    continue;
                }
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
        self.cut(Way::There);
        self.cut(Way::Back);
    }

    /// Silences one way of the connections that are open now.
    pub fn cut(&self, way: Way) {
        for link in self.links() {
            link.silence(way);
        }
    }

    /// Breaks the connections that are open now.
    pub fn reset(&self) {
        for link in self.links() {
            // One that has ended meanwhile needs no end.
            let _ = link.caller.shutdown(Shutdown::Both);
            let _ = link.port.shutdown(Shutdown::Both);
        }
    }

    /// Closes new connections at once, or takes them again.
    pub fn refuse(&self, refuses: bool) {
        self.shared.refuses.store(refuses, Ordering::Release);
    }

    /// Brings each piece so much later, both ways.
    pub fn delay(&self, time: Duration) {
        let millis = time.as_millis() as usize;
        self.shared.delay.store(millis, Ordering::Release);
    }

    fn links(&self) -> Vec<Arc<Link>> {
        let links = lock(&self.shared.links);
        links.iter().filter_map(Weak::upgrade).collect()
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
    let (from, back) = (caller.try_clone()?, port.try_clone()?);
    let link = Arc::new(Link {
        there: AtomicBool::new(false),
        back: AtomicBool::new(false),
        caller: caller.try_clone()?,
        port: port.try_clone()?,
    });
    let mut links = lock(&shared.links);
    links.retain(|link| link.strong_count() > 0);
    links.push(Arc::downgrade(&link));
    drop(links);
    shared.opened.fetch_add(1, Ordering::AcqRel);
    let (own, other) = (shared.clone(), link.clone());
    task::spawn("line", move || {
        pass(from, port, (&other, Way::There), |_| own.wait());
    })?;
    let own = shared.clone();
    task::spawn("line", move || {
        let mut total = 0;
        pass(back, caller, (&link, Way::Back), |bytes| {
            own.wait();
            total += bytes;
            own.bring(bytes, total, &link);
        });
    })?;
    Ok(())
}

impl Shared {
    /// Takes the time by which each piece is late.
    fn wait(&self) {
        let millis = self.delay.load(Ordering::Acquire);
        if millis > 0 {
            thread::sleep(Duration::from_millis(millis as u64));
        }
    }

    /// Takes the time that these bytes need on their way to the caller, of so many on this connection.
    fn bring(&self, bytes: usize, total: usize, link: &Link) {
        let rate = self.rate.load(Ordering::Acquire);
        if rate > 0 {
            thread::sleep(Duration::from_secs_f64(bytes as f64 / rate as f64));
        }
        let stall = self.stall.load(Ordering::Acquire);
        if stall > 0 && total >= stall {
            self.stall.store(0, Ordering::Release);
            link.silence(Way::There);
            link.silence(Way::Back);
        }
        if !link.is_silent(Way::Back) {
            self.brought.fetch_add(bytes, Ordering::AcqRel);
        }
    }
}

/// Passes bytes on one way until the connection ends, each piece after `before`. What comes on a silent
/// one is read and lost.
fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    (link, way): (&Link, Way),
    mut before: impl FnMut(usize),
) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(read) = from.read(&mut buffer) {
        if read > 0 {
            before(read);
        }
        let is_silent = link.is_silent(way);
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
