//! Random sequences of owners that end at any step of a maintenance wave, with a model of the
//! machine service and of the notes in the store. Orders and writes are lost, late or doubled, and
//! machines crash.
//!
//! `WAVE_CASES=100000` runs more cases, `WAVE_FROM` sets the first one.

use {
    crate::common::{JOB, World, entry, step},
    fastrand::Rng,
    magpie_cell::{Entry, Machine, MaintenanceOrder, Wave, WaveStatus},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
    test_case::test_case,
};

/// Default number of cases.
const DEFAULT_CASES: u64 = 3_000;
/// Cases that are always run: each finds a fault that few others do.
const KEPT_CASES: [u64; 6] = [11_641, 12_503, 13_472, 20_135, 20_508, 28_957];
/// Clock step, in milliseconds.
const STEP: u64 = 20;
/// Faults occur until then, in milliseconds.
const FAULT_SPAN: u64 = 25_000;
/// All waves must be complete this long after the last fault, in milliseconds.
const COMPLETION_LIMIT: u64 = 60_000;
/// The maximum number of steps of an owner; a pass has about seven.
const MAX_STEPS: u32 = 40;
/// Shortest and longest downtime of a machine under maintenance, in milliseconds.
const MAINTENANCE_TIME: (u64, u64) = (1_000, 9_000);
/// How rarely a machine crashes: once in so many clock steps.
const CRASH_RATES: [u32; 4] = [400, 150, 60, 30];
/// Maximum downtime of a machine that crashes, in milliseconds.
const MAX_DOWNTIME: u64 = 8_000;
/// The listing lacks a machine for less than this time, in milliseconds.
const MAX_HIDDEN: u64 = 4_000;
/// It is listed for this time between, in milliseconds.
const HIDE_PAUSE: u64 = 10_000;
/// How rarely the listing begins to lack a machine: once in so many clock steps.
const HIDE_RATE: u32 = 200;
/// Pause between two passes of an owner, in milliseconds.
const PASS_PAUSE: u64 = 700;
/// Time-out of a call, in milliseconds.
const TIMEOUT: u64 = 1_500;
/// An order without an answer is carried out within this time or never, in milliseconds.
const MAX_LATE: u64 = 3_000;
/// A former owner sends its last order within this time after its successor started, in
/// milliseconds.
const MAX_ZOMBIE: u64 = 1_900;

/// A machine of the service.
struct Host {
    worker: Arc<str>,
    /// When it is up again, if it is down.
    returns_at: Option<u64>,
    /// The wave for which it is down.
    in_wave: Option<u64>,
    /// The waves whose maintenance it has begun.
    begun: BTreeSet<u64>,
    /// The listing has no entry for it until then.
    hidden_until: u64,
    /// It has left the fleet.
    is_removed: bool,
}

/// What the store has of a wave.
#[derive(Clone, Default)]
struct Stored {
    status: Option<WaveStatus>,
    revision: u64,
}

/// What an owner has read in a pass.
type Snapshot = BTreeMap<u64, Stored>;

/// The next step of an owner.
enum Step {
    Read,
    Plan(Snapshot),
    Write(Snapshot, VecDeque<WaveStatus>, VecDeque<MaintenanceOrder>),
    Send(Snapshot, VecDeque<MaintenanceOrder>),
    WriteAgain(Snapshot, VecDeque<WaveStatus>),
}

struct Owner {
    world: World,
    /// Machines that it has seen down for maintenance.
    seen_down: BTreeSet<Arc<str>>,
    step: Step,
    /// Waves whose notes were surely written in this pass.
    written: BTreeSet<u64>,
    has_sent: bool,
    acts_at: u64,
    /// The number of steps until it ends.
    steps_left: u32,
    /// When it ends at the latest.
    ends_at: u64,
}

/// A write whose answer was lost and that is applied later.
struct LateWrite {
    at: u64,
    expected: u64,
    status: WaveStatus,
}

struct Sim {
    rng: Rng,
    now: u64,
    hosts: BTreeMap<Arc<str>, Host>,
    lives: u32,
    waves: Vec<Wave>,
    maintenance_time: u64,
    crash_rate: u32,
    store: BTreeMap<u64, Stored>,
    revision: u64,
    late_writes: Vec<LateWrite>,
    late_orders: Vec<(u64, MaintenanceOrder)>,
    owners: Vec<Owner>,
    next_owner_at: u64,
    /// Listings lack machines for a time, and one machine leaves the fleet.
    is_hiding: bool,
    /// The number of steps of the first owner, if there are no other faults.
    only_end: Option<u32>,
    violation: Option<String>,
    /// Maintenances and orders in total.
    maintenances: usize,
    orders: usize,
}

impl Sim {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let count = rng.usize(2..5);
        let names: Vec<Arc<str>> = (1..=count).map(|n| format!("m{n}").into()).collect();
        let hosts = names.iter().enumerate().map(|(number, name)| {
            let host = Host {
                worker: format!("w{number}").into(),
                returns_at: None,
                in_wave: None,
                begun: BTreeSet::new(),
                hidden_until: 0,
                is_removed: false,
            };
            (name.clone(), host)
        });
        let waves = (1..=rng.u64(1..3)).map(|number| Wave {
            number,
            machines: names[rng.usize(0..2).min(count - 1)..].to_vec(),
            limit: rng.usize(1..3),
            ..Wave::default()
        });
        let waves: Vec<Wave> = waves.collect();
        Sim {
            now: 1_000,
            hosts: hosts.collect(),
            lives: count as u32,
            store: waves
                .iter()
                .map(|wave| (wave.number, Stored::default()))
                .collect(),
            waves,
            maintenance_time: rng.u64(MAINTENANCE_TIME.0..MAINTENANCE_TIME.1),
            crash_rate: CRASH_RATES[rng.usize(0..CRASH_RATES.len())],
            revision: 0,
            late_writes: Vec::new(),
            late_orders: Vec::new(),
            owners: Vec::new(),
            next_owner_at: 0,
            is_hiding: false,
            only_end: None,
            violation: None,
            maintenances: 0,
            orders: 0,
            rng,
        }
    }

    fn has_faults(&self) -> bool {
        self.only_end.is_none() && self.now < FAULT_SPAN
    }

    /// True once in `number` times while there are faults.
    fn fault(&mut self, number: u32) -> bool {
        self.has_faults() && self.rng.u32(0..number) == 0
    }

    fn advance(&mut self) {
        self.now += STEP;
        self.run_hosts();
        let now = self.now;
        let due: Vec<LateWrite> = self
            .late_writes
            .extract_if(.., |write| write.at <= now)
            .collect();
        for write in due {
            self.apply(&write.status, write.expected);
        }
        let due: Vec<(u64, MaintenanceOrder)> = self
            .late_orders
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, order) in due {
            self.carry_out(&order);
        }
        self.run_owners();
    }

    fn run_hosts(&mut self) {
        for host in self.hosts.values_mut() {
            if host.returns_at.is_some_and(|at| at <= self.now) {
                host.returns_at = None;
                host.in_wave = None;
                // A worker may keep its name.
                if self.rng.u8(0..4) > 0 {
                    self.lives += 1;
                    host.worker = format!("w{}", self.lives).into();
                }
            }
        }
        if self.is_hiding {
            self.hide_hosts();
        }
        if self.fault(self.crash_rate) {
            let index = self.rng.usize(0..self.hosts.len());
            let downtime = self.rng.u64(200..MAX_DOWNTIME);
            let host = self.hosts.values_mut().nth(index).unwrap();
            if host.returns_at.is_none() {
                host.returns_at = Some(self.now + downtime);
            }
        }
    }

    /// Hides a machine from the listing for a moment, or removes it.
    fn hide_hosts(&mut self) {
        let now = self.now;
        let removes = self.fault(2_000) && self.hosts.values().all(|host| !host.is_removed);
        if !removes && !self.fault(HIDE_RATE) {
            return;
        }
        let until = now + self.rng.u64(STEP..MAX_HIDDEN);
        let index = self.rng.usize(0..self.hosts.len());
        let host = self.hosts.values_mut().nth(index).unwrap();
        host.is_removed |= removes;
        if now >= host.hidden_until + HIDE_PAUSE {
            host.hidden_until = until;
        }
    }

    /// Starts the maintenance of a machine as the service does. True if it has begun or is over.
    fn carry_out(&mut self, order: &MaintenanceOrder) -> bool {
        let wave = self.waves.iter().find(|wave| wave.number == order.wave);
        let wave = wave.unwrap();
        let down = wave
            .machines
            .iter()
            .filter(|name| self.hosts[*name].in_wave == Some(wave.number))
            .count();
        let limit = wave.limit;
        let host = self.hosts.get_mut(&order.machine).unwrap();
        if host.begun.contains(&order.wave) {
            return true;
        }
        if host.returns_at.is_some() || host.is_removed {
            return false;
        }
        if down >= limit {
            self.violation = Some(format!("limit at {}: {order:?}", self.now));
        }
        host.begun.insert(order.wave);
        host.in_wave = Some(order.wave);
        host.returns_at = Some(self.now + self.maintenance_time);
        self.maintenances += 1;
        true
    }

    /// Applies a write if nothing was written since. Returns its revision.
    fn apply(&mut self, status: &WaveStatus, expected: u64) -> Option<u64> {
        let stored = self.store.get_mut(&status.wave).unwrap();
        if stored.revision != expected {
            return None;
        }
        self.revision += 1;
        stored.revision = self.revision;
        stored.status = Some(status.clone());
        let wave = self.waves.iter().find(|wave| wave.number == status.wave);
        let mut machines = wave.unwrap().machines.iter();
        let is_missed = |name: &Arc<str>| {
            let host = &self.hosts[name];
            !host.is_removed && !host.begun.contains(&status.wave)
        };
        if status.complete && machines.any(is_missed) {
            self.violation = Some(format!("complete without proof at {}", self.now));
        }
        Some(self.revision)
    }

    fn is_complete(&self, wave: u64) -> bool {
        let status = self.store[&wave].status.as_ref();
        status.is_some_and(|status| status.complete)
    }

    fn run_owners(&mut self) {
        let now = self.now;
        if now >= self.next_owner_at {
            for former in &mut self.owners {
                former.ends_at = now + self.rng.u64(0..MAX_ZOMBIE);
            }
            let owner = self.new_owner();
            self.owners.push(owner);
            self.next_owner_at = u64::MAX;
        }
        for index in 0..self.owners.len() {
            if self.owners[index].acts_at <= now {
                self.act(index);
            }
        }
        if self
            .owners
            .last()
            .is_some_and(|owner| owner.steps_left == 0)
        {
            let most = [100, 1_000, 4_000][self.rng.usize(0..3)];
            let gap = self.rng.u64(0..most);
            self.next_owner_at = self.next_owner_at.min(now + gap);
        }
        let is_over = |owner: &mut Owner| owner.steps_left == 0 || owner.ends_at <= now;
        let _: Vec<Owner> = self.owners.extract_if(.., is_over).collect();
        // One that is suspended has a successor as well.
        if self.fault(600) && self.next_owner_at == u64::MAX && !self.owners.is_empty() {
            self.next_owner_at = now;
        }
    }

    fn new_owner(&mut self) -> Owner {
        // The operators may write a wave anew, with its machines in another order.
        if self.has_faults() {
            for wave in &mut self.waves {
                self.rng.shuffle(&mut wave.machines);
            }
        }
        let mut world = World::without_reports(&[]);
        world.now = self.now;
        let mut steps_left = u32::MAX;
        if self.has_faults() {
            steps_left = self.rng.u32(1..MAX_STEPS);
        } else if let Some(steps) = self.only_end.filter(|_| self.owners.is_empty()) {
            steps_left = steps;
            // The next owner has no end.
            self.only_end = Some(u32::MAX);
        }
        Owner {
            world,
            seen_down: BTreeSet::new(),
            step: Step::Read,
            written: BTreeSet::new(),
            has_sent: false,
            acts_at: self.now,
            steps_left,
            ends_at: u64::MAX,
        }
    }

    /// Runs one step of an owner.
    fn act(&mut self, index: usize) {
        let mut owner = self.owners.remove(index);
        owner.world.now = self.now;
        owner.steps_left = owner.steps_left.saturating_sub(1);
        let mut delay = self.rng.u64(0..3) * STEP;
        owner.step = match std::mem::replace(&mut owner.step, Step::Read) {
            Step::Read => {
                owner.written.clear();
                owner.has_sent = false;
                Step::Plan(self.store.clone())
            }
            Step::Plan(snapshot) => self.plan(&mut owner, snapshot),
            Step::Write(mut snapshot, mut statuses, orders) => match statuses.pop_front() {
                Some(status) => {
                    delay += self.write(&mut owner, &mut snapshot, status);
                    Step::Write(snapshot, statuses, orders)
                }
                None => Step::Send(snapshot, orders),
            },
            Step::Send(snapshot, mut orders) => match orders.pop_front() {
                Some(order) => {
                    delay += self.send(&mut owner, &order);
                    Step::Send(snapshot, orders)
                }
                None => {
                    let waves = open_waves(&self.waves, &snapshot);
                    let statuses = match owner.has_sent {
                        true => owner.world.cell.wave_statuses(&waves).into(),
                        false => VecDeque::new(),
                    };
                    Step::WriteAgain(snapshot, statuses)
                }
            },
            Step::WriteAgain(mut snapshot, mut statuses) => match statuses.pop_front() {
                Some(status) => {
                    delay += self.write(&mut owner, &mut snapshot, status);
                    Step::WriteAgain(snapshot, statuses)
                }
                None => {
                    delay += PASS_PAUSE;
                    Step::Read
                }
            },
        };
        owner.acts_at = self.now + delay;
        self.owners.insert(index, owner);
    }

    /// Lists the machines and plans.
    fn plan(&mut self, owner: &mut Owner, snapshot: Snapshot) -> Step {
        if self.fault(10) {
            return Step::Read;
        }
        let up = self.hosts.values();
        let up = up.filter(|host| host.returns_at.is_none() && !host.is_removed);
        let entries: Vec<Entry> = up.map(|host| entry(&host.worker, 4)).collect();
        let workers: Vec<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        owner.world.list(entries);
        for worker in workers {
            owner.world.report(&worker, vec![], vec![]);
        }
        let listed: Vec<Machine> = self.listed();
        let waves = open_waves(&self.waves, &snapshot);
        let orders = owner.world.cell.plan_maintenance(&waves, &listed, self.now);
        let down = listed.iter().filter(|machine| machine.in_maintenance);
        owner
            .seen_down
            .extend(down.map(|machine| machine.name.clone()));
        for order in &orders {
            if self.is_proven(owner, &snapshot, order) {
                self.violation = Some(format!("needless order at {}: {order:?}", self.now));
            }
        }
        let statuses = owner.world.cell.wave_statuses(&waves);
        Step::Write(snapshot, statuses.into(), orders.into())
    }

    /// True if an owner knows that the maintenance has begun.
    fn is_proven(&self, owner: &Owner, snapshot: &Snapshot, order: &MaintenanceOrder) -> bool {
        let name = &order.machine;
        let status = snapshot[&order.wave].status.as_ref();
        let is_noted =
            status.is_some_and(|status| status.begun.contains(name) || status.done.contains(name));
        let with_machine = self
            .waves
            .iter()
            .filter(|wave| wave.machines.contains(name));
        is_noted || owner.seen_down.contains(name) && with_machine.count() == 1
    }

    fn listed(&self) -> Vec<Machine> {
        let hosts = self.hosts.iter();
        hosts
            .filter(|(_, host)| host.hidden_until <= self.now && !host.is_removed)
            .map(|(name, host)| Machine {
                name: name.clone(),
                up: host.returns_at.is_none(),
                in_maintenance: host.in_wave.is_some(),
                worker: host.returns_at.is_none().then(|| host.worker.clone()),
            })
            .collect()
    }

    /// Writes the notes of a wave if they have changed. Returns how long it took.
    fn write(&mut self, owner: &mut Owner, snapshot: &mut Snapshot, status: WaveStatus) -> u64 {
        let stored = snapshot.get_mut(&status.wave).unwrap();
        owner.written.remove(&status.wave);
        if stored.status.as_ref() == Some(&status) {
            owner.written.insert(status.wave);
            return 0;
        }
        let expected = stored.revision;
        if self.fault(8) {
            let at = self.now + self.rng.u64(0..MAX_LATE);
            if self.rng.bool() {
                self.late_writes.push(LateWrite {
                    at,
                    expected,
                    status,
                });
            }
            return TIMEOUT;
        }
        if let Some(revision) = self.apply(&status, expected) {
            owner.written.insert(status.wave);
            *stored = Stored {
                status: Some(status),
                revision,
            };
        }
        0
    }

    /// Sends an order. Returns how long it took.
    fn send(&mut self, owner: &mut Owner, order: &MaintenanceOrder) -> u64 {
        if !owner.written.contains(&order.wave) || self.fault(8) {
            owner.world.cell.maintenance_refused(order);
            return 0;
        }
        owner.has_sent = true;
        self.orders += 1;
        // Twice or late, or both.
        while self.fault(4) {
            let at = self.now + self.rng.u64(0..MAX_LATE);
            self.late_orders.push((at, order.clone()));
        }
        if self.fault(4) {
            if self.rng.bool() {
                self.carry_out(order);
            }
            return TIMEOUT;
        }
        match self.carry_out(order) {
            true => owner.world.cell.maintenance_begun(order),
            false => owner.world.cell.maintenance_refused(order),
        }
        0
    }

    /// Runs a case. Returns a violation.
    fn run(&mut self) -> Option<String> {
        while self.has_faults() && self.violation.is_none() {
            self.advance();
        }
        let end = self.now + COMPLETION_LIMIT;
        let numbers: Vec<u64> = self.waves.iter().map(|wave| wave.number).collect();
        while self.violation.is_none() && !numbers.iter().all(|&wave| self.is_complete(wave)) {
            if self.now >= end {
                return Some("a wave is not complete".into());
            }
            self.advance();
        }
        // All machines return, and a pass without waves reopens the workers.
        for _ in 0..(MAX_DOWNTIME + 4 * PASS_PAUSE) / STEP {
            self.advance();
        }
        let violation = self.violation.take();
        violation.or_else(|| self.closed_worker())
    }

    /// Returns a worker that gets no work.
    fn closed_worker(&mut self) -> Option<String> {
        let hosts = self.hosts.values().filter(|host| !host.is_removed);
        let workers: BTreeSet<Arc<str>> = hosts.map(|host| host.worker.clone()).collect();
        let world = &mut self.owners.last_mut()?.world;
        world.now = self.now;
        world.submit(JOB, vec![step(workers.len() as u32, 4_000)]);
        let starts = world.starts();
        let open: BTreeSet<Arc<str>> = starts.into_iter().map(|(worker, _)| worker).collect();
        let closed = workers.difference(&open).next();
        closed.map(|worker| format!("{worker} stays closed"))
    }
}

/// Returns the waves that are not complete, with the notes.
fn open_waves(waves: &[Wave], snapshot: &Snapshot) -> Vec<Wave> {
    let mut open = Vec::new();
    for wave in waves {
        let status = snapshot[&wave.number].status.clone();
        if status.as_ref().is_some_and(|status| status.complete) {
            continue;
        }
        let mut wave = wave.clone();
        if let Some(status) = status {
            (wave.done, wave.sent, wave.begun) = (status.done, status.sent, status.begun);
        }
        open.push(wave);
    }
    open
}

fn number_from(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).unwrap_or_default();
    text.parse().unwrap_or(default)
}

/// An owner that ends after a certain number of steps leaves a state from which the next one
/// completes the wave, without any other fault.
#[test]
fn wave_completes_after_each_step() {
    for steps in 1..=3 * MAX_STEPS {
        for seed in 1..=4 {
            let mut sim = Sim::new(seed);
            sim.only_end = Some(steps);
            assert_eq!(sim.run(), None, "{steps} steps, seed {seed}");
        }
    }
}

/// Owners that end at any step of a wave leave a state from which the next one completes it within
/// its limit, and no worker stays closed.
#[test_case(false; "all machines listed")]
#[test_case(true; "machines missing in listings")]
fn waves_complete_over_owners(is_hiding: bool) {
    let first = number_from("WAVE_FROM", 1);
    let cases = number_from("WAVE_CASES", DEFAULT_CASES);
    let mut failed = Vec::new();
    let (mut maintenances, mut orders) = (0, 0);
    for seed in (first..first + cases).chain(KEPT_CASES) {
        let mut sim = Sim::new(seed);
        sim.is_hiding = is_hiding;
        if let Some(violation) = sim.run() {
            failed.push((seed, violation));
        }
        maintenances += sim.maintenances;
        orders += sim.orders;
    }
    println!("{cases} cases, {maintenances} maintenances, {orders} orders");
    assert!(failed.is_empty(), "{} failed: {failed:?}", failed.len());
}
