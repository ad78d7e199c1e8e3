//! Responses to callers on routes.

use std::io;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, HeaderValue};
use http::request::Parts;
use http::{Response, StatusCode};
use http_body_util::BodyExt as _;
use http_body_util::combinators::UnsyncBoxBody;

use crate::protocol::headers::Dialect;
use crate::protocol::refusal::{Code, Ran, Reason, Refusal};
use crate::transport::memory::Piecewise;
use crate::transport::node::NOT_READY_RETRY_AFTER;

/// The body of a response.
pub(super) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Wraps a complete body.
pub(super) fn full_body(bytes: Bytes) -> Body {
    Piecewise::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds the response for a refused or failed request; `id` is the caller's id of the request.
pub(super) fn refusal(dialect: &Dialect, refusal: &Refusal, id: Option<&str>) -> Response<Body> {
    let body = serde_json::to_vec(&refusal.body()).expect("plain values have a JSON form");
    let mut response = Response::new(full_body(body.into()));
    *response.status_mut() = status(refusal);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    dialect.write_answer(headers, id, refusal.reason.retry_after);
    response
}

/// The reason for refusing a request with a key when this host cannot know whether the key is still valid.
pub(super) fn unconfirmed_keys() -> Reason {
    let message = "the accounts' keys could not be confirmed for too long";
    Reason::with_retry_after(Code::PlatformUnavailable, message, NOT_READY_RETRY_AFTER)
}

/// Returns the host that a request names, without its port; empty if it names none.
pub(super) fn host(head: &Parts) -> &str {
    let host = head
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    host.split_once(':').map_or(host, |(name, _port)| name)
}

/// Returns the status of a refusal. On routes, a failure before the request has run is one that may be tried again.
fn status(refusal: &Refusal) -> StatusCode {
    let status = match refusal.status() {
        500.. if refusal.ran == Ran::No => 503,
        status => status,
    };
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}
