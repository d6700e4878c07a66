//! Stand-in for the users' workers. Tasks run under leases and fencing tokens, and their ends are
//! reported until acknowledged. Each worker listens on its own port.
//!
//! It speaks the protocol of the users' platform, so the names on the wire are that platform's.

use {
    crate::{
        http_server::{self, ServerRequest, ServerResponse, reply},
        kv::{Kv, decode, encode},
    },
    fastrand::Rng,
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
    /// Start time of the worker incarnation to which the connection of this thread was opened; 0
    /// before its first call.
    static CONNECTED_TO: Cell<u64> = const { Cell::new(0) };
}

/// Maximum number of connections of one worker.
const MAX_CONNECTIONS: usize = 64;
/// The longest lease, in milliseconds.
const MAX_LEASE: u64 = 6_000;
/// After a worker has shrunk, starts beyond its new size are recorded as violations only after
/// this time: 3 s until all schedulers are in contact, and one heartbeat.
const SHRINK_GRACE: Duration = Duration::from_millis(4_100);
/// Pause between two checks of a long poll.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long the connection of an ignored call stays open.
const SILENCE: Duration = Duration::from_secs(1);
/// Prefix of a specification whose tasks fail.
pub const FAILING_PREFIX: &str = "fail";
/// Prefix of a specification that names a task, as step and task number separated by a dot, which
/// crashes its worker after it has started.
pub const CRASHING_PREFIX: &str = "crash=";
/// Duration of a crashing task: it does not end before its worker crashes, however late that is on a
/// busy machine.
const CRASHING_WORK: Duration = Duration::from_secs(3_600);
/// Time from the start of a crashing task until its worker crashes.
const CRASH_AFTER: Duration = Duration::from_millis(10);
/// How long a worker stays down after it was crashed by a task.
const CRASH_DOWNTIME: Duration = Duration::from_millis(700);
/// Prefix of a specification that gives the duration of each task in milliseconds.
pub const DURATION_PREFIX: &str = "ms=";

/// One run of a task on one worker.
#[derive(Debug, Clone)]
pub struct TaskRun {
    /// Task name.
    pub task: Arc<str>,
    /// Worker incarnation.
    pub worker: Arc<str>,
    /// Start time.
    pub started: Instant,
    /// End time and cause. The time is exact even if no call was made at that moment.
    pub ended: Option<(Instant, &'static str)>,
    /// When the end was acknowledged, provided that the lease has not expired since the end.
    pub acknowledged: Option<Instant>,
}

/// Events of all workers of a test, recorded together.
#[derive(Debug, Default)]
pub struct RunLog {
    /// Number of concurrent runs by task name.
    running: HashMap<String, u32>,
    /// Number of starts by task name.
    pub starts: HashMap<String, u32>,
    /// Tasks of which two runs were active at the same time.
    pub ran_twice: Vec<String>,
    /// All runs, in order of their starts.
    pub runs: Vec<TaskRun>,
    /// Starts refused for lack of capacity: time, task and worker.
    pub capacity_refusals: Vec<(Instant, Arc<str>, Arc<str>)>,
}

impl RunLog {
    /// Returns the tasks that were started again after a run of them had succeeded and its end had
    /// been acknowledged.
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

/// Faults of a worker.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Closes every connection before the call has any effect.
    pub reset: bool,
    /// Number of further starts that take effect but whose responses are lost.
    pub lost: u32,
    /// Closes every connection after its first response.
    pub closes_connections: bool,
    /// Refuses starts with status 503.
    pub refuses_starts: bool,
    /// Changes to another incarnation once all `lost` responses have been lost.
    pub then_restart: bool,
    /// Sets `refuses_starts` once all `lost` responses have been lost.
    pub then_refuses: bool,
    /// Percentage of calls that have no effect and get no response, drawn at random.
    pub ignored: u8,
}

struct Run {
    number: u64,
    until: Instant,
    fails: bool,
    percent: u64,
    /// Index of the run in [`RunLog::runs`].
    log_index: usize,
}

/// The end of a run, reported until acknowledged.
struct End {
    count: u64,
    name: String,
    run: u64,
    how: &'static str,
    at: Instant,
    /// Index of the run in [`RunLog::runs`].
    log_index: usize,
}

struct Core {
    id: String,
    /// Capacity in thousandths of a core.
    size: u64,
    /// When the capacity was last reduced.
    shrunk: Option<Instant>,
    clock_start: Instant,
    /// Start time of this incarnation, in milliseconds since 1970.
    started_at: u64,
    /// True while the worker is down after a crash.
    is_down: bool,
    /// Number of crashes caused by tasks.
    crashes: u32,
    /// The highest fencing token seen.
    fence: u64,
    /// End of the lease, on this worker's clock in milliseconds.
    lease: u64,
    /// Default duration of a task.
    work: Duration,
    running: BTreeMap<String, Run>,
    /// The highest run number that was stopped or has ended, by task name.
    max_ended: HashMap<String, u64>,
    ended: Vec<End>,
    /// When a lease was last renewed after it had expired.
    renewed_late: Option<Instant>,
    /// Sequence number of the last end.
    count: u64,
    run_log: Arc<Mutex<RunLog>>,
    faults: Faults,
    /// Draws the calls that are ignored.
    draws: Rng,
    /// Number of further calls that get no response and are carried out later.
    deferred_calls: u32,
    /// The deferred calls.
    deferred: Vec<ServerRequest>,
}

/// One worker.
#[derive(Clone)]
pub struct Runner {
    core: Arc<Mutex<Core>>,
    /// Store that holds the entry of this worker.
    kv: Kv,
}

impl Runner {
    /// Opens a worker with the given number of cores and default task duration, and writes its
    /// entry to the store.
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
                max_ended: HashMap::new(),
                ended: Vec::new(),
                renewed_late: None,
                count: 0,
                run_log: run_log.clone(),
                faults: Faults::default(),
                draws: Rng::with_seed(cores),
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

    /// Moves the worker to a data hall other than `h1` in its store entry.
    pub fn set_hall(&self, hall: &str) {
        let id = self.id();
        self.write_entry(&id, &id, "zone", hall.into());
    }

    /// Copies the entry of `former` to `id` with one field replaced.
    fn write_entry(&self, former: &str, id: &str, field: &str, value: Value) {
        let entry = self.kv.value(&format!("servers/{former}"));
        let text = decode(&entry.unwrap_or_default());
        let Ok(mut entry) = serde_json::from_slice::<Value>(&text) else {
            return;
        };
        entry[field] = value;
        self.kv.put(&format!("servers/{id}"), &encode(&entry));
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.core).faults = faults;
    }

    /// Crashes the worker and restarts it at once as a new incarnation at the same address, with a
    /// new store entry. The former entry stays unless it has the same name.
    pub fn restart(&self, id: &str) {
        let former = self.id();
        self.restart_without_entry(id);
        self.write_entry(&former, id, "born", self.start_time().into());
    }

    /// Like [`Runner::restart`], but leaves the store entry as it is.
    pub fn restart_without_entry(&self, id: &str) {
        let mut core = lock(&self.core);
        core.end_all();
        core.id = id.to_owned();
        core.clock_start = Instant::now();
        core.started_at = wall_clock::millis().max(core.started_at + 1);
        core.fence = 0;
        core.lease = 0;
        core.max_ended.clear();
        core.ended.clear();
        core.renewed_late = None;
        core.count = 0;
        core.is_down = false;
    }

    /// Takes the power from the worker: its tasks end, and it is down until
    /// [`Runner::restart_without_entry`].
    pub fn power_off(&self) {
        let mut core = lock(&self.core);
        core.end_all();
        // The incarnation ends here: a restart that is due after a crash does not apply any more.
        core.started_at = wall_clock::millis().max(core.started_at + 1);
        core.is_down = true;
    }

    /// Updates the start time in the store entry to that of the current incarnation.
    pub fn update_entry(&self) {
        let id = self.id();
        self.write_entry(&id, &id, "born", self.start_time().into());
    }

    /// Returns the start time of the current incarnation, in milliseconds since 1970.
    pub fn start_time(&self) -> u64 {
        lock(&self.core).started_at
    }

    /// Leaves the next `calls` calls without a response until [`Runner::run_deferred`].
    pub fn defer_calls(&self, calls: u32) {
        lock(&self.core).deferred_calls = calls;
    }

    /// Carries out the deferred calls, whichever incarnation is current by then.
    pub fn run_deferred(&self) {
        let mut core = lock(&self.core);
        core.deferred_calls = 0;
        let deferred = std::mem::take(&mut core.deferred);
        drop(core);
        for request in deferred {
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

    /// Returns the name of the current incarnation.
    pub fn id(&self) -> String {
        lock(&self.core).id.clone()
    }

    /// Returns the number of cores.
    pub fn cores(&self) -> u64 {
        lock(&self.core).size / 1_000
    }

    /// Changes the number of cores. The caller has to update the store entry.
    pub fn resize(&self, cores: u64) {
        let mut core = lock(&self.core);
        let size = cores * 1_000;
        if size < core.size {
            core.shrunk = Some(Instant::now());
        }
        core.size = size;
    }

    /// Returns the current time on its clock, in milliseconds.
    pub fn clock(&self) -> u64 {
        lock(&self.core).clock()
    }

    /// Returns true while the worker is down.
    pub fn is_down(&self) -> bool {
        lock(&self.core).is_down
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        let mut core = lock(&self.core);
        core.advance();
        core.running.len()
    }

    fn handle(&self, request: &ServerRequest) -> ServerResponse {
        let mut response = self.dispatch(request);
        if let ServerResponse::Reply(reply) = &mut response
            && lock(&self.core).faults.closes_connections
        {
            reply.headers.push(("connection", "close".to_owned()));
        }
        response
    }

    fn dispatch(&self, request: &ServerRequest) -> ServerResponse {
        let mut core = lock(&self.core);
        let (faults, is_down, started_at) = (core.faults, core.is_down, core.started_at);
        if faults.reset || is_down || !is_connected_to(started_at) {
            return ServerResponse::Disconnect;
        }
        if core.draws.u8(0..100) < faults.ignored {
            drop(core);
            thread::sleep(SILENCE);
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

    /// Crashes this incarnation after [`CRASH_AFTER`] and restarts the worker as a new one at the
    /// same address after [`CRASH_DOWNTIME`].
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

    /// Returns the number of crashes caused by tasks.
    pub fn crashes(&self) -> u32 {
        lock(&self.core).crashes
    }

    /// Holds a long poll until there is an end to report or its time is over. A crash disconnects
    /// it.
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

    /// Refuses calls that are addressed to another incarnation or come from a former owner.
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

    /// True if every scheduler should know the current capacity: starts are checked against a
    /// reduced capacity only after [`SHRINK_GRACE`].
    fn is_size_known(&self) -> bool {
        self.shrunk.is_none_or(|at| at.elapsed() > SHRINK_GRACE)
    }

    /// True if exactly this run of the task is active.
    fn is_running(&self, name: &str, run: u64) -> bool {
        let active = self.running.get(name);
        active.is_some_and(|active| active.number == run)
    }

    /// Removes acknowledged ends and extends the lease.
    fn renew(&mut self, body: &Value) {
        let seen = number(body, "lastSeen");
        if self.clock() > self.lease {
            self.renewed_late = Some(Instant::now());
        }
        let (acked, pending) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.count <= seen);
        self.ended = pending;
        self.acknowledge(acked);
        let max_end = self.clock() + MAX_LEASE;
        self.lease = self.lease.max(number(body, "deadlineMs").min(max_end));
    }

    /// Records which of the removed ends were acknowledged in time.
    fn acknowledge(&self, acked: Vec<End>) {
        let now = Instant::now();
        let mut run_log = lock(&self.run_log);
        for end in acked {
            if self.renewed_late.is_none_or(|renewed| renewed < end.at) {
                run_log.runs[end.log_index].acknowledged = Some(now);
            }
        }
    }

    /// Ends all running tasks without reporting their ends.
    fn end_all(&mut self) {
        self.advance();
        let names: Vec<String> = self.running.keys().cloned().collect();
        for name in names {
            self.end(&name, "lapsed", Instant::now());
        }
        self.ended.clear();
    }

    /// Ends tasks that have reached their duration, and all tasks once the lease has expired.
    fn advance(&mut self) {
        let now = Instant::now();
        let expired = self.clock() > self.lease;
        let lease_end = self.clock_start + Duration::from_millis(self.lease);
        let names: Vec<String> = self.running.keys().cloned().collect();
        for name in names {
            let run = &self.running[&name];
            let until = run.until;
            if expired {
                self.end(&name, "lapsed", lease_end.min(until));
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
        self.max_ended.insert(name.to_owned(), run.number);
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
        if self.running.contains_key(&name)
            || self.max_ended.get(&name).is_some_and(|&ended| run <= ended)
        {
            return self.refuse("old");
        }
        if deadline < self.clock() {
            return self.refuse("late");
        }
        if (self.running.len() as u64 + 1) * 1_000 > self.size {
            if self.is_size_known() {
                let refusal = (Instant::now(), name.into(), self.id.as_str().into());
                lock(&self.run_log).capacity_refusals.push(refusal);
            }
            return self.refuse("room");
        }
        self.lease = self.lease.max(deadline.min(self.clock() + MAX_LEASE));
        let text = body["specification"].as_str().unwrap_or_default();
        let work = if is_crashing(body) {
            CRASHING_WORK
        } else {
            duration_from(text).unwrap_or(self.work)
        };
        let now = Instant::now();
        let mut run_log = lock(&self.run_log);
        let started = Run {
            number: run,
            until: now + work,
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
        let ended = self.max_ended.entry(name).or_default();
        *ended = run.max(*ended);
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

/// True unless the connection of this thread was opened to an earlier incarnation: a crash ends
/// all connections.
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

/// Returns the task duration given in a specification, if any.
fn duration_from(text: &str) -> Option<Duration> {
    let millis = text.strip_prefix(DURATION_PREFIX)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn number(body: &Value, name: &str) -> u64 {
    body[name].as_u64().unwrap_or(0)
}
