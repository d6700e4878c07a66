//! Worker capacity that changes while tasks run, including workers that do not enforce it.

use {
    crate::common::{JOB, World, entry, run, step, with_ordered_start, with_running_task},
    job::{Address, Id, spec::Size},
    magpie_cell::{EndCause, Entry, Order, Outcome, Refusal, RunEnd},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
    test_case::test_case,
};

/// Interval of listings, in milliseconds.
const LIST_INTERVAL: u64 = 700;
const OTHER: &str = "00000000000000b2";

/// Lists one worker with this many cores.
fn resize(world: &mut World, cores: u64) {
    world.now += LIST_INTERVAL;
    world.list(vec![entry("w1", cores)]);
}

/// Marks the pool as overcommitting: its workers start whatever is ordered.
fn allow_overcommit(world: &mut World) {
    world.cell.set_overcommitting(["pool".into()].into());
}

/// Reduced capacity accepts only what fits, and is used again once a listing shows it restored.
#[test]
fn place_uses_listed_capacity() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(4, 1_000)]);
    resize(&mut world, 2);
    assert_eq!(world.starts().len(), 2);
    resize(&mut world, 1);
    assert!(world.starts().is_empty());
    resize(&mut world, 4);
    assert_eq!(world.starts().len(), 2);
}

/// Running tasks are not stopped when capacity shrinks below their usage: their work would be lost
/// for no benefit.
#[test_case(false; "enforced")]
#[test_case(true; "overcommitted")]
fn shrinking_capacity_stops_no_run(overcommits: bool) {
    let (mut world, _, _) = with_running_task(&["w1"], step(1, 3_000));
    if overcommits {
        allow_overcommit(&mut world);
    }
    resize(&mut world, 2);
    assert!(world.stops().is_empty());
}

/// An unconfirmed start that no longer fits is taken back with a stop, the latest start first. The
/// stop also prevents its execution if it was already sent. Its capacity stays reserved until it is
/// known not to run.
#[test]
fn shrinking_capacity_withdraws_pending_starts() {
    let mut world = World::new(&["w1"]);
    allow_overcommit(&mut world);
    world.submit(JOB, vec![step(3, 1_000)]);
    let starts = world.starts();
    assert_eq!(starts.len(), 3);
    world.answer(&starts[0].0, &starts[0].1, Outcome::Done);
    resize(&mut world, 2);
    let stops: Vec<usize> = stopped(&mut world);
    assert_eq!(stops, [2]);
    assert!(world.starts().is_empty());
    resize(&mut world, 2);
    assert!(stopped(&mut world).is_empty());
}

/// The latest of several starts of one pass is taken back, whatever the ids of their jobs: an
/// earlier one may already run.
#[test]
fn shrinking_capacity_withdraws_latest_start_of_pass() {
    let mut world = World::new(&["w1"]);
    allow_overcommit(&mut world);
    let (first, second) = ("00000000000000f2", "00000000000000b1");
    world.submit(second, vec![step(1, 2_000)]);
    let mut urgent = step(1, 2_000);
    urgent.estimate = 100;
    world.submit(first, vec![urgent]);
    let starts = world.starts();
    let jobs = starts.iter().map(|(_, start)| start.key.job.as_str());
    assert_eq!(jobs.collect::<Vec<_>>(), [first, second]);
    resize(&mut world, 2);
    let orders = world.cell.take_orders().into_iter();
    let stops = orders.filter_map(|(_, order)| match order {
        Order::Stop { key, .. } => Some(key.job),
        _ => None,
    });
    assert_eq!(stops.collect::<Vec<_>>(), [Id::new(second).unwrap()]);
}

/// Workers that enforce their capacity refuse what does not fit, so that pending starts are left to
/// them.
#[test]
fn enforcing_worker_keeps_pending_starts() {
    let (mut world, _, _) = with_ordered_start(&["w1"], step(1, 3_000));
    resize(&mut world, 2);
    assert!(world.stops().is_empty());
}

fn stopped(world: &mut World) -> Vec<usize> {
    let orders = world.cell.take_orders().into_iter();
    let stops = orders.filter_map(|(_, order)| match order {
        Order::Stop { key, .. } => Some(key.place),
        _ => None,
    });
    stops.collect()
}

/// An orphaned run uses capacity until its end is reported. A run of an unknown job may use all
/// capacity of its worker.
#[test_case(JOB, 1; "of a known job")]
#[test_case(OTHER, 0; "of an unknown job")]
fn orphaned_run_uses_capacity(job: &str, expected: usize) {
    let mut world = World::new(&["w1"]);
    allow_overcommit(&mut world);
    world.submit(JOB, vec![step(1, 3_000)]);
    world.cell.cancel(&Id::new(JOB).unwrap(), world.now, 1);
    world.report("w1", vec![run(job, 0, 7)], vec![]);
    world.submit("00000000000000c3", vec![step(2, 1_000)]);
    assert_eq!(world.starts().len(), expected);
}

/// For overcommitting pools the capacity in a listing is valid for some seconds; in a store outage
/// nothing shows that it has shrunk.
#[test_case(false, 1; "enforced")]
#[test_case(true, 0; "overcommitted")]
fn overcommitted_capacity_needs_recent_listing(overcommits: bool, expected: usize) {
    let mut world = World::new(&["w1"]);
    if overcommits {
        allow_overcommit(&mut world);
    }
    world.now += 5_000;
    world.report("w1", vec![], vec![]);
    world.submit(JOB, vec![step(1, 1_000)]);
    assert_eq!(world.starts().len(), expected);
    world.list(vec![entry("w1", 4)]);
    assert_eq!(world.starts().len(), 1 - expected);
}

/// With random capacity changes, late starts, lost answers and irregular reports, no start exceeds
/// the smallest capacity that was known when it was sent.
#[test]
fn random_sequences_never_overcommit() {
    for seed in 0..200 {
        let mut scenario = Scenario::new(seed);
        for round in 0..80 {
            scenario.step(round);
        }
        assert!(
            scenario.started > 10,
            "seed {seed}: {} starts",
            scenario.started
        );
    }
}

/// Offset of the workers' clock from the clock of the world; see [`World::report`].
const CLOCK: u64 = 50_000;

/// The actual state of a worker that starts whatever is ordered.
#[derive(Default)]
struct ActualWorker {
    capacity: u64,
    /// Runs: run number and millicores, by task.
    runs: HashMap<(Id, usize), (u64, u64)>,
    /// The highest run that has ended or was barred, by task.
    last_ended: HashMap<(Id, usize), u64>,
    ended: Vec<RunEnd>,
    count: u64,
}

impl ActualWorker {
    fn end(&mut self, task: &(Id, usize), run: u64, how: EndCause) {
        self.runs.remove(task);
        self.last_ended.insert(task.clone(), run);
        self.count += 1;
        let address = Address {
            time: 0,
            step: 0,
            index: task.1 as u32,
        };
        self.ended.push(RunEnd {
            number: self.count,
            job: task.0.clone(),
            address,
            run,
            how,
            saved: None,
        });
    }
}

struct Scenario {
    seed: u64,
    rng: fastrand::Rng,
    world: World,
    actual: BTreeMap<Arc<str>, ActualWorker>,
    /// Orders in transit.
    in_transit: Vec<(Arc<str>, Order)>,
    /// Millicores of each job's tasks.
    cpu_by_job: HashMap<Id, u64>,
    started: u32,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let ids = ["w1", "w2"];
        let mut world = World::new(&ids);
        allow_overcommit(&mut world);
        let actual = |id: &str| {
            let capacity = 4_000;
            (
                id.into(),
                ActualWorker {
                    capacity,
                    ..ActualWorker::default()
                },
            )
        };
        Scenario {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            world,
            actual: ids.into_iter().map(actual).collect(),
            in_transit: Vec::new(),
            cpu_by_job: HashMap::new(),
            started: 0,
        }
    }

    fn step(&mut self, round: u64) {
        self.world.now += 100;
        if self.rng.u8(0..3) == 0 {
            self.submit(round);
        }
        let changes_capacity = self.rng.u8(0..4) == 0;
        self.list(changes_capacity);
        self.report();
        self.world.cell.expire_leases(self.world.now);
        self.world.cell.place(self.world.now);
        self.in_transit.extend(self.world.cell.take_orders());
        while !self.in_transit.is_empty() && self.rng.u8(0..3) > 0 {
            let (id, order) = self.in_transit.remove(0);
            let outcome = self.execute(&id, &order);
            self.world
                .cell
                .handle_outcome(&id, &order, outcome, self.world.now);
        }
        self.world.persist();
    }

    fn submit(&mut self, round: u64) {
        let id = format!("{:016x}", 1 + round);
        let cpu = self.rng.u64(1..=3) * 500;
        let count = self.rng.u32(1..4);
        self.world.submit(&id, vec![step(count, cpu)]);
        self.cpu_by_job.insert(Id::new(&id).unwrap(), cpu);
    }

    fn list(&mut self, changes_capacity: bool) {
        let mut entries = Vec::new();
        for (id, actual) in &mut self.actual {
            if changes_capacity {
                actual.capacity = self.rng.u64(0..=8) * 500;
            }
            let size = Size {
                cpu: actual.capacity,
                ..entry(id, 4).size
            };
            entries.push(Entry {
                size,
                ..entry(id, 4)
            });
        }
        self.world.list(entries);
    }

    /// Lets a worker end some of its runs and report.
    fn report(&mut self) {
        let id: Arc<str> = if self.rng.bool() { "w1" } else { "w2" }.into();
        let actual = self.actual.get_mut(&id).unwrap();
        let last_ended: Vec<_> = actual
            .runs
            .iter()
            .map(|(task, (run, _))| (task.clone(), *run))
            .collect();
        for (task, run) in last_ended {
            if self.rng.u8(0..3) == 0 {
                actual.end(&task, run, EndCause::Done);
            }
        }
        let running = actual
            .runs
            .iter()
            .map(|((job, place), (number, _))| run(job.as_str(), *place as u32, *number));
        let running = running.collect();
        let ended = actual.ended.clone();
        self.world.report(&id, running, ended);
    }

    fn execute(&mut self, id: &Arc<str>, order: &Order) -> Outcome {
        let now = self.world.now;
        let actual = self.actual.get_mut(id).unwrap();
        match order {
            Order::Start(start) => {
                let task = (start.key.job.clone(), start.key.place);
                // A stop bars a start that was not sent yet.
                let is_barred = self.in_transit.iter().any(|(other, order)| {
                    let Order::Stop { key, run, .. } = order else {
                        return false;
                    };
                    other == id && *key == start.key && *run == start.run
                });
                if is_barred {
                    return Outcome::Refused(Refusal::NotSent);
                }
                let has_ended = actual
                    .last_ended
                    .get(&task)
                    .is_some_and(|last_ended| start.run <= *last_ended);
                if has_ended || actual.runs.contains_key(&task) {
                    return Outcome::Refused(Refusal::Old);
                }
                if now + CLOCK > start.deadline {
                    return Outcome::Refused(Refusal::Late);
                }
                let used: u64 = actual.runs.values().map(|(_, cpu)| cpu).sum();
                let (cpu, capacity) = (self.cpu_by_job[&task.0], actual.capacity);
                assert!(
                    used + cpu <= capacity,
                    "seed {}: {used} + {cpu} of {capacity} on {id}",
                    self.seed
                );
                actual.runs.insert(task, (start.run, cpu));
                self.started += 1;
                if self.rng.u8(0..5) == 0 {
                    return Outcome::Unknown;
                }
            }
            Order::Stop { key, run, .. } => {
                let task = (key.job.clone(), key.place);
                if actual
                    .runs
                    .get(&task)
                    .is_some_and(|(current, _)| current == run)
                {
                    actual.end(&task, *run, EndCause::Stopped);
                }
                let last_ended = actual.last_ended.entry(task).or_default();
                *last_ended = (*last_ended).max(*run);
            }
            Order::Pace { .. } | Order::Withdraw { .. } => {}
        }
        Outcome::Done
    }
}
