//! Builders for the HTTP responses of the simulated services.

use cypressvane::refusal::Reason;
use http_types::headers::CONTENT_TYPE;
use http_types::{Response, StatusCode};
use serde::Serialize;

/// A response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(value).expect("plain values have a JSON form"));
    response.insert_header(CONTENT_TYPE, "application/json");
    response
}

/// A response with an empty body.
pub(crate) fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(status);
    response.set_body(Vec::<u8>::new());
    response
}

/// The response to a request that could not be read.
pub(crate) fn rejected(reason: &Reason) -> Response {
    let status = StatusCode::try_from(reason.code.status()).unwrap_or(StatusCode::BadRequest);
    let mut response = empty(status);
    response.set_body(reason.message.clone());
    response
}
