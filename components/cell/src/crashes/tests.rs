//! Compares the loss index with a full scan of workers and losses.

use {
    super::{
        losses::{CELL_PERCENT, Loss, RACK_PERCENT},
        outage::{Outage, Outages},
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

/// Racks and machines of the cell. A single rack is smaller than the share of the cell that counts
/// as a correlated loss.
const RACKS: usize = 6;
const MACHINES: usize = 36;
const JOBS: u32 = 5;

/// Workers of a rack or a cell: all of them, the lost ones, and how many of these had a new run, by
/// job.
#[derive(Default)]
struct Scan {
    total: usize,
    lost: usize,
    jobs: HashMap<Id, usize>,
}

impl Scan {
    fn add(&mut self, loss: &Loss) {
        self.lost += 1;
        for job in &loss.jobs {
            *self.jobs.entry(job.clone()).or_default() += 1;
        }
    }

    fn starting(&self, job: &Id) -> usize {
        self.jobs.get(job).copied().unwrap_or_default()
    }

    fn rules_out(&self, percent: usize, job: &Id) -> bool {
        let is_group = self.lost >= 3 && self.lost * 100 >= self.total * percent;
        is_group && self.starting(job) * 2 <= self.lost
    }
}

/// Counts the rack and the cell of a lost worker by scanning all workers and losses.
fn scan(cell: &Cell, own: &Worker, now: u64) -> [Scan; 2] {
    let (id, rack) = (&own.entry.id, own.entry.rack());
    let recent = &cell.crashes.losses.recent;
    let [mut in_rack, mut in_cell] = [Scan::default(), Scan::default()];
    let removed = recent.values();
    let removed = removed.filter(|loss| !cell.workers.contains_key(&loss.id));
    let racks = cell.workers.values().map(|worker| worker.entry.rack());
    for other in racks.chain(removed.map(|loss| &*loss.rack)) {
        in_cell.total += 1;
        in_rack.total += usize::from(other == rack);
    }
    let mut unreachable = Vec::new();
    for (other, worker) in &cell.workers {
        let is_silent = worker.unreachable_since.is_some() && worker.clock.is_some();
        if is_silent && other != id && !recent.contains_key(other) {
            unreachable.push(Loss::of(worker, now));
        }
    }
    let own = Loss::of(own, now);
    let others = recent.values().filter(|loss| loss.id != own.id);
    let overlapping = others.chain(&unreachable);
    let overlapping = overlapping.filter(|loss| loss.outage.overlaps(own.outage));
    for loss in overlapping.chain([&own]) {
        in_cell.add(loss);
        if *loss.rack == *rack {
            in_rack.add(loss);
        }
    }
    [in_rack, in_cell]
}

/// Number of verdicts compared, by reason.
#[derive(Debug, Default)]
struct Verdicts {
    by_rack: u32,
    by_cell: u32,
    by_neither: u32,
}

/// A cell whose workers join, leave, become unreachable and report at random.
struct Simulation {
    cell: Cell,
    now: u64,
    random: fastrand::Rng,
    entries: Vec<Entry>,
    incarnations: usize,
    verdicts: Verdicts,
}

fn job(number: u32) -> Id {
    Id::new(&format!("{number:016}")).unwrap()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let timing = Timing {
            lease: 6_000,
            stop: 900,
            pace: 100,
        };
        let mut simulation = Simulation {
            cell: Cell::new(timing),
            now: 20_000,
            random: fastrand::Rng::with_seed(seed),
            entries: Vec::new(),
            incarnations: 0,
            verdicts: Verdicts::default(),
        };
        for machine in 0..MACHINES {
            let entry = simulation.new_entry(machine);
            simulation.entries.push(entry);
        }
        simulation.list();
        for machine in 0..MACHINES {
            simulation.report(machine);
        }
        simulation
    }

    /// A new incarnation of a machine's worker.
    fn new_entry(&mut self, machine: usize) -> Entry {
        self.incarnations += 1;
        let name: Arc<str> = format!("w{:04}", self.incarnations).into();
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

    /// A worker reports some of its runs.
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
                ready: true,
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

    /// Adds a run to a worker. On an unreachable worker this corresponds to a late adoption.
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
        self.cell.refresh_loss(&id);
    }

    /// A worker confirms or refuses a start; the answer may arrive after the worker became
    /// unreachable.
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

    /// Makes workers unreachable: a rack, a random third of the cell, or a single one.
    fn cut_off(&mut self) {
        let kind = self.random.u32(0..3);
        let rack = self.random.usize(0..RACKS);
        let single = self.machine();
        for machine in 0..MACHINES {
            let is_affected = match kind {
                0 => machine % RACKS == rack && self.random.u32(0..8) > 0,
                1 => self.random.u32(0..3) == 0,
                _ => machine == single,
            };
            if is_affected {
                let id = self.id(machine);
                self.cell.poll_failed(&id, self.now);
            }
        }
    }

    /// Replaces a machine's worker by a new incarnation, which is listed and may report.
    fn crash(&mut self, machine: usize) {
        let previous = self.id(machine);
        self.entries[machine] = self.new_entry(machine);
        if self.random.bool() {
            self.cell.end_incarnation(&previous, "test", self.now);
            return;
        }
        self.list();
        self.now += 1;
        self.report(machine);
    }

    /// Advances time; most reachable workers report.
    fn advance(&mut self) {
        self.now += self.random.u64(0..4_000);
        for machine in 0..MACHINES {
            let worker = self.cell.workers.get(&self.id(machine));
            let is_reached = worker.is_some_and(|worker| worker.unreachable_since.is_none());
            if is_reached && self.random.u32(0..8) > 0 {
                self.report(machine);
            }
        }
    }

    fn step(&mut self) {
        let machine = self.machine();
        match self.random.u32(0..100) {
            0..40 => self.report(machine),
            40..70 => self.start(machine),
            70..76 => self.answer(machine),
            76..79 => self.cut_off(),
            79..81 => self.crash(machine),
            81..89 => self.cell.expire_leases(self.now),
            89..92 => self.list(),
            92 => {
                let rack = format!("r{}", self.random.usize(0..RACKS));
                self.entries[machine].labels = vec![rack.as_str().into()];
            }
            _ => self.advance(),
        }
        self.now += self.random.u64(0..60);
    }

    /// Compares index and full scan for one worker.
    fn compare(&mut self) {
        let at = self.random.usize(0..self.cell.workers.len().max(1));
        let Some(worker) = self.cell.workers.values().nth(at) else {
            return;
        };
        let [rack, cell] = scan(&self.cell, worker, self.now);
        let losses = &mut self.cell.crashes.losses;
        let correlation = losses.correlated_with(&self.cell.workers, worker, self.now);
        let in_rack = correlation.in_rack().unwrap();
        let in_cell = correlation.in_cell();
        assert_eq!(
            (in_rack.total(), in_rack.lost_count()),
            (rack.total, rack.lost)
        );
        assert_eq!(
            (in_cell.total(), in_cell.lost_count()),
            (cell.total, cell.lost)
        );
        for job in (0..JOBS).map(job) {
            assert_eq!(in_rack.starting(&job), rack.starting(&job));
            assert_eq!(in_cell.starting(&job), cell.starting(&job));
            let by_rack = rack.rules_out(RACK_PERCENT, &job);
            let by_cell = cell.rules_out(CELL_PERCENT, &job);
            assert_eq!(correlation.rules_out(&job), by_rack || by_cell);
            self.verdicts.by_rack += u32::from(by_rack && !by_cell);
            self.verdicts.by_cell += u32::from(by_cell);
            self.verdicts.by_neither +=
                u32::from(!by_rack && !by_cell && rack.lost.max(cell.lost) > 3);
        }
    }
}

/// After any sequence of changes the index gives the same verdicts as a full scan.
#[test]
fn correlation_matches_full_scan() {
    let mut verdicts = Verdicts::default();
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..1_000 {
            simulation.step();
            simulation.compare();
        }
        verdicts.by_rack += simulation.verdicts.by_rack;
        verdicts.by_cell += simulation.verdicts.by_cell;
        verdicts.by_neither += simulation.verdicts.by_neither;
    }
    println!("{verdicts:?}");
    let least = verdicts
        .by_rack
        .min(verdicts.by_cell)
        .min(verdicts.by_neither);
    assert!(least > 1_000, "{verdicts:?}");
}

/// Overlaps are counted as by a comparison with each outage, also after removals.
#[test]
fn count_overlapping_matches_pairwise_check() {
    let mut random = fastrand::Rng::with_seed(5);
    let mut outage = || {
        let from = random.u64(0..30);
        let until = from + random.u64(0..8);
        Outage { from, until }
    };
    for _ in 0..200 {
        let mut outages = Outages::default();
        let mut added = Vec::new();
        for _ in 0..20 {
            let outage = outage();
            outages.add(outage);
            added.push(outage);
        }
        for _ in 0..20 {
            let own = outage();
            let overlapping = added.iter().filter(|other| other.overlaps(own)).count();
            assert_eq!(outages.count_overlapping(own), overlapping);
            outages.remove(added.swap_remove(0));
        }
        assert!(outages.is_empty());
    }
}
