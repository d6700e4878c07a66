//! Short sequences that a search by chance has found (see [`crate::steady`]), each with a cause of its own.

use {
    crate::{
        common::{JOB, World, end, ordered, running, step},
        yard::{Event, Yard},
    },
    job::{Id, State, Step},
    magpie_cell::{EndCause, Outcome, Refusal},
};

/// A step of lasting tasks.
fn lasting(count: u32, cpu: u64, spread: u32) -> Step {
    Step {
        lasting: true,
        spread,
        ..step(count, cpu)
    }
}

/// Has the worker crash that runs a task.
fn crash_holder(yard: &mut Yard, id: &Id, place: usize) {
    let holder = yard.holder(id, place).unwrap();
    yard.happen(&Event::Crash(holder..holder + 1));
}

/// The story: one worker crashed, and three with nothing to do were cut off for 8 s. A lasting job of nine tasks showed as
/// failed 6.6 s after its worker had crashed, for good, though it had lost one run.
///
/// The order: the task is suspected, and tried on one of the three, of which is not known yet that it is cut off; its
/// leases are over 2 s later. That counts as a second crash, so that the task is tried alone, on the worker with the least
/// on it: the next of the three. Its leases are over 2 s later, which counts as the third.
///
/// The cause: a crash is counted under a start that had no answer, on a worker that is not proven to have crashed and was
/// not heard since before that start; the job is ended by it at once, and the worker that comes back can take nothing back.
#[test]
fn crash_beside_cut_fails_no_job() {
    let mut yard = Yard::new(16, 1_000);
    let id = yard.submit(1, lasting(9, 1_000, 1), 0);
    yard.run(300);
    yard.happen(&Event::Cut(9..12, 8_000));
    yard.run(200);
    yard.happen(&Event::Crash(0..1));
    yard.run(20_000);
    assert_eq!(yard.fault, None);
    assert_eq!(yard.cell.state(&id), Some(State::Running));
    assert!(yard.holder(&id, 0).is_some());
}

/// The story: four workers lost their power in one moment, one of them with a run of a lasting job of nine tasks. As soon as
/// they were back the job showed as failed, for good.
///
/// The order: nothing is known yet of the other three, whose polls are on their way to lives that are gone. The task is
/// started on the first of these, whose address answers that another life is there. That counts as a second crash under it,
/// and so does the answer of the next one, 20 ms later, as a third.
///
/// The cause: an answer that another life is there proves that the start was not carried out, and the crash is counted
/// under it all the same.
#[test]
fn lives_that_are_gone_fail_no_job() {
    let mut yard = Yard::new(20, 1_000);
    let id = yard.submit(1, lasting(9, 1_000, 1), 0);
    yard.run(300);
    yard.happen(&Event::Cut(9..12, 1_800));
    yard.run(50);
    yard.happen(&Event::Crash(0..1));
    yard.happen(&Event::Crash(9..12));
    yard.run(20_000);
    assert_eq!(yard.fault, None);
    assert_eq!(yard.cell.state(&id), Some(State::Running));
    assert!(yard.holder(&id, 0).is_some());
}

/// The same in one step: a start that was surely not carried out is no crash.
#[test]
fn answered_by_other_life_suspects_nobody() {
    let (mut world, worker, start) = ordered(&["w1", "w2"], lasting(1, 1_000, 0));
    let outcome = Outcome::Refused(Refusal::OtherLife);
    world.answer(&worker, &start, outcome);
    let change = world.cell.take_write_batch(100);
    let records = change.records.iter();
    let crashed: Vec<_> = records.flat_map(|(_, record)| &record.crashed).collect();
    assert!(crashed.is_empty(), "{crashed:?}");
}

/// The story: the power of all workers was lost three times within half a minute. The workers were back two seconds later;
/// the lasting tasks came back one after the other, the last of them 25 s later, beside workers with nothing to do.
///
/// The cause: a task under which three workers have crashed is tried alone, however long it ran on them, and one such task
/// at a time in the cell. The trial of a task that serves nobody takes 2 s and more: it ends with a report that lists the
/// run for a second, and polls are held for 2 s.
#[test]
fn suspects_run_soon_after_three_losses_of_power() {
    let mut yard = Yard::new(16, 1_000);
    yard.submit(1, lasting(12, 1_000, 1), 0);
    for _ in 0..3 {
        yard.run(8_000);
        yard.happen(&Event::Crash(0..16));
    }
    yard.run(12_000);
    assert_eq!(yard.waiting().len(), 0, "{:?}", yard.waiting());
}

/// The same with three workers that crash one after the other: tasks of a job without a spread are put on one worker, and
/// go on to the next one together. The last of eight was back after 16.5 s.
#[test]
fn suspects_run_soon_after_three_crashes() {
    let mut yard = Yard::new(16, 1_000);
    let id = yard.submit(1, lasting(8, 500, 0), 0);
    for _ in 0..3 {
        yard.run(8_000);
        crash_holder(&mut yard, &id, 7);
    }
    yard.run(12_000);
    assert_eq!(yard.waiting().len(), 0, "{:?}", yard.waiting());
}

/// The story: three workers crashed under one of two lasting tasks in 24 s, and it ran on. Then two crashed under the other
/// one, the second just after it had begun there. It did not run again for 22 s, beside 14 workers with nothing to do.
///
/// The cause: a task that is suspected a little waits while another one of its job is suspected much, which is to be tried
/// first. That one has been tried and runs; it stays much suspected for 30 s of its run, by how often its workers have
/// crashed at any time.
#[test]
fn suspect_runs_beside_one_that_was_tried() {
    let mut yard = Yard::new(16, 1_000);
    let id = yard.submit(1, lasting(2, 1_000, 1), 0);
    for _ in 0..3 {
        yard.run(8_000);
        crash_holder(&mut yard, &id, 0);
    }
    yard.run(8_000);
    assert!(yard.holder(&id, 0).is_some());
    crash_holder(&mut yard, &id, 1);
    yard.run(100);
    while yard.holder(&id, 1).is_none() {
        yard.run(100);
    }
    yard.run(200);
    crash_holder(&mut yard, &id, 1);
    yard.run(12_000);
    assert_eq!(yard.waiting().len(), 0, "{:?}", yard.waiting());
}

/// The story: a worker fell silent with a lasting task. When its leases were over, the task was given to another one that
/// had fallen silent a little later, beside one that answered and had room; it came to run only when the leases of that one
/// were over, too.
///
/// The cause: a worker whose poll has failed gets no work for half a second, and the next poll takes longer to fail; in
/// between it counts as any other, and the fullest of them is chosen.
#[test]
fn place_passes_silent_worker() {
    let (mut world, worker, _) = running(&["w1", "w2"], step(1, 1_000));
    world.cell.next_poll(&worker, world.now);
    world.cell.poll_failed(&worker, world.now);
    world.cell.next_poll(&worker, world.now + 10);
    world.now += 600;
    world.submit("00000000000000b2", vec![lasting(1, 1_000, 0)]);
    let starts = world.starts();
    assert_ne!(starts[0].0, worker);
}

/// The same once its leases are over: one that holds nothing is not held to answer anew, and got four tasks 5.5 s after it
/// was last heard.
#[test]
fn place_passes_silent_worker_without_leases() {
    let mut world = World::new(&["w1", "w2"]);
    world.cell.poll_failed("w1", world.now);
    world.now += 5_500;
    world.report("w2", vec![], vec![]);
    world.cell.expire_leases(world.now);
    world.submit(JOB, vec![lasting(1, 1_000, 0)]);
    let starts = world.starts();
    assert_eq!(&*starts[0].0, "w2");
}

/// The story: the count of lost places, which ought to be none, went up with an error in the log whenever a lasting job was
/// cancelled while the store was away.
///
/// The cause: tasks of a job that is over keep their places, and the job is kept until its end is written down. The count
/// does not leave out jobs that are over.
#[test]
fn lost_places_leaves_out_job_that_is_over() {
    let (mut world, worker, start) = running(&["w1"], lasting(1, 1_000, 0));
    assert!(world.cell.cancel(&Id::new(JOB).unwrap(), world.now, 1));
    world.report(
        &worker,
        vec![],
        vec![end(1, JOB, 0, start.run, EndCause::Stopped)],
    );
    assert_eq!(world.cell.misplaced_tasks(), 0);
}
