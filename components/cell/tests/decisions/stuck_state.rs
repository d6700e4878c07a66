//! State that must not get stuck during an owner's term: workers with capacity that get no work,
//! and tasks that count as placed without running.

use {
    crate::common::{JOB, World, end, entry, other_worker, run, step, submission},
    job::Step,
    magpie_cell::{
        Advice, EndCause, Machine, MaintenanceOrder, Order, Outcome, Refusal, Run, RunEnd, Start,
        Wave,
    },
    std::{collections::BTreeMap, sync::Arc},
    test_case::test_case,
};

/// Interval of the owner's passes, in milliseconds.
const PASS_INTERVAL: u64 = 100;
/// Time from the last report of its worker until a long-running task must restart, in milliseconds:
/// 4.9 s until all leases expire, plus some passes.
const RESTART_LIMIT: u64 = 6_000;

fn long_running(cpu: u64) -> Step {
    Step {
        lasting: true,
        ..step(1, cpu)
    }
}

impl World {
    /// Runs one pass of the owner, except for polls. Returns the ordered starts.
    fn run_pass(&mut self) -> Vec<(Arc<str>, Start)> {
        self.now += PASS_INTERVAL;
        self.cell.rerank(self.now, self.now);
        self.cell.expire_tickets(self.now);
        self.cell.expire_leases(self.now);
        let starts = self.starts();
        self.persist();
        starts
    }
}

/// Runs of single-task jobs, by job.
fn runs_of(runs: &BTreeMap<String, u64>) -> Vec<Run> {
    runs.iter()
        .map(|(job, number)| run(job, 0, *number))
        .collect()
}

/// Guards against a task that waits for a ticket that is never requested. On a queue with external
/// placement a long-running task became a suspect when its worker crashed just after the start, and
/// no worker with a ticket was left. Suspected tasks request no tickets, so it waited as long as no
/// other task of its step did.
#[test]
fn suspected_task_requests_ticket() {
    let mut world = World::new(&["w1"]);
    let mut job = submission(JOB, vec![long_running(1_000)]);
    job.queue.advised = true;
    world.cell.admit(job, 1);
    let first = grant_tickets(&mut world);
    assert_eq!(first.len(), 1);
    let (worker, start) = &first[0];
    world.answer(worker, start, Outcome::Done);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world
        .cell
        .end_incarnation(&"w1".into(), "another incarnation answers", world.now);
    world.list(vec![entry("w2", 4)]);
    let mut restarts = Vec::new();
    for _ in 0..RESTART_LIMIT / PASS_INTERVAL {
        world.report("w2", vec![], vec![]);
        restarts.extend(world.run_pass());
        restarts.extend(grant_tickets(&mut world));
    }
    assert!(!restarts.is_empty(), "the task does not restart");
}

/// As above, for a task that failed once. The only worker with a ticket had just failed it and was
/// avoided while the ticket was valid; no other ticket was requested.
#[test]
fn failed_task_requests_ticket() {
    let mut world = World::new(&["w1"]);
    let mut job = submission(JOB, vec![step(1, 1_000)]);
    job.queue.advised = true;
    world.cell.admit(job, 1);
    let first = grant_tickets(&mut world);
    let (worker, start) = &first[0];
    world.answer(worker, start, Outcome::Done);
    world.now += 10;
    world.report("w1", vec![], vec![end(1, JOB, 0, 1, EndCause::Failed)]);
    world.list(vec![entry("w1", 4), entry("w2", 4)]);
    let mut restarts = Vec::new();
    for _ in 0..200 {
        world.report("w1", vec![], vec![]);
        world.report("w2", vec![], vec![]);
        restarts.extend(world.run_pass());
        restarts.extend(grant_tickets(&mut world));
    }
    assert!(!restarts.is_empty(), "the task does not restart");
}

/// Grants tickets for all workers that were asked about. Returns the resulting starts.
fn grant_tickets(world: &mut World) -> Vec<(Arc<str>, Start)> {
    let mut starts = world.starts();
    for question in world.cell.take_advice_queries() {
        let candidates = question.workers.iter().cloned();
        let advice = Advice {
            tickets: candidates
                .map(|candidate| (candidate.id, "ticket".into()))
                .collect(),
            valid_for: 3_000,
        };
        world.cell.handle_advice(&question, Some(advice), world.now);
    }
    starts.extend(world.starts());
    starts
}

/// A listed worker that is partitioned: each poll fails after 0.8 s, and the next one follows 0.3 s
/// later.
struct Partition {
    id: Arc<str>,
    /// When the pending poll fails.
    fails_at: u64,
    /// Unanswered starts, and when they time out.
    unanswered: Vec<(u64, Start)>,
}

impl Partition {
    /// Passes failed polls and timed-out starts to the cell.
    fn apply_failures(&mut self, world: &mut World) {
        if world.now >= self.fails_at {
            world.cell.poll_failed(&self.id, world.now);
            world.cell.next_poll(&self.id, world.now);
            self.fails_at = world.now + 1_100;
        }
        let due = self.unanswered.extract_if(.., |(at, _)| world.now >= *at);
        for (_, start) in due.collect::<Vec<_>>() {
            world.answer(&self.id, &start, Outcome::Unknown);
        }
    }
}

/// Guards against leases that never expire. A partitioned worker stayed listed and held a
/// long-running task. As the fullest worker with capacity it got short tasks between two failed
/// polls, and each start extended its leases, so that the long-running task counted as running for
/// as long as short tasks arrived.
#[test_case(0; "no other work")]
#[test_case(2; "five short tasks a second")]
#[test_case(3; "three short tasks a second")]
#[test_case(10; "a short task each second")]
fn leases_expire_despite_starts_on_unreachable_worker(short_interval: u64) {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![long_running(1_000)]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    let other = other_worker(&worker);
    // After being reported for this long the run is not suspected later.
    for _ in 0..20 {
        world.report(&worker, vec![run(JOB, 0, 1)], vec![]);
        world.report(other, vec![], vec![]);
        world.run_pass();
    }
    world.report(&worker, vec![run(JOB, 0, 1)], vec![]);
    let partitioned_at = world.now;
    let mut partition = Partition {
        id: worker,
        fails_at: partitioned_at + 1_300,
        unanswered: Vec::new(),
    };
    let mut runs = BTreeMap::new();
    let mut restarts = None;
    for pass in 1..=400 {
        if short_interval > 0 && pass % short_interval == 0 {
            world.submit(&format!("{pass:016x}"), vec![step(1, 50)]);
        }
        let starts = world.run_pass();
        partition.apply_failures(&mut world);
        for (id, start) in starts {
            if start.key.job.as_str() == JOB {
                restarts.get_or_insert(world.now - partitioned_at);
            }
            if *id == *partition.id {
                partition.unanswered.push((world.now + 750, start));
                continue;
            }
            runs.insert(start.key.job.as_str().to_owned(), start.run);
            world.answer(&id, &start, Outcome::Done);
        }
        if pass % 5 == 0 {
            world.report(other, runs_of(&runs), vec![]);
        }
    }
    assert!(
        restarts.is_some_and(|after| after <= RESTART_LIMIT),
        "{restarts:?}"
    );
}

/// Fate of the orders to a worker that answers its polls.
#[derive(Debug, Clone, Copy)]
enum OrderFate {
    /// No sender exists for the orders.
    Unsent,
    /// Orders are sent without an answer or an effect.
    Unanswered,
}

/// Guards against endless starts on a worker that answers polls but receives no orders. The task
/// counted as started until the deadline of its start and then went to the same worker again, every
/// two seconds, although another worker had capacity.
#[test_case(OrderFate::Unsent; "unsent")]
#[test_case(OrderFate::Unanswered; "unanswered")]
fn lost_orders_move_start_to_other_worker(fate: OrderFate) {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![long_running(1_000)]);
    let mut attempts = Vec::new();
    let mut due: Vec<(u64, Order)> = Vec::new();
    for pass in 1..=200 {
        world.now += PASS_INTERVAL;
        world.cell.rerank(world.now, world.now);
        world.cell.expire_leases(world.now);
        world.cell.place(world.now);
        for (id, order) in world.cell.take_orders() {
            if let Order::Start(start) = &order {
                attempts.push((world.now - 1_000, id.to_string(), start.run));
            }
            if &*id == "w1" {
                due.push((world.now + 750, order));
            } else {
                world
                    .cell
                    .handle_outcome(&id, &order, Outcome::Done, world.now);
            }
        }
        let now = world.now;
        for (_, order) in due.extract_if(.., |(at, _)| now >= *at) {
            if let OrderFate::Unanswered = fate {
                world
                    .cell
                    .handle_outcome(&"w1".into(), &order, Outcome::Unknown, now);
            }
        }
        if pass % 5 == 0 {
            world.report("w1", vec![], vec![]);
            let started = attempts.iter().rev().find(|(_, id, _)| id == "w2");
            let runs: Vec<Run> = started
                .map(|(_, _, number)| run(JOB, 0, *number))
                .into_iter()
                .collect();
            world.report("w2", runs, vec![]);
        }
        world.persist();
    }
    let elsewhere = attempts.iter().find(|(_, id, _)| id == "w2");
    assert!(
        elsewhere.is_some_and(|(at, ..)| *at <= RESTART_LIMIT),
        "{attempts:?}"
    );
}

/// Guards against an adopted run whose leases never expire. A new owner saw a run of an unknown
/// job; its worker was partitioned, removed after its leases expired and listed again. Then the job
/// was read, and the run was adopted on a worker that had not reported since.
#[test]
fn leases_expire_for_adopted_run_of_relisted_worker() {
    let mut world = World::without_reports(&["w1", "w2"]);
    world.cell.recover(world.now);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world.report("w2", vec![], vec![]);
    world.now += 1_000;
    world.list(vec![entry("w2", 4)]);
    world.cell.poll_failed("w1", world.now);
    for _ in 0..60 {
        world.report("w2", vec![], vec![]);
        assert!(world.run_pass().is_empty());
    }
    assert!(!world.cell.has_worker("w1"));
    world.list(vec![entry("w1", 4), entry("w2", 4)]);
    world.submit(JOB, vec![long_running(1_000)]);
    world.cell.jobs_reread();
    let mut restarts = Vec::new();
    for _ in 0..300 {
        world.cell.poll_failed("w1", world.now);
        world.report("w2", vec![], vec![]);
        restarts.extend(world.run_pass());
        if !restarts.is_empty() {
            break;
        }
    }
    assert_eq!(restarts.len(), 1, "the task counts as placed indefinitely");
}

fn wave() -> Wave {
    Wave {
        number: 3,
        machines: vec!["m1".into()],
        limit: 1,
        ..Wave::default()
    }
}

fn machines(names: &[&str]) -> Vec<Machine> {
    let machine = |name: &&str| Machine {
        name: (*name).into(),
        up: true,
        in_maintenance: false,
        worker: Some(name.replace('m', "w").as_str().into()),
    };
    names.iter().map(machine).collect()
}

/// True if a long-running task starts on the only worker within 20 s.
fn gets_work(world: &mut World) -> bool {
    world.submit(JOB, vec![long_running(1_000)]);
    (0..200).any(|_| {
        world.report("w1", vec![], vec![]);
        !world.run_pass().is_empty()
    })
}

/// A worker reopens when its maintenance wave is withdrawn. The order to take the machine down had
/// been refused, and the worker got no work for the rest of the owner's term.
#[test]
fn withdrawn_wave_reopens_worker() {
    let mut world = World::new(&["w1"]);
    let orders: Vec<MaintenanceOrder> =
        world
            .cell
            .plan_maintenance(&[wave()], &machines(&["m1"]), world.now);
    assert_eq!(orders.len(), 1);
    world.cell.maintenance_refused(&orders[0]);
    world
        .cell
        .plan_maintenance(&[], &machines(&["m1"]), world.now);
    assert!(gets_work(&mut world), "the worker stays closed");
}

/// A machine that is missing from one listing during maintenance must not leave its worker closed.
/// It counted as removed and its maintenance as done, and the worker stayed closed when it was
/// listed again.
#[test]
fn machine_missing_once_reopens_worker() {
    let mut world = World::new(&["w1"]);
    let orders = world
        .cell
        .plan_maintenance(&[wave()], &machines(&["m1"]), world.now);
    world.cell.maintenance_refused(&orders[0]);
    world
        .cell
        .plan_maintenance(&[wave()], &machines(&[]), world.now);
    let orders = world
        .cell
        .plan_maintenance(&[wave()], &machines(&["m1"]), world.now);
    assert!(
        !orders.is_empty() || gets_work(&mut world),
        "the worker stays closed and gets no maintenance"
    );
}

/// Guards against a panic of the owner. An orphaned run was about to be stopped when its job became
/// known, and the worker crashed before its next report. The run was stored under a task index that
/// the job does not have, and the crash count looked that index up.
#[test]
fn crash_with_orphaned_run_of_job_known_since() {
    let mut world = World::new(&["w1", "w2"]);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world.submit(JOB, vec![long_running(1_000)]);
    world
        .cell
        .end_incarnation(&"w1".into(), "another incarnation answers", world.now);
    assert_eq!(world.starts().len(), 1);
}

/// A worker that reports a different run than the one ordered keeps the task's place only until the
/// other run has stopped.
#[test]
fn task_restarts_after_other_run_stopped() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![long_running(1_000)]);
    let start = world.starts()[0].1.clone();
    world.now += 10;
    world.answer(&"w1".into(), &start, Outcome::Done);
    for _ in 0..9 {
        world.report("w1", vec![run(JOB, 0, 7)], vec![]);
        assert!(!world.stops().is_empty());
        world.now += PASS_INTERVAL;
    }
    let stopped = end(1, JOB, 0, 7, EndCause::Stopped);
    world.report("w1", vec![], vec![stopped]);
    assert_eq!(world.run_pass().len(), 1);
}

/// Actions of the second of three owners of a job.
#[derive(Debug, Clone, Copy)]
enum SecondOwner {
    /// It starts the task and then writes the record.
    StartsAndWrites,
    /// It writes the record without a start.
    Writes,
    /// It starts the task and writes no record afterwards.
    Starts,
}

/// The third owner skips run numbers above the highest one in the record. They cover the numbers
/// skipped by the second owner, whether it started anything or not.
#[test_case(SecondOwner::StartsAndWrites, 131; "started and written")]
#[test_case(SecondOwner::Writes, 130; "written")]
#[test_case(SecondOwner::Starts, 66; "started")]
fn resume_skips_run_numbers_above_record(second: SecondOwner, expected: u64) {
    let mut record = job::Record {
        state: job::State::Running,
        run: 1,
        ..job::Record::default()
    };
    let mut world = resumed(&record);
    if !matches!(second, SecondOwner::Writes) {
        assert_eq!(world.starts()[0].1.run, 66);
    }
    if !matches!(second, SecondOwner::Starts) {
        let dirty = run(JOB, 1, 1);
        world.report("w1", vec![dirty], vec![]);
        world.now += 10;
        let lapsed = RunEnd {
            address: run(JOB, 1, 1).address,
            ..end(1, JOB, 0, 1, EndCause::Lapsed)
        };
        world.report("w1", vec![], vec![lapsed]);
        let change = world.cell.take_write_batch(100);
        record = change.records[0].1.clone();
    }
    let mut world = resumed(&record);
    assert_eq!(world.starts()[0].1.run, expected);
}

/// Creates a cell with one worker that resumes a job of two long-running tasks from a record.
fn resumed(record: &job::Record) -> World {
    let mut world = World::new(&["w1"]);
    let step = Step {
        count: 2,
        spread: 1,
        ..long_running(1_000)
    };
    world.cell.resume(submission(JOB, vec![step]), record, 1);
    world
}

/// A refused start changes nothing durable: no record is written for it, however often the task is
/// tried.
#[test]
fn refused_starts_write_no_record() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![long_running(1_000)]);
    for number in 1..=65 {
        let (worker, start) = world.starts()[0].clone();
        assert_eq!(start.run, number);
        let refused = Outcome::Refused(Refusal::Room);
        world.answer(&worker, &start, refused);
        assert!(world.cell.take_write_batch(100).records.is_empty());
        world.now += 600;
        world.report("w1", vec![], vec![]);
    }
}
