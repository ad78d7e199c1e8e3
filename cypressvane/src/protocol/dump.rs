//! The state dump of a host.

use serde::{Deserialize, Serialize};

pub use crate::coordination::dump::{Limit, Pool, Server, Share, StatedPace, Version, Waiting};
use crate::coordination::rollout::Summary;
use crate::state::name::Name;
use crate::state::rollout::Stage;

/// State of a host, as reported to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Dump {
    /// Name of the host.
    pub host: Name,
    /// Data centre of the host.
    pub data_centre: Name,
    /// Region of the host.
    pub region: Name,
    /// Incarnation number; changes with each start of the host.
    pub incarnation: u64,
    /// Version of the program.
    pub program: String,
    /// Seconds since the host started.
    pub up_seconds: u64,
    /// Whether the host accepts requests from callers.
    pub ready: bool,
    /// Whether the host is shutting down.
    pub draining: bool,
    /// The configuration in force.
    pub configuration: Configuration,
    /// Number of requests held for callers, waiting or running.
    pub held: u64,
    /// Hosts among which this host chooses the home of a pool.
    pub homes: Vec<Name>,
    /// Number of hosts of other regions, which share the accounts' limits and the retry budget with this region.
    #[serde(default)]
    pub hosts_elsewhere: u32,
    /// How this host reaches the backend servers.
    #[serde(default)]
    pub network: Network,
    /// Pools kept by this host, as their home now or earlier.
    pub pools: Vec<Pool>,
    /// State of the other hosts, as seen by this host.
    pub peers: Vec<Peer>,
}

/// How a host reaches the backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Network {
    /// Milliseconds since when it reaches no server directly; `None` if it reaches some.
    pub severed_ms: Option<u64>,
    /// Number of servers that it does not reach directly, though another host does.
    pub failed_paths: u64,
    /// Number of requests that it carries for other hosts.
    pub carried: u64,
}

/// A request, or a part that prompts share, that was present on backend servers when they ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// Fingerprint that identifies the request or the part, in hexadecimal.
    pub fingerprint: String,
    /// Client account of the request, or of the first one that was seen with the part; `None` on a public route.
    pub account: Option<Name>,
    /// Start of that request's path.
    pub path: Name,
    /// Start of the part's identifier; `None` if the whole request is meant.
    #[serde(default)]
    pub part: Option<Name>,
    /// Fingerprints of other parts that a prompt must have as well to be kept from the servers.
    #[serde(default)]
    pub along_with: Vec<String>,
    /// Number of servers that ended under a suspect.
    #[serde(default)]
    pub ends: Option<usize>,
    /// Whether the request is quarantined; otherwise it is only a suspect.
    pub kept: bool,
    /// Servers that ended while running the request.
    pub servers: Vec<Name>,
    /// Milliseconds since the request was quarantined, or, for a suspect, since the last of the servers ended.
    pub since_ms: u64,
}

/// State of a roll-out order, which moves a service's traffic to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Name of the service.
    pub service: Name,
    /// Version that receives the traffic before the roll-out, if known to this host.
    pub from: Option<Name>,
    /// Version that receives the traffic after the roll-out.
    pub to: Name,
    /// Number of the order.
    pub number: u64,
    /// Outcome, as known to this host.
    pub stage: Stage,
    /// Host that decides the roll-out.
    pub coordinator: Name,
    /// Evidence for the decision; reported only by the coordinator.
    pub evidence: Option<Evidence>,
}

/// Evidence on which a roll-out is decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// `canary`, `all`, `completed` or `rolled_back`.
    pub phase: String,
    /// Reason of the decision, or what is still missing for one.
    pub why: String,
    /// Requests of the service since the order, as reported by hosts.
    pub requests: u64,
    /// Canary requests allotted to hosts, less those that they returned unsent.
    pub dealt: u64,
    /// Complete answers of the new version.
    pub answers: u64,
    /// Failures of the new version.
    pub failures: u64,
}

impl From<Summary> for Evidence {
    fn from(summary: Summary) -> Self {
        Self {
            phase: summary.phase.to_owned(),
            why: summary.why,
            requests: summary.requests,
            dealt: summary.dealt,
            answers: summary.answers,
            failures: summary.failures,
        }
    }
}

/// The configuration in force on a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of the configuration; 0 if there is none.
    pub version: u64,
    /// Digest of the configuration's manifest.
    pub digest: String,
    /// Milliseconds since the configuration in force was last confirmed to be the newest, by a read of the table service
    /// or of the configuration store, on this host or another one; `None` if never.
    pub table_read_ms_ago: Option<u64>,
}

/// State of another host, as seen by this host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the other host.
    pub name: Name,
    /// `live`, `suspect` or `leaving`.
    pub state: String,
    /// Last known incarnation number.
    pub incarnation: u64,
    /// Configuration version in its last heartbeat.
    pub version: u64,
    /// Milliseconds since a message was last received from it; `None` if never.
    pub heard_ms_ago: Option<u64>,
}
