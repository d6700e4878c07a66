//! Calls between boxes.

use {
    crate::{
        accept,
        callers::Reply,
        cancel,
        core::Node,
        kept,
        message::{Ask, Offer, Shut, Told},
        settings::{PEER_TIMEOUT, PEER_TWICE},
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
pub fn ask(node: &Node, address: &str, ask: &Ask) -> Result<Told, Failure> {
    let url = format!("http://{address}{PATH}");
    let time = match ask {
        // Its refusal has to be true, and that of a second try says nothing of the first.
        Ask::Submit(_) | Ask::Cancel(_) => Time::from(PEER_TIMEOUT),
        _ => PEER_TWICE,
    };
    node.client.post(&url, ask, time)
}

/// Asks the owner of the cell, when it is another box.
pub fn ask_owner(node: &Node, question: &Ask) -> Option<Told> {
    let owner = node.shared.owner.load_full()?;
    if owner.name == node.settings.name {
        return None;
    }
    match ask(node, &owner.address, question) {
        Ok(told) => Some(told),
        Err(failure) => {
            log::info!(target: "peer", owner = &*owner.name, error:% = failure; "The owner does not answer.");
            None
        }
    }
}

/// Lets the owner do what this box cannot. Without an owner that answers, nothing was sent.
pub(crate) fn pass_on(node: &Node, question: &Ask, reply: Reply) -> Reply {
    let Some(owner) = node.shared.owner.load_full() else {
        return reply;
    };
    if owner.name == node.settings.name {
        return reply;
    }
    match ask(node, &owner.address, question) {
        Ok(Told::Reply(passed)) => passed,
        Ok(_) => Reply::Unsure,
        Err(failure) if failure.is_not_run() => reply,
        Err(_) => Reply::Unsure,
    }
}

/// Answers another box.
pub fn answer(node: &Node, request: Request) {
    let result = request.message().and_then(|ask: Ask| told(node, ask));
    request.respond(server::Reply::message(&result));
}

/// Has the actor answer a relay.
pub fn answer_relay(node: &Node, request: Request) {
    let offer: Offer = match request.message() {
        Ok(offer) => offer,
        Err(failure) => return request.respond(server::Reply::failure(&failure)),
    };
    let is_narrow = node.settings.is_narrow();
    node.remote.tell(move |core, cx| {
        let duty = Ok(core.take_offer(cx, offer));
        request.respond(if is_narrow {
            server::Reply::packed(&duty)
        } else {
            server::Reply::compact(&duty)
        });
    });
}

fn told(node: &Node, ask: Ask) -> Result<Told, Failure> {
    match ask {
        Ask::State(id) => {
            let state = node.remote.ask(move |core, _| core.state(&id))?;
            Ok(Told::State(state))
        }
        Ask::Waiting(queue) => Ok(Told::Waiting(waiting(node, queue)?)),
        Ask::Submit(submission) => {
            let submission = kept::sound(*submission)?;
            Ok(Told::Reply(accept::submit(node, submission, false)))
        }
        Ask::Cancel(id) => Ok(Told::Reply(cancel::cancel(node, &id, false))),
        Ask::Cancelled(id) => Ok(Told::Reply(cancel::told(node, &id))),
        Ask::Probe { release } => probe(node, release),
        Ask::Halls { passed } => Ok(Told::Halls(halls(node, passed)?)),
    }
}

/// The jobs of a queue that wait; `None` when this box does not own the cell.
pub(crate) fn waiting(node: &Node, queue: Arc<str>) -> Result<Option<usize>, Failure> {
    node.remote.ask(move |core, _| {
        let tenure = core.sure()?;
        Some(tenure.cell.queued_jobs(&queue))
    })
}

/// The data halls that are shut, as the owner of the cell knows them; `None` where no owner answers. A question that
/// another box has `passed` on goes no further.
///
/// # Errors
///
/// The box is stopping.
pub fn halls(node: &Node, passed: bool) -> Result<Option<Vec<Shut>>, Failure> {
    let own = node.remote.ask(|core, _| core.halls())?;
    if own.is_some() || passed {
        return Ok(own);
    }
    match ask_owner(node, &Ask::Halls { passed: true }) {
        Some(Told::Halls(halls)) => Ok(halls),
        _ => Ok(None),
    }
}

fn probe(node: &Node, release: bool) -> Result<Told, Failure> {
    let cut_off = node.shared.is_cut_off();
    let owning = node.remote.ask(move |core, _| {
        if release && cut_off {
            core.depose("it is cut off from the store, and another box is not");
        }
        core.tenure.is_some()
    })?;
    Ok(Told::Owning { owning, cut_off })
}
