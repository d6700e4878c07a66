//! Acceptance of jobs: durable before they are confirmed.

use {
    crate::{
        callers::Reply,
        core::Node,
        keys,
        message::PeerRequest,
        peer, spec_text,
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

/// Each job takes two conditions and one or two writes.
const GROUP: usize = MAX_ENTRIES / 4;
/// How often a group is tried anew after the jobs that stand already were taken out.
const TRIES: usize = 3;

/// One job on its way into the store, and where its answer goes.
pub struct Pending {
    submission: Submission,
    answer: SyncSender<Reply>,
}

/// The way to the task that accepts jobs.
pub type Sender = mpsc::Sender<Pending>;

/// The way to the accepting task, and its end.
pub fn channel() -> (Sender, Receiver<Pending>) {
    mpsc::channel()
}

/// Hands a job in and waits for the answer. With `may_pass`, a box that does not reach the store
/// passes it to the owner of the cell.
pub fn submit(node: &Node, submission: Submission, may_pass: bool) -> Reply {
    let reply = submit_here(node, &submission);
    let Reply::Busy(_) = reply else {
        return reply;
    };
    if !may_pass {
        return reply;
    }
    peer::forward(node, &PeerRequest::Submit(Box::new(submission)), reply)
}

/// Hands a job to the accepting task. A box that is cut off from the store sends nothing and says
/// so at once, instead of letting callers wait for a silent store.
fn submit_here(node: &Node, submission: &Submission) -> Reply {
    if node.shared.is_store_unreachable() || node.shared.is_probe_slow() {
        return refusal(
            node,
            submission,
            "the store does not answer this box, nothing was sent",
        );
    }
    let (answer, answered) = mpsc::sync_channel(1);
    let knock = Pending {
        submission: submission.clone(),
        answer,
    };
    match node.acceptor.send(knock) {
        Ok(()) => answered.recv().unwrap_or(Reply::Unsure),
        Err(_) => refusal(node, submission, "the box is stopping"),
    }
}

/// Refuses a job that surely does not run, and says when to come back.
fn refusal(node: &Node, submission: &Submission, cause: &str) -> Reply {
    log::warn!(target: "accept", job = submission.id.as_str(), cause; "A job is refused; it surely does not run.");
    metrics::counter!("magpie_refused_total").increment(1);
    let wait = node
        .shared
        .retry_after
        .record_refusal(time::now(), submission.queue.priority);
    Reply::Busy(wait)
}

/// Accepts jobs, several in one change.
pub fn run(node: &Node, knocks: &Receiver<Pending>) {
    while let Ok(first) = knocks.recv() {
        let mut group = vec![first];
        let mut ids: HashSet<Id> = HashSet::new();
        ids.insert(group[0].submission.id.clone());
        while group.len() < GROUP {
            let Ok(next) = knocks.try_recv() else {
                break;
            };
            // The same job twice in one change would contradict itself.
            if !ids.insert(next.submission.id.clone()) {
                answer(&next, Reply::Unsure);
                continue;
            }
            group.push(next);
        }
        accept(node, group);
    }
}

/// Accepts a group of jobs in one change.
///
/// Once the store has failed this box, no write leaves until a read has come back: a write without an
/// answer leaves the caller unsure, while without one the refusal is a true "not run".
fn accept(node: &Node, mut group: Vec<Pending>) {
    if node.shared.is_store_failing()
        && let Err(failure) = node.shared.probe(&*node.external.store)
    {
        refuse(node, &group, &format!("nothing was sent: {failure}"));
        return;
    }
    for _ in 0..TRIES {
        if group.is_empty() {
            return;
        }
        match node.external.store.apply(&change_of(node, &group)) {
            Ok(ApplyResult::Done(revision)) => {
                for knock in &group {
                    confirm(node, knock, revision);
                }
                return;
            }
            Ok(ApplyResult::Conflict(items)) => {
                let taken: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
                group.retain(|knock| {
                    let id = &knock.submission.id;
                    let stands = taken.contains(&*keys::job(id)) || taken.contains(&*keys::state(id));
                    if stands {
                        log::info!(target: "accept", job = id.as_str(); "A job is submitted again; it stands already.");
                        answer(knock, Reply::Accepted);
                    }
                    !stands
                });
            }
            Ok(ApplyResult::NoLease) => break,
            Err(failure) if failure.verdict == Verdict::NotRun => {
                refuse(node, &group, &failure.to_string());
                return;
            }
            Err(_) => {
                settle(node, &group);
                return;
            }
        }
    }
    refuse(node, &group, "its conditions do not come true");
}

fn change_of(node: &Node, group: &[Pending]) -> Change {
    let mut change = Change::default();
    for knock in group {
        let id = &knock.submission.id;
        change.expect.push((keys::job(id), 0));
        change.expect.push((keys::state(id), 0));
        change
            .put
            .extend(spec_text::writes(&node.settings, &knock.submission));
    }
    change
}

fn confirm(node: &Node, knock: &Pending, revision: u64) {
    let id = &knock.submission.id;
    log::info!(target: "accept", job = id.as_str(), queue = &*knock.submission.queue.name, revision; "A job is accepted.");
    metrics::counter!("magpie_accepted_total").increment(1);
    answer(knock, Reply::Accepted);
    let submission = spec_text::for_owner(&node.settings, &knock.submission);
    node.remote
        .tell(move |core, cx| core.handle_accepted(cx, submission));
}

fn refuse(node: &Node, group: &[Pending], cause: &str) {
    for knock in group {
        answer(knock, refusal(node, &knock.submission, cause));
    }
}

/// The write has no answer: reads once whether it took effect.
fn settle(node: &Node, group: &[Pending]) {
    for knock in group {
        let id = &knock.submission.id;
        let stands = match node.shared.is_store_unreachable() {
            true => None,
            false => node.external.store.get(&keys::job(id)).ok().flatten(),
        };
        log::warn!(target: "accept", job = id.as_str(), stands = stands.is_some(); "The write of a job has no answer.");
        match stands {
            Some(item) => confirm(node, knock, item.revision),
            None => answer(knock, Reply::Unsure),
        }
    }
}

/// A caller that has gone needs no answer.
fn answer(knock: &Pending, reply: Reply) {
    let _ = knock.answer.send(reply);
}
