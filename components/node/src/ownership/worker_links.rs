//! Connections to the workers, by local tasks or through relays, and the handling of worker reports
//! and order outcomes.

use {
    super::{Link, Next},
    crate::{
        admission::Figures,
        core::Core,
        external::PollError,
        heartbeat::Heartbeat,
        message::{RelayRequest, RelayResponse, WorkerEvent},
        time,
    },
    cell::{Entry, Order, Outcome, Poll, Refusal, Report},
    kernel::{
        actor::Responder,
        stakker::{Cx, after},
        wall_clock,
    },
    std::{
        collections::HashSet,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Maximum delay of a worker's next poll while the ends of its tasks are not stored.
const MAX_POLL_DELAY: Duration = Duration::from_millis(1_000);

impl Core {
    /// Connects to a worker: by tasks of this box in a small cell, through a relay in a large one.
    pub(super) fn connect(&mut self, fence: u64, entry: Entry) {
        self.connect_since(fence, entry, time::now());
    }

    /// Connects to a worker that has had no connection since `since`.
    fn connect_since(&mut self, fence: u64, entry: Entry, since: u64) {
        let max_direct = self.node.settings.direct_workers();
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        if ownership.cell.worker_count() <= max_direct {
            self.connect_local(fence, entry);
            return;
        }
        let id = entry.id.clone();
        if let Some(name) = ownership.relays.assign(entry, since) {
            ownership.links.insert(id.clone(), Link::Relay(name));
            // This is the only poll in progress over the new connection.
            ownership.unwritten.remove(&id);
            ownership.send_poll(&id);
        }
    }

    /// Connects to a worker by tasks of this box.
    pub(super) fn connect_local(&mut self, fence: u64, entry: Entry) {
        let node = self.node.clone();
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        let id = entry.id.clone();
        if let Some(sender) = crate::worker::start_tasks(&node, fence, entry) {
            ownership.relays.hand_over(&id);
            ownership.links.insert(id, Link::Local(sender));
        }
    }

    /// Processes the request of a relay and returns its next commands, also while the ownership is
    /// unconfirmed: start orders from before a stall are then too old for the relay to send, and
    /// polls extend no leases.
    pub(crate) fn handle_exchange(
        &mut self,
        cx: &mut Cx<'_, Self>,
        request: RelayRequest,
    ) -> RelayResponse {
        let name = request.name.clone();
        let response = self.exchange(cx, request);
        RelayResponse {
            heartbeat: self.heartbeat(),
            figures: self.figures_for(&name),
            ..response
        }
    }

    /// The figures to send to a box; `None` if it needs none now, or if the ownership is unconfirmed.
    fn figures_for(&mut self, name: &Arc<str>) -> Option<Figures> {
        if !self.node.settings.admission {
            return None;
        }
        let ownership = self.confirmed_ownership()?;
        ownership.feed.figures_for(name, time::now())
    }

    /// The heartbeat of this owner; `None` if this box does not own the cell, or before it
    /// has verified its configuration.
    fn heartbeat(&mut self) -> Option<Heartbeat> {
        let last_confirmed = self.current_ownership()?.last_confirmed();
        let shared = &self.node.shared;
        Some(Heartbeat {
            config: shared.config_revision.load(Ordering::Acquire),
            config_age: shared.config_age()?.as_millis() as u64,
            lease_age: time::now().saturating_sub(last_confirmed),
        })
    }

    fn exchange(&mut self, cx: &mut Cx<'_, Self>, request: RelayRequest) -> RelayResponse {
        let now = time::now();
        let (direct, link) = (self.node.settings.direct_workers(), self.node.settings.link);
        let highest = self.node.shared.highest_fence.get();
        let Some(ownership) = self.current_ownership() else {
            // A box that has claimed the cell and loads it makes its fence known already.
            return RelayResponse {
                fence: highest,
                ..RelayResponse::default()
            };
        };
        let fence = ownership.fence;
        let relay_need = ownership.relay_need(direct);
        let joined = ownership.relays.join(&request, relay_need, now);
        let leaving = ownership.relays.leave(&request, now);
        if let Some(orphaned) = joined {
            self.reassign(fence, orphaned);
        }
        self.hand_over_workers(fence, leaving);
        if self
            .ownership
            .as_mut()
            .is_some_and(|ownership| ownership.relays.accept_request(&request, now))
        {
            for event in request.heard {
                self.handle_event(cx, fence, &request.name, event);
            }
        }
        self.schedule_pass(cx);
        self.ownership
            .as_mut()
            .map_or(RelayResponse::default(), |ownership| {
                ownership.relays.dismiss_left(&request.name, time::now());
                ownership
                    .relays
                    .respond(&request.name, fence, link, time::now())
            })
    }

    /// Applies an event of a worker that a relay has reported.
    fn handle_event(&mut self, cx: &mut Cx<'_, Self>, fence: u64, relay: &str, event: WorkerEvent) {
        match event {
            WorkerEvent::Left(id) => {
                if let Some(ownership) = self.ownership_of(fence) {
                    ownership.relays.reset_baseline(relay, &id);
                }
            }
            WorkerEvent::Report(id, sent, delta) => {
                let Some(ownership) = self.ownership_of(fence) else {
                    return;
                };
                let result = ownership.relays.decode_report(relay, &id, delta);
                if ownership.relays.is_former(relay, &id) {
                    self.handle_former_report(cx, fence, relay, &id, sent, result);
                    return;
                }
                if self.handle_current_report(cx, fence, &id, sent, result) == Next::Poll
                    && let Some(ownership) = self.ownership_of(fence)
                {
                    ownership.send_poll(&id);
                }
            }
            WorkerEvent::Answer(number, outcome) => {
                let Some(ownership) = self.ownership_of(fence) else {
                    return;
                };
                if let Some((id, order)) = ownership.relays.complete_order(relay, number) {
                    self.handle_outcome(cx, fence, &id, &order, outcome);
                }
            }
        }
    }

    /// Gives workers of a leaving relay other connections. Workers for which no relay has capacity
    /// keep the present one meanwhile.
    fn hand_over_workers(&mut self, fence: u64, workers: Vec<Arc<str>>) {
        for id in workers {
            let ownership = self.ownership_of(fence);
            let entry = ownership.and_then(|ownership| ownership.cell.entry(&id).cloned());
            if let Some(entry) = entry {
                self.connect(fence, entry);
            }
        }
    }

    /// Applies a report that a worker's former relay has delivered, unless it may be outdated. The
    /// worker is polled over its new connection only.
    fn handle_former_report(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        relay: &str,
        id: &Arc<str>,
        sent: u64,
        result: Result<Report, PollError>,
    ) {
        // The poll over the new connection fails in the same way.
        let Ok(report) = result else {
            return;
        };
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        if !ownership.relays.accept_former(relay, id, report.clock) {
            return;
        }
        self.handle_report(cx, fence, id, sent, Ok(report));
        if let Some(ownership) = self.ownership_of(fence) {
            ownership.unwritten.remove(id);
        }
    }

    /// Applies the result of a poll over the present connection of a worker. A report is dropped if
    /// the worker's former relay has delivered a newer one; the next report repeats its ends.
    fn handle_current_report(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        id: &Arc<str>,
        sent: u64,
        result: Result<Report, PollError>,
    ) -> Next {
        let Some(ownership) = self.ownership_of(fence) else {
            return Next::Never;
        };
        let clock = result.as_ref().ok().map(|report| report.clock);
        if !ownership.relays.accept_current(id, clock) {
            return Next::Poll;
        }
        self.handle_report(cx, fence, id, sent, result)
    }

    /// Connects again to workers whose relay is gone, and to those that no relay had capacity for.
    pub(super) fn reassign(&mut self, fence: u64, workers: Vec<Arc<str>>) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        let now = time::now();
        let mut entries = ownership.relays.take_unassigned();
        // Workers of a leaving relay may wait for another one already.
        let waiting: HashSet<Arc<str>> =
            entries.iter().map(|(entry, _)| entry.id.clone()).collect();
        for id in workers {
            ownership.links.remove(&id);
            if waiting.contains(&id) {
                continue;
            }
            if let Some(entry) = ownership.cell.entry(&id) {
                entries.push((entry.clone(), now));
            }
        }
        for (entry, since) in entries {
            let is_known = self
                .ownership_of(fence)
                .is_some_and(|ownership| ownership.cell.has_worker(&entry.id));
            if is_known {
                self.connect_since(fence, entry, since);
            }
        }
    }

    /// In a large cell, moves a worker with a local connection to a relay with free capacity. False
    /// when the connection stays.
    fn move_to_relay(&mut self, fence: u64, id: &Arc<str>) -> bool {
        let max_direct = self.node.settings.direct_workers();
        let Some(ownership) = self.ownership_of(fence) else {
            return false;
        };
        if ownership.cell.worker_count() <= max_direct || !ownership.relays.has_capacity() {
            return false;
        }
        let Some(entry) = ownership.cell.entry(id).cloned() else {
            return false;
        };
        // The local task ends once it has sent the orders in its queue.
        ownership.links.remove(id);
        self.connect(fence, entry);
        true
    }

    /// Handles the result of a poll by a local task, and answers with the next poll once it may be
    /// sent; with `None` when the connection ends.
    pub(crate) fn handle_poll(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        id: &Arc<str>,
        sent: u64,
        result: Result<Report, PollError>,
        responder: Responder<Option<Poll>>,
    ) {
        let next = self.handle_current_report(cx, fence, id, sent, result);
        if next == Next::Poll && self.move_to_relay(fence, id) {
            responder.send(None);
            return;
        }
        let Some(ownership) = self.ownership_of(fence) else {
            responder.send(None);
            return;
        };
        match next {
            Next::Poll => responder.send(ownership.cell.next_poll(id, time::now())),
            Next::Never => responder.send(None),
            Next::Later => {
                ownership.pending_polls.insert(id.clone(), responder);
            }
        }
    }

    /// Applies the result of a poll to the cell. Returns when the worker may be polled again.
    pub(super) fn handle_report(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        id: &Arc<str>,
        sent: u64,
        result: Result<Report, PollError>,
    ) -> Next {
        let Some(ownership) = self.ownership_of(fence) else {
            return Next::Never;
        };
        let now = time::now();
        let mut successor = None;
        match result {
            Ok(report) => {
                ownership.poll_answered(id, sent);
                ownership
                    .cell
                    .report(id, report, sent, now, wall_clock::millis());
            }
            Err(PollError::Refused(Refusal::Fence)) => {
                if !ownership.cell.is_superseded(id) {
                    self.end_ownership("a worker has been fenced by another owner");
                    return Next::Never;
                }
                ownership.cell.poll_failed(id, now);
            }
            Err(PollError::OtherLife(born)) => {
                successor = ownership.cell.handle_successor(id, born, sent, now);
            }
            Err(PollError::Refused(Refusal::OtherLife)) => {
                ownership
                    .cell
                    .end_incarnation(id, "another incarnation has answered", now);
            }
            Err(_) => ownership.cell.poll_failed(id, now),
        }
        ownership.disconnect_removed();
        let next = if !ownership.cell.is_polled(id) {
            ownership.disconnect(id);
            Next::Never
        } else if ownership.cell.has_unwritten_ends(id) {
            ownership.unwritten.insert(id.clone());
            let id = id.clone();
            after!(MAX_POLL_DELAY, [cx], |this, _| this.resume_poll(fence, &id));
            Next::Later
        } else {
            Next::Poll
        };
        if let Some(entry) = successor {
            self.connect(fence, entry);
        }
        self.schedule_pass(cx);
        next
    }

    /// The first poll of a worker; `None` when the ownership has ended.
    pub(crate) fn first_poll(&mut self, fence: u64, id: &str) -> Option<Poll> {
        self.ownership_of(fence)?.cell.next_poll(id, time::now())
    }

    /// Polls a worker again whose task ends are stored, or have been delayed for the maximum time.
    pub(super) fn resume_poll(&mut self, fence: u64, id: &Arc<str>) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        if ownership.unwritten.remove(id) {
            ownership.send_poll(id);
        }
    }

    /// Applies the outcome of an order.
    pub(crate) fn handle_outcome(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        id: &Arc<str>,
        order: &Order,
        outcome: Outcome,
    ) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        if ownership
            .cell
            .handle_outcome(id, order, outcome, time::now())
        {
            self.end_ownership("a worker has been fenced by another owner");
            return;
        }
        ownership.disconnect_removed();
        self.schedule_pass(cx);
    }
}
