//! Workers with room that are not used, and tasks that count as placed where nothing runs: for as long as one owner lasts.

use {
    crate::common::{JOB, World, end, entry, other_than, run, step, submission},
    job::Step,
    magpie_cell::{
        Advice, EndCause, Machine, MaintenanceOrder, Order, Outcome, Refusal, Run, RunEnd, Start,
        Wave,
    },
    std::{collections::BTreeMap, sync::Arc},
    test_case::test_case,
};

/// The owner looks at its cell so often, in milliseconds.
const TICK: u64 = 100;
/// A lasting task has to run again this long after its worker was last heard, in milliseconds: 4.9 s until all leases are
/// over, and some ticks.
const AGAIN: u64 = 6_000;

fn lasting(cpu: u64) -> Step {
    Step {
        lasting: true,
        ..step(1, cpu)
    }
}

impl World {
    /// One tick of the owner besides what is heard. Returns the starts that were ordered.
    fn tick(&mut self) -> Vec<(Arc<str>, Start)> {
        self.now += TICK;
        self.cell.rerank(self.now, self.now);
        self.cell.expire_tickets(self.now);
        self.cell.expire_leases(self.now);
        let starts = self.starts();
        self.write();
        starts
    }
}

/// Lists runs of jobs of one task each, by job.
fn listed(runs: &BTreeMap<String, u64>) -> Vec<Run> {
    runs.iter()
        .map(|(job, number)| run(job, 0, *number))
        .collect()
}

/// The story: on a queue where a service chooses the workers, a lasting task was lost with its worker a moment after it
/// had started, and counts as a suspect. No worker with a ticket was left. A task that is suspected asks the service
/// nothing, so it waited for as long as no other task of its step had a question.
#[test]
fn ask_for_suspect() {
    let mut world = World::new(&["w1"]);
    let mut job = submission(JOB, vec![lasting(1_000)]);
    job.queue.advised = true;
    world.cell.admit(job, 1);
    let first = advise(&mut world);
    assert_eq!(first.len(), 1);
    let (worker, start) = &first[0];
    world.answer(worker, start, Outcome::Done);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world
        .cell
        .end_incarnation(&"w1".into(), "another life answers", world.now);
    world.list(vec![entry("w2", 4)]);
    let mut again = Vec::new();
    for _ in 0..AGAIN / TICK {
        world.report("w2", vec![], vec![]);
        again.extend(world.tick());
        again.extend(advise(&mut world));
    }
    assert!(!again.is_empty(), "the task does not run again");
}

/// The story: the same for a task that has failed once. The only worker with a ticket had failed it just now, and was left
/// alone for as long as the ticket held; then nobody asked for another one.
#[test]
fn ask_for_failed() {
    let mut world = World::new(&["w1"]);
    let mut job = submission(JOB, vec![step(1, 1_000)]);
    job.queue.advised = true;
    world.cell.admit(job, 1);
    let first = advise(&mut world);
    let (worker, start) = &first[0];
    world.answer(worker, start, Outcome::Done);
    world.now += 10;
    world.report("w1", vec![], vec![end(1, JOB, 0, 1, EndCause::Failed)]);
    world.list(vec![entry("w1", 4), entry("w2", 4)]);
    let mut again = Vec::new();
    for _ in 0..200 {
        world.report("w1", vec![], vec![]);
        world.report("w2", vec![], vec![]);
        again.extend(world.tick());
        again.extend(advise(&mut world));
    }
    assert!(!again.is_empty(), "the task does not run again");
}

/// Has all workers advised that were asked about. Returns the starts that follow.
fn advise(world: &mut World) -> Vec<(Arc<str>, Start)> {
    let mut starts = world.starts();
    for question in world.cell.take_advice_queries() {
        let good = question.workers.iter().cloned();
        let advice = Advice {
            tickets: good.map(|own| (own.id, "ticket".into())).collect(),
            valid_for: 3_000,
        };
        world.cell.handle_advice(&question, Some(advice), world.now);
    }
    starts.extend(world.starts());
    starts
}

/// A worker that is listed and cut off: each poll takes 0.8 s and the next one follows 0.3 s later.
struct Cut {
    id: Arc<str>,
    /// When the poll on its way fails.
    fails: u64,
    /// Starts without an answer, and when that is known.
    unanswered: Vec<(u64, Start)>,
}

impl Cut {
    /// Takes in what has failed by now.
    fn fail(&mut self, world: &mut World) {
        if world.now >= self.fails {
            world.cell.poll_failed(&self.id, world.now);
            world.cell.next_poll(&self.id, world.now);
            self.fails = world.now + 1_100;
        }
        let due = self.unanswered.extract_if(.., |(at, _)| world.now >= *at);
        for (_, start) in due.collect::<Vec<_>>() {
            world.answer(&self.id, &start, Outcome::Unknown);
        }
    }
}

/// The story: a worker was cut off from the owner while it stayed listed, and held a lasting task. Between two failed polls
/// it was given short tasks, since it was the fullest one with room; each of those starts put off the moment at which all
/// its leases were over. The lasting task counted as running for as long as short ones came.
#[test_case(0; "no other work")]
#[test_case(2; "five short tasks a second")]
#[test_case(3; "three short tasks a second")]
#[test_case(10; "a short task each second")]
fn lapse_despite_starts_for_silent_worker(short: u64) {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![lasting(1_000)]);
    let (worker, start) = world.starts()[0].clone();
    world.answer(&worker, &start, Outcome::Done);
    let other = other_than(&worker);
    // A run that was listed for so long is not suspected of what follows.
    for _ in 0..20 {
        world.report(&worker, vec![run(JOB, 0, 1)], vec![]);
        world.report(other, vec![], vec![]);
        world.tick();
    }
    world.report(&worker, vec![run(JOB, 0, 1)], vec![]);
    let cut_at = world.now;
    let mut cut = Cut {
        id: worker,
        fails: cut_at + 1_300,
        unanswered: Vec::new(),
    };
    let mut runs = BTreeMap::new();
    let mut again = None;
    for tick in 1..=400 {
        if short > 0 && tick % short == 0 {
            world.submit(&format!("{tick:016x}"), vec![step(1, 50)]);
        }
        let starts = world.tick();
        cut.fail(&mut world);
        for (id, start) in starts {
            if start.key.job.as_str() == JOB {
                again.get_or_insert(world.now - cut_at);
            }
            if *id == *cut.id {
                cut.unanswered.push((world.now + 750, start));
                continue;
            }
            runs.insert(start.key.job.as_str().to_owned(), start.run);
            world.answer(&id, &start, Outcome::Done);
        }
        if tick % 5 == 0 {
            world.report(other, listed(&runs), vec![]);
        }
    }
    assert!(again.is_some_and(|after| after <= AGAIN), "{again:?}");
}

/// What becomes of the orders to a worker whose polls are answered.
#[derive(Debug, Clone, Copy)]
enum Orders {
    /// The owner has nobody who sends them.
    Unsent,
    /// They are sent, and have no answer and no effect.
    Unanswered,
}

/// The story: a worker answered its polls, and no order reached it. A task placed there counted as started until the
/// deadline of its start had passed, and then went to the very same worker, which was the best one by its room, again and
/// again: one try each two seconds, beside another worker with room.
#[test_case(Orders::Unsent; "unsent")]
#[test_case(Orders::Unanswered; "unanswered")]
fn start_elsewhere_when_orders_vanish(orders: Orders) {
    let mut world = World::new(&["w1", "w2"]);
    world.submit(JOB, vec![lasting(1_000)]);
    let mut tries = Vec::new();
    let mut due: Vec<(u64, Order)> = Vec::new();
    for tick in 1..=200 {
        world.now += TICK;
        world.cell.rerank(world.now, world.now);
        world.cell.expire_leases(world.now);
        world.cell.place(world.now);
        for (id, order) in world.cell.take_orders() {
            if let Order::Start(start) = &order {
                tries.push((world.now - 1_000, id.to_string(), start.run));
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
            if let Orders::Unanswered = orders {
                world
                    .cell
                    .handle_outcome(&"w1".into(), &order, Outcome::Unknown, now);
            }
        }
        if tick % 5 == 0 {
            world.report("w1", vec![], vec![]);
            let here = tries.iter().rev().find(|(_, id, _)| id == "w2");
            let runs: Vec<Run> = here
                .map(|(_, _, number)| run(JOB, 0, *number))
                .into_iter()
                .collect();
            world.report("w2", runs, vec![]);
        }
        world.write();
    }
    let elsewhere = tries.iter().find(|(_, id, _)| id == "w2");
    assert!(elsewhere.is_some_and(|(at, ..)| *at <= AGAIN), "{tries:?}");
}

/// The story: a new owner found a run of a job that it did not know yet. The worker of that run was cut off, was forgotten
/// with its leases while its entry was away, and was listed again. Only then were the jobs read once more, and the run was
/// adopted for a worker that had said nothing since: its leases never counted as over.
#[test]
fn lapse_of_run_adopted_for_worker_listed_again() {
    let mut world = World::unheard(&["w1", "w2"]);
    world.cell.recover(world.now);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world.report("w2", vec![], vec![]);
    world.now += 1_000;
    world.list(vec![entry("w2", 4)]);
    world.cell.poll_failed("w1", world.now);
    for _ in 0..60 {
        world.report("w2", vec![], vec![]);
        assert!(world.tick().is_empty());
    }
    assert!(!world.cell.has_worker("w1"));
    world.list(vec![entry("w1", 4), entry("w2", 4)]);
    world.submit(JOB, vec![lasting(1_000)]);
    world.cell.jobs_reread();
    let mut again = Vec::new();
    for _ in 0..300 {
        world.cell.poll_failed("w1", world.now);
        world.report("w2", vec![], vec![]);
        again.extend(world.tick());
        if !again.is_empty() {
            break;
        }
    }
    assert_eq!(again.len(), 1, "the task counts as placed for good");
}

fn wave() -> Wave {
    Wave {
        number: 3,
        machines: vec!["m1".into()],
        limit: 1,
        done: Vec::new(),
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

/// True when a lasting task runs on the only worker within 20 s.
fn is_used(world: &mut World) -> bool {
    world.submit(JOB, vec![lasting(1_000)]);
    (0..200).any(|_| {
        world.report("w1", vec![], vec![]);
        !world.tick().is_empty()
    })
}

/// The story: a machine was to go down for its upkeep, and the order was refused, as others were in turn. The operators
/// took the wave back. Its worker got no work for as long as the owner lasted.
#[test]
fn upkeep_taken_back_opens_worker() {
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
    assert!(is_used(&mut world), "the worker stays closed");
}

/// The story: while a machine was emptied for its upkeep, one list of the machines lacked it. It counted as gone, and the
/// upkeep as done; it was listed again with the same worker, which got no work for as long as the owner lasted.
#[test]
fn upkeep_of_machine_missing_once_opens_worker() {
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
        !orders.is_empty() || is_used(&mut world),
        "the worker stays closed and gets no upkeep"
    );
}

/// The story: a run of a job that was not known was to be stopped, and its job came to be known before the worker's next
/// report. The worker crashed in between, and the owner's process ended with it.
///
/// The cause: the run was held under a place of its own, which no task of the job has, and counting the crash looked for the
/// task there.
#[test]
fn end_life_with_run_of_job_known_since() {
    let mut world = World::new(&["w1", "w2"]);
    world.report("w1", vec![run(JOB, 0, 1)], vec![]);
    world.submit(JOB, vec![lasting(1_000)]);
    world
        .cell
        .end_incarnation(&"w1".into(), "another life answers", world.now);
    assert_eq!(world.starts().len(), 1);
}

/// A worker that lists another run than the one it was given keeps the place of the given one for no longer than the other
/// takes to stop.
#[test]
fn missing_beside_another_run_of_the_task() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![lasting(1_000)]);
    let start = world.starts()[0].1.clone();
    world.now += 10;
    world.answer(&"w1".into(), &start, Outcome::Done);
    for _ in 0..9 {
        world.report("w1", vec![run(JOB, 0, 7)], vec![]);
        assert!(!world.stops().is_empty());
        world.now += TICK;
    }
    let stopped = end(1, JOB, 0, 7, EndCause::Stopped);
    world.report("w1", vec![], vec![stopped]);
    assert_eq!(world.tick().len(), 1);
}

/// Runs of one job under three owners. What the second one orders and writes is told by the case.
#[derive(Debug, Clone, Copy)]
enum Second {
    /// It starts the task, and its record is written after that.
    StartsAndWrites,
    /// It writes the record of the job without a start.
    Writes,
    /// It starts the task, and no record is written after that.
    Starts,
}

/// The first run that a third owner orders: it leaves numbers out after the highest that the record has, which are also
/// those that the second owner left out, whether it started anything or not.
#[test_case(Second::StartsAndWrites, 131; "started and written")]
#[test_case(Second::Writes, 130; "written")]
#[test_case(Second::Starts, 66; "started")]
fn resume_numbers_by_what_was_written(second: Second, expected: u64) {
    let mut record = job::Record {
        state: job::State::Running,
        run: 1,
        ..job::Record::default()
    };
    let mut world = resumed(&record);
    if !matches!(second, Second::Writes) {
        assert_eq!(world.starts()[0].1.run, 66);
    }
    if !matches!(second, Second::Starts) {
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

/// A cell with one worker and a job of two lasting tasks that a former owner has left so.
fn resumed(record: &job::Record) -> World {
    let mut world = World::new(&["w1"]);
    let step = Step {
        count: 2,
        spread: 1,
        ..lasting(1_000)
    };
    world.cell.resume(submission(JOB, vec![step]), record, 1);
    world
}

/// A start that is refused is nothing that lasts: however often a task is tried, its record is not written for it.
#[test]
fn take_change_without_tries() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![lasting(1_000)]);
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
