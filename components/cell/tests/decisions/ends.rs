//! Ends and runs in reports: state transitions, retries, orphaned runs and persistence.

use {
    crate::common::{JOB, World, end, run, state, step, task_end},
    job::{Id, State},
    magpie_cell::{EndCause, Order, Outcome},
    test_case::test_case,
};

/// Starts the only task of the job on `w1`. Returns its run.
fn start_task(world: &mut World) -> u64 {
    let starts = world.starts();
    assert_eq!(starts.len(), 1);
    let (worker, start) = &starts[0];
    world.answer(worker, start, Outcome::Done);
    start.run
}

#[test]
fn success_is_shown_after_write() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(1, 1_000)]);
    let run = start_task(&mut world);
    world.now += 1_000;
    world.report("w1", vec![], vec![end(1, JOB, 0, run, EndCause::Done)]);
    assert_eq!(state(&world), Some(State::Running));
    assert!(world.cell.has_unwritten_ends("w1"));
    world.persist();
    assert_eq!(state(&world), Some(State::Completed));
    assert!(!world.cell.has_unwritten_ends("w1"));
    assert_eq!(world.cell.next_poll("w1", world.now).unwrap().seen, 1);
}

#[test]
fn success_starts_next_step() {
    let mut world = World::new(&["w1"]);
    let mut second = step(2, 1_000);
    second.after = vec![0];
    world.submit(JOB, vec![step(1, 1_000), second]);
    let run = start_task(&mut world);
    world.report("w1", vec![], vec![end(1, JOB, 0, run, EndCause::Done)]);
    assert_eq!(world.starts().len(), 2);
}

/// Guards against an end that changes nothing and is listed while another one is being written: it
/// stayed unacknowledged until the next write, and its worker was polled only once a second.
#[test]
fn end_listed_during_write_is_acknowledged() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(2, 1_000)]);
    let starts = world.starts();
    for (worker, start) in &starts {
        world.answer(worker, start, Outcome::Done);
    }
    let done = end(1, JOB, 0, starts[0].1.run, EndCause::Done);
    world.report("w1", vec![run(JOB, 1, starts[1].1.run)], vec![done.clone()]);
    let batch = world.cell.take_write_batch(27);
    let former = end(2, "00000000000000b2", 0, 1, EndCause::Stopped);
    world.report("w1", vec![run(JOB, 1, starts[1].1.run)], vec![done, former]);
    let acknowledged = world.cell.batch_written(&batch);
    assert_eq!(acknowledged, ["w1".into()]);
    assert!(!world.cell.has_unwritten_ends("w1"));
    assert_eq!(world.cell.next_poll("w1", world.now).unwrap().seen, 2);
}

/// An end that has changed a record since the batch was taken is acknowledged with the next one.
#[test]
fn end_changing_record_during_write_is_not_acknowledged() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(2, 1_000)]);
    let starts = world.starts();
    for (worker, start) in &starts {
        world.answer(worker, start, Outcome::Done);
    }
    let first = task_end(
        1,
        (Id::new(JOB).unwrap(), starts[0].1.address),
        starts[0].1.run,
        EndCause::Done,
    );
    let second = task_end(
        2,
        (Id::new(JOB).unwrap(), starts[1].1.address),
        starts[1].1.run,
        EndCause::Done,
    );
    world.report(
        "w1",
        vec![run(JOB, 1, starts[1].1.run)],
        vec![first.clone()],
    );
    let batch = world.cell.take_write_batch(27);
    world.report("w1", vec![], vec![first, second]);
    assert!(world.cell.batch_written(&batch).is_empty());
    assert_eq!(world.cell.next_poll("w1", world.now).unwrap().seen, 1);
    world.persist();
    assert_eq!(world.cell.next_poll("w1", world.now).unwrap().seen, 2);
}

/// A worker reports an end again until it is acknowledged.
#[test]
fn repeated_end_counts_once() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(1, 1_000)]);
    let run = start_task(&mut world);
    for _ in 0..3 {
        world.report("w1", vec![], vec![end(1, JOB, 0, run, EndCause::Failed)]);
    }
    assert_eq!(state(&world), Some(State::Running));
}

#[test]
fn job_fails_after_allowed_attempts() {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![step(1, 1_000)]);
    for number in 1..=2 {
        let starts = world.starts();
        let (worker, start) = &starts[0];
        world.answer(worker, start, Outcome::Done);
        let failed = end(number, JOB, 0, start.run, EndCause::Failed);
        world.report(&worker.clone(), vec![], vec![failed]);
        world.now += 10;
    }
    world.persist();
    assert_eq!(state(&world), Some(State::Failed));
    assert!(world.starts().is_empty());
}

/// The previous owner persisted the failure and died before acknowledging it to the worker.
#[test]
fn failure_counted_by_previous_owner() {
    let mut world = World::new(&["w1"]);
    let record = job::Record {
        state: State::Running,
        run: 1,
        failed: vec![(0, vec![1])],
        ..job::Record::default()
    };
    let submission = crate::common::submission(JOB, vec![step(1, 1_000)]);
    world.cell.resume(submission, &record, 1);
    world.report("w1", vec![], vec![end(1, JOB, 0, 1, EndCause::Failed)]);
    world.persist();
    assert_eq!(state(&world), Some(State::Running));
    assert!(world.starts().is_empty());
    world.now += 3_000;
    world.report("w1", vec![], vec![]);
    assert_eq!(world.starts().len(), 1);
}

#[test_case(EndCause::Stopped; "stopped")]
#[test_case(EndCause::Lapsed; "lapsed")]
#[test_case(EndCause::Broken; "broken")]
#[test_case(EndCause::Alone; "alone")]
fn interrupted_run_restarts_from_checkpoint(how: EndCause) {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(1, 1_000)]);
    let run = start_task(&mut world);
    let mut ended = end(1, JOB, 0, run, how);
    ended.saved = Some("point".into());
    world.report("w1", vec![], vec![ended]);
    let starts = world.starts();
    assert_eq!(starts[0].1.run, run + 1);
    assert_eq!(starts[0].1.saved.as_deref(), Some("point"));
}

#[test]
fn cancel_stops_tasks_and_is_final() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(2, 1_000)]);
    let starts = world.starts();
    for (worker, start) in &starts {
        world.answer(worker, start, Outcome::Done);
    }
    assert!(world.cell.cancel(&Id::new(JOB).unwrap(), world.now, 1));
    assert_eq!(world.stops().len(), 2);
    assert_eq!(state(&world), Some(State::Cancelled));
    let run = starts[0].1.run;
    world.report("w1", vec![], vec![end(1, JOB, 0, run, EndCause::Stopped)]);
    assert!(world.starts().is_empty());
    world.persist();
    assert_eq!(state(&world), Some(State::Cancelled));
}

/// A delayed start may be executed after its job was cancelled and dropped.
#[test]
fn stray_run_is_stopped() {
    let mut world = World::new(&["w1"]);
    world.report("w1", vec![run(JOB, 3, 9)], vec![]);
    assert_eq!(world.stops(), [("w1".into(), 9)]);
    world.report("w1", vec![run(JOB, 3, 9)], vec![]);
    assert!(world.stops().is_empty());
    world.now += 600;
    world.report("w1", vec![run(JOB, 3, 9)], vec![]);
    assert_eq!(world.stops().len(), 1);
}

/// If a task runs on two workers, the run reported second is stopped.
#[test]
fn duplicate_run_is_stopped() {
    let mut world = World::without_reports(&["w1", "w2"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.report("w1", vec![run(JOB, 0, 2)], vec![]);
    world.report("w2", vec![run(JOB, 0, 1)], vec![]);
    assert_eq!(world.stops(), [("w2".into(), 1)]);
}

/// Guards against ends that are never acknowledged because some other record is always pending. On
/// a fleet of 490 workers a fifth of all ends were affected.
#[test]
fn end_is_acknowledged_with_its_own_record() {
    let mut world = World::new(&["w1", "w2"]);
    let other = "00000000000000b2";
    world.submit(JOB, vec![step(1, 3_000)]);
    world.submit(other, vec![step(1, 3_000)]);
    let starts = world.starts();
    for (worker, start) in &starts {
        world.answer(worker, start, Outcome::Done);
    }
    world.persist();
    for (worker, start) in &starts {
        let done = end(1, start.key.job.as_str(), 0, start.run, EndCause::Done);
        world.report(worker, vec![], vec![done]);
    }
    let first = world.cell.take_write_batch(1);
    assert_eq!(first.records.len(), 1);
    assert_eq!(world.cell.batch_written(&first).len(), 1);
    let second = world.cell.take_write_batch(1);
    assert_eq!(world.cell.batch_written(&second).len(), 1);
    assert!(!world.cell.has_unwritten_ends("w1") && !world.cell.has_unwritten_ends("w2"));
}

/// Records are written in the order of their changes, so that none is delayed indefinitely.
#[test]
fn records_are_written_in_order() {
    let mut world = World::new(&["w1"]);
    let (late, early) = ("00000000000000a1", "00000000000000f9");
    world.submit(early, vec![step(1, 1_000)]);
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
    }
    world.submit(late, vec![step(1, 1_000)]);
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
    }
    let change = world.cell.take_write_batch(1);
    assert_eq!(change.records[0].0.as_str(), early);
}

/// Final states are written first. With all other records pending as well, clients saw a job end
/// 0.3 s late, and 2 s late under load.
#[test]
fn final_state_is_written_first() {
    let mut world = World::new(&["w1"]);
    let (first, last) = ("00000000000000a1", "00000000000000f9");
    world.submit(first, vec![step(2, 500)]);
    world.submit(last, vec![step(1, 500)]);
    for (worker, start) in world.starts() {
        world.answer(&worker, &start, Outcome::Done);
    }
    world.report("w1", vec![], vec![end(1, last, 0, 1, EndCause::Done)]);
    let change = world.cell.take_write_batch(2);
    assert_eq!(change.records.len(), 1);
    assert_eq!(change.records[0].0.as_str(), last);
    // A record whose write failed stays queued.
    world.cell.batch_failed(change);
    assert_eq!(world.cell.take_write_batch(3).records.len(), 2);
}

/// The pace of an adopted run is unknown, since a previous owner may have slowed it down; it is set
/// again.
#[test]
fn adopted_best_effort_task_is_paced_again() {
    let mut world = World::without_reports(&["w1"]);
    let mut best_effort = step(1, 500);
    best_effort.fills = true;
    best_effort.image = Some("f".into());
    world.resume(JOB, vec![best_effort]);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    let orders = world.cell.take_orders();
    let is_pace = |order: &Order| matches!(order, Order::Pace { percent: 100, .. });
    assert!(orders.iter().any(|(_, order)| is_pace(order)));
}

/// A cancelled task uses capacity until its worker reports its end, even if the job was persisted
/// as cancelled and dropped before.
#[test]
fn cancelled_task_uses_capacity_until_its_end() {
    let mut world = World::new(&["w1"]);
    let mut second = step(1, 4_000);
    second.after = vec![0];
    world.submit(JOB, vec![step(1, 1_000), second]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    let done = end(1, JOB, 0, start.run, EndCause::Done);
    world.report(&worker, vec![], vec![done]);
    world.persist();
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    world.cell.cancel(&start.key.job, world.now, 1);
    world.persist();
    let mut still_running = run(JOB, 0, start.run);
    still_running.address.step = 1;
    world.now += 100;
    world.report(&worker, vec![still_running], vec![]);
    world.submit("00000000000000b2", vec![step(1, 4_000)]);
    assert!(world.starts().is_empty());
    let stopped = end(2, JOB, 1, start.run, EndCause::Stopped);
    world.now += 100;
    world.report(&worker, vec![], vec![stopped]);
    assert_eq!(world.starts().len(), 1);
}
