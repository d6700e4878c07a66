//! Cancellation of jobs: written to the store before it is confirmed, then sent to the owner of the
//! cell until the owner acknowledges it.

use {
    crate::{
        callers::Reply,
        core::Node,
        group::put,
        keys,
        message::{PeerRequest, PeerResponse},
        owner_watch, peer,
        retry_after::MIN_RETRY_AFTER,
        settings::{NOTIFY_INTERVAL, NOTIFY_TIMEOUT_MS},
        store::{ApplyResult, Change},
        time,
    },
    job::Id,
    kernel::{Verdict, wall_clock},
    std::{
        collections::VecDeque,
        sync::mpsc::{self, Receiver},
        thread,
    },
};

/// Queues cancellations to the task that notifies the owner again.
pub type Sender = mpsc::Sender<Id>;

/// The queue of cancellations that the owner has not acknowledged.
pub fn channel() -> (Sender, Receiver<Id>) {
    mpsc::channel()
}

/// Cancels a job. With `may_forward`, a box that cannot reach the store forwards the request to the
/// owner of the cell.
pub fn cancel(node: &Node, id: &Id, may_forward: bool) -> Reply {
    let reply = cancel_locally(node, id);
    match reply {
        Reply::Busy(_) if may_forward => {
            peer::forward(node, &PeerRequest::Cancel(id.clone()), reply)
        }
        _ => reply,
    }
}

fn cancel_locally(node: &Node, id: &Id) -> Reply {
    if node.shared.is_store_unreachable() {
        return Reply::Busy(MIN_RETRY_AFTER);
    }
    let store = &node.external.store;
    let job = match store.get(&keys::job(id)) {
        Ok(Some(item)) => item,
        Ok(None) => return cancel_ended(node, id),
        Err(_) => return Reply::Busy(MIN_RETRY_AFTER),
    };
    let change = Change {
        expect: vec![(job.key, job.revision)],
        put: vec![put(keys::cancel(id), &wall_clock::millis(), 0)],
        remove: Vec::new(),
    };
    match store.apply(&change) {
        Ok(ApplyResult::Done(_)) => {
            log::info!(target: "cancel", job = id.as_str(); "A job was cancelled.");
            notify_owner(node, id);
            Reply::Cancelled
        }
        Ok(ApplyResult::Conflict(_)) => cancel_ended(node, id),
        Ok(ApplyResult::NoLease) => Reply::Unsure,
        Err(failure) if failure.verdict == Verdict::NotRun => Reply::Busy(MIN_RETRY_AFTER),
        Err(_) => Reply::Unsure,
    }
}

/// The reply for a job without a stored submission: it has ended or never existed.
fn cancel_ended(node: &Node, id: &Id) -> Reply {
    match node.external.store.get(&keys::state(id)) {
        Ok(Some(_)) => Reply::Cancelled,
        Ok(None) => Reply::Gone,
        Err(_) => Reply::Busy(MIN_RETRY_AFTER),
    }
}

/// Notifies the owner at once of a stored cancellation, since its watch of the store may have
/// stalled. Without an acknowledgement the notification is queued for retry.
fn notify_owner(node: &Node, id: &Id) {
    if notify(node, id) == Delivery::Acknowledged {
        return;
    }
    log::info!(target: "cancel", job = id.as_str(); "The owner has not acknowledged a cancellation; the notification will be retried.");
    // The receiving task runs as long as the box.
    let _ = node.unconfirmed.send(id.clone());
}

/// The outcome of one attempt to notify the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// The owner has recorded the cancellation.
    Acknowledged,
    /// The notified box does not own the cell, or has not read the job yet.
    Rejected,
    /// No owner is known to this box, or it did not answer.
    Unreachable,
}

/// Makes one attempt to notify the owner of a cancellation.
fn notify(node: &Node, id: &Id) -> Delivery {
    if record(node, id) {
        return Delivery::Acknowledged;
    }
    match peer::call_owner(node, &PeerRequest::Cancelled(id.clone())) {
        Some(PeerResponse::Reply(Reply::Cancelled)) => Delivery::Acknowledged,
        Some(_) => Delivery::Rejected,
        None => Delivery::Unreachable,
    }
}

/// Records a stored cancellation in the cell of this box. False when this box does not own the
/// cell, or has not read the job yet.
fn record(node: &Node, id: &Id) -> bool {
    let id = id.clone();
    node.actor.ask(move |core, cx| core.handle_cancel(cx, &id)) == Ok(true)
}

/// Handles the notification of another box about a stored cancellation. That box retries until the
/// job is known here.
pub(crate) fn receive(node: &Node, id: &Id) -> Reply {
    if record(node, id) {
        Reply::Cancelled
    } else {
        Reply::Gone
    }
}

/// Retries notifications that the owner has not acknowledged, for as long as the process runs.
///
/// Before each round the owner's key is read, since this box may know no owner yet or a former one.
/// This costs at most four reads of the store per second, and none while everything is
/// acknowledged.
pub fn run(node: &Node, queue: &Receiver<Id>) {
    let mut pending = Unacknowledged::default();
    loop {
        if pending.waiting.is_empty() {
            let Ok(id) = queue.recv() else {
                return;
            };
            pending.add(id, time::now());
        }
        for id in queue.try_iter() {
            pending.add(id, time::now());
        }
        owner_watch::refresh(node);
        pending.round(time::now(), |id| notify(node, id));
        thread::sleep(NOTIFY_INTERVAL);
    }
}

/// Cancellations that the owner has not acknowledged, each with the time at which it was queued.
#[derive(Default)]
struct Unacknowledged {
    waiting: VecDeque<(Id, u64)>,
}

impl Unacknowledged {
    /// Adds a cancellation, or restarts the retry period of a known one.
    fn add(&mut self, id: Id, now: u64) {
        self.waiting.retain(|(other, _)| *other != id);
        self.waiting.push_back((id, now));
    }

    /// Sends each notification once. If the owner is unreachable, the round ends, and the next
    /// round starts with the cancellations that were not sent.
    fn round(&mut self, now: u64, mut notify: impl FnMut(&Id) -> Delivery) {
        for _ in 0..self.waiting.len() {
            let Some((id, since)) = self.waiting.pop_front() else {
                return;
            };
            if now > since + NOTIFY_TIMEOUT_MS {
                log::warn!(target: "cancel", job = id.as_str(); "The owner did not acknowledge a cancellation in time; it has to learn of it from its watch of the store.");
                continue;
            }
            let delivery = notify(&id);
            if delivery == Delivery::Acknowledged {
                log::info!(target: "cancel", job = id.as_str(), took = now - since; "The owner acknowledged a cancellation.");
                continue;
            }
            self.waiting.push_back((id, since));
            if delivery == Delivery::Unreachable {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(number: u64) -> Id {
        Id::new(&format!("{number:016x}")).unwrap()
    }

    /// Cancellations of the jobs 1 to `count`, queued at 1,000 ms.
    fn pending(count: u64) -> Unacknowledged {
        let mut pending = Unacknowledged::default();
        for number in 1..=count {
            pending.add(id(number), 1_000);
        }
        pending
    }

    /// Runs a round in which each notification has this outcome. Returns the jobs that were sent.
    fn round(pending: &mut Unacknowledged, now: u64, delivery: Delivery) -> Vec<Id> {
        let mut sent = Vec::new();
        pending.round(now, |id| {
            sent.push(id.clone());
            delivery
        });
        sent
    }

    /// A box that accepted a cancellation before it knew any owner must still notify the owner
    /// later.
    #[test]
    fn round_until_acknowledged() {
        let mut pending = pending(1);
        assert_eq!(round(&mut pending, 1_000, Delivery::Unreachable), [id(1)]);
        assert_eq!(round(&mut pending, 1_250, Delivery::Rejected), [id(1)]);
        assert_eq!(round(&mut pending, 1_500, Delivery::Acknowledged), [id(1)]);
        assert!(round(&mut pending, 1_750, Delivery::Acknowledged).is_empty());
    }

    #[test]
    fn round_continues_after_rejection() {
        let mut pending = pending(3);
        let sent = round(&mut pending, 1_000, Delivery::Rejected);
        assert_eq!(sent, [id(1), id(2), id(3)]);
    }

    /// An unreachable owner costs each round one time-out, and the retries rotate through all jobs.
    #[test]
    fn round_ends_when_owner_is_unreachable() {
        let mut pending = pending(3);
        assert_eq!(round(&mut pending, 1_000, Delivery::Unreachable), [id(1)]);
        assert_eq!(round(&mut pending, 1_650, Delivery::Unreachable), [id(2)]);
        let sent = round(&mut pending, 2_300, Delivery::Acknowledged);
        assert_eq!(sent, [id(3), id(1), id(2)]);
    }

    #[test]
    fn round_drops_expired() {
        let mut pending = pending(1);
        assert_eq!(
            round(
                &mut pending,
                1_000 + NOTIFY_TIMEOUT_MS,
                Delivery::Unreachable
            )
            .len(),
            1
        );
        assert!(
            round(
                &mut pending,
                1_001 + NOTIFY_TIMEOUT_MS,
                Delivery::Unreachable
            )
            .is_empty()
        );
        assert!(pending.waiting.is_empty());
    }

    /// Repeating a cancellation restarts its retry period and does not send it twice.
    #[test]
    fn add_restarts_retry_period() {
        let mut pending = pending(1);
        pending.add(id(1), 5_000);
        let sent = round(&mut pending, 5_000 + NOTIFY_TIMEOUT_MS, Delivery::Rejected);
        assert_eq!(sent, [id(1)]);
    }
}
