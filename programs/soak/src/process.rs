//! One box as a process of its own. It is ended with the value that stands for it.

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

/// The exit code of a box that found a port taken.
const NO_PORT: i32 = 1;
/// The number of the signal TERM.
const TERM: i32 = 15;
/// An orderly stop that lasts longer has hung, on any machine: the box has 6 s for it.
const HUNG: Duration = Duration::from_secs(30);

/// What all boxes of a run share.
#[derive(Debug, Clone)]
pub struct Program {
    /// The program of a box.
    pub path: PathBuf,
    /// The directory of the logs.
    pub logs: PathBuf,
    /// Workers that an owner talks to itself.
    pub own_workers: usize,
    /// What the links of the boxes carry, in Mbit/s; `None` for no limit.
    pub link: Option<u32>,
    /// Ends the boxes when the soak is cut off.
    pub guard: Arc<Guard>,
}

/// One box.
pub struct Process {
    program: Program,
    number: usize,
    store: String,
    child: Option<Child>,
    /// Counts the starts.
    pub life: u64,
    /// The callers' port.
    pub callers: u16,
    /// The port that tells whether it is ready.
    pub ready: u16,
    inside: u16,
    /// It has told once in this life that it is ready.
    pub is_ready: bool,
    is_paused: bool,
    /// When it was asked to end.
    asked: Option<Instant>,
    is_killed: bool,
}

impl Process {
    /// A box that is not started yet.
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
            life: 0,
            callers: free_port()?,
            ready: free_port()?,
            inside: free_port()?,
            is_ready: false,
            is_paused: false,
            asked: None,
            is_killed: false,
        })
    }

    /// True while the process is there and was not told to end.
    pub fn is_wanted(&self) -> bool {
        self.child.is_some() && self.asked.is_none()
    }

    /// True while the process is there.
    pub fn is_there(&self) -> bool {
        self.child.is_some()
    }

    /// Starts it, if it is not there.
    ///
    /// # Errors
    ///
    /// The program or its log cannot be opened.
    pub fn start(&mut self) -> Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = open_log(&self.program.logs, self.number)?;
        let at = |port: u16| format!("127.0.0.1:{port}");
        let mut command = Command::new(&self.program.path);
        if let Some(link) = self.program.link {
            command.env("MAGPIE_LINK", link.to_string());
        }
        let child = command
            .env("MAGPIE_NAME", format!("b{}", self.number))
            .env("MAGPIE_HALL", "h1")
            .env("MAGPIE_CALLERS", at(self.callers))
            .env("MAGPIE_READY", at(self.ready))
            .env("MAGPIE_PORTS", self.inside.to_string())
            .env("MAGPIE_STORE", &self.store)
            .env("MAGPIE_OWN_WORKERS", self.program.own_workers.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("{} cannot be started", self.program.path.display()))?;
        let id = child.id();
        self.child = Some(child);
        self.program.guard.add(id)?;
        self.life += 1;
        self.is_ready = false;
        self.is_paused = false;
        self.asked = None;
        self.is_killed = false;
        Ok(())
    }

    /// Kills it.
    pub fn kill(&mut self) {
        self.is_killed = true;
        self.signal("-KILL");
    }

    /// Asks it to end.
    pub fn ask_to_end(&mut self) {
        if self.signal("-TERM") {
            self.asked.get_or_insert_with(Instant::now);
        }
    }

    /// Stops it for a while, or lets it go on.
    pub fn pause(&mut self, is_paused: bool) {
        if self.is_paused == is_paused {
            return;
        }
        self.is_paused = is_paused;
        self.signal(if is_paused { "-STOP" } else { "-CONT" });
        // A pause takes from the time that it has for its end.
        if self.asked.is_some() {
            self.asked = Some(Instant::now());
        }
    }

    /// Sends a signal, if the process is there. Its id is its own until it was waited for.
    fn signal(&self, name: &str) -> bool {
        let Some(child) = &self.child else {
            return false;
        };
        let id = child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status();
        sent.is_ok_and(|status| status.success())
    }

    /// Looks whether it has ended. Returns what is wrong with how, if anything is.
    ///
    /// # Errors
    ///
    /// There is no free port.
    pub fn look(&mut self) -> Result<Option<String>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let id = child.id();
        let Some(status) = child.try_wait()? else {
            let hung = self.asked.is_some_and(|asked| asked.elapsed() > HUNG);
            let is_hung = hung && !self.is_paused && !self.is_killed;
            return Ok(is_hung.then(|| "it does not end".to_owned()));
        };
        self.child = None;
        self.program.guard.remove(id)?;
        if status.code() == Some(NO_PORT) && !self.is_ready {
            self.callers = free_port()?;
            self.ready = free_port()?;
            self.inside = free_port()?;
            return Ok(None);
        }
        Ok(self.judge(status))
    }

    fn judge(&self, status: ExitStatus) -> Option<String> {
        let early = !self.is_ready && status.signal() == Some(TERM);
        let is_right = self.is_killed || self.asked.is_some() && (status.success() || early);
        (!is_right).then(|| format!("it ended by itself, or wrongly: {status}"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
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
