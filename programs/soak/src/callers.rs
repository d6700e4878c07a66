//! Callers: they hand jobs in, ask for states, cancel, and ask for queues.

use {
    crate::{
        history::{Asked, Job, NEVER, Said},
        versions::{ALWAYS, KEPT},
        world::{World, send},
    },
    fastrand::Rng,
    kernel::{Client, sync::lock, task::Signal},
    serde_json::{Value, json},
    std::{thread, time::Duration},
};

/// The pause between two things that a caller does, in milliseconds.
const PAUSE: std::ops::Range<u64> = 30..200;
/// The pause before another try.
const AGAIN: Duration = Duration::from_millis(250);
/// The time of the longest tasks that end, in milliseconds: some outlast a lease of their worker (4.5 s).
const LONG: std::ops::Range<u64> = 2_000..8_000;
/// One job in so many of one caller crashes its workers.
const ODD_ONE_IN: u64 = 12;
/// Lasting jobs that a caller keeps.
const LASTING: usize = 2;
/// The time of a task that lasts, in milliseconds: longer than any run.
const LASTS: u64 = 3_600_000;

/// One caller, with connections that it keeps.
pub struct Caller<'a> {
    world: &'a World,
    client: Client,
    rng: Rng,
    /// Decides on jobs that crash workers; what the other does stays as it was when a seed was kept.
    odd: Rng,
    number: u64,
    count: u64,
    /// The jobs that it handed in, the last ones last.
    own: Vec<String>,
    lasting: Vec<String>,
}

impl<'a> Caller<'a> {
    /// A caller; the seed decides what it does.
    pub fn new(world: &'a World, seed: u64, number: u64) -> Self {
        Caller {
            world,
            client: Client::new(None),
            rng: Rng::with_seed(seed ^ (number + 1) << 40),
            odd: Rng::with_seed(seed ^ (number + 1) << 20),
            number,
            count: 0,
            own: Vec::new(),
            lasting: Vec::new(),
        }
    }

    /// Does what callers do until the signal says stop.
    pub fn run(&mut self, until: &Signal) {
        while !until.is_stopped() {
            match self.rng.u64(0..100) {
                0..35 => self.hand_in(until),
                35..60 => self.look(),
                60..72 => self.cancel(until),
                _ => self.ask_queue(),
            }
            thread::sleep(Duration::from_millis(self.rng.u64(PAUSE)));
        }
    }

    /// A box whose process is there; any, where none is.
    fn target(&mut self) -> usize {
        let there = |number: &usize| lock(&self.world.boxes[*number]).is_there();
        let all: Vec<usize> = (0..self.world.boxes.len()).filter(there).collect();
        let any = self.rng.usize(0..self.world.boxes.len());
        self.rng.choice(all).unwrap_or(any)
    }

    /// Hands a job in. Without an answer, or an unsure one, it is sent again until the answer is sure;
    /// when it is refused, some callers give up.
    fn hand_in(&mut self, until: &Signal) {
        let (job, body) = self.draw_any();
        let id = job.id.clone();
        let gives_up = self.rng.bool();
        lock(&self.world.jobs).insert(id.clone(), job);
        loop {
            let to = self.target();
            let status = ask(
                self.world,
                &self.client,
                to,
                &id,
                Asked::Submit,
                Some(&body),
            );
            let is_refused = matches!(status, 429 | 503);
            if status == 200 || is_refused && gives_up || until.is_stopped() {
                break;
            }
            thread::sleep(AGAIN);
        }
        self.own.push(id);
    }

    /// Draws a job, now and then one with a task that crashes its workers.
    fn draw_any(&mut self) -> (Job, Value) {
        let (mut job, mut body) = self.draw();
        let is_odd = self.odd.u64(0..ODD_ONE_IN) == 0 && self.number == 0;
        if is_odd && !job.lasting {
            let step = self.odd.usize(0..job.steps.len());
            let index = self.odd.u32(0..job.steps[step]);
            body["specification"] = format!("crash={step}.{index}").into();
            job.crashing = Some((step, index));
        }
        (job, body)
    }

    /// Draws a job: quick tasks, longer ones step by step, or lasting ones.
    fn draw(&mut self) -> (Job, Value) {
        self.count += 1;
        let id = format!("{:08x}{:08x}", self.number + 1, self.count);
        let lasting = self.lasting.len() < LASTING && self.rng.u64(0..12) == 0;
        let (steps, millis) = match self.rng.u64(0..12) {
            _ if lasting => (vec![self.rng.u32(1..3)], LASTS),
            0 => (vec![self.rng.u32(1..3)], self.rng.u64(LONG)),
            1..5 => (
                vec![self.rng.u32(1..5), self.rng.u32(1..4), 1],
                self.rng.u64(200..1_200),
            ),
            _ => (vec![self.rng.u32(1..4)], self.rng.u64(10..400)),
        };
        if lasting {
            self.lasting.push(id.clone());
        }
        let mut told = Vec::new();
        for (place, count) in steps.iter().enumerate() {
            let after: Vec<usize> = place.checked_sub(1).into_iter().collect();
            told.push(json!({
                "count": count, "cpu": 1000, "memMb": 10, "estimatedMs": millis,
                "after": after, "longRunning": lasting,
            }));
        }
        let body = json!({ "specification": format!("ms={millis}"), "steps": told });
        let job = Job {
            id,
            steps,
            lasting,
            crashing: None,
            said: Vec::new(),
        };
        (job, body)
    }

    /// Asks for the state of one of its last jobs.
    fn look(&mut self) {
        let last = self.own.len().saturating_sub(12);
        let Some(id) = self.rng.choice(&self.own[last..]).cloned() else {
            return;
        };
        let to = self.target();
        ask(self.world, &self.client, to, &id, Asked::State, None);
    }

    /// Cancels one of its last jobs, or a lasting one.
    fn cancel(&mut self, until: &Signal) {
        let last = self.own.len().saturating_sub(4);
        let lasting = self.rng.bool().then(|| self.lasting.pop()).flatten();
        let any = self.rng.choice(&self.own[last..]).cloned();
        let Some(id) = lasting.or(any) else {
            return;
        };
        self.lasting.retain(|own| *own != id);
        loop {
            let to = self.target();
            let status = ask(self.world, &self.client, to, &id, Asked::Cancel, None);
            if matches!(status, 200 | 410) || until.is_stopped() {
                return;
            }
            thread::sleep(AGAIN);
        }
    }

    /// Asks a box for a queue that some version near the latest one has.
    fn ask_queue(&mut self) {
        let latest = self.world.latest();
        let queue = (latest + 1).saturating_sub(self.rng.u64(0..KEPT + 3));
        let to = self.target();
        self.world.ask_queue(&self.client, to, queue.max(1));
    }
}

/// Makes a request about a job and notes all of it. Returns the status; 0 without an answer.
pub fn ask(
    world: &World,
    client: &Client,
    to: usize,
    id: &str,
    asked: Asked,
    body: Option<&Value>,
) -> u16 {
    let port = lock(&world.boxes[to]).callers;
    let mut said = Said {
        asked,
        to,
        sent: world.now(),
        heard: NEVER,
        status: 0,
        state: String::new(),
        calm: false,
    };
    let place = note(world, id, said.clone());
    let method = match asked {
        Asked::Submit => "POST",
        Asked::Cancel => "DELETE",
        Asked::State => "GET",
    };
    let answer = send(client, port, method, &format!("{ALWAYS}{id}"), body);
    said.heard = world.now();
    said.calm = world.is_calm(to, said.sent, said.heard);
    if let Some(answer) = answer {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        said.status = answer.status;
        said.state = body["state"].as_str().unwrap_or_default().to_owned();
    }
    let status = said.status;
    if let Some(job) = lock(&world.jobs).get_mut(id) {
        job.said[place] = said;
    }
    status
}

/// Notes a request that is on its way. Returns its place.
fn note(world: &World, id: &str, said: Said) -> usize {
    let mut jobs = lock(&world.jobs);
    let Some(job) = jobs.get_mut(id) else {
        return 0;
    };
    job.said.push(said);
    job.said.len() - 1
}
