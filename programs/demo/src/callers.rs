//! Open-loop load: requests at random intervals, each checked for its complete own response.

use {
    crate::context::Context,
    kernel::{Call, sync::lock},
    standin::backend,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Number of caller threads.
pub const THREADS: usize = 32;

/// Requests per second of all callers together.
const RATE: f64 = 800.0;

/// Share of requests that must run at most once.
const ONCE_SHARE: f64 = 0.2;

/// Upper bound of the body size in bytes.
const MAX_BODY: usize = 2000;

/// Deadline header of each request, in milliseconds.
const DEADLINE_MS: &str = "3000";

/// Sends requests until `end`. Latency is measured from the scheduled start, also if the previous
/// request was late.
pub fn run(context: &Context, seed: u64, end: Instant) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut number = 0_u64;
    let mut due = Instant::now();
    loop {
        let interval = -(1.0 - rng.f64()).ln() * THREADS as f64 / RATE;
        due += Duration::from_secs_f64(interval);
        if due >= end {
            return;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        number += 1;
        request(context, &mut rng, &format!("{seed:x}-{number}"), due);
    }
}

/// Picks a random gate, as the platform's load balancer would.
fn random_gate(context: &Context, rng: &mut fastrand::Rng) -> String {
    let entries = context.fleet.entries();
    entries[rng.usize(..entries.len())].gate.url()
}

fn request(context: &Context, rng: &mut fastrand::Rng, id: &str, due: Instant) {
    let once = rng.f64() < ONCE_SHARE;
    let body: Vec<u8> = (0..rng.usize(1..MAX_BODY)).map(|_| rng.u8(..)).collect();
    let url = format!("{}/validate", random_gate(context, rng));
    let mut headers = vec![
        ("x-magpie-class", context.fleet.deploy.service),
        ("x-magpie-deadline-ms", DEADLINE_MS),
        ("x-id", id),
    ];
    headers.push(if once {
        ("x-once", "1")
    } else {
        ("x-magpie-repeat", "1")
    });
    let call = Call {
        method: "POST",
        url: &url,
        headers: &headers,
        body: &body,
        timeout: Duration::from_secs(4).into(),
    };
    Context::count(&context.counts.requests);
    let response = context.fleet.client.send(&call);
    let latency = due.elapsed().as_micros() as u64;
    lock(&context.latency).saturating_record(latency);
    let Ok(response) = response else {
        return Context::count(&context.counts.may_have_run);
    };
    match response.header("x-magpie-verdict") {
        "ran" => {
            if response.status != 200
                || response.body != backend::expected_body(id, &body).as_bytes()
            {
                Context::count(&context.counts.wrong_responses);
                context.breach("a response was incomplete or belonged to another request");
            }
        }
        "not-run" => {
            Context::count(&context.counts.shed);
            if once && context.fleet.platform.auditor.has_run(id) {
                context.breach("a request with the verdict 'not-run' had run");
            }
        }
        "may-have-run" => Context::count(&context.counts.may_have_run),
        _ => context.breach("a response had no verdict"),
    }
}
