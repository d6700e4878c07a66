//! Headers of the gate's requests and responses, and responses for failed requests.

use {
    kernel::{
        Failure, Reply, Verdict,
        server::{self, BodyError},
        verdict::Cause,
    },
    serde::Serialize,
};

/// Response header with the verdict, present on every response.
pub const VERDICT_HEADER: &str = "x-magpie-verdict";

/// Request header with the class of work, required on every request.
pub const CLASS_HEADER: &str = "x-magpie-class";

/// Request header that permits a retry after an attempt that may have run.
pub const REPEAT_HEADER: &str = "x-magpie-repeat";

/// Request header with the maximum time that the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-magpie-deadline-ms";

/// Value of `retry-after` on responses to refused requests, in seconds.
const RETRY_AFTER: &str = "1";

/// JSON body of a response that does not come from a backend server.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    verdict: Verdict,
    cause: Cause,
    text: &'a str,
}

/// Builds the response for a failure. Refused callers get a `retry-after` header.
pub fn from_failure(failure: &Failure) -> Reply {
    let Failure {
        verdict,
        cause,
        text,
    } = failure;
    let error_body = ErrorBody {
        verdict: *verdict,
        cause: *cause,
        text,
    };
    let body = serde_json::to_vec(&error_body).unwrap_or_default();
    let mut reply = Reply::bytes(server::status(*cause), "application/json", body)
        .with_header(VERDICT_HEADER, verdict.as_str());
    if matches!(cause, Cause::Busy | Cause::Stopping) {
        reply = reply.with_header("retry-after", RETRY_AFTER);
    }
    if *cause == Cause::Stopping {
        reply = reply.with_header("connection", "close");
    }
    reply
}

/// Builds the response for a request whose body is refused.
pub fn from_body_error(error: BodyError) -> Reply {
    from_failure(&error.into())
}
