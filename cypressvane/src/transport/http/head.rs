//! Access to the headers of a request.

use http_types::Request;
use http_types::headers::AUTHORIZATION;

/// Returns the value of a header.
pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.as_str())
}

/// Returns the bearer key of the `Authorization` header.
pub(crate) fn bearer(request: &Request) -> Option<&str> {
    let value = request.header(AUTHORIZATION)?.as_str();
    value.strip_prefix("Bearer ").map(str::trim)
}
