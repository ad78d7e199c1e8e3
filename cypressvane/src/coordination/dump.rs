//! What the home of a pool tells of it in a state dump.

use serde::{Deserialize, Serialize};

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
    /// Whether the host is its home now; one that was keeps what it has learnt.
    #[serde(default)]
    pub home: bool,
    /// Waiting requests by tier rank.
    pub waiting: Vec<Waiting>,
    /// Prompt tokens that wait.
    pub waiting_tokens: u64,
    /// Its backend servers.
    pub servers: Vec<Server>,
}

/// The queue of one tier.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Waiting {
    /// The tier's rank, 0 being the highest.
    pub rank: usize,
    /// Requests.
    pub requests: u64,
    /// How long the oldest has waited, in milliseconds.
    pub oldest_ms: u64,
}

/// What a home believes of a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Server {
    /// Its name in the host list.
    pub name: Name,
    /// `live`, `leaving`, `trial` or `down`.
    pub state: String,
    /// Milliseconds since it is so.
    pub since_ms: u64,
    /// Requests that run there.
    pub running: u64,
    /// Most requests that run there at once.
    pub slots: u32,
    /// Prompt tokens sent whose first answer token has not come.
    pub backlog_tokens: u64,
    /// Learnt prompt tokens a second.
    pub prefill_rate: f64,
    /// Learnt time to the first token of the shortest prompt, in milliseconds.
    pub first_token_ms: u64,
    /// The limit that it names in its answers, where it does.
    #[serde(default)]
    pub limit: Option<Limit>,
}

/// How many requests a second a backend server takes, as it says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Limit {
    /// Requests a second, from all hosts together.
    pub per_second: f64,
    /// Milliseconds since a limit is known of it.
    pub since_ms: u64,
    /// The host that heard this value.
    pub heard_by: Name,
}
