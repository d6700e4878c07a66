//! What callers ask of a box, and what they are told.

use {
    crate::{
        accept, cancel,
        core::Node,
        decode, keys,
        message::{PeerRequest, PeerResponse},
        peer,
        retry_after::MIN_RETRY_AFTER,
    },
    job::{Id, Queue, Spec, State, Submission},
    kernel::{Failure, wall},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One request of a caller, on a queue that the configuration has.
#[derive(Debug, Clone)]
pub enum Call {
    /// To take a job.
    Submit(Arc<Queue>, Id, Box<Spec>),
    /// The state of a job.
    State(Id),
    /// To cancel a job.
    Cancel(Id),
    /// The jobs of a queue that wait.
    Waiting(Arc<Queue>),
}

impl Call {
    /// The kind of call, for metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Call::Submit(..) => "submit",
            Call::State(_) => "state",
            Call::Cancel(_) => "cancel",
            Call::Waiting(_) => "waiting",
        }
    }
}

/// What a caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is taken and kept.
    Accepted,
    /// The state of a job.
    State(State),
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// The number of jobs that wait.
    Waiting(usize),
    /// There is no such job.
    Gone,
    /// Surely not done; to be tried again after so many seconds.
    Busy(u64),
    /// It may have been done; the same request may be sent again.
    Unsure,
}

impl Node {
    /// Answers a caller.
    pub fn call(&self, call: Call) -> Reply {
        match call {
            Call::Submit(queue, id, spec) => {
                let submission = Submission {
                    id,
                    spec: *spec,
                    queue: (*queue).clone(),
                    accepted: wall::millis(),
                };
                accept::submit(self, submission, true)
            }
            Call::State(id) => self.state(&id),
            Call::Cancel(id) => cancel::cancel(self, &id, true),
            Call::Waiting(queue) => self.waiting(&queue),
        }
    }

    fn state(&self, id: &Id) -> Reply {
        let own = id.clone();
        if let Ok(Some(state)) = self.remote.ask(move |core, _| core.state(&own)) {
            return Reply::State(state);
        }
        if let Some(PeerResponse::State(Some(state))) =
            peer::call_owner(self, &PeerRequest::State(id.clone()))
        {
            return Reply::State(state);
        }
        self.kept_state(id).unwrap_or_else(|failure| {
            log::info!(target: "callers", job = id.as_str(), error:% = failure; "The state of a job cannot be read.");
            Reply::Busy(MIN_RETRY_AFTER)
        })
    }

    /// The state as the store has it, for when there is no owner or it does not know the job yet.
    fn kept_state(&self, id: &Id) -> Result<Reply, Failure> {
        let store = &self.external.store;
        let record = store.get(&keys::state(id))?;
        if let Some(item) = &record {
            let record = decode::record(item)?;
            if record.state.is_final() {
                return Ok(Reply::State(record.state));
            }
        }
        if store.get(&keys::cancel(id))?.is_some() {
            return Ok(Reply::State(State::Cancelled));
        }
        if record.is_some() {
            return Ok(Reply::State(State::Running));
        }
        if store.get(&keys::job(id))?.is_some() {
            return Ok(Reply::State(State::Queued));
        }
        // It may have ended between the two reads.
        let Some(item) = store.get(&keys::state(id))? else {
            return Ok(Reply::Gone);
        };
        Ok(Reply::State(decode::record(&item)?.state))
    }

    fn waiting(&self, queue: &Arc<Queue>) -> Reply {
        if let Ok(Some(waiting)) = peer::queue_length(self, queue.name.clone()) {
            return Reply::Waiting(waiting);
        }
        match peer::call_owner(self, &PeerRequest::Waiting(queue.name.clone())) {
            Some(PeerResponse::Waiting(Some(waiting))) => Reply::Waiting(waiting),
            _ => Reply::Busy(MIN_RETRY_AFTER),
        }
    }
}
