//! Workers that are lost while no owner watches them.

use {
    crate::{
        common::{JOB, World, entry, run, submission, task_end},
        seals::{key, seal},
        sim::Sim,
    },
    job::{Address, Crashes, Id, Record, State, Step},
    magpie_cell::{EndCause, Outcome, RunEnd},
    test_case::test_case,
};

/// Time from the loss of its worker until a long-running task runs again, in milliseconds.
const RESTART_LIMIT: u64 = 6_000;
/// The workers that live.
const LIVE: [&str; 4] = ["w2", "w3", "w4", "w5"];

fn step(count: u32) -> Step {
    crate::common::step(count, 1_000)
}

/// Guards against tasks that are started one after the other since their workers were lost together
/// with the owner.
#[test_case(1, Step { lasting: true, spread: 4, ..step(96) }, 8; "long-running tasks of a job")]
#[test_case(1, Step { lasting: true, spread: 4, ..step(96) }, 16; "long-running tasks of a third of the cell")]
#[test_case(12, Step { lasting: true, spread: 2, ..step(8) }, 8; "long-running tasks of several jobs")]
#[test_case(1, Step { spread: 4, ..step(96) }, 16; "batch tasks")]
fn tasks_lost_with_owner_restart_together(jobs: usize, step: Step, lost: usize) {
    let mut sim = Sim::new(48, 20_000);
    sim.hold_polls();
    let ids: Vec<String> = (0..jobs).map(|job| format!("{:016}", 100 + job)).collect();
    for id in &ids {
        sim.submit(id, step.clone());
    }
    sim.advance(8_000);
    for machine in 0..lost {
        sim.crash_silently(2 * machine, 30_000);
    }
    let records = sim.records();
    sim.advance(100);
    sim.take_over(&records);
    sim.advance(RESTART_LIMIT - 100);
    let is_running = |id: &&String| {
        let mut places = 0..step.count as usize;
        places.all(|place| sim.machine_of(id, place).is_some())
    };
    let running = ids.iter().filter(is_running).count();
    assert_eq!(running, jobs);
}

/// A new owner of five workers that does not hear the first one.
fn inherit(is_listed: bool, is_sealed: bool, record: &Record) -> World {
    let fleet: Vec<_> = ["w1"].iter().chain(&LIVE).map(|id| entry(id, 4)).collect();
    let mut live = fleet.clone();
    if !is_listed {
        live.remove(0);
    }
    let mut seals = Vec::new();
    if is_sealed {
        seals.push(seal("w1", &[key(JOB, 0)]));
    }
    let mut world = World::inheriting(live, fleet, seals);
    let submission = submission(JOB, vec![step(1)]);
    world.cell.resume(submission, record, world.now);
    world.recover();
    world
}

/// What was last persisted of the crashes of the task, and the state of its job.
fn persist(world: &mut World, last: &mut (Crashes, State)) {
    let batch = world.cell.take_write_batch(100);
    world.cell.batch_written(&batch);
    for (_, record) in &batch.records {
        *last = (record.crashes(0), record.state);
    }
}

/// Guards against a task that crashes its workers and is started without end, if each owner ends
/// before it observes the crash and only the seal of the worker names the task.
#[test]
fn crashes_under_sealed_workers_add_up() {
    const MAX_STARTS: u32 = 5;
    let observed = Crashes {
        early: 1,
        all: 1,
        evidence: 60,
        weighed: 1,
    };
    let mut last = (observed, State::Running);
    for _ in 1..MAX_STARTS {
        if last.1 == State::Failed {
            break;
        }
        let mut record = Record {
            state: State::Running,
            run: 1,
            ..Record::default()
        };
        record.set_crashes(&[(0, last.0)]);
        let mut world = inherit(false, true, &record);
        for _ in 0..90 {
            for id in LIVE {
                world.report(id, vec![], vec![]);
            }
            world.cell.rerank(world.now, world.now);
            world.cell.expire_leases(world.now);
            world.starts();
            persist(&mut world, &mut last);
            world.now += 100;
        }
    }
    assert_eq!(last.1, State::Failed, "{last:?}");
}

/// Guards against a task that crashes its workers and is started once more since the last of them
/// has not answered the new owner until its leases ended.
#[test_case(true, true; "listed and sealed")]
#[test_case(true, false; "listed")]
#[test_case(false, true; "sealed")]
#[test_case(false, false; "neither")]
fn crash_of_unheard_worker_is_counted(is_listed: bool, is_sealed: bool) {
    let mut record = Record {
        state: State::Running,
        run: 1,
        ..Record::default()
    };
    let crashes = Crashes {
        early: 2,
        all: 2,
        evidence: 120,
        weighed: 2,
    };
    record.set_crashes(&[(0, crashes)]);
    record.add_placement(0, "w1");
    let mut world = inherit(is_listed, is_sealed, &record);
    let mut last = (Crashes::default(), State::Running);
    for _ in 0..90 {
        for id in LIVE {
            world.report(id, vec![], vec![]);
        }
        world.cell.rerank(world.now, world.now);
        world.cell.expire_leases(world.now);
        assert!(world.starts().is_empty(), "{last:?}");
        persist(&mut world, &mut last);
        world.now += 100;
    }
    assert_eq!((last.0.all, last.1), (0, State::Failed), "{last:?}");
}

/// Guards against a crash that is counted when a task is stopped long after a takeover, since a
/// worker that was sealed with the task is removed meanwhile.
#[test]
fn seal_of_lost_worker_counts_no_later_crash() {
    let record = Record {
        state: State::Running,
        run: 1,
        ..Record::default()
    };
    let mut world = inherit(false, true, &record);
    let mut last = (Crashes::default(), State::Running);
    let mut before = None;
    let mut current: Option<(String, u64, u64)> = None;
    let mut stopped: Vec<(String, RunEnd)> = Vec::new();
    for _ in 0..150 {
        if let Some((on, number, at)) = current.clone()
            && world.now >= at + 3_000
            && stopped.is_empty()
        {
            let address = Address {
                time: 0,
                step: 0,
                index: 0,
            };
            let task = (Id::new(JOB).unwrap(), address);
            stopped.push((on, task_end(1, task, number, EndCause::Stopped)));
            current = None;
            before = Some(last.0);
        }
        for id in LIVE {
            let running = current.iter().filter(|(on, ..)| on == id);
            let running = running.map(|(_, number, _)| run(JOB, 0, *number)).collect();
            let ended = stopped.iter().filter(|(on, _)| on == id);
            let ended = ended.map(|(_, end)| end.clone()).collect();
            world.report(id, running, ended);
        }
        world.cell.expire_leases(world.now);
        for (worker, start) in world.starts() {
            world.answer(&worker, &start, Outcome::Done);
            current = Some((worker.to_string(), start.run, world.now));
        }
        persist(&mut world, &mut last);
        world.now += 100;
    }
    assert!(!stopped.is_empty() && current.is_some());
    assert_eq!(Some(last.0), before);
}
