//! Gradual takeover: a task starts as soon as it surely neither runs on a worker that has not
//! answered nor can be started there.

use {
    crate::{
        common::{JOB, World, entry, run, step, submission},
        seals::{FENCE, OTHER_JOB, UNREACHABLE, key, seal},
    },
    job::{Id, Record, Step, Submission},
    magpie_cell::{Entry, Order},
    test_case::test_case,
};

fn fenced(id: &str, steps: Vec<Step>, fence: u64) -> Submission {
    Submission {
        fence,
        ..submission(id, steps)
    }
}

impl World {
    fn starts_of(&mut self, id: &str) -> usize {
        let id = Id::new(id).unwrap();
        let starts = self.starts();
        let of_job = starts.iter().filter(|(_, start)| start.key.job == id);
        of_job.count()
    }
}

/// Only the recorded tasks wait for a sealed worker.
#[test]
fn recover_gradually_waits_for_recorded_tasks() {
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    let seals = vec![seal("w1", &[key(JOB, 1)])];
    let mut world = World::inheriting(workers.clone(), workers, seals);
    world.resume(JOB, vec![step(3, 1_000)]);
    world.recover();
    world.report("w2", vec![], vec![]);
    let starts = world.starts();
    let places: Vec<usize> = starts.iter().map(|(_, start)| start.key.place).collect();
    assert_eq!(places, [0, 2]);
    assert_eq!(world.cell.tasks_waiting_unheard(world.now), 1);
    assert_eq!(world.cell.first_placement(), Some(world.now));
    world.now += 10;
    world.report("w1", vec![], vec![]);
    assert_eq!(world.starts().len(), 1);
    assert_eq!(world.cell.tasks_waiting_unheard(world.now), 0);
}

/// A recorded task that runs is adopted when its worker answers.
#[test]
fn recover_gradually_adopts_recorded_task() {
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    let seals = vec![seal("w1", &[key(JOB, 0)])];
    let mut world = World::inheriting(workers.clone(), workers, seals);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.recover();
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    assert!(world.starts().is_empty());
    assert!(world.stops().is_empty());
}

/// Once the leases of the former owner have expired, the recorded tasks start elsewhere.
#[test]
fn recover_gradually_ends_at_deadline() {
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    let seals = vec![seal("w1", &[key(JOB, 0)])];
    let mut world = World::inheriting(workers.clone(), workers, seals);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.recover();
    world.now += 4_500;
    world.report("w2", vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
    world.now += 500;
    world.report("w2", vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert_eq!(world.starts().len(), 1);
}

/// A former owner that resumes starts nothing on a worker that it has sealed, since it cannot write
/// a batch without the seal.
#[test]
fn sealed_worker_gets_no_work_from_woken_owner() {
    let mut former = World::sealing(&["w1", "w2"]);
    former.cell.poll_failed("w1", former.now);
    former.now += UNREACHABLE;
    let seals = former.written_seals().unwrap();
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    let mut world = World::inheriting(workers.clone(), workers, seals);
    world.resume(JOB, vec![step(1, 1_000)]);
    world.recover();
    world.report("w2", vec![], vec![]);
    assert_eq!(world.starts().len(), 1);
    // The former owner resumes, and the worker answers it. Its other worker refuses its polls.
    former.cell.poll_failed("w2", former.now);
    former.resume(JOB, vec![step(1, 1_000)]);
    for _ in 0..20 {
        former.now += 100;
        former.report("w1", vec![], vec![]);
        former.cell.expire_leases(former.now);
        let batch = former.cell.take_write_batch(100);
        former.cell.batch_failed(batch);
        assert!(former.starts().is_empty());
    }
}

/// A seal names an incarnation. It says nothing of the next one of the same name, and what ran in
/// the former one waits for the proof that it has ended.
#[test]
fn restore_seals_names_incarnation() {
    let incarnation = |started| Entry {
        id: Entry::incarnation_id("w1", Some(started)),
        started: Some(started),
        ..entry("w1", 4)
    };
    let (first, second) = (incarnation(1), incarnation(2));
    let (former, later) = (first.id.clone(), second.id.clone());
    let listed = vec![second, entry("w2", 4)];
    let fleet = vec![first, entry("w2", 4)];
    let sealed = seal(&former, &[key(JOB, 0)]);
    let mut world = World::inheriting(listed, fleet, vec![sealed, seal("w3", &[])]);
    assert_eq!(world.cell.sealed_workers(), 1);
    world.resume(JOB, vec![step(2, 1_000)]);
    world.recover();
    world.report("w2", vec![], vec![]);
    // Any task may run on the later incarnation, which has not answered.
    assert!(world.starts().is_empty());
    world.now += 10;
    world.report(&later, vec![], vec![]);
    assert!(!world.cell.has_worker(&former));
    assert_eq!(world.starts().len(), 2);
    assert_eq!(world.written_seals(), Some(vec![]));
}

/// A sealed worker without tasks that has gone is removed at once.
#[test]
fn recover_gradually_removes_unlisted_empty_worker() {
    let fleet = vec![entry("w1", 4), entry("w2", 4), entry("w3", 4)];
    let seals = vec![seal("w1", &[]), seal("w3", &[key(JOB, 0)])];
    let listed = vec![entry("w2", 4)];
    let mut world = World::inheriting(listed, fleet, seals);
    world.recover();
    assert!(!world.cell.has_worker("w1"));
    assert!(world.cell.has_worker("w3"));
    let batch = world.cell.take_write_batch(100);
    assert_eq!(batch.seals, Some(vec![seal("w3", &[key(JOB, 0)])]));
    assert_eq!(batch.fleet.map(|fleet| fleet.len()), Some(2));
}

/// All members of a gang start together, so one that may run on a sealed worker holds back all.
#[test]
fn recover_gradually_holds_whole_gang() {
    let gang = Step {
        gang: true,
        ..step(3, 1_000)
    };
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    let seals = vec![seal("w1", &[key(JOB, 1)])];
    let mut world = World::inheriting(workers.clone(), workers, seals);
    world.resume(JOB, vec![gang]);
    world.recover();
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
    world.now += 10;
    world.report("w1", vec![], vec![]);
    assert_eq!(world.starts().len(), 3);
}

/// Sealed workers do not delay the second read of the jobs, since the former owner can start
/// nothing there.
#[test]
fn is_reread_due_despite_sealed_worker() {
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    let seals = vec![seal("w1", &[])];
    let mut world = World::inheriting(workers.clone(), workers, seals);
    world.recover();
    assert!(!world.cell.is_reread_due());
    world.report("w2", vec![], vec![]);
    assert!(world.cell.is_reread_due());
    assert!(!world.cell.is_reread_due());
}

/// A job that names the fence of this owner waits for nobody; one that names an earlier fence or
/// none waits, also if it was accepted since.
#[test]
fn recover_gradually_starts_current_jobs() {
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    for (fence, expected) in [(FENCE, 1), (FENCE - 1, 0), (0, 0)] {
        for is_resumed in [false, true] {
            let mut world = World::inheriting(workers.clone(), workers.clone(), vec![]);
            let job = fenced(JOB, vec![step(1, 1_000)], fence);
            if is_resumed {
                world.cell.resume(job.clone(), &Record::default(), 1);
            }
            world.recover();
            world.cell.admit(job, 1);
            world.report("w2", vec![], vec![]);
            assert_eq!(world.starts_of(JOB), expected, "fence {fence}");
        }
    }
}

/// An owner without a fence takes no job for its own.
#[test]
fn recover_gradually_without_fence_holds_jobs() {
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    let mut world = World::inheriting(workers.clone(), workers, vec![]);
    world.cell.recover_gradually(world.now, 0);
    world.submit(JOB, vec![step(1, 1_000)]);
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
}

/// A takeover that waits for all workers takes no account of fences.
#[test]
fn recover_holds_current_jobs() {
    let mut world = World::without_reports(&["w1", "w2"]);
    world.cell.recover(world.now);
    let job = fenced(JOB, vec![step(1, 1_000)], FENCE);
    assert!(world.cell.admit(job, 1));
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
    world.report("w1", vec![], vec![]);
    world.cell.expire_leases(world.now);
    assert_eq!(world.starts().len(), 1);
}

/// Two claims in a row: the seals of the earlier owner are not passed in, and its jobs name a fence
/// below that of the new owner.
#[test]
fn recover_gradually_after_owner_without_batch() {
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    let mut world = World::inheriting(workers.clone(), workers, vec![]);
    let job = fenced(JOB, vec![step(1, 1_000)], FENCE - 1);
    world.cell.resume(job, &Record::default(), 1);
    world.recover();
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world.cell.expire_leases(world.now);
    assert!(world.starts().is_empty());
}

#[test]
fn recover_gradually_starts_copies() {
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    let mut world = World::inheriting(workers.clone(), workers, vec![]);
    let copies = Step {
        copies: true,
        ..step(1, 1_000)
    };
    world.resume(JOB, vec![copies]);
    world.resume(OTHER_JOB, vec![step(1, 1_000)]);
    world.recover();
    world.report("w2", vec![], vec![]);
    let starts = world.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.key, key(JOB, 0));
}

/// A task waits only for workers of its pool that have its label.
#[test]
fn recover_gradually_compares_labels() {
    let far = Entry {
        labels: vec!["b".into(), "r2".into()],
        ..entry("w1", 4)
    };
    let workers = vec![far, entry("w2", 4)];
    let mut world = World::inheriting(workers.clone(), workers, vec![]);
    let on_a = Step {
        label: Some("a".into()),
        ..step(1, 1_000)
    };
    world.resume(JOB, vec![on_a]);
    world.resume(OTHER_JOB, vec![step(1, 1_000)]);
    world.recover();
    world.report("w2", vec![], vec![]);
    let starts = world.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.key, key(JOB, 0));
    assert_eq!(world.cell.tasks_waiting_unheard(world.now), 1);
}

/// The listed entry of a worker may come from another writer. If its labels differ from those that
/// the former owner has recorded, all tasks wait for it.
#[test]
fn recover_gradually_waits_for_worker_with_other_labels() {
    let listed = Entry {
        labels: vec!["b".into(), "r2".into()],
        ..entry("w1", 4)
    };
    let fleet = vec![entry("w1", 4), entry("w2", 4)];
    let mut world = World::inheriting(vec![listed, entry("w2", 4)], fleet, vec![]);
    let on_a = Step {
        label: Some("a".into()),
        ..step(1, 1_000)
    };
    world.resume(JOB, vec![on_a]);
    world.recover();
    world.report("w2", vec![], vec![]);
    assert!(world.starts().is_empty());
}

/// A worker whose labels have changed gets no work before they are persisted.
#[test]
fn update_records_changed_labels() {
    let mut world = World::new(&["w1"]);
    let changed = Entry {
        labels: vec!["b".into(), "r2".into()],
        ..entry("w1", 4)
    };
    world.cell.handle_listing(vec![changed], world.now);
    world.submit(JOB, vec![step(1, 1_000)]);
    assert!(world.starts().is_empty());
    world.persist();
    assert_eq!(world.starts().len(), 1);
}

/// The room of runs of a job that is not known yet is not counted, so their worker gets no work
/// until the job is known.
#[test]
fn report_closes_worker_with_pending_run() {
    let workers = vec![entry("w1", 4), entry("w2", 4)];
    let mut world = World::inheriting(workers.clone(), workers, vec![]);
    world.recover();
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    let job = fenced(OTHER_JOB, vec![step(1, 1_000)], FENCE);
    assert!(world.cell.admit(job, 1));
    assert!(world.starts().is_empty());
    world.submit(JOB, vec![step(1, 4_000)]);
    // The run is adopted and fills the worker.
    assert!(world.starts().is_empty());
    world.report("w2", vec![], vec![]);
    let starts = world.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(&*starts[0].0, "w2");
}

/// The same until the jobs were read again and the worker has reported since.
#[test]
fn report_opens_worker_after_reread() {
    let workers = vec![entry("w1", 4)];
    let mut world = World::inheriting(workers.clone(), workers, vec![]);
    world.recover();
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    let job = fenced(OTHER_JOB, vec![step(1, 1_000)], FENCE);
    assert!(world.cell.admit(job, 1));
    assert!(world.cell.is_reread_due());
    assert!(world.starts().is_empty());
    world.cell.jobs_reread();
    world.now += 10;
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    let orders = world.cell.take_orders();
    assert!(matches!(orders[0].1, Order::Stop { .. }));
    assert_eq!(world.starts().len(), 1);
}

/// A takeover at 6,000 workers with 100,000 waiting tasks checks no worker.
#[test]
fn recover_gradually_holds_many_tasks() {
    let names = (0..6_000).map(|number| format!("w{number:05}"));
    let workers: Vec<Entry> = names.map(|name| entry(&name, 4)).collect();
    let mut world = World::inheriting(workers.clone(), workers, vec![]);
    for number in 0..10 {
        world.resume(&format!("{number:016x}"), vec![step(10_000, 1_000)]);
    }
    world.recover();
    for number in 0..100 {
        world.report(&format!("w{number:05}"), vec![], vec![]);
        assert!(world.starts().is_empty());
    }
    assert_eq!(world.cell.tasks_waiting_unheard(world.now), 100_000);
    assert_eq!(world.cell.full_scans(), 0);
}

/// Runs the cell under owners that fail in series, and never hear one of two workers. Returns after
/// how long the job was started, in milliseconds since the claim of the first owner.
fn series_start(seed: u64, is_listed: bool) -> Option<u64> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let fleet = vec![entry("w1", 4), entry("w2", 4)];
    let listed = if is_listed {
        fleet.clone()
    } else {
        vec![entry("w1", 4)]
    };
    let mut seals = Vec::new();
    let mut elapsed = 0;
    while elapsed < SERIES {
        let mut world = World::inheriting(listed.clone(), fleet.clone(), seals.clone());
        world.resume(JOB, vec![step(1, 1_000)]);
        world.recover();
        let life = rng.u64(2_000..4_500);
        for age in (0..life).step_by(100) {
            world.now += 100;
            world.report("w1", vec![], vec![]);
            world.cell.poll_failed("w2", world.now);
            seals = world.written_seals().unwrap_or(seals);
            if !world.starts().is_empty() {
                return Some(elapsed + age);
            }
        }
        elapsed += life + rng.u64(2_000..3_500);
    }
    None
}

/// Several times as long as any lease may last, in milliseconds.
const SERIES: u64 = 30_000;

/// The leases of the first owner on a worker end 4.9 s after the next claim, and no later owner has
/// started anything there. Guards against owners of which each waits for them anew.
#[test_case(true; "worker cut off")]
#[test_case(false; "worker gone")]
fn recover_gradually_series_of_owners(is_listed: bool) {
    for seed in 1..=20 {
        assert!(series_start(seed, is_listed).is_some(), "seed {seed}");
    }
}
