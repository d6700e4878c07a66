//! A stand-in of the users' workers: runs under leases and fences, with ends that are listed until
//! they are acknowledged. Each has a port of its own.
//!
//! It keeps to the protocol of their platform, whose names therefore stand here too.

use {
    crate::{
        http_server::{self, ServerRequest, ServerResponse, reply},
        kv::{Kv, decode, encode},
    },
    kernel::{Reply, sync::lock, wall_clock},
    serde_json::{Value, json},
    std::{
        cell::Cell,
        collections::{BTreeMap, HashMap},
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

thread_local! {
    /// When the life began to which the connection of this thread leads; 0 before its first call.
    static CONNECTED_TO: Cell<u64> = const { Cell::new(0) };
}

/// Connections that a port takes.
const MAX_CONNECTIONS: usize = 64;
/// The longest lease, in milliseconds.
const MAX_LEASE: u64 = 6_000;
/// Starts are held to a room that has shrunk after this time: 3 s until all are in touch, and a heartbeat.
const SHRINK_GRACE: Duration = Duration::from_millis(4_100);
/// The pause between two looks at a held poll.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A specification that begins so makes its tasks fail.
pub const FAILING_PREFIX: &str = "fail";
/// A specification that begins so names the step and the number, with a dot between them, of a task that crashes its
/// worker once it has begun.
pub const CRASHING_PREFIX: &str = "crash=";
/// From the start of such a task until its worker crashes.
const CRASH_AFTER: Duration = Duration::from_millis(10);
/// How long a worker is away that has crashed under a task.
const CRASH_DOWNTIME: Duration = Duration::from_millis(700);
/// A specification that begins so names the time of each task in milliseconds.
pub const DURATION_PREFIX: &str = "ms=";

/// One run of a task on one worker.
#[derive(Debug, Clone)]
pub struct TaskRun {
    /// The name of the task.
    pub task: Arc<str>,
    /// The life of the worker.
    pub worker: Arc<str>,
    /// When it began.
    pub started: Instant,
    /// When it ended, to the moment also where nobody looked then, and how.
    pub ended: Option<(Instant, &'static str)>,
    /// When its end was acknowledged under a lease that had not lapsed since.
    pub acknowledged: Option<Instant>,
}

/// What all workers of a farm saw together.
#[derive(Debug, Default)]
pub struct RunLog {
    /// Tasks that run now, by name, and how many runs of each there are.
    running: HashMap<String, u32>,
    /// Starts, by the name of the task.
    pub starts: HashMap<String, u32>,
    /// Tasks that ran twice at the same time.
    pub ran_twice: Vec<String>,
    /// All runs, in the order of their starts.
    pub runs: Vec<TaskRun>,
    /// Starts that were refused for want of room: when, task and worker.
    pub capacity_refusals: Vec<(Instant, Arc<str>, Arc<str>)>,
}

impl RunLog {
    /// Tasks that were started after a run of theirs had ended well and that end was acknowledged.
    pub fn restarted_after_done(&self) -> Vec<Arc<str>> {
        let mut done: HashMap<&str, Instant> = HashMap::new();
        for ran in &self.runs {
            if let Some((at, "done")) = ran.ended
                && ran.acknowledged.is_some()
            {
                let first = done.entry(&ran.task).or_insert(at);
                *first = at.min(*first);
            }
        }
        let is_again = |ran: &&TaskRun| done.get(&*ran.task).is_some_and(|&at| ran.started > at);
        let again = self.runs.iter().filter(is_again);
        again.map(|ran| ran.task.clone()).collect()
    }
}

/// What goes wrong with a worker.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Every connection is cut before anything is done.
    pub reset: bool,
    /// The answers of this many starts are lost after they were carried out.
    pub lost: u32,
    /// Every connection is closed after its first answer.
    pub closes_connections: bool,
    /// Starts are refused with 503.
    pub refuses_starts: bool,
    /// Once as many answers were lost, another life is there.
    pub then_restart: bool,
    /// Once as many answers were lost, starts are refused so.
    pub then_refuses: bool,
}

struct Run {
    number: u64,
    until: Instant,
    fails: bool,
    percent: u64,
    /// Its log_index among all runs seen.
    log_index: usize,
}

/// One end that is listed until it is acknowledged.
struct End {
    count: u64,
    name: String,
    run: u64,
    how: &'static str,
    at: Instant,
    /// Its log_index among all runs seen.
    log_index: usize,
}

struct Core {
    id: String,
    /// Processors, in thousandths of a core.
    size: u64,
    /// When it last got fewer.
    shrunk: Option<Instant>,
    clock_start: Instant,
    /// When this life began, in milliseconds since 1970.
    started_at: u64,
    /// It has crashed and is not back yet.
    is_down: bool,
    /// How often it has crashed under a task.
    crashes: u32,
    /// The highest fence seen.
    fence: u64,
    /// Until when tasks may run, on this worker's clock in milliseconds.
    lease: u64,
    /// How long each task runs.
    work: Duration,
    running: BTreeMap<String, Run>,
    /// The highest run that was stopped or has ended, by task.
    over: HashMap<String, u64>,
    ended: Vec<End>,
    /// When a lease that had lapsed was last renewed.
    lapsed: Option<Instant>,
    /// The number of the last end.
    count: u64,
    run_log: Arc<Mutex<RunLog>>,
    faults: Faults,
    /// So many calls more get no answer and are carried out later.
    deferred_calls: u32,
    /// Those calls.
    deferred: Vec<ServerRequest>,
}

/// One worker.
#[derive(Clone)]
pub struct Runner {
    core: Arc<Mutex<Core>>,
    /// Where it records itself.
    kv: Kv,
}

impl Runner {
    /// Opens a worker of so many cores, whose tasks take this time, and records it in the store.
    ///
    /// # Errors
    ///
    /// No port can be opened.
    pub fn open(
        kv: &Kv,
        pool: &str,
        id: &str,
        cores: u64,
        work: Duration,
        run_log: &Arc<Mutex<RunLog>>,
    ) -> io::Result<Self> {
        let runner = Runner {
            core: Arc::new(Mutex::new(Core {
                id: id.to_owned(),
                size: cores * 1_000,
                shrunk: None,
                clock_start: Instant::now(),
                started_at: wall_clock::millis(),
                is_down: false,
                crashes: 0,
                fence: 0,
                lease: 0,
                work,
                running: BTreeMap::new(),
                over: HashMap::new(),
                ended: Vec::new(),
                lapsed: None,
                count: 0,
                run_log: run_log.clone(),
                faults: Faults::default(),
                deferred_calls: 0,
                deferred: Vec::new(),
            })),
            kv: kv.clone(),
        };
        let server_runner = runner.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let url = http_server::open(any, MAX_CONNECTIONS, move |request| {
            server_runner.handle(&request)
        })?;
        let entry = json!({
            "born": runner.start_time(),
            "service": pool,
            "address": url.trim_start_matches("http://"),
            "zone": "h1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": { "cpu": cores * 1_000, "memMb": cores * 4_000, "gpus": 0 },
            "labels": ["a", "r1-1"],
            "clockMs": 1,
            "sequence": 1,
        });
        kv.put(&format!("servers/{id}"), &encode(&entry));
        Ok(runner)
    }

    /// Stands in another data hall than `h1` from now on, as its entry says.
    pub fn set_hall(&self, hall: &str) {
        let id = self.id();
        self.write_entry(&id, &id, "zone", hall.into());
    }

    /// Records a life, as the entry of one has it but for one field.
    fn write_entry(&self, former: &str, id: &str, field: &str, value: Value) {
        let entry = self.kv.value(&format!("servers/{former}"));
        let text = decode(&entry.unwrap_or_default());
        let Ok(mut entry) = serde_json::from_slice::<Value>(&text) else {
            return;
        };
        entry[field] = value;
        self.kv.put(&format!("servers/{id}"), &encode(&entry));
    }

    /// Sets what goes wrong.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.core).faults = faults;
    }

    /// Crashes and starts again at once: a new life at the same address, which records itself in the
    /// store. The entry of the former one stays, unless it has the same name.
    pub fn restart(&self, id: &str) {
        let former = self.id();
        self.restart_without_entry(id);
        self.write_entry(&former, id, "born", self.start_time().into());
    }

    /// The same, but for the entry in the store, which stays as it is.
    pub fn restart_without_entry(&self, id: &str) {
        let mut core = lock(&self.core);
        core.end_all();
        core.id = id.to_owned();
        core.clock_start = Instant::now();
        core.started_at = wall_clock::millis().max(core.started_at + 1);
        core.fence = 0;
        core.lease = 0;
        core.over.clear();
        core.ended.clear();
        core.lapsed = None;
        core.count = 0;
        core.is_down = false;
    }

    /// Writes the present life into its entry.
    pub fn update_entry(&self) {
        let id = self.id();
        self.write_entry(&id, &id, "born", self.start_time().into());
    }

    /// When the present life began, in milliseconds since 1970.
    pub fn start_time(&self) -> u64 {
        lock(&self.core).started_at
    }

    /// Leaves the next calls, so many, without an answer until [`Runner::run_deferred`].
    pub fn defer_calls(&self, calls: u32) {
        lock(&self.core).deferred_calls = calls;
    }

    /// Carries out the calls that were held back, whichever life is there by now.
    pub fn run_deferred(&self) {
        let mut core = lock(&self.core);
        core.deferred_calls = 0;
        let held = std::mem::take(&mut core.deferred);
        drop(core);
        for request in held {
            let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
                continue;
            };
            let mut core = lock(&self.core);
            if core.is_down || core.check_caller(&request, &body).is_some() {
                continue;
            }
            match request.path.as_str() {
                "/run-start" => drop(core.start(&body)),
                "/run-stop" => drop(core.stop(&body)),
                "/pace" => drop(core.pace(&body)),
                "/hold" => core.renew(&body),
                _ => {}
            }
        }
    }

    /// The present life.
    pub fn id(&self) -> String {
        lock(&self.core).id.clone()
    }

    /// Its cores.
    pub fn cores(&self) -> u64 {
        lock(&self.core).size / 1_000
    }

    /// Gives it another number of cores. Its entry is the caller's to write.
    pub fn resize(&self, cores: u64) {
        let mut core = lock(&self.core);
        let size = cores * 1_000;
        if size < core.size {
            core.shrunk = Some(Instant::now());
        }
        core.size = size;
    }

    /// The number of tasks that run.
    pub fn running(&self) -> usize {
        let mut core = lock(&self.core);
        core.advance();
        core.running.len()
    }

    fn handle(&self, request: &ServerRequest) -> ServerResponse {
        let mut acked = self.answer(request);
        if let ServerResponse::Reply(reply) = &mut acked
            && lock(&self.core).faults.closes_connections
        {
            reply.headers.push(("connection", "close".to_owned()));
        }
        acked
    }

    fn answer(&self, request: &ServerRequest) -> ServerResponse {
        let mut core = lock(&self.core);
        let (faults, is_down, started_at) = (core.faults, core.is_down, core.started_at);
        if faults.reset || is_down || !is_connected_to(started_at) {
            return ServerResponse::Disconnect;
        }
        if core.deferred_calls > 0 {
            core.deferred_calls -= 1;
            core.deferred.push(request.clone());
            return ServerResponse::Disconnect;
        }
        drop(core);
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return reply(400, &json!({})).into();
        };
        let refusal = lock(&self.core).check_caller(request, &body);
        if let Some(refusal) = refusal {
            return refusal.into();
        }
        match request.path.as_str() {
            "/run-start" => self.start(&body),
            "/run-stop" => lock(&self.core).stop(&body).into(),
            "/pace" => lock(&self.core).pace(&body).into(),
            "/hold" => self.hold(&body),
            _ => reply(404, &json!({})).into(),
        }
    }

    fn start(&self, body: &Value) -> ServerResponse {
        let mut core = lock(&self.core);
        if core.faults.refuses_starts {
            return reply(503, &json!({})).into();
        }
        let answer = core.start(body);
        if answer.status == 200 && is_crashing(body) {
            self.crash_soon(core.id.clone(), core.started_at);
        }
        if core.faults.lost > 0 {
            core.faults.lost -= 1;
            core.faults.refuses_starts |= core.faults.then_refuses && core.faults.lost == 0;
            if core.faults.then_restart && core.faults.lost == 0 {
                core.id.push('+');
                core.started_at += 1;
            }
            return ServerResponse::Disconnect;
        }
        answer.into()
    }

    /// Crashes this life of the worker shortly, which comes back as another one at the same address.
    fn crash_soon(&self, id: String, started_at: u64) {
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(CRASH_AFTER);
            let mut core = lock(&runner.core);
            if core.started_at != started_at || core.is_down {
                return;
            }
            core.end_all();
            core.is_down = true;
            core.crashes += 1;
            let next = format!("{id}+{}", core.crashes);
            drop(core);
            thread::sleep(CRASH_DOWNTIME);
            if runner.start_time() == started_at {
                runner.restart(&next);
            }
        });
    }

    /// How often the worker has crashed under a task.
    pub fn crashes(&self) -> u32 {
        lock(&self.core).crashes
    }

    /// Holds a poll until there is something to tell, or its time is over. A crash cuts it.
    fn hold(&self, body: &Value) -> ServerResponse {
        let until = Instant::now() + Duration::from_millis(number(body, "waitMs"));
        lock(&self.core).renew(body);
        let started_at = self.start_time();
        loop {
            let mut core = lock(&self.core);
            if core.started_at != started_at || core.is_down {
                return ServerResponse::Disconnect;
            }
            core.advance();
            if !core.ended.is_empty() || Instant::now() >= until {
                return core.report().into();
            }
            drop(core);
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Core {
    fn clock(&self) -> u64 {
        self.clock_start.elapsed().as_millis() as u64 + 1
    }

    /// Refuses what is meant for another life, or comes from a former owner.
    fn check_caller(&mut self, request: &ServerRequest, body: &Value) -> Option<Reply> {
        self.advance();
        let meant = request.header("expected-instance");
        if !meant.is_empty() && meant != self.id {
            return Some(reply(421, &json!({})));
        }
        let fence = number(body, "fencingToken");
        if fence < self.fence {
            return Some(self.refuse("fence"));
        }
        self.fence = fence;
        None
    }

    fn refuse(&self, reason: &str) -> Reply {
        reply(409, &json!({ "clockMs": self.clock(), "reason": reason }))
    }

    fn accepted(&self) -> Reply {
        reply(200, &json!({ "clockMs": self.clock() }))
    }

    /// True when everybody should know how much room it has: starts are held to less room only after a while.
    fn is_size_known(&self) -> bool {
        self.shrunk.is_none_or(|at| at.elapsed() > SHRINK_GRACE)
    }

    /// True when this very run of the task is going on.
    fn is_running(&self, name: &str, run: u64) -> bool {
        let held = self.running.get(name);
        held.is_some_and(|held| held.number == run)
    }

    /// Forgets the ends that are acknowledged, and extends the lease.
    fn renew(&mut self, body: &Value) {
        let seen = number(body, "lastSeen");
        if self.clock() > self.lease {
            self.lapsed = Some(Instant::now());
        }
        let (acked, kept) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.count <= seen);
        self.ended = kept;
        self.acknowledge(acked);
        let most = self.clock() + MAX_LEASE;
        self.lease = self.lease.max(number(body, "deadlineMs").min(most));
    }

    /// Notes which ends were acknowledged in time.
    fn acknowledge(&self, acked: Vec<End>) {
        let now = Instant::now();
        let mut run_log = lock(&self.run_log);
        for end in acked {
            if self.lapsed.is_none_or(|lapsed| lapsed < end.at) {
                run_log.runs[end.log_index].acknowledged = Some(now);
            }
        }
    }

    /// Loses what runs: nobody is acked.
    fn end_all(&mut self) {
        self.advance();
        let names: Vec<String> = self.running.keys().cloned().collect();
        for name in names {
            self.end(&name, "lapsed", Instant::now());
        }
        self.ended.clear();
    }

    /// Ends what has run its time, and all of it when the lease is over.
    fn advance(&mut self) {
        let now = Instant::now();
        let lapsed = self.clock() > self.lease;
        let over = self.clock_start + Duration::from_millis(self.lease);
        let names: Vec<String> = self.running.keys().cloned().collect();
        for name in names {
            let run = &self.running[&name];
            let until = run.until;
            if lapsed {
                self.end(&name, "lapsed", over.min(until));
            } else if now >= until {
                let how = if run.fails { "failed" } else { "done" };
                self.end(&name, how, until);
            }
        }
    }

    fn end(&mut self, name: &str, how: &'static str, at: Instant) {
        let Some(run) = self.running.remove(name) else {
            return;
        };
        self.count += 1;
        self.over.insert(name.to_owned(), run.number);
        self.ended.push(End {
            count: self.count,
            name: name.to_owned(),
            run: run.number,
            how,
            at,
            log_index: run.log_index,
        });
        let mut run_log = lock(&self.run_log);
        run_log.runs[run.log_index].ended = Some((at, how));
        if let Some(running) = run_log.running.get_mut(name) {
            *running -= 1;
        }
    }

    fn start(&mut self, body: &Value) -> Reply {
        let name = body["task"].as_str().unwrap_or_default().to_owned();
        let run = number(body, "run");
        let deadline = number(body, "deadlineMs");
        if self.is_running(&name, run) {
            return self.accepted();
        }
        if self.running.contains_key(&name) || self.over.get(&name).is_some_and(|&over| run <= over)
        {
            return self.refuse("old");
        }
        if deadline < self.clock() {
            return self.refuse("late");
        }
        if (self.running.len() as u64 + 1) * 1_000 > self.size {
            if self.is_size_known() {
                let over = (Instant::now(), name.into(), self.id.as_str().into());
                lock(&self.run_log).capacity_refusals.push(over);
            }
            return self.refuse("room");
        }
        self.lease = self.lease.max(deadline.min(self.clock() + MAX_LEASE));
        let text = body["specification"].as_str().unwrap_or_default();
        let now = Instant::now();
        let mut run_log = lock(&self.run_log);
        let started = Run {
            number: run,
            until: now + duration_from(text).unwrap_or(self.work),
            fails: text.starts_with(FAILING_PREFIX),
            percent: 100,
            log_index: run_log.runs.len(),
        };
        run_log.runs.push(TaskRun {
            task: name.as_str().into(),
            worker: self.id.as_str().into(),
            started: now,
            ended: None,
            acknowledged: None,
        });
        self.running.insert(name.clone(), started);
        *run_log.starts.entry(name.clone()).or_default() += 1;
        let running = run_log.running.entry(name.clone()).or_default();
        *running += 1;
        if *running > 1 {
            run_log.ran_twice.push(name);
        }
        drop(run_log);
        self.accepted()
    }

    fn stop(&mut self, body: &Value) -> Reply {
        let name = body["task"].as_str().unwrap_or_default().to_owned();
        let run = number(body, "run");
        if self.is_running(&name, run) {
            self.end(&name, "stopped", Instant::now());
        }
        let over = self.over.entry(name).or_default();
        *over = run.max(*over);
        self.accepted()
    }

    fn pace(&mut self, body: &Value) -> Reply {
        let name = body["task"].as_str().unwrap_or_default();
        match self.running.get_mut(name) {
            Some(run) => {
                run.percent = number(body, "percent");
                self.accepted()
            }
            None => self.refuse("old"),
        }
    }

    fn report(&self) -> Reply {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(name, run)| json!([name, run.number, "", run.percent, 0]))
            .collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .map(|end| json!([end.count, end.name, end.run, end.how, ""]))
            .collect();
        let report = json!({
            "born": self.started_at, "clockMs": self.clock(), "running": running, "ended": ended,
        });
        reply(200, &report)
    }
}

/// True unless the connection of this thread was opened to an earlier life: a crash ends all connections.
fn is_connected_to(started_at: u64) -> bool {
    let connected_to = CONNECTED_TO.get();
    CONNECTED_TO.set(if connected_to == 0 {
        started_at
    } else {
        connected_to
    });
    connected_to == 0 || connected_to == started_at
}

/// True for the start of a task that crashes its worker.
fn is_crashing(body: &Value) -> bool {
    let text = body["specification"].as_str().unwrap_or_default();
    let name = body["task"].as_str().unwrap_or_default();
    text.strip_prefix(CRASHING_PREFIX)
        .is_some_and(|crashing| name.ends_with(&format!(".{crashing}")))
}

/// The time of each task, where its specification names one.
fn duration_from(text: &str) -> Option<Duration> {
    let millis = text.strip_prefix(DURATION_PREFIX)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn number(body: &Value, name: &str) -> u64 {
    body[name].as_u64().unwrap_or(0)
}
