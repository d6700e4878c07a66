//! The end of a run with maintenance waves: without faults each wave completes, and then no worker
//! stays closed.

use {
    super::{draw::Request, machine_name, rules::wave_name},
    crate::{
        callers::send_request,
        history::{Job, RequestKind},
        settle,
        world::World,
    },
    kernel::{Client, sync::lock},
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time after the last fault until the system is as before.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time for the machines that may be down together: 4 s until they are drained, 2 s of maintenance,
/// 1.5 s for the order, and two listings of 0.7 s and the contact with the new workers.
const ROUND_TIME: Duration = Duration::from_secs(10);
/// Time until each worker has run a task after the last wave, its submission included.
const OPEN_BOUND: Duration = Duration::from_secs(10);
/// Factor on these times on a machine of unknown speed; longer means a hang.
const UNTIMED_FACTOR: u32 = 4;
/// Job ids of the probes start with this.
const PROBE_PREFIX: u64 = 0x0070_726f;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The time in which a wave completes after the last fault.
pub fn bound(request: &Request) -> Duration {
    RECOVERY_TIME + ROUND_TIME * request.rounds() as u32
}

fn factor(world: &World) -> u32 {
    if world.timed { 1 } else { UNTIMED_FACTOR }
}

/// Waits until each wave is complete, and reports those that are late. Returns false if any is.
pub fn wait_completed(world: &World) -> bool {
    let waves = &world.waves;
    waves.hits.disarm();
    while waves.hits.is_any() {
        thread::sleep(POLL_INTERVAL);
    }
    if !settle::wait_ready(world) {
        return false;
    }
    let calm_since = Instant::now();
    loop {
        let open = waves.asked().into_iter();
        let open: Vec<_> = open
            .filter(|(_, asked)| asked.completed.is_none())
            .collect();
        if open.is_empty() && waves.unasked() == 0 {
            return true;
        }
        for (request, asked) in &open {
            let bound = bound(request) * factor(world);
            if calm_since.max(asked.at).elapsed() <= bound {
                continue;
            }
            let text = format!("not completed {} s after the last fault", bound.as_secs());
            world.report_breach("wave", &wave_name(request), text);
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Checks that each worker takes a task when nothing else runs.
pub fn check_open(world: &World) {
    let client = Client::new(None);
    let probes: Vec<String> = (0..world.workers.len())
        .map(|number| submit_probe(world, &client, number))
        .collect();
    let started = Instant::now();
    let bound = OPEN_BOUND * factor(world);
    for (number, id) in probes.iter().enumerate() {
        while !has_run(world, id) {
            if started.elapsed() > bound {
                let text = format!(
                    "a task that needs it does not run for {} s",
                    bound.as_secs()
                );
                world.report_breach("closed", &machine_name(number), text);
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Submits a job that only one worker can run. Returns its id.
fn submit_probe(world: &World, client: &Client, number: usize) -> String {
    let id = format!("{PROBE_PREFIX:08x}{:08x}", number + 1);
    let job = Job {
        id: id.clone(),
        steps: vec![1],
        ..Job::default()
    };
    lock(&world.jobs).insert(id.clone(), job);
    let body = json!({
        "specification": "ms=50",
        "steps": [{
            "count": 1, "cpu": 1000, "memMb": 10, "estimatedMs": 50,
            "requirements": machine_name(number),
        }],
    });
    let started = Instant::now();
    while started.elapsed() < settle::timeout(world) {
        let kind = RequestKind::Submit;
        if send_request(world, client, 0, &id, kind, Some(&body)) == 200 {
            break;
        }
        thread::sleep(POLL_INTERVAL);
    }
    id
}

fn has_run(world: &World, id: &str) -> bool {
    let runs = world.runs();
    runs.iter()
        .any(|run| run.parts().0 == id && run.outcome == "done")
}
