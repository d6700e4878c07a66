//! Closed data halls: no task starts there, and running tasks continue. Guards against starts in a
//! hall that is being evacuated: 7,749 tasks started after the 5 s that are allowed, because the
//! request was not read.

use {
    crate::common::{JOB, World, end, entry, run, step},
    job::{Id, Step},
    magpie_cell::{EndCause, Entry, Order, Outcome, Refusal, TaskKey},
    std::{collections::HashSet, sync::Arc},
    test_case::test_case,
};

/// Workers of most tests, and their halls.
const WORKERS: [(&str, &str); 4] = [("w1", "h1"), ("w2", "h1"), ("w3", "h2"), ("w4", "h3")];

fn entry_in_hall(id: &str, hall: &str) -> Entry {
    Entry {
        hall: hall.into(),
        ..entry(id, 4)
    }
}

fn hall_set(halls: &[&str]) -> HashSet<Arc<str>> {
    halls.iter().map(|&hall| hall.into()).collect()
}

/// Creates a world whose workers have reported.
fn world() -> World {
    let mut world = World::new(&[]);
    let entries = WORKERS.iter().map(|(id, hall)| entry_in_hall(id, hall));
    world.list(entries.collect());
    for (id, _) in WORKERS {
        world.report(id, vec![], vec![]);
    }
    world
}

/// The workers of the starts ordered by a placement pass.
fn place(world: &mut World) -> Vec<Arc<str>> {
    let starts = world.starts();
    starts.into_iter().map(|(worker, _)| worker).collect()
}

fn hall_of(id: &str) -> &'static str {
    let (_, hall) = WORKERS.iter().find(|(worker, _)| *worker == id).unwrap();
    hall
}

fn long_running(count: u32) -> Step {
    Step {
        lasting: true,
        may_miss: Some(1),
        ..step(count, 1_000)
    }
}

#[test_case(&["h1"], 8; "one")]
#[test_case(&["h1", "h3"], 4; "two")]
#[test_case(&["h1", "h2", "h3"], 0; "all")]
#[test_case(&["elsewhere"], 16; "hall without workers")]
fn closed_halls_get_nothing(closed: &[&str], starts: usize) {
    let mut world = world();
    world.cell.set_closed_halls(hall_set(closed));
    world.submit(JOB, vec![step(20, 1_000)]);
    let placed = place(&mut world);
    assert_eq!(placed.len(), starts);
    assert!(placed.iter().all(|id| !closed.contains(&hall_of(id))));
}

/// A gang that fits into one hall waits until that hall reopens.
#[test]
fn gang_does_not_start_in_closed_hall() {
    let mut world = world();
    let gang = Step {
        gang: true,
        ..step(3, 3_000)
    };
    world.cell.set_closed_halls(hall_set(&["h1"]));
    world.submit(JOB, vec![gang]);
    assert!(place(&mut world).is_empty());
    world.cell.set_closed_halls(hall_set(&[]));
    assert_eq!(place(&mut world).len(), 3);
}

/// After a long wait a long-running task may start on a quarantined worker, but never in a closed
/// hall.
#[test]
fn overdue_task_does_not_start_in_closed_hall() {
    let mut world = world();
    world.cell.set_closed_halls(hall_set(&["h1", "h2", "h3"]));
    world.submit(JOB, vec![long_running(1)]);
    for _ in 0..100 {
        world.now += 100;
        for (id, _) in WORKERS {
            world.report(id, vec![], vec![]);
        }
        world.cell.rerank(world.now, world.now);
        assert!(place(&mut world).is_empty());
    }
    world.cell.set_closed_halls(hall_set(&["h1", "h2"]));
    assert_eq!(place(&mut world), ["w4".into()]);
}

/// A worker that joins in a closed hall, for instance after a crash, gets no work.
#[test]
fn new_worker_in_closed_hall_gets_nothing() {
    let mut world = world();
    world
        .cell
        .set_closed_halls(hall_set(&["h1", "h2", "h3", "h4"]));
    world.list(vec![entry_in_hall("w5", "h4")]);
    world.report("w5", vec![], vec![]);
    world.submit(JOB, vec![step(1, 1_000)]);
    assert!(place(&mut world).is_empty());
}

/// A run in a closed hall is neither stopped nor counted as lost, and its end is processed as
/// usual.
#[test]
fn run_in_closed_hall_continues() {
    let mut world = world();
    world.cell.set_closed_halls(hall_set(&["h2", "h3"]));
    world.submit(JOB, vec![step(1, 1_000)]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    world.cell.set_closed_halls(hall_set(&["h1"]));
    assert!(world.cell.take_orders().is_empty());
    world.report(&worker, vec![run(JOB, 0, 1)], vec![]);
    assert!(world.cell.take_orders().is_empty());
    world.report(&worker, vec![], vec![end(1, JOB, 0, 1, EndCause::Done)]);
    world.persist();
    assert_eq!(crate::common::state(&world), Some(job::State::Completed));
}

/// A run that a previous owner started in a closed hall is adopted.
#[test]
fn run_in_closed_hall_is_adopted() {
    let mut world = world();
    world.cell.set_closed_halls(hall_set(&["h1"]));
    world.resume(JOB, vec![step(1, 1_000)]);
    world.report("w1", vec![run(JOB, 0, 2)], vec![]);
    assert!(place(&mut world).is_empty());
    assert!(world.stops().is_empty());
}

/// A long-running task that ends in a closed hall is restarted elsewhere.
#[test]
fn ended_long_running_task_restarts_elsewhere() {
    let mut world = world();
    world.cell.set_closed_halls(hall_set(&["h2", "h3"]));
    world.submit(JOB, vec![long_running(1)]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    world.cell.set_closed_halls(hall_set(&["h1"]));
    world.report(&worker, vec![], vec![end(1, JOB, 0, 1, EndCause::Failed)]);
    world.persist();
    let placed = place(&mut world);
    assert!(placed.len() == 1 && hall_of(&placed[0]) != "h1");
}

/// Starts that are queued behind other orders are withdrawn, and their tasks start elsewhere at
/// once.
#[test]
fn pending_start_is_withdrawn() {
    let mut world = world();
    world.cell.set_closed_halls(hall_set(&["h2", "h3"]));
    world.submit(JOB, vec![long_running(2)]);
    let starts = world.starts();
    let (worker, confirmed) = starts[0].clone();
    world.answer(&worker, &confirmed, Outcome::Done);
    world.cell.set_closed_halls(hall_set(&["h1"]));
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
    let is_deposed = world
        .cell
        .handle_outcome(&other, &withdrawal, Outcome::Done, world.now);
    assert!(!is_deposed);
    world.answer(&other, &waiting, Outcome::Refused(Refusal::NotSent));
    let placed = place(&mut world);
    assert!(placed.len() == 1 && hall_of(&placed[0]) != "h1");
}

/// Work that found no capacity is placed in the first pass after a hall reopens.
#[test]
fn reopened_hall_gets_work_at_once() {
    let mut world = world();
    world.cell.set_closed_halls(hall_set(&["h1", "h2", "h3"]));
    world.submit(JOB, vec![step(2, 1_000)]);
    assert!(place(&mut world).is_empty());
    world.now += 4;
    assert!(place(&mut world).is_empty());
    world.now += 4;
    world.cell.set_closed_halls(hall_set(&["h1", "h2"]));
    assert_eq!(place(&mut world).len(), 2);
}

/// A leaving worker is drained, but not into a closed hall.
#[test]
fn drain_avoids_closed_hall() {
    let mut world = world();
    world.cell.set_closed_halls(hall_set(&["h2", "h3"]));
    let checkpointed = Step {
        checkpoints: true,
        ..step(1, 4_000)
    };
    world.submit(JOB, vec![checkpointed]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    world.cell.set_closed_halls(hall_set(&["h1", "h2"]));
    let leaving = Entry {
        leaving: true,
        remaining: Some(2_000),
        ..entry_in_hall(&worker, "h1")
    };
    world.cell.handle_listing(vec![leaving], world.now);
    assert_eq!(world.stops().len(), 1);
    let stopped = end(1, JOB, 0, 1, EndCause::Stopped);
    world.report(&worker, vec![], vec![stopped]);
    let entries = WORKERS.iter().filter(|(id, _)| *id != &*worker);
    world.list(entries.map(|(id, hall)| entry_in_hall(id, hall)).collect());
    assert_eq!(place(&mut world), ["w4".into()]);
}

/// Halls are closed and reopened at random while jobs are submitted, start and end: no start is
/// ordered in a closed hall.
#[test]
fn random_sequences_start_nothing_in_closed_halls() {
    for seed in 0..60 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut world = world();
        let mut closed: Vec<&str> = Vec::new();
        let mut numbers = 0;
        for round in 0..80 {
            world.now += random.u64(1..400);
            if random.u8(0..4) == 0 {
                closed = ["h1", "h2", "h3"]
                    .into_iter()
                    .filter(|_| random.bool())
                    .collect();
                world.cell.set_closed_halls(hall_set(&closed));
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
                    !closed.contains(&hall_of(&worker)),
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
            world.persist();
        }
    }
}
