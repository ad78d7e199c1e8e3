//! Rejects heads that leave the length of their message's body ambiguous, to prevent request smuggling.
//!
//! `async-h1` takes the first of two lengths, and accepts a length with a sign. A proxy or server in front of or
//! behind this host may take the other length, and see another request where the body ends.

use http_types::StatusCode;
use http_types::headers::{CONTENT_LENGTH, Headers, TRANSFER_ENCODING};

/// Returns why the end of a message's body is ambiguous, or `None` if it is not.
pub(super) fn fault(headers: &Headers) -> Option<&'static str> {
    let lengths = headers.get(CONTENT_LENGTH);
    let codings = headers.get(TRANSFER_ENCODING);
    if lengths.is_some() && codings.is_some() {
        return Some("a length and a transfer coding");
    }
    if let Some(lengths) = lengths {
        let mut values = lengths.iter();
        let is_number = values
            .next()
            .is_some_and(|length| is_digits(length.as_str()));
        if !is_number || values.next().is_some() {
            return Some("a length that is not one number");
        }
    }
    if let Some(codings) = codings {
        let mut values = codings.iter();
        let is_chunked = values
            .next()
            .is_some_and(|coding| coding.as_str().eq_ignore_ascii_case("chunked"));
        if !is_chunked || values.next().is_some() {
            return Some("a transfer coding that is not chunked alone");
        }
    }
    None
}

/// Returns whether the head of an answer says where its body ends. An error needs no body, and some successes have none.
pub(super) fn states_end(status: StatusCode, headers: &Headers) -> bool {
    let needs_body = status.is_success() && status != StatusCode::NoContent;
    !needs_body
        || headers
            .get(CONTENT_LENGTH)
            .or(headers.get(TRANSFER_ENCODING))
            .is_some()
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}
