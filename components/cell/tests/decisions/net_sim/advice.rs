//! The advice service: which workers may run a step, and tickets for them.

use {
    super::NetSim,
    job::{Address, Id},
    magpie_cell::{Advice, AdviceQuery, Start},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
    },
};

/// Response time of a query, and the part of it for each worker, in milliseconds.
const RESPONSE_TIME: u64 = 40;
const TIME_PER_WORKER: u64 = 2;
/// How long tickets are valid, in milliseconds.
const VALIDITY: u64 = 5_000;
/// One query of this many fails.
const FAILURE_RATE: u64 = 6;
/// Workers per hundred that may run a step.
const ALLOWED: u64 = 70;

/// A query in progress, and when it is answered.
pub struct PendingAdvice {
    at: u64,
    query: AdviceQuery,
}

fn hash(item: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    item.hash(&mut hasher);
    hasher.finish()
}

/// True if the service allows a worker to run a step.
pub fn is_allowed(job: &Id, step: u16, worker: &str) -> bool {
    hash((job, step, worker)) % 100 < ALLOWED
}

fn ticket(worker: &str, until: u64) -> Arc<str> {
    format!("{worker} {until}").into()
}

/// True if a start has a ticket for this incarnation that is valid.
pub fn is_valid(start: &Start, worker: &str, now: u64) -> bool {
    let parts = start.ticket.as_ref().and_then(|text| text.split_once(' '));
    parts.is_some_and(|(id, until)| id == worker && now < until.parse().unwrap())
}

impl NetSim {
    /// Passes the cell's queries to the service.
    pub(super) fn send_queries(&mut self) {
        for query in self.cell.take_advice_queries() {
            let at = self.now + RESPONSE_TIME + TIME_PER_WORKER * query.workers.len() as u64;
            self.advice.push(PendingAdvice { at, query });
        }
    }

    /// Passes the answers of the service to the cell.
    pub(super) fn answer_queries(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .advice
            .extract_if(.., |pending| pending.at <= now)
            .collect();
        for PendingAdvice { query, .. } in due {
            let Address { step, .. } = query.step;
            let fails = hash((&query.job, now)).is_multiple_of(FAILURE_RATE);
            let workers = query.workers.iter();
            let allowed = workers.filter(|worker| is_allowed(&query.job, step, &worker.id));
            let tickets = allowed.map(|worker| {
                let ticket = ticket(&worker.id, now + VALIDITY);
                (worker.id.clone(), ticket)
            });
            let advice = Advice {
                tickets: tickets.collect(),
                valid_for: VALIDITY,
            };
            let advice = (!fails).then_some(advice);
            self.cell.handle_advice(&query, advice, now);
        }
    }
}
