//! Callers: they submit jobs, query states and queues, and cancel jobs.

use {
    crate::{
        CALLERS,
        history::{Exchange, Job, NEVER, RequestKind},
        versions::{ALWAYS, KEPT},
        world::{World, send},
    },
    fastrand::Rng,
    kernel::{Client, sync::lock, task::Signal},
    serde_json::{Value, json},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// The pause between two actions of a caller, in milliseconds.
const PAUSE: std::ops::Range<u64> = 30..200;
/// The pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Duration of the longest tasks that end by themselves, in milliseconds: some outlast a lease of
/// their worker (4.5 s).
const LONG_TASK: std::ops::Range<u64> = 2_000..8_000;
/// One job in this many of the first caller crashes its workers.
const CRASHING_ONE_IN: u64 = 12;
/// Duration of the tasks of the last jobs, in milliseconds: some jobs go on for longer than the boxes
/// need to be ready again.
const CLOSING_TASK: std::ops::Range<u64> = 50..3_000;
/// Maximum number of long-running jobs per caller.
const MAX_LONG_RUNNING: usize = 2;
/// Duration of a long-running task, in milliseconds: longer than any run.
const LONG_RUNNING_MS: u64 = 3_600_000;

/// One caller with persistent connections.
pub struct Caller<'a> {
    world: &'a World,
    client: Client,
    rng: Rng,
    /// Draws the jobs that crash workers. A generator of its own keeps the other actions of a known
    /// seed unchanged.
    crash_rng: Rng,
    number: u64,
    count: u64,
    /// The submitted jobs, latest last.
    submitted: Vec<String>,
    long_running: Vec<String>,
}

impl<'a> Caller<'a> {
    /// Creates a caller whose actions derive from the seed.
    pub fn new(world: &'a World, seed: u64, number: u64) -> Self {
        Caller {
            world,
            client: Client::new(None),
            rng: Rng::with_seed(seed ^ (number + 1) << 40),
            crash_rng: Rng::with_seed(seed ^ (number + 1) << 20),
            number,
            count: 0,
            submitted: Vec::new(),
            long_running: Vec::new(),
        }
    }

    /// Creates a caller of the last jobs, for one of several phases.
    pub fn for_closing(world: &'a World, seed: u64, phase: u64) -> Self {
        Caller::new(world, seed, CALLERS + phase)
    }

    /// Performs random actions until the signal is set.
    pub fn run(&mut self, until: &Signal) {
        while !until.is_stopped() {
            match self.rng.u64(0..100) {
                0..35 => self.submit(until),
                35..60 => self.query_state(),
                60..72 => self.cancel(until),
                _ => self.query_queue(),
            }
            thread::sleep(Duration::from_millis(self.rng.u64(PAUSE)));
        }
    }

    /// Draws a box whose process is running, or any box if none is.
    fn target(&mut self) -> usize {
        let is_running = |number: &usize| lock(&self.world.boxes[*number]).is_running();
        let all: Vec<usize> = (0..self.world.boxes.len()).filter(is_running).collect();
        let any = self.rng.usize(0..self.world.boxes.len());
        self.rng.choice(all).unwrap_or(any)
    }

    /// Submits a job. Retries until the outcome is known or the signal is set; after a refusal,
    /// some submissions are abandoned.
    fn submit(&mut self, until: &Signal) {
        let (job, body) = self.draw_job();
        let id = job.id.clone();
        let abandons_on_refusal = self.rng.bool();
        lock(&self.world.jobs).insert(id.clone(), job);
        loop {
            let to = self.target();
            let status = send_request(
                self.world,
                &self.client,
                to,
                &id,
                RequestKind::Submit,
                Some(&body),
            );
            let is_refused = matches!(status, 429 | 503);
            if status == 200 || is_refused && abandons_on_refusal || until.is_stopped() {
                break;
            }
            thread::sleep(RETRY_PAUSE);
        }
        self.submitted.push(id);
    }

    /// Submits a job of one to three steps, until it is accepted or for `time`.
    pub fn submit_closing(&mut self, time: Duration, is_crashing: bool) {
        let steps = (0..self.rng.u64(1..4)).map(|_| self.rng.u32(1..3));
        let steps: Vec<u32> = steps.collect();
        let millis = self.rng.u64(CLOSING_TASK);
        let (mut job, mut body) = self.job(steps, millis, false);
        if is_crashing {
            self.make_crashing(&mut job, &mut body);
        }
        let id = job.id.clone();
        lock(&self.world.jobs).insert(id.clone(), job);
        let started = Instant::now();
        while started.elapsed() < time {
            let (to, kind) = (self.target(), RequestKind::Submit);
            if send_request(self.world, &self.client, to, &id, kind, Some(&body)) == 200 {
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    /// Draws a job, sometimes with a task that crashes its workers.
    fn draw_job(&mut self) -> (Job, Value) {
        let (mut job, mut body) = self.draw_ordinary();
        let is_crashing = self.crash_rng.u64(0..CRASHING_ONE_IN) == 0 && self.number == 0;
        if is_crashing && !job.long_running {
            self.make_crashing(&mut job, &mut body);
        }
        (job, body)
    }

    /// Has one task of the job crash its workers.
    fn make_crashing(&mut self, job: &mut Job, body: &mut Value) {
        let step = self.crash_rng.usize(0..job.steps.len());
        let index = self.crash_rng.u32(0..job.steps[step]);
        body["specification"] = format!("crash={step}.{index}").into();
        job.crashing = Some((step, index));
    }

    /// Draws a job with short tasks, longer tasks in dependent steps, or long-running tasks.
    fn draw_ordinary(&mut self) -> (Job, Value) {
        let long_running = self.long_running.len() < MAX_LONG_RUNNING && self.rng.u64(0..12) == 0;
        let (steps, millis) = match self.rng.u64(0..12) {
            _ if long_running => (vec![self.rng.u32(1..3)], LONG_RUNNING_MS),
            0 => (vec![self.rng.u32(1..3)], self.rng.u64(LONG_TASK)),
            1..5 => (
                vec![self.rng.u32(1..5), self.rng.u32(1..4), 1],
                self.rng.u64(200..1_200),
            ),
            _ => (vec![self.rng.u32(1..4)], self.rng.u64(10..400)),
        };
        let (job, body) = self.job(steps, millis, long_running);
        if long_running {
            self.long_running.push(job.id.clone());
        }
        (job, body)
    }

    /// The next job of this caller.
    fn job(&mut self, steps: Vec<u32>, millis: u64, long_running: bool) -> (Job, Value) {
        self.count += 1;
        let id = format!("{:08x}{:08x}", self.number + 1, self.count);
        let mut steps_json = Vec::new();
        for (index, count) in steps.iter().enumerate() {
            let after: Vec<usize> = index.checked_sub(1).into_iter().collect();
            steps_json.push(json!({
                "count": count, "cpu": 1000, "memMb": 10, "estimatedMs": millis,
                "after": after, "longRunning": long_running,
            }));
        }
        let body = json!({ "specification": format!("ms={millis}"), "steps": steps_json });
        let job = Job {
            id,
            steps,
            long_running,
            crashing: None,
            exchanges: Vec::new(),
        };
        (job, body)
    }

    /// Queries the state of a recent job.
    fn query_state(&mut self) {
        let last = self.submitted.len().saturating_sub(12);
        let Some(id) = self.rng.choice(&self.submitted[last..]).cloned() else {
            return;
        };
        let to = self.target();
        send_request(self.world, &self.client, to, &id, RequestKind::State, None);
    }

    /// Cancels a recent job or a long-running one.
    fn cancel(&mut self, until: &Signal) {
        let last = self.submitted.len().saturating_sub(4);
        let long_running = self.rng.bool().then(|| self.long_running.pop()).flatten();
        let any = self.rng.choice(&self.submitted[last..]).cloned();
        let Some(id) = long_running.or(any) else {
            return;
        };
        self.long_running.retain(|submitted| *submitted != id);
        loop {
            let to = self.target();
            let status = send_request(self.world, &self.client, to, &id, RequestKind::Cancel, None);
            if matches!(status, 200 | 410) || until.is_stopped() {
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    /// Queries a queue of a version near the latest one.
    fn query_queue(&mut self) {
        let latest = self.world.latest();
        let queue = (latest + 1).saturating_sub(self.rng.u64(0..KEPT + 3));
        let to = self.target();
        self.world.query_queue(&self.client, to, queue.max(1));
    }
}

/// Sends a request about a job and records it with its response. Returns the status; 0 without a
/// response.
pub fn send_request(
    world: &World,
    client: &Client,
    to: usize,
    id: &str,
    kind: RequestKind,
    body: Option<&Value>,
) -> u16 {
    let port = lock(&world.boxes[to]).caller_port;
    let mut exchange = Exchange {
        kind,
        to,
        sent: world.now(),
        answered: NEVER,
        status: 0,
        state: String::new(),
        fault_free: false,
    };
    let index = record_request(world, id, exchange.clone());
    let method = match kind {
        RequestKind::Submit => "POST",
        RequestKind::Cancel => "DELETE",
        RequestKind::State => "GET",
    };
    let answer = send(client, port, method, &format!("{ALWAYS}{id}"), body);
    exchange.answered = world.now();
    exchange.fault_free = world.is_fault_free(to, exchange.sent, exchange.answered);
    if let Some(answer) = answer {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        exchange.status = answer.status;
        exchange.state = body["state"].as_str().unwrap_or_default().to_owned();
    }
    let status = exchange.status;
    if let Some(job) = lock(&world.jobs).get_mut(id) {
        job.exchanges[index] = exchange;
    }
    status
}

/// Records a request that is in flight. Returns its index.
fn record_request(world: &World, id: &str, exchange: Exchange) -> usize {
    let mut jobs = lock(&world.jobs);
    let Some(job) = jobs.get_mut(id) else {
        return 0;
    };
    job.exchanges.push(exchange);
    job.exchanges.len() - 1
}
