//! Calls between boxes: requests to another box or to the owner, and the handlers of such requests.

use {
    crate::{
        accept,
        callers::Reply,
        cancel,
        core::Node,
        decode,
        message::{ClosedHall, PeerRequest, PeerResponse, QueueStatus, RelayRequest},
        settings::{PEER_RETRY, PEER_TIMEOUT},
    },
    kernel::{Failure, Request, client::Timeout, server},
    std::sync::Arc,
};

/// HTTP path of calls between boxes.
pub const PATH: &str = "/peer";

/// Sends a request to the box at this address.
///
/// # Errors
///
/// The box gave no valid answer in time.
pub fn call(node: &Node, address: &str, request: &PeerRequest) -> Result<PeerResponse, Failure> {
    let url = format!("http://{address}{PATH}");
    let time = match request {
        // These calls are not retried: the refusal of a retry would not show whether the first
        // attempt took effect.
        PeerRequest::Submit(_) | PeerRequest::Cancel(_) => Timeout::from(PEER_TIMEOUT),
        _ => PEER_RETRY,
    };
    node.client.post(&url, request, time)
}

/// Sends a request to the owner of the cell. `None` when this box is the owner, or no owner is
/// known or answers.
pub fn call_owner(node: &Node, request: &PeerRequest) -> Option<PeerResponse> {
    let owner = node.shared.owner.load_full()?;
    if owner.name == node.settings.name {
        return None;
    }
    match call(node, &owner.address, request) {
        Ok(response) => Some(response),
        Err(failure) => {
            log::info!(target: "peer", owner = &*owner.name, error:% = failure; "A call to the owner failed.");
            None
        }
    }
}

/// Forwards a caller's request that this box cannot serve to the owner, and returns its reply.
/// Returns `reply` if the request surely had no effect there, and [`Reply::Unsure`] if it is unknown
/// whether it had one.
pub(crate) fn forward(node: &Node, request: &PeerRequest, reply: Reply) -> Reply {
    let Some(owner) = node.shared.owner.load_full() else {
        return reply;
    };
    if owner.name == node.settings.name {
        return reply;
    }
    match call(node, &owner.address, request) {
        Ok(PeerResponse::Reply(forwarded)) => forwarded,
        Ok(_) => Reply::Unsure,
        Err(failure) if failure.is_not_run() => reply,
        Err(_) => Reply::Unsure,
    }
}

/// Handles a call of another box.
pub fn handle(node: &Node, request: Request) {
    let result = request
        .message()
        .and_then(|call: PeerRequest| dispatch(node, call));
    request.respond(server::Reply::message(&result));
}

/// Handles the exchange of a relay on the actor, without blocking.
pub fn handle_relay(node: &Node, mut request: Request) {
    let exchange: RelayRequest = match request.message() {
        Ok(exchange) => exchange,
        Err(failure) => return request.respond(server::Reply::failure(&failure)),
    };
    request.discard_body();
    let has_narrow_link = node.settings.has_narrow_link();
    node.actor.tell(move |core, cx| {
        let response = Ok(core.handle_exchange(cx, exchange));
        request.respond(if has_narrow_link {
            server::Reply::compressed(&response)
        } else {
            server::Reply::compact(&response)
        });
    });
}

fn dispatch(node: &Node, request: PeerRequest) -> Result<PeerResponse, Failure> {
    match request {
        PeerRequest::State(id) => {
            let state = node.actor.ask(move |core, _| core.state(&id))?;
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
        PeerRequest::Pressure { passed } => {
            Ok(PeerResponse::Pressure(queue_statuses(node, passed)?))
        }
    }
}

/// Number of waiting jobs of a queue; `None` when this box does not own the cell or its ownership
/// is unconfirmed.
pub(crate) fn queue_length(node: &Node, queue: Arc<str>) -> Result<Option<usize>, Failure> {
    node.actor.ask(move |core, _| {
        let ownership = core.confirmed_ownership()?;
        Some(ownership.cell.queued_jobs(&queue))
    })
}

/// The closed data halls, as known by the owner of the cell; `None` when no owner answers. A
/// request that another box has forwarded (`passed`) is not forwarded again.
///
/// # Errors
///
/// The box is shutting down.
pub fn closed_halls(node: &Node, passed: bool) -> Result<Option<Vec<ClosedHall>>, Failure> {
    let own = node.actor.ask(|core, _| core.closed_halls())?;
    if own.is_some() || passed {
        return Ok(own);
    }
    match call_owner(node, &PeerRequest::Halls { passed: true }) {
        Some(PeerResponse::Halls(halls)) => Ok(halls),
        _ => Ok(None),
    }
}

/// What waits in each queue, as known by the owner of the cell, with the refusals of this box; `None`
/// when no owner answers. A request that another box has forwarded (`passed`) is not forwarded again.
///
/// # Errors
///
/// The box is shutting down.
pub fn queue_statuses(node: &Node, passed: bool) -> Result<Option<Vec<QueueStatus>>, Failure> {
    let mut statuses = node.actor.ask(|core, _| core.queue_statuses())?;
    if statuses.is_none() && !passed {
        statuses = match call_owner(node, &PeerRequest::Pressure { passed: true }) {
            Some(PeerResponse::Pressure(statuses)) => statuses,
            _ => None,
        };
    }
    for status in statuses.iter_mut().flatten() {
        status.refused = node.shared.admission.known.refused(&status.queue);
    }
    Ok(statuses)
}

fn probe(node: &Node, release: bool) -> Result<PeerResponse, Failure> {
    let cut_off = node.shared.is_store_unreachable();
    let owning = node.actor.ask(move |core, _| {
        if release && cut_off {
            core.end_ownership("the store is unreachable from here and another box can reach it");
        }
        core.ownership.is_some()
    })?;
    Ok(PeerResponse::Owning { owning, cut_off })
}
