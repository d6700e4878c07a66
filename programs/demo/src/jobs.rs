//! Jobs: services and standing tasks at the start, then batch work with bursts and urgent jobs.

use {
    crate::world::World,
    infra::Size,
    kernel::{Failure, sync::lock},
    sched::{
        Spec, Status, job,
        message::{Cancel, Submit},
    },
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    trial::fleet::TIMEOUT,
};

/// Threads that submit batch jobs.
pub const SUBMITTERS: u32 = 6;

/// The time between two batch jobs of all submitters, on average.
const JOB_EVERY: Duration = Duration::from_millis(250);

/// The share of the fleet's processors that batch work asks for, beside services and standing
/// tasks; together more than all, so that urgent work has to make room.
const BATCH_SHARE: f64 = 0.7;

/// The share of jobs that are urgent.
const URGENT: f64 = 0.08;

/// The share of jobs that must run at most once.
const ONCE: f64 = 0.08;

/// The share of jobs that are cancelled soon after.
const CANCELLED: f64 = 0.05;

/// How often a submission whose reply was lost is sent again.
const TRIES: u32 = 20;

/// The classes of a user, by what they are for.
struct Classes {
    batch: &'static str,
    once: &'static str,
    standing: &'static str,
}

fn classes(world: &World) -> Classes {
    match world.fleet.deploy.name {
        "fiscalis" => Classes {
            batch: "reconciliation",
            once: "submission",
            standing: "watcher",
        },
        _ => Classes {
            batch: "manifest",
            once: "dispatch",
            standing: "route",
        },
    }
}

/// Submits the services and the standing tasks.
pub fn start(world: &World, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let classes = classes(world);
    let scale = scale(world);
    let service = Size::new(3000 * scale, 8000, 0);
    let standing = Size::new(500 * scale, 1000, 0);
    for hall in 0..world.fleet.deploy.halls {
        let hall = world.fleet.deploy.hall(hall);
        let share = (world.fleet.deploy.workers / world.fleet.deploy.halls) as u32;
        submit(
            world,
            &mut rng,
            world.fleet.deploy.service,
            &hall,
            share,
            service,
            0,
        );
        submit(world, &mut rng, classes.standing, &hall, 10, standing, 0);
    }
}

/// How many times a worker is larger than one of Fiscalis.
fn scale(world: &World) -> u32 {
    world.fleet.deploy.size.cpu / 16_000
}

/// Submits batch jobs until the end, as one of the submitters.
pub fn run(world: &World, seed: u64, end: Instant) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let classes = classes(world);
    let mut due = Instant::now();
    while due < end {
        // A submission waits for its write; the next comes when it is due all the same.
        due += (JOB_EVERY * SUBMITTERS).mul_f64(rng.f64() * 2.0);
        thread::sleep(due.min(end).saturating_duration_since(Instant::now()));
        batch(world, &mut rng, &classes, scale(world));
    }
}

/// Submits one batch job of a random shape.
fn batch(world: &World, rng: &mut fastrand::Rng, classes: &Classes, scale: u32) {
    let hall = world
        .fleet
        .deploy
        .hall(rng.usize(..world.fleet.deploy.halls));
    let kind = rng.f64();
    if kind < URGENT {
        let size = Size::new(4000 * scale, 4000, 0);
        submit(world, rng, "urgent", &hall, 2, size, 500);
        return;
    }
    let length = rng.u64(300..2500);
    let cpu = rng.u32(500..3000) * scale;
    let size = Size::new(cpu, rng.u32(500..6000), 0);
    if kind < URGENT + ONCE {
        submit(world, rng, classes.once, &hall, 5, size, length);
        return;
    }
    let fleet = world.fleet.deploy.workers as f64 * f64::from(world.fleet.deploy.size.cpu);
    let wanted = fleet * BATCH_SHARE * JOB_EVERY.as_millis() as f64;
    let count = wanted / f64::from(cpu) / length as f64 * rng.f64() * 2.0;
    let id = submit(
        world,
        rng,
        classes.batch,
        &hall,
        (count as u32).clamp(1, 2000),
        size,
        length,
    );
    if let Some(id) = id
        && rng.f64() < CANCELLED
    {
        cancel(world, id);
    }
}

/// Submits a job and sends it again, with its id, until it is known to be taken in. `None` when it
/// was refused or never acknowledged.
fn submit(
    world: &World,
    rng: &mut fastrand::Rng,
    class: &str,
    hall: &Arc<str>,
    count: u32,
    size: Size,
    length: u64,
) -> Option<Arc<str>> {
    let once = class == "submission" || class == "dispatch";
    let spec = Spec {
        class: Arc::from(class),
        count,
        size,
        length,
        once,
        hall: Some(hall.clone()),
    };
    let key = rng.u64(..);
    let submitted = Instant::now();
    // With a chosen cell the job has its id before it is sent, so that it can be sent again.
    let id = job::id(hall, key);
    for _ in 0..TRIES {
        let message = Submit {
            id: Some(id.clone()),
            key,
            spec: spec.clone(),
            passed: false,
        };
        let url = format!("{}/jobs/submit", world.fleet.any_sched());
        let sent: Result<Status, Failure> = world.fleet.client.post(&url, &message, TIMEOUT);
        match sent {
            Ok(status) => {
                World::count(&world.counts.jobs);
                let id = status.id.clone();
                if class == "urgent" {
                    lock(&world.urgent).insert(id.clone(), submitted);
                }
                lock(&world.jobs).insert(id.clone(), status);
                return Some(id);
            }
            Err(_) => thread::sleep(Duration::from_millis(100)),
        }
    }
    None
}

fn cancel(world: &World, id: Arc<str>) {
    let url = format!("{}/jobs/cancel", world.fleet.any_sched());
    let message = Cancel {
        ids: vec![id.clone()],
        passed: false,
    };
    let cancelled: Result<u64, Failure> = world.fleet.client.post(&url, &message, TIMEOUT);
    if cancelled.is_ok()
        && let Some(status) = lock(&world.jobs).get_mut(&id)
    {
        status.cancelled = true;
    }
}
