//! TCP proxy with injectable faults, placed between callers and a server. It can drop the traffic
//! of open connections while they stay open, as a switch does that has lost its state; new
//! connections still work. It can also delay traffic, limit the bandwidth towards the callers,
//! reset connections and refuse new ones.

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

/// Maximum number of bytes forwarded at once.
const BUFFER: usize = 16 * 1024;

/// Direction of traffic through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the callers to the server.
    Upstream,
    /// From the server to the callers.
    Downstream,
}

/// One open connection.
struct Connection {
    /// True once bytes sent by the caller are dropped.
    upstream: AtomicBool,
    /// True once bytes sent by the server are dropped.
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

    fn drops_traffic(&self, direction: Direction) -> bool {
        self.flag(direction).load(Ordering::Acquire)
    }

    fn drop_traffic(&self, direction: Direction) {
        self.flag(direction).store(true, Ordering::Release);
    }
}

/// State shared by the threads of a proxy.
#[derive(Default)]
struct Shared {
    connections: Mutex<Vec<Weak<Connection>>>,
    /// Closes new connections at once.
    refusing: AtomicBool,
    /// Delay of each chunk in either direction, in milliseconds.
    delay: AtomicUsize,
    accepted: AtomicUsize,
    /// Bandwidth per connection towards its caller, in bytes per second; 0 for no limit.
    rate: AtomicUsize,
    /// Total bytes delivered to a caller after which its connection is blackholed, once; 0 to
    /// disable.
    stall_bytes: AtomicUsize,
    /// Bytes delivered to callers.
    delivered: AtomicUsize,
}

/// A TCP proxy.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Opens a proxy to a server on this machine. It runs until the process ends.
    ///
    /// # Errors
    ///
    /// No port can be opened.
    pub fn open(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let state = shared.clone();
        task::spawn("line", move || {
            for stream in listener.incoming().flatten() {
                if state.refusing.load(Ordering::Acquire) {
                    continue;
                }
                // If the server port is closed, the caller sees a reset connection.
                let _ = connect(&state, stream, server);
            }
        })?;
        Ok(Proxy { address, shared })
    }

    /// Returns the address on which callers reach the proxy.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all further traffic of the connections that are open at this moment.
    pub fn blackhole(&self) {
        self.blackhole_direction(Direction::Upstream);
        self.blackhole_direction(Direction::Downstream);
    }

    /// Drops further traffic in one direction of the connections that are open at this moment.
    pub fn blackhole_direction(&self, direction: Direction) {
        for connection in self.open_connections() {
            connection.drop_traffic(direction);
        }
    }

    /// Closes the connections that are open at this moment.
    pub fn reset(&self) {
        for connection in self.open_connections() {
            // Shutting down a connection that has already ended fails harmlessly.
            let _ = connection.caller.shutdown(Shutdown::Both);
            let _ = connection.port.shutdown(Shutdown::Both);
        }
    }

    /// Sets whether new connections are closed at once.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.refusing.store(refusing, Ordering::Release);
    }

    /// Sets the delay of each chunk in either direction.
    pub fn set_delay(&self, time: Duration) {
        let millis = time.as_millis() as usize;
        self.shared.delay.store(millis, Ordering::Release);
    }

    fn open_connections(&self) -> Vec<Arc<Connection>> {
        let connections = lock(&self.shared.connections);
        connections.iter().filter_map(Weak::upgrade).collect()
    }

    /// Limits the bandwidth per connection towards its caller, in bytes per second; 0 for no
    /// limit.
    pub fn set_rate(&self, rate: usize) {
        self.shared.rate.store(rate, Ordering::Release);
    }

    /// Blackholes the first connection that has delivered this many bytes to its caller since it
    /// was opened, in the middle of the transfer. Later connections are not affected.
    pub fn stall_after(&self, bytes: usize) {
        self.shared.stall_bytes.store(bytes, Ordering::Release);
    }

    /// Returns the number of connections forwarded so far.
    pub fn connections(&self) -> usize {
        self.shared.accepted.load(Ordering::Acquire)
    }

    /// Returns the number of bytes delivered to callers so far.
    pub fn bytes_delivered(&self) -> usize {
        self.shared.delivered.load(Ordering::Acquire)
    }
}

/// Connects to the server and starts the two forwarding threads of a connection.
fn connect(shared: &Arc<Shared>, caller: TcpStream, server: SocketAddr) -> io::Result<()> {
    let port = TcpStream::connect(server)?;
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
    /// Sleeps for the configured delay of one chunk.
    fn sleep_delay(&self) {
        let millis = self.delay.load(Ordering::Acquire);
        if millis > 0 {
            thread::sleep(Duration::from_millis(millis as u64));
        }
    }

    /// Sleeps for the transfer time of `bytes` towards the caller at the configured rate. `total`
    /// is the number of bytes sent on this connection, including these.
    fn deliver(&self, bytes: usize, total: usize, connection: &Connection) {
        let rate = self.rate.load(Ordering::Acquire);
        if rate > 0 {
            thread::sleep(Duration::from_secs_f64(bytes as f64 / rate as f64));
        }
        let stall = self.stall_bytes.load(Ordering::Acquire);
        if stall > 0 && total >= stall {
            self.stall_bytes.store(0, Ordering::Release);
            connection.drop_traffic(Direction::Upstream);
            connection.drop_traffic(Direction::Downstream);
        }
        if !connection.drops_traffic(Direction::Downstream) {
            self.delivered.fetch_add(bytes, Ordering::AcqRel);
        }
    }
}

/// Forwards bytes in one direction until the connection ends, calling `before` ahead of each
/// chunk. Bytes of a blackholed connection are read and dropped.
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
        let drops_traffic = connection.drops_traffic(direction);
        if read == 0 {
            // The end of a blackholed connection is not forwarded either.
            if !drops_traffic {
                let _ = to.shutdown(Shutdown::Both);
            }
            return;
        }
        if !drops_traffic && to.write_all(&buffer[..read]).is_err() {
            return;
        }
    }
}
