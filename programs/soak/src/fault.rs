//! Applies the fault plan, and restarts boxes that no fault keeps down.

use {
    crate::{
        plan::{Event, Fault},
        world::{CORES, World, send},
    },
    anyhow::Result,
    kernel::{Client, sync::lock, task::Signal},
    standin::{kv, proxy::Direction, runner},
    std::{
        collections::HashMap,
        thread,
        time::{Duration, Instant},
    },
};

/// The interval between two steps of the plan.
const STEP_INTERVAL: Duration = Duration::from_millis(10);
/// The interval between two readiness probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// A step delayed by more than this shows that the soak process itself, with the simulated
/// services, was stalled: that counts as a fault for all boxes.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);

/// Applies a fault plan.
pub struct Player<'a> {
    world: &'a World,
    plan: &'a [Event],
    /// Active events, by index in the plan.
    active: Vec<usize>,
    next: usize,
    /// The incarnation whose entry stays after a crash, by index in the plan.
    stale: HashMap<usize, String>,
    /// How often the soak process stalled.
    pub stalls: u32,
}

impl<'a> Player<'a> {
    /// Creates a player at the start of the plan.
    pub fn new(world: &'a World, plan: &'a [Event]) -> Self {
        Player {
            world,
            plan,
            active: Vec::new(),
            next: 0,
            stale: HashMap::new(),
            stalls: 0,
        }
    }

    /// Applies the plan until it is over and the signal is set. `started` is the time 0 of the plan.
    ///
    /// # Errors
    ///
    /// A box cannot be started.
    pub fn run(&mut self, started: Instant, until: &Signal) -> Result<()> {
        let mut last = Instant::now();
        while !until.is_stopped() || !self.is_over() {
            self.step(started.elapsed().as_millis() as u64)?;
            if last.elapsed() > STALL_THRESHOLD {
                self.stalls += 1;
                for number in 0..self.world.boxes.len() {
                    self.world.record_fault(Some(number));
                }
            }
            last = Instant::now();
            thread::sleep(STEP_INTERVAL);
        }
        Ok(())
    }

    fn is_over(&self) -> bool {
        self.next == self.plan.len() && self.active.is_empty()
    }

    fn step(&mut self, now: u64) -> Result<()> {
        let mut started = Vec::new();
        while let Some(event) = self.plan.get(self.next) {
            if event.at > now {
                break;
            }
            started.push(self.next);
            self.active.push(self.next);
            self.next += 1;
        }
        self.record_fault();
        for &index in &started {
            self.start_fault(index);
        }
        let plan = self.plan;
        let is_over = |index: &usize| plan[*index].at + plan[*index].duration <= now;
        let ended: Vec<usize> = self.active.iter().copied().filter(is_over).collect();
        self.active.retain(|index| !ended.contains(index));
        for &index in &ended {
            self.end_fault(index);
        }
        if !started.is_empty() || !ended.is_empty() {
            self.set_conditions();
        }
        if self.world.waves.step() {
            self.set_pauses();
        }
        self.restart_boxes()?;
        for worker in &self.world.workers {
            worker.runner.running();
        }
        Ok(())
    }

    fn faults(&self) -> impl Iterator<Item = Fault> {
        self.active.iter().map(|&index| self.plan[index].fault)
    }

    fn record_fault(&self) {
        let waves = &self.world.waves;
        if waves.is_disruptive() || self.faults().any(|fault| !fault.is_config_change()) {
            self.world.record_fault(None);
        }
        for (number, process) in self.world.boxes.iter().enumerate() {
            let process = lock(process);
            let is_down = !process.is_ready || !process.is_expected();
            drop(process);
            if is_down
                || waves.hits.is_hit(number)
                || self.faults().any(|fault| fault.affects_box(number))
            {
                self.world.record_fault(Some(number));
            }
        }
    }

    fn start_fault(&mut self, index: usize) {
        let world = self.world;
        match self.plan[index].fault {
            Fault::Kill(number) => lock(&world.boxes[number]).kill(),
            Fault::KillAll => world.boxes.iter().for_each(|process| lock(process).kill()),
            Fault::Term(number) => lock(&world.boxes[number]).terminate(),
            Fault::TermAll => world
                .boxes
                .iter()
                .for_each(|process| lock(process).terminate()),
            Fault::StoreSilent(number) => world.proxies[number].blackhole(),
            Fault::StoreOneWay(number, is_request) => {
                world.proxies[number].blackhole_direction(direction_of(is_request))
            }
            Fault::StoreReset(number) => world.proxies[number].reset(),
            Fault::Compact => world.kv.compact(),
            Fault::WorkerSilent(number) => world.workers[number].proxy.blackhole(),
            Fault::WorkerOneWay(number, is_request) => world.workers[number]
                .proxy
                .blackhole_direction(direction_of(is_request)),
            Fault::WorkerReset(number) => world.workers[number].proxy.reset(),
            Fault::Crash(number) => {
                if let Some(former) = world.workers[number].crash() {
                    self.stale.insert(index, former);
                }
            }
            Fault::Reborn(number, is_entry_late) => {
                world.workers[number].restart_same_id(is_entry_late)
            }
            Fault::PowerOff(number, _) | Fault::Gone(number) => {
                world.workers[number].runner.power_off()
            }
            Fault::CallsLate(number, count) => world.workers[number].runner.defer_calls(count),
            Fault::Unlisted(number) => world.workers[number].unlist(),
            Fault::Shut(hall) => world.close_hall(hall),
            Fault::Version => world.write_version(),
            Fault::OldVersion => world.write_older(),
            Fault::Shrunk(number, cores) => world.workers[number].resize(cores),
            Fault::Garbled(number) => world.workers[number].corrupt_entry(),
            Fault::Foreign(kind) => world.add_foreign(kind),
            Fault::Wave(fault) => {
                let time = Duration::from_millis(self.plan[index].duration);
                world.waves.start_fault(fault, time);
            }
            _ => {}
        }
    }

    fn end_fault(&mut self, index: usize) {
        match self.plan[index].fault {
            Fault::Late(_) => {
                self.world.kv.apply_deferred();
            }
            Fault::Crash(number) => {
                if let Some(incarnation) = self.stale.remove(&index) {
                    self.world.workers[number].remove_entry(&incarnation);
                }
            }
            Fault::Unlisted(number) | Fault::Garbled(number) | Fault::Reborn(number, _) => {
                self.world.workers[number].write_entry();
            }
            Fault::PowerOff(number, true) => self.world.workers[number].restart_same_id(false),
            Fault::PowerOff(number, false) => {
                let worker = &self.world.workers[number];
                if let Some(former) = worker.crash() {
                    worker.remove_entry(&former);
                }
            }
            Fault::Gone(number) => self.world.workers[number].unlist(),
            Fault::CallsLate(number, _) => self.world.workers[number].runner.run_deferred(),
            Fault::Shrunk(number, _) => self.world.workers[number].resize(CORES),
            Fault::Foreign(kind) => self.world.remove_foreign(kind),
            Fault::Shut(hall) => {
                let is_other = |fault| fault == Fault::Shut(hall);
                if !self.faults().any(is_other) {
                    self.world.open_hall(hall);
                }
            }
            Fault::OldVersion => self.world.write_latest(),
            _ => {}
        }
    }

    /// Sets the conditions that last, from all active faults.
    fn set_conditions(&self) {
        let world = self.world;
        let mut faults = kv::Faults::default();
        for fault in self.faults() {
            match fault {
                Fault::Busy => faults.busy = true,
                Fault::Reset => faults.reset = true,
                Fault::Lost(count) => faults.lost = count,
                Fault::Late(count) => faults.deferred = count,
                Fault::Deaf => faults.watches_silent = true,
                _ => {}
            }
        }
        world.kv.set_faults(faults);
        world.waves.set_faults(self.faults());
        for (number, proxy) in world.proxies.iter().enumerate() {
            let is_away = |fault| fault == Fault::StoreAway(number);
            let away = self.faults().any(is_away);
            proxy.set_refusing(away);
            if away {
                proxy.reset();
            }
            proxy.set_delay(self.delay(|fault| match fault {
                Fault::StoreSlow(at, millis) if at == number => Some(millis),
                _ => None,
            }));
        }
        self.set_pauses();
        for number in 0..world.workers.len() {
            self.set_worker_faults(number);
        }
    }

    fn set_pauses(&self) {
        for (number, process) in self.world.boxes.iter().enumerate() {
            let is_pause = |fault| fault == Fault::Pause(number) || fault == Fault::PauseAll;
            let is_frozen = self.world.waves.hits.is_frozen(number);
            lock(process).pause(is_frozen || self.faults().any(is_pause));
        }
    }

    fn set_worker_faults(&self, number: usize) {
        let worker = &self.world.workers[number];
        let mut faults = runner::Faults::default();
        for fault in self.faults() {
            match fault {
                Fault::Unwell(at) if at == number => faults.refuses_starts = true,
                Fault::WorkerAway(at) if at == number => faults.reset = true,
                Fault::StartsLost(at, count) if at == number => faults.lost = count,
                _ => {}
            }
        }
        worker.runner.set_faults(faults);
        worker.proxy.set_delay(self.delay(|fault| match fault {
            Fault::WorkerSlow(at, millis) if at == number => Some(millis),
            _ => None,
        }));
    }

    fn delay(&self, of: impl Fn(Fault) -> Option<u64>) -> Duration {
        Duration::from_millis(self.faults().filter_map(of).max().unwrap_or(0))
    }

    /// Starts boxes that are not running and that no fault keeps down.
    fn restart_boxes(&self) -> Result<()> {
        for (number, process) in self.world.boxes.iter().enumerate() {
            let mut process = lock(process);
            if let Some(text) = process.poll_exit()? {
                self.world.report_breach("end", &format!("b{number}"), text);
            }
            let is_kept_down = self.world.waves.hits.keeps_down(number)
                || self.faults().any(|fault| fault.keeps_down(number));
            if !is_kept_down {
                process.start()?;
            }
        }
        Ok(())
    }
}

fn direction_of(is_request: bool) -> Direction {
    if is_request {
        Direction::Upstream
    } else {
        Direction::Downstream
    }
}

/// Probes boxes and records their readiness, until the signal is set.
pub fn watch_ready(world: &World, until: &Signal) {
    let client = Client::new(None);
    while !until.is_stopped() {
        for shared in &world.boxes {
            let process = lock(shared);
            let (port, incarnation) = (process.ready_port, process.incarnation);
            let is_starting = process.is_expected() && !process.is_ready;
            drop(process);
            if !is_starting {
                continue;
            }
            let answer = send(&client, port, "GET", "/readiness", None);
            let mut process = lock(shared);
            if process.incarnation == incarnation
                && answer.is_some_and(|answer| answer.status == 200)
            {
                process.is_ready = true;
            }
        }
        thread::sleep(PROBE_INTERVAL);
    }
}
