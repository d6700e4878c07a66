//! The end of a run: faults are over, and what was accepted ends and is known everywhere.

use {
    crate::{callers::ask, check, history::Asked, world::World},
    kernel::{Client, sync::lock},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// The time for it.
const TIME: Duration = Duration::from_secs(30);
/// The time for it on a machine of unknown speed: what lasts longer has hung.
const FOREVER: Duration = Duration::from_secs(240);
const LOOK: Duration = Duration::from_millis(100);

fn time(world: &World) -> Duration {
    if world.timed { TIME } else { FOREVER }
}

/// Waits until all boxes are ready.
pub fn wait_ready(world: &World) -> bool {
    let begun = Instant::now();
    let is_up = || {
        let mut boxes = world.boxes.iter();
        boxes.all(|own| lock(own).is_ready && lock(own).is_wanted())
    };
    while !is_up() {
        if begun.elapsed() > time(world) {
            world.break_rule("end", "boxes", "not all are ready again".to_owned());
            return false;
        }
        thread::sleep(LOOK);
    }
    true
}

/// Lets all jobs end, and checks that each box knows each accepted one.
pub fn run(world: &World) {
    let client = Client::new(None);
    if !wait_ready(world) {
        return;
    }
    wait_lasting(world);
    let begun = Instant::now();
    let is_over = || begun.elapsed() > time(world);
    for (id, is_accepted) in lasting(world) {
        while !is_over() {
            let status = ask(world, &client, 0, &id, Asked::Cancel, None);
            if status == 200 || status == 410 && !is_accepted {
                break;
            }
            thread::sleep(LOOK);
        }
    }
    for id in accepted(world) {
        for number in 0..world.boxes.len() {
            while !has_ended(world, &client, number, &id) {
                if is_over() {
                    let shown = lock(&world.jobs)[&id].said.last().cloned();
                    let text = format!("not ended at the end, as b{number} shows: {shown:?}");
                    world.break_rule("unfinished", &id, text);
                    break;
                }
                thread::sleep(LOOK);
            }
        }
    }
}

/// Waits until each task of each lasting job runs, and checks that none stands still beside room.
fn wait_lasting(world: &World) {
    let begun = Instant::now();
    loop {
        let jobs = lock(&world.jobs).clone();
        let Some(breach) = check::standing(&jobs, &world.runs(), world.free()) else {
            return;
        };
        if begun.elapsed() > time(world) {
            world.break_rule(breach.rule, &breach.of, breach.text);
            return;
        }
        thread::sleep(LOOK);
    }
}

/// Jobs that last until they are cancelled, and whether each is accepted.
fn lasting(world: &World) -> Vec<(String, bool)> {
    let jobs = lock(&world.jobs);
    let found = jobs
        .values()
        .filter(|job| job.lasting && job.cancelled().is_none());
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
    ask(world, client, number, id, Asked::State, None);
    let jobs = lock(&world.jobs);
    let last = jobs.get(id).and_then(|job| job.said.last());
    last.is_some_and(|said| check::FINAL.contains(&said.state.as_str()))
}
