//! The project's boxes, as processes with the command of the deploy file and settings that are made
//! from its template.

use crate::record::Record;
use std::{
    collections::HashMap,
    fs,
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
};

/// A box.
pub struct Node {
    pub name: String,
    pub callers: String,
    pub ready: String,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
    record: Arc<Record>,
}

/// The bounds of the deployment `fiscalis-sched`, as its sheet gives them.
fn bounds() -> HashMap<&'static str, &'static str> {
    HashMap::from([
        ("limits.cpuShare", "0.25"),
        ("limits.linkMbps", "1000.0"),
        ("limits.memoryMb", "260"),
        ("limits.fileDescriptors", "4100"),
        ("bounds.holdMaxMs", "6000"),
        ("bounds.stop_ms", "900"),
        ("bounds.pace_ms", "100"),
        ("bounds.drainMs", "2000"),
        ("bounds.status_s", "120"),
    ])
}

/// Fills the gaps of the template.
fn fill(template: &str, values: &HashMap<&str, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = rest[start..].find("}}").expect("a gap ends") + start;
        let name = &rest[start + 2..end];
        out.push_str(
            values
                .get(name)
                .unwrap_or_else(|| panic!("no value for {name}")),
        );
        rest = &rest[end + 2..];
    }
    out + rest
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener
        .local_addr()
        .map(|address: SocketAddr| address.port())
        .expect("a port")
}

impl Node {
    pub fn prepare(
        root: &Path,
        folder: &Path,
        (name, zone, ip): (&str, &str, &str),
        (store, advice, cloud): (&str, &str, &str),
        record: Arc<Record>,
    ) -> Node {
        let (callers, ready) = (free_port(ip), free_port(ip));
        let inside = free_port(ip);
        let mut values: HashMap<&str, String> = bounds()
            .into_iter()
            .map(|(key, value)| (key, value.to_owned()))
            .collect();
        values.insert("nodeName", name.to_owned());
        values.insert("zone", zone.to_owned());
        values.insert("ipAddress", ip.to_owned());
        values.insert("listenAddresses.front", format!("{ip}:{callers}"));
        values.insert("listenAddresses.ready", format!("{ip}:{ready}"));
        values.insert(
            "internalPortRange",
            format!("{inside},{}", u32::from(inside) + 15),
        );
        values.insert("platform.address", store.to_owned());
        values.insert("advice", advice.to_owned());
        values.insert("cloud.address", cloud.to_owned());
        let template = fs::read_to_string(root.join("deploy/box.conf")).expect("the template");
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, fill(&template, &values)).expect("the settings can be written");
        Node {
            name: name.to_owned(),
            callers: format!("{ip}:{callers}"),
            ready: format!("{ip}:{ready}"),
            settings,
            child: Mutex::default(),
            record,
        }
    }

    pub fn start(&self, root: &Path, folder: &Path) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", self.name)))
            .expect("the log can be written");
        let errors = log.try_clone().expect("a second handle");
        let child = Command::new("target/release/magpie-box")
            .current_dir(root)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the box starts");
        self.record.line(&format!(
            "box {} starts as process {}",
            self.name,
            child.id()
        ));
        // The script ends the process if this one can't.
        let pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        *self.child.lock().unwrap() = Some(child);
    }

    /// Ends the process by SIGKILL, and waits for it.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            self.record.line(&format!("box {} is killed", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
