//! What holds a ready batch task back: each hold ends by itself or within a bound.

use {
    crate::{
        common::{JOB, World, end, entry, large_cell, other_worker, run, step, submission},
        seals::{OTHER_JOB, UNREACHABLE},
    },
    job::{Address, Crashes, Id, Record, State, Step},
    magpie_cell::{EndCause, Entry, Listing, Outcome, Refusal, Run, RunEnd, Start},
    test_case::test_case,
};

/// Maximum time without a run of a job that has ready tasks, in milliseconds, while most capacity
/// is free.
const MAX_IDLE: u64 = 3_000;
/// Interval between two passes of the tests, in milliseconds.
const TICK: u64 = 100;
/// Time from the last answer of a worker until all its leases have expired, in milliseconds.
const LEASE_END: u64 = 4_900;
/// How long a worker is quarantined, in milliseconds.
const QUARANTINE: u64 = 3_000;
/// When long-running tasks that wait are overdue, in milliseconds.
const OVERDUE_AFTER: u64 = 2_000;
const LASTING_JOB: &str = "00000000000000c3";

impl World {
    /// Resumes a job with this record.
    fn resume_with(&mut self, id: &str, steps: Vec<Step>, record: &Record) {
        self.cell.resume(submission(id, steps), record, 1);
    }

    /// Returns the time until the first start of a task, in milliseconds, with a pass and an action
    /// each tick; `None` if it takes longer than this.
    fn time_to_start(
        &mut self,
        job: &str,
        place: usize,
        most: u64,
        mut act: impl FnMut(&mut World, u64),
    ) -> Option<u64> {
        let since = self.now;
        let job = Id::new(job).unwrap();
        while self.now - since <= most {
            self.cell.rerank(self.now, self.now);
            self.cell.expire_leases(self.now);
            let starts = self.starts();
            let is_task = |start: &Start| start.key.job == job && start.key.place == place;
            if starts.iter().any(|(_, start)| is_task(start)) {
                return Some(self.now - since);
            }
            self.now += TICK;
            let elapsed = self.now - since;
            act(self, elapsed);
        }
        None
    }
}

/// The record of a job under whose tasks workers have crashed this often at their start.
fn crashed(tasks: impl IntoIterator<Item = (u32, u32)>) -> Record {
    let crashes = |early| Crashes {
        early,
        all: early,
        ..Crashes::default()
    };
    let crashed = tasks
        .into_iter()
        .map(|(place, early)| (place, crashes(early)));
    Record {
        state: State::Running,
        run: 2,
        crashed: crashed.collect(),
        ..Record::default()
    }
}

/// Guards against a task whose crashes are persisted and that waits until no crash of any task of
/// its job is changed between two writes.
#[test]
fn crashes_persisted_while_those_of_others_change() {
    const OTHERS: usize = 45;
    let mut world = large_cell(OTHERS + 4);
    let name = |number: usize| format!("w{number:05}");
    let others = (1..=OTHERS).map(|place| (place as u32, 1));
    let record = crashed([(0, 1)].into_iter().chain(others));
    world.resume_with(JOB, vec![step(OTHERS as u32 + 1, 4_000)], &record);
    for place in 1..=OTHERS {
        world.report(&name(place), vec![run(JOB, place as u32, 2)], vec![]);
    }
    let (worker, start) = world.starts()[0].clone();
    assert_eq!(start.key.place, 0);
    world.answer(&worker, &start, Outcome::Done);
    world.now += 950;
    world
        .cell
        .end_incarnation(&worker, "it has crashed", world.now);
    let waited = world.time_to_start(JOB, 0, 4_000, |world, elapsed| {
        // While each batch is written, the run of another suspect proves to be healthy.
        let batch = world.cell.take_write_batch(100);
        let place = (elapsed / TICK) as usize;
        world.report(&name(place), vec![run(JOB, place as u32, 2)], vec![]);
        world.cell.batch_written(&batch);
    });
    assert!(
        waited.is_some_and(|waited| waited <= MAX_IDLE),
        "{waited:?}"
    );
}

/// Guards against the holds of a suspect after one another: while the store takes no writes its
/// crash is weighed, and the delay of its trial passes.
#[test]
fn suspect_starts_with_first_write_after_outage() {
    const OUTAGE: u64 = 6_000;
    let names = ["w1", "w2", "w3", "w4"];
    let mut world = World::new(&names);
    world.resume_with(JOB, vec![step(1, 1_000)], &crashed([(0, 1)]));
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    world
        .cell
        .end_incarnation(&worker, "it has crashed", world.now);
    let waited = world.time_to_start(JOB, 0, 10_000, |world, elapsed| {
        for name in names.into_iter().filter(|name| **name != *worker) {
            world.report(name, vec![], vec![]);
        }
        let batch = world.cell.take_write_batch(100);
        if elapsed < OUTAGE {
            world.cell.batch_failed(batch);
        } else {
            world.cell.batch_written(&batch);
        }
    });
    assert_eq!(waited, Some(OUTAGE));
}

/// Guards against suspects that wait for a suspect of a gang that no worker can take.
#[test_case(false)]
#[test_case(true; "another job in line for the same workers")]
fn suspect_starts_beside_unplaceable_gang(has_other: bool) {
    let gang = Step {
        gang: true,
        label: Some("gone".into()),
        ..step(3, 1_000)
    };
    let mut world = World::new(&["w1", "w2", "w3", "w4"]);
    if has_other {
        let label = gang.label.clone();
        let single = Step {
            label,
            ..step(1, 1_000)
        };
        world.submit("0000000000000001", vec![single]);
    }
    world.resume_with(JOB, vec![gang, step(1, 1_000)], &crashed([(0, 2), (3, 1)]));
    let waited = world.time_to_start(JOB, 3, 30_000, |world, _| {
        for worker in ["w1", "w2", "w3", "w4"] {
            world.report(worker, vec![], vec![]);
        }
    });
    assert!(
        waited.is_some_and(|waited| waited <= MAX_IDLE),
        "{waited:?}"
    );
}

/// Guards against passes that end at their limit of checks, for tasks that no worker can take,
/// before they reach a job that could start.
#[test_case(&failed(120); "failed before")]
#[test_case(&crashed((0..120).map(|place| (place, 1))); "suspects")]
#[test_case(&crashed((0..120).map(|place| (place, 2))); "suspects to isolate")]
fn job_starts_behind_many_unplaceable_tasks(record: &Record) {
    let mut world = large_cell(2_000);
    let step_of_gone = Step {
        label: Some("gone".into()),
        ..step(120, 1_000)
    };
    world.resume_with(JOB, vec![step_of_gone], record);
    world.submit(OTHER_JOB, vec![step(1, 1_000)]);
    let waited = world.time_to_start(OTHER_JOB, 0, 5_000, |_, _| {});
    assert!(
        waited.is_some_and(|waited| waited <= MAX_IDLE),
        "{waited:?}"
    );
}

/// The record of a job each of whose tasks has failed once.
fn failed(tasks: u32) -> Record {
    Record {
        state: State::Running,
        run: 2,
        failed: (0..tasks).map(|place| (place, vec![1])).collect(),
        ..Record::default()
    }
}

/// Creates a cell whose only worker has just been quarantined.
fn quarantined_world() -> World {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(2, 1_000)]);
    assert_eq!(world.starts().len(), 2);
    let ends = (0..2).map(|index| {
        let end = end(u64::from(index) + 1, JOB, 0, 1, EndCause::Failed);
        let address = Address {
            index,
            ..end.address
        };
        RunEnd { address, ..end }
    });
    world.report("w1", vec![], ends.collect());
    world.cell.cancel(&Id::new(JOB).unwrap(), world.now, 1);
    world
}

/// Guards against work that is offered to a worker long after its quarantine has ended.
#[test]
fn job_starts_when_quarantine_ends() {
    let mut world = quarantined_world();
    world.now += 300;
    world.submit(OTHER_JOB, vec![step(1, 1_000)]);
    let waited = world.time_to_start(OTHER_JOB, 0, 5_000, |_, _| {});
    assert_eq!(waited, Some(QUARANTINE - 300));
}

/// Guards against an overdue long-running task that is not tried on quarantined workers, since a
/// batch task found no other.
#[test]
fn overdue_task_starts_behind_batch_task_on_quarantined_worker() {
    let mut world = quarantined_world();
    world.now += 300;
    world.submit(OTHER_JOB, vec![step(1, 1_000)]);
    let lasting = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    world.submit(LASTING_JOB, vec![lasting]);
    let waited = world.time_to_start(LASTING_JOB, 0, 5_000, |_, _| {});
    assert!(
        waited.is_some_and(|waited| waited <= OVERDUE_AFTER + TICK),
        "{waited:?}"
    );
}

/// Guards against members of a gang that wait for one that surely does not start, until their
/// workers give up.
#[test]
fn gang_is_stopped_after_refused_member() {
    let gang = Step {
        gang: true,
        ..step(2, 3_000)
    };
    let mut world = World::new(&["w1", "w2", "w3"]);
    world.submit(JOB, vec![gang]);
    let starts = world.starts();
    let [(first, accepted), (second, refused)] = &starts[..] else {
        panic!("{starts:?}");
    };
    world.answer(first, accepted, Outcome::Done);
    world.answer(second, refused, Outcome::Refused(Refusal::Room));
    assert_eq!(world.stops(), [(first.clone(), accepted.run)]);
}

/// The same if the start of the member had no answer and its worker does not list it.
#[test]
fn gang_is_stopped_after_lost_member() {
    let gang = Step {
        gang: true,
        ..step(2, 3_000)
    };
    let mut world = World::new(&["w1", "w2", "w3"]);
    world.submit(JOB, vec![gang]);
    let starts = world.starts();
    let [(first, accepted), (second, lost)] = &starts[..] else {
        panic!("{starts:?}");
    };
    world.answer(first, accepted, Outcome::Done);
    world.answer(second, lost, Outcome::Unknown);
    world.now += 1_600;
    world.report(second, vec![], vec![]);
    assert_eq!(world.stops(), [(first.clone(), accepted.run)]);
}

/// Guards against work that is given to a worker nobody polls any more: each start postpones the
/// end of its leases, and thereby the next start of its tasks.
#[test]
fn unpolled_worker_gets_no_work() {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![step(1, 2_000)]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    let other = other_worker(&worker);
    let mut number = 0xc000;
    let waited = world.time_to_start(JOB, 0, 30_000, |world, _| {
        number += 1;
        world.submit(&format!("{number:016x}"), vec![step(1, 5)]);
        world.report(other, vec![], vec![]);
    });
    assert!(
        waited.is_some_and(|waited| waited <= MAX_IDLE + LEASE_END),
        "{waited:?}"
    );
}

/// A probe that hangs keeps a worker that has failed from other tasks for the length of a
/// quarantine, which ends with its first confirmation.
#[test]
fn hanging_probe_holds_worker_for_quarantine() {
    let mut world = quarantined_world();
    world.submit(OTHER_JOB, vec![step(2, 1_000)]);
    world.now += QUARANTINE;
    world.report("w1", vec![], vec![]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    let waited = world.time_to_start(OTHER_JOB, 1, 10_000, |world, _| {
        world.report("w1", vec![run(OTHER_JOB, 0, start.run)], vec![]);
    });
    assert_eq!(waited, Some(QUARANTINE));
}

/// A task that has failed waits for workers that have just failed no longer than a quarantine, also
/// if there are no others.
#[test]
fn failed_task_waits_for_failed_workers() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(1, 1_000)]);
    assert_eq!(world.starts().len(), 1);
    let failed = end(1, JOB, 0, 1, EndCause::Failed);
    world.report("w1", vec![], vec![failed]);
    let waited = world.time_to_start(JOB, 0, 10_000, |_, _| {});
    assert_eq!(waited, Some(QUARANTINE));
}

/// A worker that never answers a new owner holds tasks until the leases of the former one are over,
/// and one that does holds them until it answers.
#[test_case(None, LEASE_END; "never answers")]
#[test_case(Some(2_000), 2_000; "answers late")]
fn unheard_worker_holds_tasks(answer: Option<u64>, longest: u64) {
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    let mut world = World::inheriting(workers.clone(), workers, vec![]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.recover();
    let waited = world.time_to_start(JOB, 0, 10_000, |world, elapsed| {
        world.report("w2", vec![], vec![]);
        if answer.is_some_and(|answer| elapsed >= answer) {
            world.report("w1", vec![], vec![]);
        }
    });
    assert!(
        waited.is_some_and(|waited| waited <= longest + TICK),
        "{waited:?}"
    );
}

/// The task of a worker whose successor never answers starts elsewhere once the leases of the
/// worker are over.
#[test]
fn silent_successor_holds_task_until_leases_end() {
    let incarnation = |started| Entry {
        id: Entry::incarnation_id("w1", Some(started)),
        started: Some(started),
        ..entry("w1", 4)
    };
    let first = incarnation(1);
    let id = first.id.clone();
    let mut world = World::without_reports(&[]);
    world.list(vec![first]);
    world.report(&id, vec![], vec![]);
    world.submit(JOB, vec![step(1, 1_000)]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    world.list(vec![incarnation(2), entry("w2", 4)]);
    world.now += TICK;
    let now = world.now;
    assert!(world.cell.handle_successor(&id, 2, now, now).is_some());
    let waited = world.time_to_start(JOB, 0, 10_000, |world, _| {
        world.report("w2", vec![], vec![]);
        let later = Entry::incarnation_id("w1", Some(2));
        world.cell.poll_failed(&later, world.now);
    });
    assert!(
        waited.is_some_and(|waited| waited <= LEASE_END + TICK),
        "{waited:?}"
    );
}

/// A worker whose seal is to be withdrawn gets work with the first batch that is written, however
/// many failed before.
#[test]
fn withdrawn_seal_holds_worker_until_write() {
    let mut world = World::sealing(&["w1"]);
    world.cell.poll_failed("w1", world.now);
    world.now += UNREACHABLE;
    assert!(world.written_seals().is_some());
    world.submit(JOB, vec![step(1, 1_000)]);
    let waited = world.time_to_start(JOB, 0, 10_000, |world, elapsed| {
        world.report("w1", vec![], vec![]);
        let batch = world.cell.take_write_batch(100);
        if elapsed < 2_000 {
            world.cell.batch_failed(batch);
        } else {
            world.cell.batch_written(&batch);
        }
    });
    assert!(
        waited.is_some_and(|waited| waited <= 2_000 + 2 * TICK),
        "{waited:?}"
    );
}

/// Guards against suspects that wait for trials on workers that have fallen silent until their
/// leases are over, while nothing of their job runs.
#[test_case(&crashed((0..5).map(|place| (place, 1))), 4; "shared")]
#[test_case(&crashed((0..2).map(|place| (place, 2))), 1; "isolated")]
#[test_case(&crashed([(0, 2), (1, 1)]), 1; "shared behind isolated")]
fn suspect_starts_beside_silent_trials(record: &Record, trials: usize) {
    let names: Vec<String> = (0..8).map(|number| format!("w{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = World::new(&names);
    let tasks = record.crashed.len() as u32;
    world.resume_with(JOB, vec![step(tasks, 1_000)], record);
    let starts = world.starts();
    assert_eq!(starts.len(), trials);
    for (worker, start) in &starts {
        world.answer(worker, start, Outcome::Done);
    }
    let last = trials;
    let waited = world.time_to_start(JOB, last, 10_000, |world, _| {
        for name in &names {
            if starts.iter().any(|(worker, _)| **worker == **name) {
                world.cell.poll_failed(name, world.now);
            } else {
                world.report(name, vec![], vec![]);
            }
        }
    });
    assert!(
        waited.is_some_and(|waited| waited <= MAX_IDLE),
        "{waited:?}"
    );
}

/// A worker with runs of a job that is not known yet gets work once the jobs have been read again.
#[test]
fn pending_runs_hold_worker_until_reread() {
    let workers = vec![entry("w1", 4)];
    let mut world = World::inheriting(workers.clone(), workers, vec![]);
    world.recover();
    world.resume(JOB, vec![step(1, 1_000)]);
    world.report("w1", vec![run(OTHER_JOB, 0, 1)], vec![]);
    assert!(world.cell.is_reread_due());
    let waited = world.time_to_start(JOB, 0, 10_000, |world, elapsed| {
        if elapsed >= 1_000 {
            world.cell.jobs_reread();
        }
        world.report("w1", vec![run(OTHER_JOB, 0, 1)], vec![]);
    });
    assert!(
        waited.is_some_and(|waited| waited <= 1_000 + TICK),
        "{waited:?}"
    );
}

/// A worker whose entry cannot be read gets work with the first listing in which it can.
#[test]
fn unreadable_entry_holds_worker_until_listing() {
    let mut world = World::new(&["w1"]);
    let listing = Listing {
        entries: vec![],
        unreadable: vec!["w1".into()],
    };
    world.cell.handle_listing(listing, world.now);
    world.submit(JOB, vec![step(1, 1_000)]);
    let waited = world.time_to_start(JOB, 0, 10_000, |world, elapsed| {
        world.report("w1", vec![], vec![]);
        if elapsed == 1_000 {
            world.list(vec![entry("w1", 4)]);
        }
    });
    assert_eq!(waited, Some(1_000));
}

/// Guards against best-effort tasks that wait for the last trend of a serving job without readings.
#[test]
fn best_effort_task_starts_beside_serving_job_without_readings() {
    let serving = Step {
        lasting: true,
        target: 50,
        image: Some("s".into()),
        ..step(1, 1_000)
    };
    let best_effort = Step {
        fills: true,
        image: Some("f".into()),
        ..step(1, 500)
    };
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![serving]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    let report = |world: &mut World, figure| {
        let run = Run {
            figure,
            ..run(JOB, 0, 1)
        };
        world.report("w1", vec![run], vec![]);
    };
    for figure in [15, 15, 15, 16, 18, 20, 23, 27, 32, 38, 45] {
        world.now += 500;
        report(&mut world, figure);
    }
    world.submit(OTHER_JOB, vec![best_effort]);
    let waited = world.time_to_start(OTHER_JOB, 0, 40_000, |world, _| report(world, 0));
    assert!(
        waited.is_some_and(|waited| waited <= MAX_IDLE),
        "{waited:?}"
    );
}
