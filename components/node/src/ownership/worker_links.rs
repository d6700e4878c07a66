//! Who talks to each worker, and what is made of what it says.

use {
    super::{Link, Next},
    crate::{
        core::Core,
        external::PollError,
        heartbeat::Heartbeat,
        message::{RelayRequest, RelayResponse, WorkerEvent},
        time,
    },
    cell::{Entry, Order, Outcome, Poll, Refusal, Report},
    kernel::{
        host::Answerer,
        stakker::{Cx, after},
        wall,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// How long ends that cannot be written down hold the next poll of their worker back.
const UNWRITTEN_PAUSE: Duration = Duration::from_millis(1_000);

impl Core {
    /// Finds somebody to talk to a worker: this box in a small cell, a relay in a large one.
    pub(super) fn tend(&mut self, fence: u64, entry: Entry) {
        self.tend_since(fence, entry, time::now());
    }

    /// The same for a worker that has waited for somebody since a time.
    fn tend_since(&mut self, fence: u64, entry: Entry, since: u64) {
        let most = self.node.settings.direct_workers();
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        if ownership.cell.worker_count() <= most {
            self.tend_here(fence, entry);
            return;
        }
        let id = entry.id.clone();
        if let Some(name) = ownership.relays.assign(entry, since) {
            ownership.links.insert(id.clone(), Link::Relay(name));
            ownership.allow_poll(&id);
        }
    }

    /// Starts the tasks of a worker on this box.
    pub(super) fn tend_here(&mut self, fence: u64, entry: Entry) {
        let node = self.node.clone();
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        let id = entry.id.clone();
        if let Some(sender) = crate::worker::start_tasks(&node, fence, entry) {
            ownership.links.insert(id, Link::Here(sender));
        }
    }

    /// Takes what a relay brings, and gives it what to do next. An owner in doubt does so too: starts that were decided
    /// before it stood still are too old for the relay to send, and polls let no lease go on.
    pub(crate) fn take_offer(
        &mut self,
        cx: &mut Cx<'_, Self>,
        offer: RelayRequest,
    ) -> RelayResponse {
        let duty = self.duty(cx, offer);
        RelayResponse {
            heartbeat: self.heartbeat(),
            ..duty
        }
    }

    /// What this owner knows of the store.
    fn heartbeat(&mut self) -> Option<Heartbeat> {
        let proven = self.current_ownership()?.proven();
        let shared = &self.node.shared;
        Some(Heartbeat {
            config: shared.config_revision.load(Ordering::Acquire),
            config_age: shared.config_age()?.as_millis() as u64,
            lease_age: time::now().saturating_sub(proven),
        })
    }

    fn duty(&mut self, cx: &mut Cx<'_, Self>, offer: RelayRequest) -> RelayResponse {
        let now = time::now();
        let (alone, link) = (self.node.settings.direct_workers(), self.node.settings.link);
        let Some(ownership) = self.current_ownership() else {
            return RelayResponse::default();
        };
        let fence = ownership.fence;
        let need = ownership.need(alone);
        if let Some(former) = ownership.relays.join(&offer, need, now) {
            self.retend(fence, former);
        }
        if self
            .ownership
            .as_mut()
            .is_some_and(|ownership| ownership.relays.accept_request(&offer, now))
        {
            for heard in offer.heard {
                self.hear(cx, fence, &offer.name, heard);
            }
        }
        self.schedule_pass(cx);
        self.ownership
            .as_mut()
            .map_or(RelayResponse::default(), |ownership| {
                ownership
                    .relays
                    .respond(&offer.name, fence, link, time::now())
            })
    }

    /// Takes in one thing that a relay heard from a worker.
    fn hear(&mut self, cx: &mut Cx<'_, Self>, fence: u64, relay: &str, heard: WorkerEvent) {
        match heard {
            WorkerEvent::Left(id) => {
                if let Some(ownership) = self.ownership_of(fence) {
                    ownership.relays.reset_baseline(relay, &id);
                }
            }
            WorkerEvent::Report(id, sent, told) => {
                let Some(ownership) = self.ownership_of(fence) else {
                    return;
                };
                let result = ownership.relays.decode_report(relay, &id, told);
                if self.reported(cx, fence, &id, sent, result) == Next::Poll
                    && let Some(ownership) = self.ownership_of(fence)
                {
                    ownership.allow_poll(&id);
                }
            }
            WorkerEvent::Answer(number, outcome) => {
                let Some(ownership) = self.ownership_of(fence) else {
                    return;
                };
                if let Some((id, order)) = ownership.relays.complete_order(relay, number) {
                    self.answered(cx, fence, &id, &order, outcome);
                }
            }
        }
    }

    /// Gives workers away anew whose relay is gone, and those that nobody had room for.
    pub(super) fn retend(&mut self, fence: u64, workers: Vec<Arc<str>>) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        let now = time::now();
        let mut entries = ownership.relays.take_unassigned();
        for id in workers {
            ownership.links.remove(&id);
            if let Some(entry) = ownership.cell.entry(&id) {
                entries.push((entry.clone(), now));
            }
        }
        for (entry, since) in entries {
            let is_known = self
                .ownership_of(fence)
                .is_some_and(|ownership| ownership.cell.has_worker(&entry.id));
            if is_known {
                self.tend_since(fence, entry, since);
            }
        }
    }

    /// In a large cell, lets a relay with room talk to a worker from now on that this box had to talk
    /// to itself. False when it goes on.
    fn pass_on(&mut self, fence: u64, id: &Arc<str>) -> bool {
        let most = self.node.settings.direct_workers();
        let Some(ownership) = self.ownership_of(fence) else {
            return false;
        };
        if ownership.cell.worker_count() <= most || !ownership.relays.has_capacity() {
            return false;
        }
        let Some(entry) = ownership.cell.entry(id).cloned() else {
            return false;
        };
        // The task for orders ends once it has sent those that it has.
        ownership.links.remove(id);
        self.tend(fence, entry);
        true
    }

    /// Takes in a report that a task of this box brought, and answers what to ask the worker next
    /// once it may be asked.
    pub(crate) fn polled(
        &mut self,
        cx: &mut Cx<'_, Self>,
        fence: u64,
        id: &Arc<str>,
        sent: u64,
        result: Result<Report, PollError>,
        answerer: Answerer<Option<Poll>>,
    ) {
        let next = self.reported(cx, fence, id, sent, result);
        if next == Next::Poll && self.pass_on(fence, id) {
            answerer.send(None);
            return;
        }
        let Some(ownership) = self.ownership_of(fence) else {
            answerer.send(None);
            return;
        };
        match next {
            Next::Poll => answerer.send(ownership.cell.next_poll(id, time::now())),
            Next::Never => answerer.send(None),
            Next::Later => {
                ownership.pollers.insert(id.clone(), answerer);
            }
        }
    }

    /// Takes in a worker's report.
    pub(super) fn reported(
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
        let mut later = None;
        match result {
            Ok(report) => {
                ownership.answered_by(id, sent);
                ownership.cell.report(id, report, sent, now, wall::millis());
            }
            Err(PollError::Refused(Refusal::Fence)) => {
                if !ownership.cell.is_superseded(id) {
                    self.end_ownership("a worker has seen a higher fence");
                    return Next::Never;
                }
                ownership.cell.poll_failed(id, now);
            }
            Err(PollError::OtherLife(born)) => {
                later = ownership.cell.handle_successor(id, born, sent, now);
            }
            Err(PollError::Refused(Refusal::OtherLife)) => {
                ownership
                    .cell
                    .end_incarnation(id, "another life answers", now);
            }
            Err(_) => ownership.cell.poll_failed(id, now),
        }
        ownership.unlink_gone();
        let next = if !ownership.cell.is_polled(id) {
            ownership.unlink(id);
            Next::Never
        } else if ownership.cell.has_unwritten_ends(id) {
            ownership.waiting.insert(id.clone());
            let id = id.clone();
            after!(UNWRITTEN_PAUSE, [cx], |this, _| this.let_poll(fence, &id));
            Next::Later
        } else {
            Next::Poll
        };
        if let Some(entry) = later {
            self.tend(fence, entry);
        }
        self.schedule_pass(cx);
        next
    }

    /// The first poll of a worker.
    pub(crate) fn first_poll(&mut self, fence: u64, id: &str) -> Option<Poll> {
        self.ownership_of(fence)?.cell.next_poll(id, time::now())
    }

    /// Lets a worker be polled whose ends are written, or have waited long enough.
    pub(super) fn let_poll(&mut self, fence: u64, id: &Arc<str>) {
        let Some(ownership) = self.ownership_of(fence) else {
            return;
        };
        if ownership.waiting.remove(id) {
            ownership.allow_poll(id);
        }
    }

    /// Takes in what came of an order.
    pub(crate) fn answered(
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
            self.end_ownership("a worker has seen a higher fence");
            return;
        }
        ownership.unlink_gone();
        self.schedule_pass(cx);
    }
}
