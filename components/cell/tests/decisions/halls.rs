//! Data halls that are shut: nothing starts there, and what runs there goes on.
//!
//! The story: the users emptied a data hall for 12 s, and 7,749 tasks were started there after the 5 s that they allow,
//! since nothing read their request.

use {
    crate::common::{JOB, World, end, entry, run, step},
    job::{Id, Step},
    magpie_cell::{EndCause, Entry, Order, Outcome, Refusal, TaskKey},
    std::{collections::HashSet, sync::Arc},
    test_case::test_case,
};

/// The workers of most tests, and the hall of each.
const WORKERS: [(&str, &str); 4] = [("w1", "h1"), ("w2", "h1"), ("w3", "h2"), ("w4", "h3")];

fn entry_in(id: &str, hall: &str) -> Entry {
    Entry {
        hall: hall.into(),
        ..entry(id, 4)
    }
}

fn names(halls: &[&str]) -> HashSet<Arc<str>> {
    halls.iter().map(|&hall| hall.into()).collect()
}

/// Workers that have answered.
fn world() -> World {
    let mut world = World::new(&[]);
    let entries = WORKERS.iter().map(|(id, hall)| entry_in(id, hall));
    world.list(entries.collect());
    for (id, _) in WORKERS {
        world.report(id, vec![], vec![]);
    }
    world
}

/// The workers of the starts that are ordered now.
fn started(world: &mut World) -> Vec<Arc<str>> {
    let starts = world.starts();
    starts.into_iter().map(|(worker, _)| worker).collect()
}

fn hall_of(id: &str) -> &'static str {
    let (_, hall) = WORKERS.iter().find(|(own, _)| *own == id).unwrap();
    hall
}

fn lasting(count: u32) -> Step {
    Step {
        lasting: true,
        may_miss: Some(1),
        ..step(count, 1_000)
    }
}

#[test_case(&["h1"], 8; "one")]
#[test_case(&["h1", "h3"], 4; "two")]
#[test_case(&["h1", "h2", "h3"], 0; "all")]
#[test_case(&["elsewhere"], 16; "one without workers")]
fn shut_halls_get_nothing(shut: &[&str], starts: usize) {
    let mut world = world();
    world.cell.set_closed_halls(names(shut));
    world.submit(JOB, vec![step(20, 1_000)]);
    let started = started(&mut world);
    assert_eq!(started.len(), starts);
    assert!(started.iter().all(|id| !shut.contains(&hall_of(id))));
}

/// A gang that fits in one hall only waits until that is open.
#[test]
fn gang_does_not_start_in_shut_hall() {
    let mut world = world();
    let gang = Step {
        gang: true,
        ..step(3, 3_000)
    };
    world.cell.set_closed_halls(names(&["h1"]));
    world.submit(JOB, vec![gang]);
    assert!(started(&mut world).is_empty());
    world.cell.set_closed_halls(names(&[]));
    assert_eq!(started(&mut world).len(), 3);
}

/// A task that lasts may go to workers that are set aside once it has waited for long, but to none in a shut hall.
#[test]
fn pressed_task_does_not_go_to_shut_hall() {
    let mut world = world();
    world.cell.set_closed_halls(names(&["h1", "h2", "h3"]));
    world.submit(JOB, vec![lasting(1)]);
    for _ in 0..100 {
        world.now += 100;
        for (id, _) in WORKERS {
            world.report(id, vec![], vec![]);
        }
        world.cell.rerank(world.now, world.now);
        assert!(started(&mut world).is_empty());
    }
    world.cell.set_closed_halls(names(&["h1", "h2"]));
    assert_eq!(started(&mut world), ["w4".into()]);
}

/// A worker that comes into a shut hall, as one does after a crash there.
#[test]
fn new_worker_in_shut_hall_gets_nothing() {
    let mut world = world();
    world
        .cell
        .set_closed_halls(names(&["h1", "h2", "h3", "h4"]));
    world.list(vec![entry_in("w5", "h4")]);
    world.report("w5", vec![], vec![]);
    world.submit(JOB, vec![step(1, 1_000)]);
    assert!(started(&mut world).is_empty());
}

/// What runs there is neither stopped nor counted as lost, and its end is taken in as any other.
#[test]
fn run_in_shut_hall_goes_on() {
    let mut world = world();
    world.cell.set_closed_halls(names(&["h2", "h3"]));
    world.submit(JOB, vec![step(1, 1_000)]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    world.cell.set_closed_halls(names(&["h1"]));
    assert!(world.cell.take_orders().is_empty());
    world.report(&worker, vec![run(JOB, 0, 1)], vec![]);
    assert!(world.cell.take_orders().is_empty());
    world.report(&worker, vec![], vec![end(1, JOB, 0, 1, EndCause::Done)]);
    world.write();
    assert_eq!(crate::common::state(&world), Some(job::State::Completed));
}

/// A run there that a former owner began is adopted.
#[test]
fn run_in_shut_hall_is_adopted() {
    let mut world = world();
    world.cell.set_closed_halls(names(&["h1"]));
    world.resume(JOB, vec![step(1, 1_000)]);
    world.report("w1", vec![run(JOB, 0, 2)], vec![]);
    assert!(started(&mut world).is_empty());
    assert!(world.stops().is_empty());
}

/// A task that lasts and ends there is started again elsewhere.
#[test]
fn lasting_task_that_ended_starts_elsewhere() {
    let mut world = world();
    world.cell.set_closed_halls(names(&["h2", "h3"]));
    world.submit(JOB, vec![lasting(1)]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    world.cell.set_closed_halls(names(&["h1"]));
    world.report(&worker, vec![], vec![end(1, JOB, 0, 1, EndCause::Failed)]);
    world.write();
    let started = started(&mut world);
    assert!(started.len() == 1 && hall_of(&started[0]) != "h1");
}

/// Starts that wait behind other orders are taken back; their tasks start elsewhere at once.
#[test]
fn start_on_its_way_is_withdrawn() {
    let mut world = world();
    world.cell.set_closed_halls(names(&["h2", "h3"]));
    world.submit(JOB, vec![lasting(2)]);
    let starts = world.starts();
    let (worker, confirmed) = starts[0].clone();
    world.answer(&worker, &confirmed, Outcome::Done);
    world.cell.set_closed_halls(names(&["h1"]));
    let (other, waiting) = starts[1].clone();
    let withdrawal = Order::Withdraw {
        key: TaskKey {
            job: Id::new(JOB).unwrap(),
            place: waiting.key.place,
        },
        run: waiting.run,
    };
    assert_eq!(
        world.cell.take_orders(),
        [(other.clone(), withdrawal.clone())]
    );
    let told = world
        .cell
        .handle_outcome(&other, &withdrawal, Outcome::Done, world.now);
    assert!(!told);
    world.answer(&other, &waiting, Outcome::Refused(Refusal::NotSent));
    let started = started(&mut world);
    assert!(started.len() == 1 && hall_of(&started[0]) != "h1");
}

/// Work that found no room looks at the hall in the first pass after it is open.
#[test]
fn opened_hall_gets_work_at_once() {
    let mut world = world();
    world.cell.set_closed_halls(names(&["h1", "h2", "h3"]));
    world.submit(JOB, vec![step(2, 1_000)]);
    assert!(started(&mut world).is_empty());
    world.now += 4;
    assert!(started(&mut world).is_empty());
    world.now += 4;
    world.cell.set_closed_halls(names(&["h1", "h2"]));
    assert_eq!(started(&mut world).len(), 2);
}

/// Work moves off a worker that leaves, but not into a shut hall.
#[test]
fn leaving_worker_empties_past_shut_hall() {
    let mut world = world();
    world.cell.set_closed_halls(names(&["h2", "h3"]));
    let saving = Step {
        checkpoints: true,
        ..step(1, 4_000)
    };
    world.submit(JOB, vec![saving]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    world.cell.set_closed_halls(names(&["h1", "h2"]));
    let leaving = Entry {
        leaving: true,
        remaining: Some(2_000),
        ..entry_in(&worker, "h1")
    };
    world.cell.handle_listing(vec![leaving], world.now);
    assert_eq!(world.stops().len(), 1);
    let stopped = end(1, JOB, 0, 1, EndCause::Stopped);
    world.report(&worker, vec![], vec![stopped]);
    let entries = WORKERS.iter().filter(|(id, _)| *id != &*worker);
    world.list(entries.map(|(id, hall)| entry_in(id, hall)).collect());
    assert_eq!(started(&mut world), ["w4".into()]);
}

/// Halls are shut and opened at any moment while jobs come, start and end: no start is ordered where it is shut.
#[test]
fn no_start_in_shut_halls_whatever_comes() {
    for seed in 0..60 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut world = world();
        let mut shut: Vec<&str> = Vec::new();
        let mut numbers = 0;
        for round in 0..80 {
            world.now += random.u64(1..400);
            if random.u8(0..4) == 0 {
                shut = ["h1", "h2", "h3"]
                    .into_iter()
                    .filter(|_| random.bool())
                    .collect();
                world.cell.set_closed_halls(names(&shut));
            }
            let id = format!("{round:016x}");
            let step = Step {
                lasting: random.u8(0..8) == 0,
                fills: random.bool(),
                gang: random.u8(0..6) == 0,
                ..step(random.u32(1..4), random.u64(300..2_000))
            };
            world.submit(&id, vec![step]);
            world.cell.rerank(world.now, world.now);
            for (worker, start) in world.starts() {
                assert!(
                    !shut.contains(&hall_of(&worker)),
                    "seed {seed}, round {round}"
                );
                let outcome = *random
                    .choose_multiple([Outcome::Done, Outcome::Refused(Refusal::Room)].iter(), 1)[0];
                world.answer(&worker, &start, outcome);
                if outcome == Outcome::Done && random.bool() {
                    numbers += 1;
                    let ended = magpie_cell::RunEnd {
                        address: start.address,
                        ..end(numbers, &id, 0, start.run, EndCause::Done)
                    };
                    world.report(&worker, vec![], vec![ended]);
                }
            }
            world.write();
        }
    }
}
