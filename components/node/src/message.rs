//! Values kept in the store, and messages between boxes.

use {
    crate::callers::Reply,
    crate::external::PollError,
    crate::heartbeat::Heartbeat,
    crate::report_delta::ReportDelta,
    cell::{Entry, Order, Outcome, Poll, Start, TaskKey},
    job::{Address, Id, State, Submission, spec::Size},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Who owns a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The name of the box.
    pub name: Arc<str>,
    /// Where other boxes reach it.
    pub address: Arc<str>,
}

/// The head of a cell's chain of writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The fence of the owner that wrote it; 0 in the write that claims the cell.
    pub fence: u64,
    /// Tells one claim from another.
    pub claim: u64,
}

/// A worker that may hold tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    id: Arc<str>,
    name: Arc<str>,
    born: Option<u64>,
    generation: u32,
    pool: Arc<str>,
    address: Arc<str>,
    hall: Arc<str>,
    size: Size,
    labels: Vec<Arc<str>>,
}

impl From<Entry> for WorkerRecord {
    fn from(entry: Entry) -> Self {
        WorkerRecord {
            id: entry.id,
            name: entry.name,
            born: entry.started,
            generation: entry.generation,
            pool: entry.pool,
            address: entry.address,
            hall: entry.hall,
            size: entry.size,
            labels: entry.labels,
        }
    }
}

impl From<WorkerRecord> for Entry {
    fn from(member: WorkerRecord) -> Self {
        Entry {
            id: member.id,
            name: member.name,
            started: member.born,
            generation: member.generation,
            pool: member.pool,
            address: member.address,
            hall: member.hall,
            size: member.size,
            labels: member.labels,
            leaving: false,
            remaining: None,
        }
    }
}

/// What one box asks another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// The state of a job.
    State(Id),
    /// The jobs of a queue that wait.
    Waiting(Arc<str>),
    /// To accept a job, since the asking box does not reach the store.
    Submit(Box<Submission>),
    /// To cancel a job, for the same reason.
    Cancel(Id),
    /// To take in that a job is cancelled, which is written down already. [`Reply::Cancelled`] confirms
    /// that it is taken in; any other answer does not.
    Cancelled(Id),
    /// Whether it owns the cell.
    Probe {
        /// It is to give the cell up if it is cut off from the store.
        release: bool,
    },
    /// Which data halls are shut.
    Halls {
        /// Another box passes the question on: it goes no further.
        passed: bool,
    },
}

/// A data hall that is shut, as the owner knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedHall {
    /// The data hall.
    pub hall: Arc<str>,
    /// Who asked for it, where that is told.
    pub by: Option<Arc<str>>,
    /// When this owner first read of it, in milliseconds since 1970.
    pub since: u64,
}

/// The answer to an [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    /// See [`PeerRequest::State`]; `None` where it is not known.
    State(Option<State>),
    /// See [`PeerRequest::Waiting`]; `None` from a box that does not own the cell.
    Waiting(Option<usize>),
    /// See [`PeerRequest::Submit`], [`PeerRequest::Cancel`] and [`PeerRequest::Cancelled`].
    Reply(Reply),
    /// See [`PeerRequest::Probe`].
    Owning {
        /// It owns the cell.
        owning: bool,
        /// It is cut off from the store.
        cut_off: bool,
    },
    /// See [`PeerRequest::Halls`]; `None` where no owner answers.
    Halls(Option<Vec<ClosedHall>>),
}

/// What a relay brings to the owner. It is sent again unchanged until it is answered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The name of the box.
    pub name: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Its share of a core, in thousandths.
    pub share: u32,
    /// What its link carries each way, in bytes a millisecond.
    pub link: u64,
    /// The session that the owner gave it; 0 before the first.
    pub session: u64,
    /// Counts up with each offer of a session.
    pub batch: u64,
    /// The last duty that was taken on.
    pub ack: u64,
    /// What workers said.
    pub heard: Vec<WorkerEvent>,
}

/// One thing that a worker said to a relay.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WorkerEvent {
    /// The outcome of a poll that was allowed at this time of the owner's clock.
    Report(Arc<str>, u64, Result<ReportDelta, PollError>),
    /// The relay looks after this worker no longer: the next report of it stands by itself.
    Left(Arc<str>),
    /// The outcome of the order of this number.
    Answer(u64, Outcome),
}

/// What the owner asks of a relay. It is sent again unchanged until it is acknowledged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RelayResponse {
    /// The session; 0 when there is nothing to do for this box.
    pub session: u64,
    /// The fence of the owner.
    pub fence: u64,
    /// Counts up with each duty of a session.
    pub batch: u64,
    /// The time of the owner's clock.
    pub now: u64,
    /// How long the box is to wait before its next exchange, in milliseconds; 0 where the owner does not say.
    pub pause: u64,
    /// What to do, in this order.
    pub commands: Vec<Command>,
    /// What the owner knows of the store; `None` from a box that owns no cell.
    pub heartbeat: Option<Heartbeat>,
}

/// One command to a relay.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Command {
    /// Look after a worker.
    Tend(WorkerRecord),
    /// Look after it no longer.
    Leave(Arc<str>),
    /// Poll a worker; the time is the owner's and goes back with the report.
    Poll(Arc<str>, u64, Poll),
    /// Keep the specification of a job, which orders that follow leave out. Without it, read it from the store: the
    /// owner's link has no room for it.
    Text(Id, Option<Arc<str>>),
    /// Send a worker the order of this number, which was decided at this time of the owner's clock.
    Order(Arc<str>, u64, u64, Order),
    /// Start tasks of a job, decided at this time of the owner's clock.
    Starts(Id, u64, Vec<CompactStart>),
}

/// A start as a relay is told of it, without what all starts of its job have in common: half the bytes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompactStart {
    /// The worker.
    pub worker: Arc<str>,
    /// The number of the order.
    pub number: u64,
    /// The place of the task in its job.
    pub place: usize,
    /// Its name within its job.
    pub address: Address,
    /// The number of the run.
    pub run: u64,
    /// The checkpoint to go on from.
    pub saved: Option<Arc<str>>,
    /// On the worker's clock: an order that arrives later is refused.
    pub deadline: u64,
    /// What the worker must be shown on queues where a service outside chooses.
    pub ticket: Option<Arc<str>>,
}

impl CompactStart {
    /// A start on its way to a worker, under a number.
    pub fn new(worker: Arc<str>, number: u64, start: &Start) -> Self {
        CompactStart {
            worker,
            number,
            place: start.key.place,
            address: start.address,
            run: start.run,
            saved: start.saved.clone(),
            deadline: start.deadline,
            ticket: start.ticket.clone(),
        }
    }

    /// The start, of this job with this specification.
    pub fn start(self, job: Id, text: Arc<str>) -> Start {
        let place = self.place;
        Start {
            key: TaskKey { job, place },
            address: self.address,
            run: self.run,
            text,
            saved: self.saved,
            deadline: self.deadline,
            ticket: self.ticket,
        }
    }
}
