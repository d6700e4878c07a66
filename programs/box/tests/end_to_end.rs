//! End-to-end tests of boxes in separate processes, against simulated platform services in the test
//! process.
//!
//! The tests do not depend on timing: each step waits for its condition, with a long time-out.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

#[path = "end_to_end/later_fence.rs"]
mod later_fence;
#[path = "end_to_end/power_loss.rs"]
mod power_loss;
#[path = "end_to_end/silent_watch.rs"]
mod silent_watch;

use {
    job::Id,
    kernel::{Client, HttpResponse, client::Call, sync::lock},
    node::{
        Reply,
        message::{PeerRequest, PeerResponse},
    },
    serde_json::{Value, json},
    standin::{
        Kv, Runner,
        kv::{Faults, decode, encode},
        runner::RunLog,
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

/// Time-out of every wait, long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Run time of a task.
const WORK: Duration = Duration::from_millis(50);
/// Delay after which a restarted worker updates its entry in the store.
const ENTRY_DELAY: Duration = Duration::from_millis(600);

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

/// Waits until `condition` holds; panics with `description` after [`WAIT_TIMEOUT`].
fn until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting: {description}"
        );
        thread::sleep(CHECK_INTERVAL);
    }
}

/// A box in its own process.
struct Process {
    name: String,
    store: String,
    own_workers: usize,
    child: Child,
    callers: u16,
    ready: u16,
    inside: u16,
    /// True once the box has logged that all its ports are open.
    is_open: Arc<AtomicBool>,
}

/// Log message of a box whose ports are all open.
const OPEN_MESSAGE: &str = "\"The box runs.\"";

/// Reads the output of a box until it ends. The returned flag is set once its ports are open.
fn watch_output(child: &mut Child) -> Arc<AtomicBool> {
    let is_open = Arc::new(AtomicBool::new(false));
    let (flag, out) = (is_open.clone(), child.stdout.take().unwrap());
    thread::spawn(move || {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            flag.fetch_or(line.contains(OPEN_MESSAGE), Ordering::AcqRel);
        }
    });
    is_open
}

impl Process {
    fn start(name: &str, store: &str, own_workers: usize) -> Self {
        let ports = [free_port(), free_port(), free_port()];
        Process::start_at(name, store, own_workers, ports)
    }

    /// Starts a box with the given ports for callers, readiness probes and other boxes.
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
        let is_open = watch_output(&mut child);
        Process {
            name: name.to_owned(),
            store: store.to_owned(),
            own_workers,
            child,
            callers,
            ready,
            inside,
            is_open,
        }
    }

    /// Restarts the box with other ports if it has exited with status 1: another test may have
    /// bound one of its ports since they were found free.
    fn restart_if_exited(&mut self) {
        let Some(ended) = self.child.try_wait().unwrap() else {
            return;
        };
        assert_eq!(ended.code(), Some(1), "a box exited before it was ready");
        *self = Process::start(&self.name, &self.store, self.own_workers);
    }

    /// Returns true once this box reports itself ready. A response on its port is not enough, since
    /// another box may have bound that port.
    fn is_ready(&self) -> bool {
        self.is_open.load(Ordering::Acquire)
            && send(self.ready, "GET", "/readiness", None)
                .is_some_and(|response| response.status == 200)
    }

    /// Notifies the box of a cancellation, as another box would.
    fn notify_cancelled(&self, id: &str) -> Reply {
        let url = format!("http://127.0.0.1:{}/peer", self.inside);
        let ask = PeerRequest::Cancelled(Id::new(id).unwrap());
        match Client::new(None).post(&url, &ask, WAIT_TIMEOUT).unwrap() {
            PeerResponse::Reply(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    /// Returns the current number of threads.
    fn threads(&self) -> usize {
        let tasks = format!("/proc/{}/task", self.child.id());
        std::fs::read_dir(tasks).unwrap().count()
    }

    /// Returns the number of its probes of the store, and of its other calls to the store.
    fn store_calls(&self) -> (u64, u64) {
        let response = send(self.inside, "GET", "/metrics", None).unwrap();
        let text = String::from_utf8(response.body).unwrap();
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

fn send(port: u16, method: &str, path: &str, body: Option<&Value>) -> Option<HttpResponse> {
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
    Client::new(None).send(&call).ok()
}

struct Cluster {
    kv: Kv,
    store: String,
    seen: Arc<Mutex<RunLog>>,
    runners: Vec<Runner>,
}

impl Cluster {
    fn new(work: Duration) -> Self {
        Cluster::with_workers(3, work)
    }

    /// Opens workers of four cores each, and the store with the configuration.
    fn with_workers(count: usize, work: Duration) -> Self {
        let kv = Kv::default();
        let url = kv.open(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let seen = Arc::new(Mutex::new(RunLog::default()));
        let mut runners = Vec::new();
        for number in 0..count {
            let id = format!("i-{number}");
            runners.push(Runner::open(&kv, "pool", &id, 4, work, &seen).unwrap());
        }
        configure(&kv, 1, "/q/");
        Cluster {
            kv,
            store: url.trim_start_matches("http://").to_owned(),
            seen,
            runners,
        }
    }

    fn boxes(&self, count: usize) -> Vec<Process> {
        self.boxes_with_relays(count, 70)
    }

    /// Starts boxes whose owner calls at most `own_workers` workers itself, and waits until all are
    /// ready.
    fn boxes_with_relays(&self, count: usize, own_workers: usize) -> Vec<Process> {
        let names = (0..count).map(|number| format!("b{number}"));
        let mut boxes: Vec<Process> = names
            .map(|name| Process::start(&name, &self.store, own_workers))
            .collect();
        until("all boxes are ready", || {
            for process in &mut boxes {
                process.restart_if_exited();
            }
            boxes.iter().all(Process::is_ready)
        });
        boxes
    }

    /// Cancels a job as callers do: they retry after a rejection, which must guarantee that nothing
    /// was written, and after a response of unknown outcome. A box gives either response if the
    /// store does not respond in time, which the simulated store may not do on an overloaded
    /// machine.
    fn cancel(&self, process: &Process, id: &str) {
        let path = format!("/q/{id}");
        let mut is_outcome_unknown = false;
        until("the cancellation is accepted", || {
            match send(process.callers, "DELETE", &path, None).unwrap().status {
                200 => return true,
                503 => {
                    let was_write_attempted = self
                        .kv
                        .was_write_attempted(&format!("magpie/in/cancel/{id}"));
                    assert!(
                        is_outcome_unknown || !was_write_attempted,
                        "a rejected cancellation was written"
                    );
                }
                504 => is_outcome_unknown = true,
                other => panic!("unexpected status of a cancellation: {other}"),
            }
            false
        });
    }

    /// Submits jobs with ids from a range and waits until they are completed.
    fn run_jobs(&self, boxes: &[Process], jobs: Range<u32>) {
        let port = boxes[0].callers;
        let paths: Vec<String> = jobs.map(|number| format!("/q/{number:016x}")).collect();
        for path in &paths {
            until("a job is accepted", || {
                let response = send(port, "POST", path, Some(&job(12)));
                response.is_some_and(|response| response.status == 200)
            });
        }
        for path in &paths {
            until("a job is completed", || state(port, path) == "completed");
        }
    }

    /// Returns a box that does not own the cell.
    fn idle<'a>(&self, boxes: &'a [Process]) -> &'a Process {
        let owner = self.owner();
        let mut others = boxes.iter();
        others
            .find(|process| Some(&process.name) != owner.as_ref())
            .unwrap()
    }

    /// Returns the current revision of the store.
    fn revision(&self) -> u64 {
        let port = self.store.rsplit(':').next().unwrap().parse().unwrap();
        let response = send(port, "GET", "/kv-key?privateKey=none", None).unwrap();
        let body: Value = serde_json::from_slice(&response.body).unwrap();
        body["at"].as_u64().unwrap()
    }

    /// Returns the number of running tasks on all workers.
    fn running(&self) -> usize {
        self.runners.iter().map(Runner::running).sum()
    }

    /// Returns how many times workers have crashed because of a task.
    fn crashes(&self) -> u32 {
        self.runners.iter().map(Runner::crashes).sum()
    }

    /// Returns the name of the box that owns the cell, according to the store.
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
    send(port, "GET", path, None).map_or(0, |response| response.status)
}

fn state(port: u16, path: &str) -> String {
    let body = send(port, "GET", path, None).map_or(Vec::new(), |response| response.body);
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    body["state"].as_str().unwrap_or_default().to_owned()
}

#[test]
fn job_completes_through_any_box() {
    let cluster = Cluster::new(WORK);
    let boxes = cluster.boxes(2);
    let path = "/q/00000000000000a1";
    for process in &boxes {
        let response = send(process.callers, "POST", path, Some(&job(4))).unwrap();
        assert_eq!(response.status, 200);
    }
    for process in &boxes {
        until("the job is completed", || {
            state(process.callers, path) == "completed"
        });
    }
    let seen = lock(&cluster.seen);
    assert_eq!(seen.starts.len(), 5);
    assert!(seen.starts.values().all(|&starts| starts == 1));
    assert!(seen.ran_twice.is_empty());
}

/// Maximum number of threads of a box that neither owns the cell nor relays.
const IDLE_THREADS: usize = 12;

/// A host may allow few threads for many boxes.
#[test]
fn idle_box_has_few_threads() {
    let cluster = Cluster::new(WORK);
    let boxes = cluster.boxes(2);
    until("the cell has an owner", || cluster.owner().is_some());
    let idle = cluster.idle(&boxes);
    let mut clients = Vec::new();
    for _ in 0..40 {
        let address = ("127.0.0.1", idle.callers);
        clients.push(std::net::TcpStream::connect(address).unwrap());
    }
    until("the threads that served callers have ended", || {
        idle.threads() <= IDLE_THREADS
    });
}

/// Guards against idle boxes that read and watch the configuration and the owner's key: with 12
/// calls in 5 s each, 587 of them made nine tenths of all calls to the store. A probe costs a tenth
/// of a call.
#[test]
fn idle_box_only_probes_the_store() {
    let cluster = Cluster::new(WORK);
    let boxes = cluster.boxes(2);
    until("the cell has an owner", || cluster.owner().is_some());
    let idle = cluster.idle(&boxes);
    let mut since = idle.store_calls();
    until("three probes occur without another call", || {
        let now = idle.store_calls();
        if now.1 != since.1 {
            since = now;
        }
        now.0 >= since.0 + 3
    });
}

#[test]
fn boxes_recover_after_store_outage() {
    let cluster = Cluster::new(WORK);
    let boxes = cluster.boxes(2);
    let path = "/q/00000000000000a1";
    send(boxes[0].callers, "POST", path, Some(&job(4))).unwrap();
    cluster.kv.set_faults(Faults {
        busy: true,
        ..Faults::default()
    });
    until("no box is ready", || !boxes.iter().any(Process::is_ready));
    cluster.kv.set_faults(Faults::default());
    for process in &boxes {
        until("the box is ready again", || process.is_ready());
        until("the job is completed", || {
            state(process.callers, path) == "completed"
        });
    }
}

/// Maximum number of additional threads of a box that calls workers, regardless of their number.
const WORKER_THREADS: usize = 16;
const MANY: usize = 200;

/// Guards against threads per worker: two for each worker would be 400 here.
#[test_case(1, 1_000; "owner")]
#[test_case(2, 1; "relay")]
fn box_with_many_workers_has_few_threads(boxes: usize, own_workers: usize) {
    let cluster = Cluster::new(WORK);
    let open = |number| {
        let id = format!("i-many-{number}");
        Runner::open(&cluster.kv, "pool", &id, 4, WAIT_TIMEOUT, &cluster.seen).unwrap()
    };
    let runners: Vec<Runner> = (0..MANY).map(open).collect();
    let boxes = cluster.boxes_with_relays(boxes, own_workers);
    let path = "/q/00000000000000a1";
    let accepted = send(boxes[0].callers, "POST", path, Some(&job(8 * MANY as u32)));
    assert_eq!(accepted.unwrap().status, 200);
    until("every worker runs a task", || {
        runners.iter().all(|runner| runner.running() > 0)
    });
    for process in boxes {
        let threads = process.threads();
        assert!(threads <= IDLE_THREADS + WORKER_THREADS, "{threads}");
    }
}

#[test]
fn invalid_requests_get_error_statuses() {
    let cluster = Cluster::new(WORK);
    let boxes = cluster.boxes(1);
    let port = boxes[0].callers;
    assert_eq!(status(port, "/other/00000000000000a1"), 404);
    assert_eq!(status(port, "/q/00000000000000a1"), 410);
    assert_eq!(status(port, "/q/short"), 400);
    until("the queue responds", || status(port, "/q/") == 200);
    let bad = json!({ "specification": "x", "steps": [] });
    let response = send(port, "POST", "/q/00000000000000a1", Some(&bad)).unwrap();
    assert_eq!(response.status, 400);
    let large = json!({ "specification": "x".repeat(300_000), "steps": [] });
    let response = send(port, "POST", "/q/00000000000000a1", Some(&large)).unwrap();
    assert_eq!(response.status, 413);
    cluster.kv.set_faults(Faults {
        busy: true,
        ..Faults::default()
    });
    let response = send(port, "POST", "/q/00000000000000a2", Some(&job(1))).unwrap();
    assert_eq!(response.status, 503);
    assert_eq!(response.header("retry-after"), "1");
    cluster.kv.set_faults(Faults::default());
    until("the rejected job is unknown", || {
        status(port, "/q/00000000000000a2") == 410
    });
}

/// A submission whose write took effect but whose response from the store was lost is accepted, at
/// the latest when the caller retries it.
#[test]
fn lost_write_response_is_resolved_by_reading() {
    let cluster = Cluster::new(WORK);
    let boxes = cluster.boxes(1);
    let port = boxes[0].callers;
    until("the cell has an owner", || cluster.owner().is_some());
    let path = "/q/00000000000000a1";
    cluster.kv.set_faults(Faults {
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
    assert!(
        lock(&cluster.seen)
            .starts
            .values()
            .all(|&starts| starts == 1)
    );
}

#[test]
fn cancelled_job_is_stopped() {
    let cluster = Cluster::new(WAIT_TIMEOUT);
    let boxes = cluster.boxes(2);
    let path = "/q/00000000000000a1";
    send(boxes[0].callers, "POST", path, Some(&job(4))).unwrap();
    until("its tasks run", || cluster.running() == 4);
    cluster.cancel(&boxes[1], "00000000000000a1");
    until("its tasks have stopped", || cluster.running() == 0);
    assert_eq!(state(boxes[0].callers, path), "cancelled");
    let gone = send(boxes[0].callers, "DELETE", "/q/00000000000000a2", None).unwrap();
    assert_eq!(gone.status, 410);
}

/// A box that accepts a cancellation notifies the owner at once, since the owner's watch may
/// deliver no events.
#[test_case(0; "accepted by one box")]
#[test_case(1; "accepted by the other box")]
fn cancelled_job_is_stopped_without_watch(box_index: usize) {
    let cluster = Cluster::new(WAIT_TIMEOUT);
    let boxes = cluster.boxes(2);
    let path = "/q/00000000000000a1";
    send(boxes[0].callers, "POST", path, Some(&job(4))).unwrap();
    until("its tasks run", || cluster.running() == 4);
    cluster.kv.set_faults(Faults {
        watches_silent: true,
        ..Faults::default()
    });
    cluster.cancel(&boxes[box_index], "00000000000000a1");
    until("its tasks have stopped", || cluster.running() == 0);
}

/// Unconfirmed cancellations are sent again, so only an owner that knows the job may confirm one.
#[test]
fn cancellation_is_confirmed_only_by_owner() {
    let cluster = Cluster::new(WAIT_TIMEOUT);
    let boxes = cluster.boxes(2);
    let id = "00000000000000a1";
    let path = format!("/q/{id}");
    send(boxes[0].callers, "POST", &path, Some(&job(4))).unwrap();
    until("its tasks run", || cluster.running() == 4);
    let index = usize::from(cluster.owner().unwrap() != "b0");
    let (owner, other) = (&boxes[index], &boxes[1 - index]);
    assert_eq!(other.notify_cancelled(id), Reply::Gone);
    assert_eq!(owner.notify_cancelled("00000000000000a2"), Reply::Gone);
    assert_eq!(owner.notify_cancelled(id), Reply::Cancelled);
    until("its tasks have stopped", || cluster.running() == 0);
    assert_eq!(owner.notify_cancelled(id), Reply::Cancelled);
}

/// After a failed call of the store a box rejects submissions without sending a write, until a read
/// has succeeded.
#[test_case(Faults { reset: true, ..Faults::default() }; "reset")]
#[test_case(Faults { busy: true, ..Faults::default() }; "busy")]
fn rejected_job_is_not_written(faults: Faults) {
    let cluster = Cluster::new(WORK);
    let boxes = cluster.boxes(1);
    let port = boxes[0].callers;
    until("the cell has an owner", || cluster.owner().is_some());
    cluster.kv.set_faults(faults);
    let submit = |id: &str| {
        let path = format!("/q/{id}");
        send(port, "POST", &path, Some(&job(1))).unwrap().status
    };
    // The write of the first submission may itself fail.
    submit("00000000000000a0");
    for id in ["00000000000000a1", "00000000000000a2", "00000000000000a3"] {
        assert_eq!(submit(id), 503);
        assert!(
            !cluster
                .kv
                .was_write_attempted(&format!("magpie/in/job/{id}"))
        );
    }
    cluster.kv.set_faults(Faults::default());
    until("the rejected job is accepted", || {
        submit("00000000000000a1") == 200
    });
}

#[test]
fn configuration_changes_without_restart() {
    let cluster = Cluster::new(WORK);
    let boxes = cluster.boxes(1);
    let port = boxes[0].callers;
    assert_eq!(status(port, "/new/"), 404);
    configure(&cluster.kv, 5, "/new/");
    until("the new queue is available", || {
        status(port, "/new/") == 200
    });
    assert_eq!(status(port, "/q/"), 404);
    configure(&cluster.kv, 4, "/q/");
    cluster.kv.compact();
    until("the older version was read", || cluster.kv.calls() > 0);
    assert_eq!(status(port, "/new/"), 200);
}

/// If the owner is killed while tasks run, another box takes over and no task runs twice.
#[test]
fn killed_owner_is_replaced() {
    let cluster = Cluster::new(Duration::from_secs(2));
    let mut boxes = cluster.boxes(2);
    until("the cell has an owner", || cluster.owner().is_some());
    let first = cluster.owner().unwrap();
    let index = if first == "b0" { 0 } else { 1 };
    let path = "/q/00000000000000a1";
    send(boxes[1 - index].callers, "POST", path, Some(&job(6))).unwrap();
    until("its tasks run", || cluster.running() == 6);
    let killed = boxes.remove(index);
    killed.signal("-KILL");
    until("another box owns the cell", || {
        cluster.owner().is_some_and(|owner| owner != first)
    });
    until("the job is completed", || {
        state(boxes[0].callers, path) == "completed"
    });
    let seen = lock(&cluster.seen);
    assert!(seen.ran_twice.is_empty());
    assert!(seen.starts.values().all(|&starts| starts == 1));
}

/// A worker crashes and restarts at its address while its previous entry is still listed. Tasks on
/// the new incarnation keep running there, although another worker has free capacity. A box lists
/// the workers about six times in 52 calls.
#[test]
fn restarted_worker_runs_no_task_twice() {
    let cluster = Cluster::new(WAIT_TIMEOUT);
    let boxes = cluster.boxes(1);
    let path = "/q/00000000000000a1";
    send(boxes[0].callers, "POST", path, Some(&job(12))).unwrap();
    until("its tasks fill all workers", || cluster.running() == 12);
    cluster.runners[0].restart("i-new");
    until("the lost tasks run again", || cluster.running() == 12);
    let _empty = Runner::open(
        &cluster.kv,
        "pool",
        "i-other",
        4,
        WAIT_TIMEOUT,
        &cluster.seen,
    )
    .unwrap();
    let before = cluster.kv.calls();
    until("the workers were listed several times", || {
        cluster.kv.calls() > before + 52
    });
    let seen = lock(&cluster.seen);
    assert!(seen.ran_twice.is_empty(), "{:?}", seen.ran_twice);
    assert_eq!(seen.starts.values().sum::<u32>(), 16);
}

/// Guards against a test that waits forever for an owner: the readiness port of its box had been
/// bound by the box of another test, which reported itself ready, while its own box had exited
/// without a port and was not restarted.
#[test]
fn box_without_port_is_not_considered_ready() {
    let cluster = Cluster::new(WORK);
    let other = cluster.boxes(1).remove(0);
    let free = (free_port(), free_port());
    let mut process = Process::start_at("b1", &cluster.store, 70, [free.0, other.ready, free.1]);
    let ended = process.child.wait().unwrap();
    assert_eq!(ended.code(), Some(1));
    assert!(other.is_ready() && !process.is_ready());
    until("the box is restarted and ready", || {
        process.restart_if_exited();
        process.is_ready()
    });
}

/// Guards against an owner that identifies the incarnation of a worker by its name alone. Restarted
/// workers number their ends from 1 again. Such an owner skips the first ends of the new
/// incarnation as known, acknowledges them so that the worker discards them, and starts their tasks
/// again once their runs are missing from reports: tasks that have succeeded run again, up to nine
/// times, and their jobs do not complete.
#[test_case(1, 70, false, false; "one box")]
#[test_case(1, 70, true, false; "stale entry")]
#[test_case(2, 1, false, false; "relay")]
#[test_case(2, 1, true, false; "relay and stale entry")]
#[test_case(2, 70, false, true; "killed owner")]
#[test_case(3, 1, true, true; "killed owner with relays and stale entry")]
fn worker_restarts_under_same_name(
    boxes: usize,
    own_workers: usize,
    is_entry_stale: bool,
    kills: bool,
) {
    let cluster = Cluster::new(WORK);
    let mut boxes = cluster.boxes_with_relays(boxes, own_workers);
    until("the cell has an owner", || cluster.owner().is_some());
    // The previous incarnations end more runs than the new ones do at first.
    cluster.run_jobs(&boxes, 1..5);
    send(
        boxes[0].callers,
        "POST",
        "/q/00000000000000aa",
        Some(&job(12)),
    )
    .unwrap();
    for (number, runner) in cluster.runners.iter().enumerate() {
        let id = format!("i-{number}");
        if is_entry_stale {
            runner.restart_without_entry(&id);
        } else {
            runner.restart(&id);
        }
    }
    if kills {
        let owner = cluster.owner().unwrap();
        let index = boxes
            .iter()
            .position(|process| process.name == owner)
            .unwrap();
        boxes.remove(index).signal("-KILL");
    }
    thread::sleep(ENTRY_DELAY);
    for runner in &cluster.runners {
        runner.update_entry();
    }
    cluster.run_jobs(&boxes, 5..9);
    until("the job from before the restart is completed", || {
        state(boxes[0].callers, "/q/00000000000000aa") == "completed"
    });
    let seen = lock(&cluster.seen);
    assert!(
        seen.ran_twice.is_empty(),
        "run concurrently: {:?}",
        seen.ran_twice
    );
    let again = seen.restarted_after_done();
    assert!(again.is_empty(), "run again: {again:?}");
}

/// A task crashes every worker that starts it, and the worker restarts 0.7 s later as another
/// incarnation. Guards against starting such a task again without limit, also after the owner is
/// killed, so that its job never becomes `failed`.
#[test_case(false; "one owner")]
#[test_case(true; "killed owner")]
fn crashing_task_fails_its_job(kills: bool) {
    let cluster = Cluster::new(WORK);
    let mut boxes = cluster.boxes(2);
    until("the cell has an owner", || cluster.owner().is_some());
    let path = "/q/00000000000000a1";
    send(boxes[0].callers, "POST", path, Some(&crashing_job(false))).unwrap();
    if kills {
        until("two workers have crashed", || cluster.crashes() >= 2);
        let owner = cluster.owner().unwrap();
        let index = usize::from(owner != "b0");
        boxes.remove(index).signal("-KILL");
    }
    let port = boxes[0].callers;
    until("the job has failed", || state(port, path) == "failed");
    let task = "00000000000000a1.0.0.1";
    let starts = lock(&cluster.seen).starts[task];
    assert!(starts <= 5, "{starts} starts");
    assert_eq!(cluster.crashes(), starts);
    complete_another(port);
}

/// Long-running tasks are started again however they end, so such a job does not fail; the starts of
/// the task are bounded all the same.
#[test]
fn crashing_long_running_task_is_delayed() {
    let cluster = Cluster::new(WORK);
    let boxes = cluster.boxes(2);
    until("the cell has an owner", || cluster.owner().is_some());
    let path = "/q/00000000000000a1";
    let port = boxes[0].callers;
    send(port, "POST", path, Some(&crashing_job(true))).unwrap();
    until("three workers have crashed", || cluster.crashes() >= 3);
    thread::sleep(Duration::from_secs(15));
    let starts = lock(&cluster.seen).starts["00000000000000a1.0.0.1"];
    assert!(starts <= 5, "{starts} starts");
    assert_eq!(state(port, path), "running");
    complete_another(port);
}

/// A job of which one task crashes its workers.
fn crashing_job(long_running: bool) -> Value {
    json!({
        "specification": "crash=0.1",
        "steps": [{ "count": 2, "cpu": 1000, "memMb": 10, "longRunning": long_running }],
    })
}

/// Runs another job until it is completed.
fn complete_another(port: u16) {
    let other = "/q/00000000000000a2";
    send(port, "POST", other, Some(&job(3))).unwrap();
    until("another job is completed", || {
        state(port, other) == "completed"
    });
}

/// A closed data hall stays closed when the owner is killed. Every box lists it, including boxes
/// that do not own the cell.
#[test]
fn closed_hall_stays_closed_after_takeover() {
    let cluster = Cluster::new(WORK);
    let mut boxes = cluster.boxes(2);
    until("the cell has an owner", || cluster.owner().is_some());
    let closure = json!({ "by": "night shift" });
    cluster.kv.put("op/evacuate/h1", &encode(&closure));
    let list = |port| {
        let response = send(port, "GET", "/halls", None)?;
        String::from_utf8(response.body).ok()
    };
    let is_listed = |port| {
        list(port).is_some_and(|text| text.starts_with("h1 ") && text.ends_with(" night shift\n"))
    };
    for process in &boxes {
        until("the hall is listed as closed", || is_listed(process.inside));
    }
    let path = "/q/00000000000000a1";
    let response = send(boxes[0].callers, "POST", path, Some(&job(3))).unwrap();
    assert_eq!(response.status, 200);
    let first = cluster.owner().unwrap();
    let killed = boxes.remove(usize::from(first != "b0"));
    killed.signal("-KILL");
    until("another box owns the cell", || {
        cluster.owner().is_some_and(|owner| owner != first)
    });
    let port = boxes[0].inside;
    until("the new owner lists the hall as closed", || is_listed(port));
    let before = cluster.kv.calls();
    until("several scheduling passes have run", || {
        cluster.kv.calls() > before + 20
    });
    assert!(lock(&cluster.seen).starts.is_empty());
    cluster.kv.remove("op/evacuate/h1");
    let port = boxes[0].callers;
    until("the job is completed", || state(port, path) == "completed");
}

/// An owner that receives SIGTERM hands the cell over and exits with status 0. SIGHUP does not stop
/// it.
#[test]
fn stopped_owner_hands_over() {
    let cluster = Cluster::new(WORK);
    let mut boxes = cluster.boxes(2);
    until("the cell has an owner", || cluster.owner().is_some());
    let first = cluster.owner().unwrap();
    let index = if first == "b0" { 0 } else { 1 };
    boxes[index].signal("-HUP");
    boxes[index].signal("-TERM");
    until("another box owns the cell", || {
        cluster.owner().is_some_and(|owner| owner != first)
    });
    let ended = boxes[index].child.wait().unwrap();
    assert_eq!(ended.code(), Some(0));
    let path = "/q/00000000000000a1";
    let port = boxes[1 - index].callers;
    send(port, "POST", path, Some(&job(2))).unwrap();
    until("the job is completed", || state(port, path) == "completed");
}

/// Accepted jobs are completed after all boxes have been restarted.
#[test]
fn restart_of_all_boxes_keeps_jobs() {
    let cluster = Cluster::new(WORK);
    let path = "/q/00000000000000a1";
    {
        let boxes = cluster.boxes(2);
        cluster.runners.iter().for_each(|runner| {
            runner.set_faults(standin::runner::Faults {
                refuses_starts: true,
                ..standin::runner::Faults::default()
            });
        });
        let response = send(boxes[0].callers, "POST", path, Some(&job(3))).unwrap();
        assert_eq!(response.status, 200);
    }
    for runner in &cluster.runners {
        runner.set_faults(standin::runner::Faults::default());
    }
    let boxes = cluster.boxes(2);
    until("the job is completed", || {
        state(boxes[1].callers, path) == "completed"
    });
    assert!(lock(&cluster.seen).ran_twice.is_empty());
}

/// A relay calls most workers; when it is killed, the owner continues without it.
#[test]
fn killed_relay_is_replaced() {
    let cluster = Cluster::new(WORK);
    let mut boxes = cluster.boxes_with_relays(2, 1);
    until("the cell has an owner", || cluster.owner().is_some());
    let owner = cluster.owner().unwrap();
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
    let seen = lock(&cluster.seen);
    assert!(seen.ran_twice.is_empty());
    assert_eq!(seen.starts.len(), 22);
}

/// Under pressure any box refuses a job that would end too late. Operators see what waits and what
/// was refused.
#[test]
fn late_job_is_refused_under_pressure() {
    let cluster = Cluster::new(Duration::from_secs(600));
    let boxes = cluster.boxes(2);
    let step = |count: u32, estimate: u64| {
        let steps = [json!({ "count": count, "cpu": 1_000, "estimatedMs": estimate })];
        json!({ "specification": "text", "steps": steps })
    };
    until("a job is accepted that makes others wait", || {
        let response = send(
            boxes[0].callers,
            "POST",
            "/q/00000000000000b1",
            Some(&step(60, 60_000)),
        );
        response.is_some_and(|response| response.status == 200)
    });
    let idle = cluster.idle(&boxes);
    let mut refused = None;
    let mut number = 0;
    until("a job is refused", || {
        number += 1;
        let path = format!("/q/{number:016x}");
        let response = send(idle.callers, "POST", &path, Some(&step(1, 1_000)));
        refused = response.filter(|response| response.status == 503);
        refused.is_some()
    });
    let refused = refused.unwrap();
    let seconds: u64 = refused.header("retry-after").parse().unwrap();
    assert!((1..=45).contains(&seconds), "{seconds}");
    let text = String::from_utf8(refused.body).unwrap();
    assert!(text.contains("queue r is full"), "{text}");
    let lines = || {
        let response = send(idle.inside, "GET", "/queues", None)?;
        (response.status == 200).then(|| String::from_utf8(response.body).unwrap())
    };
    let mut found = String::new();
    until("the owner tells what waits", || {
        found = lines().unwrap_or_default();
        !found.is_empty()
    });
    let parts: Vec<&str> = found.split_whitespace().collect();
    assert_eq!((parts[0], parts[1], parts[5]), ("r", "batch", "pool"));
    assert_eq!((parts.len(), parts[7]), (8, "1"), "{found}");
    let response = send(idle.inside, "GET", "/metrics", None).unwrap();
    let metrics = String::from_utf8(response.body).unwrap();
    assert!(metrics.contains("magpie_refused_total{reason=\"room\"} 1"));
    assert!(metrics.contains("magpie_admission_age_seconds"));
}
