//! Values that hosts and a pool's home exchange about requests and servers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::notice::Incarnation;
use crate::coordination::server::Work;
use crate::coordination::servers::placement::Preferences;
use crate::coordination::servers::usual::Class;
use crate::coordination::version::Constraint;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::reason::Reason;

/// A request's identity across hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    /// The host that holds the request.
    pub holder: Name,
    /// That host's incarnation.
    pub incarnation: u64,
    /// Unique within the incarnation.
    pub sequence: u64,
}

/// A request that waits for a backend server.
#[derive(Clone, Debug, PartialEq)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent facts about the request"
)]
pub struct Offer {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Tier rank; 0 is the highest.
    pub rank: usize,
    /// Priority within the tier, derived from the policy; a larger one goes first.
    pub priority: i64,
    /// Client account that is charged; empty on a public route.
    pub account: Name,
    /// Weight of the account where accounts share the pool.
    pub weight: f64,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// When the request arrived.
    pub arrived: Instant,
    /// Time after which its first token is useless.
    pub first_token_deadline: Instant,
    /// Promised time from arrival to the first token.
    pub first_token_target: Duration,
    /// Longest acceptable pause between the events of its answer; zero if unbounded.
    pub pause: Duration,
    /// Expected number of answer tokens; 0 if unknown.
    pub answer_tokens: u32,
    /// Time after which its whole answer is useless.
    pub answer_deadline: Instant,
    /// The server that failed it, if any.
    pub avoid: Option<Name>,
    /// Whether it is refused as soon as it is unlikely to be granted on time.
    pub early: bool,
    /// Whether it is retried after a refusal or a server failure; it then goes first, in the order given in `queue`.
    pub returning: bool,
    /// Whether its first token can no longer arrive on time; late offers go behind all on-time ones.
    pub late: bool,
    /// Whether it is retried at the time that was reserved for it; it then counts as on time until its deadline.
    pub reserved: bool,
    /// Identifies the request when it is retried after a refusal; `None` if it cannot be recognised.
    pub mark: Option<u64>,
    /// Identifies the beginning of its prompt, which a server that read it recently need not prefill again.
    pub opening: Option<u64>,
    /// The data centre of its holder, if known.
    pub data_centre: Option<Name>,
    /// The versions of the servers that may run it.
    pub versions: Constraint,
}

impl Offer {
    /// Time by which its first token must arrive: the promised time for an on-time early-refusal offer, otherwise the
    /// deadline.
    pub(crate) fn due(&self) -> Instant {
        if self.early && !self.late && !self.reserved {
            return self
                .first_token_deadline
                .min(self.arrived + self.first_token_target);
        }
        self.first_token_deadline
    }

    /// Its preferences among servers that are otherwise equal.
    pub(crate) fn preferences(&self) -> Preferences {
        Preferences {
            opening: self.opening,
            data_centre: self.data_centre.clone(),
        }
    }

    /// The load that it puts on a server, without its usual running time.
    pub(crate) fn work(&self) -> Work {
        Work {
            prompt_tokens: self.prompt_tokens.into(),
            pause: self.pause,
            answer_tokens: self.answer_tokens,
            first_token_target: self.first_token_target,
            is_route: self.early,
            class: Some(Class::of(self)),
            usual_seconds: None,
        }
    }
}

/// A home's decision about an offer, sent to the holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may be sent to this server once.
    Grant {
        /// The request.
        ticket: Ticket,
        /// The server.
        server: Name,
        /// Its address.
        address: SocketAddr,
        /// Forecast time to the first token.
        first_token: Duration,
        /// Whether the home knows a limit of the server. If so, the holder also reports an answer that names no limit,
        /// since it lifts the limit.
        limited: bool,
        /// When the server was started, as far as the home knows.
        started_ms: Option<u64>,
        /// Version of the server's software; `None` if it states none.
        version: Option<Name>,
    },
    /// The request is refused; it has not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: Reason,
    },
}

/// How a granted request ended, as reported by its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The whole answer arrived.
    Whole,
    /// The caller gave up, or the grant was not used.
    Unused,
    /// The answer broke off or never arrived.
    Broken,
    /// The server accepted no connection, neither from the holder nor from another host.
    Unreachable,
    /// The path from the holder to the server failed, and another host reaches the server.
    Severed,
    /// The server was silent, and another one answered first. Its connection was open until then.
    Overtaken,
    /// The server was silent, and another one answered that had had the request for longer: the request takes that long.
    Outrun,
    /// The server reported that it is leaving.
    Leaving,
    /// The server was full and did not run the request.
    Full,
    /// Another server has taken over the address and did not run the request.
    Replaced,
}

/// A backend server as described by the host list and the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Its name in the host list.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre, if known.
    pub data_centre: Option<Name>,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Version of its software; `None` if it states none.
    pub version: Option<Name>,
    /// Whether it gets only requests that name its version.
    pub tried: bool,
    /// Whether its version has joined others so recently that it gets only such requests too, unless all others leave.
    pub settling: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it was started, in milliseconds of its own clock; `None` if it does not report this.
    pub started_ms: Option<u64>,
    /// Limits for as long as it may be cold after a start; `None` if it needs none.
    pub warmup: Option<Warmup>,
}

impl Spec {
    /// The listed incarnation of the server.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            address: self.address,
            started_ms: self.started_ms,
        }
    }
}

/// Limits of a backend server that is cold for some time after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warmup {
    /// Requests per second that it can take while it is cold.
    pub per_second: u32,
    /// Most requests that it may get in one second, even if it is not known to be cold.
    pub most: u32,
    /// How much longer it was cold when it last reported that.
    pub left: Duration,
}
