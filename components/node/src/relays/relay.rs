//! One relay as its owner knows it, and what is on its way to it.

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

/// What a start takes on its way to a relay, in bytes, without the text: 35 to 70, with a checkpoint or a ticket.
pub(super) const START_BYTES: usize = 60;
/// What a worker takes on its way to a relay, in bytes.
pub(super) const MEMBER_BYTES: usize = 120;
/// A usual specification, in bytes; 4,000 at most.
pub(super) const TEXT_BYTES: usize = 1_200;
/// What a start takes on its way to its worker beside the text, in bytes: heads of HTTP, and names and
/// punctuation of the body.
pub(super) const SENT_BYTES: usize = 330;

/// One relay.
pub(super) struct Relay {
    pub hall: Arc<str>,
    /// What its link carries, in bytes a millisecond.
    pub link: u64,
    /// The jobs whose texts it has.
    pub texts: JobCache<()>,
    /// Bytes of the commands that it has not acknowledged.
    pub unsent: usize,
    /// Bytes of the starts on their way to workers that have no answer yet.
    pub starting: usize,
    /// What it last told of each worker.
    pub lists: HashMap<Arc<str>, Vec<Run>>,
    /// The number of its session: a box that offers itself anew gets another.
    pub session: u64,
    /// Its share of a core, in thousandths.
    pub share: u32,
    /// When it was last heard.
    pub seen: u64,
    /// The last offer that was taken in.
    pub taken: u64,
    /// The number of the last duty.
    pub batch: u64,
    /// The last duty's commands, until they are acknowledged.
    pub sent: Vec<Command>,
    /// Commands of the next duty.
    pub next: Vec<Command>,
    pub workers: HashSet<Arc<str>>,
}

impl Relay {
    /// How many workers it looks after at the most.
    pub fn most(&self) -> usize {
        Settings::max_workers(self.share, self.link).max(1)
    }

    /// True when it has room for another worker.
    pub fn is_open(&self) -> bool {
        self.workers.len() < self.most()
    }

    /// True when it has as many starts to send as its link takes in the time ahead.
    pub fn is_busy(&self) -> bool {
        self.starting as u64 >= self.link * MAX_IN_FLIGHT_MS
    }

    /// How many more starts its link takes in the time ahead.
    pub fn starts(&self) -> usize {
        let room = ((self.link * MAX_IN_FLIGHT_MS) as usize).saturating_sub(self.starting);
        room.div_ceil(TEXT_BYTES + SENT_BYTES)
    }

    pub fn command(&mut self, command: Command) {
        self.unsent += bytes(&command);
        self.next.push(command);
    }

    /// Has a task started, with others of its job where they are told of in turn.
    pub fn start(&mut self, worker: &Arc<str>, number: u64, now: u64, start: &Start) {
        let begin = CompactStart::new(worker.clone(), number, start);
        let job = &start.key.job;
        if let Some(Command::Starts(last, at, begins)) = self.next.last_mut()
            && last == job
            && *at == now
        {
            begins.push(begin);
            self.unsent += START_BYTES;
            return;
        }
        self.command(Command::Starts(job.clone(), now, vec![begin]));
    }

    /// Sends a start's text ahead, if the relay does not have it and the text_budget takes it; else the relay reads it
    /// from the store.
    pub fn send_text(&mut self, start: &Start, text_budget: &mut TextBudget) {
        let job = &start.key.job;
        if self.texts.get(job).is_some() {
            return;
        }
        self.texts.insert(job.clone(), ());
        let is_sent = !start.text.is_empty() && text_budget.take(start.text.len());
        let text = is_sent.then(|| start.text.clone());
        self.command(Command::Text(job.clone(), text));
    }
}

/// A start's bytes on its way to its worker; none for another order.
pub(super) fn start_bytes(order: &Order) -> usize {
    match order {
        Order::Start(start) if start.text.is_empty() => TEXT_BYTES + SENT_BYTES,
        Order::Start(start) => start.text.len() + SENT_BYTES,
        Order::Stop { .. } | Order::Pace { .. } | Order::Withdraw { .. } => 0,
    }
}

/// Bytes of a command that count: those of texts, starts and workers, which are most of what a relay is sent.
pub(super) fn bytes(command: &Command) -> usize {
    match command {
        Command::Text(_, text) => text.as_ref().map_or(0, |text| text.len()),
        Command::Starts(_, _, starts) => starts.len() * START_BYTES,
        Command::Tend(_) => MEMBER_BYTES,
        _ => 0,
    }
}
