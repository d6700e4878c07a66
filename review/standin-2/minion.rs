//! Minions, as PROTOCOL.md tells them: each life has an id of its own and writes itself into the
//! store. The specification of a task tells how long it works: `work MS`, `fails MS`
//! or `lasts`.

use crate::{
    http::{Answer, Request, Server},
    json::{quoted, Json},
    record::Record,
    store::Store,
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Sizes and bounds of the deployment.
#[derive(Clone)]
pub struct Kind {
    pub service: String,
    pub cpu: u64,
    pub memory: u64,
    pub hold_max: u64,
    pub stop: u64,
    pub heartbeat: Duration,
}

struct Run {
    run: u64,
    begun: u64,
    spec: String,
    cpu: u64,
    stop_at: Option<u64>,
}

#[derive(Default)]
struct State {
    fence: u64,
    deadline: u64,
    running: HashMap<String, Run>,
    /// Number, task, run, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    highest: HashMap<String, u64>,
    draining: bool,
}

pub struct Life {
    pub id: String,
    born: Instant,
    alive: AtomicBool,
    state: Mutex<State>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
}

/// A start that a minion carried out, or an end.
#[derive(Debug, Clone)]
pub struct Event {
    pub task: String,
    /// Empty for a start.
    pub how: &'static str,
}

/// A machine with one minion at a time.
pub struct Minion {
    pub number: usize,
    pub zone: String,
    pub rack: String,
    pub address: Mutex<SocketAddr>,
    pub life: Mutex<Option<Arc<Life>>>,
    kind: Kind,
    store: Arc<Store>,
    record: Arc<Record>,
    pub events: Arc<Mutex<Vec<Event>>>,
    /// Processor demand of the tasks, by their specification.
    pub sizes: Arc<Mutex<HashMap<String, u64>>>,
}

/// The time in a specification with this first word.
fn millis(spec: &str, word: &str) -> Option<u64> {
    spec.strip_prefix(word)?.split(' ').next()?.parse().ok()
}

static LIVES: AtomicU64 = AtomicU64::new(0);

impl Life {
    fn clock(&self) -> u64 {
        self.born.elapsed().as_millis() as u64 + 480_000
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Tasks at work, with their runs.
    pub fn running(&self) -> Vec<(String, u64)> {
        let state = self.state.lock().unwrap();
        state
            .running
            .iter()
            .map(|(task, run)| (task.clone(), run.run))
            .collect()
    }

    pub fn used(&self) -> u64 {
        self.state
            .lock()
            .unwrap()
            .running
            .values()
            .map(|run| run.cpu)
            .sum()
    }
}

impl Minion {
    pub fn new(
        number: usize,
        zone: &str,
        kind: Kind,
        store: Arc<Store>,
        record: Arc<Record>,
        events: Arc<Mutex<Vec<Event>>>,
        sizes: Arc<Mutex<HashMap<String, u64>>>,
    ) -> Arc<Minion> {
        Arc::new(Minion {
            number,
            zone: zone.to_owned(),
            rack: format!("r1-{}", number / 8),
            address: Mutex::new(SocketAddr::from(([127, 0, 0, 1], 0))),
            life: Mutex::default(),
            kind,
            store,
            record,
            events,
            sizes,
        })
    }

    /// Begins a life.
    pub fn start(self: &Arc<Self>) -> io::Result<()> {
        let count = LIVES.fetch_add(1, Ordering::SeqCst);
        let life = Arc::new(Life {
            id: format!("i-{:08x}", (count + 1) * 0x1f3a_91c3 % 0xffff_fffb),
            born: Instant::now(),
            alive: AtomicBool::new(true),
            state: Mutex::default(),
            changed: Condvar::new(),
            server: Mutex::default(),
        });
        let (own, own_life) = (self.clone(), life.clone());
        let handler = Arc::new(move |request: &Request| own.handle(&own_life, request));
        let wanted = *self.address.lock().unwrap();
        let mut opened = Server::open(wanted, handler.clone());
        for _ in 0..50 {
            if opened.is_ok() {
                break;
            }
            thread::sleep(Duration::from_millis(20));
            opened = Server::open(wanted, handler.clone());
        }
        let server = opened?;
        *self.address.lock().unwrap() = server.address;
        *life.server.lock().unwrap() = Some(server);
        *self.life.lock().unwrap() = Some(life.clone());
        self.record
            .line(&format!("minion {} is up as {}", self.number, life.id));
        let (own, beating) = (self.clone(), life.clone());
        thread::spawn(move || own.beat(&beating));
        let own = self.clone();
        thread::spawn(move || {
            while life.is_alive() {
                own.tick(&life);
                thread::sleep(Duration::from_millis(5));
            }
        });
        Ok(())
    }

    /// The process of the minion is killed: its port is closed and it says nothing.
    pub fn crash(&self) {
        let life = self.life.lock().unwrap().take();
        let Some(life) = life else { return };
        life.alive.store(false, Ordering::SeqCst);
        let lost = life.running();
        self.record.line(&format!(
            "minion {} ({}) crashes; it ran {lost:?}",
            self.number, life.id
        ));
        for (task, run) in lost {
            self.event(&life, &task, run, "lost");
        }
        life.changed.notify_all();
        let server = life.server.lock().unwrap().take();
        if let Some(server) = server {
            server.kill();
        }
    }

    fn event(&self, life: &Life, task: &str, run: u64, how: &'static str) {
        let what = if how.is_empty() {
            "begins".to_owned()
        } else {
            format!("ends {how}")
        };
        self.record.line(&format!(
            "{task} run {run} {what} on minion {} ({})",
            self.number, life.id
        ));
        self.events.lock().unwrap().push(Event {
            task: task.to_owned(),
            how,
        });
    }

    fn entry(&self, life: &Life, sequence: u64) -> String {
        let draining = life.state.lock().unwrap().draining;
        let state = if draining { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpus\":0}},\"labels\":[\"a\",\"{}\"],\"clockMs\":{},\"sequence\":{sequence}}}",
            self.kind.service,
            self.address.lock().unwrap(),
            self.zone,
            self.kind.cpu,
            self.kind.memory,
            self.rack,
            life.clock()
        )
    }

    /// Writes the entry about every heartbeat; it goes after three heartbeats of silence.
    fn beat(&self, life: &Life) {
        let key = format!("servers/{}", life.id);
        let mut sequence = 0;
        while life.is_alive() {
            sequence += 1;
            self.store.write(&key, Some(&self.entry(life, sequence)));
            thread::sleep(self.kind.heartbeat);
        }
        thread::sleep(2 * self.kind.heartbeat);
        self.store.write(&key, None);
    }

    fn end(&self, life: &Life, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = run.run.max(*highest);
        state
            .ended
            .push((state.last_end, task.to_owned(), run.run, how));
        self.event(life, task, run.run, how);
        life.changed.notify_all();
    }

    fn tick(&self, life: &Life) {
        let now = life.clock();
        let mut state = life.state.lock().unwrap();
        let mut over = Vec::new();
        for (task, run) in &state.running {
            let work = millis(&run.spec, "work ");
            let fails = millis(&run.spec, "fails ");
            if run.stop_at.is_some_and(|at| now >= at) {
                over.push((task.clone(), "stopped"));
            } else if work.is_some_and(|work| now >= run.begun + work) {
                over.push((task.clone(), "done"));
            } else if fails.is_some_and(|fails| now >= run.begun + fails) {
                over.push((task.clone(), "failed"));
            } else if now > state.deadline {
                over.push((task.clone(), "lapsed"));
            }
        }
        for (task, how) in over {
            self.end(life, &mut state, &task, how);
        }
    }

    fn handle(&self, life: &Arc<Life>, request: &Request) -> Answer {
        let expected = request.header("expected-instance");
        if !expected.is_empty() && expected != life.id {
            return Some((421, "{}".to_owned()));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let clock = format!("{{\"clockMs\":{}}}", life.clock());
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => Some((200, clock)),
            ("POST", "/run-start") => Some(self.run_start(life, &body)),
            ("POST", "/run-stop") => Some(self.run_stop(life, &body)),
            ("POST", "/pace") => Some((200, clock)),
            ("POST", "/hold") => self.hold(life, &body),
            _ => Some((404, clock)),
        }
    }

    fn refused(life: &Life, reason: &str) -> (u16, String) {
        (
            409,
            format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", life.clock()),
        )
    }

    fn run_start(&self, life: &Life, body: &Json) -> (u16, String) {
        let (task, run) = (body.get("task").text(), body.get("run").number());
        let (deadline, fence) = (
            body.get("deadlineMs").number(),
            body.get("fencingToken").number(),
        );
        let spec = body.get("specification").text();
        let mut state = life.state.lock().unwrap();
        let now = life.clock();
        if fence < state.fence {
            return Self::refused(life, "fence");
        }
        state.fence = fence;
        if deadline <= now {
            return Self::refused(life, "late");
        }
        state.deadline = state.deadline.max(deadline.min(now + self.kind.hold_max));
        let ok = (200, format!("{{\"clockMs\":{now}}}"));
        if state
            .running
            .get(task)
            .is_some_and(|known| known.run == run)
        {
            return ok;
        }
        let highest = state.highest.get(task).copied().unwrap_or(0);
        if run <= highest || state.running.contains_key(task) {
            return Self::refused(life, "old");
        }
        let cpu = self
            .sizes
            .lock()
            .unwrap()
            .get(spec)
            .copied()
            .unwrap_or(1_000);
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        if used + cpu > self.kind.cpu {
            return Self::refused(life, "room");
        }
        let started = Run {
            run,
            begun: now,
            spec: spec.to_owned(),
            cpu,
            stop_at: None,
        };
        state.running.insert(task.to_owned(), started);
        self.event(life, task, run, "");
        ok
    }

    fn run_stop(&self, life: &Life, body: &Json) -> (u16, String) {
        let (task, run) = (body.get("task").text(), body.get("run").number());
        let fence = body.get("fencingToken").number();
        let mut state = life.state.lock().unwrap();
        if fence < state.fence {
            return Self::refused(life, "fence");
        }
        state.fence = fence;
        let stop_at = life.clock() + self.kind.stop / 3;
        match state.running.get_mut(task).filter(|known| known.run <= run) {
            Some(known) => {
                known.stop_at.get_or_insert(stop_at);
            }
            None => {
                let highest = state.highest.entry(task.to_owned()).or_default();
                *highest = run.max(*highest);
            }
        }
        (200, format!("{{\"clockMs\":{}}}", life.clock()))
    }

    fn hold(&self, life: &Life, body: &Json) -> Answer {
        let fence = body.get("fencingToken").number();
        let seen = body.get("lastSeen").number();
        let mut state = life.state.lock().unwrap();
        if fence < state.fence {
            return Some(Self::refused(life, "fence"));
        }
        state.fence = fence;
        let now = life.clock();
        let deadline = body
            .get("deadlineMs")
            .number()
            .min(now + self.kind.hold_max);
        state.deadline = state.deadline.max(deadline);
        state.ended.retain(|end| end.0 > seen);
        let until = Instant::now() + Duration::from_millis(body.get("waitMs").number().min(2_000));
        while state.ended.is_empty() && life.is_alive() {
            let now = Instant::now();
            if now >= until {
                break;
            }
            state = life.changed.wait_timeout(state, until - now).unwrap().0;
        }
        if !life.is_alive() {
            return None;
        }
        let now = life.clock();
        let running = state.running.iter().map(|(task, run)| {
            let is_starting = run.spec.starts_with("lasts") && now < run.begun + 400;
            let percent = if is_starting { 50 } else { 100 };
            format!("[{},{},\"\",{percent},{}]", quoted(task), run.run, run.cpu)
        });
        let running: Vec<String> = running.collect();
        let ended = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                format!("[{number},{},{run},\"{how}\",\"\"]", quoted(task))
            });
        let ended: Vec<String> = ended.collect();
        Some((
            200,
            format!(
                "{{\"clockMs\":{now},\"running\":[{}],\"ended\":[{}]}}",
                running.join(","),
                ended.join(",")
            ),
        ))
    }
}
