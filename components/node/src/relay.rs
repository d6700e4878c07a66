//! The relay task: this box polls workers and sends them orders on behalf of the owner of the cell.
//!
//! Polls and orders take most of an owner's processor time, and placement little. With many workers
//! the owner delegates the communication to strong boxes and keeps the decisions, so that placement
//! still considers the whole fleet. In each exchange the relay delivers results from workers and
//! receives new commands.

use {
    crate::{
        core::Node,
        external::PollError,
        job_cache::JobCache,
        message::{
            Command, CompactStart, Owner, RelayRequest, RelayResponse, WorkerEvent, restrict_report,
        },
        order_queue::{self, OrderReceiver, OrderSender, QueuedOrder},
        owner_watch,
        permits::Permits,
        report_delta::ReportDelta,
        settings::{
            IDLE_MIN_INTERVAL, IDLE_OWNER_READ_MS, MAX_LEASE_AGE, RELAY_LEAVE_TIMEOUT,
            RELAY_MIN_INTERVAL, RELAY_OWNER_READ_MS, RELAY_TIMEOUT,
        },
        time, worker,
    },
    cell::{Entry, Order, Outcome, Poll, Refusal, Report, Run},
    job::Id,
    kernel::{Failure, runtime, sync::lock, wire},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
};

/// The HTTP path of exchanges between relays and the owner.
pub const PATH: &str = "/relay";

/// The clocks of two boxes drift apart by at most this many microseconds in a millisecond.
const MAX_DRIFT: i64 = 1;

/// The queues of the two tasks of a worker.
struct WorkerQueues {
    polls: UnboundedSender<(u64, Poll)>,
    orders: OrderSender,
}

/// The state of a relay in one session with the owner.
struct Session {
    number: u64,
    fence: u64,
    /// Permits for the orders of the owner.
    permits: Permits,
    clock: OwnerClock,
    /// The number of the last response whose commands were executed.
    last_response: u64,
    /// The number of the last request.
    last_request: u64,
    /// The time between two exchanges.
    pause: Duration,
    workers: HashMap<Arc<str>, WorkerQueues>,
    /// Specification texts that the owner has sent; empty ones have to be read from the store.
    texts: JobCache<Arc<str>>,
    results: Arc<Mutex<Results>>,
}

/// Converts times of the owner's clock to that of this box. A slow exchange would make everything in
/// its response look older than it is, so the fastest one counts.
#[derive(Debug, Default)]
struct OwnerClock {
    /// The most that the owner's clock may be ahead, in microseconds, and when that was computed, in
    /// milliseconds.
    ahead: Option<(i64, u64)>,
}

impl OwnerClock {
    /// The earliest time on the clock of this box at which the owner's may have shown `owner`, given
    /// that it did so after `requested_at`.
    fn earliest(&mut self, owner: u64, requested_at: u64, now: u64) -> u64 {
        let mut ahead = (owner as i64 - requested_at as i64) * 1_000;
        if let Some((known, at)) = self.ahead {
            let drift = now.saturating_sub(at) as i64 * MAX_DRIFT;
            ahead = ahead.min(known + drift);
        }
        self.ahead = Some((ahead, now));
        (owner as i64 - ahead / 1_000).max(0) as u64
    }
}

/// The last confirmation of the owner's ownership, with its time on the clock of this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Confirmation {
    Store(u64),
    Workers(u64),
}

impl Confirmation {
    /// The confirmation that a response shows, which was made at `made` at the earliest.
    fn of(response: &RelayResponse, is_repeated: bool, made: u64) -> Option<Self> {
        let max_age = MAX_LEASE_AGE.as_millis() as u64;
        if let Some(heartbeat) = response.heartbeat
            && heartbeat.lease_age <= max_age
        {
            let at = made.saturating_sub(heartbeat.lease_age);
            return Some(Confirmation::Store(at));
        }
        if is_repeated {
            return None;
        }
        // The store does not answer the owner. While most of the workers confirm its ownership, its
        // polls extend leases.
        let polls = response
            .commands
            .iter()
            .filter_map(|command| match command {
                Command::Poll(_, at, poll) if poll.deadline > 0 => Some(*at),
                _ => None,
            });
        let age = response.now.saturating_sub(polls.max()?);
        Some(Confirmation::Workers(made.saturating_sub(age)))
    }
}

/// Results from workers for the next request.
#[derive(Default)]
struct Results {
    queue: Vec<WorkerEvent>,
    /// The last list of runs that was queued for each assigned worker, to which its next report is
    /// the difference.
    baselines: HashMap<Arc<str>, Vec<Run>>,
}

impl Results {
    /// Queues the result of a poll, unless the worker is not assigned any more.
    fn report(&mut self, id: &Arc<str>, at: u64, result: Result<Report, PollError>) {
        let Some(list) = self.baselines.get_mut(id) else {
            return;
        };
        let delta = result.map(|report| ReportDelta::diff(report, list));
        self.queue.push(WorkerEvent::Report(id.clone(), at, delta));
    }

    /// Reports to the owner that a worker is not assigned any more.
    fn release(&mut self, id: Arc<str>) {
        if self.baselines.remove(&id).is_some() {
            self.queue.push(WorkerEvent::Left(id));
        }
    }
}

/// Sends requests to the owner and executes the commands in its responses until the box stops and
/// the owner has taken its workers.
pub fn run(node: &Node) {
    let mut session: Option<Session> = None;
    let mut unanswered: Option<RelayRequest> = None;
    let mut refresh = OwnerRefresh::default();
    let mut departure = Departure::default();
    while !departure.is_over(node, session.as_ref()) {
        let owner = node.shared.owner.load_full();
        let Some(owner) = owner.filter(|owner| owner.name != node.settings.name) else {
            session = None;
            unanswered = None;
            node.shared.monitor.clear();
            pause(node, IDLE_MIN_INTERVAL);
            continue;
        };
        let request = unanswered
            .take()
            .unwrap_or_else(|| next_request(node, session.as_mut()));
        let requested_at = time::now();
        let mut response = match exchange(node, &owner, &request) {
            Ok(response) => response,
            Err(failure) => {
                log::debug!(target: "relay", owner = &*owner.name, error:% = failure; "An exchange with the owner failed.");
                node.shared.monitor.clear();
                node.shared.admission.known.forget_pools();
                unanswered = Some(request);
                refresh.try_refresh(node, session.is_some());
                let time = if session.is_some() {
                    RELAY_MIN_INTERVAL
                } else {
                    IDLE_MIN_INTERVAL
                };
                pause(node, time);
                continue;
            }
        };
        node.shared.highest_fence.raise(response.fence);
        let idle_pause = Duration::from_millis(response.pause).max(IDLE_MIN_INTERVAL);
        node.shared
            .monitor
            .record(response.heartbeat, requested_at, idle_pause);
        let is_fresh = node.shared.monitor.valid(time::now()).is_some();
        let known = &node.shared.admission.known;
        known.record(&owner.name, response.figures.take(), requested_at, is_fresh);
        known.export_age(time::now());
        departure.log_dismissal(session.as_ref(), &response);
        let had_session = session.is_some();
        session = apply_response(node, &owner, session, response, requested_at);
        if had_session && session.is_none() {
            refresh.try_refresh(node, true);
        }
        pause(node, session.as_ref().map_or(idle_pause, |own| own.pause));
    }
}

/// The hand-over of this relay's workers when the box stops.
#[derive(Default)]
struct Departure {
    /// When the relay noticed that the box is stopping, in milliseconds.
    since: Option<u64>,
}

impl Departure {
    /// True once the box is stopping and the relay may end: it has no session, or the owner has not
    /// taken its workers in time.
    fn is_over(&mut self, node: &Node, session: Option<&Session>) -> bool {
        if !node.shared.is_stopping() {
            return false;
        }
        let Some(session) = session else {
            return true;
        };
        let now = time::now();
        let since = *self.since.get_or_insert(now);
        let is_late = now.saturating_sub(since) > RELAY_LEAVE_TIMEOUT.as_millis() as u64;
        if is_late {
            log::warn!(target: "relay", session = session.number; "The owner has not taken all workers of this relay in time.");
        }
        is_late
    }

    /// Logs the end of the hand-over, if this response of the owner of the session is the end.
    fn log_dismissal(&self, session: Option<&Session>, response: &RelayResponse) {
        let (Some(since), Some(session)) = (self.since, session) else {
            return;
        };
        // Boxes that do not own the cell send no heartbeat.
        let is_owner = response.fence == session.fence && response.heartbeat.is_some();
        if is_owner && response.session == 0 {
            let took = time::now().saturating_sub(since);
            log::info!(target: "relay", session = session.number, took; "All workers of this relay are handed over.");
        }
    }
}

/// Waits until the next exchange is due, or until another box has become the owner, whose fence
/// this box needs for the jobs that it accepts.
fn pause(node: &Node, time: Duration) {
    node.shared.owner_changed.wait(time);
}

/// Limits how often the owner's key is read because the owner does not answer.
#[derive(Default)]
struct OwnerRefresh {
    /// The earliest time of the next read, in milliseconds.
    not_before: u64,
}

impl OwnerRefresh {
    /// Reads the owner's key, unless the last read was a short time ago. All boxes of a fleet
    /// notice the loss of an owner at once. If each of them read the key at every attempt, the load
    /// on the store would delay the box that claims the cell. The time between reads is randomised.
    fn try_refresh(&mut self, node: &Node, is_relay: bool) {
        let now = time::now();
        if now < self.not_before {
            return;
        }
        let gap = if is_relay {
            RELAY_OWNER_READ_MS
        } else {
            IDLE_OWNER_READ_MS
        };
        self.not_before = now + gap + fastrand::u64(0..gap);
        owner_watch::refresh(node);
    }
}

/// Sends a request to the owner and returns the response.
fn exchange(node: &Node, owner: &Owner, request: &RelayRequest) -> Result<RelayResponse, Failure> {
    let url = format!("http://{}{PATH}", owner.address);
    let mut body = wire::encode_compact(request)?;
    if node.settings.has_narrow_link() {
        body = wire::compress(body);
    }
    node.client.post_encoded(&url, &body, RELAY_TIMEOUT)
}

/// Handles a response, in a new session if the owner has started one. Returns the session; `None`
/// if the owner does not need this box.
fn apply_response(
    node: &Node,
    owner: &Owner,
    session: Option<Session>,
    response: RelayResponse,
    requested_at: u64,
) -> Option<Session> {
    if response.session == 0 {
        return None;
    }
    let known = session.filter(|own| own.number == response.session);
    let mut session = known.unwrap_or_else(|| {
        log::info!(target: "relay", owner = &*owner.name, session = response.session, fence = response.fence; "This box is a relay of the owner.");
        Session::new(&response)
    });
    session.execute(node, response, requested_at);
    Some(session)
}

/// The next request, with the queued results if there is a session.
fn next_request(node: &Node, session: Option<&mut Session>) -> RelayRequest {
    let mut request = RelayRequest {
        name: node.settings.name.clone(),
        hall: node.settings.hall.clone(),
        share: node.settings.share,
        link: node.settings.link,
        session: 0,
        batch: 0,
        ack: 0,
        heard: Vec::new(),
        leaving: node.shared.is_stopping(),
    };
    if let Some(session) = session {
        session.last_request += 1;
        request.session = session.number;
        request.batch = session.last_request;
        request.ack = session.last_response;
        request.heard = std::mem::take(&mut lock(&session.results).queue);
    }
    request
}

impl Session {
    fn new(response: &RelayResponse) -> Self {
        let permits = Permits::default();
        permits.begin_tenure(response.fence, 0);
        Session {
            number: response.session,
            fence: response.fence,
            permits,
            clock: OwnerClock::default(),
            last_response: 0,
            last_request: 0,
            pause: RELAY_MIN_INTERVAL,
            workers: HashMap::new(),
            texts: JobCache::default(),
            results: Arc::default(),
        }
    }

    /// Executes the commands of a response, unless it is a repetition. The exchange with the owner
    /// began at `requested_at`.
    fn execute(&mut self, node: &Node, response: RelayResponse, requested_at: u64) {
        self.pause = Duration::from_millis(response.pause);
        let is_repeated = response.batch <= self.last_response;
        let made = self.clock.earliest(response.now, requested_at, time::now());
        self.confirm(Confirmation::of(&response, is_repeated, made));
        if is_repeated {
            return;
        }
        self.last_response = response.batch;
        let transit = time::now().saturating_sub(requested_at);
        let age = |at: u64| response.now.saturating_sub(at) + transit;
        self.revoke_starts(&response.commands);
        for command in response.commands {
            match command {
                Command::Tend(member) => self.assign(node, member.into()),
                Command::Leave(id) => {
                    self.workers.remove(&id);
                    lock(&self.results).release(id);
                }
                Command::Text(job, text) => self.texts.insert(job, text.unwrap_or_default()),
                // A send fails only if the task has ended because its worker was released.
                Command::Poll(id, at, poll) => {
                    if let Some(queues) = self.workers.get(&id) {
                        let _ = queues.polls.send((at, poll));
                    }
                }
                Command::Order(id, number, at, order) => {
                    self.order(&id, number, order, age(at));
                }
                Command::Starts(job, at, starts) => self.start(&job, starts, age(at)),
            }
        }
    }

    /// Records the confirmation of the ownership that a response shows.
    fn confirm(&self, confirmation: Option<Confirmation>) {
        match confirmation {
            Some(Confirmation::Store(at)) => self.permits.confirm_by_store(self.fence, at),
            Some(Confirmation::Workers(at)) => self.permits.confirm_by_workers(self.fence, at),
            None => {}
        }
    }

    /// Revokes queued starts that the commands stop or withdraw.
    fn revoke_starts(&self, commands: &[Command]) {
        for command in commands {
            if let Command::Order(id, _, _, order) = command
                && let Some(queues) = self.workers.get(id)
            {
                queues.orders.revoke_start(order);
            }
        }
    }

    /// Queues an order of this age, in milliseconds, to the task of its worker. Without such a task
    /// the order is answered as not sent, since the owner counts it as in flight until it is
    /// answered.
    fn order(&self, id: &Arc<str>, number: u64, order: Order, age: u64) {
        let queued = QueuedOrder::new(order, number, age, time::now());
        let queues = self.workers.get(id);
        if queues.is_none_or(|queues| !queues.orders.send(queued)) {
            self.refuse([number]);
        }
    }

    /// Answers orders as not sent.
    fn refuse(&self, numbers: impl IntoIterator<Item = u64>) {
        let refused = Outcome::Refused(Refusal::NotSent);
        let answers = numbers
            .into_iter()
            .map(|number| WorkerEvent::Answer(number, refused));
        lock(&self.results).queue.extend(answers);
    }

    /// Queues starts of a job to the tasks of their workers.
    fn start(&self, job: &Id, starts: Vec<CompactStart>, age: u64) {
        let Some(text) = self.texts.get(job) else {
            log::error!(target: "relay", job = job.as_str(); "Starts arrived without the specification of their job.");
            self.refuse(starts.iter().map(|start| start.number));
            return;
        };
        for start in starts {
            let (id, number) = (start.worker.clone(), start.number);
            let order = Order::Start(start.start(job.clone(), text.clone()));
            self.order(&id, number, order, age);
        }
    }

    /// Starts the tasks of an assigned worker.
    fn assign(&mut self, node: &Node, entry: Entry) {
        lock(&self.results)
            .baselines
            .insert(entry.id.clone(), Vec::new());
        let (polls, poll_queue) = mpsc::unbounded_channel();
        let (orders, order_receiver) = order_queue::channel();
        let id = entry.id.clone();
        let fence = self.fence;
        let polling = poll(
            node.clone(),
            self.permits.clone(),
            fence,
            entry.clone(),
            poll_queue,
            self.results.clone(),
        );
        let sending = send(
            node.clone(),
            self.permits.clone(),
            fence,
            entry,
            order_receiver,
            self.results.clone(),
        );
        if let Err(error) = runtime::spawn(polling).and_then(|()| runtime::spawn(sending)) {
            log::error!(target: "relay", error:% = error; "Failed to start the tasks of a worker.");
            return;
        }
        self.workers.insert(id, WorkerQueues { polls, orders });
    }
}

impl Drop for Session {
    /// Orders that still wait have no effect on the owner's cell any more.
    fn drop(&mut self) {
        self.permits.end_tenure();
    }
}

/// Polls a worker whenever the owner allows it, until the worker is released.
async fn poll(
    node: Node,
    permits: Permits,
    fence: u64,
    entry: Entry,
    mut polls: UnboundedReceiver<(u64, Poll)>,
    results: Arc<Mutex<Results>>,
) {
    while let Some((at, poll)) = polls.recv().await {
        let permit = permits.for_poll(fence);
        let sent = time::now();
        let mut result = node.external.workers.poll(&entry, &permit, poll).await;
        if let Ok(report) = &mut result {
            restrict_report(poll, report);
        }
        if let Err(PollError::Silent(_)) = result {
            metrics::counter!("magpie_polls_failed_total").increment(1);
            worker::sleep_until_retry(sent).await;
        }
        lock(&results).report(&entry.id, at, result);
    }
}

/// Sends orders to a worker until it is released.
async fn send(
    node: Node,
    permits: Permits,
    fence: u64,
    entry: Entry,
    orders: OrderReceiver,
    results: Arc<Mutex<Results>>,
) {
    let send = |queued: QueuedOrder, revocation| {
        let (node, permits, entry, results) = (&node, &permits, &entry, &results);
        async move {
            let number = queued.number;
            let outcome = if is_withheld(node, &queued.order) {
                Outcome::Refused(Refusal::NotSent)
            } else {
                worker::send_order(node, permits, fence, entry, queued, revocation).await
            };
            lock(results)
                .queue
                .push(WorkerEvent::Answer(number, outcome));
            true
        }
    };
    worker::send_all(orders, send).await;
}

/// True for a start on a box that is stopping: the owner can place its task again at once, while
/// the answer to a start that is sent now might not reach the owner.
fn is_withheld(node: &Node, order: &Order) -> bool {
    matches!(order, Order::Start(_)) && node.shared.is_stopping()
}

#[cfg(test)]
mod tests {
    use {
        super::*, crate::heartbeat::Heartbeat, cell::TaskKey, job::Address, test_case::test_case,
    };

    const FENCE: u64 = 20;
    /// A time that other tests, which advance the clock of the process, do not reach.
    const LATER: u64 = 1_000_000_000;
    const MAX_AGE_MS: u64 = MAX_LEASE_AGE.as_millis() as u64;

    /// An order without an answer would count as in flight forever, and the owner would consider
    /// the relay busy.
    #[test]
    fn order_without_worker_task_is_refused() {
        let session = Session::new(&RelayResponse::default());
        let order = Order::Stop {
            key: TaskKey {
                job: Id::new("00000000000000a1").unwrap(),
                place: 0,
            },
            address: Address {
                time: 0,
                step: 0,
                index: 0,
            },
            run: 1,
        };
        session.order(&"w1".into(), 7, order, 0);
        session.start(&Id::new("00000000000000a1").unwrap(), Vec::new(), 0);
        let results = std::mem::take(&mut lock(&session.results).queue);
        let refused = Outcome::Refused(Refusal::NotSent);
        assert!(matches!(&results[..], [WorkerEvent::Answer(7, outcome)] if *outcome == refused));
    }

    /// A response of the owner, whose ownership the store has confirmed this long ago, with the poll
    /// of a worker that was made 100 ms before it.
    fn response(lease_age: u64, deadline: u64) -> RelayResponse {
        let poll = Poll {
            deadline,
            seen: 0,
            wait: 0,
        };
        RelayResponse {
            session: 1,
            fence: FENCE,
            batch: 1,
            now: 50_000,
            commands: vec![Command::Poll("w1".into(), 49_900, poll)],
            heartbeat: Some(Heartbeat {
                config: 1,
                config_age: 0,
                lease_age,
            }),
            ..RelayResponse::default()
        }
    }

    /// A relay sends the orders of an owner only for as long as that owner would. Without the store,
    /// an owner that extends leases is confirmed by its workers.
    #[test_case(100, 0, false => Some(Confirmation::Store(9_900)); "by store")]
    #[test_case(MAX_AGE_MS, 9_000, true => Some(Confirmation::Store(10_000 - MAX_AGE_MS)); "repeated by store")]
    #[test_case(MAX_AGE_MS + 1, 9_000, false => Some(Confirmation::Workers(9_900)); "by workers")]
    #[test_case(MAX_AGE_MS + 1, 0, false => None; "poll without lease")]
    #[test_case(MAX_AGE_MS + 1, 9_000, true => None; "repeated response")]
    fn confirmation_of(lease_age: u64, deadline: u64, is_repeated: bool) -> Option<Confirmation> {
        Confirmation::of(&response(lease_age, deadline), is_repeated, 10_000)
    }

    /// A response that was made before the owner was frozen confirms nothing after it.
    #[test]
    fn confirmation_of_earlier_poll() {
        let response = RelayResponse {
            now: 59_900,
            ..response(60_000, 9_000)
        };
        let confirmation = Confirmation::of(&response, false, 10_000);
        assert_eq!(confirmation, Some(Confirmation::Workers(0)));
    }

    /// A relay that has no confirmation of the ownership sends no orders.
    #[test]
    fn confirm_allows_orders() {
        let session = Session::new(&response(0, 0));
        session.confirm(None);
        assert!(session.permits.for_worker(FENCE).is_none());
        session.confirm(Some(Confirmation::Workers(LATER)));
        assert!(session.permits.for_worker(FENCE).is_some());
    }

    /// A slow exchange does not age a confirmation that the owner made shortly before it answered.
    #[test]
    fn earliest_by_fastest_exchange() {
        let mut clock = OwnerClock::default();
        assert_eq!(clock.earliest(50_000, 10_000, 10_040), 10_000);
        // The request took 1.2 s, and the response 0.3 s.
        assert_eq!(clock.earliest(51_200, 10_100, 11_500), 11_199);
        assert_eq!(clock.earliest(51_300, 11_290, 11_310), 11_299);
    }

    /// What is known of the owner's clock is worth less with time, also in many short steps.
    #[test]
    fn earliest_after_drift() {
        let mut clock = OwnerClock::default();
        clock.earliest(50_000, 10_000, 10_000);
        for step in 1..=400 {
            let now = 10_000 + step * 25;
            clock.earliest(40_000 + now, now - 500, now);
        }
        assert_eq!(clock.earliest(60_000, 15_000, 20_000), 19_990);
    }

    /// Orders that wait when the session ends have no effect on the cell of the next owner.
    #[test]
    fn drop_ends_permits() {
        let session = Session::new(&response(0, 0));
        session.confirm(Some(Confirmation::Store(LATER)));
        let permits = session.permits.clone();
        assert!(permits.for_worker(FENCE).is_some());
        drop(session);
        assert!(permits.for_worker(FENCE).is_none());
    }
}
