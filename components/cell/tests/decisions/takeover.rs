//! Takeover: a new owner adopts running tasks and starts nothing twice.

use {
    crate::common::{JOB, TIMING, World, end, entry, run, state, step},
    job::{Id, State},
    magpie_cell::{Cell, EndCause},
};

#[test]
fn recover_adopts_running() {
    let mut world = World::without_reports(&["w1", "w2"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    assert!(world.starts().is_empty());
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
}

#[test]
fn recover_waits_for_unreachable_worker() {
    let mut world = World::without_reports(&["w1", "w2"]);
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

/// Guards against treating leases granted by the previous owner as expired. The next poll waits
/// until ends are persisted, which takes long if the store fails during a takeover.
#[test]
fn leases_of_previous_owner_stay_valid() {
    let mut world = World::without_reports(&["w1", "w2"]);
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
fn resume_numbers_runs_above_previous() {
    let mut world = World::new(&["w1"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    let starts = world.starts();
    assert!(starts[0].1.run > 1 + 60);
}

/// Failures count in any order. A new owner received the second failure of a task first, considered
/// the first one counted, and started the task once too often.
#[test]
fn failures_count_in_any_order() {
    let mut world = World::without_reports(&["w1", "w2"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    world.report("w2", vec![], vec![end(1, JOB, 0, 2, EndCause::Failed)]);
    world.report("w1", vec![], vec![end(1, JOB, 0, 1, EndCause::Failed)]);
    world.now += 5_000;
    world.report("w1", vec![], vec![]);
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
    world.persist();
    let state = world.cell.state(&Id::new(JOB).unwrap());
    assert_eq!(state, Some(State::Failed));
}

/// Guards against a duplicate start. An owner paused for 2.2 to 3 s resumes after another box has
/// read the jobs, accepts one more job and starts it on a worker that does not know the new fence.
#[test]
fn recover_delays_job_accepted_since() {
    let mut world = World::without_reports(&["w1", "w2"]);
    world.cell.recover(world.now);
    world.submit(JOB, vec![step(1, 1_000)]);
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
}

/// The worker may report such a run before the job is known. The run is not stopped, since it would
/// continue for a moment while its task starts elsewhere.
#[test]
fn recover_keeps_run_of_unknown_job() {
    let mut world = World::without_reports(&["w1", "w2"]);
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

/// The end of an unknown job's run is not acknowledged, or it would be lost. It and later ends are
/// processed once the job is known.
#[test]
fn recover_keeps_end_of_unknown_job() {
    let mut world = World::without_reports(&["w1"]);
    world.persist();
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
    world.persist();
    assert_eq!(state(&world), Some(State::Completed));
}

/// A worker that reports the maximum number of ends may have more of them.
#[test]
fn recover_keeps_waiting_for_further_ends() {
    let mut world = World::without_reports(&["w1"]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.cell.recover(world.now);
    let ends = (1..=500).map(|number| end(number, "00000000000000b2", 0, number, EndCause::Done));
    world.report("w1", vec![], ends.collect());
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
}

/// A new worker gets no work before the fleet record with it is persisted. If the owner died before
/// that and the worker's entry expired in a store outage, the next owner would start its tasks
/// elsewhere.
#[test]
fn new_worker_gets_no_work_before_fleet_is_persisted() {
    let mut world = World::new(&["w1"]);
    world
        .cell
        .handle_listing(vec![entry("w1", 4), entry("w2", 4)], world.now);
    world.report("w2", vec![], vec![]);
    world.submit(JOB, vec![step(8, 1_000)]);
    let starts = world.starts();
    assert!(starts.iter().all(|(worker, _)| &**worker == "w1"));
    world.persist();
    assert_eq!(world.starts().len(), 8 - starts.len());
}

/// Workers in the fleet record of the previous owner get work before the new owner has written one.
#[test]
fn restored_workers_get_work() {
    let mut cell = Cell::new(TIMING);
    cell.handle_listing(vec![entry("w1", 4)], 1_000);
    cell.restore_workers(vec![entry("w1", 4)]);
    let mut world = World { cell, now: 1_000 };
    world.report("w1", vec![], vec![]);
    world.submit(JOB, vec![step(1, 1_000)]);
    assert_eq!(world.starts().len(), 1);
}

/// Runs of a cancelled job may exist for several times of its timetable. All of them are stopped at
/// once rather than one after the other, each within up to 0.9 s.
#[test]
fn report_stops_all_runs_of_unknown_job() {
    let mut world = World::new(&["w1"]);
    let mut runs = Vec::new();
    for time in 0..3 {
        let mut orphan = run(JOB, 0, 1);
        orphan.address.time = time;
        runs.push(orphan);
    }
    world.report("w1", runs, vec![]);
    assert_eq!(world.stops().len(), 3);
}
