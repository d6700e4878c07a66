//! Calls between boxes.

use {
    crate::{
        accept,
        callers::Reply,
        cancel,
        core::Node,
        decode,
        message::{ClosedHall, PeerRequest, PeerResponse, RelayRequest},
        settings::{PEER_RETRY, PEER_TIMEOUT},
    },
    kernel::{Failure, Request, client::Time, server},
    std::sync::Arc,
};

/// The path of calls between boxes.
pub const PATH: &str = "/peer";

/// Asks another box.
///
/// # Errors
///
/// It gave no usable answer.
pub fn call(node: &Node, address: &str, ask: &PeerRequest) -> Result<PeerResponse, Failure> {
    let url = format!("http://{address}{PATH}");
    let time = match ask {
        // Its refusal has to be true, and that of a second try says nothing of the first.
        PeerRequest::Submit(_) | PeerRequest::Cancel(_) => Time::from(PEER_TIMEOUT),
        _ => PEER_RETRY,
    };
    node.client.post(&url, ask, time)
}

/// Asks the owner of the cell, when it is another box.
pub fn call_owner(node: &Node, question: &PeerRequest) -> Option<PeerResponse> {
    let owner = node.shared.owner.load_full()?;
    if owner.name == node.settings.name {
        return None;
    }
    match call(node, &owner.address, question) {
        Ok(told) => Some(told),
        Err(failure) => {
            log::info!(target: "peer", owner = &*owner.name, error:% = failure; "The owner does not answer.");
            None
        }
    }
}

/// Lets the owner do what this box cannot. Without an owner that answers, nothing was sent.
pub(crate) fn forward(node: &Node, question: &PeerRequest, reply: Reply) -> Reply {
    let Some(owner) = node.shared.owner.load_full() else {
        return reply;
    };
    if owner.name == node.settings.name {
        return reply;
    }
    match call(node, &owner.address, question) {
        Ok(PeerResponse::Reply(passed)) => passed,
        Ok(_) => Reply::Unsure,
        Err(failure) if failure.is_not_run() => reply,
        Err(_) => Reply::Unsure,
    }
}

/// Answers another box.
pub fn handle(node: &Node, request: Request) {
    let result = request
        .message()
        .and_then(|ask: PeerRequest| dispatch(node, ask));
    request.respond(server::Reply::message(&result));
}

/// Has the actor answer a relay.
pub fn handle_relay(node: &Node, request: Request) {
    let offer: RelayRequest = match request.message() {
        Ok(offer) => offer,
        Err(failure) => return request.respond(server::Reply::failure(&failure)),
    };
    let has_narrow_link = node.settings.has_narrow_link();
    node.remote.tell(move |core, cx| {
        let duty = Ok(core.take_offer(cx, offer));
        request.respond(if has_narrow_link {
            server::Reply::packed(&duty)
        } else {
            server::Reply::compact(&duty)
        });
    });
}

fn dispatch(node: &Node, ask: PeerRequest) -> Result<PeerResponse, Failure> {
    match ask {
        PeerRequest::State(id) => {
            let state = node.remote.ask(move |core, _| core.state(&id))?;
            Ok(PeerResponse::State(state))
        }
        PeerRequest::Waiting(queue) => Ok(PeerResponse::Waiting(queue_length(node, queue)?)),
        PeerRequest::Submit(submission) => {
            let submission = decode::validate(*submission)?;
            Ok(PeerResponse::Reply(accept::submit(node, submission, false)))
        }
        PeerRequest::Cancel(id) => Ok(PeerResponse::Reply(cancel::cancel(node, &id, false))),
        PeerRequest::Cancelled(id) => Ok(PeerResponse::Reply(cancel::receive(node, &id))),
        PeerRequest::Probe { release } => probe(node, release),
        PeerRequest::Halls { passed } => Ok(PeerResponse::Halls(closed_halls(node, passed)?)),
    }
}

/// The jobs of a queue that wait; `None` when this box does not own the cell.
pub(crate) fn queue_length(node: &Node, queue: Arc<str>) -> Result<Option<usize>, Failure> {
    node.remote.ask(move |core, _| {
        let ownership = core.confirmed_ownership()?;
        Some(ownership.cell.queued_jobs(&queue))
    })
}

/// The data halls that are shut, as the owner of the cell knows them; `None` where no owner answers. A question that
/// another box has `passed` on goes no further.
///
/// # Errors
///
/// The box is stopping.
pub fn closed_halls(node: &Node, passed: bool) -> Result<Option<Vec<ClosedHall>>, Failure> {
    let own = node.remote.ask(|core, _| core.halls())?;
    if own.is_some() || passed {
        return Ok(own);
    }
    match call_owner(node, &PeerRequest::Halls { passed: true }) {
        Some(PeerResponse::Halls(halls)) => Ok(halls),
        _ => Ok(None),
    }
}

fn probe(node: &Node, release: bool) -> Result<PeerResponse, Failure> {
    let cut_off = node.shared.is_store_unreachable();
    let owning = node.remote.ask(move |core, _| {
        if release && cut_off {
            core.end_ownership("it is cut off from the store, and another box is not");
        }
        core.ownership.is_some()
    })?;
    Ok(PeerResponse::Owning { owning, cut_off })
}
