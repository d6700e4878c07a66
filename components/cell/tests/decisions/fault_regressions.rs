//! Short event sequences found by randomized fault injection (see [`crate::random_faults`]), each
//! with its own cause.

use {
    crate::{
        common::{JOB, World, end, step, with_ordered_start, with_running_task},
        net_sim::{Event, NetSim},
    },
    job::{Id, State, Step},
    magpie_cell::{EndCause, Outcome, Refusal},
};

/// A step of long-running tasks.
fn long_running(count: u32, cpu: u64, spread: u32) -> Step {
    Step {
        lasting: true,
        spread,
        ..step(count, cpu)
    }
}

/// Crashes the worker that runs a task.
fn crash_machine_of(sim: &mut NetSim, id: &Id, place: usize) {
    let machine = sim.machine_of(id, place).unwrap();
    sim.apply(&Event::Crash(machine..machine + 1));
}

/// Guards against a job that fails after losing a single run. One worker crashes while three idle
/// ones are partitioned. The suspected task is tried on these one after the other, and each expiry
/// of their leases counted as a crash under a start that was never answered, on a worker without a
/// report since that start; the third one failed the job.
#[test]
fn crash_beside_partition_fails_no_job() {
    let mut sim = NetSim::new(16, 1_000);
    let id = sim.submit(1, long_running(9, 1_000, 1), 0);
    sim.advance(300);
    sim.apply(&Event::Partition(9..12, 8_000));
    sim.advance(200);
    sim.apply(&Event::Crash(0..1));
    sim.advance(20_000);
    assert_eq!(sim.violation, None);
    assert_eq!(sim.cell.state(&id), Some(State::Running));
    assert!(sim.machine_of(&id, 0).is_some());
}

/// An answer from another incarnation proves that the start was not executed, so it is not counted
/// as a crash. After a power failure of four workers a suspected task was started on incarnations
/// that were over; two such answers within 20 ms failed its job.
#[test]
fn ended_incarnations_fail_no_job() {
    let mut sim = NetSim::new(20, 1_000);
    let id = sim.submit(1, long_running(9, 1_000, 1), 0);
    sim.advance(300);
    sim.apply(&Event::Partition(9..12, 1_800));
    sim.advance(50);
    sim.apply(&Event::Crash(0..1));
    sim.apply(&Event::Crash(9..12));
    sim.advance(20_000);
    assert_eq!(sim.violation, None);
    assert_eq!(sim.cell.state(&id), Some(State::Running));
    assert!(sim.machine_of(&id, 0).is_some());
}

/// The same in one step: a start that was certainly not executed is not a crash.
#[test]
fn answer_of_other_incarnation_is_no_crash() {
    let (mut world, worker, start) = with_ordered_start(&["w1", "w2"], long_running(1, 1_000, 0));
    let outcome = Outcome::Refused(Refusal::OtherLife);
    world.answer(&worker, &start, outcome);
    let change = world.cell.take_write_batch(100);
    let records = change.records.iter();
    let crashed: Vec<_> = records.flat_map(|(_, record)| &record.crashed).collect();
    assert!(crashed.is_empty(), "{crashed:?}");
}

/// After three power failures of all workers within half a minute the long-running tasks restart
/// without isolated trials. With isolation, one trial of at least 2 s at a time in the cell (a
/// report that lists the run for 1 s, and polls held for 2 s), the last task restarted after 25 s
/// beside idle workers.
#[test]
fn tasks_restart_soon_after_three_power_failures() {
    let mut sim = NetSim::new(16, 1_000);
    sim.submit(1, long_running(12, 1_000, 1), 0);
    for _ in 0..3 {
        sim.advance(8_000);
        sim.apply(&Event::Crash(0..16));
    }
    sim.advance(12_000);
    assert_eq!(sim.waiting_tasks().len(), 0, "{:?}", sim.waiting_tasks());
}

/// As above, with three workers crashing one after the other. Tasks without a spread share a worker
/// and move to the next one together; the last of eight restarted after 16.5 s.
#[test]
fn tasks_restart_soon_after_three_crashes() {
    let mut sim = NetSim::new(16, 1_000);
    let id = sim.submit(1, long_running(8, 500, 0), 0);
    for _ in 0..3 {
        sim.advance(8_000);
        crash_machine_of(&mut sim, &id, 7);
    }
    sim.advance(12_000);
    assert_eq!(sim.waiting_tasks().len(), 0, "{:?}", sim.waiting_tasks());
}

/// A suspect must not wait for an isolated suspect of its job that has already been tried and is
/// running. The latter stays suspected for 30 s, for which the other task waited 22 s beside 14
/// idle workers.
#[test]
fn suspect_restarts_beside_tried_suspect() {
    let mut sim = NetSim::new(16, 1_000);
    let id = sim.submit(1, long_running(2, 1_000, 1), 0);
    for _ in 0..3 {
        sim.advance(8_000);
        crash_machine_of(&mut sim, &id, 0);
    }
    sim.advance(8_000);
    assert!(sim.machine_of(&id, 0).is_some());
    crash_machine_of(&mut sim, &id, 1);
    sim.advance(100);
    while sim.machine_of(&id, 1).is_none() {
        sim.advance(100);
    }
    sim.advance(200);
    crash_machine_of(&mut sim, &id, 1);
    sim.advance(12_000);
    assert_eq!(sim.waiting_tasks().len(), 0, "{:?}", sim.waiting_tasks());
}

/// An unreachable worker gets no work even if its last failed poll is more than half a second ago.
/// As the fullest worker it was chosen before a reachable one, and the task ran only after its
/// leases had expired.
#[test]
fn unreachable_worker_gets_no_start() {
    let (mut world, worker, _) = with_running_task(&["w1", "w2"], step(1, 1_000));
    world.cell.next_poll(&worker, world.now);
    world.cell.poll_failed(&worker, world.now);
    world.cell.next_poll(&worker, world.now + 10);
    world.now += 600;
    world.submit("00000000000000b2", vec![long_running(1, 1_000, 0)]);
    let starts = world.starts();
    assert_ne!(starts[0].0, worker);
}

/// As above after the leases have expired: a worker without tasks need not be fenced again, and got
/// four tasks 5.5 s after its last report.
#[test]
fn unreachable_worker_without_leases_gets_no_start() {
    let mut world = World::new(&["w1", "w2"]);
    world.cell.poll_failed("w1", world.now);
    world.now += 5_500;
    world.report("w2", vec![], vec![]);
    world.cell.expire_leases(world.now);
    world.submit(JOB, vec![long_running(1, 1_000, 0)]);
    let starts = world.starts();
    assert_eq!(&*starts[0].0, "w2");
}

/// The count of misplaced tasks ignores jobs that have ended. Their tasks keep their placement
/// until the end is persisted, so that cancelling a long-running job in a store outage was logged
/// as an error.
#[test]
fn misplaced_tasks_ignore_ended_job() {
    let (mut world, worker, start) = with_running_task(&["w1"], long_running(1, 1_000, 0));
    assert!(world.cell.cancel(&Id::new(JOB).unwrap(), world.now, 1));
    world.report(
        &worker,
        vec![],
        vec![end(1, JOB, 0, start.run, EndCause::Stopped)],
    );
    assert_eq!(world.cell.misplaced_tasks(), 0);
}
