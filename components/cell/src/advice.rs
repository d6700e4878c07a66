//! Queues on which a service outside tells which workers may run a step, with a ticket for each.

use {
    crate::{
        cell::{Cell, Job, Rank},
        timing,
    },
    job::{Address, Id, Step},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// How many workers are asked about at a time: the service takes 100, answers later for each one,
/// and objectives are reckoned with one call about 30.
const ASKED_AT_ONCE: usize = 30;
/// The pause after a question without an answer, in milliseconds.
const ASK_AGAIN: u64 = 200;

/// A worker that is asked about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its present life.
    pub id: Arc<str>,
    /// Its name.
    pub name: Arc<str>,
}

/// Which of these workers may run a step?
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceQuery {
    /// The job.
    pub job: Id,
    /// The time and the step; the number within the step is 0.
    pub step: Address,
    /// The workers.
    pub workers: Vec<Candidate>,
}

/// Workers that may run a step, each with its ticket, and how long tickets hold, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Advice {
    /// The life of a worker, and its ticket.
    pub tickets: Vec<(Arc<str>, Arc<str>)>,
    /// See above.
    pub valid_for: u64,
}

/// What is known of one step at one of its times.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    asked: HashSet<Arc<str>>,
    tickets: HashMap<Arc<str>, (Arc<str>, u64)>,
    /// No question before this time: one is on its way, or failed just now.
    quiet: u64,
}

impl Job {
    fn known(&self, step: Address) -> Option<&StepAdvice> {
        self.advice.get(&(step.time, step.step))
    }

    /// The ticket of a worker for a step that holds until a start has surely arrived.
    pub(crate) fn ticket(&self, step: Address, worker: &str, now: u64) -> Option<Arc<str>> {
        let (ticket, until) = self.known(step)?.tickets.get(worker)?;
        (now + timing::START_WINDOW < *until).then(|| ticket.clone())
    }

    /// True when a worker may run a step, as far as advice goes.
    pub(crate) fn is_advised(&self, step: Address, worker: &str, now: u64) -> bool {
        !self.progress.submission.queue.advised || self.ticket(step, worker, now).is_some()
    }
}

impl Cell {
    /// Questions that were decided on since the last call.
    pub fn take_advice_queries(&mut self) -> Vec<AdviceQuery> {
        std::mem::take(&mut self.advice_queries)
    }

    /// Asks about workers that have room for a step and whose advice is not known.
    pub(crate) fn request_advice(&mut self, rank: &Rank, address: Address, step: &Step, now: u64) {
        let Some(job) = self.jobs.get(&rank.id) else {
            return;
        };
        if !job.progress.submission.queue.advised {
            return;
        }
        let known = job.known(address);
        if known.is_some_and(|known| now < known.quiet) {
            return;
        }
        let image = self.image(step);
        let mut found = Vec::new();
        for (id, worker) in &self.workers {
            let is_asked = known.is_some_and(|known| known.asked.contains(id));
            if is_asked || !self.is_feasible(job, address, image, worker, 0, now) {
                continue;
            }
            let candidate = Candidate {
                id: id.clone(),
                name: worker.entry.name.clone(),
            };
            found.push((self.cost(step, image, worker), candidate));
        }
        if found.is_empty() {
            return;
        }
        found.sort_by(|(cost, one), (other_cost, other)| {
            (cost, &one.id).cmp(&(other_cost, &other.id))
        });
        found.truncate(ASKED_AT_ONCE);
        let question = AdviceQuery {
            job: rank.id.clone(),
            step: Address {
                index: 0,
                ..address
            },
            workers: found.into_iter().map(|(_, own)| own).collect(),
        };
        if let Some(job) = self.jobs.get_mut(&rank.id) {
            let key = (address.time, address.step);
            // Until the answer comes, whenever that is, nothing more is asked.
            job.advice.entry(key).or_default().quiet = u64::MAX;
        }
        self.advice_queries.push(question);
    }

    /// Takes in the answer to a question; `None` when there was none.
    pub fn handle_advice(&mut self, question: &AdviceQuery, advice: Option<Advice>, now: u64) {
        let Some(job) = self.jobs.get_mut(&question.job) else {
            return;
        };
        let key = (question.step.time, question.step.step);
        let known = job.advice.entry(key).or_default();
        let Some(advice) = advice else {
            known.quiet = now + ASK_AGAIN;
            return;
        };
        known.quiet = now;
        let asked = question.workers.iter().map(|own| own.id.clone());
        known.asked.extend(asked);
        let until = now + advice.valid_for;
        log::info!(target: "cell", job = question.job.as_str(), step = key.1, asked = question.workers.len(), good = advice.tickets.len(), valid = advice.valid_for; "Advice has come.");
        for (worker, ticket) in advice.tickets {
            known.tickets.insert(worker, (ticket, until));
        }
    }

    /// Forgets tickets that hold no longer, so that their workers are asked about again.
    pub fn expire_tickets(&mut self, now: u64) {
        for job in self.jobs.values_mut() {
            for known in job.advice.values_mut() {
                let over = |until: u64| now + timing::START_WINDOW >= until;
                for (worker, (_, until)) in &known.tickets {
                    if over(*until) {
                        known.asked.remove(worker);
                    }
                }
                known.tickets.retain(|_, (_, until)| !over(*until));
            }
        }
    }

    /// Forgets a ticket that a worker has refused.
    pub(crate) fn drop_ticket(&mut self, id: &Id, step: Address, worker: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(known) = job.advice.get_mut(&(step.time, step.step)) {
            known.tickets.remove(worker);
            known.asked.remove(worker);
        }
    }
}
