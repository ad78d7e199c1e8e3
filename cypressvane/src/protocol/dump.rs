//! The state dump of a host.

use serde::{Deserialize, Serialize};

pub use crate::coordination::dump::{Limit, Pool, Server, Waiting};
use crate::coordination::rollout::Shown;
use crate::state::name::Name;
use crate::state::rollout::Stage;

/// Everything a host can tell of its state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Dump {
    /// The host.
    pub host: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its region.
    pub region: Name,
    /// Differs after each start.
    pub incarnation: u64,
    /// The program's version.
    pub program: String,
    /// Seconds since it started.
    pub up_seconds: u64,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// The configuration in force.
    pub configuration: Configuration,
    /// Requests held for callers: waiting or running.
    pub held: u64,
    /// The hosts among which this host seeks the home of a pool.
    pub homes: Vec<Name>,
    /// The pools whose home this host is.
    pub pools: Vec<Pool>,
    /// The other hosts.
    pub peers: Vec<Peer>,
}

/// A request under which backend servers ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// What it is known by.
    pub fingerprint: String,
    /// Its client account; `None` on a public route.
    pub account: Option<Name>,
    /// The beginning of its path.
    pub path: Name,
    /// Whether it is kept from the backend servers; else it is a suspect.
    pub kept: bool,
    /// The servers that ended under it.
    pub servers: Vec<Name>,
    /// Milliseconds since it was kept from them, or since the last of them ended.
    pub since_ms: u64,
}

/// An operators' order to move a service's traffic to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The service.
    pub service: Name,
    /// The version that gets its traffic, as this host knows.
    pub from: Option<Name>,
    /// The version that is to get it.
    pub to: Name,
    /// The order's number.
    pub number: u64,
    /// How it stands, as this host knows.
    pub stage: Stage,
    /// The host that decides on it.
    pub coordinator: Name,
    /// What it has decided by; only that host tells it.
    pub evidence: Option<Evidence>,
}

/// What a roll-out is decided by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// `canary`, `all`, `completed` or `rolled_back`.
    pub phase: String,
    /// Why it was decided so, or what is missing.
    pub why: String,
    /// Requests of the service since the order.
    pub requests: u64,
    /// Requests that hosts were allowed for canaries.
    pub dealt: u64,
    /// Whole answers of the new version.
    pub answers: u64,
    /// Failures of the new version.
    pub failures: u64,
}

impl From<Shown> for Evidence {
    fn from(shown: Shown) -> Self {
        Self {
            phase: shown.phase.to_owned(),
            why: shown.why,
            requests: shown.requests,
            dealt: shown.dealt,
            answers: shown.answers,
            failures: shown.failures,
        }
    }
}

/// The configuration in force on a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version; 0 when there is none.
    pub version: u64,
    /// Digest of its manifest.
    pub digest: String,
    /// Milliseconds since the table service last gave the head row; `None` when it never did.
    pub table_read_ms_ago: Option<u64>,
}

/// What this host believes of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Peer {
    /// The host.
    pub name: Name,
    /// `live`, `suspect`, `leaving` or `gone`.
    pub state: String,
    /// Its last known incarnation.
    pub incarnation: u64,
    /// Configuration version that it last told.
    pub version: u64,
    /// Milliseconds since it was last heard; `None` when never.
    pub heard_ms_ago: Option<u64>,
}
