//! A guard process that kills the boxes when the soak dies: it reads the process ids of the boxes
//! from a pipe, and kills the remaining boxes when the pipe is closed.

use {
    anyhow::{Context, Result},
    kernel::sync::lock,
    std::{
        collections::HashSet,
        env, fs,
        io::{self, BufRead, Write},
        os::unix::process::CommandExt,
        path::Path,
        process::{Child, ChildStdin, Command, Stdio},
        sync::Mutex,
    },
};

/// Handle of the guard process.
#[derive(Debug)]
pub struct Guard {
    child: Child,
    /// The pipe to the guard; `None` once it is closed.
    pipe: Mutex<Option<ChildStdin>>,
}

impl Guard {
    /// Starts the guard in its own process group, so that signals to the soak's group do not reach
    /// it.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start(program: &Path) -> Result<Self> {
        let mut child = Command::new(env::current_exe()?)
            .arg("--guard")
            .arg("--box")
            .arg(program)
            .stdin(Stdio::piped())
            .process_group(0)
            .spawn()
            .context("the guard cannot be started")?;
        let pipe = Mutex::new(child.stdin.take());
        Ok(Guard { child, pipe })
    }

    /// Registers a box process.
    ///
    /// # Errors
    ///
    /// The guard has exited.
    pub fn add(&self, id: u32) -> Result<()> {
        self.send('+', id)
    }

    /// Removes a box process that has exited.
    ///
    /// # Errors
    ///
    /// The guard has exited.
    pub fn remove(&self, id: u32) -> Result<()> {
        self.send('-', id)
    }

    fn send(&self, sign: char, id: u32) -> Result<()> {
        let mut pipe = lock(&self.pipe);
        let pipe = pipe.as_mut().context("the pipe to the guard is closed")?;
        writeln!(pipe, "{sign}{id}").context("the guard has exited")
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        lock(&self.pipe).take();
        // The guard exits when the pipe is closed.
        let _ = self.child.wait();
    }
}

/// Runs the guard process: reads process ids until the pipe is closed, then kills the remaining
/// boxes.
pub fn run(program: &Path) {
    let mut remaining = HashSet::new();
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        let (sign, id) = line.split_at(1.min(line.len()));
        match sign {
            "+" => remaining.insert(id.to_owned()),
            _ => remaining.remove(id),
        };
    }
    let program = program.canonicalize().ok();
    for id in remaining {
        // The process id may have been reused by another program.
        if fs::read_link(format!("/proc/{id}/exe")).ok() != program {
            continue;
        }
        if let Err(error) = Command::new("kill").args(["-KILL", &id]).status() {
            eprintln!("magpie-soak: box {id} cannot be ended: {error}");
        }
    }
}
