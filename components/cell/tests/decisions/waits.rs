//! Lasting tasks that wait: none stands still while there is room for it.

use {
    crate::{
        common::{JOB, step},
        farm::Farm,
    },
    job::{Step, spec::Size},
    test_case::test_case,
};

/// A lasting task has to run again within this time of the loss of its worker, in milliseconds: 6 s, and 3 s beside room.
const AGAIN: u64 = 9_000;
/// The length of a cut, in milliseconds: a moment longer than it takes to give a worker up.
const CUT: u64 = 5_500;

/// Nine lasting tasks, each on a worker of its own.
fn apart() -> Step {
    so_many_apart(9)
}

/// Lasting tasks, each on a worker of its own.
fn so_many_apart(count: u32) -> Step {
    Step {
        lasting: true,
        spread: 1,
        ..step(count, 1_000)
    }
}

/// The story: a lasting job had nine tasks, each on a worker of its own. One of the workers was lost for good. Eight tasks
/// went on; the last one did not run again for 39 s, beside workers with room, until another box took the cell over and
/// started it at once.
///
/// The order of events: a new owner had just adopted all runs. Six of the workers fell silent, so that their tasks were
/// suspected of it; four of a job may be tried at a time, and the other two waited. Five of the six workers came back
/// just after they had been given up, and what was counted for them was taken back, also for the four on trial.
///
/// The cause: a trial ended once its run had been listed for a second, but only for a task that was still suspected. The
/// four trials went on as long as their runs, which last; the task whose worker was gone for good stayed the fifth.
/// Trials are in the owner's memory, and the next owner had none.
///
/// The evidence: the owner told of the task as barred, with four trials of its job and 57 of 65 workers that had nothing in
/// the way. Tasks 3 to 6 had been tried as run 66, the next owner goes on from 131, and so does the record of what users
/// saw. With trials that end for any run that is listed, the fifth one starts as soon as the first of them are over.
#[test_case(false, 300, CUT; "adopted just before")]
#[test_case(true, 300, CUT; "adopted just before, polls held")]
#[test_case(true, 1_700, 3_800; "adopted 1.7 s before, polls held")]
fn last_suspect_runs_once_others_are_back(is_held: bool, adopted: u64, cut: u64) {
    let mut farm = Farm::new(66, 1_000);
    if is_held {
        farm.hold_polls();
    }
    farm.submit(JOB, apart());
    farm.run(3_000);
    farm.hand_over(&farm.records());
    farm.run(adopted);
    lose_six_and_regain_five(&mut farm, cut);
    assert!(is_whole(&farm, JOB));
}

/// The same right after the tasks have started, without another owner: these runs are new, and their tasks suspects in
/// any case.
#[test]
fn last_new_suspect_runs_once_others_are_back() {
    let mut farm = Farm::new(66, 1_000);
    farm.submit(JOB, apart());
    farm.run(400);
    lose_six_and_regain_five(&mut farm, CUT);
    assert!(is_whole(&farm, JOB));
}

/// Cuts the workers of tasks 3 to 7 off, takes that of task 8 away for good, and lets time pass until all tasks have to run
/// again; the workers that were cut off are back just after they were given up.
fn lose_six_and_regain_five(farm: &mut Farm, cut: u64) {
    let holders: Vec<usize> = (3..9)
        .map(|place| farm.holder(JOB, place).unwrap())
        .collect();
    for &machine in &holders[..5] {
        farm.cut_off(machine..machine + 1, true);
    }
    farm.remove(holders[5]);
    farm.run(cut);
    for &machine in &holders[..5] {
        farm.cut_off(machine..machine + 1, false);
    }
    farm.run(AGAIN - cut);
}

/// Takes the power of a task's worker away, and lets time pass.
fn lose(farm: &mut Farm, place: usize, time: u64) {
    let machine = farm.holder(JOB, place).unwrap();
    farm.cut_power(machine..machine + 1);
    farm.run(time);
}

/// True when all nine tasks of a job run.
fn is_whole(farm: &Farm, id: &str) -> bool {
    running(farm, id, 9) == 9
}

/// How many of the tasks of a job run.
fn running(farm: &Farm, id: &str, count: usize) -> usize {
    let places = 0..count;
    places
        .filter(|&place| farm.holder(id, place).is_some())
        .count()
}

/// The story: three workers had crashed in a row under one task of a lasting job, each after seconds of work; it ran well by
/// now. Then the worker of another task of the job crashed under a run that was new. That task stood still for 23 s.
///
/// The cause: crashes of any kind made a strong suspect, and until it had run for 30 s no other suspect of its job was
/// tried.
#[test]
fn suspect_runs_beside_one_that_crashed_late() {
    let mut farm = Farm::new(66, 1_000);
    farm.submit(JOB, apart());
    farm.run(3_000);
    for _ in 0..3 {
        lose(&mut farm, 0, 6_000);
    }
    assert!(is_whole(&farm, JOB));
    lose(&mut farm, 8, 2_700);
    lose(&mut farm, 8, AGAIN);
    assert!(is_whole(&farm, JOB));
}

/// The story: all workers lost power three times in 24 s. Of the lasting tasks two at a time were started again, one in a
/// second for each; the last ones stood still for a minute and a half, with all workers almost empty.
///
/// The cause: as above. A task that had been lost three times with all the others was tried alone, as one that crashes
/// workers as it starts.
#[test]
fn lasting_tasks_run_after_third_loss_of_power() {
    let mut farm = Farm::new(66, 1_000);
    let ids: Vec<String> = (0..20).map(|number| format!("{number:016x}")).collect();
    for id in &ids {
        farm.submit(id, apart());
    }
    farm.run(3_000);
    for _ in 0..3 {
        farm.cut_power(0..66);
        farm.run(8_000);
    }
    for id in &ids {
        assert!(is_whole(&farm, id), "{id}");
    }
}

/// The story: a new owner had just adopted all runs, among them those of nine lasting tasks that had run for seconds, when
/// their nine workers were lost for good. Four of the tasks ran again at once, the others a second or two later.
///
/// The cause: how long a run has gone on was reckoned from its adoption, so that each run that had just been adopted
/// counted as one that had just started, and its task as a suspect.
#[test]
fn adopted_tasks_are_no_suspects() {
    let mut farm = Farm::new(66, 1_000);
    farm.submit(JOB, apart());
    farm.run(3_000);
    farm.hand_over(&farm.records());
    farm.run(300);
    for machine in 0..9 {
        let holder = farm.holder(JOB, machine).unwrap();
        farm.remove(holder);
    }
    farm.run(5_200);
    assert!(is_whole(&farm, JOB));
}

/// The story: a lasting job had just started when the workers of all its tasks were lost for good. Four of its tasks ran
/// again 5 s later, then four more a good second after these, and so on; the last ones came too late, with more than
/// 20 workers empty.
///
/// The cause: all of them are suspects, since the job had just started on more than half of what was lost, and four of
/// a job are tried at a time.
#[test_case(9, false; "as many as in the incident")]
#[test_case(20, false; "twenty")]
#[test_case(30, false; "thirty")]
#[test_case(9, true; "as many as in the incident, polls held")]
#[test_case(12, true; "twelve, polls held")]
#[test_case(13, true; "thirteen, polls held")]
#[test_case(20, true; "twenty, polls held")]
#[test_case(30, true; "thirty, polls held")]
fn new_tasks_of_one_job_run_again(count: u32, is_held: bool) {
    let mut farm = Farm::new(66, 1_000);
    if is_held {
        farm.hold_polls();
    }
    farm.submit(JOB, so_many_apart(count));
    farm.run(400);
    for place in 0..count as usize {
        let holder = farm.holder(JOB, place).unwrap();
        farm.remove(holder);
    }
    farm.run(AGAIN);
    assert_eq!(running(&farm, JOB, count as usize), count as usize);
}

/// The story: the same with a loss of power of 20 of 66 workers, whose next lives are there after 2 s.
#[test]
fn new_tasks_of_one_job_run_again_after_power() {
    let mut farm = Farm::new(66, 1_000);
    farm.submit(JOB, so_many_apart(40));
    farm.run(400);
    for place in 0..40 {
        let holder = farm.holder(JOB, place).unwrap();
        farm.cut_power(holder..holder + 1);
    }
    farm.run(AGAIN);
    assert_eq!(running(&farm, JOB, 40), 40);
}

/// The story: one task of a job can only run on the workers of one rack, and two of these had crashed under it as it started
/// when the rack went away for good. Another task of the job, which runs on another rack, then lost its worker right after it
/// had started there; it never ran again, beside seven empty workers of its rack.
///
/// The cause: a task that is tried alone goes before the other suspects of its job, also while there is no worker for it.
#[test_case(0; "control, not suspected")]
#[test_case(1; "control, suspected once")]
#[test_case(2; "tried alone")]
fn suspect_runs_beside_one_that_no_worker_suits(crashes: u32) {
    let mut farm = Farm::new(66, 1_000);
    let bound = Step {
        label: Some("r0".into()),
        ..so_many_apart(1)
    };
    let other = Step {
        label: Some("r1".into()),
        ..so_many_apart(1)
    };
    farm.submit_steps(JOB, vec![bound, other]);
    farm.run(400);
    for _ in 0..crashes {
        let machine = farm.holder_of(JOB, 0, 0).unwrap();
        farm.cut_power(machine..machine + 1);
        for _ in 0..500 {
            farm.run(10);
            if farm.holder_of(JOB, 0, 0).is_some() {
                break;
            }
        }
    }
    for machine in 0..8 {
        farm.remove(machine);
    }
    // The other task begins anew, so that its run is a new one.
    let machine = farm.holder_of(JOB, 1, 0).unwrap();
    farm.cut_power(machine..machine + 1);
    for _ in 0..500 {
        farm.run(10);
        if let Some(machine) = farm.holder_of(JOB, 1, 0) {
            farm.run(100);
            farm.cut_power(machine..machine + 1);
            farm.run(10);
            break;
        }
    }
    farm.run(20_000);
    assert!(farm.holder_of(JOB, 0, 0).is_none());
    assert!(farm.holder_of(JOB, 1, 0).is_some());
}

/// The story: sixteen lasting jobs had just started one task each; half of four racks lost power, and again a moment after
/// the tasks were back. Two of them at a time ran again then.
///
/// The cause: two suspects are tried alone at a time in a cell of 66 workers, whatever their jobs.
#[test]
fn strong_suspects_of_many_jobs_run_again() {
    let mut farm = Farm::new(66, 1_000);
    let ids: Vec<String> = (0..16).map(|number| format!("{number:016x}")).collect();
    for id in &ids {
        farm.submit(
            id,
            Step {
                size: Size {
                    cpu: 4_000,
                    memory: 100,
                    gpus: 0,
                },
                ..so_many_apart(1)
            },
        );
    }
    farm.run(400);
    for _ in 0..2 {
        for id in &ids {
            if let Some(holder) = farm.holder(id, 0) {
                farm.cut_power(holder..holder + 1);
            }
        }
        farm.run(2_500);
    }
    farm.run(AGAIN - 2_500);
    let count = ids.iter().filter(|id| farm.holder(id, 0).is_some()).count();
    assert_eq!(count, 16);
}

/// The story: minutes after a takeover a lasting task lost its worker, with no room for it elsewhere. The owner told at once
/// that it had waited for minutes, and put it before short tasks, which is for those that have waited for 2 s.
///
/// The cause: since when a job waits is noted while a takeover holds it back, and not forgotten when its runs are
/// adopted.
#[test_case(false; "control, without a takeover")]
#[test_case(true; "after a takeover")]
fn wait_begins_with_the_loss(is_taken_over: bool) {
    let mut farm = Farm::new(9, 1_000);
    farm.submit(JOB, apart());
    farm.run(3_000);
    if is_taken_over {
        // One worker does not answer the new owner for a moment, so that its jobs wait in line.
        farm.cut_off(8..9, true);
        farm.hand_over(&farm.records());
        farm.run(1_000);
        farm.cut_off(8..9, false);
    }
    farm.run(30_000);
    assert_eq!(running(&farm, JOB, 9), 9);
    farm.remove(0);
    for _ in 0..1_000 {
        farm.run(10);
        if farm.cell.summary(farm.now).waiting > 0 {
            break;
        }
    }
    assert!(farm.cell.summary(farm.now).waiting > 0);
    farm.run(200);
    assert_eq!(farm.cell.log_overdue(farm.now, farm.now), 0);
}

/// The story: a job of thirty short tasks had just started when their workers were lost. They were tried again four at a
/// time, beside empty workers, for 8 s.
///
/// The cause: a run that ended well within its first second was no sign that others of its job do no harm.
#[test]
fn short_suspects_run_again_together() {
    let mut farm = Farm::new(66, 800);
    farm.submit(
        JOB,
        Step {
            spread: 1,
            ..step(30, 1_000)
        },
    );
    farm.run(100);
    for place in 0..30 {
        let holder = farm.holder(JOB, place).unwrap();
        farm.cut_power(holder..holder + 1);
    }
    farm.run(60_000);
    let time = farm.over(JOB);
    assert!(time <= 6_000, "{time} ms");
}
