//! Boxes as separate processes, against stand-ins of the platform in this one.
//!
//! Nothing here judges a time: each step waits until what it names has come about, and a wait that
//! lasts far too long fails the test.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    job::Id,
    kernel::{Answer, Client, client::Call, sync::lock},
    node::{
        Reply,
        message::{PeerRequest, PeerResponse},
    },
    serde_json::{Value, json},
    standin::{
        Kv, Runner,
        kv::{Faults, decode, encode},
        runner::Seen,
    },
    std::{
        io::{BufRead, BufReader},
        net::{SocketAddr, TcpListener},
        ops::Range,
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    test_case::test_case,
};

/// A wait that lasts this long has failed, on any machine.
const FOREVER: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(20);
const WORK: Duration = Duration::from_millis(50);
/// For so long the entry of a new life may be behind.
const BEHIND: Duration = Duration::from_millis(600);

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

fn until(what: &str, mut is_so: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !is_so() {
        assert!(begun.elapsed() < FOREVER, "never came about: {what}");
        thread::sleep(LOOK);
    }
}

/// One box.
struct Process {
    name: String,
    store: String,
    own_workers: usize,
    child: Child,
    callers: u16,
    ready: u16,
    inside: u16,
    /// It has told that all its ports are open.
    runs: Arc<AtomicBool>,
}

/// The line of a box whose ports are all open.
const RUNS: &str = "\"The box runs.\"";

/// Reads what a box writes to its end, and notes that its ports are open.
fn read_lines(child: &mut Child) -> Arc<AtomicBool> {
    let runs = Arc::new(AtomicBool::new(false));
    let (own, out) = (runs.clone(), child.stdout.take().unwrap());
    thread::spawn(move || {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            own.fetch_or(line.contains(RUNS), Ordering::AcqRel);
        }
    });
    runs
}

impl Process {
    fn start(name: &str, store: &str, own_workers: usize) -> Self {
        let ports = [free_port(), free_port(), free_port()];
        Process::start_at(name, store, own_workers, ports)
    }

    /// The ports are those of callers, of readiness and of other boxes.
    fn start_at(name: &str, store: &str, own_workers: usize, ports: [u16; 3]) -> Self {
        let [callers, ready, inside] = ports;
        let mut child = Command::new(env!("CARGO_BIN_EXE_magpie-box"))
            .env("MAGPIE_NAME", name)
            .env("MAGPIE_HALL", "h1")
            .env("MAGPIE_CALLERS", format!("127.0.0.1:{callers}"))
            .env("MAGPIE_READY", format!("127.0.0.1:{ready}"))
            .env("MAGPIE_PORTS", inside.to_string())
            .env("MAGPIE_STORE", store)
            .env("MAGPIE_OWN_WORKERS", own_workers.to_string())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let runs = read_lines(&mut child);
        Process {
            name: name.to_owned(),
            store: store.to_owned(),
            own_workers,
            child,
            callers,
            ready,
            inside,
            runs,
        }
    }

    /// Ports were free when they were looked for; another test may have taken one since. Then the
    /// box has ended with 1 and is started with others.
    fn start_again_without_ports(&mut self) {
        let Some(ended) = self.child.try_wait().unwrap() else {
            return;
        };
        assert_eq!(ended.code(), Some(1), "a box ended before it was ready");
        *self = Process::start(&self.name, &self.store, self.own_workers);
    }

    /// True once it answers so itself: another box may have taken the port that was found free for this one.
    fn is_ready(&self) -> bool {
        self.runs.load(Ordering::Acquire)
            && send(self.ready, "GET", "/readiness", None)
                .is_some_and(|answer| answer.status == 200)
    }

    /// Tells the box, as another one would, that a job is cancelled.
    fn tell_cancelled(&self, id: &str) -> Reply {
        let url = format!("http://127.0.0.1:{}/peer", self.inside);
        let ask = PeerRequest::Cancelled(Id::new(id).unwrap());
        match Client::new(None).post(&url, &ask, FOREVER).unwrap() {
            PeerResponse::Reply(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    /// The threads that it has now.
    fn threads(&self) -> usize {
        let tasks = format!("/proc/{}/task", self.child.id());
        std::fs::read_dir(tasks).unwrap().count()
    }

    /// Its probes of the store, and all its other calls of it.
    fn store_calls(&self) -> (u64, u64) {
        let answer = send(self.inside, "GET", "/metrics", None).unwrap();
        let text = String::from_utf8(answer.body).unwrap();
        let (mut probes, mut others) = (0, 0);
        for line in text.lines() {
            let Some(rest) = line.strip_prefix("magpie_store_calls_total{call=") else {
                continue;
            };
            let (call, count) = rest.split_once("} ").unwrap();
            let count: u64 = count.parse().unwrap();
            if call.contains("probe") {
                probes += count;
            } else {
                others += count;
            }
        }
        (probes, others)
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn send(port: u16, method: &str, path: &str, body: Option<&Value>) -> Option<Answer> {
    let url = format!("http://127.0.0.1:{port}{path}");
    let bytes = body.map_or(Vec::new(), |body| body.to_string().into_bytes());
    let headers = [("host", "h.example"), ("content-type", "application/json")];
    let call = Call {
        method,
        url: &url,
        headers: &headers,
        body: &bytes,
        time: Duration::from_secs(5).into(),
    };
    Client::new(None).send(&call).ok()
}

struct World {
    kv: Kv,
    store: String,
    seen: Arc<Mutex<Seen>>,
    runners: Vec<Runner>,
}

impl World {
    fn new(work: Duration) -> Self {
        let kv = Kv::default();
        let url = kv.open(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let seen = Arc::new(Mutex::new(Seen::default()));
        let mut runners = Vec::new();
        for number in 0..3 {
            let id = format!("i-{number}");
            runners.push(Runner::open(&kv, "pool", &id, 4, work, &seen).unwrap());
        }
        configure(&kv, 1, "/q/");
        World {
            kv,
            store: url.trim_start_matches("http://").to_owned(),
            seen,
            runners,
        }
    }

    fn boxes(&self, count: usize) -> Vec<Process> {
        self.sharing_boxes(count, 70)
    }

    /// Boxes of which the owner talks to so many workers itself.
    fn sharing_boxes(&self, count: usize, own: usize) -> Vec<Process> {
        let names = (0..count).map(|number| format!("b{number}"));
        let mut boxes: Vec<Process> = names
            .map(|name| Process::start(&name, &self.store, own))
            .collect();
        until("all boxes are ready", || {
            for process in &mut boxes {
                process.start_again_without_ports();
            }
            boxes.iter().all(Process::is_ready)
        });
        boxes
    }

    /// Cancels a job as callers do: they come again after a refusal, which has to be true, and where it is
    /// not known what was done. Either comes from a box that the store does not answer in time, as the one
    /// of this process may on a machine that is busy to its limit.
    fn cancel(&self, process: &Process, id: &str) {
        let path = format!("/q/{id}");
        let mut is_unsure = false;
        until("the cancellation is taken", || {
            match send(process.callers, "DELETE", &path, None).unwrap().status {
                200 => return true,
                503 => {
                    let was_tried = self.kv.was_tried(&format!("magpie/in/cancel/{id}"));
                    assert!(is_unsure || !was_tried, "a refusal is not true");
                }
                504 => is_unsure = true,
                other => panic!("a cancellation is answered {other}"),
            }
            false
        });
    }

    /// Submits jobs of these numbers and waits until they are completed.
    fn complete(&self, boxes: &[Process], jobs: Range<u32>) {
        let port = boxes[0].callers;
        let paths: Vec<String> = jobs.map(|number| format!("/q/{number:016x}")).collect();
        for path in &paths {
            until("a job is accepted", || {
                let answer = send(port, "POST", path, Some(&job(12)));
                answer.is_some_and(|answer| answer.status == 200)
            });
        }
        for path in &paths {
            until("a job is completed", || state(port, path) == "completed");
        }
    }

    /// A box that does not own the cell.
    fn idle<'a>(&self, boxes: &'a [Process]) -> &'a Process {
        let owner = self.owner();
        let mut others = boxes.iter();
        others
            .find(|own| Some(&own.name) != owner.as_ref())
            .unwrap()
    }

    /// The number of tasks that run on all workers.
    fn running(&self) -> usize {
        self.runners.iter().map(Runner::running).sum()
    }

    /// How often workers have crashed under a task.
    fn crashes(&self) -> u32 {
        self.runners.iter().map(Runner::crashes).sum()
    }

    /// The name of the box that owns the cell, read from the store as an operator would.
    fn owner(&self) -> Option<String> {
        let bytes = decode(&self.kv.value("magpie/owner/0")?);
        let is_named = |name: &&str| bytes.windows(2).any(|part| part == name.as_bytes());
        ["b0", "b1", "b2"]
            .into_iter()
            .find(is_named)
            .map(str::to_owned)
    }
}

fn configure(kv: &Kv, version: u64, prefix: &str) {
    let config = json!({
        "version": version,
        "routes": [{
            "name": "r", "host": "h.example", "pathPrefix": prefix, "priority": 0,
            "service": "pool", "retryAttempts": 2, "stretch": 2.0, "targetLatencyMs": 100,
        }],
        "services": [{ "name": "pool", "rejectsOverload": true }],
    });
    kv.put("op/config", &encode(&config));
}

fn job(count: u32) -> Value {
    json!({
        "specification": "text",
        "steps": [
            { "count": count, "cpu": 1000, "memMb": 10, "estimatedMs": 50 },
            { "count": 1, "cpu": 1000, "memMb": 10, "estimatedMs": 50, "after": [0] },
        ],
    })
}

fn status(port: u16, path: &str) -> u16 {
    send(port, "GET", path, None).map_or(0, |answer| answer.status)
}

fn state(port: u16, path: &str) -> String {
    let body = send(port, "GET", path, None).map_or(Vec::new(), |answer| answer.body);
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    body["state"].as_str().unwrap_or_default().to_owned()
}

#[test]
fn job_completes_through_any_box() {
    let world = World::new(WORK);
    let boxes = world.boxes(2);
    let path = "/q/00000000000000a1";
    for process in &boxes {
        let answer = send(process.callers, "POST", path, Some(&job(4))).unwrap();
        assert_eq!(answer.status, 200);
    }
    for process in &boxes {
        until("the job is completed", || {
            state(process.callers, path) == "completed"
        });
    }
    let seen = lock(&world.seen);
    assert_eq!(seen.starts.len(), 5);
    assert!(seen.starts.values().all(|&starts| starts == 1));
    assert!(seen.doubled.is_empty());
}

/// The most threads of a box that neither owns the cell nor talks to workers.
const IDLE_THREADS: usize = 12;

/// A host may have few threads for many boxes.
#[test]
fn threads_of_idle_box() {
    let world = World::new(WORK);
    let boxes = world.boxes(2);
    until("the cell has an owner", || world.owner().is_some());
    let idle = world.idle(&boxes);
    let mut clients = Vec::new();
    for _ in 0..40 {
        let address = ("127.0.0.1", idle.callers);
        clients.push(std::net::TcpStream::connect(address).unwrap());
    }
    until("threads that have served have ended", || {
        idle.threads() <= IDLE_THREADS
    });
}

/// A box that did nothing read and watched the configuration and the owner's key, 12 calls in 5 s; 587 of them made nine
/// tenths of all calls of the store. Probes cost a tenth of a call.
#[test]
fn idle_box_only_probes_the_store() {
    let world = World::new(WORK);
    let boxes = world.boxes(2);
    until("the cell has an owner", || world.owner().is_some());
    let idle = world.idle(&boxes);
    let mut since = idle.store_calls();
    until("three probes come with no call between", || {
        let now = idle.store_calls();
        if now.1 != since.1 {
            since = now;
        }
        now.0 >= since.0 + 3
    });
}

#[test]
fn boxes_answer_again_after_the_store_has_failed() {
    let world = World::new(WORK);
    let boxes = world.boxes(2);
    let path = "/q/00000000000000a1";
    send(boxes[0].callers, "POST", path, Some(&job(4))).unwrap();
    world.kv.fail(Faults {
        busy: true,
        ..Faults::default()
    });
    until("no box is ready", || !boxes.iter().any(Process::is_ready));
    world.kv.fail(Faults::default());
    for process in &boxes {
        until("the box is ready again", || process.is_ready());
        until("the job is completed", || {
            state(process.callers, path) == "completed"
        });
    }
}

/// The threads that a box may have besides while it talks to workers, however many.
const TALK_THREADS: usize = 16;
const MANY: usize = 200;

/// Two threads for each worker were 400 here.
#[test_case(1, 1_000; "owner")]
#[test_case(2, 1; "relay")]
fn threads_of_box_with_many_workers(boxes: usize, own: usize) {
    let world = World::new(WORK);
    let open = |number| {
        let id = format!("i-many-{number}");
        Runner::open(&world.kv, "pool", &id, 4, FOREVER, &world.seen).unwrap()
    };
    let runners: Vec<Runner> = (0..MANY).map(open).collect();
    let boxes = world.sharing_boxes(boxes, own);
    let path = "/q/00000000000000a1";
    let accepted = send(boxes[0].callers, "POST", path, Some(&job(8 * MANY as u32)));
    assert_eq!(accepted.unwrap().status, 200);
    until("every worker runs something", || {
        runners.iter().all(|runner| runner.running() > 0)
    });
    for process in boxes {
        let threads = process.threads();
        assert!(threads <= IDLE_THREADS + TALK_THREADS, "{threads}");
    }
}

#[test]
fn refusals_tell_what_is_wrong() {
    let world = World::new(WORK);
    let boxes = world.boxes(1);
    let port = boxes[0].callers;
    assert_eq!(status(port, "/other/00000000000000a1"), 404);
    assert_eq!(status(port, "/q/00000000000000a1"), 410);
    assert_eq!(status(port, "/q/short"), 400);
    until("the queue can be counted", || status(port, "/q/") == 200);
    let bad = json!({ "specification": "x", "steps": [] });
    let answer = send(port, "POST", "/q/00000000000000a1", Some(&bad)).unwrap();
    assert_eq!(answer.status, 400);
    let large = json!({ "specification": "x".repeat(300_000), "steps": [] });
    let answer = send(port, "POST", "/q/00000000000000a1", Some(&large)).unwrap();
    assert_eq!(answer.status, 413);
    world.kv.fail(Faults {
        busy: true,
        ..Faults::default()
    });
    let answer = send(port, "POST", "/q/00000000000000a2", Some(&job(1))).unwrap();
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("retry-after"), "1");
    world.kv.fail(Faults::default());
    until("the refused job is not known", || {
        status(port, "/q/00000000000000a2") == 410
    });
}

/// The write took effect and its answer was lost: the job stands, and the caller is told so.
#[test]
fn lost_write_is_settled_by_reading() {
    let world = World::new(WORK);
    let boxes = world.boxes(1);
    let port = boxes[0].callers;
    until("the cell has an owner", || world.owner().is_some());
    let path = "/q/00000000000000a1";
    world.kv.fail(Faults {
        lost: 1,
        ..Faults::default()
    });
    let first = send(port, "POST", path, Some(&job(1))).unwrap();
    assert!(
        first.status == 200 || first.status == 504,
        "{}",
        first.status
    );
    let second = send(port, "POST", path, Some(&job(1))).unwrap();
    assert_eq!(second.status, 200);
    until("the job is completed", || state(port, path) == "completed");
    assert!(lock(&world.seen).starts.values().all(|&starts| starts == 1));
}

#[test]
fn cancelled_job_stops() {
    let world = World::new(FOREVER);
    let boxes = world.boxes(2);
    let path = "/q/00000000000000a1";
    send(boxes[0].callers, "POST", path, Some(&job(4))).unwrap();
    until("its tasks run", || world.running() == 4);
    world.cancel(&boxes[1], "00000000000000a1");
    until("nothing of it runs", || world.running() == 0);
    assert_eq!(state(boxes[0].callers, path), "cancelled");
    let gone = send(boxes[0].callers, "DELETE", "/q/00000000000000a2", None).unwrap();
    assert_eq!(gone.status, 410);
}

/// A cancellation that any box took is told to the owner at once: its watch may have gone silent.
#[test_case(0; "taken by one box")]
#[test_case(1; "taken by the other")]
fn cancelled_job_stops_without_watch(taker: usize) {
    let world = World::new(FOREVER);
    let boxes = world.boxes(2);
    let path = "/q/00000000000000a1";
    send(boxes[0].callers, "POST", path, Some(&job(4))).unwrap();
    until("its tasks run", || world.running() == 4);
    world.kv.fail(Faults {
        deaf: true,
        ..Faults::default()
    });
    world.cancel(&boxes[taker], "00000000000000a1");
    until("nothing of it runs", || world.running() == 0);
}

/// What is not confirmed is told again, so nobody else than an owner that knows the job confirms.
#[test]
fn cancellation_is_confirmed_by_the_owner() {
    let world = World::new(FOREVER);
    let boxes = world.boxes(2);
    let id = "00000000000000a1";
    let path = format!("/q/{id}");
    send(boxes[0].callers, "POST", &path, Some(&job(4))).unwrap();
    until("its tasks run", || world.running() == 4);
    let index = usize::from(world.owner().unwrap() != "b0");
    let (owner, other) = (&boxes[index], &boxes[1 - index]);
    assert_eq!(other.tell_cancelled(id), Reply::Gone);
    assert_eq!(owner.tell_cancelled("00000000000000a2"), Reply::Gone);
    assert_eq!(owner.tell_cancelled(id), Reply::Cancelled);
    until("nothing of it runs", || world.running() == 0);
    assert_eq!(owner.tell_cancelled(id), Reply::Cancelled);
}

/// Once the store has failed a box, refusals are true: no write leaves until a read has come back.
#[test_case(Faults { reset: true, ..Faults::default() }; "reset")]
#[test_case(Faults { busy: true, ..Faults::default() }; "busy")]
fn refused_job_was_never_sent(faults: Faults) {
    let world = World::new(WORK);
    let boxes = world.boxes(1);
    let port = boxes[0].callers;
    until("the cell has an owner", || world.owner().is_some());
    world.kv.fail(faults);
    let submit = |id: &str| {
        let path = format!("/q/{id}");
        send(port, "POST", &path, Some(&job(1))).unwrap().status
    };
    // The first one may meet the failure itself.
    submit("00000000000000a0");
    for id in ["00000000000000a1", "00000000000000a2", "00000000000000a3"] {
        assert_eq!(submit(id), 503);
        assert!(!world.kv.was_tried(&format!("magpie/in/job/{id}")));
    }
    world.kv.fail(Faults::default());
    until("the refused job is taken", || {
        submit("00000000000000a1") == 200
    });
}

#[test]
fn configuration_follows_without_restart() {
    let world = World::new(WORK);
    let boxes = world.boxes(1);
    let port = boxes[0].callers;
    assert_eq!(status(port, "/new/"), 404);
    configure(&world.kv, 5, "/new/");
    until("the new queue is there", || status(port, "/new/") == 200);
    assert_eq!(status(port, "/q/"), 404);
    configure(&world.kv, 4, "/q/");
    world.kv.compact();
    until("the older version was seen", || world.kv.calls() > 0);
    assert_eq!(status(port, "/new/"), 200);
}

/// The owner is killed while tasks run: another box takes over and nothing runs twice.
#[test]
fn killed_owner_is_followed() {
    let world = World::new(Duration::from_secs(2));
    let mut boxes = world.boxes(2);
    until("the cell has an owner", || world.owner().is_some());
    let first = world.owner().unwrap();
    let index = if first == "b0" { 0 } else { 1 };
    let path = "/q/00000000000000a1";
    send(boxes[1 - index].callers, "POST", path, Some(&job(6))).unwrap();
    until("its tasks run", || world.running() == 6);
    let killed = boxes.remove(index);
    killed.signal("-KILL");
    until("another box owns the cell", || {
        world.owner().is_some_and(|owner| owner != first)
    });
    until("the job is completed", || {
        state(boxes[0].callers, path) == "completed"
    });
    let seen = lock(&world.seen);
    assert!(seen.doubled.is_empty());
    assert!(seen.starts.values().all(|&starts| starts == 1));
}

/// A worker crashes and starts again at its address while its former entry stays listed. What runs
/// on the new life goes on there, though another worker has room. Some 52 calls of a box take six
/// listings.
#[test]
fn restarted_worker_runs_nothing_twice() {
    let world = World::new(FOREVER);
    let boxes = world.boxes(1);
    let path = "/q/00000000000000a1";
    send(boxes[0].callers, "POST", path, Some(&job(12))).unwrap();
    until("its tasks fill all workers", || world.running() == 12);
    world.runners[0].restart("i-new");
    until("what was lost runs again", || world.running() == 12);
    let _empty = Runner::open(&world.kv, "pool", "i-other", 4, FOREVER, &world.seen).unwrap();
    let before = world.kv.calls();
    until("the workers were listed several times", || {
        world.kv.calls() > before + 52
    });
    let seen = lock(&world.seen);
    assert!(seen.doubled.is_empty(), "{:?}", seen.doubled);
    assert_eq!(seen.starts.values().sum::<u32>(), 16);
}

/// Seen beside busy processes: a test waited for an owner in vain. The port of its box's readiness had been taken by the box of
/// another test, which answered that it was ready; its own had ended without a port, and nobody started it again.
#[test]
fn box_without_port_is_not_taken_for_ready() {
    let world = World::new(WORK);
    let other = world.boxes(1).remove(0);
    let free = (free_port(), free_port());
    let mut own = Process::start_at("b1", &world.store, 70, [free.0, other.ready, free.1]);
    let ended = own.child.wait().unwrap();
    assert_eq!(ended.code(), Some(1));
    assert!(other.is_ready() && !own.is_ready());
    until("it is started again and ready", || {
        own.start_again_without_ports();
        own.is_ready()
    });
}

/// What users saw: something that must run once ran twice, and jobs stood still to the end of the day. Workers had started
/// again under the names that they had, and counted their ends anew. The owner told a life by the worker's name alone: it
/// skipped the first ends of the new life as known, had that life forget them, and started their tasks again when their runs
/// were listed no more. Evidence: of runs that began at once on one such worker the first ended unseen and the later ones
/// did not, "A worker does not list a run that it was given."; jobs that stood still waited for tasks that had ended well up
/// to nine times.
#[test_case(1, 70, false, false; "one box")]
#[test_case(1, 70, true, false; "entry behind")]
#[test_case(2, 1, false, false; "relay")]
#[test_case(2, 1, true, false; "relay and entry behind")]
#[test_case(2, 70, false, true; "killed owner")]
#[test_case(3, 1, true, true; "killed owner with relays and entry behind")]
fn worker_under_its_former_name(boxes: usize, own: usize, behind: bool, kills: bool) {
    let world = World::new(WORK);
    let mut boxes = world.sharing_boxes(boxes, own);
    until("the cell has an owner", || world.owner().is_some());
    // The former lives have ended more runs than the new ones will for a while.
    world.complete(&boxes, 1..5);
    send(
        boxes[0].callers,
        "POST",
        "/q/00000000000000aa",
        Some(&job(12)),
    )
    .unwrap();
    for (number, runner) in world.runners.iter().enumerate() {
        let id = format!("i-{number}");
        if behind {
            runner.restart_unlisted(&id);
        } else {
            runner.restart(&id);
        }
    }
    if kills {
        let owner = world.owner().unwrap();
        let index = boxes.iter().position(|own| own.name == owner).unwrap();
        boxes.remove(index).signal("-KILL");
    }
    thread::sleep(BEHIND);
    for runner in &world.runners {
        runner.list();
    }
    world.complete(&boxes, 5..9);
    until("what began before is completed", || {
        state(boxes[0].callers, "/q/00000000000000aa") == "completed"
    });
    let seen = lock(&world.seen);
    assert!(seen.doubled.is_empty(), "at once: {:?}", seen.doubled);
    let again = seen.started_after_done();
    assert!(again.is_empty(), "again: {again:?}");
}

/// The story of the incident of crashing tasks with real boxes: a task crashes each worker that starts it; the worker
/// is back 0.7 s later as another life. Before crashes were counted it was started for as long as the trial ran, also
/// where its owner was killed meanwhile, and its job never showed `failed`.
#[test_case(false, false; "one owner")]
#[test_case(false, true; "a killed owner")]
#[test_case(true, false; "lasting")]
fn crashing_task_fails_its_job(lasting: bool, kills: bool) {
    let world = World::new(WORK);
    let mut boxes = world.boxes(2);
    until("the cell has an owner", || world.owner().is_some());
    let path = "/q/00000000000000a1";
    let job = json!({
        "specification": "crash=0.1",
        "steps": [{ "count": 2, "cpu": 1000, "memMb": 10, "longRunning": lasting }],
    });
    send(boxes[0].callers, "POST", path, Some(&job)).unwrap();
    if kills {
        until("two workers have crashed", || world.crashes() >= 2);
        let owner = world.owner().unwrap();
        let index = usize::from(owner != "b0");
        boxes.remove(index).signal("-KILL");
    }
    let port = boxes[0].callers;
    until("the job has failed", || state(port, path) == "failed");
    let task = "00000000000000a1.0.0.1";
    let starts = lock(&world.seen).starts[task];
    assert!(starts <= 5, "{starts} starts");
    assert_eq!(world.crashes(), starts);
    let other = "/q/00000000000000a2";
    send(port, "POST", other, Some(&self::job(3))).unwrap();
    until("another job is completed", || {
        state(port, other) == "completed"
    });
}

/// A data hall that is shut stays shut over the death of the owner. Every box tells of it, also one that does not own the
/// cell.
#[test]
fn shut_hall_stays_shut_over_takeover() {
    let world = World::new(WORK);
    let mut boxes = world.boxes(2);
    until("the cell has an owner", || world.owner().is_some());
    let closure = json!({ "by": "night shift" });
    world.kv.put("op/evacuate/h1", &encode(&closure));
    let told = |port| {
        let answer = send(port, "GET", "/halls", None)?;
        String::from_utf8(answer.body).ok()
    };
    let is_told = |port| {
        told(port).is_some_and(|text| text.starts_with("h1 ") && text.ends_with(" night shift\n"))
    };
    for one in &boxes {
        until("the hall is told as shut", || is_told(one.inside));
    }
    let path = "/q/00000000000000a1";
    let answer = send(boxes[0].callers, "POST", path, Some(&job(3))).unwrap();
    assert_eq!(answer.status, 200);
    let first = world.owner().unwrap();
    let killed = boxes.remove(usize::from(first != "b0"));
    killed.signal("-KILL");
    until("another box owns the cell", || {
        world.owner().is_some_and(|owner| owner != first)
    });
    let port = boxes[0].inside;
    until("it tells the hall as shut", || is_told(port));
    let before = world.kv.calls();
    until("passes have gone by", || world.kv.calls() > before + 20);
    assert!(lock(&world.seen).starts.is_empty());
    world.kv.remove("op/evacuate/h1");
    let port = boxes[0].callers;
    until("the job is completed", || state(port, path) == "completed");
}

/// A box that is asked to stop hands the cell over, answers on, and ends with 0.
#[test]
fn stopped_owner_hands_over() {
    let world = World::new(WORK);
    let mut boxes = world.boxes(2);
    until("the cell has an owner", || world.owner().is_some());
    let first = world.owner().unwrap();
    let index = if first == "b0" { 0 } else { 1 };
    boxes[index].signal("-HUP");
    boxes[index].signal("-TERM");
    until("another box owns the cell", || {
        world.owner().is_some_and(|owner| owner != first)
    });
    let ended = boxes[index].child.wait().unwrap();
    assert_eq!(ended.code(), Some(0));
    let path = "/q/00000000000000a1";
    let port = boxes[1 - index].callers;
    send(port, "POST", path, Some(&job(2))).unwrap();
    until("the job is completed", || state(port, path) == "completed");
}

/// All boxes are gone and start anew: what was accepted is known and ends.
#[test]
fn restart_of_all_keeps_jobs() {
    let world = World::new(WORK);
    let path = "/q/00000000000000a1";
    {
        let boxes = world.boxes(2);
        world.runners.iter().for_each(|runner| {
            runner.fail(standin::runner::Faults {
                unwell: true,
                ..standin::runner::Faults::default()
            });
        });
        let answer = send(boxes[0].callers, "POST", path, Some(&job(3))).unwrap();
        assert_eq!(answer.status, 200);
    }
    for runner in &world.runners {
        runner.fail(standin::runner::Faults::default());
    }
    let boxes = world.boxes(2);
    until("the job is completed", || {
        state(boxes[1].callers, path) == "completed"
    });
    assert!(lock(&world.seen).doubled.is_empty());
}

/// Most workers are talked to by a relay; when it is killed, the owner goes on without it.
#[test]
fn killed_relay_is_replaced() {
    let world = World::new(WORK);
    let mut boxes = world.sharing_boxes(2, 1);
    until("the cell has an owner", || world.owner().is_some());
    let owner = world.owner().unwrap();
    let index = if owner == "b0" { 0 } else { 1 };
    let port = boxes[index].callers;
    let first = "/q/00000000000000a1";
    send(port, "POST", first, Some(&job(10))).unwrap();
    until("the job is completed", || state(port, first) == "completed");
    let relay = boxes.remove(1 - index);
    relay.signal("-KILL");
    let second = "/q/00000000000000a2";
    send(port, "POST", second, Some(&job(10))).unwrap();
    until("the next job is completed", || {
        state(port, second) == "completed"
    });
    let seen = lock(&world.seen);
    assert!(seen.doubled.is_empty());
    assert_eq!(seen.starts.len(), 22);
}
