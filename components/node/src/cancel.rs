//! Cancellation of jobs: durable before it is confirmed, then told to the owner until it knows of it.

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
    kernel::{Verdict, wall},
    std::{
        collections::VecDeque,
        sync::mpsc::{self, Receiver},
        thread,
    },
};

/// The way to the task that tells the owner again.
pub type Sender = mpsc::Sender<Id>;

/// The way to the task that tells the owner again, and its end.
pub fn channel() -> (Sender, Receiver<Id>) {
    mpsc::channel()
}

/// Cancels a job. With `may_pass`, a box that does not reach the store passes it to the owner of the
/// cell.
pub fn cancel(node: &Node, id: &Id, may_pass: bool) -> Reply {
    let reply = cancel_here(node, id);
    match reply {
        Reply::Busy(_) if may_pass => peer::forward(node, &PeerRequest::Cancel(id.clone()), reply),
        _ => reply,
    }
}

fn cancel_here(node: &Node, id: &Id) -> Reply {
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
        put: vec![put(keys::cancel(id), &wall::millis(), 0)],
        remove: Vec::new(),
    };
    match store.apply(&change) {
        Ok(ApplyResult::Done(_)) => {
            log::info!(target: "cancel", job = id.as_str(); "A job is cancelled.");
            tell_owner(node, id);
            Reply::Cancelled
        }
        Ok(ApplyResult::Conflict(_)) => cancel_ended(node, id),
        Ok(ApplyResult::NoLease) => Reply::Unsure,
        Err(failure) if failure.verdict == Verdict::NotRun => Reply::Busy(MIN_RETRY_AFTER),
        Err(_) => Reply::Unsure,
    }
}

/// A job that has ended has nothing left to cancel; one that never was cannot be.
fn cancel_ended(node: &Node, id: &Id) -> Reply {
    match node.external.store.get(&keys::state(id)) {
        Ok(Some(_)) => Reply::Cancelled,
        Ok(None) => Reply::Gone,
        Err(_) => Reply::Busy(MIN_RETRY_AFTER),
    }
}

/// Tells the owner at once of a cancellation that is written down: its watch brings it too, but may
/// have gone silent. What it does not confirm is told again.
fn tell_owner(node: &Node, id: &Id) {
    if tell(node, id) == Heard::Known {
        return;
    }
    log::info!(target: "cancel", job = id.as_str(); "The owner has not confirmed a cancellation; it is told again.");
    // The task lives as long as the box.
    let _ = node.unconfirmed.send(id.clone());
}

/// What a try to tell the owner brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Heard {
    /// The owner has taken the cancellation in.
    Known,
    /// The box that was told does not own the cell, or does not know the job yet.
    Unknown,
    /// No owner is known here, or it gave no answer.
    Nothing,
}

/// Tries once to tell the owner of a cancellation.
fn tell(node: &Node, id: &Id) -> Heard {
    if is_taken_in(node, id) {
        return Heard::Known;
    }
    match peer::call_owner(node, &PeerRequest::Cancelled(id.clone())) {
        Some(PeerResponse::Reply(Reply::Cancelled)) => Heard::Known,
        Some(_) => Heard::Unknown,
        None => Heard::Nothing,
    }
}

/// Takes in a cancellation that is written down. False when this box does not own the cell, or does
/// not know the job yet.
fn is_taken_in(node: &Node, id: &Id) -> bool {
    let id = id.clone();
    node.remote.ask(move |core, cx| core.handle_cancel(cx, &id)) == Ok(true)
}

/// Answers a box that tells of a cancellation: it is told again until the job is known here.
pub(crate) fn receive(node: &Node, id: &Id) -> Reply {
    if is_taken_in(node, id) {
        Reply::Cancelled
    } else {
        Reply::Gone
    }
}

/// Tells the owner again of what it has not confirmed, for as long as the process lives.
///
/// Before each round the owner's key is read, since this box may not know the owner yet, or know a former
/// one: four reads of the store a second at most, and none while everything is confirmed.
pub fn run(node: &Node, fresh: &Receiver<Id>) {
    let mut untold = Untold::default();
    loop {
        if untold.waiting.is_empty() {
            let Ok(id) = fresh.recv() else {
                return;
            };
            untold.add(id, time::now());
        }
        for id in fresh.try_iter() {
            untold.add(id, time::now());
        }
        owner_watch::refresh(node);
        untold.round(time::now(), |id| tell(node, id));
        thread::sleep(NOTIFY_INTERVAL);
    }
}

/// Cancellations that the owner has not confirmed, and since when.
#[derive(Default)]
struct Untold {
    waiting: VecDeque<(Id, u64)>,
}

impl Untold {
    /// Takes a cancellation in, or counts its time anew.
    fn add(&mut self, id: Id, now: u64) {
        self.waiting.retain(|(other, _)| *other != id);
        self.waiting.push_back((id, now));
    }

    /// Tells of each once. After a try that brought nothing the others wait for the next round, which
    /// begins with them.
    fn round(&mut self, now: u64, mut tell: impl FnMut(&Id) -> Heard) {
        for _ in 0..self.waiting.len() {
            let Some((id, since)) = self.waiting.pop_front() else {
                return;
            };
            if now > since + NOTIFY_TIMEOUT_MS {
                log::warn!(target: "cancel", job = id.as_str(); "The owner has not confirmed a cancellation in time; its watch has to bring it.");
                continue;
            }
            let heard = tell(&id);
            if heard == Heard::Known {
                log::info!(target: "cancel", job = id.as_str(), took = now - since; "The owner has confirmed a cancellation.");
                continue;
            }
            self.waiting.push_back((id, since));
            if heard == Heard::Nothing {
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

    /// Cancellations of the jobs 1 to `count`, since the time 1,000.
    fn untold(count: u64) -> Untold {
        let mut untold = Untold::default();
        for number in 1..=count {
            untold.add(id(number), 1_000);
        }
        untold
    }

    /// Makes a round in which each try brings this. Returns the jobs that were told of.
    fn round(untold: &mut Untold, now: u64, heard: Heard) -> Vec<Id> {
        let mut told = Vec::new();
        untold.round(now, |id| {
            told.push(id.clone());
            heard
        });
        told
    }

    /// Seen when a box took a cancellation before it had heard of any owner: it was told to nobody, and
    /// never again.
    #[test]
    fn round_until_known() {
        let mut untold = untold(1);
        assert_eq!(round(&mut untold, 1_000, Heard::Nothing), [id(1)]);
        assert_eq!(round(&mut untold, 1_250, Heard::Unknown), [id(1)]);
        assert_eq!(round(&mut untold, 1_500, Heard::Known), [id(1)]);
        assert!(round(&mut untold, 1_750, Heard::Known).is_empty());
    }

    #[test]
    fn round_goes_on_after_unknown() {
        let mut untold = untold(3);
        let told = round(&mut untold, 1_000, Heard::Unknown);
        assert_eq!(told, [id(1), id(2), id(3)]);
    }

    /// An owner without an answer costs each round one time-out, and no job waits behind another.
    #[test]
    fn round_ends_without_answer() {
        let mut untold = untold(3);
        assert_eq!(round(&mut untold, 1_000, Heard::Nothing), [id(1)]);
        assert_eq!(round(&mut untold, 1_650, Heard::Nothing), [id(2)]);
        let told = round(&mut untold, 2_300, Heard::Known);
        assert_eq!(told, [id(3), id(1), id(2)]);
    }

    #[test]
    fn round_gives_up() {
        let mut untold = untold(1);
        assert_eq!(
            round(&mut untold, 1_000 + NOTIFY_TIMEOUT_MS, Heard::Nothing).len(),
            1
        );
        assert!(round(&mut untold, 1_001 + NOTIFY_TIMEOUT_MS, Heard::Nothing).is_empty());
        assert!(untold.waiting.is_empty());
    }

    /// A caller may send the same cancellation again.
    #[test]
    fn add_twice() {
        let mut untold = untold(1);
        untold.add(id(1), 5_000);
        let told = round(&mut untold, 5_000 + NOTIFY_TIMEOUT_MS, Heard::Unknown);
        assert_eq!(told, [id(1)]);
    }
}
