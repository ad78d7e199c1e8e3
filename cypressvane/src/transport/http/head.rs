//! What stands in the head of a request.

use http_types::Request;
use http_types::headers::AUTHORIZATION;

/// A header's value.
pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.as_str())
}

/// The key of a bearer.
pub(crate) fn bearer(request: &Request) -> Option<&str> {
    let value = request.header(AUTHORIZATION)?.as_str();
    value.strip_prefix("Bearer ").map(str::trim)
}
