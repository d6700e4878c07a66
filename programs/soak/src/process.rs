//! One box as a child process, which is killed when its value is dropped.

use {
    crate::guard::Guard,
    anyhow::{Context, Result},
    std::{
        fs::{File, OpenOptions},
        net::TcpListener,
        os::unix::process::ExitStatusExt,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The exit code of a box that found a port in use.
const EXIT_PORT_IN_USE: i32 = 1;
/// The number of the signal SIGTERM.
const SIGTERM: i32 = 15;
/// Time after which a graceful shutdown counts as hung on any machine: a box has 6 s for it.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings shared by all boxes of a run.
#[derive(Debug, Clone)]
pub struct Program {
    /// The box executable.
    pub path: PathBuf,
    /// The directory of the logs.
    pub logs: PathBuf,
    /// Workers that an owner polls directly.
    pub direct_workers: usize,
    /// Bandwidth of the boxes' links, in Mbit/s; `None` for no limit.
    pub link: Option<u32>,
    /// The address of the machine service; `None` if there is none.
    pub machines: Option<String>,
    /// Kills the boxes when the soak dies.
    pub guard: Arc<Guard>,
}

/// One box.
pub struct Process {
    program: Program,
    number: usize,
    store: String,
    child: Option<Child>,
    /// Number of starts, which identifies the incarnation.
    pub incarnation: u64,
    /// The port for callers.
    pub caller_port: u16,
    /// The port of the readiness endpoint.
    pub ready_port: u16,
    peer_port: u16,
    /// This incarnation has reported readiness.
    pub is_ready: bool,
    is_paused: bool,
    /// When SIGTERM was sent.
    terminated_at: Option<Instant>,
    is_killed: bool,
}

impl Process {
    /// Creates a box that is not started yet.
    ///
    /// # Errors
    ///
    /// There is no free port.
    pub fn new(program: &Program, number: usize, store: String) -> Result<Self> {
        Ok(Process {
            program: program.clone(),
            number,
            store,
            child: None,
            incarnation: 0,
            caller_port: free_port()?,
            ready_port: free_port()?,
            peer_port: free_port()?,
            is_ready: false,
            is_paused: false,
            terminated_at: None,
            is_killed: false,
        })
    }

    /// True while the process exists and was not sent SIGTERM.
    pub fn is_expected(&self) -> bool {
        self.child.is_some() && self.terminated_at.is_none()
    }

    /// True while the process exists.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Starts the process unless it exists.
    ///
    /// # Errors
    ///
    /// The executable or its log cannot be opened.
    pub fn start(&mut self) -> Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = open_log(&self.program.logs, self.number)?;
        let address = |port: u16| format!("127.0.0.1:{port}");
        let mut command = Command::new(&self.program.path);
        if let Some(link) = self.program.link {
            command.env("MAGPIE_LINK", link.to_string());
        }
        if let Some(machines) = &self.program.machines {
            command.env("MAGPIE_MACHINES", machines);
        }
        let child = command
            .env("MAGPIE_NAME", format!("b{}", self.number))
            .env("MAGPIE_HALL", "h1")
            .env("MAGPIE_CALLERS", address(self.caller_port))
            .env("MAGPIE_READY", address(self.ready_port))
            .env("MAGPIE_PORTS", self.peer_port.to_string())
            .env("MAGPIE_STORE", &self.store)
            .env(
                "MAGPIE_OWN_WORKERS",
                self.program.direct_workers.to_string(),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("{} cannot be started", self.program.path.display()))?;
        let id = child.id();
        self.child = Some(child);
        self.program.guard.add(id)?;
        self.incarnation += 1;
        self.is_ready = false;
        self.is_paused = false;
        self.terminated_at = None;
        self.is_killed = false;
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.is_killed = true;
        self.signal("-KILL");
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&mut self) {
        if self.signal("-TERM") {
            self.terminated_at.get_or_insert_with(Instant::now);
        }
    }

    /// Suspends or resumes the process.
    pub fn pause(&mut self, is_paused: bool) {
        if self.is_paused == is_paused {
            return;
        }
        self.is_paused = is_paused;
        self.signal(if is_paused { "-STOP" } else { "-CONT" });
        // A pause consumes shutdown time, so the time-out restarts.
        if self.terminated_at.is_some() {
            self.terminated_at = Some(Instant::now());
        }
    }

    /// Sends a signal if the process exists. Its id is not reused until it is waited for.
    fn signal(&self, name: &str) -> bool {
        let Some(child) = &self.child else {
            return false;
        };
        let id = child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status();
        sent.is_ok_and(|status| status.success())
    }

    /// Checks whether the process has exited. Returns a description of an unexpected or missing
    /// exit.
    ///
    /// # Errors
    ///
    /// The state of the process cannot be read, the guard has exited, or there is no free port.
    pub fn poll_exit(&mut self) -> Result<Option<String>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let id = child.id();
        let Some(status) = child.try_wait()? else {
            let is_late = self
                .terminated_at
                .is_some_and(|terminated_at| terminated_at.elapsed() > SHUTDOWN_TIMEOUT);
            let is_hung = is_late && !self.is_paused && !self.is_killed;
            return Ok(is_hung.then(|| "the box does not exit after SIGTERM".to_owned()));
        };
        self.child = None;
        self.program.guard.remove(id)?;
        if status.code() == Some(EXIT_PORT_IN_USE) && !self.is_ready {
            self.caller_port = free_port()?;
            self.ready_port = free_port()?;
            self.peer_port = free_port()?;
            return Ok(None);
        }
        Ok(self.check_exit(status))
    }

    fn check_exit(&self, status: ExitStatus) -> Option<String> {
        let was_starting = !self.is_ready && status.signal() == Some(SIGTERM);
        let is_expected =
            self.is_killed || self.terminated_at.is_some() && (status.success() || was_starting);
        (!is_expected).then(|| format!("the box exited unexpectedly: {status}"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited by itself.
            let _ = child.kill();
            let _ = child.wait();
            let _ = self.program.guard.remove(child.id());
        }
    }
}

fn free_port() -> Result<u16> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    Ok(listener.local_addr()?.port())
}

fn open_log(logs: &Path, number: usize) -> Result<File> {
    let path = logs.join(format!("b{number}.log"));
    let file = OpenOptions::new().create(true).append(true).open(path)?;
    Ok(file)
}
