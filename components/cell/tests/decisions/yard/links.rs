//! What lies between the owner and the workers: polls and orders on their way, and their answers.

use {
    super::{Fault, Yard},
    magpie_cell::{Entry, Order, Outcome, Poll, Refusal, Report},
    std::{collections::HashSet, sync::Arc},
};

/// An answer that does not come is given up after this time, in milliseconds.
const GIVEN_UP: u64 = 800;
/// After a poll that failed the next one goes after this time, in milliseconds.
const POLL_AGAIN: u64 = 300;
/// A worker is not polled for so long while its ends are not written, in milliseconds.
const UNWRITTEN: u64 = 1_000;
/// An order and its answer take this long each, in milliseconds.
const ON_THE_WAY: u64 = 10;

/// A poll that its worker carries out late.
pub struct Delayed {
    pub at: u64,
    pub name: Arc<str>,
    pub fence: u64,
    pub poll: Poll,
}

/// A poll on its way.
pub struct Held {
    pub sent: u64,
    pub until: u64,
    pub seen: u64,
    pub is_lost: bool,
    /// The answer on its way, and when it arrives.
    pub answer: Option<(u64, Report)>,
}

/// An order on its way.
pub struct Sent {
    pub at: u64,
    /// The owner's fence, and the one that the worker is shown.
    pub owner: u64,
    pub fence: u64,
    pub id: Arc<str>,
    pub name: Arc<str>,
    /// When the time of a start is over by the clock of the life that it is meant for.
    pub expires: u64,
    pub order: Order,
    pub is_answered: bool,
}

impl Yard {
    pub(super) fn poll(&mut self) {
        let known: Vec<Entry> = self.cell.entries().cloned().collect();
        let ids: HashSet<&Arc<str>> = known.iter().map(|entry| &entry.id).collect();
        self.polls.retain(|id, _| ids.contains(id));
        for entry in &known {
            if !self.cell.is_polled(&entry.id) {
                continue;
            }
            if self.polls.contains_key(&entry.id) {
                self.hear(entry);
            } else if self.may_poll(&entry.id) {
                self.ask(entry);
            }
        }
    }

    fn may_poll(&self, id: &Arc<str>) -> bool {
        let next = self.next_polls.get(id).copied().unwrap_or_default();
        let is_written = !self.cell.has_unwritten_ends(id) || self.now >= next + UNWRITTEN;
        self.now >= next && is_written
    }

    /// Sends a poll.
    fn ask(&mut self, entry: &Entry) {
        let (now, fence) = (self.now, self.fence_of(entry.generation));
        let Some(mut poll) = self.cell.next_poll(&entry.id, now) else {
            return;
        };
        let is_bound = !self.keeps_names || self.connected.contains(&entry.id);
        if !is_bound {
            poll = Poll {
                deadline: 0,
                seen: 0,
                wait: 0,
            };
        }
        let mut machines = self.machines.iter_mut();
        let machine = machines.find(|own| own.address == entry.address);
        let Some(machine) = machine.filter(|own| own.back.is_none()) else {
            self.unheard(&entry.id);
            return;
        };
        let is_cut = now < machine.cut_until;
        if !is_cut && machine.id != entry.id {
            if machine.name != entry.name {
                let cause = "another life answers";
                self.cell.end_incarnation(&entry.id, cause, now);
                return;
            }
            if fence < machine.fence {
                self.refused(entry);
                return;
            }
            // A look that binds nothing, but shows its fence.
            machine.fence = fence;
            let born = machine.born.unwrap();
            self.cell.handle_successor(&entry.id, born, now, now);
            if self.cell.is_polled(&entry.id) {
                self.unheard(&entry.id);
            }
            return;
        }
        if !is_cut && fence < machine.fence {
            self.refused(entry);
            return;
        }
        machine.is_met |= !is_cut;
        let is_delayed = !is_cut && is_bound && now < machine.delayed.0;
        if is_delayed {
            self.delayed.push(Delayed {
                at: now + machine.delayed.1,
                name: entry.name.clone(),
                fence,
                poll,
            });
        } else if !is_cut {
            machine.fence = fence;
            let noted = machine.take(poll, now);
            self.noted.extend(noted);
        }
        let held = Held {
            sent: now,
            until: now + poll.wait,
            seen: poll.seen,
            is_lost: is_cut || is_delayed,
            answer: None,
        };
        self.polls.insert(entry.id.clone(), held);
    }

    /// A worker has seen a higher fence: that of a later life, or there is another owner.
    fn refused(&mut self, entry: &Entry) {
        if !self.cell.is_superseded(&entry.id) {
            self.fault = Some(Fault::Deposed(self.now));
        }
        self.unheard(&entry.id);
    }

    fn unheard(&mut self, id: &Arc<str>) {
        self.polls.remove(id);
        self.connected.remove(id);
        self.next_polls.insert(id.clone(), self.now + POLL_AGAIN);
        self.cell.poll_failed(id, self.now);
    }

    /// Takes the answer to a poll, where there is one.
    fn hear(&mut self, entry: &Entry) {
        let now = self.now;
        let Some(held) = self.polls.get_mut(&entry.id) else {
            return;
        };
        if let Some((at, _)) = &held.answer {
            if now >= *at
                && let Some(held) = self.polls.remove(&entry.id)
                && let Some((_, report)) = held.answer
            {
                self.next_polls.insert(entry.id.clone(), now);
                self.connected.insert(entry.id.clone());
                self.cell.report(&entry.id, report, held.sent, now, now);
            }
            return;
        }
        let mut machines = self.machines.iter_mut();
        let machine = machines.find(|own| own.id == entry.id && own.back.is_none());
        let Some(machine) = machine.filter(|_| !held.is_lost) else {
            // A crash is told by the broken connection, a cut by nothing.
            if !held.is_lost || now >= held.until + GIVEN_UP {
                self.unheard(&entry.id);
            }
            return;
        };
        let is_due = now >= held.until || machine.ended.iter().any(|end| end.number > held.seen);
        if now < machine.cut_until || (is_due && now < machine.deaf_until) {
            held.is_lost = true;
        } else if is_due {
            held.answer = Some((now + ON_THE_WAY, machine.report(now)));
        }
    }

    pub(super) fn answers_due(&mut self) -> Vec<(Arc<str>, Order, Outcome)> {
        let now = self.now;
        let due = self.answers.extract_if(.., |(at, ..)| *at <= now);
        due.map(|(_, id, order, outcome)| (id, order, outcome))
            .collect()
    }

    /// Sends an order.
    pub(super) fn send(&mut self, id: Arc<str>, order: Order) {
        if matches!(order, Order::Withdraw { .. }) {
            return;
        }
        let now = self.now;
        // What is ordered of a worker that is gone goes nowhere.
        let Some(entry) = self.cell.entry(&id).cloned() else {
            return;
        };
        let machine = self.machines.iter().find(|own| own.id == id);
        let expires = match (&order, machine) {
            (Order::Start(start), Some(machine)) => machine.begun + start.deadline,
            _ => u64::MAX,
        };
        let mute = machine.and_then(|own| (now < own.mute.0).then_some(own.mute.1));
        if mute.is_some() {
            let unknown = (now + GIVEN_UP, id.clone(), order.clone(), Outcome::Unknown);
            self.answers.push(unknown);
        }
        let late = match mute {
            Some(None) => return,
            Some(Some(late)) => late,
            None => 0,
        };
        self.sent.push(Sent {
            at: now + ON_THE_WAY + late,
            owner: self.fence,
            fence: self.fence_of(entry.generation),
            id,
            name: entry.name,
            expires,
            order,
            is_answered: mute.is_none(),
        });
    }

    /// Has orders arrive.
    pub(super) fn arrive(&mut self) {
        let now = self.now;
        let due: Vec<Delayed> = self.delayed.extract_if(.., |own| own.at <= now).collect();
        for Delayed {
            name, fence, poll, ..
        } in due
        {
            let mut machines = self.machines.iter_mut();
            let machine = machines.find(|own| own.name == name && own.back.is_none());
            if let Some(machine) = machine.filter(|own| own.fence <= fence) {
                machine.fence = fence;
                let noted = machine.take(poll, now);
                self.noted.extend(noted);
            }
        }
        let due: Vec<Sent> = self.sent.extract_if(.., |sent| sent.at <= now).collect();
        for sent in due {
            let outcome = self.carry_out(&sent);
            if !sent.is_answered || sent.owner != self.fence {
                continue;
            }
            let at = match outcome {
                Outcome::Unknown => now + GIVEN_UP,
                _ => now + ON_THE_WAY,
            };
            self.answers.push((at, sent.id, sent.order, outcome));
        }
    }

    fn carry_out(&mut self, sent: &Sent) -> Outcome {
        let now = self.now;
        let mut machines = self.machines.iter_mut();
        let Some(machine) = machines.find(|own| own.name == sent.name) else {
            return Outcome::Refused(Refusal::OtherLife);
        };
        let is_other = machine.id != sent.id;
        if is_other && !self.keeps_names {
            return Outcome::Refused(Refusal::OtherLife);
        }
        // What goes over a connection reaches the life that it is meant for or none; what was there already, and is carried
        // out late, meets whichever is there.
        if machine.back.is_some() || (is_other && sent.is_answered) {
            return Outcome::Refused(Refusal::NotSent);
        }
        if is_other && sent.expires < now && !machine.is_met {
            return Outcome::Refused(Refusal::Late);
        }
        if now < machine.cut_until {
            return Outcome::Unknown;
        }
        if sent.fence < machine.fence {
            return Outcome::Refused(Refusal::Fence);
        }
        machine.fence = sent.fence;
        match &sent.order {
            Order::Start(start) => {
                let of_job = self.jobs.iter().find(|own| own.id == start.key.job);
                let step = &of_job.unwrap().spec.steps[0];
                let before = machine.runs.len();
                let outcome = machine.start(start, step, self.work, now);
                let name = (start.key.job.clone(), start.key.place);
                if machine.runs.len() > before && self.noted.contains(&name) {
                    self.fault = Some(Fault::Again(now, name.clone()));
                }
                if outcome == Outcome::Done
                    && let Some(after) = self.crashing.get(&name)
                {
                    machine.crash.get_or_insert(now + after);
                    self.crashed = now + after;
                }
                outcome
            }
            Order::Stop {
                key, address, run, ..
            } => {
                machine.stop(&key.job, *address, *run);
                Outcome::Done
            }
            Order::Pace { .. } | Order::Withdraw { .. } => Outcome::Done,
        }
    }
}
