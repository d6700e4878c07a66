//! A program of the system in its own process, and the bounds that the process has to stay within.

use {
    kernel::{Client, HttpResponse, client::Call},
    std::{
        fs, io,
        net::{SocketAddr, TcpListener},
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// Interval over which the processor time of a process is compared.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);
/// Processor time in clock ticks that a process may use in this interval while it is idle.
const IDLE_TICKS: u64 = 1;
/// Longest wait until a process is idle.
const MAX_SETTLE: Duration = Duration::from_secs(60);

/// Position of the user time in the status of a process, counted from the state; the system time
/// follows.
const USER_TIME_FIELD: usize = 11;

/// Position of the local address in a line of the kernel's table of connections.
const LOCAL_ADDRESS_FIELD: usize = 1;
/// State of a listening socket in this table.
const LISTENING: &str = "0A";

/// What a process is told of its machine, and has to stay within.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    /// Memory in MiB: resident memory and unread bytes.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// A machine on which a crowd of [`CROWD`](crate::crowd::CROWD) clients is many.
pub const SMALL_MACHINE: Machine = Machine {
    memory_mb: 64,
    descriptors: 256,
};

/// Time-out of every wait, long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time-out of one attempt of an ordinary client.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Waits until `condition` holds.
///
/// # Panics
///
/// With `description` after [`WAIT_TIMEOUT`].
pub fn until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        let is_late = start.elapsed() >= WAIT_TIMEOUT;
        assert!(!is_late, "timed out waiting: {description}");
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Sends an ordinary request; `None` if it fails.
pub fn send(
    address: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<HttpResponse> {
    let call = Call {
        method,
        url: &format!("http://{address}{path}"),
        headers,
        body,
        timeout: ATTEMPT_TIMEOUT.into(),
    };
    Client::new(None).send(&call).ok()
}

/// Returns true if a GET of this path is answered with 200.
pub fn is_served(address: SocketAddr, path: &str) -> bool {
    send(address, ("GET", path), &[], &[]).is_some_and(|response| response.status == 200)
}

/// A running program. Dropping it kills the process.
pub struct Program {
    child: Child,
    machine: Machine,
    /// Ports of the process.
    ports: Vec<u16>,
    /// The largest number of open file descriptors that was observed.
    peak_descriptors: usize,
    /// The most bytes that had arrived at the ports and were not read, as observed.
    peak_unread: u64,
}

impl Program {
    /// Starts the program with these environment variables and those that tell it its machine. Its
    /// standard output is discarded.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start(path: &str, machine: Machine, variables: &[(&str, String)]) -> io::Result<Self> {
        let variables = variables.iter().map(|(name, text)| (*name, &**text));
        let child = Command::new(path)
            .envs(variables)
            .env("MAGPIE_MEMORY_MB", machine.memory_mb.to_string())
            .env("MAGPIE_DESCRIPTORS", machine.descriptors.to_string())
            .stdout(Stdio::null())
            .spawn()?;
        Ok(Program {
            child,
            machine,
            ports: Vec::new(),
            peak_descriptors: 0,
            peak_unread: 0,
        })
    }

    /// Counts the bytes that have arrived at this port and are not read as memory of the process.
    pub fn watch(&mut self, address: SocketAddr) {
        self.ports.push(address.port());
    }

    /// True once the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Records the current number of open file descriptors and of unread bytes.
    pub fn observe(&mut self) {
        self.peak_unread = self.peak_unread.max(self.unread());
        let directory = format!("/proc/{}/fd", self.child.id());
        let open = fs::read_dir(directory).map_or(0, Iterator::count);
        self.peak_descriptors = self.peak_descriptors.max(open);
    }

    /// Waits until the process has handled what it was sent and is idle.
    pub fn settle(&mut self) {
        let start = Instant::now();
        let mut last = self.ticks();
        while start.elapsed() < MAX_SETTLE {
            thread::sleep(SETTLE_INTERVAL);
            self.observe();
            let now = self.ticks();
            if now <= last + IDLE_TICKS {
                return;
            }
            last = now;
        }
    }

    /// Processor time that the process has used, in clock ticks; 0 once it has ended.
    fn ticks(&self) -> u64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        // The name of the process, in parentheses, may contain spaces.
        let Some((_, fields)) = status.rsplit_once(") ") else {
            return 0;
        };
        let times = fields.split(' ').skip(USER_TIME_FIELD).take(2);
        times.filter_map(|text| text.parse::<u64>().ok()).sum()
    }

    /// Number of bytes that have arrived at the ports and are not read.
    fn unread(&self) -> u64 {
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let mut sum = 0;
        for line in table.lines().skip(1) {
            let mut fields = line.split_whitespace().skip(LOCAL_ADDRESS_FIELD);
            let local = fields.next().and_then(|text| text.rsplit(':').next());
            let port = local.and_then(|text| u16::from_str_radix(text, 16).ok());
            let state = fields.nth(1);
            let is_open = state.is_some_and(|state| state != LISTENING);
            if !is_open || port.is_none_or(|port| !self.ports.contains(&port)) {
                continue;
            }
            let queues = fields.next().and_then(|text| text.rsplit(':').next());
            let bytes = queues.and_then(|text| u64::from_str_radix(text, 16).ok());
            sum += bytes.unwrap_or_default();
        }
        sum
    }

    /// Peak of the resident memory in kilobytes; 0 once the process has ended.
    fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap_or_default();
        let number = line.split_whitespace().next().unwrap_or_default();
        number.parse().unwrap_or_default()
    }

    /// Checks that the process runs and has stayed within its machine.
    ///
    /// # Errors
    ///
    /// All violations, as text.
    pub fn check(&mut self) -> Result<(), String> {
        self.observe();
        let mut violations = Vec::new();
        if self.has_ended() {
            violations.push("the process has ended".to_owned());
        }
        let memory = self.peak_memory_kb() + self.peak_unread / 1024;
        let bound = self.machine.memory_mb * 1024;
        if memory > bound {
            violations.push(format!("memory {memory} kB, bound {bound} kB"));
        }
        let (descriptors, bound) = (self.peak_descriptors, self.machine.descriptors);
        if descriptors > bound {
            violations.push(format!("{descriptors} open descriptors, bound {bound}"));
        }
        match violations.is_empty() {
            true => Ok(()),
            false => Err(violations.join("; ")),
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the address of a port that is free now.
///
/// # Errors
///
/// No port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
