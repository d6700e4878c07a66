//! The end of a run: without faults, all accepted jobs must end and every box must know their
//! states.

use {
    crate::{callers::send_request, check, closing, history::RequestKind, waves, world::World},
    kernel::{Client, sync::lock},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time for the jobs to end.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the jobs to end on a machine of unknown speed; longer means a hang.
const UNTIMED_TIMEOUT: Duration = Duration::from_secs(240);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time for the jobs to end.
pub fn timeout(world: &World) -> Duration {
    if world.timed {
        TIMEOUT
    } else {
        UNTIMED_TIMEOUT
    }
}

/// Waits until all boxes are ready. Returns false when this takes too long.
pub fn wait_ready(world: &World) -> bool {
    let started = Instant::now();
    let all_ready = || {
        let mut boxes = world.boxes.iter();
        boxes.all(|process| lock(process).is_ready && lock(process).is_expected())
    };
    while !all_ready() {
        if started.elapsed() > timeout(world) {
            world.report_breach("end", "boxes", "not all are ready again".to_owned());
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}

/// Waits until all jobs have ended, and checks that each box reports the end of each accepted job.
/// With `calm_seed` more jobs are submitted once the long-running ones are cancelled.
pub fn run(world: &World, calm_seed: Option<u64>) {
    let client = Client::new(None);
    if !wait_ready(world) {
        return;
    }
    let are_waves_over = waves::settle::wait_completed(world);
    wait_long_running(world);
    let mut started = Instant::now();
    let is_late = |started: Instant| started.elapsed() > timeout(world);
    for (id, is_accepted) in long_running(world) {
        while !is_late(started) {
            let status = send_request(world, &client, 0, &id, RequestKind::Cancel, None);
            if status == 200 || status == 410 && !is_accepted {
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
    if let Some(seed) = calm_seed {
        closing::run_calm(world, seed);
        started = Instant::now();
    }
    for id in accepted(world) {
        for number in 0..world.boxes.len() {
            while !has_ended(world, &client, number, &id) {
                if is_late(started) {
                    let last = lock(&world.jobs)[&id].exchanges.last().cloned();
                    let text = format!("not ended at the end, as b{number} shows: {last:?}");
                    world.report_breach("unfinished", &id, text);
                    break;
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
    }
    if are_waves_over && world.waves.is_used() {
        waves::settle::check_open(world);
    }
}

/// Waits until each task of each long-running job runs; reports a breach where one does not start
/// although cores are free.
fn wait_long_running(world: &World) {
    let started = Instant::now();
    loop {
        let jobs = lock(&world.jobs).clone();
        let Some(breach) = check::idle_long_running(&jobs, &world.runs(), world.free_cores())
        else {
            return;
        };
        if started.elapsed() > timeout(world) {
            world.report_breach(breach.rule, &breach.of, breach.text);
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Long-running jobs without a confirmed cancellation, and whether each was accepted.
fn long_running(world: &World) -> Vec<(String, bool)> {
    let jobs = lock(&world.jobs);
    let found = jobs
        .values()
        .filter(|job| job.long_running && job.cancelled().is_none());
    found
        .map(|job| (job.id.clone(), job.accepted().is_some()))
        .collect()
}

fn accepted(world: &World) -> Vec<String> {
    let jobs = lock(&world.jobs);
    let found = jobs.values().filter(|job| job.accepted().is_some());
    found.map(|job| job.id.clone()).collect()
}

fn has_ended(world: &World, client: &Client, number: usize, id: &str) -> bool {
    send_request(world, client, number, id, RequestKind::State, None);
    let jobs = lock(&world.jobs);
    let last = jobs.get(id).and_then(|job| job.exchanges.last());
    last.is_some_and(|exchange| check::FINAL_STATES.contains(&exchange.state.as_str()))
}
