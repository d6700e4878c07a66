//! Room of workers that shrinks and grows while tasks run there, also where workers do not guard it.

use {
    crate::common::{JOB, World, entry, ordered, run, running, step},
    job::{Address, Id, spec::Size},
    magpie_cell::{EndCause, Entry, Order, Outcome, Refusal, RunEnd},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
    test_case::test_case,
};

/// Between two listings, in milliseconds.
const LIST_GAP: u64 = 700;
const OTHER: &str = "00000000000000b2";

/// Lists one worker with so many cores.
fn resize(world: &mut World, cores: u64) {
    world.now += LIST_GAP;
    world.list(vec![entry("w1", cores)]);
}

/// The workers of the pool start whatever they are told.
fn unguarded(world: &mut World) {
    world.cell.set_overcommitting(["pool".into()].into());
}

/// Room that has shrunk takes nothing that does not fit, and is used again as soon as the listing shows it.
#[test]
fn place_uses_room_as_listed() {
    let mut world = World::new(&["w1"]);
    world.submit(JOB, vec![step(4, 1_000)]);
    resize(&mut world, 2);
    assert_eq!(world.starts().len(), 2);
    resize(&mut world, 1);
    assert!(world.starts().is_empty());
    resize(&mut world, 4);
    assert_eq!(world.starts().len(), 2);
}

/// What runs is left alone where less room is left than it takes: nobody asks for more, and its work would be lost.
#[test_case(false; "guarded")]
#[test_case(true; "not guarded")]
fn list_stops_nothing_that_runs(is_unguarded: bool) {
    let (mut world, _, _) = running(&["w1"], step(1, 3_000));
    if is_unguarded {
        unguarded(&mut world);
    }
    resize(&mut world, 2);
    assert!(world.stops().is_empty());
}

/// A start that was decided for room which is gone meanwhile is taken back, the last one first; a stop says so to
/// whoever sends it, and keeps it from beginning should it have left. Its room counts until it is known not to run.
#[test]
fn list_takes_back_starts_without_room() {
    let mut world = World::new(&["w1"]);
    unguarded(&mut world);
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

/// Workers that guard their room refuse what does not fit: a start that is on its way may still find room.
#[test]
fn list_leaves_starts_to_workers_that_guard_their_room() {
    let (mut world, _, _) = ordered(&["w1"], step(1, 3_000));
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

/// A run that must not be takes room until its end is listed; one of a job that is not known may take all of it.
#[test_case(JOB, 1; "of a known job")]
#[test_case(OTHER, 0; "of a job that is not known")]
fn stray_run_takes_room(job: &str, fits: usize) {
    let mut world = World::new(&["w1"]);
    unguarded(&mut world);
    world.submit(JOB, vec![step(1, 3_000)]);
    world.cell.cancel(&Id::new(JOB).unwrap(), world.now, 1);
    world.report("w1", vec![run(job, 0, 7)], vec![]);
    world.submit("00000000000000c3", vec![step(2, 1_000)]);
    assert_eq!(world.starts().len(), fits);
}

/// What a listing says of the room of such workers is good for some seconds; with the store away nothing shows that
/// it has shrunk.
#[test_case(false, 1; "guarded")]
#[test_case(true, 0; "not guarded")]
fn place_needs_recent_listing(is_unguarded: bool, fits: usize) {
    let mut world = World::new(&["w1"]);
    if is_unguarded {
        unguarded(&mut world);
    }
    world.now += 5_000;
    world.report("w1", vec![], vec![]);
    world.submit(JOB, vec![step(1, 1_000)]);
    assert_eq!(world.starts().len(), fits);
    world.list(vec![entry("w1", 4)]);
    assert_eq!(world.starts().len(), 1 - fits);
}

/// Rooms that shrink and grow at random, with starts that are late, answers that are lost and reports that come now and
/// then: no start is sent that brings a worker over the smallest room which was known when it was sent.
#[test]
fn unguarded_worker_is_never_overfull() {
    for seed in 0..200 {
        let mut play = Play::new(seed);
        for round in 0..80 {
            play.step(round);
        }
        assert!(play.began > 10, "seed {seed}: {} starts", play.began);
    }
}

/// From the time of a world to the clock of its workers, see [`World::report`].
const CLOCK: u64 = 50_000;

/// A worker that starts whatever it is told, as it sees itself.
#[derive(Default)]
struct Real {
    room: u64,
    /// What runs: number of the run and processors.
    runs: HashMap<(Id, usize), (u64, u64)>,
    /// The highest run that is over or barred.
    over: HashMap<(Id, usize), u64>,
    ended: Vec<RunEnd>,
    count: u64,
}

impl Real {
    fn end(&mut self, task: &(Id, usize), run: u64, how: EndCause) {
        self.runs.remove(task);
        self.over.insert(task.clone(), run);
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

struct Play {
    seed: u64,
    rng: fastrand::Rng,
    world: World,
    real: BTreeMap<Arc<str>, Real>,
    /// Orders on their way.
    line: Vec<(Arc<str>, Order)>,
    /// The processors of each job's tasks.
    needs: HashMap<Id, u64>,
    began: u32,
}

impl Play {
    fn new(seed: u64) -> Self {
        let ids = ["w1", "w2"];
        let mut world = World::new(&ids);
        unguarded(&mut world);
        let real = |id: &str| {
            let room = 4_000;
            (
                id.into(),
                Real {
                    room,
                    ..Real::default()
                },
            )
        };
        Play {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            world,
            real: ids.into_iter().map(real).collect(),
            line: Vec::new(),
            needs: HashMap::new(),
            began: 0,
        }
    }

    fn step(&mut self, round: u64) {
        self.world.now += 100;
        if self.rng.u8(0..3) == 0 {
            self.submit(round);
        }
        let resizes = self.rng.u8(0..4) == 0;
        self.list(resizes);
        self.report();
        self.world.cell.expire_leases(self.world.now);
        self.world.cell.place(self.world.now);
        self.line.extend(self.world.cell.take_orders());
        while !self.line.is_empty() && self.rng.u8(0..3) > 0 {
            let (id, order) = self.line.remove(0);
            let outcome = self.carry_out(&id, &order);
            self.world
                .cell
                .handle_outcome(&id, &order, outcome, self.world.now);
        }
        self.world.write();
    }

    fn submit(&mut self, round: u64) {
        let id = format!("{:016x}", 1 + round);
        let cpu = self.rng.u64(1..=3) * 500;
        let count = self.rng.u32(1..4);
        self.world.submit(&id, vec![step(count, cpu)]);
        self.needs.insert(Id::new(&id).unwrap(), cpu);
    }

    fn list(&mut self, resizes: bool) {
        let mut entries = Vec::new();
        for (id, real) in &mut self.real {
            if resizes {
                real.room = self.rng.u64(0..=8) * 500;
            }
            let size = Size {
                cpu: real.room,
                ..entry(id, 4).size
            };
            entries.push(Entry {
                size,
                ..entry(id, 4)
            });
        }
        self.world.list(entries);
    }

    /// Has a worker end some of its runs and report.
    fn report(&mut self) {
        let id: Arc<str> = if self.rng.bool() { "w1" } else { "w2" }.into();
        let real = self.real.get_mut(&id).unwrap();
        let over: Vec<_> = real
            .runs
            .iter()
            .map(|(task, (run, _))| (task.clone(), *run))
            .collect();
        for (task, run) in over {
            if self.rng.u8(0..3) == 0 {
                real.end(&task, run, EndCause::Done);
            }
        }
        let running = real
            .runs
            .iter()
            .map(|((job, place), (number, _))| run(job.as_str(), *place as u32, *number));
        let running = running.collect();
        let ended = real.ended.clone();
        self.world.report(&id, running, ended);
    }

    fn carry_out(&mut self, id: &Arc<str>, order: &Order) -> Outcome {
        let now = self.world.now;
        let real = self.real.get_mut(id).unwrap();
        match order {
            Order::Start(start) => {
                let task = (start.key.job.clone(), start.key.place);
                // A stop bars a start that has not left.
                let is_barred = self.line.iter().any(|(other, order)| {
                    let Order::Stop { key, run, .. } = order else {
                        return false;
                    };
                    other == id && *key == start.key && *run == start.run
                });
                if is_barred {
                    return Outcome::Refused(Refusal::NotSent);
                }
                let is_over = real.over.get(&task).is_some_and(|over| start.run <= *over);
                if is_over || real.runs.contains_key(&task) {
                    return Outcome::Refused(Refusal::Old);
                }
                if now + CLOCK > start.deadline {
                    return Outcome::Refused(Refusal::Late);
                }
                let taken: u64 = real.runs.values().map(|(_, cpu)| cpu).sum();
                let (cpu, room) = (self.needs[&task.0], real.room);
                assert!(
                    taken + cpu <= room,
                    "seed {}: {taken} + {cpu} of {room} on {id}",
                    self.seed
                );
                real.runs.insert(task, (start.run, cpu));
                self.began += 1;
                if self.rng.u8(0..5) == 0 {
                    return Outcome::Unknown;
                }
            }
            Order::Stop { key, run, .. } => {
                let task = (key.job.clone(), key.place);
                if real.runs.get(&task).is_some_and(|(own, _)| own == run) {
                    real.end(&task, *run, EndCause::Stopped);
                }
                let over = real.over.entry(task).or_default();
                *over = (*over).max(*run);
            }
            Order::Pace { .. } | Order::Withdraw { .. } => {}
        }
        Outcome::Done
    }
}
