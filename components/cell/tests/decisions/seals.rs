//! Seals: workers that get no work are recorded with their tasks, so that a new owner waits for
//! them only with these.

use {
    crate::common::{JOB, TIMING, World, end, entry, run, state, step},
    job::{Id, State, Step},
    magpie_cell::{Cell, EndCause, Entry, Outcome, Refusal, Seal, TaskKey},
    std::sync::Arc,
};

pub const OTHER_JOB: &str = "00000000000000b2";
/// Fence of the new owner.
pub const FENCE: u64 = 8;
/// A worker that has been unreachable for this long is sealed, in milliseconds.
pub const UNREACHABLE: u64 = 1_000;
/// A worker without an entry counts as leaving after this time, in milliseconds.
const UNLISTED: u64 = 2_700;

pub fn key(job: &str, place: usize) -> TaskKey {
    let job = Id::new(job).unwrap();
    TaskKey { job, place }
}

pub fn seal(worker: &str, tasks: &[TaskKey]) -> Seal {
    Seal {
        worker: worker.into(),
        tasks: tasks.to_vec(),
    }
}

fn leaving(id: &str) -> Entry {
    Entry {
        leaving: true,
        ..entry(id, 4)
    }
}

impl World {
    /// Creates a cell that seals workers, which have reported.
    pub fn sealing(workers: &[&str]) -> Self {
        let mut world = World::new(workers);
        world.cell.enable_sealing(true);
        world
    }

    /// Creates the cell of a new owner that knows these workers and the seals of the former one.
    pub fn inheriting(listed: Vec<Entry>, fleet: Vec<Entry>, seals: Vec<Seal>) -> Self {
        let mut cell = Cell::new(TIMING);
        cell.handle_listing(listed, 10_000);
        cell.restore_workers(fleet);
        cell.restore_seals(seals);
        World { cell, now: 10_000 }
    }

    pub fn recover(&mut self) {
        self.cell.recover_gradually(self.now, FENCE);
    }

    /// Runs a periodic pass. Returns the seals that the following batch writes, and persists it.
    pub fn written_seals(&mut self) -> Option<Vec<Seal>> {
        self.cell.expire_leases(self.now);
        let batch = self.cell.take_write_batch(100);
        self.cell.batch_written(&batch);
        batch.seals
    }

    /// Starts the tasks of a job on the only worker that reports, and confirms them.
    pub fn start_all(&mut self, id: &str, steps: Vec<Step>) -> Vec<Arc<str>> {
        self.submit(id, steps);
        let starts = self.starts();
        for (worker, start) in &starts {
            self.answer(worker, start, Outcome::Done);
        }
        starts.into_iter().map(|(worker, _)| worker).collect()
    }
}

/// A leaving worker is sealed with its tasks, and with none once they have ended.
#[test]
fn update_seals_leaving_worker() {
    let mut world = World::sealing(&["w1"]);
    world.start_all(JOB, vec![step(1, 1_000)]);
    assert_eq!(world.written_seals(), None);
    world.list(vec![leaving("w1")]);
    let sealed = vec![seal("w1", &[key(JOB, 0)])];
    assert_eq!(world.written_seals(), Some(sealed));
    assert_eq!(world.cell.sealed_workers(), 1);
    assert_eq!(world.written_seals(), None);
    world.now += 500;
    world.report("w1", vec![], vec![end(1, JOB, 0, 1, EndCause::Done)]);
    world.persist();
    world.persist();
    assert_eq!(world.written_seals(), Some(vec![seal("w1", &[])]));
}

/// A worker without an entry in the listing is sealed like a leaving one.
#[test]
fn update_seals_unlisted_worker() {
    let mut world = World::sealing(&["w1", "w2"]);
    for _ in 0..2 {
        world.list(vec![entry("w2", 4)]);
        assert_eq!(world.written_seals(), None);
        world.now += UNLISTED / 2;
    }
    world.list(vec![entry("w2", 4)]);
    assert_eq!(world.written_seals(), Some(vec![seal("w1", &[])]));
}

#[test]
fn update_seals_unreachable_worker() {
    let mut world = World::sealing(&["w1"]);
    world.start_all(JOB, vec![step(1, 1_000)]);
    world.cell.poll_failed("w1", world.now);
    world.now += UNREACHABLE - 1;
    assert_eq!(world.written_seals(), None);
    world.now += 1;
    let sealed = vec![seal("w1", &[key(JOB, 0)])];
    assert_eq!(world.written_seals(), Some(sealed));
}

/// A start that has no answer may still be carried out, so its task is recorded.
#[test]
fn update_seals_unanswered_start() {
    let mut world = World::sealing(&["w1"]);
    world.submit(JOB, vec![step(1, 1_000)]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Unknown);
    world.list(vec![leaving("w1")]);
    let sealed = vec![seal("w1", &[key(JOB, 0)])];
    assert_eq!(world.written_seals(), Some(sealed));
    world.now += 10;
    world.answer(&worker, &start, Outcome::Refused(Refusal::Late));
    world.now += 500;
    assert_eq!(world.written_seals(), Some(vec![seal("w1", &[])]));
}

/// A new owner would not know that a task is done whose end is not persisted.
#[test]
fn update_seals_after_ends_are_written() {
    let mut world = World::sealing(&["w1"]);
    world.start_all(JOB, vec![step(1, 1_000)]);
    world.now += 10;
    world.report("w1", vec![], vec![end(1, JOB, 0, 1, EndCause::Done)]);
    world.cell.handle_listing(vec![leaving("w1")], world.now);
    world.cell.expire_leases(world.now);
    let batch = world.cell.take_write_batch(100);
    assert!(!batch.records.is_empty());
    assert_eq!(batch.seals, None);
    world.cell.batch_failed(batch);
    assert_eq!(world.written_seals(), None);
    assert_eq!(world.written_seals(), Some(vec![seal("w1", &[])]));
}

/// As above, for a sealed worker: the task stays recorded until its end is persisted.
#[test]
fn take_write_batch_keeps_task_with_unwritten_end() {
    let mut world = World::sealing(&["w1", "w2"]);
    let workers = world.start_all(JOB, vec![step(1, 1_000)]);
    let id = &*workers[0];
    let other = crate::common::other_worker(id);
    let entries = |other_leaves| {
        let other_entry = Entry {
            leaving: other_leaves,
            ..entry(other, 4)
        };
        vec![leaving(id), other_entry]
    };
    world.list(entries(false));
    let sealed = seal(id, &[key(JOB, 0)]);
    assert_eq!(world.written_seals(), Some(vec![sealed.clone()]));
    world.now += 1_000;
    world.report(id, vec![], vec![end(1, JOB, 0, 1, EndCause::Done)]);
    world.cell.handle_listing(entries(true), world.now);
    let written = world.written_seals().unwrap();
    assert!(written.contains(&sealed));
    assert_eq!(state(&world), Some(State::Completed));
    world.now += 1_000;
    let written = world.written_seals().unwrap();
    assert!(written.contains(&seal(id, &[])));
}

/// The tasks alone are written again at most twice a second.
#[test]
fn update_seals_limits_rewrites() {
    let mut world = World::sealing(&["w1"]);
    world.start_all(JOB, vec![step(4, 100)]);
    world.list(vec![leaving("w1")]);
    world.written_seals();
    let mut rewrites = 0;
    for place in 0..4 {
        let runs = (place + 1..4).map(|index| run(JOB, index, 1)).collect();
        let mut ended = end(u64::from(place) + 1, JOB, 0, 1, EndCause::Done);
        ended.address.index = place;
        for _ in 0..4 {
            world.now += 100;
            world.report("w1", Vec::clone(&runs), vec![ended.clone()]);
            rewrites += usize::from(world.written_seals().is_some());
        }
    }
    assert!((1..=4).contains(&rewrites), "{rewrites} rewrites");
}

/// Nothing may start on a worker from the moment that the batch with its seal is built.
#[test]
fn take_write_batch_closes_sealed_worker() {
    let mut world = World::sealing(&["w1"]);
    world.cell.poll_failed("w1", world.now);
    world.now += UNREACHABLE;
    world.cell.expire_leases(world.now);
    let batch = world.cell.take_write_batch(100);
    assert!(batch.seals.is_some());
    world.report("w1", vec![], vec![]);
    world.now += 1_000;
    world.submit(JOB, vec![step(1, 1_000)]);
    assert!(world.starts().is_empty());
    world.cell.batch_written(&batch);
    assert!(world.starts().is_empty());
    // The report has made a batch without the seal due.
    let batch = world.cell.take_write_batch(100);
    assert_eq!(batch.seals, Some(vec![]));
    assert!(world.starts().is_empty());
    world.cell.batch_written(&batch);
    assert_eq!(world.starts().len(), 1);
}

/// A batch whose answer is lost may have been written: its seals count as in force, and the seals
/// that it withdraws as well.
#[test]
fn batch_failed_keeps_seals_in_force() {
    let mut world = World::sealing(&["w1"]);
    world.list(vec![leaving("w1")]);
    world.cell.expire_leases(world.now);
    let batch = world.cell.take_write_batch(100);
    assert_eq!(batch.seals, Some(vec![seal("w1", &[])]));
    world.cell.batch_failed(batch);
    assert!(world.cell.is_dirty());
    world.cell.handle_listing(vec![entry("w1", 4)], world.now);
    world.submit(JOB, vec![step(1, 1_000)]);
    assert!(world.starts().is_empty());
    world.cell.expire_leases(world.now);
    let batch = world.cell.take_write_batch(100);
    assert_eq!(batch.seals, Some(vec![]));
    world.cell.batch_failed(batch);
    assert!(world.starts().is_empty());
    assert_eq!(world.written_seals(), Some(vec![]));
    assert_eq!(world.starts().len(), 1);
}

/// A worker that leaves again before the withdrawal is written stays closed.
#[test]
fn batch_written_keeps_seal_that_is_renewed() {
    let mut world = World::sealing(&["w1"]);
    world.list(vec![leaving("w1")]);
    assert!(world.written_seals().is_some());
    world.list(vec![entry("w1", 4)]);
    world.cell.expire_leases(world.now);
    let withdrawal = world.cell.take_write_batch(100);
    assert_eq!(withdrawal.seals, Some(vec![]));
    world.cell.batch_failed(withdrawal);
    world.cell.handle_listing(vec![leaving("w1")], world.now);
    assert_eq!(world.written_seals(), Some(vec![seal("w1", &[])]));
    assert_eq!(world.cell.sealed_workers(), 1);
}

/// At most 2,000 tasks are recorded. Workers beyond that stay unsealed.
#[test]
fn update_seals_respects_limit() {
    let entries = |leaving| {
        let of = |id| Entry {
            leaving,
            ..entry(id, 1_001)
        };
        vec![of("w1"), of("w2"), of("w3")]
    };
    let mut world = World::sealing(&[]);
    world.list(entries(false));
    for (worker, job) in [("w1", JOB), ("w2", OTHER_JOB)] {
        world.report(worker, vec![], vec![]);
        let count = world.start_all(job, vec![step(1_001, 1_000)]).len();
        assert_eq!(count, 1_001);
        let runs = (0..1_001).map(|index| run(job, index, 1)).collect();
        world.report(worker, runs, vec![]);
    }
    world.report("w3", vec![], vec![]);
    world.list(entries(true));
    let seals = world.written_seals().unwrap();
    let sealed: Vec<&str> = seals.iter().map(|seal| &*seal.worker).collect();
    assert_eq!(sealed, ["w1", "w3"]);
    assert_eq!(seals[0].tasks.len(), 1_001);
    world.now += 1_000;
    assert_eq!(world.written_seals(), None);
}

/// Without sealing a leaving worker costs no write.
#[test]
fn update_seals_disabled() {
    let mut world = World::new(&["w1"]);
    world.list(vec![leaving("w1")]);
    assert_eq!(world.written_seals(), None);
    assert!(!world.cell.is_dirty());
}

/// The same holds after a takeover that waits for all workers.
#[test]
fn recover_writes_no_seals() {
    let mut world = World::without_reports(&["w1"]);
    world.cell.recover(world.now);
    world.report("w1", vec![], vec![]);
    world.list(vec![leaving("w1")]);
    assert_eq!(world.written_seals(), None);
}

/// Runs of jobs that this owner does not know cannot be named as a later owner would.
#[test]
fn update_seals_skips_worker_with_unknown_run() {
    let mut world = World::sealing(&["w1"]);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world.list(vec![leaving("w1")]);
    assert_eq!(world.written_seals(), None);
    world.now += 10;
    world.report("w1", vec![], vec![end(1, JOB, 0, 1, EndCause::Stopped)]);
    world.persist();
    assert_eq!(world.written_seals(), Some(vec![seal("w1", &[])]));
}

/// A worker that the new owner has not heard from is not sealed by it.
#[test]
fn recover_gradually_seals_only_heard_workers() {
    let workers = vec![leaving("w1"), entry("w2", 4)];
    let mut world = World::inheriting(workers.clone(), workers, vec![]);
    world.recover();
    assert_eq!(world.written_seals(), None);
    world.report("w1", vec![], vec![]);
    assert_eq!(world.written_seals(), Some(vec![seal("w1", &[])]));
}

/// Seals of workers that have not answered are written with the first batch, and until then they
/// are given no work.
#[test]
fn restore_seals_carries_seals_on() {
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    let sealed = seal("w1", &[key(JOB, 0)]);
    let mut world = World::inheriting(workers.clone(), workers, vec![sealed.clone()]);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.recover();
    world.report("w2", vec![], vec![]);
    assert_eq!(world.written_seals(), Some(vec![sealed]));
    world.now += 1_000;
    assert_eq!(world.written_seals(), None);
    world.report("w1", vec![], vec![]);
    world.submit(OTHER_JOB, vec![step(8, 1_000)]);
    let starts = world.starts();
    assert!(starts.iter().all(|(worker, _)| &**worker == "w2"));
    assert_eq!(world.written_seals(), Some(vec![]));
    let starts = world.starts();
    assert!(starts.iter().any(|(worker, _)| &**worker == "w1"));
}

/// A worker with such a run is not sealed: the run is in no slot.
#[test]
fn update_seals_skips_worker_with_pending_run() {
    let workers = vec![leaving("w1"), entry("w2", 4)];
    let mut world = World::inheriting(workers.clone(), workers, vec![]);
    world.recover();
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    assert_eq!(world.written_seals(), None);
    world.submit(JOB, vec![step(1, 1_000)]);
    let sealed = vec![seal("w1", &[key(JOB, 0)])];
    assert_eq!(world.written_seals(), Some(sealed));
}
