//! The simulated workload and the workers that it runs on.

use {
    cell::Entry,
    job::{Id, Queue, Spec, Step, Submission, spec::Size},
    std::sync::Arc,
};

/// Processor capacity of a worker, in thousandths of a core.
const CPU: u64 = 18_000;
/// Number of images of serving tasks.
const SERVING_IMAGES: u64 = 10;
/// Number of images of best-effort tasks.
const BEST_EFFORT_IMAGES: u64 = 18;

/// The specification text of jobs with serving tasks.
pub const SERVING_TEXT: &str = "serving";

/// Creates the job of this number.
pub fn submission(number: u64, priority: u32, steps: Vec<Step>, now: u64) -> Option<Submission> {
    let text = if steps[0].lasting {
        SERVING_TEXT
    } else {
        "work"
    };
    let id = Id::new(&format!("{:016x}", number * 7_919))?;
    Some(Submission {
        id,
        spec: Spec {
            text: text.into(),
            steps,
            timetable: None,
        },
        queue: Queue {
            name: "queue".into(),
            host: "host".into(),
            prefix: "/".into(),
            pool: "pool".into(),
            priority,
            attempts: 3,
            stretch: 2.0,
            target: 1_000,
            advised: false,
        },
        accepted: now,
        fence: 0,
    })
}

/// Creates a step of serving tasks.
pub fn serving(random: &mut fastrand::Rng) -> Step {
    let image = random.u64(0..SERVING_IMAGES);
    Step {
        lasting: true,
        target: 50,
        image: Some(format!("serving-{image}").into()),
        spread: if random.bool() { 2 } else { 0 },
        ..step(14, 3_100, 6_400)
    }
}

/// Creates a step of best-effort tasks, which depends on the preceding step.
pub fn best_effort(random: &mut fastrand::Rng, number: u16) -> Step {
    let image = random.u64(0..BEST_EFFORT_IMAGES);
    Step {
        fills: true,
        checkpoints: true,
        image: Some(format!("filling-{image}").into()),
        after: (number > 0).then_some(number - 1).into_iter().collect(),
        ..step(20, 1_800, 3_200)
    }
}

/// Creates a step of short checks.
pub fn check() -> Step {
    step(8, 2_800, 5_600)
}

fn step(count: u32, cpu: u64, memory: u64) -> Step {
    Step {
        count,
        size: Size {
            cpu,
            memory,
            gpus: 0,
        },
        estimate: 2_000,
        ..Step::default()
    }
}

/// Creates the listing entry of the worker of this number.
pub fn entry(number: usize) -> Entry {
    let name: Arc<str> = format!("worker-{number:05}").into();
    Entry {
        id: name.clone(),
        name,
        started: None,
        generation: 0,
        pool: "pool".into(),
        address: format!("10.0.0.1:{number}").into(),
        hall: "h1".into(),
        size: Size {
            cpu: CPU,
            memory: 64_000,
            gpus: 0,
        },
        labels: vec!["a".into(), format!("r{}", number / 12).into()],
        leaving: false,
        remaining: None,
    }
}
