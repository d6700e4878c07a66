//! Lasting tasks run on, whatever happens to workers, links, the store and owners: sequences by chance.
//!
//! More of them are run by hand with `STEADY_CASES=10000`, from another one on with `STEADY_FROM`. The first that go wrong,
//! as many as `STEADY_SHRINK` says, are made shorter, which takes some time for each.

use {
    crate::{
        common::step,
        yard::{self, Event, Fault, Yard},
    },
    fastrand::Rng,
    job::Step,
    magpie_cell::Refusal,
    std::{collections::BTreeSet, ops::Range},
    test_case::test_case,
};

/// How many cases are run where nobody asks for more.
const CASES: u64 = 24;
/// Events come within this time, in milliseconds; in one case of four within the longer one.
const EVENTFUL: u64 = 14_000;
const LONG: u64 = 40_000;
/// The jobs are there before the first event, in milliseconds.
const START: u64 = 3_000;
/// After the last event is over, all lasting tasks run within this time, in milliseconds.
const CALM: u64 = 12_000;
/// A lasting task may be away for so long beside room, in milliseconds.
const BESIDE_ROOM: u64 = 3_000;
/// A trial of a suspect is over after this time, in milliseconds: its run is listed for 1 s by then, or its worker is given
/// up, which takes 1.5 s for the start and 4.9 s for the leases.
const TRIAL: u64 = 6_500;
/// Tells the chance of what befalls the lives of workers from that of the rest.
const NAMES_CHANCE: u64 = 0x6e61_6d65;
/// Between two short jobs, in milliseconds.
const SHORT_GAP: u64 = 300;

/// A lasting job.
#[derive(Debug, Clone)]
struct Lasting {
    at: u64,
    width: u32,
    cpu: u64,
    spread: u32,
}

/// A sequence.
#[derive(Debug, Clone)]
struct Case {
    seed: u64,
    workers: usize,
    work: u64,
    /// The part of all cores that short jobs take, in hundredths.
    load: u64,
    lasting: Vec<Lasting>,
    /// A task of a short job that crashes its workers, after so long.
    poison: Option<u64>,
    events: Vec<Planned>,
    /// Workers start again under the names that they had.
    keeps_names: bool,
}

/// An event to come.
#[derive(Debug, Clone)]
struct Planned {
    at: u64,
    event: Event,
    /// It hits the workers of these tasks of a lasting job in place of those that it names.
    holders: Option<(u64, Range<usize>)>,
}

impl Planned {
    fn by_chance(at: u64, rng: &mut Rng, workers: usize) -> Self {
        let event = event(rng, workers);
        let (job, from) = (rng.u64(1..=3), rng.usize(0..6));
        let holders = rng.bool().then(|| (job, from..from + rng.usize(1..=6)));
        let holders = holders.filter(|_| event.is_of_machines());
        Planned { at, event, holders }
    }

    fn happen(&self, yard: &mut Yard) {
        let Some((job, places)) = &self.holders else {
            yard.happen(&self.event);
            return;
        };
        let machines: BTreeSet<usize> = places
            .clone()
            .filter_map(|place| yard.holder(&yard::id(*job), place))
            .collect();
        for machine in machines {
            yard.happen(&self.event.on(machine));
        }
    }

    /// The same for fewer workers.
    fn smaller(&self) -> Vec<Planned> {
        if let Some((job, places)) = &self.holders {
            return fewer(places)
                .map(|places| Planned {
                    holders: Some((*job, places)),
                    ..self.clone()
                })
                .collect();
        }
        let events = self.event.smaller().into_iter();
        events
            .map(|event| Planned {
                event,
                ..self.clone()
            })
            .collect()
    }
}

/// A range without one of its ends.
fn fewer(range: &Range<usize>) -> impl Iterator<Item = Range<usize>> {
    let parts = [range.start + 1..range.end, range.start..range.end - 1];
    parts.into_iter().filter(|part| !part.is_empty())
}

impl Case {
    fn by_chance(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let (eventful, bursts) = match rng.u8(0..4) {
            0 => (LONG, 3..=9),
            _ => (EVENTFUL, 1..=4),
        };
        let most = if rng.bool() { 24 } else { 66 };
        let workers = rng.usize(16..=most);
        let count = rng.usize(2..=6);
        let lasting = (0..count).map(|number| Lasting {
            at: if number < 3 { 0 } else { rng.u64(0..eventful) },
            width: rng.u32(1..=12),
            cpu: rng.u64(1..=6) * 500,
            spread: rng.u32(0..=1),
        });
        let lasting = lasting.collect();
        let mut events = Vec::new();
        for _ in 0..rng.usize(bursts) {
            // Most troubles come together.
            let burst = rng.u64(START..eventful);
            for _ in 0..rng.usize(1..=6) {
                let at = burst + rng.u64(0..1_000);
                events.push(Planned::by_chance(at, &mut rng, workers));
            }
        }
        events.sort_by_key(|own: &Planned| own.at);
        Case {
            seed,
            workers,
            work: rng.u64(3..=25) * 100,
            load: rng.u64(0..=90),
            lasting,
            poison: (rng.u8(0..8) == 0).then(|| rng.u64(1..=150) * 10),
            events,
            keeps_names: false,
        }
    }

    /// The same with workers that keep their names, and more that befalls their lives. That has a chance of its own.
    fn keeping_names(seed: u64) -> Self {
        let mut case = Case::by_chance(seed);
        let mut rng = Rng::with_seed(seed ^ NAMES_CHANCE);
        let last = case.events.iter().map(|own| own.at).max();
        for _ in 0..rng.usize(1..=8) {
            // Most of it comes beside what else happens.
            let at = if rng.u8(0..4) == 0 {
                rng.u64(START..EVENTFUL)
            } else {
                last.unwrap_or(START) + rng.u64(0..4_000)
            };
            let range = some(&mut rng, case.workers);
            let (time, late) = (rng.u64(1..=30) * 100, rng.u64(1..=60) * 100);
            let event = match rng.u8(0..6) {
                0..3 => {
                    let back = rng.u64(0..=1) * rng.u64(0..=90) * 100;
                    let behind = rng.u64(0..=25) * 100;
                    Event::Restart(range, rng.u64(1..=30) * 50, behind, back)
                }
                3 => Event::Delay(range, time, late),
                4 => Event::Mute(range, time, Some(late)),
                _ => Event::Takeover(rng.u64(0..=1) * 500, rng.u64(0..=20) * 100),
            };
            let holders = rng.bool().then(|| (rng.u64(1..=3), 0..rng.usize(1..=6)));
            let holders = holders.filter(|_| event.is_of_machines());
            case.events.push(Planned { at, event, holders });
        }
        case.events.sort_by_key(|own| own.at);
        case.keeps_names = true;
        case
    }

    /// What goes wrong in it.
    fn play(&self) -> Option<Fault> {
        let mut yard = match self.keeps_names {
            true => Yard::keeping_names(self.workers, self.work),
            false => Yard::new(self.workers, self.work),
        };
        let mut rng = Rng::with_seed(!self.seed);
        let events = self.events.iter();
        let last = events.map(|own| own.at + own.event.lasts()).max();
        let end = last.unwrap_or_default().max(START) + CALM - BESIDE_ROOM;
        let mut shorts = 0;
        for at in (0..end).step_by(100) {
            for (number, lasting) in self.lasting.iter().enumerate() {
                if (at..at + 100).contains(&lasting.at) {
                    yard.submit(1 + number as u64, lasting.step(), 0);
                }
            }
            if at % SHORT_GAP == 0 {
                shorts += 1;
                let id = 1_000 + shorts;
                self.submit_short(&mut yard, id, &mut rng);
            }
            let due = |own: &&Planned| (at..at + 100).contains(&own.at);
            for planned in self.events.iter().filter(due) {
                planned.happen(&mut yard);
            }
            yard.run(100);
        }
        let waiting = yard.watch(BESIDE_ROOM);
        if yard.fault.is_some() || yard.crashed + CALM > yard.now {
            return yard.fault;
        }
        let age = yard.cell.summary(yard.now).trial_age;
        if age > TRIAL {
            return Some(Fault::Trial(age));
        }
        if let Some(waits) = waiting.into_iter().min() {
            return Some(Fault::Waits(waits));
        }
        // No more short jobs come; those that are there end.
        yard.run(CALM);
        let open = yard.open_job(BESIDE_ROOM).map(Fault::Open);
        yard.fault.or(open)
    }

    fn submit_short(&self, yard: &mut Yard, id: u64, rng: &mut Rng) {
        let (cpu, priority) = (rng.u64(1..=4) * 500, rng.u32(0..=4) / 4);
        let all = self.workers as u64 * 4_000 * self.load * SHORT_GAP;
        let tasks = all / (100 * cpu * self.work);
        if tasks > 0 {
            let id = yard.submit(id, step(tasks as u32, cpu), priority);
            if let Some(after) = self.poison.filter(|_| yard.now == 1_000) {
                yard.poison(&id, 0, after);
            }
        }
    }

    /// The shortest sequence found that goes wrong in the same way.
    fn shrink(mut self, fault: &Fault) -> Self {
        let fails = |case: &Case| case.play().is_some_and(|own| own.is_like(fault));
        loop {
            let mut smaller = self.smaller().into_iter();
            let Some(found) = smaller.find(fails) else {
                return self;
            };
            self = found;
        }
    }

    /// Cases with one thing less.
    fn smaller(&self) -> Vec<Case> {
        let mut cases = Vec::new();
        for number in 0..self.events.len() {
            let mut case = self.clone();
            case.events.remove(number);
            cases.push(case);
        }
        for number in 0..self.lasting.len() {
            let mut case = self.clone();
            case.lasting.remove(number);
            cases.push(case);
        }
        if self.poison.is_some() {
            cases.push(Case {
                poison: None,
                ..self.clone()
            });
        }
        if self.load > 0 {
            for load in [0, self.load / 2] {
                cases.push(Case {
                    load,
                    ..self.clone()
                });
            }
        }
        for (number, lasting) in self.lasting.iter().enumerate() {
            if lasting.width > 1 {
                let mut case = self.clone();
                case.lasting[number].width -= 1;
                cases.push(case);
            }
        }
        for (number, planned) in self.events.iter().enumerate() {
            for planned in planned.smaller() {
                let mut case = self.clone();
                case.events[number] = planned;
                cases.push(case);
            }
        }
        cases
    }
}

impl Lasting {
    fn step(&self) -> Step {
        Step {
            lasting: true,
            spread: self.spread,
            ..step(self.width, self.cpu)
        }
    }
}

impl Event {
    /// How long it goes on, in milliseconds.
    fn lasts(&self) -> u64 {
        match self {
            Event::Crash(_) | Event::Remove(_) => 0,
            Event::Leave(_, time)
            | Event::Hold(time)
            | Event::Cut(_, time)
            | Event::Refuse(_, time, _)
            | Event::Fail(_, time)
            | Event::Hide(_, time)
            | Event::Deafen(_, time) => *time,
            Event::Takeover(held, away) => held + away,
            Event::Restart(_, down, behind, _) => down + behind,
            Event::Delay(_, time, late) => time + late,
            Event::Mute(_, time, late) => time + late.unwrap_or_default(),
        }
    }

    /// The same for one machine.
    fn on(&self, machine: usize) -> Event {
        let one = machine..machine + 1;
        match self.clone() {
            Event::Cut(_, time) => Event::Cut(one, time),
            Event::Crash(_) => Event::Crash(one),
            Event::Remove(_) => Event::Remove(machine),
            Event::Leave(_, time) => Event::Leave(machine, time),
            Event::Mute(_, time, late) => Event::Mute(one, time, late),
            Event::Refuse(_, time, reason) => Event::Refuse(one, time, reason),
            Event::Fail(_, time) => Event::Fail(one, time),
            Event::Hide(_, time) => Event::Hide(one, time),
            Event::Deafen(_, time) => Event::Deafen(one, time),
            Event::Restart(_, down, behind, back) => Event::Restart(one, down, behind, back),
            Event::Delay(_, time, late) => Event::Delay(one, time, late),
            other @ (Event::Hold(_) | Event::Takeover(..)) => other,
        }
    }

    /// True when it hits machines.
    fn is_of_machines(&self) -> bool {
        !matches!(self, Event::Hold(_) | Event::Takeover(..))
    }

    /// The same for fewer machines.
    fn smaller(&self) -> Vec<Event> {
        match self.clone() {
            Event::Cut(range, time) => fewer(&range).map(|own| Event::Cut(own, time)).collect(),
            Event::Crash(range) => fewer(&range).map(Event::Crash).collect(),
            Event::Mute(range, time, late) => {
                let events = fewer(&range).map(|own| Event::Mute(own, time, late));
                events.collect()
            }
            Event::Refuse(range, time, reason) => {
                let events = fewer(&range).map(|own| Event::Refuse(own, time, reason));
                events.collect()
            }
            Event::Fail(range, time) => fewer(&range).map(|own| Event::Fail(own, time)).collect(),
            Event::Hide(range, time) => fewer(&range).map(|own| Event::Hide(own, time)).collect(),
            Event::Deafen(range, time) => {
                fewer(&range).map(|own| Event::Deafen(own, time)).collect()
            }
            Event::Restart(range, down, behind, back) => {
                let events = fewer(&range).map(|own| Event::Restart(own, down, behind, back));
                events.collect()
            }
            Event::Delay(range, time, late) => {
                let events = fewer(&range).map(|own| Event::Delay(own, time, late));
                events.collect()
            }
            Event::Remove(_) | Event::Leave(..) | Event::Hold(_) | Event::Takeover(..) => vec![],
        }
    }
}

/// Some machines beside one another: one, a few, a rack or all.
fn some(rng: &mut Rng, workers: usize) -> Range<usize> {
    let start = rng.usize(0..workers);
    match rng.u8(0..8) {
        0 => 0..workers,
        1 => start / 8 * 8..workers.min(start / 8 * 8 + 8),
        2..5 => start..workers.min(start + rng.usize(2..=8)),
        _ => start..start + 1,
    }
}

fn event(rng: &mut Rng, workers: usize) -> Event {
    let range = some(rng, workers);
    let time = if rng.bool() {
        rng.u64(5..=80)
    } else {
        rng.u64(44..=65)
    };
    let (first, time) = (range.start, time * 100);
    match rng.u8(0..14) {
        0..4 => Event::Cut(range, time),
        4 => Event::Crash(range),
        5 => Event::Remove(first),
        6 => Event::Leave(first, time),
        7 => Event::Hold(time),
        8 => Event::Takeover(rng.u64(0..=1) * 500, rng.u64(0..=35) * 100),
        9 => Event::Mute(range, time / 2, Some(rng.u64(10..=500) * 10)),
        10 => Event::Mute(range, time / 2, None),
        11 => {
            let reasons = [Refusal::Room, Refusal::Unwell, Refusal::NotSent];
            Event::Refuse(range, time, reasons[rng.usize(0..3)])
        }
        12 => match rng.bool() {
            true => Event::Fail(range, time),
            false => Event::Hide(range, time),
        },
        _ => Event::Deafen(range, time),
    }
}

fn asked(name: &str, otherwise: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(otherwise, |value| value.parse().unwrap())
}

/// After 12 s of calm each lasting task runs, or there is no room for it; none runs twice, no lasting job fails, no place
/// is lost, and no trial goes on for long.
#[test]
fn lasting_tasks_run_after_calm() {
    play_all(Case::by_chance);
}

/// The same where workers start again under their names: besides, nothing is started again after a good end that was noted,
/// and no job stands still beside room.
#[test]
fn lives_of_one_name_are_told_apart() {
    play_all(Case::keeping_names);
}

fn play_all(case_of: impl Fn(u64) -> Case) {
    let (from, cases) = (asked("STEADY_FROM", 0), asked("STEADY_CASES", CASES));
    let shrunk = asked("STEADY_SHRINK", 1);
    let mut faults = Vec::new();
    for seed in from..from + cases {
        let case = case_of(seed);
        let Some(fault) = case.play() else {
            continue;
        };
        println!("{seed}: {fault:?}");
        if (faults.len() as u64) < shrunk {
            let least = case.shrink(&fault);
            println!("least: {:?} {least:?}", least.play());
        }
        faults.push(fault);
    }
    assert!(faults.is_empty(), "{} of {cases} fail", faults.len());
}

/// Cases in which a lasting task stood still, or its job failed, each until one of the mends that `steady_cases` names.
#[test_case(1136)]
#[test_case(2413)]
#[test_case(2925)]
#[test_case(3020)]
#[test_case(6218)]
#[test_case(9779)]
fn lasting_tasks_run_after_calm_case(seed: u64) {
    assert_eq!(Case::by_chance(seed).play(), None);
}
