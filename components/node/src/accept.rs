//! Acceptance of jobs: a submission is confirmed only after the store has written it.
//!
//! Submissions are queued to one task, which writes them to the store in groups.

use {
    crate::{
        admission::{self, Refusal, retry_seconds},
        callers::Reply,
        core::Node,
        decode, fence, keys,
        message::PeerRequest,
        peer,
        settings::{Settings, Takeover},
        spec_text,
        store::{ApplyResult, Change, MAX_ENTRIES},
        time,
    },
    job::{Id, Submission},
    kernel::Verdict,
    std::{
        collections::HashSet,
        sync::mpsc::{self, Receiver, SyncSender},
    },
};

/// The most jobs in one change. Each job takes two conditions and one or two writes.
const MAX_GROUP: usize = MAX_ENTRIES / 4;
/// The most attempts to write a group. After a conflict, the jobs that are already stored are
/// removed from it.
const MAX_ATTEMPTS: usize = 3;

/// A submission that waits to be written, and the channel for its reply.
pub struct Pending {
    submission: Submission,
    reply_sender: SyncSender<Reply>,
}

/// Queues submissions to the accepting task.
pub type Sender = mpsc::Sender<Pending>;

/// The queue of the accepting task.
pub fn channel() -> (Sender, Receiver<Pending>) {
    mpsc::channel()
}

/// Submits a job and waits for the reply. With `may_forward`, a box that cannot reach the store
/// forwards the job to the owner of the cell. A job that would end too late or can never run is
/// refused.
pub fn submit(node: &Node, submission: Submission, may_forward: bool) -> Reply {
    let attempt = node.shared.admission.underway.begin(&submission.id);
    if attempt.is_only
        && let Some(reply) = decline(node, &submission)
    {
        return reply;
    }
    let reply = submit_locally(node, &submission);
    let Reply::Busy(_) = reply else {
        return reply;
    };
    if !may_forward {
        return reply;
    }
    peer::forward(node, &PeerRequest::Submit(Box::new(submission)), reply)
}

/// Refuses a job that would end too late or can never run. A job that is stored already is confirmed
/// instead. `None` if the job is to be accepted, also if the store does not tell whether it is
/// stored.
fn decline(node: &Node, submission: &Submission) -> Option<Reply> {
    if !node.settings.admission {
        return None;
    }
    let known = &node.shared.admission.known;
    let refusal = admission::check(known, submission, time::now())?;
    if node.shared.is_store_unreachable() || node.shared.is_probe_slow() {
        return None;
    }
    let id = &submission.id;
    match admission::is_stored(&*node.external.store, id) {
        Ok(true) => {
            log::info!(target: "accept", job = id.as_str(); "A job that was submitted again is already stored.");
            return Some(Reply::Accepted);
        }
        Ok(false) => {}
        Err(failure) => {
            log::warn!(target: "accept", job = id.as_str(), error:% = failure; "Failed to read whether a job is stored; it is not refused.");
            return None;
        }
    }
    known.count_refusal(&submission.queue.name);
    Some(refuse_admission(submission, refusal))
}

/// The reply to a job that is refused by the figures of the owner, with a line in the log.
fn refuse_admission(submission: &Submission, refusal: Refusal) -> Reply {
    let (job, queue) = (submission.id.as_str(), &*submission.queue.name);
    match refusal {
        Refusal::NoRoom {
            retry_after,
            end,
            objective,
            age,
        } => {
            let retry_after = retry_seconds(retry_after, fastrand::f64());
            log::warn!(target: "accept", job, cause = "it would end too late", queue, end, objective, age, retry_after; "A job was refused and will not run.");
            metrics::counter!("magpie_refused_total", "reason" => "room").increment(1);
            let end = end.map_or("forever".to_owned(), |end| {
                format!("{:.1} s", end as f64 / 1e3)
            });
            let objective = objective as f64 / 1e3;
            let text = format!(
                "queue {queue} is full: the job would take {end}, its objective is {objective:.1} s; it was not accepted"
            );
            Reply::NoRoom(retry_after, text.into())
        }
        Refusal::Impossible(cause) => {
            log::warn!(target: "accept", job, cause = &*cause, queue; "A job was refused and will not run.");
            metrics::counter!("magpie_refused_total", "reason" => "impossible").increment(1);
            Reply::Impossible(cause)
        }
    }
}

/// Submits a job through this box. A box that cannot reach the store refuses at once, so that
/// callers do not wait for an unreachable store.
fn submit_locally(node: &Node, submission: &Submission) -> Reply {
    if node.shared.is_store_unreachable() || node.shared.is_probe_slow() {
        return refusal(
            node,
            submission,
            "store",
            "the store does not answer this box; nothing was written",
        );
    }
    let (reply_sender, reply) = mpsc::sync_channel(1);
    let pending = Pending {
        submission: submission.clone(),
        reply_sender,
    };
    match node.acceptor.send(pending) {
        Ok(()) => reply.recv().unwrap_or(Reply::Unsure),
        Err(_) => refusal(node, submission, "stopping", "the box is stopping"),
    }
}

/// The refusal of a job that was certainly not stored, with the time after which to retry. The
/// metric counts it under `reason`.
fn refusal(node: &Node, submission: &Submission, reason: &'static str, cause: &str) -> Reply {
    log::warn!(target: "accept", job = submission.id.as_str(), cause; "A job was refused and will not run.");
    metrics::counter!("magpie_refused_total", "reason" => reason).increment(1);
    let wait = node
        .shared
        .retry_after
        .record_refusal(time::now(), submission.queue.priority);
    Reply::Busy(wait)
}

/// Accepts queued jobs for as long as the box runs, several in one change.
pub fn run(node: &Node, queue: &Receiver<Pending>) {
    while let Ok(first) = queue.recv() {
        let mut group = vec![first];
        let mut ids: HashSet<Id> = HashSet::new();
        ids.insert(group[0].submission.id.clone());
        while group.len() < MAX_GROUP {
            let Ok(next) = queue.try_recv() else {
                break;
            };
            // The second entry of a job would violate the condition that its key is absent.
            if !ids.insert(next.submission.id.clone()) {
                send_reply(&next, Reply::Unsure);
                continue;
            }
            group.push(next);
        }
        accept(node, group);
    }
}

/// Accepts a group of jobs in one change.
///
/// After a failed call, the store is probed before any further write. A write without an answer has
/// an unknown outcome, while a job that was not sent can be refused with certainty.
fn accept(node: &Node, mut group: Vec<Pending>) {
    if node.shared.is_store_failing()
        && let Err(failure) = node.shared.probe(&*node.external.store)
    {
        refuse(
            node,
            &group,
            &format!("the store failed a probe, nothing was written: {failure}"),
        );
        return;
    }
    for _ in 0..MAX_ATTEMPTS {
        if group.is_empty() {
            return;
        }
        let named = entry_fence(node);
        for pending in &mut group {
            pending.submission.fence = named;
        }
        let change = change_for(&node.settings, &group);
        match node.external.store.apply(&change) {
            Ok(ApplyResult::Done(revision)) => {
                for pending in &group {
                    confirm(node, pending, named, revision);
                }
                return;
            }
            Ok(ApplyResult::Conflict(items)) => {
                let present: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
                group.retain(|pending| {
                    let id = &pending.submission.id;
                    let is_stored = present.contains(&*keys::job(id)) || present.contains(&*keys::state(id));
                    if is_stored {
                        log::info!(target: "accept", job = id.as_str(); "A job that was submitted again is already stored.");
                        send_reply(pending, Reply::Accepted);
                    }
                    !is_stored
                });
            }
            Ok(ApplyResult::NoLease) => break,
            Err(failure) if failure.verdict == Verdict::NotRun => {
                refuse(node, &group, &failure.to_string());
                return;
            }
            Err(_) => {
                resolve_unknown(node, &group);
                return;
            }
        }
    }
    refuse(
        node,
        &group,
        "the conditions of the write failed repeatedly",
    );
}

/// The fence that accepted jobs name.
fn entry_fence(node: &Node) -> u64 {
    match node.settings.takeover {
        Takeover::Gradual => node.shared.highest_fence.get(),
        Takeover::Complete => 0,
    }
}

/// The change that writes a group, on the condition that none of its jobs is stored.
fn change_for(settings: &Settings, group: &[Pending]) -> Change {
    let mut change = Change::default();
    for pending in group {
        let id = &pending.submission.id;
        change.expect.push((keys::job(id), 0));
        change.expect.push((keys::state(id), 0));
        change
            .put
            .extend(spec_text::writes(settings, &pending.submission));
    }
    change
}

/// Confirms a stored job to its caller and passes it to the cell. The stored entry names the fence
/// `named`.
fn confirm(node: &Node, pending: &Pending, named: u64, revision: u64) {
    let id = &pending.submission.id;
    log::info!(target: "accept", job = id.as_str(), queue = &*pending.submission.queue.name, revision; "A job was accepted.");
    metrics::counter!("magpie_accepted_total").increment(1);
    send_reply(pending, Reply::Accepted);
    let mut submission = spec_text::for_owner(&node.settings, &pending.submission);
    submission.fence = fence::valid_fence(named, revision);
    node.actor
        .tell(move |core, cx| core.handle_accepted(cx, submission));
}

/// Refuses all jobs of a group.
fn refuse(node: &Node, group: &[Pending], cause: &str) {
    for pending in group {
        send_reply(pending, refusal(node, &pending.submission, "store", cause));
    }
}

/// Reads each job back once after a write without an answer, to learn whether it took effect.
/// Another box may have written the entry that is found, with another fence.
fn resolve_unknown(node: &Node, group: &[Pending]) {
    for pending in group {
        let id = &pending.submission.id;
        let stored = match node.shared.is_store_unreachable() {
            true => None,
            false => node.external.store.get(&keys::job(id)).ok().flatten(),
        };
        log::warn!(target: "accept", job = id.as_str(), stands = stored.is_some(); "The store did not answer the write of a job.");
        match stored {
            Some(item) => match decode::submission(&item) {
                Ok(stored) => confirm(node, pending, stored.fence, item.revision),
                Err(error) => {
                    log::error!(target: "accept", job = id.as_str(), error:% = error; "The stored entry of a job cannot be decoded.");
                    send_reply(pending, Reply::Unsure);
                }
            },
            None => send_reply(pending, Reply::Unsure),
        }
    }
}

/// Replies to the caller, unless it has disconnected.
fn send_reply(pending: &Pending, reply: Reply) {
    let _ = pending.reply_sender.send(reply);
}
