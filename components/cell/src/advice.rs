//! Queues for which an external advice service selects the workers that may run a step, with a
//! ticket for each.

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

/// The number of workers per query. The service accepts 100, but its response time grows with each
/// one, and job objectives assume one query for about 30.
const QUERY_SIZE: usize = 30;
/// The pause after a failed query, in milliseconds.
const RETRY_PAUSE: u64 = 200;

/// A worker in a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The id of its current incarnation.
    pub id: Arc<str>,
    /// Its name.
    pub name: Arc<str>,
}

/// A query for the workers that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceQuery {
    /// The job.
    pub job: Id,
    /// Repetition and step; the index within the step is 0.
    pub step: Address,
    /// The candidates.
    pub workers: Vec<Candidate>,
}

/// Workers that may run a step, with tickets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Advice {
    /// Ids of worker incarnations and their tickets.
    pub tickets: Vec<(Arc<str>, Arc<str>)>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_for: u64,
}

/// Advice on one step in one repetition.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    queried: HashSet<Arc<str>>,
    tickets: HashMap<Arc<str>, (Arc<str>, u64)>,
    /// No query before this time, since one is pending or has just failed.
    next_query: u64,
}

impl Job {
    fn step_advice(&self, step: Address) -> Option<&StepAdvice> {
        self.advice.get(&(step.time, step.step))
    }

    /// Returns the worker's ticket for a step, if it stays valid until a start has surely arrived.
    pub(crate) fn ticket(&self, step: Address, worker: &str, now: u64) -> Option<Arc<str>> {
        let (ticket, until) = self.step_advice(step)?.tickets.get(worker)?;
        (now + timing::START_WINDOW < *until).then(|| ticket.clone())
    }

    /// True if advice permits the worker to run a step, or if the queue needs no advice.
    pub(crate) fn is_advised(&self, step: Address, worker: &str, now: u64) -> bool {
        !self.progress.submission.queue.advised || self.ticket(step, worker, now).is_some()
    }
}

impl Cell {
    /// Returns the queries issued since the last call.
    pub fn take_advice_queries(&mut self) -> Vec<AdviceQuery> {
        std::mem::take(&mut self.advice_queries)
    }

    /// Queries workers that have capacity for a step and whose advice is unknown.
    pub(crate) fn request_advice(&mut self, rank: &Rank, address: Address, step: &Step, now: u64) {
        let Some(job) = self.jobs.get(&rank.id) else {
            return;
        };
        if !job.progress.submission.queue.advised {
            return;
        }
        let known = job.step_advice(address);
        if known.is_some_and(|known| now < known.next_query) {
            return;
        }
        let image = self.image(step);
        let mut candidates = Vec::new();
        for (id, worker) in &self.workers {
            let is_queried = known.is_some_and(|known| known.queried.contains(id));
            if is_queried || !self.is_feasible(job, address, image, worker, 0, now) {
                continue;
            }
            let candidate = Candidate {
                id: id.clone(),
                name: worker.entry.name.clone(),
            };
            candidates.push((self.cost(step, image, worker), candidate));
        }
        if candidates.is_empty() {
            return;
        }
        candidates.sort_by(|(cost, one), (other_cost, other)| {
            (cost, &one.id).cmp(&(other_cost, &other.id))
        });
        candidates.truncate(QUERY_SIZE);
        let query = AdviceQuery {
            job: rank.id.clone(),
            step: Address {
                index: 0,
                ..address
            },
            workers: candidates
                .into_iter()
                .map(|(_, candidate)| candidate)
                .collect(),
        };
        if let Some(job) = self.jobs.get_mut(&rank.id) {
            let key = (address.time, address.step);
            // No further query is issued until this one is answered, however long that takes.
            job.advice.entry(key).or_default().next_query = u64::MAX;
        }
        self.advice_queries.push(query);
    }

    /// Processes the answer to a query; `None` if the query failed.
    pub fn handle_advice(&mut self, query: &AdviceQuery, advice: Option<Advice>, now: u64) {
        let Some(job) = self.jobs.get_mut(&query.job) else {
            return;
        };
        let key = (query.step.time, query.step.step);
        let known = job.advice.entry(key).or_default();
        let Some(advice) = advice else {
            known.next_query = now + RETRY_PAUSE;
            return;
        };
        known.next_query = now;
        let queried = query.workers.iter().map(|worker| worker.id.clone());
        known.queried.extend(queried);
        let until = now + advice.valid_for;
        log::info!(target: "cell", job = query.job.as_str(), step = key.1, asked = query.workers.len(), good = advice.tickets.len(), valid = advice.valid_for; "Advice received.");
        for (worker, ticket) in advice.tickets {
            known.tickets.insert(worker, (ticket, until));
        }
    }

    /// Removes expired tickets, so that their workers are queried again.
    pub fn expire_tickets(&mut self, now: u64) {
        for job in self.jobs.values_mut() {
            for known in job.advice.values_mut() {
                let is_expired = |until: u64| now + timing::START_WINDOW >= until;
                for (worker, (_, until)) in &known.tickets {
                    if is_expired(*until) {
                        known.queried.remove(worker);
                    }
                }
                known.tickets.retain(|_, (_, until)| !is_expired(*until));
            }
        }
    }

    /// Removes a ticket that a worker has refused.
    pub(crate) fn drop_ticket(&mut self, id: &Id, step: Address, worker: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(known) = job.advice.get_mut(&(step.time, step.step)) {
            known.tickets.remove(worker);
            known.queried.remove(worker);
        }
    }
}
