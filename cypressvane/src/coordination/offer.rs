//! What hosts and a pool's home tell each other of requests and servers, as values.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::server::Work;
use crate::coordination::servers::placement::Likes;
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

/// A request that asks for a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Whose it is.
    pub ticket: Ticket,
    /// Tier rank; 0 is the highest.
    pub rank: usize,
    /// The policy's word; a larger priority goes first within the tier.
    pub priority: i64,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// When it arrived.
    pub arrived: Instant,
    /// When its first token is no more use.
    pub deadline: Instant,
    /// Promised time to the first token.
    pub first_token: Duration,
    /// Longest pause between the events of its answer that is on time; zero where there is no such
    /// bound.
    pub pause: Duration,
    /// How many tokens its answer is likely to have; 0 where nothing is known of it.
    pub answer_tokens: u32,
    /// When its whole answer is no more use.
    pub whole_by: Instant,
    /// The server that failed it, where one did.
    pub avoid: Option<Name>,
    /// Whether it is refused as soon as it is not likely to have its turn on time.
    pub early: bool,
    /// Whether it comes back after a refusal, or from a server that failed: it goes first then.
    pub returning: bool,
    /// Whether its first token will not come on time any more: it goes behind all that still may.
    pub late: bool,
    /// Tells a request that comes back after a refusal; `None` where nothing does.
    pub mark: Option<u64>,
    /// What its prompt begins with, which a server that read it lately need not read again.
    pub opening: Option<u64>,
    /// The data centre of its holder, where that is known.
    pub data_centre: Option<Name>,
}

impl Offer {
    /// When its first token is no more use, on time or at all.
    pub(crate) fn due(&self) -> Instant {
        if self.early && !self.late {
            return self.deadline.min(self.arrived + self.first_token);
        }
        self.deadline
    }

    /// What it would rather have, other things being equal.
    pub(crate) fn likes(&self) -> Likes {
        Likes {
            opening: self.opening,
            data_centre: self.data_centre.clone(),
        }
    }

    /// What it is for the server that runs it.
    pub(crate) fn work(&self) -> Work {
        Work {
            prompt_tokens: self.prompt_tokens.into(),
            pause: self.pause,
            answer_tokens: self.answer_tokens,
            is_route: self.early,
        }
    }
}

/// What the home tells a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may be sent to this server, once.
    Grant {
        /// The request.
        ticket: Ticket,
        /// The server.
        server: Name,
        /// Where it answers.
        address: SocketAddr,
        /// Forecast time to the first token.
        first_token: Duration,
        /// Whether the home knows a limit of the server; the holder then reports also an answer without one, which ends it.
        limited: bool,
    },
    /// The request is refused; it has not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: Reason,
    },
}

/// How a granted request ended, as its holder saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The whole answer came.
    Whole,
    /// The caller gave up, or the grant was not used.
    Unused,
    /// The answer broke off or never came.
    Broken,
    /// The server accepted no connection.
    Unreachable,
    /// The server said that it is leaving.
    Leaving,
    /// The server had no room and did not run the request.
    Full,
    /// Another server has its address and did not run the request.
    Replaced,
}

/// A backend server as the host list and the configuration give it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Its name in the host list.
    pub name: Name,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its data centre, where that is known.
    pub data_centre: Option<Name>,
    /// Most requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it was started, by a clock of its own; `None` where it does not tell.
    pub started_ms: Option<u64>,
}
