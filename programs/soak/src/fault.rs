//! Plays the plan: begins and ends faults, and keeps boxes running that no fault holds down.

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

/// The pause between two looks at the plan.
const TICK: Duration = Duration::from_millis(10);
/// The pause between two looks at whether a box is ready.
const LOOK: Duration = Duration::from_millis(50);
/// A look that comes so late shows that the stand-ins themselves stood still: that is trouble for all.
const STALLED: Duration = Duration::from_millis(400);

/// Plays a plan.
pub struct Player<'a> {
    world: &'a World,
    plan: &'a [Event],
    /// Events that have begun and not ended, by place in the plan.
    active: Vec<usize>,
    next: usize,
    /// The entry that stays after a crash, by place in the plan.
    stale: HashMap<usize, String>,
    /// How often the stand-ins stood still.
    pub stalls: u32,
}

impl<'a> Player<'a> {
    /// A player at the start of the plan.
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

    /// Plays until the signal says stop. `begun` is the time 0 of the plan.
    ///
    /// # Errors
    ///
    /// A box cannot be started.
    pub fn run(&mut self, begun: Instant, until: &Signal) -> Result<()> {
        let mut last = Instant::now();
        while !until.is_stopped() {
            self.step(begun.elapsed().as_millis() as u64)?;
            if last.elapsed() > STALLED {
                self.stalls += 1;
                for number in 0..self.world.boxes.len() {
                    self.world.note_trouble(Some(number));
                }
            }
            last = Instant::now();
            thread::sleep(TICK);
        }
        Ok(())
    }

    fn step(&mut self, now: u64) -> Result<()> {
        let mut begins = Vec::new();
        while let Some(event) = self.plan.get(self.next) {
            if event.at > now {
                break;
            }
            begins.push(self.next);
            self.active.push(self.next);
            self.next += 1;
        }
        self.note_trouble();
        for &place in &begins {
            self.begin(place);
        }
        let plan = self.plan;
        let is_over = |place: &usize| plan[*place].at + plan[*place].lasts <= now;
        let ends: Vec<usize> = self.active.iter().copied().filter(is_over).collect();
        self.active.retain(|place| !ends.contains(place));
        for &place in &ends {
            self.end(place);
        }
        if !begins.is_empty() || !ends.is_empty() {
            self.set_states();
        }
        self.keep_boxes()?;
        for worker in &self.world.workers {
            worker.runner.running();
        }
        Ok(())
    }

    fn faults(&self) -> impl Iterator<Item = Fault> {
        self.active.iter().map(|&place| self.plan[place].fault)
    }

    fn note_trouble(&self) {
        if self.faults().any(|fault| !fault.is_change()) {
            self.world.note_trouble(None);
        }
        for (number, process) in self.world.boxes.iter().enumerate() {
            let process = lock(process);
            let is_down = !process.is_ready || !process.is_wanted();
            drop(process);
            if is_down || self.faults().any(|fault| fault.troubles(number)) {
                self.world.note_trouble(Some(number));
            }
        }
    }

    fn begin(&mut self, place: usize) {
        let world = self.world;
        match self.plan[place].fault {
            Fault::Kill(number) => lock(&world.boxes[number]).kill(),
            Fault::KillAll => world.boxes.iter().for_each(|own| lock(own).kill()),
            Fault::Term(number) => lock(&world.boxes[number]).ask_to_end(),
            Fault::TermAll => world.boxes.iter().for_each(|own| lock(own).ask_to_end()),
            Fault::StoreSilent(number) => world.proxies[number].blackhole(),
            Fault::StoreOneWay(number, way) => {
                world.proxies[number].blackhole_direction(way_of(way))
            }
            Fault::StoreReset(number) => world.proxies[number].reset(),
            Fault::Compact => world.kv.compact(),
            Fault::WorkerSilent(number) => world.workers[number].proxy.blackhole(),
            Fault::WorkerOneWay(number, way) => {
                world.workers[number].proxy.blackhole_direction(way_of(way))
            }
            Fault::WorkerReset(number) => world.workers[number].proxy.reset(),
            Fault::Crash(number) => {
                self.stale.insert(place, world.crash(number));
            }
            Fault::Reborn(number, is_behind) => world.reborn(number, is_behind),
            Fault::CallsLate(number, count) => world.workers[number].runner.defer_calls(count),
            Fault::Unlisted(number) => world.unlist(&world.life(number)),
            Fault::Shut(hall) => world.shut(hall),
            Fault::Version => world.write_version(),
            Fault::OldVersion => world.write_older(),
            Fault::Shrunk(number, cores) => world.resize(number, cores),
            Fault::Garbled(number) => world.garble(number),
            Fault::Foreign(kind) => world.list_foreign(kind),
            _ => {}
        }
    }

    fn end(&mut self, place: usize) {
        match self.plan[place].fault {
            Fault::Late(_) => {
                self.world.kv.apply_deferred();
            }
            Fault::Crash(_) => {
                if let Some(life) = self.stale.remove(&place) {
                    self.world.unlist(&life);
                }
            }
            Fault::Unlisted(number) | Fault::Garbled(number) | Fault::Reborn(number, _) => {
                self.world.list(number);
            }
            Fault::CallsLate(number, _) => self.world.workers[number].runner.run_deferred(),
            Fault::Shrunk(number, _) => self.world.resize(number, CORES),
            Fault::Foreign(kind) => self.world.unlist_foreign(kind),
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

    /// Sets what lasts, by all faults that are active.
    fn set_states(&self) {
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
        for (number, own) in world.boxes.iter().enumerate() {
            let is_pause = |fault| fault == Fault::Pause(number) || fault == Fault::PauseAll;
            lock(own).pause(self.faults().any(is_pause));
        }
        for number in 0..world.workers.len() {
            self.set_worker(number);
        }
    }

    fn set_worker(&self, number: usize) {
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

    /// Starts boxes that are not there and that no fault holds down.
    fn keep_boxes(&self) -> Result<()> {
        for (number, own) in self.world.boxes.iter().enumerate() {
            let mut process = lock(own);
            if let Some(text) = process.look()? {
                self.world.break_rule("end", &format!("b{number}"), text);
            }
            if !self.faults().any(|fault| fault.holds_down(number)) {
                process.start()?;
            }
        }
        Ok(())
    }
}

fn way_of(is_there: bool) -> Direction {
    if is_there {
        Direction::Upstream
    } else {
        Direction::Downstream
    }
}

/// Notes which boxes have become ready, until the signal says stop.
pub fn watch_ready(world: &World, until: &Signal) {
    let client = Client::new(None);
    while !until.is_stopped() {
        for own in &world.boxes {
            let process = lock(own);
            let (port, life) = (process.ready, process.life);
            let is_open = process.is_wanted() && !process.is_ready;
            drop(process);
            if !is_open {
                continue;
            }
            let answer = send(&client, port, "GET", "/readiness", None);
            let mut process = lock(own);
            if process.life == life && answer.is_some_and(|answer| answer.status == 200) {
                process.is_ready = true;
            }
        }
        thread::sleep(LOOK);
    }
}
