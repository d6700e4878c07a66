//! Free capacity must not stay unused while long-running tasks wait.

use {
    crate::common::{JOB, World, end, run, step, with_ordered_start},
    job::{Id, Step},
    magpie_cell::{EndCause, Outcome, Refusal, RunEnd},
};

/// The job whose tasks fail.
const OTHER: &str = "00000000000000b2";

fn long_running(count: u32, cpu: u64) -> Step {
    Step {
        lasting: true,
        ..step(count, cpu)
    }
}

fn failing_end(index: u32, how: EndCause) -> RunEnd {
    let mut end = end(1 + u64::from(index), OTHER, 0, 1, how);
    end.address.index = index;
    end
}

/// Creates a worker of 4 cores that is quarantined after two consecutive failures of one-core runs.
/// A third run continues.
fn quarantined_worker() -> World {
    let mut world = World::new(&["w1"]);
    world.submit(OTHER, vec![step(3, 1_000)]);
    let starts = world.starts();
    assert_eq!(starts.len(), 3);
    for (worker, start) in &starts {
        world.answer(worker, start, Outcome::Done);
    }
    let failed = [0, 1].map(|index| failing_end(index, EndCause::Failed));
    world.report("w1", vec![run(OTHER, 2, 1)], failed.to_vec());
    world.cell.cancel(&Id::new(OTHER).unwrap(), world.now, 1);
    world
}

/// Guards against a worker that is neither open nor quarantined. A successful run cleared its
/// failures but not the time of its quarantine, and long-running tasks, which may use quarantined
/// workers, were excluded: up to 36 cores were free for 2.1 s while hundreds of them waited.
#[test]
fn success_ends_quarantine_for_long_running_tasks() {
    let mut world = quarantined_worker();
    world.submit(JOB, vec![long_running(1, 3_000)]);
    world.cell.rerank(1_000, world.now);
    world.now += 100;
    let done = failing_end(2, EndCause::Done);
    world.report("w1", vec![], vec![done]);
    world.now += 2_000;
    world.cell.rerank(3_100, world.now);
    world.report("w1", vec![], vec![]);
    let starts = world.starts();
    assert_eq!(starts.len(), 1, "no start with 4 free cores");
    assert_eq!(starts[0].1.key.job.as_str(), JOB);
}

/// A quarantined worker is probed with one long-running task, and got the next one only after that
/// had run for 3 s and was reported. Long-running tasks may wait beside free capacity for 3 s in
/// total, so that this alone broke the limit: up to 26 cores were free for 3.2 s.
#[test]
fn quarantined_worker_takes_next_long_running_task_in_time() {
    let mut world = quarantined_worker();
    world.report("w1", vec![], vec![]);
    world.submit(JOB, vec![long_running(2, 1_000)]);
    world.cell.rerank(1_000, world.now);
    world.now += 2_100;
    world.cell.rerank(3_100, world.now);
    let probe = world.starts();
    assert_eq!(probe.len(), 1);
    let (worker, start) = probe[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    // Reported by the next poll and then every 0.5 s.
    for poll in 1..6 {
        world.now += 500;
        world.cell.rerank(3_100 + poll * 500, world.now);
        let mut reported = run(JOB, 0, 1);
        reported.address = start.address;
        world.report("w1", vec![reported], vec![]);
        if !world.starts().is_empty() {
            return;
        }
    }
    panic!("a task waits beside free capacity for 2.5 s, and for at least 0.5 s more");
}

/// Starts that a relay withdraws because their job was cancelled are not refusals of the worker.
/// When they counted as such, the worker got no work for 0.5 s: 51 cores were free while hundreds
/// of long-running tasks waited.
#[test]
fn withdrawn_start_does_not_close_worker() {
    let (mut world, worker, start) = with_ordered_start(&["w1"], step(1, 1_000));
    world.cell.cancel(&Id::new(JOB).unwrap(), world.now, 1);
    world.now += 50;
    world.answer(&worker, &start, Outcome::Refused(Refusal::NotSent));
    world.submit(OTHER, vec![long_running(1, 3_000)]);
    assert_eq!(world.starts().len(), 1, "no start with 4 free cores");
}

/// The stopped run of a cancelled job must not count as a misplaced task, which indicates a bug.
/// The job was cancelled 0.3 s before the end of its run was reported.
#[test]
fn cancelled_task_is_not_misplaced() {
    let (mut world, worker, start) = with_ordered_start(&["w1"], long_running(1, 1_000));
    world.answer(&worker, &start, Outcome::Done);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world.cell.cancel(&Id::new(JOB).unwrap(), world.now, 1);
    world.now += 300;
    world.report("w1", vec![], vec![end(1, JOB, 0, 1, EndCause::Stopped)]);
    assert_eq!(world.cell.misplaced_tasks(), 0);
}
