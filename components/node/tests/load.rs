//! A cell whose relays have narrow links, offered more than these carry, on a clock of its own.
//!
//! The cell and the book of relays are the real ones. What lies between is reckoned: each link carries so many bytes a
//! millisecond, one thing after the other, and a start that comes later than [`MAX_START_WAIT_MS`] is not sent.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

use {
    cell::{Cell, EndCause, Entry, Outcome, Refusal, Report, RunEnd, Timing},
    job::{Id, Queue, Spec, Step, Submission, spec::Size},
    kernel::wire,
    magpie_node::{
        message::{Command, CompactStart, RelayRequest},
        relays::{Need, Relays},
        settings::MAX_START_WAIT_MS,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Links of 2 Mbit/s, in bytes a millisecond.
const LINK: u64 = 250;
const RELAYS: usize = 2;
const WORKERS: usize = 24;
/// Tasks of a job; they work for a moment, so that only links bind.
const TASKS: u32 = 4;
const WORK: u64 = 50;
/// Bytes of a specification, and of a start on its way to a worker besides.
const TEXT: u64 = 1_200;
const HEADS: u64 = 330;
/// Starts that the relays' links carry in a second.
const CARRIED: u64 = RELAYS as u64 * LINK * 1_000 / (TEXT + HEADS);
/// How long load is offered, in milliseconds.
const LENGTH: u64 = 10_000;

/// What happens at a time.
enum Event {
    /// A relay's offer reaches the owner, with the answers to these orders.
    Offer(usize, Vec<(u64, Outcome)>),
    /// A duty reaches a relay.
    Duty(usize, Vec<(u64, CompactStart, Id)>, u64),
    /// A start leaves the relay, or does not.
    Sent(usize, CompactStart, Id, bool),
    /// A run is done.
    Done(Arc<str>, Id, CompactStart),
}

/// What a relay knows.
#[derive(Default)]
struct Session {
    number: u64,
    /// The last duty that it took on.
    taken: u64,
    /// The last offer that it made.
    offered: u64,
    /// Answers for the next one.
    answers: Vec<(u64, Outcome)>,
}

struct World {
    now: u64,
    cell: Cell,
    relays: Relays,
    /// When the owner's link is free again, and those of the relays.
    free: (u64, [u64; RELAYS]),
    sessions: [Session; RELAYS],
    links: BTreeMap<Arc<str>, usize>,
    events: BTreeMap<(u64, u64), Event>,
    numbers: u64,
    ended: BTreeMap<Arc<str>, u64>,
    done: u64,
    refused: u64,
}

fn name(relay: usize) -> String {
    format!("b{relay}")
}

fn entry(number: usize) -> Entry {
    let name: Arc<str> = format!("w{number}").into();
    Entry {
        id: name.clone(),
        name,
        started: None,
        generation: 0,
        pool: "pool".into(),
        address: format!("10.0.0.1:{number}").into(),
        hall: "h1".into(),
        size: Size {
            cpu: 64_000,
            memory: 64_000,
            gpus: 0,
        },
        labels: vec!["a".into(), "r1".into()],
        leaving: false,
        remaining: None,
    }
}

fn submission(number: u64, now: u64) -> Submission {
    let step = Step {
        count: TASKS,
        size: Size {
            cpu: 100,
            memory: 10,
            gpus: 0,
        },
        estimate: WORK,
        ..Step::default()
    };
    Submission {
        id: Id::new(&format!("{number:016x}")).unwrap(),
        spec: Spec {
            text: "t".repeat(TEXT as usize).into(),
            steps: vec![step],
            timetable: None,
        },
        queue: Queue {
            name: "queue".into(),
            host: "h".into(),
            prefix: "/".into(),
            pool: "pool".into(),
            priority: 0,
            attempts: 2,
            stretch: 2.0,
            target: 100,
            advised: false,
        },
        accepted: now,
    }
}

impl World {
    fn new() -> Self {
        let timing = Timing {
            lease: 6_000,
            stop: 900,
            pace: 100,
        };
        let mut world = World {
            now: 1_000,
            cell: Cell::new(timing),
            relays: Relays::default(),
            free: (0, [0; RELAYS]),
            sessions: Default::default(),
            links: BTreeMap::new(),
            events: BTreeMap::new(),
            numbers: 0,
            ended: BTreeMap::new(),
            done: 0,
            refused: 0,
        };
        for relay in 0..RELAYS {
            let offer = world.offer(relay);
            world.relays.join(&offer, Need::Large, 1_000).unwrap();
            world.sessions[relay].number = world.relays.duty(&name(relay), 9, LINK, 1_000).session;
            world.at(world.now, Event::Offer(relay, Vec::new()));
        }
        let entries: Vec<Entry> = (0..WORKERS).map(entry).collect();
        for entry in world.cell.handle_listing(entries, 1_000) {
            let id = entry.id.clone();
            let relay = world.relays.assign(entry, 1_000).unwrap();
            world.links.insert(id.clone(), relay[1..].parse().unwrap());
            world.report(&id, None);
        }
        world
    }

    fn at(&mut self, time: u64, event: Event) {
        self.numbers += 1;
        self.events.insert((time, self.numbers), event);
    }

    fn offer(&mut self, relay: usize) -> RelayRequest {
        let session = &mut self.sessions[relay];
        session.offered += 1;
        RelayRequest {
            name: name(relay).into(),
            hall: "h1".into(),
            share: 500,
            link: LINK,
            session: session.number,
            batch: session.offered,
            ack: session.taken,
            heard: Vec::new(),
        }
    }

    /// A report of a worker, with a run that is done.
    fn report(&mut self, id: &Arc<str>, done: Option<(Id, CompactStart)>) {
        let number = self.ended.entry(id.clone()).or_default();
        let ended = done.map(|(job, begin)| {
            *number += 1;
            RunEnd {
                number: *number,
                job,
                address: begin.address,
                run: begin.run,
                how: EndCause::Done,
                saved: None,
            }
        });
        let report = Report {
            clock: self.now,
            running: Vec::new(),
            ended: ended.into_iter().collect(),
        };
        // Runs that are not listed are not missed: the poll left before they were ordered.
        self.cell.report(id, report, 0, self.now, self.now);
        let change = self.cell.take_write_batch(1_000);
        self.cell.batch_written(&change);
    }

    /// Decides, and hands the orders to the relays.
    fn pass(&mut self) {
        self.cell.set_backpressured(self.relays.busy_workers());
        let most = self.relays.start_budget(LINK);
        self.cell.place_some(self.now, most);
        self.relays.refill_text_budget(LINK, false, self.now);
        for (id, order) in self.cell.take_orders() {
            let relay = name(self.links[&id]);
            self.relays.order(&relay, &id, self.now, order);
        }
    }

    /// An exchange: the relay's offer has come, and its duty leaves.
    fn exchange(&mut self, relay: usize, answers: Vec<(u64, Outcome)>) {
        let offer = self.offer(relay);
        self.relays.accept_offer(&offer, self.now);
        for (number, outcome) in answers {
            let Some((id, order)) = self.relays.complete_order(&name(relay), number) else {
                continue;
            };
            self.refused += u64::from(outcome != Outcome::Done);
            self.cell.handle_outcome(&id, &order, outcome, self.now);
        }
        self.pass();
        let duty = self.relays.duty(&name(relay), 9, LINK, self.now);
        let bytes = wire::encode_compact(&duty).unwrap().len() as u64 + HEADS;
        self.free.0 = self.free.0.max(self.now) + bytes / LINK;
        let begins = duty
            .commands
            .into_iter()
            .filter_map(|command| match command {
                Command::Starts(job, at, begins) => Some((job, at, begins)),
                _ => None,
            });
        let mut starts = Vec::new();
        for (job, at, begins) in begins {
            starts.extend(begins.into_iter().map(|begin| (at, begin, job.clone())));
        }
        self.sessions[relay].taken = duty.batch;
        self.at(self.free.0, Event::Duty(relay, starts, duty.pause));
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Offer(relay, answers) => self.exchange(relay, answers),
            Event::Duty(relay, starts, pause) => {
                for (at, begin, job) in starts {
                    let free = self.free.1[relay].max(self.now);
                    let is_sent = free - at <= MAX_START_WAIT_MS;
                    let spent = if is_sent { (TEXT + HEADS) / LINK } else { 0 };
                    self.free.1[relay] = free + spent;
                    self.at(free + spent, Event::Sent(relay, begin, job, is_sent));
                }
                let answers = std::mem::take(&mut self.sessions[relay].answers);
                self.at(self.now + pause, Event::Offer(relay, answers));
            }
            Event::Sent(relay, begin, job, is_sent) => {
                let outcome = match is_sent {
                    true => Outcome::Done,
                    false => Outcome::Refused(Refusal::NotSent),
                };
                self.sessions[relay].answers.push((begin.number, outcome));
                if is_sent {
                    let id = begin.worker.clone();
                    self.at(self.now + WORK, Event::Done(id, job, begin));
                }
            }
            Event::Done(id, job, begin) => {
                self.done += 1;
                self.report(&id, Some((job, begin)));
            }
        }
    }

    /// Offers so many starts a second in jobs, and returns how many tasks were done in a second.
    fn run(&mut self, rate: u64) -> u64 {
        let until = self.now + LENGTH;
        let (mut jobs, begun) = (0, self.now);
        while self.now < until {
            while jobs * u64::from(TASKS) * 1_000 < rate * (self.now - begun) {
                jobs += 1;
                self.cell.admit(submission(jobs, self.now), self.now);
            }
            while let Some((&(time, number), _)) = self.events.first_key_value()
                && time <= self.now
            {
                let event = self.events.remove(&(time, number)).unwrap();
                self.take(event);
            }
            self.now += 1;
        }
        self.done * 1_000 / LENGTH
    }
}

/// What is offered beyond what the links carry waits in the queue, and few starts come too late. With starts decided as
/// room was found, at four times the load 45,324 were too late and 2,114 done in these 10 s; with no more decided than the
/// owner's link takes, 2,496 and 2,773; with no more than the relays' links take as well, 0 and 3,278.
#[test]
fn done_at_four_times_the_load() {
    let mut done = Vec::new();
    for halves in [1, 2, 4, 8] {
        let mut world = World::new();
        done.push(world.run(CARRIED * halves / 2));
        assert!(
            world.refused * 20 < world.done,
            "{halves}: {}",
            world.refused
        );
    }
    let best = done.iter().max().unwrap();
    assert!(done[0] * 10 >= CARRIED / 2 * 9, "{done:?} of {CARRIED}");
    assert!(done[3] * 10 >= best * 8, "{done:?} of {CARRIED}");
    assert!(*best * 10 >= CARRIED * 8, "{done:?} of {CARRIED}");
}
