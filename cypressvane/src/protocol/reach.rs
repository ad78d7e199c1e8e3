//! The call by which a host asks another one for a connection to a backend server that it does not reach itself.
//!
//! If the other host connects to the server, it answers with success, and the connection carries one request to the
//! server and its answer from then on. Nothing has been sent to the server before.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::notice::Incarnation;
use crate::state::name::Name;

/// Path of the call.
pub(crate) const REACH_PATH: &str = "/peer/v1/reach";

/// What a host asks another one for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Reach {
    /// Pool of the server.
    pub(crate) pool: Name,
    pub(crate) server: Name,
    /// The incarnation of the server that the request was granted.
    pub(crate) incarnation: Incarnation,
    /// Time for the connection, in milliseconds.
    pub(crate) limit_ms: u64,
    /// How long the connection must stay open before it counts, in milliseconds.
    pub(crate) settle_ms: u64,
}

impl Reach {
    /// Time for the connection.
    pub(crate) fn limit(&self) -> Duration {
        Duration::from_millis(self.limit_ms)
    }

    /// How long the connection must stay open before it counts.
    pub(crate) fn settle(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }
}

/// What the other host answers, by the status of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It has a connection to the server.
    Connected,
    /// Nothing listens at the server's address.
    Refused,
    /// It does not reach the server either.
    Unreached,
    /// The server wants no requests, as this host has read in its answers.
    Barred,
    /// It cannot tell: it is leaving, carries too many requests for others, or may have lost its own links to the
    /// servers.
    Unknown,
}

impl Outcome {
    /// The status that states this outcome.
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::Connected => 200,
            Self::Barred => 409,
            Self::Refused => 410,
            Self::Unknown => 503,
            Self::Unreached => 504,
        }
    }

    /// The outcome that a status states.
    pub(crate) fn of_status(status: u16) -> Self {
        let all = [
            Self::Connected,
            Self::Refused,
            Self::Unreached,
            Self::Barred,
        ];
        let stated = all.into_iter().find(|outcome| outcome.status() == status);
        stated.unwrap_or(Self::Unknown)
    }
}
