//! Answers to callers on routes.

use std::io;

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};

use crate::protocol::exchange::Dialect;
use crate::protocol::refusal::{Code, Ran, Reason, Refusal};
use crate::transport::node::NOT_READY_RETRY;

/// The body of an answer.
pub(super) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A body that is known whole.
pub(super) fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// The answer that refuses a request or tells of a failure, under the caller's id of it.
pub(super) fn refusal(dialect: &Dialect, refusal: &Refusal, id: Option<&str>) -> Response<Body> {
    let body = serde_json::to_vec(&refusal.body()).expect("plain values have a JSON form");
    let mut response = Response::new(whole(body.into()));
    *response.status_mut() = status(refusal);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    dialect.end(headers, id, refusal.reason.retry_after);
    response
}

/// Why a request under a key is refused by a host that cannot know whether the key still counts.
pub(super) fn unconfirmed_keys() -> Reason {
    let message = "the accounts' keys could not be confirmed for too long";
    Reason::later(Code::PlatformUnavailable, message, NOT_READY_RETRY)
}

/// The host that a caller names, without its port; empty where it names none.
pub(super) fn host(head: &Parts) -> &str {
    let host = head
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    host.split_once(':').map_or(host, |(name, _port)| name)
}

/// The status of a refusal; 503 means that the request has not run, and nothing else may.
fn status(refusal: &Refusal) -> StatusCode {
    let status = refusal.reason.code.status();
    let status = match refusal.ran {
        Ran::No if status >= 500 => 503,
        Ran::Unknown | Ran::Yes if status == 503 => 502,
        _ => status,
    };
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Removes the headers that concern one connection only.
///
/// Those of which `is_kept` says so stay even where `Connection` names them.
pub(super) fn strip_connection(headers: &mut HeaderMap, is_kept: impl Fn(&HeaderName) -> bool) {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_kept(name))
        .collect();
    let own = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
    ];
    for name in named.iter().chain(&own) {
        headers.remove(name);
    }
}
