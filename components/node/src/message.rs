//! Serialized values in the store, and messages between boxes: peer calls and relay exchanges.

use {
    crate::admission::Figures,
    crate::callers::Reply,
    crate::external::PollError,
    crate::heartbeat::Heartbeat,
    crate::report_delta::ReportDelta,
    cell::{Entry, Order, Outcome, Poll, Report, Seal, Start, TaskKey},
    job::{Address, Id, State, Submission, spec::Size},
    policy::admission::Kind,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The owner of a cell, as written to its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The name of the box.
    pub name: Arc<str>,
    /// The address and port where other boxes reach it.
    pub address: Arc<str>,
}

/// The value of a cell's head key, which every write of an owner replaces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The fence of the owner that wrote it; 0 in the write that claims the cell.
    pub fence: u64,
    /// A random number that tells the writes of two claims apart; 0 in other writes.
    pub claim: u64,
}

/// The sealed workers of a cell, as stored. A new owner relies on them only if their writer is the
/// owner that wrote the cell's head last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealRecord {
    /// The fence of the owner that wrote them.
    pub fence: u64,
    /// The sealed workers.
    pub seals: Vec<Seal>,
}

impl SealRecord {
    /// True if the owner that wrote this head has written the seals too. Another owner may have
    /// started tasks without regard to them.
    pub const fn is_current(&self, head: &Head) -> bool {
        head.fence != 0 && head.fence == self.fence
    }
}

/// A worker that may hold tasks, as stored in the fleet record.
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

/// A call from one box to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Read the state of a job.
    State(Id),
    /// Count the waiting jobs of a queue.
    Waiting(Arc<str>),
    /// Accept a job, since the calling box cannot reach the store.
    Submit(Box<Submission>),
    /// Cancel a job, for the same reason.
    Cancel(Id),
    /// Apply the cancellation of a job, which is already in the store. Only [`Reply::Cancelled`]
    /// confirms that the owner has applied it.
    Cancelled(Id),
    /// Check whether the box owns the cell.
    Probe {
        /// The box has to release the cell if it cannot reach the store.
        release: bool,
    },
    /// List the closed data halls.
    Halls {
        /// The call was forwarded by another box and is not forwarded again.
        passed: bool,
    },
    /// Show what waits in each queue.
    Pressure {
        /// The call was forwarded by another box and is not forwarded again.
        passed: bool,
    },
}

/// A closed data hall, in which no tasks are started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedHall {
    /// The data hall.
    pub hall: Arc<str>,
    /// The operator who closed it, if known.
    pub by: Option<Arc<str>>,
    /// When this owner first read that it is closed, in milliseconds since 1970.
    pub since: u64,
}

/// The work of one queue that waits, of one kind of job. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// The queue.
    pub queue: Arc<str>,
    /// The kind of job; `None` if the queue is not under pressure.
    pub kind: Option<Kind>,
    /// The number of jobs of the queue, of all kinds, that wait to be scheduled.
    pub waiting: usize,
    /// How long one more job would wait; `u64::MAX` if forever.
    pub wait: u64,
    /// How long one more job that is late would wait; `u64::MAX` if forever.
    pub drain: u64,
    /// The pool whose workers run it.
    pub pool: Arc<str>,
    /// The number of workers of the pool.
    pub workers: u32,
    /// The largest amount of each resource on any of them.
    pub largest: Size,
    /// Jobs of the queue that the box which was asked has refused since its start.
    pub refused: u64,
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    /// See [`PeerRequest::State`]; `None` when the job is unknown.
    State(Option<State>),
    /// See [`PeerRequest::Waiting`]; `None` from a box that does not own the cell.
    Waiting(Option<usize>),
    /// See [`PeerRequest::Submit`], [`PeerRequest::Cancel`] and [`PeerRequest::Cancelled`].
    Reply(Reply),
    /// See [`PeerRequest::Probe`].
    Owning {
        /// The box owns the cell.
        owning: bool,
        /// The box cannot reach the store.
        cut_off: bool,
    },
    /// See [`PeerRequest::Halls`]; `None` when no owner answers.
    Halls(Option<Vec<ClosedHall>>),
    /// See [`PeerRequest::Pressure`]; `None` when no owner answers.
    Pressure(Option<Vec<QueueStatus>>),
}

/// A relay's half of an exchange with the owner: worker reports and acknowledgements. It is sent
/// again unchanged until it is answered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The name of the box.
    pub name: Arc<str>,
    /// The data hall of the box.
    pub hall: Arc<str>,
    /// The processor share of the box, in thousandths of a core.
    pub share: u32,
    /// The bandwidth of its link in each direction, in bytes per millisecond.
    pub link: u64,
    /// The session number that the owner assigned; 0 before the first session.
    pub session: u64,
    /// The number of the request within its session.
    pub batch: u64,
    /// The batch of the last response that the relay has processed.
    pub ack: u64,
    /// Events of workers since the last request.
    pub heard: Vec<WorkerEvent>,
    /// The box is stopping and needs no more workers. Left out while it is not, so that boxes of
    /// earlier builds can decode the request.
    #[serde(default, skip_serializing_if = "is_false")]
    pub leaving: bool,
}

/// True for a flag that is left out of messages.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(flag: &bool) -> bool {
    !*flag
}

/// An event of a worker, as seen by its relay.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WorkerEvent {
    /// Result of a poll of this worker, which the owner allowed at this time of its clock.
    Report(Arc<str>, u64, Result<ReportDelta, PollError>),
    /// The relay has dropped this worker, so that its next report is a complete one.
    Left(Arc<str>),
    /// Outcome of the order with this number.
    Answer(u64, Outcome),
}

/// The owner's half of an exchange with a relay: the commands to carry out. It is sent again
/// unchanged until it is acknowledged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RelayResponse {
    /// The session; 0 when the box is not needed as a relay.
    pub session: u64,
    /// The fence of the owner; from a box that does not own the cell, the highest fence that it has
    /// heard of.
    pub fence: u64,
    /// The number of the response within its session.
    pub batch: u64,
    /// Current time of the owner's clock.
    pub now: u64,
    /// Pause before the next exchange, in milliseconds; 0 leaves it to the box.
    pub pause: u64,
    /// Commands, in the order in which to carry them out.
    pub commands: Vec<Command>,
    /// The owner's heartbeat; `None` from a box that does not own the cell.
    pub heartbeat: Option<Heartbeat>,
    /// The figures for admission; `None` if nothing is new. It is left out then, so that boxes
    /// without admission can decode the response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub figures: Option<Figures>,
}

/// A command to a relay.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Command {
    /// Take over the connection to a worker.
    Tend(WorkerRecord),
    /// Drop a worker.
    Leave(Arc<str>),
    /// Poll a worker; the time of the owner's clock is returned with the report.
    Poll(Arc<str>, u64, Poll),
    /// Cache the specification of a job, which later orders leave out. `None` when the owner's link
    /// has no capacity for it: the relay reads it from the store.
    Text(Id, Option<Arc<str>>),
    /// Send a worker an order: its number, the time of the decision on the owner's clock, and the
    /// order.
    Order(Arc<str>, u64, u64, Order),
    /// Start tasks of a job; the time is that of the decision on the owner's clock.
    Starts(Id, u64, Vec<CompactStart>),
}

/// Added to the wait of a poll, in milliseconds, by owners that can decode whether a run is ready.
/// The waits of earlier builds are even.
const READY_MARK: u64 = 1;

/// Returns the poll of an owner that can decode whether a run is ready.
pub const fn with_ready(poll: Poll) -> Poll {
    Poll {
        wait: poll.wait | READY_MARK,
        ..poll
    }
}

/// Leaves out of a report what the owner that sent the poll cannot decode.
pub fn restrict_report(poll: Poll, report: &mut Report) {
    if poll.wait & READY_MARK != 0 {
        return;
    }
    for run in &mut report.running {
        run.ready = false;
    }
}

/// An order to start a task, without the fields that all starts of its job share. This halves its
/// size on the link to the relay.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompactStart {
    /// The worker.
    pub worker: Arc<str>,
    /// The number of the order.
    pub number: u64,
    /// Index of the task in its job.
    pub place: usize,
    /// Address of the task within its job.
    pub address: Address,
    /// The number of the run.
    pub run: u64,
    /// The checkpoint to resume from.
    pub saved: Option<Arc<str>>,
    /// Deadline on the worker's clock; the worker refuses an order that arrives later.
    pub deadline: u64,
    /// The admission ticket to present to the worker, on queues whose placement is advised by an
    /// external service.
    pub ticket: Option<Arc<str>>,
}

impl CompactStart {
    /// Creates the compact form of a start order for a worker.
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

    /// Restores the full order for this job and specification.
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

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::admission::PressureReport,
        cell::Run,
        kernel::wire,
        policy::{
            admission::{PoolCapacity, Pressure, QueuePressure},
            durations::Profile,
        },
        test_case::test_case,
    };

    /// A response without figures, as boxes without admission know it.
    #[derive(Debug, Default, Serialize, Deserialize)]
    struct PlainResponse {
        session: u64,
        fence: u64,
        batch: u64,
        now: u64,
        pause: u64,
        commands: Vec<Command>,
        heartbeat: Option<Heartbeat>,
    }

    fn heartbeat() -> Option<Heartbeat> {
        Some(Heartbeat {
            config: 4,
            config_age: 5,
            lease_age: 6,
        })
    }

    #[test]
    fn response_without_figures_has_plain_bytes() {
        let response = RelayResponse {
            session: 1,
            fence: 2,
            commands: vec![Command::Leave("w1".into())],
            heartbeat: heartbeat(),
            ..RelayResponse::default()
        };
        let plain = PlainResponse {
            session: 1,
            fence: 2,
            commands: vec![Command::Leave("w1".into())],
            heartbeat: heartbeat(),
            ..PlainResponse::default()
        };
        let bytes = wire::encode_compact(&response).unwrap();
        assert_eq!(bytes, wire::encode_compact(&plain).unwrap());
        let decoded: PlainResponse = wire::decode(&bytes).unwrap();
        assert_eq!(decoded.heartbeat, heartbeat());
        let decoded: RelayResponse = wire::decode(&bytes).unwrap();
        assert_eq!((decoded.session, decoded.figures), (1, None));
    }

    #[test_case(true, true; "both")]
    #[test_case(true, false; "pressure alone")]
    #[test_case(false, true; "pools alone")]
    fn response_with_figures_round_trip(has_pressure: bool, has_pools: bool) {
        let pressure = Pressure {
            queues: vec![QueuePressure {
                queue: "q".into(),
                kind: Kind::BestEffort,
                wait: 7_000,
                drain: 9_000,
                run: Profile::ESTIMATE,
            }],
        };
        let pool = PoolCapacity {
            pool: "pool".into(),
            largest: Size::default(),
            workers: 3,
            labels: vec!["a".into()],
        };
        let figures = Figures {
            pressure: has_pressure.then_some(PressureReport { pressure, age: 90 }),
            pools: has_pools.then(|| vec![pool]),
        };
        let response = RelayResponse {
            heartbeat: heartbeat(),
            figures: Some(figures.clone()),
            ..RelayResponse::default()
        };
        for bytes in [wire::encode_compact(&response), wire::encode(&response)] {
            let decoded: RelayResponse = wire::decode(&bytes.unwrap()).unwrap();
            assert_eq!(decoded.figures.as_ref(), Some(&figures));
            assert_eq!(decoded.heartbeat, heartbeat());
        }
    }

    /// Guards against reports that an owner of an earlier build cannot decode: it asks for no
    /// readiness, and knows a run without that field.
    #[test]
    fn restrict_report_for_earlier_build() {
        let run = Run {
            job: Id::new("00000000000000a1").unwrap(),
            address: Address {
                time: 0,
                step: 0,
                index: 0,
            },
            run: 1,
            saved: None,
            figure: 0,
            ready: true,
        };
        let poll = Poll {
            deadline: 0,
            seen: 0,
            wait: 2_000,
        };
        let report = Report {
            clock: 1,
            running: vec![run],
            ended: Vec::new(),
        };
        let mut restricted = report.clone();
        restrict_report(poll, &mut restricted);
        let run = &restricted.running[0];
        let earlier = (&run.job, run.address, run.run, &run.saved, run.figure);
        let expected = wire::encode_compact(&earlier).unwrap();
        assert_eq!(wire::encode_compact(run).unwrap(), expected);
        let mut whole = report.clone();
        restrict_report(with_ready(poll), &mut whole);
        assert_eq!(whole, report);
    }
}
