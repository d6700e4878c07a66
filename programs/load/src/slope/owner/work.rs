//! The work of the experiment, and the workers that it runs on.

use {
    cell::Entry,
    job::{Id, Queue, Spec, Step, Submission, spec::Size},
    std::sync::Arc,
};

/// Processors of a worker, in thousandths of a core.
const CORES: u64 = 18_000;
/// Images of serving tasks.
const SERVING: u64 = 10;
/// Images of filling tasks.
const FILLING: u64 = 18;

/// The text of jobs whose tasks serve.
pub const SERVING_TEXT: &str = "serving";

/// The job of this number.
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
    })
}

/// A step of serving tasks.
pub fn serving(random: &mut fastrand::Rng) -> Step {
    let image = random.u64(0..SERVING);
    Step {
        lasting: true,
        target: 50,
        image: Some(format!("serving-{image}").into()),
        spread: if random.bool() { 2 } else { 0 },
        ..step(14, 3_100, 6_400)
    }
}

/// A step of filling tasks, which waits for the step before it.
pub fn filling(random: &mut fastrand::Rng, number: u16) -> Step {
    let image = random.u64(0..FILLING);
    Step {
        fills: true,
        checkpoints: true,
        image: Some(format!("filling-{image}").into()),
        after: (number > 0).then_some(number - 1).into_iter().collect(),
        ..step(20, 1_800, 3_200)
    }
}

/// A step of quick checks.
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

/// The listing of the worker of this number.
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
            cpu: CORES,
            memory: 64_000,
            gpus: 0,
        },
        labels: vec!["a".into(), format!("r{}", number / 12).into()],
        leaving: false,
        remaining: None,
    }
}
