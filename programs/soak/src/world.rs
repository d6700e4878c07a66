//! Everything that a run has: the stand-ins, the boxes, and what was seen.

use {
    crate::{
        check::{self, Breach, Closure},
        history::{Jobs, Micros, NEVER, Run, Trouble},
        plan::HALLS,
        process::{Process, Program},
        versions::{Followed, Written, write},
    },
    anyhow::{Context, Result},
    kernel::{Client, HttpResponse, client::Call, sync::lock},
    serde_json::{Value, json},
    standin::{
        Kv, Runner,
        kv::{decode, encode},
        proxy::Proxy,
        runner::RunLog,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Bytes a second that 1 Mbit/s carries.
const BYTES_OF_MBIT: usize = 125_000;
/// Cores of a worker; each task takes one.
pub const CORES: u64 = 4;
/// The time of a task that names none.
const WORK: Duration = Duration::from_millis(50);
/// The key of the configuration.
const CONFIG: &str = "op/config";
/// Two looks at trouble that are less apart belong to one stretch.
const GAP: Micros = 500_000;

/// One worker, with the line that leads to it.
pub struct Worker {
    /// The worker.
    pub runner: Runner,
    /// What all boxes reach it by.
    pub proxy: Proxy,
    /// How many lives it was given.
    lives: Mutex<u32>,
    /// Its entry in the listing, with all of its room.
    entry: Value,
}

/// When there was trouble.
#[derive(Default)]
struct Troubles {
    any: Trouble,
    boxes: Vec<Trouble>,
}

/// All of a run.
pub struct World {
    begun: Instant,
    /// The store.
    pub kv: Kv,
    /// The line of each box to the store.
    pub proxies: Vec<Proxy>,
    /// The boxes.
    pub boxes: Vec<Mutex<Process>>,
    /// The workers.
    pub workers: Vec<Worker>,
    seen: Arc<Mutex<RunLog>>,
    /// All jobs.
    pub jobs: Mutex<Jobs>,
    troubles: Mutex<Troubles>,
    written: Mutex<Written>,
    followed: Mutex<HashMap<(usize, u64), Followed>>,
    closures: Mutex<Vec<Closure>>,
    breaches: Mutex<Vec<Breach>>,
    /// Bounds of time are judged.
    pub timed: bool,
}

impl World {
    /// Opens the stand-ins; no box runs yet.
    ///
    /// # Errors
    ///
    /// A port cannot be opened.
    pub fn open(program: &Program, boxes: usize, workers: usize, timed: bool) -> Result<Self> {
        let kv = Kv::default();
        let url = kv.open(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let store: SocketAddr = url.trim_start_matches("http://").parse()?;
        let seen = Arc::new(Mutex::new(RunLog::default()));
        let mut world = World {
            begun: Instant::now(),
            kv,
            proxies: Vec::new(),
            boxes: Vec::new(),
            workers: Vec::new(),
            seen,
            jobs: Mutex::default(),
            troubles: Mutex::default(),
            written: Mutex::default(),
            followed: Mutex::default(),
            closures: Mutex::default(),
            breaches: Mutex::default(),
            timed,
        };
        for number in 0..workers {
            let worker = world.worker(number)?;
            world.workers.push(worker);
        }
        for number in 0..boxes {
            let proxy = Proxy::open(store)?;
            let address = proxy.address().to_string();
            if let Some(link) = program.link {
                proxy.set_rate(link as usize * BYTES_OF_MBIT);
            }
            world.proxies.push(proxy);
            let process = Process::new(program, number, address)?;
            world.boxes.push(Mutex::new(process));
        }
        lock(&world.troubles).boxes = vec![Trouble::default(); boxes];
        world.write_version();
        Ok(world)
    }

    /// Opens a worker whose entry names the line to it.
    fn worker(&self, number: usize) -> Result<Worker> {
        let id = format!("w{number}-1");
        let runner = Runner::open(&self.kv, "pool", &id, CORES, WORK, &self.seen)?;
        let key = format!("servers/{id}");
        let entry = self.kv.value(&key).context("a worker has no entry")?;
        let mut entry: Value = serde_json::from_slice(&decode(&entry))?;
        let address = entry["address"].as_str().unwrap_or_default();
        let proxy = Proxy::open(address.parse()?)?;
        entry["address"] = proxy.address().to_string().into();
        entry["zone"] = hall_name(number % HALLS).into();
        self.kv.put(&key, &encode(&entry));
        Ok(Worker {
            runner,
            proxy,
            lives: Mutex::new(1),
            entry,
        })
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    fn at(&self, time: Instant) -> Micros {
        time.saturating_duration_since(self.begun).as_micros() as Micros
    }

    /// Writes the next version of the configuration.
    pub fn write_version(&self) {
        let mut written = lock(&self.written);
        let version = written.latest() + 1;
        self.kv.put(CONFIG, &encode(&write(version)));
        written.add(self.now());
    }

    /// Writes an older version over the latest one.
    pub fn write_older(&self) {
        let older = self.latest().saturating_sub(1).max(1);
        self.kv.put(CONFIG, &encode(&write(older)));
    }

    /// Writes the latest version again.
    pub fn write_latest(&self) {
        self.kv.put(CONFIG, &encode(&write(self.latest())));
    }

    /// The latest version of the configuration.
    pub fn latest(&self) -> u64 {
        lock(&self.written).latest()
    }

    /// Crashes a worker and starts it again. Returns the life whose entry stays.
    pub fn crash(&self, number: usize) -> String {
        let worker = &self.workers[number];
        let old = self.life(number);
        // It may be gone from the listing.
        self.list(number);
        let mut lives = lock(&worker.lives);
        *lives += 1;
        worker.runner.restart(&format!("w{number}-{lives}"));
        old
    }

    /// Crashes a worker and starts it again under its name. Its entry may be behind.
    pub fn reborn(&self, number: usize, is_behind: bool) {
        self.workers[number]
            .runner
            .restart_without_entry(&self.life(number));
        if !is_behind {
            self.list(number);
        }
    }

    /// Shuts a data hall, as the operators do.
    pub fn shut(&self, hall: usize) {
        let name = hall_name(hall);
        let key = format!("op/evacuate/{name}");
        if self.kv.value(&key).is_some() {
            return;
        }
        self.kv.put(&key, &encode(&json!({})));
        let shut = self.now();
        let workers = (hall..self.workers.len()).step_by(HALLS);
        lock(&self.closures).push(Closure {
            hall: name,
            workers: workers.map(|number| format!("w{number}-")).collect(),
            shut,
            opened: NEVER,
        });
    }

    /// Opens it again.
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

    /// Takes a life of a worker from the listing.
    pub fn unlist(&self, life: &str) {
        self.kv.remove(&format!("servers/{life}"));
    }

    /// The present life of a worker.
    pub fn life(&self, number: usize) -> String {
        self.workers[number].runner.id()
    }

    /// Puts the present life of a worker into the listing.
    pub fn list(&self, number: usize) {
        let key = format!("servers/{}", self.life(number));
        let worker = &self.workers[number];
        let mut entry = worker.entry.clone();
        // A worker tells what it has now, whatever else has befallen its entry meanwhile.
        entry["capacity"]["cpu"] = (worker.runner.cores() * 1_000).into();
        entry["born"] = worker.runner.start_time().into();
        self.kv.put(&key, &encode(&entry));
    }

    /// Gives a worker so many cores, as its entry then says.
    pub fn resize(&self, number: usize, cores: u64) {
        self.workers[number].runner.resize(cores);
        self.list(number);
    }

    /// Puts something else in the place of a worker's entry.
    pub fn garble(&self, number: usize) {
        let key = format!("servers/{}", self.life(number));
        self.kv.put(&key, &encode(&json!({ "service": 7 })));
    }

    /// Lists something beside the workers that is none; there are several kinds.
    pub fn list_foreign(&self, kind: usize) {
        let mut entry = self.workers[0].entry.clone();
        entry["address"] = "127.0.0.1:9".into();
        match kind % 4 {
            0 => entry["state"] = "retired".into(),
            1 => entry["service"] = "another".into(),
            2 => entry["capacity"] = Value::Null,
            _ => entry = "nothing".into(),
        }
        self.kv.put(&foreign(kind), &encode(&entry));
    }

    /// Takes it from the listing.
    pub fn unlist_foreign(&self, kind: usize) {
        self.kv.remove(&foreign(kind));
    }

    /// How often workers have crashed under tasks.
    pub fn crashes(&self) -> u32 {
        self.workers.iter().map(|own| own.runner.crashes()).sum()
    }

    /// Notes that there is trouble now, for a box or for anything.
    pub fn note_trouble(&self, number: Option<usize>) {
        let now = self.now();
        let mut troubles = lock(&self.troubles);
        troubles.any.note(now, GAP);
        if let Some(number) = number {
            troubles.boxes[number].note(now, GAP);
        }
    }

    /// True when bounds of time hold for a box: it had no trouble from some time before `sent` until
    /// `heard`.
    pub fn is_calm(&self, number: usize, sent: Micros, heard: Micros) -> bool {
        let from = sent.saturating_sub(check::CALM);
        self.timed && lock(&self.troubles).boxes[number].is_calm(from, heard)
    }

    /// The version that a life of a box may not fall behind.
    fn floor(&self, number: usize, life: u64, sent: Micros) -> u64 {
        let seen = lock(&self.followed)
            .get(&(number, life))
            .map_or(0, |followed| followed.floor);
        if sent < check::CALM || !self.is_calm(number, sent, sent) {
            return seen;
        }
        let due = lock(&self.written).before(sent - check::CALM);
        seen.max(due)
    }

    /// Asks a box for a queue, and checks the answer against the versions.
    pub fn ask_queue(&self, client: &Client, number: usize, queue: u64) {
        let process = lock(&self.boxes[number]);
        let (port, life) = (process.callers, process.life);
        drop(process);
        let sent = self.now();
        let floor = self.floor(number, life, sent);
        let path = crate::versions::prefix(queue);
        let Some(answer) = send(client, port, "GET", &path, None) else {
            return;
        };
        if !matches!(answer.status, 200 | 404) || lock(&self.boxes[number]).life != life {
            return;
        }
        let latest = self.latest();
        let mut followed = lock(&self.followed);
        let own = followed.entry((number, life)).or_default();
        let taken = own.take(floor, latest, queue, answer.status == 200);
        drop(followed);
        if let Err(text) = taken {
            let now = self.now();
            let text = format!("{text}, asked at {sent} us, answered at {now} us");
            self.break_rule("config", &format!("b{number}"), text);
        }
    }

    /// Cores of all workers on which nothing runs.
    pub fn free(&self) -> usize {
        let runs = self.runs();
        let mut free = 0;
        for (number, worker) in self.workers.iter().enumerate() {
            let life = self.life(number);
            let is_there = |run: &&Run| run.worker == life && run.ended == NEVER;
            let taken = runs.iter().filter(is_there).count();
            free += (worker.runner.cores() as usize).saturating_sub(taken);
        }
        free
    }

    /// All runs of tasks so far.
    pub fn runs(&self) -> Vec<Run> {
        let seen = lock(&self.seen);
        let runs = seen.runs.iter().map(|ran| Run {
            task: ran.task.to_string(),
            worker: ran.worker.to_string(),
            begun: self.at(ran.started),
            ended: ran.ended.map_or(NEVER, |(at, _)| self.at(at)),
            how: ran.ended.map_or("", |(_, how)| how),
            noted: ran.acknowledged.is_some(),
        });
        runs.collect()
    }

    /// Checks all rules; each finding is kept once.
    pub fn check(&self) {
        let jobs = lock(&self.jobs).clone();
        let trouble = match self.timed {
            true => lock(&self.troubles).any.clone(),
            false => Trouble::always(),
        };
        // What was refused for want of room is found in no run.
        let over = lock(&self.seen).capacity_refusals.clone();
        for (at, task, worker) in over {
            let text = format!("{task} was sent to full {worker} at {} us", self.at(at));
            let id = task.split('.').next().unwrap_or_default();
            self.break_rule("room", id, text);
        }
        let runs = self.runs();
        for breach in check::all(&jobs, &runs, &trouble, self.now()) {
            self.keep(breach);
        }
        // Whatever befalls workers is no reason to start anything in a hall that is shut.
        let boxes = match self.timed {
            true => lock(&self.troubles).boxes.clone(),
            false => vec![Trouble::always()],
        };
        for breach in check::shut_halls(&lock(&self.closures), &runs, &boxes) {
            self.keep(breach);
        }
    }

    /// How many times a hall was shut for longer than starts may go on there.
    pub fn judged_closures(&self) -> usize {
        let closures = lock(&self.closures);
        closures.iter().filter(|own| own.is_long()).count()
    }

    /// Of how many runs it was judged whether they were gone in time after a cancellation.
    pub fn judged_stops(&self) -> usize {
        let jobs = lock(&self.jobs).clone();
        let trouble = lock(&self.troubles).any.clone();
        check::judged_stops(&jobs, &self.runs(), &trouble)
    }

    /// Keeps a finding.
    pub fn break_rule(&self, rule: &'static str, of: &str, text: String) {
        let of = of.to_owned();
        self.keep(Breach { rule, of, text });
    }

    fn keep(&self, breach: Breach) {
        let mut breaches = lock(&self.breaches);
        let is_known = |known: &Breach| known.rule == breach.rule && known.of == breach.of;
        if !breaches.iter().any(is_known) {
            println!("{:>9} us  {breach}", self.now());
            breaches.push(breach);
        }
    }

    /// What was found so far.
    pub fn breaches(&self) -> Vec<Breach> {
        lock(&self.breaches).clone()
    }
}

/// The name of a data hall.
fn hall_name(hall: usize) -> String {
    format!("h{hall}")
}

fn foreign(kind: usize) -> String {
    format!("servers/x-{kind}")
}

/// Makes a request of a caller. Returns `None` without an answer.
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
