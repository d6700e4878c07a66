//! Simulated network between the owner and the workers: polls, orders and answers in transit.

use {
    super::{NetSim, Violation, advice, machine::Machine},
    job::{Address, Id},
    magpie_cell::{Entry, Order, Outcome, Poll, Refusal, Report, Start},
    std::{collections::HashSet, sync::Arc},
};

/// Timeout of an answer, in milliseconds.
const ANSWER_TIMEOUT: u64 = 800;
/// Delay of the next poll after a failed one, in milliseconds.
const POLL_RETRY: u64 = 300;
/// Pause in polling a worker while its ends are not persisted, in milliseconds.
const UNWRITTEN_PAUSE: u64 = 1_000;
/// Latency of an order and of its answer, in milliseconds each.
const LATENCY: u64 = 10;

/// An answer to an order, and when it arrives.
pub type Answer = (u64, Arc<str>, Order, Outcome);

/// A poll that its worker executes with a delay.
pub struct DelayedPoll {
    pub at: u64,
    pub name: Arc<str>,
    pub fence: u64,
    pub poll: Poll,
}

/// A pending poll.
pub struct PendingPoll {
    pub sent: u64,
    pub until: u64,
    pub seen: u64,
    pub is_lost: bool,
    /// The answer in transit, and when it arrives.
    pub answer: Option<(u64, Report)>,
}

impl PendingPoll {
    /// Lets the worker answer if it has an end to report or the wait of the poll is over.
    fn answer_by(&mut self, machine: &Machine, now: u64) {
        let is_due = now >= self.until || machine.ended.iter().any(|end| end.number > self.seen);
        if now < machine.partitioned_until || (is_due && now < machine.reports_dropped_until) {
            self.is_lost = true;
        } else if is_due {
            self.answer = Some((now + LATENCY, machine.report(now)));
        }
    }
}

/// An order in transit.
pub struct OrderInTransit {
    pub at: u64,
    /// The owner's fence, and the one shown to the worker.
    pub owner: u64,
    pub fence: u64,
    pub id: Arc<str>,
    pub name: Arc<str>,
    /// When a start expires, by the clock of the incarnation it is meant for.
    pub expires: u64,
    pub order: Order,
    pub is_answered: bool,
}

impl NetSim {
    pub(super) fn poll(&mut self) {
        let known: Vec<Entry> = self.cell.entries().cloned().collect();
        let ids: HashSet<&Arc<str>> = known.iter().map(|entry| &entry.id).collect();
        self.polls.retain(|id, _| ids.contains(id));
        for entry in &known {
            if !self.cell.is_polled(&entry.id) {
                continue;
            }
            if self.polls.contains_key(&entry.id) {
                self.receive(entry);
            } else if self.may_poll(&entry.id) {
                self.send_poll(entry);
            }
        }
    }

    fn may_poll(&self, id: &Arc<str>) -> bool {
        let next = self.next_polls.get(id).copied().unwrap_or_default();
        let is_written = !self.cell.has_unwritten_ends(id) || self.now >= next + UNWRITTEN_PAUSE;
        self.now >= next && is_written
    }

    /// Sends a poll.
    fn send_poll(&mut self, entry: &Entry) {
        let (now, fence) = (self.now, self.fence_of(entry.generation));
        let Some(mut poll) = self.cell.next_poll(&entry.id, now) else {
            return;
        };
        let is_binding = !self.reuses_names || self.connected.contains(&entry.id);
        if !is_binding {
            poll = Poll {
                deadline: 0,
                seen: 0,
                wait: 0,
            };
        }
        let mut machines = self.machines.iter_mut();
        let machine = machines.find(|machine| machine.address == entry.address);
        let Some(machine) = machine.filter(|machine| machine.returns_at.is_none()) else {
            self.fail_poll(&entry.id);
            return;
        };
        let is_partitioned = now < machine.partitioned_until;
        if !is_partitioned && machine.id != entry.id {
            if machine.name != entry.name {
                let cause = "another incarnation answers";
                self.cell.end_incarnation(&entry.id, cause, now);
                return;
            }
            if fence < machine.fence {
                self.refuse_poll(entry);
                return;
            }
            // A poll that is not binding, but shows its fence.
            machine.fence = fence;
            let start_time = machine.start_time.unwrap();
            self.cell.handle_successor(&entry.id, start_time, now, now);
            if self.cell.is_polled(&entry.id) {
                self.fail_poll(&entry.id);
            }
            return;
        }
        if !is_partitioned && fence < machine.fence {
            self.refuse_poll(entry);
            return;
        }
        machine.was_polled |= !is_partitioned;
        let is_delayed = !is_partitioned && is_binding && now < machine.delayed.0;
        if is_delayed {
            self.delayed.push(DelayedPoll {
                at: now + machine.delayed.1,
                name: entry.name.clone(),
                fence,
                poll,
            });
        } else if !is_partitioned {
            machine.fence = fence;
            let recorded = machine.accept_poll(poll, now);
            self.note_successes(recorded);
        }
        let pending = PendingPoll {
            sent: now,
            until: now + poll.wait,
            seen: poll.seen,
            is_lost: is_partitioned || is_delayed,
            answer: None,
        };
        self.polls.insert(entry.id.clone(), pending);
    }

    /// A worker has seen a higher fence: that of a later incarnation or of another owner.
    fn refuse_poll(&mut self, entry: &Entry) {
        if !self.is_former && !self.cell.is_superseded(&entry.id) {
            self.violation = Some(Violation::FalseOwnerChange(self.now));
        }
        self.fail_poll(&entry.id);
    }

    fn fail_poll(&mut self, id: &Arc<str>) {
        self.polls.remove(id);
        self.connected.remove(id);
        self.next_polls.insert(id.clone(), self.now + POLL_RETRY);
        self.cell.poll_failed(id, self.now);
    }

    /// Receives the answer to a poll, if there is one.
    fn receive(&mut self, entry: &Entry) {
        let now = self.now;
        let Some(pending) = self.polls.get_mut(&entry.id) else {
            return;
        };
        if let Some((at, _)) = &pending.answer {
            if now >= *at
                && let Some(pending) = self.polls.remove(&entry.id)
                && let Some((_, report)) = pending.answer
            {
                self.next_polls.insert(entry.id.clone(), now);
                self.connected.insert(entry.id.clone());
                self.cell.report(&entry.id, report, pending.sent, now, now);
            }
            return;
        }
        let mut machines = self.machines.iter_mut();
        let machine =
            machines.find(|machine| machine.id == entry.id && machine.returns_at.is_none());
        let Some(machine) = machine.filter(|_| !pending.is_lost) else {
            // A crash closes the connection at once, a partition is detected by the timeout.
            if !pending.is_lost || now >= pending.until + ANSWER_TIMEOUT {
                self.fail_poll(&entry.id);
            }
            return;
        };
        pending.answer_by(machine, now);
    }

    /// Lets workers answer the polls of an owner that is suspended.
    pub(super) fn answer_polls(&mut self) {
        for (id, pending) in &mut self.polls {
            let mut machines = self.machines.iter();
            let machine = machines.find(|machine| machine.id == *id);
            let machine = machine.filter(|machine| machine.returns_at.is_none());
            if pending.is_lost || pending.answer.is_some() {
                continue;
            }
            match machine {
                Some(machine) => pending.answer_by(machine, self.now),
                None => pending.is_lost = true,
            }
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
        // Orders to removed workers are dropped.
        let Some(entry) = self.cell.entry(&id).cloned() else {
            return;
        };
        if let (Order::Start(start), Some(stalls)) = (&order, &mut self.stalls) {
            stalls.note_start(&start.key);
        }
        let machine = self.machines.iter().find(|machine| machine.id == id);
        let expires = match (&order, machine) {
            (Order::Start(start), Some(machine)) => machine.started_at + start.deadline,
            _ => u64::MAX,
        };
        let dropped = machine.and_then(|machine| {
            (now < machine.answers_dropped.0).then_some(machine.answers_dropped.1)
        });
        if dropped.is_some() {
            let unknown = (
                now + ANSWER_TIMEOUT,
                id.clone(),
                order.clone(),
                Outcome::Unknown,
            );
            self.answers.push(unknown);
        }
        let late = match dropped {
            Some(None) => return,
            Some(Some(late)) => late,
            None => 0,
        };
        self.sent.push(OrderInTransit {
            at: now + LATENCY + late,
            owner: self.fence,
            fence: self.fence_of(entry.generation),
            id,
            name: entry.name,
            expires,
            order,
            is_answered: dropped.is_none(),
        });
    }

    /// Delivers orders that are due.
    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<DelayedPoll> = self.delayed.extract_if(.., |poll| poll.at <= now).collect();
        for DelayedPoll {
            name, fence, poll, ..
        } in due
        {
            let mut machines = self.machines.iter_mut();
            let machine =
                machines.find(|machine| machine.name == name && machine.returns_at.is_none());
            if let Some(machine) = machine.filter(|machine| machine.fence <= fence) {
                machine.fence = fence;
                let recorded = machine.accept_poll(poll, now);
                self.note_successes(recorded);
            }
        }
        let due: Vec<OrderInTransit> = self.sent.extract_if(.., |sent| sent.at <= now).collect();
        for sent in due {
            let outcome = self.execute(&sent);
            if let Order::Start(Start { key, .. }) = &sent.order
                && let Outcome::Refused(_) = outcome
                && let Some(stalls) = &mut self.stalls
            {
                stalls.note_end(&(key.job.clone(), key.place));
            }
            let Some(answers) = self.answers_to(sent.owner) else {
                continue;
            };
            if !sent.is_answered {
                continue;
            }
            let at = match outcome {
                Outcome::Unknown => now + ANSWER_TIMEOUT,
                _ => now + LATENCY,
            };
            answers.push((at, sent.id, sent.order, outcome));
        }
    }

    /// The answers in transit to the owner with this fence.
    fn answers_to(&mut self, fence: u64) -> Option<&mut Vec<Answer>> {
        if fence == self.fence {
            return Some(&mut self.answers);
        }
        let mut formers = self.formers.iter_mut();
        let former = formers.find(|former| former.owner.fence == fence)?;
        Some(&mut former.owner.answers)
    }

    /// Records successes that the owner has acknowledged. None of these tasks may have started
    /// since its end.
    fn note_successes(&mut self, recorded: Vec<((Id, Address), u64)>) {
        for ((job, address), ended_at) in recorded {
            let spec = &self.submission(&job).spec;
            if spec.steps[address.step as usize].copies {
                continue;
            }
            let task = (job.clone(), spec.place(address).unwrap());
            if self.started.get(&task).is_some_and(|&at| at > ended_at) {
                self.violation = Some(Violation::RestartAfterSuccess(self.now, task.clone()));
            }
            self.recorded.insert(task);
        }
    }

    fn execute(&mut self, sent: &OrderInTransit) -> Outcome {
        let now = self.now;
        let of_start = match &sent.order {
            Order::Start(start) => Some(self.submission(&start.key.job).clone()),
            _ => None,
        };
        let mut machines = self.machines.iter_mut();
        let Some(machine) = machines.find(|machine| machine.name == sent.name) else {
            return Outcome::Refused(Refusal::OtherLife);
        };
        let is_other_incarnation = machine.id != sent.id;
        if is_other_incarnation && !self.reuses_names {
            return Outcome::Refused(Refusal::OtherLife);
        }
        // A message on a connection reaches the incarnation it is meant for or none. One that had
        // already arrived and is executed late reaches the current incarnation.
        if machine.returns_at.is_some() || (is_other_incarnation && sent.is_answered) {
            return Outcome::Refused(Refusal::NotSent);
        }
        if is_other_incarnation && sent.expires < now && !machine.was_polled {
            return Outcome::Refused(Refusal::Late);
        }
        if now < machine.partitioned_until {
            return Outcome::Unknown;
        }
        if sent.fence < machine.fence {
            return Outcome::Refused(Refusal::Fence);
        }
        machine.fence = sent.fence;
        match &sent.order {
            Order::Start(start) => {
                let submission = of_start.unwrap();
                let step = &submission.spec.steps[start.address.step as usize];
                if submission.queue.advised && !advice::is_valid(start, &machine.id, now) {
                    return Outcome::Refused(Refusal::Ticket);
                }
                let task_ms = match self.stalls.is_some() {
                    true => self.task_ms * step.estimate / 1_000,
                    false => self.task_ms,
                };
                let runs_before = machine.runs.len();
                let outcome = machine.start(start, step, task_ms, now);
                let task = (start.key.job.clone(), start.key.place);
                if machine.runs.len() > runs_before {
                    if self.recorded.contains(&task) && !step.copies {
                        self.violation = Some(Violation::RestartAfterSuccess(now, task.clone()));
                    }
                    self.started.insert(task.clone(), now);
                }
                if outcome == Outcome::Done
                    && let Some(after) = self.crashing.get(&task)
                {
                    machine.crashes_at.get_or_insert(now + after);
                    self.last_crash = now + after;
                }
                outcome
            }
            Order::Stop {
                key, address, run, ..
            } => {
                machine.stop(&key.job, *address, *run, now);
                Outcome::Done
            }
            Order::Pace { .. } | Order::Withdraw { .. } => Outcome::Done,
        }
    }
}
