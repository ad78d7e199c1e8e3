//! Responses that this host generates itself.

use bytes::Bytes;
use futures_lite::io::Cursor;
use http_types::headers::{CONTENT_TYPE, RETRY_AFTER};
use http_types::{Body, Response, StatusCode};
use serde::Serialize;

use crate::protocol::refusal::Refusal;

/// Header that carries the request id, to callers and to backend servers.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Builds a JSON response.
///
/// # Panics
/// When `value` has no JSON form or `status` is no valid status; both are programming errors.
pub(crate) fn json<T: Serialize>(status: u16, value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("plain values have a JSON form");
    let mut response = with_body(status, body);
    response.insert_header(CONTENT_TYPE, "application/json");
    response
}

/// Builds a text response.
pub(crate) fn text(status: u16, body: impl Into<String>) -> Response {
    let mut response = with_body(status, body.into().into_bytes());
    response.insert_header(CONTENT_TYPE, "text/plain; charset=utf-8");
    response
}

/// Builds a response with a body of any type.
pub(crate) fn with_body(status: u16, body: impl Into<Body>) -> Response {
    let status = StatusCode::try_from(status).expect("the program uses known statuses");
    let mut response = Response::new(status);
    response.set_body(body);
    response
}

/// Wraps bytes that are shared, and kept until the body is dropped.
pub(crate) fn shared_body(bytes: Bytes) -> Body {
    let length = bytes.len();
    Body::from_reader(Cursor::new(bytes), Some(length))
}

/// Builds the response for a refused request.
pub(crate) fn refusal(refusal: &Refusal) -> Response {
    let mut response = json(refusal.status(), &refusal.body());
    response.insert_header(REQUEST_ID, &refusal.request_id);
    if let Some(seconds) = refusal.retry_after_seconds() {
        response.insert_header(RETRY_AFTER, seconds.to_string());
    }
    response
}
