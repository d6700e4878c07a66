//! Job load: services and standing tasks at the start, then batch work with bursts and urgent
//! jobs.

use {
    crate::context::Context,
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

/// Number of threads that submit batch jobs.
pub const SUBMITTERS: u32 = 6;

/// Mean interval between two batch jobs of all submitters.
const JOB_INTERVAL: Duration = Duration::from_millis(250);

/// Share of the fleet's processors that batch work requests. Together with services and standing
/// tasks this exceeds the capacity, so that urgent work has to preempt.
const BATCH_SHARE: f64 = 0.7;

/// Share of urgent jobs.
const URGENT_SHARE: f64 = 0.08;

/// Share of jobs that must run at most once.
const ONCE_SHARE: f64 = 0.08;

/// Share of jobs that are cancelled soon after submission.
const CANCEL_SHARE: f64 = 0.05;

/// Maximum attempts of a submission whose reply is lost.
const MAX_ATTEMPTS: u32 = 20;

/// Names of the classes of a user, by purpose.
struct Classes {
    batch: &'static str,
    once: &'static str,
    standing: &'static str,
}

fn classes(context: &Context) -> Classes {
    match context.fleet.deploy.name {
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
pub fn start(context: &Context, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let classes = classes(context);
    let scale = scale(context);
    let service = Size::new(3000 * scale, 8000, 0);
    let standing = Size::new(500 * scale, 1000, 0);
    for hall in 0..context.fleet.deploy.halls {
        let hall = context.fleet.deploy.hall(hall);
        let share = (context.fleet.deploy.workers / context.fleet.deploy.halls) as u32;
        submit(
            context,
            &mut rng,
            context.fleet.deploy.service,
            &hall,
            share,
            service,
            0,
        );
        submit(context, &mut rng, classes.standing, &hall, 10, standing, 0);
    }
}

/// Returns the size of a worker relative to one of Fiscalis.
fn scale(context: &Context) -> u32 {
    context.fleet.deploy.size.cpu / 16_000
}

/// Submits batch jobs until `end`, as one of the submitters.
pub fn run(context: &Context, seed: u64, end: Instant) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let classes = classes(context);
    let mut due = Instant::now();
    while due < end {
        // A submission waits for its write, but the schedule of the next one does not shift.
        due += (JOB_INTERVAL * SUBMITTERS).mul_f64(rng.f64() * 2.0);
        thread::sleep(due.min(end).saturating_duration_since(Instant::now()));
        batch(context, &mut rng, &classes, scale(context));
    }
}

/// Submits one batch job of random size.
fn batch(context: &Context, rng: &mut fastrand::Rng, classes: &Classes, scale: u32) {
    let hall = context
        .fleet
        .deploy
        .hall(rng.usize(..context.fleet.deploy.halls));
    let kind = rng.f64();
    if kind < URGENT_SHARE {
        let size = Size::new(4000 * scale, 4000, 0);
        submit(context, rng, "urgent", &hall, 2, size, 500);
        return;
    }
    let length = rng.u64(300..2500);
    let cpu = rng.u32(500..3000) * scale;
    let size = Size::new(cpu, rng.u32(500..6000), 0);
    if kind < URGENT_SHARE + ONCE_SHARE {
        submit(context, rng, classes.once, &hall, 5, size, length);
        return;
    }
    let fleet = context.fleet.deploy.workers as f64 * f64::from(context.fleet.deploy.size.cpu);
    let demand = fleet * BATCH_SHARE * JOB_INTERVAL.as_millis() as f64;
    let count = demand / f64::from(cpu) / length as f64 * rng.f64() * 2.0;
    let id = submit(
        context,
        rng,
        classes.batch,
        &hall,
        (count as u32).clamp(1, 2000),
        size,
        length,
    );
    if let Some(id) = id
        && rng.f64() < CANCEL_SHARE
    {
        cancel(context, id);
    }
}

/// Submits a job, and repeats it with the same id until it is acknowledged. Returns `None` if no
/// attempt was acknowledged.
fn submit(
    context: &Context,
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
    // With the cell given, the id is known before the job is sent, so that the submission can be
    // repeated.
    let id = job::id(hall, key);
    for _ in 0..MAX_ATTEMPTS {
        let message = Submit {
            id: Some(id.clone()),
            key,
            spec: spec.clone(),
            passed: false,
        };
        let url = format!("{}/jobs/submit", context.fleet.any_sched());
        let sent: Result<Status, Failure> = context.fleet.client.post(&url, &message, TIMEOUT);
        match sent {
            Ok(status) => {
                Context::count(&context.counts.jobs);
                let id = status.id.clone();
                if class == "urgent" {
                    lock(&context.urgent).insert(id.clone(), submitted);
                }
                lock(&context.jobs).insert(id.clone(), status);
                return Some(id);
            }
            Err(_) => thread::sleep(Duration::from_millis(100)),
        }
    }
    None
}

fn cancel(context: &Context, id: Arc<str>) {
    let url = format!("{}/jobs/cancel", context.fleet.any_sched());
    let message = Cancel {
        ids: vec![id.clone()],
        passed: false,
    };
    let cancelled: Result<u64, Failure> = context.fleet.client.post(&url, &message, TIMEOUT);
    if cancelled.is_ok()
        && let Some(status) = lock(&context.jobs).get_mut(&id)
    {
        status.cancelled = true;
    }
}
