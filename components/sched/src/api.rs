//! The HTTP interface of a scheduler: jobs, workers and cells.

use {
    crate::{
        actor::Scheduler,
        directory::Summary,
        job::{self, Status},
        message::{Cancel, Drain, Exchange, JobQuery, ListQuery, Submit, Takeover, Worker},
    },
    kernel::{
        ActorRef, Client, Failure, Reply, Request,
        client::Timeout,
        ops::{self, Readiness},
        verdict::Cause,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time-out of a call to another scheduler.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time-out of a call that lists all jobs or workers of a cell.
const LIST_TIMEOUT: Timeout = Timeout::single(PEER_TIMEOUT).streaming();

/// Maximum wait of a request for a write to the store. The server must keep answering other
/// schedulers while the store is down.
const MAX_WRITE_WAIT: Duration = Duration::from_secs(3);

/// Time-out of the probe of an owner before a request is forwarded to it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The request handler.
pub struct Port {
    /// The actor.
    pub actor: ActorRef<Scheduler>,
    /// The client for calls to other schedulers.
    pub client: Client,
    /// Whether the process accepts requests.
    pub ready: Readiness,
}

/// Responds with the result of a closure on the request's message.
fn respond_with<M: DeserializeOwned, R: Serialize>(
    request: Request,
    run: impl FnOnce(M) -> Result<R, Failure>,
) {
    let result = request.message().and_then(run);
    request.respond(Reply::message(&result));
}

impl Port {
    /// Handles one request.
    pub fn handle(&self, request: Request) {
        let able = || self.actor.ask(|sched, _| sched.is_ready());
        let ready = || self.ready.get() && able().unwrap_or(false);
        let Some(request) = ops::route(request, ready) else {
            return;
        };
        let path = request.path.clone();
        match path.as_str() {
            "/jobs/plan" => respond_with(request, |submit: Submit| {
                self.route(&submit).map(|(id, _)| id)
            }),
            "/jobs/submit" => self.submit(request),
            "/jobs/show" => respond_with(request, |query: JobQuery| self.show(&query)),
            "/jobs/list" => respond_with(request, |query: ListQuery| self.list(&query)),
            "/jobs/cancel" => self.cancel(request),
            "/workers/list" => respond_with(request, |query: ListQuery| self.workers(&query)),
            "/workers/drain" => respond_with(request, |drain: Drain| self.drain(&drain)),
            "/cells/list" => respond_with(request, |_: ListQuery| self.cells()),
            "/cells/exchange" => {
                respond_with(request, |exchange: Exchange| self.exchange(exchange))
            }
            "/cells/takeover" => respond_with(request, |takeover: Takeover| {
                self.actor
                    .ask(move |sched, _| sched.accept_handover(takeover.cell))
            }),
            _ => request.respond(Reply::text(404, "no such path\n")),
        }
    }

    /// Accepts a job, or forwards it to the owner of its cell.
    fn submit(&self, request: Request) {
        let submit: Submit = match request.message() {
            Ok(submit) => submit,
            Err(failure) => return request.respond(Reply::failure(&failure)),
        };
        let routed = self.route(&submit);
        let (id, owned) = match routed {
            Ok(routed) => routed,
            Err(failure) => return request.respond(Reply::failure(&failure)),
        };
        if !owned {
            let forwarded = Submit {
                id: Some(id.clone()),
                passed: true,
                ..submit
            };
            let status: Result<Status, Failure> =
                self.forward(&id, submit.passed, "/jobs/submit", &forwarded);
            return request.respond(Reply::message(&status));
        }
        let actor = self.actor.clone();
        self.actor.tell(move |sched, _| {
            let job_id = id.clone();
            let done = move |result: Result<(), Failure>| {
                // Reads the status on the actor after the write, without blocking this thread.
                actor.tell(move |sched, _| {
                    let status = result.and_then(|()| sched.status(&job_id));
                    request.respond(Reply::message(&status));
                });
            };
            sched.submit(&id, submit.spec, Box::new(done));
        });
    }

    /// Returns the id of a submission, and whether this process owns its cell.
    fn route(&self, submit: &Submit) -> Result<(Arc<str>, bool), Failure> {
        let submit = submit.clone();
        self.actor.ask(move |sched, _| {
            let id = match submit.id {
                Some(id) => id,
                None => job::id(&sched.select_cell(&submit.spec)?, submit.key),
            };
            let Some(cell) = job::cell_of(&id) else {
                return Err(Failure::not_run(
                    Cause::Invalid,
                    format!("'{id}' is no id of a job"),
                ));
            };
            let owned = sched.owns(cell);
            Ok((id, owned))
        })?
    }

    /// Forwards a request to the owner of a job's cell, unless it was forwarded before.
    fn forward<T: Serialize, R: DeserializeOwned>(
        &self,
        id: &str,
        passed: bool,
        path: &str,
        message: &T,
    ) -> Result<R, Failure> {
        let cell = job::cell_of(id).unwrap_or_default();
        let text = format!("cell {cell} has no owner that is known here; try again");
        let unknown = Failure::not_run(Cause::Busy, text);
        if passed {
            return Err(unknown);
        }
        let url = self.reachable_owner(cell)?.ok_or(unknown)?;
        self.client
            .post(&format!("{url}{path}"), message, PEER_TIMEOUT)
    }

    /// Returns the base URL of a cell's owner after a successful probe; `None` when no owner is
    /// known.
    ///
    /// A hanging owner would delay the request and leave its outcome unknown, so the owner's
    /// summary is requested first.
    fn reachable_owner(&self, cell: &str) -> Result<Option<Arc<str>>, Failure> {
        let cell_name = cell.to_owned();
        let url = self
            .actor
            .ask(move |sched, _| sched.owner_url(&cell_name))?;
        let Some(url) = url else { return Ok(None) };
        let message = Exchange {
            want: Some(Arc::from(cell)),
            summaries: Vec::new(),
        };
        let result: Result<Vec<Summary>, Failure> =
            self.client
                .post(&format!("{url}/cells/exchange"), &message, PROBE_TIMEOUT);
        match result {
            Ok(summaries) => {
                self.actor
                    .tell(move |sched, cx| sched.merge(summaries, cx.now()));
                Ok(Some(url))
            }
            Err(failure) => {
                let text = format!("the owner of cell {cell} does not answer: {}", failure.text);
                Err(Failure::not_run(Cause::Busy, text))
            }
        }
    }

    fn show(&self, query: &JobQuery) -> Result<Status, Failure> {
        let id = query.id.clone();
        let here = self.actor.ask(move |sched, _| sched.status(&id))?;
        match here {
            Err(failure) if failure.cause == Cause::Refused => {
                let forwarded = JobQuery {
                    passed: true,
                    ..query.clone()
                };
                self.forward(&query.id, query.passed, "/jobs/show", &forwarded)
            }
            here => here,
        }
    }

    /// Cancels the jobs of owned cells and forwards the others, grouped by cell.
    fn cancel(&self, request: Request) {
        let cancel: Cancel = match request.message() {
            Ok(cancel) => cancel,
            Err(failure) => return request.respond(Reply::failure(&failure)),
        };
        let local = cancel.clone();
        let cancelled = self
            .actor
            .ask_within(MAX_WRITE_WAIT, move |sched, _, responder| {
                sched.cancel(&local.ids, responder);
            });
        let missing = match cancelled {
            Ok(Ok(missing)) => missing,
            Ok(Err(failure)) | Err(failure) => return request.respond(Reply::failure(&failure)),
        };
        let result = self.forward_cancel(&cancel, missing);
        request.respond(Reply::message(&result));
    }

    /// Forwards the cancellation of the `missing` jobs. Returns the total number of cancelled jobs.
    fn forward_cancel(&self, cancel: &Cancel, missing: Vec<Arc<str>>) -> Result<u64, Failure> {
        let here = cancel.ids.len() as u64 - missing.len() as u64;
        let mut cells: std::collections::BTreeMap<Arc<str>, Vec<Arc<str>>> = Default::default();
        for id in missing {
            let cell = job::cell_of(&id).unwrap_or_default();
            cells.entry(Arc::from(cell)).or_default().push(id);
        }
        let mut total = here;
        for ids in cells.into_values() {
            if cancel.passed {
                let text = format!("there is no job {}", ids[0]);
                return Err(Failure::not_run(Cause::Invalid, text));
            }
            let first = ids[0].clone();
            let forwarded = Cancel { ids, passed: true };
            total += self.forward::<_, u64>(&first, false, "/jobs/cancel", &forwarded)?;
        }
        Ok(total)
    }

    /// Appends the lists of the other owners, if all cells are requested.
    fn gather<R: DeserializeOwned>(
        &self,
        query: &ListQuery,
        path: &str,
        mut all: Vec<R>,
    ) -> Result<Vec<R>, Failure> {
        if !query.all {
            return Ok(all);
        }
        let summaries = self.cells()?;
        let mut urls: Vec<Arc<str>> = Vec::new();
        for summary in summaries {
            let cell = summary.cell.clone();
            let url = self.actor.ask(move |sched, _| sched.owner_url(&cell))?;
            urls.extend(url.filter(|url| !urls.contains(url)));
        }
        for url in urls {
            let more: Vec<R> = self.client.post(
                &format!("{url}{path}"),
                &ListQuery { all: false },
                LIST_TIMEOUT,
            )?;
            all.extend(more);
        }
        Ok(all)
    }

    fn list(&self, query: &ListQuery) -> Result<Vec<Status>, Failure> {
        let here = self.actor.ask(|sched, _| sched.statuses())?;
        self.gather(query, "/jobs/list", here)
    }

    fn workers(&self, query: &ListQuery) -> Result<Vec<Worker>, Failure> {
        let here = self.actor.ask(|sched, cx| sched.workers(cx.now()))?;
        self.gather(query, "/workers/list", here)
    }

    fn drain(&self, drain: &Drain) -> Result<bool, Failure> {
        let local = drain.clone();
        let drained = self
            .actor
            .ask_within(MAX_WRITE_WAIT, move |sched, _, responder| {
                sched.drain(&local, responder);
            })??;
        if drained {
            return Ok(true);
        }
        if drain.passed {
            return Ok(false);
        }
        for summary in self.cells()? {
            let cell = summary.cell.clone();
            let Some(url) = self.actor.ask(move |sched, _| sched.owner_url(&cell))? else {
                continue;
            };
            let forwarded = Drain {
                passed: true,
                ..drain.clone()
            };
            if self
                .client
                .post(&format!("{url}/workers/drain"), &forwarded, PEER_TIMEOUT)?
            {
                return Ok(true);
            }
        }
        let text = format!("no cell has a worker named {}", drain.worker);
        Err(Failure::not_run(Cause::Invalid, text))
    }

    fn cells(&self) -> Result<Vec<Summary>, Failure> {
        self.actor.ask(|sched, _| sched.summaries(None))
    }

    fn exchange(&self, exchange: Exchange) -> Result<Vec<Summary>, Failure> {
        self.actor.ask(move |sched, _| {
            sched.merge(exchange.summaries, Instant::now());
            sched.summaries(exchange.want.as_deref())
        })
    }
}
