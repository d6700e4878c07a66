//! That losses are told apart as by a look at each of them.

use {
    super::{
        lost::{Loss, OF_CELL, OF_RACK},
        silence::{Silence, Silences},
    },
    crate::{
        cell::Cell,
        order::{Order, Outcome, Refusal, Report, Run, Start},
        slot::{Slot, Stage},
        timing::Timing,
        worker::{Entry, TaskKey, Worker},
    },
    job::{Address, Id, Step, spec::Size},
    std::{collections::HashMap, sync::Arc},
};

/// Racks of a cell, and its workers: a rack by itself is less than the part of a cell that counts as lost together.
const RACKS: usize = 6;
const MACHINES: usize = 36;
const JOBS: u32 = 5;

/// Workers of a rack or a cell: all of them, those lost, and on how many of these a task of a job had just started.
#[derive(Default)]
struct Plain {
    all: usize,
    lost: usize,
    jobs: HashMap<Id, usize>,
}

impl Plain {
    fn add(&mut self, loss: &Loss) {
        self.lost += 1;
        for job in &loss.jobs {
            *self.jobs.entry(job.clone()).or_default() += 1;
        }
    }

    fn of_job(&self, job: &Id) -> usize {
        self.jobs.get(job).copied().unwrap_or_default()
    }

    fn clears(&self, part: usize, job: &Id) -> bool {
        let is_group = self.lost >= 3 && self.lost * 100 >= self.all * part;
        is_group && self.of_job(job) * 2 <= self.lost
    }
}

/// The rack and the cell of a worker that is given up, by a look at each other worker and each loss.
fn plain(cell: &Cell, own: &Worker, now: u64) -> [Plain; 2] {
    let (id, rack) = (&own.entry.id, own.entry.rack());
    let recent = &cell.crashes.losses.recent;
    let [mut of_rack, mut of_cell] = [Plain::default(), Plain::default()];
    let gone = recent.values();
    let gone = gone.filter(|loss| !cell.workers.contains_key(&loss.id));
    let racks = cell.workers.values().map(|worker| worker.entry.rack());
    for other in racks.chain(gone.map(|loss| &*loss.rack)) {
        of_cell.all += 1;
        of_rack.all += usize::from(other == rack);
    }
    let mut unreached = Vec::new();
    for (other, worker) in &cell.workers {
        let is_silent = worker.unreachable_since.is_some() && worker.clock.is_some();
        if is_silent && other != id && !recent.contains_key(other) {
            unreached.push(Loss::of(worker, now));
        }
    }
    let own = Loss::of(own, now);
    let others = recent.values().filter(|loss| loss.id != own.id);
    let met = others.chain(&unreached);
    let met = met.filter(|loss| loss.silence.meets(own.silence));
    for loss in met.chain([&own]) {
        of_cell.add(loss);
        if *loss.rack == *rack {
            of_rack.add(loss);
        }
    }
    [of_rack, of_cell]
}

/// Verdicts that were compared.
#[derive(Debug, Default)]
struct Seen {
    by_rack: u32,
    by_cell: u32,
    by_none: u32,
}

/// A cell whose workers come, go, fall silent and are heard by chance.
struct World {
    cell: Cell,
    now: u64,
    random: fastrand::Rng,
    entries: Vec<Entry>,
    lives: usize,
    seen: Seen,
}

fn job(number: u32) -> Id {
    Id::new(&format!("{number:016}")).unwrap()
}

impl World {
    fn new(seed: u64) -> Self {
        let timing = Timing {
            lease: 6_000,
            stop: 900,
            pace: 100,
        };
        let mut world = World {
            cell: Cell::new(timing),
            now: 20_000,
            random: fastrand::Rng::with_seed(seed),
            entries: Vec::new(),
            lives: 0,
            seen: Seen::default(),
        };
        for machine in 0..MACHINES {
            let entry = world.life(machine);
            world.entries.push(entry);
        }
        world.list();
        for machine in 0..MACHINES {
            world.report(machine);
        }
        world
    }

    /// A new life of a machine.
    fn life(&mut self, machine: usize) -> Entry {
        self.lives += 1;
        let name: Arc<str> = format!("w{:04}", self.lives).into();
        Entry {
            id: name.clone(),
            name,
            started: None,
            generation: 0,
            pool: "pool".into(),
            address: format!("10.0.0.1:{machine}").as_str().into(),
            hall: "h1".into(),
            size: Size::default(),
            labels: vec![format!("r{}", machine % RACKS).as_str().into()],
            leaving: false,
            remaining: None,
        }
    }

    fn list(&mut self) {
        let mut entries = self.entries.clone();
        entries.retain(|_| self.random.u32(0..40) > 0);
        self.cell.handle_listing(entries, self.now);
    }

    fn machine(&mut self) -> usize {
        self.random.usize(0..MACHINES)
    }

    fn id(&self, machine: usize) -> Arc<str> {
        self.entries[machine].id.clone()
    }

    /// A worker lists what it holds.
    fn report(&mut self, machine: usize) {
        let id = self.id(machine);
        let Some(worker) = self.cell.workers.get(&id) else {
            return;
        };
        let mut running = Vec::new();
        for (key, slot) in &worker.slots {
            running.push(Run {
                job: key.job.clone(),
                address: slot.address,
                run: slot.run,
                saved: None,
                figure: 0,
            });
        }
        running.retain(|_| self.random.u32(0..4) > 0);
        let report = Report {
            clock: self.now + 50_000,
            running,
            ended: Vec::new(),
        };
        self.cell.report(&id, report, self.now, self.now, 1);
        self.cell.next_poll(&id, self.now);
    }

    /// Something starts on a worker; on one that is silent, as what is adopted late does.
    fn start(&mut self, machine: usize) {
        let id = self.id(machine);
        let index = self.random.u32(0..1_000);
        let key = TaskKey {
            job: job(self.random.u32(0..JOBS)),
            place: index as usize,
        };
        let address = Address {
            time: 0,
            step: 0,
            index,
        };
        let stage = Stage::Sent { deadline: u64::MAX };
        let slot = Slot {
            adopted: self.random.u32(0..10) == 0,
            ..Slot::new(&Step::default(), address, 0, 1, stage)
        };
        if let Some(worker) = self.cell.workers.get_mut(&id) {
            worker.add_slot(key, slot);
        }
        self.cell.renew_loss(&id);
    }

    /// A worker takes or refuses something that it was given, as may be known after it has fallen silent.
    fn answer(&mut self, machine: usize) {
        let id = self.id(machine);
        let worker = self.cell.workers.get(&id);
        let slots = worker.into_iter().flat_map(|worker| &worker.slots);
        let Some((key, slot)) = slots.min_by_key(|(key, _)| (*key).clone()) else {
            return;
        };
        let order = Order::Start(Start {
            key: key.clone(),
            address: slot.address,
            run: slot.run,
            text: "".into(),
            saved: None,
            deadline: u64::MAX,
            ticket: None,
        });
        let outcomes = [Outcome::Done, Outcome::Refused(Refusal::Room)];
        let outcome = outcomes[self.random.usize(0..2)];
        self.cell.handle_outcome(&id, &order, outcome, self.now);
    }

    /// Some workers fall silent: those of a rack, a part of the cell, or one.
    fn cut(&mut self) {
        let kind = self.random.u32(0..3);
        let rack = self.random.usize(0..RACKS);
        let one = self.machine();
        for machine in 0..MACHINES {
            let is_cut = match kind {
                0 => machine % RACKS == rack && self.random.u32(0..8) > 0,
                1 => self.random.u32(0..3) == 0,
                _ => machine == one,
            };
            if is_cut {
                let id = self.id(machine);
                self.cell.poll_failed(&id, self.now);
            }
        }
    }

    /// A machine has a new life, which is listed and may answer.
    fn crash(&mut self, machine: usize) {
        let former = self.id(machine);
        self.entries[machine] = self.life(machine);
        if self.random.bool() {
            self.cell.end_incarnation(&former, "test", self.now);
            return;
        }
        self.list();
        self.now += 1;
        self.report(machine);
    }

    /// Time goes by, and most of the workers that are reached report.
    fn go_on(&mut self) {
        self.now += self.random.u64(0..4_000);
        for machine in 0..MACHINES {
            let worker = self.cell.workers.get(&self.id(machine));
            let is_reached = worker.is_some_and(|worker| worker.unreachable_since.is_none());
            if is_reached && self.random.u32(0..8) > 0 {
                self.report(machine);
            }
        }
    }

    fn act(&mut self) {
        let machine = self.machine();
        match self.random.u32(0..100) {
            0..40 => self.report(machine),
            40..70 => self.start(machine),
            70..76 => self.answer(machine),
            76..79 => self.cut(),
            79..81 => self.crash(machine),
            81..89 => self.cell.expire_leases(self.now),
            89..92 => self.list(),
            92 => {
                let rack = format!("r{}", self.random.usize(0..RACKS));
                self.entries[machine].labels = vec![rack.as_str().into()];
            }
            _ => self.go_on(),
        }
        self.now += self.random.u64(0..60);
    }

    /// Compares what both ways say of one worker.
    fn compare(&mut self) {
        let at = self.random.usize(0..self.cell.workers.len().max(1));
        let Some(worker) = self.cell.workers.values().nth(at) else {
            return;
        };
        let [rack, cell] = plain(&self.cell, worker, self.now);
        let losses = &mut self.cell.crashes.losses;
        let together = losses.lost_with(&self.cell.workers, worker, self.now);
        let of_rack = together.of_rack().unwrap();
        let of_cell = together.of_cell();
        assert_eq!((of_rack.all(), of_rack.lost()), (rack.all, rack.lost));
        assert_eq!((of_cell.all(), of_cell.lost()), (cell.all, cell.lost));
        for job in (0..JOBS).map(job) {
            assert_eq!(of_rack.of_job(&job), rack.of_job(&job));
            assert_eq!(of_cell.of_job(&job), cell.of_job(&job));
            let by_rack = rack.clears(OF_RACK, &job);
            let by_cell = cell.clears(OF_CELL, &job);
            assert_eq!(together.clears(&job), by_rack || by_cell);
            self.seen.by_rack += u32::from(by_rack && !by_cell);
            self.seen.by_cell += u32::from(by_cell);
            self.seen.by_none += u32::from(!by_rack && !by_cell && rack.lost.max(cell.lost) > 3);
        }
    }
}

/// The verdicts are those of a look at each worker and each loss, whatever comes between two of them.
#[test]
fn clears_what_a_look_at_each_clears() {
    let mut seen = Seen::default();
    for seed in 0..40 {
        let mut world = World::new(seed);
        for _ in 0..1_000 {
            world.act();
            world.compare();
        }
        seen.by_rack += world.seen.by_rack;
        seen.by_cell += world.seen.by_cell;
        seen.by_none += world.seen.by_none;
    }
    println!("{seen:?}");
    let least = seen.by_rack.min(seen.by_cell).min(seen.by_none);
    assert!(least > 1_000, "{seen:?}");
}

/// Silences are counted as by a comparison with each, also after some were taken out.
#[test]
fn meeting_counts_each() {
    let mut random = fastrand::Rng::with_seed(5);
    let mut silence = || {
        let from = random.u64(0..30);
        let until = from + random.u64(0..8);
        Silence { from, until }
    };
    for _ in 0..200 {
        let mut silences = Silences::default();
        let mut all = Vec::new();
        for _ in 0..20 {
            let one = silence();
            silences.add(one);
            all.push(one);
        }
        for _ in 0..20 {
            let own = silence();
            let met = all.iter().filter(|one| one.meets(own)).count();
            assert_eq!(silences.meeting(own), met);
            silences.remove(all.swap_remove(0));
        }
        assert!(silences.is_empty());
    }
}
