//! A second process that ends the boxes when the soak itself is cut off: it hears which boxes there are,
//! and kills those that are left once it hears the end.

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

/// The guard, as the soak sees it.
#[derive(Debug)]
pub struct Guard {
    child: Child,
    /// `None` once it is told the end.
    line: Mutex<Option<ChildStdin>>,
}

impl Guard {
    /// Starts it, in a group of its own that no signal to the soak's group reaches.
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
        let line = Mutex::new(child.stdin.take());
        Ok(Guard { child, line })
    }

    /// Tells it of a box that has begun.
    ///
    /// # Errors
    ///
    /// The guard is gone.
    pub fn add(&self, id: u32) -> Result<()> {
        self.tell('+', id)
    }

    /// Tells it of a box that has ended.
    ///
    /// # Errors
    ///
    /// The guard is gone.
    pub fn remove(&self, id: u32) -> Result<()> {
        self.tell('-', id)
    }

    fn tell(&self, sign: char, id: u32) -> Result<()> {
        let mut line = lock(&self.line);
        let line = line.as_mut().context("the guard was told the end")?;
        writeln!(line, "{sign}{id}").context("the guard is gone")
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        lock(&self.line).take();
        // It ends with the line.
        let _ = self.child.wait();
    }
}

/// Is the guard: reads until the end, then kills what is left of this program.
pub fn run(program: &Path) {
    let mut left = HashSet::new();
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        let (sign, id) = line.split_at(1.min(line.len()));
        match sign {
            "+" => left.insert(id.to_owned()),
            _ => left.remove(id),
        };
    }
    let program = program.canonicalize().ok();
    for id in left {
        // The id may be another's by now.
        if fs::read_link(format!("/proc/{id}/exe")).ok() != program {
            continue;
        }
        if let Err(error) = Command::new("kill").args(["-KILL", &id]).status() {
            eprintln!("magpie-soak: box {id} cannot be ended: {error}");
        }
    }
}
