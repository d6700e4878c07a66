//! What a caller is error_body beside or instead of a backend server's answer.

use {
    kernel::{Failure, Verdict, server, verdict::Cause},
    oxhttp::model::{Body, Response},
    serde::Serialize,
};

/// The header with the verdict, on every answer.
pub const VERDICT_HEADER: &str = "x-magpie-verdict";

/// The header with the class of work, on every request.
pub const CLASS_HEADER: &str = "x-magpie-class";

/// The header that allows a request to be sent again when it may have run.
pub const REPEAT_HEADER: &str = "x-magpie-repeat";

/// The header with the time that a caller waits at most, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-magpie-deadline-ms";

/// When a caller that was shed may come back, in seconds.
const RETRY_AFTER: &str = "1";

/// The body of an answer that is not a backend server's.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    verdict: Verdict,
    cause: Cause,
    text: &'a str,
}

/// The answer that tells of a failure. A caller that was shed is error_body at once when to come back.
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
