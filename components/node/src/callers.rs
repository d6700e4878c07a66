//! Requests of callers (submit, state, cancel, count of queued jobs) and the replies to them.

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
    kernel::{Failure, wall_clock},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A request of a caller, on a queue that exists in the configuration.
#[derive(Debug, Clone)]
pub enum Call {
    /// Submit a job.
    Submit(Arc<Queue>, Id, Box<Spec>),
    /// Get the state of a job.
    State(Id),
    /// Cancel a job.
    Cancel(Id),
    /// Count the jobs of a queue that wait to be scheduled.
    Waiting(Arc<Queue>),
}

impl Call {
    /// The label of this kind of request in metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Call::Submit(..) => "submit",
            Call::State(_) => "state",
            Call::Cancel(_) => "cancel",
            Call::Waiting(_) => "waiting",
        }
    }
}

/// The reply to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is accepted and stored.
    Accepted,
    /// The state of a job.
    State(State),
    /// The job is cancelled or had already ended.
    Cancelled,
    /// The number of jobs that wait to be scheduled.
    Waiting(usize),
    /// There is no such job.
    Gone,
    /// The request certainly had no effect; retry after this many seconds.
    Busy(u64),
    /// The outcome is unknown; the same request may safely be sent again.
    Unsure,
    /// The job would end too late and is not accepted, for this reason; such a job can succeed after
    /// this many seconds.
    NoRoom(u64, Arc<str>),
    /// The job can never run and is not accepted, for this reason.
    Impossible(Arc<str>),
}

impl Node {
    /// Handles the request of a caller.
    pub fn call(&self, call: Call) -> Reply {
        match call {
            Call::Submit(queue, id, spec) => {
                let submission = Submission {
                    id,
                    spec: *spec,
                    queue: (*queue).clone(),
                    accepted: wall_clock::millis(),
                    fence: 0,
                };
                accept::submit(self, submission, true)
            }
            Call::State(id) => self.state(&id),
            Call::Cancel(id) => cancel::cancel(self, &id, true),
            Call::Waiting(queue) => self.waiting(&queue),
        }
    }

    /// The state of a job, from the owner if possible and from the store otherwise.
    fn state(&self, id: &Id) -> Reply {
        let own = id.clone();
        if let Ok(Some(state)) = self.actor.ask(move |core, _| core.state(&own)) {
            return Reply::State(state);
        }
        if let Some(PeerResponse::State(Some(state))) =
            peer::call_owner(self, &PeerRequest::State(id.clone()))
        {
            return Reply::State(state);
        }
        self.stored_state(id).unwrap_or_else(|failure| {
            log::info!(target: "callers", job = id.as_str(), error:% = failure; "Failed to read the state of a job.");
            Reply::Busy(MIN_RETRY_AFTER)
        })
    }

    /// The state according to the store, for when there is no owner or the owner has not read the
    /// job yet.
    fn stored_state(&self, id: &Id) -> Result<Reply, Failure> {
        let store = &self.external.store;
        // The mark of a cancellation is removed when the end of the job is recorded, so it is read
        // first.
        let is_cancelled = store.get(&keys::cancel(id))?.is_some();
        let record = store.get(&keys::state(id))?;
        if let Some(item) = &record {
            let record = decode::record(item)?;
            if record.state.is_final() {
                return Ok(Reply::State(record.state));
            }
        }
        if is_cancelled {
            return Ok(Reply::State(State::Cancelled));
        }
        if record.is_some() {
            return Ok(Reply::State(State::Running));
        }
        if store.get(&keys::job(id))?.is_some() {
            return Ok(Reply::State(State::Queued));
        }
        // The job may have ended between the two reads.
        let Some(item) = store.get(&keys::state(id))? else {
            return Ok(Reply::Gone);
        };
        Ok(Reply::State(decode::record(&item)?.state))
    }

    /// The number of queued jobs, which only the owner knows.
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
