use std::time::Duration;

use bay_types::ErrorKind;
use http_types::{Response, StatusCode};

/// Creates the response for an error of the gate. `Retry-After` is rounded up to whole seconds.
pub(crate) fn refusal_response(kind: ErrorKind, retry_after: Option<Duration>) -> Response {
    let status = StatusCode::try_from(kind.status()).unwrap_or(StatusCode::InternalServerError);
    let mut res = Response::new(status);
    res.insert_header("bay-error", kind.as_str());
    res.insert_header("bay-outcome", kind.outcome().as_str());
    if let Some(span) = retry_after {
        let seconds = span.as_millis().div_ceil(1_000).max(1);
        res.insert_header("retry-after", seconds.to_string());
    }
    res.set_body(format!("{kind}\n"));
    res
}
