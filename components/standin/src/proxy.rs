//! A line between callers and a port: it passes bytes on, until it is told to silence the connections
//! that are open. These stay open and bring nothing more, as behind a switch that has forgotten them;
//! new ones work. It may also bring callers only so many bytes a second, as a connection of little bandwidth
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

/// A direction of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the callers to the port.
    Upstream,
    /// From the port to the callers.
    Downstream,
}

/// One open connection.
struct Connection {
    /// True once what callers send is lost.
    upstream: AtomicBool,
    /// True once what the port sends is lost.
    downstream: AtomicBool,
    caller: TcpStream,
    port: TcpStream,
}

impl Connection {
    fn flag(&self, direction: Direction) -> &AtomicBool {
        match direction {
            Direction::Upstream => &self.upstream,
            Direction::Downstream => &self.downstream,
        }
    }

    fn is_silent(&self, direction: Direction) -> bool {
        self.flag(direction).load(Ordering::Acquire)
    }

    fn silence(&self, direction: Direction) {
        self.flag(direction).store(true, Ordering::Release);
    }
}

/// The state that the tasks of a line share.
#[derive(Default)]
struct Shared {
    connections: Mutex<Vec<Weak<Connection>>>,
    /// New connections are closed at once.
    refuses: AtomicBool,
    /// Each piece is late by so many milliseconds, both ways.
    delay: AtomicUsize,
    accepted: AtomicUsize,
    /// Bytes a second that each connection brings its caller; 0 for no limit.
    rate: AtomicUsize,
    /// The first connection that has delivered its caller so many bytes goes silent; 0 for none.
    stall: AtomicUsize,
    /// Bytes that were delivered to callers.
    delivered: AtomicUsize,
}

/// One line.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Opens a line to a port of this machine. It lasts until the process ends.
    ///
    /// # Errors
    ///
    /// No port can be connections.
    pub fn open(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let state = shared.clone();
        task::spawn("line", move || {
            for stream in listener.incoming().flatten() {
                if state.refuses.load(Ordering::Acquire) {
                    continue;
                }
                // A port that is closed looks like a reset to the caller.
                let _ = connect(&state, stream, to);
            }
        })?;
        Ok(Proxy { address, shared })
    }

    /// Its address and port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Silences the connections that are open now.
    pub fn blackhole(&self) {
        self.blackhole_direction(Direction::Upstream);
        self.blackhole_direction(Direction::Downstream);
    }

    /// Silences one direction of the connections that are open now.
    pub fn blackhole_direction(&self, direction: Direction) {
        for connection in self.open_connections() {
            connection.silence(direction);
        }
    }

    /// Breaks the connections that are open now.
    pub fn reset(&self) {
        for connection in self.open_connections() {
            // One that has ended meanwhile needs no end.
            let _ = connection.caller.shutdown(Shutdown::Both);
            let _ = connection.port.shutdown(Shutdown::Both);
        }
    }

    /// Closes new connections at once, or takes them again.
    pub fn set_refusing(&self, refuses: bool) {
        self.shared.refuses.store(refuses, Ordering::Release);
    }

    /// Brings each piece so much later, both ways.
    pub fn set_delay(&self, time: Duration) {
        let millis = time.as_millis() as usize;
        self.shared.delay.store(millis, Ordering::Release);
    }

    fn open_connections(&self) -> Vec<Arc<Connection>> {
        let connections = lock(&self.shared.connections);
        connections.iter().filter_map(Weak::upgrade).collect()
    }

    /// Lets each connection bring its caller at most so many bytes a second.
    pub fn set_rate(&self, rate: usize) {
        self.shared.rate.store(rate, Ordering::Release);
    }

    /// Silences the first connection that has delivered its caller so many bytes since it was connections, in
    /// the middle of what it brings. Later ones are spared.
    pub fn stall_after(&self, bytes: usize) {
        self.shared.stall.store(bytes, Ordering::Release);
    }

    /// How many connections were connections so far.
    pub fn connections(&self) -> usize {
        self.shared.accepted.load(Ordering::Acquire)
    }

    /// How many bytes were delivered to callers so far.
    pub fn bytes_delivered(&self) -> usize {
        self.shared.delivered.load(Ordering::Acquire)
    }
}

/// Passes the bytes of one connection on, both ways.
fn connect(shared: &Arc<Shared>, caller: TcpStream, to: SocketAddr) -> io::Result<()> {
    let port = TcpStream::connect(to)?;
    let (from, back) = (caller.try_clone()?, port.try_clone()?);
    let connection = Arc::new(Connection {
        upstream: AtomicBool::new(false),
        downstream: AtomicBool::new(false),
        caller: caller.try_clone()?,
        port: port.try_clone()?,
    });
    let mut connections = lock(&shared.connections);
    connections.retain(|connection| connection.strong_count() > 0);
    connections.push(Arc::downgrade(&connection));
    drop(connections);
    shared.accepted.fetch_add(1, Ordering::AcqRel);
    let (state, other) = (shared.clone(), connection.clone());
    task::spawn("line", move || {
        forward(from, port, (&other, Direction::Upstream), |_| {
            state.sleep_delay()
        });
    })?;
    let state = shared.clone();
    task::spawn("line", move || {
        let mut total = 0;
        forward(
            back,
            caller,
            (&connection, Direction::Downstream),
            |bytes| {
                state.sleep_delay();
                total += bytes;
                state.deliver(bytes, total, &connection);
            },
        );
    })?;
    Ok(())
}

impl Shared {
    /// Takes the time by which each piece is late.
    fn sleep_delay(&self) {
        let millis = self.delay.load(Ordering::Acquire);
        if millis > 0 {
            thread::sleep(Duration::from_millis(millis as u64));
        }
    }

    /// Takes the time that these bytes need on their direction to the caller, of so many on this connection.
    fn deliver(&self, bytes: usize, total: usize, connection: &Connection) {
        let rate = self.rate.load(Ordering::Acquire);
        if rate > 0 {
            thread::sleep(Duration::from_secs_f64(bytes as f64 / rate as f64));
        }
        let stall = self.stall.load(Ordering::Acquire);
        if stall > 0 && total >= stall {
            self.stall.store(0, Ordering::Release);
            connection.silence(Direction::Upstream);
            connection.silence(Direction::Downstream);
        }
        if !connection.is_silent(Direction::Downstream) {
            self.delivered.fetch_add(bytes, Ordering::AcqRel);
        }
    }
}

/// Passes bytes on one direction until the connection ends, each piece after `before`. What comes on a silent
/// one is read and lost.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    (connection, direction): (&Connection, Direction),
    mut before: impl FnMut(usize),
) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(read) = from.read(&mut buffer) {
        if read > 0 {
            before(read);
        }
        let is_silent = connection.is_silent(direction);
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
