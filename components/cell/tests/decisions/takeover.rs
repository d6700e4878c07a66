//! A new owner adopts what runs and starts nothing twice.

use {
    crate::common::{JOB, TIMING, World, end, entry, run, state, step},
    job::{Id, State},
    magpie_cell::{Cell, EndCause},
};

#[test]
fn recover_adopts_running() {
    let mut world = World::unheard(&["w1", "w2"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    assert!(world.starts().is_empty());
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
}

#[test]
fn recover_waits_for_silent_worker() {
    let mut world = World::unheard(&["w1", "w2"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    world.report("w1", vec![], vec![]);
    world.now += 4_500;
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
    world.now += 500;
    world.report("w1", vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert_eq!(world.starts().len(), 1);
}

/// Seen on a day with a store that goes away during a takeover: the next poll waits until ends are
/// written, and meanwhile the leases that the former owner gave were taken for over.
#[test]
fn lapse_keeps_leases_of_former_owner() {
    let mut world = World::unheard(&["w1", "w2"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    let report = magpie_cell::Report {
        clock: 50_000,
        running: vec![run(JOB, 0, 1)],
        ended: vec![],
    };
    world
        .cell
        .report(&"w1".into(), report, world.now, world.now, 1);
    world.report("w2", vec![], vec![]);
    world.now += 1_000;
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
}

#[test]
fn resume_numbers_runs_above_former() {
    let mut world = World::new(&["w1"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    let starts = world.starts();
    assert!(starts[0].1.run > 1 + 60);
}

/// Seen on a day with an owner cut off: the new owner heard of the second failure first, took the
/// first one for counted, and started the task once too often.
#[test]
fn failures_count_in_any_order() {
    let mut world = World::unheard(&["w1", "w2"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    world.report("w2", vec![], vec![end(1, JOB, 0, 2, EndCause::Failed)]);
    world.report("w1", vec![], vec![end(1, JOB, 0, 1, EndCause::Failed)]);
    world.now += 5_000;
    world.report("w1", vec![], vec![]);
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
    world.write();
    let state = world.cell.state(&Id::new(JOB).unwrap());
    assert_eq!(state, Some(State::Failed));
}

/// Seen on days with an owner that stands still for 2.2 to 3 s: it wakes up after another box has read
/// the jobs, takes one more and starts it on a worker that does not know the new fence yet.
#[test]
fn recover_keeps_back_job_accepted_since() {
    let mut world = World::unheard(&["w1", "w2"]);
    world.cell.recover(world.now);
    world.submit(JOB, vec![step(1, 1_000)]);
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
}

/// The worker may list such a run before the job is known: the run is not stopped, since it would run
/// on for a moment while its task is started elsewhere.
#[test]
fn recover_keeps_run_of_unknown_job() {
    let mut world = World::unheard(&["w1", "w2"]);
    world.cell.recover(world.now);
    world.report("w2", vec![], vec![]);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world.cell.expire_leases(world.now);
    assert!(world.stops().is_empty());
    world.submit(JOB, vec![step(1, 1_000)]);
    assert!(world.starts().is_empty());
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    assert!(world.stops().is_empty());
}

/// Nor is its end acknowledged, which would be lost, and those that follow it are taken in later.
#[test]
fn recover_keeps_end_of_unknown_job() {
    let mut world = World::unheard(&["w1"]);
    world.write();
    world.cell.recover(world.now);
    let ends = vec![end(1, JOB, 0, 1, EndCause::Done)];
    world.report("w1", vec![], ends.clone());
    let seen = world.cell.next_poll("w1", world.now).unwrap().seen;
    assert_eq!(seen, 0);
    world.submit(JOB, vec![step(1, 1_000)]);
    world.report("w1", vec![], ends);
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
    assert_eq!(state(&world), Some(State::Queued));
    world.write();
    assert_eq!(state(&world), Some(State::Completed));
}

/// A worker that lists as many ends as it does at once may have more to tell.
#[test]
fn recover_keeps_waiting_for_further_ends() {
    let mut world = World::unheard(&["w1"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    let ends = (1..=500).map(|number| end(number, "00000000000000b2", 0, number, EndCause::Done));
    world.report("w1", vec![], ends.collect());
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
}

/// A listing brings a worker, it gets work, and the owner dies before the record of the fleet names it: with the
/// store away the worker's entry lapses, and the next owner would start its work elsewhere.
#[test]
fn list_gives_no_work_before_fleet_is_written() {
    let mut world = World::new(&["w1"]);
    world
        .cell
        .handle_listing(vec![entry("w1", 4), entry("w2", 4)], world.now);
    world.report("w2", vec![], vec![]);
    world.submit(JOB, vec![step(8, 1_000)]);
    let starts = world.starts();
    assert!(starts.iter().all(|(worker, _)| &**worker == "w1"));
    world.write();
    assert_eq!(world.starts().len(), 8 - starts.len());
}

/// Workers that the former owner has recorded may be given work before this one has written.
#[test]
fn inherit_knows_recorded_workers() {
    let mut cell = Cell::new(TIMING);
    cell.handle_listing(vec![entry("w1", 4)], 1_000);
    cell.restore_workers(vec![entry("w1", 4)]);
    let mut world = World { cell, now: 1_000 };
    world.report("w1", vec![], vec![]);
    world.submit(JOB, vec![step(1, 1_000)]);
    assert_eq!(world.starts().len(), 1);
}

/// A job with a timetable that was cancelled: runs of several of its times may go on at a worker. Seen
/// by a review; they were stopped one after the other, each within up to 0.9 s.
#[test]
fn report_stops_all_runs_of_unknown_job() {
    let mut world = World::new(&["w1"]);
    let mut runs = Vec::new();
    for time in 0..3 {
        let mut own = run(JOB, 0, 1);
        own.address.time = time;
        runs.push(own);
    }
    world.report("w1", runs, vec![]);
    assert_eq!(world.stops().len(), 3);
}
