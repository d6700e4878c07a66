//! The state that the owner keeps for one relay, with the commands that wait to be sent to it.

use {
    super::text_budget::TextBudget,
    crate::{
        job_cache::JobCache,
        message::{Command, CompactStart},
        settings::{MAX_IN_FLIGHT_MS, Settings},
    },
    cell::{Order, Run, Start},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// Bytes of a start in a message to a relay, without the text: 35 to 70, depending on checkpoint
/// and ticket.
pub(super) const START_BYTES: usize = 60;
/// Bytes of a worker in a message to a relay.
pub(super) const WORKER_BYTES: usize = 120;
/// Bytes of a typical specification text; the maximum is 4,000.
pub(super) const TEXT_BYTES: usize = 1_200;
/// Bytes of a start in a request to its worker, without the text: HTTP headers, and the names and
/// punctuation of the body.
pub(super) const REQUEST_BYTES: usize = 330;

/// The owner's state of one relay.
pub(super) struct Relay {
    pub hall: Arc<str>,
    /// The capacity of its link, in bytes per millisecond.
    pub link: u64,
    /// Jobs whose text was sent to it, or left for it to read from the store.
    pub texts: JobCache<()>,
    /// Bytes of the commands that it has not acknowledged.
    pub unacked_bytes: usize,
    /// Bytes of the starts that it has to send to workers and that have no answer yet.
    pub starting_bytes: usize,
    /// The last list of runs of each worker, to which its next report is the difference.
    pub baselines: HashMap<Arc<str>, Vec<Run>>,
    /// The number of its session: a box that restarts gets a new one.
    pub session: u64,
    /// The share of a core that it has, in thousandths.
    pub share: u32,
    /// The time of its last request, in milliseconds.
    pub last_seen: u64,
    /// The number of the last request that was processed.
    pub last_request: u64,
    /// The number of the last response.
    pub batch: u64,
    /// Commands of the last response, until they are acknowledged.
    pub sent: Vec<Command>,
    /// Commands of the next response.
    pub next: Vec<Command>,
    pub workers: HashSet<Arc<str>>,
    /// When its box announced that it is stopping, in milliseconds.
    pub leaving_since: Option<u64>,
}

impl Relay {
    /// The most workers that can be assigned to it.
    pub fn max_workers(&self) -> usize {
        Settings::max_workers(self.share, self.link).max(1)
    }

    /// True if its box is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// True if another worker can be assigned to it.
    pub fn has_capacity(&self) -> bool {
        !self.is_leaving() && self.workers.len() < self.max_workers()
    }

    /// True if it sends no further starts at present: it is leaving, or has as many starts to send
    /// as its link carries within [`MAX_IN_FLIGHT_MS`] milliseconds.
    pub fn is_busy(&self) -> bool {
        self.is_leaving() || self.starting_bytes as u64 >= self.link * MAX_IN_FLIGHT_MS
    }

    /// The number of further starts that its link can carry within [`MAX_IN_FLIGHT_MS`]
    /// milliseconds.
    pub fn start_budget(&self) -> usize {
        let room = ((self.link * MAX_IN_FLIGHT_MS) as usize).saturating_sub(self.starting_bytes);
        room.div_ceil(TEXT_BYTES + REQUEST_BYTES)
    }

    /// Queues a command for the next response.
    pub fn push(&mut self, command: Command) {
        self.unacked_bytes += command_bytes(&command);
        self.next.push(command);
    }

    /// Queues a start. Consecutive starts of one job that were decided at the same time share one
    /// command.
    pub fn start(&mut self, worker: &Arc<str>, number: u64, now: u64, start: &Start) {
        let compact = CompactStart::new(worker.clone(), number, start);
        let job = &start.key.job;
        if let Some(Command::Starts(last, at, starts)) = self.next.last_mut()
            && last == job
            && *at == now
        {
            starts.push(compact);
            self.unacked_bytes += START_BYTES;
            return;
        }
        self.push(Command::Starts(job.clone(), now, vec![compact]));
    }

    /// Queues the specification text for a start, unless it was sent before. Beyond the budget the
    /// text is left out, and the relay reads it from the store.
    pub fn send_text(&mut self, start: &Start, budget: &mut TextBudget) {
        let job = &start.key.job;
        if self.texts.get(job).is_some() {
            return;
        }
        self.texts.insert(job.clone(), ());
        let is_sent = !start.text.is_empty() && budget.try_take(start.text.len());
        let text = is_sent.then(|| start.text.clone());
        self.push(Command::Text(job.clone(), text));
    }
}

/// Bytes of the request that sends a start to its worker; 0 for other orders.
pub(super) fn request_bytes(order: &Order) -> usize {
    match order {
        Order::Start(start) if start.text.is_empty() => TEXT_BYTES + REQUEST_BYTES,
        Order::Start(start) => start.text.len() + REQUEST_BYTES,
        Order::Stop { .. } | Order::Pace { .. } | Order::Withdraw { .. } => 0,
    }
}

/// Bytes of a command in a message to a relay. Only texts, starts and workers count, which are most
/// of the traffic.
pub(super) fn command_bytes(command: &Command) -> usize {
    match command {
        Command::Text(_, text) => text.as_ref().map_or(0, |text| text.len()),
        Command::Starts(_, _, starts) => starts.len() * START_BYTES,
        Command::Tend(_) => WORKER_BYTES,
        _ => 0,
    }
}
