//! State dump of a pool, as given by its home.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::server::health::State;
use crate::state::name::Name;

/// A pool of backend servers with its queue.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pool {
    /// The service.
    pub service: Name,
    /// Its number among the service's shards, from 0.
    #[serde(default)]
    pub shard: u16,
    /// How many shards the service has.
    #[serde(default)]
    pub shards: u16,
    /// Whether the host is its home now; a former home keeps the pool's estimates.
    #[serde(default)]
    pub home: bool,
    /// Waiting requests by tier rank.
    pub waiting: Vec<Waiting>,
    /// Waiting prompt tokens.
    pub waiting_tokens: u64,
    /// The accounts that use it, where accounts share the pool.
    #[serde(default)]
    pub shares: Vec<Share>,
    /// Its backend servers.
    pub servers: Vec<Server>,
}

impl Pool {
    /// Returns the software versions of its servers.
    #[must_use]
    pub fn versions(&self) -> Vec<Version> {
        let mut versions: BTreeMap<Option<Name>, Version> = BTreeMap::new();
        for server in &self.servers {
            let version = versions
                .entry(server.version.clone())
                .or_insert_with(|| Version {
                    service: self.service.clone(),
                    version: server.version.clone(),
                    servers: 0,
                    live: 0,
                    places: 0,
                    taken: 0,
                });
            version.servers += 1;
            version.taken += server.running;
            if server.state == State::Live.text() {
                version.live += 1;
                version.places += u64::from(server.slots);
            }
        }
        versions.into_values().collect()
    }
}

/// The backend servers of one software version of a service, as the home of their pool knows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The service.
    pub service: Name,
    /// The version; `None` for servers that state none.
    pub version: Option<Name>,
    /// Number of servers.
    pub servers: u32,
    /// Number of servers that are live.
    pub live: u32,
    /// Places for requests at the live servers.
    pub places: u64,
    /// Requests that run at the servers.
    pub taken: u64,
}

/// An account's share of a pool and its use of it. Both are in servers: 1 is all that one server can do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The account; empty for the requests on public routes.
    pub account: Name,
    /// Its weight among the accounts.
    pub weight: f64,
    /// What it gets if it asks for as much as it can get.
    pub share: f64,
    /// What it was granted recently.
    pub used: f64,
    /// Milliseconds since the share was computed.
    pub age_ms: u64,
    /// Waiting requests.
    pub waiting: u64,
    /// Running requests.
    pub running: u64,
    /// Requests refused because it asks for more than its share, since it became active.
    pub refused: u64,
}

/// The queue of one tier.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Waiting {
    /// The tier's rank, 0 being the highest.
    pub rank: usize,
    /// Requests.
    pub requests: u64,
    /// Waiting time of the oldest request, in milliseconds.
    pub oldest_ms: u64,
}

/// A home's view of a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Server {
    /// Its name in the host list.
    pub name: Name,
    /// `live`, `leaving`, `trial`, `down` or `resting`.
    pub state: String,
    /// Milliseconds for which no holder has heard it, if it stands still.
    #[serde(default)]
    pub silent_ms: Option<u64>,
    /// Milliseconds since it entered that state.
    pub since_ms: u64,
    /// The host that received the answer by which the server is leaving or resting, if one did.
    #[serde(default)]
    pub heard_by: Option<Name>,
    /// Milliseconds until a resting server is tried again.
    #[serde(default)]
    pub rest_ms: Option<u64>,
    /// Requests running on it.
    pub running: u64,
    /// Maximum number of requests running at once.
    pub slots: u32,
    /// Version of its software, if it states one.
    #[serde(default)]
    pub version: Option<Name>,
    /// Prompt tokens of the running requests that have no first token yet.
    pub backlog_tokens: u64,
    /// Estimated prefill rate, in prompt tokens per second.
    pub prefill_rate: f64,
    /// Estimated time to the first token of the shortest prompt, in milliseconds.
    pub first_token_ms: u64,
    /// Mean running time of its plain calls without a prompt, in milliseconds, if any was observed.
    #[serde(default)]
    pub call_ms: Option<u64>,
    /// Learned ratio of that time to the usual one of the pool, in percent.
    #[serde(default)]
    pub learned_pace: Option<u32>,
    /// Number of requests that it may be granted beyond its slots, since as many are under way.
    #[serde(default)]
    pub further: u32,
    /// The pace that it states, if it states one.
    #[serde(default)]
    pub stated_pace: Option<StatedPace>,
    /// Requests that it can turn away in a second without ending, if it states that it is brittle.
    #[serde(default)]
    pub brittle: Option<u32>,
    /// The limit named in its answers, if any.
    #[serde(default)]
    pub limit: Option<Limit>,
}

/// How long a backend server says that work takes there.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatedPace {
    /// In percent of the usual time.
    pub pace: u32,
    /// Milliseconds since the home heard it.
    pub age_ms: u64,
    /// Weight that it has in forecasts, from 0 to 1.
    pub weight: f64,
}

/// Request rate limit that a backend server names in its answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Limit {
    /// Requests per second, from all hosts together.
    pub per_second: f64,
    /// Milliseconds since the home first knew of a limit of the server, whatever its value.
    pub since_ms: u64,
    /// The host that received this value.
    pub heard_by: Name,
}
