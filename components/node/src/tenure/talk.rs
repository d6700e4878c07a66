//! Who talks to each worker, and what is made of what it says.

use {
    super::{Link, Next},
    crate::{
        core::Core,
        heartbeat::Heartbeat,
        message::{Duty, Heard, Offer},
        outside::Unheard,
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
        let most = self.node.settings.alone();
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        if tenure.cell.worker_count() <= most {
            self.tend_here(fence, entry);
            return;
        }
        let id = entry.id.clone();
        if let Some(name) = tenure.relays.assign(entry, since) {
            tenure.links.insert(id.clone(), Link::Relay(name));
            tenure.allow_poll(&id);
        }
    }

    /// Starts the tasks of a worker on this box.
    pub(super) fn tend_here(&mut self, fence: u64, entry: Entry) {
        let node = self.node.clone();
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        let id = entry.id.clone();
        if let Some(sender) = crate::worker::tend(&node, fence, entry) {
            tenure.links.insert(id, Link::Here(sender));
        }
    }

    /// Takes what a relay brings, and gives it what to do next. An owner in doubt does so too: starts that were decided
    /// before it stood still are too old for the relay to send, and polls let no lease go on.
    pub(crate) fn take_offer(&mut self, cx: &mut Cx<'_, Self>, offer: Offer) -> Duty {
        let duty = self.duty(cx, offer);
        Duty {
            heartbeat: self.heartbeat(),
            ..duty
        }
    }

    /// What this owner knows of the store.
    fn heartbeat(&mut self) -> Option<Heartbeat> {
        let proven = self.present()?.proven();
        let shared = &self.node.shared;
        Some(Heartbeat {
            config: shared.config_revision.load(Ordering::Acquire),
            config_age: shared.config_age()?.as_millis() as u64,
            lease_age: time::now().saturating_sub(proven),
        })
    }

    fn duty(&mut self, cx: &mut Cx<'_, Self>, offer: Offer) -> Duty {
        let now = time::now();
        let (alone, link) = (self.node.settings.alone(), self.node.settings.link);
        let Some(tenure) = self.present() else {
            return Duty::default();
        };
        let fence = tenure.fence;
        let need = tenure.need(alone);
        if let Some(former) = tenure.relays.join(&offer, need, now) {
            self.retend(fence, former);
        }
        if self
            .tenure
            .as_mut()
            .is_some_and(|tenure| tenure.relays.take(&offer, now))
        {
            for heard in offer.heard {
                self.hear(cx, fence, &offer.name, heard);
            }
        }
        self.settle(cx);
        self.tenure.as_mut().map_or(Duty::default(), |tenure| {
            tenure.relays.duty(&offer.name, fence, link, time::now())
        })
    }

    /// Takes in one thing that a relay heard from a worker.
    fn hear(&mut self, cx: &mut Cx<'_, Self>, fence: u64, relay: &str, heard: Heard) {
        match heard {
            Heard::Left(id) => {
                if let Some(tenure) = self.tenure_of(fence) {
                    tenure.relays.left(relay, &id);
                }
            }
            Heard::Report(id, sent, told) => {
                let Some(tenure) = self.tenure_of(fence) else {
                    return;
                };
                let result = tenure.relays.read(relay, &id, told);
                if self.reported(cx, fence, &id, sent, result) == Next::Poll
                    && let Some(tenure) = self.tenure_of(fence)
                {
                    tenure.allow_poll(&id);
                }
            }
            Heard::Answer(number, outcome) => {
                let Some(tenure) = self.tenure_of(fence) else {
                    return;
                };
                if let Some((id, order)) = tenure.relays.answered(relay, number) {
                    self.answered(cx, fence, &id, &order, outcome);
                }
            }
        }
    }

    /// Gives workers away anew whose relay is gone, and those that nobody had room for.
    pub(super) fn retend(&mut self, fence: u64, workers: Vec<Arc<str>>) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        let now = time::now();
        let mut entries = tenure.relays.take_unattended();
        for id in workers {
            tenure.links.remove(&id);
            if let Some(entry) = tenure.cell.entry(&id) {
                entries.push((entry.clone(), now));
            }
        }
        for (entry, since) in entries {
            let is_known = self
                .tenure_of(fence)
                .is_some_and(|tenure| tenure.cell.has_worker(&entry.id));
            if is_known {
                self.tend_since(fence, entry, since);
            }
        }
    }

    /// In a large cell, lets a relay with room talk to a worker from now on that this box had to talk
    /// to itself. False when it goes on.
    fn pass_on(&mut self, fence: u64, id: &Arc<str>) -> bool {
        let most = self.node.settings.alone();
        let Some(tenure) = self.tenure_of(fence) else {
            return false;
        };
        if tenure.cell.worker_count() <= most || !tenure.relays.has_room() {
            return false;
        }
        let Some(entry) = tenure.cell.entry(id).cloned() else {
            return false;
        };
        // The task for orders ends once it has sent those that it has.
        tenure.links.remove(id);
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
        result: Result<Report, Unheard>,
        answerer: Answerer<Option<Poll>>,
    ) {
        let next = self.reported(cx, fence, id, sent, result);
        if next == Next::Poll && self.pass_on(fence, id) {
            answerer.send(None);
            return;
        }
        let Some(tenure) = self.tenure_of(fence) else {
            answerer.send(None);
            return;
        };
        match next {
            Next::Poll => answerer.send(tenure.cell.next_poll(id, time::now())),
            Next::Never => answerer.send(None),
            Next::Later => {
                tenure.pollers.insert(id.clone(), answerer);
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
        result: Result<Report, Unheard>,
    ) -> Next {
        let Some(tenure) = self.tenure_of(fence) else {
            return Next::Never;
        };
        let now = time::now();
        let mut later = None;
        match result {
            Ok(report) => {
                tenure.answered_by(id, sent);
                tenure.cell.report(id, report, sent, now, wall::millis());
            }
            Err(Unheard::Refused(Refusal::Fence)) => {
                if !tenure.cell.is_superseded(id) {
                    self.depose("a worker has seen a higher fence");
                    return Next::Never;
                }
                tenure.cell.poll_failed(id, now);
            }
            Err(Unheard::OtherLife(born)) => {
                later = tenure.cell.handle_successor(id, born, sent, now);
            }
            Err(Unheard::Refused(Refusal::OtherLife)) => {
                tenure.cell.end_incarnation(id, "another life answers", now);
            }
            Err(_) => tenure.cell.poll_failed(id, now),
        }
        tenure.unlink_gone();
        let next = if !tenure.cell.is_polled(id) {
            tenure.unlink(id);
            Next::Never
        } else if tenure.cell.has_unwritten_ends(id) {
            tenure.waiting.insert(id.clone());
            let id = id.clone();
            after!(UNWRITTEN_PAUSE, [cx], |this, _| this.let_poll(fence, &id));
            Next::Later
        } else {
            Next::Poll
        };
        if let Some(entry) = later {
            self.tend(fence, entry);
        }
        self.settle(cx);
        next
    }

    /// The first poll of a worker.
    pub(crate) fn first_poll(&mut self, fence: u64, id: &str) -> Option<Poll> {
        self.tenure_of(fence)?.cell.next_poll(id, time::now())
    }

    /// Lets a worker be polled whose ends are written, or have waited long enough.
    pub(super) fn let_poll(&mut self, fence: u64, id: &Arc<str>) {
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        if tenure.waiting.remove(id) {
            tenure.allow_poll(id);
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
        let Some(tenure) = self.tenure_of(fence) else {
            return;
        };
        if tenure.cell.handle_outcome(id, order, outcome, time::now()) {
            self.depose("a worker has seen a higher fence");
            return;
        }
        tenure.unlink_gone();
        self.settle(cx);
    }
}
