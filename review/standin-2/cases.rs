//! The cases.

use crate::world::{World, BATCH, LASTING};
use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

const BROKEN: i32 = 1;
const HELD: i32 = 0;

/// Of eight minions one is down at a time, for two seconds.
const MINIONS: usize = 8;
const DOWN: Duration = Duration::from_millis(2_000);

pub fn run(case: &str, root: &Path, folder: &Path, record: &str, trouble: bool) -> i32 {
    let world = World::start(root, folder, record, MINIONS);
    let result = match case {
        "batch-crash" => batch_crash(&world, trouble),
        "distrust" => distrust(&world, trouble),
        "burst-crash" => burst_crash(&world, trouble),
        "lasting-crash" => lasting_crash(&world, trouble),
        _ => 2,
    };
    world.record.line(&format!("exit {result}"));
    world.stop();
    result
}

/// Crashes the minion that runs a task, `after` its run has begun, and starts it again. Returns the
/// moment of the crash, or `None` if the task didn't begin within `patience`.
fn crash_runner(world: &World, task: &str, after: Duration, patience: Duration) -> Option<Instant> {
    let end = Instant::now() + patience;
    let number = loop {
        if let Some(number) = world.runner(task) {
            break number;
        }
        if Instant::now() >= end {
            return None;
        }
        thread::sleep(Duration::from_millis(5));
    };
    thread::sleep(after);
    let crashed = Instant::now();
    world.minions[number].crash();
    thread::sleep(DOWN);
    world.minions[number]
        .start()
        .expect("the minion starts again");
    Some(crashed)
}

/// A job of one task of eight seconds. Its minion crashes three times, soon after the task has
/// begun there; later everything is well.
fn batch_crash(world: &World, trouble: bool) -> i32 {
    let job = "5c0e7a21d94b36f8";
    let (path, task) = (format!("{BATCH}{job}"), format!("{job}.0.0.0"));
    let body = r#"{"specification":"work 8000","steps":[{"count":1,"cpu":4000,"memMb":1024,"estimatedMs":8000}]}"#;
    if !world.submit(&path, "work 8000", 4_000, body) {
        return 2;
    }
    if trouble {
        for _ in 0..3 {
            if crash_runner(
                world,
                &task,
                Duration::from_millis(700),
                Duration::from_secs(12),
            )
            .is_none()
            {
                break;
            }
        }
    }
    let end = Instant::now() + Duration::from_secs(45);
    while Instant::now() < end {
        for node in 0..3 {
            match world.state(node, &path).as_str() {
                "completed" => return HELD,
                "failed" => {
                    let failed = world
                        .events_of(job)
                        .iter()
                        .filter(|event| event.how == "failed")
                        .count();
                    world.record.line(&format!(
                        "the job shows as failed; runs that ended failed: {failed}"
                    ));
                    return if failed == 0 { BROKEN } else { 2 };
                }
                "cancelled" => return BROKEN,
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    world
        .record
        .line("the job has not completed within 45 s of calm");
    2
}

/// A job of one task that lasts. Its minion crashes three times, soon after the task has begun
/// there; later everything is well.
fn lasting_crash(world: &World, trouble: bool) -> i32 {
    let job = "5c0e7a21d94b36f9";
    let (path, task) = (format!("{LASTING}{job}"), format!("{job}.0.0.0"));
    let body = r#"{"specification":"lasts","steps":[{"count":1,"cpu":3000,"memMb":1024,"estimatedMs":500,"longRunning":true}]}"#;
    if !world.submit(&path, "lasts", 3_000, body) {
        return 2;
    }
    let mut last = Instant::now();
    if trouble {
        for _ in 0..3 {
            match crash_runner(
                world,
                &task,
                Duration::from_millis(700),
                Duration::from_secs(12),
            ) {
                Some(at) => last = at,
                None => break,
            }
        }
    }
    // The last minion is back two seconds after the last crash. Contact, and the four calm seconds
    // before, are over seven seconds later; the task's last run has ended more than six before.
    let from = last + DOWN + Duration::from_secs(7);
    thread::sleep(from.saturating_duration_since(Instant::now()));
    let (used, all) = world.usage();
    world.record.line(&format!(
        "judged from now on; {used} of {all} thousandths of a core in use"
    ));
    let mut without = Instant::now();
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        if world.runner(&task).is_some() {
            without = Instant::now();
        }
        if without.elapsed() >= Duration::from_secs(3) {
            let state = world.state(0, &path);
            world.record.line(&format!(
                "the task that lasts hasn't run for 3 s; the job shows as {state}"
            ));
            return BROKEN;
        }
        thread::sleep(Duration::from_millis(20));
    }
    HELD
}

/// Jobs that are well come after two that can never be done, ten seconds of calm later.
fn distrust(world: &World, trouble: bool) -> i32 {
    let usual = r#"{"specification":"work 400","steps":[{"count":2,"cpu":1800,"memMb":1024,"estimatedMs":400}]}"#;
    for number in 0..40 {
        if !world.submit(
            &format!("{BATCH}{:016x}", 0x5c0e_0000_u64 + number),
            "work 400",
            1_800,
            usual,
        ) {
            return 2;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let spec = if trouble { "fails 300" } else { "work 300" };
    let body = format!(
        r#"{{"specification":"{spec}","steps":[{{"count":32,"cpu":1800,"memMb":1024,"estimatedMs":300}}]}}"#
    );
    for number in 0..2 {
        let path = format!("{BATCH}{:016x}", 0x5c0e_1000_u64 + number);
        if !world.submit(&path, spec, 1_800, &body) {
            return 2;
        }
    }
    let end = Instant::now() + Duration::from_secs(20);
    for number in 0..2 {
        let path = format!("{BATCH}{:016x}", 0x5c0e_1000_u64 + number);
        while !["failed", "completed"].contains(&&*world.state(0, &path)) {
            if Instant::now() >= end {
                return 2;
            }
            thread::sleep(Duration::from_millis(200));
        }
    }
    thread::sleep(Duration::from_secs(10));
    world
        .record
        .line("ten calm seconds are over; the last jobs come");
    let long = r#"{"specification":"work 40000","steps":[{"count":1,"cpu":1000,"memMb":1024,"estimatedMs":40000}]}"#;
    let ids: Vec<String> = (0..64)
        .map(|number| format!("{:016x}", 0x5c0e_2000_u64 + number))
        .collect();
    let mut accepted = Vec::new();
    for id in &ids {
        if world.submit(&format!("{BATCH}{id}"), "work 40000", 1_000, long) {
            accepted.push((id.clone(), Instant::now()));
        }
    }
    let begun = Instant::now();
    let mut broken = 0;
    while begun.elapsed() < Duration::from_secs(18) {
        thread::sleep(Duration::from_millis(1_000));
        let (used, all) = world.usage();
        let waits = |(id, at): &&(String, Instant)| {
            at.elapsed() > Duration::from_secs(3) && world.events_of(id).is_empty()
        };
        let waiting = accepted.iter().filter(waits).count();
        world.record.line(&format!(
            "{:.0} s after the last job came: {used} of {all} thousandths of a core in use, {waiting} of {} jobs have had nothing running for over 3 s",
            begun.elapsed().as_secs_f64(),
            accepted.len()
        ));
        if waiting > 0 && used * 2 < all {
            broken += 1;
        }
    }
    if accepted.len() < ids.len() / 2 {
        return 2;
    }
    if broken > 0 {
        BROKEN
    } else {
        HELD
    }
}

/// Eighty small jobs come within two seconds, then one minion crashes once.
fn burst_crash(world: &World, trouble: bool) -> i32 {
    let body = r#"{"specification":"work 30000","steps":[{"count":1,"cpu":200,"memMb":256,"estimatedMs":30000}]}"#;
    let ids: Vec<String> = (0..80)
        .map(|number| format!("{:016x}", 0x5c0e_5000_u64 + number))
        .collect();
    for id in &ids {
        if !world.submit(&format!("{BATCH}{id}"), "work 30000", 200, body) {
            return 2;
        }
    }
    thread::sleep(Duration::from_millis(300));
    let load = |minion: &std::sync::Arc<crate::minion::Minion>| {
        let life = minion.life.lock().unwrap().clone();
        life.map_or(0, |life| life.running().len())
    };
    let busiest = world.minions.iter().max_by_key(|minion| load(minion));
    let Some(busiest) = busiest else { return 2 };
    let crashed = Instant::now();
    if trouble {
        busiest.crash();
        thread::sleep(DOWN);
        busiest.start().expect("the minion starts again");
    }
    // The minion is back after two seconds; four calm seconds later the three seconds begin in which
    // a job must not have nothing running.
    let mut idle: Vec<Option<Instant>> = vec![None; ids.len()];
    let mut broken = 0;
    for second in 0..12 {
        let until = crashed + Duration::from_millis(6_500 + second * 1_000);
        while Instant::now() < until {
            let running = world.running();
            for (id, since) in ids.iter().zip(&mut idle) {
                let is_running = running.iter().any(|task| task.starts_with(id.as_str()));
                let is_calm = crashed.elapsed() > DOWN + Duration::from_secs(4);
                *since = match (is_running, is_calm) {
                    (false, true) => since.or(Some(Instant::now())),
                    _ => None,
                };
            }
            thread::sleep(Duration::from_millis(20));
        }
        let over = Duration::from_secs(3);
        let waiting = idle
            .iter()
            .filter(|since| since.is_some_and(|since| since.elapsed() > over));
        let (waiting, (used, all)) = (waiting.count(), world.usage());
        world.record.line(&format!(
            "{:.1} s after the crash: {used} of {all} thousandths of a core in use, {waiting} jobs have had nothing running for 3 calm seconds",
            crashed.elapsed().as_secs_f64()
        ));
        broken += usize::from(waiting > 0 && used * 2 < all);
    }
    if broken > 0 {
        BROKEN
    } else {
        HELD
    }
}
