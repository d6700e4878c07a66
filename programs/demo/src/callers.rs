//! Callers: open-loop requests with a seeded spread, each checked to be its own whole answer.

use {
    crate::world::World,
    kernel::{Call, sync::lock},
    standin::backend,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Callers' threads.
pub const THREADS: usize = 32;

/// Requests a second of all callers.
const RATE: f64 = 800.0;

/// The share of requests that must run at most once.
const ONCE: f64 = 0.2;

/// The largest body, in bytes.
const BODY: usize = 2000;

/// The deadline that callers name, in milliseconds.
const DEADLINE: &str = "3000";

/// Makes requests until the end. A request is timed from when it was meant to start, also when
/// the one before it was late.
pub fn run(world: &World, seed: u64, end: Instant) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut number = 0_u64;
    let mut due = Instant::now();
    loop {
        let gap = -(1.0 - rng.f64()).ln() * THREADS as f64 / RATE;
        due += Duration::from_secs_f64(gap);
        if due >= end {
            return;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        number += 1;
        request(world, &mut rng, &format!("{seed:x}-{number}"), due);
    }
}

/// A gate, as the platform's balancer would choose it.
fn gate(world: &World, rng: &mut fastrand::Rng) -> String {
    let entries = world.fleet.entries();
    entries[rng.usize(..entries.len())].gate.url()
}

fn request(world: &World, rng: &mut fastrand::Rng, id: &str, due: Instant) {
    let once = rng.f64() < ONCE;
    let body: Vec<u8> = (0..rng.usize(1..BODY)).map(|_| rng.u8(..)).collect();
    let url = format!("{}/validate", gate(world, rng));
    let mut headers = vec![
        ("x-magpie-class", world.fleet.deploy.service),
        ("x-magpie-deadline-ms", DEADLINE),
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
    World::count(&world.counts.requests);
    let answer = world.fleet.client.send(&call);
    let latency = due.elapsed().as_micros() as u64;
    lock(&world.latency).saturating_record(latency);
    let Ok(answer) = answer else {
        return World::count(&world.counts.doubtful);
    };
    match answer.header("x-magpie-verdict") {
        "ran" => {
            if answer.status != 200 || answer.body != backend::expected_body(id, &body).as_bytes() {
                World::count(&world.counts.wrong);
                world.breach("an answer was not the caller's own whole answer");
            }
        }
        "not-run" => {
            World::count(&world.counts.shed);
            if once && world.fleet.platform.auditor.has_run(id) {
                world.breach("a request told 'not run' had run");
            }
        }
        "may-have-run" => World::count(&world.counts.doubtful),
        _ => world.breach("an answer had no verdict"),
    }
}
