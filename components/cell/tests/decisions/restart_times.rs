//! Restart times: long-running tasks that lost their workers must not wait while there is capacity.

use {
    crate::{
        common::{JOB, step},
        sim::Sim,
    },
    job::{Step, spec::Size},
    test_case::test_case,
};

/// Maximum time from the loss of its worker until a long-running task runs again, in milliseconds:
/// 6 s, plus 3 s beside free capacity.
const RESTART_LIMIT: u64 = 9_000;
/// Duration of a partition, in milliseconds: slightly longer than the time until a worker is
/// declared lost.
const PARTITION: u64 = 5_500;

/// Nine long-running tasks, each on its own worker.
fn nine_spread() -> Step {
    spread_tasks(9)
}

/// Long-running tasks, each on its own worker.
fn spread_tasks(count: u32) -> Step {
    Step {
        lasting: true,
        spread: 1,
        ..step(count, 1_000)
    }
}

/// Guards against trials that block a suspect indefinitely. After a takeover six of nine workers
/// are lost and their tasks suspected; four trials run at a time. Five workers return and their
/// crashes are revoked. The four trials, whose tasks were no longer suspected, did not end, and the
/// task whose worker was gone for good waited 39 s beside free workers until the next takeover.
#[test_case(false, 300, PARTITION; "adopted just before")]
#[test_case(true, 300, PARTITION; "adopted just before, polls held")]
#[test_case(true, 1_700, 3_800; "adopted 1.7 s before, polls held")]
fn last_suspect_restarts_after_others_return(
    holds_polls: bool,
    after_adoption: u64,
    partition: u64,
) {
    let mut sim = Sim::new(66, 1_000);
    if holds_polls {
        sim.hold_polls();
    }
    sim.submit(JOB, nine_spread());
    sim.advance(3_000);
    sim.take_over(&sim.records());
    sim.advance(after_adoption);
    lose_six_and_return_five(&mut sim, partition);
    assert!(is_complete(&sim, JOB));
}

/// As above just after the start of the tasks and without a takeover: the runs are new and their
/// tasks suspected in any case.
#[test]
fn last_new_suspect_restarts_after_others_return() {
    let mut sim = Sim::new(66, 1_000);
    sim.submit(JOB, nine_spread());
    sim.advance(400);
    lose_six_and_return_five(&mut sim, PARTITION);
    assert!(is_complete(&sim, JOB));
}

/// Partitions the workers of tasks 3 to 7 and removes that of task 8. The partitioned workers
/// return just after they were declared lost; then time passes until all tasks must run again.
fn lose_six_and_return_five(sim: &mut Sim, partition: u64) {
    let machines: Vec<usize> = (3..9)
        .map(|place| sim.machine_of(JOB, place).unwrap())
        .collect();
    for &machine in &machines[..5] {
        sim.set_partitioned(machine..machine + 1, true);
    }
    sim.remove(machines[5]);
    sim.advance(partition);
    for &machine in &machines[..5] {
        sim.set_partitioned(machine..machine + 1, false);
    }
    sim.advance(RESTART_LIMIT - partition);
}

/// Cuts the power of a task's worker and lets time pass.
fn crash_worker_of(sim: &mut Sim, place: usize, time: u64) {
    let machine = sim.machine_of(JOB, place).unwrap();
    sim.cut_power(machine..machine + 1);
    sim.advance(time);
}

/// True if all nine tasks of a job run.
fn is_complete(sim: &Sim, id: &str) -> bool {
    running_count(sim, id, 9) == 9
}

/// Number of running tasks of a job.
fn running_count(sim: &Sim, id: &str, count: usize) -> usize {
    let places = 0..count;
    places
        .filter(|&place| sim.machine_of(id, place).is_some())
        .count()
}

/// Late crashes of one task must not block trials of others. After three late crashes a task was
/// tried in isolation, and until it had run for 30 s no other suspect of its job was tried; one
/// waited 23 s.
#[test]
fn suspect_restarts_beside_late_crasher() {
    let mut sim = Sim::new(66, 1_000);
    sim.submit(JOB, nine_spread());
    sim.advance(3_000);
    for _ in 0..3 {
        crash_worker_of(&mut sim, 0, 6_000);
    }
    assert!(is_complete(&sim, JOB));
    crash_worker_of(&mut sim, 8, 2_700);
    crash_worker_of(&mut sim, 8, RESTART_LIMIT);
    assert!(is_complete(&sim, JOB));
}

/// After three power failures of all workers in 24 s the long-running tasks restart together. When
/// each was tried in isolation, the last ones waited a minute and a half beside empty workers.
#[test]
fn tasks_restart_after_third_power_failure() {
    let mut sim = Sim::new(66, 1_000);
    let ids: Vec<String> = (0..20).map(|number| format!("{number:016x}")).collect();
    for id in &ids {
        sim.submit(id, nine_spread());
    }
    sim.advance(3_000);
    for _ in 0..3 {
        sim.cut_power(0..66);
        sim.advance(8_000);
    }
    for id in &ids {
        assert!(is_complete(&sim, id), "{id}");
    }
}

/// Tasks adopted in a takeover are not suspected when their workers are lost just after it. The age
/// of a run was counted from its adoption, so that five of nine tasks restarted a second or two
/// late.
#[test]
fn adopted_tasks_are_not_suspected() {
    let mut sim = Sim::new(66, 1_000);
    sim.submit(JOB, nine_spread());
    sim.advance(3_000);
    sim.take_over(&sim.records());
    sim.advance(300);
    for machine in 0..9 {
        let machine_of = sim.machine_of(JOB, machine).unwrap();
        sim.remove(machine_of);
    }
    sim.advance(5_200);
    assert!(is_complete(&sim, JOB));
}

/// Tasks of a job that had just started when all of its workers were lost are suspected, since the
/// job had new runs on more than half of the lost workers. Four trials at a time restarted the last
/// ones too late, beside more than 20 empty workers.
#[test_case(9, false; "nine")]
#[test_case(20, false; "twenty")]
#[test_case(30, false; "thirty")]
#[test_case(9, true; "nine, polls held")]
#[test_case(12, true; "twelve, polls held")]
#[test_case(13, true; "thirteen, polls held")]
#[test_case(20, true; "twenty, polls held")]
#[test_case(30, true; "thirty, polls held")]
fn new_tasks_of_one_job_restart(count: u32, holds_polls: bool) {
    let mut sim = Sim::new(66, 1_000);
    if holds_polls {
        sim.hold_polls();
    }
    sim.submit(JOB, spread_tasks(count));
    sim.advance(400);
    for place in 0..count as usize {
        let machine_of = sim.machine_of(JOB, place).unwrap();
        sim.remove(machine_of);
    }
    sim.advance(RESTART_LIMIT);
    assert_eq!(running_count(&sim, JOB, count as usize), count as usize);
}

/// As above after a power failure of 20 of 66 workers, which return as new incarnations after 2 s.
#[test]
fn new_tasks_of_one_job_restart_after_power_failure() {
    let mut sim = Sim::new(66, 1_000);
    sim.submit(JOB, spread_tasks(40));
    sim.advance(400);
    for place in 0..40 {
        let machine_of = sim.machine_of(JOB, place).unwrap();
        sim.cut_power(machine_of..machine_of + 1);
    }
    sim.advance(RESTART_LIMIT);
    assert_eq!(running_count(&sim, JOB, 40), 40);
}

/// An isolated suspect that no worker can take must not block other suspects of its job. After its
/// rack was removed, a task on another rack never restarted beside seven empty workers.
#[test_case(0; "control, not suspected")]
#[test_case(1; "control, suspected once")]
#[test_case(2; "isolated trial")]
fn suspect_restarts_beside_unplaceable_suspect(crashes: u32) {
    let mut sim = Sim::new(66, 1_000);
    let bound = Step {
        label: Some("r0".into()),
        ..spread_tasks(1)
    };
    let other = Step {
        label: Some("r1".into()),
        ..spread_tasks(1)
    };
    sim.submit_steps(JOB, vec![bound, other]);
    sim.advance(400);
    for _ in 0..crashes {
        let machine = sim.machine_of_step(JOB, 0, 0).unwrap();
        sim.cut_power(machine..machine + 1);
        for _ in 0..500 {
            sim.advance(10);
            if sim.machine_of_step(JOB, 0, 0).is_some() {
                break;
            }
        }
    }
    for machine in 0..8 {
        sim.remove(machine);
    }
    // Restarts the other task, so that its run is new.
    let machine = sim.machine_of_step(JOB, 1, 0).unwrap();
    sim.cut_power(machine..machine + 1);
    for _ in 0..500 {
        sim.advance(10);
        if let Some(machine) = sim.machine_of_step(JOB, 1, 0) {
            sim.advance(100);
            sim.cut_power(machine..machine + 1);
            sim.advance(10);
            break;
        }
    }
    sim.advance(20_000);
    assert!(sim.machine_of_step(JOB, 0, 0).is_none());
    assert!(sim.machine_of_step(JOB, 1, 0).is_some());
}

/// Suspects of many jobs are tried in isolation concurrently. With 16 jobs whose tasks crashed
/// twice, two trials at a time in a cell of 66 workers took too long.
#[test]
fn isolated_suspects_of_many_jobs_restart() {
    let mut sim = Sim::new(66, 1_000);
    let ids: Vec<String> = (0..16).map(|number| format!("{number:016x}")).collect();
    for id in &ids {
        sim.submit(
            id,
            Step {
                size: Size {
                    cpu: 4_000,
                    memory: 100,
                    gpus: 0,
                },
                ..spread_tasks(1)
            },
        );
    }
    sim.advance(400);
    for _ in 0..2 {
        for id in &ids {
            if let Some(machine_of) = sim.machine_of(id, 0) {
                sim.cut_power(machine_of..machine_of + 1);
            }
        }
        sim.advance(2_500);
    }
    sim.advance(RESTART_LIMIT - 2_500);
    let count = ids
        .iter()
        .filter(|id| sim.machine_of(id, 0).is_some())
        .count();
    assert_eq!(count, 16);
}

/// The waiting time of a task starts with the loss of its worker. The time since a takeover was
/// counted if the job had waited then, so that the task was logged as waiting for minutes and
/// preferred to short tasks at once rather than after 2 s.
#[test_case(false; "control, without a takeover")]
#[test_case(true; "after a takeover")]
fn wait_starts_with_the_loss(after_takeover: bool) {
    let mut sim = Sim::new(9, 1_000);
    sim.submit(JOB, nine_spread());
    sim.advance(3_000);
    if after_takeover {
        // One worker does not answer the new owner for a moment, so that its jobs are queued.
        sim.set_partitioned(8..9, true);
        sim.take_over(&sim.records());
        sim.advance(1_000);
        sim.set_partitioned(8..9, false);
    }
    sim.advance(30_000);
    assert_eq!(running_count(&sim, JOB, 9), 9);
    sim.remove(0);
    for _ in 0..1_000 {
        sim.advance(10);
        if sim.cell.summary(sim.now).waiting_cpu > 0 {
            break;
        }
    }
    assert!(sim.cell.summary(sim.now).waiting_cpu > 0);
    sim.advance(200);
    assert_eq!(sim.cell.log_overdue(sim.now, sim.now), 0);
}

/// Short suspects of a job restart together: a run that succeeds within its first second counts as
/// a passed trial. Otherwise thirty tasks restarted four at a time, in 8 s, beside empty workers.
#[test]
fn short_suspects_restart_together() {
    let mut sim = Sim::new(66, 800);
    sim.submit(
        JOB,
        Step {
            spread: 1,
            ..step(30, 1_000)
        },
    );
    sim.advance(100);
    for place in 0..30 {
        let machine_of = sim.machine_of(JOB, place).unwrap();
        sim.cut_power(machine_of..machine_of + 1);
    }
    sim.advance(60_000);
    let time = sim.ended_after(JOB);
    assert!(time <= 6_000, "{time} ms");
}

/// Guards against long-running tasks that wait in line for isolated trials, after two power failures
/// of all workers and the loss of a few workers just after the tasks had restarted.
#[test_case(false; "polls answered")]
#[test_case(true; "polls held")]
fn suspects_restart_after_power_failures(holds_polls: bool) {
    let mut sim = Sim::new(48, 1_000);
    if holds_polls {
        sim.hold_polls();
    }
    let ids: Vec<String> = (0..15).map(|number| format!("{number:016x}")).collect();
    for id in &ids {
        sim.submit(id, nine_spread());
    }
    sim.advance(3_000);
    sim.cut_power(0..48);
    sim.advance(8_000);
    sim.cut_power(0..48);
    sim.advance(1_000);
    for _ in 0..RESTART_LIMIT / 10 {
        if ids.iter().all(|id| is_complete(&sim, id)) {
            break;
        }
        sim.advance(10);
    }
    for id in &ids {
        assert!(is_complete(&sim, id), "{id}");
    }
    for machine in (0..48).step_by(6) {
        sim.cut_power(machine..machine + 1);
    }
    sim.advance(RESTART_LIMIT);
    for id in &ids {
        assert!(is_complete(&sim, id), "{id}");
    }
}
