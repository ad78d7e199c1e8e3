//! A request on a route as its caller sent it, and the terms of its route.

use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::uri::PathAndQuery;

use super::respond;
use crate::coordination::quarantine::{self, Features};
use crate::coordination::{hedge, origin};
use crate::state::fingerprint::{Fingerprint, Identity};
use crate::state::fleet::CallKind;
use crate::state::name::Name;

/// Multiple of the route's objective after which a second server is sought for a silent one. A server that is only loaded
/// answers most requests within that time.
const SILENT_OBJECTIVES: u32 = 3;
/// Multiple of the route's longest pause after which a second server is sought for a stream. Callers abandon a stream after
/// eight such pauses.
const SILENT_GAPS: u32 = 4;

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

impl Contract {
    /// What the route allows for requests whose server is silent.
    pub(super) fn hedge_terms(&self) -> hedge::Terms {
        hedge::Terms {
            may_repeat: self.method.may_retry(),
            attempts_max: self.max_attempts,
            first_silence: self.objective * SILENT_OBJECTIVES,
            pause: (!self.gap.is_zero()).then(|| self.gap * SILENT_GAPS),
        }
    }
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
    /// The parts of the prompt, as the caller sent them.
    pub(super) prompt: Option<String>,
    /// What the request may have in common with others, once it was needed.
    pub(super) features: OnceLock<Features>,
}

impl InboundRequest {
    /// Returns what the request may have in common with others.
    pub(super) fn features(&self) -> Features {
        let features = self
            .features
            .get_or_init(|| quarantine::of_request(self.fingerprint(), self.prompt.as_deref()));
        Features::clone(features)
    }

    /// Identifies the request across the attempts of its caller.
    fn fingerprint(&self) -> Fingerprint {
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
