//! The state of a run: simulated store and workers, box processes, and recorded observations.

use {
    crate::{
        check::{self, Breach, Closure},
        cli::Arguments,
        history::{FaultPeriods, Jobs, Micros, NEVER, Run},
        idle::{Capacity, IDLE_BOUND, IdleWatch, Sample, UNTIMED_BOUND},
        plan::HALLS,
        process::{Process, Program},
        versions::{ObservedVersion, VersionLog, render},
        waves::{Waves, draw::Request, machine_name, rules},
        worker::{Worker, hall_name},
    },
    anyhow::Result,
    kernel::{Client, HttpResponse, client::Call, sync::lock},
    serde_json::{Value, json},
    standin::{Kv, kv::encode, proxy::Proxy, runner::RunLog},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Bytes per second of 1 Mbit/s.
const BYTES_OF_MBIT: usize = 125_000;
/// Cores of a worker; each task takes one.
pub const CORES: u64 = 4;
/// The store key of the configuration.
const CONFIG_KEY: &str = "op/config";
/// Two records of active faults less than this apart belong to one period.
const MAX_PERIOD_GAP: Micros = 500_000;

/// The periods with active faults, of any kind and per box.
#[derive(Default)]
struct FaultLog {
    any: FaultPeriods,
    boxes: Vec<FaultPeriods>,
}

/// The state of a run.
pub struct World {
    started: Instant,
    /// The simulated store.
    pub kv: Kv,
    /// Each box's proxy to the store.
    pub proxies: Vec<Proxy>,
    /// The boxes.
    pub boxes: Vec<Arc<Mutex<Process>>>,
    /// The workers.
    pub workers: Vec<Arc<Worker>>,
    /// The maintenance waves.
    pub waves: Waves,
    run_log: Arc<Mutex<RunLog>>,
    /// All jobs.
    pub jobs: Mutex<Jobs>,
    fault_log: Mutex<FaultLog>,
    versions: Mutex<VersionLog>,
    observed: Mutex<HashMap<(usize, u64), ObservedVersion>>,
    closures: Mutex<Vec<Closure>>,
    breaches: Mutex<Vec<Breach>>,
    /// Watches for jobs of which nothing runs.
    pub idle: Mutex<IdleWatch>,
    /// Time bounds are checked.
    pub timed: bool,
}

impl World {
    /// Starts the simulated services; no box is started yet.
    ///
    /// # Errors
    ///
    /// A port cannot be opened.
    pub fn open(program: &Program, arguments: &Arguments, requests: Vec<Request>) -> Result<Self> {
        let kv = Kv::default();
        let url = kv.open(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let store: SocketAddr = url.trim_start_matches("http://").parse()?;
        let run_log = Arc::new(Mutex::new(RunLog::default()));
        let mut workers = Vec::new();
        for number in 0..arguments.workers {
            let label = (!requests.is_empty()).then(|| machine_name(number));
            workers.push(Arc::new(Worker::open(&kv, number, label, &run_log)?));
        }
        let keeps_ids = arguments.reborn.is_some();
        let waves = Waves::new(&kv, requests, &workers, keeps_ids);
        let program = Program {
            machines: waves.open()?,
            ..program.clone()
        };
        let (mut proxies, mut boxes) = (Vec::new(), Vec::new());
        for number in 0..arguments.boxes {
            let proxy = Proxy::open(store)?;
            let address = proxy.address().to_string();
            if let Some(link) = program.link {
                proxy.set_rate(link as usize * BYTES_OF_MBIT);
            }
            proxies.push(proxy);
            let process = Process::new(&program, number, address)?;
            boxes.push(Arc::new(Mutex::new(process)));
        }
        waves.set_boxes(&boxes);
        let timed = !arguments.untimed;
        let fault_log = FaultLog {
            any: FaultPeriods::default(),
            boxes: vec![FaultPeriods::default(); boxes.len()],
        };
        let world = World {
            started: Instant::now(),
            kv,
            proxies,
            boxes,
            workers,
            waves,
            run_log,
            jobs: Mutex::default(),
            fault_log: Mutex::new(fault_log),
            versions: Mutex::default(),
            observed: Mutex::default(),
            closures: Mutex::default(),
            breaches: Mutex::default(),
            idle: Mutex::new(IdleWatch::new(match timed {
                true => IDLE_BOUND,
                false => UNTIMED_BOUND,
            })),
            timed,
        };
        world.write_version();
        Ok(world)
    }

    /// Microseconds since the start of the run.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// Microseconds from the start of the run to `time`.
    pub fn at(&self, time: Instant) -> Micros {
        time.saturating_duration_since(self.started).as_micros() as Micros
    }

    /// Writes the next version of the configuration.
    pub fn write_version(&self) {
        let mut versions = lock(&self.versions);
        let version = versions.latest() + 1;
        self.kv.put(CONFIG_KEY, &encode(&render(version)));
        versions.add(self.now());
    }

    /// Writes an older version over the latest one.
    pub fn write_older(&self) {
        let older = self.latest().saturating_sub(1).max(1);
        self.kv.put(CONFIG_KEY, &encode(&render(older)));
    }

    /// Writes the latest version again.
    pub fn write_latest(&self) {
        self.kv.put(CONFIG_KEY, &encode(&render(self.latest())));
    }

    /// The latest version of the configuration.
    pub fn latest(&self) -> u64 {
        lock(&self.versions).latest()
    }

    /// Closes a data hall, as operators do.
    pub fn close_hall(&self, hall: usize) {
        let name = hall_name(hall);
        let key = format!("op/evacuate/{name}");
        if self.kv.value(&key).is_some() {
            return;
        }
        self.kv.put(&key, &encode(&json!({})));
        let closed_at = self.now();
        let workers = (hall..self.workers.len()).step_by(HALLS);
        lock(&self.closures).push(Closure {
            hall: name,
            workers: workers.map(worker_prefix).collect(),
            closed: closed_at,
            opened: NEVER,
        });
    }

    /// Opens a data hall again.
    pub fn open_hall(&self, hall: usize) {
        let name = hall_name(hall);
        let now = self.now();
        for closure in lock(&self.closures).iter_mut() {
            if closure.hall == name && closure.opened == NEVER {
                closure.opened = now;
            }
        }
        self.kv.remove(&format!("op/evacuate/{name}"));
    }

    /// Lists an entry that is not a worker of the service; there are four kinds.
    pub fn add_foreign(&self, kind: usize) {
        let mut entry = self.workers[0].entry().clone();
        entry["address"] = "127.0.0.1:9".into();
        match kind % 4 {
            0 => entry["state"] = "retired".into(),
            1 => entry["service"] = "another".into(),
            2 => entry["capacity"] = Value::Null,
            _ => entry = "nothing".into(),
        }
        self.kv.put(&foreign_key(kind), &encode(&entry));
    }

    /// Removes such an entry from the listing.
    pub fn remove_foreign(&self, kind: usize) {
        self.kv.remove(&foreign_key(kind));
    }

    /// Number of worker crashes that hit running tasks.
    pub fn crashes(&self) -> u32 {
        self.workers.iter().map(|own| own.runner.crashes()).sum()
    }

    /// Records that a fault is active, for a box or in general.
    pub fn record_fault(&self, number: Option<usize>) {
        let now = self.now();
        let mut fault_log = lock(&self.fault_log);
        fault_log.any.record(now, MAX_PERIOD_GAP);
        if let Some(number) = number {
            fault_log.boxes[number].record(now, MAX_PERIOD_GAP);
        }
    }

    /// True when time bounds apply to a request to a box: no fault affected the box from
    /// [`QUIET_PERIOD`](check::QUIET_PERIOD) before `sent` until `answered`.
    pub fn is_fault_free(&self, number: usize, sent: Micros, answered: Micros) -> bool {
        let from = sent.saturating_sub(check::QUIET_PERIOD);
        self.timed && lock(&self.fault_log).boxes[number].is_fault_free(from, answered)
    }

    /// The oldest configuration version that an incarnation of a box may use.
    fn min_version(&self, number: usize, incarnation: u64, sent: Micros) -> u64 {
        let observed_version = lock(&self.observed)
            .get(&(number, incarnation))
            .map_or(0, |observed| observed.min_version);
        if sent < check::QUIET_PERIOD || !self.is_fault_free(number, sent, sent) {
            return observed_version;
        }
        let required = lock(&self.versions).latest_before(sent - check::QUIET_PERIOD);
        observed_version.max(required)
    }

    /// Queries a queue of a box, and checks the response against the versions.
    pub fn query_queue(&self, client: &Client, number: usize, queue: u64) {
        let process = lock(&self.boxes[number]);
        let (port, incarnation) = (process.caller_port, process.incarnation);
        drop(process);
        let sent = self.now();
        let min_version = self.min_version(number, incarnation, sent);
        let path = crate::versions::prefix(queue);
        let Some(answer) = send(client, port, "GET", &path, None) else {
            return;
        };
        if !matches!(answer.status, 200 | 404)
            || lock(&self.boxes[number]).incarnation != incarnation
        {
            return;
        }
        let latest = self.latest();
        let mut observed = lock(&self.observed);
        let own = observed.entry((number, incarnation)).or_default();
        let result = own.check_response(min_version, latest, queue, answer.status == 200);
        drop(observed);
        if let Err(text) = result {
            let now = self.now();
            let text = format!("{text}, asked at {sent} us, answered at {now} us");
            self.report_breach("config", &format!("b{number}"), text);
        }
    }

    /// Number of free cores on all workers that are up.
    pub fn free_cores(&self) -> usize {
        let runs = self.runs();
        let is_up = |number: &usize| {
            !self.workers[*number].runner.is_down() && !self.waves.may_be_closed(*number)
        };
        let all = (0..self.workers.len()).filter(is_up);
        all.map(|number| self.capacity(number, &runs).free).sum()
    }

    /// The cores of a worker.
    fn capacity(&self, number: usize, runs: &[Run]) -> Capacity {
        let incarnation = self.workers[number].incarnation();
        let is_active = |run: &&Run| run.worker == incarnation && run.ended == NEVER;
        let used = runs.iter().filter(is_active).count();
        let total = self.workers[number].runner.cores() as usize;
        let free = total.saturating_sub(used);
        Capacity { total, free }
    }

    /// The cores of all workers that are up and in halls that are not closed.
    fn open_capacity(&self, runs: &[Run]) -> Capacity {
        let mut sum = Capacity::default();
        for (number, worker) in self.workers.iter().enumerate() {
            let prefix = worker_prefix(number);
            let is_closing = |own: &Closure| own.opened == NEVER && own.workers.contains(&prefix);
            let is_closed =
                self.waves.may_be_closed(number) || lock(&self.closures).iter().any(is_closing);
            if worker.runner.is_down() || is_closed {
                continue;
            }
            let Capacity { total, free } = self.capacity(number, runs);
            sum.total += total;
            sum.free += free;
        }
        sum
    }

    /// Looks for jobs of which nothing runs although there is room.
    pub fn watch_idle(&self, is_closing: bool) {
        let now = self.now();
        let (jobs, runs) = (lock(&self.jobs).clone(), self.runs());
        let sample = Sample {
            now,
            calm_since: lock(&self.fault_log).any.calm_since(),
            capacity: self.open_capacity(&runs),
            jobs: &jobs,
            runs: &runs,
            is_closing,
        };
        let found = lock(&self.idle).take(&sample);
        for breach in found {
            self.record_breach(breach);
        }
    }

    /// All runs of tasks so far.
    pub fn runs(&self) -> Vec<Run> {
        let run_log = lock(&self.run_log);
        let runs = run_log.runs.iter().map(|ran| Run {
            task: ran.task.to_string(),
            worker: ran.worker.to_string(),
            started: self.at(ran.started),
            ended: ran.ended.map_or(NEVER, |(at, _)| self.at(at)),
            outcome: ran.ended.map_or("", |(_, outcome)| outcome),
            acknowledged: ran.acknowledged.is_some(),
        });
        runs.collect()
    }

    /// Checks all rules; each breach is recorded once.
    pub fn check(&self) {
        let jobs = lock(&self.jobs).clone();
        let fault_periods = match self.timed {
            true => lock(&self.fault_log).any.clone(),
            false => FaultPeriods::always(),
        };
        // Starts that were refused for lack of capacity appear in no run.
        let refused = lock(&self.run_log).capacity_refusals.clone();
        for (at, task, worker) in refused {
            let text = format!(
                "{task} was sent to {worker}, which had no free core, at {} us",
                self.at(at)
            );
            let id = task.split('.').next().unwrap_or_default();
            self.report_breach("room", id, text);
        }
        let runs = self.runs();
        for breach in check::all(&jobs, &runs, &fault_periods, self.now()) {
            self.record_breach(breach);
        }
        // Faults of workers do not justify a start in a closed hall, so only faults of boxes count.
        let boxes = match self.timed {
            true => lock(&self.fault_log).boxes.clone(),
            false => vec![FaultPeriods::always()],
        };
        for breach in check::closed_halls(&lock(&self.closures), &runs, &boxes) {
            self.record_breach(breach);
        }
        let (asked, log) = (self.waves.asked(), self.waves.log());
        for breach in rules::all(&asked, &log, |time| self.at(time)) {
            self.record_breach(breach);
        }
    }

    /// Number of hall closures that outlasted the time in which starts are still allowed.
    pub fn judged_closures(&self) -> usize {
        let closures = lock(&self.closures);
        closures.iter().filter(|own| own.is_long()).count()
    }

    /// Number of runs to which the bound on stopping after a cancellation applied.
    pub fn judged_stops(&self) -> usize {
        let jobs = lock(&self.jobs).clone();
        let fault_periods = lock(&self.fault_log).any.clone();
        check::judged_stops(&jobs, &self.runs(), &fault_periods)
    }

    /// Records a breach.
    pub fn report_breach(&self, rule: &'static str, of: &str, text: String) {
        let of = of.to_owned();
        self.record_breach(Breach { rule, of, text });
    }

    fn record_breach(&self, breach: Breach) {
        let mut breaches = lock(&self.breaches);
        let is_known = |known: &Breach| known.rule == breach.rule && known.of == breach.of;
        if !breaches.iter().any(is_known) {
            println!("{:>9} us  {breach}", self.now());
            breaches.push(breach);
        }
    }

    /// The breaches found so far.
    pub fn breaches(&self) -> Vec<Breach> {
        lock(&self.breaches).clone()
    }
}

/// The prefix of the ids of all incarnations of a worker.
fn worker_prefix(number: usize) -> String {
    format!("w{number}-")
}

fn foreign_key(kind: usize) -> String {
    format!("servers/x-{kind}")
}

/// Sends a caller's request. Returns `None` without a response.
pub fn send(
    client: &Client,
    port: u16,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Option<HttpResponse> {
    let url = format!("http://127.0.0.1:{port}{path}");
    let bytes = body.map_or(Vec::new(), |body| body.to_string().into_bytes());
    let headers = [("host", "h.example"), ("content-type", "application/json")];
    let call = Call {
        method,
        url: &url,
        headers: &headers,
        body: &bytes,
        timeout: Duration::from_secs(5).into(),
    };
    client.send(&call).ok()
}
