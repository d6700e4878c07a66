//! Headers of the gate's requests and responses, and responses for failed requests.

use {
    kernel::{Failure, Verdict, server, verdict::Cause},
    oxhttp::model::{Body, Response},
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
pub fn from_failure(failure: &Failure) -> Response<Body> {
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
    let mut builder = Response::builder()
        .status(server::status(*cause))
        .header("content-type", "application/json")
        .header(VERDICT_HEADER, verdict.as_str());
    if matches!(cause, Cause::Busy | Cause::Stopping) {
        builder = builder.header("retry-after", RETRY_AFTER);
    }
    if *cause == Cause::Stopping {
        builder = builder.header("connection", "close");
    }
    builder.body(Body::from(body)).unwrap_or_default()
}
