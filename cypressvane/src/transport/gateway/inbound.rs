//! A request on a route as its caller sent it, and the terms of its route.

use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::uri::PathAndQuery;

use super::respond;
use crate::coordination::origin;
use crate::state::fingerprint::{Fingerprint, Identity};
use crate::state::fleet::CallKind;
use crate::state::name::Name;

/// The route's terms for its requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contract {
    pub(super) method: CallKind,
    /// Largest number of attempts, the first one included.
    pub(super) max_attempts: u32,
    /// Time to the answer, or to the first event of a stream.
    pub(super) objective: Duration,
    /// Longest pause between two events of a stream that is still on time.
    pub(super) gap: Duration,
    /// Silence of a stream after which its caller abandons it, if known.
    pub(super) silence: Option<Duration>,
}

/// The request as its caller sent it.
pub(super) struct InboundRequest {
    pub(super) head: Parts,
    pub(super) body: Bytes,
    /// The caller's id of the request, if it gave one.
    pub(super) caller_id: Option<String>,
    pub(super) account: Option<Name>,
    /// The last event that the caller has received.
    pub(super) last_event: Option<u64>,
    /// The stream that the request begins or goes on with.
    pub(super) stream: Option<origin::Id>,
}

impl InboundRequest {
    /// Identifies the request across the attempts of its caller.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&Identity {
            account: self.account.as_deref(),
            method: self.head.method.as_str(),
            host: respond::host(&self.head),
            target: self
                .head
                .uri
                .path_and_query()
                .map_or("", PathAndQuery::as_str),
            body: &self.body,
        })
    }
}
